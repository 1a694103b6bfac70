"""One end of a channel between two processes of one node."""

import asyncio
import contextlib
import logging
import socket
from typing import Protocol

from beechrock.core.counters import Counters
from beechrock.handover import wire
from beechrock.handover.messages import Message
from beechrock.net.connection import CHUNK, BadInputError, ConnectionActor, has_undelivered
from beechrock.net.retrying_writer import unsent_bytes

log = logging.getLogger("beechrock")
MAX_OUTPUT_BYTES = 1 << 18
# Maximum number of queued messages; the channel to a process that reads nothing is cut beyond that.
MAX_UNREAD_MESSAGES = 30_000
# Maximum bytes read from a channel after its end; the kernel and the stream together buffer fewer.
MAX_UNREAD_BYTES = 1 << 20


class Owner(Protocol):
    """Receiver of the messages of a channel."""

    counters: Counters
    # Seconds by which the local steady time is ahead of the monotonic clock, which both processes share.
    origin_s: float

    def receive(self, peer: "ChannelPeer", message: Message) -> None:
        """Process one message; messages arrive in the order in which they were sent."""


class ChannelPeer(ConnectionActor[Message]):
    """One end of a channel; ``send`` writes directly to the kernel's buffer whenever that has room."""

    where = "handover"

    def __init__(self, owner: Owner, is_successor: bool) -> None:
        super().__init__(owner.counters, wire.MAX_MESSAGE_BYTES + 4, MAX_OUTPUT_BYTES, MAX_UNREAD_MESSAGES)
        self.owner = owner
        self.is_successor = is_successor
        # Whether the other process has another version: its messages are ignored, but not the channel's end.
        self.incompatible = False
        self.shares_memory = False  # whether the other process understands the messages about memory
        # Whether input was lost, as it could not be decoded or read: later messages were not received.
        self.unreadable = False

    def parse(self) -> None:
        """Pass the complete messages of the input to the owner. Raises BadInputError."""
        try:
            while len(self.inbox) >= 4 and not self.incompatible:
                size = wire.decode_length(self.inbox.peek(4))
                if len(self.inbox) < 4 + size:
                    return
                self.inbox.skip(4)
                number = self.inbox.read(1)[0]
                message = wire.decode(number, self.inbox.read(size - 1))
                self.owner.receive(self, wire.shift_times(message, self.owner.origin_s))
        except wire.WireError as error:
            raise BadInputError(str(error)) from None
        if self.incompatible:
            self.inbox.skip(len(self.inbox))

    def encode(self, message: Message) -> bytes:
        """Return the message as bytes, with its times converted to the monotonic clock."""
        return wire.encode(wire.shift_times(message, -self.owner.origin_s))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve until the channel ends, and receive all bytes that the other process had sent.

        The first write after the other process was killed fails, after which asyncio's transport reads no
        more. Claims that are still in the kernel's buffer would be lost, and their keys would run twice.
        """
        try:  # a second descriptor keeps the kernel's buffer when the transport closes its own
            unread: socket.socket = writer.get_extra_info("socket").dup()
        except OSError as error:
            log.warning("handover: duplicating the channel's descriptor failed: %s", error)
            self.unreadable = True
            self.drop()
            writer.transport.abort()
            return
        with unread:
            await super().serve(reader, writer)
            if not self.unreadable and not self.incompatible:
                self._receive_rest(bytes(getattr(reader, "_buffer", b"")), unread)

    def _receive_rest(self, data: bytes, unread: socket.socket) -> None:
        """Parse ``data``, followed by the bytes that are still in the kernel's buffer."""
        with contextlib.suppress(OSError):  # the buffer is empty, or the connection was reset
            while len(data) < MAX_UNREAD_BYTES and (more := unread.recv(CHUNK)):
                data += more
        try:
            while data and self.inbox.free_bytes:
                space_bytes = self.inbox.free_bytes
                self.inbox.write(data[:space_bytes])
                self.parse()
                data = data[space_bytes:]
        except BadInputError as error:
            self.bad_input(str(error))

    def _is_congested(self) -> bool:
        """Return False, so that input is always read.

        The claims of a process count even if it is killed while it reads nothing itself.
        """
        return False

    def send(self, message: Message) -> bool:
        """Send a message; return whether the other process will read it even if this one is killed now."""
        writer = self._writer
        if self.lost or self.broken or writer is None or not self.flushed:
            if not self.lost and not self.post(message):
                self._cut(writer)  # the other process reads nothing; after a reconnect it gets a new copy
            return False
        if unsent_bytes(writer):
            self.post(message)
            return False
        writer.write(self.encode(message))
        # A failed write also empties the buffer, and closes the transport. The other process may live, but
        # has not received the message.
        return unsent_bytes(writer) == 0 and not writer.transport.is_closing()

    def has_unread(self) -> bool:
        """Return whether the other process has not yet read all that was sent."""
        if not self.flushed or self._writer is None:
            return not self.flushed
        return unsent_bytes(self._writer) > 0 or has_undelivered(self._writer)

    def _cut(self, writer: asyncio.StreamWriter | None) -> None:
        """Shut down both directions; data that the other process has already sent is still received."""
        if writer is None:
            self.drop()
            return
        with contextlib.suppress(OSError):  # the connection has already ended
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)

    def bad_input(self, problem: str) -> None:
        """Drop the channel after input that is not a valid message."""
        log.warning("handover: dropping the channel: %s", problem)
        self.unreadable = True
        self.drop()

    def input_ended(self) -> None:
        """Mark the channel as broken, as it is useless with one direction closed."""
        self.broken = True


class PeerLinks:
    """The channels to the predecessor and to the joined successor."""

    def __init__(self) -> None:
        self.predecessor: ChannelPeer | None = None
        self.successor: ChannelPeer | None = None

    @property
    def current(self) -> ChannelPeer | None:
        """Return the channel that keys are negotiated over: the predecessor's, else the successor's."""
        return self.predecessor if self.predecessor is not None else self.successor

    def send(self, message: Message) -> bool:
        """Send to the current peer, if any; return whether it will certainly read the message."""
        peer = self.current
        return peer is not None and peer.send(message)
