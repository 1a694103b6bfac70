"""Requests, their answers, and the parties that a node's core deals with, in terms of no wire."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from beechrock.core.timer_wheel import Timer
from beechrock.interface import Action, Event, Gauges, OtherProcessLoad, Outcome, Settings


class Verdict(Enum):
    """The three final answers."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer; REFUSED says that this try never ran.

    ``advice`` is the value that the module advertises.
    """

    verdict: Verdict
    body: bytes = b""
    retry_after_s: float | None = None
    no_retry: bool = False
    advice: float | None = None
    media: str = ""  # the body's media type; empty: not known


@dataclass(slots=True, eq=False)
class Request:
    """One try, from the moment a front has read it until its answer is out and its run is over."""

    trace: str  # names it towards those who run it and those it calls
    klass: int
    route: str
    born: float  # when it reached the machine, by the node's steady clock (``core/clock_offset.py``)
    body: bytes
    answer: Callable[[Answer], None]
    kb: float = 1.0
    rank: float | None = None
    caller: int | None = None
    tenant: int | None = None
    retry: bool = False
    nonce: str | None = None  # keyed classes: the same for all tries
    entity: str | None = None  # reads: what it is about
    limits_tenant: int | None = None  # the module's tenant for it, by the limits, in place of the team's
    # Called once when nothing of it is open: the seconds that its run took, or None, as it never ran.
    ended: Callable[[float | None], None] | None = None
    # Where the wall clock was stepped, it may have been born this much before ``born``, or after it.
    earlier_s: float = 0.0
    later_s: float = 0.0
    patience_s: float | None = None  # how long its caller waits, from its birth; None: not said
    cost_s: float | None = None
    generation: int = 0  # of routing policy, where another node began it; 0: it begins here
    overdue: Timer | None = None
    id: int = 0
    digest: bytes = b""  # keyed classes: of the body, which itself is dropped at the end
    granted: bool = False  # its key, by the other process of this node
    first: "Request | None" = None  # the try that this one repeats
    waiters: "list[Request]" = field(default_factory=list)  # repeats that share this one's result
    answered: bool = False
    cancelled: bool = False
    running: bool = False
    paused: bool = False
    over: bool = False
    never_ran: bool = False  # over, and never launched: its repeats had no effect through it
    shared_at: float | None = None
    result: bytes | None = None  # of a run that went well
    media: str = ""
    launched_at: float = 0.0
    ended_at: float = 0.0
    replied: int = 0  # the status that a server gave to its run; -1: no server was reached; 0: not known
    call_mark: int = 0  # which call the run waits for
    call_body: bytes | None = None

    @property
    def earliest(self) -> float:
        """The first moment at which it may have been born: what it repeats is looked up as of then."""
        return self.born - self.earlier_s

    @property
    def latest(self) -> float:
        """The last moment at which it may have been born: a key that it opens is kept from then."""
        return self.born + self.later_s


class Work(Protocol):
    """Who runs requests: the agent, or servers that speak SCGI. They report to the module's actor."""

    def launch(self, request: Request) -> None:
        """Start the run of a request."""

    def stop(self, request: Request) -> None:
        """Pause a run that is under way."""

    def resume(self, request: Request) -> None:
        """Go on with a paused run."""

    def deliver(self, request: Request, reply: bytes) -> None:
        """Hand a call's reply to the run that waits for it."""

    def forgo(self, request: Request, mark: int) -> None:
        """Have a run go on without the call ``mark``."""

    def sample(self) -> None:
        """Ask for the gauges; they come as ``GaugesSampled``."""

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Try whether runs can be started; ``report`` is told the result."""


class Calls(Protocol):
    """The services below, which runs call."""

    def call(self, request: Request, body: bytes, wait_s: float) -> None:
        """Make a request's call, abandoned after ``wait_s`` seconds."""

    def abandon(self, request: Request) -> None:
        """Give up a request's call."""


class Partner(Protocol):
    """The other process of this node, where one takes another's place: which keys may run here."""

    def request_run(self, request: Request) -> bool:
        """Return whether a keyed try may be received now; if not, it is posted once more, or is answered."""

    def find_first(self, request: Request) -> Request | None:
        """Return the other's request that this one repeats."""

    def claim_run(self, request: Request, until: float) -> bool:
        """Note that a request is about to run; False where the other cannot learn of it: it must not."""

    def release(self, request: Request) -> None:
        """Note that the key of a request is free again."""

    def finish(self, request: Request, held: bool) -> None:
        """Note that nothing of a request is open; its result may be shared if it is remembered."""


class Tracer(Protocol):
    """Who records the module's events and actions, and what becomes of requests. It must not block."""

    def started(self, now: float, seed: int, settings: Settings, started: float) -> None:
        """Record that a module starts, at ``started`` by its own count."""

    def batch(self, now: float, events: Sequence[Event], actions: Sequence[Action]) -> None:
        """Record one batch and its decisions."""

    def taken(self, now: float, request: Request, team: str) -> None:
        """Record a request that entered the table."""

    def rejected(self, now: float, request: Request, team: str, reason: str) -> None:
        """Record a request whose form was wrong."""

    def answered(self, now: float, request: Request, answer: Answer) -> None:
        """Record a request's final answer."""

    def run_ended(self, now: float, request: Request, outcome: Outcome, elapsed_s: float) -> None:
        """Record the end of a run."""


# Messages of the parties to the module's actor.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A front has read a whole request; from here on it is owed one final answer."""

    request: Request


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A front says that nobody waits for a request any more."""

    request: Request


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The run of a request ended; ``elapsed_s`` is its time on the cores."""

    trace: str
    outcome: Outcome
    elapsed_s: float
    result: bytes = b""
    media: str = ""


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run waits for a call with this body; ``mark`` tells its calls apart."""

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
    """The gauges were read."""

    gauges: Gauges


@dataclass(frozen=True, slots=True)
class WorkersStarted:
    """Those who run requests started ``age_s`` ago; a cold start needs a ramp of its load."""

    needs_warm_up: bool
    age_s: float


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The notice to leave: the process ends in ``remaining_s``. ``replaced``: another goes on as the node."""

    remaining_s: float
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class SettingsUpdated:
    """Other classes and tenants for what is read from now on; those of before keep their places."""

    settings: Settings


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
)
