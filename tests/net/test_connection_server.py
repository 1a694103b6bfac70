"""How a server of connections departs."""

import asyncio
import sys

import pytest
from desk import Desk

from beechrock.net.connection import ConnectionActor
from beechrock.net.connection_server import ConnectionServer


class Peer(ConnectionActor[bytes]):
    """A connection that is open and owes nothing."""

    def __init__(self) -> None:
        self.closing = False
        self._reader = None  # nothing is left to conclude

    def begun(self) -> bool:
        return False


def test_no_module_is_loaded_between_the_check_for_unread_input_and_a_connections_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first end of a process loaded two modules there, in which a request could come and be lost."""
    loaded: list[bool] = []
    server = ConnectionServer[Peer](Desk().actor, 10)

    def dismiss(peer: Peer) -> bool:
        loaded.append("fcntl" in sys.modules and "termios" in sys.modules)
        peer.closing = True
        return True

    monkeypatch.setattr(server, "dismiss", dismiss)
    server.peers.add(Peer())
    for name in ("fcntl", "termios"):
        monkeypatch.delitem(sys.modules, name, raising=False)

    async def depart() -> None:
        now = asyncio.get_running_loop().time()
        await server.depart(now + 0.02, now + 0.03, now + 0.04)

    asyncio.run(depart())
    assert loaded == [True]
