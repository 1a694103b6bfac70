"""Non-blocking reads and writes on a connection, without a turn of the event loop.

Used during shutdown: on a busy machine, the loop may not run again before the process is killed.
"""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from types import ModuleType
from typing import Protocol

from beechrock.net.retrying_writer import unsent_bytes

CHUNK = 16_384  # bytes read by one call
NO_BYTES = bytes(4)  # result of FIONREAD for a socket without unread input: an int of 0


def load_input_check() -> tuple[ModuleType, ModuleType]:
    """Return the modules ``fcntl`` and ``termios``; a node that loads them at start uses 0.1 MB more.

    Call this at the notice to shut down, long before connections are ended: while modules load, a request
    could arrive between the check for unread bytes and the end of the stream, and be lost.
    """
    import fcntl
    import termios

    return fcntl, termios


def has_unread_input(connection: socket.socket) -> bool:
    """Return whether the kernel holds unread bytes of the connection. Raises OSError."""
    fcntl, termios = load_input_check()
    return bool(fcntl.ioctl(connection.fileno(), termios.FIONREAD, NO_BYTES) != NO_BYTES)


class DirectEndpoint(Protocol):
    """One end of a connection whose calls never block."""

    def receive(self) -> bytes | None:
        """Return pending input: None if there is none, empty bytes once the other side has ended its stream.

        Raises OSError if the connection is broken.
        """

    def send(self, data: bytes) -> bool:
        """Send bytes; return whether the kernel accepted all of them. Raises OSError."""

    def end(self) -> None:
        """Close the outgoing stream. Raises OSError."""

    def end_if_empty(self) -> bool:
        """Close the outgoing stream unless input is unread; return whether it was closed. Raises OSError."""


class SocketEndpoint:
    """Endpoint on a plain socket that has no transport."""

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self._connection = connection

    def receive(self) -> bytes | None:
        """Return pending input; see ``DirectEndpoint.receive``."""
        return _receive(self._connection)

    def send(self, data: bytes) -> bool:
        """Send bytes; return whether the kernel accepted all of them. Raises OSError."""
        try:
            return self._connection.send(data) == len(data)
        except BlockingIOError:
            return False

    def end(self) -> None:
        """Close the outgoing stream. Raises OSError."""
        self._connection.shutdown(socket.SHUT_WR)

    def end_if_empty(self) -> bool:
        """Close the outgoing stream unless input is unread; see ``DirectEndpoint.end_if_empty``."""
        return _shut_if_empty(self._connection)


class StreamEndpoint:
    """Endpoint on a connection of the event loop; reads the stream's buffer before the kernel's."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    def receive(self) -> bytes | None:
        """Return pending input; see ``DirectEndpoint.receive``."""
        if self.holds_input():
            held: bytearray = self._reader._buffer  # type: ignore[attr-defined]
            data = bytes(held)
            held.clear()
            return data
        if self._reader.at_eof():
            return b""
        with _borrowed_socket(self._writer) as connection:
            return _receive(connection)

    def send(self, data: bytes) -> bool:
        """Send bytes; return whether the kernel accepted all, or the loop sends the rest. Raises OSError."""
        self._writer.write(data)
        return not unsent_bytes(self._writer)

    def end(self) -> None:
        """Close the outgoing stream behind the output that the loop still has to send. Raises OSError."""
        if self._writer.can_write_eof():
            self._writer.write_eof()

    def end_if_empty(self) -> bool:
        """Close the outgoing stream unless input is unread; see ``DirectEndpoint.end_if_empty``."""
        if self.holds_input():
            return False
        if unsent_bytes(self._writer):  # the peer does not read its answers, so its further input is ignored
            self.end()
            return True
        if not _shut_if_empty(self._writer.get_extra_info("socket")):
            return False
        with contextlib.suppress(OSError):  # updates the transport's state; the peer may be gone by now
            self._writer.write_eof()
        return True

    def holds_input(self) -> bool:
        """Return whether the stream holds unread bytes."""
        return bool(getattr(self._reader, "_buffer", b""))  # asyncio has no public accessor for it


def _shut_if_empty(connection: socket.socket) -> bool:
    """Shut down the sending side unless the kernel holds unread bytes.

    Nothing runs between the two system calls: on a busy machine, each further step is one at which the
    process may be paused, while a request arrives that would never be answered.
    """
    fcntl, termios = load_input_check()
    ioctl = fcntl.ioctl
    count_unread = termios.FIONREAD
    descriptor = connection.fileno()
    shutdown = connection.shutdown
    if ioctl(descriptor, count_unread, NO_BYTES) != NO_BYTES:
        return False
    shutdown(socket.SHUT_WR)
    return True


def _receive(connection: socket.socket) -> bytes | None:
    try:
        return connection.recv(CHUNK)
    except BlockingIOError:
        return None


@contextlib.contextmanager
def _borrowed_socket(writer: asyncio.StreamWriter) -> Iterator[socket.socket]:
    """Yield a socket for the transport's descriptor, which the transport continues to own."""
    held = writer.get_extra_info("socket")
    connection = socket.socket(held.family, held.type, held.proto, fileno=held.fileno())
    try:
        yield connection
    finally:
        connection.detach()
