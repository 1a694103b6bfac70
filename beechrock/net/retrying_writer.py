"""Writes to connections that may not be registered with the event loop, without losing a byte.

asyncio's transport registers such a connection when the kernel accepts no more bytes. If epoll_ctl(2) fails
then, a part of the data has been sent and the rest is lost. Here the first part is sent by a call of its own,
so that the number of sent bytes is known.
"""

import asyncio
import os
from dataclasses import dataclass

from beechrock.net.registration import RETRY_S, RegistrationFailed, ignore_failure, pause_s, try_resume

MAX_FAILURES_AT_CLOSE = 128  # failed tries (some 20 s) after which a connection to be closed is aborted

Data = bytes | bytearray | memoryview


@dataclass(slots=True)
class PendingOutput:
    """Output that could not be passed to the transport yet, and the operations that must follow it."""

    data: bytearray
    failures: int = 0  # successive failures
    end_requested: bool = False  # the stream is to be ended behind the data
    close_requested: bool = False  # the connection is to be closed behind the data


class RetryingStreamWriter(asyncio.StreamWriter):
    """Stream writer for connections that may be paused for reading, and thus not registered with the loop.

    Output that the kernel does not accept needs a registration, to wait until it does. If that fails, the
    output is kept here, and written as soon as the connection is registered. ``failed`` is called after each
    failed try.
    """

    def __init__(
        self,
        transport: asyncio.WriteTransport,
        protocol: asyncio.BaseProtocol,
        reader: asyncio.StreamReader,
        loop: asyncio.AbstractEventLoop,
        failed: RegistrationFailed = ignore_failure,
    ) -> None:
        super().__init__(transport, protocol, reader, loop)
        self._failed = failed
        self._pending: PendingOutput | None = None

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the kernel has not accepted yet."""
        kept_bytes = 0 if self._pending is None else len(self._pending.data)
        return kept_bytes + self.transport.get_write_buffer_size()

    def write(self, data: Data) -> None:
        """Send as much as the kernel accepts now, and the rest in the background."""
        if self._pending is not None:
            self._pending.data += data
        elif needs_no_registration(self.transport):
            super().write(data)
        elif (rest := data[_send_now(self.transport, data) :]) and not self._pass_to_transport(rest):
            self._pending = PendingOutput(bytearray(rest))
            self._schedule_retry(self._pending)

    def write_eof(self) -> None:
        """End the stream behind all written data."""
        if self._pending is not None:
            self._pending.end_requested = True
        else:
            super().write_eof()

    def close(self) -> None:
        """Close the connection behind all written data."""
        if self._pending is not None:
            self._pending.close_requested = True
        else:
            super().close()

    async def drain(self) -> None:
        """Wait until the transport accepts more data. Raises OSError if the connection has ended."""
        while self._pending is not None and not self.transport.is_closing():
            await asyncio.sleep(RETRY_S)
        await super().drain()

    def _pass_to_transport(self, data: Data) -> bool:
        """Pass bytes to the transport. Returns False if the connection cannot be registered now."""
        transport = self.transport
        assert isinstance(transport, asyncio.ReadTransport)
        if transport.is_reading():
            super().write(data)
            return True
        if not try_resume(transport):
            return False
        super().write(data)
        transport.pause_reading()
        return True

    def _schedule_retry(self, pending: PendingOutput) -> None:
        pending.failures += 1
        asyncio.get_running_loop().call_later(pause_s(pending.failures), self._write_pending, pending)
        self._failed(pending.failures)

    def _write_pending(self, pending: PendingOutput) -> None:
        if self.transport.is_closing():
            self._pending = None
            return
        if not self._pass_to_transport(bytes(pending.data)):
            if pending.close_requested and pending.failures >= MAX_FAILURES_AT_CLOSE:
                self.transport.abort()
            self._schedule_retry(pending)
            return
        self._pending = None
        if pending.end_requested:
            self.write_eof()
        if pending.close_requested:
            self.close()


def unsent_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the number of bytes written to a stream that the kernel has not accepted yet."""
    if isinstance(writer, RetryingStreamWriter):
        return writer.unsent_bytes
    return writer.transport.get_write_buffer_size()


def needs_no_registration(transport: asyncio.WriteTransport) -> bool:
    """Return whether a write needs no new registration to wait for the kernel, or does not wait at all."""
    assert isinstance(transport, asyncio.ReadTransport)
    return transport.is_reading() or transport.is_closing() or transport.get_write_buffer_size() > 0


def _send_now(transport: asyncio.WriteTransport, data: Data) -> int:
    """Return how many bytes the kernel accepted at once. An error is left to the transport's own write."""
    try:  # through the descriptor: a socket object would need one more system call, and twice the time
        return os.write(transport.get_extra_info("socket").fileno(), data)
    except OSError:
        return 0
