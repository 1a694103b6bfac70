"""Encoding of the messages between two processes of one node. Pure.

    message = length:4 type:1 payload      length counts the type and the payload

``Hello`` is the first message from both ends: a magic word and a version. Its format is the same in all
versions. A process that receives another version ignores all later messages.

Times on the wire are seconds of the monotonic clock, which all processes of a machine share. Version 1 used
Unix seconds, which a step of the wall clock between two starts would have shifted.
"""

import math
import struct
from collections.abc import Callable
from dataclasses import replace

from beechrock.handover.messages import (
    ClaimsSynced,
    Deferral,
    DrainCommand,
    GrantRequest,
    Hello,
    KeyClaimed,
    KeyDenied,
    KeyGranted,
    KeyReleased,
    Leaving,
    LoadReport,
    MemoryGrant,
    MemoryLimit,
    MemoryRequest,
    Message,
    RunEnded,
    SuccessorReady,
)

MAGIC = b"beechrock"
MESSAGE_HEAD = struct.Struct(">IB")
MAX_RESULT_BYTES = 65_536  # Maximum size of a result that is sent; repeats of runs with longer ones fail
MAX_MESSAGE_BYTES = MAX_RESULT_BYTES + 512
MAX_MEDIA_BYTES = 255  # Maximum bytes of a media type; a result with a longer media type is not sent

# Message class and layout of its fields, in their order, by type number.
LAYOUTS: dict[int, tuple[Callable[..., Message], struct.Struct]] = {
    2: (Deferral, struct.Struct(">")),
    3: (KeyClaimed, struct.Struct(">16s16sd")),
    4: (ClaimsSynced, struct.Struct(">")),
    5: (SuccessorReady, struct.Struct(">")),
    6: (GrantRequest, struct.Struct(">16s16sdd")),
    7: (KeyGranted, struct.Struct(">16s")),
    8: (KeyDenied, struct.Struct(">16s")),
    9: (KeyReleased, struct.Struct(">16s")),
    11: (LoadReport, struct.Struct(">IdII")),
    12: (DrainCommand, struct.Struct(">?")),
    13: (Leaving, struct.Struct(">")),
    # Sent only to a process whose ``Hello`` has MEMORY_PARTS; another one would drop the channel.
    14: (MemoryLimit, struct.Struct(">d")),
    15: (MemoryRequest, struct.Struct(">d")),
    16: (MemoryGrant, struct.Struct(">d")),
}
NUMBERS = {message_type: number for number, (message_type, _) in LAYOUTS.items()}
HELLO_NUMBER = 1
RUN_ENDED_NUMBER = 10
HELLO_LAYOUT = struct.Struct(f">{len(MAGIC)}sH")
RUN_ENDED_LAYOUT = struct.Struct(">16s?B")


class WireError(ValueError):
    """Bytes that are not a valid message."""


def encode(message: Message) -> bytes:
    """Return the message with its length and type."""
    match message:
        case Hello(version, features):
            number = HELLO_NUMBER
            payload = HELLO_LAYOUT.pack(MAGIC, version) + (bytes([features]) if features else b"")
        case RunEnded():
            number = RUN_ENDED_NUMBER
            payload = _encode_run_ended(message)
        case _:
            number = NUMBERS[type(message)]
            values = [getattr(message, name) for name in message.__slots__]
            payload = LAYOUTS[number][1].pack(*values)
    return MESSAGE_HEAD.pack(1 + len(payload), number) + payload


def _encode_run_ended(message: RunEnded) -> bytes:
    """Return the payload of a ``RunEnded``, as failed and empty if its result or media type is too long.

    Neither is truncated: a media type cut within a character could not be decoded.
    """
    succeeded = message.succeeded
    media = message.media.encode("utf-8", "surrogatepass")
    result = message.result
    if len(result) > MAX_RESULT_BYTES or len(media) > MAX_MEDIA_BYTES:
        succeeded = False
        media = b""
        result = b""
    return RUN_ENDED_LAYOUT.pack(message.key, succeeded, len(media)) + media + result


def shift_times(message: Message, by_s: float) -> Message:
    """Return the message with its times converted to a clock that is ``by_s`` seconds ahead."""
    match message:
        case KeyClaimed():
            return replace(message, until_s=message.until_s + by_s)
        case GrantRequest():
            return replace(message, born_s=message.born_s + by_s, until_s=message.until_s + by_s)
        case _:
            return message


def decode_length(head: bytes) -> int:
    """Return the number of bytes after the length field. Raises WireError if it is out of bounds."""
    size = int.from_bytes(head[:4], "big")
    if not 1 <= size <= MAX_MESSAGE_BYTES:
        raise WireError(f"a message length of {size} bytes is out of bounds")
    return size


def decode(number: int, payload: bytes) -> Message:
    """Return the message with this type number. Raises WireError if the bytes are not a valid message."""
    try:
        if number == HELLO_NUMBER:
            return _decode_hello(payload)
        if number == RUN_ENDED_NUMBER:
            return _decode_run_ended(payload)
        message_type, layout = LAYOUTS[number]
        values = layout.unpack(payload)
        # A claim with an infinite end would never be swept, and a claim that ends at NaN never found.
        if not all(math.isfinite(value) for value in values if isinstance(value, float)):
            raise WireError(f"a message of type {number} has a time that is not finite")
        return message_type(*values)
    except (struct.error, UnicodeDecodeError, KeyError) as error:
        raise WireError(f"a message of type {number} is malformed: {type(error).__name__}") from None


def _decode_hello(payload: bytes) -> Hello:
    """Decode the magic word, the version and, where it follows, the byte of features.

    Later versions may append further bytes, and a process without features sends none.
    """
    magic, version = HELLO_LAYOUT.unpack(payload[: HELLO_LAYOUT.size])
    features = payload[HELLO_LAYOUT.size] if len(payload) > HELLO_LAYOUT.size else 0
    if magic != MAGIC:
        raise WireError("a hello message has the wrong magic word")
    return Hello(version, features)


def _decode_run_ended(payload: bytes) -> RunEnded:
    key, succeeded, media_bytes = RUN_ENDED_LAYOUT.unpack_from(payload)
    rest = payload[RUN_ENDED_LAYOUT.size :]
    if len(rest) < media_bytes:
        raise WireError("the media type of a result is truncated")
    media = rest[:media_bytes].decode("utf-8", "surrogatepass")
    return RunEnded(key, succeeded, media, rest[media_bytes:])
