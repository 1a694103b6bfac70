"""Stored spending of budgets, as an earlier version wrote it."""

from pathlib import Path

from sample_files import DATA, files_of, fixed_random, sample_copy

from beechrock.limits import journal
from beechrock.limits.budgets import Account
from beechrock.limits.disk import SpendingDisk
from beechrock.limits.journal import State
from beechrock.store.files import Files

SAMPLE = "limits"
PERIOD_S = 3600.0
WALL_S = 100.5 * PERIOD_S


def account(period: int, carried: int, moved: int, ceiling: int, warned: int) -> Account:
    """Return an account as read at a start: the whole stored ceiling counts as spent."""
    return Account(period, carried, moved, ceiling, 0, ceiling, warned)


BEFORE = State(PERIOD_S, 96, (account(99, 0, 5, 70, 1), account(100, 5, 0, 20, 0)))
SAVED = State(PERIOD_S, 96, (account(100, 5, 0, 40, 0),))
LATER = State(PERIOD_S, 96, (account(100, 5, 0, 1 << 40, 2),))
OTHER = State(60.0, -1, (account(6030, 0, 0, 3, 0),))


def write(folder: Path) -> None:
    """Write spending of two teams, a snapshot after one of them lost its budget, then an entry."""
    files = Files(folder)
    with fixed_random():
        disk = SpendingDisk(files)
    disk.write(journal.encode({"packagers": BEFORE, "readers": OTHER}))
    disk.compact(journal.encode({"packagers": SAVED}), WALL_S)
    disk.write(journal.encode({"packagers": LATER}))
    disk.close()


def test_the_same_spending_has_the_same_files(tmp_path: Path) -> None:
    write(tmp_path)
    assert files_of(tmp_path) == files_of(DATA / SAMPLE)


def test_the_spending_is_read(tmp_path: Path) -> None:
    disk = SpendingDisk(Files(sample_copy(SAMPLE, tmp_path)))
    saved, states = disk.store.snapshot(), disk.states
    assert saved is not None and journal.decode(saved[1]) == {"packagers": SAVED, "readers": OTHER}
    assert states == {"packagers": LATER, "readers": OTHER}
    assert (disk.store.first, disk.store.last) == (2, 2)
    disk.close()
