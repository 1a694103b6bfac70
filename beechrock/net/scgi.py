"""Server for SCGI callers: one request per connection, answered with a ``Status:`` header as in CGI."""

import asyncio
import secrets
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from beechrock.core.actor import ModuleActor
from beechrock.core.clock_offset import Birth
from beechrock.core.requests import Answer, Request, RequestCancelled, RequestReceived, Verdict
from beechrock.interface import Idempotency
from beechrock.net.arrival import InputAge, birth, since_input_s
from beechrock.net.connection import ConnectionActor
from beechrock.net.connection_server import ConnectionServer
from beechrock.net.scgi_codec import (
    ENTITY_HEADER,
    GENERATION_HEADER,
    KEY_HEADER,
    LENGTH_HEADER,
    MAX_HEADER_BYTES,
    PATH_HEADER,
    RETRY_HEADER,
    ROUTE_HEADER,
    TEAM_HEADER,
    ScgiError,
    decode_headers,
    parse_generation,
)
from beechrock.net.scgi_extensions import Allowed, ContractRejection, Edges, Limits, rejection_reply
from beechrock.net.scgi_reply import Reply, reply_to

if TYPE_CHECKING:
    from beechrock.inventory.model import Inventory

MAX_BODY_BYTES = 65_536
MAX_OUT_BYTES = 1 << 21
# A request is rejected if it is incomplete after this share of the shortest deadline, or after STALL_S.
STALL_SHARE, STALL_S = 0.5, 2.5
STALL_RETRY_S = 0.02  # until an incomplete request with unread input is looked at again
REQUEST_OVERHEAD_KB = 4.0  # memory of a request in KB, without its body
ENDING = "this connection ends; nothing ran"


