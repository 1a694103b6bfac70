"""The ledger: calls on shared connections, each with a time limit of our own."""

import asyncio
from dataclasses import dataclass

from beechrock.core.module import ModuleActor
from beechrock.core.requests import CallDone, Request
from beechrock.core.wheel import Timer
from beechrock.interface import Outcome
from beechrock.net.peer import BadInputError, LinesPeer

ENDS = {"queue_full": Outcome.REJECTED, "error": Outcome.ERROR, "expired": Outcome.TIMED_OUT,
        "moot": Outcome.MOOT}
MOST_LINKS = 8
MOST_ON_ONE = 64
IDLE_S = 7.0        # the ledger closes a connection that is idle for 10 s; a call must not meet that


@dataclass(slots=True, eq=False)
class OpenCall:
    request: Request
    body: bytes
    wait_s: float
    since: float
    timer: Timer | None = None


class LedgerLink(LinesPeer[bytes]):
    """One connection with the calls that are open on it."""

    where = "ledger"

    def __init__(self, ledger: "Ledger") -> None:
        super().__init__(ledger.counters, 1 << 20, 4 * MOST_ON_ONE)
        self.ledger, self.address = ledger, ledger.address
        self.open: dict[str, OpenCall] = {}
        self.given_up: set[str] = set()     # replies to these may still come; they belong to nobody
        self.used_at = ledger.module.clock()

    def encode(self, message: bytes) -> bytes:
        return message

    def has_body(self, words: list[str]) -> bool:
        return words[1:2] == ["posted"]

    def heard(self, words: list[str], body: bytes) -> None:
        if len(words) == 3 and words[1] == "posted":
            self._done(words[0], Outcome.OK, body)
        elif len(words) == 2 and words[1] in ENDS:
            self._done(words[0], ENDS[words[1]], b"")
        else:
            raise BadInputError(f"reply {' '.join(words)[:80]!r}")

    def _done(self, name: str, outcome: Outcome, reply: bytes) -> None:
        self.used_at = self.ledger.module.clock()
        call = self.open.pop(name, None)
        if call is None:
            self.given_up.discard(name)
            return
        self.ledger.ended(call, outcome, reply)

    def settled(self) -> bool:
        return not self.open

    def input_ended(self) -> None:
        self.broken = True      # no reply can come any more


class Ledger:
    """Calls for requests; few connections, shared by all of them."""

    def __init__(self, module: ModuleActor, address: tuple[str, int]) -> None:
        self.module, self.address = module, address
        self.counters = module.counters
        self.links: list[LedgerLink] = []
        module.wheel.at(module.clock() + 1.0, self._drop_idle)

    def move(self, address: tuple[str, int]) -> None:
        """New calls go to another address; links to the old one end with the calls open on them."""
        if address != self.address:
            self.address = address
            self.counters.add("ledger.moves")

    def call(self, request: Request, body: bytes, wait_s: float) -> None:
        self.abandon(request)
        now = self.module.clock()
        call = OpenCall(request, body, wait_s, now)
        link = self._link(request.trace)
        if link is None:
            self.counters.add("trouble.ledger_links_full")
            self.ended(call, Outcome.REJECTED, b"")
            return
        link.open[request.trace] = call
        link.used_at = now
        call.timer = self.module.wheel.at(now + wait_s, lambda: self._out_of_time(link, call))
        wait_ms = max(1, round(1000 * wait_s))
        link.post(f"post {request.trace} {wait_ms} {len(body)}\r\n".encode() + body + b"\r\n")

    def abandon(self, request: Request) -> None:
        for link in self.links:
            if request.trace in link.open:
                self._give_up(link, link.open[request.trace])

    def _link(self, trace: str) -> LedgerLink | None:
        """A link on which no late reply to an earlier call of this request can be taken for the new one's."""
        fit = [k for k in self.links if not k.closing and not k.lost and trace not in k.given_up
               and len(k.open) < MOST_ON_ONE and k.address == self.address]
        if fit:
            return min(fit, key=lambda k: len(k.open))
        if len(self.links) >= MOST_LINKS:
            return None
        link = LedgerLink(self)
        self.links.append(link)
        self.counters.spawn(self._run(link), "ledger")
        return link

    async def _run(self, link: LedgerLink) -> None:
        outcome = Outcome.BROKEN_OFF
        try:
            reader, writer = await asyncio.open_connection(*link.address)
            self.counters.add("ledger.links")
            await link.serve(reader, writer)
        except OSError:
            outcome = Outcome.UNREACHABLE   # nothing was sent: these calls never ran
            self.counters.add("ledger.refused_links")
        finally:
            link.lost = True
            self.links.remove(link)
            for call in list(link.open.values()):
                self.ended(call, outcome, b"")
            link.open.clear()

    def _out_of_time(self, link: LedgerLink, call: OpenCall) -> None:
        if link.open.get(call.request.trace) is call:
            self._give_up(link, call)
            self.ended(call, Outcome.TIMED_OUT, b"")

    def _give_up(self, link: LedgerLink, call: OpenCall) -> None:
        del link.open[call.request.trace]
        if call.timer is not None:
            call.timer.cancel()
        link.given_up.add(call.request.trace)
        if len(link.given_up) > 10_000:
            link.finish()
        link.used_at = self.module.clock()
        self.counters.add("sent.abandons")
        link.post(f"abandon {call.request.trace}\r\n".encode())

    def ended(self, call: OpenCall, outcome: Outcome, reply: bytes) -> None:
        if call.timer is not None:
            call.timer.cancel()
        elapsed = self.module.clock() - call.since
        self.module.post(CallDone(call.request, outcome, elapsed, reply))

    def _drop_idle(self) -> None:
        now = self.module.clock()
        for link in self.links:
            if not link.open and (now - link.used_at > IDLE_S or link.address != self.address):
                link.finish()
        self.module.wheel.at(now + 1.0, self._drop_idle)
