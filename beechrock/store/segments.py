"""The segment files of one prefix: their names and sizes, and the newest, to which records are appended.

Invariants: a segment begins only after the one before was synced; segments are dropped from the oldest on;
after a write that failed its file ends where it did before, or the store has failed.
"""

import re
import threading

from beechrock.store import codec
from beechrock.store.codec import Header, Record
from beechrock.store.errors import RETRY, StoreFailedError
from beechrock.store.failure import NO_SPACE_ERRNOS, FailureState
from beechrock.store.files import Files
from beechrock.store.rewrite import UNFINISHED_SUFFIX, replace_file


def segment_name(prefix: str, number: int) -> str:
    """Return the file name of a segment."""
    return f"{prefix}-{number:010d}.log"


def list_segments(prefix: str, names: list[str]) -> tuple[list[int], list[str]]:
    """Return the segments' numbers, in order, and the files of this prefix that were never renamed."""
    pattern = re.compile(re.escape(prefix) + r"-(\d{10})\.log")
    numbers = sorted(int(match[1]) for match in map(pattern.fullmatch, names) if match)
    finished = [name.removesuffix(UNFINISHED_SUFFIX) for name in names if name.endswith(UNFINISHED_SUFFIX)]
    return numbers, [
        name + UNFINISHED_SUFFIX
        for name in finished
        if name in (f"{prefix}.mark", f"{prefix}.snap") or pattern.fullmatch(name)
    ]


class SegmentFiles:
    """The segments of an open store."""

    def __init__(
        self,
        files: Files,
        prefix: str,
        store_id: bytes,
        failure: FailureState,
        max_segment_bytes: int,
    ) -> None:
        self.sizes: dict[int, int] = {}  # bytes, by number
        self.number = 0  # of the newest
        self.held_bytes = 0  # of all segments
        self._files = files
        self._prefix = prefix
        self._store_id = store_id
        self._failure = failure
        self._max_segment_bytes = max_segment_bytes
        # Linux reports a failed write-back to one sync of a descriptor: a second one beside it would succeed.
        self._sync_lock = threading.Lock()

    @property
    def is_full(self) -> bool:
        """Return whether the next record needs another segment."""
        return not self.sizes or self.sizes[self.number] >= self._max_segment_bytes

    @property
    def is_half_full(self) -> bool:
        """Return whether dropping the newest segment would free over half of a segment."""
        return bool(self.sizes) and self.sizes[self.number] > self._max_segment_bytes // 2

    def name(self, number: int) -> str:
        """Return the file name of a segment."""
        return segment_name(self._prefix, number)

    def adopt(self, number: int, size: int, rewrite: bool) -> None:
        """Take in a segment that was found, of which ``size`` bytes are good; remove it if none is.

        ``rewrite``: write it anew, so that what is torn is durably gone. Else a later write could bring it
        back to life behind itself. OSError.
        """
        name = self.name(number)
        if size == 0:
            self._files.remove(name)
            return
        if rewrite:
            replace_file(self._files, name, self._files.read(name, 0, size))
        self.sizes[number] = size
        self.held_bytes += size
        self.number = number

    def append(self, data: bytes) -> int:
        """Write at the end of the newest segment and return the offset; durable after ``sync_newest``.

        StoreFullError: nothing is changed. StoreFailedError.
        """
        name = self.name(self.number)
        offset = self.sizes[self.number]
        try:
            self._files.write(name, offset, data)
        except OSError as error:
            try:
                self._files.truncate(name, offset)
            except OSError:
                self._failure.reason = f"{error}, and the half of it could not be cut off"
            raise self._failure.classify(error) from None
        self.sizes[self.number] = offset + len(data)
        self.held_bytes += len(data)
        return offset

    def start(self, first_seq: int, last_index: int) -> None:
        """Start the next segment; the caller has synced the one before, as the recovery goes by that."""
        name = self.name(self.number + 1)
        head = codec.encode_header(self._store_id, Header(self.number + 1, first_seq, last_index))
        try:
            self._files.write(name, 0, head)
            self._files.sync(name)
            self._files.sync_names()
        except OSError as error:
            self._remove_unusable(name, error)
            raise self._failure.classify(error) from None
        self.number += 1
        self.sizes[self.number] = len(head)
        self.held_bytes += len(head)

    def _remove_unusable(self, name: str, reason: OSError) -> None:
        """Remove the new segment durably.

        Come back after a power cut, it would not follow what the one before it got meanwhile, and that would
        be taken for damage.
        """
        try:
            self._files.remove(name)
            self._files.sync_names()
        except OSError:
            self._failure.reason = f"{reason}, and the new segment could not be taken away"

    def sync_newest(self) -> None:
        """Make what was appended durable; StoreFailedError, after which nobody knows what is."""
        name = self.name(self.number)
        with self._sync_lock:
            self._failure.check()
            try:
                self._files.sync(name)
            except OSError as error:  # what it could not write may be dropped: a second try lies
                self._failure.fail(error)

    def drop_before(self, number: int) -> None:
        """Remove the segments before this one; on a full disk the rest goes with the next snapshot."""
        for old in [held for held in self.sizes if held < number]:
            try:
                self._files.remove(self.name(old))
                self._files.sync_names()  # the oldest first: a power cut between leaves no gap
            except OSError as error:
                if error.errno in NO_SPACE_ERRNOS:
                    return
                self._failure.fail(error)
            self.held_bytes -= self.sizes.pop(old)

    def rewrite_newest(self, unsynced: bytes) -> None:
        """Write the newest segment into another file: its synced part from the disk, the rest from memory.

        OSError. StoreDamagedError: the synced part is not there any more.
        """
        # A segment that was begun while the disk failed: nothing is in it.
        self._files.remove(self.name(self.number + 1))
        self._files.sync_names()
        if not self.sizes:
            return
        name = self.name(self.number)
        size = self.sizes[self.number]
        synced = self._files.read(name, 0, size - len(unsynced))
        if len(synced) + len(unsynced) != size or not codec.is_complete_segment(self._store_id, synced):
            raise codec.damage_error("what had been synced does not fit its checksum", name)
        replace_file(self._files, name, synced + unsynced)

    def read_entry(self, index: int, number: int, offset: int) -> bytes:
        """Return an entry's content.

        StoreDamagedError; StoreFailedError where the disk does not give it now.
        """
        name = self.name(number)
        try:
            data = self._read_record(name, offset)
        except OSError as error:  # of this read alone: what stands is what stood
            raise StoreFailedError(
                str(error),
                where=f"{self._files.folder / name} at byte {offset}",
                wanted=f"entry {index}",
                do=RETRY,
            ) from None
        record: Record | None = codec.decode_record(self._store_id, data, 0)
        if record is None or record.index != index:
            raise codec.damage_error(f"entry {index} does not fit its checksum", f"{name} at byte {offset}")
        return record.data

    def _read_record(self, name: str, offset: int) -> bytes:
        """Read the head, which tells the length, then the whole record; less where the file ends."""
        head = self._files.read(name, offset, codec.RECORD_HEAD.size)
        length = codec.RECORD_HEAD.unpack(head)[2] if len(head) == codec.RECORD_HEAD.size else 0
        return self._files.read(name, offset, codec.RECORD_HEAD.size + length)
