"""What all servers share: listening, and a bounded table of connections that bad ones cannot fill."""

import asyncio
from typing import Any, Generic, TypeVar

from beechrock.connections.table import UNREAD_SWEEPS, Placement, accept_budget, place_connection, victim
from beechrock.core.actor import ModuleActor
from beechrock.net.connection import ConnectionActor, load_input_check
from beechrock.net.listener import MAX_ACCEPTED_AT_ONCE, Listener, listen

P = TypeVar("P", bound=ConnectionActor[Any])
SWEEP_S = 0.5
DEPART_STEP_S = 0.004  # a tick of the module, whose answers are waited for
SET_UP_TURNS = 8  # of the loop, in which an accepted connection comes into ``peers`` (it takes 4)
LINGERING_PART = 16  # 1 / this of the table: connections ended for others that still hold a descriptor


class ConnectionServer(Generic[P]):
    """Listens, and keeps its connections."""

    where, at_once = "front", MAX_ACCEPTED_AT_ONCE

    def __init__(self, module: ModuleActor, max_connections: int) -> None:
        self.module = module
        self.max_connections = max_connections
        self.peers: set[P] = set()
        self.server: Listener | None = None
        self._sweeping = False
        self._lingering: dict[P, None] = {}  # ended for others, oldest first; read until the other end

    # What a kind of front adds.

    def peer(self) -> P:
        """Return one end of a new connection."""
        raise NotImplementedError

    def send_full(self, peer: P) -> None:
        """Reject on a connection that is one too many; each request on it is to be refused."""
        raise NotImplementedError

    def ended(self, peer: P) -> None:
        """Cancel what is open on a connection that is over."""
        raise NotImplementedError

    def dismiss(self, peer: P) -> bool:
        """End a connection with nothing open on it and nothing unread; False if it has such."""
        return peer.shut()

    def look_at(self, peer: P, now: float) -> None:
        """At each sweep: end a connection that does not do what it is for."""

    # The front.

    async def start(self, host: str, port: int, fd: int | None = None) -> None:
        """Listen; after ``pause``, again."""
        server = await listen(
            self._accepted,
            host,
            port,
            self.module.counters,
            self.where,
            fd,
            at_once=self.at_once,
            relieve=self._relieve,
            budget=self._accept_budget,
        )
        self.close()  # of a start in the same shortage, before a pause: it would outlive the next one
        self.server = server
        if not self._sweeping:
            self._sweeping = True
            self._sweep()

    def pause(self) -> None:
        """Take no more connections from a socket that others hold too; those that are open go on.

        What was accepted and not yet handed on is served all the same, which asyncio's own server drops.
        """
        self.close()

    def close(self) -> None:
        """Accept no more; connections that were accepted are served on."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def depart(self, cut_at: float, exit_at: float) -> None:
        """Take no more connections and end all, so that each complete request read before has its answer.

        ``cut_at``, ``exit_at``: of the loop's time; from the first on connections are ended whatever is open.
        """
        load_input_check()
        loop = asyncio.get_running_loop()
        turns = 0  # since the last connection was accepted
        while loop.time() < exit_at and (self.server is not None or self.peers or turns < SET_UP_TURNS):
            if self.server is not None and self.server.close_empty():
                self.server = None
            self._dismiss_all(loop.time() >= cut_at)
            # Few turns without a wait: a shortage may keep the backlog from being emptied.
            await asyncio.sleep(0 if self.server is None and turns < SET_UP_TURNS else DEPART_STEP_S)
            turns += self.server is None
        self.close()

    def _dismiss_all(self, cut: bool) -> None:
        """End all connections that owe nothing; with ``cut`` what is open, and what comes, is answered."""
        for peer in [peer for peer in self.peers if not peer.closing and (cut or not peer.begun())]:
            if not self.dismiss(peer) and cut:
                peer.rejected = True
                peer.answer_all()
                peer.end()

    def _relieve(self) -> None:
        """End the connection whose end costs least, as accept finds no descriptor or memory for a new one."""
        evicted = next(iter(self._lingering), None) or victim(
            self.peers, self.max_connections, self.module.clock()
        )
        if evicted is not None:
            self.module.counters.add(f"intake.{self.where}_relieved")
            self.peers.discard(evicted)
            self._lingering.pop(evicted, None)
            evicted.drop()

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.module.counters.spawn(self._serve(reader, writer), self.where)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer, counters = self.peer(), self.module.counters
        counters.add(f"intake.{self.where}_connections")
        peer.opened_at = self.module.clock()
        # Descriptors are kept for the agent and the ledger.
        if len(self.peers) >= self.max_connections and not self._evict_if_full():
            counters.add(f"intake.{self.where}_connections_beyond_limit")
            peer.rejected = True
            self.send_full(peer)
        self.peers.add(peer)
        counters.top(f"intake.{self.where}_most_connections", len(self.peers))
        try:
            await peer.serve(reader, writer)
        finally:
            self.peers.discard(peer)
            self._lingering.pop(peer, None)
            self.ended(peer)

    def _accept_budget(self, arriving: int) -> int:
        """Return how many connections may be accepted now; a rejected one may end for that."""
        budget, closable = accept_budget(
            self.peers, self.max_connections, arriving, self.at_once, self.module.clock()
        )
        if closable is not None:
            self._evict(closable)
        if not budget:
            self.module.counters.add(f"intake.{self.where}_left_in_backlog")
        return budget

    def _evict_if_full(self) -> bool:
        """Return whether there is a place, for which the connection whose end costs least may have to end.

        Without it clients that ask once and stay would fill the table.
        """
        placement, evicted = place_connection(self.peers, self.max_connections, self.module.clock())
        if evicted is not None:
            self.module.counters.add(f"intake.{self.where}_evicted")
            self._evict(evicted)
        return placement is not Placement.REJECT

    def _evict(self, peer: P) -> None:
        """End a connection that owes nothing, in order: what crosses our end is read, so nothing is reset.

        Its descriptor is free once the other side has ended it too; only the oldest of many are cut off.
        """
        self.peers.discard(peer)
        if peer.closing or not self.dismiss(peer):
            peer.drop()
            return
        self._lingering[peer] = None
        while len(self._lingering) > max(1, self.max_connections // LINGERING_PART):
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.drop()

    def _sweep(self) -> None:
        now = self.module.clock()
        for peer in self.peers:
            peer.unread = 0 if peer.flushed or peer.written != peer.written_then else peer.unread + 1
            peer.written_then = peer.written
            if peer.unread > UNREAD_SWEEPS:  # its descriptor and its answers would be held for ever
                self.module.counters.add(f"intake.{self.where}_unread")
                peer.drop()
            elif not (peer.closing or peer.ending):
                self.look_at(peer, now)
        self.module.timers.at(now + SWEEP_S, self._sweep)
