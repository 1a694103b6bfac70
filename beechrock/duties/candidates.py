"""Which member a duty is proposed to: the groups of members, in the order in which they are tried.

Pure, without state. Invariant: held by one that comes and goes, or that did not take it before, is better
than held by none, so the groups end with all members.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from beechrock.duties.model import Duty, Member
from beechrock.duties.pace import HoldDown
from beechrock.duties.placement import choose


class Candidates(NamedTuple):
    """The members that a duty may go to, in three groups."""

    all: list[Member]
    recent: list[Member]  # heard from lately
    not_held_down: list[Member]  # of the recent ones


def group_candidates(
    now_s: float, members: Collection[Member], recent: list[Member], hold_down: HoldDown
) -> Candidates:
    """Return the groups."""
    available = [member for member in recent if not hold_down.remaining_s(member.name, now_s)]
    return Candidates(list(members), recent, available)


def choose_holder(
    now_s: float,
    duty: Duty,
    candidates: Candidates,
    passed_over: list[str],
    hold_down: HoldDown,
    load: Mapping[str, int],
    limit: int,
) -> Member | None:
    """Return the holder from the first group that has one; ``load``, ``limit``: of duties by member."""
    new, available = (
        [member for member in group if member.name not in passed_over]
        for group in (candidates.recent, candidates.not_held_down)
    )
    available_for_duty = [
        member for member in available if not hold_down.remaining_s(f"{member.name}/{duty.name}", now_s)
    ]
    passed_over_again = [
        [member for member in candidates.recent if member.name == name] for name in passed_over[:-1]
    ]  # the oldest first
    # Held by one that comes and goes is better than held by none.
    for group in (available_for_duty, available, new, *passed_over_again, candidates.all):
        if (holder := choose(duty, group, load, limit)) is not None:
            return holder
    return None
