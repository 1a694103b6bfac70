"""The actor that records: it notes on the event loop, and writes off it. It never delays an answer.

On the loop a batch costs one entry that holds the module's own events and actions; they are immutable, and
become rows in the writing thread. Bodies are never written. Subjects may be hashed with a key before that.

Times are the node's own, as the module decided by them: monotonic, and Unix time as it was when the process
started. A step of the wall clock moves none of them; each file's header says how far the wall clock was ahead
(``unix_ahead_s``) when the file was opened.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import blake3
import xxhash

from beechrock import clocks
from beechrock import interface as api
from beechrock.core.counters import Counters
from beechrock.core.requests import Answer, Request
from beechrock.trace import records
from beechrock.trace.errors import FormatError
from beechrock.trace.flow import Flow, Rules
from beechrock.trace.format import SUFFIX, Writer
from beechrock.trace.records import Row
from beechrock.trace.stored_settings import settings_text

MOST_TEXT = 65_536  # characters of a subject; what is longer is cut off
LOOK_S = 0.1
HASH_BYTES = 12


def keyed_hash(key: bytes, text: str) -> str:
    """BLAKE3 in its keyed mode, shortened: equal texts stay equal under one key, and nothing else shows.

    A key of any length, as operators keep them, is brought to the 32 bytes that the mode takes.
    """
    whole = key if len(key) == 32 else blake3.blake3(key, derive_key_context="beechrock 1 trace key").digest()
    return blake3.blake3(text.encode("utf-8", "surrogatepass"), key=whole).hexdigest(HASH_BYTES)


class Recorder:
    """Fills the module actor's ``Tracer``. ``sample`` below 1: that part of requests, and no batches."""

    def __init__(
        self,
        folder: Path,
        name: str,
        counters: Counters,
        clock: Callable[[], float],
        rules: Rules,
        sample: float = 1.0,
        key: bytes | None = None,
        unix_clock: Callable[[], float] | None = None,
    ) -> None:
        self.folder, self.name, self.counters, self.clock = folder, name, counters, clock
        self.unix_clock = unix_clock or clock
        self.sample, self.key = sample, key
        self.flow = Flow(rules, clock())
        self.notes: list[tuple[int, Any]] = []  # rows that a note will give, and the note
        self._numbers = itertools.count(1)
        self._writer: Writer | None = None
        self._writing = asyncio.Lock()
        self._wrote = 0  # rows of the newest writing, its gap's included

    # --- Tracer: on the event loop

    def started(self, now: float, seed: int, settings: api.Settings, started: float) -> None:
        if self.sample >= 1:
            self._note(now, 1, lambda: [("start", now, seed, started, settings_text(settings))])

    def batch(self, now: float, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        if self.sample >= 1:
            self._note(now, 1 + len(events) + len(actions), (now, events, actions))

    def taken(self, now: float, request: Request, team: str) -> None:
        if self._chosen(request):
            self._note(
                now,
                1,
                (
                    "taken",
                    now,
                    request.id,
                    request.trace,
                    request.route,
                    team,
                    self._hidden(request.entity),
                    self._hidden(request.nonce, True),
                    request.retry,
                    request.caller,
                    len(request.body),
                    request.born,
                ),
            )

    def rejected(self, now: float, request: Request, team: str, reason: str) -> None:
        if self._chosen(request):
            self._note(now, 1, ("rejected", now, request.trace, request.route, team, reason))

    def answered(self, now: float, request: Request, answer: Answer) -> None:
        if self._chosen(request):
            self._note(
                now,
                1,
                (
                    "answered",
                    now,
                    request.id,
                    answer.verdict.value,
                    answer.retry_after_s,
                    answer.no_retry,
                    answer.advice,
                    now - request.born,
                    len(answer.body),
                ),
            )

    def run_ended(self, now: float, request: Request, outcome: api.Outcome, elapsed_s: float) -> None:
        if self._chosen(request):
            self._note(now, 1, ("run_ended", now, request.id, outcome.value, elapsed_s))

    def _chosen(self, request: Request) -> bool:
        """All tries of one key, or none of them."""
        if self.sample >= 1:
            return True
        return xxhash.xxh3_64_intdigest((request.nonce or request.trace).encode()) < self.sample * 2**64

    def _hidden(self, text: str | None, always: bool = False) -> str | None:
        if not text:
            return None
        if self.key is not None:
            return keyed_hash(self.key, text)
        if always:  # a key is a secret of its caller, and only has to stay the same
            return xxhash.xxh3_128_hexdigest(text.encode())
        return text[:MOST_TEXT].encode("utf-8", "replace")[:MOST_TEXT].decode("utf-8", "ignore")

    def _note(self, now: float, rows: int, note: Any) -> None:
        if self.flow.offer(now, rows):
            self.notes.append((rows, note))
        else:
            self.counters.add("trace.dropped", rows)

    # --- the actor

    async def run(self) -> None:
        """For as long as the node lives; what waits at the end is written by ``close``."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self.flow.due(self.clock()):
                await self.write()

    async def write(self) -> None:
        """Write what waits, as blocks, in a thread of its own."""
        async with self._writing:
            await self._write_all()

    async def finish(self) -> None:
        """After the last row: wait for a write that is under way, then write the rest and end the file."""
        async with self._writing:
            self.close()

    async def _write_all(self) -> None:
        rows = sum(count for count, _ in self.notes)
        if not rows:
            return
        notes, self.notes = self.notes, []
        gap = self.flow.begin(self.clock(), rows)
        ends = self.flow.ended(self.clock())
        try:
            size, opened = await asyncio.to_thread(self._write, notes, gap, ends)
        except (OSError, FormatError) as error:
            self.counters.add("trace.failed")
            if self._not_written(rows, gap is not None) == self.flow.lost:
                self.counters.record_error("trace", error)
            return
        if opened:
            self.flow.opened(self.clock())
        self.flow.wrote(self.clock(), size)
        self.counters.add("trace.rows", rows)
        self.counters.add("trace.bytes", size)

    def _write(
        self, notes: list[tuple[int, Any]], gap: tuple[int, float] | None, ends: bool
    ) -> tuple[int, bool]:
        """Bytes written, and whether a file was begun. OSError where the disk does not take all of it."""
        self._wrote = 0
        rows: list[Row] = [] if gap is None else [("gap", gap[1], gap[0], gap[1])]
        for _, note in notes:
            if callable(note):
                rows += note()
            elif isinstance(note[0], str):
                rows.append(note)
            else:
                rows += records.batch_rows(*note)
        opened = self._writer is None or ends
        if opened:
            self._end()
            self._writer = self._begin()
        assert self._writer is not None
        size = 0
        try:
            for at in range(0, len(rows), self.flow.rules.block_rows):
                block = rows[at : at + self.flow.rules.block_rows]
                size += self._writer.write(block)
                self._wrote += len(block)
        except (OSError, FormatError):
            self._writer.abandon()
            self._writer = None
            raise
        return size, opened

    def _not_written(self, rows: int, gap: bool) -> int:
        """After a failed ``_write``: how many of its rows were dropped. Seen: blocks that had been written
        before the one that failed were counted as dropped with it, and their gap was told twice."""
        told = gap and self._wrote > 0
        wrote = self._wrote - told
        dropped = self.flow.failed(self.clock(), wrote, told)
        self.counters.add("trace.rows", wrote)
        self.counters.add("trace.dropped", dropped)
        return dropped

    def _begin(self) -> Writer:
        self.folder.mkdir(parents=True, exist_ok=True)
        held = [(p.name, p.stat().st_size) for p in sorted(self.folder.glob(f"{self.name}-*{SUFFIX}"))]
        for name in self.flow.outlived(held):
            (self.folder / name).unlink(missing_ok=True)
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime(self.clock()))
        for number in self._numbers:
            path = self.folder / f"{self.name}-{stamp}-{number:04}{SUFFIX}"
            if not path.exists():  # a start in the same second as one that was killed
                break
        now, unix_s = clocks.read_together(self.clock, self.unix_clock)
        return Writer(
            path,
            {
                "node": self.name,
                "sample": self.sample,
                "hidden": self.key is not None,
                "unix_ahead_s": round(unix_s - now, 3),
            },
        )

    def _end(self) -> None:
        if self._writer is not None:
            writer, self._writer = self._writer, None
            try:
                writer.close()
            except OSError:  # without its index it is still read, by a scan
                self.counters.add("trace.failed")

    def close(self) -> None:
        """Write what waits and end the file; no write may be under way."""
        rows = sum(count for count, _ in self.notes)
        if rows:
            notes, self.notes = self.notes, []
            gap = self.flow.begin(self.clock(), rows)
            try:
                size, _ = self._write(notes, gap, self.flow.ended(self.clock()))
                self.flow.wrote(self.clock(), size)
                self.counters.add("trace.rows", rows)
            except (OSError, FormatError):
                self._not_written(rows, gap is not None)
        self._end()
