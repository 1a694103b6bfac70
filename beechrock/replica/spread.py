"""Sends changed records to each peer in bounded, acknowledged batches, by priority. Pure.

For each peer there is a set of record names, not a queue of changes. A record that changed twice is sent
once, so an absent peer costs one name for each record that it lacks, up to MOST_DIRTY names. Beyond that it
is BEHIND, and repair finds the rest.

States of a peer: LEVEL (nothing to send), SENDING (names are waiting or in flight), BEHIND.
Events: ``changed``, ``batches`` (time), ``acked``, ``lost`` (the peer may have lost records).
Invariants: the name of a changed record is waiting or in flight until that change is acknowledged, unless
the peer is BEHIND; at most WINDOW batches are in flight to a peer, each bounded by BATCH_NAMES and, beyond
its first entry, by BATCH_BYTES; no peer's state depends on another's.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from beechrock.replica.errors import BrokenInvariantError

MOST_DIRTY = 65_536  # Maximum number of names waiting for a peer.
BATCH_BYTES, BATCH_NAMES = 65_536, 512  # Maximum size of a batch, in bytes and in records.
WINDOW = 4  # Maximum number of batches in flight to a peer.
AGAIN_S, MOST_AGAIN_S = 1.0, 10.0  # Seconds until a batch is sent again: first, and at most after doublings.
FULL_S = 0.5  # Seconds until the next batch to a peer whose table, or whose link's queue, was full.
PRIORITIES = 8  # Number of priorities of records; 0 is sent first.


@dataclass(slots=True)
class Batch:
    """A batch to send."""

    peer: str
    n: int  # Number of the batch.
    names: dict[bytes, int]  # By name: number of the record's last change.
    entries: list[tuple[bytes, bytes]]  # Each: name, packed state.


@dataclass(slots=True)
class Peer:
    """What has to be sent to one peer."""

    name: str
    # By priority: names to send, each with the number of the record's last change.
    waiting: list[dict[bytes, int]] = field(default_factory=lambda: [{} for _ in range(PRIORITIES)])
    # By batch number: when it was sent, in monotonic seconds, and its names.
    flight: dict[int, tuple[float, dict[bytes, int]]] = field(default_factory=dict)
    behind: bool = True  # Whether the peer may lack records that are not queued; ended by a repair round.
    again_s: float = AGAIN_S  # Seconds until a batch in flight is sent again.
    not_before: float = float("-inf")  # Earliest time of the next batch, in monotonic seconds.
    last_lag_s: float = 0.0  # Seconds between the last acknowledged batch and its acknowledgement.

    @property
    def lag(self) -> int:
        """Number of queued records that the peer has not acknowledged."""
        return sum(map(len, self.waiting)) + sum(len(names) for _, names in self.flight.values())


@dataclass(slots=True)
class Spread:
    base: int  # Batch numbers start above it, so that no late acknowledgement of an earlier life fits.
    peers: dict[str, Peer]
    entry: Callable[[bytes], tuple[bytes, int] | None]  # Returns packed state and number of the last change.
    priority: Callable[[bytes], int]  # Returns the priority of a record by its name.
    n: int = 0  # Number of batches made.
    most_dirty: int = MOST_DIRTY

    def changed(self, name: bytes, seq: int, but: str = "") -> None:
        """Queue a changed record for all peers except ``but``."""
        for peer in self.peers.values():
            if peer.name != but:
                self.owe(peer.name, name, seq)

    def owe(self, to: str, name: bytes, seq: int) -> None:
        """Queue a record for one peer. If its queue is full, clear it and leave the rest to repair."""
        peer = self.peers[to]
        if sum(map(len, peer.waiting)) >= self.most_dirty:
            for waiting in peer.waiting:
                waiting.clear()
            peer.behind = True
        peer.waiting[min(self.priority(name), PRIORITIES - 1)][name] = seq

    def batches(self, now: float) -> list[Batch]:
        """Return the batches to send now."""
        made = []
        for peer in self.peers.values():
            self._again(peer, now)
            while len(peer.flight) < WINDOW and now >= peer.not_before and (one := self._batch(peer)):
                peer.flight[one.n] = now, one.names
                made.append(one)
            if len(peer.flight) > WINDOW:
                raise BrokenInvariantError(f"{len(peer.flight)} batches under way", where=peer.name)
        return made

    def _batch(self, peer: Peer) -> Batch | None:
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
        self.n += 1
        return Batch(peer.name, self.base + self.n, names, entries)

    def _again(self, peer: Peer, now: float) -> None:
        late = [n for n, (sent_s, _) in peer.flight.items() if now - sent_s >= peer.again_s]
        for n in late:
            self._back(peer, peer.flight.pop(n)[1])
        if late:
            peer.again_s = min(MOST_AGAIN_S, 2 * peer.again_s)
            peer.not_before = now + 0.1 * peer.again_s

    def _back(self, peer: Peer, names: Iterable[bytes]) -> None:
        for name in names:
            found = self.entry(name)
            if found is not None:
                self.owe(peer.name, name, found[1])

    def unsent(self, to: str, n: int, now: float) -> None:
        """Queue a batch again because the link's queue was full."""
        peer = self.peers[to]
        if n in peer.flight:
            self._back(peer, peer.flight.pop(n)[1])
        peer.not_before = now + FULL_S

    def acked(self, by: str, n: int, room: bool, now: float) -> dict[bytes, int]:
        """Process an acknowledgement. Return the names that the peer now holds, with their change numbers:
        none if the batch is not in flight. Without ``room`` the batch is queued again."""
        peer = self.peers[by]
        if n not in peer.flight:
            return {}
        sent_s, names = peer.flight.pop(n)
        if not room:
            self._back(peer, names)
            peer.not_before = now + FULL_S
            return {}
        peer.again_s, peer.last_lag_s = AGAIN_S, now - sent_s
        return names

    def lost(self, who: str) -> None:
        """Mark a peer as behind, because it may have lost records that it acknowledged."""
        peer = self.peers[who]
        for _, names in list(peer.flight.values()):
            self._back(peer, names)
        peer.flight.clear()
        peer.behind = True
