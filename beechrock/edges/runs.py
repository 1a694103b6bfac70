"""The actor's side of upstream: edges' writes run through the module's actor, which admits them. Thin."""

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from beechrock import clocks, logs
from beechrock.core.requests import Answer, Request, RequestReceived, Verdict
from beechrock.edges.actions import Action, Noted, Run
from beechrock.edges.causal import NOTHING, Dot, read_tokens
from beechrock.edges.differ import Differing
from beechrock.edges.errors import EdgeError
from beechrock.edges.kept import FOUND_AT_TAKE_OVER
from beechrock.edges.marks import Marks
from beechrock.edges.recovering import CHECK_BYTES, heals
from beechrock.edges.room import Room
from beechrock.edges.upstream import Came, Running, Upstream
from beechrock.edges.words import KEEP_S, Entry, State, Straight, StraightDone, Word, pack
from beechrock.errors import OperatorError
from beechrock.interface import Idempotency
from beechrock.net.scgi import REQUEST_OVERHEAD_KB
from beechrock.net.scgi_codec import ScgiError
from beechrock.net.scgi_reply import Reply
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store

if TYPE_CHECKING:
    from beechrock.edges.named import Named
    from beechrock.edges.part import EdgesPart

LATER_S = 0.2
# Seconds that a caller's write waits for the holder, if several nodes are named upstream
CALLER_TIMEOUT_S = 10.0
MAX_CALLERS = 4096  # Maximum number of callers that wait for the holder
CHANNEL = "edges"
RUNS_PER_CORE = 1.2  # Concurrent runs per core: the module's initial limit with SCGI servers
OTHER_KEY = b"this key came with another body"


@dataclass(slots=True)
class Flight:
    """A run that is under way, and then its outcome until the end is durable."""

    running: Running
    came: tuple[Came, bytes, str, float] | None = None


