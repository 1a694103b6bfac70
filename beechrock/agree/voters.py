"""Who votes: the newest set that stands in the log, committed or not. Pure.

Invariants: a set holds 1 to ``MAX_VOTERS`` names; it differs from the one before by one name at most, so
that any majority of one meets any majority of the next.
"""

from dataclasses import dataclass

from beechrock.agree.errors import BadMessageError
from beechrock.agree.messages import Entry, EntryKind
from beechrock.agree.rules import MAX_VOTERS


def majority(count: int) -> int:
    """Return the size of a majority of ``count`` voters."""
    return count // 2 + 1


def proof_quorum(count: int) -> int:
    """Return how many others must report so that every majority that one was part of is met.

    Two for 3, three for 5.
    """
    return min(count - 1, count - majority(count) + 1)


def pack(names: tuple[str, ...]) -> bytes:
    """Return the data of an entry that sets the voters."""
    return "\n".join(names).encode()


def unpack(data: bytes) -> tuple[str, ...]:
    """Return the names. Raises BadMessageError for data that is no set of voters."""
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
    """All sets that may still come into force again when the log is cut."""

    def __init__(self, initial: tuple[str, ...], index: int = 0) -> None:
        self.sets = [VoterSet(index, tuple(sorted(initial)))]

    @property
    def index(self) -> int:
        """The index of the entry that set the voters."""
        return self.sets[-1].index

    @property
    def names(self) -> tuple[str, ...]:
        """The voters in force, sorted."""
        return self.sets[-1].names

    def __contains__(self, name: object) -> bool:
        return name in self.names

    @property
    def quorum(self) -> int:
        """The size of a majority."""
        return majority(len(self.names))

    def append(self, entry: Entry) -> None:
        """Put the entry's set in force, where it is one."""
        if entry.kind is EntryKind.VOTERS:
            self.sets.append(VoterSet(entry.index, unpack(entry.data)))

    def cut(self, index: int) -> None:
        """Take back the sets at ``index`` and after."""
        while len(self.sets) > 1 and self.sets[-1].index >= index:
            self.sets.pop()

    def at(self, index: int) -> VoterSet:
        """Return the set that was in force at an index, for a snapshot there."""
        return next(found for found in reversed(self.sets) if found.index <= index or found is self.sets[0])

    def forget(self, index: int) -> None:
        """Remove the sets older than the one in force at a committed index."""
        while len(self.sets) > 1 and self.sets[1].index <= index:
            self.sets.pop(0)
