"""Client of the ledger: sends calls over pooled connections, each with a time limit of its own."""

import asyncio
from dataclasses import dataclass

from beechrock.core import link_lifecycle as life
from beechrock.core.actor import ModuleActor
from beechrock.core.requests import CallDone, Request
from beechrock.core.timer_wheel import Timer
from beechrock.interface import Outcome
from beechrock.net import ledger_codec as codec
from beechrock.net.line_connection import LineConnection
from beechrock.net.link_actor import LinkActor

MAX_SHARED_CALLS = 64  # maximum number of calls on one connection once no more connections are allowed
MAX_PAST_TRACES = 1000  # number of requests remembered per connection, after which it is replaced
MAX_REPLY_BYTES = 200_000  # the same limit as for the agent's commands, which carry the replies
IDLE_S = 7.0  # idle timeout of a connection; the ledger closes it after 10 s, and no call must cross that
# Time limits for a dead address, which may neither accept nor refuse a connection, and for a hanging peer,
# which may not read the last bytes of a connection that is being closed.
LIMITS = life.Limits(connect_s=0.4, close_s=2.0)
LATE_REPLY_S = 0.02  # time after a pause of this process to read the replies that arrived during the pause


@dataclass(slots=True, eq=False, repr=False)
class OpenCall:
    """An open call; times in seconds of the module's clock."""

    request: Request
    body: bytes
    wait_s: float  # time limit
    since: float  # when the call was made
    timer: Timer | None = None
    extended: bool = False  # the time limit was extended once, as it expired while this process was paused


class LedgerLink(LineConnection[bytes]):
    """One connection and its open calls: usually one, as a corrupt reply ends all calls on a connection."""

    where, max_body_bytes = "ledger", MAX_REPLY_BYTES

    def __init__(self, ledger: "Ledger") -> None:
        super().__init__(ledger.counters, 1 << 20, 4 * MAX_SHARED_CALLS)
        self.ledger = ledger
        self.address = ledger.address
        self.owner = LedgerLinkOwner(ledger, self)
        self.open: dict[str, OpenCall] = {}
        self.opened = False  # the connection is established, and the open calls were sent
        # Traces of the requests that made a call on this link: a late or repeated reply may still come.
        self.past_traces: set[str] = set()
        self.used_at = ledger.module.clock()

    def encode(self, message: bytes) -> bytes:
        """Return the message unchanged, as calls are encoded before they are queued."""
        return message

    def send_open_calls(self) -> None:
        """Send the open calls once the connection is established."""
        self.opened = True
        for call in self.open.values():
            self.send(call)

    def send(self, call: OpenCall) -> None:
        """Send a call with the time left until its limit."""
        left_s = call.since + call.wait_s - self.ledger.module.clock()
        self.post(codec.encode_call(call.request.trace, left_s, call.body))

    def has_body(self, fields: list[str]) -> bool:
        """Return whether the line is a reply with a result."""
        return codec.has_body(fields)

    def receive_line(self, fields: list[str], body: bytes) -> None:
        """End the call to which a reply belongs. Raises BadInputError."""
        self._end_call(fields[0], codec.outcome_of(fields), body)

    def _end_call(self, name: str, outcome: Outcome, reply: bytes) -> None:
        self.used_at = self.ledger.module.clock()
        call = self.open.pop(name, None)
        if call is None:  # a reply to an abandoned call, a duplicate, or a reply to a call never made
            self.counters.add("calls.stray_replies")
        else:
            self.ledger.ended(call, outcome, reply)

    def bad_input(self, problem: str) -> None:
        """Drop the connection and its open calls, as no further reply on it can be parsed."""
        self.drop()

    def accepts_call(self, trace: str) -> bool:
        """Return whether a call for this request may be sent here, without confusing it with an old reply."""
        return (
            not self.closing
            and not self.lost
            and self.address == self.ledger.address
            and trace not in self.past_traces
            and len(self.past_traces) < MAX_PAST_TRACES
            and not len(self.inbox)
            and self._waiting is None
            and not self._input_unread()
        )

    def _input_unread(self) -> bool:
        """Return whether the stream holds unsolicited bytes, an end of stream or an error."""
        reader = self._reader
        return reader is not None and (
            reader.at_eof() or reader.exception() is not None or bool(getattr(reader, "_buffer", b""))
        )

    def settled(self) -> bool:
        """Return whether no call is open on this connection."""
        return not self.open

    def input_ended(self) -> None:
        """Break the connection, as no reply can arrive any more."""
        self.broken = True