class Runs:
    """Owner of upstream's state machine and its store on this node.

    A turn is atomic: if the disk fails for some of its records, none of its actions is carried out, and its
    records are cut again once the disk works (``reload``).
    """

    def __init__(self, part: "EdgesPart", store: Store, files: Files) -> None:
        self.part, self.store = part, store
        self.actions: list[Action] = []  # Actions of this turn
        self.last_before_turn = store.last  # Last log index before this turn, or before the turn that failed
        self.fallen = False  # Whether the marks in memory are ahead of those on disk
        self.flights: dict[int, Flight] = {}  # By key
        self.ended: list[Flight] = []  # Runs whose ends were written in this turn
        self.callers: dict[int, Callable[[Reply], None]] = {}
        self.numbers = 0
        self.named: Named | None = None  # Set if this is one of several nodes named upstream
        self.deadlines: dict[int, float] = {}  # Deadlines by number of callers' writes that a holder may lose
        if len(part.told.upstreams) > 1:
            from beechrock.edges import named

            self.named = named.Named(self, store, files)
            self.upstream = Upstream(store, self.named.standby.marks)
        else:
            self.upstream = Upstream(store, Marks(self.rule))
            self.upstream.folder = store.mark().to_bytes()
            snapshot = store.snapshot()
            first = store.first
            self.upstream.restore(
                snapshot[1] if snapshot is not None else None,
                [store.entry(index) for index in range(first, store.last + 1)],
            )
        self.inventory: object = None
        self.room = Room()
        self.refused = 0  # Number of refusals that do not show a lack of capacity for live requests
        logs.event(
            "edge.upstream",
            ended=sum(map(len, self.upstream.ended.of.values())),
            doubts=len(self.upstream.marks.doubts),
            store=store.recovered.condition.value,
        )

    @staticmethod
    def rules(most_bytes: int) -> StoreLimits:
        return StoreLimits(max_bytes=most_bytes + (16 << 20))

    def rule(self, service: str) -> Differing:
        return Differing(self.part.inventory.differing.get(service, "both"))

    def follow(self, upstream: Upstream) -> None:
        """Use another upstream state machine, as this node begins or stops to hold the marks."""
        self.upstream, self.inventory = upstream, None

    def hear(self, now: float, now_s: float, sender: str, word: Word) -> None:
        self.update_spare()
        if self.named is not None and isinstance(word, StraightDone) and sender in self.named.standby.names:
            self.answer(word)
        self.turn(now, lambda: (self.named or self.upstream).hear(now, now_s, sender, word))

    # --- turns

    def begin(self) -> None:
        if not self.fallen:
            self.last_before_turn = self.store.last

    def turn(self, now: float, event: Callable[[], list[Action]]) -> bool:
        """Handle one event; return whether all its records were written.

        While the disk takes no writes the event is dropped: its sender sends again.
        """
        if not self.part.disk.running:
            return False
        try:
            self.actions += event()
        except (OSError, OperatorError) as error:
            if not heals(error):
                raise
            self.fell(now, error)
        return not self.fallen

    def fell(self, now: float, error: Exception) -> None:
        """Drop the actions of this turn, as the marks in memory are now ahead of the log on disk."""
        self.fallen = True
        self.actions.clear()
        self.ended.clear()
        self.part.fell(now, error)

    def finish_turn(self) -> list[Action]:
        """Return the actions to carry out after the sync."""
        for flight in self.ended:
            self.flights.pop(self.upstream.marks.key(flight.running.entry), None)
        self.ended.clear()
        out, self.actions = self.actions, []
        return out

    def fail_callers(self) -> None:
        """Answer all waiting callers, as the disk takes no writes or the part has stopped."""
        body = f"{self.part.disk.message}; it may have run\n".encode()
        for number in list(self.callers):
            self.answer(StraightDone(number, "failed", body, "", 0.0))
        if self.named is not None:
            self.named.on_disk_error()

    async def reload(self) -> None:
        """Reload the marks from the disk, which works again, without the turn that failed.

        Runs under way go on, as their intents are on disk; outcomes that arrived meanwhile are written now.
        An intent without a run under way or an outcome is in doubt. Errors are those that ``heals`` accepts.
        """
        store = self.store
        if self.named is not None:
            self.named.standby.restore()
        elif self.fallen:
            store.cut_after(self.last_before_turn)
            await asyncio.to_thread(store.sync)
            upstream, snapshot = self.upstream.renewed(store, Marks(self.rule)), store.snapshot()
            upstream.restore(
                snapshot[1] if snapshot is not None else None,
                (store.entry(index) for index in range(store.first, store.last + 1)),
                {key: flight.running for key, flight in self.flights.items()},
            )
            upstream.folder = store.mark().to_bytes()
            upstream.records = store.last - store.first + 1
            if store.bytes_held + CHECK_BYTES > store.limits.max_bytes:  # A snapshot frees room
                upstream.records = upstream.snapshot_records
            self.follow(upstream)
        self.fallen = False
        for flight in self.flights.values():
            if flight.came is not None:
                self._end(flight)
        marks = self.upstream.marks
        logs.event(
            "edge.upstream",
            ended=sum(map(len, marks.ended.of.values())),
            doubts=len(marks.doubts),
            store="again",
            under_way=len(self.flights),
        )

    def expire(self, now: float) -> None:
        """Answer callers whose deadline has passed, as the holder of their write died or lost the duty."""
        while self.deadlines and (number := next(iter(self.deadlines))) and self.deadlines[number] <= now:
            self.answer(StraightDone(number, "failed", b"no answer in time; it may have run\n", "", 0.0))

    def update_spare(self) -> None:
        """Update upstream's spare capacity beside live requests; the module still decides on each run."""
        inventory = self.part.inventory
        if inventory is not self.inventory:
            self.inventory = inventory
            keep_times = [float(terms.get("keep_s", KEEP_S)) for terms in inventory.when_cut.values()]
            self.upstream.marks.longest_s = max([self.upstream.marks.longest_s, KEEP_S, *keep_times])
        module = self.part.module
        replayed = self.upstream.replaying
        live = sum(r.running for r in module.table.by_id.values()) - replayed
        refused = sum(
            n for (_, verdict), n in module.table.counts.replies.items() if verdict is Verdict.REFUSED
        )
        self.upstream.spare = self.room.spare(
            clocks.mono(),
            RUNS_PER_CORE * module.settings.cores,
            max(0, live),
            replayed,
            refused - self.refused,
        )

    # --- runs

    def run(self, run: Run) -> None:
        entry, module, inventory = run.entry, self.part.module, self.part.inventory
        by: Upstream | Flight = self.upstream
        if self.named is None:
            by = self.flights[run.key] = Flight(self.upstream.running[run.key])
        klass = inventory.classes.get((entry.team, entry.service))
        if klass is None:  # The contract was removed while its writes waited
            self._report(run, by, Came.SAID_NO, Answer(Verdict.FAILED, b"no contract any more"))
            return
        request = Request(
            trace=secrets.token_hex(8),
            klass=klass,
            route=entry.service,
            born=module.clock(),
            body=entry.body,
            answer=lambda answer: self._answered(run, by, request, answer),
            kb=REQUEST_OVERHEAD_KB + len(entry.body) / 1024,
            tenant=inventory.teams[entry.team],
            nonce=entry.nonce,
        )
        if not module.post(RequestReceived(request)):
            self._report(run, by, Came.NOT_RUN, Answer(Verdict.REFUSED, retry_after_s=LATER_S))

    def _answered(self, run: Run, by: "Upstream | Flight", request: Request, answer: Answer) -> None:
        match answer.verdict:
            case Verdict.SERVED:
                came = Came.SERVED
            case Verdict.REFUSED:
                came = Came.NOT_RUN
                self.refused += not run.live
            case _ if request.replied > 0 or answer.body == OTHER_KEY:
                came = Came.SAID_NO
            case _ if request.first is not None and not request.launched_at:
                came = Came.KEPT
            case _ if request.replied < 0 or not request.launched_at:
                came = Came.NOT_RUN
            case _:  # It was launched, and its outcome is unknown
                came = Came.UNKNOWN
        self._report(run, by, came, answer)

    def _report(self, run: Run, by: "Upstream | Flight", came: Came, answer: Answer) -> None:
        outcome = (came, answer.body, answer.media, answer.retry_after_s or LATER_S)
        if isinstance(by, Flight):
            by.came = outcome
            self._end(by)
        else:
            self.post(
                lambda now: self.named.ran(by, now, run.key, *outcome) if self.named is not None else []
            )

    def _end(self, flight: Flight) -> None:
        """Write the outcome of a run; if the disk has no room, it is written once there is some."""
        key = self.upstream.marks.key(flight.running.entry)

        def end(now: float, now_s: float) -> list[Action]:
            outcome = flight.came
            # A duplicate report would be taken for the outcome of the next run of its key.
            if outcome is None or self.flights.get(key) is not flight or flight in self.ended:
                return []
            if self.turn(now, lambda: self.upstream.ran(now, key, *outcome)):
                self.ended.append(flight)
            return []

        self.part.post(end)

    def post(self, event: Callable[[float], list[Action]]) -> None:
        """Queue an event of upstream for the next turn."""

        def turn(now: float, now_s: float) -> list[Action]:
            self.turn(now, lambda: event(now))
            return []

        self.part.post(turn)

    def note(self, action: Noted) -> None:
        here = action.state is State.APPLIED and not action.why.endswith(FOUND_AT_TAKE_OVER)
        name = "edge.applied" if here else "edge.ended"
        logs.event(
            name, receipt=str(action.dot), nonce=action.nonce, state=action.state.name.lower(), why=action.why
        )
        self.part.counters.add(f"edges.{action.state.name.lower()}")

    # --- callers at this node itself

    def takes(self, request: Request, headers: dict[str, str], send_reply: Callable[[Reply], None]) -> bool:
        """Return whether this node answers a caller's request here.

        Live writes of contracts that may queue use the marks, as their caller may have tried at an edge too.
        """
        team = self.part.team(request)
        terms = self.part.inventory.when_cut.get((team, request.route), {})
        keyed = self.part.module.settings.classes[request.klass].idempotency is Idempotency.KEYED
        marked = terms.get("when_cut") == "queue" and keyed
        if marked and not self.part.disk.running:
            self._refuse(request, send_reply, self.part.disk.message)
            return True
        text = headers.get("HTTP_X_SEEN", "")
        if text:
            try:
                seen = read_tokens(text, self.part.key)
            except EdgeError as error:
                raise ScgiError(400, str(error)) from None
            if seen.missing(self.upstream.ended):
                self._refuse(request, send_reply, "what it has seen is not here yet")
                return True
        if not marked:
            return False
        holder, life = self.part.name, "-"
        if self.named is not None:
            holder, life = self.named.holder, f"{self.part.talk.life:x}"
            if not holder or len(self.callers) >= MAX_CALLERS:
                self._refuse(request, send_reply, "no node holds the marks")
                return True
        self.numbers += 1
        number = self.numbers
        self.callers[number] = send_reply
        request.answered = True
        entry = Entry(
            Dot(f"{self.part.name}/-/{life}", 0),
            NOTHING,
            team,
            request.route,
            request.nonce or "",
            request.body,
            hashlib.blake2b(request.body, digest_size=16).digest(),
        )
        straight = Straight(number, "", entry.pack(), request.retry)
        if self.named is not None:
            self.deadlines[number] = clocks.mono() + CALLER_TIMEOUT_S
        if holder == self.part.name:

            def hear(now: float, now_s: float) -> list[Action]:
                self.hear(now, now_s, self.part.name, straight)
                return []

            self.part.post(hear)
        else:
            self.part.talk.send(holder, CHANNEL, pack(straight))
        return True

    def _refuse(self, request: Request, send_reply: Callable[[Reply], None], why: str) -> None:
        request.answered = True
        self.refused += 1
        self.part.module.table.counts.on_front_answer(request.route, Verdict.REFUSED)
        send_reply(
            Reply(503, f"not now: {why}\n".encode(), (("Retry-After", "1"), ("X-Retry-After-Ms", "500")))
        )

    def answer(self, word: StraightDone) -> bool:
        """Answer a caller's live write at this node; return False if no such write waits here."""
        send_reply = self.callers.pop(word.number, None)
        self.deadlines.pop(word.number, None)
        if send_reply is None:
            return False
        status = {"served": 200, "refused": 503}.get(word.verdict, 500)
        headers: tuple[tuple[str, str], ...] = (("Content-Type", word.media or "application/octet-stream"),)
        if status == 503:
            after_ms = round(1000 * (word.after_s or LATER_S))
            headers += (("Retry-After", "1"), ("X-Retry-After-Ms", str(after_ms)))
        send_reply(Reply(status, word.body or (b"" if status == 200 else b"failed\n"), headers))
        return True

    def view(self) -> dict[str, Any]:
        marks, now = self.upstream.marks, clocks.mono()
        return {
            "ended": {writer: spans.upto for writer, spans in marks.ended.of.items()},
            "gone": len(marks.gone),
            "intents": len(marks.intents),
            "keys": len(marks.keys),
            "doubts": [str(dot) for dot in list(marks.doubts.values())[:200]],
            "fences": marks.fences,
            "spare": self.upstream.spare,
            "running": len(self.upstream.running),
            "edges": {edge: round(now - at, 1) for edge, at in self.upstream.active.items()},
            **({"marks": self.named.view()} if self.named is not None else {}),
        }
