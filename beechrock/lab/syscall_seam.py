"""Counts the system calls of one thread at Python's methods, and lets a chosen one fail.

A call is named by its method, by the role of its socket (whom it leads to), and by its number among the calls
of the same method and role. Names stay the same between two runs where a plain number over all calls
shifts with each report that a clock sends off.
"""

import builtins
import errno
import os
import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from beechrock.lab.errors import BadFaultError

LASTING_S = 0.3  # real time for which calls fail in the mode LASTING
ONCE, LASTING = "once", "lasting"
MODES = (ONCE, LASTING)
LISTENER, INTERNAL, FILE, UNKNOWN = "listener", "internal", "file", "unknown"

# What the Linux manual documents for a correct program: section 2 with ip(7), tcp(7), udp(7). EINTR never
# reaches these methods, as Python makes the call again below them (PEP 475).
ERRORS: dict[str, tuple[int, ...]] = {
    "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EACCES),
    "bind": (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES),
    "listen": (errno.EADDRINUSE,),
    "accept": (
        errno.EAGAIN,
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.EHOSTUNREACH,
    ),
    "connect": (
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNREFUSED,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EACCES,
        errno.EPERM,
    ),
    "recv": (errno.EAGAIN, errno.ENOMEM, errno.ECONNRESET, errno.ETIMEDOUT, errno.ENOTCONN),
    "recvfrom": (errno.EAGAIN, errno.ENOMEM, errno.ECONNREFUSED),
    "send": (
        errno.EAGAIN,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNRESET,
        errno.EPIPE,
        errno.ENOTCONN,
        errno.EPERM,
    ),
    "setsockopt": (errno.ENOPROTOOPT, errno.EINVAL),
    "getsockopt": (errno.ENOPROTOOPT,),
    "getsockname": (errno.ENOBUFS,),
    "getpeername": (errno.ENOBUFS, errno.ENOTCONN),
    "shutdown": (errno.ENOTCONN,),
    "register": (errno.ENOMEM, errno.ENOSPC),
    "open": (errno.EACCES, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOENT),
    "stat": (errno.EACCES, errno.ENOENT, errno.ENOMEM),
}
SOCKET_METHODS = tuple(name for name in ERRORS if name not in ("socket", "register", "open", "stat"))


@dataclass(frozen=True, order=True)
class Call:
    """One system call of a play."""

    method: str
    role: str
    number: int  # from 1, among those of the same method and role

    def __str__(self) -> str:
        return f"{self.method}@{self.role}#{self.number}"


@dataclass(frozen=True, order=True)
class Fault:
    """A call, the error that it is given, and whether calls of its method go on failing."""

    call: Call
    error: int
    mode: str = ONCE

    def __str__(self) -> str:
        return f"{self.call}:{errno.errorcode[self.error]}:{self.mode}"


def parse_fault(text: str) -> Fault:
    """Return the fault that ``str`` gave. Raises BadFaultError, whose text says what was wanted."""
    try:
        name, error, mode = text.split(":")
        method, _, rest = name.partition("@")
        role, _, number = rest.partition("#")
        fault = Fault(Call(method, role, int(number)), getattr(errno, error), mode)
    except (ValueError, AttributeError):
        raise BadFaultError(f"{text!r}: wanted METHOD@ROLE#NUMBER:ERRNO:MODE") from None
    if method not in ERRORS or mode not in MODES or fault.call.number < 1:
        raise BadFaultError(f"{text!r}: unknown method, mode or number")
    return fault


class Seam:
    """Patches this process for good; ``note`` hears of each call, and of each that failed."""

    def __init__(self, roles: dict[int, str], fault: Fault | None, note: Callable[[str], None]) -> None:
        """``roles``: by the port of the other side."""
        self.roles, self.fault, self.note = roles, fault, note
        self.thread = threading.get_ident()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.until_s = 0.0
        self.inside = False

    def install(self) -> None:
        """Patch the methods."""
        for method in SOCKET_METHODS:
            self._patch(socket.socket, method, self.role_of)
        self._patch(
            selectors.EpollSelector, "register", lambda *arguments: self.role_of_descriptor(arguments[1])
        )
        self._patch(builtins, "open", lambda *_: FILE)
        self._patch(os, "stat", lambda *_: FILE)
        self._patch_socket_creation()

    def role_of(self, sock: Any, *_: Any) -> str:
        """Return whom a socket leads to."""
        # The base class's methods: those of ``socket.socket`` are patched.
        import _socket

        try:
            peer = _socket.socket.getpeername(sock)
        except OSError:
            try:
                listening = _socket.socket.getsockopt(sock, socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            except OSError:
                return UNKNOWN
            return LISTENER if listening else UNKNOWN
        return self.roles.get(peer[1], UNKNOWN) if isinstance(peer, tuple) else INTERNAL

    def role_of_descriptor(self, watched: Any) -> str:
        """Return whom a descriptor, or an object that has one, leads to."""
        import _socket

        try:
            sock = _socket.socket(fileno=watched if isinstance(watched, int) else watched.fileno())
        except OSError:
            return INTERNAL
        try:
            return self.role_of(sock)
        finally:
            sock.detach()

    def _patch(self, owner: Any, method: str, role_of: Callable[..., str]) -> None:
        real = getattr(owner, method)

        def patched(*arguments: Any, **options: Any) -> Any:
            if threading.get_ident() != self.thread or self.inside:
                return real(*arguments, **options)
            self.inside = True
            try:
                role = role_of(*arguments)
                if method == "connect" and role == UNKNOWN and isinstance(arguments[1], tuple):
                    role = self.roles.get(arguments[1][1], UNKNOWN)
                error = self._next(method, role)
                if error is not None:
                    self._fail(method, role, error, real, arguments)
                return real(*arguments, **options)
            finally:
                self.inside = False

        setattr(owner, method, patched)

    def _patch_socket_creation(self) -> None:
        real = socket.socket.__init__

        def patched(sock: Any, *arguments: Any, **options: Any) -> None:
            made = options.get("fileno") is None and len(arguments) < 4
            if made and threading.get_ident() == self.thread and not self.inside:
                error = self._next("socket", UNKNOWN)
                if error is not None:
                    self._tell("socket", UNKNOWN)
                    raise OSError(error, os.strerror(error))
            real(sock, *arguments, **options)

        setattr(socket.socket, "__init__", patched)  # noqa: B010

    def _next(self, method: str, role: str) -> int | None:
        """Count a call; return the error that it is to have, None where it is to be made."""
        self.counts[method, role] += 1
        number = self.counts[method, role]
        self.note(f"call {method} {role}")
        if self.fault is None or method != self.fault.call.method:
            return None
        if Call(method, role, number) == self.fault.call:
            if self.fault.mode == LASTING:
                self.until_s = time.monotonic() + LASTING_S
            return self.fault.error
        return self.fault.error if time.monotonic() < self.until_s else None

    def _fail(
        self, method: str, role: str, error: int, real: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> None:
        if method == "accept" and error == errno.ECONNABORTED:  # the kernel has taken it off its queue
            connection, peer = real(*arguments)
            connection.close()
            role = self.roles.get(peer[1], UNKNOWN)
        self._tell(method, role)
        raise OSError(error, os.strerror(error))

    def _tell(self, method: str, role: str) -> None:
        self.note(f"failed {method} {role}")
