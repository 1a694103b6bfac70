"""Processes of one node on a socket held for them, a stand-in farm, and callers: on loopback."""

import asyncio
import heapq
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import ujson

from beechrock.lab.errors import NotStartedError
from beechrock.net.frame_codec import (
    ANSWER,
    CHECK,
    HEAD,
    NO_MORE,
    REQUEST,
    SERVED,
    decode_fields,
    encode_fields,
    encode_frame,
)

CORES, WORK_S = 4, 0.02
WAIT_S = 30.0  # only a process that does nothing at all takes so long
SETTINGS: dict[str, Any] = {
    "extra": {
        "cpus": CORES,
        "memLimitKb": 60_000.0,
        "runFactor": 16.0,
        "keyKb": 20.0,
        "callers": 3,
        "ownStats": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "stopMode": "freeze",
        "say": "floor",
    },
    "grades": [
        {"name": "resolve", "promiseS": 0.4, "giveUpS": 1.5, "effect": "safe"},
        {"name": "submit", "promiseS": 0.4, "giveUpS": 1.2, "effect": "keyed", "windowS": 3.0},
    ],
    "guarantees": {"fallMultiple": 5.0, "overloadForS": 3.0, "answerSlackS": 0.06, "drainGraceS": 2.0},
    "limits": {"maxRetryAfterS": 0.3},
    "tickS": 0.004,
}


class FarmAddress:
    """What the farm keeps for one process: the notices, which a new link asks for again, and that link."""

    def __init__(self) -> None:
        self.notices: list[bytes] = []
        self.link: asyncio.StreamWriter | None = None


