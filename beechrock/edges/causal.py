"""Causal order of writes: dots, dependencies, version vectors, and the tokens that carry them. Pure.

A *dot* names one accepted write: its writer (``edge/member/life``) and a counter that the writer raises by
one. A member draws a new life at each start, so a folder restored from an old copy can never give two writes
the same name.

``Seen`` holds the dependencies of a write. ``dots``: exact names of writes, so that a held write delays its
dependents and nothing else. ``upto``: for a writer, all its writes up to a counter; where a writer has too
many dots they are folded into it, which can only add ordering. ``known``: the highest counter of each writer
in the whole past, used only to decide whether two writes are concurrent. ``height``: a number greater than
the height of every write it depends on; together with the dot it is the rank, a total order that agrees with
the causal order and needs no clock.

Invariants: the size of all four is bounded by the number of writers, not of callers; merging never removes a
dependency; a token is accepted only if its tag is valid.

Upstream *closes* a life once no write of it can run any more (``marks``): of its writes only the fact that
all have ended is kept.
"""

import base64
import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, NamedTuple

import msgpack

from beechrock.edges.errors import EdgeInvariantError, ForgedTokenError, TooMuchSeenError

MAX_DOTS = 8  # Maximum number of dots kept per writer; more are folded into ``upto``
MAX_WRITERS = 64  # Maximum number of writers that a request may depend on; it is refused above that
MAX_KNOWN = 48  # Maximum number of lives in ``known``; above it, lives whose writes have ended are omitted
MAX_CLOSED = 4096  # Maximum number of closed lives whose names are kept
MAX_TOKEN_CHARS = 4096  # Maximum total length of the tokens of a request, in characters
TAG_BYTES = 12
TOKEN_FORM = 1


class Dot(NamedTuple):
    writer: str
    n: int

    @property
    def edge(self) -> str:
        return self.writer.partition("/")[0]

    @property
    def member(self) -> str:
        return self.writer.rpartition("/")[0]

    def __str__(self) -> str:
        return f"{self.writer}:{self.n}"


class Spans:
    """A set of counters as sorted, disjoint closed ranges; all counters from 1 to ``upto`` are in it."""

    __slots__ = ("spans",)

    def __init__(self, spans: Iterable[Iterable[int]] = ()) -> None:
        self.spans: list[list[int]] = [[*span] for span in spans]

    def __contains__(self, n: int) -> bool:
        for a, b in self.spans:  # A linear scan is enough: the spans are sorted and few
            if n <= b:
                return n >= a
        return False

    def __len__(self) -> int:
        return sum(b - a + 1 for a, b in self.spans)

    @property
    def upto(self) -> int:
        return self.spans[0][1] if self.spans and self.spans[0][0] == 1 else 0

    @property
    def top(self) -> int:
        return self.spans[-1][1] if self.spans else 0

    def add(self, n: int, last: int | None = None) -> None:
        """Add the counter ``n``, or all counters from ``n`` to ``last``."""
        a, b = n, n if last is None else last
        if self.spans and self.spans[-1][1] == a - 1:  # Fast path: by far the most frequent case
            self.spans[-1][1] = b
            return
        for span in self.spans:  # Repeated gossip often adds counters that are already in the set
            if span[1] >= a:
                if span[0] <= a and b <= span[1]:
                    return
                break
        kept: list[list[int]] = []
        for span in self.spans:
            if span[1] < a - 1 or span[0] > b + 1:
                kept.append(span)
            else:
                a, b = min(a, span[0]), max(b, span[1])
        kept.append([a, b])
        kept.sort()
        self.spans = kept

    def since(self, n: int) -> list[int]:
        """Return all counters in the set that are at least ``n``."""
        return [k for a, b in self.spans for k in range(max(a, n), b + 1)]

    def gaps(self, other: "Spans", limit: int) -> list[int]:
        """Return up to ``limit`` counters that ``other`` has and this set lacks, lowest first."""
        found: list[int] = []
        for a, b in other.spans:
            n = a
            for c, d in self.spans:
                if c > b:
                    break
                found += range(n, min(c, n + limit - len(found)))
                n = max(n, d + 1)
            found += range(n, min(b + 1, n + limit - len(found)))
        return found


