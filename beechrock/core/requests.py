"""Requests, answers, the components that a node's core calls, and their messages; without any protocol."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from beechrock.core.timer_wheel import Timer
from beechrock.interface import Action, Event, Gauges, OtherProcessLoad, Outcome, Settings


class Verdict(Enum):
    """The three kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer; REFUSED guarantees that this request never ran.

    ``advice`` is the value that the module advertises.
    """

    verdict: Verdict
    body: bytes = b""
    retry_after_s: float | None = None
    no_retry: bool = False
    advice: float | None = None
    media: str = ""  # media type of the body; empty: unknown


@dataclass(slots=True, eq=False)
class Request:
    """One attempt, from when a front end has read it until it is answered and its run has ended."""

    trace: str  # identifies it towards workers and called services
    klass: int
    route: str
    born: float  # when it reached the machine, in steady seconds (``core/clock_offset.py``)
    body: bytes
    answer: Callable[[Answer], None]
    kb: float = 1.0
    rank: float | None = None
    caller: int | None = None
    tenant: int | None = None
    retry: bool = False
    nonce: str | None = None  # keyed classes: idempotency key, shared by all retries
    entity: str | None = None  # reads: key of the subject that is read
    limits_tenant: int | None = None  # index of the limits' tenant, which replaces the team's
    # Called once when the request ends, with the seconds that its run took, or None if it never ran.
    ended: Callable[[float | None], None] | None = None
    # Uncertainty of ``born``: seconds by which it may be earlier or later. Due times count from ``born``,
    # repeats are looked up as of ``earliest``, and keys are remembered from ``latest``.
    earlier_s: float = 0.0
    later_s: float = 0.0
    patience_s: float | None = None  # seconds from its birth that its caller waits; None: unknown
    cost_s: float | None = None
    generation: int = 0  # routing policy generation at the node that forwarded it; 0: not forwarded
    overdue: Timer | None = None
    id: int = 0
    digest: bytes = b""  # keyed classes: digest of the body, which is dropped at the end
    granted: bool = False  # the other process of this node lets it run
    first: "Request | None" = None  # the request that this one repeats
    waiters: "list[Request]" = field(default_factory=list)  # repeats that share this one's result
    answered: bool = False
    cancelled: bool = False
    running: bool = False
    paused: bool = False
    over: bool = False
    never_ran: bool = False  # over without a launch, so that it had no effect
    shared_at: float | None = None
    result: bytes | None = None  # result of a successful run
    media: str = ""
    launched_at: float = 0.0
    ended_at: float = 0.0
    replied: int = 0  # HTTP status of its run from a server; -1: no server was reached; 0: unknown
    call_mark: int = 0  # number of the call that its run waits for
    call_body: bytes | None = None

    @property
    def earliest(self) -> float:
        """The earliest possible birth; the key is looked up as of this time to find a repeat."""
        return self.born - self.earlier_s

    @property
    def latest(self) -> float:
        """The latest possible birth; a new key is remembered from this time on."""
        return self.born + self.later_s


class Work(Protocol):
    """Runs requests: the agent, or servers that speak SCGI. Reports to the module's actor by messages."""

    def launch(self, request: Request) -> None:
        """Start the run of a request."""

    def stop(self, request: Request) -> None:
        """Pause a run."""

    def resume(self, request: Request) -> None:
        """Resume a paused run."""

    def deliver(self, request: Request, reply: bytes) -> None:
        """Pass a call's reply to the run that waits for it."""

    def forgo(self, request: Request, mark: int) -> None:
        """Let a run continue without its call number ``mark``."""

    def sample(self) -> None:
        """Request the gauges, which arrive as ``GaugesSampled``."""

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Test whether runs can be started, and call ``report`` with the result."""


class Calls(Protocol):
    """Sends the calls of runs to downstream services."""

    def call(self, request: Request, body: bytes, wait_s: float) -> None:
        """Send a request's call, which is abandoned after ``wait_s`` seconds."""

    def abandon(self, request: Request) -> None:
        """Abandon a request's call."""


