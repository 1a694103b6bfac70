"""Codec between the bench's binary frames and ``beechrock.interface``; it decides nothing."""

import json
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from beechrock import interface as api

BATCH = struct.Struct(">IIId")
REPLY = struct.Struct(">III")
EVENT_BYTES = 64
ACTION_BYTES = 24

ACCEPT = struct.Struct(">BHIIBHQdHfdBdf")
ENLIST = struct.Struct(">BHQII")
WOUND_UP = struct.Struct(">BHIdH")
CALL_ENDED = struct.Struct(">BHIHd")
ELAPSED = struct.Struct(">BHQB4f")
LEAVING = struct.Struct(">BHd")
ABOUT = struct.Struct(">BHI")
WHO = struct.Struct(">BH")

HINT_BIT, RETRY_BIT, WRITE_BIT = 1, 2, 4
E = TypeVar("E", bound=Enum)

OUTCOMES = {
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.REJECTED,
    504: api.Outcome.TIMED_OUT,
    502: api.Outcome.UNREACHABLE,
    598: api.Outcome.BROKEN_OFF,
    499: api.Outcome.STOPPED,
    410: api.Outcome.MOOT,
}
DOWNSTREAM = {"one_for_all": "shared"}
GAUGES = {
    "cpu_busy": "cpu_busy",
    "runnable": "runnable",
    "mem_used": "memory_used",
    "sockets": "connections",
}


class WireError(Exception):
    """A frame that does not follow the wire; the text says what was wrong and where."""


@dataclass(frozen=True, slots=True)
class Start:
    """A node comes up. ``problem`` is set instead of ``settings`` where those are unusable."""

    seed: int
    settings: api.Settings | None
    gauges: tuple[str, ...] = ()
    problem: str = ""


@dataclass(frozen=True, slots=True)
class Died:
    """The process of a node is dead without warning."""


Incoming = Start | Died | api.Event


@dataclass(frozen=True, slots=True)
class Fault:
    """Decision code failed; ends the bench's day with this text."""

    text: str


# --- settings ---------------------------------------------------------------------------------


def _section(where: dict[str, Any], name: str) -> dict[str, Any]:
    value = where.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise api.SettingsError(f"settings: {name} is not an object")
    return value


def _num(where: dict[str, Any], name: str) -> float | None:
    value = where.get(name)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise api.SettingsError(f"settings: {name} is not a number")
    return float(value)


def _need(where: dict[str, Any], name: str) -> float:
    value = _num(where, name)
    if value is None or value <= 0:
        raise api.SettingsError(f"settings: {name} is missing or not above 0")
    return value


def _count(where: dict[str, Any], name: str) -> int | None:
    value = _num(where, name)
    return None if value is None else int(value)


def _word(kind: type[E], text: object, default: E) -> E:
    """An unknown word is handled as the absent setting."""
    try:
        return kind(text)
    except ValueError:
        return default


def _at(values: object, place: int) -> Any:
    return values[place] if isinstance(values, list) and place < len(values) else None


def _class(entry: object, place: int, extra: dict[str, Any]) -> api.ClassSettings:
    if not isinstance(entry, dict):
        raise api.SettingsError(f"settings: grades[{place}] is not an object")
    worth = _num(entry, "worth")
    calls = _at(extra.get("classCalls"), place)
    skip = _at(extra.get("classSkipWorth"), place)
    return api.ClassSettings(
        aim_s=_need(entry, "promiseS"),
        give_up_s=_need(entry, "giveUpS"),
        worth=1.0 if worth is None else worth,
        late_share=_num(entry, "lateShare") or 0.0,
        effect=_word(api.Effect, entry.get("effect"), api.Effect.SAFE),
        window_s=_num(entry, "windowS"),
        aim_stretch=_num(entry, "aimStretch"),
        calls=None if calls is None else bool(calls),
        skip_worth=None if skip is None else float(skip),
    )


def _tenant(entry: object, place: int) -> api.TenantSettings:
    if not isinstance(entry, dict):
        raise api.SettingsError(f"settings: tenants[{place}] is not an object")
    return api.TenantSettings(share=_num(entry, "portion"), quota_per_s=_num(entry, "quotaPerS"))


