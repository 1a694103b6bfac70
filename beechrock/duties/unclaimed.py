"""Grants that their holder has not claimed: when another member gets the duty, and which one does not.

States of a grant of this leadership: unclaimed, then renewed (for good). A right begins with the first answer
that renews its fence (holder.py), answers come from the grantor of a leadership alone, and what a proposal
replaces is not renewed. So under a grant that was made in this leadership, and that its grantor has not
renewed, nobody acts, now or later: another may be proposed in its place without any time passing.

Invariants: a grant from before this leadership is never unclaimed, as the last leader may have renewed it;
one that was renewed once is never unclaimed again, as the answer may have arrived. The time that is waited is
for liveness alone: CLAIM of a lease, doubled with each member passed over, so that where all are slow one is
waited for.
"""

from collections.abc import Container

from beechrock.duties.guards import Guard
from beechrock.duties.model import Grant

CLAIM_LEASES = 0.2  # of a lease, until a member asks for what it was granted
MAX_PASSED_OVER = 8  # members remembered a duty


class UnclaimedGrants:
    """Which grants of this leadership were renewed, and who was passed over."""

    def __init__(self, leader_epoch: int, without: frozenset[str] = frozenset()) -> None:
        self.leader_epoch = leader_epoch  # grants with a higher fence are of this leadership
        self.without = without
        self.renewed: set[int] = set()  # fences
        self.passed_over: dict[str, list[str]] = {}  # by duty: who did not claim it, the newest last

    def on_renewed(self, name: str, fence: int) -> None:
        """Take note that the holder asked, and that the answer renews the fence."""
        self.renewed.add(fence)
        self.passed_over.pop(name, None)

    def is_unclaimed(self, grant: Grant) -> bool:
        """Return whether nobody can act under the grant."""
        if grant.fence < self.leader_epoch and Guard.EARLIER_LEADER not in self.without:
            return False
        return grant.fence not in self.renewed or Guard.RENEWED_ONCE in self.without

    def is_overdue(self, name: str, grant: Grant, unrenewed_s: float) -> bool:
        """Return whether it is unclaimed for too long; ``silent_s``: since it was first seen in the log."""
        wait_s = CLAIM_LEASES * grant.lease_s * 2.0 ** len(self.passed_over.get(name, ()))
        return self.is_unclaimed(grant) and unrenewed_s >= wait_s

    def passed_over_with(self, name: str, grant: Grant | None) -> list[str]:
        """Return who did not claim the duty, with the holder of this grant if it has not."""
        passed_over = self.passed_over.get(name, [])
        if grant is None or not self.is_unclaimed(grant):
            return passed_over
        earlier = [member for member in passed_over if member != grant.holder]
        return [*earlier, grant.holder][-MAX_PASSED_OVER:]

    def forget(self, fences: set[int], duties: Container[str]) -> None:
        """Keep only these fences and duties, which are still in the log."""
        self.renewed &= fences
        for name in [name for name in self.passed_over if name not in duties]:
            del self.passed_over[name]
