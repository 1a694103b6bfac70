"""A tree of digests over ranges of key hashes. Finding the records that differ between two nodes costs in
proportion to their number. Pure.

A name's place is the first 16 bits of its hash, which gives 65,536 ranges; above them are four levels with
16 parts to a range. The sum of a range is the sum of its entries' digests, so a change costs five additions.
A range is identified by its level and its number there.

Invariants: a range's sum is that of the entries in it, and so doesn't depend on the order of changes; the
root's count is the number of entries.
"""

from dataclasses import dataclass, field

from blake3 import blake3

WAYS, DEPTH = 16, 4  # Number of parts of a range, and of levels below the root.
RANGES = WAYS**DEPTH  # Number of ranges on the lowest level.
MASK = (1 << 128) - 1  # Sums have 128 bits.
LIST_ENTRIES = 64  # Maximum number of entries of a range that is listed instead of compared by parts.

Range = tuple[int, int]  # Level from 0 to DEPTH, number on that level.
Summed = tuple[int, int]  # Sum of digests, number of entries.


def place(ident: bytes) -> int:
    """Return the lowest-level range of a record's name (kind and key)."""
    return int.from_bytes(blake3(ident).digest(2))


def digest(ident: bytes, state: bytes) -> int:
    """Return the digest of a record: its name and packed state."""
    return int.from_bytes(blake3(ident + b"\0" + state).digest(16))


@dataclass(slots=True)
class Sums:
    """The tree. ``levels``: for each level, the sums of non-empty ranges by number; ``leaves``: by
    lowest-level range, the entries' digests by name."""

    levels: list[dict[int, Summed]] = field(default_factory=lambda: [{} for _ in range(DEPTH + 1)])
    leaves: dict[int, dict[bytes, int]] = field(default_factory=dict)

    def put(self, ident: bytes, value: int | None) -> None:
        """Set an entry's digest; None removes it from the tree."""
        at = place(ident)
        before = self.leaves.get(at, {}).get(ident)
        if value == before:
            return
        leaf = self.leaves.setdefault(at, {})
        delta, count = (value or 0) - (before or 0), (value is not None) - (before is not None)
        if value is None:
            del leaf[ident]
            if not leaf:
                del self.leaves[at]
        else:
            leaf[ident] = value
        for level in range(DEPTH, -1, -1):
            total, entries = self.levels[level].get(at, (0, 0))
            if entries + count:
                self.levels[level][at] = (total + delta) & MASK, entries + count
            else:
                del self.levels[level][at]
            at //= WAYS

    def sum_of(self, range_: Range) -> Summed:
        """Return the sum and the number of entries of a range."""
        return self.levels[range_[0]].get(range_[1], (0, 0))

    @property
    def root(self) -> Summed:
        return self.sum_of((0, 0))

    def parts(self, range_: Range) -> list[Summed]:
        level, number = range_
        return [self.sum_of((level + 1, number * WAYS + n)) for n in range(WAYS)]

    def listed(self, range_: Range) -> dict[bytes, int]:
        """Return the digests of all entries in a range, by name."""
        return {
            ident: value for at in self._ranges(range_) for ident, value in self.leaves.get(at, {}).items()
        }

    def _ranges(self, range_: Range) -> list[int]:
        width = WAYS ** (DEPTH - range_[0])
        wanted = range(range_[1] * width, (range_[1] + 1) * width)
        return (
            [at for at in wanted if at in self.leaves]
            if width < len(self.leaves)
            else [at for at in sorted(self.leaves) if at in wanted]
        )

    def is_small(self, range_: Range) -> bool:
        """Whether a range is listed by names instead of compared by parts."""
        return range_[0] == DEPTH or self.sum_of(range_)[1] <= LIST_ENTRIES

    def compare(self, range_: Range, parts: list[Summed]) -> list[Range]:
        """Return the parts of a range that differ from another node's."""
        level, number = range_
        return [
            (level + 1, number * WAYS + n)
            for n, theirs in enumerate(parts[:WAYS])
            if self.sum_of((level + 1, number * WAYS + n)) != theirs
        ]

    def compare_list(self, range_: Range, theirs: dict[bytes, int]) -> tuple[list[bytes], list[bytes]]:
        """Compare a range with another node's list of it. Return the names whose entries there are missing or
        different here, and those whose entries here are missing or different there."""
        mine = self.listed(range_)
        return (
            [ident for ident, value in theirs.items() if mine.get(ident) != value],
            [ident for ident, value in mine.items() if theirs.get(ident) != value],
        )
