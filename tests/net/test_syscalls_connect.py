"""Failures of connect(2) and socket(2) of every kind: an attempt ends at once, and leaves nothing open."""

import asyncio
import errno
import gc
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

import pytest
from play import Stand, inventory_of, run, until
from syscall_faults import descriptors, faults, to_port

from beechrock.net import connecting, scgi_work
from beechrock.net.connecting import NotConnectedError, connect
from beechrock.net.scgi_work import ScgiWork

DOCUMENTED = [
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNRESET,
    errno.ECONNREFUSED,
    errno.EALREADY,
    errno.EAGAIN,
    errno.EINTR,
    errno.EPERM,
    errno.EACCES,
    errno.EADDRINUSE,
    errno.EISCONN,
]
CALLS = [
    *(("connect", number) for number in DOCUMENTED),
    ("__init__", errno.EMFILE),
    ("__init__", errno.ENFILE),
    ("__init__", errno.ENOBUFS),
    ("getsockopt", errno.ETIMEDOUT),
    ("getsockopt", errno.EHOSTUNREACH),
    ("setsockopt", errno.ENOMEM),
]
IDS = [f"{call}-{errno.errorcode[number]}" for call, number in CALLS]
GREET = 'g < "subscribe 0\\r\\n"\ng > "greeting LOADED 60000\\r\\n"\nup agent\n'
ASK = (
    'a = connect frames\na > {01 00000001 06 05"route" 0007"resolve" 05"trace" 0010"0000000000000001" '
    '04"born" 000d"1700000000000" 06"client" 0001"4" 04"size" 0004"24.5" 05"order" 0006"0.6250" "one"}\n'
    'g < "launch 0000000000000001 resolve 3\\r\\none\\r\\n"\n'
)


@contextmanager
def failing(call: str, number: int, port: int, times: int = 1) -> Iterator[None]:
    """Let the next ``times`` connections to this port fail."""

    def chosen(sock: socket.socket) -> bool:
        if call == "setsockopt":
            return to_port(port)(sock)
        return sock.fileno() < 0 or sock.type == socket.SOCK_STREAM

    with ExitStack() as stack:
        if call == "getsockopt":  # called only while the connection is in progress
            stack.enter_context(faults("connect", errno.EINPROGRESS, times=times, of=chosen))
        stack.enter_context(faults(call, number, times=times, of=chosen))
        yield


async def discard_connections(stand: Stand, name: str, call: str, count: int) -> None:
    """Close connections that were established at the stand-in, but that the node had to give up."""
    for _ in range(count if call in ("getsockopt", "setsockopt") else 0):
        (await stand.links[name].get()).writer.close()


@pytest.mark.parametrize(("call", "number"), CALLS, ids=IDS)
def test_the_agent_is_reached_at_the_next_attempt(call: str, number: int) -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play("g = accept agent\n" + GREET)
        with failing(call, number, stand.address("agent")[1], times=2):
            await stand.play(
                "g break\ncounter agent.ended_links 1\nclock 0.03\ncounter agent.refused_links 1\n"
                "clock 0.05\ncounter agent.refused_links 2\n"
            )
        await discard_connections(stand, "agent", call, 2)
        await stand.play("clock 0.1\n")
        await stand.play("g = accept agent\n" + GREET)

    run(work)


@pytest.mark.parametrize(("call", "number"), CALLS, ids=IDS)
def test_a_call_whose_connection_failed_never_ran_and_is_made_again(call: str, number: int) -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play("g = accept agent\n" + GREET + ASK)
        before = descriptors()
        with failing(call, number, stand.address("ledger")[1]):
            await stand.play('g > "request 1 0000000000000001 1\\r\\nc\\r\\n"\ncounter calls.unreachable 1\n')
        await discard_connections(stand, "ledger", call, 1)
        if call == "setsockopt":  # asyncio's incomplete transport is a reference cycle that holds the socket
            gc.collect()
        await until(lambda: descriptors() == before, lambda: f"{descriptors()} of {before}")
        await stand.play(
            'clock 0.1\nl = accept ledger\nl < "post 0000000000000001 1680 1\\r\\nc\\r\\n"\n'
            'l > "0000000000000001 posted 1\\r\\nd\\r\\n"\n'
            'g < "deliver 0000000000000001 1\\r\\nd\\r\\n"\n'
        )
        assert not stand.program.counters["calls.broken_off"]

    run(work)


