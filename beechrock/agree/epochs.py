"""Epochs of all members' journals as known to this member: its own, and each peer's newest known epoch.

States: this member's epochs, oldest first; the newest known mark (epoch and synced records) of each peer; the
epoch counts that answers reported since the last candidacy. Events: an opening of this member's journal, a
mark in a message, a reported count, an entry that readmits a member.

Invariants: the counts of this member's epochs grow; a peer's mark is queued for the journal before any answer
that depends on it; a vote or an acknowledgement given in an epoch does not count once a newer one is known.
"""

from dataclasses import dataclass

from beechrock.agree.context import EventContext
from beechrock.agree.journal import RecoveredState
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.marks import later
from beechrock.agree.messages import Epoch, EpochCount, EpochOpened, Mark, PeerMark
from beechrock.agree.rules import MAX_EPOCHS, Guard

MARK_WRITE_INTERVAL = 64  # A peer's mark is written once per this many records of its journal


@dataclass(frozen=True, slots=True)
class ReadmittedEpoch:
    """The content of a READMIT entry."""

    name: str
    count: int
    id: str

    def pack(self) -> bytes:
        """Return the entry's data."""
        return f"{self.name}\n{self.count}\n{self.id}".encode()

    @classmethod
    def unpack(cls, data: bytes) -> "ReadmittedEpoch":
        """Return the content of an entry's data."""
        name, count, identity = data.decode().split("\n")
        return cls(name, int(count), identity)


class EpochTable:
    """Known epochs of all members. ``opening``: unique name of this start of this member."""

    def __init__(
        self, context: EventContext, writer: JournalWriter, recovered: RecoveredState, opening: str
    ) -> None:
        self._context = context
        self._writer = writer
        self._opening = opening
        self._marks: dict[str, Mark] = dict(recovered.peer_marks)
        self._reported_counts: dict[str, int] = {}  # newest epoch count that answers reported of each member
        self.own: tuple[Epoch, ...] = recovered.epochs  # oldest first

    # --- the own journal -------------------------------------------------------------------------------

    @property
    def current(self) -> Epoch:
        """The epoch in which this process writes its journal."""
        return self.own[-1]

    def own_mark(self) -> Mark:
        """Return the mark of this member's journal: its epoch, and the number of synced records."""
        epoch = self.own[-1]
        return Mark(epoch.count, epoch.id, self._writer.synced_position)

    def open(self, min_count: int) -> None:
        """Begin a new epoch of this member, with a count above its former ones and at least ``min_count``."""
        count = max(min_count, self.own[-1].count + 1 if self.own else 1)
        epoch = Epoch(count, f"{self._opening}.{count}", self._writer.position)
        self.own = (*self.own, epoch)[-MAX_EPOCHS:]
        self._writer.persist(EpochOpened(epoch))

    # --- the others' journals --------------------------------------------------------------------------

    def mark_of(self, name: str) -> Mark | None:
        """Return the newest known mark of a member's journal; None if there is none."""
        return self._marks.get(name)

    def record_mark(self, peer: str, mark: Mark) -> None:
        """Update a peer's mark; write it when its epoch changes and once per MARK_WRITE_INTERVAL records."""
        known = self._marks.get(peer)
        new = later(known, mark)
        self._marks[peer] = new
        if (
            known is None
            or new.id != known.id
            or new.position // MARK_WRITE_INTERVAL != known.position // MARK_WRITE_INTERVAL
        ):
            self._writer.persist(PeerMark(peer, new))

    def replace_mark(self, peer: str, mark: Mark) -> None:
        """Replace and persist a peer's mark, even if the new mark is not newer."""
        self._marks[peer] = mark
        self._writer.persist(PeerMark(peer, mark))

    def known_counts(self, names: tuple[str, ...]) -> tuple[EpochCount, ...]:
        """Return the newest known epoch count of each of these members.

        Answers carry these counts, so that the receiver drops grants of a member's former process.
        """
        return tuple((name, self._marks[name].count) for name in names if name in self._marks)

    # --- readmission -----------------------------------------------------------------------------------

    def on_readmit_appended(self, readmitted: ReadmittedEpoch) -> None:
        """Adopt the readmitted epoch as the member's newest as soon as the entry is in the log."""
        known = self._marks.get(readmitted.name)
        if known is not None and known.count < readmitted.count:
            self._marks[readmitted.name] = Mark(readmitted.count, readmitted.id, 0)

    def on_readmit_applied(self, readmitted: ReadmittedEpoch) -> None:
        """Write the mark of another member's readmitted epoch, once the entry is applied."""
        known = self._marks.get(readmitted.name)
        if known is None or known.count < readmitted.count or known.id == readmitted.id:
            position = known.position if known and known.id == readmitted.id else 0
            self.replace_mark(readmitted.name, Mark(readmitted.count, readmitted.id, position))

    # --- grants of former processes --------------------------------------------------------------------

    def record_reported_count(self, name: str, count: int) -> None:
        """Record the epoch count that an answer reported of a member, if it is the newest."""
        self._reported_counts[name] = max(self._reported_counts.get(name, 0), count)

    def clear_reported_counts(self) -> None:
        """Discard the counts reported before this candidacy."""
        self._reported_counts = {}

    def is_current(self, name: str, count: int) -> bool:
        """Return whether a vote or an acknowledgement given in this epoch counts.

        It does not if a newer epoch is known: the restarted process may have lost it and break its promise.
        """
        known = self._marks[name].count if name in self._marks and name != self._context.name else 0
        newest = max(known, self._reported_counts.get(name, 0))
        return newest <= count or not self._context.rules.on(Guard.OLD_EPOCH)
