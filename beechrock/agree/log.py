"""The part of the log that is kept in memory: the snapshot, entries after it, and some entries before it.

Invariants: indices grow by one; terms never fall; ``start`` is the index before the first kept entry, of term
``start_term``; truncation never removes an entry at or before the snapshot.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from beechrock.agree.errors import BrokenInvariantError
from beechrock.agree.messages import Entry, Snapshot
from beechrock.agree.rules import MAX_APPEND_BYTES, MAX_APPEND_ENTRIES


@dataclass(frozen=True, slots=True, order=True)
class LogEnd:
    """Term and index of a log's last entry; the log with the greater end is more up to date."""

    term: int
    index: int


class Log:
    """The newest snapshot, and the entries from ``start + 1`` to ``last``."""

    def __init__(self, snapshot: Snapshot | None, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.start = snapshot.index if snapshot else 0
        self.start_term = snapshot.term if snapshot else 0
        self.entries: list[Entry] = []
        self.bytes = 0
        for entry in entries:
            if entry.index > self.start:
                self.append(entry)

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.start + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.start_term

    def end(self) -> LogEnd:
        """Return the term and the index of the last entry."""
        return LogEnd(self.last_term, self.last)

    def append(self, entry: Entry) -> None:
        """Append the next entry. Raises BrokenInvariantError for a gap or a lower term."""
        if entry.index != self.last + 1 or entry.term < self.last_term:
            raise BrokenInvariantError(
                f"entry {entry.index} of term {entry.term} after {self.last} of {self.last_term}",
                where="agreed log",
            )
        self.entries.append(entry)
        self.bytes += entry.cost()

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index; None if it is after the last or no longer kept."""
        if index == self.start:
            return self.start_term
        if self.start < index <= self.last:
            return self.entries[index - self.start - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at a kept index."""
        return self.entries[index - self.start - 1]

    def batch(self, first: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` on, as many as one message may hold."""
        entries: list[Entry] = []
        size = 0
        position = first - self.start - 1
        for entry in self.entries[position : position + MAX_APPEND_ENTRIES]:
            size += entry.cost()
            if entries and size > MAX_APPEND_BYTES:
                break
            entries.append(entry)
        return tuple(entries)

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all entries after it."""
        removed = self.entries[index - self.start - 1 :]
        del self.entries[index - self.start - 1 :]
        self.bytes -= sum(entry.cost() for entry in removed)

    def first_of_term(self, index: int) -> int:
        """Return the first kept index with the term of the entry at ``index``."""
        term = self.term_at(index)
        while index > self.start + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot, keep: int, keep_bytes: int) -> None:
        """Replace entries by a snapshot at an applied index.

        Up to ``keep`` entries before it are kept for slow followers, using at most ``keep_bytes``: more bytes
        could make the next snapshot due at once.
        """
        self.snapshot = snapshot
        start = snapshot.index
        while start > self.start and snapshot.index - start < keep and keep_bytes >= self.entry(start).cost():
            keep_bytes -= self.entry(start).cost()
            start -= 1
        term = self.term_at(start)
        if term is None:
            raise BrokenInvariantError(
                f"snapshot at {snapshot.index}, log ends at {self.last}", where="agreed log"
            )
        removed = self.entries[: start - self.start]
        del self.entries[: start - self.start]
        self.bytes -= sum(entry.cost() for entry in removed)
        self.start = start
        self.start_term = term

    def restart(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.start = snapshot.index
        self.start_term = snapshot.term
        self.entries = []
        self.bytes = 0
