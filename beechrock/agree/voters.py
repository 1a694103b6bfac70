"""The voter sets of the log: the newest one in the log is in force, committed or not. Pure.

Invariants: a set holds 1 to ``MAX_VOTERS`` names; it differs from the one before by at most one name, so
that any majority of one set overlaps any majority of the next.
"""

from dataclasses import dataclass

from beechrock.agree.errors import BadMessageError
from beechrock.agree.messages import Entry, EntryKind
from beechrock.agree.rules import MAX_VOTERS


def majority(count: int) -> int:
    """Return the size of a majority of ``count`` voters."""
    return count // 2 + 1


def proof_quorum(count: int) -> int:
    """Return how many other voters must report so that each majority with a given member has a reporter.

    ``count`` is the number of all voters. Examples: two others of 3 voters, three others of 5.
    """
    return min(count - 1, count - majority(count) + 1)


def pack(names: tuple[str, ...]) -> bytes:
    """Return the data of an entry that sets the voters."""
    return "\n".join(names).encode()


def unpack(data: bytes) -> tuple[str, ...]:
    """Return the names in an entry's data. Raises BadMessageError for data that is no set of voters."""
    names = tuple(data.decode(errors="replace").split("\n"))
    if not 1 <= len(names) <= MAX_VOTERS or len(set(names)) != len(names) or not all(names):
        raise BadMessageError(f"{data[:80]!r} is no set of voters", where="agreed log")
    return names


@dataclass(frozen=True, slots=True)
class VoterSet:
    """A set of voters and the index of its entry."""

    index: int
    names: tuple[str, ...]


class Voters:
    """The voter set in force, and former sets that truncation of the log may put in force again."""

    def __init__(self, initial: tuple[str, ...], index: int = 0) -> None:
        self.sets = [VoterSet(index, tuple(sorted(initial)))]

    @property
    def index(self) -> int:
        """Index of the entry that set the voters in force."""
        return self.sets[-1].index

    @property
    def names(self) -> tuple[str, ...]:
        """The voters in force, sorted."""
        return self.sets[-1].names

    def __contains__(self, name: object) -> bool:
        return name in self.names

    @property
    def quorum(self) -> int:
        """Size of a majority of the voters in force."""
        return majority(len(self.names))

    def append(self, entry: Entry) -> None:
        """Put the entry's voter set in force, if it holds one."""
        if entry.kind is EntryKind.VOTERS:
            self.sets.append(VoterSet(entry.index, unpack(entry.data)))

    def truncate(self, index: int) -> None:
        """Remove the sets of entries at ``index`` and after it, but never the oldest set."""
        while len(self.sets) > 1 and self.sets[-1].index >= index:
            self.sets.pop()

    def at(self, index: int) -> VoterSet:
        """Return the set in force at an index, for a snapshot at that index."""
        return next(found for found in reversed(self.sets) if found.index <= index or found is self.sets[0])

    def forget(self, index: int) -> None:
        """Remove the sets older than the one in force at a committed index."""
        while len(self.sets) > 1 and self.sets[1].index <= index:
            self.sets.pop(0)
