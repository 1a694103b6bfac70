"""The handover's actor, which connects the module's actor, the other process and the shared socket."""

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from beechrock import clocks
from beechrock.core.actor import ModuleActor
from beechrock.handover.channel import Channel
from beechrock.handover.claim_copy import ClaimCopy
from beechrock.handover.key_partner import KeyPartner
from beechrock.handover.lifecycle import Lifecycle, PredecessorStage
from beechrock.handover.load_exchange import LoadExchange
from beechrock.handover.memory_exchange import MemoryExchange
from beechrock.handover.messages import (
    MEMORY_PARTS,
    VERSION,
    ClaimsSynced,
    Deferral,
    DrainCommand,
    GrantRequest,
    Hello,
    Leaving,
    LoadReport,
    MemoryGrant,
    MemoryLimit,
    MemoryRequest,
    Message,
    SuccessorReady,
)
from beechrock.handover.ownership import PeerRole
from beechrock.handover.peer import ChannelPeer, PeerLinks
from beechrock.handover.predecessor import PredecessorLink
from beechrock.handover.shared import SharedParts
from beechrock.handover.silence import Silence
from beechrock.handover.successors import Successors

log = logging.getLogger("beechrock")
# Seconds between two pulses, which report a changed load. The other process decides in batches that are at
# least 4 ms apart.
PULSE_S = 0.01
SWEEP_S = 1.0  # Seconds between two sweeps of expired claims


