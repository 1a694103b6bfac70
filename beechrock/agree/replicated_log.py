"""The log of one member, with its commit and applied indices and the voters that it sets.

States: entries up to the log's end, of which those up to ``commit`` are committed and, at the end of each
event, applied; the voters in force. Events: entries are appended or replaced, committed, compacted into a
snapshot, or all replaced by a snapshot of the leader.

Invariants: an entry at or before the commit is never removed by truncation; the commit and applied indices
never fall, and neither passes the log's end; a snapshot covers applied entries only; the digest covers all
applied entries, so members that applied the same entries have the same digest. A violation raises
BrokenInvariantError.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from beechrock.agree.context import EventContext
from beechrock.agree.epochs import EpochTable, ReadmittedEpoch
from beechrock.agree.errors import BrokenInvariantError
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.log import Log
from beechrock.agree.messages import Apply, Entry, EntryKind, Restore, Snapshot
from beechrock.agree.voters import Voters

MAX_DIGESTS = 256  # Number of newest applied indices whose digests are kept to compare with the leader's


@dataclass(frozen=True, slots=True)
class IndexDigest:
    """The digest of all entries applied up to an index."""

    index: int
    digest: bytes


NO_DIGEST = IndexDigest(0, b"")


def next_digest(digest: bytes, entry: Entry) -> bytes:
    """Return the digest of all applied entries up to this one."""
    head = f"{entry.index} {entry.term} {entry.kind} {entry.proposer} {entry.life} {entry.seq} ".encode()
    return blake2b(digest + head + entry.data, digest_size=16).digest()


class ReplicatedLog:
    """Log, commit, applied index, digest and voters of this member.

    ``initial_voters``: voters as long as the log sets none.
    """

    def __init__(
        self,
        context: EventContext,
        log: Log,
        writer: JournalWriter,
        epochs: EpochTable,
        initial_voters: tuple[str, ...],
    ) -> None:
        self._context = context
        self.log = log
        self._writer = writer
        self._epochs = epochs
        snapshot = log.snapshot
        self.voters = Voters(snapshot.voters, snapshot.voters_index) if snapshot else Voters(initial_voters)
        self.commit = log.start
        self.applied = log.start
        self.digest = snapshot.digest if snapshot else bytes(16)
        self._digests: deque[IndexDigest] = deque(maxlen=MAX_DIGESTS)
        self._readmission_listeners: list[Callable[[ReadmittedEpoch], None]] = []
        for entry in log.entries:
            self._on_appended(entry)

    def on_readmission(self, listener: Callable[[ReadmittedEpoch], None]) -> None:
        """Register a listener that is called when an entry that readmits a member is applied."""
        self._readmission_listeners.append(listener)

    def may_still_vote(self, name: str) -> bool:
        """Return whether the member is a voter, or was one before a change that may still be undone."""
        return any(name in voters.names for voters in self.voters.sets)

    # --- appending -------------------------------------------------------------------------------------

    def _on_appended(self, entry: Entry) -> None:
        """Apply the effects that an entry has once it is in the log, committed or not."""
        self.voters.append(entry)
        if entry.kind is EntryKind.READMIT:
            self._epochs.on_readmit_appended(ReadmittedEpoch.unpack(entry.data))

    def write_entries(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, after removing any entries from the first one's index on.

        Raises BrokenInvariantError if that would remove a committed entry.
        """
        first = entries[0].index
        if first <= self.log.last:
            if first <= self.commit:
                raise BrokenInvariantError(
                    f"entry {first} would be cut, commit is {self.commit}",
                    where=f"agreed log of {self._context.name}",
                )
            self.log.truncate(first)
            self.voters.truncate(first)
            self._writer.limit_synced(first - 1)
        for entry in entries:
            self.log.append(entry)
            self._on_appended(entry)
        self._writer.persist(*entries)

    # --- committing ------------------------------------------------------------------------------------

    def commit_up_to(self, index: int) -> None:
        """Commit and apply the entries up to ``index``. Raises BrokenInvariantError beyond the log's end."""
        if index <= self.commit:
            return
        if index > self.log.last:
            raise BrokenInvariantError(
                f"commit {index} beyond the log's end {self.log.last}",
                where=f"agreed log of {self._context.name}",
            )
        self.commit = index
        self.voters.forget(index)
        while self.applied < self.commit:
            entry = self.log.entry(self.applied + 1)
            self.applied += 1
            self.digest = next_digest(self.digest, entry)
            self._digests.append(IndexDigest(self.applied, self.digest))
            self._context.emit(Apply(entry, self.digest))
            if entry.kind is EntryKind.READMIT:
                readmitted = ReadmittedEpoch.unpack(entry.data)
                for listener in self._readmission_listeners:
                    listener(readmitted)

    def newest_digest(self) -> IndexDigest:
        """Return the digest of all applied entries with their last index; NO_DIGEST if none is known."""
        return self._digests[-1] if self._digests else NO_DIGEST

    def compare_digest(self, index: int, digest: bytes) -> None:
        """Raise BrokenInvariantError if the leader's digest at the index differs from this member's."""
        for own in reversed(self._digests):
            if own.index == index and own.digest != digest:
                raise BrokenInvariantError(
                    f"applied up to {index}, and the leader applied something else",
                    where=f"agreed log of {self._context.name}",
                    do="empty this node's folder and start it: it then copies the log from the leader",
                )

    # --- snapshots -------------------------------------------------------------------------------------

    def make_snapshot(self, index: int, digest: bytes, data: bytes) -> Snapshot:
        """Return a snapshot at an applied index. Raises BrokenInvariantError for any other."""
        voters = self.voters.at(index)
        term = self.log.term_at(index)
        if term is None or index > self.applied:
            raise BrokenInvariantError(
                f"snapshot at {index}, applied {self.applied}", where=f"agreed log of {self._context.name}"
            )
        return Snapshot(index, term, voters.index, voters.names, digest, data)

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the log by the leader's snapshot, and return True.

        If the log already holds the snapshot's last entry, only commit up to it, and return False.
        """
        if self.log.term_at(snapshot.index) == snapshot.term and snapshot.index > self.log.start:
            self.commit_up_to(snapshot.index)
            return False
        self.log.restart(snapshot)
        self.voters = Voters(snapshot.voters, snapshot.voters_index)
        self.commit = snapshot.index
        self.applied = snapshot.index
        self.digest = snapshot.digest
        self._digests.clear()
        self._writer.limit_synced(min(self._writer.synced_index, snapshot.index))
        self._writer.persist(snapshot)
        self._context.emit(Restore(snapshot))
        return True
