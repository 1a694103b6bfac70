"""epoll_ctl(2) refuses sockets between the nodes of a fleet: no node stops receiving after that."""

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
RECEIVE_LIMIT_S = 5.0  # time limit for a message; a connection known to be broken is replaced within 2 s
READ = selectors.EVENT_READ


class Talker:
    """A transport, and the messages that it received."""

    def __init__(self, name: str) -> None:
        settings = FleetSettings(("127.0.0.1", 0), {}, KEY, Path("/nowhere"))
        self.transport = PeerTransport(settings, name, 1, Counters())
        self.received: list[bytes] = []
        self.transport.on("c", lambda sender, life, message: self.received.append(message))

    async def listen(self) -> int:
        await self.transport.listen()
        return int(self.transport.address.rpartition(":")[2])


async def wait_for_message(receiver: Talker, sender: Talker) -> None:
    """Send a message every 100 ms until the receiver has received one."""
    async with asyncio.timeout(RECEIVE_LIMIT_S):
        while not receiver.received:
            sender.transport.send("b", "c", b"x")
            await asyncio.sleep(0.1)


def test_a_node_receives_messages_although_epoll_refuses_the_link_at_first() -> None:
    """The receiver got nothing, while the sender's link was up and the kernel accepted each message."""

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
                await wait_for_message(receiver, sender)
                assert register.failed == 1
            finally:
                running.cancel()
                sender.transport.close()
                receiver.transport.close()

    asyncio.run(work())


def test_a_node_receives_messages_although_epoll_refuses_its_listener_after_a_shortage() -> None:
    """A node never accepted again: asyncio's server is registered by a timer whose error is not handled."""

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
                await wait_for_message(receiver, sender)
                assert accept.failed == 1
            finally:
                running.cancel()
                sender.transport.close()
                receiver.transport.close()

    asyncio.run(work())


def of_datagrams(sock: socket.socket) -> bool:
    return sock.type == socket.SOCK_DGRAM


def test_a_member_receives_datagrams_although_epoll_refuses_its_socket_at_first() -> None:
    """The member received none until its process ended, and the others considered it dead."""

    async def work() -> None:
        loop_errors()
        key = members_key_from(b"a secret of sixteen bytes and more")
        period_s = 0.1

        def member(name: str, *seeds: str) -> MembersActor:
            settings = MembersSettings(("127.0.0.1", 0), "fleet", key, seeds, period_s)
            return MembersActor(settings, name, 1, Counters(), 1)

        refused_member = member("b")
        # All its tries fail: it opens another socket if the port is in use for the exchanges.
        with refused("register", errno.ENOMEM, times=None, of=of_datagrams, events=READ) as register:
            await refused_member.listen()
            assert register.failed
        assert refused_member.transport is not None
        port = refused_member.transport.get_extra_info("sockname")[1]
        other = member("a", f"127.0.0.1:{port}")
        await other.listen()
        running = [asyncio.ensure_future(one.run()) for one in (refused_member, other)]
        try:
            async with asyncio.timeout(RECEIVE_LIMIT_S):
                while "a" not in refused_member.received_at_s:
                    await asyncio.sleep(0.01)
        finally:
            for task in running:
                task.cancel()
            for one in (refused_member, other):
                assert one.transport is not None and one.server is not None
                one.transport.close()
                one.server.close()

    asyncio.run(work())
