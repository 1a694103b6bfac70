"""Accepting connections from a listening socket that two processes of one node share during a hand-over."""

import asyncio
import logging

from beechrock import config
from beechrock.core.counters import Counters
from beechrock.handover.node import Handover
from beechrock.net.frame_server import FrameServer
from beechrock.net.listener import Listener

log = logging.getLogger("beechrock")

RETRY_S = 0.05  # seconds between two attempts to listen on the shared socket


class SharedSocket:
    """Accepts connections from the shared socket while the hand-over's state allows this process to."""

    def __init__(
        self, configuration: config.Config, frames: FrameServer, handover: Handover, counters: Counters
    ) -> None:
        self._configuration = configuration
        self._frames = frames
        self._handover = handover
        self._counters = counters
        self._accepting = False  # whether this process is to accept connections
        self._listen_lock = asyncio.Lock()  # one attempt at a time: a second listener would outlive a pause

    def follow_handover(self) -> None:
        """Accept connections or leave them to the other process, and share the connection limit with it."""
        sockets = self._configuration.sockets
        self._frames.max_connections = max(
            sockets // 16, sockets * 5 // 8 - self._handover.load.other_connections
        )
        accepting = self._handover.lifecycle.accepting
        if accepting is self._accepting:
            return
        self._accepting = accepting
        if accepting:
            self._counters.spawn(self.listen(), "listen")
        else:
            self._frames.pause()

    async def listen(self) -> None:
        """Listen as soon as a descriptor is available, unless the other process accepts by then."""
        name, listen = self._configuration.name, self._configuration.listen
        if listen is None:
            return
        async with self._listen_lock:
            while self._accepting and self._frames.server is None:
                try:
                    await self._frames.start(*listen, self._configuration.listen_fd)
                    log.info("%s: frames on %s", name, _address_of(self._frames.server))
                except OSError as error:  # no descriptor: retry, as no other process accepts
                    self._counters.add("handover.no_listener")
                    log.error("%s: frames: %s", name, error)
                    await asyncio.sleep(RETRY_S)
            if not self._accepting:
                self._frames.pause()


def _address_of(server: Listener | None) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2]) if server is not None else "nothing"
