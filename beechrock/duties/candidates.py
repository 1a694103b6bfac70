"""Choice of the member to which a duty is granted: groups of members, tried in order of preference.

The functions are pure and keep no state. Invariant: a duty held by an unstable member, or by one that did not
claim it before, is better than a duty without a holder, so the last group contains all members.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from beechrock.duties.model import Duty, Member
from beechrock.duties.pace import HoldDown
from beechrock.duties.placement import choose


class Candidates(NamedTuple):
    """Members that may be granted a duty, in three groups."""

    all: list[Member]  # all members known to the leader
    recent: list[Member]  # members whose last request arrived recently
    not_held_down: list[Member]  # recent members without a hold-down


def group_candidates(
    now_s: float, members: Collection[Member], recent: list[Member], hold_down: HoldDown
) -> Candidates:
    """Sort the members into the groups of ``Candidates``."""
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
    """Return a holder from the first group with an eligible member, or None if no member is eligible.

    ``load`` is the number of duties by member; ``limit`` is the maximum number of duties for one member.
    ``passed_over`` lists the members that did not claim this duty, the latest last.
    """
    new, available = (
        [member for member in group if member.name not in passed_over]
        for group in (candidates.recent, candidates.not_held_down)
    )
    available_for_duty = [
        member for member in available if not hold_down.remaining_s(f"{member.name}/{duty.name}", now_s)
    ]
    passed_over_again = [
        [member for member in candidates.recent if member.name == name] for name in passed_over[:-1]
    ]  # the member passed over longest ago comes first; the member passed over last is left out
    # An unstable holder is better than none, so the groups with fewer restrictions follow.
    for group in (available_for_duty, available, new, *passed_over_again, candidates.all):
        if (holder := choose(duty, group, load, limit)) is not None:
            return holder
    return None
