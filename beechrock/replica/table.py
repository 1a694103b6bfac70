"""All records of a node: own writes, and merges with the states that other nodes send. Pure.

A deleted record is a tombstone: FRESH (in the digests, sent like other records) until all peers hold it,
then SETTLED (out of the digests, in a bounded memory that rejects the states it covers). So a tombstone that
one node has dropped and another has not doesn't appear as a difference in every repair round.

Invariants: a record's state only grows by merging; the digests are those of the records held; no record has
the name of a settled tombstone; both kinds of tombstones are bounded.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from beechrock.replica.errors import BrokenInvariantError, ReplicaFullError, UnknownRecordError
from beechrock.replica.kinds import Kind, Kinds
from beechrock.replica.records import (
    MAX_VALUE_BYTES,
    Causal,
    Dot,
    Own,
    State,
    Tally,
    merge,
    pack,
    unpack,
)
from beechrock.replica.sums import Sums, digest, place

MAX_RECORDS = 1 << 20  # Greatest value of the setting most_records.
MAX_FRESH, MAX_SETTLED = 65_536, 65_536  # Maximum numbers of fresh and of settled tombstones.
KEEP_PERIODS = 4  # Number of periods of a team's spending that are kept; all nodes drop older ones.


def ident(kind: str, key: str) -> bytes:
    """Return the name of a record."""
    return f"{kind}\0{key}".encode()


def named(name: bytes) -> tuple[str, str]:
    """Return the kind and the key of a record's name."""
    kind, _, key = name.decode(errors="replace").partition("\0")
    return kind, key


def spending_key(team: str, period: int) -> str:
    """Return the key of a team's spending in a period; keys of a team sort by period."""
    return f"{team}\0{period:016d}"


def _covers(after: State, before: State) -> bool:
    merged = merge(before, after)
    if isinstance(merged, Causal) and isinstance(after, Causal):
        return merged.values == after.values  # Not of the contexts, as a write may forget the oldest writers.
    return merged == after


@dataclass(slots=True)
class Record:
    """A record as held by this node."""

    kind: Kind
    key: str
    state: State
    seq: int  # Number of its last change on this node.
    packed: bytes  # Encoded once, for digests, the disk, each peer and full copies.


@dataclass(frozen=True, slots=True)
class Merged:
    """Result of a merge. ``changed_here``: this node's state has changed. ``sender_lacks``: the sender's
    state lacks something."""

    changed_here: bool
    sender_lacks: bool


