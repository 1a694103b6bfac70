"""Data types of the membership: statuses, updates, messages, and the actions of the failure detector.

``codec`` encodes fields by their position here, not by their names.
"""

from dataclasses import dataclass
from enum import IntEnum

MAX_UPDATES = 8  # Maximum updates per message; with names of 64 bytes they fit a datagram of 1,200 bytes
BUCKETS = 64  # Number of buckets of names; among 1,000 members one change makes about 16 updates be sent
DIGEST_BYTES = 8  # Size of one bucket's digest
MAX_PARTS = 128  # Maximum parts of a full state: 150 KB in all, and fewer than the codec's replay window


class MemberState(IntEnum):
    """States of a member; of two statuses with equal life and incarnation, the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, order=True)
class Status:
    """Status of a member; the greater of two statuses wins.

    ``life`` is greater for each new process of a name; ``incarnation`` is raised by the process itself, to
    refute a suspicion or its death.
    """

    life: int
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Update:
    """A member's status as it is gossiped.

    ``accuser`` is, in a suspicion, the member that got no answer; members that pass the suspicion on do not
    confirm it. ``hall`` is the member's hall; empty if the member has none configured, or if a member of an
    earlier version passed the update on.
    """

    name: str
    address: str
    status: Status
    accuser: str = ""
    hall: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe. ``indirect_target`` names its target if it is sent for another member, else is empty."""

    number: int
    indirect_target: str = ""
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to a helper to probe ``target`` at ``address``; acknowledged at once by ``PingRequestAck``."""

    number: int
    target: str
    address: str
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a probe. ``indirect_target`` names who answered if a helper probed, else is empty."""

    number: int
    indirect_target: str = ""
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequestAck:
    """Acknowledgement of a ``PingRequest``; it shows the prober that its own link to the helper works."""

    number: int
    updates: tuple[Update, ...] = ()


@dataclass(frozen=True, slots=True)
class FullState:
    """One part of a member's full state; ``parts_left`` more follow. Sent over connections only.

    ``digests`` holds the digests of the sender's whole view, one per bucket of names, in the first part of an
    opening or an answer; else it is empty.
    """

    parts_left: int
    updates: tuple[Update, ...] = ()
    digests: bytes = b""


Message = Ping | PingRequest | Ack | PingRequestAck | FullState


@dataclass(frozen=True, slots=True)
class Send:
    """Send the message to this address as a datagram."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class StatusChanged:
    """The status of a member, which may be this one, has changed; ``reason`` is a text for operators."""

    update: Update
    previous: MemberState | None
    reason: str


@dataclass(frozen=True, slots=True)
class HallChanged:
    """A hall has lost its last living member (``lost``), or one of its members is alive again."""

    hall: str
    lost: bool
    alive: int
    dead: int


@dataclass(frozen=True, slots=True)
class Displaced:
    """A newer process has this member's name; this one sends nothing as a member from now on."""

    life: int
    address: str


@dataclass(frozen=True, slots=True)
class StartSync:
    """Exchange full states with the member at this address (``state_sync`` describes the exchange)."""

    address: str


Action = Send | StatusChanged | HallChanged | Displaced | StartSync
