"""Copying all claims, and then their results, to a successor that joins."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from beechrock.core.requests import Request
from beechrock.handover.claim_table import Claim
from beechrock.handover.key_partner import KeyPartner, claim_key
from beechrock.handover.lifecycle import Lifecycle
from beechrock.handover.messages import ClaimsSynced, DrainCommand, KeyClaimed, Leaving, RunEnded
from beechrock.handover.peer import ChannelPeer

COPY_CHUNK_CLAIMS = 200  # Maximum number of claims that are sent in one iteration of the event loop
# Maximum number of replaced claims in a copy. Each takes some 100 bytes, and the kernel buffers 200 KB for a
# slow reader.
MAX_REPLACED_CLAIMS = 1000
# Results follow the claims at this rate, so that the unread bytes of a slow reader stay far below the 200 KB
# that the kernel buffers, and claims can always be written.
RESULT_CHUNK_BYTES = 32_768
RESULT_PAUSE_S = 0.02
RESULT_OVERHEAD_BYTES = 64  # Estimated size of a result's message without the result itself


@dataclass(frozen=True, slots=True)
class HeldKey:
    """A request in the idempotency table, and the end of its idempotency window in steady seconds."""

    request: Request
    until_s: float


class ClaimCopy:
    """The copy, to one successor at a time; ``peer`` is the channel to it while a copy runs, else None."""

    def __init__(self, keys: KeyPartner, lifecycle: Lifecycle, drained: Callable[[], bool]) -> None:
        self.peer: ChannelPeer | None = None
        self._keys = keys
        self._lifecycle = lifecycle
        self._drained = drained

    async def run(self, peer: ChannelPeer) -> None:
        """Send all claims, then ``ClaimsSynced``, then the results of the runs that have ended."""
        self.peer = peer
        try:
            await self._send_all(peer)
        finally:
            if self.peer is peer:
                self.peer = None

    async def _send_all(self, peer: ChannelPeer) -> None:
        if self._lifecycle.leaving:
            peer.send(Leaving())
        table = self._keys.module.idempotency
        own = [HeldKey(e.request, e.until) for e in table.entries() if e.request.nonce is not None]
        others = list(self._keys.ownership.other_claims.claims.values())
        self._send_replaced(peer)
        self._keys.own_claims = {claim_key(held.request): held.until_s for held in own}
        if self._drained():
            peer.send(DrainCommand(True))
        await self._send_own_claims(peer, own)
        for claim in others:
            peer.send(KeyClaimed(claim.key, claim.digest, claim.until_s))
        peer.send(ClaimsSynced())
        await self._send_results(peer, own, others)

    def _send_replaced(self, peer: ChannelPeer) -> None:
        """Send the claims of earlier runs whose key ran again, each as ended without a result.

        A late attempt in the window of such a run thus fails at the successor. All of these claims are sent
        before the first await, because they must precede every later claim of their key. A key that was
        claimed since this successor joined is skipped.
        """
        table = self._keys.module.idempotency
        replaced = [
            Claim(claim_key(entry.request), entry.request.digest, entry.until)
            for entry in table.replaced_entries()
            if entry.request.nonce is not None
        ]
        known = [*self._keys.ownership.other_claims.replaced(), *replaced]
        for claim in known[-MAX_REPLACED_CLAIMS:]:
            if claim.key not in self._keys.own_claims:
                peer.send(KeyClaimed(claim.key, claim.digest, claim.until_s))
                peer.send(RunEnded(claim.key, False))

    async def _send_own_claims(self, peer: ChannelPeer, own: list[HeldKey]) -> None:
        """Send the claims of this process in chunks, one chunk per iteration of the event loop."""
        for start in range(0, len(own), COPY_CHUNK_CLAIMS):
            for held in own[start : start + COPY_CHUNK_CLAIMS]:
                # The table may have dropped the request meanwhile.
                if self._keys.module.idempotency.holds(held.request):
                    key = claim_key(held.request)
                    peer.send(KeyClaimed(key, held.request.digest, held.until_s))
            await asyncio.sleep(0)

    async def _send_results(self, peer: ChannelPeer, own: list[HeldKey], others: list[Claim]) -> None:
        """Send the known results at a limited rate."""
        sent_bytes = 0
        for message in self._results(own, others):
            if peer.lost:
                return
            sent_bytes += len(message.result) + RESULT_OVERHEAD_BYTES
            peer.send(message)
            if sent_bytes >= RESULT_CHUNK_BYTES:
                sent_bytes = 0
                await asyncio.sleep(RESULT_PAUSE_S)

    def _results(self, own: list[HeldKey], others: list[Claim]) -> Iterator[RunEnded]:
        """Yield the results of ended runs; the end of an open run is sent when it happens."""
        for held in own:
            request = held.request
            if request.over and self._keys.module.idempotency.holds(request):
                succeeded = request.result is not None
                yield RunEnded(claim_key(request), succeeded, request.media, request.result or b"")
        for claim in others:
            if claim.ended:
                yield RunEnded(claim.key, claim.succeeded, claim.media, claim.result)
