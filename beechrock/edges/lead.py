"""The holder of the duty ``edges:upstream``, which replicates upstream's log to the other named nodes. Pure.

States: ASKING (requests the others' log positions under the new fence, which excludes earlier holders),
FETCHING (copies the best log from its node), LEADING.
Events: ``stood``, ``fetched``, ``kept``, ``tick``; ``hold`` (actions of Upstream), ``pump`` (before the
sync), ``release`` (after it).
Invariants: an action of Upstream is carried out only once a majority of the named nodes holds all records
that were written before it; a node counts towards the majority only if its folder is whole and not an older
copy.
"""

from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING, Any

from beechrock.edges.actions import Action, Noted, Send
from beechrock.edges.kept import (
    FOUND_AT_TAKE_OVER,
    MAX_IN_FLIGHT,
    Keep,
    Kept,
    Led,
    Spans,
    Stand,
    Stood,
    short,
    spans_of,
)
from beechrock.edges.upstream import Upstream
from beechrock.edges.words import ProbeAck, Word, pack
from beechrock.store.errors import StoreFailedError, StoreFullError

if TYPE_CHECKING:
    from beechrock.edges.standby import Standby

HEARTBEAT_S = 0.2  # Seconds between heartbeats to a peer
MAX_UNANSWERED = 2  # Heartbeats without an answer after which no records are sent until one comes
HEARD_S = 1.0  # Seconds within which a majority must have been heard, else edges' requests are ignored
WAIT_S = 0.5  # Seconds to wait for the log positions of all nodes; after that a majority is enough
MAX_REIGNS = 64  # Maximum number of reigns in the log; above it the log is compacted early
MAX_WAITING = 64  # Maximum number of turns that await a majority; at it edges' requests are ignored


class State(Enum):
    ASKING = "asking"
    FETCHING = "fetching"
    LEADING = "leading"


@dataclass(slots=True)
class Peer:
    match: int = 0  # Index up to which the peer's log durably equals this one
    next: int = 1  # Index of the next record to send
    in_flight: int = 0  # Number of batches without an answer
    whole: bool = False
    untrusted: bool = False  # Whether the peer's folder is an older copy or another folder
    heard_at: float = -1e18
    heartbeat_at: float = -1e18
    unanswered: int = 0  # Number of heartbeats without an answer
    last_request: tuple[Any, ...] = ()  # The position from which the peer last asked for records
    repeat_at_s: float = 0.0

    @property
    def counts(self) -> bool:
        return self.whole and not self.untrusted


