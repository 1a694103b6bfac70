"""Actor of the ``[fleet]`` table: accepts connections, delivers messages to the parts, owns all links."""

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Any

from beechrock import clocks, logs
from beechrock.core.counters import Counters
from beechrock.net.listener import Listener, listen
from beechrock.parts import Context
from beechrock.store import life as lives
from beechrock.talk.errors import TalkChannelError, TalkStateError
from beechrock.talk.frames import (
    BEFORE_ALL_FRAMES,
    CHALLENGE_BYTES,
    HEAD_BYTES,
    MAX_MESSAGE_BYTES,
    DroppedError,
    DropReason,
    Frame,
    ReplayFilter,
    decode,
    decode_length,
)
from beechrock.talk.link import MAX_QUEUED_BYTES, OutboundLink, Sender, accounted_bytes
from beechrock.talk.settings import FleetSettings

# Maximum average of inbound connections per peer; beyond it the oldest is closed, and its peer reconnects.
MAX_INBOUND_PER_PEER = 4
LIFE_FILE = "talk.life"  # File in the state folder that holds the last life number used
UNKNOWN_SENDER = ""  # Used for unconfigured senders, and for connections before their first valid frame

MessageHandler = Callable[[str, int, bytes], None]  # Arguments: sender, its life number, message


