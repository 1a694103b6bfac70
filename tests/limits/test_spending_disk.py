"""Spending on a disk that fails for a while: no ceiling counts before it is durable, and writes recover."""

from pathlib import Path

import pytest

from beechrock.lab.fleet.disk import Faults, LyingFiles, tell
from beechrock.limits import journal
from beechrock.limits.budgets import Account
from beechrock.limits.disk import SpendingDisk
from beechrock.limits.journal import State
from beechrock.store.errors import StoreFailedError
from beechrock.store.files import Files


def entry(ceiling: int) -> bytes:
    """Return an entry with one account of one team."""
    return journal.encode({"team": State(60.0, 0, (Account(1, 0, 0, ceiling, 0, ceiling, 0),))})


def ceiling(states: dict[str, State]) -> int:
    return states["team"].accounts[0].ceiling


@pytest.mark.parametrize("fails", ["write", "sync", "write sync sync_names"])
def test_spending_is_durable_after_a_disk_fault_and_after_a_kill_during_it(
    tmp_path: Path, fails: str
) -> None:
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    tell(control, Faults())
    disk = SpendingDisk(LyingFiles(folder, control))
    disk.write(entry(5))
    tell(control, Faults(fails=fails))
    for _ in range(3):
        with pytest.raises(StoreFailedError) as failed:
            disk.write(entry(9))
        assert str(folder) in failed.value.where and "tried again" in failed.value.do
    with pytest.raises(StoreFailedError):
        disk.compact(entry(9), 0.0)
    assert ceiling(disk.states) == 5
    assert ceiling(SpendingDisk(Files(folder)).states) == 5  # after a kill at this moment
    tell(control, Faults())
    disk.write(entry(9))
    disk.compact(entry(9), 0.0)
    assert ceiling(SpendingDisk(Files(folder)).states) == 9
