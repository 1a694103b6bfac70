"""Stores a node's records on disk: log, snapshot, and the marks of the other nodes' stores."""

from dataclasses import dataclass, field
from typing import Any

from beechrock.replica import journal
from beechrock.replica.core import Core
from beechrock.replica.messages import Held
from beechrock.store.codec import Mark
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store
from beechrock.store.recover import Condition
from beechrock.store.witness import MAX_PEERS, SAVE_EACH_RECORDS, Verdict, Witness, advance_mark

PREFIX = "replica"
# Bytes of log after which a snapshot is made; the log must also exceed half of the last snapshot.
SNAPSHOT_LOG_BYTES = 16 << 20


@dataclass(slots=True)
class Disk:
    files: Files
    most_mb: int = 256
    snapshot_each: int = SNAPSHOT_LOG_BYTES
    store: Store = field(init=False)
    witness: Witness = field(init=False)
    loaded: journal.Loaded = field(init=False)
    pending: list[bytes] = field(default_factory=list)  # Encoded entries that are not in the store yet.
    marks_unsaved: bool = False  # Whether marks of other nodes' stores have to be saved.

    def __post_init__(self) -> None:
        """Open the store and load its contents. Raises StoreError, ReplicaRecordError or OSError."""
        self.store = Store.open(self.files, PREFIX, StoreLimits(max_bytes=self.most_mb << 20))
        self.witness = Witness(self.files, f"{PREFIX}.witness")
        blank = self.store.recovered.condition is Condition.NEW or (
            self.store.last < self.store.first and self.store.snapshot() is None
        )
        self.loaded = journal.Loaded(forgot=blank)
        # This has to be the first entry: a node that was killed before its first copy ended would otherwise
        # restart as one that has lost nothing.
        if blank:
            self.pending.append(journal.blank())
        if (found := self.store.snapshot()) is not None:
            self.loaded.snapshot(found[1])
        index = self.store.first
        while index <= self.store.last:
            self.loaded.entry(self.store.entry(index))
            index += 1

    def core(self, name: str, writer: str, others: tuple[str, ...], base: int, **more: Any) -> Core:
        """Return a core with the records that were loaded."""
        core = Core(
            name,
            writer,
            others,
            base,
            self.mark,
            self.judge,
            forgot=self.loaded.forgot,
            cursor=self.loaded.cursor,
            promised=self.promised,
            **more,
        )
        self.loaded.install_into(core)
        return core

    def mark(self) -> tuple[bytes, bytes]:
        found = self.store.mark()
        return found.to_bytes(), found.digest

    def judge(self, peer: str, packed: bytes, believe: bool) -> Verdict:
        """Judge a peer's mark by the one that is remembered, and remember it if it is newer. ``believe``:
        accept an older mark too, or one of another store. Raises StoreDamagedError for bytes that are no
        mark."""
        mark = Mark.from_bytes(packed)
        verdict = self.witness.judge(peer, mark)
        if believe and verdict in (Verdict.OLDER, Verdict.OTHER):
            verdict = Verdict.NEWER
        known = self.witness.known
        if verdict is Verdict.NEWER and (peer in known or len(known) < MAX_PEERS):
            before = known.get(peer)
            self._remember_mark(peer, mark, before is None or before.digest != mark.digest)
        return verdict

    def promised(self, peer: str, held: Held) -> None:
        """Remember how many records the peer had synced when it sent a promise. If its disk loses one of
        them, its next mark is judged as older."""
        if (mark := advance_mark(self.witness.known.get(peer), held.digest, held.synced)) is not None:
            self._remember_mark(peer, mark, False)

    def _remember_mark(self, peer: str, mark: Mark, save: bool) -> None:
        # A new dictionary, as the disk's thread may be writing the old one.
        self.witness.known = {**self.witness.known, peer: mark}
        late = mark.synced >= self.witness.saved.get(peer, 0) + SAVE_EACH_RECORDS
        self.marks_unsaved = self.marks_unsaved or late or save

    def held(self) -> Held:
        return Held(self.store.opening_mark.digest, self.store.progress.synced_seq)

    def append(self, core: Core) -> bool:
        """Queue the entries for all changes since the last call. Return whether there is anything to write or
        sync."""
        self.pending += journal.entries(core)
        # After a failed sync nothing may be pending, but the written entries still have to be synced.
        return (
            bool(self.pending)
            or self.marks_unsaved
            or self.store.progress.synced_seq < self.store.progress.seq
        )

    def sync(self) -> None:
        """Write and sync the pending entries; may run in a thread. Raises StoreFullError, for which a
        snapshot makes room, or StoreFailedError, after which no message that depends on the entries may be
        sent; the next call tries again."""
        self.store.rewrite()
        while self.pending:
            self.store.append(self.pending[0])
            del self.pending[0]
        self.store.sync()
        if (
            self.marks_unsaved
        ):  # Saved here and not on receipt: a disk that stalls must not block the service.
            self.marks_unsaved = False
            try:
                self.witness.save()
            except OSError:
                self.marks_unsaved = True  # The disk may be full: the next sync tries again.

    @property
    def long(self) -> bool:
        """Whether the log is so long that a snapshot should replace it."""
        return self.store.segments.held_bytes > max(
            self.snapshot_each, self.store.snapshot_file.held_bytes // 2
        )

    def save(self, index: int, parts: list[bytes]) -> None:
        """Write a snapshot that replaces the log up to ``index``. Must not run at the same time as
        ``sync``."""
        self.store.rewrite()
        self.store.save_snapshot(index, b"".join(parts))
