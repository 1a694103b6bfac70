"""Random histories of callers at a small table, to the end of the node: each whole request has one answer."""

import asyncio
import random
import socket

import pytest
from callers import request, turns
from play import Stand, run
from test_closing import connect, leave, node

from beechrock.net.frame_codec import ANSWER, CANCEL, CHECK, CHECKED, frame
from beechrock.net.frame_server import FrameServer

MOST = 4  # places; callers are up to thrice as many
STEPS = 60
KINDS = ["connect", "whole", "whole", "begin", "go on", "back", "sweep", "turns", "clock", "end"]


class Drawn:
    """A caller that writes whole messages and pieces; ``half`` is what it still has to write of one."""

    def __init__(self, front: FrameServer) -> None:
        self.caller, self.half, self.stream, self.over = connect(front), b"", 0, False
        self.kind = ANSWER
        # Without it the caller's own kernel holds a piece back until the one before is acknowledged.
        self.caller.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def begin(self, draw: random.Random, trace: int) -> None:
        """The next message, of which nothing is written yet."""
        self.stream += 1
        self.kind = draw.choice([ANSWER, ANSWER, CHECKED])
        self.half = frame(CHECK, self.stream, b"\0")
        if self.kind == ANSWER:
            self.half = request(self.stream, trace=trace)

    def write(self, size: int) -> None:
        """Write so many bytes; with the last one an answer is owed, unless the node's end came before."""
        self.caller.read()
        part, self.half = self.half[:size], self.half[size:]
        if self.caller.ended:
            self.over, self.half = True, b""
            return
        self.caller.socket.sendall(part)
        if not self.half:
            self.caller.owed[self.kind, self.stream] += 1

    def take_back(self, draw: random.Random) -> None:
        """One that may have its answer already; where it had none it gets one of a kind."""
        if not self.half and not self.over and self.stream:
            self.caller.read()
            if not self.caller.ended:
                self.caller.socket.sendall(frame(CANCEL, draw.randint(1, self.stream)))


async def act(stand: Stand, draw: random.Random, kind: str) -> None:
    """One step that concerns the node alone."""
    if kind == "sweep":
        assert stand.program.frames is not None
        stand.program.frames._sweep()
    elif kind == "turns":
        await turns(draw.randint(1, 12))
    elif kind == "clock":
        stand.now += draw.choice([0.01, 0.06, 0.5, 2.0])
        stand.program.module.status.idle_s = draw.choice([0.0, 1.0])


def act_as_caller(caller: Drawn, draw: random.Random, kind: str, trace: int) -> bool:
    """One step of a caller whose connection stands; whether it began a request with this trace."""
    begins = kind in ("whole", "begin") and not caller.half
    if begins:
        caller.begin(draw, trace)
    if kind == "whole" or (kind == "go on" and caller.half):
        caller.write(draw.choice([1, 20, 1000]) if kind == "go on" else 1000)
    elif kind == "begin":
        caller.write(draw.randint(1, 12))
    elif kind == "back":
        caller.take_back(draw)
    elif kind == "end" and not caller.half and draw.random() < 0.3:
        caller.over = True
        caller.caller.socket.shutdown(1)  # half a close: what is open is answered
    return begins


async def history(stand: Stand, draw: random.Random) -> None:
    front, _ = await node(stand, 0)
    front.max_connections, drawn, traces = MOST, list[Drawn](), 0
    for _ in range(STEPS):
        kind = draw.choice(KINDS)
        caller = draw.choice(drawn) if drawn else None
        if kind == "connect" and len(drawn) < 3 * MOST:
            drawn.append(Drawn(front))
        elif kind in ("sweep", "turns", "clock"):
            await act(stand, draw, kind)
        elif caller is not None and not caller.over:
            traces += act_as_caller(caller, draw, kind, traces + 1)
    leave(stand, draw.choice([0.0, 0.05]))
    ending = asyncio.ensure_future(stand.program._end_connections())
    for one in drawn:  # the rest of what was begun comes amid the closes
        if one.half:
            one.write(1000)
        await turns(draw.randint(0, 3))
    stand.now += 10.0
    for one in drawn:
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
