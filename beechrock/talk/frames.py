"""The frame format between two nodes, its authentication and its protection against replay. Pure.

A connection carries frames in one direction. The receiver opens it with a *challenge*: random bytes, new for
each connection. The tag of each frame covers the challenge, the receiver's name and the body, so a frame is
valid on one connection and at one node only.
Invariant: (life, counter) of the frames received from one sender only grows; other frames are dropped.
"""

import hmac
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgpack
from blake3 import blake3

VERSION = 1
KEY_CONTEXT = "beechrock talk 1"
HEAD_BYTES = 4  # Size of the big-endian length prefix
TAG_BYTES = 16  # Size of the authentication tag: 128 bits of keyed BLAKE3
CHALLENGE_BYTES = 16  # 128 random bits, so that no challenge repeats by chance
MAX_NAME_BYTES = 64  # Maximum length of a node's name, a hall or a hardware class
MAX_MESSAGE_BYTES = 1 << 20
MAX_BODY_BYTES = MAX_MESSAGE_BYTES + 512  # Leaves room for names, life and counter beside the message


class DropReason(Enum):
    """Reasons to drop a received frame or a message to be sent. The values are shown to operators."""

    TAG = "tag"  # The frame is of another fleet, or for another connection; the connection is closed
    FORM = "form"  # The frame is malformed; the connection is closed
    UNKNOWN = "unknown"  # The sender is not a configured peer
    OLD_LIFE = "old_life"  # A newer process of the same name has replaced the sender
    REPLAYED = "replayed"  # This frame, or a later frame of its sender, was received before
    CHANNEL = "channel"  # No part has registered a handler for the channel
    FULL = "full"  # The queue to the peer is full
    LATE = "late"  # The message waited in the queue for too long
    LOST = "lost"  # A connection ended with unsent bytes (counted once); the peer may have received them


class DroppedError(Exception):
    """A frame was rejected; ``reason`` says why."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Frame:
    """One message with its sender; ``counter`` grows over the sender's whole life."""

    sender: str
    life: int
    counter: int
    channel: str
    message: bytes


class Position(NamedTuple):
    """Position of a frame in its sender's sequence; ordered by life, then by counter."""

    life: int
    counter: int


BEFORE_ALL_FRAMES = Position(0, 0)


def key_from(secret: bytes) -> bytes:
    """Return the key of the tags, derived from the secret in the fleet's key file."""
    return blake3(secret, derive_key_context=KEY_CONTEXT).digest()


def _tag(key: bytes, challenge: bytes, receiver: str, body: bytes) -> bytes:
    name = receiver.encode()
    return blake3(b"".join((challenge, bytes([len(name)]), name, body)), key=key).digest(TAG_BYTES)


def encode(key: bytes, challenge: bytes, receiver: str, frame: Frame) -> bytes:
    """Return the encoded frame: the length prefix, the body, the tag."""
    body: bytes = msgpack.packb(
        (VERSION, frame.sender, frame.life, frame.counter, frame.channel, frame.message)
    )
    head = (len(body) + TAG_BYTES).to_bytes(HEAD_BYTES, "big")
    return b"".join((head, body, _tag(key, challenge, receiver, body)))


def decode_length(head: bytes) -> int:
    """Return how many bytes follow the length prefix.

    Raises DroppedError (FORM) for a length out of bounds, before any memory is reserved for it.
    """
    size = int.from_bytes(head, "big")
    if not TAG_BYTES < size <= MAX_BODY_BYTES + TAG_BYTES:
        raise DroppedError(DropReason.FORM)
    return size


def decode(key: bytes, challenge: bytes, receiver: str, data: bytes) -> Frame:
    """Return the frame in ``data`` (body and tag, without the length prefix).

    Raises DroppedError: TAG before anything of the body is parsed, FORM for a body that is not a frame.
    """
    body, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
    if not hmac.compare_digest(_tag(key, challenge, receiver, body), tag):
        raise DroppedError(DropReason.TAG)
    try:
        fields = msgpack.unpackb(body)
        # A newer version may add fields at the end.
        version, sender, life, counter, channel, message = fields[:6]
    except Exception:
        raise DroppedError(DropReason.FORM) from None
    types = ((version, int), (sender, str), (life, int), (counter, int), (channel, str), (message, bytes))
    if version != VERSION or not all(type(value) is expected for value, expected in types):
        raise DroppedError(DropReason.FORM)
    return Frame(sender, life, counter, channel, message)


@dataclass(slots=True)
class ReplayFilter:
    """The newest position received from each sender.

    The table is bounded by the number of peers, as only frames of configured peers are checked here.
    """

    last: dict[str, Position] = field(default_factory=dict)

    def admit(self, frame: Frame) -> None:
        """Record the frame as received.

        Raises DroppedError: OLD_LIFE for an earlier process of the sender, REPLAYED for a repeated frame.
        """
        life, counter = self.last.get(frame.sender, BEFORE_ALL_FRAMES)
        if frame.life < life:
            raise DroppedError(DropReason.OLD_LIFE)
        # A proxy may send a frame twice, or an old connection may deliver frames after a new one has begun.
        if frame.life == life and frame.counter <= counter:
            raise DroppedError(DropReason.REPLAYED)
        self.last[frame.sender] = Position(frame.life, frame.counter)
