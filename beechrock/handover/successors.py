"""The channels to successors, of which one at a time joins while the others wait."""

import asyncio
import logging

from beechrock.handover.channel import Channel, same_user
from beechrock.handover.claim_copy import ClaimCopy
from beechrock.handover.messages import FEATURES, Deferral, Hello
from beechrock.handover.ownership import PeerRole
from beechrock.handover.peer import ChannelPeer, Owner
from beechrock.handover.shared import RETRY_S, SharedParts

log = logging.getLogger("beechrock")
LISTEN_RETRY_S = 0.25  # Seconds between two attempts to listen; a successor takes about as long to start
MAX_WAITING_SUCCESSORS = 4


class Successors:
    """The connected successors of this process, whether they have joined or wait."""

    def __init__(self, parts: SharedParts, owner: Owner, copy: ClaimCopy) -> None:
        self.waiting: list[ChannelPeer] = []  # Channels of successors that have not joined
        self._parts = parts
        self._owner = owner
        self._copy = copy

    @property
    def incompatible_there(self) -> bool:
        """Return whether a successor of another version is connected.

        It cannot announce that it is ready, so its connection counts as the announcement.
        """
        return any(peer.incompatible for peer in self.waiting)

    def listen(self, channel: Channel) -> None:
        """Listen for successors, and retry in the background until a socket can be created."""
        if not self._try_listen(channel):
            self._parts.counters.spawn(self._retry_listen(channel), "handover.listen")

    def _try_listen(self, channel: Channel) -> bool:
        counters = self._parts.counters
        try:
            channel.listen(self._accepted, counters)
        except OSError as error:
            if not counters["handover.not_listening"]:
                log.warning("handover: %s: no successor can be heard", error)
            counters.add("handover.not_listening")
            return False
        return True

    async def _retry_listen(self, channel: Channel) -> None:
        """Retry to listen until that succeeds: a successor that finds no predecessor would run keys twice."""
        while not self._parts.lifecycle.ended:
            await asyncio.sleep(LISTEN_RETRY_S)
            if not self._parts.lifecycle.ended and self._try_listen(channel):
                return log.info("handover: a successor can be heard now")

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._parts.counters.spawn(self._serve(reader, writer), "handover.successor")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parts = self._parts
        if not same_user(writer) or len(self.waiting) >= MAX_WAITING_SUCCESSORS:
            parts.counters.add("handover.strangers")
            writer.close()
            return
        peer = ChannelPeer(self._owner, is_successor=True)
        peer.post(Hello(features=FEATURES))
        await peer.serve(reader, writer)
        if peer in self.waiting:
            self.waiting.remove(peer)
            if peer.incompatible and parts.links.successor is None and not self.incompatible_there:
                parts.lifecycle.on_successor_lost()
                parts.on_change()
        # When this process ends and closes the channel itself, the successor is not lost. This process must
        # then not accept connections again, nor run keys that the successor does not know.
        if peer is parts.links.successor and not parts.lifecycle.ended:
            self._on_successor_lost()

    def _on_successor_lost(self) -> None:
        """Continue alone after the channel to the joined successor has ended."""
        parts = self._parts
        log.info("handover: the successor is gone")
        channel = parts.channel
        if channel is not None and not channel.try_renew():
            parts.counters.spawn(channel.retry_renew(lambda: parts.lifecycle.ended), "handover.renew")
        parts.links.successor = None
        parts.keys.own_claims.clear()
        parts.keys.on_peer_lost()
        parts.lifecycle.on_successor_lost()
        parts.load.other_lost()
        parts.memory.on_successor_lost()
        parts.on_change()
        self.join_next()

    def on_hello(self, peer: ChannelPeer, understood: bool) -> None:
        """Process a successor's hello; ``understood`` is true if both processes' versions are equal."""
        self.waiting.append(peer)
        if understood:
            self._join(peer)
        else:  # it stays in ``waiting``, where ``incompatible_there`` finds it
            peer.incompatible = True
            log.warning("handover: a successor of another version has connected")

    def join_next(self) -> None:
        """Let the first waiting successor of a compatible version join."""
        for peer in [peer for peer in self.waiting if not peer.incompatible][:1]:
            self._join(peer)

    def _join(self, peer: ChannelPeer) -> None:
        """Start the copy to a successor if this process is the authority and no successor has joined."""
        parts = self._parts
        if not parts.lifecycle.authority or parts.links.successor is not None:
            peer.send(Deferral())
            return
        # An incomplete copy would let the successor run keys twice. Without a copy it serves unkeyed requests
        # and rejects keyed requests.
        if parts.keys.misses_runs:
            parts.counters.spawn(self._join_after_doubt(), "handover.doubt")
            return
        self.waiting.remove(peer)
        parts.links.successor = peer
        parts.load.other_appeared()
        parts.lifecycle.on_successor_joined()
        parts.counters.add("handover.successors")
        parts.keys.ownership.role = PeerRole.SUCCESSOR
        parts.counters.spawn(self._copy.run(peer), "handover.copy")
        parts.start_pulse()

    async def _join_after_doubt(self) -> None:
        """Let the first waiting successor join once no run is unknown any more."""
        while self._parts.keys.misses_runs:
            await asyncio.sleep(RETRY_S)
        if self._parts.links.successor is None:
            self.join_next()
