"""Encoding of messages and records, and the journal on disk: what is read back is what was written.

The journal is also tested with snapshots, a full disk and failing writes and syncs.
"""

import asyncio
import random
import shutil
from dataclasses import fields
from pathlib import Path

import pytest

from beechrock.agree import codec
from beechrock.agree.disk import Disk
from beechrock.agree.errors import BadMessageError
from beechrock.agree.journal import RecoveredState
from beechrock.agree.messages import (
    BarredState,
    Entry,
    EntryKind,
    Epoch,
    EpochOpened,
    HardState,
    Mark,
    MemoryStatus,
    PeerMark,
    Persist,
    Record,
    Snapshot,
    Verdict,
)
from beechrock.lab.fleet.disk import Faults, LyingFiles, tell
from beechrock.store.files import Files

SAMPLES = {
    "int": 7,
    "str": "n1",
    "bytes": b"\0x",
    "bool": True,
    "MemoryStatus": MemoryStatus.BARRED,
    "Verdict": Verdict.OLDER,
    "EntryKind": EntryKind.VOTERS,
    "Mark": Mark(3, "a", 9),
    "Epoch": Epoch(3, "a", 9),
    "tuple[str, ...]": ("a", "b"),
    "tuple[Epoch, ...]": (Epoch(1, "b", 0),),
    "tuple[tuple[str, int], ...]": (("a", 1),),
    "tuple[Entry, ...]": (Entry(1, 2, EntryKind.COMMAND, b"x", "p", 1, 2, 3),),
}


def test_every_message_and_record_survives_a_round_trip_and_others_are_refused() -> None:
    for number, kind in codec.TYPES.items():
        made = kind(
            *(
                SAMPLES[
                    getattr(field.type, "__name__", None)
                    if isinstance(field.type, type) and "[" not in str(field.type)
                    else str(field.type).replace("beechrock.agree.messages.", "")
                ]
                for field in fields(kind)
            )
        )
        if number < 32:
            data = codec.encode(made)
            assert codec.decode(data) == made
            with pytest.raises(BadMessageError):
                codec.decode(data[:-1])
            with pytest.raises(BadMessageError):
                codec.decode(b"\2" + data[1:])
        else:
            assert codec.decode_records(codec.encode_records([made], 5))[1] == (made,)
            with pytest.raises(BadMessageError):
                codec.decode(codec.encode_records([made]))


def put_random_write(draw: random.Random, disk: Disk, number: int) -> None:
    """Queue a random write: entries that may replace the log's end, a snapshot, or other records."""
    state = disk.mirror
    start = state.snapshot.index if state.snapshot else 0
    end = max([start, *(entry.index for entry in state.entries)])
    choice = draw.randrange(8)
    if choice == 0 and end > start:
        snapshot = Snapshot(draw.randint(start + 1, end), 1, 0, ("a",), b"d" * 16, draw.randbytes(20))
        disk.compact(snapshot, number)
        return
    records: tuple[Record, ...]
    if choice == 1:
        records = (Snapshot(end + 5, 1, 0, ("a",), b"d" * 16, draw.randbytes(20)),)
    elif choice == 2:
        records = (HardState(number, "b"), PeerMark("b", Mark(1, "x", number)), BarredState(number % 2 == 0))
    elif choice == 3:
        records = (EpochOpened(Epoch(number, f"o{number}", number)),)
    else:
        first = draw.randint(start + 1, end + 1)
        records = tuple(
            Entry(first + at, number, EntryKind.COMMAND, draw.randbytes(9))
            for at in range(draw.randint(1, 4))
        )
    disk.put(Persist(number, records))


