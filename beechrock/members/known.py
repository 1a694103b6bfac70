"""Records of the other members, and the two queues over them: gossip and deadlines; pure.

Both queues are heaps. A replaced entry is not removed, but skipped when it comes up, so that the cost of a
step hardly grows with the fleet. Scans were too slow: with 1,000 members each step visited all of them, and a
simulated second took minutes; in a partition of 300 members each message scanned 157 updates, which was over
a third of the running time.
"""

import heapq
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beechrock.members.messages import MAX_UPDATES, Update


class BucketDigest(NamedTuple):
    """A member's bucket in the digests of a view, and the digest that it adds there by exclusive or."""

    bucket: int
    digest: int


class PendingGossip(NamedTuple):
    """Entry of the gossip queue: an update to pass on; sorted by most times left, then by turn."""

    negated_times_left: int
    turn: int  # Grows with each update added to the queue
    member: "KnownMember"


@dataclass(slots=True)
class KnownMember:
    """Record of another member. Times are seconds of the detector's clock."""

    update: Update
    since_s: float  # Time at which the status was first received
    accusers: set[str] = field(default_factory=set)  # Members that suspect it as they got no answer
    ends_at_s: float = math.inf  # Deadline: the end of its suspicion, or the time at which it is forgotten
    digest: BucketDigest | None = None  # Computed on first use
    next_check_at_s: float = math.inf  # Time of its valid deadline entry, never after ``ends_at_s``
    pending_gossip: PendingGossip | None = None  # Its valid entry in the gossip queue


class GossipQueue:
    """Queue of the updates that are still to be passed on, those with the most times left first."""

    def __init__(self) -> None:
        self.heap: list[PendingGossip] = []
        self._turns = 0

    def add(self, member: KnownMember, times: int, known_count: int) -> None:
        """Queue the member's update to be passed on ``times`` times; one already queued keeps its turn."""
        self._turns += 1
        turn = member.pending_gossip.turn if member.pending_gossip is not None else self._turns
        member.pending_gossip = PendingGossip(-times, turn, member)
        heapq.heappush(self.heap, member.pending_gossip)
        if len(self.heap) > 2 * known_count + MAX_UPDATES:
            self.heap = [pending for pending in self.heap if pending.member.pending_gossip is pending]
            heapq.heapify(self.heap)

    def fill(self, updates: list[Update], limit: int) -> None:
        """Append queued updates until there are ``limit``; skip members that are in the list already."""
        present = {update.name for update in updates}
        requeued: list[PendingGossip] = []
        while self.heap and len(updates) < limit:
            pending = heapq.heappop(self.heap)
            member = pending.member
            if member.pending_gossip is not pending:
                continue
            if member.update.name not in present:
                updates.append(member.update)
                pending = PendingGossip(pending.negated_times_left + 1, pending.turn, member)
                member.pending_gossip = pending
            if pending.negated_times_left:
                requeued.append(pending)
            else:
                member.pending_gossip = None
        for pending in requeued:
            heapq.heappush(self.heap, pending)


class Deadline(NamedTuple):
    """Entry of the deadline queue: the time at which a member's deadline is checked."""

    at_s: float
    name: str


class DeadlineQueue:
    """Queue of the times at which suspicions end, and at which dead or departed members are forgotten."""

    def __init__(self) -> None:
        self._heap: list[Deadline] = []

    def set(self, member: KnownMember, ends_at_s: float) -> None:
        """Set the member's deadline, replacing the previous one."""
        member.ends_at_s = ends_at_s
        if ends_at_s < member.next_check_at_s:
            member.next_check_at_s = ends_at_s
            heapq.heappush(self._heap, Deadline(ends_at_s, member.update.name))

    def expired(self, now_s: float, known: Mapping[str, KnownMember]) -> list[str]:
        """Remove and return the members of ``known`` whose deadline lies at or before ``now_s``."""
        expired = []
        while self._heap and self._heap[0].at_s <= now_s:
            deadline = heapq.heappop(self._heap)
            member = known.get(deadline.name)
            if member is None or member.next_check_at_s != deadline.at_s:
                continue
            member.next_check_at_s = math.inf
            if member.ends_at_s <= now_s:
                expired.append(deadline.name)
            else:
                self.set(member, member.ends_at_s)  # The deadline was postponed meanwhile
        return expired
