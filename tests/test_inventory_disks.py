"""Snapshots on a disk that fails for a while, at each step of a save, and a kill during a write."""

import asyncio
import errno
import io
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from beechrock.core.counters import Counters
from beechrock.inventory import generation, keeper, model, reader, snapshot, watch
from beechrock.inventory.errors import KeptUnreadableError
from beechrock.inventory.generation import Generation
from beechrock.inventory.problems import Problems

TEXT = """all:
  vars: {cores: 4, memory_mb: 64}
  children:
    teams: {hosts: {a: }}
    services: {hosts: {ship: {upstreams: ["127.0.0.1:9"]}}}
    contracts: {hosts: {c: {team: a, service: ship, share: 0.5, rate: RATE, aim_ms: 60000, due_ms: 60000,
      effect: keyed, window_ms: 60000}}}
"""
STEPS = ("write", "sync", "replace", "sync_names")
NUMBERS = (errno.EIO, errno.ENOSPC)


def made(path: Path, number: int, rate: int) -> Generation:
    path.write_text(TEXT.replace("RATE", str(rate)))
    found = model.read(path, Problems())
    assert found is not None
    return generation.from_checked(number, *found)


class Half:
    """A file whose write stores half of the data and then fails."""

    def __init__(self, file: Any, number: int) -> None:
        self.file, self.number = file, number

    def __enter__(self) -> "Half":
        return self

    def __exit__(self, *_: object) -> None:
        self.file.close()

    def write(self, data: bytes) -> int:
        self.file.write(data[: len(data) // 2])
        raise OSError(self.number, os.strerror(self.number))


class Faults:
    """Injects disk errors into the steps named in ``fails``, for files in one folder."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.folder, self.fails, self.number = str(folder), "", errno.EIO
        self.met = 0
        opened, fsync, replace = io.open, os.fsync, os.replace

        def open_(path: Any, mode: str = "r", *given: Any, **more: Any) -> Any:
            file = opened(path, mode, *given, **more)
            if "w" in mode and self._here(str(path), "write"):
                return Half(file, self.number)
            if mode == "rb" and self._here(str(path), "read"):
                file.close()
                raise OSError(self.number, os.strerror(self.number))
            return file

        def fsync_(fd: int) -> None:
            path = os.readlink(f"/proc/self/fd/{fd}")
            self._raise(path, "sync_names" if os.path.isdir(path) else "sync")
            fsync(fd)

        def replace_(old: Any, new: Any) -> None:
            self._raise(str(new), "replace")
            replace(old, new)

        monkeypatch.setattr(io, "open", open_)
        monkeypatch.setattr(os, "fsync", fsync_)
        monkeypatch.setattr(os, "replace", replace_)

    def _here(self, path: str, kind: str) -> bool:
        fails = path.startswith(self.folder) and kind in self.fails.split()
        self.met += fails
        return fails

    def _raise(self, path: str, kind: str) -> None:
        if self._here(path, kind):
            raise OSError(self.number, os.strerror(self.number))


@pytest.fixture
def faults(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Faults]:
    (tmp_path / "state").mkdir()
    yield Faults(tmp_path / "state", monkeypatch)


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize("step", STEPS)
def test_a_failed_step_leaves_the_old_or_the_new_snapshot_intact(
    tmp_path: Path,
    faults: Faults,
    step: str,
    number: int,
) -> None:
    state = tmp_path / "state"
    old, new = made(tmp_path / "i.yaml", 1, 50), made(tmp_path / "i.yaml", 2, 60)
    snapshot.save(state, old)
    faults.fails, faults.number = step, number
    for _ in range(3):
        with pytest.raises(OSError):
            snapshot.save(state, new)
        assert snapshot.load(state).digest == (new if step == "sync_names" else old).digest
    faults.fails = ""
    snapshot.save(state, new)
    assert snapshot.load(state).digest == new.digest
    assert [path.name for path in state.iterdir()] == [snapshot.NAME]


def test_a_kill_at_any_byte_of_a_write_keeps_the_old_snapshot(tmp_path: Path) -> None:
    state = tmp_path / "state"
    old, new = made(tmp_path / "i.yaml", 1, 50), made(tmp_path / "i.yaml", 2, 60)
    snapshot.save(state, old)
    data = snapshot.encode(new)
    for cut in range(len(data) + 1):
        (state / reader.CANDIDATE).write_bytes(data[:cut])  # Written partly and never renamed
        assert snapshot.load(state).digest == old.digest
        kept = snapshot.keep_again([state / reader.CANDIDATE], state, new.digest)
        assert kept is (cut == len(data))  # A partial file never counts as the generation
    assert snapshot.load(state).digest == new.digest


def test_a_failed_read_is_not_reported_as_damage(tmp_path: Path, faults: Faults) -> None:
    snapshot.save(tmp_path / "state", made(tmp_path / "i.yaml", 1, 50))
    faults.fails = "read"
    with pytest.raises(KeptUnreadableError, match="look at the disk"):
        snapshot.load(tmp_path / "state")


def read_here(path: Path, folder: Path, number: int, most_removed: float) -> watch.Done:
    """Read as the reader process does, without starting a process."""
    return reader.understood(reader.answer(path, folder, number, most_removed), number)


class Node:
    """A keeper without a node, with a clock that the test advances."""

    def __init__(self, folder: Path) -> None:
        self.now, self.path, self.state = 100.0, folder / "i.yaml", folder / "state"
        self.first = made(self.path, 1, 50)
        self.refused = 0
        self.keeper = keeper.Keeper(
            self.path,
            self.first,
            watch.Rules(settle_s=0.0),
            Counters(),
            lambda new: True,
            1.0,
            0.25,
            self.state,
            clock=lambda: self.now,
            read=read_here,
        )

    def look(self, times: int = 1) -> None:
        async def run() -> None:
            for _ in range(times):
                self.now += 10.0
                await self.keeper.look()

        asyncio.run(run())

    def kept(self) -> str:
        return snapshot.load(self.state).digest


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize("step", STEPS)
def test_a_save_that_failed_at_the_start_succeeds_once_the_disk_works(
    tmp_path: Path,
    faults: Faults,
    step: str,
    number: int,
) -> None:
    node = Node(tmp_path)
    faults.fails, faults.number = step, number
    node.look(3)
    assert faults.met and node.keeper.folder != node.state
    faults.fails = ""
    node.look()
    assert node.kept() == node.first.digest and node.keeper.folder == node.state
    met = faults.met
    node.look(3)
    assert faults.met == met  # Saved once, without further writes


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize("step", [*STEPS, "read"])
def test_a_change_during_a_disk_failure_is_applied_and_saved_later(
    tmp_path: Path,
    faults: Faults,
    step: str,
    number: int,
) -> None:
    node = Node(tmp_path)
    node.look(3)
    new = made(node.path, 2, 60)
    faults.fails, faults.number = step, number
    node.look(4)
    assert faults.met
    if step in ("write", "sync", "read"):  # Not applied before it is written; reported once
        assert node.keeper.life.running.digest == node.first.digest
        assert node.keeper.counters["inventory.refused"] == 1
    faults.fails = ""
    node.look(4)  # The files have not changed since then
    assert node.keeper.life.running.digest == new.digest == node.kept()


def test_a_retried_save_stores_only_the_generation_in_force(tmp_path: Path, faults: Faults) -> None:
    node = Node(tmp_path)
    node.look(3)
    new = made(node.path, 2, 60)
    faults.fails = "replace"
    node.look(4)
    assert node.keeper.life.running.digest == new.digest and node.kept() == node.first.digest
    # Another generation, which was read but is held.
    snapshot.write(node.state / reader.CANDIDATE, made(tmp_path / "other.yaml", 3, 70))
    faults.fails = ""
    node.look(3)
    assert node.kept() == node.first.digest  # The held generation is not saved and the snapshot is not lost
    snapshot.write(node.state / reader.CANDIDATE, new)
    node.look()
    assert node.kept() == new.digest  # The save was still due
