"""The journal on its store: writes in order in a thread, many to a sync; told to the core when they last.

One task alone touches the store, so that a slow sync holds up no message that promises nothing. A disk that
is full, or fails for a while, is a slow one: nothing is told of what it did not take, and it is tried again,
after a failed sync by writing anew all that no sync had proved. Damage ends the part.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from beechrock import logs
from beechrock.agree.codec import decode_records, encode_records
from beechrock.agree.journal import Found, read, whole
from beechrock.agree.messages import Persist, Snap
from beechrock.store.errors import StoreFailedError, StoreFullError
from beechrock.store.files import Files
from beechrock.store.log import Rules as StoreRules
from beechrock.store.log import Store

PREFIX = "agree"
MOST_QUEUED = 100_000       # writes that wait for the disk; beyond it the part ends, its disk is gone
FIRST_S, MOST_S = 0.5, 8.0  # waits before a full disk is tried again, doubled


class Disk:
    """``found``: as it was opened; ``mirror``: with all that was given to ``put`` since."""

    def __init__(self, files: Files, most_bytes: int) -> None:
        """StoreDamagedError, StoreTooNewError, StoreFullError, StoreFailedError, BadMessageError."""
        self.store = Store.open(files, PREFIX, StoreRules(most_bytes=2 * most_bytes))
        self.found, self.mirror = self._read(), self._read()
        self.queue: deque[tuple[int, bytes, bool]] = deque()
        self.more = asyncio.Event()
        self.syncs = 0
        self.refused = 0        # tries that the disk did not take
        self.had = 0            # of the writes in hand, those that had room

    def _read(self) -> Found:
        snap = self.store.snapshot()
        found = Found()
        if snap is not None:
            position, records = decode_records(snap[1])
            found = read(records, position)
        for index in range(self.store.first, self.store.last + 1):
            for record in decode_records(self.store.entry(index))[1]:
                found.take(record)
        return found

    def put(self, action: Persist) -> None:
        """Written in this order; a snapshot that came over the wire replaces all."""
        for record in action.records:
            self.mirror.take(record)
        if any(isinstance(record, Snap) for record in action.records):
            self._whole(action.number)
        else:
            self.queue.append((action.number, encode_records(action.records), False))
        self.more.set()

    def compact(self, snap: Snap, number: int) -> None:
        """The whole state in place of all that was written up to ``number``."""
        self.mirror.compact(snap)
        self._whole(number)
        self.more.set()

    def _whole(self, number: int) -> None:
        self.queue.append((number, encode_records(whole(self.mirror), self.mirror.position), True))

    async def run(self, wrote: Callable[[int], None]) -> None:
        """Until it is cancelled, or the disk fails: OSError, StoreError."""
        while True:
            await self.more.wait()
            self.more.clear()
            while self.queue:
                work = [self.queue.popleft() for _ in range(len(self.queue))]
                await self._written(work)
                self.syncs += 1
                wrote(work[-1][0])

    async def _written(self, work: list[tuple[int, bytes, bool]]) -> None:
        """All of it, and what came while there was no room."""
        done, wait_s = 0, FIRST_S
        while True:
            try:
                await asyncio.to_thread(self._write, work[done:])
            except (StoreFullError, StoreFailedError) as error:
                if len(work) > MOST_QUEUED:
                    raise
                self.refused += 1
                if wait_s == FIRST_S:
                    logs.event("agree.disk_full", "warning", **error.fields())
                # What had room is not written twice.
                done += self.had
                await asyncio.sleep(wait_s)
                wait_s = min(2 * wait_s, MOST_S)
                work += [self.queue.popleft() for _ in range(len(self.queue))]
            else:
                if wait_s > FIRST_S:
                    logs.event("agree.disk_room", written=len(work))
                return

    def _write(self, work: list[tuple[int, bytes, bool]]) -> None:
        self.had = 0
        self.store.rewrite()
        last_whole = max((at for at, one in enumerate(work) if one[2]), default=-1)
        if last_whole >= 0:     # it holds all before it
            self.store.save_snapshot(self.store.last, work[last_whole][1])
            self.had = last_whole + 1
        for _, data, _ in work[last_whole + 1:]:
            self.store.append(data)
            self.had += 1
        self.store.sync()

    def close(self) -> None:
        self.store.close()
