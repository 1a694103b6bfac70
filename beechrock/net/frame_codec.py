"""Codec of the front ends' frame protocol: kinds, codes, fields and their names on the wire. No I/O.

A frame consists of its length, its kind, the number of its stream and a payload. A request's payload consists
of fields and a body. The field names used on the wire appear in this module only.
"""

import struct
from dataclasses import dataclass

from beechrock.core.requests import Verdict

HEAD = struct.Struct(">IBI")  # frame header: number of bytes after the length itself, kind, stream
MIN_LENGTH = 5  # length of a frame without payload: kind and stream
MAX_LENGTH = 262_144  # maximum length of a frame, in bytes
REQUEST, ANSWER, CANCEL, CHECK, CHECKED, NO_MORE = 1, 2, 3, 4, 5, 6  # kinds of frames
SERVED, REFUSED, FAILED = 0, 8, 13  # codes of an answer
CODES = {Verdict.SERVED: SERVED, Verdict.REFUSED: REFUSED, Verdict.FAILED: FAILED}
HEALTHY, UNHEALTHY = 0, 1  # codes of a health check's result

# Names of a request's fields on the wire.
ROUTE_FIELD = "route"
TRACE_FIELD = "trace"
KEY_FIELD = "nonce"
CALLER_FIELD = "client"
MEMORY_KB_FIELD = "size"
BIRTH_MS_FIELD = "born"
PATIENCE_MS_FIELD = "patience"
RANK_FIELD = "order"
RETRY_FIELD = "redo"
TENANT_FIELD = "customer"
ENTITY_FIELD = "entity"
# Names of a health check's fields on the wire.
THOROUGH_FIELD = "thorough"
# Names of an answer's fields on the wire.
ADVICE_FIELD = "advice"
RETRY_AFTER_MS_FIELD = "pause"
NO_RETRY_FIELD = "terminal"
TRUE = "1"  # value of a field that is a set flag


class BadRequestError(Exception):
    """A complete frame whose request is invalid; ``route`` is its service if that is known, else empty."""

    route = ""


def decode_fields(data: bytes) -> tuple[dict[str, str], bytes]:
    """Decode the fields at the start of ``data``; return them and the rest. Raises BadRequestError."""
    if not data:
        raise BadRequestError("no fields")
    fields_by_name: dict[str, str] = {}
    at = 1
    try:
        for _ in range(data[0]):
            name_end = at + 1 + data[at]
            value_at = name_end + 2
            value_end = value_at + int.from_bytes(data[name_end:value_at], "big")
            if value_end > len(data):
                raise BadRequestError("a field is cut off")
            name = data[at + 1 : name_end].decode()
            if name in fields_by_name:
                raise BadRequestError(f"field {name} twice")
            fields_by_name[name] = data[value_at:value_end].decode()
            at = value_end
    except IndexError:
        raise BadRequestError("a field is cut off") from None
    except UnicodeDecodeError:
        raise BadRequestError("a field is not text") from None
    return fields_by_name, data[at:]


def encode_fields(values: dict[str, str]) -> bytes:
    """Encode fields in the format that ``decode_fields`` decodes."""
    out = bytearray([len(values)])
    for name, value in values.items():
        out += bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
    return bytes(out)


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode a frame."""
    return HEAD.pack(MIN_LENGTH + len(payload), kind, stream) + payload


@dataclass(frozen=True, slots=True)
class Reply:
    """A message to a front end: an answer, a health check's result, an error, or a stop to new requests."""

    kind: int
    stream: int = 0
    code: int = 0
    values: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def encode(self) -> bytes:
        """Encode the message as a frame."""
        if self.kind == NO_MORE:
            return encode_frame(NO_MORE, 0)
        payload = bytes([self.code]) + encode_fields(dict(self.values)) + self.body
        return encode_frame(self.kind, self.stream, payload)


def advice_fields(value: float | None) -> tuple[tuple[str, str], ...]:
    """Return the field with the node's advice (a share from 0 to 1), or no field if there is no advice."""
    return () if value is None else ((ADVICE_FIELD, f"{value:.4f}"),)


def parse_patience_s(values: dict[str, str]) -> float | None:
    """Return how long the caller waits, in seconds from the request's birth; None if the field is absent."""
    if not values.get(PATIENCE_MS_FIELD):
        return None
    return parse_number(values, PATIENCE_MS_FIELD, 0, 2**53) / 1000.0


def parse_number(values: dict[str, str], name: str, minimum: float, below: float) -> float:
    """Parse a numeric field from ``minimum`` to below ``below``. Raises BadRequestError."""
    try:
        value = float(values.get(name, ""))
    except ValueError:
        raise BadRequestError(f"{name}: not a number") from None
    if not minimum <= value < below:
        raise BadRequestError(f"{name}: not from {minimum} to under {below}")
    return value
