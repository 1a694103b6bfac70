"""The marker of releases on a disk that fails for a while at any step, with kills and power cuts."""

import asyncio
import contextlib
import errno
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parents[1] / "store"))
from failing import FailingFiles, Fault, Killed  # type: ignore[import-not-found]

from beechrock.releases.marker import OUT, WANTED, Marker

MAX_TRIES = 20
Step = Callable[[Marker], Awaitable[None]]


async def back(marker: Marker) -> None:
    marker.removal_pending = True
    await retried(marker.finish_removal)


async def retried(work: Callable[[], Awaitable[None]]) -> None:
    """Retry after each disk error, as the part does."""
    for _ in range(MAX_TRIES):
        try:
            return await work()
        except OSError:
            continue
    raise AssertionError("every try failed")


HISTORY: tuple[tuple[Step, bool, bytes], ...] = (
    (lambda marker: retried(lambda: marker.out(5)), True, b""),
    (lambda marker: retried(lambda: marker.wanted("2.0")), True, b"2.0"),
    (back, False, b"2.0"),
    (lambda marker: retried(lambda: marker.out(6)), True, b"2.0"),
    (lambda marker: retried(lambda: marker.wanted("3.0")), True, b"3.0"),
    (back, False, b"3.0"),
)


def run(files: FailingFiles) -> int:
    """Run the history until its end or a kill; return the number of completed steps."""
    done = 0

    async def steps() -> None:
        nonlocal done
        marker = Marker(files)
        for step, _, _ in HISTORY:
            await step(marker)
            done += 1

    with contextlib.suppress(Killed):
        asyncio.run(steps())
    return done


def check(files: FailingFiles, done: int) -> None:
    """Check that a start finds the state after the last completed step, or after the interrupted one."""
    allowed = [(False, b""), *((out, wanted) for _, out, wanted in HISTORY)][done : done + 2]
    found = (Marker(files).found(), bytes(files.live[WANTED].cache) if WANTED in files.live else b"")
    assert found in allowed, (found, allowed, files.fault)
    if OUT in files.live:
        assert bytes(files.live[OUT].cache) in (b"5", b"6")


def count_steps() -> int:
    files = FailingFiles()
    assert run(files) == len(HISTORY)
    return files.step


@pytest.mark.parametrize("drops", [False, True])
@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
@pytest.mark.parametrize("length", [1, 2, 7])
def test_a_fault_at_any_step_leaves_the_last_written_state(length: int, number: int, drops: bool) -> None:
    for first in range(1, count_steps() + 1):
        files = FailingFiles(Fault(first, first + length, number, drops))
        assert run(files) == len(HISTORY)
        for files_left in (files.killed(), files.power_cut(True), files.power_cut(False)):
            check(files_left, len(HISTORY))


@pytest.mark.parametrize("after", [0, 1, 2, 4])
def test_a_kill_during_or_after_a_fault_leaves_the_old_or_the_new_state(after: int) -> None:
    for first in range(1, count_steps() + 1):
        files = FailingFiles(Fault(first, first + 3), kill_at=first + after)
        done = run(files)
        for files_left in (files.killed(), files.power_cut(True), files.power_cut(False)):
            check(files_left, done)


def test_a_pending_removal_never_removes_the_marker_of_a_later_permit() -> None:
    async def write_between_retries() -> None:
        files = FailingFiles()
        marker = Marker(files)
        await marker.out(5)
        files.fault = Fault(files.step + 1, files.step + 2)
        with pytest.raises(OSError):
            await marker.back()
        assert marker.removal_pending
        await marker.out(6)
        await marker.finish_removal()  # the retry
        assert marker.found() and not marker.removal_pending

    asyncio.run(write_between_retries())
