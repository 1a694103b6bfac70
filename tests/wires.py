"""Callers' and stand-ins' ends of connections, the notation for their bytes, and bounded waits."""

import ast
import asyncio
import re
from collections.abc import Callable

HANG_S = 20.0  # time limit of each wait, which only a node that hangs exceeds


def bytes_of(text: str) -> bytes:
    """Parse the notation for bytes in the exchange files."""
    stack = [b""]
    for part in re.findall(r'"(?:[^"\\]|\\.)*"|[{}]|[0-9a-f]+|\S', text):
        if part == "{":
            stack.append(b"")
        elif part == "}":
            inner = stack.pop()
            stack[-1] += len(inner).to_bytes(4, "big") + inner
        else:
            stack[-1] += ast.literal_eval("b" + part) if part[0] == '"' else bytes.fromhex(part)
    assert len(stack) == 1, f"braces in {text}"
    return stack[0]


class Wire:
    """One connection of a caller or a stand-in, with the input received so far."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, samples: bool) -> None:
        self.writer, self.samples, self.mute = writer, samples, False
        self.got, self.ended = b"", False
        self.task = asyncio.get_running_loop().create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while data := await reader.read(65_536):
                self.got += data
                if self.samples:  # sample requests depend on the clock, so they are answered here and removed
                    self.got = re.sub(rb"sample (\w+)\r\n", self._sampled, self.got)
        except OSError:
            pass
        self.ended = True

    def _sampled(self, found: "re.Match[bytes]") -> bytes:
        if not self.mute:
            self.writer.write(b"sampled " + found[1] + b" 0.5 1 0.1 3\r\n")
        return b""


async def until(true: Callable[[], bool], what: Callable[[], str]) -> None:
    try:
        async with asyncio.timeout(HANG_S):
            while not true():
                await asyncio.sleep(0.001)
    except TimeoutError:
        raise AssertionError(what()) from None


class Beats(asyncio.DatagramProtocol):
    def __init__(self, beats: list[str]) -> None:
        self.beats = beats

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.beats.append(data.decode())
