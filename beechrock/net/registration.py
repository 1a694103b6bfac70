"""Registers connections with the event loop, and retries if epoll_ctl(2) fails with ENOMEM or ENOSPC.

asyncio does not handle that failure in three cases (Lib/asyncio/selector_events.py, streams.py):

- A new connection is registered in a callback of the loop. The error goes to the loop's exception handler,
  while the connection is passed on as if it were being read.
- A stream that was full is registered again when it is read. ``StreamReader.read`` raises the error after it
  has removed bytes from its buffer: they are lost, and nothing more is read.
- A write that the kernel accepts only in part registers a connection that is not being read. ``write`` raises
  the error, and the unsent part is lost (see ``retrying_writer``).
"""

import asyncio
from collections.abc import Callable

RETRY_S = 0.01  # seconds until the first retry; short beside the shortest deadlines of some 100 ms
MAX_RETRY_S = 0.16  # upper bound of the backoff, which keeps many waiting connections from taking a core
MAX_DOUBLINGS = 4  # number of times that the backoff doubles

RegistrationFailed = Callable[[int], None]  # called with the number of successive failures


def ignore_failure(failures: int) -> None:
    """Do nothing; the registration is retried anyway."""


def pause_s(failures: int) -> float:
    """Return the seconds until the next retry after ``failures`` successive failures."""
    return min(MAX_RETRY_S, RETRY_S * 2.0 ** min(failures - 1, MAX_DOUBLINGS))


def try_resume(transport: asyncio.ReadTransport) -> bool:
    """Resume reading. Returns False if the connection cannot be registered now; it then stays paused."""
    try:
        transport.resume_reading()
    except OSError:
        transport.pause_reading()  # the transport believes that it is reading, and would not register again
        return False
    return True


class RetriedReading(asyncio.ReadTransport):
    """Pauses and resumes the reading of ``transport``, and retries if it cannot be registered."""

    __slots__ = ("_failed", "_failures", "_retry", "_transport")

    def __init__(self, transport: asyncio.ReadTransport, failed: RegistrationFailed) -> None:
        super().__init__()
        self._transport = transport
        self._failed = failed
        self._failures = 0  # successive failures
        self._retry: asyncio.TimerHandle | None = None

    def register(self) -> None:
        """Register a new transport; its own callback then finds it registered or paused."""
        self._transport.pause_reading()
        self.resume_reading()

    def pause_reading(self) -> None:
        """Stop reading, and cancel a pending retry."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading, now or as soon as the connection can be registered."""
        self._retry = None
        if try_resume(self._transport):
            self._failures = 0
            return
        self._failures += 1
        loop = asyncio.get_running_loop()
        self._retry = loop.call_later(pause_s(self._failures), self.resume_reading)
        self._failed(self._failures)


class RetryingStreamReader(asyncio.StreamReader):
    """Stream of a connection whose registration for reading is retried until the kernel accepts it.

    ``failed`` is called after each failed try.
    """

    def __init__(
        self,
        limit: int,
        loop: asyncio.AbstractEventLoop,
        failed: RegistrationFailed = ignore_failure,
    ) -> None:
        super().__init__(limit=limit, loop=loop)
        self._failed = failed
        self._reading: RetriedReading | None = None

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection's transport, and register it before its own callback does so."""
        assert isinstance(transport, asyncio.ReadTransport)
        self._reading = RetriedReading(transport, self._failed)
        super().set_transport(self._reading)
        self._reading.register()

    def feed_eof(self) -> None:
        """Handle the end of the stream, after which the transport is no longer registered: mark it paused."""
        super().feed_eof()
        if self._reading is not None:
            self._reading.pause_reading()
