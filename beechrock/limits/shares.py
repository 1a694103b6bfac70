"""Fair shares of the work that is done, by weight. Pure; O(log n) of the active teams.

This is fair queueing by virtual time. The clock of virtual time V advances by the work that is done divided
by the sum of the active teams' weights. A charge of cost c moves a team's finish tag from max(V, tag) on by
c / weight; a team is active while its tag is ahead of V. So (tag - V) x weight is the work that a perfectly
fair server would still have to do for the team: its backlog. No capacity has to be known: with fewer cores
less work is done, and V advances more slowly.

Invariants: tags of inactive teams are at most V and count as V; the sum of the active weights is exact (whole
millionths); the heap has at most ``SPARE_ENTRIES`` entries more than twice the active teams; the sum of all
backlogs is what was charged, less what was refunded and done.
"""

import heapq
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from beechrock.limits.errors import BrokenBooksError

MIN_WEIGHT, MAX_WEIGHT = 0.001, 1000.0
MILLION = 1_000_000
SPARE_ENTRIES = 64  # heap entries beyond twice the active teams before the heap is rebuilt
# A team that was the only active one for this many slacks of work is within its share.
SOLE_ACTIVE_SLACKS = 4.0
ROUNDING = 1e-3  # rounding error of sums of doubles, in millionths of a second of work
REBASE_ABOVE = 1e9  # largest V; above it doubles would lose the small steps of a heavy team
T = TypeVar("T", bound=Hashable)


def millionths(weight: float) -> int:
    """Return a weight in whole millionths; BrokenBooksError outside of the bounds."""
    if not MIN_WEIGHT <= weight <= MAX_WEIGHT:
        raise BrokenBooksError(f"a weight of {weight:g}", wanted=f"{MIN_WEIGHT:g} to {MAX_WEIGHT:g}")
    return round(weight * MILLION)


@dataclass(slots=True)
class _Team:
    weight: int  # whole millionths
    finish_tag: float = 0.0  # virtual time at which its charged work would be done
    heap_entry: int = 0  # number of the team's newest heap entry; older entries are stale


@dataclass(slots=True)
class Shares(Generic[T]):
    """The virtual clock, and the finish tags of all teams."""

    virtual_time: float = 0.0  # V, in seconds of work per unit of weight
    active_weight: int = 0  # sum of the active teams' weights, in millionths
    teams: dict[T, _Team] = field(default_factory=dict)
    active: set[T] = field(default_factory=set)
    heap: list[tuple[float, int, T]] = field(default_factory=list)  # finish tag, entry number, team
    entry_count: int = 0  # heap entries made so far
    sole_work_s: float = 0.0  # seconds of work done since two teams were active

    def set_weight(self, team: T, weight: float) -> None:
        """Add a team or change its weight; its backlog stays the same in seconds of work."""
        whole = millionths(weight)
        state = self.teams.get(team)
        if state is None:
            self.teams[team] = _Team(whole)
        elif state.weight != whole:
            backlog = self.backlog_s(team)
            self._deactivate(team)
            state.weight = whole
            self._set_finish_tag(team, state, self.virtual_time + backlog * MILLION / whole)

    def remove(self, team: T) -> None:
        """Remove a team with its backlog."""
        self._deactivate(team)
        self.teams.pop(team, None)

    def backlog_s(self, team: T) -> float:
        """Return the seconds of work that a fair server would still have to do for the team."""
        state = self.teams[team]
        return (state.finish_tag - self.virtual_time) * state.weight / MILLION if team in self.active else 0.0

    def is_within_share(self, team: T, slack: float) -> bool:
        """Return whether the team's next work is within its fair share.

        It is where a fair server would have done the team's backlog before ``slack`` seconds of work for all.
        A team that has been the only active one for long takes from nobody, so it is within its share too.

        To be alone for a moment is not enough. Seen with two scarce cores: alone for a moment between two
        requests of another team, a flood filled the queue, and the other waited behind it or was rejected.
        """
        if team not in self.active or (
            len(self.active) == 1 and self.sole_work_s > SOLE_ACTIVE_SLACKS * slack
        ):
            return True
        return (self.teams[team].finish_tag - self.virtual_time) * self.active_weight <= slack * MILLION

    def charge(self, team: T, cost: float) -> None:
        """Add seconds of work to a team's backlog.

        A negative cost is a refund, or corrects an estimate that was too high; it never leaves a team with a
        credit.
        """
        state = self.teams.get(team)
        if state is None or cost == 0:
            return
        start_tag = state.finish_tag if team in self.active else self.virtual_time
        finish_tag = start_tag + cost * MILLION / state.weight
        self._set_finish_tag(team, state, finish_tag)
        # The part of a refund that V has passed already was time of the other teams. Without this, each such
        # part stayed in their tags for as long as any team was active, until all were over their shares.
        if cost < 0 and finish_tag < self.virtual_time:
            self.record_work((self.virtual_time - finish_tag) * state.weight / MILLION)

    def record_work(self, cost: float) -> None:
        """Advance V by seconds of work done for any team; teams whose tags V passes become inactive."""
        self.sole_work_s = self.sole_work_s + max(0.0, cost) if len(self.active) < 2 else 0.0
        remaining = max(0.0, cost) * MILLION
        while self.heap:
            finish_tag, heap_entry, team = self.heap[0]
            state = self.teams.get(team)
            if state is None or state.heap_entry != heap_entry or team not in self.active:
                heapq.heappop(self.heap)
                continue
            if state.finish_tag > finish_tag:  # charged since the entry was made
                heapq.heapreplace(self.heap, (state.finish_tag, heap_entry, team))
                continue
            needed = (finish_tag - self.virtual_time) * self.active_weight
            if needed > remaining + ROUNDING:
                self.virtual_time += remaining / self.active_weight
                break
            remaining = max(0.0, remaining - max(0.0, needed))
            self.virtual_time = max(self.virtual_time, finish_tag)
            self._deactivate(team)
        if self.virtual_time > REBASE_ABOVE:
            self._rebase()

    def _set_finish_tag(self, team: T, state: _Team, finish_tag: float) -> None:
        if finish_tag <= self.virtual_time:
            self._deactivate(team)
            return
        if team not in self.active:
            self.active.add(team)
            self.active_weight += state.weight
            needs_entry = True
        else:
            # The team's heap entry has an older tag. A later tag is corrected when that entry comes up; an
            # earlier tag needs a new entry, as the old one would come up too late.
            needs_entry = finish_tag < state.finish_tag
        state.finish_tag = finish_tag
        if needs_entry:
            self.entry_count += 1
            state.heap_entry = self.entry_count
            heapq.heappush(self.heap, (finish_tag, state.heap_entry, team))
            if len(self.heap) > 2 * len(self.active) + SPARE_ENTRIES:
                self._rebuild_heap()

    def _deactivate(self, team: T) -> None:
        if team in self.active:
            self.active.discard(team)
            self.active_weight -= self.teams[team].weight
            if not self.active:
                self.heap.clear()
                self.virtual_time = 0.0

    def _rebuild_heap(self) -> None:
        self.heap = [(self.teams[team].finish_tag, self.teams[team].heap_entry, team) for team in self.active]
        heapq.heapify(self.heap)

    def _rebase(self) -> None:
        """Set V back to 0 and all tags back by as much, so that doubles keep their precision."""
        base, self.virtual_time = self.virtual_time, 0.0
        for team in self.active:
            self.teams[team].finish_tag -= base
        self._rebuild_heap()