class LedgerLinkOwner:
    """Owner of one link: opens its connection, and ends its calls when the connection ends."""

    def __init__(self, ledger: "Ledger", link: LedgerLink) -> None:
        self.ledger = ledger
        self.link = link
        self.link_actor = LinkActor(self, "ledger", ledger.module, LIMITS, ledger.address)
        self.outcome = Outcome.UNREACHABLE  # outcome of open calls: none were sent yet, so they never ran

    async def serve_link(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send the open calls, and read replies until the connection ends."""
        self.ledger.counters.add("ledger.links")
        self.outcome = Outcome.CONNECTION_LOST
        self.link_actor.handle_event(life.Opened(number))
        self.link.send_open_calls()
        await self.link.serve(reader, writer)

    def discard_link(self) -> None:
        """Drop the connection."""
        self.link.drop()

    def link_ended(self) -> None:
        """End all calls of the link, which is not reopened."""
        self.link.lost = True
        self.ledger.links.remove(self.link)
        for call in list(self.link.open.values()):
            self.ledger.ended(call, self.outcome, b"")
        self.link.open.clear()

    def send_control(self, action: life.Action) -> None:
        """Do nothing: links to the ledger have no handshake."""

    def on_unreachable(self) -> None:
        """Do nothing: the next call opens a new link."""


class Ledger:
    """Makes calls for requests, each on a connection of its own as long as ``max_links`` allows."""

    def __init__(self, module: ModuleActor, address: tuple[str, int], max_links: int) -> None:
        self.module = module
        self.address = address
        self.max_links = max_links
        self.counters = module.counters
        self.links: list[LedgerLink] = []
        module.timers.at(module.clock() + 1.0, self._close_idle_links)

    def move(self, address: tuple[str, int]) -> None:
        """Send new calls to another address; links to the old address close after their open calls.

        Links that are still connecting are dropped at once, as nothing was sent on them.
        """
        if address != self.address:
            self.address = address
            self.counters.add("ledger.moves")
            for link in list(self.links):
                link.owner.link_actor.handle_event(life.Moved(address))

    def call(self, request: Request, body: bytes, wait_s: float) -> None:
        """Make a call with a time limit of ``wait_s`` seconds, and abandon an earlier call of the request."""
        self.abandon(request)
        now = self.module.clock()
        call = OpenCall(request, body, wait_s, now)
        link = self._choose_link(request.trace)
        if link is None:
            self.counters.add("trouble.ledger_links_full")
            self.ended(call, Outcome.REJECTED, b"")
            return
        link.open[request.trace] = call
        link.past_traces.add(request.trace)
        link.used_at = now
        call.timer = self.module.timers.at(now + wait_s, lambda: self._time_out(link, call))
        if link.opened:  # otherwise the call is sent once connected, unless it was abandoned by then
            link.send(call)

    def abandon(self, request: Request) -> None:
        """Abandon the open call of a request, if there is one."""
        for link in self.links:
            if request.trace in link.open:
                self._give_up(link, link.open[request.trace])

    def _choose_link(self, trace: str) -> LedgerLink | None:
        """Return a link for a call: the idle link used last, else a new one, else the least busy shared one.

        Returns None if all links are full. Calls share a link only if needed, as a corrupt or missing reply
        ends all calls on its connection.
        """
        fit = [k for k in self.links if k.accepts_call(trace)]
        free = [k for k in fit if not k.open]
        if free:
            return max(free, key=lambda k: k.used_at)
        if len(self.links) < self.max_links:
            link = LedgerLink(self)
            self.links.append(link)
            link.owner.link_actor.handle_event(life.Due())
            return link
        fit = [k for k in fit if len(k.open) < MAX_SHARED_CALLS]
        return min(fit, key=lambda k: len(k.open)) if fit else None

    def _time_out(self, link: LedgerLink, call: OpenCall) -> None:
        if link.open.get(call.request.trace) is not call:
            return
        now = self.module.clock()
        if now > call.since + call.wait_s + life.PAUSE_LATENESS_S and not call.extended:
            # The timer fired late, as this process was paused: a reply that came in time may be unread.
            call.extended = True
            call.timer = self.module.timers.at(now + LATE_REPLY_S, lambda: self._time_out(link, call))
            return
        self._give_up(link, call)
        link.close_when_answered()  # a connection is not reused after a call on it timed out
        self.ended(call, Outcome.TIMED_OUT if link.opened else Outcome.UNREACHABLE, b"")

    def _give_up(self, link: LedgerLink, call: OpenCall) -> None:
        del link.open[call.request.trace]
        if call.timer is not None:
            call.timer.cancel()
        link.used_at = self.module.clock()
        # On a link that is still connecting, a queued call and its abandon line would be sent only later.
        # They could arrive after a newer call of the same request on another link, and abandon that one.
        if link.opened:
            self.counters.add("sent.abandons")
            link.post(codec.encode_abandon(call.request.trace))

    def ended(self, call: OpenCall, outcome: Outcome, reply: bytes) -> None:
        """Report the end of a call to the module."""
        if call.timer is not None:
            call.timer.cancel()
        elapsed = self.module.clock() - call.since
        self.module.post(CallDone(call.request, outcome, elapsed, reply))

    def _close_idle_links(self) -> None:
        now = self.module.clock()
        for link in list(self.links):
            if link.closing and not link.open:
                link.owner.link_actor.handle_event(life.Closing(link.owner.link_actor.life.link))
            elif not link.open and (now - link.used_at > IDLE_S or link.address != self.address):
                link.close_when_answered()
        self.module.timers.at(now + 1.0, self._close_idle_links)
