"""Listening socket on asyncio's loop that keeps accepting despite the errors that accept(2) reports.

It replaces asyncio's own server for these faults (Lib/asyncio/selector_events.py, 3.11 to 3.13):

- On EMFILE, ENFILE, ENOBUFS and ENOMEM, the server repeats the call up to ``backlog`` times, and then stops
  accepting for a second; requests with short deadlines expire in the backlog meanwhile. After that second it
  accepts again, even if it was paused or closed in between.
- Linux reports errors of a single connection through accept(2). They end that turn of the loop with a
  traceback in the log.
- A connection whose set-up fails is dropped without being counted.
- Accepted connections have no TCP_NODELAY if the listening socket does not name IPPROTO_TCP, and
  ``socket.create_server`` does not name it.

No reserve descriptor is kept for EMFILE. It would allow accepting a connection only to close it, which loses
its request; in the backlog, the request waits. If a shortage lasts, ``relieve`` ends an idle connection.
"""

import asyncio
import contextlib
import errno
import functools
import logging
import os
import socket
from collections.abc import Callable, Iterator
from typing import Any

from beechrock.core.counters import Counters
from beechrock.net.registration import RETRY_S, RetryingStreamReader
from beechrock.net.retrying_writer import RetryingStreamWriter
from beechrock.net.tolerant_socket import make_tolerant

log = logging.getLogger("beechrock")
READ_CHUNK = 16_384  # stream limit in bytes; asyncio stops reading a connection at twice as many unread bytes
BACKLOG = 1024  # maximum number of connections that wait in the kernel to be accepted
MAX_ACCEPTED_AT_ONCE = 16  # connections accepted per turn of the loop, before a full table can evict others
RECEIVE_BUFFER = 65_536  # bytes of a connection's unread input in the kernel; bounds the memory of many
RELIEVE_AFTER = 5  # successive failures for lack of a descriptor or memory, after which ``relieve`` is called
START_PATIENCE_S = 2.0  # how long the creation of a listening socket is retried during a shortage
SO_BINDTOIFINDEX = 62  # socket option of Linux 5.0 and later; the module ``socket`` does not define it
NO_INTERFACE = 2**31 - 1  # an index that no network interface has

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# accept(2): "Linux accept() passes already-pending network errors on the new socket as an error code from
# accept() ... treat them like EAGAIN by retrying"; and EPERM, if a firewall forbids the connection. Each
# concerns one connection that is lost, and does not affect the next.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.EPERM,
        errno.ECONNRESET,
        errno.ETIMEDOUT,
    }
)

Accepted = Callable[[asyncio.StreamReader, asyncio.StreamWriter], None]
Arrivals = dict[asyncio.StreamReader, socket.socket]  # accepted connections that have no streams yet


