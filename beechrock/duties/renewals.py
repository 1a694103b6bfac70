"""What the leader knows of each grant in force: when it renewed it, and whether it renews it on.

States of a grant, here: unclaimed (unclaimed.py), renewed (until its lease, counted from the last answer, has
run out), asked to yield, ending (no answer renews it any more), expired (its lease has run out). Events: a
member's request, a request to yield, a proposal in its place, a gap of the leader's clock, its end.

Invariants: what is ending is never renewed again in this leadership; of a grant from before this leadership
it is not known what the last leader renewed, so it expires a whole lease after that one's end at the
earliest (quiet_period.py); none of a gap of the clock counts as time of a lease.
"""

from collections.abc import Container, Iterable

from beechrock.duties.grantor_data import LastProgress, YieldRequest
from beechrock.duties.grants import GrantTable
from beechrock.duties.guards import Guard
from beechrock.duties.messages import HeldFence, RenewedLease
from beechrock.duties.model import Duty, Grant
from beechrock.duties.unclaimed import UnclaimedGrants

STALL_LEASES = 3.0  # leases without progress while work waits
YIELD_GRACE_LEASES = 2.0  # leases for a holder that was asked to yield; then it is not renewed


class Renewals:
    """The grants that are in the log, by fence. ``quiet_since_s``: since when nobody has renewed any."""

    def __init__(self, quiet_since_s: float, grants: GrantTable, without: frozenset[str]) -> None:
        first_s = float("-inf") if Guard.NEW_LEADER_WAITS in without else quiet_since_s
        self._without = without
        self._renewed_s = {grant.fence: first_s for grant in grants.held.values()}
        self._ending: set[int] = set()
        self._progress: dict[int, LastProgress] = {}
        self.yield_requests: dict[int, YieldRequest] = {}
        self.unclaimed = UnclaimedGrants(grants.leader_epoch, without)

    # --- a member's request

    def record_progress(self, now_s: float, held: HeldFence) -> None:
        """Take over what the holder did, and whether work waits."""
        previous = self._progress.get(held.fence)
        if previous is None or held.done != previous.done or not held.waiting:
            self._progress[held.fence] = LastProgress(held.done, now_s)

    def renew(self, now_s: float, name: str, grant: Grant) -> RenewedLease | None:
        """Renew the grant for its holder, which asked; None where it is ending."""
        if grant.fence in self._ending and Guard.ENDING not in self._without:
            return None  # what takes its place is under way
        self._renewed_s[grant.fence] = now_s
        self.unclaimed.on_renewed(name, grant.fence)
        return RenewedLease(grant.fence, grant.lease_s)

    # --- the end of a grant

    def unrenewed_s(self, now_s: float, grant: Grant) -> float:
        """Return how long it was not renewed; from the first look on for one that was never."""
        return now_s - self._renewed_s.setdefault(grant.fence, now_s)

    def next_expiry_s(self, now_s: float, grants: Iterable[Grant]) -> float:
        """Return when the next lease runs out, if it is not renewed; infinity where none will."""
        ends_s = (self._renewed_s.get(grant.fence, now_s) + grant.lease_s for grant in grants)
        return min((end_s for end_s in ends_s if end_s > now_s), default=float("inf"))

    def is_stalled(self, now_s: float, duty: Duty, grant: Grant) -> bool:
        """Return whether the holder makes no progress while work waits."""
        last = self._progress.get(grant.fence)
        progress_s = last.at_s if last is not None else now_s
        return now_s - progress_s > STALL_LEASES * duty.lease_s and Guard.PROGRESS not in self._without

    def request_yield(self, now_s: float, grant: Grant, reason: str) -> None:
        """Take note that its holder is asked to yield."""
        self.yield_requests[grant.fence] = YieldRequest(now_s, reason)

    def end_overdue_yield(self, now_s: float, duty: Duty, grant: Grant) -> None:
        """Renew it no more, where its holder was asked to yield and does not."""
        if now_s - self.yield_requests[grant.fence].requested_s > YIELD_GRACE_LEASES * duty.lease_s:
            self._ending.add(grant.fence)

    def replace(self, duty: Duty, grant: Grant, passed_over: list[str]) -> str:
        """Renew the grant no more, as another is proposed in its place; return the reason."""
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
        """Count none of a gap of the leader's clock as time of a lease."""
        for fence, renewed_s in self._renewed_s.items():
            self._renewed_s[fence] = min(now_s, renewed_s + shift_s)
        self._progress = {fence: LastProgress(last.done, now_s) for fence, last in self._progress.items()}

    def forget_ended(self, fences: set[int], duties: Container[str]) -> None:
        """Keep only these fences and duties, which are still in the log."""
        for table in (self._renewed_s, self.yield_requests, self._progress):
            for fence in [fence for fence in table if fence not in fences]:
                del table[fence]
        self._ending &= fences
        self.unclaimed.forget(fences, duties)
