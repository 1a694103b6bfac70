"""The last connections are ended early in a time slice, as the process may be paused wherever one ends."""

import asyncio
import time

import pytest
from play import Stand, run
from test_closing import CHECK_2, leave, node

from beechrock.net import time_slice
from beechrock.net.frame_connection import FrameConnection
from beechrock.net.time_slice import SAFE_S, TimeSlice

SHORTEST_SLICE_S = 0.003


def use_processor(seconds: float) -> None:
    end = time.thread_time() + seconds
    while time.thread_time() < end:
        pass


def test_a_time_slice_is_renewed_only_after_it_was_used(monkeypatch: pytest.MonkeyPatch) -> None:
    sleeps = list[float]()
    monkeypatch.setattr(time_slice.time, "sleep", sleeps.append)
    current = TimeSlice()
    for used_s, renewed in ((0.0, 1), (0.0, 1), (2 * SAFE_S, 2), (0.0, 2), (2 * SAFE_S, 3)):
        use_processor(used_s)
        current.renew_if_used()
        assert len(sleeps) == renewed


@pytest.mark.parametrize("by_turns", [True, False])
def test_no_connection_is_ended_late_in_a_time_slice(monkeypatch: pytest.MonkeyPatch, by_turns: bool) -> None:
    """Requests arrived in pauses of up to 36 ms between the check for input and the end of a connection."""
    renewed_at, used = [float("-inf")], list[float]()

    def renew(current: TimeSlice) -> None:
        current._renewed_at_s = renewed_at[0] = time.thread_time()

    def ends(self: FrameConnection) -> None:
        used.append(time.thread_time() - renewed_at[0])
        use_processor(SAFE_S / 2)  # about the time of the answers on a few other connections

    async def work(stand: Stand) -> None:
        front, callers = await node(stand, 20)
        leave(stand)
        if not by_turns:
            for caller in callers:
                caller.send(CHECK_2)
        close_if_idle, close_now = FrameConnection.close_if_idle, FrameConnection.close_now
        monkeypatch.setattr(
            FrameConnection, "close_if_idle", lambda peer: (ends(peer), close_if_idle(peer))[1]
        )
        monkeypatch.setattr(
            FrameConnection, "close_now", lambda peer, *a, **k: (ends(peer), close_now(peer, *a, **k))[1]
        )
        monkeypatch.setattr(TimeSlice, "renew", renew)
        now = asyncio.get_running_loop().time()
        if by_turns:
            await stand.program._end_connections()
        else:
            front._conclude_peers(now + 20.0)
        for caller in callers:
            await caller.closed()

    run(work)
    assert len(used) >= 20 and max(used) < SHORTEST_SLICE_S