@dataclass(slots=True)
class Table:
    """The records and tombstones of one node."""

    writer: str  # Name of this start of the node as a writer.
    kinds: Kinds = field(default_factory=Kinds)
    max_records: int = MAX_RECORDS
    records: dict[bytes, Record] = field(default_factory=dict)
    sums: Sums = field(default_factory=Sums)
    fresh: dict[bytes, int] = field(default_factory=dict)  # Fresh tombstones, oldest first: change numbers.
    settled: dict[bytes, Causal] = field(default_factory=dict)  # Settled tombstones, oldest first.
    settled_by_range: dict[int, set[bytes]] = field(default_factory=dict)  # Names of settled tombstones.
    periods: dict[str, list[int]] = field(default_factory=dict)  # By team: the kept periods, ascending.
    seq: int = 0  # Number of changes of records.
    count: int = 0  # Number of dots of this writer.
    differing: set[bytes] = field(default_factory=set)  # Names of records with conflicting values.
    on_change: Callable[[bytes], None] = lambda name: None  # Called with the name after each change.

    # --- own writes

    def write(self, kind: str, key: str, value: bytes | None) -> bytes:
        """Write a value in place of all known ones, or delete with None; return the record's name. Raises
        ReplicaFullError, ReplicaRecordError, or UnknownRecordError if there is nothing to delete."""
        record_kind, name = self.kinds.of(kind, key), ident(kind, key)
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ReplicaFullError(
                f"a value of {len(value)} bytes", where=f"{kind} {key}", wanted=f"at most {MAX_VALUE_BYTES}"
            )
        before = self.state(name)
        if value is None and (before is None or (isinstance(before, Causal) and before.deleted)):
            raise UnknownRecordError("nothing to delete", where=f"{kind} {key}")
        causal = before if isinstance(before, Causal) else Causal({}, {})
        self.count += 1
        state = causal.write(Dot(self.writer, self.count), value)
        self.kinds.of(record_kind.name, key, state)
        self._store(name, record_kind, key, state)
        return name

    def tally(self, kind: str, key: str, spent: float, back: float) -> bytes | None:
        """Set this writer's totals in a tally; return the record's name, or None if nothing has changed or
        the period has been dropped."""
        record_kind, name = self.kinds.of(kind, key), ident(kind, key)
        before = self.state(name)
        tally = before if isinstance(before, Tally) else Tally({})
        if tally.counts.get(self.writer) == (spent, back) or not self._is_kept(record_kind, key):
            return None
        state = tally.count(self.writer, spent, back)
        self.kinds.of(record_kind.name, key, state)
        self._store(name, record_kind, key, state)
        return name

    def own(self, kind: str, key: str, life: int, value: bytes) -> bytes:
        """Write a record that only this node writes; return its name."""
        record_kind, name = self.kinds.of(kind, key), ident(kind, key)
        before = self.state(name)
        n = before.n + 1 if isinstance(before, Own) and before.life == life else 1
        state = Own(life, n, value)
        self.kinds.of(record_kind.name, key, state)
        self._store(name, record_kind, key, state)
        return name

    # --- states from other nodes

    def merge_state(self, name: bytes, packed: bytes) -> Merged:
        """Merge another node's state. Raises ReplicaRecordError if it cannot be read, and ReplicaFullError
        if the sender has to send it again."""
        kind_name, key = named(name)
        kind = self.kinds.of(kind_name, key)
        theirs = unpack(kind.state, packed)
        if not self._is_kept(kind, key):
            return Merged(False, False)
        before = self.state(name)
        if before is None:
            self._store(name, kind, key, theirs)
            return Merged(True, False)
        merged = merge(before, theirs)
        if merged == before:
            return Merged(False, merged != theirs)
        if name in self.settled and isinstance(merged, Causal) and merged.deleted:
            self.settled[name] = merged  # The tombstone's context has grown; that needs no sending.
            return Merged(False, False)
        self._store(name, kind, key, merged)
        return Merged(True, merged != theirs)

    def state(self, name: bytes) -> State | None:
        """Return the state of a record or settled tombstone, or None."""
        found = self.records.get(name)
        return found.state if found is not None else self.settled.get(name)

    def _is_kept(self, kind: Kind, key: str) -> bool:
        """Whether a record is kept: spending of a period older than the kept ones is not."""
        team, _, period = key.rpartition("\0")
        if kind.name != "spending" or not period.isdigit():
            return True
        periods_kept = self.periods.get(team, [])
        return len(periods_kept) < KEEP_PERIODS or int(period) >= periods_kept[0]

    def _store(self, name: bytes, kind: Kind, key: str, state: State) -> None:
        before = self.records.get(name)
        if before is None and len(self.records) >= self.max_records:
            raise ReplicaFullError(
                f"holds {self.max_records} records",
                where=f"{kind.name} {key}"[:64],
                wanted="room for one more",
                do="raise replica.most_records",
            )
        if before is not None and not _covers(state, before.state):
            raise BrokenInvariantError("a new state does not cover the old one", where=f"{kind.name} {key}")
        self.seq += 1
        self._unsettle(name)
        packed = pack(state)
        self.records[name] = Record(kind, key, state, self.seq, packed)
        self.sums.put(name, digest(name, packed))
        self.fresh.pop(name, None)
        self.differing.discard(name)
        if isinstance(state, Causal):
            if state.deleted:
                self.fresh[name] = self.seq
            elif len(state.live_values) > 1 or len(state.values) > 1:
                self.differing.add(name)
        if kind.name == "spending":
            self._drop_old_periods(key)
        self.on_change(name)

    def _drop_old_periods(self, key: str) -> None:
        team, _, period = key.rpartition("\0")
        if not period.isdigit():
            return
        periods_kept = self.periods.setdefault(team, [])
        if int(period) not in periods_kept:
            periods_kept.append(int(period))
            periods_kept.sort()
        while len(periods_kept) > KEEP_PERIODS:
            old = ident("spending", spending_key(team, periods_kept.pop(0)))
            if self.records.pop(old, None) is not None:
                self.sums.put(old, None)

    # --- tombstones

    def settle(self, upto: int) -> int:
        """Settle the tombstones up to change ``upto``, which all peers hold. Return their number."""
        done = [name for name, seq in self.fresh.items() if seq <= upto]
        for name in done:
            self._settle_one(name)
        return len(done)

    def settle_overflow(self) -> int:
        """Settle the oldest tombstones beyond the bound, which some peers may not hold. Return the newest
        change number among them, or 0 for none. A peer that has not confirmed that change has to take a full
        copy."""
        newest = 0
        while len(self.fresh) > MAX_FRESH:
            name = next(iter(self.fresh))
            newest = max(newest, self.fresh[name])
            self._settle_one(name)
        return newest

    def _settle_one(self, name: bytes) -> None:
        del self.fresh[name]
        state = self.records.pop(name).state
        if not isinstance(state, Causal) or not state.deleted:
            raise BrokenInvariantError("a record with a value among the tombstones", where=str(named(name)))
        self.sums.put(name, None)
        self.remember(name, state)

    def remember(self, name: bytes, state: Causal) -> None:
        """Remember a settled tombstone, and drop the oldest one if there are too many."""
        self.settled[name] = state
        self.settled_by_range.setdefault(place(name), set()).add(name)
        if len(self.settled) > MAX_SETTLED:
            self._unsettle(next(iter(self.settled)))

    def _unsettle(self, name: bytes) -> None:
        if self.settled.pop(name, None) is not None:
            names = self.settled_by_range[place(name)]
            names.discard(name)
            if not names:
                del self.settled_by_range[place(name)]

    def names_in(self, range_: int) -> list[bytes]:
        """Return all names in a range, with the settled tombstones, which a full copy includes."""
        return [*self.sums.leaves.get(range_, ()), *self.settled_by_range.get(range_, ())]

    # --- before a full copy

    def set_aside(self) -> dict[bytes, Causal]:
        """Remove all causal records, as some may have been deleted elsewhere. Return the states of those
        that were not deleted here."""
        states = {}
        for name, record in list(self.records.items()):
            if isinstance(record.state, Causal):
                if not record.state.deleted:
                    states[name] = record.state
                del self.records[name]
                self.sums.put(name, None)
        self.fresh.clear()
        for name in list(self.settled):
            self._unsettle(name)
        self.differing.clear()
        return states

    # --- reading

    def acting(self, kind: str, key: str) -> bytes | None:
        """Return the value in effect, or None if there is none or it was deleted."""
        match self.state(ident(kind, key)):
            case Causal() as causal:
                return self.kinds.of(kind, key).acting(causal.live_values)
            case Own() as own:
                return own.value
        return None

    def of_kind(self, kind: str) -> Iterator[Record]:
        return (record for record in self.records.values() if record.kind.name == kind)
