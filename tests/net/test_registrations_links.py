"""epoll_ctl(2) refuses links to peers, or to the node's other process: no request is lost."""

import asyncio
import errno
import selectors
import socket
from collections.abc import Callable
from contextlib import AbstractContextManager
from pathlib import Path

import pytest
from callers import request, turns
from pair import Pair
from pair import run as run_pair
from play import Stand, run, until
from syscall_faults import Faults, loop_errors, refused, to_port
from test_closing import node
from test_exchanges import open_both

from beechrock.core.counters import Counters
from beechrock.core.link_lifecycle import LinkState
from beechrock.handover import messages, wire
from beechrock.handover.lifecycle import PredecessorStage
from beechrock.handover.peer import ChannelPeer
from beechrock.net.connecting import open_streams
from beechrock.net.connection import CHUNK

AGENT = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 60000\\r\\n"\nup agent\n'
PATIENCE_S = 1.0  # maximum delay of a caller by a refusal that lasts for tens of milliseconds
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


def link_to(stand: Stand, name: str, times: int) -> AbstractContextManager[Faults]:
    """Let the first ``times`` registrations for reading of links to a stand-in fail."""
    of = to_port(stand.address(name)[1])
    return refused("register", errno.ENOMEM, times=times, of=of, events=READ)


def test_a_link_to_the_agent_that_epoll_refuses_at_first_is_up_before_its_time_limit() -> None:
    """No run could start until the greeting's time limit ended the link and the next one was made."""

    async def work(stand: Stand) -> None:
        await stand.open()
        await stand.play(AGENT)
        loop_errors()
        with link_to(stand, "agent", 1) as register:
            await stand.play("g break\ncounter agent.ended_links 1\nclock 0.03\n")
            await until(lambda: register.failed > 0, lambda: "it was never watched")
            await stand.step(["g", "=", "accept", "agent"], "")
            stand.wires["g"].writer.write(b"greeting LOADED 60000\r\n")
            assert stand.program.agent is not None
            life = stand.program.agent.link_actor.life
            async with asyncio.timeout(PATIENCE_S):
                while life.state is not LinkState.UP:
                    await asyncio.sleep(0.001)

    run(work)


def test_a_call_on_a_link_to_the_ledger_that_epoll_refuses_has_its_reply() -> None:
    """The reply was never read: the call timed out, although the ledger had executed it."""

    async def work(stand: Stand) -> None:
        _, [caller] = await node(stand)
        await stand.play(AGENT)
        loop_errors()
        with link_to(stand, "ledger", 1):
            caller.send(request(2, trace=1))
            agent = stand.wires["g"]
            await until(lambda: b"launch" in agent.got, lambda: "not launched")
            agent.writer.write(b"request 1 %016x 1\r\nc\r\n" % 1)
            await stand.step(["l", "=", "accept", "ledger"], "")
            ledger = stand.wires["l"]
            await until(lambda: ledger.got.endswith(b"\r\nc\r\n"), lambda: f"{ledger.got!r}")
            ledger.writer.write(b"%016x posted 1\r\nd\r\n" % 1)
            async with asyncio.timeout(PATIENCE_S):
                while not agent.got.endswith(b"deliver %016x 1\r\nd\r\n" % 1):
                    await asyncio.sleep(0.001)

    run(work)


def test_a_run_at_a_server_whose_connection_epoll_refuses_has_its_reply() -> None:
    """The reply was never read: the request failed at its deadline, although it had run."""

    async def work(stand: Stand) -> None:
        await open_both(stand)
        loop_errors()
        with link_to(stand, "server", 1):
            await stand.play("a = connect scgi\na ask pack releases hello key\ns = accept server\n")
            server = stand.wires["s"]
            await until(lambda: server.got.endswith(b"hello"), lambda: f"{server.got!r}")
            server.got = b""
            server.writer.write(b"Status: 200 OK\r\n\r\ndone")
            server.writer.close()
            await stand.play("clock 0.05\na answered 200 done\n")

    run(work)


