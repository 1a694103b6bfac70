"""Actor for one end of a connection: a mailbox of outgoing messages, and one ring buffer per direction."""

import asyncio
import sys
from typing import Generic, TypeVar

from beechrock.core.counters import Counters
from beechrock.core.mailbox import Mailbox
from beechrock.net.direct_endpoint import DirectEndpoint, StreamEndpoint, has_unread_input
from beechrock.net.ring_buffer import BufferFullError, RingBuffer

T = TypeVar("T")
CHUNK = 16_384  # bytes read or written at once
MAX_QUEUED_MESSAGES = 64  # queued outgoing messages above which the connection is no longer read
UNREAD_S = 20.0  # how long the peer may leave the last answers unread before the connection is ended
LINGER_S = 1.0  # a closing connection reads on for this long at a time, until its last answers are delivered
SLOW_S = 0.02  # pause after each chunk that is read and discarded, so that a fast sender takes no whole core


class BadInputError(Exception):
    """The peer violated the protocol; nothing that follows on the connection can be parsed."""


class ConnectionActor(Generic[T]):
    """Reads bytes into ``inbox`` and parses them; encodes the mailbox's messages into ``outbox``.

    A subclass for one kind of peer overrides ``parse`` and ``encode``, and other hooks as it needs them.
    """

    where = "peer"

    def __init__(self, counters: Counters, max_in_bytes: int, max_out_bytes: int, mailbox: int) -> None:
        self.counters = counters
        self.inbox = RingBuffer(max_in_bytes)
        self.outbox = RingBuffer(max_out_bytes)
        self.mailbox: Mailbox[T] = Mailbox(mailbox)
        self.closing = False  # read no more messages, and close once ``settled``
        self.ending = False  # keep reading, and close once ``settled`` and no input is left
        self.lost = False  # the connection has ended, and nothing more is sent
        self.broken = False  # the connection was reset or dropped
        self.flushed = True  # all messages posted so far are written
        self.written = 0  # bytes written so far
        self.written_at_sweep = 0  # bytes written by the time of the last sweep
        self.unread = 0  # number of successive sweeps in which the peer read nothing
        self.received = 0  # chunks received so far
        self.received_at_sweep = 0  # chunks received by the time of the last sweep
        # Fields that ``connections/table.py`` reads; times in seconds of the module's clock.
        self.messages_received = 0  # complete messages received
        self.opened_at = 0.0
        self.last_message_at = 0.0
        self.refused_at = 0.0  # when the peer was last given a retry time
        self.retry_at = 0.0  # the retry time given then
        self.rejected = False
        self._shut = False  # the outgoing stream is closed, and nothing may be sent after it
        self._sending = False  # messages were taken from the mailbox, and not all are written yet
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    # Hooks that subclasses override.

    def parse(self) -> None:
        """Handle the complete messages in ``inbox``. Raises BadInputError."""
        raise NotImplementedError

    def encode(self, message: T) -> bytes:
        """Return the wire format of a message."""
        raise NotImplementedError

    def bad_input(self, problem: str) -> None:
        """Report a protocol violation to the peer, if the protocol has a message for that."""

    def report_internal_error(self) -> None:
        """Report to the peer that a message could not be handled because of an internal error."""
        self.bad_input("internal error")

    def settled(self) -> bool:
        """Return whether no request on this connection still waits for an answer."""
        return True

    def answer_all(self) -> None:
        """Answer all open requests with a failure, as the process ends."""

    def has_pending_answer(self) -> bool:
        """Return whether an answer, or a part of one, is still to be sent."""
        return not (self.settled() and self.flushed)

    def has_partial_message(self) -> bool:
        """Return whether a message has been received in part, and the rest may still arrive."""
        return False

    def has_unread_input(self) -> bool:
        """Return whether received bytes are unread, in the kernel or in the stream.

        The node is responsible for a request once the caller has written it. On a lagging event loop, it may
        stay unread for longer than the 50 ms in which a caller resends a request that crossed a close.
        """
        if self._reader is None or self._writer is None or self._writer.transport.is_closing():
            return False
        if self._shut:  # input after our end of stream is ignored, and must not keep a place in a full table
            return False
        if StreamEndpoint(self._reader, self._writer).holds_input():
            return True
        try:
            return has_unread_input(self._writer.get_extra_info("socket"))
        except OSError:
            return False

    # Actor methods.

    def post(self, message: T) -> bool:
        """Queue a message. Returns False if the connection has ended, or the mailbox is full."""
        if self.lost or self._shut:
            return False
        if self.mailbox.put(message):
            self.flushed = False
            return True
        self.counters.add(f"trouble.{self.where}_mailbox_full")
        return False

    def close_when_answered(self) -> None:
        """Stop reading; close once all answers have been written."""
        self.closing = True
        self.mailbox.wake()

    def close_when_idle(self) -> None:
        """Close as soon as no answer is pending and no input is unread.

        Until then, messages are still answered, as a request written before our close must get an answer.
        """
        self.ending = True
        self.mailbox.wake()

    def close_if_idle(self) -> bool:
        """Close the outgoing stream unless an answer is due or input is unread. Return whether it was closed.

        The check and the close happen in one step, as a request that is read in between would be lost.
        """
        if (
            self._reader is None
            or self._writer is None
            or self.closing
            or self.has_pending_answer()
            or len(self.outbox)
        ):
            return False
        try:
            if self._writer.transport.is_closing():
                self._write_end(self._writer)
            elif not StreamEndpoint(self._reader, self._writer).end_if_empty():
                return False
            self._shut = True
        except OSError:  # the peer has reset the connection, so nobody waits for an answer
            self.drop()
            return True
        self.close_when_answered()
        return True

    def answer_unread(self, max_bytes: int) -> None:
        """Read and answer up to ``max_bytes`` of pending input, without yielding to the event loop."""
        if self._reader is None or self._writer is None or self._ends_by_loop():
            return
        try:
            self._answer_unread(StreamEndpoint(self._reader, self._writer), max_bytes)
        except OSError:
            self._note_reset()

    def close_now(self, max_bytes: int, force: bool) -> bool:
        """Read and answer pending input, and end the connection, without yielding to the event loop.

        Reads up to ``max_bytes``; with ``force``, ends the connection even if more is pending. Returns
        whether nothing is left to do. Output that the kernel does not accept now is left to the event loop.
        """
        if self._reader is None or self._writer is None:
            return True
        if not self._ends_by_loop():
            return self.close_now_on(StreamEndpoint(self._reader, self._writer), max_bytes, force)
        if force and self._sending:
            self.rejected = True
            self.answer_all()
            self.close_when_idle()
        return not self._sending

    def _ends_by_loop(self) -> bool:
        """Return whether only the loop can finish it: its end was sent, or an answer is partly written."""
        return self._sending or self._shut or self._writer is None or self._writer.transport.is_closing()

    def close_now_on(self, endpoint: DirectEndpoint, max_bytes: int, force: bool) -> bool:
        """Do ``close_now`` through ``endpoint``; input check and end are one step, so no request is lost."""
        try:
            if not self._answer_and_end(endpoint, max_bytes, force):
                return False
        except OSError:
            self._note_reset()
        self._shut = True
        self.close_when_answered()
        return True

    def _note_reset(self) -> None:
        """Record that the peer has reset the connection, so that nobody waits for an answer any more."""
        self.broken = True
        self.counters.add(f"intake.{self.where}_resets")

    def _answer_and_end(self, endpoint: DirectEndpoint, max_bytes: int, force: bool) -> bool:
        """Answer pending input and close the outgoing stream; return whether it is closed. Raises OSError."""
        left = max_bytes
        while True:
            left -= self._answer_unread(endpoint, left)
            if self.closing or (left < 0 and force):
                endpoint.end()
                return True
            if left < 0:
                return False
            if endpoint.end_if_empty():
                return True

    def _answer_unread(self, endpoint: DirectEndpoint, max_bytes: int) -> int:
        """Answer input until a read finds none, or more than ``max_bytes`` were read.

        Returns the bytes read. Raises OSError. Sets ``closing`` if the peer ends or does not read.
        """
        self.rejected = True
        taken = 0
        while True:
            data = None if self.closing else endpoint.receive()
            if data:
                self._parse_all(memoryview(data))
                taken += len(data)
            elif data is not None:
                self.input_ended()
            self.answer_all()
            answers = b"".join(self._encoded(message) for message in self.mailbox.drain())
            self.flushed = True
            readable = not answers or endpoint.send(answers)
            if data == b"" or not readable:
                self.closing = True
            if self.closing or taken > max_bytes or (data is None and not answers):
                return taken

    def drop(self) -> None:
        """Abort the connection at once, even if requests are open on it."""
        self.closing = self.broken = True
        if self._writer is not None:
            self._writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the connection until it ends."""
        if self.broken:  # dropped while the connection was being made
            self.lost = True
            writer.close()
            return
        self._reader, self._writer = reader, writer
        writer.transport.set_write_buffer_limits(high=0)  # unsent bytes are buffered in ``outbox`` instead
        sending = self.counters.spawn(self._send(writer), self.where + ".send")
        receiving = self.counters.spawn(self._receive(reader), self.where + ".receive")
        try:
            await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
            self.broken = self.broken or (receiving.done() and receiving.exception() is not None)
            if sending.done():
                await self._linger(receiving, writer)
            # Pending answers are sent even after the peer's end of stream: a half-close is allowed.
            while not sending.done() and not self.broken:
                await asyncio.wait((sending,), timeout=UNREAD_S)
                if self.settled():
                    break
        finally:
            self.lost = True
            complete = sending.done()
            self._reader = self._writer = None
            sending.cancel()
            receiving.cancel()
            # A close would wait for unsent bytes, which the peer may never read; so they are discarded.
            writer.close() if complete else writer.transport.abort()

    async def _linger(self, receiving: "asyncio.Task[None]", writer: asyncio.StreamWriter) -> None:
        """Keep reading until the peer ends its stream, or has received all answers, or UNREAD_S have passed.

        Closing a socket with unread input resets the connection, and the kernel then discards the answers
        for which a slow reader had no space yet.
        """
        for _ in range(round(UNREAD_S / LINGER_S)):
            await asyncio.wait((receiving,), timeout=LINGER_S)
            if receiving.done() or self.broken or not has_undelivered(writer):
                return

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        try:
            while data := await reader.read(CHUNK):
                self.received += 1
                if self.broken:
                    return
                if self.closing:
                    await asyncio.sleep(SLOW_S)
                    continue
                self._parse_all(memoryview(data))
                if self.ending:
                    self.mailbox.wake()
                while not self.closing and self._is_congested():  # backpressure: the peer reads no answers
                    await asyncio.sleep(0.01)
            if not self.closing:
                self.input_ended()
        except OSError as error:  # includes resets and time-outs
            # The stream keeps a reference to the error, which would keep the frames and buffers alive.
            error.__traceback__ = None
            self.broken = True
            self.counters.add(f"intake.{self.where}_resets")

    def _parse_all(self, data: memoryview) -> None:
        """Handle received bytes; an error in them closes the connection gracefully."""
        try:
            while data and not self.closing:
                taken = min(len(data), self.inbox.free_bytes)
                self.inbox.write(data[:taken])
                data = data[taken:]
                self.parse()
                if not self.closing and not self.inbox.free_bytes:
                    raise BadInputError("a message that does not fit")
        except (BadInputError, BufferFullError) as error:
            self.counters.add(f"intake.{self.where}_malformed")
            self.bad_input(str(error))
            self.close_when_answered()
        except Exception as error:
            # If the exception ended the task, the connection would stay open with its input unread.
            self.counters.record_error(f"{self.where}.receive", error)
            self.report_internal_error()
            self.close_when_answered()

    def input_ended(self) -> None:
        """Handle the peer's end of stream."""

    def _is_congested(self) -> bool:
        return len(self.outbox) > self.outbox.max_bytes // 4 or len(self.mailbox) > MAX_QUEUED_MESSAGES

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self.mailbox.wait()
                self._sending = True
                for message in self.mailbox.drain():
                    await self._buffer_message(writer, message)
                await self._flush(writer)
                self._sending = False
                self.flushed = not len(self.mailbox)
                if self.ending:
                    self.close_if_idle()
                if self.closing and self.settled() and not len(self.mailbox):
                    self._write_end(writer)
                    return
        except OSError as error:  # includes resets and time-outs
            error.__traceback__ = None
            self.counters.add(f"sent.{self.where}_resets")

    def _encoded(self, message: T) -> bytes:
        """Return the wire format of a message; if encoding fails, drop only this message, and close."""
        try:
            return self.encode(message)
        except Exception as error:
            self.counters.record_error(f"{self.where}.send", error)
            self.close_when_answered()
            return b""

    async def _buffer_message(self, writer: asyncio.StreamWriter, message: T) -> None:
        """Encode a message into ``outbox``; a message that does not fit there is sent in parts."""
        data = memoryview(self._encoded(message))
        if len(data) > self.outbox.free_bytes:
            await self._flush(writer)
        while data:
            taken = min(len(data), self.outbox.free_bytes)
            self.outbox.write(data[:taken])
            data = data[taken:]
            if data:
                await self._flush(writer)

    def _write_end(self, writer: asyncio.StreamWriter) -> None:
        self._shut = True
        if writer.can_write_eof():
            writer.write_eof()

    async def _flush(self, writer: asyncio.StreamWriter) -> None:
        while len(self.outbox):
            data = self.outbox.read(CHUNK)
            writer.write(data)
            await writer.drain()
            self.written += len(data)


def has_undelivered(writer: asyncio.StreamWriter) -> bool:
    """Return whether the kernel still holds sent bytes that were not delivered.

    Over TCP, delivered means acknowledged by the peer's kernel; over a Unix socket, read by its process.
    """
    if writer.transport.is_closing():
        return False
    import fcntl
    import termios

    sock = writer.get_extra_info("socket")
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder) > 0
    except OSError:
        return False
