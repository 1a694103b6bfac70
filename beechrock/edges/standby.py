"""One of several nodes named upstream: its replica of the marks' records. Pure.

States: standby; or, with the duty ``edges:upstream``, ``lead`` (lead.py): asking, fetching, leading.
Events: ``hear`` (a message of another named node), ``take`` (this node got the duty, under a fence),
``tick``. Records appended meanwhile are synced before the actions are carried out, except for ``Keep``
(lead.py).
The marks in memory include the records up to ``held``, which a majority holds and no later holder cuts. So a
standby can save snapshots by itself, and a take-over has to apply only the later records.
Invariants: no record is accepted under a fence below the highest one, which is durable (duties/fences.py);
records that a majority held are never cut here; the folder counts as ``whole`` only once a holder said so,
which it does when this folder holds all records that a majority holds.
"""

from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from beechrock.duties.fences import Fences
from beechrock.edges.actions import Action, Send
from beechrock.edges.differ import Differing
from beechrock.edges.errors import EdgeInvariantError
from beechrock.edges.kept import (
    DUTY,
    MAX_BATCH_BYTES,
    Keep,
    Kept,
    Records,
    Snap,
    Spans,
    Stand,
    Stood,
    Witnessing,
    reign_of,
    spans_of,
)
from beechrock.edges.lead import MAX_REIGNS, Lead, State
from beechrock.edges.marks import Marks
from beechrock.edges.upstream import SNAPSHOT, SNAPSHOT_RECORDS
from beechrock.edges.words import Word
from beechrock.store.codec import Mark
from beechrock.store.errors import StoreFullError
from beechrock.store.witness import Verdict

WHOLE = "edges:upstream whole"  # Key beside the fence; above 0 once a holder found this folder whole
MAX_SNAPSHOT_BYTES = 64 << 20
UNTRUSTED = (Verdict.OLDER, Verdict.OTHER)