def settings_from_json(text: bytes) -> tuple[api.Settings, tuple[str, ...]]:
    """Translate the start message; also gives the order in which gauges will come."""
    try:
        told = json.loads(text)
    except ValueError as error:
        raise api.SettingsError(f"settings: not JSON ({error})") from None
    if not isinstance(told, dict):
        raise api.SettingsError("settings: not a JSON object")
    extra, rules = _section(told, "extra"), _section(told, "guarantees")
    limits, mix, prices = _section(told, "limits"), _section(told, "scoringMix"), _section(told, "prices")
    grades = told.get("grades")
    if not isinstance(grades, list) or not grades:
        raise api.SettingsError("settings: grades is missing or empty")
    tenants = told.get("tenants") or []
    if not isinstance(tenants, list):
        raise api.SettingsError("settings: tenants is not a list")
    below = extra.get("downstream")
    settings = api.Settings(
        cores=int(_need(extra, "cpus")),
        memory_kb=_need(extra, "memLimitKb"),
        classes=tuple(_class(entry, place, extra) for place, entry in enumerate(grades)),
        tenants=tuple(_tenant(entry, place) for place, entry in enumerate(tenants)),
        over_share_worth=_num(told, "overShareWorth"),
        worth_by_work=told.get("worthBy") == "work",
        mix_whole=_num(mix, "whole"),
        mix_worst_window=_num(mix, "worstWindow"),
        mix_worst_class=_num(mix, "worstClass"),
        mix_worst_tenant=_num(mix, "worstTenant"),
        run_factor=_num(extra, "runFactor"),
        key_kb=_num(extra, "keyKb"),
        cold_start=bool(extra.get("freshStart")),
        cold_from=_num(rules, "coldFrom"),
        ramp_s=_num(rules, "rampTimeS"),
        crowd_multiple=_num(rules, "fallMultiple"),
        crowd_over_s=_num(rules, "overloadForS"),
        answer_slack_s=_num(rules, "answerSlackS"),
        drain_grace_s=_num(rules, "drainGraceS"),
        passes_deadline=bool(extra.get("passesDeadline")),
        tells_gone=bool(extra.get("cancelSeen")),
        marks_retry=bool(_section(told, "clients").get("marksRetry")),
        stop_mode=_word(api.StopMode, extra.get("stopMode"), api.StopMode.NONE),
        say=_word(api.Say, extra.get("say"), api.Say.NONE),
        heard_for_s=_num(extra, "heardForS"),
        retry_after=limits.get("retryAfter") is not False,
        max_retry_after_s=_num(limits, "maxRetryAfterS"),
        downstream=_word(api.Downstream, DOWNSTREAM.get(str(below), below), api.Downstream.NONE),
        calls_share=_num(extra, "depShare"),
        calls_over_s=_num(extra, "callsOverS"),
        linger_s=_num(extra, "lingerS"),
        fresh_s=_num(extra, "freshS"),
        deep_checks=bool(extra.get("deepChecks")),
        idle_s=_num(extra, "idleS"),
        callers=_count(extra, "callers"),
        fleet_size=_count(told, "fleetSize"),
        tick_s=_num(told, "tickS"),
        price_waste=_num(prices, "waste"),
        price_late_fail=_num(prices, "lateFail"),
        price_call=_num(prices, "origin"),
        price_connection=_num(prices, "connection"),
        price_handshake=_num(prices, "handshake"),
    )
    names = extra.get("ownStats")
    return settings, tuple(str(name) for name in names) if isinstance(names, list) else ()


# --- events -----------------------------------------------------------------------------------


def _accept(raw: memoryview) -> api.Arrived:
    (_, _, ident, same, bits, tenant, key, remaining, caller, kb, hint, klass, waited, rank) = (
        ACCEPT.unpack_from(raw)
    )
    return api.Arrived(api.Request(
        id=ident,
        klass=klass,
        kb=kb,
        waited_s=waited,
        remaining_s=remaining if remaining > 0 else None,
        work_s=hint if bits & HINT_BIT else None,
        repeats=same or None,
        key=key or None,
        tenant=tenant,
        caller=caller,
        rank=rank,
        retry=bool(bits & RETRY_BIT),
        write=bool(bits & WRITE_BIT),
    ))


def _outcome(code: int) -> api.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _wound_up(raw: memoryview) -> api.Finished:
    _, _, ident, spent, code = WOUND_UP.unpack_from(raw)
    return api.Finished(ident, _outcome(code), spent)


def _call_ended(raw: memoryview) -> api.CallEnded:
    _, _, ident, code, spent = CALL_ENDED.unpack_from(raw)
    return api.CallEnded(ident, _outcome(code), spent)


def _id(raw: memoryview) -> int:
    return int(ABOUT.unpack_from(raw)[2])


def _elapsed(raw: memoryview, names: tuple[str, ...]) -> api.TimerFired:
    _, _, token, count, *values = ELAPSED.unpack_from(raw)
    told = {GAUGES[n]: v for n, v in zip(names, values[:count], strict=False) if n in GAUGES}
    return api.TimerFired(token, api.Gauges(**told))


