"""The member's state as read back from its journal records, in the order in which they were written. Pure.

The store's index is not the log's index: a single store holds entries, terms, votes and marks in the order of
their writes, so that one sync makes all of them durable. ``to_records`` returns the state as one list of
records, for the store's snapshot.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from beechrock.agree.errors import BrokenInvariantError
from beechrock.agree.messages import (
    BarredState,
    Entry,
    Epoch,
    EpochOpened,
    HardState,
    Mark,
    PeerMark,
    Record,
    Snapshot,
)
from beechrock.agree.rules import MAX_EPOCHS


@dataclass(slots=True)
class RecoveredState:
    """State read back from a journal.

    ``position``: number of records ever written; it never falls unless the folder is replaced.
    """

    term: int = 0
    vote: str = ""
    barred: bool = False
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    epochs: tuple[Epoch, ...] = ()
    peer_marks: dict[str, Mark] = field(default_factory=dict)
    position: int = 0

    def apply(self, record: Record) -> None:
        """Apply the next record. Raises BrokenInvariantError for an entry that leaves a gap."""
        self.position += 1
        match record:
            case HardState():
                self.term = record.term
                self.vote = record.vote
            case Entry():
                self._append(record)
            case Snapshot():
                self.snapshot = record
                self.entries = []
            case EpochOpened():
                self.epochs = (*self.epochs, record.epoch)[-MAX_EPOCHS:]
            case PeerMark():
                self.peer_marks[record.peer] = record.mark
            case BarredState():
                self.barred = record.barred

    def _append(self, entry: Entry) -> None:
        start = self.snapshot.index if self.snapshot else 0
        if self.entries:
            start = self.entries[0].index - 1
        if entry.index > start + len(self.entries) + 1 or entry.index <= start:
            raise BrokenInvariantError(
                f"entry {entry.index} after {start + len(self.entries)}", where="agree journal"
            )
        del self.entries[entry.index - start - 1 :]
        self.entries.append(entry)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        self.snapshot = snapshot
        self.entries = [entry for entry in self.entries if entry.index > snapshot.index]

    @property
    def empty(self) -> bool:
        """Whether there is no term, snapshot or entry, so that no vote or acknowledgement depends on it."""
        return self.term == 0 and self.snapshot is None and not self.entries


def from_records(records: Iterable[Record], position: int = 0) -> RecoveredState:
    """Return the state that results from applying the records.

    ``position``: number of records ever written, if the records are a whole state that replaced others.
    """
    state = RecoveredState()
    for record in records:
        state.apply(record)
    state.position = max(position, state.position)
    return state


def to_records(state: RecoveredState) -> list[Record]:
    """Return records from which ``from_records`` restores ``state``, except for its position."""
    records: list[Record] = [EpochOpened(epoch) for epoch in state.epochs]
    records += [PeerMark(peer, mark) for peer, mark in state.peer_marks.items()]
    records += [HardState(state.term, state.vote), BarredState(state.barred)]
    if state.snapshot is not None:
        records.append(state.snapshot)
        return records + [entry for entry in state.entries if entry.index > state.snapshot.index]
    return records + list(state.entries)
