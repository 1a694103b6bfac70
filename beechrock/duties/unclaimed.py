"""Unclaimed grants: grants that their holder has never asked to renew, and that may be replaced early.

States of a grant made in this leadership: unclaimed, then renewed (for good). A holder may act only after the
first reply that renews its fence (holder.py), only the grantor of the leadership sends such replies, and a
grant that a proposal replaces is not renewed any more. So nobody acts, now or later, under a grant that was
made in this leadership and that its grantor has not renewed: another may be proposed in its place without
waiting for a lease to expire.

Invariants: a grant from before this leadership is never unclaimed, because the last leader may have renewed
it; a grant that was renewed once is never unclaimed again, because the reply may have arrived.

The wait before a replacement serves liveness only. It is CLAIM_LEASES of a lease and doubles with each member
that was passed over, so that if all members are slow, one of them gets enough time to claim the duty.
"""

from collections.abc import Container

from beechrock.duties.guards import Guard
from beechrock.duties.model import Grant

CLAIM_LEASES = 0.2  # Time, in leases, for which the first holder may leave a grant unclaimed
MAX_PASSED_OVER = 8  # Maximum number of passed-over members remembered per duty


class UnclaimedGrants:
    """Record of the grants renewed in this leadership, and of the members passed over for each duty."""

    def __init__(self, leader_epoch: int, without: frozenset[str] = frozenset()) -> None:
        self.leader_epoch = leader_epoch  # grants with a higher fence were made in this leadership
        self.without = without
        self.renewed: set[int] = set()  # fences renewed at least once in this leadership
        self.passed_over: dict[str, list[str]] = {}  # members that did not claim a duty, by duty; latest last

    def on_renewed(self, name: str, fence: int) -> None:
        """Record that the holder asked for the fence and that the reply renews it."""
        self.renewed.add(fence)
        self.passed_over.pop(name, None)

    def is_unclaimed(self, grant: Grant) -> bool:
        """Return whether the grant is unclaimed, so that nobody can act under it."""
        if grant.fence < self.leader_epoch and Guard.EARLIER_LEADER not in self.without:
            return False
        return grant.fence not in self.renewed or Guard.RENEWED_ONCE in self.without

    def is_overdue(self, name: str, grant: Grant, unrenewed_s: float) -> bool:
        """Return whether the grant has been unclaimed for too long.

        ``unrenewed_s`` is the number of seconds since the grant was first seen in the log.
        """
        wait_s = CLAIM_LEASES * grant.lease_s * 2.0 ** len(self.passed_over.get(name, ()))
        return self.is_unclaimed(grant) and unrenewed_s >= wait_s

    def passed_over_with(self, name: str, grant: Grant | None) -> list[str]:
        """Return the members that did not claim the duty, this grant's holder last if it is unclaimed."""
        passed_over = self.passed_over.get(name, [])
        if grant is None or not self.is_unclaimed(grant):
            return passed_over
        earlier = [member for member in passed_over if member != grant.holder]
        return [*earlier, grant.holder][-MAX_PASSED_OVER:]

    def forget(self, fences: set[int], duties: Container[str]) -> None:
        """Forget all fences and duties except the given ones, which are still in the log."""
        self.renewed &= fences
        for name in [name for name in self.passed_over if name not in duties]:
            del self.passed_over[name]
