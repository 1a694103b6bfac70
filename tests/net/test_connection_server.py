"""Shutdown of a connection server."""

import asyncio
import sys

import pytest
from desk import Desk

from beechrock.net.connection import ConnectionActor
from beechrock.net.connection_server import ConnectionServer


class Peer(ConnectionActor[bytes]):
    """An open connection without pending answers."""

    def __init__(self) -> None:
        self.closing = False
        self._reader = None  # there is nothing to conclude

    def has_partial_message(self) -> bool:
        return False


def test_no_module_is_loaded_between_the_check_for_unread_input_and_a_connections_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first connection's end loaded two modules there, while a request could arrive and be lost."""
    loaded: list[bool] = []
    server = ConnectionServer[Peer](Desk().actor, 10)

    def end_if_idle(peer: Peer) -> bool:
        loaded.append("fcntl" in sys.modules and "termios" in sys.modules)
        peer.closing = True
        return True

    monkeypatch.setattr(server, "end_if_idle", end_if_idle)
    server.peers.add(Peer())
    for name in ("fcntl", "termios"):
        monkeypatch.delitem(sys.modules, name, raising=False)

    async def depart() -> None:
        now = asyncio.get_running_loop().time()
        await server.shut_down(now + 0.02, now + 0.03, now + 0.04)

    asyncio.run(depart())
    assert loaded == [True]
