"""When a request came to this machine, by what the kernel records of its connection.

A request belongs to the node once its last byte was written (docs/scgi.md). The node itself sees only an
earlier moment, when it accepts the connection, and a later one, when it reads that byte; a quiet caller or a
pause of this process may lie between. Linux reports the time since the last data of a TCP connection was
received (tcp(7), ``TCP_INFO``), also while the connection waits to be accepted or the process is stopped.
"""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from beechrock.core.clock_offset import Birth

TCP_INFO: int | None = getattr(socket, "TCP_INFO", None)  # Linux only
LAST_DATA_RECEIVED_MS = struct.Struct("=52xI")  # tcpi_last_data_recv in the kernel's struct tcp_info
GRANULARITY_S = 0.01  # the kernel counts in ticks of its timer, which are no longer than this
# A request of up to this size is never held back at its sender: the receive buffer is four times as large.
MAX_UNDELAYED_BYTES = 16_384


def since_input_s(connection: socket.socket) -> float | None:
    """Return the seconds since the kernel last received data on a connection; None if it does not say.

    Without any data it is the time since the connection was made. The error is at most ``GRANULARITY_S``.
    """
    if TCP_INFO is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, TCP_INFO, LAST_DATA_RECEIVED_MS.size)
    except OSError:  # no TCP connection, or one that is closed
        return None
    if len(info) < LAST_DATA_RECEIVED_MS.size:
        return None
    elapsed_ms: int = LAST_DATA_RECEIVED_MS.unpack(info)[0]
    return elapsed_ms / 1000


@dataclass(frozen=True, slots=True)
class InputAge:
    """The age of a connection's last input, which was asked for between two readings of the node's clock."""

    before: float  # steady seconds
    since_input_s: float | None  # None: unknown
    after: float  # steady seconds

    @classmethod
    def read(
        cls,
        clock: Callable[[], float],
        since_input_s: Callable[[socket.socket], float | None],
        connection: socket.socket | None,
    ) -> "InputAge":
        """Ask for the age of the last input of ``connection``, which may be None, by ``since_input_s``."""
        before = clock()
        elapsed_s = since_input_s(connection) if connection is not None else None
        return cls(before, elapsed_s, clock())

    @property
    def latest(self) -> float:
        """The latest time at which any of the input read so far may have been received, in steady seconds."""
        return self.after - max(0.0, (self.since_input_s or 0.0) - GRANULARITY_S)

    @property
    def earliest(self) -> float | None:
        """The earliest time at which the last input may have been received, in steady seconds, or None."""
        return None if self.since_input_s is None else self.before - self.since_input_s - GRANULARITY_S


def birth(age: InputAge, accepted_at: float, size: int, is_last_input: bool, unseen_s: float) -> Birth:
    """Return when a request of ``size`` bytes came to this machine.

    ``accepted_at``: when its connection was accepted, in steady seconds. ``is_last_input``: its last byte is
    the last that its connection received. ``unseen_s``: the seconds that a written request may wait until its
    connection is accepted; they count if the kernel's record does not prove when the request was written.
    """
    known = age.earliest if is_last_input else None
    born = min(accepted_at, age.latest) if known is None else known
    earliest = born
    if known is None or size > MAX_UNDELAYED_BYTES:
        earliest = min(born, accepted_at) - unseen_s
    return Birth(born, born - earliest, age.latest - born)
