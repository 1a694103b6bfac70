"""State machine of this node's disk, which stores its queue or upstream's marks. Pure.

States: RUNNING; FULL (no room) and FAILING (a write, sync or read failed): requests that need the disk are
refused, at least until ``try_at``; TRYING (a check of the disk is under way); STOPPED (a working disk does
not help: an operator has to act).
Events: ``fell`` (an error that ``heals``), ``stop`` (any other error), ``due`` (by time), ``tried``.
Guards: a check succeeds only once all records that may not be durable are rewritten and synced. After damage
to a store or a broken invariant the state stays STOPPED.
Invariants: STOPPED is never left; a check begins neither before ``try_at`` nor while another is under way; a
disk that fails again soon after a successful check waits longer, instead of from the first wait on.
"""

from dataclasses import dataclass
from enum import Enum

from beechrock.duties.errors import FenceUnkeptError
from beechrock.errors import OperatorError
from beechrock.store.errors import StoreFailedError, StoreFullError
from beechrock.store.failure import NO_SPACE_ERRNOS

FIRST_WAIT_S, MAX_WAIT_S = (
    0.5,
    8.0,
)  # First and longest wait before a check, in seconds; it doubles in between
CALM_S = 30.0  # Seconds in RUNNING after which the next wait is the first one again
CHECK_BYTES = 256 << 10  # Bytes that a check writes and syncs, as a few free bytes are soon used up
MAKE_ROOM = "make room on the disk; it goes on by itself"
MEND_DISK = "look at the disk and the kernel's log; it goes on by itself once the disk writes again"
STOPPED_DO = "keep the state folder and the log, start the node again; if it stops again: docs/edges.md"


class Disk(Enum):
    RUNNING = "running"
    FULL = "full"
    FAILING = "failing"
    TRYING = "trying"
    STOPPED = "stopped"


def heals(error: Exception) -> bool:
    """Whether the part can go on after this error once the disk works again."""
    return isinstance(error, OSError | StoreFullError | StoreFailedError | FenceUnkeptError)


def no_room(error: Exception) -> bool:
    """Whether an error that heals was caused by a full disk."""
    return error.errno in NO_SPACE_ERRNOS if isinstance(error, OSError) else isinstance(error, StoreFullError)


@dataclass(slots=True)
class Recovering:
    state: Disk = Disk.RUNNING
    since: float = 0.0
    wait_s: float = 0.0
    try_at: float = 0.0
    looks: int = 0  # Number of checks since the last failure began
    failures: int = 0  # Number of times that the disk became full or failed
    reason: str = ""
    do: str = ""
    waiting_state: Disk = Disk.FULL  # State between two checks: FULL or FAILING

    @property
    def running(self) -> bool:
        return self.state is Disk.RUNNING

    def fell(self, now: float, error: Exception) -> bool:
        """Record an error that heals; return False if the state was not RUNNING, as then a check decides."""
        if not self.running:
            return False
        calm = now - self.since >= CALM_S or not self.failures
        self.wait_s = FIRST_WAIT_S if calm else min(2 * self.wait_s, MAX_WAIT_S)
        self.since, self.try_at = now, now + self.wait_s
        self._set_message(error)
        self.looks, self.failures = 0, self.failures + 1
        return True

    def stop(self, now: float, error: OperatorError) -> None:
        """Stop for good after an error that a working disk does not resolve."""
        self.state, self.since, self.reason, self.do = Disk.STOPPED, now, str(error), error.do or STOPPED_DO

    def due(self, now: float) -> bool:
        """Return True, once, when a check is due; the state is TRYING from then on."""
        if self.state not in (Disk.FULL, Disk.FAILING) or now < self.try_at:
            return False
        self.state, self.looks = Disk.TRYING, self.looks + 1
        return True

    def tried(self, now: float, room: bool, met: Exception | None = None) -> None:
        """Record the result of a check; ``met`` is the error it met, which callers are told from then on."""
        if self.state is not Disk.TRYING:
            return
        if room:
            self.state, self.since, self.reason, self.do = Disk.RUNNING, now, "", ""
            return
        self.wait_s = min(2 * self.wait_s, MAX_WAIT_S)
        self.state, self.try_at = self.waiting_state, now + self.wait_s
        if met is not None:
            self._set_message(met)

    def _set_message(self, error: Exception) -> None:
        full = no_room(error)
        self.state = self.waiting_state = Disk.FULL if full else Disk.FAILING
        self.reason, self.do = str(error), MAKE_ROOM if full else MEND_DISK

    @property
    def message(self) -> str:
        """Text for callers about the state of the disk."""
        return {Disk.RUNNING: "", Disk.STOPPED: "this node's queue has failed"}.get(
            self.state,
            "the disk of this node is full"
            if self.waiting_state is Disk.FULL
            else "the disk of this node fails",
        )

    def view(self, now: float) -> dict[str, object]:
        return {
            "state": self.state.value,
            "since_s": round(now - self.since, 1),
            "times": self.failures,
            **({"why": self.reason, "do": self.do, "looks": self.looks} if not self.running else {}),
        }
