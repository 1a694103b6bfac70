"""Idempotency keys: the requests that the node's table remembers, and when their entries expire."""

from heapq import heappop, heappush

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.queues import Queue, QueueEntry, without_stale

MIN_ENTRY_TTL_S = 0.01  # Minimum lifetime: an entry past its window still takes memory, so it is counted


class IdempotencyKeys:
    """Tracks the entries of the node's idempotency table, which outlive their requests."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.ids: set[int] = set()  # Id of the first request of each entry
        self.expiry: Queue = []

    def remember(self, request_id: int, ttl_s: float) -> None:
        """Remember a request for ``ttl_s`` seconds, so that its repeats are recognised."""
        ttl_s = max(MIN_ENTRY_TTL_S, ttl_s)
        self._context.actions.append(api.Remember(request_id, ttl_s))
        self.ids.add(request_id)
        heappush(self.expiry, QueueEntry(self._context.now_s + ttl_s, request_id))

    def forget(self, request_id: int) -> None:
        """Remove the entry of a request that never ran from the table."""
        if request_id in self.ids:
            self.ids.remove(request_id)
            self._context.actions.append(api.Forget(request_id))

    def discard(self, request_id: int) -> None:
        """Stop counting an entry that the table removes by itself."""
        self.ids.discard(request_id)

    def expire(self) -> None:
        """Stop counting expired entries."""
        while self.expiry and self.expiry[0].at_s <= self._context.now_s:
            self.ids.discard(heappop(self.expiry).request_id)

    def sweep(self, open_requests: int) -> None:
        """Remove stale entries from the expiry queue."""
        self.expiry = without_stale(self.expiry, self.ids, open_requests)
