"""Channels that end while both processes live: keys that run meanwhile are known or in doubt."""

import asyncio
import errno
import os
from pathlib import Path

import pytest
from handover_requests import claim_of, handover_of
from pair import DOUBT, LAUNCH, Pair, ScriptedPredecessor, request_line, run
from play import Stand, until

from beechrock.handover import messages, wire
from beechrock.handover.lifecycle import PredecessorStage, SuccessorStage
from beechrock.handover.peer import ChannelPeer


def block_connections(stand: Stand, monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Block connections of this process to its predecessor until the returned event is set."""
    channel, go = handover_of(stand).channel, asyncio.Event()
    assert channel is not None
    connect = channel.connect

    async def later() -> object:
        await go.wait()
        return await connect()

    monkeypatch.setattr(channel, "connect", later)
    return go


async def kill(pair: Pair, stand: Stand) -> None:
    """End a process as a kill does, so that the name of its socket stays."""
    channel = handover_of(stand).channel
    assert channel is not None and channel.server is not None
    channel.server.close()
    channel.server = None
    await pair.end(stand)


def test_keys_run_after_a_dropped_channel_are_in_doubt_although_all_were_known_before(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old process drops the channel, runs a key alone, and is killed before the new one reconnects."""

    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        go = block_connections(new, monkeypatch)
        after = handover_of(old).links.successor
        assert after is not None
        after.drop()
        await until(
            lambda: handover_of(old).lifecycle.successor is SuccessorStage.NONE,
            lambda: "not seen by the old one",
        )
        await until(lambda: handover_of(new).links.predecessor is None, lambda: "not seen by the new one")
        await pair.connect_caller(old, [new])
        await old.play(request_line(1, 1, 1) + LAUNCH % 1)
        await kill(pair, old)
        go.set()
        await until(
            lambda: handover_of(new).lifecycle.predecessor is PredecessorStage.ABSENT,
            lambda: f"{handover_of(new).lifecycle.predecessor}",
        )
        await new.play("a = connect frames\n" + request_line(2, 2, 1) + DOUBT % 2)

    run(work, folder)


def test_processes_reconnect_under_the_new_socket_name_after_their_channel_ended(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        for _ in range(3):
            channel, after = handover_of(old).channel, handover_of(old).links.successor
            assert channel is not None and after is not None
            name = channel.name
            after.drop()
            ended = (None, after)
            await until(
                lambda ended=ended: handover_of(old).links.successor not in ended, lambda: "not joined again"
            )  # type: ignore
            await until(
                lambda: handover_of(old).lifecycle.successor is SuccessorStage.READY,
                lambda: "not ready again",
            )
            assert channel.name != name and channel.name in [path.name for path in folder.iterdir()]
            assert name not in [path.name for path in folder.iterdir()]
        await pair.end(old)
        await until(
            lambda: handover_of(new).lifecycle.predecessor is PredecessorStage.ABSENT,
            lambda: f"{handover_of(new).lifecycle.predecessor}",
        )
        assert not handover_of(new).keys.in_doubt  # the old process exited cleanly
        assert len(list(folder.iterdir())) == 1

    run(work, folder)


def test_a_socket_renamed_between_listing_and_connecting_is_found_again(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise a process that renames its socket at that moment would count as cleanly exited."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        channel = handover_of(old).channel
        assert channel is not None
        new = await pair.start(up=False)
        other = handover_of(new).channel
        assert other is not None
        older, renamed = other.older_names, []

        def listed() -> list[str]:
            found = older()
            if not renamed:
                channel.renew()
                renamed.append(channel.name)
            return found

        monkeypatch.setattr(other, "older_names", listed)
        ends = await other.connect()
        assert ends is not None and other.reached_name == renamed[0]
        ends[1].close()

    run(work, folder)


def test_messages_already_in_a_channel_are_received_when_it_is_cut(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A claim of the other process may be in transit when this one cuts the channel to it."""

    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        go = block_connections(new, monkeypatch)
        before, after = handover_of(new).links.predecessor, handover_of(old).links.successor
        assert before is not None and after is not None
        after.mailbox.capacity = 0  # as if the other process had read nothing for long
        after.flushed = False
        assert before.send(claim_of(7))  # unread in the kernel's buffer
        assert after._reader is not None  # claim 8 is unread in the stream's buffer
        after._reader.feed_data(wire.encode(wire.shift_times(claim_of(8), -handover_of(old).origin_s)))
        assert not after.send(messages.LoadReport(1, 0.0, 0, 0))
        await until(lambda: handover_of(old).links.successor is None, lambda: "not cut")
        assert {claim_of(7).key, claim_of(8).key} <= set(handover_of(old).keys.ownership.other_claims.claims)
        go.set()

    run(work, folder)


def test_a_cut_channel_does_not_accept_a_claim(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, _ = await pair.start_both()
        after = handover_of(old).links.successor
        assert isinstance(after, ChannelPeer)
        after.mailbox.capacity = 0
        after.flushed = False
        assert not after.send(messages.LoadReport(1, 0.0, 0, 0))
        after.flushed = True
        assert not after.send(claim_of(7))

    run(work, folder)


def test_a_killed_predecessor_leaves_doubt_if_its_messages_were_not_all_received(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After input that the new process cannot decode, the old one may have sent and run further claims."""

    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        go = block_connections(new, monkeypatch)
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        end.send_messages(claim_of(1))
        end.sock.sendall(b"\0\0\0\2\xff\xff")  # not a valid message: later ones are not read
        end.send_messages(claim_of(2))
        await until(lambda: handover_of(new).links.predecessor is None, lambda: "not ended")
        old.kill()
        go.set()
        await until(
            lambda: handover_of(new).lifecycle.predecessor is PredecessorStage.ABSENT,
            lambda: f"{handover_of(new).lifecycle.predecessor}",
        )
        await new.play("a = connect frames\n" + request_line(2, 2, 2) + DOUBT % 2)

    run(work, folder)


def test_renaming_the_socket_is_retried_after_a_failure(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work(pair: Pair) -> None:
        old, _ = await pair.start_both()
        channel, after, real = handover_of(old).channel, handover_of(old).links.successor, os.rename
        assert channel is not None and after is not None
        name, failures = channel.name, [OSError(errno.EIO, "not now")] * 3

        def failing(*names: Path) -> None:
            if failures:
                raise failures.pop()
            real(*names)

        monkeypatch.setattr(os, "rename", failing)
        after.drop()
        await until(lambda: channel.name != name, lambda: "socket not renamed")
        assert not failures

    run(work, folder)
