"""A process on a shared socket whose other process is absent, gone or stopped: what it does."""

import asyncio
import socket
from pathlib import Path

import pytest
from callers import Caller, request
from pair import Pair, run
from test_closing import CHECK_1, leave


@pytest.mark.parametrize("count", [1, 40])     # as many as are accepted in one turn of the loop, and more
def test_without_another_process_the_backlog_of_the_shared_socket_is_answered_before_the_end(
        folder: Path, count: int) -> None:
    async def work(pair: Pair) -> None:
        one = await pair.start()
        await pair.serving(one)
        leave(one)
        callers = [Caller(pair.shared.getsockname()) for _ in range(count)]
        for caller in callers:
            caller.send(CHECK_1 + request(2))
        ending = asyncio.ensure_future(one.program._end_connections())
        for caller in callers:
            await caller.closed()
            caller.socket.close()
        await ending
        frames = one.program.frames
        assert frames is not None and not frames.peers and frames.server is None

    run(work, folder)


def test_beside_a_successor_the_backlog_of_the_shared_socket_is_left_to_it(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        assert new.program.frames is not None
        new.program.frames.pause()      # it is late
        leave(old)
        with socket.create_connection(pair.shared.getsockname()):
            await old.program._end_connections()
            pair.shared.setblocking(False)
            left, _ = pair.shared.accept()
            left.close()

    run(work, folder)
