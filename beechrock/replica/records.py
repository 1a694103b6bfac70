"""The state types of records, and how two states merge. Pure.

A writer is one start of a node, named ``NAME/`` and random hexadecimal digits. A *dot* is a writer and the
number of one of its writes.

Invariants: ``merge`` is commutative, associative and idempotent; it never lowers a count, nor removes a
value that the other state had not seen; a value that only one state has, and the other's context covers, is
removed.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgpack

from beechrock.replica.errors import BrokenInvariantError, ReplicaFullError, ReplicaRecordError

# Maximum number of writers in a context or tally that is written to; a merge of two may have twice as many.
MAX_WRITERS = 64
MAX_VALUE_BYTES = 16_384  # Maximum size of a value, in bytes.


class Dot(NamedTuple):
    """Identifies one write."""

    writer: str
    n: int

    def __str__(self) -> str:
        return f"{self.writer}:{self.n}"


@dataclass(frozen=True, slots=True)
class Tally:
    """Spending of one period. ``counts``: by writer, the total amounts spent and given back, which only
    grow."""

    counts: Mapping[str, tuple[float, float]]

    def merge(self, other: "Tally") -> "Tally":
        counts = dict(self.counts)
        for writer, (spent, back) in other.counts.items():
            mine = counts.get(writer, (0.0, 0.0))
            counts[writer] = max(mine[0], spent), max(mine[1], back)
        return Tally(counts)

    def count(self, writer: str, spent: float, back: float) -> "Tally":
        """Return the tally with a writer's new totals. Raises BrokenInvariantError if one decreases, or if
        more was given back than spent, and ReplicaFullError if there are too many writers."""
        before = self.counts.get(writer, (0.0, 0.0))
        if spent < before[0] or back < before[1] or back > spent + 1e-9:
            raise BrokenInvariantError(
                f"{spent:g} spent and {back:g} given back after {before}",
                where=f"tally of {writer}",
                wanted="counts that only grow",
            )
        if writer not in self.counts and len(self.counts) >= MAX_WRITERS:
            raise ReplicaFullError(f"{len(self.counts)} writers", where="tally", wanted="a new period's key")
        return Tally({**self.counts, writer: (spent, back)})

    @property
    def total(self) -> float:
        """Net amount spent by all writers."""
        return sum(spent - back for spent, back in self.counts.values())

    def to_plain(self) -> list[Any]:
        return [[writer, *self.counts[writer]] for writer in sorted(self.counts)]

    @classmethod
    def from_plain(cls, plain_state: Iterable[Any]) -> "Tally":
        return cls({str(w): (float(spent), float(back)) for w, spent, back in plain_state})


@dataclass(frozen=True, slots=True)
class Causal:
    """A value that several nodes may write, with causality. ``values``: values by dot, None for a delete;
    several dots are conflicting writes. ``seen`` (the context): by writer, the number up to which its writes
    are known."""

    values: Mapping[Dot, bytes | None]
    seen: Mapping[str, int]

    def merge(self, other: "Causal") -> "Causal":
        values = {
            dot: value
            for dot, value in self.values.items()
            if dot in other.values or other.seen.get(dot.writer, 0) < dot.n
        }
        values |= {
            dot: value
            for dot, value in other.values.items()
            if dot in self.values or self.seen.get(dot.writer, 0) < dot.n
        }
        seen = dict(self.seen)
        for writer, n in other.seen.items():
            seen[writer] = max(n, seen.get(writer, 0))
        return Causal(values, seen)

    def write(self, dot: Dot, value: bytes | None) -> "Causal":
        """Return the state with one value in place of all present ones; None deletes."""
        if self.seen.get(dot.writer, 0) >= dot.n:
            raise BrokenInvariantError(
                f"{dot} is written twice",
                where="a causal record",
                wanted="a number above all earlier ones of its writer",
            )
        seen = {**self.seen, dot.writer: dot.n}
        if len(seen) > MAX_WRITERS:
            # The writers with the lowest numbers are forgotten, except those of the present values. An old
            # copy of a forgotten write would reappear as a conflicting value, which operators see.
            present = {value_dot.writer for value_dot in self.values} | {dot.writer}
            forgotten = sorted((n, w) for w, n in seen.items() if w not in present)[: len(seen) - MAX_WRITERS]
            seen = {w: n for w, n in seen.items() if (n, w) not in forgotten}
        return Causal({dot: value}, seen)

    @property
    def live_values(self) -> list[bytes]:
        """The present values, without deletes."""
        return [self.values[dot] or b"" for dot in sorted(self.values) if self.values[dot] is not None]

    @property
    def deleted(self) -> bool:
        return not self.live_values

    def to_plain(self) -> list[Any]:
        return [[[*dot, self.values[dot]] for dot in sorted(self.values)], sorted(self.seen.items())]

    @classmethod
    def from_plain(cls, plain_state: Any) -> "Causal":
        values, seen = plain_state
        state = cls(
            {Dot(str(w), int(n)): None if v is None else bytes(v) for w, n, v in values},
            {str(w): int(n) for w, n in seen},
        )
        if any(state.seen.get(dot.writer, 0) < dot.n for dot in state.values):
            raise ReplicaRecordError("a value that its context does not cover", where="a causal record")
        return state


@dataclass(frozen=True, slots=True)
class Own:
    """A value that only one node writes. ``life`` and ``n`` order its writes; the value breaks a tie, which
    a correct node never makes."""

    life: int
    n: int
    value: bytes

    def merge(self, other: "Own") -> "Own":
        return max(self, other, key=lambda state: (state.life, state.n, state.value))

    def to_plain(self) -> list[Any]:
        return [self.life, self.n, self.value]

    @classmethod
    def from_plain(cls, plain_state: Any) -> "Own":
        life, n, value = plain_state
        return cls(int(life), int(n), bytes(value))


State = Tally | Causal | Own


def pack(state: State) -> bytes:
    """Encode a state; equal states give equal bytes."""
    data: bytes = msgpack.packb(state.to_plain())
    return data


def unpack(state_type: type[Tally] | type[Causal] | type[Own], data: bytes) -> State:
    """Decode a state. Raises ReplicaRecordError if it is not one of that type."""
    try:
        return state_type.from_plain(msgpack.unpackb(data))
    except (ValueError, TypeError, AttributeError, KeyError, msgpack.UnpackException) as error:
        raise ReplicaRecordError(
            f"a state that cannot be decoded: {error}",
            where=state_type.__name__.lower(),
            do="run the version that wrote it, or a later one",
        ) from None


def merge(a: State, b: State) -> State:
    """Merge two states. Raises ReplicaRecordError if their types differ."""
    match a, b:
        case (Tally(), Tally()) | (Causal(), Causal()) | (Own(), Own()):
            return a.merge(b)  # type: ignore[arg-type]
    raise ReplicaRecordError(
        f"{type(a).__name__} cannot be merged with {type(b).__name__}", where="merge of a record"
    )
