"""Highest fence of each duty, kept by a receiver of the duty's effects to refuse effects under a lower fence.

Invariants: a fence is durable before an effect under it is accepted, so a restart cannot admit an older
fence; the highest accepted fence of a duty never decreases. The caller opens the store. Each higher fence
appends one entry to it, and a snapshot is taken every ``SNAPSHOT_ENTRIES`` entries.
"""

from collections.abc import Callable
from typing import Protocol

import msgpack

from beechrock.duties.errors import FenceUnkeptError
from beechrock.duties.guards import Guard
from beechrock.duties.model import MAX_DUTIES
from beechrock.errors import OperatorError

SNAPSHOT_ENTRIES = 1024  # number of log entries after which a snapshot replaces them
VERSION = 1  # format version of the snapshot


class FenceStore(Protocol):
    """The part of beechrock.store's Store that ``Fences`` uses."""

    @property
    def first(self) -> int:
        """Index of the oldest entry in the store."""

    @property
    def last(self) -> int:
        """Index of the last entry."""

    def append(self, data: bytes) -> int:
        """Append an entry and return its index."""

    def sync(self) -> None:
        """Make all entries durable."""

    def entry(self, index: int) -> bytes:
        """Return the data of the entry at ``index``."""

    def snapshot(self) -> tuple[int, bytes] | None:
        """Return the index and data of the snapshot, or None if there is none."""

    def save_snapshot(self, index: int, data: bytes) -> None:
        """Save a snapshot that replaces all entries up to and including ``index``."""


def _no_floor(duty: str) -> int:
    return 0


class Fences:
    """Highest accepted fence of each duty at one receiver.

    ``floor`` returns the highest fence of a duty in this member's copy of the agreed log, or 0 without such a
    copy. Lower fences are refused, which covers a store folder restored from an older copy and a grant whose
    first effect has not arrived yet. ``without`` names the guards to disable, for tests only.
    """

    def __init__(
        self,
        store: FenceStore,
        floor: Callable[[str], int] = _no_floor,
        without: frozenset[str] = frozenset(),
    ) -> None:
        self.store = store
        self.floor = floor
        self.without = without
        self.highest: dict[str, int] = {}
        self._load()

    def _load(self) -> None:
        saved = self.store.snapshot()
        first = self.store.first
        if saved is not None:
            index, data = saved
            _, fences = msgpack.unpackb(data)
            self.highest = {str(name): int(fence) for name, fence in fences}
            first = max(index + 1, first)
        for index in range(first, self.store.last + 1):
            name, fence = msgpack.unpackb(self.store.entry(index))
            self.highest[str(name)] = max(int(fence), self.highest.get(str(name), 0))

    def accept(self, duty: str, fence: int) -> bool:
        """Return whether an effect of the duty under the fence may be accepted.

        Raises FenceUnkeptError if a higher fence cannot be made durable.
        """
        highest = self.highest.get(duty, 0)
        if fence < max(highest, self.floor(duty)) and Guard.FENCE not in self.without:
            return False
        if fence > highest:
            self._store_fence(duty, fence)
        return True

    def _store_fence(self, duty: str, fence: int) -> None:
        if duty not in self.highest and len(self.highest) >= MAX_DUTIES:
            raise FenceUnkeptError(
                f"fences of {MAX_DUTIES} duties are kept already",
                where=f"duty {duty}",
                do="retire duties that nobody declares (docs/duties.md)",
            )
        try:
            index = self.store.append(msgpack.packb((duty, fence)))
            if Guard.DURABLE not in self.without:
                self.store.sync()
        except (OSError, OperatorError) as error:
            raise FenceUnkeptError(
                f"fence {fence} could not be kept: {error}",
                where=f"duty {duty}",
                wanted="free space on a writable disk",
                do="repair the disk; the holder sends again",
            ) from None
        self.highest[duty] = fence
        if self.store.last - self.store.first >= SNAPSHOT_ENTRIES:
            self.store.save_snapshot(index, msgpack.packb((VERSION, list(self.highest.items()))))
