"""Codec between the simulator's binary frames and ``beechrock.interface``; it makes no decisions.

A batch is a header, fixed-size records of ``EVENT_BYTES`` and a tail of texts. A reply has the same form,
with records of ``ACTION_BYTES``. All numbers are big-endian; times are in seconds, sizes in kilobytes. Only
this module defines the codes of the wire and the order of its fields.
"""

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from beechrock import interface as api
from beechrock.settings import gauges_from, settings_from_json

BATCH_HEADER = struct.Struct(">IIId")  # Batch number, frame length, number of events, clock in seconds
REPLY_HEADER = struct.Struct(">III")  # Batch number, number of actions, frame length
EVENT_BYTES = 64
ACTION_BYTES = 24


class EventCode(IntEnum):
    """Record codes in a batch."""

    SHUTDOWN_NOTICE = 1
    RUN_FINISHED = 2
    PROCESS_DIED = 3
    CALL_ENDED = 4
    TIMER_FIRED = 5
    CALLER_DISCONNECTED = 6
    CALL_NEEDED = 7
    PROCESS_STARTED = 8
    ARRIVED = 9


class ActionCode(IntEnum):
    """Record codes in a reply."""

    RUN = 65
    REJECT = 66
    FAIL = 67
    STOP = 68
    CALL = 69
    SKIP_CALL = 70
    REMEMBER = 71
    FORGET = 72
    SHARE_RESULT = 73
    HEALTH = 74
    ADVERTISE = 75
    CLOSE_IDLE_CONNECTIONS = 76
    SET_TIMER = 77
    LOG = 78
    FAULT = 79


OUTCOMES = {
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.REJECTED,
    504: api.Outcome.TIMED_OUT,
    502: api.Outcome.UNREACHABLE,
    598: api.Outcome.CONNECTION_LOST,
    499: api.Outcome.STOPPED,
    410: api.Outcome.MOOT,
}

# Each record begins with its code and the number of its instance.
_EVENT_PREFIX = struct.Struct(">BH")
_ARRIVED = struct.Struct(">BHIIBHQdHfdBdf")
_PROCESS_STARTED = struct.Struct(">BHQII")
_RUN_FINISHED = struct.Struct(">BHIdH")
_CALL_ENDED = struct.Struct(">BHIHd")
_TIMER_FIRED = struct.Struct(">BHQB4f")
_SHUTDOWN_NOTICE = struct.Struct(">BHd")
_REQUEST_EVENT = struct.Struct(">BHI")
_WORK_HINT_BIT, _RETRY_BIT, _WRITE_BIT = 1, 2, 4

_REQUEST_ACTION = struct.Struct(">BHI")
_TIMED_REQUEST_ACTION = struct.Struct(">BHId")
_REJECT = struct.Struct(">BHIdB")
_HEALTH = struct.Struct(">BHBB")
_ADVERTISE = struct.Struct(">BHf")
_CLOSE_IDLE_CONNECTIONS = struct.Struct(">BHd")
_SET_TIMER = struct.Struct(">BHQd")
_TEXT = struct.Struct(">BHII")


class WireError(Exception):
    """A frame violates the wire format; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class ProcessStarted:
    """A node starts. If its settings are unusable, ``settings`` is None and ``problem`` says why."""

    seed: int
    settings: api.Settings | None
    gauge_order: tuple[str, ...] = ()
    problem: str = ""


@dataclass(frozen=True, slots=True)
class ProcessDied:
    """The process of a node died without notice."""


IncomingEvent = ProcessStarted | ProcessDied | api.Event


@dataclass(frozen=True, slots=True)
class Fault:
    """Failure of the decision code, with which the simulator ends the day; ``text`` is the reason."""

    text: str


@dataclass(frozen=True, slots=True)
class Batch:
    """A decoded frame: its number, the simulator's clock in seconds, and pairs of instance and event."""

    number: int
    clock_s: float
    events: list[tuple[int, IncomingEvent]]


# --- events -----------------------------------------------------------------------------------


class Decoder:
    """Decodes batches; its only state is the order of gauges of each instance."""

    def __init__(self) -> None:
        self._gauge_orders: dict[int, tuple[str, ...]] = {}

    def batch(self, frame: bytes) -> Batch:
        """Decode a complete frame. Raises WireError if it is malformed."""
        number, length, count, clock_s = BATCH_HEADER.unpack_from(frame)
        body = memoryview(frame)
        tail_start = BATCH_HEADER.size + count * EVENT_BYTES
        if length != len(frame) or tail_start > length:
            raise WireError(f"batch {number}: {count} records do not fit in {length} bytes")
        events = []
        for index in range(count):
            start = BATCH_HEADER.size + index * EVENT_BYTES
            record = body[start : start + EVENT_BYTES]
            try:
                events.append(self._event(record, body[tail_start:]))
            except WireError as error:
                raise WireError(f"batch {number}, record {index}: {error}") from None
        return Batch(number, clock_s, events)

    def _event(self, record: memoryview, tail: memoryview) -> tuple[int, IncomingEvent]:
        code, instance = _EVENT_PREFIX.unpack_from(record)
        if code == EventCode.PROCESS_STARTED:
            start = _process_started(record, tail)
            self._gauge_orders[instance] = start.gauge_order
            return instance, start
        if code == EventCode.TIMER_FIRED:
            return instance, _timer_fired(record, self._gauge_orders.get(instance, ()))
        if code not in _EVENT_DECODERS:
            raise WireError(f"unknown event code {code}")
        return instance, _EVENT_DECODERS[code](record)


