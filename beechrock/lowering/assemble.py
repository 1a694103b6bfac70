"""Turns placed drafts into tables: what each class runs or steers, and the changes for each loss. Pure.

If a class can't match a rule's requests exactly, it steers all requests of that team to that service (a
*coarse* entry) to one other class, which then has to run each rule that those requests may match. A steered
request is never steered a second time.
"""

from collections.abc import Sequence

from beechrock.lowering.coarse import Class, Scope, Scopes, penalty
from beechrock.lowering.passes.draft import Draft, Finding, Outcome
from beechrock.lowering.passes.lean import lean, wishes
from beechrock.lowering.place import STEERED, Choice, Placement, Room, Want, target
from beechrock.lowering.policy import Feature, Mark, Policy, Rule
from beechrock.lowering.profile import Fleet
from beechrock.lowering.tables import (
    COARSE,
    REFUSE,
    RUN,
    STEER,
    Action,
    Line,
    bytes_of,
    entries_of,
    line_of,
    pack,
    whole,
)

TEXT_BYTES = 300  # Estimated bytes of one pool or action row; each table holds each row once
REFUSED = Action(REFUSE)


class Assembly:
    """Steps of a compile: input of the solver, ``take`` for its placement, then tables and results."""

    def __init__(self, policy: Policy, classes: list[Class], fleet: Fleet) -> None:
        self.policy, self.classes, self.fleet = policy, classes, fleet
        self.teams = len(policy.teams())
        self.halls = fleet.halls()
        self.pool_at = {name: at for at, name in enumerate(policy.pools)}
        self.ways: list[tuple[int, ...]] = []
        # By rank: index of the class to which the rule is steered while no hall or class is lost.
        self.to: list[int | None] = []
        self.actions: list[list[Action]] = []  # By class and rank, while no hall or class is lost
        self.steers = [Action(STEER, target=each.name) for each in classes]
        self.wanted: list[Want] = []
        # By class and rank: draft that runs only after a loss.
        self.standby: dict[tuple[str, int], Draft] = {}
        self.states: dict[str, dict[str, dict[int, Action]]] = {}  # Changes by loss state, class, rank
        # Caches by id() of a draft; the ids stay unique because ``classes`` keeps every draft alive.
        self.lean: dict[int, tuple[Draft, ...]] = {}
        self.held: dict[tuple[int, bool], Choice] = {}  # The flag says whether the draft is steered
        self.runs: dict[int, Action] = {}
        for each in classes:
            self._lengths(each)
        for each in classes:
            each.options = [self._options(draft) for draft in each.drafts]
        self.lean.clear()
        for each in classes:
            self._coarsen(each)
        self.anywhere = [
            any(each.options[rank] and rank not in each.met for each in classes)
            for rank in range(len(policy.rules))
        ]
        self.forced: list[set[int]] = [set() for _ in policy.rules]
        for each in classes:
            self._coarse_target(each)

    def _lengths(self, each: Class) -> None:
        """Mark rules as stuck, in rank order, once the class can't look up more prefix lengths."""
        held: set[int] = set()
        for rank, draft in enumerate(each.drafts):
            new_lengths = {len(p) for p in draft.prefixes} - held
            if new_lengths and len(held) + len(new_lengths) > each.profile.lengths:
                finding = Finding(
                    Feature.MATCH,
                    Outcome.DROPPED,
                    0,
                    f"over {each.profile.lengths} lengths of prefixes",
                    ("lengths", len(held) + len(new_lengths)),
                )
                each.drafts[rank] = _stuck(draft, finding)
            else:
                held |= new_lengths

    def _options(self, draft: Draft) -> tuple[Draft, ...]:
        """Return the drafts to choose from, computed once for all classes that share the draft."""
        known = self.lean.get(id(draft))
        if known is None:
            known = self.lean[id(draft)] = () if draft.stuck else self._ways(draft)
        return known

    def _ways(self, draft: Draft) -> tuple[Draft, ...]:
        reason = "no room in the table for it"
        could = wishes(draft)
        bare = lean(draft, could, reason)
        mid = lean(draft, [wish for wish in could if wish[3] is Mark.MAY], reason)
        found = [draft]
        for other in (mid, bare):
            last = found[-1]
            if other is not last and (other.findings != last.findings or other.affinity is not last.affinity):
                found.append(other)
        return tuple(found)

    def _coarsen(self, each: Class) -> None:
        scopes: dict[Scope, None] = {}
        for draft in each.drafts:
            if not draft.can_match:
                scopes[draft.rule.match.team, draft.rule.match.service] = None
        steers = [self._steer(draft) for draft in each.drafts]
        memory, count = sum(s.memory for s in steers), sum(s.entries for s in steers)
        if memory > each.profile.memory_kb * 1024 or count > each.profile.entries:
            # Even the steer entries alone don't fit: one entry steers everything.
            scopes = {(None, None): None}
        about = Scopes(scopes)
        each.coarse = about.kept
        # A rule that only partly overlaps the coarse scopes keeps its entry for its other requests, but this
        # class does not run it: a request steered here by another class could match the coarse entry and be
        # steered a second time. Found with randomly generated policies.
        each.met = {rank for rank, rule in enumerate(self.policy.rules) if about.meets(rule)}
        each.covered = {rank for rank in each.met if about.holds(self.policy.rules[rank])}

    def _coarse_target(self, each: Class) -> None:
        if not each.coarse:
            return
        met = sorted(each.met)
        able = [
            (sum(penalty(d) for r in met for d in other.options[r][:1]), other.at)
            for other in self.classes
            if other is not each
            and not other.met.intersection(met)
            and all(other.options[r] or not self.anywhere[r] for r in met)
            and self._fits(other, met)
        ]
        if able:
            each.coarse_to = min(able)[1]
            for rank in met:
                if self.anywhere[rank]:
                    self.forced[rank].add(each.coarse_to)

    def _fits(self, other: Class, met: Sequence[int]) -> bool:
        """Return whether a class can hold the smallest drafts of ``met`` and steers of all other rules."""
        inside_met = set(met)
        needs = [
            self._choice(other.options[r][-1]) if r in inside_met and other.options[r] else self._steer(d)
            for r, d in enumerate(other.drafts)
        ]
        room = self.room(other)
        return all(sum(need.held()[k] for need in needs) <= room.held()[k] for k in range(4))

    # --- Input of the solver

    def _choice(self, draft: Draft) -> Choice:
        found = self.held.get((id(draft), False))
        if found is None:
            found = self.held[id(draft), False] = Choice(
                bytes_of(draft, False),
                entries_of(draft),
                draft.counters(self.teams),
                int(draft.hedge_ms is not None),
                penalty(draft),
            )
        return found

    def _steer(self, draft: Draft) -> Choice:
        found = self.held.get((id(draft), True))
        if found is None:
            found = self.held[id(draft), True] = Choice(bytes_of(draft, True), entries_of(draft))
        return found

    def wants(self) -> list[Want]:
        found = []
        for rank, rule in enumerate(self.policy.rules):
            options, steer = [], []
            for each in self.classes:
                options.append(() if rank in each.met else tuple(self._choice(d) for d in each.options[rank]))
                steer.append(Choice() if rank in each.covered else self._steer(each.drafts[rank]))
            found.append(
                Want(
                    tuple(options),
                    tuple(steer),
                    rule.expect_per_s,
                    tuple(sorted(self.forced[rank])),
                    rule.survive_per_s > 0,
                )
            )
        return found

    def room(self, each: Class) -> Room:
        profile = each.profile
        # A table that steers everything lists no pools.
        base = 0 if (None, None) in each.coarse else len(self.policy.pools) * TEXT_BYTES
        base += (len(self.classes) + 2 + len(each.coarse)) * TEXT_BYTES
        return Room(
            max(0, int(profile.memory_kb * 1024) - base),
            profile.entries,
            profile.counters,
            profile.timers,
            profile.rate_per_s * self.fleet.count(each.name),
            tuple(profile.rate_per_s * self.fleet.count(each.name, hall) for hall in self.halls),
        )

    def rooms(self) -> list[Room]:
        return [self.room(each) for each in self.classes]

    def take(self, wants: list[Want], placed: Placement) -> None:
        """Take over a placement, and compute the table changes for each loss of a hall or class."""
        self.ways, self.wanted = list(placed.ways), wants
        # If the solver could not place a forced rule on the class, no coarse scope is steered there.
        for each in self.classes:
            to = each.coarse_to
            if to is not None and any(
                self.ways[r][to] == STEERED for r, f in enumerate(self.forced) if to in f
            ):
                each.coarse_to = None
        every = [True] * len(self.classes)
        self.to = [target(want, way, every) for want, way in zip(wants, self.ways, strict=True)]
        self.actions = [
            [
                self._run(each.options[rank][way[each.at]]) if way[each.at] != STEERED else self._steer_to(to)
                for rank, (way, to) in enumerate(zip(self.ways, self.to, strict=True))
            ]
            for each in self.classes
        ]
        for state, lost_names in self.lost().items():
            self._plan_loss(state, {each.at for each in self.classes if each.name in lost_names})

    def lost(self) -> dict[str, tuple[str, ...]]:
        """Return for each loss state the classes that have no machine left in it."""
        names = [each.name for each in self.classes]
        found = {
            f"hall:{hall}": tuple(
                class_name for class_name in names if not self.fleet.count(class_name, hall)
            )
            for hall in self.halls
        }
        return {**found, **{f"class:{name}": (name,) for name in names}}

    def draft(self, rank: int, at: int) -> Draft:
        return self.classes[at].options[rank][self.ways[rank][at]]

    def _run(self, draft: Draft) -> Action:
        """Return the action that runs the draft, created once for all classes that share the draft."""
        found = self.runs.get(id(draft))
        if found is None:
            found = self.runs[id(draft)] = self._made(draft)
        return found

    def _made(self, draft: Draft) -> Action:
        tiers = tuple(tuple((self.pool_at[pool], c) for pool, c in tier) for tier in draft.tiers)
        return Action(
            RUN,
            tiers,
            int(draft.affinity),
            draft.rate_per_s,
            draft.at_once,
            draft.level,
            draft.retries,
            draft.hedge_ms,
            tuple((self.pool_at[pool], p) for pool, p in draft.mirrors),
            own=draft.own,
        )

    def _steer_to(self, to: int | None) -> Action:
        return REFUSED if to is None else self.steers[to]

    def action(self, rank: int, at: int) -> Action:
        return self.actions[at][rank]

    def _coarse_action(self, each: Class, lost_classes: set[int]) -> Action:
        if each.coarse_to is None:
            return REFUSED
        if each.coarse_to not in lost_classes:
            return self.steers[each.coarse_to]
        # Another class may run all of these rules; otherwise reject, as no other class has every rule.
        met = sorted(each.met)
        for other in self.classes:
            if (
                other is not each
                and other.at not in lost_classes
                and all(self.ways[r][other.at] != STEERED for r in met)
            ):
                return self.steers[other.at]
        return REFUSED

    def _plan_loss(self, state: str, lost_classes: set[int]) -> None:
        """Compute the fewest changes to each class's table for the loss of the classes ``lost_classes``."""
        changes: dict[str, dict[int, Action]] = {}
        alive = [each.at not in lost_classes for each in self.classes]
        # Only steers to a lost class change; for all others the best remaining target stays the same.
        moved = {
            rank: self._steer_to(target(self.wanted[rank], self.ways[rank], alive))
            for rank, to in enumerate(self.to)
            if to in lost_classes
        }
        for each in self.classes:
            if each.at in lost_classes:
                continue
            mine = changes[each.name] = {}
            if each.coarse and each.coarse_to in lost_classes:
                mine[COARSE] = self._coarse_action(each, lost_classes)
            for rank, after in moved.items():
                if self.ways[rank][each.at] != STEERED or rank in each.covered:
                    continue
                if after.verdict == REFUSE and (own := self._standby(each, rank)) is not None:
                    after = self._run(own)
                mine[rank] = after
        self.states[state] = changes

    def _standby(self, each: Class, rank: int) -> Draft | None:
        """Return the smallest draft that runs the rule here and takes no counters or timers from others."""
        for draft in reversed(each.options[rank] if rank not in each.met else ()):
            if not draft.counters(self.teams) and draft.hedge_ms is None:
                self.standby[each.name, rank] = draft
                return draft
        return None

    # --- Results

    def unplaceable_rule(self) -> tuple[Rule, str] | None:
        """Return the first rule that no class runs, with the reason; None if every rule is placed."""
        for rank, way in enumerate(self.ways):
            if all(at == STEERED for at in way):
                reasons = {f.reason: None for each in self.classes for f in each.drafts[rank].stuck}
                return self.policy.rules[rank], "; ".join(reasons) or "no table has room for it"
        for each in self.classes:
            if each.coarse and each.coarse_to is None:
                rank = min(each.covered)
                stuck = next((f.reason for f in each.drafts[rank].stuck), "its table is too small")
                return self.policy.rules[rank], (
                    f"{each.name} can't tell its requests apart ({stuck}), and no other "
                    f"class runs all that they may meet"
                )
        return None

    def refused(self) -> dict[str, frozenset[int]]:
        found = {}
        for each in self.classes:
            ranks = {
                rank
                for rank in range(len(self.ways))
                if rank not in each.covered and self.actions[each.at][rank].verdict == REFUSE
            }
            if each.coarse and each.coarse_to is None:
                ranks.add(COARSE)
            found[each.name] = frozenset(ranks)
        return found

    def stated_findings(self) -> dict[tuple[str, int], Sequence[Finding]]:
        """Return by class and rank the findings of each rule that runs there in any loss state."""
        found: dict[tuple[str, int], Sequence[Finding]] = {
            key: draft.findings for key, draft in self.standby.items()
        }
        for rank, way in enumerate(self.ways):
            for at, option in enumerate(way):
                if option != STEERED:
                    found[self.classes[at].name, rank] = self.draft(rank, at).findings
        return found

    def tables(self) -> dict[str, bytes]:
        found, names = {}, list(self.policy.pools)
        for each in self.classes:
            actions = _Places()
            lines: list[Line] = [
                whole(*scope, actions.of(self._coarse_action(each, set()))) for scope in each.coarse
            ]
            for rank, draft in enumerate(each.drafts):
                if rank not in each.covered:
                    lines.append(line_of(draft, actions.of(self.action(rank, each.at))))
            states = {}
            for state, changes in self.states.items():
                if mine := changes.get(each.name):
                    states[state] = {rank: actions.of(action) for rank, action in mine.items()}
            used_actions = list(actions.by_value)
            used = sorted({at for a in used_actions for part in (*a.tiers, a.mirrors) for at, _ in part})
            place = {at: new for new, at in enumerate(used)}
            pools = [self.policy.pools[names[at]] for at in used]
            found[each.name] = pack(pools, [a.over(place) for a in used_actions], lines, states)
        return found


class _Places:
    """Numbers a table's distinct actions; a known object is found by its id, without comparing fields."""

    def __init__(self) -> None:
        self.by_value: dict[Action, int] = {}
        self.by_id: dict[int, tuple[int, Action]] = {}  # Keeps each action alive, so that its id stays unique

    def of(self, action: Action) -> int:
        known = self.by_id.get(id(action))
        if known is None:
            place = self.by_value.setdefault(action, len(self.by_value))
            known = self.by_id[id(action)] = place, action
        return known[0]


def _stuck(draft: Draft, finding: Finding) -> Draft:
    return draft.with_changes(stuck=(*draft.stuck, finding))
