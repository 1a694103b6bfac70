"""State machine of one duty at one process: whether the process may act for the duty now.

States:
- IDLE: this process does not hold the duty.
- TAKING: the log grants the duty to this process; its worker takes over the predecessor's state, up to the
  fence, and has no effect yet.
- HOLDING: the process may act while its lease is valid.
- YIELDING: the worker starts no new work, and finishes or gives back the work in progress.
- LOST: the lease expired, or the worker did not yield in time; the log may still contain the grant.

Events: a grant or its end in the log, replies to renewal requests, a request to yield, the worker's report
that it has taken over or given up, ticks.

Invariants: ``may`` returns a fence only in HOLDING and before the end of the lease by this process's own
clock. The lease starts when the request was *sent*, and is shorter than the leader's by the share DRIFT.
After a pause, or a clock that went back, replies to earlier requests do not count (``PauseDetector``). A
fence that was given back is never used again.
"""

from dataclasses import dataclass
from enum import Enum

from beechrock.duties.guards import Guard
from beechrock.duties.model import DRIFT

# Remaining share of the lease at which a holder with WithoutQuorum.FINISH starts to yield.
FINISH_SHARE = 0.5
YIELD_TIMEOUT_LEASES = 3.0  # Time, in leases, after which a worker that has not given up is stopped
NO_PAUSE_COUNT = -1  # value of ``pauses_at_renewal`` before the first renewal


class HolderState(Enum):
    """State of a duty at this process; operators see the values."""

    IDLE = "idle"
    TAKING = "taking"
    HOLDING = "holding"
    YIELDING = "yielding"
    LOST = "lost"


class Command(Enum):
    """Command that the caller of a holder executes for the duty."""

    TAKE_OVER = "take over"  # run the worker's ``take_over``, then call ``on_taken_over``
    GIVE_UP = "give up"  # run the worker's ``give_up``, then call ``on_given_up``
    STOP = "stop"  # call the worker's ``lost`` at once and cancel its task
    GIVE_BACK = "give back"  # propose the end of the grant; the worker no longer acts under this fence


@dataclass(frozen=True, slots=True)
class HolderAction:
    """Command for the grant with the given fence."""

    command: Command
    fence: int


class PauseDetector:
    """Detector of pauses of this process and of jumps of its clock.

    After either, a lease obtained before is no longer trusted: a clock that does not advance during a pause,
    such as a suspended machine's, would show a lease as valid that ended long ago. ``pauses`` is the number
    of pauses and jumps detected so far.
    """

    def __init__(self, max_gap_s: float, now_s: float, without: frozenset[str] = frozenset()) -> None:
        self.max_gap_s = max_gap_s
        self.last_s = now_s
        self.pauses = 0
        self.without = without

    def observe(self, now_s: float) -> int:
        """Record the current time and return the number of pauses so far."""
        paused = now_s - self.last_s > self.max_gap_s or now_s < self.last_s
        if paused and Guard.PAUSE not in self.without:
            self.pauses += 1
        self.last_s = now_s
        return self.pauses


