"""Placement of duties on members: rendezvous hashing with bounded load and as few moves as possible.

Invariants: a well-placed duty stays where it is; a member gets no duty beyond ``max_per_member`` while
another eligible member has capacity; every leader makes the same choice from the same state.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from math import floor

from beechrock.duties.model import Duty, Member, ineligibility_reason

MAX_LOAD = 1.25  # Maximum number of duties on one member, as a multiple of the mean


def weight(duty: str, member: str) -> int:
    """Return the rendezvous weight of a member for a duty, which is the same in all processes."""
    return int.from_bytes(blake2b(f"{duty}\0{member}".encode(), digest_size=8).digest(), "big")


def max_per_member(duties: int, members: int) -> int:
    """Return the maximum number of duties for one member.

    This is MAX_LOAD times the mean, but at least the mean rounded up, so that all duties can be placed.
    """
    if not members:
        return 0
    return max(floor(MAX_LOAD * duties / members), -(-duties // members))


def choose(duty: Duty, members: Iterable[Member], load: Mapping[str, int], limit: int) -> Member | None:
    """Return the eligible member with capacity and the highest weight for the duty, or the least loaded one.

    The result is None if no member is eligible. ``limit`` is the number of duties at which a member has no
    capacity left.
    """
    eligible = [member for member in members if not ineligibility_reason(duty, member)]
    with_capacity = [member for member in eligible if load.get(member.name, 0) < limit]
    if with_capacity:
        return max(with_capacity, key=lambda member: (weight(duty.name, member.name), member.name))
    return min(
        eligible,
        key=lambda member: (load.get(member.name, 0), -weight(duty.name, member.name), member.name),
        default=None,
    )


def can_relieve(load: Mapping[str, int], member: str, eligible: Iterable[str], limit: int) -> bool:
    """Return whether ``member`` has more duties than ``limit`` and another eligible member has capacity."""
    if load.get(member, 0) <= limit:
        return False
    return any(load.get(other, 0) < limit for other in eligible if other != member)
