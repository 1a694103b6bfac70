"""Sends changed records to each peer in bounded, acknowledged batches, by priority. Pure.

For each peer there is a set of record names, not a queue of changes. A record that changed twice is sent
once, so an absent peer costs one name for each record that it lacks, up to MAX_QUEUED names. Beyond that it
is BEHIND, and repair finds the rest.

States of a peer: LEVEL (nothing to send), SENDING (names are waiting or in flight), BEHIND.
Events: ``changed``, ``batches`` (time), ``acked``, ``mark_behind`` (the peer may have lost records).
Invariants: the name of a changed record is waiting or in flight until that change is acknowledged, unless
the peer is BEHIND; at most WINDOW batches are in flight to a peer, each bounded by BATCH_NAMES and, beyond
its first entry, by BATCH_BYTES; no peer's state depends on another's.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from beechrock.replica.errors import BrokenInvariantError

MAX_QUEUED = 65_536  # Maximum number of names waiting for a peer.
BATCH_BYTES, BATCH_NAMES = 65_536, 512  # Maximum size of a batch, in bytes and in records.
WINDOW = 4  # Maximum number of batches in flight to a peer.
RETRY_S, MAX_RETRY_S = 1.0, 10.0  # Seconds until a batch is sent again: first, and at most after doublings.
FULL_RETRY_S = 0.5  # Seconds until the next batch to a peer whose table, or whose link's queue, was full.
PRIORITIES = 8  # Number of priorities of records; 0 is sent first.


@dataclass(slots=True)
class Batch:
    """A batch to send."""

    peer: str
    n: int  # Number of the batch.
    names: dict[bytes, int]  # By name: number of the record's last change.
    entries: list[tuple[bytes, bytes]]  # Each: name, packed state.


@dataclass(slots=True)
class PeerQueue:
    """What has to be sent to one peer."""

    name: str
    # By priority: names to send, each with the number of the record's last change.
    waiting: list[dict[bytes, int]] = field(default_factory=lambda: [{} for _ in range(PRIORITIES)])
    # By batch number: when it was sent, in monotonic seconds, and its names.
    in_flight: dict[int, tuple[float, dict[bytes, int]]] = field(default_factory=dict)
    behind: bool = True  # Whether the peer may lack records that are not queued; ended by a repair round.
    retry_s: float = RETRY_S  # Seconds until a batch in flight is sent again.
    not_before: float = float("-inf")  # Earliest time of the next batch, in monotonic seconds.
    last_ack_delay_s: float = 0.0  # Seconds between the last acknowledged batch and its acknowledgement.

    @property
    def lag(self) -> int:
        """Number of queued records that the peer has not acknowledged."""
        return sum(map(len, self.waiting)) + sum(len(names) for _, names in self.in_flight.values())


@dataclass(slots=True)
class Spread:
    """The queues of all peers."""

    base: int  # Batch numbers start above it, so that no late acknowledgement of an earlier life fits.
    peers: dict[str, PeerQueue]
    entry: Callable[[bytes], tuple[bytes, int] | None]  # Returns packed state and number of the last change.
    priority: Callable[[bytes], int]  # Returns the priority of a record by its name.
    batches_made: int = 0
    max_queued: int = MAX_QUEUED

    def changed(self, name: bytes, seq: int, except_peer: str = "") -> None:
        """Queue a changed record for all peers except ``except_peer``."""
        for peer in self.peers.values():
            if peer.name != except_peer:
                self.enqueue(peer.name, name, seq)

    def enqueue(self, to: str, name: bytes, seq: int) -> None:
        """Queue a record for one peer. If its queue is full, clear it and leave the rest to repair."""
        peer = self.peers[to]
        if sum(map(len, peer.waiting)) >= self.max_queued:
            for waiting in peer.waiting:
                waiting.clear()
            peer.behind = True
        peer.waiting[min(self.priority(name), PRIORITIES - 1)][name] = seq

    def batches(self, now: float) -> list[Batch]:
        """Return the batches to send now."""
        batches = []
        for peer in self.peers.values():
            self._requeue_late(peer, now)
            while len(peer.in_flight) < WINDOW and now >= peer.not_before and (batch := self._batch(peer)):
                peer.in_flight[batch.n] = now, batch.names
                batches.append(batch)
            if len(peer.in_flight) > WINDOW:
                raise BrokenInvariantError(f"{len(peer.in_flight)} batches in flight", where=peer.name)
        return batches

    def _batch(self, peer: PeerQueue) -> Batch | None:
        names: dict[bytes, int] = {}
        entries: list[tuple[bytes, bytes]] = []
        size = 0
        for waiting in peer.waiting:
            while waiting and size < BATCH_BYTES and len(names) < BATCH_NAMES:
                name = next(iter(waiting))
                found = self.entry(name)
                if found is not None and names and size + len(found[0]) > BATCH_BYTES:
                    size = BATCH_BYTES
                    break
                del waiting[name]
                if found is not None:  # A record that was dropped meanwhile is not sent.
                    names[name] = found[1]
                    entries.append((name, found[0]))
                    size += len(name) + len(found[0])
        if not names:
            return None
        self.batches_made += 1
        return Batch(peer.name, self.base + self.batches_made, names, entries)

    def _requeue_late(self, peer: PeerQueue, now: float) -> None:
        late = [n for n, (sent_s, _) in peer.in_flight.items() if now - sent_s >= peer.retry_s]
        for n in late:
            self._requeue(peer, peer.in_flight.pop(n)[1])
        if late:
            peer.retry_s = min(MAX_RETRY_S, 2 * peer.retry_s)
            peer.not_before = now + 0.1 * peer.retry_s

    def _requeue(self, peer: PeerQueue, names: Iterable[bytes]) -> None:
        for name in names:
            found = self.entry(name)
            if found is not None:
                self.enqueue(peer.name, name, found[1])

    def requeue_unsent(self, to: str, n: int, now: float) -> None:
        """Queue a batch again because the link's queue was full."""
        peer = self.peers[to]
        if n in peer.in_flight:
            self._requeue(peer, peer.in_flight.pop(n)[1])
        peer.not_before = now + FULL_RETRY_S

    def acked(self, sender: str, n: int, room: bool, now: float) -> dict[bytes, int]:
        """Process an acknowledgement. Return the names that the peer now holds, with their change numbers:
        none if the batch is not in flight. Without ``room`` the batch is queued again."""
        peer = self.peers[sender]
        if n not in peer.in_flight:
            return {}
        sent_s, names = peer.in_flight.pop(n)
        if not room:
            self._requeue(peer, names)
            peer.not_before = now + FULL_RETRY_S
            return {}
        peer.retry_s, peer.last_ack_delay_s = RETRY_S, now - sent_s
        return names

    def mark_behind(self, name: str) -> None:
        """Mark a peer as behind, because it may have lost records that it acknowledged."""
        peer = self.peers[name]
        for _, names in list(peer.in_flight.values()):
            self._requeue(peer, names)
        peer.in_flight.clear()
        peer.behind = True
