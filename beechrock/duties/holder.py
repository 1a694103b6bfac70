"""One duty at one process: what the process may do of it now.

States: IDLE (not this process's); TAKING (its own by the log: the predecessor's state is taken over up to the
fence, nothing is done yet); HOLDING; YIELDING (nothing new; what is in hand is finished or given back); LOST
(the lease ran out, or was not sure after a pause for too long; its own by the log still, perhaps).
Events: a grant or its end in the log, answers to requests for renewal, a request to yield, the worker is
done, ticks.

Invariants: ``may`` gives a fence in HOLDING only, before the lease's end by this process's own clock; the
lease is counted from when the request was *sent*, and is DRIFT shorter than the leader's; after a pause, or a
clock that went back, no answer to a request sent before it counts (``PauseDetector``); a fence that was given
back is never acted on again.
"""

from dataclasses import dataclass
from enum import Enum

from beechrock.duties.guards import Guard
from beechrock.duties.model import DRIFT

FINISH_SHARE = 0.5  # of the lease left, when one that is to FINISH without a quorum takes nothing new
YIELD_TIMEOUT_LEASES = 3.0  # after which a worker that does not give up is stopped
NO_PAUSE_COUNT = -1


class HolderState(Enum):
    """State of a duty at this process; the values are shown to operators."""

    IDLE = "idle"
    TAKING = "taking"
    HOLDING = "holding"
    YIELDING = "yielding"
    LOST = "lost"


class Command(Enum):
    """What the shell does for a duty."""

    TAKE_OVER = "take over"  # the worker's ``take_over``; then ``on_taken_over``
    GIVE_UP = "give up"  # the worker's ``give_up``; then ``on_given_up``
    STOP = "stop"  # the worker's ``lost``: at once, whatever it was doing
    GIVE_BACK = "give back"  # propose the end of the grant: nothing is done under this fence any more


@dataclass(frozen=True, slots=True)
class HolderAction:
    """A command for the grant with this fence."""

    command: Command
    fence: int


class PauseDetector:
    """Notices that this process stood still, or that its clock did not go on as it should.

    After either, what was sure is sure no more: a clock that does not count all of a pause (a machine that
    was suspended) would else show a lease as good that ended long ago. ``pauses`` counts those moments.
    """

    def __init__(self, max_gap_s: float, now_s: float, without: frozenset[str] = frozenset()) -> None:
        self.max_gap_s = max_gap_s
        self.last_s = now_s
        self.pauses = 0
        self.without = without

    def observe(self, now_s: float) -> int:
        """Take note of the time; return the count of pauses."""
        paused = now_s - self.last_s > self.max_gap_s or now_s < self.last_s
        if paused and Guard.PAUSE not in self.without:
            self.pauses += 1
        self.last_s = now_s
        return self.pauses


class Holder:
    """One duty. ``now_s`` is this process's own monotonic clock; ``pauses`` is its PauseDetector's count."""

    def __init__(self, finish: bool = False, without: frozenset[str] = frozenset()) -> None:
        self.finish = finish  # WithoutQuorum.FINISH
        self.without = without
        self.state = HolderState.IDLE
        self.state_since_s = 0.0
        self.fence = 0  # of the grant in the log, 0 for none
        self.highest_fence = 0  # ever given
        self.lease_s = 0.0
        self.lease_end_s = 0.0
        self.leased = False  # the leader has renewed this fence
        self.pauses_at_renewal = NO_PAUSE_COUNT  # the count of pauses when it did
        self.taken_over = False
        self.working = False  # the worker has something to stop
        self.yield_reason = ""

    def may(self, now_s: float, pauses: int) -> int | None:
        """Return the fence, if this process may act now."""
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
        """Take note of the log: the duty is this process's under the fence; 0: it is not."""
        if fence == self.fence or 0 < fence <= self.highest_fence:  # what was given back never comes back
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
        self.taken_over = Guard.TAKE_OVER in self.without
        return [HolderAction(Command.TAKE_OVER, self.fence)]

    def on_renewed(
        self,
        now_s: float,
        pauses: int,
        sent_s: float,
        fence: int,
        lease_s: float,
    ) -> list[HolderAction]:
        """Take note of a renewal that was asked for at ``sent_s``; ``pauses`` is that of then and of now."""
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
            # The same fence: nobody held it in between. The worker begins anew, from what it finds.
            return self._take_over(now_s)
        self._hold_if_ready(now_s, pauses)
        return []

    def on_taken_over(self, now_s: float, pauses: int, fence: int) -> None:
        """Take note that the worker has the predecessor's state."""
        if fence == self.fence and self.state is HolderState.TAKING:
            self.taken_over = True
            self._hold_if_ready(now_s, pauses)

    def _hold_if_ready(self, now_s: float, pauses: int) -> None:
        if self.state is HolderState.TAKING and self.taken_over and self._lease_valid(now_s, pauses):
            self._set_state(HolderState.HOLDING, now_s)

    def start_yield(self, now_s: float, fence: int, reason: str) -> list[HolderAction]:
        """Yield: asked by the leader, an operator, or this process's own end."""
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
        """Take note that the worker has nothing in hand any more."""
        if fence != self.fence or self.state is not HolderState.YIELDING:
            return []
        self.working = False
        return [HolderAction(Command.GIVE_BACK, fence)]

    def tick(self, now_s: float, pauses: int) -> list[HolderAction]:
        """End what is overdue."""
        if self.state is HolderState.HOLDING:
            if not self.leased or now_s >= self.lease_end_s:
                return self._lose(now_s)
            finish_s = FINISH_SHARE * self.lease_s * (1.0 - DRIFT)
            if self.finish and self.lease_end_s - now_s < finish_s:
                return self.start_yield(now_s, self.fence, "no quorum")
        yield_s = now_s - self.state_since_s
        if self.state is HolderState.YIELDING and yield_s > YIELD_TIMEOUT_LEASES * self.lease_s:
            # What was in hand hangs. The leader does not wait for it: the receiver refuses what comes late.
            return self._lose(now_s)
        return []

    def _lose(self, now_s: float) -> list[HolderAction]:
        self._set_state(HolderState.LOST, now_s)
        self._forget_lease()
        return [HolderAction(Command.STOP, self.fence)]

    def _forget_lease(self) -> None:
        """Go back to what holds before a worker has begun."""
        self.leased = False
        self.taken_over = False
        self.working = False

    def _set_state(self, state: HolderState, now_s: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since_s = now_s
