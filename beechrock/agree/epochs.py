"""The epochs of all members' journals, as this member knows them: its own, and the newest of each other one.

States: the own epochs, oldest first; a mark (epoch and synced records) of each peer that was heard from; the
counts that answers carried in this term. Events: an opening of the own journal, a mark in a message, a report
of a count, an entry that readmits a member.

Invariants: counts of the own epochs grow; a peer's mark is on its way to the journal before what rests on it
is answered; a grant under an epoch that is known to have a successor does not count.
"""

from dataclasses import dataclass

from beechrock.agree.context import EventContext
from beechrock.agree.journal import RecoveredState
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.marks import later
from beechrock.agree.messages import Epoch, EpochCount, EpochOpened, Mark, PeerMark
from beechrock.agree.rules import MAX_EPOCHS, Guard

MARK_RECORDS = 64  # records of a peer's journal from one written mark of it to the next


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
    """``opening``: a name that no other start of any member has."""

    def __init__(
        self, context: EventContext, writer: JournalWriter, recovered: RecoveredState, opening: str
    ) -> None:
        self._context = context
        self._writer = writer
        self._opening = opening
        self._marks: dict[str, Mark] = dict(recovered.peer_marks)
        self._reported_counts: dict[str, int] = {}  # by member: the newest that answers carried
        self.own: tuple[Epoch, ...] = recovered.epochs  # oldest first

    # --- the own journal -------------------------------------------------------------------------------

    @property
    def current(self) -> Epoch:
        """The epoch of this process."""
        return self.own[-1]

    def own_mark(self) -> Mark:
        """Return how far the own journal is synced."""
        epoch = self.own[-1]
        return Mark(epoch.count, epoch.id, self._writer.synced_position)

    def open(self, min_count: int) -> None:
        """Begin an epoch whose count is above all own ones, and at least ``min_count``."""
        count = max(min_count, self.own[-1].count + 1 if self.own else 1)
        epoch = Epoch(count, f"{self._opening}.{count}", self._writer.position)
        self.own = (*self.own, epoch)[-MAX_EPOCHS:]
        self._writer.persist(EpochOpened(epoch))

    # --- the others' journals --------------------------------------------------------------------------

    def mark_of(self, name: str) -> Mark | None:
        """Return what is known of a member's journal."""
        return self._marks.get(name)

    def record_mark(self, peer: str, mark: Mark) -> None:
        """Remember how far a peer's journal is; written when its epoch changes, or each MARK_RECORDS."""
        known = self._marks.get(peer)
        new = later(known, mark)
        self._marks[peer] = new
        if (
            known is None
            or new.id != known.id
            or new.position // MARK_RECORDS != known.position // MARK_RECORDS
        ):
            self._writer.persist(PeerMark(peer, new))

    def replace_mark(self, peer: str, mark: Mark) -> None:
        """Remember and write what a peer's journal is from now on."""
        self._marks[peer] = mark
        self._writer.persist(PeerMark(peer, mark))

    def known_counts(self, names: tuple[str, ...]) -> tuple[EpochCount, ...]:
        """Return the newest epochs known of these members.

        An answer carries them, so that what a former process granted is dropped.
        """
        return tuple((name, self._marks[name].count) for name in names if name in self._marks)

    # --- readmission -----------------------------------------------------------------------------------

    def on_readmit_appended(self, readmitted: ReadmittedEpoch) -> None:
        """Count the named epoch as the member's as soon as the entry stands in the log."""
        known = self._marks.get(readmitted.name)
        if known is not None and known.count < readmitted.count:
            self._marks[readmitted.name] = Mark(readmitted.count, readmitted.id, 0)

    def on_readmit_applied(self, readmitted: ReadmittedEpoch) -> None:
        """Write down the epoch of another member that votes again."""
        known = self._marks.get(readmitted.name)
        if known is None or known.count < readmitted.count or known.id == readmitted.id:
            position = known.position if known and known.id == readmitted.id else 0
            self.replace_mark(readmitted.name, Mark(readmitted.count, readmitted.id, position))

    # --- grants of former processes --------------------------------------------------------------------

    def record_reported_count(self, name: str, count: int) -> None:
        """Remember the newest epoch that was reported of a member."""
        self._reported_counts[name] = max(self._reported_counts.get(name, 0), count)

    def clear_reported_counts(self) -> None:
        """Forget what answers of an earlier candidacy reported."""
        self._reported_counts = {}

    def is_current(self, name: str, count: int) -> bool:
        """Return whether a grant of this epoch counts.

        False where the epoch has a successor: that one forgot the grant and may grant otherwise.
        """
        known = self._marks[name].count if name in self._marks and name != self._context.name else 0
        newest = max(known, self._reported_counts.get(name, 0))
        return newest <= count or not self._context.rules.on(Guard.OLD_EPOCH)
