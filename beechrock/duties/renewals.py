"""The leader's record of each current grant: when it was last renewed, and whether it may be renewed again.

States of a grant here: unclaimed (unclaimed.py); renewed, until its lease, counted from the last reply, has
expired; asked to yield; ending (not renewed any more); expired. Events: a member's request, a request to
yield, a proposal to replace the grant, a gap of the leader's clock, the end of the grant.

Invariants: an ending grant is never renewed again in this leadership. For a grant from before this leadership
the last renewal is unknown, so it expires at the earliest one whole lease after the end of the previous
leadership (quiet_period.py). A gap of the clock does not count towards any lease.
"""

from collections.abc import Container, Iterable

from beechrock.duties.grantor_data import LastProgress, YieldRequest
from beechrock.duties.grants import GrantTable
from beechrock.duties.guards import Guard
from beechrock.duties.messages import HeldFence, RenewedLease
from beechrock.duties.model import Duty, Grant
from beechrock.duties.unclaimed import UnclaimedGrants

# Time without progress, in leases, after which a holder with waiting work counts as stalled.
STALL_LEASES = 3.0
YIELD_GRACE_LEASES = 2.0  # Time, in leases, for which a holder that was asked to yield is still renewed


class Renewals:
    """Renewal state of the grants in the log, by fence.

    ``quiet_since_s`` is the time since which no leader has renewed a grant.
    """

    def __init__(self, quiet_since_s: float, grants: GrantTable, without: frozenset[str]) -> None:
        first_s = float("-inf") if Guard.NEW_LEADER_WAITS in without else quiet_since_s
        self._without = without
        # Clock time of the last renewal, or of the first check of a grant not renewed yet, by fence.
        self._renewed_s = {grant.fence: first_s for grant in grants.held.values()}
        self._ending: set[int] = set()  # fences that are not renewed any more
        self._progress: dict[int, LastProgress] = {}  # last progress of the holder, by fence
        self.yield_requests: dict[int, YieldRequest] = {}  # pending requests to yield, by fence
        self.unclaimed = UnclaimedGrants(grants.leader_epoch, without)

    # --- a member's request

    def record_progress(self, now_s: float, held: HeldFence) -> None:
        """Record the holder's progress from its request."""
        previous = self._progress.get(held.fence)
        if previous is None or held.done != previous.done or not held.waiting:
            self._progress[held.fence] = LastProgress(held.done, now_s)

    def renew(self, now_s: float, name: str, grant: Grant) -> RenewedLease | None:
        """Renew the grant at its holder's request; return None if the grant is ending."""
        if grant.fence in self._ending and Guard.ENDING not in self._without:
            return None  # a proposal to replace it is pending, or its holder has not yielded in time
        self._renewed_s[grant.fence] = now_s
        self.unclaimed.on_renewed(name, grant.fence)
        return RenewedLease(grant.fence, grant.lease_s)

    # --- the end of a grant

    def unrenewed_s(self, now_s: float, grant: Grant) -> float:
        """Return the seconds since the grant was last renewed, or since the first call if it never was."""
        return now_s - self._renewed_s.setdefault(grant.fence, now_s)

    def next_expiry_s(self, now_s: float, grants: Iterable[Grant]) -> float:
        """Return the clock time at which the next lease expires unless renewed, or infinity without one."""
        ends_s = (self._renewed_s.get(grant.fence, now_s) + grant.lease_s for grant in grants)
        return min((end_s for end_s in ends_s if end_s > now_s), default=float("inf"))

    def is_stalled(self, now_s: float, duty: Duty, grant: Grant) -> bool:
        """Return whether the holder has made no progress for too long while work waits."""
        last = self._progress.get(grant.fence)
        progress_s = last.at_s if last is not None else now_s
        return now_s - progress_s > STALL_LEASES * duty.lease_s and Guard.PROGRESS not in self._without

    def request_yield(self, now_s: float, grant: Grant, reason: str) -> None:
        """Record that the grant's holder is asked to yield."""
        self.yield_requests[grant.fence] = YieldRequest(now_s, reason)

    def end_overdue_yield(self, now_s: float, duty: Duty, grant: Grant) -> None:
        """Mark the grant as ending if its holder was asked to yield and has not done so in time."""
        if now_s - self.yield_requests[grant.fence].requested_s > YIELD_GRACE_LEASES * duty.lease_s:
            self._ending.add(grant.fence)

    def replace(self, duty: Duty, grant: Grant, passed_over: list[str]) -> str:
        """Mark the grant as ending, because another is proposed in its place; return the reason."""
        reason = f"{grant.holder} was not heard"
        if self.unclaimed.is_unclaimed(grant):
            reason = f"{grant.holder} did not take it"
            self.unclaimed.passed_over[duty.name] = passed_over
        if grant.fence in self.yield_requests:
            reason = self.yield_requests[grant.fence].reason
        self._ending.add(grant.fence)
        return reason

    # --- time and the log

    def discount_gap(self, now_s: float, shift_s: float) -> None:
        """Exclude a gap of the leader's clock from the time of every lease and of every stall."""
        for fence, renewed_s in self._renewed_s.items():
            self._renewed_s[fence] = min(now_s, renewed_s + shift_s)
        self._progress = {fence: LastProgress(last.done, now_s) for fence, last in self._progress.items()}

    def forget_ended(self, fences: set[int], duties: Container[str]) -> None:
        """Forget all fences and duties except the given ones, which are still in the log."""
        for table in (self._renewed_s, self.yield_requests, self._progress):
            for fence in [fence for fence in table if fence not in fences]:
                del table[fence]
        self._ending &= fences
        self.unclaimed.forget(fences, duties)
