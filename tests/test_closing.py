"""Connections that the node closes, and requests that arrive at that moment."""

import asyncio
import contextlib
from dataclasses import replace

import pytest
from callers import Caller, request, turns
from play import Stand, run, until
from test_exchanges import open_both

from beechrock.connections.shutdown import MODULE_MARGIN, schedule
from beechrock.connections.table import MAX_REJECTED
from beechrock.net.frame_codec import ANSWER, CHECK, FAILED, NO_MORE, REFUSED, encode_frame
from beechrock.net.frame_connection import MAX_BAD_REQUESTS, FrameConnection
from beechrock.net.frame_server import FrameServer
from beechrock.net.listener import Listener
from beechrock.policy.shutdown import SPARE_SHARE

CHECK_1, CHECK_2, CHECK_3 = (encode_frame(CHECK, stream, b"\0") for stream in (1, 2, 3))


def connect(front: FrameServer, window: int = 0) -> Caller:
    assert front.server is not None
    return Caller(front.server.sockets[0].getsockname()[:2], window)


async def node(stand: Stand, callers: int = 1) -> tuple[FrameServer, list[Caller]]:
    """Return a new node's frame server, and connections on which one check each was answered."""
    await stand.open()
    front = stand.program.frames
    assert front is not None
    found = []
    for _ in range(callers):
        caller = connect(front)
        caller.send(CHECK_1)
        await caller.answered()
        found.append(caller)
    return front, found


def test_an_idle_connection_is_checked_for_input_and_closed_in_one_step() -> None:
    async def work(stand: Stand) -> None:
        front, [before, after] = await node(stand, 2)
        stand.program.module.status.idle_s = 1.0
        stand.now += 1.1
        before.send(CHECK_2)  # sent, but not yet read when the node checks
        front._sweep()
        after.send(CHECK_2)  # sent right after the check, in the same turn of the loop
        await before.answered()
        await after.closed()

    run(work)


def test_an_evicted_connection_is_closed_in_order_and_not_reset() -> None:
    async def work(stand: Stand) -> None:
        front, [first] = await node(stand)
        front.max_connections = 1
        assert front._evict_if_full() and not front.peers
        first.send(CHECK_2)  # crosses the close
        await turns(10)
        await first.closed()  # without a reset
        assert len(front._lingering) == 1
        first.socket.close()
        await until(lambda: not front._lingering, lambda: "its descriptor is still held")

    run(work)


def test_evicted_connections_hold_few_descriptors() -> None:
    async def work(stand: Stand) -> None:
        front, callers = await node(stand, 4)
        for most in (3, 2, 1):
            front.max_connections = most
            assert front._evict_if_full()
        assert len(front._lingering) == 1
        await until(lambda: sum(c.answers() == c.owed and c.ended for c in callers) == 3, lambda: "open")
        assert not any(caller.reset for caller in callers)

    run(work)


def test_a_connection_with_many_bad_requests_is_closed_after_its_later_good_ones_are_answered() -> None:
    async def work(stand: Stand) -> None:
        _, [caller] = await node(stand)
        bad = b"".join(request(stream, route="dance") for stream in range(2, MAX_BAD_REQUESTS + 3))
        caller.send(bad + encode_frame(CHECK, 40, b"\0") + request(41))
        stand.now += 10.0  # past the deadline of the good request, which is then refused
        await caller.closed()

    run(work)


def test_a_connection_with_unread_input_is_not_closed_as_stale() -> None:
    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        caller = connect(front)
        await until(lambda: bool(front.peers), lambda: "no connection")
        [peer] = front.peers
        assert isinstance(peer, FrameConnection)
        await turns(5)
        peer.silent = 9.0
        caller.send(CHECK_1)
        front._sweep()
        await caller.answered()
        assert not peer.ending

    run(work)


def test_a_slow_steady_request_is_served_and_a_stalled_one_is_not_waited_for() -> None:
    async def work(stand: Stand) -> None:
        front, [slow, half] = await node(stand, 2)
        data = encode_frame(CHECK, 2, b"\0")
        half.socket.sendall(data[:3])
        for at in range(len(data)):
            before = sum(peer.received for peer in front.peers)
            slow.send(data[at : at + 1])
            await until(lambda before=before: sum(p.received for p in front.peers) > before, lambda: "unread")
            front._sweep()
        slow.owed[5, 2] += 1
        await slow.answered()
        await half.closed()

    run(work)


def test_a_request_sent_before_a_requested_close_is_answered() -> None:
    async def work(stand: Stand) -> None:
        front, [caller] = await node(stand)
        [peer] = front.peers
        caller.send(CHECK_2)
        peer.close_when_idle()
        await caller.closed()

    run(work)


