"""Base class of all servers: listens, and bounds the table of connections, evicting the least useful ones."""

import asyncio
import socket
from typing import Any, Generic, TypeVar

from beechrock.connections.table import UNREAD_SWEEPS, Placement, accept_budget, place_connection, victim
from beechrock.core.actor import ModuleActor
from beechrock.net.connection import ConnectionActor
from beechrock.net.direct_endpoint import DirectEndpoint, SocketEndpoint, StreamEndpoint, load_input_check
from beechrock.net.listener import (
    MAX_ACCEPTED_AT_ONCE,
    READ_CHUNK,
    RECEIVE_BUFFER,
    Arrivals,
    Listener,
    listen,
)
from beechrock.net.time_slice import TimeSlice

P = TypeVar("P", bound=ConnectionActor[Any])
SWEEP_S = 0.5  # interval of the sweeps over the table
DEPART_STEP_S = 0.004  # one tick of the module, which produces the answers that the shutdown waits for
FAIR_BYTES = READ_CHUNK  # bytes read from each connection in the last pass before any is read further
# Maximum unread bytes on a connection as the last pass begins: the kernel doubles the size of its buffer,
# and asyncio buffers two chunks.
MAX_LAST_BYTES = 2 * (RECEIVE_BUFFER + READ_CHUNK)
LINGERING_DIVISOR = 16  # evicted connections that still hold a descriptor may number 1/16 of the table's size


