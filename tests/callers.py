"""Callers on raw sockets, which see a close as it arrives, and compare answers with complete requests."""

import asyncio
import socket
import time
from collections import Counter

from play import until

from beechrock.net.frame_codec import (
    ANSWER,
    CHECK,
    CHECKED,
    HEAD,
    NO_MORE,
    REQUEST,
    encode_fields,
    encode_frame,
)


def request(stream: int, born_ms: int = 1_700_000_000_000, trace: int = 0, **more: str) -> bytes:
    """Encode a complete request of the idempotent class."""
    return encode_frame(
        REQUEST,
        stream,
        encode_fields(
            {
                "route": "resolve",
                "trace": f"{trace or stream:016x}",
                "born": str(born_ms),
                "client": "4",
                "size": "24.5",
                "order": "0.625",
                **more,
            }
        )
        + b"x",
    )


class Caller:
    """One connection without an event loop: each step makes its system calls at once."""

    def __init__(self, address: tuple[str, int], window: int = 0) -> None:
        """Connect; ``window`` is the size of the kernel's receive buffer in bytes, 0 for its default."""
        self.socket = socket.socket()
        if window:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socket.settimeout(5)
        self.socket.connect(address)
        self.socket.setblocking(False)
        self.got, self.owed = b"", Counter[tuple[int, int]]()
        self.ended = self.reset = False
        self.ended_at = 0.0

    def send(self, data: bytes) -> None:
        """Write; each complete message is owed an answer, unless the node's end of stream was read before."""
        self.read()
        seen, at = self.ended, 0
        try:
            self.socket.sendall(data)
        except OSError:
            assert seen, "a write failed before the end was seen"
        while not seen and at + HEAD.size <= len(data):
            length, kind, stream = HEAD.unpack(data[at : at + HEAD.size])
            if kind in (REQUEST, CHECK):
                self.owed[ANSWER if kind == REQUEST else CHECKED, stream] += 1
            at += 4 + length

    def read(self) -> None:
        """Read the available input without waiting."""
        try:
            while not self.ended:
                data = self.socket.recv(65_536)
                self.got += data
                if not data:
                    self.ended, self.ended_at = True, time.monotonic()
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.ended, self.reset, self.ended_at = True, True, time.monotonic()

    def frames(self) -> list[tuple[int, int, bytes]]:
        """Return the type, stream and payload of each complete frame received."""
        found, at = [], 0
        while at + HEAD.size <= len(self.got):
            length, kind, stream = HEAD.unpack(self.got[at : at + HEAD.size])
            found.append((kind, stream, self.got[at + HEAD.size : at + 4 + length]))
            at += 4 + length
        return found

    def answers(self) -> Counter[tuple[int, int]]:
        self.read()
        return Counter((kind, stream) for kind, stream, _ in self.frames() if stream and kind != NO_MORE)

    async def answered(self) -> None:
        """Wait until each complete request has exactly one answer."""
        await until(lambda: self.answers() >= self.owed or self.ended, lambda: f"{self.frames()}")
        assert self.answers() == self.owed, f"answers {self.answers()}, owed {self.owed}"

    async def closed(self) -> None:
        """Wait for the end of the stream; each complete request has one answer by then, and no reset came."""

        def stream_ended() -> bool:
            self.read()
            return self.ended

        await until(stream_ended, lambda: f"still open: {self.frames()}")
        assert not self.reset
        assert self.answers() == self.owed, f"answers {self.answers()}, owed {self.owed}"


async def turns(count: int) -> None:
    """Let the event loop make ``count`` turns."""
    for _ in range(count):
        await asyncio.sleep(0)
