"""Where the record of each held entry lies: 8 bytes an entry, indices from ``first`` to ``last``."""

from array import array
from dataclasses import dataclass

from beechrock.store.recover import OFFSET_BITS

OFFSET_MASK = (1 << OFFSET_BITS) - 1


@dataclass(frozen=True, slots=True)
class EntryPlace:
    """A segment's number, and the byte in it at which the entry's record begins."""

    segment: int
    offset: int


class EntryTable:
    """The places of the held entries, the oldest first."""

    def __init__(self, last: int, places: "array[int]") -> None:
        self.last = last  # index of the newest entry, held or not
        self._places = places  # segment number and offset in one integer

    @property
    def first(self) -> int:
        """Return the index of the oldest entry; above ``last`` where none is held."""
        return self.last - len(self._places) + 1

    @property
    def oldest_segment(self) -> int | None:
        """Return the number of the oldest entry's segment; None where no entry is held."""
        return self._places[0] >> OFFSET_BITS if self._places else None

    def place(self, index: int) -> EntryPlace:
        """Return the place of an entry between ``first`` and ``last``."""
        packed = self._places[index - self.first]
        return EntryPlace(packed >> OFFSET_BITS, packed & OFFSET_MASK)

    def add(self, segment: int, offset: int) -> int:
        """Add the next entry and return its index."""
        self._places.append(segment << OFFSET_BITS | offset)
        self.last += 1
        return self.last

    def cut_after(self, index: int) -> None:
        """Forget entries above ``index``."""
        del self._places[index + 1 - self.first :]
        self.last = index

    def drop_through(self, index: int) -> None:
        """Forget entries up to ``index``, which a snapshot stands for."""
        del self._places[: max(0, index + 1 - self.first)]

    def reset(self, index: int) -> None:
        """Forget all entries; the next one has the index after ``index``."""
        del self._places[:]
        self.last = index