class Vector:
    """A set of dots by writer, such as the writes held or ended; all dots of a closed life are in it."""

    __slots__ = ("closed", "of")

    def __init__(self, of: dict[str, Spans] | None = None) -> None:
        self.of = of if of is not None else {}
        self.closed: dict[str, None] = {}  # Closed lives, in the order of closing

    def __contains__(self, dot: Dot) -> bool:
        spans = self.of.get(dot.writer)
        return dot.n in spans if spans is not None else dot.writer in self.closed

    def add(self, dot: Dot) -> None:
        if dot.writer not in self.closed:
            self.of.setdefault(dot.writer, Spans()).add(dot.n)

    def close(self, writer: str) -> None:
        self.of.pop(writer, None)
        self.closed[writer] = None
        if len(self.closed) > MAX_CLOSED:
            del self.closed[next(iter(self.closed))]

    def merge(self, other: "Vector") -> None:
        for writer, spans in other.of.items():
            mine = self.of.get(writer)
            # Otherwise a peer that does not know of the closing yet would bring the life back for good.
            if writer in self.closed:
                continue
            if mine is None:
                mine = self.of[writer] = Spans()
            if mine.spans != spans.spans:
                for a, b in spans.spans:
                    mine.add(a, b)

    def upto(self, writer: str) -> int:
        spans = self.of.get(writer)
        if spans is None:
            return 1 << 62 if writer in self.closed else 0
        return spans.upto

    def plain(self) -> dict[str, list[list[int]]]:
        return {writer: spans.spans for writer, spans in self.of.items()}

    @classmethod
    def of_plain(cls, plain: Mapping[str, Iterable[Iterable[int]]]) -> "Vector":
        return cls({writer: Spans(spans) for writer, spans in plain.items()})


@dataclass(frozen=True, slots=True)
class Seen:
    """The writes that a write or a read depends on, and so has to follow."""

    dots: frozenset[Dot] = frozenset()
    upto: Mapping[str, int] = field(default_factory=dict)
    known: Mapping[str, int] = field(default_factory=dict)
    height: int = 0

    def __bool__(self) -> bool:
        return bool(self.dots or self.upto)

    def merge(self, *others: "Seen") -> "Seen":
        if not any(other or other.known for other in others):
            return self
        dots, upto, known, height = set(self.dots), dict(self.upto), dict(self.known), self.height
        for other in others:
            dots |= other.dots
            height = max(height, other.height)
            for mine, theirs in ((upto, other.upto), (known, other.known)):
                for writer, n in theirs.items():
                    mine[writer] = max(n, mine.get(writer, 0))
        return Seen(*_folded(dots, upto), known, height)

    def of_write(self, dot: Dot) -> "Seen":
        """Return what the caller of the write ``dot`` has seen: the one dot, which implies this past."""
        known = {**self.known, dot.writer: max(dot.n, self.known.get(dot.writer, 0))}
        return Seen(frozenset((dot,)), {}, known, self.height + 1)

    def missing(self, ended: Vector) -> list[Dot]:
        """Return the dependencies that are not in ``ended``; for a folded writer only the first of them."""
        lacking = [dot for dot in sorted(self.dots) if dot not in ended]
        for writer, n in sorted(self.upto.items()):
            if (first := ended.upto(writer) + 1) <= n:
                lacking.append(Dot(writer, first))
        return lacking

    def less(self, ended: Vector) -> "Seen":
        """Return a copy without the dependencies that have ended, which orders writes in the same way."""
        known = {w: n for w, n in self.known.items() if w not in ended.closed} if ended.closed else self.known
        if (over := len(known) - MAX_KNOWN) > 0:
            # Without this bound a chain of writes to one subject named every life that ever wrote to it, and
            # its tokens grew until they were refused.
            out = set(islice((w for w, n in known.items() if ended.upto(w) >= n), over))
            known = {w: n for w, n in known.items() if w not in out}
        return Seen(
            frozenset(d for d in self.dots if d not in ended),
            {w: n for w, n in self.upto.items() if ended.upto(w) < n},
            known,
            self.height,
        )

    def knows(self, dot: Dot) -> bool:
        """Whether the write ``dot`` is in the causal past, by the highest known counter of its writer."""
        return self.known.get(dot.writer, 0) >= dot.n

    def plain(self) -> list[Any]:
        return [[[d.writer, d.n] for d in sorted(self.dots)], dict(self.upto), dict(self.known), self.height]

    @classmethod
    def of_plain(cls, plain: list[Any]) -> "Seen":
        dots, upto, known, height = plain
        return cls(frozenset(Dot(w, n) for w, n in dots), upto, known, height)


NOTHING = Seen()


def _folded(dots: set[Dot], upto: dict[str, int]) -> tuple[frozenset[Dot], dict[str, int]]:
    """Fold the dots of a writer that has too many into ``upto``; drop dots that ``upto`` covers."""
    by: dict[str, list[int]] = {}
    for writer, n in dots:
        by.setdefault(writer, []).append(n)
    kept: set[Dot] = set()
    for writer, found in by.items():
        if len(found) > MAX_DOTS:
            upto[writer] = max(*found, upto.get(writer, 0))
            continue
        kept |= {Dot(writer, n) for n in found if n > upto.get(writer, 0)}
    return frozenset(kept), upto


