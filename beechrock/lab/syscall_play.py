"""One play of a platform node whose system calls are counted, and what has to hold in it.

Eight callers make requests and calls, repeat keyed ones, come as a crowd, and one writes more than a reader
takes; a silent connection ends, the link to the agent is lost with runs under way, a reload moves the ledger,
and a short notice ends the process with requests open.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field
from errno import EAGAIN, ENOBUFS, ENOMEM
from pathlib import Path
from typing import Any

from beechrock.lab.pair import SETTINGS
from beechrock.lab.syscall_node import SEAM_FAILED, NodeProcess, start_node
from beechrock.lab.syscall_peers import CALLING, LONG, Agent, Caller, Ledger, check, request
from beechrock.lab.syscall_seam import Fault

CALLERS, CROWD, FLOOD, FLOOD_PADDING = 8, 10, 400, 230
STOP_MS = 900
GAP_S = 0.004  # between two steps, so that the node has made the calls of one before the next
ANSWER_S = 4.0  # the classes give up after 1.5 s
QUIET_S = 2.0  # after which all must be as before the fault
READY_S, IDLE_S = 6.0, 6.0
PASSING = (EAGAIN, ENOBUFS, ENOMEM)
# Calls whose failure for good ends one connection, and may end no other.
CONNECTION_CALLS = ("recv", "send", "setsockopt", "shutdown", "accept")


class SweepError(Exception):
    """The sweep itself went wrong; nothing is known of the node."""


@dataclass
class Outcome:
    """What a play found."""

    calls: list[tuple[str, str]] = field(default_factory=list)  # method and role, in order
    failed: list[tuple[str, str]] = field(default_factory=list)  # those that were given the error
    broken: list[str] = field(default_factory=list)  # rules, in words
    quiet: dict[str, int] = field(default_factory=dict)  # the state at rest
    ended_at_start: str = ""  # the line with which a node gave up that could not start
    seconds: float = 0.0


class Play:
    """One run of the play; ``quiet``: the state at rest of a run without a fault."""

    def __init__(self, seed: int, fault: Fault | None, quiet: dict[str, int] | None) -> None:
        self.draw, self.fault, self.expected = random.Random(seed), fault, quiet
        self.found = Outcome()
        self.callers = [Caller(f"caller{number}") for number in range(CALLERS)]
        self.silent = Caller("silent")
        self.last = [Caller("late0"), Caller("late1")]
        self.listening = {name: _listening() for name in ("agent", "ledger", "ledger2")}
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.registry.bind(("127.0.0.1", 0))
        self.registry.setblocking(False)
        self.traces = 0
        self.stream = 0

    # --- the frame of a run

    def run(self, folder: Path) -> Outcome:
        """Play. Raises SweepError."""
        began = time.monotonic()
        self.config, self.log = folder / "config.json", folder / "log"
        self._configure("ledger")
        sockets = [c.sock for c in self._all()] + [*self.listening.values(), self.registry]
        roles = {sock.getsockname()[1]: name for name, sock in self.listening.items()}
        roles |= {caller.port: caller.name for caller in self._all()}
        roles[self.registry.getsockname()[1]] = "registry"
        node = start_node(str(self.config), str(self.log), roles, self.fault)
        try:
            asyncio.run(self._run(node))
        finally:
            self._kill(node)
            for sock in sockets:
                sock.close()
        self.found.seconds = time.monotonic() - began
        return self.found

    def _all(self) -> list[Caller]:
        return [*self.callers, self.silent, *self.last]

    def _configure(self, ledger: str) -> None:
        told: dict[str, Any] = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "1",
            "stop_ms": STOP_MS,
            "registry": f"127.0.0.1:{self.registry.getsockname()[1]}",
            "settings": SETTINGS,
        }
        for name, which in (("agent", "agent"), ("ledger", ledger)):
            told[name] = f"127.0.0.1:{self.listening[which].getsockname()[1]}"
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(told))
        new.replace(self.config)

    async def _run(self, node: NodeProcess) -> None:
        self.node, self.code = node, None
        self.states: asyncio.Queue[dict[str, int]] = asyncio.Queue()
        self.agent = Agent(self.listening["agent"])
        self.ledgers = [Ledger(self.listening[name]) for name in ("ledger", "ledger2")]
        await self.agent.start()
        for ledger in self.ledgers:
            await ledger.start()
        self.exited = asyncio.ensure_future(asyncio.to_thread(os.waitpid, node.pid, 0))
        reports = asyncio.ensure_future(self._read_reports())
        try:
            if await self._started():
                await self._serve()
                await self._rest()
                await self._leave()
        finally:  # a node that is still there would keep the wait for its end, and so this loop, for ever
            self._signal(signal.SIGKILL)
            await reports
        await self.exited
        self._judge()

    async def _read_reports(self) -> None:
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(self.node.reports, "rb")
        )
        while line := (await reader.readline()).decode():
            kind, _, rest = line.strip().partition(" ")
            if kind == "state":
                self.states.put_nowait(json.loads(rest))
            else:
                method, role = rest.split(" ")
                (self.found.calls if kind == "call" else self.found.failed).append((method, role))

    async def _started(self) -> bool:
        """Wait until the node serves. False: it has ended, which a fault at its start may cause."""
        until = time.monotonic() + READY_S
        while not (
            found := re.search(
                r"frames on 127\.0\.0\.1:(\d+)", self.log.read_text() if self.log.exists() else ""
            )
        ):
            if self.exited.done():
                self._judge_start()
                return False
            if time.monotonic() > until:
                self.found.broken.append(f"not started after {READY_S:g} s")
                return False
            await asyncio.sleep(0.01)
        self.address = ("127.0.0.1", int(found[1]))
        try:
            await asyncio.wait_for(self.agent.synced.wait(), READY_S)
        except TimeoutError:
            self.found.broken.append(f"no link to the agent after {READY_S:g} s")
        await asyncio.sleep(0.05)
        return True

    # --- the steps

    async def _connect(self, caller: Caller) -> None:
        try:
            await caller.connect(self.address)
        except OSError as error:
            self.found.broken.append(f"{caller.name}: could not connect: {error.strerror}")
        await asyncio.sleep(GAP_S)

    def _request(self, body: bytes, key: int | None = None) -> bytes:
        self.stream += 1
        self.traces += 1
        return request(self.stream, self.traces, time.time(), body, key)

    async def _answered(self, *callers: Caller) -> None:
        """Wait for all answers that are due; ``Caller.faults`` tells of what has not come."""
        tasks = [asyncio.ensure_future(caller.answered()) for caller in callers]
        _, late = await asyncio.wait(tasks, timeout=ANSWER_S)
        for task in late:
            task.cancel()

    async def _serve(self) -> None:
        for caller in (self.silent, *self.callers):
            await self._connect(caller)
        for number, caller in enumerate(self.callers):
            caller.ask(self._request(b"%s %d" % (CALLING if number % 2 else b"plain", number)))
            await self._answered(caller)
        await self._retry()
        await self._crowd()
        await self._lose_agent()
        await self._reload()
        for caller in self.callers:
            await caller.close()
        try:
            await asyncio.wait_for(self.silent.over.wait(), IDLE_S)
        except TimeoutError:
            self.found.broken.append(f"the silent connection is open after {IDLE_S:g} s")
        await self.silent.close()

    async def _retry(self) -> None:
        """Say keyed requests again: on the same and other connections, while they run and after."""
        first, second, *_ = self.draw.sample(self.callers, CALLERS)
        first.ask(self._request(LONG + b" keyed 1", 1))
        await asyncio.sleep(GAP_S)
        second.ask(self._request(LONG + b" keyed 1", 1))
        await self._answered(first, second)
        first.ask(self._request(LONG + b" keyed 1", 1))
        await self._answered(first)

    async def _crowd(self) -> None:
        for caller in self.callers:
            caller.ask(*(self._request(b"crowd") for _ in range(CROWD)))
        await self._answered(*self.callers)
        self.stream += FLOOD
        first = self.stream - FLOOD + 1
        self.callers[-1].ask(*(check(first + at, FLOOD_PADDING) for at in range(FLOOD)))
        await self._answered(self.callers[-1])

    async def _lose_agent(self) -> None:
        caller = self.draw.choice(self.callers)
        caller.ask(self._request(LONG + b" keyed 2", 2), self._request(LONG + b" plain"))
        await asyncio.sleep(0.05)
        self.agent.synced.clear()
        self.agent.cut()
        await self._answered(caller)

    async def _reload(self) -> None:
        self._configure("ledger2")
        self._signal(signal.SIGHUP)
        await asyncio.sleep(0.05)
        for caller in self.callers[:2]:
            caller.ask(self._request(CALLING + b" moved"))
            await self._answered(caller)

    async def _rest(self) -> None:
        """Wait until all is as before the fault."""
        for ledger in self.ledgers:
            ledger.end_links()
        until = time.monotonic() + QUIET_S
        while True:
            await asyncio.sleep(0.1)
            state = await self._state()
            told = {
                name: state.get(name, -1)
                for name in ("descriptors", "tasks", "requests", "runs", "connections")
            }
            if self.expected is not None and told == {name: self.expected[name] for name in told}:
                break
            if time.monotonic() > until:
                break
        self.found.quiet = state
        if self.expected is not None:
            for name, value in told.items():
                if value != self.expected[name]:
                    self.found.broken.append(
                        f"{name} {value} at rest, {self.expected[name]} without the fault"
                    )

    async def _state(self) -> dict[str, int]:
        try:
            os.write(self.node.questions, b"?")
            return await asyncio.wait_for(self.states.get(), 5.0)
        except (OSError, TimeoutError):
            self.found.broken.append("the node tells no state any more")
            return {}

    async def _leave(self) -> None:
        for caller in self.last:
            await self._connect(caller)
        self.last[0].ask(self._request(LONG + b" keyed 3", 3), self._request(b"plain last"))
        self.last[1].ask(self._request(CALLING + b" last"))
        await asyncio.sleep(0.03)
        if self.exited.done():
            self.found.broken.append("ended before the notice")
        self._signal(signal.SIGTERM)
        await asyncio.sleep(0.02)
        self.last[1].ask(self._request(b"after the notice"))
        await self._answered(*self.last)
        done, _ = await asyncio.wait([self.exited], timeout=STOP_MS / 1000 + 1.0)
        if not done:
            self.found.broken.append(f"still there {STOP_MS / 1000 + 1.0:g} s after the notice")
        for caller in self.last:
            await caller.close()

    # --- the judgement

    def _judge_start(self) -> None:
        """Judge a node that ended before it served: one line has to say what an operator can do."""
        lines = self.log.read_text().splitlines()
        code = os.waitstatus_to_exitcode(self.exited.result()[1])
        if code == SEAM_FAILED:
            raise SweepError(" / ".join(lines[-3:]))
        told = [line for line in lines if line.startswith("beechrock: ")]
        self.found.ended_at_start = told[0] if told else "nothing told"
        if code <= 0 or len(told) != 1 or any(line.startswith("Traceback") for line in lines):
            self.found.broken.append(f"ended at its start with code {code}: {' / '.join(lines[-3:])}")

    def _judge(self) -> None:
        for caller in self._all():
            if caller.writer is not None and not self._may_be_cut(caller):
                self.found.broken += caller.faults()
            elif any(count > 1 for count in caller.got.values()):
                self.found.broken.append(f"{caller.name}: answered twice")
        for body, traces in self.agent.launched.items():
            if b"keyed" in body and len(traces) > 1:
                self.found.broken.append(f"keyed work {body!r} ran {len(traces)} times")
        if self.exited.done() and not self.found.ended_at_start:
            code = os.waitstatus_to_exitcode(self.exited.result()[1])
            if code == SEAM_FAILED:
                raise SweepError(self.log.read_text()[-1000:])
            if code:
                self.found.broken.append(
                    f"exit code {code}: {' / '.join(self.log.read_text().splitlines()[-3:])}"
                )

    def _may_be_cut(self, caller: Caller) -> bool:
        """Whether the fault ends this connection by its nature: it is not a lack that passes."""
        if self.fault is None or self.fault.error in PASSING:
            return False
        return any(m in CONNECTION_CALLS and role == caller.name for m, role in self.found.failed)

    def _signal(self, number: signal.Signals) -> None:
        if not self.exited.done():
            os.kill(self.node.pid, number)

    def _kill(self, node: NodeProcess) -> None:
        os.close(node.questions)
        try:
            if os.waitpid(node.pid, os.WNOHANG)[0] == 0:
                os.kill(node.pid, signal.SIGKILL)
                os.waitpid(node.pid, 0)
        except ChildProcessError:
            pass


def _listening() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0))


def play(seed: int, fault: Fault | None, quiet: dict[str, int] | None) -> Outcome:
    """Play once. Raises SweepError where the sweep itself is at fault."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            found = Play(seed, fault, quiet).run(Path(folder))
        except SweepError:
            raise
        except Exception as error:
            raise SweepError(f"{type(error).__name__}: {error}") from error
    return found
