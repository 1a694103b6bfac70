"""Decides which class runs which rule, by a solver or greedily, within table sizes and request rates. Pure.

The request rates also have to hold after the loss of any one hall. Rules with similar costs form a group, so
that 10,000 rules need only some hundred integer variables. Each column of the model is a pattern of a group:
which classes run its rules (in full, or reduced to the ``must`` features) while all others steer. The solver
is bounded by work and not by time, so that the same input always gives the same plan. The time limit is only
a safety net: if it is reached, the greedy placement is used and the report says so.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

STEERED = -1  # In place of an option: the class steers the rule to another class
# Penalties in the objective: per class that steers a rule, per refused rule, per rule that has to survive the
# loss of a hall and does not, and for load above a class's request rate.
STEER_COST, REFUSE_COST, FRAGILE_COST, OVER_COST = 20, 100_000, 2_000, 3_000
# Bounds of the solver: groups in the model, seconds, nodes of the search tree, and relative optimality gap.
MAX_GROUPS, TIME_S, NODES, GAP = 800, 3.0, 50, 0.005
MARGIN = 0.99  # Share of a class's capacity that the solver may use, because it works with group means


class Choice(NamedTuple):
    """Resources that a class needs for a rule (memory in bytes), and the penalty for its lost features."""

    memory: int = 0
    entries: int = 0
    counters: int = 0
    timers: int = 0
    penalty: int = 0

    def held(self) -> tuple[int, int, int, int]:
        return self[:4]


@dataclass(frozen=True, slots=True)
class Want:
    """Rule to place: by class its options to run it (best first; none: it can't), and the cost to steer."""

    options: tuple[tuple[Choice, ...], ...]
    steer: tuple[Choice, ...]
    rate_per_s: float
    # Classes that have to run the rule, because other classes steer whole coarse scopes to them.
    forced: tuple[int, ...] = ()
    survives: bool = False  # Whether some class must still run the rule after the loss of any one hall


@dataclass(frozen=True, slots=True)
class Room:
    """Capacity of a class: limits of its table, and requests per second with all halls and without each."""

    memory: int
    entries: int
    counters: int
    timers: int
    rate_per_s: float
    without: tuple[float, ...]

    def held(self) -> tuple[int, int, int, int]:
        return self.memory, self.entries, self.counters, self.timers


@dataclass(frozen=True, slots=True)
class Pattern:
    """Assignment of one rule: for each class an option or STEERED; refused if no class runs it."""

    way: tuple[int, ...]
    held: tuple[tuple[int, int, int, int], ...]
    penalty: int
    # Requests per second steered to each class with all halls, then the same without each hall in turn.
    extra: tuple[float, ...]

    @property
    def runs(self) -> bool:
        return any(at != STEERED for at in self.way)


@dataclass(frozen=True, slots=True)
class Placement:
    """Option or STEERED for each rule and class; ``cost`` is the value of the minimized objective."""

    ways: tuple[tuple[int, ...], ...]
    cost: float
    method: str


def target(want: Want, way: Sequence[int], alive: Sequence[bool]) -> int | None:
    """Return the class to steer to: that with the lowest penalty, then the first; None if none runs it."""
    runs = [(want.options[c][at].penalty, c) for c, at in enumerate(way) if at != STEERED and alive[c]]
    return min(runs)[1] if runs else None


# Requests per second by class, their sum (1.0 if it is 0), and by class whether its rate is above 0.
Rate = tuple[list[float], float, list[bool]]


def _loads(want: Want, way: Sequence[int], rates: Sequence[Rate]) -> tuple[list[float], bool]:
    """Return the steered requests/s by state and class, and whether a class runs it in each state."""
    extra: list[float] = []
    available = True
    for rate, total, alive in rates:
        steered = [0.0] * len(rate)
        to = target(want, way, alive)
        if to is None:
            available = False
        else:
            steered[to] = sum([want.rate_per_s * r / total for c, r in enumerate(rate) if way[c] == STEERED])
        extra += steered
    return extra, available


def _sets(want: Want, can: Sequence[int], forced: Sequence[int]) -> list[frozenset[int]]:
    """Return the sets of classes to consider: the k best for each k, all but one, and each alone.

    With all subsets of six classes a group had 128 patterns, and building the model took longer than solving
    it.
    """
    best = sorted(can, key=lambda c: (want.options[c][0].penalty, want.options[c][0].memory, c))
    sets = [best[:k] for k in range(len(best) + 1)]
    sets += [[c for c in best if c != out] for out in best] + [[c] for c in best]
    return list(dict.fromkeys(frozenset((*forced, *runners)) for runners in sets))


def rates_of(rooms: Sequence[Room]) -> list[Rate]:
    """Return the request rates of all classes: with all halls, then without each hall in turn."""
    found = [
        [room.rate_per_s for room in rooms],
        *([room.without[h] for room in rooms] for h in range(len(rooms[0].without) if rooms else 0)),
    ]
    return [(rate, sum(rate) or 1.0, [r > 0 for r in rate]) for rate in found]


def patterns(want: Want, rates: Sequence[Rate]) -> list[Pattern]:
    """Return the patterns to consider: each set of classes that runs the rule, in full or reduced."""
    count = len(want.options)
    can = [c for c in range(count) if want.options[c]]
    forced = [c for c in want.forced if want.options[c]]
    found: dict[tuple[int, ...], Pattern] = {}
    for runners in _sets(want, can, forced):
        for bare in (False, True):
            way = tuple(
                (len(want.options[c]) - 1 if bare else 0) if c in runners else STEERED for c in range(count)
            )
            if way in found:
                continue
            extra, available = _loads(want, way, rates)
            penalty = sum(
                want.options[c][at].penalty if at != STEERED else STEER_COST for c, at in enumerate(way)
            )
            if not runners:
                penalty = REFUSE_COST
            elif not available and want.survives:
                penalty += FRAGILE_COST
            held = tuple(
                (want.options[c][at] if at != STEERED else want.steer[c]).held() for c, at in enumerate(way)
            )
            found[way] = Pattern(way, held, penalty, tuple(extra))
    return sorted(found.values(), key=lambda p: (p.penalty, p.way))


def free_rates(wants: Sequence[Want], rooms: Sequence[Room]) -> list[float]:
    """Return by state and class the request rate left after the requests that reach each class directly."""
    total = sum(want.rate_per_s for want in wants)
    found = []
    for h in range(-1, len(rooms[0].without) if rooms else -1):
        rates = [room.rate_per_s if h < 0 else room.without[h] for room in rooms]
        fleet_rate = sum(rates) or 1.0
        found += [max(0.0, rate - total * rate / fleet_rate) for rate in rates]
    return found


@dataclass(slots=True)
class _Group:
    want: Want
    members: list[int]
    patterns: list[Pattern]


def _group_key(want: Want, coarse: int) -> tuple[object, ...]:
    """Return a rule's grouping key: its costs, rounded; a higher ``coarse`` rounds more."""
    rate = math.floor(math.log2(max(want.rate_per_s, 1e-3))) >> coarse
    key: list[object] = [rate, want.forced, want.survives]
    step = 4 << 2 * coarse
    for choices in (*want.options, want.steer):
        key.append(len(choices))
        for c in choices:
            memory = (c.memory.bit_length() >> coarse) if c.memory else -1
            key += memory, c.entries, c.counters, c.timers, c.penalty // step
    return tuple(key)


def _mean(wants: Sequence[Want]) -> Want:
    """Return the mean of a group's rules, so that a sum over the group is right."""
    count, first = len(wants), wants[0]

    def mean(choices: Sequence[Choice]) -> Choice:
        memory, lost = sum(c.memory for c in choices), sum(c.penalty for c in choices)
        sample = choices[0]
        return Choice(
            -(-memory // count), sample.entries, sample.counters, sample.timers, round(lost / count)
        )

    return replace(
        first,
        options=tuple(
            tuple(mean([w.options[c][at] for w in wants]) for at in range(len(first.options[c])))
            for c in range(len(first.options))
        ),
        steer=tuple(mean([w.steer[c] for w in wants]) for c in range(len(first.steer))),
        rate_per_s=sum(w.rate_per_s for w in wants) / count,
    )


def groups_of(wants: Sequence[Want], rooms: Sequence[Room]) -> list[_Group]:
    """Group similar rules, with coarser keys until there are at most MAX_GROUPS groups, if possible.

    A group's cost is the mean of its rules: with costs rounded up, 3,000 steers did not fit.
    """
    member_lists = [[at] for at in range(len(wants))]
    for coarse in range(0 if len(wants) < 1000 else 1, 4):
        found: dict[tuple[object, ...], list[int]] = {}
        for alike in member_lists:  # Rules with the same key keep a common key at every coarser level
            found.setdefault(_group_key(wants[alike[0]], coarse), []).extend(alike)
        member_lists = list(found.values())
        if len(member_lists) <= MAX_GROUPS:
            break
    groups, rates = [], rates_of(rooms)
    for members in map(sorted, member_lists):
        want = _mean([wants[at] for at in members])
        groups.append(_Group(want, members, patterns(want, rates)))
    return groups


def greedy(wants: Sequence[Want], rooms: Sequence[Room], groups: Sequence[_Group]) -> Placement:
    """Give each rule in turn the cheapest pattern that still has room; refuse it if none has."""
    left = [list(room.held()) for room in rooms]
    free = free_rates(wants, rooms)
    offered = {member: group.patterns for group in groups for member in group.members}
    # Space for steering is reserved for all rules, so that early rules can't take the entries of later ones.
    for want in wants:
        for c, choice in enumerate(want.steer):
            for k, value in enumerate(choice.held()):
                left[c][k] -= value
    ways, cost = [], 0.0
    for at, want in enumerate(wants):
        base = [choice.held() for choice in want.steer]
        best: tuple[float, Pattern] | None = None
        for pattern in offered[at]:
            if best is not None and pattern.penalty >= best[0]:
                break
            if not _has_room(want, pattern, base, left):
                continue
            over = sum(1 for have, need in zip(free, pattern.extra, strict=True) if need > have + 1e-9)
            price = pattern.penalty + over * OVER_COST / 100
            if best is None or price < best[0]:
                best = price, pattern
        refusal = Pattern((STEERED,) * len(rooms), tuple(base), REFUSE_COST, (0.0,) * len(free))
        price, chosen = best if best is not None else (float(REFUSE_COST), refusal)
        cost += price
        ways.append(chosen.way)
        for c, option in enumerate(chosen.way):
            if option != STEERED:
                for k, value in enumerate(want.options[c][option].held()):
                    left[c][k] += base[c][k] - value
        for state, need in enumerate(chosen.extra):
            free[state] -= need
    return Placement(tuple(ways), cost, "greedy")


def _has_room(
    want: Want, pattern: Pattern, base: Sequence[Sequence[int]], left: Sequence[Sequence[int]]
) -> bool:
    """Return whether the pattern fits, by the rule's own costs; the pattern holds the means of its group."""
    return all(
        left[c][k] + base[c][k] >= value
        for c, option in enumerate(pattern.way)
        if option != STEERED
        for k, value in enumerate(want.options[c][option].held())
    )


def solve(
    wants: Sequence[Want], rooms: Sequence[Room], groups: Sequence[_Group], time_s: float = TIME_S
) -> Placement | None:
    """Return the solver's placement; None if it finds none within its bounds."""
    import highspy
    import numpy as np

    free = free_rates(wants, rooms)
    columns = [(g, pattern) for g, group in enumerate(groups) for pattern in group.patterns]
    rows = len(groups) + 4 * len(rooms) + len(free)
    starts, index, value, costs = [0], list[int](), list[float](), list[float]()
    # Rows are scaled to about 1, because mixing byte counts with counts of timers costs numerical precision.
    limits = [max(1, room.held()[k]) for room in rooms for k in range(4)]
    for g, pattern in columns:
        index.append(g)
        value.append(1.0)
        for at, limit in enumerate(limits):
            if need := pattern.held[at // 4][at % 4]:
                index.append(len(groups) + at)
                value.append(need / limit)
        for at, rate in enumerate(pattern.extra):
            if rate:
                index.append(len(groups) + len(limits) + at)
                value.append(rate / max(1.0, free[at]))
        starts.append(len(index))
        costs.append(float(pattern.penalty))
    for at in range(len(free)):  # Load above a class's rate is allowed, at a high cost
        index.append(len(groups) + len(limits) + at)
        value.append(-1.0)
        starts.append(len(index))
        costs.append(float(OVER_COST))
    column_count = len(columns)
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = column_count + len(free), rows
    model.col_cost_ = np.array(costs)
    model.col_lower_ = np.zeros(model.num_col_)
    model.col_upper_ = np.array([float(len(groups[g].members)) for g, _ in columns] + [1e6] * len(free))
    sizes = [float(len(group.members)) for group in groups]
    full = [MARGIN * (room.held()[k] > 0) for room in rooms for k in range(4)]
    tops = [1.0 if value > 0 else 0.0 for value in free]
    model.row_lower_ = np.array(sizes + [-highspy.kHighsInf] * (len(limits) + len(free)))
    model.row_upper_ = np.array(sizes + full + tops)
    model.a_matrix_.format_ = highspy.MatrixFormat.kColwise
    model.a_matrix_.start_, model.a_matrix_.index_ = np.array(starts), np.array(index)
    model.a_matrix_.value_ = np.array(value)
    model.integrality_ = [highspy.HighsVarType.kInteger] * column_count + [
        highspy.HighsVarType.kContinuous
    ] * len(free)
    # The public class ``Highs`` prints a banner on standard output, which would corrupt a command's JSON.
    solver: Any = highspy._core._Highs()
    options = highspy.HighsOptions()
    for name, setting in (
        ("output_flag", False),
        ("log_to_console", False),
        ("threads", 1),
        ("random_seed", 0),
        ("parallel", "off"),
        ("mip_rel_gap", GAP),
        ("mip_max_nodes", NODES),
        ("time_limit", time_s),
    ):
        setattr(options, name, setting)
    solver.passOptions(options)
    solver.passModel(model)
    solver.run()
    status = solver.getModelStatus()
    if status not in (highspy.HighsModelStatus.kOptimal, highspy.HighsModelStatus.kSolutionLimit):
        return None
    counts = [round(x) for x in solver.getSolution().col_value[:column_count]]
    ways: list[tuple[int, ...]] = [()] * len(wants)
    taken = [0] * len(groups)
    for (g, pattern), number in zip(columns, counts, strict=True):
        for member in groups[g].members[taken[g] : taken[g] + number]:
            ways[member] = pattern.way
        taken[g] += number
    if any(done != len(group.members) for done, group in zip(taken, groups, strict=True)):
        return None
    return Placement(tuple(ways), float(solver.getInfo().objective_function_value), "solver")


def fits(wants: Sequence[Want], rooms: Sequence[Room], ways: Sequence[Sequence[int]]) -> bool:
    """Return whether every class has room for its rules; the solver's numbers are scaled and averaged."""
    used = [[0] * 4 for _ in rooms]
    for want, way in zip(wants, ways, strict=True):
        for c, at in enumerate(way):
            held = (want.options[c][at] if at != STEERED else want.steer[c]).held()
            for k in range(4):
                used[c][k] += held[k]
    return all(u <= room.held()[k] for room, use in zip(rooms, used, strict=True) for k, u in enumerate(use))


def total_penalty(wants: Sequence[Want], ways: Sequence[Sequence[int]]) -> int:
    """Return the total penalty of a placement, by each rule's own costs."""
    lost = 0
    for want, way in zip(wants, ways, strict=True):
        if all(at == STEERED for at in way):
            lost += REFUSE_COST
            continue
        lost += sum(want.options[c][at].penalty if at != STEERED else STEER_COST for c, at in enumerate(way))
    return lost


def place(wants: Sequence[Want], rooms: Sequence[Room], time_s: float = TIME_S) -> Placement:
    """Return the solver's placement if it fits and is not worse than the greedy one, else the greedy one."""
    if not wants or not rooms:
        return Placement(((STEERED,) * len(rooms),) * len(wants), 0.0, "none")
    groups = groups_of(wants, rooms)
    # With 10,000 rules in 1,394 groups the solver spent 12 s in presolve, past its own time limit, without
    # examining one node. For such a large model the solver is skipped and the greedy placement is used.
    asked = time_s > 0 and len(groups) <= MAX_GROUPS
    found = solve(wants, rooms, groups, time_s) if asked else None
    plain = greedy(wants, rooms, groups)
    if found is None or not fits(wants, rooms, found.ways):
        return plain
    # The solver works with means and a margin, so the two placements are compared by each rule's own costs.
    return min((found, plain), key=lambda way: total_penalty(wants, way.ways))
