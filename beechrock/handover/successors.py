"""The way out: successors that come, one of which joins at a time; the others wait for it."""

import asyncio
import logging

from beechrock.handover.channel import Channel, same_user
from beechrock.handover.claim_copy import ClaimCopy
from beechrock.handover.messages import Deferral, Hello
from beechrock.handover.ownership import PeerRole
from beechrock.handover.peer import ChannelPeer, Owner
from beechrock.handover.shared import RETRY_S, SharedParts

log = logging.getLogger("beechrock")
LISTEN_RETRY_S = 0.25  # between two attempts to listen; a successor takes as long to start
MAX_WAITING_SUCCESSORS = 4


class Successors:
    """The successors of this process, joined or not."""

    def __init__(self, parts: SharedParts, owner: Owner, copy: ClaimCopy) -> None:
        self.waiting: list[ChannelPeer] = []  # those that have not joined
        self._parts = parts
        self._owner = owner
        self._copy = copy

    @property
    def incompatible_there(self) -> bool:
        """Return whether one waits that cannot be understood: that it has come has to do for a yes."""
        return any(peer.incompatible for peer in self.waiting)

    def listen(self, channel: Channel) -> None:
        """Listen for successors, now or once the folder takes a socket."""
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
        """Listen once the folder has room: a successor that finds nobody would run keys once more."""
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
        peer.post(Hello())
        await peer.serve(reader, writer)
        if peer in self.waiting:
            self.waiting.remove(peer)
            if peer.incompatible and parts.links.successor is None and not self.incompatible_there:
                parts.lifecycle.on_successor_lost()
                parts.on_change()
        # A channel that this process closes on its way out is no successor's end: it takes no connections
        # again, and runs no key that nobody knows of.
        if peer is parts.links.successor and not parts.lifecycle.ended:
            self._on_successor_lost()

    def _on_successor_lost(self) -> None:
        """Go on alone after the joined successor's channel has ended."""
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
        parts.on_change()
        self.join_next()

    def on_hello(self, peer: ChannelPeer, understood: bool) -> None:
        """Take in a successor's first message, of this version or not."""
        self.waiting.append(peer)
        if understood:
            self._join(peer)
        else:  # it will request nothing; that it stands here says that it has come
            peer.incompatible = True
            log.warning("handover: a successor of another version")

    def join_next(self) -> None:
        """Let the first successor that waits, and can be understood, join."""
        for peer in [peer for peer in self.waiting if not peer.incompatible][:1]:
            self._join(peer)

    def _join(self, peer: ChannelPeer) -> None:
        """Copy all claims to a successor, if this process can vouch for them and serves no other one."""
        parts = self._parts
        if not parts.lifecycle.authority or parts.links.successor is not None:
            peer.send(Deferral())
            return
        # A copy without some runs would let the successor run them once more. Without one it serves all
        # else, and turns keys away.
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
        while self._parts.keys.misses_runs:
            await asyncio.sleep(RETRY_S)
        if self._parts.links.successor is None:
            self.join_next()