@dataclass(slots=True)
class Standby:
    me: str
    names: tuple[str, ...]
    log: Records
    fences: Fences
    witness: Witnessing
    rule: Callable[[str], Differing]
    without: frozenset[str] = frozenset()
    snapshot_records: int = SNAPSHOT_RECORDS
    marks: Marks = field(init=False)
    applied: int = 0  # Index of the last record that the marks include
    held: int = 0  # Highest known index up to which a majority holds all records
    spans: list[tuple[int, int]] = field(default_factory=list)  # Reigns, each with its first index
    fence: int = 0
    holder: str = ""  # Node that was last heard under ``fence``
    lead: Lead | None = None
    compacted: int = 0  # Index of the last attempt to save a snapshot
    left_fence: int = 0  # Highest fence under which this node may not lead again
    turned: OrderedDict[tuple[str, int], None] = field(default_factory=OrderedDict)
    parts: bytearray = field(default_factory=bytearray)  # Received bytes of a snapshot in transfer
    snap: tuple[int, int] = (0, 0)  # Index and size of that snapshot

    def __post_init__(self) -> None:
        self.fence = self.fences.highest.get(DUTY, 0)
        self.restore()

    def restore(self) -> None:
        """Reload the marks from the log; records beyond ``held`` are applied once a majority holds them."""
        self.marks = Marks(self.rule, self.without)
        found = self.log.snapshot()
        if found is not None:
            self.marks.restore(found[1].removeprefix(SNAPSHOT))
        self.applied = self.log.first - 1
        self.spans = [(self.marks.reign, self.applied)]
        for index in range(self.log.first, self.log.last + 1):
            self._span(self.log.entry(index), index)
        held, self.held = min(self.held, self.log.last), self.applied
        self._advance_held(held)

    # --- contents of the log

    @property
    def majority(self) -> int:
        return len(self.names) // 2 + 1

    @property
    def whole(self) -> bool:
        return self.fences.highest.get(WHOLE, 0) > 0 or "whole" in self.without

    @property
    def base(self) -> int:
        """Index up to which the log has only the snapshot."""
        return self.log.first - 1

    def append(self, record: bytes) -> int:
        index = self.log.append(record)
        self._span(record, index)
        return index

    def _span(self, record: bytes, index: int) -> None:
        reign = reign_of(record, self.spans[-1][0])
        if reign != self.spans[-1][0]:
            self.spans.append((reign, index))

    def reign_at(self, index: int) -> int:
        """Return the reign of the record at an index; -1 if unknown, as it is before the snapshot."""
        return next((reign for reign, first in reversed(self.spans) if first <= index), -1)

    def told(self) -> Spans:
        out, last = [], self.log.last
        for reign, first in reversed(self.spans):
            out.append((reign, last))
            last = first - 1
        return tuple(out)

    def match(self, spans: Spans) -> int | None:
        """Return the last index up to which a log with these spans equals this one.

        Returns None if that is unknown, so that the snapshot has to be sent.
        """
        mine = dict(self.told())
        for reign, last in spans:
            if reign in mine and self.reign_at(index := min(last, mine[reign])) == reign:
                return index if index >= self.base else None
        return 0 if self.base == 0 else None

    # --- events

    def take(self, now: float, fence: int, group: bytes, forced: bool) -> list[Action]:
        """Begin to lead under a fence of the duty, or go on if this node leads under that fence already."""
        if self.lead is not None and self.lead.fence == fence:
            self.lead.closing = False
            return []
        # Two reigns under one fence would make two different logs look identical.
        if fence <= self.left_fence:
            return []
        if not self._accept(self.me, fence):
            return []
        self.lead = Lead(self, fence, group, forced, now)
        return self.lead.ask(now)

    def hear(self, now: float, sender: str, word: Word) -> list[Action]:
        if sender not in self.names or sender == self.me:
            return []
        match word:
            case Stand(fence):
                if not self._accept(sender, fence):
                    return [Send(sender, Stood(fence, (), False, False, self.fence))]
                older = self.untrusted(sender, word.folder)
                return [Send(sender, Stood(fence, self.told(), self.whole, older))]
            case Keep(fence) | Snap(fence):
                source = self.lead.source if self.lead is not None and self.lead.fence == fence else ""
                if sender != source and not self._accept(sender, fence):
                    return [Send(sender, Kept(fence, 0, False, highest=self.fence))]
                if self.lead is not None and (sender != source or self.lead.state is not State.FETCHING):
                    return []
                kept = self._receive_records(word) if isinstance(word, Keep) else self._receive_part(word)
                if self.lead is not None:
                    return self.lead.fetched(now, kept)
                return [Send(sender, kept)] if kept is not None else []
            case Stood() | Kept() if self.lead is not None and max(word.highest, 0) > self.lead.fence:
                self.down()  # Another node leads, or is about to
            case Stood() if self.lead is not None and word.fence == self.lead.fence:
                return self.lead.stood(now, sender, word, self.untrusted(sender, word.folder))
            case Kept() if self.lead is not None and word.fence == self.lead.fence:
                return self.lead.kept(now, sender, word)
            # The sender takes over and fetches this log, which is the best.
            case Kept(fence) if fence == self.fence and sender == self.holder and not word.good:
                return [Send(sender, self.give(word, fence)[0])]
        return []

    def tick(self, now: float) -> list[Action]:
        return self.lead.tick(now) if self.lead is not None else []

    def down(self) -> None:
        """Stop leading and reload the marks, as records without a majority may be cut."""
        if self.lead is not None:
            if self.lead.upstream is not None:
                self.turned = self.lead.upstream.turned
            self.lead = None
            self.restore()

    def step_down(self) -> None:
        """Stop leading, for good under this fence, because the disk failed to store all records.

        The actor reloads the marks (``restore``) once the disk works.
        """
        if self.lead is not None:
            self.left_fence, self.lead = self.lead.fence, None

    def _accept(self, sender: str, fence: int) -> bool:
        """Accept a message under a fence; return False if a higher fence is known.

        A new highest fence is made durable before it is used.
        """
        if "fence" not in self.without and (fence < self.fence or not self.fences.accept(DUTY, fence)):
            return False
        if fence > self.fence or self.holder != sender:
            if self.lead is not None and (self.lead.fence < fence or sender != self.me):
                self.down()
            self.fence, self.holder, self.snap = max(fence, self.fence), sender, (0, 0)
            self.parts.clear()
        return True

    def mark_whole(self) -> None:
        """Mark this folder as whole: all records that a majority holds are here, and synced."""
        if not self.whole:
            self.fences.accept(WHOLE, 1)

    def untrusted(self, sender: str, folder: bytes) -> bool:
        """Whether the sender's folder is an older copy or another folder."""
        return self._judge(sender, folder) in UNTRUSTED

    def _judge(self, sender: str, folder: bytes) -> Verdict:
        if not folder or "older" in self.without:
            return Verdict.SAME
        return self.witness.receive(sender, Mark.from_bytes(folder))

    # --- as a standby

    def _receive_records(self, word: Keep) -> Kept | None:
        after, reign = word.after, word.reign
        if after > self.log.last or (
            after >= self.base and self.reign_at(after) != reign and "tail" not in self.without
        ):
            return self.continue_request()
        index = after
        try:
            for record in word.records:
                index, reign = index + 1, reign_of(record, reign)
                if index <= self.base:
                    continue
                if index <= self.log.last:
                    if self.reign_at(index) == reign or "tail" in self.without:
                        continue
                    self._cut(index - 1)  # A record of an earlier holder that no majority held
                self.append(record)
        except StoreFullError:
            return None  # The holder sends the records again
        index = max(index, self.base)
        self._advance_held(min(index, word.held))
        if word.whole:
            self.mark_whole()
        for name, mark in word.marks:
            if name != self.me and self.untrusted(name, mark):
                self.witness.forget(name)  # The holder has checked that the node holds all records again
                self._judge(name, mark)
        return Kept(word.fence, index, True, whole=self.whole)

    def continue_request(self) -> Kept:
        """Return a request to continue from the end of this log, or of the received part of a snapshot."""
        return Kept(self.fence, 0, False, self.told(), *self._snap_at(), self.whole)

    def _snap_at(self) -> tuple[int, int]:
        return (self.snap[0], len(self.parts)) if self.parts else (0, 0)

    def _cut(self, index: int) -> None:
        if index < self.held:
            raise EdgeInvariantError(f"a cut after {index}, and a majority held {self.held}", where=DUTY)
        self.log.cut_after(index)
        self.spans = [span for span in self.spans if span[1] <= index]

    def _receive_part(self, word: Snap) -> Kept:
        index_and_size = (word.index, word.size)
        if word.at == 0 and word.size <= MAX_SNAPSHOT_BYTES and word.index > self.held:
            self.parts, self.snap = bytearray(), index_and_size
        if index_and_size != self.snap or word.at != len(self.parts):
            return self.continue_request()
        self.parts += word.data
        if len(self.parts) < word.size:
            return self.continue_request()
        if word.index < self.log.last:
            self._cut(max(word.index, self.base))
        self.log.save_snapshot(word.index, bytes(self.parts))
        self.parts, self.snap = bytearray(), (0, 0)
        self.restore()
        return self.continue_request()

    def _advance_held(self, index: int) -> None:
        self.held = max(self.held, index)
        while self.applied < self.held:
            self.applied += 1
            self.marks.redo(self.log.entry(self.applied))

    def compact(self) -> None:
        """Save a snapshot on a standby if enough records came; on the holder Upstream saves it."""
        base = max(self.base, self.compacted)
        if self.lead is None and (
            self.applied - base >= self.snapshot_records
            or (len(self.spans) > MAX_REIGNS and self.applied > base)
        ):
            self.compacted = self.applied  # On a full disk the next attempt is after as many records again
            with suppress(StoreFullError):
                self.compact_to(self.applied, SNAPSHOT + self.marks.plain())

    def compact_to(self, index: int, data: bytes) -> None:
        reign = self.reign_at(index)
        self.log.save_snapshot(index, data)
        self.spans = [(reign, index), *((r, first) for r, first in self.spans if first > index)]

    # --- records for another node

    def give(self, word: Kept, fence: int, held: int = 0) -> tuple[Keep | Snap, int]:
        """Return the records or the part of the snapshot that another node lacks.

        The second value is the index that the node will have after the records.
        """
        after = self.match(spans_of(word.spans))
        found = self.log.snapshot() if after is None else None
        if after is None and found is not None:
            index, data = found
            at = word.at if word.snap == index and word.at < len(data) else 0
            return Snap(fence, index, len(data), at, data[at : at + MAX_BATCH_BYTES]), 0
        return self.batch(after or 0, fence, held)

    def batch(self, after: int, fence: int, held: int) -> tuple[Keep, int]:
        """Return a batch of the records after an index, and the index of the last of them."""
        records: list[bytes] = []
        size, index = 0, after
        while index < self.log.last:
            record = self.log.entry(index + 1)
            if records and size + len(record) > MAX_BATCH_BYTES:
                break
            records.append(record)
            size, index = size + len(record) + 8, index + 1
        return Keep(fence, after, self.reign_at(after), tuple(records), held), index
