"""The journal on disk: a thread writes records in order, many per sync, and synced writes are reported.

Only one task uses the store, so that a slow sync does not delay messages that need no sync. A disk that is
full or fails for a while is treated as a slow one: writes that it did not take are not reported but retried,
and after a failed sync all writes that no sync has confirmed are written again. Damage ends the part.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from beechrock import logs
from beechrock.agree.codec import decode_records, encode_records
from beechrock.agree.journal import RecoveredState, from_records, to_records
from beechrock.agree.messages import Persist, Snapshot
from beechrock.store.errors import StoreFailedError, StoreFullError
from beechrock.store.files import Files
from beechrock.store.limits import StoreLimits as StoreRules
from beechrock.store.log import Store

PREFIX = "agree"  # Prefix of the store's file names
MAX_QUEUED = 100_000  # Waiting writes above which a failing disk ends the part instead of being retried
FIRST_RETRY_S, MAX_RETRY_S = 0.5, 8.0  # Backoff of failed writes: first and longest wait, doubled each time


@dataclass(frozen=True, slots=True)
class QueuedWrite:
    """An encoded write. ``is_state``: the data hold the complete state and replace all earlier writes."""

    number: int
    data: bytes
    is_state: bool


class Disk:
    """The journal's store and the queue of writes to it.

    ``recovered``: state when the store was opened; ``mirror``: that state with all writes queued since.
    """

    def __init__(self, files: Files, max_bytes: int) -> None:
        """Open the store.

        Raises StoreDamagedError, StoreTooNewError, StoreFullError, StoreFailedError, BadMessageError.
        """
        self.store = Store.open(files, PREFIX, StoreRules(max_bytes=2 * max_bytes))
        self.recovered = self._read()
        self.mirror = self._read()
        self.queue: deque[QueuedWrite] = deque()
        self.syncs = 0
        self.failed_attempts = 0  # number of write attempts that failed or found no room
        self._wakeup = asyncio.Event()
        self._stored_count = 0  # number of writes that the newest attempt stored

    def _read(self) -> RecoveredState:
        snapshot = self.store.snapshot()
        state = RecoveredState()
        if snapshot is not None:
            position, records = decode_records(snapshot[1])
            state = from_records(records, position)
        for index in range(self.store.first, self.store.last + 1):
            for record in decode_records(self.store.entry(index))[1]:
                state.apply(record)
        return state

    def put(self, action: Persist) -> None:
        """Queue records to be written in order; a snapshot from the leader replaces the whole state."""
        for record in action.records:
            self.mirror.apply(record)
        if any(isinstance(record, Snapshot) for record in action.records):
            self._queue_state(action.number)
        else:
            self.queue.append(QueuedWrite(action.number, encode_records(action.records), False))
        self._wakeup.set()

    def compact(self, snapshot: Snapshot, number: int) -> None:
        """Queue the whole state, with the snapshot, to replace all writes up to ``number``."""
        self.mirror.compact(snapshot)
        self._queue_state(number)
        self._wakeup.set()

    def _queue_state(self, number: int) -> None:
        data = encode_records(to_records(self.mirror), self.mirror.position)
        self.queue.append(QueuedWrite(number, data, True))

    async def run(self, on_written: Callable[[int], None]) -> None:
        """Write until cancelled; call ``on_written(number)`` after each sync. Raises OSError, StoreError."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self.queue:
                writes = self._drain_queue()
                await self._write_until_synced(writes)
                self.syncs += 1
                on_written(writes[-1].number)

    def _drain_queue(self) -> list[QueuedWrite]:
        return [self.queue.popleft() for _ in range(len(self.queue))]

    async def _write_until_synced(self, writes: list[QueuedWrite]) -> None:
        """Write and sync, retrying until it works; writes queued during a wait are added to ``writes``."""
        stored = 0
        retry_s = FIRST_RETRY_S
        while True:
            try:
                await asyncio.to_thread(self._write, writes[stored:])
            except (StoreFullError, StoreFailedError) as error:
                if len(writes) > MAX_QUEUED:
                    raise
                self.failed_attempts += 1
                if retry_s == FIRST_RETRY_S:
                    logs.event("agree.disk_full", "warning", **error.fields())
                # Writes that were stored before the error are not written again.
                stored += self._stored_count
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, MAX_RETRY_S)
                writes += self._drain_queue()
            else:
                if retry_s > FIRST_RETRY_S:
                    logs.event("agree.disk_room", written=len(writes))
                return

    def _write(self, writes: list[QueuedWrite]) -> None:
        """Write and sync, in a thread; ``_stored_count`` counts the stored writes."""
        self._stored_count = 0
        self.store.rewrite()
        last_state = max((at for at, write in enumerate(writes) if write.is_state), default=-1)
        if last_state >= 0:  # the newest whole state replaces all writes before it
            self.store.save_snapshot(self.store.last, writes[last_state].data)
            self._stored_count = last_state + 1
        for write in writes[last_state + 1 :]:
            self.store.append(write.data)
            self._stored_count += 1
        self.store.sync()

    def close(self) -> None:
        """Close the store."""
        self.store.close()
