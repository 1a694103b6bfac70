"""Fault injection for tests: system calls of chosen sockets fail, or read and write only a part.

    with faults("accept", EMFILE, EMFILE) as accept:        # the next two accepts fail, later ones succeed
    with faults("send", Short(3), of=to(port)):             # one send to that port sends only three bytes
    with faults("connect", ENOBUFS, times=None):            # every connect fails, until the block ends
    with refused("register", ENOMEM, of=to_port(port)):     # the next epoll_ctl(2) for such a socket fails

The methods of ``socket.socket``, through which the event loop makes its calls, and those of the running
loop's selector are patched.
"""

import asyncio
import errno
import gc
import os
import selectors
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any


def descriptors() -> int:
    """Return the number of open descriptors of this process, after garbage has been collected.

    In one run of the suite, a socket that an earlier test had left in a reference cycle was collected between
    two counts, so that the descriptor of a listener seemed to be missing.
    """
    gc.collect()
    return len(os.listdir("/proc/self/fd"))


@dataclass(frozen=True)
class Short:
    """A fault that is no error: at most ``count`` bytes are read or written."""

    count: int


@dataclass
class Faults:
    """Faults still to be injected, and the number of calls that failed."""

    left: list[int | Short]
    forever: bool  # the first fault is injected again and again
    failed: int = 0
    sockets: list[socket.socket] = field(default_factory=list)  # sockets on which calls failed

    def next(self, sock: socket.socket) -> int | Short | None:
        if not self.left:
            return None
        self.failed += 1
        self.sockets.append(sock)
        return self.left[0] if self.forever else self.left.pop(0)


def error_of(number: int) -> OSError:
    return OSError(number, os.strerror(number))


def on_port(port: int) -> Callable[[socket.socket], bool]:
    """Match the sockets bound to this port: the listening one, and those accepted from it."""
    return lambda sock: sock.getsockname()[1:2] == (port,)


def accepted_on(port: int) -> Callable[[socket.socket], bool]:
    """Match the sockets accepted at this port, without the listening one."""

    def chosen(sock: socket.socket) -> bool:
        return on_port(port)(sock) and not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)

    return chosen


def to_port(port: int) -> Callable[[socket.socket], bool]:
    """Match the sockets connected to this port."""

    def chosen(sock: socket.socket) -> bool:
        try:
            return bool(sock.getpeername()[1:2] == (port,))
        except OSError:
            return False

    return chosen


@contextmanager
def faults(
    call: str,
    *kinds: int | Short,
    times: int | None = 1,
    of: Callable[[socket.socket], bool] = lambda _: True,
) -> Iterator[Faults]:
    """Let ``call`` fail on the sockets that ``of`` matches, with each of ``kinds`` in turn, ``times`` over.

    If ``times`` is None, it fails with the first of them until the block ends.

    As in the kernel, a connection whose accept fails with ECONNABORTED is removed from the backlog, and one
    whose connect fails with EINPROGRESS is made (on loopback before the call returns).
    """
    injected = Faults(list(kinds) * (times or 1), times is None)
    own = socket.socket.__dict__.get(call)
    real = getattr(socket.socket, call)

    def patched(sock: socket.socket, *arguments: Any, **options: Any) -> Any:
        kind = injected.next(sock) if of(sock) else None
        match kind:
            case None:
                return real(sock, *arguments, **options)
            case Short(count) if call == "send":
                return real(sock, memoryview(arguments[0])[:count], *arguments[1:])
            case Short(count):
                return real(sock, min(count, arguments[0]), *arguments[1:])
            case errno.ECONNABORTED if call == "accept":
                real(sock)[0].close()
            case errno.EINPROGRESS if call == "connect":
                real(sock, *arguments)
        assert isinstance(kind, int)
        raise error_of(kind)

    setattr(socket.socket, call, patched)
    try:
        yield injected
    finally:
        if own is None:
            delattr(socket.socket, call)
        else:
            setattr(socket.socket, call, own)


@contextmanager
def refused(
    call: str,
    *numbers: int,
    times: int | None = 1,
    of: Callable[[socket.socket], bool] = lambda _: True,
    events: int = selectors.EVENT_READ | selectors.EVENT_WRITE,
) -> Iterator[Faults]:
    """Let the loop's selector fail to ``register`` or ``modify`` matching sockets for any of ``events``.

    ``numbers``, ``times`` and ``of`` are as for ``faults``. As in ``selectors``, a socket that cannot be
    modified is removed from the selector's map, while the kernel still watches it.
    """
    injected = Faults(list(numbers) * (times or 1), times is None)
    selector: Any = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]
    own = selector.__dict__.get(call)
    real = getattr(selector, call)

    def patched(descriptor: int, asked: int, data: Any = None) -> selectors.SelectorKey:
        sock = socket.socket(fileno=descriptor)
        try:
            number = injected.next(sock) if asked & events and of(sock) else None
        finally:
            sock.detach()
        if number is None:
            return real(descriptor, asked, data)  # type: ignore[no-any-return]
        assert isinstance(number, int)
        if call == "modify":
            del selector._fd_to_key[descriptor]
        raise error_of(number)

    setattr(selector, call, patched)
    try:
        yield injected
    finally:
        if own is None:
            delattr(selector, call)
        else:
            setattr(selector, call, own)


def loop_errors() -> list[BaseException]:
    """Return a list that collects errors passed to the running loop's exception handler from now on.

    Such errors do not reach any code of the node.
    """
    seen: list[BaseException] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: seen.append(context["exception"]))
    return seen
