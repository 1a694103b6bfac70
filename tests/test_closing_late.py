"""Shutdown of a process whose event loop gets no turn in time: waiting requests are answered all the same."""

import asyncio
import signal
import socket
import subprocess
import time
from dataclasses import replace
from pathlib import Path

import pytest
from callers import Caller, request, turns
from pair import Pair
from pair import run as run_pair
from platform_process import frames_address, start_node, write_configuration
from play import Stand, run, until
from test_closing import CHECK_1, CHECK_2, connect, node
from test_exchanges import open_both

from beechrock.connections.shutdown import EXIT_S, MAX_EARLIER_S, LoopLag, advance_for_lag, schedule
from beechrock.connections.table import MAX_REJECTED
from beechrock.net.connection_server import FAIR_BYTES, MAX_LAST_BYTES
from beechrock.net.frame_codec import ANSWER, FAILED, REFUSED
from beechrock.net.scgi_codec import request_bytes
from beechrock.program import Program

ROOT = Path(__file__).parent.parent
STOPPED_S = 0.1


def leave_overdue(program: Program, left_s: float = 20.0) -> None:
    """Begin the shutdown as if the event loop ran next after the time to end the last connections.

    ``left_s``: seconds until input is no longer read.
    """
    shutdown = program.graceful_shutdown
    close_s = shutdown.steps.close_s
    shutdown.steps = replace(shutdown.steps, cut_s=close_s, exit_s=close_s, end_s=close_s + left_s)
    program.leave()
    shutdown.began_at -= close_s + 0.001


def verdicts(caller: Caller) -> list[int]:
    return [payload[0] for kind, _, payload in caller.frames() if kind == ANSWER]


def test_requests_that_wait_when_time_is_up_are_answered_without_a_turn_of_the_loop() -> None:
    """At a load of 60 on 6 cores complete requests were left in kernel buffers, unanswered, at an exit."""

    async def work(stand: Stand) -> None:
        _, [runs, unread, silent] = await node(stand, 3)
        runs.send(request(2, trace=1))
        await until(lambda: stand.program.module.table.last_id == 1, lambda: "unread")
        leave_overdue(stand.program)
        unread.send(request(2, trace=2) + CHECK_2.replace(b"\0\0\0\2", b"\0\0\0\3"))
        await stand.program._end_connections()
        for caller in (runs, unread, silent):
            await caller.closed()
        assert verdicts(runs) == [FAILED]  # the request may have run
        assert verdicts(unread) == [REFUSED]
        assert stand.program.module.table.last_id == 1, "a request that was read last was forwarded"

    run(work)


@pytest.mark.parametrize("turns_before", range(8))  # stages: accepted, being set up, handed on, in the table
def test_a_connection_that_is_being_accepted_when_time_is_up_is_answered(turns_before: int) -> None:
    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        callers = [connect(front) for _ in range(40)]
        for caller in callers:
            caller.send(CHECK_1 + request(2))
        await turns(turns_before)
        leave_overdue(stand.program)
        await stand.program._end_connections()
        assert front.server is None
        with pytest.raises(ConnectionRefusedError):
            Caller(callers[0].socket.getpeername())
        for caller in callers:
            await caller.closed()
            assert len(caller.answers()) == 2

    run(work)


def test_a_process_past_its_time_answers_connections_that_wait_to_be_accepted() -> None:
    """It once ended the accepted connections for up to 0.5 s, and then reset those that waited."""

    async def work(stand: Stand) -> None:
        front, [accepted] = await node(stand)
        callers = [connect(front) for _ in range(40)]
        for caller in (accepted, *callers):
            caller.send(CHECK_2 + request(3))
        leave_overdue(stand.program, left_s=0.0)
        await stand.program._end_connections()
        for caller in (accepted, *callers):
            await caller.closed()

    run(work)


def test_scgi_callers_are_answered_though_no_turn_of_the_loop_is_left() -> None:
    async def work(stand: Stand) -> None:
        await open_both(stand)
        front = stand.program.scgi
        assert front is not None and front.server is not None
        address = front.server.sockets[0].getsockname()[:2]
        whole, half, silent = (Caller(address) for _ in range(3))
        await until(lambda: len(front.peers) == 3, lambda: "no connections")
        backlog = Caller(address)
        leave_overdue(stand.program)
        headers = {"HTTP_X_ROUTE": "pack", "HTTP_X_TEAM": "releases", "HTTP_IDEMPOTENCY_KEY": "key"}
        request_data = request_bytes(headers, b"x")
        for caller, data in ((whole, request_data), (half, request_data[:20]), (backlog, request_data)):
            caller.socket.sendall(data)
        await stand.program._end_connections()
        for caller in (whole, half, silent, backlog):
            await until(lambda caller=caller: caller.read() or caller.ended, lambda: "still open")
            assert caller.got.startswith(b"Status: 503") and caller.got.endswith(b"nothing ran\n")
            assert not caller.reset
        assert not stand.program.counters["sent.launches"]

    run(work)


