"""A disk that lies. What is not synced is in memory alone, so that SIGKILL does what a power cut does.

BEECHROCK_LAB_DISK names a JSON file of Faults, which may be changed at any time. A process that is killed by
its disk says so before (event ``disk.dies``: what it did, at which file, and the bytes).
"""

import errno
import json
import os
import random
import signal
import time
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path

from beechrock import logs
from beechrock.store.files import Files

MOST_TOLD = 65_536  # bytes of the write or sync at which the process is killed


@dataclass(frozen=True, slots=True)
class Faults:
    """All drawn from ``seed``."""

    seed: int = 0
    lose: bool = False  # a sync says that it is done, and nothing is: lost when the process is killed
    tear: float = 0.0  # part of the writes of which a piece is on disk before any sync
    flip: bool = False  # a bit of one file is turned when the folder is opened
    full_bytes: int = 1 << 62  # of all files together; beyond it the disk is full
    stall_s: float = 0.0  # each sync takes so much longer
    dies_at: int = 0  # SIGKILL in the middle of this write or sync, since it was told or was opened
    dies_in: str = ""  # counted in the folder of this name alone
    dies_from: str = ""  # counted from the first write to a file whose name holds this
    fails: str = ""  # "read", "write", "sync", "sync_names", by spaces: these end with an error
    fails_as: str = "EIO"  # the name of its errno
    fails_in: str = ""  # in the folder of this name alone


class LyingFiles(Files):
    """Files whose content is held in memory until it is synced."""

    def __init__(self, folder: Path, control: Path) -> None:
        super().__init__(folder)
        self.control, self.stamp, self.faults = control, 0, Faults()
        self.steps = 0  # writes and syncs since the faults were told
        self._look()
        # Of its own, though several stores of a process share the control file.
        self.random = random.Random(f"{self.faults.seed} {folder.name}")
        self.held = {name: bytearray((folder / name).read_bytes()) for name in super().names()}
        self.dirty: dict[str, tuple[int, int]] = {}
        self.renames: list[tuple[str, str]] = []  # old and new; an empty new one is a removal
        if self.faults.flip and (found := [name for name, held in sorted(self.held.items()) if held]):
            name = self.random.choice(found)
            at = self.random.randrange(len(self.held[name]))
            self.held[name][at] ^= 1 << self.random.randrange(8)
            (folder / name).write_bytes(self.held[name])

    def _look(self) -> None:
        with suppress(OSError, ValueError, TypeError):  # being written: what was read last goes on
            stamp = self.control.stat().st_mtime_ns
            if stamp != self.stamp:
                self.faults, self.stamp = Faults(**json.loads(self.control.read_text())), stamp
                self.steps = 0

    def _dies(self, what: str, name: str, data: bytes) -> bool:
        """Whether the process is to be killed in this operation; it is told before."""
        faults = self.faults
        if not faults.dies_at or faults.dies_in not in ("", self.folder.name):
            return False
        self.steps += bool(self.steps) or faults.dies_from in name
        if self.steps < faults.dies_at:
            return False
        logs.event("disk.dies", step=self.steps, what=what, name=name, data=data[:MOST_TOLD].hex())
        return True

    def _fails(self, what: str) -> None:
        if what in self.faults.fails.split() and self.faults.fails_in in ("", self.folder.name):
            number = getattr(errno, self.faults.fails_as)
            raise OSError(number, os.strerror(number))

    def _piece(self, name: str, at: int, data: bytes) -> None:
        """Any piece is on the disk, and the process is gone."""
        low, high = sorted(self.random.randrange(len(data) + 1) for _ in range(2))
        if low < high:
            super().write(name, at + low, data[low:high])
        os.kill(os.getpid(), signal.SIGKILL)

    def names(self) -> list[str]:
        return sorted(self.held)

    def size(self, name: str) -> int:
        return len(self._held(name))

    def read(self, name: str, at: int = 0, most: int | None = None) -> bytes:
        self._look()
        self._fails("read")
        return bytes(self._held(name)[at : None if most is None else at + most])

    def write(self, name: str, at: int, data: bytes) -> None:
        self._look()
        held = self.held.setdefault(name, bytearray())
        room = self.faults.full_bytes - sum(map(len, self.held.values()))
        if max(0, at + len(data) - len(held)) > max(0, room):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if "write" in self.faults.fails.split():  # some of it stands
            self._put(name, at, data[: self.random.randrange(len(data) + 1)])
        self._fails("write")
        if self._dies("write", name, data):
            self._piece(name, at, data)
        if self.random.random() < self.faults.tear:
            super().write(name, at, data[: self.random.randrange(len(data) + 1)])
        self._put(name, at, data)

    def _put(self, name: str, at: int, data: bytes) -> None:
        """Into memory; ``sync`` has it on the disk."""
        held = self.held[name]
        if at > len(held):
            held.extend(bytes(at - len(held)))
        held[at : at + len(data)] = data
        low, high = self.dirty.get(name, (at, at))
        self.dirty[name] = min(low, at), max(high, at + len(data))

    def sync(self, name: str) -> None:
        self._look()
        time.sleep(self.faults.stall_s)
        if self.faults.lose:
            return
        if "sync" in self.faults.fails.split():
            # As Linux: what was not written back is clean from here on, and no later sync brings it to disk.
            self.dirty.pop(name, None)
            self._fails("sync")
        # A removal that waits would else take away the file of the same name that came after it.
        if any(name in pair for pair in self.renames):
            self._rename()
        low, high = self.dirty.pop(name, (0, 0))
        if self._dies("sync", name, bytes(self.held[name][low:high])):
            self._piece(name, low, bytes(self.held[name][low:high]))
        super().write(name, low, bytes(self.held[name][low:high]))
        super().truncate(name, len(self.held[name]))

    def sync_names(self) -> None:
        self._look()
        if self.faults.lose:
            return
        self._fails("sync_names")
        if self._dies("sync_names", " ".join(new or old for old, new in self.renames), b""):
            del self.renames[self.random.randrange(len(self.renames) + 1) :]
            self._rename()
            os.kill(os.getpid(), signal.SIGKILL)
        self._rename()

    def _rename(self) -> None:
        for old, new in self.renames:
            self._forget(old)
            self._forget(new)
            with suppress(FileNotFoundError):
                (self.folder / old).replace(self.folder / new) if new else (self.folder / old).unlink()
        self.renames.clear()

    def replace(self, old: str, new: str) -> None:
        self.held[new] = self.held.pop(old)
        if old in self.dirty:
            self.dirty[new] = self.dirty.pop(old)
        self.renames.append((old, new))

    def truncate(self, name: str, size: int) -> None:
        del self.held[name][size:]
        low, high = self.dirty.get(name, (size, size))
        self.dirty[name] = min(low, size), min(high, size)

    def remove(self, name: str) -> None:
        self.held.pop(name, None)
        self.dirty.pop(name, None)
        self.renames.append((name, ""))

    def _held(self, name: str) -> bytearray:
        if name not in self.held:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return self.held[name]


def lying(folder: Path, told: str) -> Files:
    """What ``store.folder.open_folder`` gives under the laboratory."""
    return LyingFiles(folder, Path(told))


def tell(control: Path, faults: Faults) -> None:
    """In one step, as a process may be reading it."""
    whole = control.with_suffix(".new")
    whole.write_text(json.dumps(asdict(faults)))
    whole.replace(control)
