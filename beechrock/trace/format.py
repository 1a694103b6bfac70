"""The trace file: a header, blocks that stand for themselves, and an index at the end that can be made again.

    header    magic, version, length, JSON, checksum
    block     marker, type, lengths, count, first and last time, checksums of these and the payload; payload
    trailer   magic, where the index (a block as well) begins, checksum

A file cut at any byte opens up to its last whole block. Every length is bounded before it is believed. Types
and kinds that a reader does not know are passed over, so that it opens newer files of the same version.
"""

import contextlib
import errno
import os
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import msgpack
import ujson
import xxhash
import zstandard

from beechrock.trace import bloom, codec
from beechrock.trace.errors import FormatError
from beechrock.trace.records import Row, value

# 2: the kinds ``replaced`` and ``elsewhere``; 3: ``memory_limit``. A replay cannot do without them.
VERSION = 3
MAGIC, TRAILER_MAGIC, MARKER = b"BTRACE\r\n", b"BTRINDEX", b"BLK\x1a"
HEAD = struct.Struct(">8sHI")
BLOCK = struct.Struct(">4sBIIdd")  # marker, type, payload's bytes, rows, first and last time
SUMS = struct.Struct(">IQ")  # of the block's head, of the payload
TRAILER = struct.Struct(">8sQQ")
ROWS, INDEX = 1, 2
MOST_META = 65_536
MOST_INDEX = 64 << 20  # bytes of an index once unpacked
MOST_BLOCKS = 200_000  # of one file
MOST_NAMES = 1_000  # routes or teams that an index entry lists; with more it says so
REPAIR = "`beechrock trace repair` writes all whole blocks to another file"
SUFFIX = ".btrace"


@dataclass(frozen=True, slots=True)
class Facts:
    """What the index knows of a block; None where there were too many to list."""

    offset: int
    packed: int
    rows: int
    first: float
    last: float
    routes: frozenset[str] | None
    teams: frozenset[str] | None
    verdicts: frozenset[str] | None
    subjects: bytes  # a Bloom filter

    def may_hold(self, subject: str) -> bool:
        return bloom.may_hold(self.subjects, subject)

    def overlaps(self, since: float, until: float) -> bool:
        return self.first < until and self.last >= since


def facts(offset: int, packed: int, rows: list[Row]) -> Facts:
    """The index entry of a block with these rows."""
    taken = [row for row in rows if row[0] == "taken"]
    ends = [row for row in rows if row[0] == "answered"]
    return Facts(
        offset,
        packed,
        len(rows),
        min(row[1] for row in rows),
        max(row[1] for row in rows),
        _names(value(row, "route") for row in taken),
        _names(value(row, "team") for row in taken),
        _names(value(row, "verdict") for row in ends),
        bloom.made(subject for row in taken if (subject := value(row, "subject"))),
    )


def _names(told: Iterable[Any]) -> frozenset[str] | None:
    found = frozenset(str(name) for name in told if name)
    return found if len(found) <= MOST_NAMES else None


