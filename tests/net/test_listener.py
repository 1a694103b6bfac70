"""Failures of accept(2) of every kind: no connection in the backlog is left there or lost."""

import asyncio
import errno
import os
import selectors
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from play import Stand, until
from play import run as run_node
from syscall_faults import descriptors, error_of, faults, on_port

from beechrock.core.counters import Counters
from beechrock.handover.channel import Channel, same_user
from beechrock.net import listener
from beechrock.net.listener import Listener, listen

# Errors that concern the process or the system, and errors that concern one connection.
PROCESS_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINVAL, errno.EIO]
SINGLE_CONNECTION_ERRORS = sorted(listener.CONNECTION_ERRORS)


class Echo:
    """Echo server that keeps the writers of its connections, and counts the calls of ``relieve``."""

    def __init__(self) -> None:
        self.counters, self.writers = Counters(), list[asyncio.StreamWriter]()
        self.relieved = 0

    def accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.counters.spawn(self._answer(reader, writer), "echo")

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    def relieve(self) -> None:
        self.relieved += 1

    async def listen(self, fd: int | None = None) -> Listener:
        return await listen(
            self.accepted, "127.0.0.1", 0, self.counters, "echo", fd, at_once=4, relieve=self.relieve
        )


def run(work: Callable[[Echo, Listener], Awaitable[None]]) -> None:
    async def whole() -> None:
        echo = Echo()
        server = await echo.listen()
        problems: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: problems.append(context))
        try:
            async with asyncio.timeout(20):
                await work(echo, server)
            assert not problems
        finally:
            server.close()
            for writer in echo.writers:
                writer.close()

    asyncio.run(whole())


async def ask(address: tuple[str, int]) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"here")
    try:
        return await reader.read(100)
    except ConnectionError:
        return b"reset"
    finally:
        writer.close()


@pytest.mark.parametrize("number", PROCESS_ERRORS, ids=errno.errorcode.get)
def test_a_shortage_delays_a_connection_in_the_backlog_by_tens_of_milliseconds_only(number: int) -> None:
    """asyncio's server accepted nothing for a second, and requests with short deadlines were lost."""

    async def work(echo: Echo, server: Listener) -> None:
        address = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        with faults("accept", number, times=3, of=on_port(address[1])) as accept:
            began = loop.time()
            assert await ask(address) == b"here" and accept.failed == 3
            assert loop.time() - began < 0.9
        assert echo.counters["intake.echo_accept_shortages"] == 3 and not echo.relieved
        assert echo.counters["trouble.echo_accept"] == (number not in listener.SHORTAGES)

    run(work)


@pytest.mark.parametrize("number", SINGLE_CONNECTION_ERRORS, ids=errno.errorcode.get)
def test_an_accept_error_of_one_connection_does_not_affect_the_next(number: int) -> None:
    """asyncio's server ended its turn on an error that it does not list, with a traceback for each."""

    async def work(echo: Echo, server: Listener) -> None:
        address = server.sockets[0].getsockname()
        gone = [socket.create_connection(address) for _ in range(2 if number == errno.ECONNABORTED else 0)]
        with faults("accept", number, number, of=on_port(address[1])) as accept:
            assert await ask(address) == b"here" and accept.failed == 2
        assert echo.counters["intake.echo_accept_errors"] == 2 and len(echo.writers) == 1
        for sock in gone:
            sock.close()

    run(work)


def test_persistent_errors_take_no_core_and_a_lasting_shortage_calls_relieve() -> None:
    async def work(echo: Echo, server: Listener) -> None:
        address = server.sockets[0].getsockname()
        for number in (errno.EPERM, errno.EMFILE):
            with faults("accept", number, times=None, of=on_port(address[1])) as accept:
                waiting = asyncio.ensure_future(ask(address))
                await asyncio.sleep(0.2)
                # A try every 10 ms, with at most ``at_once`` calls; without a pause there are far more.
                assert 0 < accept.failed <= 4 * 25
            assert await waiting == b"here"
        assert echo.relieved > 0

    run(work)


def test_a_full_process_accepts_again_once_an_idle_connection_has_been_ended() -> None:
    """If the system allows fewer descriptors than the configuration, the bound on the table frees none."""

    async def work(stand: Stand) -> None:
        await stand.open()
        frames = stand.program.frames
        assert frames is not None and frames.server is not None
        await stand.play("a = connect frames\ncounter intake.frames_connections 1\nclock 0.06\n")
        with socket.socket() as caller:
            caller.setblocking(False)
            with faults("accept", errno.EMFILE, times=8):
                caller.connect_ex(frames.server.sockets[0].getsockname())
                await stand.play("a closed\ncounter intake.frames_connections 2\n")
        assert stand.program.counters["intake.frames_relieved"] >= 1

    run_node(work)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.EPROTO], ids=errno.errorcode.get)
def test_a_listener_closed_during_its_pause_stays_closed(number: int) -> None:
    """asyncio's server accepted again a second after a shortage, even if it was paused in between."""

    async def work(echo: Echo, server: Listener) -> None:
        with socket.create_server(("127.0.0.1", 0)) as shared, socket.socket() as caller:
            second = await echo.listen(shared.fileno())
            with faults("accept", number, times=None, of=on_port(shared.getsockname()[1])) as accept:
                caller.connect(shared.getsockname())
                await until(lambda: accept.failed > 0, lambda: "accept was not called")
                second.close()
            await asyncio.sleep(5 * listener.RETRY_S)
            shared.setblocking(False)
            shared.accept()[0].close()  # the connection still waits in the backlog of the shared socket
            assert not second.sockets and not echo.writers

    run(work)