class PeerTransport:
    """Exchange of messages with the peers; each is delivered at most once, and in order of sending."""

    def __init__(
        self,
        settings: FleetSettings,
        name: str,
        life: int,
        counters: Counters,
        clock: Callable[[], float] = clocks.mono,
    ) -> None:
        self.settings = settings
        self.name = name
        self.life = life
        self.hall = settings.hall
        self.hardware = settings.hardware
        self.key = settings.key
        self.counters = counters
        self.clock = clock
        self.links = {
            peer: self.link_to(peer, address) for peer, address in settings.peers.items() if peer != name
        }
        self.peers = tuple(sorted(self.links))
        self.handlers: dict[str, MessageHandler] = {}  # Handler of each channel
        self.replay_filter = ReplayFilter()
        self.received_at_s: dict[str, float] = {}  # Arrival of the last valid frame, by peer
        self.dropped: Counter[tuple[str, DropReason]] = Counter()  # Dropped frames by sender and reason
        self.server: Listener | None = None
        # Sender of each inbound connection (UNKNOWN_SENDER before its first valid frame), oldest first.
        self.inbound: dict[asyncio.StreamWriter, str] = {}
        self.self_queued_bytes = 0  # Bytes of messages from this node to itself that wait for delivery
        self.address = ""  # HOST:PORT at which this node listens

    # Former names, for parts that still use them (docs/glossary.md).
    @property
    def told(self) -> FleetSettings:
        """The former name of ``settings``."""
        return self.settings

    @property
    def heard(self) -> ReplayFilter:
        """The former name of ``replay_filter``."""
        return self.replay_filter

    # --- for the other parts

    def link_to(self, peer: str, address: tuple[str, int]) -> OutboundLink:
        """Return a new link from this node to ``peer``; it sends nothing before ``run`` is called on it."""
        sender = Sender(self.name, self.life, self.key, self.counters, self.clock)
        return OutboundLink(sender, peer, address)

    def send(self, to: str, channel: str, message: bytes) -> bool:
        """Queue the message for the node ``to``, which may be this one.

        Returns False if no peer has this name, the message is too long, or the queue is full. True does not
        mean that the message will be delivered.
        """
        if len(message) > MAX_MESSAGE_BYTES:
            return False
        if to == self.name:
            return self._send_to_self(channel, message)
        link = self.links.get(to)
        return link is not None and link.enqueue(channel, message)

    def on(self, channel: str, handler: MessageHandler) -> None:
        """Register ``handler(sender, life, message)`` for a channel; it must not block.

        Messages are delivered to it in order of sending. Raises TalkChannelError if the channel already has a
        handler.
        """
        if channel in self.handlers:
            raise TalkChannelError(f"the channel {channel} is taken", where=self.name)
        self.handlers[channel] = handler

    def _send_to_self(self, channel: str, message: bytes) -> bool:
        """Deliver the message in a later iteration of the event loop, as one from a peer would be."""
        size = accounted_bytes(message)
        if self.self_queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        self.self_queued_bytes += size

        def deliver_later() -> None:
            self.self_queued_bytes -= size
            self._deliver(self.name, self.life, channel, message)

        asyncio.get_running_loop().call_soon(deliver_later)
        return True

    # --- as a part of its node

    async def listen(self) -> None:
        """Listen at the address of the settings. Raises OSError if it cannot be bound."""
        self.server = await listen(self._accepted, *self.settings.listen, self.counters, "talk")
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        logs.event(
            "fleet",
            node=self.name,
            address=self.address,
            life=self.life,
            hall=self.hall,
            hardware=self.hardware,
            peers=list(self.peers),
        )

    async def run(self) -> None:
        """Run all links until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for name, link in self.links.items():
                tasks.create_task(link.run(), name=f"talk.{name}")
            await asyncio.Event().wait()

    async def leave(self) -> None:
        """Do nothing: the links stay up, because the other parts announce over them that they leave."""

    def close(self) -> None:
        """Stop listening and close the inbound connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.inbound:
            writer.transport.abort()

    def view(self) -> dict[str, Any]:
        """Return the state of all links for operators, as ``/fleet`` shows it."""
        return {
            "name": self.name,
            "life": self.life,
            "hall": self.hall,
            "hardware": self.hardware,
            "address": self.address,
            "peers": {name: self._peer_view(name, link) for name, link in self.links.items()},
            "dropped": self._received_drops(UNKNOWN_SENDER),
        }

    def _peer_view(self, name: str, link: OutboundLink) -> dict[str, Any]:
        """Return one peer's row; times are seconds before now, ``heard_s`` is None if no frame came."""
        now_s = self.clock()
        received_at_s = self.received_at_s.get(name)
        dropped = {f"to_{reason.value}": count for reason, count in link.dropped.items()}
        dropped |= {f"from_{reason}": count for reason, count in self._received_drops(name).items()}
        return {
            "address": "{}:{}".format(*link.address),
            "connected": link.connected,
            "since_s": round(now_s - link.changed_at_s, 1),
            "queued_bytes": link.queued_bytes,
            "queued": len(link.queue),
            "sent": link.sent,
            "life": self.replay_filter.last.get(name, BEFORE_ALL_FRAMES).life,
            "heard_s": round(now_s - received_at_s, 1) if received_at_s is not None else None,
            "dropped": dropped,
        }

    def _received_drops(self, sender: str) -> dict[str, int]:
        return {reason.value: count for (name, reason), count in self.dropped.items() if name == sender}

    # --- inbound connections

    def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.counters.spawn(self._serve_connection(reader, writer), "talk.inbound")

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.inbound[writer] = UNKNOWN_SENDER
        try:
            if len(self.inbound) > MAX_INBOUND_PER_PEER * (len(self.links) + 1):
                oldest = next(iter(self.inbound))
                oldest.transport.abort()
            challenge = secrets.token_bytes(CHALLENGE_BYTES)
            writer.write(challenge)
            while True:
                size = decode_length(await reader.readexactly(HEAD_BYTES))
                frame = decode(self.key, challenge, self.name, await reader.readexactly(size))
                self.inbound[writer] = frame.sender
                self._receive(frame)
        except DroppedError as error:  # An invalid frame: no later bytes of the connection can be trusted
            self._count_drop(self.inbound[writer], error.reason)
        except (OSError, EOFError, asyncio.CancelledError):  # asyncio logs uncaught cancellation
            pass
        finally:
            del self.inbound[writer]
            writer.transport.abort()

    def _receive(self, frame: Frame) -> None:
        if frame.sender not in self.links:
            self._count_drop(UNKNOWN_SENDER, DropReason.UNKNOWN)
            return
        try:
            self.replay_filter.admit(frame)
        except DroppedError as error:
            self._count_drop(frame.sender, error.reason)
            return
        self.received_at_s[frame.sender] = self.clock()
        self._deliver(frame.sender, frame.life, frame.channel, frame.message)

    def _deliver(self, sender: str, life: int, channel: str, message: bytes) -> None:
        handler = self.handlers.get(channel)
        if handler is None:
            self._count_drop(sender, DropReason.CHANNEL)
            return
        try:
            handler(sender, life, message)
        except Exception as error:  # A failing part must not stop the others' messages on the same link
            self.counters.record_error(f"talk.{channel}", error)

    def _count_drop(self, sender: str, reason: DropReason) -> None:
        self.dropped[sender, reason] += 1
        self.counters.add(f"talk.dropped_{reason.value}")


Talk = PeerTransport  # Former name, for parts that still use it (docs/glossary.md)


def begin(settings: object, context: Context) -> PeerTransport:
    """Create the actor with the next life number, and publish its view at ``/fleet``.

    Raises TalkStateError if the state folder cannot be used, LifeError if its life number is damaged.
    """
    assert isinstance(settings, FleetSettings)
    try:
        life = lives.next_life(settings.state, clocks.wall(), LIFE_FILE)
    except OSError as error:
        raise TalkStateError(
            str(error),
            where=f"fleet: state: {settings.state}",
            wanted="a folder that can be written",
            do="mend the folder, or name another one",
        ) from None
    transport = PeerTransport(settings, context.name, life, context.counters)
    context.views["/fleet"] = transport.view
    return transport
