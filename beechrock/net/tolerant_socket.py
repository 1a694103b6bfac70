"""Socket whose connection survives a short lack of memory, as requests read from it still need answers."""

import errno
import os
import socket
import time
from typing import Any

# recv(2) and send(2) may fail with ENOMEM and ENOBUFS although the connection still works. asyncio closes a
# connection after any error except EAGAIN and EINTR, and all requests that are open on it are lost.
TRANSIENT = frozenset({errno.ENOBUFS, errno.ENOMEM})
PATIENCE_S = 1.0  # how long calls may fail in a row before the connection ends; the loop retries each turn


class TolerantSocket(socket.socket):
    """Reports a lack of memory as EAGAIN, so that the call is retried, for at most PATIENCE_S in a row."""

    __slots__ = ("_shortage_since",)
    _shortage_since: float

    def recv(self, *arguments: Any) -> bytes:
        """Receive bytes. Raises BlockingIOError if a later call may succeed, otherwise OSError."""
        try:
            data = super().recv(*arguments)
        except OSError as error:
            self._check(error)
            raise
        self._shortage_since = 0.0
        return data

    def send(self, *arguments: Any) -> int:
        """Send bytes. Raises BlockingIOError if a later call may succeed, otherwise OSError."""
        try:
            count = super().send(*arguments)
        except OSError as error:
            self._check(error)
            raise
        self._shortage_since = 0.0
        return count

    def sendmsg(self, *arguments: Any) -> int:
        """Send buffers, as asyncio does from Python 3.12 on. Raises the same errors as ``send``."""
        try:
            count = super().sendmsg(*arguments)
        except OSError as error:
            self._check(error)
            raise
        self._shortage_since = 0.0
        return count

    def _check(self, error: OSError) -> None:
        """Raise BlockingIOError if the call should be retried."""
        if error.errno not in TRANSIENT:
            return
        now = time.monotonic()
        self._shortage_since = self._shortage_since or now
        if now < self._shortage_since + PATIENCE_S:
            raise BlockingIOError(errno.EAGAIN, error.strerror) from None


def make_tolerant(connection: socket.socket) -> TolerantSocket:
    """Move the descriptor of ``connection`` to a tolerant socket, and return that."""
    family, kind, protocol = connection.family, connection.type, connection.proto
    fd = connection.detach()
    try:
        made = TolerantSocket(family, kind, protocol, fileno=fd)
    except BaseException:
        os.close(fd)
        raise
    made._shortage_since = 0.0
    return made
