"""Messages between members of an edge and upstream, entries of their logs, and their encoding. Pure.

Each message is packed as a list: its index in ``KINDS``, then its fields. A list may have extra fields at the
end, which a newer version added. Unreadable data raises EdgeRecordError.
"""

from dataclasses import dataclass, fields
from enum import Enum
from typing import Any, Protocol

import msgpack

from beechrock.edges.causal import NOTHING, Dot, Seen
from beechrock.edges.errors import EdgeRecordError
from beechrock.edges.kept import Elsewhere, Keep, Kept, Led, Snap, Stand, Stood

NO_ROOM = "no room"  # Reason of a LATER because live requests took the capacity that was given as credit
MIN_FENCE = -(1 << 62)
KEEP_S = 86_400.0  # seconds for which a write is kept, unless its contract says otherwise
MAX_MESSAGE_BYTES = 900_000  # Maximum bytes of a message; the link's bound is 1 MB


class State(Enum):
    """The state of an accepted write; the states in ``ENDS`` are final, and APPLIED is the success."""

    WAITING = 0
    SENT = 1
    APPLIED = 2
    REFUSED = 3
    EXPIRED = 4
    DISCARDED = 5
    DOUBT = 6  # Upstream does not know whether it ran; an operator has to decide


ENDS = (State.APPLIED, State.REFUSED, State.EXPIRED, State.DISCARDED)
GONE = (State.REFUSED, State.EXPIRED, State.DISCARDED)


class WhenGone(Enum):
    """What happens to a write if one of its dependencies ended without being applied."""

    HOLD = "hold"
    SKIP = "skip"
    CASCADE = "cascade"


@dataclass(frozen=True, slots=True)
class Entry:
    """One accepted write with the terms of its contract at that time, which later changes do not affect."""

    dot: Dot
    seen: Seen
    team: str
    service: str
    nonce: str
    body: bytes
    digest: bytes
    subject: str = ""
    when_gone: WhenGone = WhenGone.HOLD
    keep_s: float = KEEP_S
    accepted_at: float = 0.0  # Unix seconds; used for ``keep_s`` and for display, never for ordering

    def pack(self) -> bytes:
        packed: bytes = msgpack.packb(
            [
                self.dot.writer,
                self.dot.n,
                self.seen.plain(),
                self.team,
                self.service,
                self.nonce,
                self.body,
                self.digest,
                self.subject,
                self.when_gone.value,
                self.keep_s,
                self.accepted_at,
            ]
        )
        return packed

    @classmethod
    def unpack(cls, data: bytes) -> "Entry":
        try:
            values = msgpack.unpackb(data)[:12]
            writer, n, seen, team, service, nonce, body, digest, subject, gone, keep, at = values
            return cls(
                Dot(writer, n),
                Seen.of_plain(seen),
                team,
                service,
                nonce,
                body,
                digest,
                subject,
                WhenGone(gone),
                keep,
                at,
            )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise EdgeRecordError(f"a write that cannot be read: {error}") from None


# Messages between members of an edge.


@dataclass(frozen=True, slots=True)
class Copy:
    """Writes for the receiver to make durable; answered by ``Copied``."""

    entries: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Copied:
    dots: tuple[tuple[str, int], ...]
    folder: bytes = b""  # Packed mark of the store that holds the writes


@dataclass(frozen=True, slots=True)
class Have:
    """The writes that a member holds or knows to have ended; a peer that has others sends them."""

    have: dict[str, list[list[int]]]
    ended: dict[str, list[list[int]]]
    folder: bytes = b""
    full: bool = False  # Whether the sender's disk takes no copies


@dataclass(frozen=True, slots=True)
class Told:
    """Ends other than APPLIED (dot, state, reason), and operators' orders (dot, order), for all members."""

    ends: tuple[tuple[str, int, int, str], ...] = ()
    orders: tuple[tuple[str, int, str], ...] = ()


# Messages between a member and upstream.


@dataclass(frozen=True, slots=True)
class Probe:
    number: int
    edge: str
    waiting: int
    writer: str = ""  # Name of the sender's life, ``edge/member/life``
    closed_at: int = 0  # Number of closings of lives that the sender knows of


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Upstream's answer to ``Probe``.

    ``ended``: upstream's marks. ``credit``: number of replayed writes that this edge may have running.
    ``gone``: this edge's last writes that ended without being applied. ``closed``: lives closed, up to the
    closing number ``closed_at``. ``folder``: packed mark of the store that holds the marks.
    """

    number: int
    ended: dict[str, list[list[int]]]
    credit: int
    gone: tuple[tuple[str, int, int], ...] = ()
    closed: tuple[str, ...] = ()
    closed_at: int = 0
    folder: bytes = b""


@dataclass(frozen=True, slots=True)
class Offer:
    """Writes to run, sent by the holder of the edge's duty under its fence.

    ``released`` says for each write whether an operator released it.
    """

    edge: str
    fence: int
    entries: tuple[bytes, ...]
    released: tuple[bool, ...]


@dataclass(frozen=True, slots=True)
class Settle:
    """Requested ends without a run (dot, state, reason), which upstream has to accept."""

    edge: str
    fence: int
    ends: tuple[tuple[str, int, int, str], ...]


class Said(Enum):
    """Upstream's result for an offered write."""

    ENDED = 0
    LATER = 1  # The write may be offered again after ``after_s`` seconds
    BUSY = 2  # The write is running
    HELD = 3  # The write depends on ``dots``, which have not ended
    GONE = 4  # The write needs an operator, as ``dots`` ended without being applied
    DOUBT = 5
    STALE = 6  # The fence of the offer is not the newest


