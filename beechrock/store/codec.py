"""The bytes of a store's files: segments of records, one snapshot, and the mark. Pure.

A segment is a header and records; a record is an entry or a cut, and is never changed. Each record says how
many records (``seq``, from 1, never used twice) were synced when it was written: so a later one proves what
must be there. All checks are BLAKE3 keyed by the store's id: bytes of another store, or of an entry's
content, are no record. Chosen over a CRC-32 because the search for later records tries every place of a
damaged file: in 64 MB a CRC would find one by chance in 1.5% of searches. Cost: docs/store.md.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum

import msgpack
from blake3 import blake3

from beechrock.store.errors import StoreDamagedError, StoreTooNewError

VERSION = 1
SEGMENT = b"bchlog"
SNAPSHOT = b"bchsnp"
MARK = b"bchmrk"
HINT = b"bchhnt"
RECORD = b"\xb7rc"
SEGMENT_HEADER = struct.Struct(
    "<6sHQQQ16s16s"
)  # magic, version, number, first seq, last index before, id, check
RECORD_HEAD = struct.Struct("<3sBIQQQ8s")  # magic, kind, length, seq, index, synced, check
SNAPSHOT_HEAD = struct.Struct("<6sHQQQ16s32s")  # magic, version, index, seq, length, id, check
MARK_HEAD = struct.Struct("<6sHI32s")  # magic, version, length, check: before the mark
HINT_LAYOUT = struct.Struct("<6sHQ16s")  # magic, version, synced, check: after each sync, in place
HINT_OFFSET = 4096  # in the mark's file: a sector of its own
MAX_OPENINGS = 32  # that a mark names


class Kind(IntEnum):
    """What a record does."""

    ENTRY = 1
    CUT = 2  # what is newer than the index is forgotten
    RESET = 3  # a snapshot of this index takes the place of all before


KINDS = frozenset(Kind)


@dataclass(frozen=True, slots=True)
class Record:
    """A record of a segment."""

    kind: Kind
    seq: int
    index: int
    synced: int  # records that were durable when this one was written
    data: bytes


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a segment, which exists only after all before it was synced."""

    number: int
    first_seq: int
    last_index: int  # index of the newest entry before its first record


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state that stands for all entries up to an index."""

    index: int
    seq: int  # records written when it was saved
    data: bytes


@dataclass(frozen=True, slots=True)
class Mark:
    """How far a store is, for others to remember: its id, how often it was opened, and records synced.

    ``digest`` is random, of the newest opening; ``openings`` has that and the records found at it, of the
    last 32.
    """

    id: bytes
    epoch: int
    synced: int
    digest: bytes
    openings: tuple[tuple[bytes, int], ...]

    def to_bytes(self) -> bytes:
        """Return the mark as it is sent to others and saved."""
        packed: bytes = msgpack.packb((self.id, self.epoch, self.synced, self.openings))
        return packed

    @classmethod
    def from_bytes(cls, data: bytes) -> "Mark":
        """Read a mark that was sent or saved. StoreDamagedError for what is none."""
        try:
            store_id, epoch, synced, packed = msgpack.unpackb(data)
            openings = tuple((bytes(digest), int(seq)) for digest, seq in packed)
            return cls(bytes(store_id), int(epoch), int(synced), openings[-1][0], openings)
        except Exception:
            raise StoreDamagedError("what was told as a mark is none") from None


def _checksum(store_id: bytes, *parts: bytes, size: int) -> bytes:
    return blake3(b"".join(parts), key=2 * store_id).digest(size)


def _check_version(found: int, where: str) -> None:
    if found > VERSION:
        raise StoreTooNewError(
            f"format {found}",
            where=where,
            wanted=f"at most {VERSION}",
            do="run the version that wrote it, or a later one",
        )


def encode_record(store_id: bytes, record: Record) -> bytes:
    """Return a record as it stands in a segment."""
    data = record.data
    head = (RECORD, record.kind, len(data), record.seq, record.index, record.synced, b"")
    front = RECORD_HEAD.pack(*head)[:-8]
    return b"".join((front, _checksum(store_id, front, data, size=8), data))


def decode_record(store_id: bytes, data: bytes, offset: int) -> Record | None:
    """Return the record that begins at the offset; None if none does, or not a complete one."""
    if offset + RECORD_HEAD.size > len(data):
        return None
    magic, kind, length, seq, index, synced, check = RECORD_HEAD.unpack_from(data, offset)
    end = offset + RECORD_HEAD.size + length
    if magic != RECORD or end > len(data) or kind not in KINDS:
        return None
    content = data[offset + RECORD_HEAD.size : end]
    if _checksum(store_id, data[offset : offset + RECORD_HEAD.size - 8], content, size=8) != check:
        return None
    return Record(Kind(kind), seq, index, synced, content)


def encode_header(store_id: bytes, header: Header) -> bytes:
    """Return the header with which a segment begins."""
    fields = (SEGMENT, VERSION, header.number, header.first_seq, header.last_index, store_id, b"")
    front = SEGMENT_HEADER.pack(*fields)[:-16]
    return front + _checksum(store_id, front, size=16)


def decode_header(store_id: bytes, data: bytes, where: str) -> Header | None:
    """Read a segment's header; None if it is torn. StoreTooNewError."""
    if len(data) < SEGMENT_HEADER.size:
        return None
    magic, version, number, first_seq, last, _, check = SEGMENT_HEADER.unpack_from(data)
    if magic == SEGMENT:
        _check_version(version, where)
    if _checksum(store_id, data[: SEGMENT_HEADER.size - 16], size=16) != check:
        return None
    return Header(number, first_seq, last)


