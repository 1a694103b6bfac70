"""Messages between the named upstream nodes, which replicate the marks on several disks. Pure.

A *reign* is the term of one holder of the duty ``edges:upstream`` under one fence. The first record of each
reign holds its fence, so the writer of every record is known. Two logs with the same reign at an index are
identical up to that index.
"""

from dataclasses import dataclass
from typing import Any, Protocol

import msgpack

from beechrock.store.codec import Mark
from beechrock.store.witness import Verdict

DUTY = "edges:upstream"
MAX_NAMED = 5
MAX_BATCH_BYTES = 900_000  # Maximum bytes of records or snapshot in one message; the link's bound is 1 MB
MAX_IN_FLIGHT = 64  # Maximum number of batches in flight to one peer; then none is sent until it answers
FOUND_AT_TAKE_OVER = (
    "found at a take-over"  # Reason of an end that a new holder reports, perhaps a second time
)
REIGN_PREFIX = b"\x94\xa5reign"  # First bytes of a record that begins a reign
Spans = tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class Stand:
    """A new holder's request for a peer's log position; the receiver then refuses all earlier fences."""

    fence: int
    folder: bytes = b""  # Packed mark of the store that holds the sender's records


@dataclass(frozen=True, slots=True)
class Stood:
    """The answer to ``Stand``: the sender's log position.

    ``spans``: (reign, its last index), the newest first. ``whole``: the folder still has every record that it
    helped a majority to hold. ``older``: the requester's folder is older than it was. ``highest``: the higher
    fence because of which the request is refused, or 0.
    """

    fence: int
    spans: Spans
    whole: bool
    older: bool
    highest: int = 0
    folder: bytes = b""


@dataclass(frozen=True, slots=True)
class Keep:
    """Records to append after index ``after``, whose reign is ``reign``; also the holder's heartbeat.

    ``held``: index up to which a majority holds all records. ``marks``: shortened folder marks of the named
    nodes, as the holder knows them. ``whole``: the receiver's folder is whole.
    """

    fence: int
    after: int
    reign: int
    records: tuple[bytes, ...]
    held: int
    whole: bool = False
    marks: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class Kept:
    """The answer to ``Keep`` or ``Snap``.

    ``index``: index up to which the sender's log durably equals the holder's. If not ``good``, the received
    records do not follow on the sender's log: the holder continues from ``spans``, or from byte ``at`` of the
    snapshot ``snap``.
    """

    fence: int
    index: int
    good: bool
    spans: Spans = ()
    snap: int = 0
    at: int = 0
    whole: bool = False
    highest: int = 0
    folder: bytes = b""


@dataclass(frozen=True, slots=True)
class Snap:
    """A part of the snapshot that covers all records up to ``index``."""

    fence: int
    index: int
    size: int
    at: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Led:
    """A packed ``ProbeAck`` from the holder under this fence, if more than one node is named upstream."""

    fence: int
    word: bytes


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """A redirect to the node that the sender takes for the holder, with that holder's fence."""

    name: str
    fence: int


class Witnessing(Protocol):
    """The part of ``store.Witness`` that is used here."""

    known: dict[str, Mark]

    def receive(self, peer: str, mark: Mark) -> Verdict: ...
    def forget(self, peer: str) -> None: ...


class Records(Protocol):
    """The part of ``store.Store`` that is used here."""

    @property
    def first(self) -> int: ...
    @property
    def bytes_held(self) -> int: ...
    @property
    def last(self) -> int: ...
    @property
    def synced(self) -> int: ...

    def append(self, data: bytes) -> int: ...
    def entry(self, index: int) -> bytes: ...
    def cut_after(self, index: int) -> None: ...
    def sync(self) -> None: ...
    def snapshot(self) -> tuple[int, bytes] | None: ...
    def save_snapshot(self, index: int, data: bytes) -> None: ...
    def mark(self) -> Mark: ...


def reign_of(record: bytes, before: int) -> int:
    """Return the reign of a record; ``before`` is the reign of the previous record."""
    return int(msgpack.unpackb(record)[1]) if record.startswith(REIGN_PREFIX) else before


def short(mark: Mark) -> bytes:
    """Return a shortened form of a mark, which is enough to tell which marks follow it."""
    return Mark(mark.id, mark.epoch, mark.synced, mark.digest, ((mark.digest, 0),)).to_bytes()


def spans_of(plain: Any) -> Spans:
    return tuple((int(reign), int(last)) for reign, last in plain)
