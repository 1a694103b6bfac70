"""Overload and rolling deploy on loopback, over frames or SCGI, with stand-in callers and servers.

A driven clock advances in steps. Each step waits until all bytes that it causes have arrived, so that the
result depends only on the nodes' decisions.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from play import inventory_of

from beechrock.config import Config, Scgi
from beechrock.core.requests import ShutdownRequested
from beechrock.net.frame_codec import decode_fields, encode_fields, encode_frame
from beechrock.net.scgi import REQUEST_OVERHEAD_KB
from beechrock.net.scgi_codec import decode_headers, request_bytes
from beechrock.program import Program
from beechrock.settings import settings_from

START = 1_700_000_000.0  # time of the driven clock at the start
STEP_S = 0.05  # of the driven clock
CORES = 2  # of each server
STOP_S = 3.4  # from the notice to leave to the kill
HANG_S = 30.0  # longest wait for one condition, in real seconds
AIM_S, DUE_S = 1.4, 3.6  # latency objective and deadline of all contracts


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(HANG_S):  # reached only if a node does nothing at all
        while not condition():
            await asyncio.sleep(0)


@dataclass(slots=True)
class Request:
    """One request, with all its attempts."""

    number: int
    created_at: float
    route: str
    work_s: float
    attempts: int = 0
    sent: int = 0  # attempts and second copies sent so far
    served_at: float | None = None  # time of its first result
    body: bytes = b""

    @property
    def key(self) -> str:
        return f"{self.number:032x}"


class Server:
    """SCGI server with CORES cores, whose runs end as the driven clock reaches their end."""

    def __init__(self) -> None:
        self.runs_by_key: dict[str, int] = {}
        self.arrived = 0  # runs received so far
        # Runs that are not started: request number, work in seconds, connection.
        self.queued: list[tuple[int, float, asyncio.StreamWriter]] = []
        # Started runs: end time, request number, connection.
        self.running: list[tuple[float, int, asyncio.StreamWriter]] = []
        self.core_free_at = [START] * CORES

    async def start(self) -> str:
        self.listener = await asyncio.start_server(self._run, "127.0.0.1", 0)
        return f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        size = int((await reader.readuntil(b":"))[:-1])
        headers = decode_headers((await reader.readexactly(size + 1))[:-1])
        number, work_s = (await reader.readexactly(int(headers["CONTENT_LENGTH"]))).split(b" ")
        if key := headers.get("HTTP_IDEMPOTENCY_KEY"):
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.queued.append((int(number), float(work_s), writer))
        self.arrived += 1

    def step(self, now: float) -> int:
        """Start queued runs and end those that are due; return the number of runs ended."""
        for number, work_s, writer in sorted(self.queued, key=lambda run: run[0]):
            core = min(range(CORES), key=lambda c: self.core_free_at[c])
            self.core_free_at[core] = max(now, self.core_free_at[core]) + work_s
            self.running.append((self.core_free_at[core], number, writer))
        self.queued.clear()
        done = sorted(run[:2] for run in self.running if run[0] <= now)
        for end, number, writer in self.running:
            if end <= now:
                writer.write(b"Status: 200 OK\r\n\r\nresult %d" % number)
                writer.close()
        self.running = [run for run in self.running if run[0] > now]
        return len(done)


class Node:
    """One node with a server of its own; the scenario runs the batches of its module."""

    async def start(self, clock: Callable[[], float], cold: bool) -> "Node":
        self.server = Server()
        address = await self.server.start()
        contract = {
            "aim_ms": 1000 * AIM_S,
            "due_ms": 1000 * DUE_S,
            "team": "releases",
            "share": 0.5,
            "rate": 500,
        }
        inventory = inventory_of(
            {"cores": CORES, "memory_mb": 60, "max_retry_after_ms": 1000},
            {
                "teams": {"releases": {}},
                "services": {"resolve": {"upstreams": [address]}, "submit": {"upstreams": [address]}},
                "contracts": {
                    "r": {**contract, "service": "resolve", "effect": "safe"},
                    "s": {
                        **contract,
                        "service": "submit",
                        "effect": "keyed",
                        "window_ms": 10_677,
                        "worth": 2,
                    },
                },
            },
        )
        guarantees = {"fallMultiple": 5.0, "rampTimeS": 18.0, "coldFrom": 0.3, "drainGraceS": 2.0}
        described = inventory.meaning.settings
        settings, _ = settings_from(
            {
                **described,
                "guarantees": guarantees,
                "tickS": 0.004,
                "extra": {**described["extra"], "runFactor": 16.0, "keyKb": 20.0, "freshStart": cold},
            }
        )
        self.program = Program(
            Config(
                name="n",
                listen=("127.0.0.1", 0),
                agent=None,
                ledger=None,
                registry=None,
                seed=1,
                stop_s=STOP_S,
                memory_mb=192.0,
                sockets=1024,
                settings=settings,
                gauges=(),
                scgi=Scgi(("127.0.0.1", 0), Path("none"), inventory, watch_s=1e6),
            ),
            clock,
            unix_clock=clock,
        )
        self.module = self.program.module
        await self.program.listen()
        self.received = self.ended = 0  # answers that callers have read; runs that the server has ended
        self.stop_at: float | None = None  # time of the kill, after the notice to leave
        self.frames: FrameConnection | None = None
        return self

    def port(self, front: str) -> int:
        found = self.program.frames if front == "frames" else self.program.scgi
        assert found is not None and found.server is not None
        return int(found.server.sockets[0].getsockname()[1])

    async def tick(self, now: float) -> None:
        """Run one batch of the module, and wait until all that it sends has arrived."""
        self.module.tick(now)
        counters = self.module.counters
        await until(lambda: self.server.arrived == counters["sent.launches"])
        await until(
            lambda: self.received == sum(counters[f"answered.{v}"] for v in ("served", "refused", "failed"))
        )

    async def end_runs(self, now: float) -> None:
        work = self.module.ports.work
        self.ended += self.server.step(now)
        await until(lambda: len(work.runs) == self.server.arrived - self.ended)  # type: ignore[union-attr]

    async def close(self) -> None:
        self.program.close()
        self.server.listener.close()
        if self.frames is not None:
            self.frames.writer.close()


@dataclass(slots=True)
class Answer:
    """An answer as the caller reads it, over either protocol."""

    verdict: str
    body: bytes = b""
    retry_after_s: float = 0.0
    no_retry: bool = False


class FrameConnection:
    """A caller's connection over frames; callers open a new one once 32 requests are open on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.stream, self.open = 0, dict[int, Callable[[Answer], None]]()
        self.task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        while True:
            try:
                data = await self.reader.readexactly(int.from_bytes(await self.reader.readexactly(4), "big"))
            except asyncio.IncompleteReadError:
                return
            if data[0] == 2:
                answer_fields, body = decode_fields(data[6:])
                answer = Answer(
                    {0: "served", 8: "refused", 13: "failed"}[data[5]],
                    body,
                    float(answer_fields.get("pause", 0)) / 1000,
                    answer_fields.get("terminal") == "1",
                )
                self.open.pop(int.from_bytes(data[1:5], "big"))(answer)


