"""Front ends: send requests over the platform's frames, and check the answers."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import standin_frames as frames
from standin_record import Record

CROSSING_S = 0.05  # a request written this shortly before a close is sent once more


@dataclass(slots=True, eq=False)
class Try:
    """One try of a request."""

    trace: str
    klass: str
    body: bytes
    nonce: str | None
    give_up_s: float
    kb: float = 20.0
    written: float = 0.0
    answers: list[tuple[float, frames.Reply]] = field(default_factory=list)
    excused: str = ""  # why no answer is owed
    resent: bool = False


class Connection:
    """One connection of a front end."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.stream = 0
        self.open: dict[int, Try] = {}
        self.no_more = self.ended = False
        self.task: asyncio.Task[None] | None = None


class FrontEnd:
    """One front end with its connections to one node."""

    def __init__(self, record: Record, rng: random.Random, number: int, address: tuple[str, int]) -> None:
        self.record, self.rng, self.number, self.address = record, rng, number, address
        self.connections: list[Connection] = []
        self.tries: list[Try] = []
        self.most = 4
        self.on_write: Callable[[Try], None] = lambda one: None

    def new_try(self, klass: str, give_up_s: float, body: bytes, nonce: str | None = None) -> Try:
        """Make one try of a request, with a trace of its own."""
        one = Try(f"{self.rng.getrandbits(64):016x}", klass, body, nonce, give_up_s)
        self.tries.append(one)
        return one

    async def send(self, one: Try) -> None:
        """Write a try to a connection of this front end."""
        link = await self.connect()
        if link is None:
            one.excused = "no connection"
            self.record.note("front", self.number, "no connection for", one.trace)
            return
        data = self._frame(link, one)
        self.on_write(one)
        link.writer.write(data)
        one.written = time.time()
        self.record.count("tries")
        self.record.note("front", self.number, "wrote", one.trace, one.klass, one.nonce or "-")

    async def prepare(self, tries: list[Try]) -> Callable[[], None]:
        """Return a function that writes several tries at once, to one connection."""
        link = await self.connect()
        if link is None:
            raise RuntimeError("no connection")
        for one in tries:
            self.on_write(one)
        data = b"".join(self._frame(link, one) for one in tries)

        def write() -> None:
            link.writer.write(data)
            for one in tries:
                one.written = time.time()

        return write

    def note_written(self, tries: list[Try]) -> None:
        """Note the tries that such a function has written."""
        for one in tries:
            self.record.count("tries")
            self.record.note("front", self.number, "wrote", one.trace, one.klass, f"at {one.written:.4f}")

    def _frame(self, link: Connection, one: Try) -> bytes:
        """Return the frame of a try on a new stream of a connection."""
        link.stream += 1
        link.open[link.stream] = one
        values = {
            "route": one.klass,
            "trace": one.trace,
            "born": str(int(time.time() * 1000)),
            "client": str(self.number),
            "size": f"{one.kb}",
            "order": f"{0.9999 * self.rng.random():.4f}",
        }
        if one.nonce is not None:
            values["nonce"] = one.nonce
        payload = frames.fields_bytes(values) + one.body
        return frames.frame(frames.REQUEST, link.stream, payload)

    async def connect(self) -> Connection | None:
        """Return an open connection, a new one if there are too few; None if it is refused."""
        fit = [c for c in self.connections if not c.ended and not c.no_more and len(c.open) < 32]
        if fit and (len(fit) >= self.most or self.rng.random() < 0.9):
            return self.rng.choice(fit)
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return None
        link = Connection(reader, writer)
        self.connections.append(link)
        link.task = asyncio.get_running_loop().create_task(self._read(link))
        return link

    async def _read(self, link: Connection) -> None:
        why = "end of stream"
        try:
            while True:
                size = int.from_bytes(await link.reader.readexactly(4), "big")
                self._take(link, frames.reply_of(await link.reader.readexactly(size)))
                if link.no_more and not link.open:
                    break
        except asyncio.IncompleteReadError:
            pass
        except OSError as error:
            why = str(error)
        link.ended = True
        now = time.time()
        for one in link.open.values():
            if one.excused or one.answers:
                continue
            if one.written and now - one.written <= CROSSING_S and not one.resent:
                one.resent = True
                self.record.note("front", self.number, "sends once more", one.trace)
                asyncio.get_running_loop().create_task(self.send(one))
            else:
                self.record.note("front", self.number, "connection ended with", one.trace, "open:", why)
        with contextlib.suppress(OSError):
            link.writer.close()
        self.connections.remove(link)

    def _take(self, link: Connection, reply: frames.Reply) -> None:
        if reply.kind == frames.NO_MORE:
            link.no_more = True
        elif reply.kind == frames.ANSWER and reply.stream == 0:
            self.record.note("front", self.number, "error on stream 0:", reply.body)
        elif reply.kind == frames.ANSWER:
            one = link.open.pop(reply.stream, None)
            if one is None:
                self.record.breach("duplicate", "a second answer on stream", reply.stream)
                return
            one.answers.append((time.time(), reply))
            self.record.count({0: "served", 8: "refused", 13: "failed"}.get(reply.code, "odd"))
            self.record.note(
                "front", self.number, "answer", one.trace, reply.code, dict(reply.values), reply.body[:60]
            )
