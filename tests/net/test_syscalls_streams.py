"""Failures of recv(2), send(2) and shutdown(2), and short calls: transient ones lose no request."""

import errno
import socket
from collections.abc import Callable

import pytest
from play import Stand, inventory_of, run, until
from syscall_faults import Short, descriptors, faults, on_port, to_port

from beechrock.net import tolerant_socket
from beechrock.net.frame_connection import FrameConnection
from beechrock.net.scgi import ScgiConnection

TRANSIENT = [errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM]
FATAL = [
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETRESET,
    errno.EPIPE,
    errno.ENOTCONN,
    errno.ENETDOWN,
    errno.ECONNABORTED,
    errno.EIO,
]
AGENT = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 60000\\r\\n"\nup agent\n'
CONTRACT = {"share": 0.3, "rate": 50, "aim_ms": 1800, "due_ms": 3600, "effect": "safe"}


def ask(name: str, stream: int) -> str:
    return (
        f'{name} > {{01 {stream:08x} 06 05"route" 0007"resolve" 05"trace" 0010"{stream:016x}" '
        '04"born" 000d"1700000000000" 06"client" 0001"4" 04"size" 0004"24.5" 05"order" 0006"0.6250" '
        '"one"}\n'
    )


def launched(stream: int) -> str:
    return f'g < "launch {stream:016x} resolve 3\\r\\none\\r\\n"\n'


def ended(stream: int, notice: int) -> str:
    return f'g > "outcome {notice} {stream:016x} PASS 5 2\\r\\nok\\r\\n"\n'


def answered(name: str, stream: int) -> str:
    return f'{name} < {{02 {stream:08x} 00 01 06"advice" 0006"0.0000" "ok"}}\n'


def on_front(stand: Stand) -> Callable[[socket.socket], bool]:
    front = stand.program.frames
    assert front is not None and front.server is not None
    return on_port(front.server.sockets[0].getsockname()[1])


async def open_frames(stand: Stand) -> None:
    await stand.open()
    await stand.play(AGENT + "a = connect frames\ncounter intake.frames_connections 1\n")


@pytest.mark.parametrize("call", ["recv", "send"])
@pytest.mark.parametrize("kind", [*TRANSIENT, Short(1)], ids=str)
def test_transient_errors_and_short_calls_end_no_connection(call: str, kind: int | Short) -> None:
    """With injected faults, ENOBUFS and ENOMEM ended a connection with all requests open on it."""

    async def work(stand: Stand) -> None:
        await open_frames(stand)
        with faults(call, kind, times=40, of=on_front(stand)) as faulty:
            await stand.play(ask("a", 1) + launched(1) + ended(1, 1) + answered("a", 1))
            assert faulty.failed > 3
        await stand.play(ask("a", 2) + launched(2) + ended(2, 2) + answered("a", 2))
        assert not stand.program.counters["intake.frames_resets"]

    run(work)


@pytest.mark.parametrize("call", ["recv", "send", "send, of which a part went out"])
@pytest.mark.parametrize("number", FATAL, ids=errno.errorcode.get)
def test_what_ends_a_connection_ends_it_alone_and_whole(call: str, number: int) -> None:
    async def work(stand: Stand) -> None:
        await open_frames(stand)
        before = descriptors()
        await stand.play(
            "b = connect frames\ncounter intake.frames_connections 2\n"
            + ask("a", 1)
            + launched(1)
            + ask("b", 2)
            + launched(2)
        )
        port = stand.wires["b"].writer.get_extra_info("sockname")[1]
        kinds = [Short(1), number] if "part" in call else [number]
        with faults(call.partition(",")[0], *kinds, of=to_port(port)) as faulty:
            if call == "recv":
                await stand.play(ask("b", 3))
            else:
                await stand.play(ended(2, 1))
            await stand.step(["b", "closed"], "b closed")
            assert faulty.failed == len(kinds)
        stand.wires.pop("b").writer.close()
        await until(lambda: descriptors() == before, lambda: f"{descriptors()} of {before}")
        await stand.play(ended(1, 2) + answered("a", 1))
        assert len(stand.program.frames.peers) == 1  # type: ignore[union-attr]

    run(work)


def test_a_lack_of_memory_that_stays_ends_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tolerant_socket, "PATIENCE_S", 0.05)

    async def work(stand: Stand) -> None:
        await open_frames(stand)
        with faults("recv", errno.ENOMEM, times=None, of=on_front(stand)):
            await stand.play(ask("a", 1) + "a closed\ncounter intake.frames_resets 1\n")

    run(work)