class Partner(Protocol):
    """Agrees with the other process of this node, during a hand-over, which keys may run here."""

    def request_run(self, request: Request) -> bool:
        """Return whether a keyed request may be received now; if not, it is posted again or answered."""

    def find_proxy(self, request: Request) -> Request | None:
        """Return the other process's request that this one repeats, or None."""

    def claim_run(self, request: Request, until: float) -> bool:
        """Claim a request's key for its run; return whether the run may start.

        It must not start if the other process cannot be notified.
        """

    def release(self, request: Request) -> None:
        """Release the claim on the key of a request."""

    def finish(self, request: Request, held: bool) -> None:
        """Record that a request has ended; ``held``: it is remembered, so that its result may be shared."""


class Tracer(Protocol):
    """Records the module's events and actions, and the outcomes of requests. Must not block."""

    def started(self, now: float, seed: int, settings: Settings, started: float) -> None:
        """Record the start of a module whose workers started at ``started``."""

    def batch(self, now: float, events: Sequence[Event], actions: Sequence[Action]) -> None:
        """Record the events of one batch and the resulting actions."""

    def taken(self, now: float, request: Request, team: str) -> None:
        """Record a request that entered the table."""

    def rejected(self, now: float, request: Request, team: str, reason: str) -> None:
        """Record an invalid request."""

    def answered(self, now: float, request: Request, answer: Answer) -> None:
        """Record a request's final answer."""

    def run_ended(self, now: float, request: Request, outcome: Outcome, elapsed_s: float) -> None:
        """Record the end of a run."""


# Messages to the module's actor.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A front end has read a complete request; it gets one final answer unless it is cancelled."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A front end reports that nobody waits for a request any more."""

    request: Request


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The run of a request ended after ``elapsed_s`` seconds."""

    trace: str
    outcome: Outcome
    elapsed_s: float
    result: bytes = b""
    media: str = ""


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run waits for a call with this body; ``mark`` is the call's number in the run."""

    trace: str
    mark: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallDone:
    """A run's call ended, with a reply where the outcome is OK."""

    request: Request
    outcome: Outcome
    elapsed_s: float
    reply: bytes = b""


@dataclass(frozen=True, slots=True)
class GaugesSampled:
    """A sample of the gauges was taken."""

    gauges: Gauges


@dataclass(frozen=True, slots=True)
class WorkersStarted:
    """The workers that run requests started ``age_s`` seconds ago; cold ones need a slow start."""

    needs_warm_up: bool
    age_s: float


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """Shutdown notice: the process ends in ``remaining_s`` s. ``replaced``: another process takes over."""

    remaining_s: float
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class SettingsUpdated:
    """New classes and tenants for requests read from now on; existing ones keep their indexes."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class MemoryJoined:
    """A predecessor shares the node's memory with this process; it expects the limit used here."""


@dataclass(frozen=True, slots=True)
class MemorySplit:
    """A successor shares the node's memory with this process, and has stated its limit."""

    other_kb: float


@dataclass(frozen=True, slots=True)
class MemoryRequested:
    """The other process requests memory over ``channel``; it waits for one reply."""

    wanted_kb: float
    channel: object


@dataclass(frozen=True, slots=True)
class MemoryGiven:
    """The other process has given memory in reply to a request."""

    given_kb: float


@dataclass(frozen=True, slots=True)
class MemoryEnded:
    """The process that shared the node's memory has ended."""


MemoryMessage = MemoryJoined | MemorySplit | MemoryRequested | MemoryGiven | MemoryEnded
Message = (
    RequestReceived
    | RequestCancelled
    | RunEnded
    | CallRequested
    | CallDone
    | GaugesSampled
    | WorkersStarted
    | SettingsUpdated
    | ShutdownRequested
    | OtherProcessLoad
    | MemoryMessage
)