def is_complete_segment(store_id: bytes, data: bytes) -> bool:
    """Return whether it is a header and complete records, and nothing else."""
    if decode_header(store_id, data, "") is None:
        return False
    offset = SEGMENT_HEADER.size
    while offset < len(data) and (record := decode_record(store_id, data, offset)) is not None:
        offset += RECORD_HEAD.size + len(record.data)
    return offset == len(data)


def encode_snapshot(store_id: bytes, snapshot: Snapshot) -> bytes:
    """Return a snapshot's file."""
    data = snapshot.data
    head = (SNAPSHOT, VERSION, snapshot.index, snapshot.seq, len(data), store_id, b"")
    front = SNAPSHOT_HEAD.pack(*head)[:-32]
    return front + _checksum(store_id, front, data, size=32) + data


def decode_snapshot(store_id: bytes, data: bytes, where: str) -> Snapshot:
    """Read a snapshot's file, which came by its name only whole and synced.

    StoreDamagedError if it is not; StoreTooNewError.
    """
    if len(data) >= SNAPSHOT_HEAD.size:
        magic, version, index, seq, length, _, check = SNAPSHOT_HEAD.unpack_from(data)
        if magic == SNAPSHOT:
            _check_version(version, where)
        content = data[SNAPSHOT_HEAD.size :]
        expected = _checksum(store_id, data[: SNAPSHOT_HEAD.size - 32], content, size=32)
        if length == len(content) and expected == check:
            return Snapshot(index, seq, content)
    raise damage_error("the snapshot does not fit its checksum", where)


def encode_mark(mark: Mark) -> bytes:
    """Return the mark's file, without a hint."""
    packed = mark.to_bytes()
    front = MARK_HEAD.pack(MARK, VERSION, len(packed), b"")[:-32]
    return front + blake3(front + packed).digest() + packed


def decode_mark(data: bytes, where: str) -> tuple[Mark, int]:
    """Read the mark's file: the mark, and the records that its hint calls synced, 0 for none.

    StoreDamagedError, StoreTooNewError.
    """
    if len(data) >= MARK_HEAD.size:
        magic, version, length, check = MARK_HEAD.unpack_from(data)
        if magic == MARK:
            _check_version(version, where)
        packed = data[MARK_HEAD.size : MARK_HEAD.size + length]
        if blake3(data[: MARK_HEAD.size - 32] + packed).digest() == check:
            mark = Mark.from_bytes(packed)
            return mark, _decode_hint(mark, data[HINT_OFFSET : HINT_OFFSET + HINT_LAYOUT.size])
    raise damage_error("the mark does not fit its checksum", where)


def encode_hint(mark: Mark, synced: int) -> bytes:
    """Return the hint that so many records are synced, for the mark's file."""
    front = HINT_LAYOUT.pack(HINT, VERSION, synced, b"")[:-16]
    return front + _checksum(mark.digest, front, size=16)


def _decode_hint(mark: Mark, data: bytes) -> int:
    """Return the records that a hint calls synced; a torn one says nothing."""
    if len(data) < HINT_LAYOUT.size or _checksum(mark.digest, data[:-16], size=16) != data[-16:]:
        return 0
    return int(HINT_LAYOUT.unpack(data)[2])


def damage_error(what: str, where: str, wanted: str = "") -> StoreDamagedError:
    """Return the error for something that had been synced and is gone or changed."""
    return StoreDamagedError(
        what,
        where=where,
        wanted=wanted,
        do="move the folder away and keep it: the node comes back as a new "
        "one, and the others tell it what it may know (docs/store.md)",
    )
