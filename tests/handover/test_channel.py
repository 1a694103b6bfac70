"""The shared socket and the folder of a replacement when system calls fail or the wall clock is stepped."""

import asyncio
import contextlib
import errno
import os
import socket
import time
from pathlib import Path

import pytest
from handover_requests import handover_of
from pair import UP, Pair, run
from play import until

from beechrock.handover import channel
from beechrock.handover.channel import Channel


def descriptors_of(sock: socket.socket) -> int:
    """Return the number of this process's descriptors that refer to the socket."""
    inode, found = os.fstat(sock.fileno()).st_ino, 0
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):  # the descriptor that listed the folder is already closed
            found += os.fstat(int(name)).st_ino == inode
    return found


def test_two_concurrent_starts_leave_one_listener(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        one = await pair.start()
        await pair.serving(one)
        frames = one.program.frames
        assert frames is not None
        frames.pause()
        before = descriptors_of(pair.shared)
        await asyncio.gather(one.program.shared_socket.listen(), one.program.shared_socket.listen())
        assert descriptors_of(pair.shared) == before + 1
        frames.pause()
        assert descriptors_of(pair.shared) == before  # no second listener is left
        with socket.create_connection(pair.shared.getsockname()):
            await asyncio.sleep(0.05)
            assert not frames.peers  # the connection waits in the backlog

    run(work, folder)


def test_listening_is_retried_after_running_out_of_descriptors(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(pair: Pair) -> None:
        one = await pair.start(up=False)
        frames = one.program.frames
        assert frames is not None
        start, failures = frames.start, [OSError(errno.EMFILE, "none left")] * 2

        async def failing(host: str, port: int, fd: int | None = None) -> None:
            if failures:
                raise failures.pop()
            await start(host, port, fd)

        monkeypatch.setattr(frames, "start", failing)
        await one.play(UP)
        await pair.serving(one)
        assert one.program.counters["handover.no_listener"] == 2

    run(work, folder)


@pytest.mark.parametrize("call", ["bind", "rename", "chmod"])
def test_listening_for_successors_is_retried_until_the_socket_can_be_created(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    call: str,
) -> None:
    full = [OSError(errno.ENOSPC, "no room")] * 2
    where = socket.socket if call == "bind" else os
    real = getattr(where, call)

    def failing(*args: object) -> object:
        if full and "beechrock-" in str(args):
            raise full.pop()
        return real(*args)

    monkeypatch.setattr(where, call, failing)

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        await until(
            lambda: os.listdir(folder) == [handover_of(old).channel.name],  # type: ignore[union-attr]
            lambda: f"{os.listdir(folder)}",
        )
        new = await pair.start()
        await pair.following(old, new)

    run(work, folder)


@pytest.mark.parametrize("call", ["listdir", "lstat"])
def test_an_unreadable_folder_does_not_count_as_empty(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    call: str,
) -> None:
    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        real, failures = getattr(os, call), [OSError(errno.EMFILE, "none left")] * 3

        def failing(*args: object) -> object:
            if failures:
                raise failures.pop()
            return real(*args)

        monkeypatch.setattr(channel.os, call, failing)
        new = await pair.start()
        await pair.following(old, new)
        assert new.program.counters["handover.unreachable"] == 3

    run(work, folder)


def test_the_order_of_processes_does_not_depend_on_the_wall_clock(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    old = Channel(folder, "n")
    stepped = time.time_ns() - 3600 * 10**9
    monkeypatch.setattr(channel.time, "time_ns", lambda: stepped)
    new = Channel(folder, "n")
    # An earlier version named its socket by the Unix time; such a process sorts as the oldest.
    names = [f"beechrock-n-{stepped:020d}-1.sock", old.name, new.name, "beechrock-n-x-1.sock"]
    with (
        socket.socket(socket.AF_UNIX) as one,
        socket.socket(socket.AF_UNIX) as two,
        socket.socket(socket.AF_UNIX) as three,
    ):
        for sock, name in zip((one, two, three), names, strict=False):
            sock.bind(str(folder / name))
        assert new.older_names() == [old.name, names[0]] and old.older_names() == [names[0]]
