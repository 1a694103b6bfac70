"""Transfers of memory between the two processes, over the channel; ``core.memory_share`` decides on them."""

from beechrock.core.actor import ModuleActor
from beechrock.core.requests import (
    MemoryEnded,
    MemoryGiven,
    MemoryJoined,
    MemoryMessage,
    MemoryRequested,
    MemorySplit,
)
from beechrock.core.timer_wheel import Timer
from beechrock.handover.messages import MemoryGrant, MemoryLimit, MemoryRequest
from beechrock.handover.peer import ChannelPeer, PeerLinks

# Time after the loss of the channel in which a successor that still runs connects again.
REJOIN_S = 0.25


class MemoryExchange:
    """Implementation of ``core.memory_transfers.MemoryPartner`` over the channel to the other process."""

    def __init__(self, module: ModuleActor, links: PeerLinks) -> None:
        self._module = module
        self._links = links
        self._unstated: ChannelPeer | None = None  # channel on which the own limit is yet to be stated
        self._stated: ChannelPeer | None = None  # channel on which the own limit was stated
        self._end_timer: Timer | None = None

    def state_limit(self, limit_kb: float) -> None:
        """State the limit of this process to its predecessor, once on each channel."""
        peer, self._unstated = self._unstated, None
        if peer is not None and peer is self._links.predecessor:
            self._stated = peer
            peer.send(MemoryLimit(limit_kb))

    def request_memory(self, wanted_kb: float) -> None:
        """Request a transfer, which is answered once.

        A successor requests nothing before it has stated its limit: a grant that crossed the statement would
        count in both processes. Joining makes it request again.
        """
        if self._links.predecessor is None or self._links.predecessor is self._stated:
            self._links.send(MemoryRequest(wanted_kb))

    def is_current(self, channel: object) -> bool:
        """Return whether a request that came over this channel can still be answered."""
        return channel is self._links.current

    def give_memory(self, given_kb: float) -> None:
        """Answer a request of the other process."""
        self._links.send(MemoryGrant(given_kb))

    def on_synced(self, peer: ChannelPeer) -> None:
        """State the own limit to a predecessor that shares the node's memory."""
        if peer.shares_memory:
            self._unstated = peer
            self._module.post(MemoryJoined())

    def receive(self, peer: ChannelPeer, message: MemoryLimit | MemoryRequest | MemoryGrant) -> None:
        """Pass a message of the other process to the module."""
        self._module.post(_module_message(peer, message))
        if isinstance(message, MemoryLimit) and self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None

    def on_successor_lost(self) -> None:
        """Take back the successor's part, unless it connects again because only the channel had ended."""
        if self._end_timer is None:
            due_s = self._module.clock() + REJOIN_S
            self._end_timer = self._module.timers.at(due_s, self._end)
            self._module.mailbox.wake()

    def on_predecessor_gone(self) -> None:
        """Use the whole memory of the node, as the predecessor has ended."""
        self._end()

    def _end(self) -> None:
        self._end_timer = None
        self._module.post(MemoryEnded())


def _module_message(peer: ChannelPeer, message: MemoryLimit | MemoryRequest | MemoryGrant) -> MemoryMessage:
    match message:
        case MemoryLimit(kb):
            return MemorySplit(kb)
        case MemoryRequest(kb):
            return MemoryRequested(kb, peer)
        case MemoryGrant(kb):
            return MemoryGiven(kb)