@pytest.mark.parametrize("seed", range(6))
def test_reopened_journal_holds_what_was_written(
    tmp_path: Path, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Make random writes of all kinds on a disk that is full now and then."""
    draw, number = random.Random(seed), 0

    async def write(disk: Disk) -> None:
        nonlocal number
        synced: list[int] = []
        writing = asyncio.ensure_future(disk.run(synced.append))
        for _ in range(60):
            number += 1
            put_random_write(draw, disk, number)
            if draw.random() < 0.3:
                await asyncio.sleep(0.001)
            if draw.random() < 0.2:  # the disk becomes full in the middle of a write, or has room again
                free_bytes = draw.choice((1 << 40, 200, 60))
                tell(control, Faults(full_bytes=free_bytes + sum(map(len, disk.store.files.held.values()))))
        tell(control, Faults())
        while not synced or synced[-1] < number:
            await asyncio.sleep(0.001)
        writing.cancel()

    monkeypatch.setattr("beechrock.agree.disk.FIRST_RETRY_S", 0.002)
    monkeypatch.setattr("beechrock.agree.disk.MAX_RETRY_S", 0.002)
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    for _ in range(3):
        tell(control, Faults())
        disk = Disk(LyingFiles(folder, control), 64 << 20)
        asyncio.run(write(disk))
        disk.close()
        reopened = Disk(Files(folder), 64 << 20)
        assert reopened.recovered == disk.mirror == reopened.mirror
        reopened.close()


@pytest.mark.parametrize("fitting", [1, 2, 3])
def test_writes_that_fitted_on_a_full_disk_are_not_repeated(
    tmp_path: Path, fitting: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of five writes in one batch the first few fit; the others are stored once there is room again."""
    monkeypatch.setattr("beechrock.agree.disk.FIRST_RETRY_S", 0.002)
    monkeypatch.setattr("beechrock.agree.disk.MAX_RETRY_S", 0.002)
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    tell(control, Faults())
    disk = Disk(LyingFiles(folder, control), 64 << 20)

    async def run() -> None:
        synced: list[int] = []
        for number in range(1, 6):
            disk.put(Persist(number, (Entry(number, 1, EntryKind.COMMAND, b"x" * 1000),)))
        held_bytes = sum(map(len, disk.store.files.held.values()))
        tell(control, Faults(full_bytes=held_bytes + fitting * 1100))
        writing = asyncio.ensure_future(disk.run(synced.append))
        while disk.failed_attempts < 3:
            await asyncio.sleep(0.001)
        assert not synced
        tell(control, Faults())
        while not synced:
            await asyncio.sleep(0.001)
        writing.cancel()

    asyncio.run(asyncio.wait_for(run(), 30))
    disk.close()
    reopened = Disk(Files(folder), 64 << 20)
    assert reopened.recovered == disk.mirror
    assert reopened.recovered.position == 5
    reopened.close()


def recover_after_kill(tmp_path: Path) -> RecoveredState:
    """Return the state that a start would recover if the process were killed now."""
    copy = tmp_path / "copy"
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(tmp_path / "state", copy)
    reopened = Disk(Files(copy), 64 << 20)
    reopened.close()
    return reopened.recovered


@pytest.mark.parametrize("kind", ["EIO", "ENOSPC"])
@pytest.mark.parametrize("fails", ["write", "sync", "write sync sync_names"])
def test_nothing_is_reported_as_written_that_a_failing_disk_may_have_dropped(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    fails: str,
    kind: str,
) -> None:
    monkeypatch.setattr("beechrock.agree.disk.FIRST_RETRY_S", 0.002)
    monkeypatch.setattr("beechrock.agree.disk.MAX_RETRY_S", 0.002)
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    tell(control, Faults())
    disk = Disk(LyingFiles(folder, control), 64 << 20)
    reported: list[int] = []

    async def run() -> None:
        writing = asyncio.ensure_future(disk.run(reported.append))
        for number in range(100, 600, 100):
            disk.put(Persist(number, (HardState(number, "b"),)))
            if number == 300:
                disk.compact(Snapshot(1, 1, 0, ("a",), b"d" * 16, b"state"), number)
            while not reported or reported[-1] < number:
                await asyncio.sleep(0.001)
            assert recover_after_kill(tmp_path).term == number
            tell(control, Faults(fails=fails, fails_as=kind))
            disk.put(Persist(number + 10, (HardState(number + 10, "b"),)))
            disk.put(Persist(number + 20, (HardState(number + 20, "b"),)))
            failed_attempts = disk.failed_attempts
            while disk.failed_attempts < failed_attempts + 3:
                assert not writing.done()
                await asyncio.sleep(0.001)
            assert reported[-1] == number == recover_after_kill(tmp_path).term
            tell(control, Faults())
            while reported[-1] < number + 20:
                await asyncio.sleep(0.001)
            assert recover_after_kill(tmp_path).term == number + 20
        writing.cancel()

    asyncio.run(asyncio.wait_for(run(), 30))
    disk.close()
