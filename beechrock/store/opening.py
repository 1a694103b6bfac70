"""What the opening of a folder reads, decides by ``recover`` and makes durable."""

import secrets
from dataclasses import dataclass

from beechrock.store import codec
from beechrock.store.codec import Mark
from beechrock.store.files import Files
from beechrock.store.recover import Condition, RecoveredState, Recovery
from beechrock.store.rewrite import replace_file
from beechrock.store.segments import SegmentFiles, list_segments, segment_name


@dataclass(frozen=True, slots=True)
class FolderScan:
    """What the files of a prefix still prove; nothing but unfinished files was changed yet."""

    mark: Mark  # of the opening before; of a new store its new id alone
    recovery: Recovery
    good_bytes: dict[int, int]  # of each segment, by number
    snapshot_bytes: int
    log_is_behind: bool  # the snapshot is past all entries, and the log has to begin anew behind it
    is_new: bool

    @property
    def recovered(self) -> RecoveredState:
        """Return what the opening met, and where."""
        if self.recovery.torn:
            return RecoveredState(Condition.TORN, self.recovery.torn)
        return RecoveredState(Condition.NEW if self.is_new else Condition.CLEAN)


def scan_folder(files: Files, prefix: str) -> FolderScan:
    """Read all files of a prefix. OSError as the disk gives it; StoreDamagedError, StoreTooNewError."""
    names = files.names()
    numbers, unfinished = list_segments(prefix, names)
    for name in unfinished:
        files.remove(name)
    mark, synced, is_new = _read_mark(files, prefix, names, bool(numbers))
    recovery = Recovery(mark.id, synced)
    snapshot_bytes = _read_snapshot(files, f"{prefix}.snap", names, recovery)
    good_bytes = {}
    for number in numbers:
        name = segment_name(prefix, number)
        newest = number == numbers[-1]
        good_bytes[number] = recovery.add_segment(name, number, files.read(name), newest)
    log_is_behind = recovery.finish(prefix)
    return FolderScan(mark, recovery, good_bytes, snapshot_bytes, log_is_behind, is_new)


def _read_mark(files: Files, prefix: str, names: list[str], has_log: bool) -> tuple[Mark, int, bool]:
    """Return the mark, the records that it or its hint tells as durable, and whether the store is new."""
    name = f"{prefix}.mark"
    if name in names:
        mark, hinted = codec.decode_mark(files.read(name), name)
        return mark, max(mark.synced, hinted), False
    if has_log or f"{prefix}.snap" in names:
        raise codec.damage_error("missing, though its log is there", name)
    return Mark(secrets.token_bytes(16), 0, 0, b"", ()), 0, True


def _read_snapshot(files: Files, name: str, names: list[str], recovery: Recovery) -> int:
    """Tell the recovery of the snapshot, if there is one, and return the file's size in bytes."""
    if name not in names:
        return 0
    encoded = files.read(name)
    snapshot = codec.decode_snapshot(recovery.store_id, encoded, name)
    recovery.snapshot_index = snapshot.index
    recovery.snapshot_seq = snapshot.seq
    return len(encoded)


def adopt_segments(segments: SegmentFiles, scan: FolderScan) -> None:
    """Take in the segments that were found, and make what was read of them durable. OSError.

    What is read may be in the kernel's memory alone. Where no sync is known to have covered it, one before
    the restart may have failed, and another would say yes to what was dropped. All before the newest segment
    was synced before that was started.
    """
    found = scan.recovery
    for number, size in scan.good_bytes.items():
        newest = number == max(scan.good_bytes)
        segments.adopt(number, size, rewrite=newest and (not found.newest_segment_synced or bool(found.torn)))


def start_epoch(files: Files, prefix: str, before: Mark, seq: int) -> Mark:
    """Write the mark of this opening, which found ``seq`` records, and return it. OSError."""
    digest = secrets.token_bytes(16)
    openings = (*before.openings, (digest, seq))[-codec.MAX_OPENINGS :]
    mark = Mark(before.id, before.epoch + 1, seq, digest, openings)
    replace_file(files, f"{prefix}.mark", codec.encode_mark(mark))
    return mark
