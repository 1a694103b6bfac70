"""The journal and the messages as bytes: what is read back is what was written, also across snapshots and a
lost end.
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
from beechrock.agree.journal import Found
from beechrock.agree.messages import (
    Barred,
    Entry,
    Epoch,
    Hard,
    Kind,
    Mark,
    Opened,
    Persist,
    Seen,
    Snap,
    Standing,
    Verdict,
)
from beechrock.lab.fleet.disk import Faults, LyingFiles, tell
from beechrock.store.files import Files

SAMPLES = {
    "int": 7,
    "str": "n1",
    "bytes": b"\0x",
    "bool": True,
    "Standing": Standing.BARRED,
    "Verdict": Verdict.OLDER,
    "Kind": Kind.VOTERS,
    "Mark": Mark(3, "a", 9),
    "Epoch": Epoch(3, "a", 9),
    "tuple[str, ...]": ("a", "b"),
    "tuple[Epoch, ...]": (Epoch(1, "b", 0),),
    "tuple[tuple[str, int], ...]": (("a", 1),),
    "tuple[Entry, ...]": (Entry(1, 2, Kind.COMMAND, b"x", "p", 1, 2, 3),),
}


def test_every_message_and_record_comes_back_and_what_is_none_is_refused() -> None:
    for number, kind in codec.CLASSES.items():
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


@pytest.mark.parametrize("seed", range(6))
def test_a_journal_opened_again_is_what_was_written(
    tmp_path: Path, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Appends that replace the end, snapshots of one's own and from the leader, in drawn order, on a disk
    that is full now and then.
    """
    draw, number = random.Random(seed), 0

    async def written(disk: Disk) -> None:
        nonlocal number
        last: list[int] = []
        writing = asyncio.ensure_future(disk.run(last.append))
        for _ in range(60):
            number += 1
            found = disk.mirror
            start = found.snap.index if found.snap else 0
            end = max([start, *(entry.index for entry in found.entries)])
            what = draw.randrange(8)
            if what == 0 and end > start:
                snap = Snap(draw.randint(start + 1, end), 1, 0, ("a",), b"d" * 16, draw.randbytes(20))
                disk.compact(snap, number)
            elif what == 1:
                disk.put(Persist(number, (Snap(end + 5, 1, 0, ("a",), b"d" * 16, draw.randbytes(20)),)))
            elif what == 2:
                disk.put(
                    Persist(
                        number,
                        (Hard(number, "b"), Seen("b", Mark(1, "x", number)), Barred(number % 2 == 0)),
                    )
                )
            elif what == 3:
                disk.put(Persist(number, (Opened(Epoch(number, f"o{number}", number)),)))
            else:
                first = draw.randint(start + 1, end + 1)
                disk.put(
                    Persist(
                        number,
                        tuple(
                            Entry(first + at, number, Kind.COMMAND, draw.randbytes(9))
                            for at in range(draw.randint(1, 4))
                        ),
                    )
                )
            if draw.random() < 0.3:
                await asyncio.sleep(0.001)
            if draw.random() < 0.2:         # full in the middle of a write, and with room again
                room = draw.choice((1 << 40, 200, 60))
                tell(control, Faults(full_bytes=room + sum(map(len, disk.store.files.held.values()))))
        tell(control, Faults())
        while not last or last[-1] < number:
            await asyncio.sleep(0.001)
        writing.cancel()

    monkeypatch.setattr("beechrock.agree.disk.FIRST_S", 0.002)
    monkeypatch.setattr("beechrock.agree.disk.MOST_S", 0.002)
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    for _ in range(3):
        tell(control, Faults())
        disk = Disk(LyingFiles(folder, control), 64 << 20)
        asyncio.run(written(disk))
        disk.close()
        again = Disk(Files(folder), 64 << 20)
        assert again.found == disk.mirror == again.mirror
        again.close()


@pytest.mark.parametrize("kind", ["EIO", "ENOSPC"])
@pytest.mark.parametrize("fails", ["write", "sync", "write sync sync_names"])
def test_nothing_is_told_as_written_that_a_failing_disk_may_have_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str, kind: str,
) -> None:
    monkeypatch.setattr("beechrock.agree.disk.FIRST_S", 0.002)
    monkeypatch.setattr("beechrock.agree.disk.MOST_S", 0.002)
    control, folder = tmp_path / "disk.json", tmp_path / "state"
    tell(control, Faults())
    disk = Disk(LyingFiles(folder, control), 64 << 20)
    told: list[int] = []

    def durable() -> Found:
        """As a start finds it after a kill, which takes all that was never written."""
        copy = tmp_path / "copy"
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(folder, copy)
        again = Disk(Files(copy), 64 << 20)
        again.close()
        return again.found

    async def run() -> None:
        writing = asyncio.ensure_future(disk.run(told.append))
        for number in range(100, 600, 100):
            disk.put(Persist(number, (Hard(number, "b"),)))
            if number == 300:
                disk.compact(Snap(1, 1, 0, ("a",), b"d" * 16, b"state"), number)
            while not told or told[-1] < number:
                await asyncio.sleep(0.001)
            assert durable().term == number
            tell(control, Faults(fails=fails, fails_as=kind))
            disk.put(Persist(number + 10, (Hard(number + 10, "b"),)))
            disk.put(Persist(number + 20, (Hard(number + 20, "b"),)))
            tried = disk.refused
            while disk.refused < tried + 3:
                assert not writing.done()
                await asyncio.sleep(0.001)
            assert told[-1] == number == durable().term
            tell(control, Faults())
            while told[-1] < number + 20:
                await asyncio.sleep(0.001)
            assert durable().term == number + 20
        writing.cancel()

    asyncio.run(asyncio.wait_for(run(), 30))
    disk.close()
