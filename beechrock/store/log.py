"""The store: entries, one snapshot and the mark, in files of one prefix.

``sync`` may run in a thread beside appends; all else is the owner's. An OSError that leaves open what is on
disk makes the store refuse everything: StoreFailedError, until ``rewrite`` has written anew what no sync had
proved, or the store is opened again.
"""

from beechrock.store import codec
from beechrock.store.codec import Kind, Mark, Record, Snapshot
from beechrock.store.entry_table import EntryTable
from beechrock.store.errors import StoreFullError, StoreMisuseError
from beechrock.store.failure import FailureState
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits
from beechrock.store.opening import FolderScan, adopt_segments, scan_folder, start_epoch
from beechrock.store.progress import SyncProgress
from beechrock.store.segments import SegmentFiles
from beechrock.store.snapshot import PendingSnapshot, SnapshotFile


class Store:
    """``Store.open(files, prefix, limits)``; entries at indices from 1 that grow by one."""

    def __init__(
        self,
        files: Files,
        prefix: str,
        limits: StoreLimits,
        scan: FolderScan,
        failure: FailureState,
    ) -> None:
        self.files = files
        self.prefix = prefix
        self.limits = limits
        self.recovered = scan.recovered
        self.opening_mark = scan.mark  # of this opening, once ``open`` has started its epoch
        self.progress = SyncProgress()
        self.progress.seq = scan.recovery.seq
        self.entry_table = EntryTable(scan.recovery.last, scan.recovery.places)
        # Small enough that a full store gets room by a snapshot, as whole segments are dropped.
        max_segment_bytes = min(limits.segment_bytes, limits.max_bytes // 8)
        self.segments = SegmentFiles(files, prefix, scan.mark.id, failure, max_segment_bytes)
        self.snapshot_file = SnapshotFile(files, f"{prefix}.snap", failure, scan.snapshot_bytes)
        self._failure = failure

    @classmethod
    def open(cls, files: Files, prefix: str, limits: StoreLimits | None = None) -> "Store":
        """Open the store of this prefix, or make it.

        StoreDamagedError, StoreTooNewError; StoreFullError or StoreFailedError for what the disk says.
        """
        failure = FailureState(str(files.folder / prefix))
        try:
            scan = scan_folder(files, prefix)
            store = cls(files, prefix, limits or StoreLimits(), scan, failure)
            store._make_durable(scan)
        except OSError as error:
            raise failure.classify_at_opening(error) from None
        return store

    def _make_durable(self, scan: FolderScan) -> None:
        """Make all that the opening found durable, and start this opening's epoch. OSError."""
        adopt_segments(self.segments, scan)
        self.files.sync_names()
        self.opening_mark = start_epoch(self.files, self.prefix, scan.mark, self.progress.seq)
        self.progress.synced_index = self.last
        self.progress.synced_seq = self.progress.seq
        if scan.log_is_behind:
            self._reset(self.last)
        self._drop_old_segments()

    @property
    def failed(self) -> str:
        """Return why nothing more is promised; empty while the disk does what it is asked."""
        return self._failure.reason

    @property
    def first(self) -> int:
        """Return the index of the oldest entry; above ``last`` where there is none."""
        return self.entry_table.first

    @property
    def last(self) -> int:
        """Return the index of the newest entry."""
        return self.entry_table.last

    @property
    def synced(self) -> int:
        """Return the index up to which entries are durable."""
        return self.progress.synced_index

    @property
    def bytes_held(self) -> int:
        """Return the size of all segments and the snapshot, in bytes."""
        return self.segments.held_bytes + self.snapshot_file.held_bytes

    def entry(self, index: int) -> bytes:
        """Return an entry's content.

        StoreMisuseError, StoreDamagedError; StoreFailedError where the disk does not give it now.
        """
        if not self.first <= index <= self.last:
            raise StoreMisuseError(f"entry {index}", where=self.prefix, wanted=f"{self.first} to {self.last}")
        # What a failed sync did not write may be gone from the kernel's cache too.
        if self.failed and index > self.synced:
            return self.progress.unsynced_entry(self.opening_mark.id, index)
        place = self.entry_table.place(index)
        return self.segments.read_entry(index, place.segment, place.offset)

    def entries(self, first: int, max_bytes: int) -> list[bytes]:
        """Return entries from this index on, up to so many bytes; at least one if there is one."""
        found: list[bytes] = []
        size, index = 0, first
        while index <= self.last and (not found or size < max_bytes):
            data = self.entry(index)
            size, index = size + len(data), index + 1
            if not found or size <= max_bytes:
                found.append(data)
        return found

    def snapshot(self) -> tuple[int, bytes] | None:
        """Return the index and content of the snapshot, if there is one. OSError; StoreDamagedError."""
        snapshot = self.snapshot_file.read(self.opening_mark.id)
        return (snapshot.index, snapshot.data) if snapshot is not None else None

    def mark(self) -> Mark:
        """Return how far this store is, for others to remember: only what is durable."""
        mark = self.opening_mark
        return Mark(mark.id, mark.epoch, self.progress.synced_seq, mark.digest, mark.openings)

    def append(self, data: bytes) -> int:
        """Add an entry and return its index; durable after ``sync``. StoreFullError: nothing is changed."""
        size = codec.RECORD_HEAD.size + len(data)
        if len(data) > self.limits.max_entry_bytes:
            raise StoreFullError(
                f"an entry of {len(data)} bytes",
                where=self.prefix,
                wanted=f"at most {self.limits.max_entry_bytes}",
                do="send less at once",
            )
        if self.bytes_held + size > self.limits.max_bytes:
            raise StoreFullError(
                f"holds {self.bytes_held} of {self.limits.max_bytes} bytes",
                where=self.prefix,
                wanted="room for one more entry",
                do="wait for what it holds to be done, or raise most_mb",
            )
        offset = self._write(Kind.ENTRY, self.last + 1, data)
        return self.entry_table.add(self.segments.number, offset)

    def cut_after(self, index: int) -> None:
        """Forget entries above ``index``; as durable as an entry is. StoreMisuseError."""
        if index == self.last:
            return
        if not self.first - 1 <= index < self.last:
            raise StoreMisuseError(
                f"a cut after {index}", where=self.prefix, wanted=f"{self.first - 1} to {self.last}"
            )
        self._write(Kind.CUT, index, b"")
        self.entry_table.cut_after(index)
        self.progress.entries_cut(index)

    def sync(self) -> None:
        """Make all appended before the call durable; StoreFailedError, and then nobody knows what is."""
        self._failure.check()
        # The cuts first: one that came between would else count as seen, and what it cut as synced.
        cuts = self.progress.cuts
        seq, last = self.progress.seq, self.last
        if seq == self.progress.synced_seq:
            return
        self.segments.sync_newest()
        self.progress.entries_synced(last, cuts)
        self._note_synced(seq)

    def save_snapshot(self, index: int, data: bytes) -> None:
        """Save a snapshot, durably; entries up to the index are forgotten, all where it is past them.

        StoreFullError: nothing is changed, or the log is not shorter yet. StoreFailedError, StoreMisuseError.
        """
        if index < self.first - 1:
            raise StoreMisuseError(
                f"a snapshot of {index}", where=self.prefix, wanted=f"{self.first - 1} or later"
            )
        self.sync()  # what a cut has dropped is not to come back under the snapshot
        encoded = codec.encode_snapshot(self.opening_mark.id, Snapshot(index, self.progress.seq, data))
        snapshot = PendingSnapshot(index, encoded)
        self.snapshot_file.save(snapshot)
        self._follow_snapshot(snapshot)

    def rewrite(self) -> None:
        """Write anew, after StoreFailedError, what was not proved: from memory, into another file.

        The kernel may have dropped what it could not write and calls the file clean, so that a later sync of
        it proves nothing. A snapshot that was being saved is saved. StoreFailedError: the disk still fails;
        StoreDamagedError: what had been proved is gone.
        """
        if not self.failed:
            return
        try:
            self.segments.rewrite_newest(self.progress.unsynced_bytes())
            self.snapshot_file.save_pending()
        except OSError as error:
            self._failure.fail(error)
        self._failure.clear()
        self.progress.all_entries_synced(self.last)
        self._note_synced(self.progress.seq)
        # A pending snapshot stands now; without this the log would keep the entries that it holds.
        if self.snapshot_file.pending is not None:
            self._follow_snapshot(self.snapshot_file.pending)

    def close(self) -> None:
        """Close the files; nothing is synced by it."""
        self.files.close()

    def _follow_snapshot(self, snapshot: PendingSnapshot) -> None:
        """Let the log go on behind a snapshot that stands, durably; ``rewrite`` does again what fails here.

        A log that went on before the snapshot's index would be begun anew by the next opening, which would
        forget what had been promised meanwhile.
        """
        self.snapshot_file.pending = snapshot
        self.snapshot_file.held_bytes = len(snapshot.encoded)
        if snapshot.index > self.last:
            try:
                self._reset(snapshot.index)
            except StoreFullError as error:
                self._failure.fail(error)
        self.snapshot_file.pending = None
        self.entry_table.drop_through(snapshot.index)
        self._drop_old_segments()

    def _write(self, kind: Kind, index: int, data: bytes) -> int:
        """Append a record, in another segment if this one is full, and return its offset."""
        self._failure.check()
        if self.segments.is_full:
            self._start_segment()
        record = Record(kind, self.progress.seq + 1, index, self.progress.synced_seq, data)
        encoded = codec.encode_record(self.opening_mark.id, record)
        offset = self.segments.append(encoded)
        self.progress.record_written(encoded)
        return offset

    def _start_segment(self) -> None:
        if self.segments.sizes:
            self.sync()
        self.segments.start(self.progress.seq + 1, self.last)

    def _reset(self, index: int) -> None:
        """Begin the entries anew behind ``index``, durably."""
        self._write(Kind.RESET, index, b"")
        self.entry_table.reset(index)
        self.progress.cuts += 1
        self.sync()
        self.progress.synced_index = index

    def _drop_old_segments(self) -> None:
        """Drop the segments before the oldest entry; where none is held, all but a new one."""
        oldest = self.entry_table.oldest_segment
        if oldest is None:
            if self.segments.is_half_full:
                self._start_segment()
            oldest = self.segments.number
        self.segments.drop_before(oldest)

    def _note_synced(self, seq: int) -> None:
        """Write the hint in place, not synced: it comes to disk late or never, never before what it tells."""
        self.progress.records_synced(seq)
        hint = codec.encode_hint(self.opening_mark, self.progress.synced_seq)
        try:
            self.files.write(f"{self.prefix}.mark", codec.HINT_OFFSET, hint)
        except OSError:
            return  # only the finding of damage rests on it
