"""Epoll_ctl(2) refusing to watch what nodes of a fleet tell each other: no node is deaf after that."""

import asyncio
import errno
import selectors
import socket
from pathlib import Path

from syscall_faults import accepted_on, faults, loop_errors, on_port, refused

from beechrock.core.counters import Counters
from beechrock.members.actor import MembersActor
from beechrock.members.codec import key_from as members_key_from
from beechrock.members.settings import MembersSettings
from beechrock.talk.frames import key_from
from beechrock.talk.part import PeerTransport
from beechrock.talk.settings import FleetSettings

KEY = key_from(b"a secret of sixteen bytes and more")
HEARD_S = 5.0  # a new connection is made within 2 s, where the one before is known to be of no use
READ = selectors.EVENT_READ


class Talker:
    """A transport of its own, and what it received."""

    def __init__(self, name: str) -> None:
        settings = FleetSettings(("127.0.0.1", 0), {}, KEY, Path("/nowhere"))
        self.transport = PeerTransport(settings, name, 1, Counters())
        self.received: list[bytes] = []
        self.transport.on("c", lambda sender, life, message: self.received.append(message))

    async def listen(self) -> int:
        await self.transport.listen()
        return int(self.transport.address.rpartition(":")[2])


async def heard(receiver: Talker, sender: Talker) -> None:
    """Wait until one of the messages sent every 100 ms from now on has come."""
    async with asyncio.timeout(HEARD_S):
        while not receiver.received:
            sender.transport.send("b", "c", b"x")
            await asyncio.sleep(0.1)


def test_a_node_receives_messages_although_epoll_refuses_the_link_at_first() -> None:
    """It heard nothing: the sender saw its link up, and the kernel took message after message."""

    async def work() -> None:
        loop_errors()
        sender, receiver = Talker("a"), Talker("b")
        await sender.listen()
        port = await receiver.listen()
        sender.transport.links["b"] = sender.transport.link_to("b", ("127.0.0.1", port))
        receiver.transport.links["a"] = receiver.transport.link_to("a", ("127.0.0.1", 1))
        with refused("register", errno.ENOMEM, of=accepted_on(port), events=READ) as register:
            running = asyncio.ensure_future(sender.transport.run())
            try:
                await heard(receiver, sender)
                assert register.failed == 1
            finally:
                running.cancel()
                sender.transport.close()
                receiver.transport.close()

    asyncio.run(work())


def test_a_node_receives_messages_although_epoll_refuses_its_listener_after_a_shortage() -> None:
    """It never accepted again: asyncio's server is registered anew by a timer whose error nobody sees."""

    async def work() -> None:
        loop_errors()
        sender, receiver = Talker("a"), Talker("b")
        await sender.listen()
        port = await receiver.listen()
        sender.transport.links["b"] = sender.transport.link_to("b", ("127.0.0.1", port))
        receiver.transport.links["a"] = receiver.transport.link_to("a", ("127.0.0.1", 1))
        with (
            faults("accept", errno.ENOMEM, of=on_port(port)) as accept,
            refused("register", errno.ENOMEM, of=on_port(port), events=READ),
        ):
            running = asyncio.ensure_future(sender.transport.run())
            try:
                await heard(receiver, sender)
                assert accept.failed == 1
            finally:
                running.cancel()
                sender.transport.close()
                receiver.transport.close()

    asyncio.run(work())


def of_datagrams(sock: socket.socket) -> bool:
    return sock.type == socket.SOCK_DGRAM


def test_a_member_receives_datagrams_although_epoll_refuses_its_socket_at_first() -> None:
    """It heard none until its process ended, and was dead to the others while it lived."""

    async def work() -> None:
        loop_errors()
        key = members_key_from(b"a secret of sixteen bytes and more")
        period_s = 0.1

        def member(name: str, *seeds: str) -> MembersActor:
            settings = MembersSettings(("127.0.0.1", 0), "fleet", key, seeds, period_s)
            return MembersActor(settings, name, 1, Counters(), 1)

        deaf = member("b")
        # All of its tries: it makes another socket where the port is taken for the exchanges.
        with refused("register", errno.ENOMEM, times=None, of=of_datagrams, events=READ) as register:
            await deaf.listen()
            assert register.failed
        assert deaf.transport is not None
        port = deaf.transport.get_extra_info("sockname")[1]
        other = member("a", f"127.0.0.1:{port}")
        await other.listen()
        running = [asyncio.ensure_future(one.run()) for one in (deaf, other)]
        try:
            async with asyncio.timeout(HEARD_S):
                while "a" not in deaf.received_at_s:
                    await asyncio.sleep(0.01)
        finally:
            for task in running:
                task.cancel()
            for one in (deaf, other):
                assert one.transport is not None and one.server is not None
                one.transport.close()
                one.server.close()

    asyncio.run(work())