def _enlist(raw: memoryview, tail: memoryview) -> Start:
    _, _, seed, offset, length = ENLIST.unpack_from(raw)
    if offset + length > len(tail):
        raise WireError("settings reach past the end of the tail")
    try:
        settings, gauges = settings_from_json(bytes(tail[offset:offset + length]))
    except api.SettingsError as error:
        return Start(seed, None, problem=str(error))
    return Start(seed, settings, gauges)


EVENTS: dict[int, Callable[[memoryview], Incoming]] = {
    1: lambda raw: api.Leaving(LEAVING.unpack_from(raw)[2]),
    2: _wound_up,
    3: lambda raw: Died(),
    4: _call_ended,
    6: lambda raw: api.CallerGone(_id(raw)),
    7: lambda raw: api.CallNeeded(_id(raw)),
    9: _accept,
}
ELAPSED_CODE, ENLIST_CODE = 5, 8


class Decoder:
    """Reads batches; remembers only in which order each instance's gauges come."""

    def __init__(self) -> None:
        self._gauges: dict[int, tuple[str, ...]] = {}

    def batch(self, frame: bytes) -> tuple[int, float, list[tuple[int, Incoming]]]:
        """Split a whole frame into (number, clock, [(instance, event), ...])."""
        number, length, count, clock = BATCH.unpack_from(frame)
        body = memoryview(frame)
        tail_at = BATCH.size + count * EVENT_BYTES
        if length != len(frame) or tail_at > length:
            raise WireError(f"batch {number}: {count} records do not fit in {length} bytes")
        found = []
        for place in range(count):
            start = BATCH.size + place * EVENT_BYTES
            raw = body[start:start + EVENT_BYTES]
            try:
                found.append(self._event(raw, body[tail_at:]))
            except WireError as error:
                raise WireError(f"batch {number}, record {place}: {error}") from None
        return number, clock, found

    def _event(self, raw: memoryview, tail: memoryview) -> tuple[int, Incoming]:
        code, who = WHO.unpack_from(raw)
        if code == ENLIST_CODE:
            start = _enlist(raw, tail)
            self._gauges[who] = start.gauges
            return who, start
        if code == ELAPSED_CODE:
            return who, _elapsed(raw, self._gauges.get(who, ()))
        if code not in EVENTS:
            raise WireError(f"unknown event code {code}")
        return who, EVENTS[code](raw)


# --- actions ----------------------------------------------------------------------------------

_ID, _ID_TIME, _TIME = struct.Struct(">BHI"), struct.Struct(">BHId"), struct.Struct(">BHd")
_REFUSE, _HEALTH = struct.Struct(">BHIdB"), struct.Struct(">BHBB")
_VALUE, _TIMER, _TEXT = struct.Struct(">BHf"), struct.Struct(">BHQd"), struct.Struct(">BHII")

ENCODERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Run: lambda who, a: _ID.pack(65, who, a.id),
    api.Refuse: lambda who, a: _REFUSE.pack(66, who, a.id, a.retry_after_s or 0.0, a.no_retry),
    api.Fail: lambda who, a: _ID.pack(67, who, a.id),
    api.Stop: lambda who, a: _ID.pack(68, who, a.id),
    api.Call: lambda who, a: _ID_TIME.pack(69, who, a.id, a.max_wait_s),
    api.Skip: lambda who, a: _ID.pack(70, who, a.id),
    api.Keep: lambda who, a: _ID_TIME.pack(71, who, a.id, a.ttl_s),
    api.Forget: lambda who, a: _ID.pack(72, who, a.id),
    api.Share: lambda who, a: _ID.pack(73, who, a.id),
    api.Health: lambda who, a: _HEALTH.pack(74, who, a.good, a.stored),
    api.Advertise: lambda who, a: _VALUE.pack(75, who, a.value),
    api.CloseIdle: lambda who, a: _TIME.pack(76, who, a.after_s),
    api.SetTimer: lambda who, a: _TIMER.pack(77, who, a.token, a.delay_s),
}
TEXT_CODES: dict[type, int] = {api.Log: 78, Fault: 79}


def encode_reply(number: int, actions: Iterable[tuple[int, api.Action | Fault]]) -> bytes:
    """One reply frame for a batch."""
    records, tail = [], bytearray()
    for who, action in actions:
        if isinstance(action, (api.Log, Fault)):
            text = action.text.encode()
            raw = _TEXT.pack(TEXT_CODES[type(action)], who, len(tail), len(text))
            tail += text
        else:
            raw = ENCODERS[type(action)](who, action)
        records.append(raw.ljust(ACTION_BYTES, b"\0"))
    body = b"".join(records) + bytes(tail)
    return REPLY.pack(number, len(records), REPLY.size + len(body)) + body
