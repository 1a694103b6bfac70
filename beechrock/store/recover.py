"""What the files of a store still prove, after a cut, a torn write, a lie of the disk or a turned bit. Pure.

States: GOOD (each record so far in its place), TORN (a bad one, that nobody was promised), DAMAGED (raised).
Events: ``add_segment`` (the next one's bytes), ``finish``.
Invariants: sequence numbers grow by one; an entry's index is the newest one's plus one; what any later
record, header, mark or snapshot proves to have been synced is there, or the store does not open.
"""

from array import array
from dataclasses import dataclass, field
from enum import Enum

from beechrock.store import codec
from beechrock.store.codec import Header, Kind, Record

OFFSET_BITS = 32  # bits of an offset in a segment, below the segment's number


class Condition(Enum):
    """In which condition an opening found its files; damage is raised instead."""

    NEW = "new"
    CLEAN = "clean"
    TORN = "torn"  # the end, which nobody had been promised, was bad; it was cut off


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What an opening recovered, and where the torn part began."""

    condition: Condition
    where: str = ""


@dataclass(slots=True)
class Recovery:
    """Reads one segment after another, in the order of their numbers."""

    store_id: bytes
    synced: int  # records that the mark tells as durable
    snapshot_index: int = 0
    snapshot_seq: int = 0
    seq: int = 0  # of the newest good record
    last: int = 0  # index of the newest entry
    number: int = 0  # of the newest segment
    first_seq: int = 0  # of that
    torn: str = ""  # where
    places: "array[int]" = field(default_factory=lambda: array("Q"))  # of the newest entries, in order

    def add_segment(self, name: str, number: int, data: bytes, newest: bool) -> int:
        """Read the next segment; return how many bytes are good. StoreDamagedError, StoreTooNewError."""
        if self.torn:  # a segment begins only after the one before was synced
            raise codec.damage_error("a segment follows that was begun after this was synced", self.torn)
        head = codec.decode_header(self.store_id, data, name)
        if head is None:
            if (
                not newest
                or self.synced > max(self.seq, self.snapshot_seq)
                or self._max_synced_after(data, 0) > self.seq
            ):
                raise codec.damage_error("the head of a segment does not fit its checksum", name)
            self.torn = f"{name} at byte 0"
            return 0
        self._follow(name, number, head)
        at = codec.SEGMENT_HEADER.size
        while at < len(data):
            record = codec.decode_record(self.store_id, data, at)
            if record is None:
                return self._end_at_bad_record(name, data, at)
            self._accept(name, at, record)
            at += codec.RECORD_HEAD.size + len(record.data)
        return at

    def _follow(self, name: str, number: int, head: Header) -> None:
        if head.number != number:
            raise codec.damage_error(f"is segment {head.number}", name)
        if not self.number:  # those before were dropped, if a snapshot stands for them: see ``finish``
            self.seq = head.first_seq - 1
            self.last = head.last_index
        elif (number, head.first_seq, head.last_index) != (self.number + 1, self.seq + 1, self.last):
            raise codec.damage_error("does not follow the segment before", name)
        self.number = number
        self.first_seq = head.first_seq

    @property
    def newest_segment_synced(self) -> bool:
        """Return whether a sync is known to have covered the newest segment: all its records, and its head.

        The sync of a head alone may have failed, and all that is synced behind it would be lost.
        """
        return self.first_seq <= self.synced >= self.seq

    def _accept(self, name: str, at: int, record: Record) -> None:
        fits = {
            Kind.ENTRY: record.index == self.last + 1,
            Kind.CUT: record.index <= self.last,
            Kind.RESET: True,
        }
        if record.seq != self.seq + 1 or not fits[record.kind]:
            raise codec.damage_error(
                f"record {record.seq} of index {record.index} after {self.seq} of {self.last}",
                f"{name} at byte {at}",
            )
        match record.kind:
            case Kind.ENTRY:
                self.places.append(self.number << OFFSET_BITS | at)
            case Kind.CUT:
                cut = min(self.last - record.index, len(self.places))
                del self.places[len(self.places) - cut :]
            case Kind.RESET:
                del self.places[:]
        self.seq = record.seq
        self.last = record.index

    def _end_at_bad_record(self, name: str, data: bytes, at: int) -> int:
        """Note a torn end where no record begins, or raise damage: what comes later tells which it is."""
        if max(self.synced, self._max_synced_after(data, at)) > self.seq:
            raise codec.damage_error(
                f"record {self.seq + 1} had been synced and does not fit its checksum", f"{name} at byte {at}"
            )
        self.torn = f"{name} at byte {at}"
        return at

    def _max_synced_after(self, data: bytes, at: int) -> int:
        """Return the most records that a later one calls synced; it may stand anywhere after bad bytes."""
        synced = 0
        while (at := data.find(codec.RECORD, at)) >= 0:
            if (record := codec.decode_record(self.store_id, data, at)) is not None:
                synced = max(synced, record.synced)
            at += 1
        return synced

    def finish(self, name: str) -> bool:
        """Return whether the snapshot is past all entries, and the log has to begin anew behind it."""
        self.seq = max(self.seq, self.snapshot_seq)
        if self.synced > self.seq:
            raise codec.damage_error(
                f"ends at record {self.seq}", name, f"record {self.synced}, which was synced"
            )
        first = self.last - len(self.places) + 1
        reset = self.last < self.snapshot_index
        if reset:
            del self.places[:]
            self.last = self.snapshot_index
        elif first <= self.snapshot_index:
            del self.places[: self.snapshot_index + 1 - first]
        elif first > self.snapshot_index + 1:
            raise codec.damage_error(f"begins at entry {first}", name, f"entry {self.snapshot_index + 1}")
        return reset