@dataclass(frozen=True, slots=True)
class Ends:
    """Upstream's results for writes.

    Each holds dot, result, state, reason, retry delay in seconds, and the dots that the write waits for.
    """

    edge: str
    ends: tuple[tuple[str, int, int, int, str, float, list[list[Any]]], ...]
    credit: int = 0
    fence: int = 0  # Fence that a STALE result refers to


@dataclass(frozen=True, slots=True)
class Straight:
    """A live write of a contract that may queue; it runs once, by its key, and has no dot of its own."""

    number: int
    edge: str
    entry: bytes  # Packed ``Entry``; the counter of its dot is 0, as the write has not been accepted
    retry: bool = False


@dataclass(frozen=True, slots=True)
class StraightDone:
    number: int
    verdict: str  # One of served, refused, failed
    body: bytes
    media: str
    after_s: float


Word = (
    Copy
    | Copied
    | Have
    | Told
    | Probe
    | ProbeAck
    | Offer
    | Settle
    | Ends
    | Straight
    | StraightDone
    | Led
    | Elsewhere
    | Stand
    | Stood
    | Keep
    | Kept
    | Snap
)
KINDS: tuple[type[Any], ...] = (
    Copy,
    Copied,
    Have,
    Told,
    Probe,
    ProbeAck,
    Offer,
    Settle,
    Ends,
    Straight,
    StraightDone,
    Led,
    Elsewhere,
    Stand,
    Stood,
    Keep,
    Kept,
    Snap,
)
_FIELDS = {kind: tuple(f.name for f in fields(kind)) for kind in KINDS}


def pack(word: Word) -> bytes:
    kind = type(word)
    packed: bytes = msgpack.packb([KINDS.index(kind), *(getattr(word, name) for name in _FIELDS[kind])])
    return packed


def unpack(data: bytes) -> Word:
    """Return the decoded message.

    Raises EdgeRecordError if it cannot be read.
    """
    try:
        place, *plain = msgpack.unpackb(data, use_list=True)
        kind = KINDS[place]
        names = _FIELDS[kind]
        values = [tuple(v) if isinstance(v, list) else v for v in plain[: len(names)]]
        made: Word = kind(*values)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise EdgeRecordError(f"a message that cannot be read: {error}") from None
    return made


class Log(Protocol):
    """The part of a store that the pure modules use; the actor syncs it."""

    @property
    def first(self) -> int: ...
    @property
    def last(self) -> int: ...
    @property
    def bytes_held(self) -> int: ...
    def append(self, data: bytes) -> int: ...
    def entry(self, index: int) -> bytes: ...
    def save_snapshot(self, index: int, data: bytes) -> None: ...


@dataclass(frozen=True, slots=True)
class Write:
    """A caller's write with the terms of its contract; ``ref`` identifies the caller to the actor."""

    ref: int
    team: str
    service: str
    nonce: str
    body: bytes
    digest: bytes
    seen: Seen = NOTHING
    session: str = ""
    subject: str = ""
    when_gone: WhenGone = WhenGone.HOLD
    keep_s: float = KEEP_S
    copies: int = 0  # Number of durable copies required; 0 means the edge's default
    retry: bool = False
    due_s: float = 1e18  # Deadline of the answer, in monotonic seconds

    def entry(self, dot: Dot, after: Seen, accepted_at: float) -> Entry:
        """Return the entry that stores this write as ``dot``; ``accepted_at`` is in Unix seconds."""
        return Entry(
            dot,
            after,
            self.team,
            self.service,
            self.nonce,
            self.body,
            self.digest,
            self.subject,
            self.when_gone,
            self.keep_s,
            accepted_at,
        )


@dataclass(slots=True)
class Waiting:
    """A straight write that awaits upstream's answer."""

    write: Write
    due_s: float


@dataclass(frozen=True, slots=True)
class Names:
    """The identity of an edge's member, and the names of its peers; ``writer`` is ``edge/member/life``."""

    edge: str
    me: str
    life: str
    members: tuple[str, ...]
    upstream: str | tuple[str, ...]  # Names of the upstream nodes, 1 to 5

    @property
    def writer(self) -> str:
        return f"{self.edge}/{self.me}/{self.life}"

    @property
    def upstreams(self) -> tuple[str, ...]:
        return (self.upstream,) if isinstance(self.upstream, str) else self.upstream