class Holder:
    """State of one duty at this process.

    In all methods ``now_s`` is a reading of this process's own monotonic clock, and ``pauses`` the count of
    its PauseDetector.
    """

    def __init__(self, finish: bool = False, without: frozenset[str] = frozenset()) -> None:
        self.finish = finish  # whether the duty is declared with WithoutQuorum.FINISH
        self.without = without
        self.state = HolderState.IDLE
        self.state_since_s = 0.0
        self.fence = 0  # fence of this process's grant in the log; 0 without a grant
        self.highest_fence = 0  # highest fence ever granted to this process
        self.lease_s = 0.0  # length of the lease, in seconds
        self.lease_end_s = 0.0  # clock time at which this process must stop acting
        self.leased = False  # whether the leader has renewed this fence and the lease was not lost since
        self.pauses_at_renewal = NO_PAUSE_COUNT  # number of pauses detected before the last renewal
        self.taken_over = False  # whether the worker has taken over the predecessor's state
        self.working = False  # whether the worker was started and has neither given up nor been stopped
        self.yield_reason = ""  # reason of the last request to yield

    def may(self, now_s: float, pauses: int) -> int | None:
        """Return the fence if this process may act now, else None."""
        acts = self.state is HolderState.HOLDING or (
            Guard.STOP_FIRST in self.without and self.state is HolderState.YIELDING
        )
        return self.fence if acts and self._lease_valid(now_s, pauses) else None

    def _lease_valid(self, now_s: float, pauses: int) -> bool:
        return (
            self.leased
            and pauses == self.pauses_at_renewal
            and (now_s < self.lease_end_s or Guard.LEASE_END in self.without)
        )

    def on_grant(self, now_s: float, fence: int, lease_s: float = 0.0) -> list[HolderAction]:
        """Process the grant in the log: ``fence`` is that of this process's grant, 0 if it has none."""
        if fence == self.fence or 0 < fence <= self.highest_fence:  # a fence given back is never used again
            return []
        stop = [HolderAction(Command.STOP, self.fence)] if self.working else []
        self._forget_lease()
        self.yield_reason = ""
        self.fence = fence
        self.highest_fence = max(fence, self.highest_fence)
        if not fence:
            self._set_state(HolderState.IDLE, now_s)
            return stop
        self.lease_s = lease_s
        return [*stop, *self._take_over(now_s)]

    def _take_over(self, now_s: float) -> list[HolderAction]:
        self._set_state(HolderState.TAKING, now_s)
        self.working = True
        self.taken_over = Guard.TAKE_OVER_FIRST in self.without
        return [HolderAction(Command.TAKE_OVER, self.fence)]

    def on_renewed(
        self,
        now_s: float,
        pauses: int,
        sent_s: float,
        fence: int,
        lease_s: float,
    ) -> list[HolderAction]:
        """Process a renewal whose request was sent at ``sent_s``.

        ``pauses`` is the count of pauses, the same when the request was sent as now.
        """
        if fence != self.fence or self.state is HolderState.IDLE:
            return []
        lease_start_s = now_s if Guard.FROM_SENT in self.without else sent_s
        end_s = lease_start_s + lease_s * (1.0 if Guard.DRIFT in self.without else 1.0 - DRIFT)
        if not self.leased or pauses != self.pauses_at_renewal or end_s > self.lease_end_s:
            self.lease_end_s = end_s
            self.lease_s = lease_s
            self.pauses_at_renewal = pauses
            self.leased = True
        if not self._lease_valid(now_s, pauses):
            return []
        if self.state is HolderState.LOST:
            # The fence is the same, so no other member held the duty in between. The worker starts again
            # with a take-over.
            return self._take_over(now_s)
        self._hold_if_ready(now_s, pauses)
        return []

    def on_taken_over(self, now_s: float, pauses: int, fence: int) -> None:
        """Record that the worker has taken over the predecessor's state."""
        if fence == self.fence and self.state is HolderState.TAKING:
            self.taken_over = True
            self._hold_if_ready(now_s, pauses)

    def _hold_if_ready(self, now_s: float, pauses: int) -> None:
        if self.state is HolderState.TAKING and self.taken_over and self._lease_valid(now_s, pauses):
            self._set_state(HolderState.HOLDING, now_s)

    def start_yield(self, now_s: float, fence: int, reason: str) -> list[HolderAction]:
        """Start to yield, for the reason given.

        The leader may have asked for it, this process may be drained or leaving, or there may be no quorum.
        """
        if fence != self.fence or self.state in (HolderState.YIELDING, HolderState.IDLE):
            return []
        self.yield_reason = reason
        if self.state is HolderState.LOST:  # the worker has stopped already
            self._set_state(HolderState.YIELDING, now_s)
            self.leased = False
            return [HolderAction(Command.GIVE_BACK, fence)]
        self._set_state(HolderState.YIELDING, now_s)
        actions = [HolderAction(Command.GIVE_UP, fence)]
        if Guard.STOP_FIRST in self.without:
            actions.append(HolderAction(Command.GIVE_BACK, fence))
        return actions

    def on_given_up(self, fence: int) -> list[HolderAction]:
        """Record that the worker has no work in progress any more, and give the grant back."""
        if fence != self.fence or self.state is not HolderState.YIELDING:
            return []
        self.working = False
        return [HolderAction(Command.GIVE_BACK, fence)]

    def tick(self, now_s: float, pauses: int) -> list[HolderAction]:
        """Handle an expired or soon expiring lease, and a worker that does not yield in time."""
        if self.state is HolderState.HOLDING:
            if not self.leased or now_s >= self.lease_end_s:
                return self._lose(now_s)
            finish_s = FINISH_SHARE * self.lease_s * (1.0 - DRIFT)
            if self.finish and self.lease_end_s - now_s < finish_s:
                return self.start_yield(now_s, self.fence, "no quorum")
        yield_s = now_s - self.state_since_s
        if self.state is HolderState.YIELDING and yield_s > YIELD_TIMEOUT_LEASES * self.lease_s:
            # The worker hangs. The leader does not wait for it, and receivers refuse its late effects.
            return self._lose(now_s)
        return []

    def _lose(self, now_s: float) -> list[HolderAction]:
        self._set_state(HolderState.LOST, now_s)
        self._forget_lease()
        return [HolderAction(Command.STOP, self.fence)]

    def _forget_lease(self) -> None:
        """Reset the lease and the worker's flags to their values before a worker was started."""
        self.leased = False
        self.taken_over = False
        self.working = False

    def _set_state(self, state: HolderState, now_s: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since_s = now_s
