"""The leader's record of one follower's replication progress. Pure.

Invariant: ``match`` < ``next``; entries up to ``match`` equal the leader's and are synced at the follower.
"""

from dataclasses import dataclass

from beechrock.agree.messages import Mark, MemoryStatus
from beechrock.agree.rules import MAX_UNACKNOWLEDGED

NO_SNAPSHOT = -1  # Value of ``snapshot_offset`` while no snapshot is sent


@dataclass(slots=True)
class Progress:
    """Replication state of one follower in the leader's term."""

    next: int  # index of the next entry to send
    match: int = 0  # index up to which the follower's log agrees and is synced
    memory: MemoryStatus = MemoryStatus.UNPROVEN
    epoch_count: int = 0  # count of the follower's newest epoch known in this term; 0 for none
    mark: Mark | None = None
    snapshot_index: int = 0  # index of the snapshot being sent
    snapshot_offset: int = NO_SNAPSHOT  # bytes of that snapshot that the follower has received
    answered_s: float = float("-inf")  # time of its last answer, in seconds of the leader's clock

    @property
    def may_send(self) -> bool:
        """Whether more entries may be sent before the next acknowledgement."""
        return self.next - self.match <= MAX_UNACKNOWLEDGED

    def acknowledge(self, match: int) -> None:
        """Record that entries up to ``match`` agree and are synced."""
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)

    def reject(self, hint: int) -> bool:
        """Move ``next`` back to ``hint``, but not to ``match`` or before; return whether it moved."""
        previous = self.next
        self.next = max(self.match + 1, min(self.next, hint))
        return self.next < previous

    def restart(self) -> None:
        """Discard the acknowledgements of the follower's former process."""
        self.next = self.match + 1
        self.match = 0
        self.memory = MemoryStatus.UNPROVEN
        self.snapshot_offset = NO_SNAPSHOT
        self.mark = None
