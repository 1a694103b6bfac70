"""Two processes of one node."""

import asyncio
import socket

import pytest
from play import Stand, run


@pytest.mark.parametrize("turns", range(8))
def test_a_pause_drops_no_connection_that_was_accepted(turns: int) -> None:
    """A connection is either still in the shared socket's queue, or it is served."""
    async def work(stand: Stand) -> None:
        await stand.open()
        frames = stand.program.frames
        assert frames is not None
        with socket.create_server(("127.0.0.1", 0)) as shared, socket.socket() as caller:
            caller.connect(shared.getsockname())
            shared.setblocking(False)
            await frames.start("127.0.0.1", 0, shared.fileno())
            for _ in range(turns):
                await asyncio.sleep(0)
            frames.pause()
            for _ in range(10):
                await asyncio.sleep(0.001)
            try:
                left, _ = shared.accept()
                left.close()
            except BlockingIOError:
                assert len(frames.peers) == 1

    run(work)
