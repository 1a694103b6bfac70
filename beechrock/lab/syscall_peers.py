"""What a node of the platform talks to in a sweep over its system calls: agent, ledger, callers."""

import asyncio
import socket
from collections import Counter

from beechrock.net.frame_codec import ANSWER, CHECK, CHECKED, HEAD, REQUEST, encode_fields, encode_frame

WORK_S, LONG_WORK_S, CALL_AFTER_S = 0.01, 0.15, 0.005
LONG, CALLING = b"long", b"call"  # first words of a request's body
GAUGES = b"0.5 1 0.1 3"


class Agent:
    """Stands in for the farm agent: runs end after fixed times, and notices are told again on a new link."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening
        self.notices: list[bytes] = []
        self.launched: dict[bytes, set[bytes]] = {}  # by body, the traces of its runs
        self.bodies: dict[bytes, bytes] = {}
        self.over: set[bytes] = set()
        self.link: asyncio.StreamWriter | None = None
        self.synced = asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, sock=self.listening)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.split()
                body = await reader.readexactly(int(words[3]) + 2) if words[0] == b"launch" else b""
                if words[0] == b"deliver":
                    await reader.readexactly(int(words[2]) + 2)
                self._obey(words, body[:-2], writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _obey(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> None:
        match words:
            case [b"subscribe", last]:  # a notice before this would overtake those that were missed
                self.link = writer
                writer.write(b"greeting LOADED 99000\r\n" + b"".join(self.notices[int(last) :]))
            case [b"sample", tag]:
                writer.write(b"sampled " + tag + b" " + GAUGES + b"\r\n")
                if tag.startswith(b"s"):
                    self.synced.set()
            case [b"launch", trace, *_] if trace not in self.bodies:
                self.bodies[trace] = body
                self.launched.setdefault(body, set()).add(trace)
                loop = asyncio.get_running_loop()
                if body.startswith(CALLING):
                    loop.call_later(CALL_AFTER_S, self._call, trace)
                else:
                    loop.call_later(LONG_WORK_S if body.startswith(LONG) else WORK_S, self._end, trace)
            case [b"deliver" | b"forgo", trace, *_]:
                self._end(trace)

    def _call(self, trace: bytes) -> None:
        self._tell(b"request %d %s 3\r\nask\r\n" % (len(self.notices) + 1, trace))

    def _end(self, trace: bytes) -> None:
        if trace in self.over or trace not in self.bodies:
            return
        self.over.add(trace)
        result = b"did " + self.bodies[trace]
        head = b"outcome %d %s PASS 10 %d\r\n" % (len(self.notices) + 1, trace, len(result))
        self._tell(head + result + b"\r\n")

    def _tell(self, notice: bytes) -> None:
        self.notices.append(notice)
        if self.link is not None:
            self.link.write(notice)

    def cut(self) -> None:
        """Lose the link, with all that is under way on it."""
        if self.link is not None:
            self.link.transport.abort()


class Ledger:
    """Replies to each call at once."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening
        self.links: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, sock=self.listening)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        try:
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"post":
                    await reader.readexactly(int(words[3]) + 2)
                    writer.write(words[1] + b" posted 2\r\nok\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(writer)
            writer.close()

    def end_links(self) -> None:
        """Close all connections in order."""
        for link in self.links:
            link.close()


class Caller:
    """One connection from a port that is known before; counts the answers of each stream."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.port: int = self.sock.getsockname()[1]
        self.writer: asyncio.StreamWriter | None = None
        self.owed: set[tuple[int, int]] = set()
        self.got: Counter[tuple[int, int]] = Counter()
        self.over = asyncio.Event()
        self.changed = asyncio.Event()
        self.how_ended = ""

    async def connect(self, address: tuple[str, int]) -> None:
        self.sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.sock, address)
        reader, self.writer = await asyncio.open_connection(sock=self.sock)
        self.reading = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                length, kind, stream = HEAD.unpack(await reader.readexactly(HEAD.size))
                await reader.readexactly(length - 5)
                if stream and kind in (ANSWER, CHECKED):
                    self.got[kind, stream] += 1
                    self.changed.set()
        except asyncio.IncompleteReadError as error:
            self.how_ended = "cut within a frame" if error.partial else "ended"
        except OSError as error:
            self.how_ended = f"reset ({error.strerror})"
        self.over.set()
        self.changed.set()

    def ask(self, *requests: bytes) -> None:
        """Write whole frames at once; on a connection that has ended nothing is asked."""
        if self.writer is None or self.over.is_set():
            return
        for data in requests:
            _, kind, stream = HEAD.unpack(data[: HEAD.size])
            self.owed.add((ANSWER if kind == REQUEST else CHECKED, stream))
        self.writer.write(b"".join(requests))

    async def answered(self) -> None:
        """Wait until all that was asked has an answer, or the connection has ended."""
        while not self.over.is_set() and any(key not in self.got for key in self.owed):
            self.changed.clear()
            await self.changed.wait()

    def faults(self) -> list[str]:
        """Return what is wrong with its answers."""
        missing = sum(key not in self.got for key in self.owed)
        twice = sum(count > 1 for count in self.got.values())
        strange = sum(key not in self.owed for key in self.got)
        found = []
        if missing:
            found.append(
                f"{self.name}: {missing} of {len(self.owed)} without an answer ({self.how_ended or 'open'})"
            )
        if twice or strange:
            found.append(f"{self.name}: {twice} answered twice, {strange} that it never asked")
        return found

    async def close(self) -> None:
        if self.writer is None:
            self.sock.close()
            return
        self.writer.close()
        self.reading.cancel()


def request(stream: int, trace: int, born_s: float, body: bytes, key: int | None = None) -> bytes:
    """Return a request's frame; ``key`` makes it one whose repetition is known."""
    told = {
        "route": "resolve" if key is None else "submit",
        "trace": f"{trace:016x}",
        "born": str(int(1000 * born_s)),
        "client": "1",
        "size": "20",
        "order": "0.5",
    }
    if key is not None:
        told["nonce"] = f"{key:032x}"
    return encode_frame(REQUEST, stream, encode_fields(told) + body)


def check(stream: int, padding: int = 0) -> bytes:
    """Return a health check's frame, as long as is wanted."""
    return encode_frame(CHECK, stream, encode_fields({"padding": "x" * padding} if padding else {}))
