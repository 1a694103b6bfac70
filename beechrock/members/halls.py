"""States of the halls, derived from the states of the members in them; pure.

States of a hall: WHOLE (all members are alive), PART (some are), DOUBTED (none is known to be alive, but some
are only suspected), LOST (all are dead). Events: a member's state changed, or the member was forgotten.
Members that left do not count.

Invariants:
- a hall with a member that is alive is not LOST; a LOST hall stays LOST until one of its members is alive
  again, even if its dead members are forgotten meanwhile;
- the counts of a hall are those of the members known in it; at most ``MAX_HALLS`` halls are tracked.
"""

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from beechrock.members.messages import HallChanged, MemberState
from beechrock.members.name_pool import NamePool

MAX_HALLS = 64  # Maximum number of halls tracked; members of further ones count as without a hall


class HallState(Enum):
    """State of a hall; the values are shown to operators."""

    WHOLE = "whole"
    PART = "part"
    DOUBTED = "doubted"
    LOST = "lost"


@dataclass(slots=True)
class HallStatus:
    """Number of one hall's members in each state."""

    alive: int = 0
    suspect: int = 0
    dead: int = 0
    lost: bool = False  # Whether all members died and none is alive again
    living: NamePool = field(default_factory=NamePool)  # Alive or suspected members, candidates for helpers

    @property
    def state(self) -> HallState:
        """The hall's state, derived from ``lost`` and the counts."""
        if self.lost:
            return HallState.LOST
        if not self.alive:
            return HallState.DOUBTED
        return HallState.PART if self.suspect or self.dead else HallState.WHOLE


class CountedAs(NamedTuple):
    """Hall and state in which a member is currently counted."""

    hall: str
    state: MemberState


class HallTable:
    """Table of all halls and their members; this node itself counts as alive in its own hall."""

    def __init__(self, own_hall: str) -> None:
        self.own_hall = own_hall
        self.halls: dict[str, HallStatus] = {}
        if own_hall:
            self.halls[own_hall] = HallStatus(alive=1)
        self.counted: dict[str, CountedAs] = {}  # Keyed by member's name

    def update(self, name: str, hall: str, state: MemberState | None) -> HallChanged | None:
        """Count the member in this hall and state (None if forgotten); return the hall's loss or return."""
        previous = self.counted.pop(name, None)
        if previous is not None:
            self._count(name, previous, -1)
        if state is not None and hall and (hall in self.halls or len(self.halls) < MAX_HALLS):
            self.counted[name] = CountedAs(hall, state)
            self._count(name, self.counted[name], 1)
        changed = self._update_lost(hall) if hall in self.halls else None
        if previous is not None and previous.hall != hall:
            self._update_lost(previous.hall)
        return changed

    def _count(self, name: str, counted: CountedAs, change: int) -> None:
        status = self.halls.setdefault(counted.hall, HallStatus())
        match counted.state:
            case MemberState.ALIVE:
                status.alive += change
            case MemberState.SUSPECT:
                status.suspect += change
            case MemberState.DEAD:
                status.dead += change
        status.living.set_member(name, change > 0 and counted.state < MemberState.DEAD)

    def _update_lost(self, hall: str) -> HallChanged | None:
        """Update whether the hall is lost; remove it once no member is counted in it, unless it is lost."""
        status = self.halls[hall]
        if status.lost and status.alive:
            status.lost = False
            return HallChanged(hall, False, status.alive, status.dead)
        if not status.lost and status.dead and not status.alive and not status.suspect:
            status.lost = True
            return HallChanged(hall, True, 0, status.dead)
        if not status.lost and not status.alive and not status.suspect and not status.dead:
            del self.halls[hall]  # All members left or were forgotten one by one
        return None

    def choose_helpers(
        self,
        generator: random.Random,
        living: NamePool,
        target: str,
        limit: int,
    ) -> list[str]:
        """Return the helpers that are to probe ``target``: one in a third hall, one in its own, the rest any.

        With the link between two of three halls cut, a probe across it gets no answer if all its helpers are
        in these two halls. That would be one probe in nine if helpers were drawn from all members.
        """
        target_hall = self.counted[target].hall if target in self.counted else ""
        third_halls = [
            status
            for name, status in self.halls.items()
            if name not in (self.own_hall, target_hall) and status.living
        ]
        helpers: list[str] = []
        if self.own_hall and target_hall:
            third = generator.choice(third_halls) if third_halls else None
            for hall in (third, self.halls[target_hall]):
                if hall is not None:
                    helpers += hall.living.sample(generator, 1, (target, *helpers))
        return helpers + living.sample(generator, limit - len(helpers), (target, *helpers))