class Writer:
    """Writes one file; what it has written is whole after each ``write``."""

    def __init__(self, path: Path, meta: dict[str, Any]) -> None:
        self.path = path
        self.index: list[Facts] = []
        self.size = 0
        told = ujson.dumps(meta).encode()
        if len(told) > MOST_META:
            raise FormatError(f"a header of {len(told)} bytes")
        head = HEAD.pack(MAGIC, VERSION, len(told)) + told
        # Seen with a buffer: what a failed write had left in it came to disk as the file was closed, though
        # its rows had been counted as dropped.
        self._file = path.open("xb", buffering=0)
        try:
            self._put(head + xxhash.xxh3_64_digest(head))
        except OSError:  # a file without its header is none, and would only be in the way
            self.abandon()
            path.unlink(missing_ok=True)
            raise

    def _put(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            done = self._file.write(left)
            if not done:
                raise OSError(errno.EIO, "the disk takes nothing, and says no error", str(self.path))
            left = left[done:]
        self.size += len(data)

    def write(self, rows: list[Row]) -> int:
        """Add a block; gives its bytes. OSError where the disk does not take it: close the file then."""
        payload = codec.pack(rows)
        entry = facts(self.size, len(payload), rows)
        block = _block(ROWS, payload, len(rows), entry.first, entry.last)
        self._put(block)
        self.index.append(entry)
        return len(block)

    def close(self) -> None:
        """Write the index, and see that all is on the disk."""
        try:
            offset, payload = self.size, _packed_index(self.index)
            last = max((entry.last for entry in self.index), default=0.0)
            first = min((entry.first for entry in self.index), default=0.0)
            self._put(_block(INDEX, payload, len(self.index), first, last))
            trailer = TRAILER_MAGIC + offset.to_bytes(8, "big")
            self._put(trailer + xxhash.xxh3_64_digest(trailer))
            os.fsync(self._file.fileno())
        finally:
            self._file.close()

    def abandon(self) -> None:
        """Close without an index, as such a disk takes none; a reader makes it again."""
        with contextlib.suppress(OSError):
            self._file.close()


def _block(kind: int, payload: bytes, rows: int, first: float, last: float) -> bytes:
    head = BLOCK.pack(MARKER, kind, len(payload), rows, first, last)
    return head + SUMS.pack(xxhash.xxh32_intdigest(head), xxhash.xxh3_64_intdigest(payload)) + payload


def _packed_index(index: list[Facts]) -> bytes:
    told = []
    for e in index:
        names = [None if held is None else sorted(held) for held in (e.routes, e.teams, e.verdicts)]
        told.append([e.offset, e.packed, e.rows, e.first, e.last, *names, e.subjects])
    raw = msgpack.packb(told)
    return zstandard.ZstdCompressor(level=codec.LEVEL, write_content_size=True).compress(raw)


def _index_of(payload: bytes) -> list[Facts]:
    try:
        if not 0 <= zstandard.frame_content_size(payload) <= MOST_INDEX:
            raise FormatError("an index longer than may be")
        raw = zstandard.ZstdDecompressor().decompress(payload, max_output_size=MOST_INDEX)
        told = msgpack.unpackb(raw, max_array_len=MOST_BLOCKS, max_ext_len=0)
        found = []
        for offset, packed, rows, first, last, *names, subjects in told:
            sets = [None if part is None else frozenset(map(str, part)) for part in names[:3]]
            found.append(
                Facts(
                    int(offset),
                    int(packed),
                    int(rows),
                    float(first),
                    float(last),
                    sets[0],
                    sets[1],
                    sets[2],
                    bytes(subjects),
                )
            )
        return found
    except FormatError:
        raise
    except (
        zstandard.ZstdError,
        msgpack.UnpackException,
        ValueError,
        TypeError,
        IndexError,
        OverflowError,
        MemoryError,
    ) as error:
        raise FormatError(f"no index: {type(error).__name__}: {str(error)[:120]}") from None


@dataclass(frozen=True, slots=True)
class _Head:
    kind: int
    packed: int
    rows: int
    first: float
    last: float
    payload_sum: int


HEAD_SIZE = BLOCK.size + SUMS.size


class Reader:
    """Opens one file. ``whole``: it has its index; else that was made again by a scan.

    FormatError where it is no trace, or of a version that is not known.
    """

    def __init__(self, path: Path, scan: bool = False) -> None:
        self.path = path
        self._file: BinaryIO = path.open("rb")
        try:
            self.size = os.fstat(self._file.fileno()).st_size
            self.version, self.meta, self._start = self._header()
            self.skipped = 0  # bytes that are no whole block
            found = None if scan else self._told_index()
            self.whole = found is not None
            self.blocks: list[Facts] = found if found is not None else self._scanned()
        except BaseException:
            self._file.close()
            raise

    def __enter__(self) -> "Reader":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        self._file.close()

    @property
    def rows_told(self) -> int:
        return sum(entry.rows for entry in self.blocks)

    def _at(self, offset: int, size: int) -> bytes:
        self._file.seek(offset)
        return self._file.read(size)

    def _header(self) -> tuple[int, dict[str, Any], int]:
        head = self._at(0, HEAD.size)
        if len(head) < HEAD.size or head[:8] != MAGIC:
            raise FormatError("no trace file", where=str(self.path))
        _, version, length = HEAD.unpack(head)
        if not 1 <= version <= VERSION:
            raise FormatError(
                f"of version {version}; this program reads 1 to {VERSION}",
                where=str(self.path),
                do="read it with the program that wrote it",
            )
        if length > MOST_META:
            raise FormatError(f"a header of {length} bytes", where=str(self.path))
        rest = self._at(HEAD.size, length + 8)
        if len(rest) < length + 8 or rest[length:] != xxhash.xxh3_64_digest(head + rest[:length]):
            raise FormatError("its header is damaged", where=str(self.path))
        meta = ujson.loads(rest[:length])
        if not isinstance(meta, dict):
            raise FormatError("its header is no object", where=str(self.path))
        return version, meta, HEAD.size + length + 8

    def _told_index(self) -> list[Facts] | None:
        """The index that the trailer names, if both are sound and fit the file."""
        trailer = self._at(max(0, self.size - TRAILER.size), TRAILER.size)
        if len(trailer) < TRAILER.size or trailer[:8] != TRAILER_MAGIC:
            return None
        if trailer[16:] != xxhash.xxh3_64_digest(trailer[:16]):
            return None
        offset = int.from_bytes(trailer[8:16], "big")
        try:
            head = self._block_head(offset)
            if head.kind != INDEX or offset + HEAD_SIZE + head.packed != self.size - TRAILER.size:
                return None
            found = _index_of(self._payload(offset, head))
        except FormatError:
            return None
        end = self._start
        for entry in found:  # blocks in order, without gaps or overlaps: a lie could loop or seek at will
            if entry.offset != end or not 0 < entry.packed <= codec.MOST_PACKED:
                return None
            end = entry.offset + HEAD_SIZE + entry.packed
        return found if end == offset and len(found) == head.rows else None

    def _block_head(self, offset: int) -> _Head:
        data = self._at(offset, HEAD_SIZE)
        if len(data) < HEAD_SIZE or data[:4] != MARKER:
            raise FormatError(f"no block at {offset}", where=str(self.path))
        told, payload_sum = SUMS.unpack(data[BLOCK.size :])
        if told != xxhash.xxh32_intdigest(data[: BLOCK.size]):
            raise FormatError(f"a damaged block's head at {offset}", where=str(self.path))
        _, kind, packed, rows, first, last = BLOCK.unpack(data[: BLOCK.size])
        if not 0 < packed <= (MOST_INDEX if kind == INDEX else codec.MOST_PACKED) or rows > MOST_BLOCKS:
            raise FormatError(f"a block at {offset} out of bounds", where=str(self.path))
        return _Head(kind, packed, rows, first, last, payload_sum)

    def _payload(self, offset: int, head: _Head) -> bytes:
        data = self._at(offset + HEAD_SIZE, head.packed)
        if len(data) < head.packed:
            raise FormatError(f"the block at {offset} is cut off", where=str(self.path), do=REPAIR)
        if xxhash.xxh3_64_intdigest(data) != head.payload_sum:
            raise FormatError(f"the block at {offset} is damaged", where=str(self.path), do=REPAIR)
        return data

    def _scanned(self) -> list[Facts]:
        """All whole blocks; over what is damaged the scan goes on to the next marker."""
        found: list[Facts] = []
        at = self._start
        while at + HEAD_SIZE <= self.size and len(found) < MOST_BLOCKS:
            try:
                head = self._block_head(at)
                payload = self._payload(at, head)
                if head.kind == ROWS:
                    rows = codec.unpack(payload)
                    if not rows:
                        raise FormatError("a block without rows")
                    found.append(facts(at, head.packed, rows))
                at += HEAD_SIZE + head.packed
            except FormatError:
                further = self._next_marker(at + 1)
                self.skipped += further - at
                at = further
        # The trailer is no block; what else is left is the end of one that was cut off.
        if self._at(at, 8) != TRAILER_MAGIC:
            self.skipped += max(0, self.size - at)
        return found

    def _next_marker(self, at: int) -> int:
        step = 1 << 16
        while at < self.size:
            data = self._at(at, step + len(MARKER) - 1)
            place = data.find(MARKER)
            if place >= 0:
                return at + place
            trailer = data.find(TRAILER_MAGIC)
            if trailer >= 0 and at + trailer + TRAILER.size >= self.size:
                return at + trailer
            at += step
        return self.size

    def load(self, entry: Facts, only: frozenset[str] | None = None) -> list[Row]:
        """A block's rows. FormatError where it is damaged, or not the one that the index tells of."""
        head = self._block_head(entry.offset)
        if (head.kind, head.packed, head.rows, head.first, head.last) != (
            ROWS,
            entry.packed,
            entry.rows,
            entry.first,
            entry.last,
        ):
            raise FormatError(f"the index lies about the block at {entry.offset}", where=str(self.path))
        return codec.unpack(self._payload(entry.offset, head), only)

    def rows(self, only: frozenset[str] | None = None) -> Iterator[Row]:
        """All rows, block by block."""
        for entry in self.blocks:
            yield from self.load(entry, only)

    def check(self) -> list[str]:
        """What is wrong with the file, block by block and with its index; empty if nothing."""
        found = [] if self.whole else ["no sound index; it can be made again (repair)"]
        if self.skipped:
            found.append(f"{self.skipped} bytes are no whole block")
        for entry in self.blocks:
            try:
                if facts(entry.offset, entry.packed, self.load(entry)) != entry:
                    found.append(f"the index lies about what the block at {entry.offset} holds")
            except FormatError as error:
                found.append(str(error))
        return found