def _arrived(record: memoryview) -> api.Arrived:
    fields = _ARRIVED.unpack_from(record)
    _, _, request_id, repeat_of, bits, tenant_index, key, remaining_s = fields[:8]
    caller_id, size_kb, work_hint_s, class_index, age_s, rank = fields[8:]
    return api.Arrived(
        api.Request(
            id=request_id,
            class_index=class_index,
            size_kb=size_kb,
            age_s=age_s,
            remaining_s=remaining_s if remaining_s > 0 else None,
            work_hint_s=work_hint_s if bits & _WORK_HINT_BIT else None,
            repeat_of=repeat_of or None,
            key=key or None,
            tenant_index=tenant_index,
            caller_id=caller_id,
            rank=rank,
            is_retry=bool(bits & _RETRY_BIT),
            is_write=bool(bits & _WRITE_BIT),
        )
    )


def _run_finished(record: memoryview) -> api.RunFinished:
    _, _, request_id, elapsed_s, code = _RUN_FINISHED.unpack_from(record)
    return api.RunFinished(request_id, _outcome(code), elapsed_s)


def _call_ended(record: memoryview) -> api.CallEnded:
    _, _, request_id, code, elapsed_s = _CALL_ENDED.unpack_from(record)
    return api.CallEnded(request_id, _outcome(code), elapsed_s)


def _caller_disconnected(record: memoryview) -> api.CallerDisconnected:
    return api.CallerDisconnected(_request_id(record))


def _call_needed(record: memoryview) -> api.CallNeeded:
    return api.CallNeeded(_request_id(record))


def _shutdown_notice(record: memoryview) -> api.ShutdownNotice:
    _, _, remaining_s = _SHUTDOWN_NOTICE.unpack_from(record)
    return api.ShutdownNotice(remaining_s)


def _process_died(record: memoryview) -> ProcessDied:
    return ProcessDied()


def _timer_fired(record: memoryview, gauge_order: tuple[str, ...]) -> api.TimerFired:
    _, _, token, gauge_count, *values = _TIMER_FIRED.unpack_from(record)
    return api.TimerFired(token, gauges_from(gauge_order, values[:gauge_count]))


def _process_started(record: memoryview, tail: memoryview) -> ProcessStarted:
    _, _, seed, offset, length = _PROCESS_STARTED.unpack_from(record)
    if offset + length > len(tail):
        raise WireError("settings reach past the end of the tail")
    try:
        settings, gauge_order = settings_from_json(bytes(tail[offset : offset + length]))
    except api.SettingsError as error:
        return ProcessStarted(seed, None, problem=str(error))
    return ProcessStarted(seed, settings, gauge_order)


def _request_id(record: memoryview) -> int:
    _, _, request_id = _REQUEST_EVENT.unpack_from(record)
    return int(request_id)


def _outcome(code: int) -> api.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


_EVENT_DECODERS: dict[int, Callable[[memoryview], IncomingEvent]] = {
    EventCode.SHUTDOWN_NOTICE: _shutdown_notice,
    EventCode.RUN_FINISHED: _run_finished,
    EventCode.PROCESS_DIED: _process_died,
    EventCode.CALL_ENDED: _call_ended,
    EventCode.CALLER_DISCONNECTED: _caller_disconnected,
    EventCode.CALL_NEEDED: _call_needed,
    EventCode.ARRIVED: _arrived,
}


# --- actions ----------------------------------------------------------------------------------


def encode_reply(number: int, actions: Iterable[tuple[int, api.Action | Fault]]) -> bytes:
    """Encode the reply to batch ``number`` from pairs of an instance and its action."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, action in actions:
        record = _action_record(instance, action, tail)
        records.append(record.ljust(ACTION_BYTES, b"\0"))
    body = b"".join(records) + bytes(tail)
    return REPLY_HEADER.pack(number, len(records), REPLY_HEADER.size + len(body)) + body


def _action_record(instance: int, action: api.Action | Fault, tail: bytearray) -> bytes:
    """Encode one action as a record; append its text, if any, to ``tail``."""
    code = _ACTION_CODES[type(action)]
    match action:
        case api.Reject(request_id, retry_after_s, no_retry):
            return _REJECT.pack(code, instance, request_id, retry_after_s or 0.0, no_retry)
        case api.Call(request_id, time_s) | api.Remember(request_id, time_s):
            return _TIMED_REQUEST_ACTION.pack(code, instance, request_id, time_s)
        case api.Health(healthy, cached):
            return _HEALTH.pack(code, instance, healthy, cached)
        case api.Advertise(value):
            return _ADVERTISE.pack(code, instance, value)
        case api.CloseIdleConnections(after_s):
            return _CLOSE_IDLE_CONNECTIONS.pack(code, instance, after_s)
        case api.SetTimer(token, delay_s):
            return _SET_TIMER.pack(code, instance, token, delay_s)
        case api.Log(text) | Fault(text):
            encoded = text.encode()
            offset = len(tail)
            tail += encoded
            return _TEXT.pack(code, instance, offset, len(encoded))
        case _:
            return _REQUEST_ACTION.pack(code, instance, action.id)


_ACTION_CODES: dict[type, ActionCode] = {
    api.Run: ActionCode.RUN,
    api.Reject: ActionCode.REJECT,
    api.Fail: ActionCode.FAIL,
    api.Stop: ActionCode.STOP,
    api.Call: ActionCode.CALL,
    api.SkipCall: ActionCode.SKIP_CALL,
    api.Remember: ActionCode.REMEMBER,
    api.Forget: ActionCode.FORGET,
    api.ShareResult: ActionCode.SHARE_RESULT,
    api.Health: ActionCode.HEALTH,
    api.Advertise: ActionCode.ADVERTISE,
    api.CloseIdleConnections: ActionCode.CLOSE_IDLE_CONNECTIONS,
    api.SetTimer: ActionCode.SET_TIMER,
    api.Log: ActionCode.LOG,
    Fault: ActionCode.FAULT,
}
