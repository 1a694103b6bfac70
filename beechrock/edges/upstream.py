"""Upstream's handling of edges' writes: judge, make durable, run, answer. Pure; the log is passed in.

Events: ``hear`` (a message of an edge's member), ``ran`` (the outcome of a run).
An offered write is answered with STALE (an old fence), ENDED, HELD, GONE, DOUBT, BUSY or LATER, or it runs:
then its intent is in the log, which is synced before the run begins. Its end is in the log before it is
reported.
Credit: the node's spare capacity beside its live requests, divided among the edges that have writes to
replay.
Invariants: a key has at most one run at a time; no write runs without an intent; no replayed run begins while
as many run as can be spared.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from beechrock.edges.actions import Action, Noted, Run, Send
from beechrock.edges.causal import Dot, Vector
from beechrock.edges.marks import Judged, Marks, Verdict
from beechrock.edges.words import (
    ENDS,
    NO_ROOM,
    Ends,
    Entry,
    Log,
    Offer,
    Probe,
    ProbeAck,
    Said,
    Settle,
    State,
    Straight,
    StraightDone,
    Word,
)
from beechrock.store.errors import StoreFullError

ACTIVE_S = 3.0  # Seconds for which an edge counts as replaying after it last reported waiting writes
LATER_S = 0.05
MAX_RESULTS, MAX_RESULT_BYTES = 1024, 4096  # Maximum number of results kept for retries, and bytes of one
MAX_GONE_SENT = 256
MAX_TURNED_AWAY = 8192  # Maximum number of refused live writes kept, so that late duplicates do not run
SNAPSHOT_RECORDS = 16_384
SWEEP_S = 30.0  # Seconds between checks for lives that are over
# Share of runs allowed above the limit: they wait at the servers while the next offers are in transit. In the
# benchmark a replay without it used 0.81 of the spare rate, as each freed slot stayed empty for a round trip.
SPARE_MARGIN = 0.15
SNAPSHOT = b"upstream 1\n"


def spare_of(limit: float, live: int) -> int:
    """Return how many replayed runs may be under way beside ``live`` ones, running or waiting.

    ``limit`` is the number of runs that the module executes concurrently.
    """
    return max(1, int(limit * (1 + SPARE_MARGIN)) - live)


class Came(Enum):
    """The outcome of a run."""

    SERVED = "served"
    NOT_RUN = "not_run"  # The module refused it, or no server took it
    KEPT = "kept"  # The module answered from its key, which it keeps as failed; nothing was launched
    SAID_NO = "said_no"  # The service ran it and refused it
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Running:
    entry: Entry
    live: bool
    # Live requests that await the outcome: member, its number, its writer
    straight: list[tuple[str, int, str]] = field(default_factory=list)
    offered: list[tuple[str, Dot, str]] = field(default_factory=list)  # Offers: member, dot, edge


@dataclass(slots=True)
class Upstream:
    log: Log
    marks: Marks
    spare: int = 1  # Number of replayed runs that may be under way beside live ones; set by the actor
    running: dict[int, Running] = field(default_factory=dict)
    active: dict[str, float] = field(default_factory=dict)
    turned: OrderedDict[tuple[str, int], None] = field(default_factory=OrderedDict)
    results: OrderedDict[int, tuple[bytes, str]] = field(default_factory=OrderedDict)
    records: int = 0
    snapshot_records: int = SNAPSHOT_RECORDS
    folder: bytes = b""  # Packed mark of this log
    sweep_s: float = SWEEP_S
    sweep_at: float = 0.0

    def restore(
        self, snapshot: bytes | None, records: Iterable[bytes], flights: Mapping[int, Running] | None = None
    ) -> None:
        """Restore the marks from a snapshot and later records.

        ``flights`` are the runs that this process has under way, by key; their outcomes are still to come.
        """
        if snapshot is not None:
            self.marks.restore(snapshot.removeprefix(SNAPSHOT))
        for record in records:
            self.marks.redo(record)
        self.running = dict(flights or {})
        self.marks.restarted(self.running)

    def renewed(self, log: Log, marks: Marks) -> "Upstream":
        """Return a new state machine for ``marks``, which are yet to be restored from the log.

        It takes over the state of this one that is not in the log.
        """
        marks.lives, marks.longest_s = self.marks.lives, self.marks.longest_s
        return Upstream(
            log,
            marks,
            self.spare,
            active=self.active,
            turned=self.turned,
            results=self.results,
            snapshot_records=self.snapshot_records,
            sweep_s=self.sweep_s,
            sweep_at=self.sweep_at,
        )

    def compact(self) -> None:
        """Replace the records with a snapshot once there are enough; all of them have to be synced."""
        if self.records >= self.snapshot_records:
            self.records = 0
            # On a full disk the records stay, and the next attempt is after as many more.
            with suppress(StoreFullError):
                self.log.save_snapshot(self.log.last, SNAPSHOT + self.marks.plain())

    @property
    def replaying(self) -> int:
        return sum(not run.live for run in self.running.values())

    def credit(self, edge: str, now: float) -> int:
        edges = sum(now - at <= ACTIVE_S for at in self.active.values())
        return max(1, self.spare // max(1, edges))

    def hear(self, now: float, now_s: float, sender: str, word: Word) -> list[Action]:
        """Handle a message; ``now`` is in monotonic and ``now_s`` in Unix seconds."""
        match word:
            case Probe(number, edge, waiting, writer, closed_at):
                if writer:
                    self.marks.lives[writer.rpartition("/")[0]] = writer
                if now >= self.sweep_at:
                    self.sweep_at = now + self.sweep_s
                    for record in self.marks.sweep(now_s):
                        self._record(record)
                if waiting:
                    self.active[edge] = now
                else:
                    self.active.pop(edge, None)
                gone = tuple(
                    (dot.writer, dot.n, state.value)
                    for dot, state in islice(
                        ((d, s) for d, s in reversed(self.marks.gone.items()) if d.edge == edge),
                        MAX_GONE_SENT,
                    )
                )
                ended = self.marks.ended.plain()
                closed = self.marks.closed_since(closed_at)
                return [
                    Send(sender, ProbeAck(number, ended, self.credit(edge, now), gone, *closed, self.folder))
                ]
            case Offer():
                return self._on_offer(now, now_s, sender, word)
            case Settle():
                return self._on_settle(now, sender, word)
            case Straight():
                return self._on_straight(now_s, sender, word)
        return []

    # --- replayed writes

    def _on_offer(self, now: float, now_s: float, sender: str, offer: Offer) -> list[Action]:
        if not self.marks.fenced(offer.edge, offer.fence):
            dots = [Entry.unpack(packed).dot for packed in offer.entries]
            stale = tuple(_result(dot, Said.STALE) for dot in dots)
            return [Send(sender, Ends(offer.edge, stale, 0, offer.fence))]
        self._record(self.marks.fence(offer.edge, offer.fence))
        self.active[offer.edge] = now
        out: list[Action] = []
        said = []
        for packed, released in zip(offer.entries, offer.released, strict=True):
            entry = Entry.unpack(packed)
            judged = self.marks.judge(entry, released, now_s)
            if judged.verdict is Verdict.RUN and self.replaying >= max(1, self.spare):
                judged = Judged(Verdict.WAIT, Said.LATER, reason=NO_ROOM)
            match judged.verdict:
                case Verdict.RUN:
                    key = self.marks.key(entry)
                    self._intend(entry, now_s)
                    self.running[key] = Running(entry, False, offered=[(sender, entry.dot, offer.edge)])
                    out.append(Run(key, entry, False))
                case Verdict.WAIT:
                    run = self.running.get(self.marks.key(entry))
                    waits = (sender, entry.dot, offer.edge)
                    if judged.said is Said.BUSY and run is not None and waits not in run.offered:
                        run.offered.append(waits)
                    said.append(
                        _result(
                            entry.dot,
                            judged.said,
                            judged.state,
                            judged.reason,
                            LATER_S if judged.said is Said.LATER else 0.0,
                            judged.dots,
                        )
                    )
                case Verdict.END:
                    if not judged.already_ended:
                        self._record(self.marks.end(entry, judged.state, judged.reason))
                        out.append(Noted(entry.dot, entry.nonce, judged.state, judged.reason))
                    said.append(_result(entry.dot, Said.ENDED, judged.state, judged.reason))
        if said:
            out.append(Send(sender, Ends(offer.edge, tuple(said), self.credit(offer.edge, now))))
        return out

    def _on_settle(self, now: float, sender: str, word: Settle) -> list[Action]:
        """Record ends without a run that an edge's holder requests.

        A write that has ended before keeps its end, and one that is running is left to run.
        """
        said = []
        out: list[Action] = []
        fenced = self.marks.fenced(word.edge, word.fence)
        if fenced:
            self._record(self.marks.fence(word.edge, word.fence))
        for writer, n, value, why in word.ends:
            dot, state = Dot(writer, n), State(value)
            if not fenced:
                said.append(_result(dot, Said.STALE))
            elif dot in self.marks.ended:
                said.append(_result(dot, Said.ENDED, self.marks.gone.get(dot, State.APPLIED)))
            elif dot in self.marks.intents or state not in ENDS:
                said.append(_result(dot, Said.BUSY))
            else:
                self._record(self.marks.settle(dot, state))
                out.append(Noted(dot, "", state, why))
                said.append(_result(dot, Said.ENDED, state, why))
        out.append(Send(sender, Ends(word.edge, tuple(said), self.credit(word.edge, now), word.fence)))
        return out

    # --- live writes of contracts that may queue

    def _on_straight(self, now_s: float, sender: str, word: Straight) -> list[Action]:
        entry = Entry.unpack(word.entry)
        key, writer = self.marks.key(entry), entry.dot.writer
        # In a simulated history (seed 20108) a duplicate message ran after its write had been reported as
        # refused.
        if (writer, word.number) in self.turned:
            return []
        judged = self.marks.judge(entry, False, now_s)
        match judged.verdict, judged.said:
            case Verdict.RUN, _:
                self._intend(entry, now_s)
                self.running[key] = Running(entry, True, straight=[(sender, word.number, writer)])
                return [Run(key, entry, True)]
            case Verdict.WAIT, Said.BUSY if key in self.running:
                self.running[key].straight.append((sender, word.number, writer))
                return []
            case Verdict.WAIT, Said.LATER | Said.HELD | Said.GONE:
                self._turn_away(writer, word.number)
                return [Send(sender, StraightDone(word.number, "refused", b"", "", 1.0))]
            case Verdict.WAIT, _:
                return [Send(sender, StraightDone(word.number, "failed", judged.reason.encode(), "", 0.0))]
        body, media = self.results.get(key, (b"", ""))
        verdict = "served" if judged.state is State.APPLIED else "failed"
        return [Send(sender, StraightDone(word.number, verdict, body or judged.reason.encode(), media, 0.0))]

    # --- outcomes of runs

    def ran(
        self,
        now: float,
        key: int,
        came: Came,
        body: bytes = b"",
        media: str = "",
        after_s: float = 0.0,
    ) -> list[Action]:
        run = self.running.pop(key, None)
        if run is None:
            return []
        entry, said, state, why = run.entry, Said.ENDED, State.APPLIED, ""
        match came:
            case Came.SERVED:
                self._record(self.marks.end(entry, state, ran=True))
                self.results[key] = (body[:MAX_RESULT_BYTES], media)
                if len(self.results) > MAX_RESULTS:
                    self.results.popitem(last=False)
            case Came.SAID_NO:
                state, why = State.REFUSED, "the service refused it"
                self._record(self.marks.end(entry, state, why, ran=True))
            case Came.NOT_RUN | Came.KEPT:
                # LATER has the write offered again before all others. In the run of all parts (seed 27), with
                # a window of 1, it blocked its edge's replay for minutes. HELD lets other writes pass.
                said = Said.LATER if came is Came.NOT_RUN else Said.HELD
                self._record(self.marks.not_run(entry))
            case Came.UNKNOWN:
                said, why = Said.DOUBT, "whether it ran is not known"
                self._record(self.marks.in_doubt(entry))
        out: list[Action] = []
        if said is Said.ENDED:
            out.append(Noted(entry.dot, entry.nonce, state, why))
        for member, dot, edge in run.offered:
            if said is Said.ENDED and dot != entry.dot:  # Another attempt of the key, with its own dot
                self._record(self.marks.settle(dot, state))
                out.append(Noted(dot, entry.nonce, state, "as another try of its key"))
            out.append(
                Send(
                    member,
                    Ends(
                        edge, (_result(dot, said, state, why, max(after_s, LATER_S)),), self.credit(edge, now)
                    ),
                )
            )
        verdict = {Came.SERVED: "served", Came.NOT_RUN: "refused", Came.KEPT: "refused"}.get(came, "failed")
        out += [
            Send(member, StraightDone(number, verdict, body, media, after_s))
            for member, number, _ in run.straight
        ]
        if came in (Came.NOT_RUN, Came.KEPT):
            for _, number, writer in run.straight:
                self._turn_away(writer, number)
        return out

    def _turn_away(self, writer: str, number: int) -> None:
        """Remember a live write reported as refused, so that a late duplicate of it does not run."""
        self.turned[writer, number] = None
        if len(self.turned) > MAX_TURNED_AWAY:
            self.turned.popitem(last=False)

    @property
    def ended(self) -> Vector:
        return self.marks.ended

    def _intend(self, entry: Entry, now_s: float) -> None:
        """Record an intent, so that after a restart it is known that the write may have run."""
        record = self.marks.intend(entry, now_s)
        if "intent" not in self.marks.without:
            self._record(record)

    def _record(self, record: bytes | None) -> None:
        if record is not None:
            self.log.append(record)
            self.records += 1


def _result(
    dot: Dot,
    said: Said,
    state: State = State.WAITING,
    why: str = "",
    after_s: float = 0.0,
    dots: tuple[Dot, ...] = (),
) -> tuple[str, int, int, int, str, float, list[list[object]]]:
    return dot.writer, dot.n, said.value, state.value, why, after_s, [[d.writer, d.n] for d in dots]