class ConnectionServer(Generic[P]):
    """Listens, and manages the accepted connections."""

    where, at_once = "front", MAX_ACCEPTED_AT_ONCE

    def __init__(self, module: ModuleActor, max_connections: int) -> None:
        self.module = module
        self.max_connections = max_connections
        self.peers: set[P] = set()
        self.server: Listener | None = None
        self._sweeping = False
        self._arrivals: Arrivals = {}  # accepted connections that have no streams yet
        # Connections with streams that are not in ``peers`` yet.
        self._unserved: dict[asyncio.StreamReader, asyncio.StreamWriter] = {}
        # Evicted connections, oldest first, which are read until the other side ends its stream.
        self._lingering: dict[P, None] = {}
        self._slice = TimeSlice()
        # Sockets that stay open until the process ends, as closing them could reset unread answers.
        self._concluded: list[socket.socket] = []

    # Hooks that subclasses override.

    def peer(self) -> P:
        """Create the actor for a new connection."""
        raise NotImplementedError

    def reject_full(self, peer: P) -> None:
        """Notify the peer that the table is full; each request on this connection is refused."""
        raise NotImplementedError

    def on_connection_ended(self, peer: P) -> None:
        """Cancel the open requests of a connection that has ended."""
        raise NotImplementedError

    def end_if_idle(self, peer: P) -> bool:
        """End a connection unless a request is open or input is unread. Returns whether it was ended."""
        return peer.close_if_idle()

    def check_idle(self, peer: P, now: float) -> None:
        """End a connection that is idle or too slow; called for each connection at each sweep."""

    # Server methods.

    async def start(self, host: str, port: int, fd: int | None = None) -> None:
        """Start to listen, or listen again after ``pause``."""
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
            arrivals=self._arrivals,
        )
        self.close()  # an earlier start may have waited out the same shortage; its listener would stay open
        self.server = server
        if not self._sweeping:
            self._sweeping = True
            self._sweep()

    def pause(self) -> None:
        """Stop accepting from a socket that other processes hold too; open connections are still served.

        Connections that were accepted but have no streams yet are served as well; asyncio's own server would
        drop them.
        """
        self.close()

    def close(self) -> None:
        """Stop accepting; accepted connections are still served."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def shut_down(self, cut_at: float, exit_at: float, end_at: float) -> None:
        """Stop accepting and end all connections, so that each complete request gets its answer.

        Until ``exit_at``, connections are ended by turns of the event loop; from ``cut_at`` on, open requests
        are answered with a failure so that their connections can end. The rest is then concluded directly,
        without turns of the loop except where an answer is partly written, and until ``end_at`` at most. The
        arguments are times of the loop's clock, in seconds.
        """
        load_input_check()
        await self._end_by_turns(cut_at, exit_at)
        await self._conclude(end_at)
        self.close()

    async def _end_by_turns(self, cut_at: float, exit_at: float) -> None:
        """End connections in turns of the event loop, until none is left or ``exit_at`` is reached."""
        loop = asyncio.get_running_loop()
        while loop.time() < exit_at and (self.server is not None or self.peers or self._has_pending()):
            if self.server is not None and self.server.close_empty():
                self.server = None
            self._end_idle_connections(loop.time() >= cut_at)
            # Turns without a wait only once the listener is closed: while a shortage keeps the backlog from
            # being emptied, they would take the whole core.
            await asyncio.sleep(0 if self.server is None and self._has_pending() else DEPART_STEP_S)

    def _has_pending(self) -> bool:
        """Return whether an accepted connection is not in ``peers`` yet."""
        return bool(self._arrivals or self._unserved)

    async def _conclude(self, end_at: float) -> None:
        """End all connections directly; turns of the loop serve only to finish partly written answers."""
        loop = asyncio.get_running_loop()
        while True:
            self._conclude_backlog(end_at)
            self._conclude_pending()
            self._shut_all()
            if self._conclude_peers(end_at) or loop.time() >= end_at:
                return
            await asyncio.sleep(DEPART_STEP_S)

    def _conclude_backlog(self, end_at: float) -> None:
        """Answer and end each connection in the backlog.

        After ``end_at`` each is read only once, like the accepted connections. If new connections may still
        arrive, the first that is taken after ``end_at`` is the last.
        """
        if self.server is None:
            return
        loop = asyncio.get_running_loop()
        for connection in self.server.take_backlog():
            self._concluded.append(connection)
            in_time = loop.time() < end_at
            self._conclude_new(SocketEndpoint(connection), MAX_LAST_BYTES if in_time else 0)
            if not in_time and not self.server.refusing:
                return
        if not self.server.sockets:
            self.server = None

    def _conclude_pending(self) -> None:
        """Answer and end each accepted connection that is not in ``peers`` yet."""
        while self._arrivals:
            _, connection = self._arrivals.popitem()
            self._concluded.append(connection)
            self._conclude_new(SocketEndpoint(connection), MAX_LAST_BYTES)
        while self._unserved:
            self._conclude_new(StreamEndpoint(*self._unserved.popitem()), MAX_LAST_BYTES)

    def _conclude_new(self, endpoint: DirectEndpoint, max_bytes: int) -> None:
        peer = self.peer()
        self.module.counters.add(f"intake.{self.where}_connections")
        peer.close_now_on(endpoint, max_bytes, force=True)
        self.on_connection_ended(peer)

    def _shut_all(self) -> None:
        """Answer pending input on all connections, and then end them in quick succession.

        A request that arrives between the check for input and the end of its connection is lost. On a busy
        machine, the process is paused wherever its time slice ends; so the ends are done in a new time slice.
        """
        for peer in self.peers:
            peer.answer_unread(FAIR_BYTES)
        self._slice.renew()
        for peer in self.peers:
            peer.close_if_idle()

    def _conclude_peers(self, end_at: float) -> bool:
        """End all connections. Returns whether nothing is left to do on any of them.

        Connections with little pending input are ended first, so that a caller that sends without end does
        not delay the others.
        """
        loop = asyncio.get_running_loop()
        left: list[P] = []
        for peer in list(self.peers):
            self._slice.renew_if_used()
            if not peer.close_now(FAIR_BYTES, force=False):
                left.append(peer)
        unfinished = 0
        for peer in left:
            max_bytes = MAX_LAST_BYTES if loop.time() < end_at else 0
            unfinished += not peer.close_now(max_bytes, force=True)
        return not unfinished

    def _end_idle_connections(self, cut: bool) -> None:
        """End all connections without open or partly received requests.

        With ``cut``, requests that are open or still arrive are answered at once, so that the rest can end.
        """
        for peer in [
            peer for peer in self.peers if not peer.closing and (cut or not peer.has_partial_message())
        ]:
            self._slice.renew_if_used()
            if not self.end_if_idle(peer) and cut:
                peer.rejected = True
                peer.answer_all()
                peer.close_when_idle()

    def _relieve(self) -> None:
        """Evict the least useful connection, as accept(2) lacks a descriptor or memory for a new one."""
        evicted = next(iter(self._lingering), None) or victim(
            self.peers, self.max_connections, self.module.clock()
        )
        if evicted is not None:
            self.module.counters.add(f"intake.{self.where}_relieved")
            self.peers.discard(evicted)
            self._lingering.pop(evicted, None)
            evicted.drop()

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._unserved[reader] = writer
        self.module.counters.spawn(self._serve(reader, writer), self.where)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._unserved.pop(reader, None) is None:  # a shutdown has concluded it in the meantime
            return
        peer, counters = self.peer(), self.module.counters
        counters.add(f"intake.{self.where}_connections")
        peer.opened_at = self.module.clock()
        # The bound on connections leaves descriptors for the links to the agent and the ledger.
        if len(self.peers) >= self.max_connections and not self._evict_if_full():
            counters.add(f"intake.{self.where}_connections_beyond_limit")
            peer.rejected = True
            self.reject_full(peer)
        self.peers.add(peer)
        counters.raise_max(f"intake.{self.where}_most_connections", len(self.peers))
        try:
            await peer.serve(reader, writer)
        finally:
            self.peers.discard(peer)
            self._lingering.pop(peer, None)
            self.on_connection_ended(peer)

    def _accept_budget(self, arriving: int) -> int:
        """Return how many connections may be accepted now; a rejected connection may be evicted for that."""
        budget, closable = accept_budget(
            self.peers, self.max_connections, arriving, self.at_once, self.module.clock()
        )
        if closable is not None:
            self._evict(closable)
        if not budget:
            self.module.counters.add(f"intake.{self.where}_left_in_backlog")
        return budget

    def _evict_if_full(self) -> bool:
        """Return whether the table has a free place, evicting the least useful connection if it is full.

        Without eviction, clients that send one request and stay connected would fill the table.
        """
        placement, evicted = place_connection(self.peers, self.max_connections, self.module.clock())
        if evicted is not None:
            self.module.counters.add(f"intake.{self.where}_evicted")
            self._evict(evicted)
        return placement is not Placement.REJECT

    def _evict(self, peer: P) -> None:
        """End a connection without pending answers gracefully.

        Input that crosses our end of stream is still read, so that the connection is not reset. Its
        descriptor is freed once the other side ends its stream too; if too many linger, the oldest are
        aborted.
        """
        self.peers.discard(peer)
        if peer.closing or not self.end_if_idle(peer):
            peer.drop()
            return
        self._lingering[peer] = None
        while len(self._lingering) > max(1, self.max_connections // LINGERING_DIVISOR):
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.drop()

    def _sweep(self) -> None:
        now = self.module.clock()
        for peer in self.peers:
            peer.unread = 0 if peer.flushed or peer.written != peer.written_at_sweep else peer.unread + 1
            peer.written_at_sweep = peer.written
            if peer.unread > UNREAD_SWEEPS:  # otherwise its descriptor and its answers would be kept forever
                self.module.counters.add(f"intake.{self.where}_unread")
                peer.drop()
            elif not (peer.closing or peer.ending):
                self.check_idle(peer, now)
        self.module.timers.at(now + SWEEP_S, self._sweep)
