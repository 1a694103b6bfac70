"""The rows of a trace: one tuple each, its kind first, then the time, then what ``FIELDS`` names. Pure.

Three families: what the decision module was told and said (``batch`` and what follows it: enough to play it
again to the bit), what the core knows of requests beyond that, and marks in the record itself.
"""

from collections.abc import Iterable, Iterator
from typing import Any

from beechrock import interface as api
from beechrock.trace.errors import RowError
from beechrock.trace.stored_settings import settings_of, settings_text

Row = tuple[Any, ...]  # (kind, time, *fields); the time is the Unix clock in seconds

FIELDS: dict[str, tuple[str, ...]] = {
    # The module: a start, then batches, each with its events and the actions that answered them.
    "start": ("seed", "started", "settings"),
    "batch": ("events", "actions"),
    "arrived": (
        "id",
        "klass",
        "kb",
        "waited_s",
        "remaining_s",
        "work_s",
        "repeats",
        "key",
        "tenant",
        "caller",
        "rank",
        "retry",
        "write",
    ),
    "finished": ("id", "outcome", "elapsed_s"),
    "call_needed": ("id",),
    "call_ended": ("id", "outcome", "elapsed_s"),
    "caller_gone": ("id",),
    "renewed": ("settings",),
    "leaving": ("left_s",),
    "timer": ("token", "cpu_busy", "runnable", "memory_used", "connections"),
    "run": ("id",),
    "refuse": ("id", "retry_after_s", "no_retry"),
    "fail": ("id",),
    "stop": ("id",),
    "call": ("id", "max_wait_s"),
    "skip": ("id",),
    "keep": ("id", "ttl_s"),
    "forget": ("id",),
    "share": ("id",),
    "health": ("good", "stored"),
    "advertise": ("value",),
    "close_idle": ("after_s",),
    "set_timer": ("token", "delay_s"),
    "log": ("text",),
    # The core: who asked for what, and what came of it.
    "taken": ("id", "trace", "route", "team", "subject", "key", "retry", "caller", "size", "born"),
    "rejected": ("trace", "route", "team", "reason"),
    "answered": ("id", "verdict", "retry_after_s", "no_retry", "advice", "took_s", "size"),
    "run_ended": ("id", "outcome", "elapsed_s"),
    # The record itself.
    "gap": ("dropped", "since"),
    "jump": ("by_s",),
    "node": ("name",),
    # Of the module again; kinds keep their numbers, so what is new stands at the end.
    "replaced": ("left_s",),
    "elsewhere": ("runs", "kb", "calls", "present"),
    "memory_limit": ("kb",),
}
# Of fields that were added to a kind: what a file holds that was written before.
VALUES_BEFORE: dict[str, tuple[Any, ...]] = {"elsewhere": (True,)}
KINDS = tuple(FIELDS)
EVENTS = (*KINDS[2:10], "replaced", "elsewhere", "memory_limit")
ACTIONS = KINDS[10:24]
ABOUT_ONE = frozenset(kind for kind, names in FIELDS.items() if names[:1] == ("id",))

_EVENT_KINDS: dict[type, str] = {
    api.Arrived: "arrived",
    api.RunFinished: "finished",
    api.CallNeeded: "call_needed",
    api.CallEnded: "call_ended",
    api.CallerDisconnected: "caller_gone",
    api.SettingsChanged: "renewed",
    api.ShutdownNotice: "leaving",
    api.TimerFired: "timer",
}
_ACTION_KINDS: dict[type, str] = {
    api.Run: "run",
    api.Reject: "refuse",
    api.Fail: "fail",
    api.Stop: "stop",
    api.Call: "call",
    api.SkipCall: "skip",
    api.Remember: "keep",
    api.Forget: "forget",
    api.ShareResult: "share",
    api.Health: "health",
    api.Advertise: "advertise",
    api.CloseIdleConnections: "close_idle",
    api.SetTimer: "set_timer",
    api.Log: "log",
}
_ACTION_TYPES = {kind: made for made, kind in _ACTION_KINDS.items()}


def batch_rows(now: float, events: Iterable[api.Event], actions: Iterable[api.Action]) -> Iterator[Row]:
    """A batch as rows, in its order."""
    told = [event_row(now, event) for event in events]
    said = [action_row(now, action) for action in actions]
    yield "batch", now, len(told), len(said)
    yield from told
    yield from said


def event_row(now: float, event: api.Event) -> Row:
    match event:
        case api.Arrived(r):
            return (
                "arrived",
                now,
                r.id,
                r.class_index,
                r.size_kb,
                r.age_s,
                r.remaining_s,
                r.work_hint_s,
                r.repeat_of,
                r.key,
                r.tenant_index,
                r.caller_id,
                r.rank,
                r.is_retry,
                r.is_write,
            )
        case api.RunFinished(ident, outcome, elapsed) | api.CallEnded(ident, outcome, elapsed):
            return _EVENT_KINDS[type(event)], now, ident, outcome.value, elapsed
        case api.TimerFired(token, g):
            return "timer", now, token, g.cpu_busy, g.runnable, g.memory_used, g.connections
        case api.SettingsChanged(settings):
            return "renewed", now, settings_text(settings)
        case api.ShutdownNotice(left, replaced):
            return "replaced" if replaced else "leaving", now, left
        case api.OtherProcessLoad(runs, kb, calls, there):
            return "elsewhere", now, runs, kb, calls, there
        case api.MemoryLimit(limit_kb):
            return "memory_limit", now, limit_kb
        case _:
            return _EVENT_KINDS[type(event)], now, event.id


def action_row(now: float, action: api.Action) -> Row:
    return (_ACTION_KINDS[type(action)], now, *(getattr(action, name) for name in action.__slots__))


def event_of(row: Row) -> api.Event:
    """The event that a row was made of. RowError where it is none."""
    kind, _, *told = row
    try:
        match kind:
            case "arrived":
                return api.Arrived(api.Request(*told))
            case "finished":
                return api.RunFinished(told[0], api.Outcome(told[1]), told[2])
            case "call_ended":
                return api.CallEnded(told[0], api.Outcome(told[1]), told[2])
            case "call_needed":
                return api.CallNeeded(*told)
            case "caller_gone":
                return api.CallerDisconnected(*told)
            case "renewed":
                return api.SettingsChanged(settings_of(told[0]))
            case "leaving":
                return api.ShutdownNotice(*told)
            case "replaced":
                return api.ShutdownNotice(told[0], True)
            case "elsewhere":
                return api.OtherProcessLoad(*told)
            case "memory_limit":
                return api.MemoryLimit(*told)
            case "timer":
                return api.TimerFired(told[0], api.Gauges(*told[1:]))
    except TypeError as error:
        raise RowError(f"a row {kind} that is none: {error}") from None
    raise RowError(f"a row {kind} is no event")


def action_of(row: Row) -> api.Action:
    """The action that a row was made of. RowError where it is none."""
    made = _ACTION_TYPES.get(row[0])
    if made is None:
        raise RowError(f"a row {row[0]} is no action")
    try:
        return made(*row[2:])  # type: ignore[no-any-return]
    except TypeError as error:
        raise RowError(f"a row {row[0]} that is none: {error}") from None


def value(row: Row, name: str) -> Any:
    """One field of a row by its name."""
    return row[2 + FIELDS[row[0]].index(name)]
