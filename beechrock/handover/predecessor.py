"""The channel to the predecessor: connects, receives its claims, and announces that this process is ready."""

import asyncio
import logging

from beechrock.handover.channel import Channel
from beechrock.handover.lifecycle import PredecessorStage
from beechrock.handover.messages import FEATURES, Hello, Leaving, SuccessorReady
from beechrock.handover.ownership import PeerRole
from beechrock.handover.peer import ChannelPeer, Owner
from beechrock.handover.shared import RETRY_S, SharedParts

log = logging.getLogger("beechrock")


class PredecessorLink:
    """The channel to the predecessor, which is reopened for as long as that process exists."""

    def __init__(self, parts: SharedParts, owner: Owner) -> None:
        self.ready_sent = False  # Whether ``SuccessorReady`` was sent over the current channel
        self._parts = parts
        self._owner = owner

    async def run(self, channel: Channel) -> bool:
        """Serve channels to the predecessor, one after the other.

        Returns True once no predecessor exists any more, and False if this process ends before.
        """
        while True:
            try:
                connection = await channel.connect()
            except OSError as error:  # a predecessor may exist that is stopped and cannot be reached
                self._note_unreachable(error)
                await asyncio.sleep(RETRY_S)
                continue
            ownership = self._parts.keys.ownership
            if connection is None:
                # A process that was killed before a sync has left its socket: its runs are not all known.
                ownership.claims_missing = ownership.claims_missing or channel.killed_before_sync
                return True
            await self._serve(channel, *connection)
            if self._parts.lifecycle.ended:
                return False
            all_known = not ownership.claims_missing
            self._parts.lifecycle.on_channel_ended()
            self._parts.load.other_lost()
            self._parts.counters.add("handover.channels_ended")
            await asyncio.sleep(0 if all_known else RETRY_S)

    def _note_unreachable(self, error: OSError) -> None:
        counters = self._parts.counters
        if not counters["handover.unreachable"]:
            log.warning("handover: cannot reach the predecessor: %s", error)
        counters.add("handover.unreachable")
        self._note_found()
        self._parts.start_pulse()

    def _note_found(self) -> None:
        """Note that a predecessor exists whose claims are not known yet."""
        self._parts.lifecycle.on_connected(self._parts.module.clock())
        self._parts.keys.ownership.claims_missing = True

    async def _serve(
        self, channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._note_found()
        peer = ChannelPeer(self._owner, is_successor=False)
        self._parts.links.predecessor = peer
        peer.post(Hello(features=FEATURES))
        self._parts.load.other_appeared()
        self._parts.start_pulse()
        await peer.serve(reader, writer)
        if peer.unreadable:
            channel.mark_not_fully_known()
        self._parts.links.predecessor = None
        self.ready_sent = False

    def on_hello(self, peer: ChannelPeer, understood: bool) -> None:
        """Process the predecessor's hello; ``understood`` is true if both processes' versions are equal."""
        self._parts.lifecycle.on_hello(self._parts.module.clock(), understood)
        if not understood:
            peer.incompatible = True
            self.mark_incompatible()

    def on_claims_synced(self) -> None:
        """Note that all claims of the predecessor are known."""
        parts = self._parts
        parts.lifecycle.on_synced()
        parts.counters.set("handover.claims_copied", len(parts.keys.ownership.other_claims.claims))
        parts.keys.ownership.on_claims_synced()
        if parts.channel is not None:
            parts.channel.mark_fully_known()
        parts.keys.flush()
        parts.on_change()

    def mark_incompatible(self) -> None:
        """Run no new keyed request, as the predecessor's messages cannot be understood."""
        ownership = self._parts.keys.ownership
        if ownership.role is not PeerRole.INCOMPATIBLE:
            log.warning("handover: the predecessor cannot be understood; keyed requests are turned away")
            ownership.role = PeerRole.INCOMPATIBLE
            self._parts.on_change()

    def announce_ready(self) -> None:
        """Notify the predecessor, once per channel, that this process accepts connections."""
        lifecycle = self._parts.lifecycle
        peer = self._parts.links.predecessor
        if lifecycle.predecessor is not PredecessorStage.SYNCED or not lifecycle.serving:
            return
        if self.ready_sent or peer is None:
            return
        self.ready_sent = True
        # The notice must be repeated over each new channel: of two leaving processes, each would otherwise
        # rely on the other to accept connections.
        if lifecycle.leaving:
            peer.send(Leaving())
        peer.send(SuccessorReady())
