"""Requests, events and actions: the input and the output of a node's decisions."""

from dataclasses import dataclass, field
from enum import Enum

from beechrock.interface.settings import Settings


class Outcome(Enum):
    """Result of a run or a call. REJECTED, UNREACHABLE and MOOT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken_off"
    STOPPED = "stopped"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the run or call had no effect."""
        return self in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT)


@dataclass(frozen=True, slots=True)
class Request:
    """A request that the node has read. ``age_s`` is the time since it reached the machine."""

    id: int
    class_index: int
    size_kb: float
    age_s: float = 0.0
    remaining_s: float | None = None
    work_hint_s: float | None = None
    repeat_of: int | None = None
    key: int | None = None
    tenant_index: int | None = None
    caller_id: int | None = None
    rank: float | None = None
    is_retry: bool = False
    is_write: bool = False


# --- events


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request was read and waits to be decided."""

    request: Request


@dataclass(frozen=True, slots=True)
class RunFinished:
    """A run (or a shared answer) has ended; ``elapsed_s`` is the time since the action that started it."""

    id: int
    outcome: Outcome
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class CallNeeded:
    """A running request has left the cores and waits for Call, SkipCall or Fail."""

    id: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A downstream call has ended; ``elapsed_s`` is the time since the action that started it."""

    id: int
    outcome: Outcome
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of this request has disconnected; no answer is needed."""

    id: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings have changed; remaining and ``removed`` classes and tenants keep their indices."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The process will be stopped in ``remaining_s``; a successor, if any, continues as this node."""

    remaining_s: float
    has_successor: bool = False


@dataclass(frozen=True, slots=True)
class OtherProcessLoad:
    """Load of another process of this node on the same cores: its runs, memory and open calls.

    ``running``: on a cold node, the larger of its runs and its launches in the last window. ``present``:
    False once the process has ended.
    """

    running: int = 0
    held_kb: float = 0.0
    open_calls: int = 0
    present: bool = True


@dataclass(frozen=True, slots=True)
class MemoryLimit:
    """The part of the node's memory that this process may use; None: what the other process leaves."""

    limit_kb: float | None


@dataclass(frozen=True, slots=True)
class Gauges:
    """Gauges of the node itself; None for a gauge that the site doesn't provide."""

    cpu_busy: float | None = None
    runnable: float | None = None
    memory_used: float | None = None
    connections: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that SetTimer set has fired; it carries a sample of the gauges."""

    token: int
    gauges: Gauges = field(default_factory=Gauges)


Event = (
    Arrived
    | RunFinished
    | CallNeeded
    | CallEnded
    | CallerDisconnected
    | SettingsChanged
    | ShutdownNotice
    | OtherProcessLoad
    | MemoryLimit
    | TimerFired
)


# --- actions


@dataclass(frozen=True, slots=True)
class Run:
    """Start a held request, or resume a paused one."""

    id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject an attempt that never ran. ``no_retry`` asks the caller not to retry at another node."""

    id: int
    retry_after_s: float | None = None
    no_retry: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer with an error; the request may or may not have run."""

    id: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run in the way that the site's StopMode allows."""

    id: int


@dataclass(frozen=True, slots=True)
class Call:
    """Issue the call that a run waits for, and abandon it after ``max_wait_s``."""

    id: int
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Let a run continue without its call."""

    id: int


@dataclass(frozen=True, slots=True)
class Remember:
    """Store a request in the node's table for ``ttl_s``, so that repeats of it are recognised."""

    id: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class Forget:
    """Remove the entry that Remember stored, because the request never ran."""

    id: int


@dataclass(frozen=True, slots=True)
class ShareResult:
    """Answer a held repeat with the result of the request that it repeats."""

    id: int


@dataclass(frozen=True, slots=True)
class Health:
    """Set the answer to health checks; ``cached`` lets this value alone answer them, which is cheap."""

    healthy: bool
    cached: bool = True


@dataclass(frozen=True, slots=True)
class Advertise:
    """Set the load report attached to every answer; LoadReportKind defines its meaning."""

    value: float


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close connections that have been idle for ``after_s``; 0 applies the settings' timeout."""

    after_s: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event with this token after ``delay_s``."""

    token: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Run
    | Reject
    | Fail
    | Stop
    | Call
    | SkipCall
    | Remember
    | Forget
    | ShareResult
    | Health
    | Advertise
    | CloseIdleConnections
    | SetTimer
    | Log
)
