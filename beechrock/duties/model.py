"""Data model of duties, grants and members, and the rule for which members may hold a duty.

A duty has the kind FLEET (one holder in the fleet), HALL (one holder per hall; ``scope`` is the hall) or
SHARD (one holder per shard; ``scope`` is the shard's name). A member may hold a duty if the duty lists its
hall and its hardware class (an empty list means any), if the member has a worker for the duty, and while it
is neither drained nor leaving nor silent.
"""

from dataclasses import dataclass
from enum import Enum

# Share of a lease by which a holder stops before the lease ends. Leases are safe while the rates of any two
# clocks differ by less than this: the holder counts LEASE * (1 - DRIFT) from the sending of its request, the
# leader counts LEASE from its reply.
DRIFT = 0.05
PAUSE = 0.25  # Share of the shortest lease; a longer gap between two clock readings counts as a pause
RENEW_EACH_LEASES = 0.2  # Interval between two renewal requests, as a share of the shortest lease
MIN_LEASE_S, MAX_LEASE_S = 0.2, 60.0  # Bounds of a duty's lease, in seconds
MAX_DUTIES = 4096  # Maximum number of declared duties; a further declaration is refused
# Maximum number of hold-downs, of members and of pairs of member and duty; beyond it the oldest is dropped.
MAX_HOLD_DOWNS = 1024
MAX_NAME_BYTES = 128  # Maximum length of a duty's name, and of its scope, in UTF-8 bytes
MAX_LISTED = 64  # Maximum number of halls, and of hardware classes, that a duty lists


class Kind(Enum):
    """Area in which a duty has one holder; the agreed log contains the values."""

    FLEET = "fleet"
    HALL = "hall"
    SHARD = "shard"


class WithoutQuorum(Enum):
    """Behaviour of a holder whose lease is not renewed, for example without a quorum.

    STOP: the holder continues until its lease ends, then stops. FINISH: when half the lease is left, the
    holder yields: it starts no new work and finishes the work in progress.
    """

    STOP = "stop"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class Duty:
    """Work that only one member may do at a time."""

    name: str
    kind: Kind = Kind.FLEET
    scope: str = ""  # hall of a HALL duty, name of the shard of a SHARD duty
    halls: tuple[str, ...] = ()  # halls whose members may hold the duty; empty for any
    hardware: tuple[str, ...] = ()  # hardware classes whose members may hold the duty; empty for any
    lease_s: float = 0.0  # length of the lease in seconds; 0 for the default of the settings table [duties]
    without_quorum: WithoutQuorum = WithoutQuorum.STOP

    @property
    def is_valid(self) -> bool:
        """Whether the duty is within the bounds of this module."""
        return (
            0 < len(self.name.encode()) <= MAX_NAME_BYTES
            and len(self.scope.encode()) <= MAX_NAME_BYTES
            and MIN_LEASE_S <= self.lease_s <= MAX_LEASE_S
            and max(len(self.halls), len(self.hardware)) <= MAX_LISTED
            and (self.kind is not Kind.HALL or bool(self.scope))
        )


@dataclass(frozen=True, slots=True)
class Grant:
    """Grant of a duty to a member's process, recorded in the agreed log."""

    holder: str  # name of the member
    life: int  # incarnation number of the member's process
    fence: int  # log index of the grant; unique, and higher for each later grant
    lease_s: float  # lease in seconds at the time of the grant; a later declaration does not change it


@dataclass(slots=True)
class Member:
    """State of a member as reported in its latest requests to the leader."""

    name: str
    life: int
    hall: str
    hardware: str
    serving: bool  # whether the member is neither drained nor leaving
    supported: frozenset[str]  # names of the duties for which the member has workers
    last_request_s: float  # leader's clock time of the last request
    silent: bool = False  # whether the last request is so old that the member is granted nothing


def ineligibility_reason(duty: Duty, member: Member) -> str:
    """Return why the member may not hold the duty, or an empty string if it may."""
    if member.silent:
        return "silent"
    if not member.serving:
        return "drained or leaving"
    if duty.name not in member.supported:
        return "has no worker for it"
    if duty.kind is Kind.HALL and member.hall != duty.scope:
        return "in another hall"
    if duty.halls and member.hall not in duty.halls:
        return "in another hall"
    if duty.hardware and member.hardware not in duty.hardware:
        return "of another hardware class"
    return ""