class Heads:
    """A bounded table of the last writes of each session, or of each subject, which never loses ordering.

    An evicted entry is folded into ``rest``, on which every session or subject that is not in the table
    depends. Otherwise the writes of an evicted session could be reordered without notice.
    """

    def __init__(self, max_entries: int) -> None:
        self.max_entries, self.rest = max_entries, NOTHING
        self.held: OrderedDict[int, Seen] = OrderedDict()

    @staticmethod
    def place(*names: str) -> int:
        return int.from_bytes(hashlib.blake2b("\0".join(names).encode(), digest_size=7).digest())

    def of(self, place: int) -> Seen:
        return self.held.get(place, self.rest)

    def put(self, place: int, after: Seen, dot: Dot, ended: Vector) -> None:
        """Record ``dot``, which depends on ``after``, as the newest write of ``place``.

        Earlier heads that it does not depend on, and that have not ended, are kept beside it.
        """
        before = self.held.pop(place, None)
        new = after.of_write(dot)
        if before is not None:
            beside = frozenset(d for d in before.dots if d not in after.dots and d not in ended and d != dot)
            if beside:
                new = new.merge(Seen(beside, {}, {d.writer: d.n for d in beside}, before.height))
        self.held[place] = new
        if len(self.held) > self.max_entries:
            self.tidy(ended)
        while len(self.held) > self.max_entries:
            _, oldest = self.held.popitem(last=False)
            self.rest = self.rest.merge(oldest)

    def tidy(self, ended: Vector) -> None:
        """Remove the entries whose writes have all ended."""
        self.rest = self.rest.less(ended)
        for place in [p for p, seen in self.held.items() if not seen.less(ended)]:
            del self.held[place]


@dataclass(frozen=True, slots=True)
class Token:
    """The content of a receipt: what its caller has seen, and which members store the write."""

    seen: Seen
    places: tuple[str, ...] = ()

    @property
    def dot(self) -> Dot:
        if len(self.seen.dots) != 1:
            raise ForgedTokenError("this token names no single write", wanted="the receipt of one write")
        return next(iter(self.seen.dots))

    def encode(self, key: bytes) -> str:
        payload: bytes = msgpack.packb([TOKEN_FORM, self.seen.plain(), list(self.places)])
        return base64.urlsafe_b64encode(_tag(payload, key) + payload).decode().rstrip("=")

    @classmethod
    def decode(cls, text: str, key: bytes) -> "Token":
        """Return the decoded token.

        Raises ForgedTokenError for a text that was not encoded with this key.
        """
        try:
            raw = base64.urlsafe_b64decode(text.strip() + "=" * (-len(text.strip()) % 4))
        except ValueError:
            raw = b""
        tag, payload = raw[:TAG_BYTES], raw[TAG_BYTES:]
        # A caller that could forge tokens could delay reads of others, or depend on writes that never exist.
        if not payload or not hmac.compare_digest(tag, _tag(payload, key)):
            raise ForgedTokenError(
                "a token that this fleet did not give out",
                where="X-Seen",
                wanted="the X-Receipt of an earlier answer, unchanged",
            )
        form, seen, places = msgpack.unpackb(payload)
        if form != TOKEN_FORM:
            raise ForgedTokenError(f"a token of form {form}", where="X-Seen", wanted=f"form {TOKEN_FORM}")
        return cls(Seen.of_plain(seen), tuple(places))


def read_tokens(text: str, key: bytes) -> Seen:
    """Return the merged content of the tokens of a request, which are separated by commas.

    Raises ForgedTokenError or TooMuchSeenError.
    """
    if len(text) > MAX_TOKEN_CHARS:
        raise TooMuchSeenError(
            f"tokens of {len(text)} characters", where="X-Seen", wanted=f"at most {MAX_TOKEN_CHARS}"
        )
    seen = NOTHING.merge(*(Token.decode(part, key).seen for part in text.split(",") if part.strip()))
    if (writers := len({dot.writer for dot in seen.dots} | set(seen.upto))) > MAX_WRITERS:
        raise TooMuchSeenError(
            f"writes of {writers} members' lives",
            where="X-Seen",
            wanted=f"at most {MAX_WRITERS}",
            do="hand back the newest receipts alone",
        )
    return seen


def _tag(payload: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=TAG_BYTES, key=key[:64], person=b"edge token").digest()


def check_after(seen: Seen, dot: Dot) -> None:
    """Check that a write depends neither on itself nor on a later write of its own writer."""
    if dot in seen.dots or seen.upto.get(dot.writer, 0) >= dot.n or seen.known.get(dot.writer, 0) >= dot.n:
        raise EdgeInvariantError(f"{dot} would come after itself", where="edges.causal")
