"""What syncs have proved: records by sequence number, entries by index, and the bytes of what came later.

Events: ``record_written`` and ``entries_cut`` by the owner; ``entries_synced`` and ``records_synced`` after a
sync, which may run in a thread beside the owner. Invariants: ``synced_index`` is never above an index that
was cut after the sync looked; ``unsynced`` holds every record above ``synced_seq``.
"""

import threading
from collections import deque
from dataclasses import dataclass

from beechrock.store import codec
from beechrock.store.codec import Kind
from beechrock.store.errors import StoreMisuseError


@dataclass(frozen=True, slots=True)
class UnsyncedRecord:
    """A record as it was written, which no sync has covered yet."""

    seq: int
    data: bytes


class SyncProgress:
    """How far syncs have come; the lock stands between a sync in a thread and a cut of the owner."""

    def __init__(self) -> None:
        self.seq = 0  # of the newest record written
        self.synced_seq = 0  # records that are durable
        self.synced_index = 0  # entries that are durable
        self.cuts = 0  # how often entries were cut or reset
        self.unsynced: deque[UnsyncedRecord] = deque()  # bounded by the size of a segment
        self._lock = threading.Lock()

    def record_written(self, data: bytes) -> None:
        """Note the next record, which is in the file and not durable."""
        self.seq += 1
        self.unsynced.append(UnsyncedRecord(self.seq, data))

    def entries_cut(self, index: int) -> None:
        """Note that entries above ``index`` are forgotten; call it after they left the table."""
        with self._lock:
            self.synced_index = min(self.synced_index, index)
            self.cuts += 1

    def entries_synced(self, index: int, cuts: int) -> None:
        """Note that entries up to ``index`` are durable, unless one was cut since ``cuts`` was read."""
        with self._lock:
            if cuts == self.cuts:
                self.synced_index = max(self.synced_index, index)

    def all_entries_synced(self, index: int) -> None:
        """Note that every entry, up to ``index``, is durable."""
        with self._lock:
            self.synced_index = index

    def records_synced(self, seq: int) -> None:
        """Note that records up to ``seq`` are durable, and drop their bytes."""
        with self._lock:
            self.synced_seq = max(self.synced_seq, seq)
            while self.unsynced and self.unsynced[0].seq <= self.synced_seq:
                self.unsynced.popleft()

    def unsynced_bytes(self) -> bytes:
        """Return all records that no sync has covered, in order."""
        return b"".join(record.data for record in self.unsynced)

    def unsynced_entry(self, store_id: bytes, index: int) -> bytes:
        """Return an entry that no sync has covered; the newest of this index, as one may have been cut.

        StoreMisuseError if there is none.
        """
        for unsynced in reversed(self.unsynced):
            record = codec.decode_record(store_id, unsynced.data, 0)
            if record is not None and record.kind is Kind.ENTRY and record.index == index:
                return record.data
        raise StoreMisuseError(f"entry {index}", wanted="one that was appended and not synced")