def test_all_requests_that_wait_on_a_connection_are_answered_however_many_they_are() -> None:
    async def work(stand: Stand) -> None:
        front, [caller] = await node(stand)
        many = b"".join(request(stream) for stream in range(2, 802))
        assert FAIR_BYTES < len(many) < MAX_LAST_BYTES
        caller.send(many)
        now = asyncio.get_running_loop().time()
        await front.shut_down(now, now, now + 20.0)
        assert caller.answers() == caller.owed and caller.ended  # without another turn of the loop

    run(work)


def test_a_full_table_leaves_no_request_in_the_backlog_as_the_last_connections_are_ended() -> None:
    """More connections wait than a full table rejects at once, so the loop's turns do not accept them all."""

    async def work(stand: Stand) -> None:
        front, [busy] = await node(stand)
        front.max_connections = 1
        busy.send(request(2))
        await until(lambda: stand.program.module.table.last_id == 1, lambda: "unread")
        half = [connect(front) for _ in range(MAX_REJECTED)]
        for caller in half:
            caller.socket.sendall(request(1)[:9])  # rejected, and not evicted for others
        await until(lambda: len(front.peers) == 1 + MAX_REJECTED, lambda: f"{len(front.peers)} connections")
        waiting = [connect(front) for _ in range(3 * MAX_REJECTED)]
        for caller in waiting:
            caller.send(CHECK_1 + request(2))
        shutdown = stand.program.graceful_shutdown
        close_s = shutdown.steps.close_s
        shutdown.steps = replace(
            shutdown.steps, cut_s=close_s + 0.02, exit_s=close_s + 0.04, end_s=close_s + 20.0
        )
        stand.program.leave()
        shutdown.began_at -= close_s
        await stand.program._end_connections()
        for caller in (busy, *waiting):
            await caller.closed()

    run(work)


class Endless:
    """Endpoint that delivers another request each time it is read."""

    def __init__(self) -> None:
        self.reads = 0
        self.ended = False

    def receive(self) -> bytes:
        self.reads += 1
        assert self.reads < 1000, "the endpoint is read for as long as bytes arrive"
        return request(self.reads)

    def send(self, data: bytes) -> bool:
        return True

    def end(self) -> None:
        self.ended = True

    def end_if_empty(self) -> bool:
        return False


@pytest.mark.parametrize("force", [False, True])
def test_a_caller_that_sends_without_end_does_not_delay_answers_to_others(force: bool) -> None:
    """Its connection is left until the others are done, and then closed despite its unread input."""

    async def work(stand: Stand) -> None:
        front, _ = await node(stand, 0)
        endpoint = Endless()
        assert front.peer().close_now_on(endpoint, 10 * len(request(1)), force) is force
        assert endpoint.ended is force
        assert 10 <= endpoint.reads <= 12

    run(work)


def test_no_last_answer_is_written_into_the_middle_of_another_with_a_slow_reader() -> None:
    async def work(stand: Stand) -> None:
        front, [slow] = await node(stand)
        [peer] = front.peers
        peer._sending = True  # part of an answer is written, and the rest waits for its reader
        before = slow.got
        slow.send(request(2))
        assert not peer.close_now(1000, force=True)
        slow.read()
        assert slow.got == before and not slow.ended
        peer._sending = False
        await slow.closed()  # as soon as the loop has written the rest

    run(work)


def test_a_replaced_process_answers_its_old_connections_though_no_turn_of_the_loop_is_left(
    folder: Path,
) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        caller = Caller(pair.shared.getsockname())
        caller.send(CHECK_1)
        await caller.answered()
        new = await pair.start()
        await pair.following(old, new)
        leave_overdue(old.program)
        caller.send(request(2))
        await old.program._end_connections()
        await caller.closed()
        assert verdicts(caller) == [REFUSED]

    run_pair(work, folder)


@pytest.mark.parametrize(
    ("stop_s", "lag_s", "earlier_s"),
    [
        (4.0, 0.0, 0.0),
        (4.0, 0.01, 0.03),
        (4.0, 0.1, MAX_EARLIER_S),
        (1.0, 0.05, 0.15),
        (0.5, 0.05, 0.5 * MAX_EARLIER_S),  # a short notice keeps its proportions
        (0.1, 3.0, 0.1 * MAX_EARLIER_S),
    ],
)
def test_a_lagging_loop_moves_the_steps_earlier_within_bounds(
    stop_s: float, lag_s: float, earlier_s: float
) -> None:
    planned = schedule(stop_s)
    found = advance_for_lag(planned, lag_s)
    assert found.exit_s == pytest.approx(planned.exit_s - earlier_s)
    assert planned.exit_s == pytest.approx(stop_s - min(1.0, stop_s) * EXIT_S)
    assert 0 < found.answered_s < found.close_s < found.cut_s < found.exit_s < found.end_s < stop_s
    assert found.answered_s <= planned.answered_s and found.end_s == planned.end_s


