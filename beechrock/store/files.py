"""The only way to the disk for what has to last: one flat folder of files.

OSError as the disk gives it. ``write`` is durable after ``sync`` of that file, and a new name, a ``replace``
or a ``remove`` after ``sync_names``. Calls may come from several threads, for different files.
"""

import errno
import os
from contextlib import suppress
from pathlib import Path


class Files:
    """The files of a folder, which is made if it is missing."""

    folder = Path()

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        _make(folder)
        self.descriptors: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return the names of the files, sorted; folders are left out."""
        return sorted(entry.name for entry in os.scandir(self.folder) if entry.is_file())

    def size(self, name: str) -> int:
        """Return the size in bytes. FileNotFoundError for one that is not there."""
        return (self.folder / name).stat().st_size

    def read(self, name: str, offset: int = 0, max_bytes: int | None = None) -> bytes:
        """Return all or at most ``max_bytes`` from byte ``offset`` on; less where the file ends."""
        if max_bytes is not None and (fd := self.descriptors.get(name)) is not None:
            return _read_all(fd, max_bytes, offset)
        with (self.folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(-1 if max_bytes is None else max_bytes)

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write, not durably yet; make the file if it is missing. A disk that takes a part only: OSError."""
        fd = self._fd(name)
        while data:
            done = os.pwrite(fd, data, offset)
            if not done:
                raise OSError(errno.EIO, "the disk takes nothing, and says no error", name)
            data, offset = data[done:], offset + done

    def sync(self, name: str) -> None:
        """Bring the content of this file to disk."""
        os.fdatasync(self._fd(name))

    def sync_names(self) -> None:
        """Make all that was made, replaced and removed durable."""
        _sync_folder(self.folder)

    def replace(self, old: str, new: str) -> None:
        """Give ``old`` the name ``new``, in one step."""
        self._forget(old)
        self._forget(new)
        os.replace(self.folder / old, self.folder / new)

    def truncate(self, name: str, size: int) -> None:
        """Cut the file to so many bytes."""
        os.ftruncate(self._fd(name), size)

    def remove(self, name: str) -> None:
        """Remove the file, if it is there."""
        self._forget(name)
        (self.folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close all descriptors; nothing is synced by it."""
        for name in list(self.descriptors):
            self._forget(name)

    def _fd(self, name: str) -> int:
        fd = self.descriptors.get(name)
        if fd is None:
            fd = self.descriptors[name] = os.open(
                self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
        return fd

    def _forget(self, name: str) -> None:
        if (fd := self.descriptors.pop(name, None)) is not None:
            with suppress(OSError):  # what counts was synced, and its error told, before
                os.close(fd)


def _read_all(fd: int, max_bytes: int, offset: int) -> bytes:
    """Return less than ``max_bytes`` only where the file ends: one read may be short anywhere."""
    found = b""
    while len(found) < max_bytes and (part := os.pread(fd, max_bytes - len(found), offset + len(found))):
        found += part
    return found


def _make(folder: Path) -> None:
    """Make a folder and those above it, each name durably: else a power cut takes all that is in it."""
    if folder.is_dir():
        # Made by a process that was killed before it had synced the name, maybe.
        with suppress(PermissionError):
            _sync_folder(folder.parent)
        return
    _make(folder.parent)
    folder.mkdir(exist_ok=True)
    _sync_folder(folder.parent)


def _sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
