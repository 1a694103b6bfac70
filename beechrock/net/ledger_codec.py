"""Codec of the ledger's line protocol: encodes calls, decodes replies, and holds all names on the wire."""

from beechrock.interface import Outcome
from beechrock.net.connection import BadInputError

DONE = "posted"  # result field of a call that succeeded
FAILURES = {
    "queue_full": Outcome.REJECTED,
    "error": Outcome.ERROR,
    "expired": Outcome.TIMED_OUT,
    "moot": Outcome.MOOT,
}
EXCERPT_CHARACTERS = 80  # characters of an unreadable line that an error message quotes


def encode_call(trace: str, left_s: float, body: bytes) -> bytes:
    """Encode a call with ``left_s`` seconds until its time limit, in whole milliseconds and at least one."""
    return f"post {trace} {max(1, round(1000 * left_s))} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_abandon(trace: str) -> bytes:
    """Encode the line that abandons the call of a request."""
    return f"abandon {trace}\r\n".encode()


def has_body(fields: list[str]) -> bool:
    """Return whether a line is a reply with a result, which follows as its body."""
    return fields[1:2] == [DONE]


def outcome_of(fields: list[str]) -> Outcome:
    """Return the outcome of the call of the request ``fields[0]``. Raises BadInputError."""
    if len(fields) == 3 and fields[1] == DONE:
        return Outcome.OK
    if len(fields) == 2 and fields[1] in FAILURES:
        return FAILURES[fields[1]]
    raise BadInputError(f"reply {' '.join(fields)[:EXCERPT_CHARACTERS]!r}")
