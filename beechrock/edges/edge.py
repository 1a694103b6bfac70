"""State machine of one member of an edge: accepts, forwards, copies and replays writes. Pure.

Events: ``write`` (from a caller), ``hear`` (a message from another member or from upstream), ``tick``,
``duty`` (the fence under which this member replays, or None), ``order`` (a command of an operator). Each
returns actions; records appended to the log meanwhile are synced before the actions are carried out.

A write goes straight to upstream if the link is good and none of its dependencies waits. Otherwise it is
queued: it gets a dot, is appended to this log and to the other members' logs, and is answered with 202. A
straight write without an answer in time is queued under the same key, so it runs once.
Invariants: 202 is sent only with ``copies`` durable copies; a write leaves the queue only by an end decided
upstream; a member without a fence offers nothing.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgpack

from beechrock.edges.actions import Accepted, Action, Done, Send, Turned
from beechrock.edges.causal import MAX_CLOSED, NOTHING, Dot, Heads, Seen, Spans, Vector, check_after
from beechrock.edges.compacting import compact
from beechrock.edges.copies import Copies
from beechrock.edges.errors import EdgeFullError, EdgeRecordError, UnknownReceiptError
from beechrock.edges.holder import Holder
from beechrock.edges.link import Link
from beechrock.edges.queue import Queue
from beechrock.edges.whom import UpstreamChoice
from beechrock.edges.words import (
    MAX_MESSAGE_BYTES,
    Copied,
    Copy,
    Ends,
    Entry,
    Have,
    Log,
    Names,
    Probe,
    ProbeAck,
    State,
    Straight,
    StraightDone,
    Told,
    Waiting,
    Word,
    Write,
)
from beechrock.store.errors import StoreFailedError, StoreFullError

GOSSIP_S = 0.5
MAX_COPIES_SENT = 64  # Maximum number of writes sent to one member in one ``Copy`` message
MAX_SESSIONS, MAX_SUBJECTS, MAX_GONE, MAX_ORDERS = 8192, 65_536, 8192, 1024
COPY_SLACK = 1.25  # Factor on the queue's bound for copies, as members' queues differ a little in size
STRAIGHT_S = 2.0  # Seconds after which a straight write without an answer is queued
CUT_AFTER_S, GOOD_AFTER_S = 5.0, 0.5
ENTRY, ORDER = b"E", b"O"


@dataclass(slots=True)
class Edge:
    names: Names
    log: Log
    link: Link
    queue: Queue
    copies: Copies
    holder: Holder
    upstream_choice: UpstreamChoice
    shares: Mapping[str, float] = field(default_factory=dict)
    without: frozenset[str] = frozenset()
    folder: bytes = b""  # Packed mark of this member's store
    older: bool = False  # Whether upstream lost marks; this member then treats upstream as cut off
    have: Vector = field(default_factory=Vector)
    ended: Vector = field(default_factory=Vector)  # Writes that have ended, as reported by upstream
    sessions: Heads = field(default_factory=lambda: Heads(MAX_SESSIONS))
    subjects: Heads = field(default_factory=lambda: Heads(MAX_SUBJECTS))
    gone: OrderedDict[Dot, tuple[State, str]] = field(default_factory=OrderedDict)
    orders: dict[Dot, str] = field(default_factory=dict)
    refs: dict[Dot, tuple[int, Seen]] = field(default_factory=dict)  # Callers whose writes await copies
    straight: dict[int, Waiting] = field(default_factory=dict)
    counter: int = 0
    numbers: int = 0
    closed_at: int = 0
    slack_bytes: int = 1 << 20  # Bytes by which the log may grow before it is compacted again
    compacted_bytes: int = 0
    probe_at: float = 0.0
    gossip_at: float = 0.0
    proven: set[str] = field(default_factory=set)  # Members that hold every write that waits here
    out: list[Action] = field(default_factory=list)

    # --- durable state

    def restore(self, snapshot: bytes | None, first: int, records: Iterable[bytes]) -> None:
        """Restore the state from a snapshot and the log's ``records``, which begin at index ``first``."""
        if snapshot is not None:
            form, have, ended, gone, orders = msgpack.unpackb(snapshot)
            if form != 1:
                raise EdgeRecordError(f"an edge's snapshot of form {form}", wanted="form 1")
            self.have, self.ended = Vector.of_plain(have), Vector.of_plain(ended)
            self.gone = OrderedDict((Dot(w, n), (State(s), why)) for w, n, s, why in gone)
            self.orders = {Dot(w, n): order for w, n, order in orders}
        for index, record in enumerate(records, first):
            if record[:1] == ENTRY:
                entry = Entry.unpack(record[1:])
                if entry.dot in self.queue:
                    self.queue.moved(entry.dot, index)
                elif entry.dot not in self.ended:
                    self._add_to_queue(entry, len(record), index)
            elif record[:1] == ORDER:
                writer, n, order = msgpack.unpackb(record[1:])
                self.orders[Dot(writer, n)] = order
            else:
                raise EdgeRecordError(f"a record of kind {record[:1]!r}", do="start the newer version")

    def compact(self) -> None:
        """Free the front of the log, if it has grown enough since the last time."""
        compact(self)

    def entry(self, dot: Dot) -> Entry:
        return Entry.unpack(self.log.entry(self.queue.place(dot))[1:])

    # --- callers

    def write(self, now: float, now_s: float, write: Write) -> list[Action]:
        """Forward, queue or refuse a caller's write; its answer may be an action of a later event."""
        after = self._after(write)
        behind = bool(after.missing(self.ended)) and "behind" not in self.without
        if self.link.straight and not behind:
            self.numbers += 1
            entry = write.entry(Dot(self.names.writer, 0), NOTHING, now_s)
            self.straight[self.numbers] = Waiting(write, now + min(STRAIGHT_S, (write.due_s - now) / 2))
            self.send(
                self.upstream_choice.current,
                Straight(self.numbers, self.names.edge, entry.pack(), write.retry),
            )
        else:
            self._accept(now, now_s, write)
        return self._done()

    def reads(self, seen: Seen) -> float | None:
        """Return None if a read that depends on ``seen`` may be answered, else its retry delay in seconds."""
        if "seen" in self.without or not seen.missing(self.ended):
            return None
        return GOOD_AFTER_S if self.link.straight else CUT_AFTER_S

    def _after(self, write: Write) -> Seen:
        after = write.seen
        if write.session:
            after = after.merge(self.sessions.of(Heads.place(write.team, write.session)))
        if write.subject:
            after = after.merge(self.subjects.of(Heads.place(write.service, write.subject)))
        return after.less(self.ended)

    def _accept(self, now: float, now_s: float, write: Write, tried: bool = False) -> None:
        """Queue or refuse a write; one that was ``tried`` straight may have run, so it fails instead."""
        after = self._after(write)
        dot = Dot(self.names.writer, self.counter + 1)
        entry = write.entry(dot, after, now_s)
        record = ENTRY + entry.pack()
        try:
            self.copies.check_able(now, write.copies)
            self.queue.admit(write.team, len(record), self.shares)
        except EdgeFullError as error:
            self.out.append(
                Done(write.ref, "failed", f"it may have run; {error}\n".encode())
                if tried
                else Turned(write.ref, error.after_s, str(error))
            )
            return
        check_after(after, dot)
        try:
            place = self.log.append(record)
        except (StoreFullError, StoreFailedError) as error:  # Nothing has been promised yet
            self.copies.disk_error = error
            # It is unknown how much of a failed append is on disk: a restart may find the whole record.
            self.out.append(
                Done(write.ref, "failed", f"it may still run; {error}\n".encode())
                if tried or isinstance(error, StoreFailedError)
                else Turned(write.ref, CUT_AFTER_S, str(error))
            )
            return
        self.counter += 1
        self._add_to_queue(entry, len(record), place)
        if write.session:
            self.sessions.put(Heads.place(write.team, write.session), after, dot, self.ended)
        seen = after.of_write(dot)
        if self.copies.begin(dot, record[1:], min(write.due_s, now + STRAIGHT_S), now, write.copies):
            self.out.append(Accepted(write.ref, dot, seen, (self.names.me,)))
        else:
            self.refs[dot] = write.ref, seen
        for name in self.copies.others():
            self.send(name, Copy((record[1:],)))
        self.link.settle(now, len(self.queue))

    def _add_to_queue(self, entry: Entry, size: int, place: int) -> None:
        self.queue.add(entry.dot, entry.team, size, place)
        self.have.add(entry.dot)
        if entry.subject:
            self.subjects.put(Heads.place(entry.service, entry.subject), entry.seen, entry.dot, self.ended)

    # --- received messages

    def hear(self, now: float, now_s: float, sender: str, word: Word) -> list[Action]:
        if sender in self.names.members:
            self.copies.heard(sender, now)
        match self.upstream_choice.hear(sender, word):
            case Copy(entries):
                self._copied(sender, entries)
            case Copied(dots):
                for writer, n in dots:
                    dot, places = Dot(writer, n), self.copies.places(Dot(writer, n))
                    if self.copies.copied(sender, dot) and dot in self.refs:
                        ref, seen = self.refs.pop(dot)
                        self.out.append(Accepted(ref, dot, seen, (*places, sender)))
            case Have(have, ended, _, full):
                self.copies.set_full(sender, full)
                self._ended_upstream(Vector.of_plain(ended))
                self._share(sender, Vector.of_plain(have))
            case Told(ends, orders):
                for writer, n, value, why in ends:
                    self.end(Dot(writer, n), State(value), why)
                for writer, n, order in orders:
                    self._ordered(Dot(writer, n), order)
            case ProbeAck(_, ended, credit, gone, closed, closed_at) if not self.older:
                for writer, n, value in gone:
                    if Dot(writer, n) in self.queue:
                        self.end(Dot(writer, n), State(value), "")
                self._ended_upstream(Vector.of_plain(ended))
                self._close(closed, closed_at)
                self.holder.pace.credit = credit
                was_straight = self.link.straight
                self.link.heard(now, len(self.queue))
                if self.link.straight and not was_straight:
                    self.holder.pace.begin(self.names.edge, now)
            case Ends() as ends_word:
                self.holder.ends(self, now, ends_word)
            case StraightDone(number, verdict, body, media, after_s):
                if (waiting := self.straight.pop(number, None)) is not None:
                    self.out.append(Done(waiting.write.ref, verdict, body, media, after_s))
        self.link.settle(now, len(self.queue))
        return self._done()

    def _copied(self, sender: str, entries: tuple[bytes, ...]) -> None:
        held: list[tuple[str, int]] = []
        for packed in entries:
            entry = Entry.unpack(packed)
            if entry.dot not in self.have and entry.dot not in self.ended:
                size = self.queue.bytes_held + len(packed)
                if size > COPY_SLACK * self.queue.most_bytes or self.copies.full:
                    continue  # It is not acknowledged, so it does not count as a copy
                record = ENTRY + packed
                try:
                    self._add_to_queue(entry, len(record), self.log.append(record))
                except (StoreFullError, StoreFailedError) as error:
                    self.copies.disk_error = error
                    continue
            held.append((entry.dot.writer, entry.dot.n))
        if held:
            self.send(sender, Copied(tuple(held), self.folder))

    def _share(self, sender: str, theirs: Vector) -> None:
        """Send the waiting writes that a member lacks, as after partial replication or a lost disk."""
        sent, size = list[bytes](), 0
        for writer, lane in self.queue.lanes.items():
            mine = Spans([(lane.base, lane.base + len(lane.states) - 1)])
            for n in theirs.of.get(writer, Spans()).gaps(mine, 1 << 20):
                if len(sent) >= MAX_COPIES_SENT or size > MAX_MESSAGE_BYTES // 2:
                    break
                if self.queue.waits(Dot(writer, n)):
                    packed = self.log.entry(lane.places[n - lane.base])[1:]
                    sent.append(packed)
                    size += len(packed)
        if sent:
            self.send(sender, Copy(tuple(sent)))
        else:
            self.proven.add(sender)

    def _ended_upstream(self, ended: Vector) -> None:
        for writer, lane in self.queue.lanes.items():
            theirs = ended.of.get(writer)
            if theirs is None:
                continue
            mine = self.ended.of.get(writer)
            for n in mine.gaps(theirs, 1 << 20) if mine is not None else theirs.since(lane.base):
                dot = Dot(writer, n)
                if self.queue.end(dot, self.gone.get(dot, (State.APPLIED, ""))[0]):
                    self._on_end(dot)
        self.ended.merge(ended)

    def _close(self, closed: tuple[str, ...], closed_at: int) -> None:
        """Close the lives that upstream has closed, except those whose writes still wait here."""
        idle = [writer for writer in closed if self.queue.idle(writer)]
        # No head may depend on a life whose name is evicted.
        if len(self.ended.closed) + len(idle) > MAX_CLOSED:
            self.sessions.tidy(self.ended)
            self.subjects.tidy(self.ended)
        for writer in idle:
            self.ended.close(writer)
            self.have.of.pop(writer, None)
        self.queue.forget(idle)
        if len(idle) == len(closed):
            self.closed_at = closed_at

    def _on_end(self, dot: Dot) -> None:
        self.holder.picker.remove_ended(dot)
        self.orders.pop(dot, None)

    def end(self, dot: Dot, state: State, why: str) -> None:
        if state is not State.APPLIED:
            self.gone[dot] = state, why
            if len(self.gone) > MAX_GONE:
                self.gone.popitem(last=False)
        self.queue.end(dot, state)
        self.ended.add(dot)
        self._on_end(dot)

    # --- time

    def duty(self, fence: int | None, now: float) -> list[Action]:
        """Set the fence under which this member replays; None means that it does not hold the duty."""
        self.holder.duty(self, fence, now)
        return self._done()

    def tick(self, now: float, now_s: float) -> list[Action]:
        self.link.tick(now, len(self.queue))
        if now >= self.probe_at:
            self.probe_at = now + self.link.probe_s
            self.numbers += 1
            for name in self.upstream_choice.named:
                self.send(
                    name,
                    Probe(self.numbers, self.names.edge, len(self.queue), self.names.writer, self.closed_at),
                )
        late, resend = self.copies.tick(now)
        for dot in late:
            if (held := self.refs.pop(dot, None)) is not None:
                self.out.append(Done(held[0], "failed", b"too few copies in time; it may still run\n"))
        for name, packed in resend.items():
            self.send(name, Copy(tuple(packed[:MAX_COPIES_SENT])))
        overdue = [n for n, w in self.straight.items() if w.due_s <= now or not self.link.straight]
        for number in overdue:
            # It may have run upstream; queued under the same idempotency key, it still runs only once.
            self._accept(now, now_s, self.straight.pop(number).write, tried=True)
        if now >= self.gossip_at:
            self.gossip_at = now + GOSSIP_S
            for name in self.copies.others():
                self.send(name, Have(self.have.plain(), self.ended.plain(), self.folder, self.copies.full))
        self.holder.tick(self, now, now_s)
        return self._done()

    # --- operators

    def order(self, dot: Dot, order: str) -> list[Action]:
        """Record an operator's order, ``release`` or ``discard``, durably, and send it to all members.

        Raises UnknownReceiptError if the write does not wait here.
        """
        if not self.queue.waits(dot):
            raise UnknownReceiptError(
                f"{dot} does not wait here",
                where=f"edge {self.names.edge}",
                wanted="the receipt of a write that waits",
                do="beechrock edges list",
            )
        if len(self.orders) >= MAX_ORDERS:
            raise UnknownReceiptError(
                f"{MAX_ORDERS} words of operators wait already", do="wait until some have been acted on"
            )
        self._ordered(dot, order)
        self.holder.next_orders_at = 0.0
        return self._done()

    def _ordered(self, dot: Dot, order: str) -> None:
        if self.orders.get(dot) != order and self.queue.waits(dot) and len(self.orders) < MAX_ORDERS:
            self.log.append(ORDER + msgpack.packb([dot.writer, dot.n, order]))
            self.orders[dot] = order
            if order == "release":
                self.holder.picker.release(dot)

    def state(self, dot: Dot) -> tuple[State, str]:
        """Return the state of a write and its reason, or raise UnknownReceiptError for an unknown write."""
        if dot in self.gone:
            return self.gone[dot]
        if (found := self.queue.state(dot)) is not None:
            return found, ""
        if dot.writer in self.ended.of and dot in self.ended:  # Writes of a closed life are no longer known
            return State.APPLIED, ""
        raise UnknownReceiptError(
            f"{dot} is not known here",
            where=f"edge {self.names.edge}",
            do="ask a member of the edge that gave the receipt",
        )

    def send(self, to: str, word: Word) -> None:
        self.out.append(Send(to, word))

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out
