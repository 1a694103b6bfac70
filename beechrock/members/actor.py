"""Actor that runs the failure detector: datagrams, ticks, exchanges of full states, the operators' view."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from beechrock import clocks, logs
from beechrock.core.counters import Counters
from beechrock.members.codec import MAX_DATAGRAM_BYTES, Codec, DroppedError, DropReason
from beechrock.members.detector import FailureDetector
from beechrock.members.messages import (
    MAX_PARTS,
    Action,
    Displaced,
    FullState,
    HallChanged,
    Message,
    Send,
    StartSync,
    StatusChanged,
)
from beechrock.members.settings import MembersSettings
from beechrock.net.listener import Listener, listen
from beechrock.net.registration import RetriedReading, ignore_failure

TICKS_PER_PERIOD = 10  # Detector ticks per probe period
PROBE_TIMEOUT_PERIODS = 0.3  # Wait for a direct answer, in probe periods; the rest is for helpers' probes
MAX_SERVED_SYNCS = 4  # Maximum full-state exchanges served at once, besides this node's own exchange
PORT_TRIES = 20  # Attempts to find a port free for datagrams and connections, if the system chooses it
SYNC_TIMEOUT_PERIODS = 2.0  # Time limit to connect, and of an exchange, in periods; frees a stalled task
MAX_QUEUED_DATAGRAMS = 512  # Capacity of the queue of received datagrams; excess datagrams are dropped
SIZE_BYTES = 2  # Size of the big-endian length prefix of each part sent over a connection, in bytes


class Datagram(NamedTuple):
    """A received datagram; ``address`` is HOST:PORT of its sender."""

    data: bytes
    address: str


class LastChange(NamedTuple):
    """Time and reason of the last change of a member's status."""

    at_s: float
    reason: str


def _host_and_port(address: str) -> tuple[str, int] | None:
    """Return host and port of HOST:PORT; None if the text is not such an address."""
    host, _, port = address.rpartition(":")
    return (host.strip("[]"), int(port)) if port.isdigit() else None