def test_a_connection_that_epoll_refuses_at_first_is_read_once_epoll_accepts_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After ENOMEM or ENOSPC from epoll_ctl(2), an accepted connection stayed open and was never read."""

    async def work(echo: Echo, server: Listener) -> None:
        address = server.sockets[0].getsockname()
        selector: selectors.BaseSelector = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]
        real, left = selector.register, [errno.ENOMEM, errno.ENOSPC, errno.ENOMEM]

        def register(fd: Any, events: int, data: Any = None) -> selectors.SelectorKey:
            number = fd if isinstance(fd, int) else fd.fileno()
            with socket.socket(fileno=os.dup(number)) as sock:
                if left and sock.family is socket.AF_INET and sock.getsockname() == address:
                    raise error_of(left.pop())
            return real(fd, events, data)

        monkeypatch.setattr(selector, "register", register)
        assert await asyncio.wait_for(ask(address), 5) == b"here"
        assert not left and echo.counters["intake.echo_accept_shortages"] == 3 and not server.arriving

    run(work)


def test_a_registration_that_fails_after_a_pause_is_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    """After ENOMEM or ENOSPC from epoll_ctl(2), the listener would never accept again."""

    async def work(echo: Echo, server: Listener) -> None:
        loop = asyncio.get_running_loop()
        real, left = loop.add_reader, [errno.ENOMEM, errno.ENOSPC]

        def add_reader(*arguments: Any) -> None:
            if left:
                raise error_of(left.pop())
            real(*arguments)

        monkeypatch.setattr(loop, "add_reader", add_reader)
        address = server.sockets[0].getsockname()
        with faults("accept", errno.EMFILE, of=on_port(address[1])):
            assert await ask(address) == b"here" and not left

    run(work)


def test_a_pause_that_epoll_prolongs_calls_relieve(monkeypatch: pytest.MonkeyPatch) -> None:
    """ENOSPC lasts until a registration is removed, and nothing would be accepted until then."""

    async def work(echo: Echo, server: Listener) -> None:
        loop = asyncio.get_running_loop()
        real, left = loop.add_reader, [errno.ENOSPC] * (listener.RELIEVE_AFTER + 2)

        def add_reader(*arguments: Any) -> None:
            if left:
                raise error_of(left.pop())
            real(*arguments)

        monkeypatch.setattr(loop, "add_reader", add_reader)
        address = server.sockets[0].getsockname()
        with faults("accept", errno.EMFILE, of=on_port(address[1])):
            assert await ask(address) == b"here" and not left and echo.relieved

    run(work)


@pytest.mark.parametrize("shared", [False, True])
def test_listening_waits_for_the_end_of_a_shortage(shared: bool) -> None:
    async def work(echo: Echo, _: Listener) -> None:
        with (
            socket.create_server(("127.0.0.1", 0)) as sock,
            faults("listen", errno.ENOMEM, times=2),
            faults("setsockopt", errno.ENOBUFS, times=None),
        ):
            before = descriptors()
            third = await echo.listen(sock.fileno() if shared else None)
            assert descriptors() == before + 1
            third.close()
        assert echo.counters["intake.echo_listen_errors"] == 2

    run(work)


def test_two_starts_within_one_shortage_leave_one_listener() -> None:
    """A handover that goes back and forth starts the server again while its first start still waits."""

    async def work(stand: Stand) -> None:
        await stand.open()
        frames = stand.program.frames
        assert frames is not None
        with socket.create_server(("127.0.0.1", 0)) as shared, socket.socket() as caller:
            with faults("listen", errno.ENOMEM, times=2):
                await asyncio.gather(*(frames.start("127.0.0.1", 0, shared.fileno()) for _ in range(2)))
            frames.pause()
            caller.connect(shared.getsockname())
            await asyncio.sleep(5 * listener.RETRY_S)
            shared.setblocking(False)
            shared.accept()[0].close()  # no listener has accepted it

    run_node(work)


def test_a_connection_that_cannot_be_set_up_is_closed_and_counted() -> None:
    async def work(echo: Echo, server: Listener) -> None:
        address = server.sockets[0].getsockname()
        before = descriptors()
        with faults("setblocking", errno.ENOMEM, of=on_port(address[1])):
            assert await ask(address) in (b"", b"reset")
        assert await ask(address) == b"here"
        assert echo.counters["intake.echo_set_up_errors"] == 1
        await until(lambda: descriptors() == before, lambda: f"{descriptors()} of {before}")

    run(work)


def test_the_handover_socket_accepts_after_a_shortage_and_leaves_no_file_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A successor waits one second for its first message, as long as asyncio's server accepted nothing."""

    async def work(echo: Echo, _: Listener) -> None:
        channel = Channel(tmp_path, "node")
        with monkeypatch.context() as patch:
            patch.setattr(os, "rename", lambda *_: (_ for _ in ()).throw(error_of(errno.EIO)))
            with pytest.raises(OSError, match="Input/output"):
                channel.listen(echo.accepted, echo.counters)
        assert not os.listdir(tmp_path)
        channel.listen(echo.accepted, echo.counters)
        with faults("accept", errno.EMFILE, times=3) as accept:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_unix_connection(channel._path(channel.name))
                writer.write(b"here")
                assert await reader.read(100) == b"here" and accept.failed == 3
        assert same_user(echo.writers[0])
        with faults("getsockopt", errno.EBADF):
            assert not same_user(echo.writers[0])
        writer.close()
        channel.close()

    run(work)


def test_small_answers_are_not_held_back() -> None:
    """Without TCP_NODELAY the kernel delays small writes, and a close with unread input loses them."""

    async def work(echo: Echo, server: Listener) -> None:
        _, held = await asyncio.open_connection(*server.sockets[0].getsockname())
        await until(lambda: echo.writers, lambda: "not accepted")
        sock = echo.writers[-1].get_extra_info("socket")
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        held.close()

    run(work)
