"""State machine of an outgoing link to a peer, with its reconnections; does no I/O.

States: WAITING (for the next attempt), CONNECTING, GREETING (handshake sent, no answer yet), SYNCING (missed
messages arrive), UP, PROBING (probe sent to a silent peer), CLOSING, OVER (ended, without reconnection).
Events: ``Opened``, ``Refused``, ``Greeted``, ``Synced``, ``MessageReceived``, ``Closing``, ``Ended``,
``Moved`` and ``Due``; those of a link carry its number, and those of an earlier link are ignored.
Invariants: there is one link at a time; each state has a deadline, except OVER, and UP without ``quiet_s``;
no attempt is made at an address from which the peer has moved.
"""

import math
from dataclasses import dataclass
from enum import Enum

Address = tuple[str, int]
# A deadline handled later than this: the process was paused, and the peer's messages may still be unread.
# The deadline is then extended once, or each pause of the machine would cost the link.
PAUSE_LATENESS_S = 0.1


class LinkState(Enum):
    """State of a link."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    GREETING = "greeting"
    SYNCING = "syncing"
    UP = "up"
    PROBING = "asked"
    CLOSING = "closing"
    OVER = "over"


class CloseReason(Enum):
    """Reason for cutting a link."""

    NO_CONNECT = "no_connect"
    NO_GREETING = "no_greeting"
    NO_SYNC = "no_sync"
    SILENT = "silent"
    NOT_CLOSED = "not_closed"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Limits:
    """Time limits in seconds; ``greet_s`` and ``reconnect_s`` are exponential backoffs: (first, maximum).

    ``reconnect_s`` is the pause before a new attempt. Without ``greet_s`` a link is up once it is open;
    without ``reconnect_s`` it is not made again after its end.
    """

    connect_s: float
    greet_s: tuple[float, float] | None = None
    sync_s: float = math.inf
    quiet_s: float = math.inf  # silence after which the peer is probed
    answer_s: float = math.inf
    close_s: float = math.inf
    reconnect_s: tuple[float, float] | None = None
    able_after_break_s: float = 0.0  # time for which a link that was up still counts as able after it broke
    able_after_silence_s: float = 0.0  # the same, if it was cut because the peer was silent


@dataclass(frozen=True, slots=True)
class LinkEvent:
    """An event of the link or attempt with this number; a shared base, as each dataclass takes memory."""

    link: int


@dataclass(frozen=True, slots=True)
class WithoutData:
    """An event or action without data."""


class Opened(LinkEvent):
    """The connection was made."""

    __slots__ = ()


class Refused(LinkEvent):
    """The connection could not be made."""

    __slots__ = ()


class Greeted(LinkEvent):
    """The peer answered the handshake."""

    __slots__ = ()


class Synced(LinkEvent):
    """All missed messages have arrived."""

    __slots__ = ()


class MessageReceived(LinkEvent):
    """A complete message arrived; needed in PROBING only, elsewhere ``last_received_at`` is enough."""

    __slots__ = ()


class Closing(LinkEvent):
    """We are closing the link, as nothing is open on it any more."""

    __slots__ = ()


class Ended(LinkEvent):
    """The connection ended."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Moved:
    """The peer has another address now."""

    address: Address


class Due(WithoutData):
    """The time ``LinkLifecycle.due`` has been reached."""

    __slots__ = ()


Event = Opened | Refused | Greeted | Synced | MessageReceived | Closing | Ended | Moved | Due


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to the address."""

    link: int
    address: Address


class SendHandshake(WithoutData):
    """Send the first message on the link."""

    __slots__ = ()


class SendSync(WithoutData):
    """Send the request that the peer answers after all missed messages."""

    __slots__ = ()


class SendProbe(WithoutData):
    """Send anything that a live peer answers at once."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Cut:
    """End the link or attempt at once; its further events are ignored."""

    link: int
    reason: CloseReason


class Lost(WithoutData):
    """Several attempts in a row have failed: the address may be outdated."""

    __slots__ = ()


Action = Connect | SendHandshake | SendSync | SendProbe | Cut | Lost
MAX_DOUBLINGS = 16
LOST_AFTER = 3  # number of failures in a row after which, each time, ``Lost`` is returned

_TIMEOUT_REASONS = {
    LinkState.CONNECTING: CloseReason.NO_CONNECT,
    LinkState.GREETING: CloseReason.NO_GREETING,
    LinkState.SYNCING: CloseReason.NO_SYNC,
    LinkState.PROBING: CloseReason.SILENT,
    LinkState.CLOSING: CloseReason.NOT_CLOSED,
}


def _backoff_s(first_s: float, failures: int, max_s: float) -> float:
    return min(first_s * 2.0 ** min(failures, MAX_DOUBLINGS), max_s)