class MembersActor(asyncio.DatagramProtocol):
    """Owner of this node's membership: its detector, sockets and counters.

    Readers of the view get a copy, so that a slow reader delays nothing.
    """

    def __init__(
        self,
        settings: MembersSettings,
        name: str,
        life: int,
        counters: Counters,
        seed: int,
        clock: Callable[[], float] = clocks.mono,
    ) -> None:
        self.settings = settings
        self.name = name
        self.life = life
        self.counters = counters
        self.seed = seed
        self.clock = clock
        self.codec = Codec(settings.key, settings.fleet, name, life)
        self.detector: FailureDetector | None = None  # Created by ``listen``, once the address is known
        self.last_changes: dict[str, LastChange] = {}
        self.received_at_s: dict[str, float] = {}  # Arrival of the last datagram from each member, by name
        self.datagram_queue: asyncio.Queue[Datagram] = asyncio.Queue(MAX_QUEUED_DATAGRAMS)
        self.transport: asyncio.DatagramTransport | None = None
        self.server: Listener | None = None
        self.serving = 0  # Number of exchanges in progress that other members began
        self.syncing = False  # Whether an exchange that this node began is in progress

    # --- start, run and leave

    async def listen(self) -> None:
        """Listen for datagrams and connections, and create the detector.

        Raises OSError if the address cannot be bound.
        """
        tries = PORT_TRIES if not self.settings.listen[1] else 1
        while self.server is None:
            tries -= 1
            address = await self._listen_once(last_try=not tries)
        self.detector = FailureDetector(
            self.name,
            self.settings.advertise or address,
            self.life,
            self.clock(),
            self.seed,
            self.settings.seeds,
            self.settings.period_s,
            PROBE_TIMEOUT_PERIODS * self.settings.period_s,
            self.settings.hall,
        )
        logs.event("members", member=self.name, address=address, life=self.life, fleet=self.settings.fleet)

    async def _listen_once(self, last_try: bool) -> str:
        """Listen for datagrams and connections at one port; return HOST:PORT.

        A port that is free for datagrams may be in use for connections: ``server`` then stays None, and on
        the last try OSError is raised.
        """
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.settings.listen)
        host, port = self.transport.get_extra_info("sockname")[:2]
        try:
            self.server = await listen(self._accepted, host, port, self.counters, "members")
        except OSError:
            self.transport.close()
            if last_try:
                raise
        return f"{host}:{port}"

    async def run(self) -> None:
        """Join the fleet, then process datagrams and ticks until cancelled."""
        assert self.detector is not None
        self._execute(self.detector.join())
        next_tick_s = self.clock()
        while True:
            # Process queued datagrams before the tick: after a pause of this process they may hold answers
            # that the tick would otherwise count as missing.
            while not self.datagram_queue.empty():
                self._receive(self.datagram_queue.get_nowait())
            now_s = self.clock()
            if now_s >= next_tick_s:
                next_tick_s = now_s + self.settings.period_s / TICKS_PER_PERIOD
                self._execute(self.detector.tick(now_s))
            try:
                datagram = await asyncio.wait_for(
                    self.datagram_queue.get(), max(0.0, next_tick_s - self.clock())
                )
            except TimeoutError:
                continue
            self._receive(datagram)

    def leave(self) -> None:
        """Announce to some members that this node leaves."""
        if self.detector is not None:
            self._execute(self.detector.leave(self.clock()))

    # --- the view for operators

    def view(self) -> dict[str, Any]:
        """Return what ``/members`` shows: this node's own health, halls, counters and one row per member."""
        if self.detector is None:
            return {"members": []}
        detector = self.detector
        return {
            "name": self.name,
            "fleet": self.settings.fleet,
            "generation": detector.generation,
            "local_health": detector.local_health,
            "displaced": detector.displaced,
            "isolated": detector.isolated,
            "out": detector.accusation is not None,
            "answered_itself": [sum(detector.direct_answers), len(detector.direct_answers)],
            "halls": [
                {
                    "hall": name,
                    "state": hall.state.value,
                    "alive": hall.alive,
                    "suspect": hall.suspect,
                    "dead": hall.dead,
                }
                for name, hall in sorted(detector.halls.halls.items())
            ],
            "counters": {
                line.split()[0]: float(line.split()[1])
                for line in self.counters.lines()
                if line.startswith("members.")
            },
            "members": self._member_rows(detector),
        }

    def _member_rows(self, detector: FailureDetector) -> list[dict[str, Any]]:
        """Return one row per member, sorted by name; ``since_s`` and ``heard_s`` are seconds before now."""
        now_s = self.clock()
        rows: list[dict[str, Any]] = []
        for name, status in sorted(detector.statuses().items()):
            own = name == self.name
            change = self.last_changes.get(name, LastChange(now_s, "itself" if own else ""))
            received_at_s = self.received_at_s.get(name)
            rows.append(
                {
                    "name": name,
                    "state": status.state.name.lower(),
                    "life": status.life,
                    "incarnation": status.incarnation,
                    "since_s": round(now_s - change.at_s, 1),
                    "reason": change.reason,
                    "hall": detector.me.hall if own else detector.known[name].update.hall,
                    "heard_s": round(now_s - received_at_s, 1) if received_at_s is not None else None,
                }
            )
        return rows

    # --- exchanges of full states, over a connection

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counters.spawn(self._serve(reader, writer), "members.exchange")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.serving >= MAX_SERVED_SYNCS or self.detector is None:
            self.counters.add("members.exchanges_beyond_limit")
            writer.transport.abort()
            return
        self.serving += 1
        try:
            await self._sync_over(reader, writer, caller=False)
        finally:
            self.serving -= 1

    async def _sync_with(self, host: str, port: int) -> None:
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_PERIODS * self.settings.period_s):
                reader, writer = await asyncio.open_connection(host, port, limit=MAX_DATAGRAM_BYTES)
            await self._sync_over(reader, writer, caller=True)
        except (OSError, TimeoutError):
            self.counters.add("members.exchanges_failed")
        finally:
            self.syncing = False

    async def _sync_over(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: bool,
    ) -> None:
        """Run one side of an exchange; end it, and count it, if it stalls or brings an invalid part."""
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_PERIODS * self.settings.period_s):
                await (self._call(reader, writer) if caller else self._answer(reader, writer))
            self.counters.add("members.exchanges")
        except DroppedError as error:
            self.counters.add(f"members.dropped_{error.reason.value}")
        except (OSError, EOFError, TimeoutError):
            self.counters.add("members.exchanges_failed")
        finally:
            writer.transport.abort() if caller else writer.close()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert self.detector is not None
        opening = self.detector.opening()
        await self._send_parts(writer, [opening])
        answer = await self._receive_parts(reader)
        await self._send_parts(writer, self.detector.remainder(opening, answer))

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert self.detector is not None
        parts, remainder_follows = self.detector.answer(await self._receive_parts(reader))
        await self._send_parts(writer, parts)
        if remainder_follows:
            await self._receive_parts(reader)

    async def _receive_parts(self, reader: asyncio.StreamReader) -> FullState:
        """Receive and apply all parts of a full state; return the first.

        Raises DroppedError for an invalid part.
        """
        assert self.detector is not None
        first: FullState | None = None
        for _ in range(MAX_PARTS):
            size = int.from_bytes(await reader.readexactly(SIZE_BYTES), "big")
            sender, message = self.codec.decode(await reader.readexactly(min(size, MAX_DATAGRAM_BYTES)))
            if not isinstance(message, FullState):
                raise DroppedError(DropReason.FORM)
            self._execute(self.detector.receive(sender, "", message, self.clock()))
            first = first or message
            if not message.parts_left:
                break
        assert first is not None
        return first

    async def _send_parts(self, writer: asyncio.StreamWriter, parts: list[FullState]) -> None:
        for part in parts:
            data = self.codec.encode(part)
            writer.write(len(data).to_bytes(SIZE_BYTES, "big") + data)
            await writer.drain()

    # --- datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the datagram socket, with retries while epoll refuses it; called by the event loop."""
        # The selector loop's datagram transport has the methods that ``RetriedReading`` calls, but asyncio's
        # type for it does not declare them.
        RetriedReading(cast("asyncio.ReadTransport", transport), ignore_failure).register()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Queue a received datagram, or drop it if the queue is full; called by the event loop."""
        try:
            self.datagram_queue.put_nowait(Datagram(data, f"{addr[0]}:{addr[1]}"))
        except asyncio.QueueFull:
            self.counters.add("members.dropped_full")

    def error_received(self, exc: Exception) -> None:
        """Count an error of the socket, such as a refused datagram; called by the event loop."""
        self.counters.add("members.unreachable")

    def _receive(self, datagram: Datagram) -> None:
        assert self.detector is not None
        try:
            sender, message = self.codec.decode(datagram.data)
        except DroppedError as error:
            self.counters.add(f"members.dropped_{error.reason.value}")
            return
        self.counters.add("members.heard")
        self.received_at_s[sender] = self.clock()
        self._execute(self.detector.receive(sender, datagram.address, message, self.clock()))

    # --- actions of the detector

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(address, message):
                    self._send(address, message)
                case StartSync(address):
                    self._start_sync(address)
                case StatusChanged():
                    self._report_status(action)
                case HallChanged():
                    self._report_hall(action)
                case Displaced(life, address):
                    self.counters.add("members.displaced")
                    logs.event(
                        "member displaced",
                        "error",
                        member=self.name,
                        by_life=life,
                        at=address,
                        reason="a newer process has this name; this one is silent as a member",
                    )
        self._remove_forgotten()

    def _send(self, address: str, message: Message) -> None:
        target = _host_and_port(address)
        # Only a holder of the fleet's key can send an invalid address; it must not end the actor.
        if self.transport is None or target is None:
            self.counters.add("members.no_address")
            return
        self.counters.add("members.sent")
        self.transport.sendto(self.codec.encode(message), target)

    def _start_sync(self, address: str) -> None:
        target = _host_and_port(address)
        if not self.syncing and target is not None:
            self.syncing = True
            self.counters.spawn(self._sync_with(*target), "members.exchange")

    def _report_status(self, change: StatusChanged) -> None:
        name, status = change.update.name, change.update.status
        state = status.state.name.lower()
        previous = change.previous.name.lower() if change.previous is not None else "unknown"
        self.last_changes[name] = LastChange(self.clock(), change.reason)
        self.counters.add(f"members.{state}")
        logs.event(
            "member",
            member=name,
            state=state,
            life=status.life,
            incarnation=status.incarnation,
            reason=change.reason,
            before=previous,
        )

    def _report_hall(self, change: HallChanged) -> None:
        state = "lost" if change.lost else "back"
        self.counters.add(f"members.halls_{state}")
        logs.event(
            "hall",
            "warning" if change.lost else "info",
            hall=change.hall,
            state=state,
            alive=change.alive,
            dead=change.dead,
        )

    def _remove_forgotten(self) -> None:
        """Bound the tables kept beside the detector by removing members that it has forgotten."""
        if self.detector is None:
            return
        known = self.detector.known
        limit = 2 * len(known) + 64
        if len(self.last_changes) > limit:
            self.last_changes = {name: change for name, change in self.last_changes.items() if name in known}
        if len(self.received_at_s) > limit:
            self.received_at_s = {name: at_s for name, at_s in self.received_at_s.items() if name in known}