class Farm:
    """Stands in for the farm agent: one set of cores, an address and a numbering for each process."""

    def __init__(self, seed: int, work_s: float = WORK_S) -> None:
        """``work_s``: the mean time of a run."""
        self.draw = random.Random(seed)
        self.work_s = work_s
        self.launched: Counter[bytes] = Counter()
        self.tries: dict[bytes, set[str]] = {}  # of each body: the traces of the tries that were launched
        self.free = [0.0] * CORES
        self.servers: list[asyncio.Server] = []

    async def address(self) -> str:
        address = FarmAddress()
        self.servers.append(await asyncio.start_server(partial(self._serve, address), "127.0.0.1", 0))
        return "{}:{}".format(*self.servers[-1].sockets[0].getsockname())

    async def _serve(
        self,
        address: FarmAddress,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        address.link = writer
        try:
            while line := await reader.readline():
                match line.split():
                    case [b"subscribe", last]:
                        writer.write(b"greeting LOADED 99000\r\n" + b"".join(address.notices[int(last) :]))
                    case [b"sample", tag]:
                        writer.write(b"sampled " + tag + b" 0.9 3 0.1 3\r\n")
                    case [b"launch", ident, _, size]:
                        body = await reader.readexactly(int(size) + 2)
                        self._run(ident, body[:-2], address)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _run(self, ident: bytes, body: bytes, address: FarmAddress) -> None:
        # Seen beside full load: a node whose link fell silent says its launches again on the next one.
        if ident.decode() in self.tries.get(body, ()):
            return
        self.launched[body] += 1
        self.tries.setdefault(body, set()).add(ident.decode())
        work, now = self.draw.expovariate(1 / self.work_s), time.monotonic()
        end = max(now, heapq.heappop(self.free)) + work
        heapq.heappush(self.free, end)

        def over() -> None:
            address.notices.append(
                b"outcome %d %s PASS %d %d\r\n%s\r\n"
                % (len(address.notices) + 1, ident, 1000 * work, len(body) + 4, b"did " + body)
            )
            if address.link is not None:
                address.link.write(address.notices[-1])

        asyncio.get_running_loop().call_later(end - now, over)


class Callers:
    """Front ends that keep to the protocol: no new request after type 6, then another connection."""

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self.address, self.draw = address, random.Random(seed)
        self.ends: Counter[str] = Counter()  # of tries: served, refused, failed, lost, wrong, twice
        self.refused_connections = 0
        # When each try was sent, whether it was keyed, and seconds to its answer.
        self.took: list[tuple[float, bool, float]] = []
        self.numbers = 0
        self.born: dict[str, float] = {}  # by trace, as each try told it

    async def load(
        self,
        rate_per_s: float,
        seconds: float,
        connections: int = 8,
        again: float = 0.3,
        within_s: float = 1.0,
    ) -> None:
        """Requests at this rate; a part of the keyed ones is tried again, on any connection."""
        links = [Link(self) for _ in range(connections)]
        until, sent = time.monotonic() + seconds, []
        while time.monotonic() < until:
            self.numbers += 1
            keyed = self.draw.random() < 0.6
            sent.append(asyncio.ensure_future(self.draw.choice(links).ask(self.numbers, keyed)))
            if keyed and self.draw.random() < again:
                sent.append(
                    asyncio.ensure_future(
                        self._later(self.draw.choice(links), self.numbers, self.draw.uniform(0, within_s))
                    )
                )
            await asyncio.sleep(self.draw.expovariate(rate_per_s))
        await asyncio.gather(*sent)
        for link in links:
            link.close()

    async def _later(self, link: "Link", number: int, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await link.ask(number, True)


class Link:
    """One front end's connection, made anew when it is told to send no more there."""

    def __init__(self, callers: Callers) -> None:
        self.callers = callers
        self.writer: asyncio.StreamWriter | None = None
        self.open: dict[int, asyncio.Future[bytes]] = {}
        self.streams = 0
        self.making = asyncio.Lock()

    async def ask(self, number: int, keyed: bool) -> None:
        async with self.making:
            try:
                if self.writer is None:
                    await self._connect()
            except OSError:
                self.callers.refused_connections += 1
                return
            writer, self.streams = self.writer, self.streams + 1
            assert writer is not None
            stream, body = self.streams, b"key %d" % number
            told = {
                "route": "submit" if keyed else "resolve",
                "trace": f"{random.getrandbits(64):016x}",
                "born": str(int(1000 * time.time())),
                "client": "1",
                "size": "20",
                "order": "0.5",
            }
            self.callers.born[told["trace"]] = int(told["born"]) / 1000
            if keyed:
                told["nonce"] = f"{number:032x}"
            self.open[stream] = waiting = asyncio.get_running_loop().create_future()
            start = time.monotonic()
            writer.write(encode_frame(REQUEST, stream, encode_fields(told) + body))
        try:
            payload = await asyncio.wait_for(waiting, WAIT_S)
        except (TimeoutError, ConnectionError):
            self.callers.ends["lost"] += 1
            return
        self.callers.took.append((start, keyed, time.monotonic() - start))
        _, result = decode_fields(payload[1:])
        if payload[0] == SERVED:
            self.callers.ends["served" if result == b"did " + body else "wrong"] += 1
        else:
            self.callers.ends["refused" if payload[0] == 8 else "failed"] += 1

    async def _connect(self) -> None:
        reader, writer = await asyncio.open_connection(*self.callers.address)
        self.writer, self.open, self.streams = writer, {}, 0
        self.reading = asyncio.ensure_future(self._read(reader, writer, self.open))

    async def _read(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        waiting: dict[int, "asyncio.Future[bytes]"],
    ) -> None:
        ending = False
        try:
            while not (ending and not waiting):
                length, kind, stream = HEAD.unpack(await reader.readexactly(HEAD.size))
                payload = await reader.readexactly(length - 5)
                if kind == NO_MORE:
                    ending = True
                    if self.writer is writer:
                        self.writer = None
                elif kind == ANSWER and stream in waiting:
                    waiting.pop(stream).set_result(payload)
                elif kind == ANSWER:
                    self.callers.ends["twice"] += 1
        except (OSError, asyncio.IncompleteReadError):
            pass
        if self.writer is writer:
            self.writer = None
        writer.close()
        for future in waiting.values():
            if not future.done():
                future.set_exception(ConnectionError())

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


class Process:
    """One process of the node, started as the platform does; without ``shared`` by a socket of its own."""

    def __init__(
        self, folder: Path, shared: socket.socket | None, agent: str, root: Path, **more: Any
    ) -> None:
        self.log = folder / f"log-{time.time_ns()}"
        config = folder / f"config-{time.time_ns()}.json"
        config.write_text(
            ujson.dumps(
                {
                    "name": "n1",
                    "listen": "{}:{}".format(*shared.getsockname()) if shared else "127.0.0.1:0",
                    "agent": agent,
                    "stop_ms": 3700,
                    "admin_addr": "127.0.0.1:0",
                    "settings": SETTINGS,
                    **more,
                }
            )
        )
        inherited = {"LB_LISTEN_FD": str(shared.fileno())} if shared else {}
        with self.log.open("wb") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "beechrock"],
                stderr=out,
                cwd=root,
                pass_fds=[int(fd) for fd in inherited.values()],
                env={
                    **os.environ,
                    "LB_CONFIG": str(config),
                    **inherited,
                    "TMPDIR": str(folder),
                    "LB_SCGI": str(folder / "none"),
                },
            )
        self.started = time.monotonic()

    async def logged(self, pattern: str) -> "re.Match[str]":
        while not (found := re.search(pattern, self.log.read_text())):
            if self.popen.poll() is not None or time.monotonic() - self.started > WAIT_S:
                raise NotStartedError(self.log.read_text(), where=str(self.log))
            await asyncio.sleep(0.005)
        return found

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """At the second address: the status and the body."""
        found = await self.logged(r"second address 127\.0\.0\.1:(\d+)")
        reader, writer = await asyncio.open_connection("127.0.0.1", int(found[1]))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n".encode())
        head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body.decode()

    async def yes(self) -> float:
        """Seconds from the start until it says that it can serve."""
        while (await self.call("GET", "/healthcheck"))[0] != 200:
            await asyncio.sleep(0.01)
        return time.monotonic() - self.started

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Its exit code, or minus the signal that ended it."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)
        return await asyncio.to_thread(self.popen.wait, WAIT_S)

    def memory_mb(self) -> float:
        """Memory of its own: what it shares with others, as the interpreter's files, is not counted."""
        told = Path(f"/proc/{self.popen.pid}/smaps_rollup").read_text()
        return sum(int(kb) for kb in re.findall(r"Private_(?:Clean|Dirty):\s+(\d+)", told)) / 1024

    def counters(self) -> dict[str, float]:
        """As it printed them at its end."""
        told = re.findall(r"counters: (.*)", self.log.read_text())
        return {
            name: float(value)
            for name, value in (part.rsplit(" ", 1) for part in (told[-1].split(", ") if told else ()))
        }


async def check(address: tuple[str, int]) -> bool:
    """A health check of the platform's kind, on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(encode_frame(CHECK, 1, encode_fields({})))
    length, _, _ = HEAD.unpack(await reader.readexactly(HEAD.size))
    payload = await reader.readexactly(length - 5)
    writer.close()
    return payload[0] == 0
