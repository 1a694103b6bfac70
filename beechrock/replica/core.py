"""State machine of a node's replica: processes messages and own changes, and returns messages to send. Pure.

Events: ``tick`` (time), ``take`` (a message), own changes. Actions: Say. A message that promises durability
(an acknowledgement, an answer, an own batch) is sent only after the sync of all changes up to ``Say.after``.
A peer accepts such a message only with the position of the sender's disk (Held), in an opening of the store
that it knows from a Hello. So a node that restarts without the promised records is found to be older.

Invariants: a peer counts as holding a record only by its acknowledgement to this start; a node that is not
WHOLE counts for no majority; a tombstone within the bound leaves the digests only when each peer has it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from beechrock.replica.catchup import Catchup, Stage
from beechrock.replica.errors import BrokenInvariantError, ReplicaError, ReplicaFullError
from beechrock.replica.giving import Giving
from beechrock.replica.heard import PeerState, Say
from beechrock.replica.kept import Waiter, Waiters
from beechrock.replica.kinds import Kinds
from beechrock.replica.messages import Ack, Answer, Ask, Batch, Held, Hello, Message, Piece, Pull, Welcome
from beechrock.replica.records import Causal, pack
from beechrock.replica.repair import Round, answer
from beechrock.replica.spread import PeerQueue, Spread
from beechrock.replica.sums import RANGES
from beechrock.replica.table import Table, ident
from beechrock.store.codec import Mark
from beechrock.store.witness import Verdict

HELLO_S = 1.0  # Seconds between two Hellos to each peer.
PRESENT_S = 3.5  # Seconds after its last message during which a peer counts as present.
MAX_ASIDE = 10_000  # Maximum number of records kept aside for operators.
OUTDATED = "outdated"  # Verdict on a store that lacks tombstones which were dropped.
VERDICTS = {verdict.value for verdict in Verdict}


@dataclass(slots=True)
class Core:
    name: str
    writer: str  # Name of this start of the node as a writer.
    others: tuple[str, ...]  # Names of the other nodes.
    base: int  # Start of the batch numbers: random, so that no late acknowledgement of an earlier life fits.
    mark: Callable[[], tuple[bytes, bytes]]  # Returns the store's mark, and the digest of its opening.
    judge: Callable[[str, bytes, bool], Verdict]  # Judges a peer's mark, as Disk.judge does.
    promised: Callable[[str, Held], None] = lambda peer, held: None  # Remembers the position of its disk.
    kinds: Kinds = field(default_factory=Kinds)
    repair_s: float = 5.0  # Seconds between two repair rounds.
    give_bytes_per_s: float = 4e6  # Rate limit for full copies given to peers.
    most_records: int = 1 << 20  # Maximum number of records.
    forgot: bool = False  # Whether the store was empty, or found older, and isn't repaired yet.
    cursor: int = RANGES  # First range still to be copied; RANGES if no copy is in progress.
    without: frozenset[str] = frozenset()  # Names of guards to disable; for simulations and tests only.

    table: Table = field(init=False)
    spread: Spread = field(init=False)
    catchup: Catchup = field(init=False)
    peer_states: dict[str, PeerState] = field(init=False)
    round: Round | None = None  # The present repair round.
    rounds: int = 0  # Number of the last repair round; starts at ``base``.
    next_round_s: float = 0.0  # Earliest time of the next repair round, in monotonic seconds.
    repair_turn: int = 0  # Number of peers chosen for repair so far, for choosing them in turn.
    hello_s: float = float("-inf")  # Time of the last Hello, in monotonic seconds.
    renewed: bool = False  # Whether the node is whole again after a loss of memory and no Hello has said so.
    pulled_s: float = float("-inf")  # Time of the last Pull, in monotonic seconds.
    writes: list[tuple[bytes, bytes]] = field(default_factory=list)  # Names and packed states for the disk.
    waiters: Waiters = field(init=False)
    giving: Giving = field(init=False)
    aside: dict[bytes, Causal] = field(default_factory=dict)  # Records set aside from an outdated store.
    refused: int = 0  # Number of entries and messages refused.
    reset: bool = False  # Whether the disk still has to record that causal records were set aside.
    noted: tuple[int, bool] = (RANGES, False)  # The cursor, and whether the node forgot, as last recorded.
    changed: Callable[[bytes], None] = lambda name: None  # Called with the name after each change.

    def __post_init__(self) -> None:
        self.table = Table(self.writer, self.kinds, self.most_records)
        self.table.on_change = self._on_change
        self.peer_states = {other: PeerState() for other in self.others}
        self.spread = Spread(
            self.base,
            {other: PeerQueue(other) for other in self.others},
            self._entry,
            lambda name: self.kinds.by_name[name.partition(b"\0")[0].decode()].priority,
        )
        self.catchup = Catchup(len(self.others) + 1, self.cursor, self.forgot)
        self.waiters = Waiters(self.catchup.majority - 1)
        self.giving = Giving(self.give_bytes_per_s, lambda range_: self.table.names_in(range_), self._entry)
        self.rounds, self.noted = self.base, (self.cursor, self.forgot)

    def hold(self, table: Table) -> None:
        """Use the table that was loaded from the disk. Must be called before anything else."""
        self.table = table

    # --- own changes

    def write(self, kind: str, key: str, value: bytes | None) -> bytes:
        """Write a value, or delete with None; return the record's name. Raises ReplicaError if refused."""
        return self.own_change(self.table.write(kind, key, value))

    def own_change(self, name: bytes) -> bytes:
        """Queue a record that was changed here for all peers; return its name."""
        self.spread.changed(name, self.table.seq)
        self.aside.pop(name, None)
        return name

    def when_kept(self, name: bytes, kept: Callable[[], None]) -> Waiter:
        """Call ``kept`` once a majority's disks, this one included, hold it. Raises ReplicaFullError."""
        found = self.table.records.get(name)
        return self.waiters.wait(name, found.seq if found else 0, kept)

    def _on_change(self, name: bytes) -> None:
        self.writes.append((name, self.table.records[name].packed))
        self.changed(name)

    def _entry(self, name: bytes) -> tuple[bytes, int] | None:
        record = self.table.records.get(name)
        if record is not None:
            return record.packed, record.seq
        settled = self.table.settled.get(name)
        return None if settled is None else (pack(settled), 0)

    def take_writes(self) -> list[tuple[bytes, bytes]]:
        """Return and clear the changes that the disk has to store next."""
        writes, self.writes = self.writes, []
        return writes

    @property
    def _after(self) -> int:
        """Number of changes to sync before a message that depends on the present state is sent."""
        return self.table.seq

    # --- time

    def present(self, now: float) -> list[str]:
        return [other for other in self.others if now - self.peer_states[other].at_s <= PRESENT_S]

    @property
    def busy(self) -> bool:
        """Whether the next tick may have to send more than Hellos."""
        return (
            self.round is not None
            or self.catchup.stage is not Stage.WHOLE
            or bool(self.giving.requests)
            or bool(self.writes)
            or self.reset
            or self.renewed
            or any(peer.lag for peer in self.spread.peers.values())
        )

    def tick(self, now: float) -> list[Say]:
        self.catchup.start_alone()
        messages: list[Say] = []
        # After a loss, a node that is whole again sends its Hello at once. If it were killed before a regular
        # one, its peers would know only its former store, and would make it set its new records aside.
        if self.renewed or now - self.hello_s >= HELLO_S:
            self.hello_s, self.renewed = now, False
            hello = self._own_hello()
            messages += [Say(other, hello, 0) for other in self.others]
        messages += [
            Say(batch.peer, Batch(batch.n, batch.entries), self._after) for batch in self.spread.batches(now)
        ]
        giver = self.catchup.next_giver(now, [o for o in self.present(now) if self._can_give(o)])
        if giver and (self.catchup.giver_active_s == now or now - self.pulled_s >= HELLO_S):
            self.pulled_s = now
            messages.append(Say(giver, Pull(self.catchup.cursor), 0))
        messages += self._repair(now)
        messages += [Say(peer, piece, self._after) for peer, piece in self.giving.pieces(now)]
        if newest := self.table.settle_overflow():
            for peer_state in self.peer_states.values():
                peer_state.outdated = peer_state.outdated or peer_state.acked_upto < newest
        return messages

    def _own_hello(self) -> Hello:
        mark, _ = self.mark()
        return Hello(
            mark,
            self.catchup.stage.value,
            len(self.table.records),
            self.table.sums.root[0].to_bytes(16),
            self.catchup.resets,
        )

    def _can_give(self, other: str) -> bool:
        return self.peer_states[other].count > 0 and self.peer_states[other].stage in ("whole", "repair")

    def _repair(self, now: float) -> list[Say]:
        if self.round is not None and (self.round.stalled(now) or self.round.peer not in self.present(now)):
            self.round = None
        ready = self.catchup.stage not in (Stage.AWAY, Stage.SNAPSHOT) and now >= self.next_round_s
        if self.round is None and ready and (peer := self._choose_peer(now)):
            self.rounds += 1
            self.round = Round(peer, self.rounds, self.table.seq, now)
        if self.round is None or (ask := self.round.ask(self.table.sums)) is None:
            return []
        return [Say(self.round.peer, ask, self._after)]

    def _choose_peer(self, now: float) -> str:
        """Return the peer for the next repair round. While this node is not whole, peers that it has not been
        repaired against come first; among these, peers that are behind; then each in turn."""
        present = self.present(now)
        if self.catchup.stage is not Stage.WHOLE:
            present = [o for o in present if o not in self.catchup.repaired_by] or present
        behind = [o for o in present if self.spread.peers[o].behind]
        if not present:
            return ""
        self.repair_turn += 1
        candidates = behind or present
        return candidates[self.repair_turn % len(candidates)]

    def _finish_round(self, now: float) -> None:
        done = self.round
        if done is None or not done.done:
            return
        self.round = None
        whole = self.catchup.stage is Stage.WHOLE
        self.next_round_s = now + (self.repair_s if whole and done.clean else 0.0)
        if not done.clean:
            return
        self.spread.peers[done.peer].behind = False
        self.peer_states[done.peer].acked_upto = max(self.peer_states[done.peer].acked_upto, done.upto)
        if self.peer_states[done.peer].stage == Stage.WHOLE.value:
            self.waiters.acked_upto(done.peer, done.upto)
        if self.catchup.repaired(done.peer):
            self.renewed = self.catchup.forgot
            self._drop_covered_aside()
        if "settle" in self.without:
            self.table.settle(self.table.seq)
        elif self.others and all(not peer_state.outdated for peer_state in self.peer_states.values()):
            self.table.settle(min(peer_state.acked_upto for peer_state in self.peer_states.values()))

    def _drop_covered_aside(self) -> None:
        """Drop the records set aside that the present records already cover: they are not lost."""
        for name, aside in list(self.aside.items()):
            state = self.table.state(name)
            if isinstance(state, Causal) and state.merge(aside).values == state.values:
                del self.aside[name]

    # --- messages

    def take(self, now: float, sender: str, message: Message, held: Held | None = None) -> list[Say]:
        """Process a message; return the replies. ``held``: position of its disk, None in format 1."""
        peer_state = self.peer_states.get(sender)
        if peer_state is None:
            return []
        peer_state.at_s = now
        if held is not None and not isinstance(message, Hello | Welcome | Pull):
            # With the position in Hellos only, a disk could lose unnoticed what was promised after the last.
            if held.digest != peer_state.opening:
                return []  # The Hello of this opening was lost. Both it and this message will be sent again.
            self.promised(sender, held)
        match message:
            case Hello():
                return self._on_hello(sender, peer_state, message)
            case Welcome():
                self._on_welcome(now, sender, peer_state, message)
            case Batch(n, entries):
                return self._on_batch(now, sender, peer_state, n, entries)
            case Ack(n, counts, room):
                self._on_ack(now, sender, n, counts, room)
            case Ask():
                return self._on_ask(sender, peer_state, message)
            case Answer():
                self._on_answer(now, sender, message)
            case Pull(cursor):
                if self.catchup.stage in (Stage.WHOLE, Stage.REPAIR):
                    self.giving.ask(sender, cursor)
            case Piece(cursor, after, entries):
                if self.catchup.stage is Stage.SNAPSHOT and cursor == self.catchup.cursor:
                    self._merge_entries(sender, entries)
                    if self.catchup.piece(now, sender, cursor, after) and after < RANGES:
                        self.pulled_s = now
                        return [Say(sender, Pull(after), 0)]
        return []

    def _on_hello(self, sender: str, peer_state: PeerState, message: Hello) -> list[Say]:
        peer_state.stage, peer_state.count, peer_state.root = message.stage, message.count, message.root
        whole = message.stage == Stage.WHOLE.value
        # A peer that is whole again after a reset in this life is accepted, though its mark is older.
        verdict = self.judge(sender, message.mark, whole and message.again > 0)
        if "witness" in self.without:
            verdict = Verdict.SAME
        if verdict in (Verdict.OLDER, Verdict.OTHER) and peer_state.verdict != verdict.value:
            self.spread.mark_behind(sender)
            self.waiters.forget(sender)
            peer_state.acked_upto = -1
        peer_state.verdict = verdict.value
        opening = Mark.from_bytes(message.mark).digest
        new, peer_state.opening = opening != peer_state.opening, opening
        # A higher count of resets means that the peer has set its outdated records aside.
        peer_state.outdated = peer_state.outdated and message.again <= peer_state.resets
        peer_state.resets = message.again
        tail = peer_state.acked_upto >= 0 and not self.spread.peers[sender].behind
        welcome = Welcome(
            opening,
            OUTDATED if peer_state.outdated else verdict.value,
            tail,
            len(self.table.records),
            self.catchup.stage.value,
        )
        # A restarted peer doesn't know this store's opening and accepts no other message before a Hello.
        return [*([Say(sender, self._own_hello(), 0)] if new else []), Say(sender, welcome, 0)]

    def _on_welcome(self, now: float, sender: str, peer_state: PeerState, message: Welcome) -> None:
        peer_state.stage, peer_state.count = message.stage, message.count
        _, digest = self.mark()
        if message.digest != digest:
            return  # The verdict is about an earlier opening of this store.
        surplus = message.count - len(self.table.records)
        if message.verdict == OUTDATED:
            if self.catchup.outdated(now, sender):
                self._set_aside()
        elif message.verdict not in VERDICTS:
            self.refused += 1
        elif self.catchup.on_verdict(now, sender, Verdict(message.verdict), message.tail, surplus):
            self._set_aside()

    def _set_aside(self) -> None:
        self.round, self.reset = None, True
        for name, state in self.table.set_aside().items():
            if len(self.aside) < MAX_ASIDE:
                self.aside[name] = state
        self.writes = [write for write in self.writes if write[0] in self.table.records]
        self.waiters.set_aside(lambda name: name in self.table.records)

    def _merge_entries(self, sender: str, entries: list[Any]) -> tuple[bool, set[bytes]]:
        room, names = True, set[bytes]()
        for name, packed in entries:
            try:
                merged = self.table.merge_state(name, packed)
            except ReplicaFullError:
                room = False
                self.refused += 1
                continue
            except BrokenInvariantError:
                raise
            except ReplicaError:
                self.refused += 1  # A record of a newer version, or damaged: not interpreted.
                continue
            names.add(name)
            if merged.sender_lacks and (found := self._entry(name)) is not None:
                self.spread.enqueue(sender, name, found[1])
        return room, names

    def _on_batch(self, now: float, sender: str, state: PeerState, n: int, entries: list[Any]) -> list[Say]:
        if state.outdated:
            return []
        room, names = self._merge_entries(sender, entries)
        if self.round is not None and self.round.peer == sender:
            self.round.received(now, names)
            self._finish_round(now)
        return [Say(sender, Ack(n, self.catchup.whole, room), 0 if "sync" in self.without else self._after)]

    def _on_ack(self, now: float, sender: str, n: int, counts: bool, room: bool) -> None:
        names = self.spread.acked(sender, n, room, now)
        if counts or "counts" in self.without:
            self.waiters.acked(sender, names)
        if self.round is not None and self.round.peer == sender:
            self.round.acked(now, names)
            self._finish_round(now)

    def _on_ask(self, sender: str, peer_state: PeerState, message: Ask) -> list[Say]:
        if peer_state.outdated or self.catchup.stage in (Stage.AWAY, Stage.SNAPSHOT):
            return []
        try:
            reply = answer(self.table.sums, message)
        except (ValueError, TypeError):
            self.refused += 1
            return []
        for name in reply.have:
            if (found := self._entry(name)) is not None:
                self.spread.enqueue(sender, name, found[1])
        return [Say(sender, reply, self._after)]

    def _on_answer(self, now: float, sender: str, message: Answer) -> None:
        if self.round is None or self.round.peer != sender or not self.round.answered(now, message):
            return
        for name in list(self.round.wanted):
            if (found := self._entry(name)) is None:
                self.round.wanted.discard(name)
            else:
                self.spread.enqueue(sender, name, found[1])
        self._finish_round(now)

    # --- for operators

    def differs(self) -> list[bytes]:
        """Return the names of records with several values, or with a state that was set aside."""
        return sorted(self.table.differing | self.aside.keys())

    def resolve(self, kind: str, key: str, value: bytes | None) -> bytes:
        """Replace all values of a record and its state set aside; None deletes. Return the record's name."""
        name = ident(kind, key)
        if (
            value is None
            and isinstance(state := self.table.state(name), Causal | None)
            and (state is None or state.deleted)
        ):
            self.aside.pop(name, None)
            return name
        return self.write(kind, key, value)