class ScgiConnection(ConnectionActor[Reply]):
    """One connection, with one request and one answer."""

    where = "scgi"

    def __init__(self, front: "ScgiServer") -> None:
        super().__init__(front.module.counters, MAX_HEADER_BYTES + MAX_BODY_BYTES, MAX_OUT_BYTES, 4)
        self.front = front
        self.module = front.module
        self.accepted_at = self.module.clock()
        self.last_message_at = self.accepted_at
        self.headers: dict[str, str] | None = None
        self.body_bytes = 0  # length of the body, by the headers
        self.whole_bytes = 0  # length of the headers and the body
        self.request: Request | None = None
        self.only_team: str | None = None  # the only team for which this front end may send requests, if any
        self.team: str | None = None  # the team whose connection count includes this one
        self.answered = False  # the answer has been sent or queued
        self.allowed: Allowed | None = None  # admission by the contract
        self.end_reported = False  # the end of the request was reported to the limits
        limit = min(STALL_S, STALL_SHARE * min(c.deadline_s for c in self.module.settings.classes))
        # An incomplete request is answered too, long before any deadline.
        self.stall = self.module.timers.at(self.accepted_at + limit, self._reject_stalled)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the connection until it ends; reject a host that is no front end of the inventory."""
        known = self.front.inventory.front_ends
        if known is not None:
            host = (writer.get_extra_info("peername") or ("",))[0]
            allowed, self.only_team = known.team_of(host)
            if not allowed:
                self.counters.add("intake.scgi_strangers")
                self.reject(ScgiError(403, f"{host} is no front end of the inventory"))
            elif self.only_team is not None and not self.rejected:
                self._join(self.only_team)
        await super().serve(reader, writer)

    def _join(self, team: str) -> bool:
        """Add the connection to its team's connections; return whether it was admitted."""
        if self.team is not None or self.front.limits is None:
            return True
        own = self.front.connections_by_team.setdefault(team, {})
        found = self.front.limits.connect(team, own)
        if isinstance(found, ContractRejection):
            self.counters.add("answered.scgi_beyond_contract")
            self._send_reply(rejection_reply(found))
            return False
        if found is not None:
            found.reject(ScgiError(408, "nothing came, and a newer connection of its team has its place"))
        self.team, own[self] = team, None
        return True

    def is_silent(self) -> bool:
        """Return whether no input has been received yet."""
        return self.headers is None and not len(self.inbox)

    def parse(self) -> None:
        """Read the headers and the body, and post the request."""
        try:
            if self.headers is None and not self._read_headers():
                return
            self._read_body()
        except ScgiError as error:
            self.reject(error)

    def _read_headers(self) -> bool:
        start = self.inbox.peek(8)
        digits, colon, _ = start.partition(b":")
        if not digits.isdigit() and (digits or colon):
            raise ScgiError(400, "no netstring")
        if not colon:
            if len(start) >= 8:
                raise ScgiError(400, "no netstring")
            return False
        if digits != b"0" and digits.startswith(b"0"):
            raise ScgiError(400, "the netstring's length starts with 0")
        size = int(digits)
        if size > MAX_HEADER_BYTES - 16:
            raise ScgiError(431, f"headers of {size} bytes, over {MAX_HEADER_BYTES - 16}")
        if len(self.inbox) < len(digits) + 1 + size + 1:
            return False
        self.inbox.skip(len(digits) + 1)
        block = self.inbox.read(size)
        if self.inbox.read(1) != b",":
            raise ScgiError(400, "the netstring does not end in a comma")
        self.headers = decode_headers(block)
        length = self.headers[LENGTH_HEADER]
        if len(length) > 10 or int(length) > MAX_BODY_BYTES:  # leading zeros must not hide a long number
            raise ScgiError(413, f"a body of over {MAX_BODY_BYTES} bytes")
        self.body_bytes = int(length)
        self.whole_bytes = len(digits) + 1 + size + 1 + self.body_bytes
        return self.front.limits is None or self._admitted(self.headers, self._birth())

    def _birth(self) -> Birth:
        """Return when the request came to this machine; if it is incomplete, when its latest part came."""
        writer = self._writer
        connection = writer.get_extra_info("socket") if writer is not None else None
        age = InputAge.read(self.module.clock, self.front.since_input_s, connection)
        # Checked after the age was read: input behind the request that came in between is then noticed.
        is_last_input = len(self.inbox) <= self.body_bytes and not self.has_unread_input()
        unseen_s = self.module.idempotency.linger_s
        return birth(age, self.accepted_at, self.whole_bytes, is_last_input, unseen_s)

    def _count_birth(self, found: Birth) -> None:
        """Count how long requests wait unread, and those of which the kernel's record proves too little."""
        unread_ms = round(1000 * (self.module.clock() - found.latest), 1)
        self.counters.raise_max("intake.scgi_most_unread_ms", unread_ms)
        if found.earlier_s:
            self.counters.add("intake.scgi_uncertain_births")

    def _admitted(self, headers: dict[str, str], found: Birth) -> bool:
        """Return whether the request is read further; one that is beyond its contract is rejected."""
        limits = self.front.limits
        if limits is None or self.allowed is not None:
            return True
        team, route, klass = self._find_contract(headers)
        # A repeat of a request that runs or has run costs no run: it gets that request's answer, whatever its
        # team has left. If it were rejected, its caller would conclude that the request never ran.
        nonce = headers.get(KEY_HEADER, "")
        if self.module.settings.classes[klass].idempotency is Idempotency.KEYED and (
            self.module.idempotency.is_repeat(route, nonce, found.earliest)
        ):
            return True
        return self._admit(limits, team, route)

    def _admit(self, limits: Limits, team: str, route: str) -> bool:
        """Return whether the request is within its team's contract; if not, it is rejected."""
        if not self._join(team):
            self.module.table.counts.on_front_answer(route, Verdict.REFUSED)
            return False
        found = limits.admit((team, route), self.body_bytes)
        if isinstance(found, ContractRejection):
            self.counters.add("answered.scgi_beyond_contract")
            self.module.table.counts.on_front_answer(route, Verdict.REFUSED)
            self._send_reply(rejection_reply(found))
            return False
        self.allowed = found
        return True

    def _read_body(self) -> None:
        if self.headers is None or self.request is not None or self.answered:
            return
        if len(self.inbox) < self.body_bytes:
            return
        found = self._birth()
        self._count_birth(found)
        request = self._request(self.headers, self.inbox.read(self.body_bytes), found)
        self.stall.cancel()
        if self.rejected:
            self.module.table.counts.on_front_answer(request.route, Verdict.REFUSED)
            raise ScgiError(503, ENDING)
        if not self._admitted(self.headers, found):  # its key's window may have ended since the headers came
            return
        if self.allowed is not None:
            request.limits_tenant, request.ended = self.allowed.tenant_index, self._report_end
        edges = self.front.edges
        if edges is not None and edges.takes(request, self.headers, self._send_reply):  # edges answer it
            self._report_end(0.0)  # the limits count only the start; the edge accounts for later costs
            self.request, self.messages_received = request, 1
            self.inbox.skip(len(self.inbox))
            return
        if not self.module.post(RequestReceived(request)):
            self.module.table.counts.on_front_answer(request.route, Verdict.REFUSED)
            raise ScgiError(503, "too many requests")
        self.request, self.messages_received = request, 1
        self.inbox.skip(len(self.inbox))  # SCGI allows nothing after the body, so the rest is ignored

    def _find_contract(self, headers: dict[str, str]) -> tuple[str, str, int]:
        """Return the team, the service and the index of their class. Raises ScgiError."""
        inventory = self.front.inventory
        route = headers.get(ROUTE_HEADER) or headers.get(PATH_HEADER, "").strip("/")
        team = headers.get(TEAM_HEADER) or self.only_team or ""
        if self.only_team is not None and team != self.only_team:
            raise ScgiError(403, f"X-Team: this front end asks for {self.only_team} alone")
        if route not in inventory.upstreams:
            raise ScgiError(404, f"X-Route: no service {route!r}")
        if team not in inventory.teams:
            raise ScgiError(403, f"X-Team: no team {team!r}")
        klass = inventory.classes.get((team, route))
        if klass is None:
            raise ScgiError(403, f"X-Team: {team} has no contract for {route}")
        return team, route, klass

    def _request(self, headers: dict[str, str], body: bytes, found: Birth) -> Request:
        team, route, klass = self._find_contract(headers)
        nonce = headers.get(KEY_HEADER) or None
        if self.module.settings.classes[klass].idempotency is not Idempotency.KEYED:
            nonce = None
        elif nonce is None or len(nonce) > 128:
            self.module.table.counts.on_front_answer(route, Verdict.FAILED)
            raise ScgiError(400, "Idempotency-Key: needed by this service, of at most 128 characters")
        return Request(
            trace=secrets.token_hex(8),
            klass=klass,
            route=route,
            born=found.born,
            body=body,
            answer=self._answer,
            kb=REQUEST_OVERHEAD_KB + len(body) / 1024,
            tenant=self.front.inventory.teams[team],
            retry=headers.get(RETRY_HEADER) == "1",
            nonce=nonce,
            entity=headers.get(ENTITY_HEADER) or None,
            earlier_s=found.earlier_s,
            later_s=found.later_s,
            generation=parse_generation(headers.get(GENERATION_HEADER, "")),
        )

    def _answer(self, answer: Answer) -> None:
        reply, request = reply_to(answer), self.request
        if self.allowed is not None:
            reply = replace(reply, headers=(*reply.headers, *self.allowed.headers()))
        if request is not None and request.generation:  # the node that forwarded it needs the run's status
            reply = replace(reply, headers=(*reply.headers, ("X-Replied", str(request.replied))))
        self._send_reply(reply)

    def _report_end(self, cost_s: float | None) -> None:
        if self.allowed is not None and not self.end_reported:
            self.end_reported = True
            self.allowed.ended(cost_s)

    def _reject_stalled(self) -> None:
        if self.request is not None or self.lost:
            return
        if self.has_unread_input():  # on a lagging event loop, it may be the rest of the request
            self.stall = self.module.timers.at(self.module.clock() + STALL_RETRY_S, self._reject_stalled)
            return
        self.reject(ScgiError(408, "the request did not come whole in time"))

    def input_ended(self) -> None:
        """Reject a request that is cut off; a complete request still gets its answer."""
        if self.request is None:
            if len(self.inbox) or self.headers is not None:
                self.reject(ScgiError(400, "the request is cut off"))
            else:
                self.stall.cancel()
                self.close_when_answered()

    def bad_input(self, problem: str) -> None:
        """Reject with status 400."""
        self.reject(ScgiError(400, problem))

    def report_internal_error(self) -> None:
        """Answer with status 500, unless a complete request gets its own answer."""
        if self.request is None:
            self.reject(ScgiError(500, "internal error"))

    def reject(self, error: ScgiError) -> None:
        """Send an error as the answer."""
        self.counters.add("intake.scgi_bad")
        self.counters.add("answered.scgi_bad")
        retry_after = (("Retry-After", "1"),) if error.status == 503 else ()
        self._send_reply(Reply(error.status, f"{error}\n".encode(), retry_after))

    def _send_reply(self, reply: Reply) -> None:
        if self.answered:
            return
        self.answered = True
        self.stall.cancel()
        if not self.post(reply):
            self.counters.add("answered.without_connection")
        self.close_when_answered()

    def encode(self, message: Reply) -> bytes:
        """Return the wire format of a reply."""
        return message.encode()

    def settled(self) -> bool:
        """Return whether no answer is pending."""
        return self.answered or self.request is None

    def close_when_idle(self) -> None:
        """Do nothing: the connection ends with its answer, and must not end without one."""

    def answer_all(self) -> None:
        """Answer an open request with a failure, as it may have run; refuse an incomplete request."""
        if self.answered:
            return
        if self.request is None:
            self.reject(ScgiError(503, ENDING))
            return
        self.counters.add("answered.at_exit")
        self._send_reply(Reply(500, b"the node ends\n"))


