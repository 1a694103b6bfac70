"""Outbound link to one peer: a bounded queue of messages, and the connection over which they are sent.

``run`` reconnects, with backoff, until its task ends. Messages wait in the queue meanwhile, and are dropped
once they are too old: the parts resend messages that are still needed.
"""

import asyncio
import secrets
import socket
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from beechrock import logs
from beechrock.core.counters import Counters
from beechrock.talk.frames import CHALLENGE_BYTES, DropReason, Frame, encode

MAX_QUEUED_BYTES = 4 << 20  # Maximum size of the queue to one peer
MAX_QUEUED_MESSAGES = 65_536  # Maximum length of that queue: many small messages cost more than their bytes
MIN_ACCOUNTED_BYTES = 64  # Minimum size that a queued message is accounted for
MAX_QUEUE_AGE_S = 5.0  # Age beyond which a queued message is dropped; its sender repeats what matters
CONNECT_TIMEOUT_S = 2.0  # Limit to receive the challenge: the kernel accepts even for a stopped process
WRITE_TIMEOUT_S = 5.0  # A connection that accepts no bytes for this long is closed
MIN_BACKOFF_S = 0.05  # Delay between two attempts to connect, doubled with each failure
MAX_BACKOFF_S = 1.0
BUFFER_BYTES = 1 << 16  # Limit of a connection's write buffer; the rest stays queued, where it can expire


@dataclass(frozen=True, slots=True)
class Sender:
    """The sending node, as its links see it."""

    name: str
    life: int
    key: bytes
    counters: Counters
    clock: Callable[[], float]  # Returns monotonic seconds


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message in the queue of a link."""

    queued_at_s: float
    channel: str
    message: bytes


def accounted_bytes(message: bytes) -> int:
    """Return the size with which the message counts against a limit of queued bytes."""
    return max(MIN_ACCOUNTED_BYTES, len(message))


class OutboundLink:
    """Queue, connection and counters of the messages to one peer."""

    def __init__(self, sender: Sender, peer: str, address: tuple[str, int]) -> None:
        self.sender = sender
        self.peer = peer
        self.address = address
        self.queue: deque[QueuedMessage] = deque()
        self.queued_bytes = 0
        self.sent = 0  # Number of frames sent, over all connections
        self.dropped: Counter[DropReason] = Counter()
        self.connected = False
        self.changed_at_s = sender.clock()  # Time of the last change of ``connected``
        self._random = secrets.SystemRandom()
        self._wakeup = asyncio.Event()  # Set by a new message, and by the end of the connection

    def enqueue(self, channel: str, message: bytes) -> bool:
        """Add the message to the queue; return False if it is full even without expired messages."""
        size = accounted_bytes(message)
        if not self._has_room(size):
            self._drop_expired()
            if not self._has_room(size):
                self.dropped[DropReason.FULL] += 1
                return False
        self.queue.append(QueuedMessage(self.sender.clock(), channel, message))
        self.queued_bytes += size
        self._wakeup.set()
        return True

    def _has_room(self, size: int) -> bool:
        return self.queued_bytes + size <= MAX_QUEUED_BYTES and len(self.queue) < MAX_QUEUED_MESSAGES

    def _dequeue(self) -> QueuedMessage:
        queued = self.queue.popleft()
        self.queued_bytes -= accounted_bytes(queued.message)
        return queued

    def _drop_expired(self) -> None:
        # Otherwise a peer that is back after an hour would first receive four megabytes of outdated messages.
        while self.queue and self.sender.clock() - self.queue[0].queued_at_s > MAX_QUEUE_AGE_S:
            self._dequeue()
            self.dropped[DropReason.LATE] += 1

    async def run(self) -> None:
        """Connect, send from the queue, and connect again, until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            writer: asyncio.StreamWriter | None = None
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self.address, limit=BUFFER_BYTES)
                    challenge = await reader.readexactly(CHALLENGE_BYTES)
                backoff_s = MIN_BACKOFF_S
                self._set_connected(True)
                await self._send_until_closed(reader, writer, challenge)
            except (OSError, EOFError, TimeoutError) as error:
                self.sender.counters.add("talk.connections_failed")
                self._set_connected(False, type(error).__name__)
            finally:
                if writer is not None:
                    writer.transport.abort()
            await asyncio.sleep(self._random.uniform(0.5, 1.0) * backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _send_until_closed(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        challenge: bytes,
    ) -> None:
        """Send from the queue until the connection fails; always ends with an error.

        Raises EOFError if the receiver closes the connection or sends a byte (it sends nothing after the
        challenge), TimeoutError if it accepts nothing for WRITE_TIMEOUT_S, and OSError if the socket fails.
        """
        _limit_buffers(writer)
        closed = asyncio.ensure_future(reader.read(1))
        closed.add_done_callback(lambda _: self._wakeup.set())
        try:
            while True:
                await self._wait_for_message(closed)
                if closed.done():
                    raise EOFError
                if not self.queue:
                    continue
                self._write_next(writer, challenge)
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()
        finally:
            if writer.transport.get_write_buffer_size():
                self.dropped[DropReason.LOST] += 1
            if closed.done() and not closed.cancelled():
                closed.exception()  # Retrieve the exception, or asyncio logs it as never retrieved
            closed.cancel()

    async def _wait_for_message(self, closed: "asyncio.Future[bytes]") -> None:
        """Return once the queue may hold a message, or the connection is closed."""
        self._drop_expired()
        if self.queue:
            return
        self._wakeup.clear()
        if not closed.done():
            await self._wakeup.wait()

    def _write_next(self, writer: asyncio.StreamWriter, challenge: bytes) -> None:
        queued = self._dequeue()
        self.sent += 1
        frame = Frame(self.sender.name, self.sender.life, self.sent, queued.channel, queued.message)
        writer.write(encode(self.sender.key, challenge, self.peer, frame))

    def _set_connected(self, connected: bool, reason: str = "") -> None:
        if connected is not self.connected:
            self.connected = connected
            self.changed_at_s = self.sender.clock()
            logs.event("fleet.link", peer=self.peer, state="up" if connected else "down", why=reason)


def _limit_buffers(writer: asyncio.StreamWriter) -> None:
    """Limit the bytes buffered by asyncio and the kernel, where messages cannot expire or be withdrawn."""
    writer.transport.set_write_buffer_limits(high=BUFFER_BYTES)
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * BUFFER_BYTES)
    # Otherwise a connection over a cut link stays open for minutes, with its bytes unacknowledged.
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * WRITE_TIMEOUT_S))
