"""Encoding of membership messages as datagrams: msgpack with a keyed BLAKE3 tag and a counter against replay.

Pure. An invalid datagram is dropped with a reason; no part of the body is parsed before its tag is verified.
Elements at the end of a list that this version does not know are ignored: a newer version adds fields there,
and both versions run in one fleet during an upgrade.
"""

import hmac
from collections import OrderedDict
from enum import Enum
from typing import Any, NamedTuple

import msgpack
from blake3 import blake3

from beechrock.members.errors import ShortKeyError
from beechrock.members.messages import (
    BUCKETS,
    DIGEST_BYTES,
    MAX_PARTS,
    MAX_UPDATES,
    Ack,
    FullState,
    MemberState,
    Message,
    Ping,
    PingRequest,
    PingRequestAck,
    Status,
    Update,
)

VERSION = 1  # Format version; other versions are dropped. Fields added at the end do not change it
TAG_BYTES = 16  # Size of the authentication tag: 128 bits of keyed BLAKE3
MAX_DATAGRAM_BYTES = 1200  # Small enough that no link fragments the datagram
MAX_NAME_BYTES = 64  # Maximum length of a member's name, an address, a hall or a fleet's name
MIN_SECRET_BYTES = 16  # Minimum length of the secret in the fleet's key file
MAX_SENDERS = 4096  # Maximum number of lives with replay state; the least recently received from is evicted
REPLAY_WINDOW = 256  # Replay window: a counter less than this far below the newest is accepted, once
MESSAGE_TYPES = (Ping, PingRequest, Ack, PingRequestAck, FullState)  # A type's number is its index here
KEY_CONTEXT = "beechrock members 1"


class DropReason(Enum):
    """Reasons to drop a datagram; the values are the ends of counter names."""

    SIZE = "size"
    TAG = "tag"
    FORM = "form"
    VERSION = "version"
    FLEET = "fleet"
    REPLAYED = "replayed"


class DroppedError(Exception):
    """A datagram was rejected; ``reason`` says why."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def key_from(secret: bytes) -> bytes:
    """Return the key of the tags, derived from the secret in the fleet's key file.

    Raises ShortKeyError if the secret is shorter than 16 bytes.
    """
    if len(secret) < MIN_SECRET_BYTES:
        raise ShortKeyError(
            "a key of under 16 bytes",
            wanted="the same for all of the fleet",
            do="head -c 32 /dev/urandom | base64 > FILE",
        )
    return blake3(secret, derive_key_context=KEY_CONTEXT).digest()


class ReplayState(NamedTuple):
    """Counters received from one life of a sender."""

    newest: int  # Greatest counter received
    bitmap: int  # Bit n is set if the counter n below ``newest`` was received


class Codec:
    """Encoder and decoder of one member: its own counter, and the replay states of all senders."""

    def __init__(self, key: bytes, fleet: str, name: str, life: int) -> None:
        self.key = key
        self.fleet = fleet
        self.name = name
        self.life = life
        self.counter = 0  # Counter of the last datagram encoded
        # Replay states by sender's name and life, least recently received from first.
        self.received: OrderedDict[tuple[str, int], ReplayState] = OrderedDict()

    def encode(self, message: Message) -> bytes:
        """Return the message as one datagram; updates that do not fit are left out, the last ones first."""
        self.counter += 1
        updates = list(message.updates)
        while True:
            body: bytes = msgpack.packb(self._envelope(message, updates))
            if len(body) + TAG_BYTES <= MAX_DATAGRAM_BYTES or not updates:
                return body + self._tag(body)
            updates.pop()

    def _envelope(self, message: Message, updates: list[Update]) -> list[Any]:
        kind = MESSAGE_TYPES.index(type(message))
        return [
            VERSION,
            self.fleet,
            self.name,
            self.life,
            self.counter,
            kind,
            _own_fields(message),
            [_update_fields(update) for update in updates],
        ]

    def _tag(self, body: bytes) -> bytes:
        return blake3(body, key=self.key).digest(TAG_BYTES)

    def decode(self, data: bytes) -> tuple[str, Message]:
        """Return the sender's name and its message. Raises DroppedError, with the reason, if invalid."""
        fields = self._authenticated(data)
        try:
            version, fleet, name, life, counter, kind, own_fields, updates = fields[:8]
        except (ValueError, TypeError):
            raise DroppedError(DropReason.FORM) from None
        if version != VERSION:
            raise DroppedError(DropReason.VERSION)
        if fleet != self.fleet:
            raise DroppedError(DropReason.FLEET)
        try:
            sender = _checked_name(name)
            message = _parse_message(kind, own_fields, updates)
            position = _checked_count(life), _checked_count(counter)
        except (ValueError, TypeError, IndexError):
            raise DroppedError(DropReason.FORM) from None
        if not self._is_new(sender, *position):
            raise DroppedError(DropReason.REPLAYED)
        return sender, message

    def _authenticated(self, data: bytes) -> Any:
        """Return the unpacked body after checking the size and the tag of the datagram."""
        if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise DroppedError(DropReason.SIZE)
        body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise DroppedError(DropReason.TAG)
        try:
            return msgpack.unpackb(body, strict_map_key=True)
        except (ValueError, TypeError, msgpack.UnpackException):
            raise DroppedError(DropReason.FORM) from None

    def _is_new(self, name: str, life: int, counter: int) -> bool:
        """Record the counter; return whether it is new and not below the replay window."""
        newest, bitmap = self.received.pop((name, life), ReplayState(0, 0))
        if counter > newest:
            shift = counter - newest
            bitmap = (bitmap << shift | 1) & ((1 << REPLAY_WINDOW) - 1) if shift < REPLAY_WINDOW else 1
            newest, new = counter, True
        else:
            bit = newest - counter
            new = bit < REPLAY_WINDOW and not bitmap >> bit & 1
            bitmap |= (1 << bit) if new else 0
        self.received[name, life] = ReplayState(newest, bitmap)
        if len(self.received) > MAX_SENDERS:
            self.received.popitem(last=False)
        return new