def test_the_peers_end_of_stream_is_handled_although_our_own_cannot_be_sent() -> None:
    async def work(stand: Stand) -> None:
        await open_frames(stand)
        with faults("shutdown", errno.ENOTCONN, of=on_front(stand)) as shutdown:
            await stand.play(
                ask("a", 1) + launched(1) + "a end\n" + ended(1, 1) + answered("a", 1) + "a closed\n"
            )
            assert shutdown.failed == 1
        await until(lambda: not stand.program.frames.peers, lambda: "still there")  # type: ignore[union-attr]

    run(work)


@pytest.mark.parametrize("call", ["recv", "send"])
@pytest.mark.parametrize("number", [errno.ECONNRESET, errno.ENOBUFS], ids=errno.errorcode.get)
def test_a_link_to_the_agent_that_an_error_ends_loses_no_command(call: str, number: int) -> None:
    async def work(stand: Stand) -> None:
        await open_frames(stand)
        with faults(call, number, of=to_port(stand.address("agent")[1])):
            await stand.play(
                ask("a", 1)
                + ('g > "aside 1 x\\r\\n"\n' if call == "recv" else "")
                + "counter agent.ended_links 1\n"
            )
        await until(lambda: stand.wires["g"].ended, lambda: "still open")
        stand.wires["g"].got = b""
        notice = 0 if call == "send" else stand.program.agent.notices.last  # type: ignore[union-attr]
        await stand.play(
            f'clock 0.03\ng = accept agent\ng < "subscribe {notice}\\r\\n"\n'
            'g > "greeting LOADED 60000\\r\\n"\n' + launched(1) + ended(1, 2) + answered("a", 1)
        )

    run(work)


@pytest.mark.parametrize("number", FATAL, ids=errno.errorcode.get)
def test_a_call_on_a_ledger_connection_that_fails_is_not_reported_as_never_run(number: int) -> None:
    async def work(stand: Stand) -> None:
        await open_frames(stand)
        await stand.play(
            ask("a", 1) + launched(1) + 'g > "request 1 0000000000000001 1\\r\\nc\\r\\n"\n'
            'l = accept ledger\nl < "post 0000000000000001 1780 1\\r\\nc\\r\\n"\n'
        )
        with faults("recv", number, of=to_port(stand.address("ledger")[1])):
            await stand.play('l > "0000000000000001 posted 1\\r\\nd\\r\\n"\ncounter calls.broken_off 1\n')
        assert not stand.program.counters["calls.unreachable"]

    run(work)


def fails(*_: object) -> None:
    raise AssertionError("inside")


async def steps(stand: Stand, text: str) -> None:
    """Play the steps without the check that no ``trouble.`` counter is set."""
    for line in text.splitlines():
        await stand.step(line.split(), line)


@pytest.mark.parametrize("method", ["_handle_frame", "encode"])
def test_an_internal_error_answers_open_requests_and_closes_the_connection(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only the reading task ended: later input on that connection was never read, and it stayed open."""

    async def work(stand: Stand) -> None:
        await open_frames(stand)
        await stand.play(ask("a", 1) + launched(1) + ask("a", 2) + launched(2))
        with monkeypatch.context() as patch:
            patch.setattr(FrameConnection, method, fails)
            await steps(stand, ask("a", 3) if method == "_handle_frame" else ended(2, 1))
            where = "receive" if method == "_handle_frame" else "send"
            await until(lambda: stand.program.counters[f"trouble.frames.{where}"] > 0, lambda: "not counted")
            if method == "_handle_frame":  # the error on stream 0 is sent before the patch ends
                await steps(stand, 'a < {02 00000000 0d 00 "internal error"}\n')
        await steps(stand, ended(1, 2) + answered("a", 1))
        if method == "_handle_frame":
            await steps(stand, ended(2, 3) + answered("a", 2))
        await steps(stand, "a closed\n")

    run(work)


def test_an_internal_error_is_answered_at_the_other_servers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(stand: Stand) -> None:
        await stand.open(
            inventory_of(
                {"cores": 2, "memory_mb": 60},
                {
                    "teams": {"releases": {}},
                    "services": {"pack": {}},
                    "contracts": {"a": {**CONTRACT, "team": "releases", "service": "pack"}},
                },
            ),
            admin=True,
        )
        monkeypatch.setattr(ScgiConnection, "_read_headers", fails)
        assert stand.program.admin is not None
        monkeypatch.setattr(stand.program.admin.calls, "answer", fails)
        await steps(stand, "a = connect scgi\na ask pack releases hello\na answered 500\n")
        await steps(
            stand, 'b = connect admin\nb > "GET /stats HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n"\nb closed\n'
        )
        assert stand.wires["b"].got.startswith(b"HTTP/1.1 500 ")

    run(work)
