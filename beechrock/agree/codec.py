"""Encoding of messages and journal records: msgpack, with one extension number per type.

Fields are written by position, so their names may change but not their order. A number is never reused for
another type. Data with another version, an unknown number or a wrong number of fields raise BadMessageError.
The transport has authenticated the sender by then, so it runs another version and is no attacker.
"""

from collections.abc import Iterable
from dataclasses import fields
from enum import IntEnum
from typing import Any, cast

import msgpack

from beechrock.agree import messages as m
from beechrock.agree.errors import BadMessageError

VERSION = 1
FIRST_RECORD_NUMBER = 32  # Smallest extension number of a journal record; smaller numbers are messages
TYPES: dict[int, type[Any]] = {
    1: m.MemoryQuery,
    2: m.MemoryReport,
    3: m.PreVote,
    4: m.PreVoteReply,
    5: m.Vote,
    6: m.VoteReply,
    7: m.LeadershipTransfer,
    8: m.Append,
    9: m.AppendReply,
    10: m.SnapshotChunk,
    11: m.SnapshotChunkReply,
    12: m.ForwardedProposal,
    13: m.ProposalRejected,
    14: m.ReadIndexRequest,
    15: m.ReadIndexReply,
    32: m.HardState,
    33: m.EpochOpened,
    34: m.PeerMark,
    35: m.BarredState,
    36: m.Snapshot,
    37: m.Entry,
    48: m.Epoch,
    49: m.Mark,
}
NUMBERS = {kind: number for number, kind in TYPES.items()}
FIELD_NAMES = {kind: tuple(field.name for field in fields(kind)) for kind in TYPES.values()}
ENUM_TYPES: tuple[type[IntEnum], ...] = (m.EntryKind, m.MemoryStatus, m.Verdict)
# Enum types of the enum fields of each message type, by field position; msgpack writes enums as numbers.
ENUM_FIELDS: dict[type[Any], dict[int, type[IntEnum]]] = {
    kind: {
        position: cast(type[IntEnum], field.type)
        for position, field in enumerate(fields(kind))
        if field.type in ENUM_TYPES
    }
    for kind in TYPES.values()
}


def _pack_extension(value: Any) -> msgpack.ExtType:
    kind = type(value)
    return msgpack.ExtType(NUMBERS[kind], _pack([getattr(value, name) for name in FIELD_NAMES[kind]]))


def _pack(value: Any) -> bytes:
    return cast(bytes, msgpack.packb(value, default=_pack_extension))


def _unpack_extension(number: int, data: bytes) -> Any:
    kind = TYPES.get(number)
    values = _unpack(data)
    if kind is None or not isinstance(values, tuple) or len(values) != len(FIELD_NAMES[kind]):
        raise BadMessageError(
            f"number {number} with {data[:20]!r}", where="agreed log", wanted="a message of version 1"
        )
    enums = ENUM_FIELDS[kind]
    if not enums:
        return kind(*values)
    return kind(
        *(enums[position](value) if position in enums else value for position, value in enumerate(values))
    )


def _unpack(data: bytes) -> Any:
    return msgpack.unpackb(data, ext_hook=_unpack_extension, use_list=False)


def _read(data: bytes) -> Any:
    if data[:1] != bytes([VERSION]):
        raise BadMessageError(f"version {data[:1].hex()}", where="agreed log", wanted=f"version {VERSION}")
    try:
        return _unpack(data[1:])
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise BadMessageError(f"cannot be read: {error}", where="agreed log") from error


def encode(message: m.Message) -> bytes:
    """Return the message encoded as bytes."""
    return bytes([VERSION]) + _pack(message)


def decode(data: bytes) -> m.Message:
    """Return the decoded message. Raises BadMessageError if the bytes are no message."""
    message = _read(data)
    if NUMBERS.get(type(message), FIRST_RECORD_NUMBER) >= FIRST_RECORD_NUMBER:
        raise BadMessageError(f"{type(message).__name__} is no message", where="agreed log")
    return cast(m.Message, message)


def encode_records(records: Iterable[m.Record], position: int = 0) -> bytes:
    """Return the records encoded as bytes.

    ``position``: number of records ever written if these are a whole state; 0 for further single records.
    """
    return bytes([VERSION]) + _pack((position, tuple(records)))


def decode_records(data: bytes) -> tuple[int, tuple[m.Record, ...]]:
    """Return the position and the decoded records. Raises BadMessageError if the bytes are no records."""
    content = _read(data)
    if not (
        isinstance(content, tuple)
        and len(content) == 2
        and isinstance(content[0], int)
        and isinstance(content[1], tuple)
    ):
        raise BadMessageError("no records", where="agree journal")
    return content