def _own_fields(message: Message) -> list[Any]:
    match message:
        case Ping(number, target) | Ack(number, target):
            return [number, target]
        case PingRequest(number, target, address):
            return [number, target, address]
        case PingRequestAck(number):
            return [number]
        case FullState(parts_left, _, digests):
            return [parts_left, digests] if digests else [parts_left]


def _update_fields(update: Update) -> list[Any]:
    status = update.status
    fields = [update.name, update.address, status.life, status.incarnation, int(status.state), update.accuser]
    return [*fields, update.hall] if update.hall else fields


def _checked_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value < 1 << 63:
        raise DroppedError(DropReason.FORM)
    return value


def _checked_parts_left(value: Any) -> int:
    if _checked_count(value) >= MAX_PARTS:
        raise DroppedError(DropReason.FORM)
    return int(value)


def _checked_digests(own_fields: list[Any]) -> bytes:
    """Return the digests of a first part; empty for other parts and for senders of an earlier version."""
    value = own_fields[1] if len(own_fields) > 1 else b""
    if not isinstance(value, bytes) or len(value) not in (0, BUCKETS * DIGEST_BYTES):
        raise DroppedError(DropReason.FORM)
    return value


def _checked_name(value: Any, min_bytes: int = 1) -> str:
    if not isinstance(value, str) or not min_bytes <= len(value.encode()) <= MAX_NAME_BYTES:
        raise DroppedError(DropReason.FORM)
    return value


def _parse_update(fields: Any) -> Update:
    name, address = _checked_name(fields[0]), _checked_name(fields[1])
    status = Status(
        _checked_count(fields[2]), _checked_count(fields[3]), MemberState(_checked_count(fields[4]))
    )
    return Update(
        name,
        address,
        status,
        _checked_name(fields[5], 0),
        _checked_name(fields[6], 0) if len(fields) > 6 else "",
    )


def _parse_message(kind: Any, own_fields: Any, update_lists: Any) -> Message:
    if not isinstance(update_lists, list) or len(update_lists) > MAX_UPDATES:
        raise DroppedError(DropReason.FORM)
    updates = tuple(_parse_update(fields) for fields in update_lists)
    message_type = MESSAGE_TYPES[_checked_count(kind)]
    if message_type is Ping:
        return Ping(_checked_count(own_fields[0]), _checked_name(own_fields[1], 0), updates)
    if message_type is PingRequest:
        return PingRequest(
            _checked_count(own_fields[0]), _checked_name(own_fields[1]), _checked_name(own_fields[2]), updates
        )
    if message_type is Ack:
        return Ack(_checked_count(own_fields[0]), _checked_name(own_fields[1], 0), updates)
    if message_type is PingRequestAck:
        return PingRequestAck(_checked_count(own_fields[0]), updates)
    return FullState(_checked_parts_left(own_fields[0]), updates, _checked_digests(own_fields))
