"""The channel between two processes of one node: a Unix socket in a folder that both see.

Each process listens at a name of its own, which holds the moment of its start: the newest older one is its
predecessor. Nothing but these sockets is put there; one whose process is gone refuses, and is removed.
"""

import asyncio
import contextlib
import logging
import os
import socket
import stat
import struct
import time
from pathlib import Path
from typing import Protocol

from beechrock.core.counters import Counters
from beechrock.handover import wire
from beechrock.net.listener import Accepted, Listener
from beechrock.net.peer import CHUNK, BadInputError, Peer

log = logging.getLogger("beechrock")
MOST_OUT = 1 << 18
MOST_MESSAGES = 30_000      # a process that reads nothing for so long is cut off
MOST_NAMES = 64             # of sockets that are looked at
LONGEST_PATH = 100          # bytes that a Unix socket's name may have; longer folders are named by descriptor
CREDENTIALS = struct.Struct("3i")


class Owner(Protocol):
    """Whoever hears what comes over a channel."""

    counters: Counters

    def heard(self, peer: "ChannelPeer", message: wire.Message) -> None:
        """One message, in the order in which they were told."""


class ChannelPeer(Peer[wire.Message]):
    """One end; what can be written at once is in the kernel's hands before ``tell`` returns."""

    where = "handover"

    def __init__(self, owner: "Owner", successor: bool) -> None:
        super().__init__(owner.counters, wire.MOST + 4, MOST_OUT, MOST_MESSAGES)
        self.owner, self.successor = owner, successor
        self.strange = False    # of another version: nothing of it is read, only its end is noticed

    def parse(self) -> None:
        try:
            while len(self.inbox) >= 4 and not self.strange:
                size = wire.length(self.inbox.peek(4))
                if len(self.inbox) < 4 + size:
                    return
                self.inbox.skip(4)
                number = self.inbox.read(1)[0]
                self.owner.heard(self, wire.decode(number, self.inbox.read(size - 1)))
        except wire.WireError as error:
            raise BadInputError(str(error)) from None
        if self.strange:
            self.inbox.skip(len(self.inbox))

    def encode(self, message: wire.Message) -> bytes:
        return wire.encode(message)

    def tell(self, message: wire.Message) -> bool:
        """Whether the other process will read this even if this one is killed now."""
        writer = self._writer
        if self.lost or self.broken or writer is None or not self.flushed:
            if not self.lost and not self.post(message):
                self.drop()     # it reads nothing; it may come back and read all anew
            return False
        if writer.transport.get_write_buffer_size():
            self.post(message)
            return False
        writer.write(wire.encode(message))
        return writer.transport.get_write_buffer_size() == 0

    def bad_input(self, problem: str) -> None:
        log.warning("handover: %s", problem)
        self.drop()

    def input_ended(self) -> None:
        self.broken = True      # half a channel is none


class Channel:
    """The sockets in the folder: our own, and those of older processes of this node."""

    def __init__(self, folder: Path, node: str) -> None:
        self.folder, self.prefix = folder, f"beechrock-{node}-"
        self.name = f"{self.prefix}{time.time_ns():020d}-{os.getpid()}.sock"
        self.server: Listener | None = None
        self._fd: int | None = None

    def _path(self, name: str) -> str:
        """A name that fits: the kernel takes few bytes for the path of a socket."""
        path = str(self.folder / name)
        if len(path.encode()) <= LONGEST_PATH:
            return path
        if self._fd is None:
            self._fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._fd}/{name}"

    def listen(self, accepted: Accepted, counters: Counters) -> None:
        """OSError where the folder takes no socket. It has its name only once it listens."""
        sock = socket.socket(socket.AF_UNIX)
        made = f".{self.name}"
        try:
            sock.bind(self._path(made))
            os.chmod(self.folder / made, 0o600)
            sock.listen(4)
            server = Listener(sock, accepted, counters, "handover", at_once=4)
            try:
                os.rename(self.folder / made, self.folder / self.name)
            except OSError:
                server.close()
                raise
            self.server = server
        except OSError:
            sock.close()
            self._remove(made)
            raise

    def older(self) -> list[str]:
        """Names of older processes' sockets, the newest first; what is not ours to trust is passed over."""
        try:
            names = [n for n in os.listdir(self.folder) if n.startswith(self.prefix) and n.endswith(".sock")]
        except OSError:
            return []
        return [n for n in sorted(names, reverse=True)[:MOST_NAMES] if n < self.name and self._mine(n)]

    def _mine(self, name: str) -> bool:
        try:
            found = os.lstat(self.folder / name)
        except OSError:
            return False
        return stat.S_ISSOCK(found.st_mode) and found.st_uid == os.getuid()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """To the newest older process that is there. OSError where that cannot be told."""
        for name in self.older():
            try:
                return await asyncio.open_unix_connection(self._path(name), limit=CHUNK)
            except (ConnectionRefusedError, FileNotFoundError):     # its process is gone
                self._remove(name)
        return None

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(self.folder / name)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self._remove(self.name)
        if self._fd is not None:
            os.close(self._fd)
            self._fd = None


def same_user(writer: asyncio.StreamWriter) -> bool:
    """Whether the process at the other end is of our own user."""
    sock = writer.get_extra_info("socket")
    try:
        told = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    except OSError:     # it has gone already
        return False
    _, uid, _ = CREDENTIALS.unpack(told)
    return bool(uid == os.getuid())