def test_requests_on_a_connection_beyond_the_limit_are_refused_on_their_streams() -> None:
    async def work(stand: Stand) -> None:
        front, callers = await node(stand, 2)
        front.max_connections = 2
        for trace, caller in enumerate(callers, 1):
            caller.send(request(2, trace=trace))
        await until(lambda: all(peer.has_pending_answer() for peer in front.peers), lambda: "unread")
        rejected = connect(front)
        rejected.send(request(1, trace=7) + request(2, trace=8) + CHECK_3)
        await rejected.answered()
        assert [payload[0] for kind, _, payload in rejected.frames() if kind == ANSWER] == [REFUSED] * 3
        assert (NO_MORE, 0, b"") in rejected.frames()
        stand.now += 1.1
        rejected.send(request(4, trace=9))
        front._sweep()
        rejected.send(request(5, trace=10))  # in the same turn
        await rejected.answered()
        stand.now += 1.1
        front._sweep()
        await rejected.closed()
        module = stand.program.module
        await until(
            lambda: not module.mailbox and module.table.last_id == 2, lambda: f"{module.table.last_id}"
        )

    run(work)


def test_connections_beyond_the_rejected_ones_wait_in_the_backlog_and_are_all_answered() -> None:
    async def work(stand: Stand) -> None:
        front, [busy] = await node(stand)
        front.max_connections = 1
        busy.send(request(2))
        await until(lambda: all(peer.has_pending_answer() for peer in front.peers), lambda: "unread")
        callers = [connect(front) for _ in range(4 * MAX_REJECTED)]
        for n, caller in enumerate(callers):
            caller.send(request(1, trace=n + 3))
        most = 0
        for caller in callers:  # no caller closes: answered connections are evicted one by one
            while not caller.answers():
                stand.now += 0.01
                most = max(most, sum(peer.rejected for peer in front.peers))
                await asyncio.sleep(0.001)
            assert caller.answers() == caller.owed and not caller.reset
        assert most == MAX_REJECTED and stand.program.counters["intake.frames_left_in_backlog"] > 0
        assert len(front._lingering) <= 1

    run(work)


def test_a_close_with_unread_input_waits_until_a_slow_reader_has_its_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller sends faster than the node discards its input, and its receive window is small."""

    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        caller = connect(front, window=4096)
        caller.send(b"".join(encode_frame(CHECK, stream, b"\0") for stream in range(1, 4001)))
        await until(lambda: any(peer.messages_received == 4000 for peer in front.peers), lambda: "unread")
        [peer] = front.peers
        monkeypatch.setattr("beechrock.net.connection.LINGER_S", 0.02)
        with contextlib.suppress(BlockingIOError):
            caller.socket.send(bytes(1 << 20))  # a frame of length 0: nothing after it can be parsed
        await until(lambda: peer._shut, lambda: "its last answers are not written")
        await asyncio.sleep(0.2)  # ten times the LINGER_S set above
        await caller.closed()

    run(work)


def test_input_after_a_close_does_not_keep_a_connection_in_a_full_table() -> None:
    async def work(stand: Stand) -> None:
        front, [caller] = await node(stand)
        front.max_connections = 1
        [peer] = front.peers
        assert peer.close_if_idle()
        caller.socket.send(bytes(65_536))
        await until(lambda: peer.received > 1, lambda: "unread")
        assert front._evict_if_full() and not front.peers

    run(work)


def test_a_listener_pauses_while_there_is_no_room_for_connections() -> None:
    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        assert front.server is not None
        budget_calls = []
        front.server.budget = lambda arriving: budget_calls.append(arriving) or 0  # type: ignore[func-returns-value]
        caller = connect(front)
        await until(lambda: bool(budget_calls), lambda: "the listener never asked for its budget")
        await turns(50)
        assert len(budget_calls) < 40, "the listener asks in each turn of the loop"
        front.server.budget = front._accept_budget
        caller.send(CHECK_1)
        await caller.answered()

    run(work)


# --- graceful shutdown


def leave(stand: Stand, cut_s: float = 10.0, answered: bool = True) -> None:
    """Begin the shutdown, and go to the moment when the module has answered all and the closes begin.

    The time limits are longer than on any node, so that a slow machine gives the same result.
    """
    program = stand.program
    shutdown = program.graceful_shutdown
    close_s = shutdown.steps.close_s
    shutdown.steps = replace(
        shutdown.steps, cut_s=close_s + cut_s, exit_s=close_s + 20.0, end_s=close_s + 20.0
    )
    program.leave()
    shutdown.began_at -= close_s
    stand.now += close_s * answered


@pytest.mark.parametrize("count", [1, 40])  # as many as one turn of the loop accepts, and more
def test_requests_in_the_backlog_are_answered_before_the_listening_socket_is_closed(count: int) -> None:
    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        leave(stand)
        callers = [connect(front) for _ in range(count)]
        for caller in callers:
            caller.send(CHECK_1 + request(2))
        ending = asyncio.ensure_future(stand.program._end_connections())
        for caller in callers:
            await caller.closed()
            caller.socket.close()
        await ending
        assert not front.peers and front.server is None

    run(work)


def test_a_connection_attempt_between_the_last_accept_and_the_close_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that waited for a CPU there reset connections whose requests were up to 76 ms old."""

    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        assert front.server is not None
        address = front.server.sockets[0].getsockname()[:2]
        before = connect(front)
        before.send(CHECK_1 + request(2))
        close, refused = Listener._close_unwatched, 0

        def close_late(server: Listener) -> None:
            nonlocal refused
            try:
                Caller(address).send(request(2))
            except ConnectionRefusedError:
                refused += 1
            close(server)

        monkeypatch.setattr(Listener, "_close_unwatched", close_late)
        leave(stand)
        ending = asyncio.ensure_future(stand.program._end_connections())
        await before.closed()
        before.socket.close()
        await ending
        assert refused == 1

    run(work)


