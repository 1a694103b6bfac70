"""What a duty is, and which members may hold it.

A duty is FLEET (one in all), HALL (one in each hall; ``scope`` is the hall) or SHARD (one for each shard;
``scope`` names it). A member may hold it where its hall and its hardware class are among those listed (none
listed: any), where it has a worker for it, and while it is neither drained nor leaving.
"""

from dataclasses import dataclass
from enum import Enum

# Of a lease's length, by which a holder stops before its end. Safe while the rates of any two clocks differ
# by less than this: the holder counts LEASE * (1 - DRIFT) from when it sent its request, the leader LEASE
# from its answer.
DRIFT = 0.05
PAUSE = 0.25  # of the shortest lease: a gap between two readings of the clock that is a pause
RENEW_EACH_LEASES = 0.2  # of the shortest lease: between two requests for renewal
MIN_LEASE_S, MAX_LEASE_S = 0.2, 60.0
MAX_DUTIES = 4096  # in the agreed table; a declaration beyond it is refused
MAX_HOLD_DOWNS = 1024  # of members, and of members with a duty; beyond it the oldest is forgotten
MAX_NAME_BYTES = 128  # of a duty's name and scope
MAX_LISTED = 64  # halls, or hardware classes, of one duty


class Kind(Enum):
    """How many holders a duty has; the values are in the agreed log."""

    FLEET = "fleet"
    HALL = "hall"
    SHARD = "shard"


class WithoutQuorum(Enum):
    """What a holder does without a quorum.

    STOP: it goes on until the lease ends, then stops. FINISH: at half the lease without an answer it takes
    nothing new.
    """

    STOP = "stop"
    FINISH = "finish"


@dataclass(frozen=True, slots=True)
class Duty:
    """What one member may do at a time."""

    name: str
    kind: Kind = Kind.FLEET
    scope: str = ""
    halls: tuple[str, ...] = ()
    hardware: tuple[str, ...] = ()
    lease_s: float = 0.0  # 0: as the table [duties] says
    without_quorum: WithoutQuorum = WithoutQuorum.STOP

    @property
    def is_valid(self) -> bool:
        """Whether it is within the bounds of this module."""
        return (
            0 < len(self.name.encode()) <= MAX_NAME_BYTES
            and len(self.scope.encode()) <= MAX_NAME_BYTES
            and MIN_LEASE_S <= self.lease_s <= MAX_LEASE_S
            and max(len(self.halls), len(self.hardware)) <= MAX_LISTED
            and (self.kind is not Kind.HALL or bool(self.scope))
        )


@dataclass(frozen=True, slots=True)
class Grant:
    """A right from the log: ``fence`` is the index of its entry, unique, and grows."""

    holder: str
    life: int
    fence: int
    lease_s: float  # as it was when granted: a later declaration does not shorten what may be held


@dataclass(slots=True)
class Member:
    """What the leader received from a member itself."""

    name: str
    life: int
    hall: str
    hardware: str
    serving: bool  # neither drained nor leaving
    supported: frozenset[str]  # duties for which it has a worker
    last_request_s: float  # when its last request came
    silent: bool = False  # for so long that it gets nothing


def ineligibility_reason(duty: Duty, member: Member) -> str:
    """Return why the member may not hold the duty; empty: it may."""
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
