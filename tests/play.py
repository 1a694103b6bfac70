"""Plays byte exchanges from text files against a complete node on loopback, with a simulated clock.

Each line is one step; ``#`` starts a comment. Bytes are written as hex and "text"; ``{...}`` is its content
preceded by the content's length in four bytes.

    NAME = connect frames|scgi|admin    a caller's connection
    NAME = accept agent|ledger|server   the node's next connection to a stand-in
    NAME > BYTES    send bytes      NAME < BYTES    wait for exactly these bytes
    NAME ... BYTES  wait for any input that ends in these bytes
    NAME end        end the stream (half-close)     NAME break      abort the connection
    NAME closed     wait until the node has closed it       NAME reset      abort the connection by a reset
    clock SECONDS   advance the clock       counter NAME VALUE      wait until a counter has this value
    beat TEXT       wait for this report     leave      shutdown notice     down STAND-IN   refuse links
    move STAND-IN   move to a new address, which ``reload`` announces; ``reload KEY``: with KEY invalid
    move STAND-IN deaf      move to an address where the kernel accepts connections, but nobody reads them
    move STAND-IN full      move to an address where connections are neither accepted nor refused
    NAME ask SERVICE TEAM BODY [KEY]    send a complete SCGI request
    NAME answered STATUS BODY           wait for the end of the stream, and check the answer
    inventory NAME  apply this inventory generation
    up STAND-IN     wait until the node's link to it is up: greeted, and with all missed notices read
    NAME mute       stop answering the node's sample requests on this connection
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from wires import HANG_S, Beats, Wire, bytes_of, until

from beechrock.config import Config, ConfigError, Scgi
from beechrock.configuration_file import ConfigurationFile
from beechrock.core.link_lifecycle import LinkState
from beechrock.inventory.errors import InventoryError
from beechrock.inventory.generation import Generation, from_checked
from beechrock.inventory.merge import merge
from beechrock.inventory.model import build, over
from beechrock.inventory.plan import plan
from beechrock.inventory.problems import Place, Problems
from beechrock.inventory.raw import Raw, Told
from beechrock.net.scgi_codec import request_bytes
from beechrock.program import Program
from beechrock.settings import settings_from

START = 1_700_000_000.0
GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")
SETTINGS: dict[str, Any] = {
    "extra": {
        "cpus": 3,
        "memLimitKb": 60_000.0,
        "runFactor": 16.0,
        "keyKb": 190.0,
        "ownStats": list(GAUGES),
        "classCalls": [True, False],
        "classSkipWorth": [0.3, 0],
        "downstream": "one_for_all",
        "depShare": 6.0,
        "callsOverS": 5.0,
        "lingerS": 0.2,
        "stopMode": "freeze",
        "say": "floor",
        "cancelSeen": True,
        "callers": 3,
        "idleS": 30.0,
    },
    "grades": [
        {"name": "resolve", "promiseS": 1.8, "giveUpS": 7.0, "effect": "safe"},
        {"name": "submit", "promiseS": 1.4, "giveUpS": 3.6, "effect": "keyed", "windowS": 10.0},
    ],
    "guarantees": {"fallMultiple": 5.0, "overloadForS": 3.0, "answerSlackS": 0.06, "drainGraceS": 2.0},
    "limits": {"maxRetryAfterS": 1.0},
    "tickS": 0.004,
}


def inventory_of(node: dict[str, Any], groups: dict[str, dict[str, Any]], number: int = 1) -> Generation:
    """Build the generation of an inventory with these groups."""
    problems = Problems()
    raw, place = Raw(problems), Place("here", 1)
    raw.group("all", place).vars.update({key: Told(value, place) for key, value in node.items()})
    for name, hosts in groups.items():
        for host, values in hosts.items():
            raw.host(raw.group(name, place), host, place, {k: Told(v, place) for k, v in values.items()})
    checked = merge(raw, problems)
    found = build(checked, problems)
    if found is None or problems.errors:
        raise InventoryError(problems)
    return from_checked(number, checked, found)


class Stand:
    """A node and stand-ins for all its peers."""

    def __init__(self) -> None:
        # The node's clock, the wall clock's lead over it, and its lead over the shared monotonic clock.
        self.now, self.step_s, self.origin_s = START, 0.0, START
        self.wires: dict[str, Wire] = {}
        self.links: dict[str, asyncio.Queue[Wire]] = {}
        self.servers: dict[str, asyncio.Server] = {}
        self.beats: list[str] = []
        self.bad_key = ""
        self.generations: dict[str, Generation] = {}
        self.running: Generation | None = None
        self.silent_listeners: dict[str, socket.socket] = {}  # listening sockets that accept nothing
        self.fillers: list[socket.socket] = []
        # By the caller's address: the node's time at which bytes were last written on its connection.
        self.written_at: dict[Any, float] = {}

    async def open(
        self,
        generation: Generation | None = None,
        settings: dict[str, Any] = SETTINGS,
        admin: bool = False,
        **shared: Any,
    ) -> None:
        """Start the node; ``shared`` holds configuration fields, as for an inherited listening socket."""
        for name in ("agent", "ledger"):
            await self.listen(name)
        await self.listen_for_beats()
        told, _ = settings_from(over(settings, generation.meaning) if generation else settings)
        scgi = Scgi(("127.0.0.1", 0), Path("none"), generation, watch_s=1e6) if generation else None
        self.told = Config(
            name="n1",
            listen=shared.pop("listen", ("127.0.0.1", 0)),
            agent=self.address("agent"),
            ledger=self.address("ledger"),
            registry=self.registry.get_extra_info("sockname"),
            seed=1,
            stop_s=4.0,
            memory_mb=192.0,
            sockets=1024,
            settings=told,
            gauges=GAUGES,
            scgi=scgi,
            admin=("127.0.0.1", 0) if admin else None,
            **shared,
        )
        self.running = generation
        if generation:
            self.told = replace(self.told, raw=settings)
        self.program = Program(
            self.told,
            clock=lambda: self.now,
            file=ConfigurationFile(self.again),
            unix_clock=lambda: self.now + self.step_s,
            origin_s=self.origin_s,
        )
        await self.program.start()
        if self.program.scgi is not None:
            self.program.scgi.since_input_s = self.since_input_s

    def since_input_s(self, connection: socket.socket) -> float | None:
        """Return what the kernel would under the simulated clock: seconds since bytes were last written."""
        return self.now - self.written_at.get(connection.getpeername(), self.now)

    def write(self, wire: Wire, data: bytes) -> None:
        """Write bytes on a connection, and note when."""
        wire.writer.write(data)
        self.written_at[wire.writer.get_extra_info("sockname")] = self.now

    async def read_to_end(self, connection: socket.socket, begins: bytes, ends: bytes) -> None:
        """Read a caller's connection to the end of its stream, and check how its answer begins and ends."""
        connection.setblocking(False)
        got = b""
        async with asyncio.timeout(HANG_S):
            while data := await asyncio.get_running_loop().sock_recv(connection, 65_536):
                got += data
        connection.close()
        assert got.startswith(begins) and got.endswith(ends), got

    def take_up(self, name: str) -> None:
        """Apply a generation, as the inventory's keeper does with one that it accepts."""
        assert self.running is not None
        new = self.generations[name]
        assert not plan(self.running, new).refused and self.program.adopt_generation(new)
        self.running = new

    def again(self, before: Config) -> Config:
        """Return the configuration that a reload reads."""
        if self.bad_key:
            raise ConfigError(f"config.json: {self.bad_key}: bad")
        return replace(
            self.told,
            agent=self.address("agent"),
            ledger=self.address("ledger"),
            registry=self.registry.get_extra_info("sockname"),
        )

    async def listen_for_beats(self) -> None:
        self.beats = []
        self.registry, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Beats(self.beats), local_addr=("127.0.0.1", 0)
        )

    async def listen(self, name: str) -> tuple[str, int]:
        self.links[name] = asyncio.Queue()

        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.links[name].put(Wire(reader, writer, name == "agent"))

        self.servers[name] = await asyncio.start_server(accepted, "127.0.0.1", 0)
        return self.address(name)

    def listen_silently(self, name: str, full: bool) -> None:
        """Listen without ever accepting a connection; with ``full``, the backlog is full as well."""
        self.servers[name].close()
        silent = self.silent_listeners[name] = socket.create_server(
            ("127.0.0.1", 0), backlog=0 if full else 16
        )
        self.fillers.append(silent)
        for _ in range(4 if full else 0):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(silent.getsockname())
            self.fillers.append(filler)

    def address(self, name: str) -> tuple[str, int]:
        if name in self.silent_listeners:
            return "127.0.0.1", self.silent_listeners[name].getsockname()[1]
        host, port = self.servers[name].sockets[0].getsockname()[:2]
        return host, port

    async def close(self) -> None:
        self.program.close()
        for task in self.program.tasks:
            task.cancel()
        for wire in self.wires.values():
            wire.writer.close()
        for server in self.servers.values():
            server.close()
        for filler in self.fillers:
            filler.close()
        self.registry.close()

    async def play(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split() if '"' not in line else line.split()
            if not words or words[0].startswith("#"):
                continue
            try:
                await self.step(words, line.strip())
            except AssertionError as error:
                raise AssertionError(f"line {number}: {line.strip()}\n{error}") from None
        left = {name: wire.got for name, wire in self.wires.items() if wire.got}
        assert not left, f"bytes that no line waits for: {left}"
        # The failure of a task is counted under this prefix.
        assert not [c for c in self.program.counters.lines() if c.startswith("trouble.")]

    async def step(self, words: list[str], line: str) -> None:
        match words:
            case ["clock", seconds]:
                self.now += float(seconds)
                # Under full load, the next step came before the actor had handled this one, and it took both
                # for one pause of its own. The wait is bounded, as an actor that has ended handles nothing.
                wheel = self.program.module.timers
                for _ in range(500):
                    if wheel.has_fired_until(self.now):
                        break
                    await asyncio.sleep(0.004)
                # Wait for two rounds of the actor: the second carries out the decisions of the first.
                await asyncio.sleep(0.02)
            case ["counter", name, value]:
                counters = self.program.counters
                await until(lambda: counters[name] == float(value), lambda: "; ".join(counters.lines()))
            case ["inventory", name]:
                self.take_up(name)
            case [name, "ask", service, team, body, *key]:
                headers = {"HTTP_X_ROUTE": service, "HTTP_X_TEAM": team}
                if key:
                    headers["HTTP_IDEMPOTENCY_KEY"] = key[0]
                self.write(self.wires[name], request_bytes(headers, body.encode()))
            case [name, "answered", status, *body]:
                wire = self.wires[name]
                await until(lambda: wire.ended, lambda: f"no end, {wire.got!r}")
                assert wire.got.startswith(f"Status: {status} ".encode()), wire.got
                assert wire.got.endswith(b"\r\n\r\n" + " ".join(body).encode()) or not body, wire.got
                wire.got = b""
            case ["leave"]:
                self.program.leave()
                module = self.program.module
                await until(lambda: module.shutdown_deadline is not None, lambda: "notice was not handled")
            case ["up", name]:
                # Under full load, a health check between the greeting and the first sample got a negative
                # result, which is correct, as no run can start at that time.
                link = getattr(self.program, name).link_actor.life
                await until(lambda: link.state in (LinkState.UP, LinkState.PROBING), lambda: f"{link.state}")
            case ["down", name]:
                self.servers[name].close()
            case ["move", "registry"]:
                self.registry.close()
                await self.listen_for_beats()
            case ["move", name, "deaf" | "full" as how]:
                self.listen_silently(name, how == "full")
            case ["move", name]:
                self.servers[name].close()
                self.silent_listeners.pop(name, None)
                await self.listen(name)
            case ["reload", *key]:
                self.bad_key = " ".join(key)
                self.program.reload()
            case ["beat", *_]:
                text = line.partition(" ")[2]
                await until(lambda: text in self.beats, lambda: f"{self.beats[-3:]}")
            case [name, "=", "connect", kind]:
                program = self.program
                front = {"frames": program.frames, "scgi": program.scgi, "admin": program.admin}[kind]
                assert front is not None and front.server is not None
                address = front.server.sockets[0].getsockname()[:2]
                self.wires[name] = Wire(*await asyncio.open_connection(*address), False)
            case [name, "=", "accept", kind]:
                async with asyncio.timeout(HANG_S):
                    self.wires[name] = await self.links[kind].get()
            case [name, verb, *_]:
                await self.wire_step(self.wires[name], verb, line.split(maxsplit=2)[-1])

    async def wire_step(self, wire: Wire, verb: str, rest: str) -> None:
        if verb == ">":
            self.write(wire, bytes_of(rest))
        elif verb == "<":
            want = bytes_of(rest)
            await until(lambda: len(wire.got) >= len(want) or wire.ended, lambda: f"only {wire.got!r}")
            assert wire.got[: len(want)] == want, f"got {wire.got!r}"
            wire.got = wire.got[len(want) :]
        elif verb == "...":
            want = bytes_of(rest)
            await until(lambda: wire.got.endswith(want) or wire.ended, lambda: f"only {wire.got!r}")
            assert wire.got.endswith(want), f"got {wire.got!r}"
            wire.got = b""
        elif verb == "mute":
            wire.mute = True
        elif verb == "end":
            wire.writer.write_eof()
        elif verb == "reset":
            wire.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            wire.writer.transport.abort()
        elif verb == "break":
            wire.writer.transport.abort()
        elif verb == "closed":
            await until(lambda: wire.ended, lambda: f"still open, got {wire.got!r}")
        else:
            raise AssertionError(f"unknown step {verb}")


def run(work: Callable[[Stand], Awaitable[None]]) -> None:
    async def whole() -> None:
        stand = Stand()
        try:
            await work(stand)
        finally:
            await stand.close()

    asyncio.run(whole())


def play(path: Path) -> None:
    async def work(stand: Stand) -> None:
        await stand.open(admin=path.name.startswith("admin"))
        await stand.play(path.read_text())

    run(work)
