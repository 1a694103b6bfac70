"""What a recorder does with its rows: when to write, when a file ends, what is dropped and told. Pure.

States: WRITING, FAILING (the disk took nothing; tried again after a pause, in a new file). Invariants: no
more than ``most_pending`` rows wait; each row is written once or counted as dropped; what was dropped between
two rows that are written stands between them as a gap.
"""

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    WRITING = "writing"
    FAILING = "failing"


@dataclass(frozen=True, slots=True)
class Rules:
    """Rows, seconds and bytes."""

    block_rows: int = 4_096
    flush_s: float = 1.0  # rows wait no longer than this for their block
    most_pending: int = 50_000
    segment_bytes: int = 64 << 20
    segment_s: float = 3600.0
    most_bytes: int = 1 << 30  # of all files together; the oldest go
    again_s: float = 1.0


class Flow:
    """The owner tells what waits and what came of writing; ``offer``, ``due`` and ``ended`` decide."""

    def __init__(self, rules: Rules, now: float) -> None:
        self.rules, self.state = rules, State.WRITING
        self.pending = 0  # rows that wait, those under way included
        self.under_way = 0
        self.dropped = 0  # since the last gap was told
        self.dropped_since = now
        self.lost = 0  # ever
        self.segment_bytes, self.segment_since = 0, now
        self._waiting_since, self._again_at = now, now
        self._gap_under_way: tuple[int, float] | None = None

    def offer(self, now: float, rows: int = 1) -> bool:
        """Whether there is room for these rows; they count as dropped if not."""
        if self.pending + rows > self.rules.most_pending:
            self._drop(now, rows)
            return False
        if self.pending == self.under_way:
            self._waiting_since = now
        self.pending += rows
        return True

    def _drop(self, now: float, rows: int) -> None:
        if not self.dropped:
            self.dropped_since = now
        self.dropped += rows
        self.lost += rows

    def due(self, now: float) -> bool:
        """Whether to write now: a block is full, or rows have waited; not while one is under way."""
        waiting = self.pending - self.under_way
        if self.under_way or not waiting or now < self._again_at:
            return False
        return waiting >= self.rules.block_rows or now - self._waiting_since >= self.rules.flush_s

    def begin(self, now: float, rows: int) -> tuple[int, float] | None:
        """So many rows go out now; gives the gap that must stand before them, if there is one."""
        assert not self.under_way and 0 < rows <= self.pending
        self.under_way = rows
        if self.dropped:
            self._gap_under_way = self.dropped, self.dropped_since
            self.dropped = 0
        return self._gap_under_way

    def wrote(self, now: float, size: int) -> None:
        self.pending, self.under_way = self.pending - self.under_way, 0
        self._gap_under_way, self._waiting_since = None, now
        self.segment_bytes += size
        self.state = State.WRITING

    def failed(self, now: float, wrote: int = 0, gap_told: bool = False) -> int:
        """The disk took so many of the rows, and maybe the gap before them; the others are dropped, and told
        as a gap once it takes more. How many those are."""
        rows, self.under_way = self.under_way - wrote, 0
        self.pending -= rows + wrote
        if gap_told:
            self._gap_under_way = None
        if self._gap_under_way is not None:
            told, since = self._gap_under_way
            self.dropped, self.dropped_since = self.dropped + told, min(since, self.dropped_since)
            self._gap_under_way = None
        self._drop(now, rows)
        self.state, self._again_at = State.FAILING, now + self.rules.again_s
        return rows

    def ended(self, now: float) -> bool:
        """Whether the file that is open ends: it is long enough, old enough, or took nothing more."""
        return (
            self.state is State.FAILING
            or self.segment_bytes >= self.rules.segment_bytes
            or now - self.segment_since >= self.rules.segment_s
        )

    def opened(self, now: float) -> None:
        self.segment_bytes, self.segment_since = 0, now

    def outlived(self, sizes: list[tuple[str, int]]) -> list[str]:
        """Which of the files, oldest first, must go so that all keep within ``most_bytes``."""
        total = sum(size for _, size in sizes)
        found = []
        for name, size in sizes[:-1]:  # never the newest
            if total <= self.rules.most_bytes:
                break
            found.append(name)
            total -= size
        return found