@dataclass(slots=True)
class Lead:
    standby: "Standby"
    fence: int
    group: bytes  # New group id, used if the records found may not be complete
    forced: bool  # An operator's order to count every node that answers
    asked_at: float
    state: State = State.ASKING
    # By node that answered: its log position, and whether it counts towards the majority
    heard: dict[str, tuple[Spans, bool]] = field(default_factory=dict)
    distrusted: bool = False  # Whether a peer found this node's own folder to be an older or other copy
    fresh: bool = False
    closing: bool = False  # Whether the duty is being given up, so that nothing new is accepted
    source: str = ""
    goal: tuple[int, int] = (0, 0)
    heartbeat_at: float = 0.0
    peers: dict[str, Peer] = field(default_factory=dict)
    start: int = 0  # Index of this reign's first record
    held: int = 0
    waiting: deque[tuple[int, list[Action]]] = field(default_factory=deque)
    snap: tuple[int, bytes] | None = None  # Snapshot to save once a majority holds all its records
    upstream: Upstream | None = None

    # --- the interface of a log, for Upstream

    @property
    def first(self) -> int:
        return self.standby.log.first

    @property
    def last(self) -> int:
        return self.standby.log.last

    @property
    def bytes_held(self) -> int:
        return self.standby.log.bytes_held

    def append(self, data: bytes) -> int:
        return self.standby.append(data)

    def entry(self, index: int) -> bytes:
        return self.standby.log.entry(index)

    def save_snapshot(self, index: int, data: bytes) -> None:
        """Keep a snapshot until a majority holds all its records, as other records may still be cut."""
        self.snap = index, data

    # --- taking over

    @property
    def others(self) -> list[str]:
        return [name for name in self.standby.names if name != self.standby.me]

    def ask(self, now: float) -> list[Action]:
        self.heartbeat_at = now + HEARTBEAT_S
        return [Send(name, Stand(self.fence)) for name in self.others if name not in self.heard]

    def stood(self, now: float, sender: str, word: Stood, untrusted: bool) -> list[Action]:
        if self.state is not State.ASKING:
            return []
        self.heard[sender] = spans_of(word.spans), word.whole and not untrusted
        self.distrusted |= word.older
        return self._settle(now)

    def _settle(self, now: float) -> list[Action]:
        """Choose the best log and begin to lead, or fetch it from its node.

        The best log of a majority contains every record that a majority ever held.
        """
        standby = self.standby
        heard = {standby.me: (standby.told(), standby.whole and not self.distrusted), **self.heard}
        every = len(heard) == len(standby.names)
        if not every and now < self.asked_at + WAIT_S:
            return []
        pool = [name for name, (_, counts) in heard.items() if counts]
        if len(pool) < standby.majority:
            # All nodes are new, or too many disks were lost. Once all nodes have answered, or by order of an
            # operator, the records found are taken as complete. Edges notice the new group id and then need
            # an operator's release.
            if not every and not (self.forced and len(heard) >= standby.majority):
                return []
            pool, self.fresh = list(heard), True
        best = max(pool, key=lambda name: (heard[name][0][0], name == standby.me))
        self.goal = heard[best][0][0]
        if best == standby.me:
            return self._begin(now)
        self.state, self.source = State.FETCHING, best
        return [Send(best, standby.continue_request())]

    def fetched(self, now: float, kept: Kept | None) -> list[Action]:
        """Begin to lead if the best log is complete, else request the rest of it."""
        if self.standby.told()[0] == self.goal:
            return self._begin(now)
        return [Send(self.source, self.standby.continue_request())] if kept is not None else []

    def _begin(self, now: float) -> list[Action]:
        standby = self.standby
        marks = standby.marks
        noted: list[Action] = []
        for index in range(standby.applied + 1, standby.log.last + 1):
            record = standby.log.entry(index)
            marks.redo(record)
            # The earlier holder may not have reported the end yet: in simulated histories (seeds 20007 and
            # 20017) the events lacked the end of a write on which other writes depended.
            if (found := marks.end_of(record)) is not None:
                dot, state, quiet = found
                noted.append(Noted(dot, "", state, ("superseded, " if quiet else "") + FOUND_AT_TAKE_OVER))
        standby.applied = standby.log.last
        # A write with an intent of an earlier holder but without an end may have run.
        marks.restarted()
        self.state, self.source = State.LEADING, ""
        self.upstream = Upstream(
            self, marks, turned=standby.turned, snapshot_records=standby.snapshot_records
        )
        self.upstream.records = standby.log.last - standby.base + 1
        if len(standby.spans) > MAX_REIGNS:
            self.upstream.records = standby.snapshot_records
        group = self.group if self.fresh or not marks.group else marks.group
        self.start = self.append(marks.reigns(self.fence, group, self.last))
        standby.log.sync()  # This has to come before the folder is marked whole
        standby.mark_whole()
        for name in self.others:
            position = self.heard.get(name)
            peer = self.peers[name] = Peer(whole=position is not None and position[1])
            if position is not None:
                peer.next = (standby.match(position[0]) or 0) + 1
        self.waiting.append((self.start, noted))
        return []

    # --- leading

    def able(self, now: float) -> bool:
        """Whether edges' requests are accepted, as a majority follows and was heard lately.

        Otherwise edges get no answers and treat upstream as cut off.
        """
        if self.state is not State.LEADING or self.held < self.start or len(self.waiting) >= MAX_WAITING:
            return False
        recent = sum(peer.counts and now - peer.heard_at <= HEARD_S for peer in self.peers.values())
        return recent + 1 >= self.standby.majority

    def hold(self, actions: list[Action]) -> list[Action]:
        """Hold actions back until a majority holds all records written so far, which they may disclose."""
        if actions:
            led: list[Action] = [
                Send(action.to, Led(self.fence, pack(action.word)))
                if isinstance(action, Send) and isinstance(action.word, ProbeAck)
                else action
                for action in actions
            ]
            if self.waiting and self.waiting[-1][0] == self.last:
                self.waiting[-1][1].extend(led)
            else:
                self.waiting.append((self.last, led))
        return []

    def kept(self, now: float, sender: str, word: Kept) -> list[Action]:
        peer = self.peers.get(sender)
        if peer is None:
            return []
        peer.heard_at, peer.unanswered = now, 0
        peer.in_flight = max(0, peer.in_flight - 1)
        if self.standby.untrusted(sender, word.folder) and not peer.untrusted:
            peer.untrusted, peer.match = True, 0
        if peer.whole and not word.whole:
            peer.match = 0  # The peer has a new folder
        peer.whole = word.whole
        if word.good:
            peer.match = max(peer.match, min(word.index, self.last))
            peer.next = max(peer.next, peer.match + 1)
            if peer.untrusted and self._holds_all(peer):
                self.standby.witness.forget(sender)  # It holds every record that it ever acknowledged
                peer.untrusted = self.standby.untrusted(sender, word.folder)
            return []
        request = (word.spans, word.snap, word.at)
        # Every batch after a lost one is answered with the same request.
        if request == peer.last_request and now < peer.repeat_at_s:
            return []
        peer.last_request, peer.repeat_at_s = request, now + HEARTBEAT_S
        given, index = self.standby.give(word, self.fence, self.held)
        if isinstance(given, Keep):
            given, peer.next = self._fill_in(peer, given), index + 1
        peer.in_flight += 1
        return [Send(sender, given)]

    def _holds_all(self, peer: Peer) -> bool:
        return peer.match >= max(self.held, self.start)

    def _fill_in(self, peer: Peer, keep: Keep) -> Keep:
        """Return ``keep`` with ``held``, ``whole`` and the folder marks filled in for this peer."""
        standby = self.standby
        marks = [(standby.me, short(standby.log.mark()))]
        marks += [
            (name, short(mark))
            for name in self.others
            if self.peers[name].counts and (mark := standby.witness.known.get(name)) is not None
        ]
        return replace(keep, held=self.held, whole=self._holds_all(peer), marks=tuple(marks))

    def pump(self, now: float) -> list[Action]:
        """Send new records to all peers, so that their disks sync while this node's own disk does."""
        out: list[Action] = []
        if self.state is State.LEADING:
            for name, peer in self.peers.items():
                max_in_flight = MAX_IN_FLIGHT if peer.unanswered < MAX_UNANSWERED else 0
                while peer.in_flight < max_in_flight and self.standby.base < peer.next <= self.last:
                    keep, index = self.standby.batch(peer.next - 1, self.fence, self.held)
                    out.append(Send(name, self._fill_in(peer, keep)))
                    peer.next, peer.in_flight = index + 1, peer.in_flight + 1
        return out

    def tick(self, now: float) -> list[Action]:
        if self.state is not State.LEADING:
            if now < self.heartbeat_at:
                return []
            self.heartbeat_at = now + HEARTBEAT_S
            if self.state is State.FETCHING:
                return [Send(self.source, self.standby.continue_request())]
            return self._settle(now) or self.ask(now) if self.state is State.ASKING else []
        out: list[Action] = []
        for name, peer in self.peers.items():
            if now < peer.heartbeat_at:
                continue
            peer.heartbeat_at = now + HEARTBEAT_S
            peer.unanswered += 1
            # Batches may be lost: continue after the last acknowledged record.
            if peer.unanswered >= MAX_UNANSWERED:
                peer.next, peer.in_flight = max(peer.match, self.standby.base) + 1, 0
            at = max(min(peer.next - 1, self.last), self.standby.base)  # The peer answers if it lacks records
            out.append(
                Send(
                    name, self._fill_in(peer, Keep(self.fence, at, self.standby.reign_at(at), (), self.held))
                )
            )
        return out

    def release(self) -> list[Action]:
        """Advance ``held`` after a sync and return the actions that may now be carried out."""
        if self.state is not State.LEADING:
            return []
        have = [self.standby.log.synced, *(p.match if p.counts else 0 for p in self.peers.values())]
        upto = sorted(have, reverse=True)[self.standby.majority - 1]
        if "held" in self.standby.without:
            upto = self.standby.log.synced
        # Records of earlier reigns alone may still be cut by a later holder, even if a majority has them.
        if upto >= self.start:
            self.held = max(self.held, upto)
            self.standby.held = max(self.standby.held, self.held)
            if self.upstream is not None:
                # Edges remember this mark as they do the mark of a single node's folder, and so detect a
                # holder that found fewer records than a majority held before.
                self.upstream.folder = self.upstream.marks.mark(self.held).to_bytes()
        out: list[Action] = []
        while self.waiting and self.waiting[0][0] <= self.held:
            out += self.waiting.popleft()[1]
        if self.snap is not None and self.snap[0] <= self.held:
            (index, data), self.snap = self.snap, None
            # The released actions must still go out, as a majority holds their records. A failed disk shows
            # at the next write, and the next snapshot is tried after as many records again.
            with suppress(StoreFullError, StoreFailedError):
                self.standby.compact_to(index, data)
        return out

    def edge(self, now: float, now_s: float, sender: str, word: Word) -> list[Action]:
        """Handle a message from an edge's member, or a caller's write from a named node."""
        if self.upstream is None or not self.able(now):
            return []
        return self.hold(self.upstream.hear(now, now_s, sender, word))
