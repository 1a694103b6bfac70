"""Runs requests on SCGI servers; implements the same interface as the agent's link."""

import asyncio
import functools
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.core.link_lifecycle import Address
from beechrock.core.requests import Request, RunEnded
from beechrock.core.servers import Servers, Upstreams
from beechrock.interface import Idempotency, Outcome
from beechrock.net.connecting import Streams, connect
from beechrock.net.connection import ConnectionActor
from beechrock.net.scgi_codec import (
    ENTITY_HEADER,
    GENERATION_HEADER,
    KEY_HEADER,
    MIRROR_HEADER,
    PATH_HEADER,
    PRIORITY_HEADER,
    RETRY_HEADER,
    ROUTE_HEADER,
    TEAM_HEADER,
    TRACE_HEADER,
    Headers,
    ScgiError,
    decode_reply,
    parse_reply,
    request_bytes,
    server_status,
)

if TYPE_CHECKING:
    from beechrock.lowering.route import Router, Way
    from beechrock.lowering.sending import Reply

MAX_REPLY_BYTES = 1 << 20  # maximum length of a server's reply
CONNECT_S = 1.0  # time limit for connecting to a server
# How long a forwarded request waits until the policy generation that it names is in force here, and how often
# that is checked, in seconds.
GENERATION_WAIT_S, LAG_STEP_S = 1.0, 0.02
REJECT_RETRY_S = 1.0  # retry time given when the policy currently allows no server to run a request


def team_name(request: Request, module: ModuleActor) -> str | None:
    """Return the name of the team to which a request belongs, or None."""
    return module.settings.tenants[request.tenant].name if request.tenant is not None else None


def run_headers(request: Request, way: "Way | None", team: str | None) -> Headers:
    """Return the SCGI headers for a run: the fields of the request, and of its routing decision ``way``."""
    headers = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": f"/{request.route}",
        PATH_HEADER: f"/{request.route}",
        ROUTE_HEADER: request.route,
        TRACE_HEADER: request.trace,
    }
    if team is not None:
        headers[TEAM_HEADER] = team
    if request.nonce is not None:
        headers[KEY_HEADER] = request.nonce
    if way is not None:
        headers[GENERATION_HEADER] = str(way.generation)
        if way.asked is not None:
            headers[PRIORITY_HEADER] = str(way.asked.action.level)
        if way.steered:
            headers[ENTITY_HEADER] = request.entity or ""
            headers[RETRY_HEADER] = str(int(request.retry))
    return headers


class RoutingRejection(Exception):  # noqa: N818 - a regular outcome, not an error
    """Routing found no server for a request, which never ran; it may be retried after ``after_s`` seconds."""

    def __init__(self, after_s: float, reason: bytes) -> None:
        super().__init__(reason)
        self.after_s = after_s
        self.reason = reason


def candidates(servers: Servers, request: Request, way: "Way | None") -> Sequence[Address]:
    """Return the addresses to which a request may be sent now, the best first."""
    return servers.choose(request.route) if way is None else way.addresses


def outcome_of(
    request: Request, way: "Way | None", data: bytes, counters: Counters
) -> tuple[Outcome, str, bytes]:
    """Return outcome, media type and body of a reply. Raises RoutingRejection if a node did not run it."""
    try:
        status, headers, body = decode_reply(data)
    except ScgiError as error:
        counters.add("intake.scgi_run_bad")
        return Outcome.ERROR, "", str(error).encode()
    if way is not None and status == 503 and (after := headers.get("x-retry-after-ms", "")).isdigit():
        raise RoutingRejection(int(after) / 1000, body)
    request.replied = server_status(status, headers, steered=way is not None and way.steered)
    good = Outcome.OK if 200 <= status < 300 else Outcome.ERROR
    return good, headers.get("content-type", ""), body


class ScgiRun(ConnectionActor[bytes]):
    """One request sent to one server; the end of the connection marks the end of the reply."""

    where = "scgi_run"

    def __init__(self, work: "ScgiWork") -> None:
        super().__init__(work.module.counters, MAX_REPLY_BYTES, MAX_REPLY_BYTES, 2)
        self.reply: bytes | None = None

    def parse(self) -> None:
        """Do nothing: the reply is complete only when the connection ends."""

    def encode(self, message: bytes) -> bytes:
        """Return the message unchanged, as requests are encoded before they are queued."""
        return message

    def input_ended(self) -> None:
        """Store the complete reply, and close."""
        self.reply = self.inbox.read(len(self.inbox))
        self.close_when_answered()