def test_lag_of_more_than_a_second_ago_is_forgotten() -> None:
    lag = LoopLag()
    assert lag.worst_s() == 0.0
    for now_s, due_s in ((1.0, 0.8), (1.5, 1.45), (1.6, 1.7)):
        lag.note(now_s, due_s)
    assert lag.worst_s() == pytest.approx(0.2)
    lag.note(2.2, 2.2)
    assert lag.worst_s() == pytest.approx(0.05)


def test_the_module_answers_earlier_when_the_loop_lags() -> None:
    """Otherwise requests that the module still holds at the closes would fail, though they never ran."""

    async def work(stand: Stand) -> None:
        await node(stand)
        program = stand.program
        program.leave()
        planned = program.graceful_shutdown.steps
        await until(lambda: program.module.shutdown_deadline is not None, lambda: "no first time limit")
        first = program.module.node.shutdown.kill_s
        stand.now += 3.0
        program.graceful_shutdown.began_at -= 3.0
        program.graceful_shutdown._adopt_earlier(
            advance_for_lag(planned, 0.5), program._post_shutdown_request
        )
        await until(lambda: program.module.node.shutdown.kill_s < first, lambda: "no second time limit")
        left_s = program.graceful_shutdown.steps.close_s - 3.0
        assert program.module.node.shutdown.kill_s - stand.now < left_s < planned.close_s - 3.0

    run(work)


# Program that runs a node, and prints the monotonic time of the process's last instruction.
PRINTS_EXIT_TIME = """
import os, runpy, time
leave = os._exit
os._exit = lambda code: (os.write(1, str(time.monotonic()).encode()), leave(code))
runpy.run_module("beechrock", run_name="__main__")
"""


@pytest.mark.parametrize("stopped_before_kill_s", [0.2, 0.17, 0.15, 0.12])
def test_a_process_that_is_suspended_in_its_last_moments_still_exits_before_its_kill(
    tmp_path: Path, stopped_before_kill_s: float
) -> None:
    """A second SIGTERM and a SIGINT change nothing; the process is really killed, with SIGKILL.

    If the waits of this test end late, that is not the node's fault: the kill is then as much later.
    """
    stop_s = 1.0
    configuration = write_configuration(tmp_path, stop_ms=round(1000 * stop_s))
    with start_node(configuration, "-c", PRINTS_EXIT_TIME, stdout=subprocess.PIPE) as process:
        try:
            address = frames_address(process)
            assert process.stdout is not None
            links = [socket.create_connection(address, 30) for _ in range(20)]
            for link in links:
                link.sendall(CHECK_1)
                link.recv(100)
            process.send_signal(signal.SIGTERM)
            left_at = time.monotonic()
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
            time.sleep(max(0.0, left_at + stop_s - stopped_before_kill_s - time.monotonic()))
            process.send_signal(signal.SIGSTOP)
            time.sleep(STOPPED_S)
            process.send_signal(signal.SIGCONT)
            kill_at = time.monotonic() + stopped_before_kill_s - STOPPED_S
            time.sleep(max(0.0, kill_at - time.monotonic()))
            process.kill()
            assert process.wait(30) == 0
            ended_at = float(process.stdout.read())
            assert ended_at < kill_at, f"it ended {ended_at - kill_at:.3f} s after its kill"
        finally:
            process.kill()


# Program that runs a node, and prints a line when an event loop is closed.
PRINTS_LOOP_CLOSE = """
import asyncio.base_events, runpy
close = asyncio.base_events.BaseEventLoop.close
asyncio.base_events.BaseEventLoop.close = lambda loop: (print("closed", flush=True), close(loop))
runpy.run_module("beechrock", run_name="__main__")
"""


def test_a_platform_process_ends_without_the_teardown_of_its_event_loop(tmp_path: Path) -> None:
    """The teardown took up to 169 ms on a busy machine, as the process's time slice ended during it."""
    configuration = write_configuration(tmp_path, stop_ms=500)
    with start_node(configuration, "-c", PRINTS_LOOP_CLOSE, stdout=subprocess.PIPE) as process:
        try:
            with socket.create_connection(frames_address(process), 30) as link:
                link.sendall(CHECK_1)
                link.recv(100)
                process.send_signal(signal.SIGTERM)
                out, log = process.communicate(timeout=30)
            assert process.returncode == 0 and out == ""
            assert "answered.checks_bad 1" in log  # the last lines of the log are written
        finally:
            process.kill()
