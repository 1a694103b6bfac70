"""Random histories of callers at a small table until the node shuts down: one answer per complete request."""

import asyncio
import random
import socket

import pytest
from callers import request, turns
from play import Stand, run
from test_closing import connect, leave, node

from beechrock.net.frame_codec import ANSWER, CANCEL, CHECK, CHECKED, encode_frame
from beechrock.net.frame_server import FrameServer

MAX_CONNECTIONS = 4  # size of the table; there are up to three times as many callers
STEPS = 60
KINDS = ["connect", "whole", "whole", "begin", "go on", "back", "sweep", "turns", "clock", "end"]


class RandomCaller:
    """A caller that writes complete messages or parts; ``unwritten`` is the rest of the current one."""

    def __init__(self, front: FrameServer) -> None:
        self.caller, self.unwritten, self.stream, self.done = connect(front), b"", 0, False
        self.kind = ANSWER
        # Without TCP_NODELAY, the caller's kernel delays a part until the previous one is acknowledged.
        self.caller.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def begin(self, draw: random.Random, trace: int) -> None:
        """Begin the next message, without writing any of it."""
        self.stream += 1
        self.kind = draw.choice([ANSWER, ANSWER, CHECKED])
        self.unwritten = encode_frame(CHECK, self.stream, b"\0")
        if self.kind == ANSWER:
            self.unwritten = request(self.stream, trace=trace)

    def write(self, size: int) -> None:
        """Write ``size`` bytes; the last byte makes an answer due, unless the node has ended the stream."""
        self.caller.read()
        part, self.unwritten = self.unwritten[:size], self.unwritten[size:]
        if self.caller.ended:
            self.done, self.unwritten = True, b""
            return
        self.caller.socket.sendall(part)
        if not self.unwritten:
            self.caller.owed[self.kind, self.stream] += 1

    def cancel_request(self, draw: random.Random) -> None:
        """Cancel a request; if it is not answered yet, the cancellation gets a failure as answer."""
        if not self.unwritten and not self.done and self.stream:
            self.caller.read()
            if not self.caller.ended:
                self.caller.socket.sendall(encode_frame(CANCEL, draw.randint(1, self.stream)))


async def step_node(stand: Stand, draw: random.Random, kind: str) -> None:
    """Make one step of the node alone."""
    if kind == "sweep":
        assert stand.program.frames is not None
        stand.program.frames._sweep()
    elif kind == "turns":
        await turns(draw.randint(1, 12))
    elif kind == "clock":
        stand.now += draw.choice([0.01, 0.06, 0.5, 2.0])
        stand.program.module.status.idle_s = draw.choice([0.0, 1.0])


def step_caller(caller: RandomCaller, draw: random.Random, kind: str, trace: int) -> bool:
    """Make one step of a connected caller. Returns whether it began a request with this trace."""
    begins = kind in ("whole", "begin") and not caller.unwritten
    if begins:
        caller.begin(draw, trace)
    if kind == "whole" or (kind == "go on" and caller.unwritten):
        caller.write(draw.choice([1, 20, 1000]) if kind == "go on" else 1000)
    elif kind == "begin":
        caller.write(draw.randint(1, 12))
    elif kind == "back":
        caller.cancel_request(draw)
    elif kind == "end" and not caller.unwritten and draw.random() < 0.3:
        caller.done = True
        caller.caller.socket.shutdown(1)  # half-close: open requests are still answered
    return begins


async def history(stand: Stand, draw: random.Random) -> None:
    front, _ = await node(stand, 0)
    front.max_connections, callers, traces = MAX_CONNECTIONS, list[RandomCaller](), 0
    for _ in range(STEPS):
        kind = draw.choice(KINDS)
        caller = draw.choice(callers) if callers else None
        if kind == "connect" and len(callers) < 3 * MAX_CONNECTIONS:
            callers.append(RandomCaller(front))
        elif kind in ("sweep", "turns", "clock"):
            await step_node(stand, draw, kind)
        elif caller is not None and not caller.done:
            traces += step_caller(caller, draw, kind, traces + 1)
    leave(stand, draw.choice([0.0, 0.05]))
    ending = asyncio.ensure_future(stand.program._end_connections())
    for one in callers:  # the rests of partly written messages arrive during the closes
        if one.unwritten:
            one.write(1000)
        await turns(draw.randint(0, 3))
    stand.now += 10.0
    for one in callers:
        await one.caller.closed()
        one.caller.socket.close()
    await ending
    assert not front.peers


@pytest.mark.parametrize("seed", range(24))
def test_each_complete_request_has_one_answer_whatever_crosses_the_end_of_its_connection(seed: int) -> None:
    async def work(stand: Stand) -> None:
        await history(stand, random.Random(seed))
        assert [line for line in stand.program.counters.lines() if line.startswith("trouble.")] == []

    run(work)
