"""A process on a shared socket whose other process is absent, has ended or is late."""

import asyncio
import socket
from pathlib import Path

import pytest
from callers import Caller, request
from pair import CHECK, DRAIN_COMMAND, Pair, run
from test_closing import CHECK_1, leave


@pytest.mark.parametrize("count", [1, 40])  # one loop iteration accepts 1, but not 40
def test_a_lone_process_answers_the_backlog_of_the_shared_socket_before_it_ends(
    folder: Path, count: int
) -> None:
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


def test_connections_after_the_end_wait_in_the_backlog_of_the_shared_socket(folder: Path) -> None:
    """Closing a socket of its own refuses connections, but other processes still use a shared one."""

    async def work(pair: Pair) -> None:
        one = await pair.start()
        await pair.serving(one)
        leave(one)
        await one.program._end_connections()
        pair.shared.setblocking(False)
        with socket.create_connection(pair.shared.getsockname()):
            waiting, _ = pair.shared.accept()
            waiting.close()

    run(work, folder)


def test_the_backlog_of_the_shared_socket_is_left_to_a_successor(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        assert new.program.frames is not None
        new.program.frames.pause()  # the successor accepts late
        leave(old)
        with socket.create_connection(pair.shared.getsockname()):
            await old.program._end_connections()
            pair.shared.setblocking(False)
            left, _ = pair.shared.accept()
            left.close()

    run(work, folder)


def test_heartbeats_report_draining_only_while_no_successor_serves(folder: Path) -> None:
    """Heartbeats report ready while a successor serves the node, and draining as soon as none does."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        old.program.leave()
        await old.play("beat BEAT n1 draining\n")
        for _ in range(2):
            new = await pair.start()
            await pair.following(old, new)
            old.beats.clear()
            await old.play("beat BEAT n1 ready\n")
            old.beats.clear()
            await old.play("beat BEAT n1 ready\n")  # the next heartbeats stay the same
            assert set(old.beats) == {"BEAT n1 ready"} == set(new.beats)
            await pair.end(new)
            await pair.serving(old)
            old.beats.clear()
            await old.play("beat BEAT n1 draining\n")
            old.beats.clear()
            await old.play("beat BEAT n1 draining\n")
            assert set(old.beats) == {"BEAT n1 draining"}

    run(work, folder)


def test_an_operators_drain_shows_in_health_checks_and_not_in_heartbeats(folder: Path) -> None:
    """The platform removes the node by its health checks, and may list it again at once after ``ok``."""

    async def work(pair: Pair) -> None:
        one = await pair.start(admin=True)
        await pair.serving(one)
        await one.play(
            "a = connect frames\n"
            + CHECK % (1, 1)
            + DRAIN_COMMAND % ("fail", "failed")
            + 'a > {04 00000002 00}\na < {05 00000002 01 01 06"advice" 0006"0.0000"}\n'
        )
        one.beats.clear()
        await one.play("beat BEAT n1 ready\n" + DRAIN_COMMAND % ("ok", "ready") + CHECK % (3, 3))
        one.beats.clear()
        await one.play("beat BEAT n1 ready\n")
        assert set(one.beats) == {"BEAT n1 ready"}
        one.program.leave()
        await one.play("a < {06 00000000}\nbeat BEAT n1 draining\n")

    run(work, folder)