class Handover:
    """One process's side of a replacement; dispatches the messages of the other process to its parts."""

    def __init__(
        self,
        module: ModuleActor,
        folder: Path | None,
        node: str,
        connections: Callable[[], int],
        origin_s: float = clocks.ORIGIN_S,
    ) -> None:
        self.module = module
        self.counters = module.counters
        self.origin_s = origin_s
        # Returns whether an operator has drained this node.
        self.drained: Callable[[], bool] = lambda: False
        # Called with a drain command that an operator gave at the other process; True drains the node.
        self.on_drain_command: Callable[[bool], None] = lambda _: None
        # Called when this process may have to start or stop accepting connections.
        self.on_change: Callable[[], None] = lambda: None
        self.lifecycle = Lifecycle()
        self.links = PeerLinks()
        self.keys = KeyPartner(module, self.links)
        self.load = LoadExchange(module, self.links, connections, self._changed)
        self.memory = MemoryExchange(module, self.links)
        module.memory_transfers.partner = self.memory
        self.channel = Channel(folder, node) if folder is not None else None
        parts = SharedParts(
            module,
            self.counters,
            self.lifecycle,
            self.links,
            self.keys,
            self.load,
            self.memory,
            self.channel,
            self._changed,
            self._start_pulse,
        )
        self.copy = ClaimCopy(self.keys, self.lifecycle, lambda: self.drained())
        self.predecessor = PredecessorLink(parts, self)
        self.successors = Successors(parts, self, self.copy)
        self._connections = connections
        self._silence = Silence()  # Detects, while this process is leaving, that the other one reads nothing
        self._watched_peer: ChannelPeer | None = None  # Channel that ``_silence`` observes
        self._pulse_task: asyncio.Task[None] | None = None
        self._swept_at_s = module.clock()

    def _changed(self) -> None:
        self.on_change()

    @property
    def serving(self) -> bool:
        """Return whether the health check may report ready.

        SIGTERM may follow at the predecessor at once, so ``SuccessorReady`` must have been sent to it before.
        """
        synced = self.lifecycle.predecessor is PredecessorStage.SYNCED
        return self.lifecycle.serving and (self.predecessor.ready_sent or not synced)

    async def run(self) -> None:
        """Listen for successors, and serve the channel to the predecessor until that has ended."""
        if self.channel is None:
            log.warning("handover: TMPDIR is not set: this process can neither follow nor be followed")
            self._on_predecessor_absent()
            return
        self.successors.listen(self.channel)
        if await self.predecessor.run(self.channel):
            self._on_predecessor_absent()

    def _on_predecessor_absent(self) -> None:
        """Become the authority on keys, as no predecessor exists any more."""
        ownership = self.keys.ownership
        if ownership.role is not PeerRole.ABSENT:
            known = len(ownership.other_claims.claims)
            log.info("handover: the predecessor is gone; %d of its keys are kept", known)
        self.keys.on_peer_lost()
        self.memory.on_predecessor_gone()
        self.lifecycle.on_absent()
        self.on_change()
        self.successors.join_next()

    def receive(self, peer: ChannelPeer, message: Message) -> None:
        """Dispatch a message of the other process, or of a successor that waits to join."""
        match message:
            case Hello(version, features):
                peer.shares_memory = version == VERSION and bool(features & MEMORY_PARTS)
                self._on_hello(peer, version == VERSION)
            case Deferral() if peer is self.links.predecessor:
                self.lifecycle.on_deferred()
            case ClaimsSynced() if peer is self.links.predecessor:
                self.predecessor.on_claims_synced()
                self.memory.on_synced(peer)
                self.pulse()
            case SuccessorReady() if peer is self.links.successor:
                log.info("handover: the successor takes connections")
                self.lifecycle.on_successor_ready()
                self.on_change()
            case LoadReport() if peer is self.links.current:
                self.load.receive(message)
            case DrainCommand(drained):
                self._on_drain_command(peer, drained)
            case Leaving() if peer is self.links.current:
                self.lifecycle.other_leaving = True
                self.on_change()
            case GrantRequest() if peer.lost:
                pass  # read from a channel that has ended: a reply could not arrive
            case _ if peer is self.links.current:
                self._receive_from_partner(peer, message)

    def _receive_from_partner(self, peer: ChannelPeer, message: Message) -> None:
        """Dispatch a message of the process that shares keys and memory with this one."""
        match message:
            case MemoryLimit() | MemoryRequest() | MemoryGrant():
                self.memory.receive(peer, message)
            case _:
                self.keys.receive(message)

    def _on_hello(self, peer: ChannelPeer, understood: bool) -> None:
        if not peer.is_successor:
            self.predecessor.on_hello(peer, understood)
            return
        self.successors.on_hello(peer, understood)
        if not understood and self.lifecycle.leaving:
            self.leave()
            self.on_change()

    def _on_drain_command(self, peer: ChannelPeer, drained: bool) -> None:
        """Apply an operator's drain command that was given at the other process.

        If two commands cross, each process would keep the other's state for ever. The older process therefore
        sends back the state that it has applied, so that both end with this state.
        """
        self.on_drain_command(drained)
        if peer.is_successor:
            peer.send(DrainCommand(drained))

    def _start_pulse(self) -> None:
        if self._pulse_task is None or self._pulse_task.done():
            self._pulse_task = self.counters.spawn(self._run_pulses(), "handover.pulse")

    async def _run_pulses(self) -> None:
        while self.links.current is not None or self.lifecycle.predecessor is not PredecessorStage.ABSENT:
            try:
                self.pulse()
            except Exception as error:  # the loop must go on: without pulses no successor would become ready
                self.counters.record_error("handover.pulse", error)
            await asyncio.sleep(PULSE_S)

    def pulse(self) -> None:
        """Do the periodic work: check deadlines, report the own load, and sweep expired claims."""
        now_s = self.module.clock()
        lifecycle = self.lifecycle
        served = lifecycle.serving
        lifecycle.on_time(now_s)
        if not lifecycle.able_to_run and self.module.can_run():
            lifecycle.on_able()
        if lifecycle.predecessor is PredecessorStage.INCOMPATIBLE:
            self.predecessor.mark_incompatible()
        if served is not lifecycle.serving:
            self.on_change()
        for request in self.keys.ownership.expired_waits(now_s):
            self.keys.reject(request)
        self.predecessor.announce_ready()
        self._watch_other(now_s)
        self.load.send()
        if now_s - self._swept_at_s > SWEEP_S:
            self._swept_at_s = now_s
            self.keys.sweep(now_s)

    def _watch_other(self, now_s: float) -> None:
        """While leaving, accept connections again if the other process reads nothing and may be stopped."""
        peer = self.links.current
        if peer is None or not self.lifecycle.leaving:
            return
        if peer is not self._watched_peer:
            self._watched_peer = peer
            self._silence = Silence()
        self._silence.observe(now_s, peer.has_unread())
        if self._silence.probe(now_s):
            self.load.send(unchanged=True)
        if self._silence.silent is not self.lifecycle.other_silent:
            what = "nothing" if self._silence.silent else "again"
            log.warning("handover: the other process reads %s", what)
            self.counters.add("handover.silences", int(self._silence.silent))
            self.lifecycle.other_silent = self._silence.silent
            self.on_change()

    def send_drain_command(self, drained: bool) -> None:
        """Forward an operator's drain command to the other process."""
        self.links.send(DrainCommand(drained))

    def leave(self) -> bool:
        """Begin to leave; return whether another process continues as this node."""
        self.lifecycle.on_leave()
        self.links.send(Leaving())
        if self.successors.incompatible_there:
            self.lifecycle.on_successor_ready()
        return self.lifecycle.replaced

    def may_exit(self) -> bool:
        """Return whether this process may exit: the other one serves the node, and no work is left here."""
        peer = self.links.current
        return (
            self.lifecycle.replaced
            and not self._connections()
            and not self.module.table.by_id
            and not self.module.mailbox
            and not self.module.memory_transfers.waiting
            and not self.keys.ownership.requests.waiting
            and self.copy.peer is None
            and (peer is None or (peer.flushed and self._silence.has_read_all))
        )

    def end(self) -> None:
        """Accept no more connections; the channel still carries the results of the remaining runs."""
        self.lifecycle.on_end()
        self.on_change()

    def close(self) -> None:
        """Close the socket and all channels; from now on the other process decides alone."""
        self.lifecycle.on_end()
        if self.channel is not None:
            self.channel.close()
        for peer in (self.links.predecessor, self.links.successor, *self.successors.waiting):
            if peer is not None:
                peer.drop()
