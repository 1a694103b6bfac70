"""Two processes of one node in one event loop: what each accepts, runs and answers during a replacement."""

import asyncio
import os
import socket
from pathlib import Path

import pytest
from pair import CHECK, DOUBT, FAILED, LAUNCH, OK, PASS, REFUSAL, UP, Pair, request_line, run
from play import Stand, until
from play import run as run_one

from beechrock.handover.lifecycle import PredecessorStage, SuccessorStage


@pytest.mark.parametrize("turns", range(8))
def test_a_pause_drops_no_connection_that_was_accepted(turns: int) -> None:
    """A connection must either stay in the shared socket's backlog or be served."""

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

    run_one(work)


def test_the_new_process_answers_keys_that_the_old_one_ran(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        await old.play(
            "a = connect frames\n"
            + request_line(1, 1, 1)
            + LAUNCH % 1
            + PASS % (1, 1)
            + OK % 1
            + request_line(2, 2, 2)
            + LAUNCH % 2
            + request_line(3, 3, 3)
            + LAUNCH % 3
        )
        new = await pair.start()
        await pair.following(old, new)
        await pair.connect_caller(new, [old])
        # Key 1 has run at the old process; 2 and 3 still run there, and 2 ends while both processes exist.
        await new.play(
            request_line(1, 11, 1)
            + OK % 1
            + request_line(2, 12, 2)
            + request_line(3, 13, 3)
            + "counter handover.repeats 3\n"
        )
        await old.play(PASS % (2, 2) + OK % 2)
        await new.play(OK % 2)
        # The old process is killed during the run of key 3, which may have had effects and must not run
        # again.
        await pair.end(old)
        await new.play(FAILED % 3 + request_line(4, 14, 3) + FAILED % 4 + request_line(5, 15, 1) + OK % 5)
        assert new.program.counters["sent.launches"] == 0
        # The new process now runs an unknown key without a grant request.
        await new.play(request_line(6, 16, 6) + LAUNCH % 16)
        assert os.listdir(pair.folder) == [new.program.handover.channel.name]  # type: ignore[union-attr]

    run(work, folder)


def test_a_key_is_granted_once_and_its_repeats_are_answered_by_the_old_process(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await pair.connect_caller(new, [old])
        await pair.connect_caller(old, [new])
        await new.play(request_line(1, 1, 1) + LAUNCH % 1)
        ownership = new.program.handover.keys.ownership  # type: ignore[union-attr]
        assert ownership.grants.grants and not ownership.other_claims.claims
        await old.play(request_line(1, 2, 1) + "counter handover.repeats 1\n")
        await new.play(PASS % (1, 1) + OK % 1)
        await old.play(OK % 1)
        assert old.program.counters["sent.launches"] == 0
        # A key whose run the agent refuses is released, so the old process may run it.
        await new.play(request_line(2, 3, 2) + LAUNCH % 3 + REFUSAL % 3 + FAILED % 2)
        await until(
            lambda: len(old.program.handover.keys.ownership.other_claims.claims) == 1, lambda: "not released"
        )  # type: ignore
        await old.play(request_line(2, 4, 2) + LAUNCH % 4)
        # The new process dies: its keys may have run, and the old process continues alone.
        await new.play(request_line(3, 5, 3) + LAUNCH % 5)
        await pair.end(new)
        await old.play(request_line(3, 6, 3) + FAILED % 3 + request_line(4, 7, 4) + LAUNCH % 7)
        assert old.program.handover.lifecycle.successor is SuccessorStage.NONE  # type: ignore[union-attr]

    run(work, folder)


def test_a_silent_predecessor_causes_a_rejection_with_a_retry_time(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await pair.connect_caller(new, [old])
        old.program.handover.receive = lambda peer, message: None  # type: ignore  # as if stopped
        await new.play(request_line(1, 1, 1))
        await until(
            lambda: new.program.handover.keys.ownership.requests.waiting == 1,
            lambda: "no grant request waits",
        )  # type: ignore
        await new.play("clock 0.35\n" + DOUBT % 1 + request_line(2, 2, 1) + DOUBT % 2)
        assert new.program.counters["sent.launches"] == 0
        await pair.end(old)
        await until(
            lambda: new.program.handover.lifecycle.predecessor is PredecessorStage.ABSENT, lambda: "not seen"
        )  # type: ignore
        await new.play(request_line(3, 3, 1) + LAUNCH % 3)

    run(work, folder)


def test_the_old_process_stops_accepting_only_after_the_successor_is_ready(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        new = await pair.start(up=False)  # without an agent it cannot run anything yet
        await until(
            lambda: old.program.handover.lifecycle.successor is SuccessorStage.JOINING, lambda: "not seen"
        )  # type: ignore
        await old.play("a = connect frames\n" + request_line(1, 1, 1) + LAUNCH % 1)
        old.program.leave()
        assert old.program.frames.server is not None and not old.program.replaced  # type: ignore[union-attr]
        await old.play("a < {06 00000000}\nbeat BEAT n1 draining\n")
        assert not new.program.handover.serving  # type: ignore[union-attr]
        await new.play(UP)
        await pair.following(old, new)
        assert new.program.handover.serving and old.program.replaced  # type: ignore[union-attr]
        assert old.program.frames.server is None  # type: ignore[union-attr]
        await until(lambda: old.program.module.status.healthy, lambda: "still unhealthy")
        old.beats.clear()
        await old.play(CHECK % (9, 9) + "beat BEAT n1 ready\n")  # the successor keeps the node in service
        assert not old.program.handover.may_exit()  # type: ignore[union-attr]
        # The successor dies after it was ready: the old process accepts connections again.
        await pair.end(new)
        await pair.serving(old)
        await old.play(PASS % (1, 1) + OK % 1)
        # Closing the channel at its own end does not count as the loss of a successor.
        old.program.close()
        assert old.program.frames.server is None  # type: ignore[union-attr]

    run(work, folder)


def test_a_replaced_process_stays_healthy_and_may_exit_when_its_work_is_done(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await pair.connect_caller(old, [new])
        await old.play(CHECK % (9, 9) + request_line(1, 1, 1) + LAUNCH % 1)
        old.program.leave()
        handover = old.program.handover
        assert old.program.replaced and handover is not None and old.program.frames is not None
        await old.play("a < {06 00000000}\n" + CHECK % (10, 10))
        assert "BEAT n1 draining" not in old.beats
        await old.play(PASS % (1, 1) + OK % 1)
        assert not handover.may_exit()
        await old.play("a end\na closed\n")
        await until(handover.may_exit, lambda: "may not exit yet")
        old.program.close()
        handover.close()
        await asyncio.sleep(0.05)  # during upgrades a fault once made it accept again here
        assert old.program.frames.server is None and old.program.replaced is not False

    run(work, folder)
