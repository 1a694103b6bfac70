"""Upstream's durable marks: which writes of each edge have ended, so that each runs once. Pure.

States of a write: unknown -> INTENT (durable before it runs) -> an end (durable before it is reported). An
intent that a restart finds without its end is in DOUBT: it cannot be known whether the write ran, so it never
runs again by itself; an operator releases it (it runs) or discards it.

``ended`` is a version vector with exceptions: for each writer all counters up to a mark, and ranges beyond
it. ``gone`` holds the writes that ended without being applied. ``keys`` identifies writes by service and
nonce, so that a write that its caller also tried straight, or at another edge, runs once. ``fences`` holds
the highest fence of each edge's replayer.

A life is over once its member was heard under a newer one. It is closed, so that only its name is kept, after
twice the longest ``keep_s``: a write may be accepted up to ``keep_s`` after a write that it depends on, and
then waits for at most its own ``keep_s``.

Events: ``judge`` (may it run?), ``intend``, ``end``, ``not_run``, ``in_doubt``, ``sweep``. Durable state: the
snapshot from ``plain``, and one record per event, applied by ``redo``.
Invariants: no dot and no key has two intents at a time, nor an intent after an end; all dependencies of a
write that is judged RUN have ended; a fence never decreases; a life is not closed while a write of it is
under way or in doubt.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from typing import Any

import msgpack

from beechrock.edges.causal import Dot, Heads, Seen, Vector
from beechrock.edges.differ import Differ, Differing, Standing
from beechrock.edges.errors import EdgeInvariantError, EdgeRecordError
from beechrock.edges.words import GONE, MIN_FENCE, Entry, Said, State, WhenGone
from beechrock.store.codec import MAX_OPENINGS, Mark

MAX_GONE = 65_536  # Maximum number of writes in ``gone``; evicted ones later count as applied
MAX_KEYS = 100_000  # Maximum number of keys; above it new writes are told LATER until old keys expire
MAX_DEPENDS = 16  # Maximum number of dots named in a HELD or GONE answer
MAX_CLOSED_SENT = 64  # Maximum number of closed lives named in one answer
WALL_STEP_S = 3600.0  # Largest tolerated wall-clock step in seconds; a key forgotten early could run twice
KEY_SLACK_S = 60.0 + WALL_STEP_S  # Seconds that a key is kept after the last time its write may arrive
LIFE_SLACK_S = 60.0  # Extra seconds before a life that is over is closed; its later writes expire


class Verdict(Enum):
    RUN = "run"
    WAIT = "wait"  # The write may not run now; ``said`` holds the reason
    END = "end"  # The write ends without a run, in ``state``


@dataclass(frozen=True, slots=True)
class Judged:
    verdict: Verdict
    said: Said = Said.ENDED
    state: State = State.WAITING
    reason: str = ""
    dots: tuple[Dot, ...] = ()
    already_ended: bool = False  # Whether the write had ended before, so that no record is needed


@dataclass(slots=True)
class Known:
    """An idempotency key: digest of its body, expiry time in Unix seconds, state of its write."""

    digest: bytes
    until: float
    state: State = State.SENT  # SENT means that the write has an intent but no end


@dataclass(slots=True)
class Marks:
    rule: Callable[[str], Differing] = lambda service: Differing.BOTH
    without: frozenset[str] = frozenset()
    ended: Vector = field(default_factory=Vector)
    gone: OrderedDict[Dot, State] = field(default_factory=OrderedDict)
    intents: dict[Dot, int] = field(default_factory=dict)  # Key of each write with an intent
    keys: OrderedDict[int, Known] = field(default_factory=OrderedDict)
    doubts: dict[int, Dot] = field(default_factory=dict)  # By key in doubt: the write that intended it
    fences: dict[str, int] = field(default_factory=dict)
    differ: Differ = field(default_factory=Differ)
    longest_s: float = 0.0  # Longest ``keep_s`` of any write, in seconds
    slack_s: float = LIFE_SLACK_S
    lives: dict[str, str] = field(default_factory=dict)  # Life of each member that was heard last
    over: dict[str, float] = field(default_factory=dict)  # Lives that are over, and since when (Unix seconds)
    closings: int = 0
    reign: int = 0  # Fence under which the last records were written; 0 if one node alone is upstream
    group: bytes = b""  # Id of the named nodes' log; it changes only if records may have been lost
    begun: int = 0  # Number of reigns under that group id
    # Fence of each of the last reigns, and the number of records that it found
    openings: tuple[tuple[int, int], ...] = ()

    @staticmethod
    def key(entry: Entry) -> int:
        return Heads.place(entry.service, entry.nonce)

    # --- questions

    def fenced(self, edge: str, fence: int) -> bool:
        """Whether messages of a replayer with this fence are accepted.

        Late messages of an earlier holder are refused: it may not know what operators have settled since, nor
        how fast its successor sends.
        """
        return "fence" in self.without or fence >= self.fences.get(edge, MIN_FENCE)

    def judge(self, entry: Entry, released: bool, now_s: float) -> Judged:
        """Decide whether a write runs, waits or ends; ``now_s`` is in Unix seconds.

        An entry whose counter is 0 is a live write, which has no dot of its own.
        """
        live = entry.dot.n == 0
        self.longest_s = max(self.longest_s, entry.keep_s)
        if not live and entry.dot.writer in self.ended.closed:
            return Judged(Verdict.END, state=State.EXPIRED, reason="its life is closed", already_ended=True)
        if not live and entry.dot in self.ended:
            return Judged(Verdict.END, state=self.gone.get(entry.dot, State.APPLIED), already_ended=True)
        key = self.key(entry)
        known = self.keys.get(key) if "key" not in self.without else None
        # Two writes with one key but different bodies are a caller's mistake: neither is the other's retry.
        if known is not None and known.digest != entry.digest:
            return Judged(Verdict.END, state=State.REFUSED, reason="its key came with another body")
        if key in self.doubts and not released and "doubt" not in self.without:
            return Judged(Verdict.WAIT, Said.DOUBT, reason="whether it ran is not known")
        if known is not None and key not in self.doubts:
            if known.state is State.SENT:
                return Judged(Verdict.WAIT, Said.BUSY)
            return Judged(Verdict.END, state=known.state, reason="as another try of its key")
        if not live and now_s - entry.accepted_at > entry.keep_s:
            return Judged(Verdict.END, state=State.EXPIRED, reason=f"older than keep_s {entry.keep_s:g}")
        if "depends" not in self.without and (held := entry.seen.missing(self.ended)):
            return Judged(Verdict.WAIT, Said.HELD, dots=tuple(held[:MAX_DEPENDS]))
        lost = [] if released else self._lost(entry.seen)
        if lost and entry.when_gone is not WhenGone.SKIP:
            if entry.when_gone is WhenGone.CASCADE:
                return Judged(Verdict.END, state=State.DISCARDED, reason=f"{lost[0]} was not applied")
            return Judged(Verdict.WAIT, Said.GONE, dots=tuple(lost[:MAX_DEPENDS]))
        if not live and entry.subject:
            place = Heads.place(entry.service, entry.subject)
            by = self.differ.superseded_by(self.rule(entry.service), place, Standing(entry.dot, entry.seen))
            if by is not None:
                return Judged(Verdict.END, state=State.REFUSED, reason=f"superseded by {by}")
        if known is None and len(self.keys) >= MAX_KEYS and not self._forget_keys(now_s):
            return Judged(Verdict.WAIT, Said.LATER, reason="too many keys are kept")
        return Judged(Verdict.RUN)

    def _lost(self, seen: Seen) -> list[Dot]:
        """Return the dependencies in ``seen`` that ended without being applied."""
        lost = [dot for dot in sorted(seen.dots) if dot in self.gone]
        if seen.upto:  # Rare: only where a writer had too many dots
            lost += [dot for dot in self.gone if dot.n <= seen.upto.get(dot.writer, 0)]
        return lost

    def _forget_keys(self, now_s: float) -> bool:
        expired = [k for k, known in self.keys.items() if known.until < now_s and k not in self.doubts]
        for key in expired[:1024]:
            del self.keys[key]
        return len(self.keys) < MAX_KEYS

    # --- events; each returns the record that has to be durable before any answer is sent

    def fence(self, edge: str, fence: int) -> bytes | None:
        if fence <= self.fences.get(edge, MIN_FENCE):
            return None
        return self._apply(["fence", edge, fence])

    def intend(self, entry: Entry, now_s: float) -> bytes:
        key = self.key(entry)
        known = self.keys.get(key)
        if known is not None and known.state is not State.SENT and "key" not in self.without:
            raise EdgeInvariantError(f"a second intent of {entry.dot}", where="edges.marks")
        return self._apply(["intent", list(entry.dot), key, entry.digest, now_s + entry.keep_s + KEY_SLACK_S])

    def end(self, entry: Entry, state: State, why: str = "", ran: bool = False) -> bytes:
        """Record the end of a write, by its run or by a verdict without a run."""
        stands = None
        if state is State.APPLIED and entry.dot.n and entry.subject:
            rule = self.rule(entry.service)
            if rule is not Differing.BOTH:
                stands = [Heads.place(entry.service, entry.subject), rule.value, entry.seen.plain()]
        quiet = why.startswith("superseded")  # Another write replaces it, so its dependents may run
        key = self.key(entry) if ran else 0  # Without a run the key belongs to another attempt
        return self._apply(["end", list(entry.dot), key, state.value, quiet, stands])

    def settle(self, dot: Dot, state: State) -> bytes:
        """Record an end without a run that an edge's holder requests, such as an operator's discard."""
        key = next((key for key, by in self.doubts.items() if by == dot), 0)
        return self._apply(["end", list(dot), key, state.value, False, None])

    def sweep(self, now_s: float) -> list[bytes]:
        """Return records for the lives that are newly over, and for those that are to be closed."""
        records = []
        busy = {dot.writer for dot in (*self.intents, *self.doubts.values())}
        before = now_s - 2 * self.longest_s - self.slack_s
        for writer in list(self.ended.of):
            newest = self.lives.get(writer.rpartition("/")[0])
            since = self.over.get(writer)
            if newest == writer:
                if since is not None:  # A late message of an earlier life had marked this one as over
                    records.append(self._apply(["over", writer, None]))
            elif newest is not None and since is None:
                records.append(self._apply(["over", writer, now_s]))
            elif since is not None and since < before and writer not in busy:
                records.append(self._apply(["close", writer]))
        return records

    def closed_since(self, at: int) -> tuple[tuple[str, ...], int]:
        """Return names of lives closed after the first ``at`` closings, and the count of closings covered."""
        first = self.closings - len(self.ended.closed)
        at = max(at, first) if at <= self.closings else first  # A higher ``at`` comes from another upstream
        names = tuple(islice(self.ended.closed, at - first, at - first + MAX_CLOSED_SENT))
        return names, at + len(names)

    def reigns(self, fence: int, group: bytes, found: int) -> bytes:
        """Return the first record of a new holder of ``edges:upstream``, after ``found`` earlier records."""
        return self._apply(["reign", fence, group, found])

    @staticmethod
    def end_of(record: bytes) -> tuple[Dot, State, bool] | None:
        """Return the end of an accepted write in a record, and whether another write superseded it.

        Returns None for any other record.
        """
        match msgpack.unpackb(record):
            case ["end", [writer, n], _, state, quiet, _] if n:
                return Dot(writer, n), State(state), quiet
        return None

    def not_run(self, entry: Entry) -> bytes:
        """Record that the intended run did not take place, so that the write may be intended again."""
        return self._apply(["not_run", list(entry.dot), self.key(entry)])

    def in_doubt(self, entry: Entry) -> bytes:
        """Record that it is unknown whether the write ran."""
        return self._apply(["doubt", list(entry.dot), self.key(entry)])

    def restarted(self, under_way: Collection[int] = ()) -> None:
        """Put each intent without an end in doubt; call it once all records are redone.

        Keys of runs that this process still has under way are left out, as it will learn their outcome.
        Without this a write that ran just before upstream died would run a second time.
        """
        by = {key: dot for dot, key in self.intents.items()}
        open_ = [
            k
            for k, known in self.keys.items()
            if known.state is State.SENT and k not in self.doubts and k not in under_way
        ]
        for key in open_:
            if "doubt" in self.without:
                del self.keys[key]
            else:
                self.doubts[key] = by.get(key, Dot("", 0))
        self.intents = {dot: key for dot, key in self.intents.items() if key in under_way}

    def mark(self, held: int) -> Mark:
        """Return one folder mark for all named nodes, in which each reign counts as an opening."""
        openings = tuple((fence.to_bytes(16, "big"), found) for fence, found in self.openings)
        return Mark(self.group, self.begun, held, openings[-1][0], openings)

    # --- records

    def _apply(self, record: list[Any]) -> bytes:
        packed: bytes = msgpack.packb(record)
        self.redo(packed)
        return packed

    def redo(self, data: bytes) -> None:
        match msgpack.unpackb(data):
            case ["fence", edge, fence]:
                self.fences[edge] = max(fence, self.fences.get(edge, MIN_FENCE))
            case ["intent", [writer, n], key, digest, until]:
                self.keys[key] = Known(digest, until)
                self.doubts.pop(key, None)
                if n:
                    self.intents[Dot(writer, n)] = key
            case ["end", [writer, n], key, state, quiet, stands]:
                self._end(Dot(writer, n), key, State(state), quiet, stands)
            case ["not_run", [writer, n], key]:
                self.keys.pop(key, None)
                self.intents.pop(Dot(writer, n), None)
            case ["doubt", [writer, n], key]:
                self.doubts[key] = Dot(writer, n)
                self.intents.pop(Dot(writer, n), None)
            case ["reign", fence, group, found]:
                if group != self.group:
                    self.group, self.begun, self.openings = group, 0, ()
                self.reign, self.begun = fence, self.begun + 1
                self.openings = (*self.openings, (fence, found))[-MAX_OPENINGS:]
            case ["over", writer, since]:
                self.over.pop(writer, None)
                if since is not None:
                    self.over[writer] = since
            case ["close", writer]:
                self.over.pop(writer, None)
                self.ended.close(writer)
                self.differ.forget(writer)
                self.closings += 1
            case other:
                raise EdgeRecordError(
                    f"a record of upstream's marks that is not known: {other[:1]}",
                    do="start the program's version that wrote it",
                )

    def _end(self, dot: Dot, key: int, state: State, quiet: bool, stands: list[Any] | None) -> None:
        self.intents.pop(dot, None)
        self.doubts.pop(key, None)
        if (known := self.keys.get(key)) is not None:
            known.state = state
        if not dot.n or "mark" in self.without:
            return
        if dot in self.ended:
            return
        self.ended.add(dot)
        if state in GONE and not quiet:
            self.gone[dot] = state
            if len(self.gone) > MAX_GONE:
                self.gone.popitem(last=False)
        if stands is not None:
            place, rule, seen = stands
            self.differ.ran(Differing(rule), place, Standing(dot, Seen.of_plain(seen)))

    def plain(self) -> bytes:
        """Return the whole state, packed for a snapshot."""
        packed: bytes = msgpack.packb(
            [
                2,
                self.ended.plain(),
                [[*d, s.value] for d, s in self.gone.items()],
                [[*d, k] for d, k in self.intents.items()],
                [[k, v.digest, v.until, v.state.value] for k, v in self.keys.items()],
                [[k, *d] for k, d in self.doubts.items()],
                self.fences,
                self.differ.plain(),
                list(self.ended.closed),
                self.closings,
                self.over,
                *([self.reign, self.group, self.begun, self.openings] if self.reign else []),
            ]
        )
        return packed

    def restore(self, data: bytes) -> None:
        form, ended, gone, intents, keys, doubts, fences, differ, *more = msgpack.unpackb(
            data, strict_map_key=False
        )
        if form not in (1, 2):
            raise EdgeRecordError(f"upstream's marks of form {form}", wanted="form 1 or 2")
        self.ended = Vector.of_plain(ended)
        self.gone = OrderedDict((Dot(w, n), State(s)) for w, n, s in gone)
        self.intents = {Dot(w, n): k for w, n, k in intents}
        self.keys = OrderedDict((k, Known(d, u, State(s))) for k, d, u, s in keys)
        self.doubts = {k: Dot(w, n) for k, w, n in doubts}
        self.fences, self.differ = fences, Differ.of_plain(differ)
        if more:
            closed, self.closings, self.over, *reign = more
            self.ended.closed = dict.fromkeys(closed)
            if reign:
                self.reign, self.group, self.begun, openings = reign
                self.openings = tuple((fence, found) for fence, found in openings)