class ScgiServer(ConnectionServer[ScgiConnection]):
    """Listens for SCGI callers, and manages their connections."""

    where = "scgi"

    def __init__(self, module: ModuleActor, inventory: "Inventory", max_connections: int) -> None:
        super().__init__(module, max_connections)
        self.inventory = inventory
        # Seconds since the kernel received input on a connection; replaced under a simulated clock.
        self.since_input_s: Callable[[socket.socket], float | None] = since_input_s
        self.edges: Edges | None = None
        self.limits: Limits | None = None
        # Connections by team, in the order in which they joined; empty without limits.
        self.connections_by_team: dict[str, dict[ScgiConnection, None]] = {}

    def peer(self) -> ScgiConnection:
        """Create the actor for a new connection."""
        return ScgiConnection(self)

    def reject_full(self, peer: ScgiConnection) -> None:
        """Reject with status 503."""
        peer.reject(ScgiError(503, "too many connections"))

    def end_if_idle(self, peer: ScgiConnection) -> bool:
        """End a connection; one without a request gets an answer first, as its request may be in transit."""
        if peer.request is None and not peer.answered and not peer.has_unread_input():
            peer.answer_all()
            return True
        return peer.close_if_idle()

    def on_connection_ended(self, peer: ScgiConnection) -> None:
        """Cancel the request of a connection that has ended, if it is not answered."""
        peer.stall.cancel()
        if peer.team is not None:
            own = self.connections_by_team[peer.team]
            del own[peer]
            if not own:
                del self.connections_by_team[peer.team]
        if peer.request is None:
            peer._report_end(None)  # the request was never complete, so it never ran
        if peer.request is not None and not peer.request.answered:
            self.module.post(RequestCancelled(peer.request))