class Listener:
    """Accepts connections from ``sock``, which it owns, and passes the streams of each to ``accepted``.

    ``arrivals`` holds accepted connections until their streams are passed on; whoever removes one before
    that owns it. ``relieve`` is called at each failed try of a lasting shortage, to free a descriptor and
    memory. ``budget`` is called with the number of connections whose set-up is in progress, and returns how
    many more may be accepted; the others wait in the backlog.
    """

    def __init__(
        self,
        sock: socket.socket,
        accepted: Accepted,
        counters: Counters,
        where: str,
        at_once: int = MAX_ACCEPTED_AT_ONCE,
        relieve: Callable[[], None] = lambda: None,
        budget: Callable[[int], int] = lambda arriving: MAX_ACCEPTED_AT_ONCE,
        arrivals: Arrivals | None = None,
        shared: bool = False,
    ) -> None:
        """Start to accept; ``shared`` is whether other processes accept from the same socket."""
        self.accepted = accepted
        self.counters = counters
        self.where = where
        self.at_once = at_once
        self.relieve = relieve
        self.budget = budget
        self.arriving = 0  # number of accepted connections whose set-up is in progress
        self.arrivals: Arrivals = {} if arrivals is None else arrivals
        self._sock = sock
        self._shared = shared
        self.refusing = False  # the kernel refuses new connections; the backlog can still be accepted
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None
        self._failures = 0  # successive failures of accept(2) or of the registration, other than a peer's
        sock.setblocking(False)
        self._watch()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket, under the name that asyncio's servers use; empty once closed."""
        return () if self._sock.fileno() < 0 else (self._sock,)

    def close(self) -> None:
        """Stop accepting, and close our descriptor; connections accepted before are still served."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self.sockets:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()

    def _refuse(self) -> None:
        """Make the kernel refuse new connections; those in the backlog can still be accepted.

        A connection that arrives between the last accept and the close would be reset, and its request lost;
        on a busy machine, the process may be paused between the two. Binding the socket to an interface that
        does not exist keeps new connections away. A shared socket is left alone, as other processes accept
        from it.
        """
        if self.refusing or self._shared or not self.sockets:
            return
        with contextlib.suppress(OSError):  # needs a privilege before Linux 5.7; without it, the gap remains
            self._sock.setsockopt(socket.SOL_SOCKET, SO_BINDTOIFINDEX, NO_INTERFACE)
            self.refusing = True

    def _close_unwatched(self) -> None:
        """Close a socket that the loop no longer watches; the system call comes first, without delay.

        If the socket could not be made to refuse connections, one that arrives between the last accept and
        the close is reset, and its request is lost.
        """
        self._sock.close()
        self.close()

    def _watch(self) -> None:
        self._retry = None
        try:
            self._loop.add_reader(self._sock.fileno(), self._accept_ready)
        except OSError:  # epoll_ctl(2): ENOMEM, ENOSPC; without a retry it would never accept again
            self._failures += 1
            self._registration_failed(self._failures)
            self._retry = self._loop.call_later(RETRY_S, self._watch)

    def close_empty(self) -> bool:
        """Accept from the backlog, and close in the same step once it is empty. Returns whether it is closed.

        Closing a listening socket resets the connections in its backlog, and their requests are lost. From
        the first call on, no new connections enter the backlog.
        """
        self._refuse()
        self._loop.remove_reader(self._sock.fileno())
        if not self._accept_ready():
            return False
        self._close_unwatched()
        return True

    def take_backlog(self) -> Iterator[socket.socket]:
        """Yield each connection in the backlog, without a transport; close the socket once it is empty.

        Used at the end of the process, regardless of the budget. The socket stays open after an error that
        concerns more than one connection.
        """
        self._refuse()
        if self.sockets:
            self._loop.remove_reader(self._sock.fileno())
        for _ in range(BACKLOG):
            try:
                connection, _ = self._sock.accept()
            except BlockingIOError:
                self._close_unwatched()
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    self.counters.add(f"intake.{self.where}_accept_errors")
                    continue
                self.counters.add(f"intake.{self.where}_accept_shortages")
                return
            yield connection

    def _accept_ready(self) -> bool:
        """Accept up to ``at_once`` connections in this turn of the loop. Returns whether none is left."""
        taken = errors = 0
        count = min(self.at_once, self.budget(self.arriving))
        if count <= 0:
            self._pause()
            return False
        for _ in range(count):
            try:
                connection, _ = self._sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno not in CONNECTION_ERRORS:
                    self._handle_shortage(error)
                    return False
                errors += 1
                self.counters.add(f"intake.{self.where}_accept_errors")
                continue
            taken += 1
            self.arriving += 1
            self._failures = 0
            reader = RetryingStreamReader(READ_CHUNK, self._loop, self._registration_failed)
            self.arrivals[reader] = connection
            self.counters.spawn(self._set_up(reader), f"{self.where}.accept")
        if errors and not taken:  # the error seems to persist; without a pause the retries would take a core
            self._pause()
        return False

    def _handle_shortage(self, error: OSError) -> None:
        """Handle an error of the process or the system: retry soon, while connections wait in the backlog."""
        self._failures += 1
        self.counters.add(f"intake.{self.where}_accept_shortages")
        if self._failures == 1:
            log.warning("%s: accept: %s; retrying every %g s", self.where, error.strerror, RETRY_S)
            if error.errno not in SHORTAGES:
                self.counters.add(f"trouble.{self.where}_accept")
        if error.errno in SHORTAGES and self._failures > RELIEVE_AFTER:
            self.relieve()
        self._pause()

    def _registration_failed(self, failures: int) -> None:
        """Handle ``failures`` successive failures to register the socket or an accepted connection."""
        self.counters.add(f"intake.{self.where}_accept_shortages")
        if failures > RELIEVE_AFTER:
            self.relieve()

    def _pause(self) -> None:
        """Resume accepting after RETRY_S. There is at most one timer, as ``close`` cancels only one."""
        self._loop.remove_reader(self._sock.fileno())
        if self._retry is not None:
            self._retry.cancel()
        self._retry = self._loop.call_later(RETRY_S, self._watch)

    async def _set_up(self, reader: RetryingStreamReader) -> None:
        """Create the streams of an accepted connection; ``accepted`` is called as soon as they exist."""
        connection = self.arrivals.get(reader)
        try:
            if connection is None:
                return
            connection = self.arrivals[reader] = make_tolerant(connection)
            send_at_once(connection)
            protocol = AcceptedProtocol(reader, functools.partial(self._pass_on, reader), self._loop)
            await self._loop.connect_accepted_socket(lambda: protocol, connection)
        except Exception as error:  # close it here, as a reference to it would keep its descriptor open
            self.arrivals.pop(reader, None)
            if connection is not None:
                connection.close()
            if not isinstance(error, OSError):
                raise
            self.counters.add(f"intake.{self.where}_set_up_errors")
        finally:
            self.arriving -= 1

    def _pass_on(
        self,
        reader: RetryingStreamReader,
        transport: asyncio.Transport,
        protocol: asyncio.StreamReaderProtocol,
    ) -> None:
        if self.arrivals.pop(reader, None) is not None:
            failed = self._registration_failed
            self.accepted(reader, RetryingStreamWriter(transport, protocol, reader, self._loop, failed))


class AcceptedProtocol(asyncio.StreamReaderProtocol):
    """Calls ``made`` in the same step in which the connection gets its transport.

    From then on, received bytes may be in the stream, where a read from the socket does not find them.
    """

    def __init__(
        self,
        reader: RetryingStreamReader,
        made: Callable[[asyncio.Transport, asyncio.StreamReaderProtocol], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(reader, loop=loop)
        self._made = made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection's transport, and call ``made``."""
        assert isinstance(transport, asyncio.Transport)
        super().connection_made(transport)
        self._made(transport, self)