async def send_frames(node: Node, request: Request, now: float, on_answer: Callable[[Answer], None]) -> None:
    if node.frames is None or len(node.frames.open) >= 32:
        node.frames = FrameConnection(*await asyncio.open_connection("127.0.0.1", node.port("frames")))
    link = node.frames
    link.stream += 1
    header = {
        "route": request.route,
        "trace": f"{request.number:08x}{request.attempts:04x}{request.sent:04x}",
        "client": "1",
        "born": f"{1000 * now:.0f}",
        "size": f"{REQUEST_OVERHEAD_KB + len(request.body) / 1024}",
        "order": "0.5",
    }
    header |= {"nonce": request.key} if request.route == "submit" else {}
    header |= {"redo": "1"} if request.attempts > 1 else {}
    link.open[link.stream] = on_answer
    link.writer.write(encode_frame(1, link.stream, encode_fields(header) + request.body))


async def send_scgi(node: Node, request: Request, now: float, on_answer: Callable[[Answer], None]) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port("scgi"))
    headers = {"HTTP_X_ROUTE": request.route, "HTTP_X_TEAM": "releases"}
    headers |= {"HTTP_IDEMPOTENCY_KEY": request.key} if request.route == "submit" else {}
    headers |= {"HTTP_X_RETRY": "1"} if request.attempts > 1 else {}
    writer.write(request_bytes(headers, request.body))

    async def read() -> None:
        head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
        lines = dict(line.split(": ", 1) for line in head.decode().split("\r\n"))
        verdict = {"200": "served", "503": "refused", "500": "failed"}[lines["Status"][:3]]
        retry_after_s = float(lines.get("X-Retry-After-Ms", 0)) / 1000
        on_answer(Answer(verdict, body, retry_after_s, lines.get("X-Retry-Elsewhere") == "no"))
        writer.close()

    tasks.add(task := asyncio.get_running_loop().create_task(read()))
    task.add_done_callback(tasks.discard)


