"""Reports to the registry despite errors of its datagrams: the actor continues after each."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from contextlib import closing

import pytest
from syscall_faults import faults
from wires import Beats, until

from beechrock.core.counters import Counters
from beechrock.net import registry
from beechrock.net.registry import Endpoint, Registry

SEND = [
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.EPERM,
    errno.ECONNREFUSED,
    errno.EMSGSIZE,
    errno.ENETDOWN,
    errno.EINVAL,
]
OPEN = [
    ("__init__", errno.EMFILE),
    ("__init__", errno.ENFILE),
    ("__init__", errno.ENOBUFS),
    ("connect", errno.ENETUNREACH),
    ("connect", errno.EADDRNOTAVAIL),
    ("connect", errno.EPERM),
    ("connect", errno.ENOMEM),
]


def datagrams(sock: socket.socket) -> bool:
    return sock.fileno() < 0 or sock.type == socket.SOCK_DGRAM


class Play:
    """A registry actor, and sockets that it may report to."""

    def __init__(self) -> None:
        self.counters, self.beats = Counters(), list[str]()
        self.transports: list[asyncio.DatagramTransport] = []

    async def listen(self, port: int = 0) -> tuple[str, int]:
        beats = self.beats = []
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Beats(beats), local_addr=("127.0.0.1", port)
        )
        self.transports.append(transport)
        address: tuple[str, int] = transport.get_extra_info("sockname")
        return address

    def begin(self, address: tuple[str, int]) -> None:
        self.actor = Registry("n1", address, self.counters, lambda: True)
        self.task = self.counters.spawn(self.actor.run(), "registry")

    async def wait_for_report(self, text: str, count: int = 1) -> None:
        self.beats.clear()
        await until(lambda: self.beats.count(text) >= count, lambda: f"{self.beats}, {self.counters.lines()}")


def run(work: Callable[[Play], Awaitable[None]], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registry, "BEAT_S", 0.02)

    async def whole() -> None:
        play = Play()
        try:
            await work(play)
        finally:
            play.task.cancel()
            for transport in play.transports:
                transport.close()
        assert not [line for line in play.counters.lines() if line.startswith("trouble.")]

    asyncio.run(whole())


@pytest.mark.parametrize("number", SEND, ids=errno.errorcode.get)
def test_reports_continue_after_one_that_cannot_be_sent(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(play: Play) -> None:
        play.begin(await play.listen())
        await play.wait_for_report("BEAT n1 ready")
        with faults("send", number, times=4, of=datagrams) as send:
            await until(lambda: send.failed == 4, lambda: f"{send.failed} of 4")
            assert play.counters["sent.beats_failed"] >= 2
        await play.wait_for_report("BEAT n1 ready", 2)

    run(work, monkeypatch)


@pytest.mark.parametrize(
    ("call", "number"), OPEN, ids=[f"{call}-{errno.errorcode[number]}" for call, number in OPEN]
)
def test_a_socket_that_cannot_be_opened_is_retried_at_each_beat(
    call: str, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work(play: Play) -> None:
        address = await play.listen()
        loop = asyncio.get_running_loop()
        began = loop.time()
        with faults(call, number, times=3, of=datagrams):
            play.begin(address)
            # A state posted while there is no socket neither gets lost nor wakes the actor repeatedly.
            play.actor.mailbox.put("draining")
            await play.wait_for_report("BEAT n1 draining")
        assert play.counters["sent.beats_impossible"] == 3 and loop.time() - began > 2 * registry.BEAT_S

    run(work, monkeypatch)


def test_an_old_state_is_not_kept_back_to_be_sent_after_a_newer_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """asyncio buffers datagrams that the kernel does not accept, without a bound, and sends them later."""

    async def work(play: Play) -> None:
        play.begin(await play.listen())
        await play.wait_for_report("BEAT n1 ready")
        with faults("send", errno.EAGAIN, times=None, of=datagrams) as send:
            await until(lambda: send.failed > 2, lambda: f"{send.failed}")
            play.beats.clear()
            play.actor.mailbox.put("draining")
            await until(lambda: play.actor.state == "draining", lambda: "not read")
        await until(lambda: play.beats != [], lambda: "nothing came")
        assert set(play.beats) == {"BEAT n1 draining"}

    run(work, monkeypatch)


def test_reports_resume_when_a_registry_is_back_after_a_long_outage(monkeypatch: pytest.MonkeyPatch) -> None:
    """The registry's machine answers with ICMP errors, which the next send raises instead of sending."""

    async def work(play: Play) -> None:
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as free:
            free.bind(("127.0.0.1", 0))
            address = free.getsockname()
        play.begin(address)
        await until(lambda: play.counters["sent.beats_failed"] > 5, lambda: "; ".join(play.counters.lines()))
        await play.listen(address[1])
        await play.wait_for_report("BEAT n1 ready", 2)

    run(work, monkeypatch)


def test_an_error_of_an_earlier_report_does_not_lose_the_report_of_draining(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(play: Play) -> None:
        play.begin(await play.listen())
        await play.wait_for_report("BEAT n1 ready")
        monkeypatch.setattr(registry, "BEAT_S", 60.0)  # only reports that are sent at once arrive
        await play.wait_for_report("BEAT n1 ready")
        with faults("send", errno.ECONNREFUSED, of=datagrams):
            play.actor.mailbox.put("draining")
            await play.wait_for_report("BEAT n1 draining")

    run(work, monkeypatch)


def test_a_socket_that_ends_by_itself_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """asyncio closes the socket after an exception other than OSError, and silently drops later reports."""

    async def work(play: Play) -> None:
        made: list[Endpoint] = []
        real = Endpoint.connection_made
        monkeypatch.setattr(
            Endpoint, "connection_made", lambda self, transport: (made.append(self), real(self, transport))
        )
        play.begin(await play.listen())
        await play.wait_for_report("BEAT n1 ready")
        made[0].transport.abort()
        await until(lambda: len(made) > 1, lambda: "not made anew")
        await play.wait_for_report("BEAT n1 ready", 2)

    run(work, monkeypatch)


def test_a_move_while_the_socket_is_being_made_leaves_the_old_address_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(play: Play) -> None:
        old = await play.listen()
        old_beats = play.beats
        new = await play.listen()
        making, go = asyncio.Event(), asyncio.Event()
        real = Registry._open

        async def held(self: Registry, endpoint: Endpoint, address: tuple[str, int]) -> None:
            making.set()
            await go.wait()
            await real(self, endpoint, address)

        monkeypatch.setattr(Registry, "_open", held)
        play.begin(old)
        await making.wait()
        play.actor.move(new)
        go.set()
        await play.wait_for_report("BEAT n1 ready")
        assert not old_beats

    run(work, monkeypatch)
