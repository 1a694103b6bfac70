"""The render farm agent: runs requests in phases, with calls between them."""

import asyncio
import contextlib
import hashlib
import random
import time
from collections import deque
from dataclasses import dataclass, field

from standin_record import Record

KEPT_NOTICES = 4000


@dataclass(slots=True, eq=False)
class Run:
    """One run at the agent."""

    trace: str
    klass: str
    body: bytes
    began: float
    calls: list[bytes] = field(default_factory=list)  # bodies of its calls so far
    replies: list[bytes | None] = field(default_factory=list)
    waits: asyncio.Future[bytes | None] | None = None
    mark: int = 0  # notice number of the call that it waits for
    frozen: bool = False
    task: "asyncio.Task[None] | None" = None


def result_of(trace: str, body: bytes, replies: list[bytes | None]) -> bytes:
    """Return the result of a run: it shows whose run it was, and which replies it got."""
    text = b"|".join(reply or b"-" for reply in replies)
    return f"{trace} {hashlib.sha256(body + text).hexdigest()} {len(replies)}".encode()


def reply_for(body: bytes) -> bytes:
    """Return the reply of the ledger to a call with this body."""
    return b"reply to " + body


class Agent:
    """One agent for one process of a node; it goes on when its address moves."""

    def __init__(self, record: Record, rng: random.Random, name: str) -> None:
        self.record, self.rng, self.name = record, rng, name
        self.born = time.monotonic()
        self.notices: deque[tuple[int, bytes]] = deque(maxlen=KEPT_NOTICES)
        self.number = 0
        self.writer: asyncio.StreamWriter | None = None
        self.runs: dict[str, Run] = {}
        self.over: dict[str, bytes | None] = {}  # ended runs and their results
        self.started: dict[str, float] = {}  # Unix time of each launch that began a run
        self.known: dict[str, tuple[str, bytes]] = {}  # class and body of each request, as written
        self.calls_of = {"resolve": [1.0], "submit": [0.0, 1.0]}
        self.phase_s = (0.02, 0.06)
        self.server: asyncio.Server | None = None
        self.outgoing = bytearray()
        self.address = ""
        self.pieces_s = 0.0  # pause between the two pieces of what is written at once; 0: all in one
        self.delivered: dict[tuple[str, int], float] = {}  # when the reply to a call of a run was first read
        self.broken_at = 0.0  # when the last link ended
        self.cores: asyncio.Semaphore | None = None

    async def listen(self) -> str:
        """Listen at a new address; an earlier one accepts nothing any more."""
        if self.server is not None:
            self.server.close()
            self.broken_at = time.time()
            old = self.writer
            if old is not None:
                asyncio.get_running_loop().call_later(1.5, old.transport.abort)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        mine = False
        try:
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words and words[0] in ("launch", "deliver"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if words[0] == "subscribe":
                    self._subscribe(writer, int(words[1]))
                    mine = True
                elif not mine or self.writer is not writer:
                    break
                elif not self._command(words, body):
                    self.record.note(self.name, "no command:", line)
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError, asyncio.CancelledError):
            pass
        finally:
            if self.writer is writer:
                self.writer = None
            with contextlib.suppress(OSError):
                writer.close()

    def _subscribe(self, writer: asyncio.StreamWriter, last: int) -> None:
        if self.writer is not None and self.writer is not writer:
            self.writer.close()
        self.writer = writer
        self.outgoing = bytearray()
        age = int((time.monotonic() - self.born) * 1000)
        self._say(f"greeting LOADED {age}\r\n".encode())
        for number, line in self.notices:
            if number > last:
                self._say(line)

    def _say(self, data: bytes) -> None:
        if self.writer is None or self.writer.transport.is_closing():
            return
        if not self.pieces_s:
            self.writer.write(data)
            return
        if not self.outgoing:
            asyncio.get_running_loop().create_task(self._write_pieces(self.writer, self.outgoing))
        self.outgoing += data

    async def _write_pieces(self, writer: asyncio.StreamWriter, outgoing: bytearray) -> None:
        """Write all that is to be said, cut somewhere, with a pause between the pieces."""
        while outgoing and not writer.transport.is_closing():
            await asyncio.sleep(0)
            cut = self.rng.randint(1, len(outgoing))
            writer.write(bytes(outgoing[:cut]))
            await asyncio.sleep(self.pieces_s)
            del outgoing[:cut]

    def _notice(self, kind: str, rest: str, body: bytes | None) -> int:
        self.number += 1
        line = f"{kind} {self.number} {rest}"
        data = (
            line.encode() + b"\r\n" if body is None else f"{line} {len(body)}\r\n".encode() + body + b"\r\n"
        )
        self.notices.append((self.number, data))
        self._say(data)
        return self.number

    def _command(self, words: list[str], body: bytes) -> bool:
        match words:
            case ["launch", trace, klass, _]:
                self._launch(trace, klass, body)
            case ["deliver", trace, _]:
                self._deliver(trace, body)
            case ["forgo", trace, mark]:
                run = self.runs.get(trace)
                if (
                    run is not None
                    and run.waits is not None
                    and run.mark == int(mark)
                    and not run.waits.done()
                ):
                    run.waits.set_result(None)
            case ["freeze", trace]:
                self._end(trace, "KILLED")
            case ["thaw", _]:
                pass
            case ["sample", tag]:
                busy = min(1.0, len(self.runs) / 6)
                self._say(f"sampled {tag} {busy} {max(0, len(self.runs) - 6)} 0 0\r\n".encode())
            case ["exercise", tag]:
                self._say(f"exercised {tag} PASS\r\n".encode())
            case _:
                return False
        return True

    def _launch(self, trace: str, klass: str, body: bytes) -> None:
        self.record.note(self.name, "launch", trace, klass, len(body))
        if self.known.get(trace) != (klass, body):
            self.record.breach("lost", "class or body changed on the way:", trace)
            self._say(f"refusal launch {trace}\r\n".encode())
            return
        if trace in self.runs:
            return
        if trace in self.over:
            self._notice("outcome", f"{trace} NOOP 0", None)
            return
        run = self.runs[trace] = Run(trace, klass, body, time.time())
        self.started[trace] = run.began
        self.record.count("runs")
        run.task = asyncio.get_running_loop().create_task(self._work(run))

    def _deliver(self, trace: str, body: bytes) -> None:
        run = self.runs.get(trace)
        if run is None or run.waits is None or run.waits.done():
            self.record.note(self.name, "deliver", trace, "while no call waits")
            self.record.count("delivers while no call waits")
            return
        expected = reply_for(run.calls[-1])
        if body == expected:
            self.delivered[trace, len(run.calls)] = time.time()
        else:
            before = self.broken_at - self.delivered.get((trace, len(run.calls) - 1), time.time())
            self.record.breach(
                "lost",
                f"run {trace}, call {len(run.calls)}: was delivered {body!r} in place of {expected!r};",
                f"the agent had read that reply already, {before:.3f} s before the link ended",
            )
        run.waits.set_result(body)

    async def _work(self, run: Run) -> None:
        count = sum(self.rng.random() < p for p in self.calls_of.get(run.klass, []))
        for place in range(count):
            await self._phase()
            body = f"call {place + 1} of {run.trace}".encode()
            run.calls.append(body)
            run.waits = asyncio.get_running_loop().create_future()
            run.mark = self._notice("request", run.trace, body)
            reply = await run.waits
            run.waits = None
            run.replies.append(reply)
        await self._phase()
        self._end(run.trace, "PASS")

    async def _phase(self) -> None:
        """Take one part of a run's work."""
        async with self.cores or contextlib.nullcontext():
            await asyncio.sleep(self.rng.uniform(*self.phase_s))

    def _end(self, trace: str, end: str) -> None:
        run = self.runs.pop(trace, None)
        if run is None:
            return
        ms = int((time.time() - run.began) * 1000)
        result = result_of(trace, run.body, run.replies) if end == "PASS" else None
        self.over[trace] = result
        self.record.note(self.name, "run over", trace, end)
        self._notice("outcome", f"{trace} {end} {ms}", result)
        if run.task is not None and run.task is not asyncio.current_task():
            run.task.cancel()


class Ledger:
    """The ledger: answers each call after a while."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self.record, self.rng = record, rng
        self.took_s = (0.005, 0.03)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> str:
        """Listen at a new address; open connections to an earlier one end after 1.5 s."""
        if self.server is not None:
            self.server.close()
            for writer in list(self.writers):
                asyncio.get_running_loop().call_later(1.5, writer.transport.abort)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "post":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    tasks[words[1]] = asyncio.get_running_loop().create_task(
                        self._answer(writer, words[1], body)
                    )
                elif words[0] == "abandon" and words[1] in tasks:
                    tasks.pop(words[1]).cancel()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            for task in tasks.values():
                task.cancel()
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, trace: str, body: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(*self.took_s))
        if writer.transport.is_closing():
            return
        reply = reply_for(body)
        writer.write(f"{trace} posted {len(reply)}\r\n".encode() + reply + b"\r\n")
