"""One block of rows as bytes, and back: columns by kind, msgpack, zstandard. Pure.

Columns, as like stands beside like; times as differences of their bits, which keeps each float to the bit in
two or three bytes. What is read is bounded before it is unpacked: no block takes more than ``MOST_RAW``.
"""

from array import array
from collections.abc import Sequence
from itertools import accumulate, pairwise
from typing import Any

import msgpack
import zstandard

from beechrock.trace.errors import FormatError
from beechrock.trace.records import FIELDS, KINDS, VALUES_BEFORE, Row

MOST_RAW = 16 << 20  # bytes of a block before compression
MOST_PACKED = 4 << 20  # and after it
MOST_ROWS = 65_536
MOST_FIELD = 65_536 + 64  # bytes of one value: a subject of 64 KB is taken, more is cut off by the recorder
LEVEL = 3


def _to_bits(times: Sequence[float]) -> list[int]:
    return memoryview(_doubles(times)).cast("B").cast("q").tolist()


def _doubles(times: Sequence[float]) -> bytes:
    return array("d", times).tobytes()


def pack(rows: Sequence[Row]) -> bytes:
    """The rows as a compressed block. FormatError where they make too large a one."""
    by_kind: dict[str, list[Row]] = {}
    at: dict[str, list[int]] = {}
    for number, row in enumerate(rows):
        by_kind.setdefault(row[0], []).append(row[1:])
        at.setdefault(row[0], []).append(number)
    told: dict[int, list[Any]] = {}
    for kind, held in by_kind.items():
        times, *columns = zip(*held, strict=True)
        bits = _to_bits(times)
        gaps = [bits[0], *(b - a for a, b in pairwise(bits))]
        places = at[kind]
        steps = [places[0], *(b - a for a, b in pairwise(places))]
        told[KINDS.index(kind)] = [steps, gaps, *map(list, columns)]
    raw = msgpack.packb([len(rows), told], use_bin_type=True)
    if len(raw) > MOST_RAW or len(rows) > MOST_ROWS:
        raise FormatError(
            f"a block of {len(rows)} rows and {len(raw)} bytes",
            wanted=f"up to {MOST_ROWS} rows and {MOST_RAW} bytes",
        )
    return zstandard.ZstdCompressor(level=LEVEL, write_content_size=True).compress(raw)


def unpack(data: bytes, only: frozenset[str] | None = None) -> list[Row]:
    """The rows of a block in their order; of the kinds in ``only`` where that is given.

    FormatError where the bytes are no block: whatever they hold, no more than the bounds is taken up.
    """
    try:
        if not 0 < zstandard.frame_content_size(data) <= MOST_RAW:
            raise FormatError("a block that says it is longer than may be, or nothing of its length")
        raw = zstandard.ZstdDecompressor().decompress(data, max_output_size=MOST_RAW)
        count, told = msgpack.unpackb(
            raw,
            strict_map_key=False,
            max_str_len=MOST_FIELD,
            max_bin_len=MOST_FIELD,
            max_ext_len=0,
            max_array_len=MOST_ROWS,
            max_map_len=len(KINDS),
        )
        if not isinstance(count, int) or not 0 <= count <= MOST_ROWS or not isinstance(told, dict):
            raise FormatError("a block without a count")
        found: list[Row | None] = [None] * count
        for kind_number, columns in told.items():
            kind = KINDS[kind_number] if 0 <= kind_number < len(KINDS) else None
            if kind is None:
                continue  # of a later version, which may have more kinds
            steps, gaps, *fields = columns
            fields += _columns_before(kind, len(fields), len(steps))
            if len(fields) < len(FIELDS[kind]) or any(len(c) != len(steps) for c in (gaps, *fields)):
                raise FormatError(f"columns of {kind} that differ in length")
            if only is not None and kind not in only:
                continue
            times = memoryview(_longs(list(accumulate(gaps)))).cast("B").cast("d").tolist()
            rows = zip([kind] * len(steps), times, *fields[: len(FIELDS[kind])], strict=True)
            for place, row in zip(accumulate(steps), rows, strict=True):
                if place < 0:
                    raise FormatError("a row before the first")
                found[place] = row
        return [row for row in found if row is not None]
    except FormatError:
        raise
    except (
        zstandard.ZstdError,
        msgpack.UnpackException,
        ValueError,
        TypeError,
        IndexError,
        KeyError,
        OverflowError,
        MemoryError,
        RecursionError,
    ) as error:
        raise FormatError(f"no block: {type(error).__name__}: {str(error)[:120]}") from None


def _columns_before(kind: str, found: int, rows: int) -> list[list[Any]]:
    """Return the columns that a file of before lacks, of which ``found`` are there."""
    before = VALUES_BEFORE.get(kind, ())
    if found != len(FIELDS[kind]) - len(before):
        return []
    return [[value] * rows for value in before]


def _longs(bits: list[int]) -> bytes:
    return array("q", bits).tobytes()