def test_an_exception_other_than_oserror_ends_the_attempt_as_well(monkeypatch: pytest.MonkeyPatch) -> None:
    """An invalid host name raises UnicodeError: the link's state machine waited for its time limit."""

    async def work(stand: Stand) -> None:
        real, left = connecting.open_connection, [UnicodeError("label too long")]

        async def once_bad(*address: Any) -> Any:
            if left:
                raise left.pop()
            return await real(*address)

        monkeypatch.setattr(connecting, "open_connection", once_bad)
        await stand.open()
        counters = stand.program.counters
        await until(lambda: counters["agent.refused_links"] == 1, lambda: "; ".join(counters.lines()))
        assert counters["trouble.agent_connect"] == 1
        stand.now += 0.03
        stand.program.module.mailbox.wake()
        await stand.step(["g", "=", "accept", "agent"], "")

    run(work)


@pytest.mark.parametrize("turns", range(6))
def test_a_run_that_is_stopped_as_its_connection_is_made_is_not_sent(
    turns: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """``asyncio.wait_for`` of Python 3.11 lost the cancellation, and the stopped run was sent."""

    async def whole() -> None:
        made: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def connected(_: object) -> str:
            await made
            return "streams"

        monkeypatch.setattr(scgi_work, "connect", connected)
        task = asyncio.ensure_future(ScgiWork._open(None, ("127.0.0.1", 1)))  # type: ignore[arg-type]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        made.set_result(None)
        for _ in range(turns):
            await asyncio.sleep(0)
        was_done = task.done()
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() or was_done

    asyncio.run(whole())


SERVICE = {"share": 0.3, "rate": 50, "aim_ms": 1800, "due_ms": 3600, "effect": "safe"}


async def open_scgi(stand: Stand) -> None:
    host, port = await stand.listen("server")
    await stand.open(
        inventory_of(
            {"cores": 2, "memory_mb": 60},
            {
                "teams": {"releases": {}},
                "services": {"pack": {"upstreams": [f"{host}:{port}"]}},
                "contracts": {"a": {**SERVICE, "team": "releases", "service": "pack"}},
            },
        )
    )


@pytest.mark.parametrize(("call", "number"), CALLS, ids=IDS)
def test_an_unreachable_scgi_server_fails_one_request_only(call: str, number: int) -> None:
    async def work(stand: Stand) -> None:
        await open_scgi(stand)
        await stand.play(
            "g = accept agent\n" + GREET + "a = connect scgi\ncounter intake.scgi_connections 1\n"
        )
        with failing(call, number, stand.address("server")[1]):
            await stand.play("a ask pack releases hello\na answered 500\n")
        assert stand.program.counters["sent.scgi_refused"] == 1

    run(work)


def test_a_run_with_an_internal_error_is_still_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(stand: Stand) -> None:
        await open_scgi(stand)
        assert stand.program.servers is not None

        def fails(*_: object) -> None:
            raise AssertionError("inside")

        monkeypatch.setattr(scgi_work, "run_headers", fails)
        await stand.play("a = connect scgi\n")
        for line in ("a ask pack releases hello", "a answered 500"):
            await stand.step(line.split(), line)
        assert stand.program.counters["trouble.scgi_work.run"] == 1
        good: list[bool] = []
        monkeypatch.setattr(stand.program.servers, "_reached", fails)
        stand.program.servers.exercise(good.append)
        await until(lambda: good == [False], lambda: "a check that never ends")

    run(work)


def test_a_socket_that_never_connected_is_no_connection() -> None:
    async def whole() -> None:
        before = descriptors()
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            faults("connect", errno.EAGAIN),
            pytest.raises(NotConnectedError),
        ):
            await connect(server.getsockname())
        await asyncio.sleep(0.01)
        assert descriptors() == before

    asyncio.run(whole())