class LinkLifecycle:
    """One link; ``handle`` turns events into actions. The owner passes the event ``Due`` at ``due``."""

    def __init__(self, limits: Limits, address: Address, now: float) -> None:
        self.limits = limits
        self.address = address
        self.state, self.link, self.due = LinkState.WAITING, 0, now
        self.last_received_at = now  # set by the owner at each complete message
        self.able_until = -math.inf
        self.failures = 0  # links and attempts that failed since a link was last up
        self._limit_s = 0.0
        self._extended = False  # whether this state's deadline was extended after a pause

    def able(self, now: float) -> bool:
        """Return whether the link is up, or was up so recently that it is expected to be up again soon."""
        return self.state in (LinkState.UP, LinkState.PROBING) or now < self.able_until

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process an event and return the resulting actions."""
        match event:
            case Due():
                return self._due(now) if now >= self.due else []
            case Moved(address):
                return self._moved(now, address)
            case _ if event.link != self.link or self.state in (LinkState.WAITING, LinkState.OVER):
                return []
            case Opened() | Greeted() | Synced():
                return self._on_progress(now, event)
            case MessageReceived():
                self.last_received_at = now
                if self.state is LinkState.PROBING:
                    self._enter(LinkState.UP, now, self.limits.quiet_s)
            case Closing():
                if self.state is not LinkState.CLOSING:
                    self._enter(LinkState.CLOSING, now, self.limits.close_s)
            case Refused() | Ended():
                return self._reconnect(now, self.limits.able_after_break_s)
        return []

    def _on_progress(self, now: float, event: Opened | Greeted | Synced) -> list[Action]:
        """Return the next step in setting up the link; none if the state does not expect the event."""
        match event:
            case Opened() if self.state is LinkState.CONNECTING:
                if self.limits.greet_s is None:
                    return self._up(now)
                first_s, max_s = self.limits.greet_s
                self._enter(LinkState.GREETING, now, _backoff_s(first_s, self.failures, max_s))
                return [SendHandshake()]
            case Greeted() if self.state is LinkState.GREETING:
                self._enter(LinkState.SYNCING, now, self.limits.sync_s)
                return [SendSync()]
            case Synced() if self.state is LinkState.SYNCING:
                return self._up(now)
        return []

    def _up(self, now: float) -> list[Action]:
        self.failures = 0
        self._enter(LinkState.UP, now, self.limits.quiet_s)
        return []

    def _due(self, now: float) -> list[Action]:
        match self.state:
            case LinkState.OVER:
                self.due = math.inf
                return []
            case LinkState.WAITING:
                self.link += 1
                self._enter(LinkState.CONNECTING, now, self.limits.connect_s)
                return [Connect(self.link, self.address)]
            case LinkState.UP:
                if now < self.last_received_at + self.limits.quiet_s:
                    self.due = self.last_received_at + self.limits.quiet_s
                    return []
                self._enter(LinkState.PROBING, now, self.limits.answer_s)
                return [SendProbe()]
            case LinkState.SYNCING if now < self.last_received_at + self._limit_s:
                # A long list of missed messages is still arriving.
                self.due = self.last_received_at + self._limit_s
                return []
        if now > self.due + PAUSE_LATENESS_S and not self._extended:
            self._extended, self.due = True, now + self._limit_s
            return []
        reason = _TIMEOUT_REASONS[self.state]
        able_s = (
            self.limits.able_after_silence_s
            if reason is CloseReason.SILENT
            else self.limits.able_after_break_s
        )
        return [Cut(self.link, reason), *self._reconnect(now, able_s)]

    def _moved(self, now: float, address: Address) -> list[Action]:
        if address == self.address:
            return []
        self.address = address
        if self.state is LinkState.OVER or (
            self.limits.reconnect_s is None and self.state is not LinkState.CONNECTING
        ):
            return []  # without reconnection the link ends at the old address, with all that is open on it
        # An attempt in progress is cut too: it would become a lasting link to the old address.
        cut: list[Action] = [] if self.state is LinkState.WAITING else [Cut(self.link, CloseReason.MOVED)]
        self._reconnect(now, self.limits.able_after_break_s)
        self.failures = 0
        if self.state is LinkState.WAITING:
            self.due = now
            cut += self._due(now)
        return cut

    def _reconnect(self, now: float, able_s: float) -> list[Action]:
        if self.state in (LinkState.UP, LinkState.PROBING):
            self.able_until = now + able_s
        if self.limits.reconnect_s is None:
            self.state, self.due = LinkState.OVER, math.inf
            return []
        first_s, max_s = self.limits.reconnect_s
        self._enter(LinkState.WAITING, now, _backoff_s(first_s, self.failures, max_s))
        self.failures += 1
        return [Lost()] if self.failures % LOST_AFTER == 0 else []

    def _enter(self, state: LinkState, now: float, limit_s: float) -> None:
        self.state = state
        self._limit_s = limit_s
        self.due = now + limit_s
        self._extended = False
