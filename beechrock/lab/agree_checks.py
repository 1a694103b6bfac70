"""What the simulated agreed logs are measured by: a counter as machine, a disk, operations."""

from dataclasses import dataclass, field

from beechrock.agree.journal import RecoveredState, from_records
from beechrock.agree.messages import Record


class Violation(Exception):  # noqa: N818
    """A claim over the history that does not hold."""


class Counter:
    """Counts; remembers which operations it ran."""

    def __init__(self) -> None:
        self.count = 0
        self.ran: set[bytes] = set()
        self.twice: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        self.count += 1
        if command in self.ran:
            self.twice.append(command)
        self.ran.add(command)
        return self.count

    def snapshot(self) -> bytes:
        return b"\n".join(sorted(self.ran))

    def restore(self, data: bytes) -> None:
        self.ran = set(data.split(b"\n")) if data else set()
        self.count = len(self.ran)


@dataclass
class Disk:
    """``base``: a whole state, with its position; ``tail``: records after it, ``synced`` of them for
    certain.
    """

    base: list[Record] = field(default_factory=list)
    position: int = 0
    tail: list[Record] = field(default_factory=list)
    synced: int = 0

    def copy(self) -> "Disk":
        return Disk(list(self.base), self.position, self.tail[: self.synced], self.synced)

    def found(self) -> RecoveredState:
        found = from_records(self.base, self.position)
        for record in self.tail:
            found.apply(record)
        return found


@dataclass
class Operation:
    """``value``: of a write its number, of a read the count; None while it is open."""

    write: bool
    begun_s: float
    ended_s: float = 0.0
    value: int | None = None


def linearizable(operations: list[Operation]) -> str:
    """Empty, or what is wrong: by real time and told values alone."""
    done = sorted((op for op in operations if op.value is not None), key=lambda op: op.ended_s)
    writes = [op.value for op in done if op.write]
    if len(set(writes)) != len(writes):
        return "two writes were told one number"
    highest, at = 0, 0
    for op in sorted(done, key=lambda op: op.begun_s):
        while at < len(done) and done[at].ended_s < op.begun_s:
            highest = max(highest, done[at].value or 0)
            at += 1
        if (op.value or 0) < highest + op.write:
            kind = "write" if op.write else "read"
            return f"{kind} begun at {op.begun_s:.3f} told {op.value} after {highest}"
    return ""