# Channels to the other process of this node.


def over_the_channel(side: str, name: str) -> Callable[[socket.socket], bool]:
    """Match the sockets of a channel whose listening process has this name, on its own or the other side."""

    def chosen(sock: socket.socket) -> bool:
        if sock.family is not socket.AF_UNIX or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return False
        try:
            return str(sock.getsockname() if side == "old" else sock.getpeername()).endswith(name)
        except OSError:
            return False

    return chosen


@pytest.mark.parametrize("side", ["old", "new"])
def test_a_successor_learns_the_claims_though_epoll_refuses_the_channel_at_first(
    side: str, folder: Path
) -> None:
    """After 1 s it concluded that its predecessor is incompatible, and rejected all keys."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        loop_errors()
        handover = old.program.handover
        assert handover is not None and handover.channel is not None
        of = over_the_channel(side, handover.channel.name)
        with refused("register", errno.ENOMEM, of=of, events=READ) as register:
            new = await pair.start(up=False)
            await until(lambda: register.failed > 0, lambda: "it was never watched")
            lifecycle = new.program.handover.lifecycle  # type: ignore[union-attr]
            async with asyncio.timeout(PATIENCE_S):
                while lifecycle.predecessor is not PredecessorStage.SYNCED:
                    await asyncio.sleep(0.001)

    run_pair(work, folder)


class Owner:
    """Owner of a channel that keeps the received keys."""

    def __init__(self) -> None:
        self.counters, self.origin_s = Counters(), 0.0
        self.keys: list[int] = []

    def receive(self, peer: ChannelPeer, message: messages.Message) -> None:
        assert isinstance(message, messages.KeyClaimed)
        self.keys.append(int.from_bytes(message.key, "big"))


async def channel() -> tuple[Owner, ChannelPeer, "asyncio.Task[None]", socket.socket]:
    """Return one end of a channel that is being served, and the plain socket at its other end."""
    near, far = socket.socketpair()
    owner = Owner()
    peer = ChannelPeer(owner, is_successor=False)
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    far.setblocking(False)
    loop = asyncio.get_running_loop()
    streams = await open_streams(lambda protocol: loop.create_connection(protocol, sock=near), CHUNK)
    return owner, peer, asyncio.ensure_future(peer.serve(*streams)), far


CLAIMS = [messages.KeyClaimed(number.to_bytes(16, "big"), bytes(16), 1.0) for number in range(2000)]


def test_claims_behind_a_resumed_read_are_received_although_epoll_refuses_it_at_first() -> None:
    """A chunk was lost and the rest was parsed without it: claims were missing, and one was invented."""

    async def work() -> None:
        owner, _, serving, far = await channel()
        await turns(5)
        with far, refused("register", errno.ENOMEM, events=READ) as register:
            far.sendall(b"".join(map(wire.encode, CLAIMS)))
            await until(
                lambda: len(owner.keys) == len(CLAIMS) or serving.done(), lambda: f"{len(owner.keys)}"
            )
            assert register.failed == 1
        await asyncio.wait_for(serving, 5)
        assert owner.keys == list(range(len(CLAIMS)))

    asyncio.run(work())


def test_messages_to_a_slow_process_are_complete_although_epoll_refuses_to_watch_for_writability() -> None:
    """A message was cut off in the middle, its sender got an error, and the next one followed the cut."""

    async def work() -> None:
        loop_errors()
        with refused("register", errno.ENOMEM, times=2) as register:  # for reading, and for writing
            _, peer, serving, far = await channel()
            await turns(5)
            for claim in CLAIMS:
                peer.send(claim)
            got = b""
            with far:
                while len(got) < len(CLAIMS) * len(wire.encode(CLAIMS[0])) and not serving.done():
                    got += await asyncio.wait_for(asyncio.get_running_loop().sock_recv(far, 65_536), 5)
            assert got == b"".join(map(wire.encode, CLAIMS)) and register.failed == 2
        await asyncio.wait_for(serving, 5)

    asyncio.run(work())
