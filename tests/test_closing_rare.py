"""Closes in rare states: half a request, a flood, a check on the same stream, a paused listener."""

import asyncio
import contextlib

import pytest
from callers import request, turns
from play import Stand, run, until
from test_closing import CHECK_1, CHECK_2, connect, leave, node

from beechrock.net.frame_codec import ANSWER, CHECK, CHECKED, FAILED, REFUSED, encode_frame
from beechrock.net.frame_connection import MAX_BAD_REQUESTS_UNREAD


def test_a_listener_that_is_closed_during_its_pause_leaves_no_timer() -> None:
    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        server, raised = front.server, list[dict[str, object]]()
        assert server is not None
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context))
        server.budget = lambda arriving: 0
        for _ in range(3):  # the shutdown checks several times during one pause
            assert not server.close_empty()
        front.close()
        await asyncio.sleep(0.05)
        assert raised == []

    run(work)


def test_a_request_on_the_stream_of_a_pending_check_has_its_own_answer() -> None:
    async def work(stand: Stand) -> None:
        _, [caller] = await node(stand)
        [peer] = stand.program.frames.peers  # type: ignore[union-attr]
        peer.open[5] = None  # a thorough check on stream 5 is in progress
        caller.owed[CHECKED, 5] += 1
        caller.send(request(5))
        await until(
            lambda: any(kind == ANSWER for kind, _, _ in caller.frames()) or caller.read(),
            lambda: f"{caller.frames()}",
        )
        assert [payload[0] for kind, _, payload in caller.frames() if kind == ANSWER] == [FAILED]
        peer._send_check_result(5, False)
        await caller.answered()

    run(work)


def test_a_connection_with_endless_bad_requests_is_closed() -> None:
    async def work(stand: Stand) -> None:
        front, [caller] = await node(stand)
        [peer] = front.peers
        flood, sent = request(2, route="dance") * 400, 0

        def ended_or_read_beyond() -> bool:
            nonlocal sent
            with contextlib.suppress(BlockingIOError):
                while True:  # until the kernel's buffers are full, so that input waits at each read
                    sent += caller.socket.send(flood[sent % len(flood) :])
            caller.read()
            return caller.ended or peer.bad > MAX_BAD_REQUESTS_UNREAD

        # The limit counts requests read, not turns of the loop: a connection with unsent answers is not read
        # for a time, and how many turns the loop makes in it depends on the machine.
        await until(ended_or_read_beyond, lambda: f"open after {peer.bad} bad requests, and not read from")
        assert caller.ended and not caller.reset, "the connection is read for as long as bytes arrive"
        assert peer.closing
        assert peer.bad == MAX_BAD_REQUESTS_UNREAD

    run(work)


@pytest.mark.parametrize("messages_received", [0, 1, 2])
def test_a_full_table_evicts_no_connection_with_half_a_request_while_another_is_idle(
    messages_received: int,
) -> None:
    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        slow, idle = connect(front), connect(front)
        await until(lambda: len(front.peers) == 2, lambda: "no connections")
        for caller, count in ((slow, messages_received), (idle, 2)):
            stand.now += 0.01
            for stream in range(1, count + 1):
                caller.send(encode_frame(CHECK, stream, b"\0"))
                await caller.answered()
        front.max_connections = 2
        stand.now += 0.2
        data = request(7)
        slow.socket.sendall(data[:20])
        await until(lambda: any(len(peer.inbox) for peer in front.peers), lambda: "unread")
        late = connect(front)
        late.send(CHECK_1)
        await late.answered()
        await idle.closed()
        slow.send(data[20:])
        slow.owed[ANSWER, 7] += 1
        stand.now += 10.0  # past the deadline of the request, which is then refused
        await slow.answered()

    run(work)


def test_a_request_that_is_half_said_as_the_closes_begin_may_be_whole_before_the_last_ones() -> None:
    async def work(stand: Stand) -> None:
        front, [slow, other] = await node(stand, 2)
        data = request(2)
        slow.socket.sendall(data[:20])
        await until(lambda: any(len(peer.inbox) for peer in front.peers), lambda: "unread")
        leave(stand, 0.2)
        ending = asyncio.ensure_future(stand.program._end_connections())
        await other.closed()
        other.socket.close()
        await turns(20)
        slow.send(data[20:])
        slow.owed[ANSWER, 2] += 1
        await slow.closed()
        assert [payload[0] for kind, _, payload in slow.frames() if kind == ANSWER] == [REFUSED]
        slow.socket.close()
        await ending

    run(work)


def test_an_incomplete_request_is_not_waited_for_beyond_the_last_closes() -> None:
    async def work(stand: Stand) -> None:
        front, [slow] = await node(stand)
        slow.socket.sendall(request(2)[:20])
        await until(lambda: any(len(peer.inbox) for peer in front.peers), lambda: "unread")
        leave(stand, 0.05)
        ending = asyncio.ensure_future(stand.program._end_connections())
        await slow.closed()
        slow.socket.close()
        await ending

    run(work)


def test_a_stalled_request_does_not_keep_its_connection_in_a_full_table() -> None:
    async def work(stand: Stand) -> None:
        front, [half, idle] = await node(stand, 2)
        front.max_connections = 2
        half.socket.sendall(request(2)[:20])
        await until(lambda: any(len(peer.inbox) for peer in front.peers), lambda: "unread")
        stand.now += 0.1
        idle.send(CHECK_2)
        await idle.answered()
        for _ in range(3):  # the first sweep still sees that bytes have arrived
            front._sweep()
        assert front._evict_if_full()
        await half.closed()
        assert not idle.ended

    run(work)
