"""The snapshot file of one prefix, and a snapshot that may stand on disk or not."""

from contextlib import suppress
from dataclasses import dataclass

from beechrock.store import codec
from beechrock.store.codec import Snapshot
from beechrock.store.failure import FailureState
from beechrock.store.files import Files
from beechrock.store.rewrite import UNFINISHED_SUFFIX, put_in_place, replace_file, write_beside


@dataclass(frozen=True, slots=True)
class PendingSnapshot:
    """A snapshot in its written form, which may stand or not, or which the log does not follow yet."""

    index: int
    encoded: bytes


class SnapshotFile:
    """The newest snapshot of an open store."""

    def __init__(self, files: Files, name: str, failure: FailureState, held_bytes: int) -> None:
        self.held_bytes = held_bytes  # of the file; 0: there is none
        self.pending: PendingSnapshot | None = None
        self._files = files
        self._name = name
        self._failure = failure

    def read(self, store_id: bytes) -> Snapshot | None:
        """Return the snapshot that stands. OSError as the disk gives it; StoreDamagedError."""
        if not self.held_bytes:
            return None
        return codec.decode_snapshot(store_id, self._files.read(self._name), self._name)

    def save(self, snapshot: PendingSnapshot) -> None:
        """Put a snapshot durably in place of the one before.

        StoreFullError: the one before stands. StoreFailedError: it stays pending, if either may stand.
        """
        try:
            write_beside(self._files, self._name, snapshot.encoded)
        except OSError as error:
            with suppress(OSError):  # the next one removes it first
                self._files.remove(self._name + UNFINISHED_SUFFIX)
            raise self._failure.classify(error) from None
        try:
            put_in_place(self._files, self._name)
        except OSError as error:  # nobody knows which of them stands
            self.pending = snapshot
            self._failure.fail(error)

    def save_pending(self) -> None:
        """Save the pending snapshot once more, if there is one. OSError as the disk gives it."""
        if self.pending is not None:
            replace_file(self._files, self._name, self.pending.encoded)
