"""Callers that wait until the disks of a majority hold a change. Pure.

Invariant: a wait ends only when enough peers for a majority with this node have acknowledged the change,
each of them whole at that time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from beechrock.replica.errors import ReplicaFullError

MOST_WAITERS = 4096


@dataclass(slots=True)
class Waiter:
    """One caller's wait for a record."""

    name: bytes
    seq: int  # Number of the record's change that has to be acknowledged.
    kept: Callable[[], None]  # Called at the end of the wait.
    by: set[str] = field(default_factory=set)  # Peers that have acknowledged the change.


@dataclass(slots=True)
class Waiters:
    need: int  # Number of peers that have to acknowledge a change.
    waiting: list[Waiter] = field(default_factory=list)

    def wait(self, name: bytes, seq: int, kept: Callable[[], None]) -> Waiter:
        """Add a wait for change ``seq`` of a record. Raises ReplicaFullError if too many callers wait."""
        if len(self.waiting) >= MOST_WAITERS:
            raise ReplicaFullError(
                f"{MOST_WAITERS} wait for a majority", where="replica", do="come back later"
            )
        made = Waiter(name, seq, kept)
        self.waiting.append(made)
        self._done()
        return made

    def acked(self, by: str, names: dict[bytes, int]) -> None:
        """Record a peer's acknowledgement of records, each with the number of its newest change there."""
        for one in self.waiting:
            if names.get(one.name, -1) >= one.seq:
                one.by.add(by)
        self._done()

    def upto(self, by: str, seq: int) -> None:
        """Record that a peer holds all changes of this node up to ``seq``."""
        for one in self.waiting:
            if one.seq <= seq:
                one.by.add(by)
        self._done()

    def forget(self, who: str) -> None:
        """Discard the acknowledgements of a peer whose store has lost records."""
        for one in self.waiting:
            one.by.discard(who)

    def set_aside(self, stands: Callable[[bytes], bool]) -> None:
        """Drop the waits for records that were set aside, which no table holds any more. Otherwise another
        node's later write of the same record would end them as if their change were kept."""
        self.waiting = [one for one in self.waiting if stands(one.name)]

    def drop(self, one: Waiter) -> None:
        if one in self.waiting:
            self.waiting.remove(one)

    def _done(self) -> None:
        done = [one for one in self.waiting if len(one.by) >= self.need]
        self.waiting = [one for one in self.waiting if len(one.by) < self.need]
        for one in done:
            one.kept()
