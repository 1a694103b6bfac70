"""Discovery between the processes of one node, by Unix sockets in a folder that all of them can access.

Each process listens on a socket whose name holds its start time by the monotonic clock, which all processes
of a machine share. Its predecessor is the newest process that is older than itself. The package creates no
other files in the folder. The socket of a killed process refuses connections, and whoever finds it removes
it.
"""

import asyncio
import contextlib
import errno
import logging
import os
import socket
import stat
import struct
import time
from collections.abc import Callable
from pathlib import Path

from beechrock.core.counters import Counters
from beechrock.net.connecting import open_unix_connection
from beechrock.net.connection import CHUNK
from beechrock.net.listener import Accepted, Listener

log = logging.getLogger("beechrock")
MAX_NAMES = 64  # Maximum number of older sockets that a listing examines, the newest first
RENEW_RETRY_S = 0.05  # Seconds between two attempts to rename the own socket
MAX_LISTINGS = 16  # Maximum listings per connection attempt; each repeats one whose socket had vanished
# Maximum length of a Unix socket's path; a longer path is opened through the folder's file descriptor.
MAX_PATH_BYTES = 100
CREDENTIALS = struct.Struct("3i")  # Kernel's ``struct ucred``: process, user and group id of the peer
# Earlier versions named their sockets by Unix time, about 1.7e18 ns. A monotonic time stays below this bound
# until a machine has been up for 31 years.
UNIX_TIME_NS = 10**18


class Channel:
    """Unix sockets of one node in the shared folder: the own socket, and the sockets of older processes."""

    def __init__(self, folder: Path, node: str) -> None:
        self.folder = folder
        self.prefix = f"beechrock-{node}-"
        # The name does not use the wall clock: after a step back the older process would look like the newer
        # one, and both would run keys as if they were alone.
        self.name = f"{self.prefix}{time.monotonic_ns():020d}-{os.getpid()}.sock"
        self.server: Listener | None = None
        self.reached_name = ""  # Socket name of the predecessor that this process last connected to
        self.fully_known: set[str] = set()  # Socket names of predecessors whose claims were all received
        # Whether a killed process left a socket whose name is not in ``fully_known``.
        self.killed_before_sync = False
        self.renewals = 0  # Number of times that this process has renamed its socket
        self._fd: int | None = None

    def _path(self, name: str) -> str:
        """Return a path to the socket that is short enough for the kernel's limit on socket paths."""
        path = str(self.folder / name)
        if len(path.encode()) <= MAX_PATH_BYTES:
            return path
        if self._fd is None:
            self._fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._fd}/{name}"

    def listen(self, accepted: Accepted, counters: Counters) -> None:
        """Listen for successors; the socket gets its public name only once it listens.

        Raises OSError if the socket cannot be created in the folder now.
        """
        sock = socket.socket(socket.AF_UNIX)
        hidden_name = f".{self.name}"
        server: Listener | None = None
        try:
            sock.bind(self._path(hidden_name))
            os.chmod(self.folder / hidden_name, 0o600)
            sock.listen(4)
            server = Listener(sock, accepted, counters, "handover", at_once=4)
            os.rename(self.folder / hidden_name, self.folder / self.name)
        except OSError:
            if server is not None:  # the event loop must not watch a descriptor number that will be reused
                server.close()
            sock.close()
            self._remove(hidden_name)
            raise
        self.server = server

    def older_names(self) -> list[str]:
        """Return the names of the sockets of this user's older processes, the newest first.

        Raises OSError if the folder cannot be read now: if it counted as empty, two processes would run keys.
        """
        try:
            names = os.listdir(self.folder)
        except (FileNotFoundError, NotADirectoryError, PermissionError):  # no process can use the folder
            return []
        own_start = self._start_order(self.name)
        found = sorted(
            (at, name) for name in names if (at := self._start_order(name)) and own_start and at < own_start
        )
        return [name for _, name in found[: -MAX_NAMES - 1 : -1] if self._is_own_socket(name)]

    def _start_order(self, name: str) -> tuple[bool, int, str] | None:
        """Return a sort key by start time, or None if no process of this node has such a name.

        A name with a Unix time, as earlier versions chose it, sorts before all others.
        """
        start_ns = name.removeprefix(self.prefix).partition("-")[0]
        if not (name.startswith(self.prefix) and name.endswith(".sock")):
            return None
        if not (start_ns.isascii() and start_ns.isdigit()):
            return None
        return int(start_ns) < UNIX_TIME_NS, int(start_ns), name

    def _is_own_socket(self, name: str) -> bool:
        """Return whether the name belongs to a socket of this process's user."""
        try:
            found = os.lstat(self.folder / name)
        except (FileNotFoundError, PermissionError):
            return False
        return stat.S_ISSOCK(found.st_mode) and found.st_uid == os.getuid()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Connect to the newest older process that listens, and return None if there is none.

        Raises OSError if the search failed, so that a predecessor may exist.
        """
        for _ in range(MAX_LISTINGS):
            vanished = False
            for name in self.older_names():
                try:
                    streams = await open_unix_connection(self._path(name), limit=CHUNK)
                except FileNotFoundError:  # the process has exited cleanly or has renamed its socket
                    vanished = True
                except ConnectionRefusedError:  # the process was killed
                    self.killed_before_sync = self.killed_before_sync or name not in self.fully_known
                    self._remove(name)
                else:
                    self.reached_name = name
                    return streams
            if not vanished:
                return None
        raise OSError(errno.EAGAIN, "sockets in the handover folder keep changing")

    def mark_fully_known(self) -> None:
        """Record that all claims of the predecessor are known, including its claims from older processes."""
        self.fully_known.add(self.reached_name)
        self.killed_before_sync = False

    def mark_not_fully_known(self) -> None:
        """Note that messages of the predecessor were lost.

        If it is killed before it is reached again, its keys are in doubt.
        """
        self.fully_known.discard(self.reached_name)

    def renew(self) -> None:
        """Rename the own socket, so that no successor still treats this process as fully known.

        After a channel was dropped while both processes live, the old one goes on alone and runs further
        keys. If it is killed then, a successor must not assume that it knows all of its claims.

        Raises OSError if the socket cannot be renamed now.
        """
        if self.server is not None:
            stem = self.name.removesuffix(".sock").split("~")[0]
            name = f"{stem}~{self.renewals + 1}.sock"
            os.rename(self.folder / self.name, self.folder / name)
            self.name, self.renewals = name, self.renewals + 1

    def try_renew(self) -> bool:
        """Rename the own socket and return whether that succeeded."""
        try:
            self.renew()
        except OSError as error:
            log.warning("handover: renaming the socket failed: %s", error)
            return False
        return True

    async def retry_renew(self, ended: Callable[[], bool]) -> None:
        """Retry to rename the own socket until that succeeds or this process ends."""
        await asyncio.sleep(RENEW_RETRY_S)
        while not ended() and not self.try_renew():
            await asyncio.sleep(RENEW_RETRY_S)

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(self.folder / name)

    def close(self) -> None:
        """Stop listening and remove the own socket from the folder."""
        if self.server is not None:
            # The name goes first: a name that refuses connections would count as a killed process.
            self._remove(self.name)
            self.server.close()
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def same_user(writer: asyncio.StreamWriter) -> bool:
    """Return whether the process at the other end runs as the same user as this one."""
    sock = writer.get_extra_info("socket")
    try:
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    except OSError:  # the other process has already disconnected
        return False
    _, uid, _ = CREDENTIALS.unpack(credentials)
    return bool(uid == os.getuid())