tasks: set["asyncio.Task[None]"] = set()
SENDERS = {"frames": send_frames, "scgi": send_scgi}


@dataclass
class Result:
    service: float = 0.0  # share of the requests' value that was served within AIM_S
    double_runs: int = 0  # keys that ran more than once on a server
    refused: int = 0  # answers that refused an attempt or copy
    repeats: int = 0  # second copies sent
    # Answers in order of time: seconds since the start, request number, verdict.
    answers: list[tuple[float, int, str]] = field(default_factory=list)


async def scenario(front: str, nodes: int, rate: float, seconds: float, deploy: bool) -> Result:
    """Send requests to the nodes in turn, each up to three times, with a second copy of some submits."""
    now, rng, result = START, random.Random(7), Result()

    def clock() -> float:
        return now

    fleet = [await Node().start(clock, cold=False) for _ in range(nodes)]
    stopped: list[Node] = []
    requests: list[Request] = []
    for number in range(int(rate * seconds)):
        route = "submit" if rng.random() < 0.44 else "resolve"
        work_s = rng.uniform(0.28, 0.5) if route == "submit" else rng.uniform(0.17, 0.29)
        request = Request(number, START + number / rate, route, work_s)
        request.body = b"%d %.3f" % (number, work_s)
        requests.append(request)
    # Attempts to make: time, request number, index of the node (0: by the request's number).
    scheduled = [(request.created_at, request.number, 0) for request in requests]

    async def send(request: Request, index: int) -> None:
        node = fleet[index % len(fleet)]

        def on_answer(answer: Answer) -> None:
            node.received += 1
            result.answers.append((round(now - START, 3), request.number, answer.verdict))
            result.refused += answer.verdict == "refused"
            if answer.verdict == "served":
                assert answer.body == b"result %d" % request.number
                request.served_at = request.served_at or now
            elif answer.verdict == "refused" and not answer.no_retry and request.attempts < 3:
                scheduled.append((now + max(answer.retry_after_s, STEP_S), request.number, index + 1))

        before = len(node.module.mailbox)
        await SENDERS[front](node, request, now, on_answer)
        await until(lambda: len(node.module.mailbox) > before)
        request.sent += 1

    steps = int((seconds + 8) / STEP_S)
    for step in range(steps):
        now = START + step * STEP_S
        for node in fleet:
            await node.end_runs(now)
        due = sorted(entry for entry in scheduled if entry[0] <= now)
        scheduled = [entry for entry in scheduled if entry[0] > now]
        for _, number, index in due:
            request = requests[number]
            request.attempts += 1
            await send(request, index or number)
            if request.route == "submit" and number % 10 == 0 and request.attempts == 1:
                result.repeats += 1  # a second copy, to the same node
                await send(request, index or number)
        for index, node in enumerate(fleet):
            if deploy and node.stop_at is None and now >= START + 2 + 3 * index and index >= len(stopped):
                node.stop_at = now + STOP_S
                node.module.post(ShutdownRequested(STOP_S))
            await node.tick(now)
            if node.stop_at is not None and now >= node.stop_at - STEP_S:
                assert node.module.table.open == 0, "stopped while requests were unanswered"
                stopped.append(node)
                fleet[index] = await Node().start(clock, cold=True)
    for node in fleet + stopped:
        assert node.module.table.open == 0
        assert not [line for line in node.module.counters.lines() if line.startswith("trouble.")]
        result.double_runs += sum(runs > 1 for runs in node.server.runs_by_key.values())
        await node.close()
    worth = {"resolve": 1.0, "submit": 2.0}
    in_time = sum(
        worth[r.route] for r in requests if r.served_at is not None and r.served_at - r.created_at <= AIM_S
    )
    result.service = in_time / sum(worth[r.route] for r in requests)
    result.answers.sort()
    return result
