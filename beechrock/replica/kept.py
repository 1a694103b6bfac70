"""Callers that wait until the disks of a majority hold a change. Pure.

Invariant: a wait ends only when enough peers for a majority with this node have acknowledged the change,
each of them whole at that time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from beechrock.replica.errors import ReplicaFullError

MAX_WAITERS = 4096  # Maximum number of callers that wait.


@dataclass(slots=True)
class Waiter:
    """One caller's wait for a record."""

    name: bytes
    seq: int  # Number of the record's change that has to be acknowledged.
    kept: Callable[[], None]  # Called at the end of the wait.
    acked_by: set[str] = field(default_factory=set)  # Peers that have acknowledged the change.


@dataclass(slots=True)
class Waiters:
    """All callers that wait."""

    need: int  # Number of peers that have to acknowledge a change.
    waiting: list[Waiter] = field(default_factory=list)

    def wait(self, name: bytes, seq: int, kept: Callable[[], None]) -> Waiter:
        """Add a wait for change ``seq`` of a record. Raises ReplicaFullError if too many callers wait."""
        if len(self.waiting) >= MAX_WAITERS:
            raise ReplicaFullError(f"{MAX_WAITERS} wait for a majority", where="replica", do="retry later")
        waiter = Waiter(name, seq, kept)
        self.waiting.append(waiter)
        self._finish()
        return waiter

    def acked(self, peer: str, names: dict[bytes, int]) -> None:
        """Record a peer's acknowledgement of records, each with the number of its newest change there."""
        for waiter in self.waiting:
            if names.get(waiter.name, -1) >= waiter.seq:
                waiter.acked_by.add(peer)
        self._finish()

    def acked_upto(self, peer: str, seq: int) -> None:
        """Record that a peer holds all changes of this node up to ``seq``."""
        for waiter in self.waiting:
            if waiter.seq <= seq:
                waiter.acked_by.add(peer)
        self._finish()

    def forget(self, peer: str) -> None:
        """Discard the acknowledgements of a peer whose store has lost records."""
        for waiter in self.waiting:
            waiter.acked_by.discard(peer)

    def set_aside(self, exists: Callable[[bytes], bool]) -> None:
        """Drop the waits for records that were set aside, which no table holds any more. Otherwise another
        node's later write of the same record would end them as if their change were kept."""
        self.waiting = [waiter for waiter in self.waiting if exists(waiter.name)]

    def drop(self, waiter: Waiter) -> None:
        """End a wait whose caller has given up, if it has not ended."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def _finish(self) -> None:
        done = [waiter for waiter in self.waiting if len(waiter.acked_by) >= self.need]
        self.waiting = [waiter for waiter in self.waiting if len(waiter.acked_by) < self.need]
        for waiter in done:
            waiter.kept()