def send_at_once(connection: socket.socket) -> None:
    """Set TCP_NODELAY, so that the kernel delays no small writes.

    asyncio sets it only if the socket names its protocol, which accepted sockets may not. An answer that is
    held back until the previous one is acknowledged comes late, and is lost if the connection is reset.
    """
    if connection.family != socket.AF_UNIX:
        # If TCP_NODELAY can't be set, the connection is used anyway: its small answers may then be delayed.
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _listening_socket(host: str, port: int, fd: int | None) -> socket.socket:
    if fd is not None:  # duplicate it, as other processes use the socket too, and it outlives this listener
        sock = socket.socket(fileno=os.dup(fd))
    else:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
    try:
        with contextlib.suppress(OSError):  # this only bounds memory; connections work without it
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


async def listen(
    accepted: Accepted,
    host: str,
    port: int,
    counters: Counters,
    where: str,
    fd: int | None = None,
    **options: Any,
) -> Listener:
    """Listen with a long backlog, on a new socket or on the existing socket ``fd``.

    A shortage of descriptors or memory is retried for START_PATIENCE_S; on an existing socket, for as long as
    it lasts, as the process runs already and nothing else would try again. Any other error is raised.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + START_PATIENCE_S
    while True:
        try:
            sock = _listening_socket(host, port, fd)
            break
        except OSError as error:
            if error.errno not in SHORTAGES or (fd is None and loop.time() > end):
                raise
            counters.add(f"intake.{where}_listen_errors")
        await asyncio.sleep(RETRY_S)
    return Listener(sock, accepted, counters, where, shared=fd is not None, **options)
