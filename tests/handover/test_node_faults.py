"""Handovers with a lost process, malformed input, other versions, or a third process."""

import asyncio
import contextlib
import os
import socket
import struct
from dataclasses import replace
from pathlib import Path

import pytest
from pair import CHECK, DOUBT, DRAIN_COMMAND, FAILED, LAUNCH, OK, PASS, UP, Pair, request_line, run
from play import until

from beechrock.handover import messages, wire
from beechrock.handover.lifecycle import COPY_TIMEOUT_S, HELLO_TIMEOUT_S, PredecessorStage, SuccessorStage


def test_a_successor_that_dies_before_it_is_ready_and_a_reload_beside_one_change_nothing(
    folder: Path,
) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        await old.play("a = connect frames\n" + request_line(1, 1, 1) + LAUNCH % 1)
        early = await pair.start(up=False)
        await until(
            lambda: old.program.handover.lifecycle.successor is SuccessorStage.JOINING, lambda: "not seen"
        )  # type: ignore
        await pair.end(early)
        await until(
            lambda: old.program.handover.lifecycle.successor is SuccessorStage.NONE, lambda: "still there"
        )  # type: ignore
        new = await pair.start()
        await pair.following(old, new)
        for stand in (old, new):  # both processes get new agent addresses
            await stand.play("move agent\nreload\ng = accept agent\n")
        greeted = UP.partition("\n")[2].replace("links 1", "links 2")
        # The old address has confirmed the launch, so it is not sent again.
        await old.play(greeted + "counter agent.commands_sent_again 0\n" + PASS % (1, 1) + OK % 1)
        await new.play(greeted)
        await pair.connect_caller(new, [old])
        await new.play(request_line(1, 2, 1) + OK % 1)
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


@pytest.mark.parametrize("version", [1, 99])  # version 1 sent Unix times
def test_the_socket_is_left_to_a_successor_of_another_version(folder: Path, version: int) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        handover = old.program.handover
        assert handover is not None and handover.channel is not None and old.program.frames is not None
        reader, writer = await asyncio.open_unix_connection(str(folder / handover.channel.name))
        writer.write(wire.encode(messages.Hello(version)) + b"\xff" * 100)
        await until(
            lambda: any(peer.incompatible for peer in handover.successors.waiting), lambda: "not seen"
        )
        greeting = messages.Hello(features=messages.FEATURES)
        assert (await reader.read(100)) == wire.encode(greeting)
        old.program.leave()
        assert old.program.replaced and old.program.frames.server is None
        writer.close()  # the successor is lost, so this process must serve again
        await pair.serving(old)

    run(work, folder)