def test_requests_in_the_last_moments_on_idle_connections_are_answered_or_cross_the_close() -> None:
    async def work(stand: Stand) -> None:
        front, callers = await node(stand, 8)
        leave(stand)
        ending = asyncio.ensure_future(stand.program._end_connections())
        for turn, caller in enumerate(callers):  # one request each turn: before, during and after the closes
            caller.send(request(2, trace=turn + 1))
            await asyncio.sleep(0)
        for caller in callers:
            await caller.closed()
            caller.socket.close()
        await ending
        assert not front.peers and sum(caller.owed[2, 2] for caller in callers) > 0

    run(work)


def test_requests_that_the_module_left_open_are_answered_before_the_exit() -> None:
    """The front answers as a last resort: the module does not, as its clock stands still here."""

    async def work(stand: Stand) -> None:
        _, [caller] = await node(stand)
        caller.send(request(2))
        await until(lambda: stand.program.module.table.last_id == 1, lambda: "unread")
        leave(stand, 0.0, answered=False)
        caller.send(request(3))  # unread when the closes begin
        ending = asyncio.ensure_future(stand.program._end_connections())
        await caller.closed()
        caller.socket.close()
        await ending
        assert stand.program.counters["answered.at_exit"] == 1
        assert [payload[0] for kind, _, payload in caller.frames() if kind == ANSWER] == [FAILED, REFUSED]

    run(work)


def test_the_module_answers_before_the_closes_and_the_process_ends_before_it_is_killed() -> None:
    for stop_s in (0.05, 0.3, 0.5, 1.0, 2.0, 3.0, 3.2, 3.7, 4.0, 30.0):
        found = schedule(stop_s)
        answered_s = (1 - MODULE_MARGIN) * found.module_s()
        assert 0 < answered_s < found.close_s < found.cut_s < found.exit_s < found.end_s < stop_s
        assert found.module_s() <= stop_s and (found.module_s() == stop_s or stop_s < 3.2)
    assert MODULE_MARGIN == SPARE_SHARE


def test_each_scgi_connection_is_answered_before_it_is_closed() -> None:
    """One is silent, one has half a request, one is in the backlog, and one has a run in progress."""

    async def work(stand: Stand) -> None:
        await open_both(stand)
        await stand.play(
            'a = connect scgi\nb = connect scgi\nb > "66:CONTENT"\nc = connect scgi\n'
            "c ask pack releases x key\ncounter sent.launches 1\n"
            'server = accept server\nserver ... "x"\n'
            "counter intake.scgi_connections 3\n"
        )
        front = stand.program.scgi
        assert front is not None and front.server is not None
        leave(stand, 0.0, answered=False)
        late = Caller(front.server.sockets[0].getsockname()[:2])
        late.socket.sendall(b"66:CONTENT")
        ending = asyncio.ensure_future(stand.program._end_connections())
        await stand.play('a ... "nothing ran\\n"\nb ... "nothing ran\\n"\nc answered 500\n')
        for name in "abc":
            stand.wires[name].writer.close()
        await until(lambda: late.read() or late.ended, lambda: "still open")
        assert late.got.endswith(b"nothing ran\n") and not late.reset
        late.socket.close()
        await ending
        assert not front.peers

    run(work)
