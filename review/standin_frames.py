"""The front ends' frames, as the protocol page defines them."""

import struct
from dataclasses import dataclass

HEAD = struct.Struct(">IBI")
REQUEST, ANSWER, CANCEL, CHECK, CHECKED, NO_MORE = 1, 2, 3, 4, 5, 6
SERVED, REFUSED, FAILED = 0, 8, 13


def fields_bytes(values: dict[str, str]) -> bytes:
    """Return the encoded fields."""
    out = bytearray([len(values)])
    for name, value in values.items():
        out += bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
    return bytes(out)


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Return one frame."""
    return HEAD.pack(5 + len(payload), kind, stream) + payload


@dataclass(frozen=True, slots=True)
class Reply:
    """A frame of the api node."""

    kind: int
    stream: int
    code: int = 0
    values: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def reply_of(data: bytes) -> Reply:
    """Decode a frame without its length."""
    kind, stream = data[0], int.from_bytes(data[1:5], "big")
    payload = data[5:]
    if kind == NO_MORE:
        return Reply(kind, stream)
    code, count, at = payload[0], payload[1], 2
    values = []
    for _ in range(count):
        size = payload[at]
        name = payload[at + 1 : at + 1 + size].decode()
        at += 1 + size
        size = int.from_bytes(payload[at : at + 2], "big")
        values.append((name, payload[at + 2 : at + 2 + size].decode()))
        at += 2 + size
    return Reply(kind, stream, code, tuple(values), payload[at:])
