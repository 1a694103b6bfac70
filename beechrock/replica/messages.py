"""The messages between nodes on the channel ``replica``, and their encoding. Pure.

In format 2 each message carries the position of the sender's disk, so that the receiver of a promise knows
which synced records it depends on. In format 1 only the Hello has it, once a second.
"""

from dataclasses import dataclass, field, fields
from typing import Any

import msgpack

from beechrock.replica.errors import ReplicaRecordError

READS = 1, 2  # Formats that can be read; the last one is sent to peers that can read it.
TRY_NEWEST_EVERY = 30  # One of this many Hellos to a peer that only sent older formats is in the newest one.
Entries = list[tuple[bytes, bytes]]  # Each: name, packed state.


@dataclass(frozen=True, slots=True)
class Hello:
    """Sent each second: the sender is present, the mark of its store, its stage, and the number and root
    digest of its records. ``again``: how often in this life it began with a loss of memory or set its causal
    records aside."""

    mark: bytes
    stage: str
    count: int
    root: bytes
    again: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """Reply to a Hello: the verdict on the store whose opening has this ``digest``. The verdict ``outdated``
    means that tombstones which the store never received were dropped. ``tail``: the sender knows what the
    store lacks. ``count`` and ``stage`` are the sender's."""

    digest: bytes
    verdict: str
    tail: bool
    count: int
    stage: str


@dataclass(frozen=True, slots=True)
class Batch:
    """Changed records, to be acknowledged."""

    n: int
    entries: Entries


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledgement of a batch, sent after its records were synced. ``counts``: the sender is whole and
    counts for a majority. ``room`` False: the sender's table is full, and the batch has to be sent again."""

    n: int
    counts: bool
    room: bool


@dataclass(frozen=True, slots=True)
class Ask:
    """Question of a repair round. ``parts``: ranges (level, number), each with the sums and counts of its 16
    parts; ``lists``: ranges, each with the digests of all its entries."""

    round: int
    n: int
    parts: list[Any]
    lists: list[Any]


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an Ask. ``differ``: ranges that differ; ``want``: names whose states the asker has to send;
    ``have``: names whose states follow in batches. ``more``: some differences did not fit."""

    round: int
    n: int
    differ: list[Any]
    want: list[bytes]
    have: list[bytes]
    more: bool


@dataclass(frozen=True, slots=True)
class Pull:
    """Request for a piece of a full copy, from the range ``cursor`` on."""

    cursor: int


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of a full copy: all entries of the ranges from ``cursor`` up to, but not including,
    ``after``."""

    cursor: int
    after: int
    entries: Entries


Message = Hello | Welcome | Batch | Ack | Ask | Answer | Pull | Piece
TYPES: tuple[type[Any], ...] = (Hello, Welcome, Batch, Ack, Ask, Answer, Pull, Piece)
TYPE_NUMBERS = {message_type: n for n, message_type in enumerate(TYPES)}
FIELD_TYPES: dict[str, type[Any]] = {"int": int, "bytes": bytes, "str": str, "bool": bool}
FIELDS = {
    message_type: tuple(
        (field.name, FIELD_TYPES.get(str(getattr(field.type, "__name__", field.type)), list))
        for field in fields(message_type)
    )
    for message_type in TYPES
}


@dataclass(frozen=True, slots=True)
class Held:
    """Position of the sender's disk: digest of its store's opening, and number of records synced."""

    digest: bytes
    synced: int


@dataclass(slots=True)
class Formats:
    """The format to send to each peer: the newest one, except to a peer whose present life has only sent
    older ones.

    A life can read each format that it has sent. So two new nodes that each took the other for an older one
    find out with the first Hello that is tried in the newest format.
    """

    # By peer: life, newest format received from it.
    formats_received: dict[str, tuple[int, int]] = field(default_factory=dict)
    # By peer: Hellos sent while it only sent older formats.
    hellos_sent: dict[str, int] = field(default_factory=dict)

    def received(self, peer: str, life: int, version: int) -> None:
        """Record the format of a message from a peer."""
        known_life, newest = self.formats_received.get(peer, (0, 0))
        if life >= known_life:
            self.formats_received[peer] = life, max(version, newest if life == known_life else 0)

    def format_for(self, peer: str, hello: bool) -> int:
        """Return the format of the next message to a peer. ``hello``: the message is a Hello."""
        found = min(self.formats_received.get(peer, (0, READS[-1]))[1], READS[-1])
        if hello and found < READS[-1]:
            self.hellos_sent[peer] = self.hellos_sent.get(peer, 0) + 1
            if self.hellos_sent[peer] % TRY_NEWEST_EVERY == 0:
                return READS[-1]
        return found


def encode(message: Message, held: Held | None = None) -> bytes:
    """Encode a message: in the newest format with ``held``, in format 1 without it."""
    message_type = type(message)
    values = (getattr(message, name) for name, _ in FIELDS[message_type])
    header = (1,) if held is None else (READS[-1], held.digest, held.synced)
    data: bytes = msgpack.packb((*header, TYPE_NUMBERS[message_type], *values))
    return data


def decode(data: bytes) -> tuple[Message, Held | None]:
    """Decode a message; the second value is None in format 1. Raises ReplicaRecordError if it cannot be read
    or has an unknown format."""
    try:
        version, *values = msgpack.unpackb(data)
        if version not in READS:
            raise ReplicaRecordError(
                f"a message of format {version}",
                where="replica",
                wanted=f"at most {READS[-1]}",
                do="run one version at all nodes",
            )
        held = None
        if version > 1:
            digest, synced, *values = values
            if not isinstance(digest, bytes) or not isinstance(synced, int):
                raise ReplicaRecordError(
                    "a message without the position of the sender's disk", where="replica"
                )
            held = Held(digest, synced)
        number, *values = values
        message_type = TYPES[number]
        wanted = FIELDS[message_type]
        if len(values) != len(wanted) or not all(
            isinstance(value, kind) for value, (_, kind) in zip(values, wanted, strict=True)
        ):
            raise ReplicaRecordError(
                f"a message with invalid fields of {message_type.__name__}", where="replica"
            )
        message: Message = message_type(*values)
        if isinstance(message, Batch | Piece) and not all(
            len(entry) == 2 and isinstance(entry[0], bytes) and isinstance(entry[1], bytes)
            for entry in message.entries
        ):
            raise ReplicaRecordError("a message with invalid entries", where="replica")
        return message, held
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise ReplicaRecordError(f"a message that cannot be read: {error}", where="replica") from None
