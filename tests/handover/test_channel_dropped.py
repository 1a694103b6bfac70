"""A channel that ends while both processes live: what is run meanwhile is known, or in doubt."""

import asyncio
import errno
import os
from pathlib import Path

import pytest
from handover_requests import claimed, part
from pair import DOUBT, LAUNCH, OlderProcess, Pair, asked, run
from play import Stand, until

from beechrock.handover import messages, wire
from beechrock.handover.lifecycle import PredecessorStage, SuccessorStage
from beechrock.handover.peer import ChannelPeer


def held_off(stand: Stand, monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """This process reaches no predecessor any more until the event, as if it were stopped."""
    channel, go = part(stand).channel, asyncio.Event()
    assert channel is not None
    connect = channel.connect

    async def later() -> object:
        await go.wait()
        return await connect()

    monkeypatch.setattr(channel, "connect", later)
    return go


async def killed(pair: Pair, stand: Stand) -> None:
    """As the kernel ends a process: its socket's name stays."""
    channel = part(stand).channel
    assert channel is not None and channel.server is not None
    channel.server.close()
    channel.server = None
    await pair.end(stand)


def test_keys_run_after_a_dropped_channel_are_in_doubt_although_all_were_known_before(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old process drops the channel, goes on alone, and is killed before the new one comes again."""

    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        go = held_off(new, monkeypatch)
        after = part(old).links.successor
        assert after is not None
        after.drop()
        await until(
            lambda: part(old).lifecycle.successor is SuccessorStage.NONE, lambda: "not seen by the old one"
        )
        await until(lambda: part(new).links.predecessor is None, lambda: "not seen by the new one")
        await pair.caller(old, [new])
        await old.play(asked(1, 1, 1) + LAUNCH % 1)
        await killed(pair, old)
        go.set()
        await until(
            lambda: part(new).lifecycle.predecessor is PredecessorStage.ABSENT,
            lambda: f"{part(new).lifecycle.predecessor}",
        )
        await new.play("a = connect frames\n" + asked(2, 2, 1) + DOUBT % 2)

    run(work, folder)


def test_processes_reconnect_under_the_new_socket_name_after_their_channel_ended(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        for _ in range(3):
            channel, after = part(old).channel, part(old).links.successor
            assert channel is not None and after is not None
            name = channel.name
            after.drop()
            gone = (None, after)
            await until(lambda gone=gone: part(old).links.successor not in gone, lambda: "not joined again")  # type: ignore
            await until(
                lambda: part(old).lifecycle.successor is SuccessorStage.READY, lambda: "not ready again"
            )
            assert channel.name != name and channel.name in [path.name for path in folder.iterdir()]
            assert name not in [path.name for path in folder.iterdir()]
        await pair.end(old)
        await until(
            lambda: part(new).lifecycle.predecessor is PredecessorStage.ABSENT,
            lambda: f"{part(new).lifecycle.predecessor}",
        )
        assert not part(new).keys.in_doubt  # it went in peace
        assert len(list(folder.iterdir())) == 1

    run(work, folder)


def test_a_socket_renamed_between_listing_and_connecting_is_found_again(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else a process that takes another name in that moment is taken for one that has gone in peace."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        channel = part(old).channel
        assert channel is not None
        new = await pair.start(up=False)
        other = part(new).channel
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
    """A grant to the other, or its claim, may be on its way as this process gives up telling it."""

    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        go = held_off(new, monkeypatch)
        before, after = part(new).links.predecessor, part(old).links.successor
        assert before is not None and after is not None
        after.mailbox.capacity = 0  # the other has read nothing for long
        after.flushed = False
        assert before.send(claimed(7))  # it lies in the kernel, unread
        assert after._reader is not None  # and one in the stream
        after._reader.feed_data(wire.encode(wire.shift_times(claimed(8), -part(old).origin_s)))
        assert not after.send(messages.LoadReport(1, 0.0, 0, 0))
        await until(lambda: part(old).links.successor is None, lambda: "not cut")
        assert {claimed(7).key, claimed(8).key} <= set(part(old).keys.ownership.other_claims.claims)
        go.set()

    run(work, folder)


def test_a_cut_channel_does_not_accept_a_claim(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, _ = await pair.both()
        after = part(old).links.successor
        assert isinstance(after, ChannelPeer)
        after.mailbox.capacity = 0
        after.flushed = False
        assert not after.send(messages.LoadReport(1, 0.0, 0, 0))
        after.flushed = True
        assert not after.send(claimed(7))

    run(work, folder)


def test_a_killed_predecessor_leaves_doubt_if_its_messages_were_not_all_received(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is the new process that cannot go on reading: the old one may have said more, and run it."""

    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        go = held_off(new, monkeypatch)
        end.say(messages.Hello(), messages.ClaimsSynced())
        await end.heard(messages.SuccessorReady)
        end.say(claimed(1))
        end.sock.sendall(b"\0\0\0\2\xff\xff")  # no message; what follows is not read
        end.say(claimed(2))
        await until(lambda: part(new).links.predecessor is None, lambda: "not ended")
        old.die()
        go.set()
        await until(
            lambda: part(new).lifecycle.predecessor is PredecessorStage.ABSENT,
            lambda: f"{part(new).lifecycle.predecessor}",
        )
        await new.play("a = connect frames\n" + asked(2, 2, 2) + DOUBT % 2)

    run(work, folder)


def test_renaming_the_socket_is_retried_after_a_failure(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work(pair: Pair) -> None:
        old, _ = await pair.both()
        channel, after, real = part(old).channel, part(old).links.successor, os.rename
        assert channel is not None and after is not None
        name, failures = channel.name, [OSError(errno.EIO, "not now")] * 3

        def failing(*names: Path) -> None:
            if failures:
                raise failures.pop()
            real(*names)

        monkeypatch.setattr(os, "rename", failing)
        after.drop()
        await until(lambda: channel.name != name, lambda: "still the same")
        assert not failures

    run(work, folder)
