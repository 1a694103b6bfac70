"""The releases' marker on a disk that fails for a while, in each step, with kills and power cuts."""

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

MOST_TRIES = 20
Step = Callable[[Marker], Awaitable[None]]


async def back(marker: Marker) -> None:
    marker.removal_pending = True
    await tried(marker.finish_removal)


async def tried(work: Callable[[], Awaitable[None]]) -> None:
    """As the part does: what the disk refused comes again."""
    for _ in range(MOST_TRIES):
        try:
            return await work()
        except OSError:
            continue
    raise AssertionError("never taken")


HISTORY: tuple[tuple[Step, bool, bytes], ...] = (
    (lambda marker: tried(lambda: marker.out(5)), True, b""),
    (lambda marker: tried(lambda: marker.wanted("2.0")), True, b"2.0"),
    (back, False, b"2.0"),
    (lambda marker: tried(lambda: marker.out(6)), True, b"2.0"),
    (lambda marker: tried(lambda: marker.wanted("3.0")), True, b"3.0"),
    (back, False, b"3.0"),
)


def run(files: FailingFiles) -> int:
    """How many steps were taken, until a kill."""
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
    """What a start finds is what the last step left, or the one that a kill broke off."""
    allowed = [(False, b""), *((out, wanted) for _, out, wanted in HISTORY)][done : done + 2]
    found = (Marker(files).found(), bytes(files.live[WANTED].cache) if WANTED in files.live else b"")
    assert found in allowed, (found, allowed, files.fault)
    if OUT in files.live:
        assert bytes(files.live[OUT].cache) in (b"5", b"6")


def steps() -> int:
    files = FailingFiles()
    assert run(files) == len(HISTORY)
    return files.step


@pytest.mark.parametrize("drops", [False, True])
@pytest.mark.parametrize("number", [errno.EIO, errno.ENOSPC])
@pytest.mark.parametrize("length", [1, 2, 7])
def test_each_step_failing_for_a_while_leaves_what_was_told(length: int, number: int, drops: bool) -> None:
    for first in range(1, steps() + 1):
        files = FailingFiles(Fault(first, first + length, number, drops))
        assert run(files) == len(HISTORY)
        for left in (files.killed(), files.power_cut(True), files.power_cut(False)):
            check(left, len(HISTORY))


@pytest.mark.parametrize("after", [0, 1, 2, 4])
def test_a_kill_in_or_after_a_fault_leaves_the_old_or_the_new_whole(after: int) -> None:
    for first in range(1, steps() + 1):
        files = FailingFiles(Fault(first, first + 3), kill_at=first + after)
        done = run(files)
        for left in (files.killed(), files.power_cut(True), files.power_cut(False)):
            check(left, done)


def test_what_is_owed_never_takes_away_the_marker_of_a_later_permit() -> None:
    async def story() -> None:
        files = FailingFiles()
        marker = Marker(files)
        await marker.out(5)
        files.fault = Fault(files.step + 1, files.step + 2)
        with pytest.raises(OSError):
            await marker.back()
        assert marker.removal_pending
        await marker.out(6)
        await marker.finish_removal()  # the try that comes again
        assert marker.found() and not marker.removal_pending

    asyncio.run(story())
