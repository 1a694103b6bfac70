"""What keeps its state in a store, on a disk whose steps fail for a while; kills at every byte of a write.

Each owner counts up: what was taken is there after any kill or power cut, and nothing that was never begun.
"""

import errno
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from failing import FailingFiles, Fault, Killed  # type: ignore[import-not-found]

from beechrock.duties.errors import FenceUnkeptError
from beechrock.duties.fences import Fences
from beechrock.limits import journal
from beechrock.limits.budgets import Account
from beechrock.limits.disk import SpendingDisk
from beechrock.limits.errors import SpendingFullError
from beechrock.limits.journal import State
from beechrock.replica.disk import Disk
from beechrock.store.errors import StoreFailedError, StoreFullError
from beechrock.store.log import Store

LAST = 4
MOST_TRIES = 12
REFUSED = (StoreFailedError, StoreFullError, SpendingFullError, FenceUnkeptError)


def again(work: Callable[[], None]) -> None:
    """As the owner's part does: what the disk refused comes again."""
    for _ in range(MOST_TRIES):
        try:
            return work()
        except REFUSED:
            continue
    raise AssertionError("never taken")


class Spending:
    def __init__(self, files: FailingFiles) -> None:
        self.disk = SpendingDisk(files)

    def take(self, number: int) -> None:
        entry = journal.encode({"team": State(60.0, 0, (Account(1, 0, 0, number, 0, number, 0),))})
        again(lambda: self.disk.write(entry))
        if number == LAST - 1:
            again(lambda: self.disk.compact(entry, 0.0))

    def found(self) -> int:
        state = self.disk.states.get("team")
        return state.accounts[0].ceiling if state is not None else 0


class Copies:
    def __init__(self, files: FailingFiles) -> None:
        self.disk = Disk(files)
        self.core = self.disk.core("a", "a/1", ("b",), 0)

    def take(self, number: int) -> None:
        self.core.write("note", "key", b"%d" % number)
        again(self._sync)

    def _sync(self) -> None:
        while self.disk.append(self.core):
            self.disk.sync()

    def found(self) -> int:
        return int(self.core.table.acting("note", "key") or 0)


class Fence:
    def __init__(self, files: FailingFiles) -> None:
        self.store = Store.open(files, "fence")
        self.fences = Fences(self.store)

    def take(self, number: int) -> None:
        again(lambda: self._accept(number))

    def _accept(self, number: int) -> None:
        self.store.rewrite()
        assert self.fences.accept("duty", number)

    def found(self) -> int:
        return self.fences.highest.get("duty", 0)


OWNERS = (Spending, Copies, Fence)
Owner = type[Spending] | type[Copies] | type[Fence]


def run(owner: Owner, files: FailingFiles) -> int:
    """The highest that was taken."""
    taken = 0
    with suppress(Killed):
        for _ in range(MOST_TRIES):  # a start that failed is tried again
            with suppress(*REFUSED):
                made = owner(files)
                break
        for number in range(1, LAST + 1):
            made.take(number)
            taken = number
    return taken


def check(owner: Owner, files: FailingFiles, taken: int) -> None:
    for left in (files.killed(), files.power_cut(True), files.power_cut(False)):
        assert owner(left).found() in (taken, min(taken + 1, LAST)), (taken, files.fault, files.kill_at)


def steps(owner: Owner) -> int:
    files = FailingFiles()
    assert run(owner, files) == LAST
    return int(files.step)


@pytest.mark.parametrize("drops", [False, True])
@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
@pytest.mark.parametrize("owner", OWNERS)
def test_each_step_failing_for_a_while_loses_nothing_that_was_taken(
    owner: Owner,
    number: int,
    drops: bool,
) -> None:
    for first in range(1, steps(owner) + 1):
        for length in (1, 3):
            files = FailingFiles(Fault(first, first + length, number, drops))
            assert run(owner, files) == LAST
            check(owner, files, LAST)


@pytest.mark.parametrize("owner", OWNERS)
def test_a_kill_after_any_byte_of_any_write_loses_nothing_that_was_taken(owner: Owner) -> None:
    for step in range(1, steps(owner) + 1):
        piece, whole = 0, False
        while not whole:
            files = FailingFiles(kill_at=step, piece=piece)
            taken = run(owner, files)
            check(owner, files, taken)
            whole, piece = files.whole, piece + 1


@pytest.mark.parametrize("owner", OWNERS)
def test_a_kill_in_or_after_a_fault_loses_nothing_that_was_taken(owner: Owner) -> None:
    for first in range(1, steps(owner) + 1):
        for after in (1, 2, 4):
            files = FailingFiles(Fault(first, first + 3), kill_at=first + after)
            check(owner, files, run(owner, files))