class ScgiWork:
    """Sends each request to a server of its service, trying the least busy one first."""

    def __init__(self, module: ModuleActor, upstreams: Upstreams) -> None:
        self.module = module
        self.servers = Servers(upstreams)
        self.counters = module.counters
        self.runs: dict[Request, asyncio.Task[None]] = {}
        self.router: Router | None = None  # set if the table [lowering] is configured
        # Set if [replica] gives advice. It is called when a request goes to a server, with the address and a
        # time limit, and returns a function that is called with the reply, or None if there was none.
        self.watch: Callable[[Address, float], Callable[[bytes | None], None]] | None = None

    def renew(self, upstreams: Upstreams) -> None:
        """Replace the list of servers; runs on a server that is no longer listed continue to their end."""
        self.servers.renew(upstreams)
        self.counters.set("open.draining_servers", len(self.servers.draining()))

    def exclude(self, out: frozenset[Address]) -> None:
        """Start no run on these servers, even if the inventory or the policy's pools list them.

        Open runs on them continue.
        """
        self.servers.taken_out = out
        if self.router is not None:
            self.router.acts.out = out
        self.counters.set("open.draining_servers", len(self.servers.draining()))

    def has_server(self, route: str) -> bool:
        """Return whether a server of this service is listed."""
        return bool(self.servers.listed(route))

    def holds(self, request: Request) -> bool:
        """Return whether a run of the request is open."""
        return request in self.runs

    def launch(self, request: Request) -> None:
        """Start a run."""
        self.runs[request] = self.counters.spawn(self._run(request), "scgi_work")

    def stop(self, request: Request) -> None:
        """Cancel a run, as a server cannot pause it, and report it as stopped."""
        task = self.runs.pop(request, None)
        if task is not None:
            task.cancel()
            self._report_end(request, Outcome.STOPPED)

    def resume(self, request: Request) -> None:
        """Count the unexpected command: runs on SCGI servers are never paused."""
        self.counters.add("trouble.scgi_resume")

    def deliver(self, request: Request, reply: bytes) -> None:
        """Count the unexpected command: runs on SCGI servers make no calls."""
        self.counters.add("trouble.scgi_deliver")

    def forgo(self, request: Request, mark: int) -> None:
        """Count the unexpected command: runs on SCGI servers make no calls."""
        self.counters.add("trouble.scgi_forgo")

    def sample(self) -> None:
        """Do nothing, as SCGI servers have no gauges."""

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Check whether all services can be reached, and report the result."""
        self.counters.spawn(self._exercise(report), "scgi_work.exercise")

    async def _exercise(self, report: Callable[[bool], None]) -> None:
        """Report success if each service has a server that accepts connections."""
        good = False
        try:
            good = all([await self._reached(service) for service in self.servers.upstreams])
        finally:
            report(good)

    async def _reached(self, service: str) -> bool:
        """Return whether a server of this service accepts connections, or no server is listed."""
        addresses = self.servers.choose(service) or self.servers.upstreams.get(service, ())
        for address in addresses:
            try:
                _, writer = await self._open(address)
            except OSError:
                continue
            writer.close()
            return True
        return not addresses

    async def _run(self, request: Request) -> None:
        settings = self.module.settings.classes[request.klass]
        # The deadline bounds the run, as one on a hanging server would otherwise stay open forever.
        timer = self.module.timers.at(request.born + settings.deadline_s, lambda: self._time_out(request))
        try:
            outcome, media, body = await self._send_request(request)
        except RoutingRejection as rejection:
            # The module sees a run that never ran; the caller gets a refusal with a retry time.
            outcome, media, body = Outcome.REJECTED, "", b""
            if request in self.runs:
                self.module.table.reject_unroutable(request, rejection.after_s, rejection.reason)
        except Exception as error:
            # If the exception ended the task, the request would stay open forever, and its key reserved.
            self.counters.record_error("scgi_work.run", error)
            outcome, media, body = Outcome.ERROR, "", b"the run failed here"
        finally:
            timer.cancel()
        if self.runs.pop(request, None) is not None:
            self._report_end(request, outcome, media, body)

    def _time_out(self, request: Request) -> None:
        task = self.runs.pop(request, None)
        if task is not None:
            task.cancel()
            self.counters.add("sent.scgi_out_of_time")
            self._report_end(request, Outcome.ERROR)

    def _report_end(self, request: Request, outcome: Outcome, media: str = "", body: bytes = b"") -> None:
        elapsed = max(0.0, self.module.clock() - request.launched_at)
        self.module.post(RunEnded(request.trace, outcome, elapsed, body, media))

    async def _wait_for_generation(self, request: Request) -> None:
        """Wait until the policy generation by which another node forwarded the request is in force here.

        The agreed log may reach this node a moment later than that node.
        """
        end = self.module.clock() + GENERATION_WAIT_S
        while (
            self.router is not None
            and request.generation > self.router.generation
            and self.module.clock() < end
        ):
            await asyncio.sleep(LAG_STEP_S)

    def _choose_way(self, request: Request) -> "Way | None":
        """Return the policy's routing decision for a request, which stays valid for all its attempts.

        Returns None without a policy.
        """
        if self.router is None:
            return None
        from beechrock.lowering.policy import Request as PolicyRequest

        settings = self.module.settings
        team = team_name(request, self.module) or ""
        policy_request = PolicyRequest(
            team, request.route, request.entity or "", len(request.body), 2 if request.retry else 1
        )
        repeatable = settings.classes[request.klass].idempotency is Idempotency.IDEMPOTENT
        way = self.router.way(policy_request, repeatable, request.generation)
        if self.router.note is not None and way is not None:
            self.router.note(request.trace, request.body, request.generation, way)
        return way

    async def _send_request(self, request: Request) -> tuple[Outcome, str, bytes]:
        """Send a request to the first server that accepts the connection, and to no other."""
        tried: set[Address] = set()
        await self._wait_for_generation(request)
        way = self._choose_way(request)
        if way is not None and (way.refused or way.asked is not None):
            return await self._send_by_rule(request, way)

        while left := [address for address in candidates(self.servers, request, way) if address not in tried]:
            address = left[0]
            tried.add(address)
            run = ScgiRun(self)
            streams = await self._open_for_run(address)
            if streams is None:
                continue
            if address not in candidates(self.servers, request, way):
                # The server was excluded while we connected. It may return, so it was not tried.
                tried.discard(address)
                streams[1].close()
                continue
            data = request_bytes(run_headers(request, way, team_name(request, self.module)), request.body)
            await self._exchange(
                run, address, data, *streams, self.module.settings.classes[request.klass].deadline_s
            )
            return outcome_of(request, way, run.reply or b"", self.counters)
        if way is None and self.servers.taken_out.intersection(self.servers.listed(request.route)):
            self.counters.add("sent.scgi_out")
            raise RoutingRejection(
                REJECT_RETRY_S, b"no server of its service is left: some are out by permit"
            )
        request.replied = -1
        return Outcome.ERROR, "", b"no server reached"

    async def _open(self, address: Address) -> Streams:
        """Connect within CONNECT_S. Raises OSError, also after a time-out.

        It does not use ``asyncio.wait_for``: in Python 3.11 that loses a cancellation that arrives as the
        connection is made, so that a run would be sent after it was reported as stopped.
        """
        async with asyncio.timeout(CONNECT_S):
            return await connect(address)

    async def _open_for_run(self, address: Address) -> Streams | None:
        over = self.watch(address, 0.0) if self.watch is not None else None
        try:
            return await self._open(address)
        except OSError:
            self.counters.add("sent.scgi_refused")
            if over is not None:
                over(None)
            return None

    async def _exchange(
        self,
        run: ScgiRun,
        address: Address,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        due_s: float,
    ) -> None:
        run.post(data)
        self.servers.on_run_started(address)
        over, reply = self.watch(address, due_s) if self.watch is not None else None, None
        try:
            await run.serve(reader, writer)
            reply = run.reply or b""
        finally:
            self.servers.on_run_ended(address)
            if over is not None:
                over(reply)

    async def _send_by_rule(self, request: Request, way: "Way") -> tuple[Outcome, str, bytes]:
        """Send a request under the limits of its policy rule, with the rule's retries, hedge and mirrors."""
        if way.asked is None or self.router is None:
            self.counters.add("lowering.turned_away")
            raise RoutingRejection(REJECT_RETRY_S, way.refused.encode())
        from beechrock.lowering.errors import BrokenInvariantError
        from beechrock.lowering.sending import Reply, sent

        headers = run_headers(request, way, team_name(request, self.module))
        send = functools.partial(self._send_attempt, request, headers, request.body)
        try:
            found = await sent(self.router.acts, way.asked, send, self.module.clock, self.counters.spawn)
        except BrokenInvariantError as error:
            self.counters.record_error("lowering.acts", error)
            return Outcome.ERROR, "", str(error).encode()
        if isinstance(found, Reply):
            request.replied = found.status
            good = Outcome.OK if 200 <= found.status < 300 else Outcome.ERROR
            return good, found.media, found.body
        if found is None:
            request.replied = -1
            return Outcome.ERROR, "", b"no server reached"
        self.counters.add("lowering.limited")
        raise RoutingRejection(found.after_s, found.why.encode())

    async def _send_attempt(
        self, request: Request, headers: Headers, body: bytes, address: Address, copy: bool
    ) -> "Reply | None":
        """Make one attempt. Returns None if it was not sent.

        ``body`` is passed separately, as a mirrored copy may be sent after the request has ended.
        """
        from beechrock.lowering.sending import Reply

        streams = await self._open_for_run(address)
        if streams is None:
            return None
        if address in self.servers.taken_out:  # the server was excluded while we connected
            streams[1].close()
            return None
        run = ScgiRun(self)
        all_headers = {**headers, MIRROR_HEADER: "1"} if copy else headers
        self.counters.add("lowering.copies" if copy else "lowering.sends")
        data = request_bytes(all_headers, body)
        await self._exchange(
            run, address, data, *streams, self.module.settings.classes[request.klass].deadline_s
        )
        try:
            return Reply(*parse_reply(run.reply or b""))
        except ScgiError as error:
            self.counters.add("intake.scgi_run_bad")
            return Reply(0, "", str(error).encode())