def test_a_rollback_leaves_the_node_to_the_old_process_and_both_may_leave(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await pair.connect_caller(new, [old])
        await new.play(request_line(1, 1, 1) + LAUNCH % 1)
        new.program.leave()
        assert new.program.replaced and new.program.frames.server is None  # type: ignore[union-attr]
        await new.play("a < {06 00000000}\n" + CHECK % (9, 9) + PASS % (1, 1) + OK % 1 + "a end\na closed\n")
        await until(new.program.handover.may_exit, lambda: "may not exit yet")  # type: ignore[union-attr]
        assert old.program.frames.server is not None  # type: ignore[union-attr]
        # The old process leaves as well: no other one remains, so both accept connections until their ends.
        old.program.leave()
        await pair.serving(new)
        assert not new.program.replaced and not old.program.replaced
        await old.play("beat BEAT n1 draining\n")

    run(work, folder)


def test_an_operators_drain_command_applies_to_both_processes(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start(admin=True)
        await pair.serving(old)
        await old.play(DRAIN_COMMAND % ("fail", "failed"))
        new = await pair.start(admin=True)
        await pair.following(old, new)
        await until(lambda: new.program.serving.failed, lambda: "not passed on")  # type: ignore
        await new.play(DRAIN_COMMAND % ("ok", "ready"))
        await until(lambda: not old.program.serving.failed, lambda: "not passed back")  # type: ignore[union-attr]

    run(work, folder)


def test_a_third_process_waits_until_the_second_can_vouch_for_all(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        first = await pair.start()
        await pair.serving(first)
        await first.play("a = connect frames\n" + request_line(1, 1, 1) + LAUNCH % 1)
        second = await pair.start()
        await pair.following(first, second)
        third = await pair.start()
        life = third.program.handover.lifecycle  # type: ignore[union-attr]
        await until(lambda: life.predecessor is PredecessorStage.DEFERRED, lambda: f"{life.predecessor}")
        third.now += 60
        await asyncio.sleep(0.05)
        assert not life.serving
        third.now -= 60
        await pair.end(first)
        await pair.following(second, third)
        await pair.connect_caller(third, [second])
        await third.play(request_line(1, 2, 1) + FAILED % 1)  # the first process died during its run

    run(work, folder)


@pytest.mark.parametrize("received", ["nothing", "another version", "noise", "half a greeting"])
def test_beside_an_incompatible_predecessor_a_process_serves_but_runs_no_key(
    folder: Path,
    received: str,
) -> None:
    async def work(pair: Pair) -> None:
        host, port = pair.shared.getsockname()
        path = folder / f"beechrock-{host}_{port}-{0:020d}-1.sock"
        data = {
            "nothing": b"",
            "another version": wire.encode(messages.Hello(99)) + b"\xff" * 4000,
            "noise": b"\xff" * 64,
            "half a greeting": wire.encode(messages.Hello())[:9],
        }[received]
        ends: list[asyncio.StreamWriter] = []

        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ends.append(writer)
            writer.write(data)

        server = await asyncio.start_unix_server(accepted, path)
        new = await pair.start()
        life = new.program.handover.lifecycle  # type: ignore[union-attr]
        await until(lambda: bool(ends), lambda: "no channel")
        for _ in range(40):
            if life.serving:
                break
            new.now += 0.1
            await asyncio.sleep(0.02)
        await pair.serving(new)
        await new.play("a = connect frames\n" + request_line(1, 1, 1) + DOUBT % 1)
        assert new.program.counters["sent.launches"] == 0
        server.close()
        for end in ends:
            end.transport.abort()
        await until(lambda: life.predecessor is PredecessorStage.ABSENT, lambda: f"{life.predecessor}")
        await new.play(request_line(2, 2, 1) + DOUBT % 2)
        new.now += 30  # past the longest window
        text = request_line(3, 3, 1).replace("1700000000000", str(int(1000 * new.now)))
        await new.play(text + LAUNCH % 3)

    run(work, folder)


def test_beside_a_stopped_predecessor_whose_queue_is_full_a_process_serves_in_doubt(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        host, port = pair.shared.getsockname()
        with contextlib.ExitStack() as held:
            stopped = held.enter_context(socket.socket(socket.AF_UNIX))
            stopped.bind(str(folder / f"beechrock-{host}_{port}-{0:020d}-1.sock"))
            stopped.listen(0)
            filler = held.enter_context(socket.socket(socket.AF_UNIX))
            filler.connect(stopped.getsockname())
            new = await pair.start()
            await until(
                lambda: new.program.counters["handover.channels_ended"] > 0, lambda: "no connection attempt"
            )
            new.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S + 0.1
            await pair.serving(new)
            await new.play(
                "a = connect frames\n"
                + request_line(1, 1, 1).replace("1700000000000", str(int(1000 * new.now)))
                + DOUBT % 1
            )
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


def test_other_files_in_the_folder_are_ignored_and_stale_sockets_are_removed(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        host, port = pair.shared.getsockname()
        names = [f"beechrock-{host}_{port}-{n:020d}-1.sock" for n in range(4)]
        (folder / names[0]).write_text("no socket")
        (folder / names[1]).mkdir()
        (folder / names[2]).symlink_to("/dev/null")
        stale = socket.socket(socket.AF_UNIX)
        stale.bind(str(folder / names[3]))
        stale.close()
        node = await pair.start()
        await pair.serving(node)
        assert sorted(os.listdir(folder))[:3] == names[:3] and names[3] not in os.listdir(folder)

    run(work, folder)


def test_a_process_without_a_folder_serves_and_leaves_alone(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        pair.folder = None  # type: ignore[assignment]
        node = await pair.start()
        await pair.serving(node)
        pair.folder = folder / "nowhere"
        other = await pair.start()
        await pair.serving(other)
        await node.play("a = connect frames\n")
        node.program.leave()
        assert node.program.frames.server is not None  # type: ignore[union-attr]

    run(work, folder)


def test_a_folder_with_a_long_path_can_hold_the_socket(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        pair.folder = folder / ("x" * 120)
        pair.folder.mkdir()
        await pair.start_both()

    run(work, folder)


def test_load_of_the_other_process_lowers_the_run_limit_until_it_ends(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        alone = new.program.module.node.concurrency.run_limit()
        await pair.connect_caller(old, [new])
        await old.play(
            "".join(request_line(n, n, n) for n in range(1, 4)) + 'counter sent.launches 3\ng ... "\\r\\n"\n'
        )
        node = new.program.module.node
        await until(lambda: node.other_process.load.running > 0, lambda: f"{node.other_process.load}")
        assert node.concurrency.run_limit() < alone and node.other_process.load.held_kb > 0
        await pair.end(old)
        await until(lambda: not node.other_process.load.running, lambda: f"{node.other_process.load}")
        assert node.concurrency.run_limit() == alone

    run(work, folder)


def test_malformed_input_on_the_channel_does_not_prevent_a_later_successor(folder: Path) -> None:
    """Random bytes, invalid lengths and truncated hellos must not prevent a later successor."""

    async def work(pair: Pair) -> None:
        node = await pair.start()
        await pair.serving(node)
        handover = node.program.handover
        assert handover is not None and handover.channel is not None
        hello = wire.encode(messages.Hello())
        for data in (
            b"\0" * 50,
            b"\xff" * 50,
            struct.pack(">IB", 2**31, 3),
            hello + b"\0\0\0\x02\x63x",
            *(hello[:n] for n in range(len(hello))),
        ):
            # A peer that sent a hello counted as a successor, so the socket was renamed when it ended.
            await until(
                lambda: handover.links.successor is None and not handover.successors.waiting,
                lambda: "still there",
            )
            path = str(folder / handover.channel.name)
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(data)
            writer.write_eof()
            while await reader.read(1000):
                pass
            writer.close()
        new = await pair.start()
        await pair.following(node, new)

    run(work, folder)


def test_a_process_with_a_handover_folder_may_hold_half_the_open_requests(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        one = await pair.start()
        assert (
            one.program.module.memory.max_open_requests == 3072
        )  # half of what fits: 24 MB of 192, 4 KB per request
        assert replace(one.told, listen_fd=None).memory_mb == 192.0

    run(work, folder)
