"""Which class carries which rule: by a solver, or greedily, under room, capacity and the loss of any one
hall. Pure.

Rules that cost the same everywhere are one group, so that 10,000 rules are some hundred whole numbers. A
column is a pattern: for a group, which classes run it (in full, or bare of what is no ``must``) and that the
others steer. The solver is bounded by work and not by time, so that the same input has the same plan; the
time limit is a net, and where it holds, the greedy way counts and the report says so.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

STEERED = -1
STEER_COST, REFUSE_COST, FRAGILE_COST, OVER_COST = 20, 100_000, 2_000, 3_000
MAX_GROUPS, TIME_S, NODES, GAP = 800, 3.0, 50, 0.005
MARGIN = 0.99  # of its room the solver fills this much, as it reckons with the mean of a group


class Choice(NamedTuple):
    """What it costs a class to hold a rule so. Memory in bytes; ``penalty`` for what is lost of the rule."""

    memory: int = 0
    entries: int = 0
    counters: int = 0
    timers: int = 0
    penalty: int = 0

    def held(self) -> tuple[int, int, int, int]:
        return self[:4]


@dataclass(frozen=True, slots=True)
class Want:
    """A rule: by class the ways to run it (best first; none: it can't), and what it costs to steer it
    there."""

    options: tuple[tuple[Choice, ...], ...]
    steer: tuple[Choice, ...]
    rate_per_s: float
    forced: tuple[int, ...] = ()  # classes that have to run it, as others steer more than this rule to them
    survives: bool = False  # a hall's loss may not leave it without a class


@dataclass(frozen=True, slots=True)
class Room:
    """A class: what its table holds, and what its machines route a second, in all and without each hall."""

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
    """By class which option, or STEERED; where nobody runs it, it is refused."""

    way: tuple[int, ...]
    held: tuple[tuple[int, int, int, int], ...]
    penalty: int
    extra: tuple[float, ...]  # requests a second that are steered to each class, then so without each hall

    @property
    def runs(self) -> bool:
        return any(at != STEERED for at in self.way)


@dataclass(frozen=True, slots=True)
class Placement:
    """By rule and class the option or STEERED; ``cost`` is what was made least, to compare ways."""

    ways: tuple[tuple[int, ...], ...]
    cost: float
    method: str


def target(want: Want, way: Sequence[int], alive: Sequence[bool]) -> int | None:
    """Where a class that can't run it steers: to that which runs it best, then the first. None: nowhere."""
    runs = [(want.options[c][at].penalty, c) for c, at in enumerate(way) if at != STEERED and alive[c]]
    return min(runs)[1] if runs else None


Rate = tuple[list[float], float, list[bool]]  # by class, their sum, and whether a class has any


def _loads(want: Want, way: Sequence[int], rates: Sequence[Rate]) -> tuple[list[float], bool]:
    """Steered requests by state and class, and whether it has a class in each state."""
    extra: list[float] = []
    whole = True
    for rate, total, alive in rates:
        more = [0.0] * len(rate)
        to = target(want, way, alive)
        if to is None:
            whole = False
        else:
            more[to] = sum([want.rate_per_s * r / total for c, r in enumerate(rate) if way[c] == STEERED])
        extra += more
    return extra, whole


def _sets(want: Want, can: Sequence[int], forced: Sequence[int]) -> list[frozenset[int]]:
    """Classes that may run it together: the best ones, all but one, and each alone.

    All sets of six classes were 128 patterns a group, and building the model took longer than solving it.
    """
    best = sorted(can, key=lambda c: (want.options[c][0].penalty, want.options[c][0].memory, c))
    told = [best[:k] for k in range(len(best) + 1)]
    told += [[c for c in best if c != out] for out in best] + [[c] for c in best]
    return list(dict.fromkeys(frozenset((*forced, *there)) for there in told))


def rates_of(rooms: Sequence[Room]) -> list[Rate]:
    """With all halls, and without each."""
    found = [
        [room.rate_per_s for room in rooms],
        *([room.without[h] for room in rooms] for h in range(len(rooms[0].without) if rooms else 0)),
    ]
    return [(rate, sum(rate) or 1.0, [r > 0 for r in rate]) for rate in found]


def patterns(want: Want, rates: Sequence[Rate]) -> list[Pattern]:
    """All ways that are worth looking at: each set of classes that run it, in full or bare."""
    count = len(want.options)
    can = [c for c in range(count) if want.options[c]]
    forced = [c for c in want.forced if want.options[c]]
    found: dict[tuple[int, ...], Pattern] = {}
    for there in _sets(want, can, forced):
        for bare in (False, True):
            way = tuple(
                (len(want.options[c]) - 1 if bare else 0) if c in there else STEERED for c in range(count)
            )
            if way in found:
                continue
            extra, whole = _loads(want, way, rates)
            penalty = sum(
                want.options[c][at].penalty if at != STEERED else STEER_COST for c, at in enumerate(way)
            )
            if not there:
                penalty = REFUSE_COST
            elif not whole and want.survives:
                penalty += FRAGILE_COST
            held = tuple(
                (want.options[c][at] if at != STEERED else want.steer[c]).held() for c, at in enumerate(way)
            )
            found[way] = Pattern(way, held, penalty, tuple(extra))
    return sorted(found.values(), key=lambda p: (p.penalty, p.way))


def spare(wants: Sequence[Want], rooms: Sequence[Room]) -> list[float]:
    """By state and class what is left of its rate after the requests that come to it anyway."""
    total = sum(want.rate_per_s for want in wants)
    found = []
    for h in range(-1, len(rooms[0].without) if rooms else -1):
        rates = [room.rate_per_s if h < 0 else room.without[h] for room in rooms]
        whole = sum(rates) or 1.0
        found += [max(0.0, rate - total * rate / whole) for rate in rates]
    return found


@dataclass(slots=True)
class _Group:
    want: Want
    members: list[int]
    patterns: list[Pattern]


def _alike(want: Want, coarse: int) -> tuple[object, ...]:
    """What rules of one group have in common: memory and rates by powers of two, penalties by steps."""
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
    """One that stands for all of a group, so that sums over the whole group are right."""
    count, first = len(wants), wants[0]

    def mean(choices: Sequence[Choice]) -> Choice:
        memory, lost = sum(c.memory for c in choices), sum(c.penalty for c in choices)
        one = choices[0]
        return Choice(-(-memory // count), one.entries, one.counters, one.timers, round(lost / count))

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
    """As few groups as MAX_GROUPS where coarser figures do that. Rounded up for all, 3,000 steers did not
    fit."""
    told = [[at] for at in range(len(wants))]
    for coarse in range(0 if len(wants) < 1000 else 1, 4):
        found: dict[tuple[object, ...], list[int]] = {}
        for alike in told:  # what is alike stays so where the figures are coarser
            found.setdefault(_alike(wants[alike[0]], coarse), []).extend(alike)
        told = list(found.values())
        if len(told) <= MAX_GROUPS:
            break
    groups, rates = [], rates_of(rooms)
    for members in map(sorted, told):
        want = _mean([wants[at] for at in members])
        groups.append(_Group(want, members, patterns(want, rates)))
    return groups


def greedy(wants: Sequence[Want], rooms: Sequence[Room], groups: Sequence[_Group]) -> Placement:
    """Each rule in turn takes the least costly way that still has room; refused where none has."""
    left = [list(room.held()) for room in rooms]
    free = spare(wants, rooms)
    offered = {member: group.patterns for group in groups for member in group.members}
    # What steering needs is kept for all, so that early rules can't leave later ones without an entry.
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
        nothing = Pattern((STEERED,) * len(rooms), tuple(base), REFUSE_COST, (0.0,) * len(free))
        price, chosen = best if best is not None else (float(REFUSE_COST), nothing)
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
    """By the rule's own figures; those of its group's pattern are a mean."""
    return all(
        left[c][k] + base[c][k] >= value
        for c, option in enumerate(pattern.way)
        if option != STEERED
        for k, value in enumerate(want.options[c][option].held())
    )


def solved(
    wants: Sequence[Want], rooms: Sequence[Room], groups: Sequence[_Group], time_s: float = TIME_S
) -> Placement | None:
    """The solver's way; None where it has none within its bounds."""
    import highspy
    import numpy as np

    free = spare(wants, rooms)
    columns = [(g, pattern) for g, group in enumerate(groups) for pattern in group.patterns]
    rows = len(groups) + 4 * len(rooms) + len(free)
    starts, index, value, costs = [0], list[int](), list[float](), list[float]()
    # Rows are scaled to about one, as bytes beside single timers cost the solver its digits.
    limits = [max(1, room.held()[k]) for room in rooms for k in range(4)]
    for g, pattern in columns:
        index.append(g)
        value.append(1.0)
        for at, limit in enumerate(limits):
            if need := pattern.held[at // 4][at % 4]:
                index.append(len(groups) + at)
                value.append(need / limit)
        for at, more in enumerate(pattern.extra):
            if more:
                index.append(len(groups) + len(limits) + at)
                value.append(more / max(1.0, free[at]))
        starts.append(len(index))
        costs.append(float(pattern.penalty))
    for at in range(len(free)):  # what goes beyond a class's rate is possible, and dear
        index.append(len(groups) + len(limits) + at)
        value.append(-1.0)
        starts.append(len(index))
        costs.append(float(OVER_COST))
    whole = len(columns)
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = whole + len(free), rows
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
    model.integrality_ = [highspy.HighsVarType.kInteger] * whole + [highspy.HighsVarType.kContinuous] * len(
        free
    )
    # The outer class writes a banner on standard output as it is made, where a command's JSON goes.
    solver: Any = highspy._core._Highs()
    options = highspy.HighsOptions()
    for name, told in (
        ("output_flag", False),
        ("log_to_console", False),
        ("threads", 1),
        ("random_seed", 0),
        ("parallel", "off"),
        ("mip_rel_gap", GAP),
        ("mip_max_nodes", NODES),
        ("time_limit", time_s),
    ):
        setattr(options, name, told)
    solver.passOptions(options)
    solver.passModel(model)
    solver.run()
    status = solver.getModelStatus()
    if status not in (highspy.HighsModelStatus.kOptimal, highspy.HighsModelStatus.kSolutionLimit):
        return None
    counts = [round(x) for x in solver.getSolution().col_value[:whole]]
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
    """Whether every class holds what was placed on it; looked at again after the solver, whose numbers are
    rounded."""
    used = [[0] * 4 for _ in rooms]
    for want, way in zip(wants, ways, strict=True):
        for c, at in enumerate(way):
            held = (want.options[c][at] if at != STEERED else want.steer[c]).held()
            for k in range(4):
                used[c][k] += held[k]
    return all(u <= room.held()[k] for room, use in zip(rooms, used, strict=True) for k, u in enumerate(use))


def price(wants: Sequence[Want], ways: Sequence[Sequence[int]]) -> int:
    """What is lost in all, by each rule's own figures."""
    lost = 0
    for want, way in zip(wants, ways, strict=True):
        if all(at == STEERED for at in way):
            lost += REFUSE_COST
            continue
        lost += sum(want.options[c][at].penalty if at != STEERED else STEER_COST for c, at in enumerate(way))
    return lost


def place(wants: Sequence[Want], rooms: Sequence[Room], time_s: float = TIME_S) -> Placement:
    """The solver's way where it has one that fits, else the greedy one."""
    if not wants or not rooms:
        return Placement(((STEERED,) * len(rooms),) * len(wants), 0.0, "none")
    groups = groups_of(wants, rooms)
    # Seen with 10,000 rules, 1,394 groups: the solver was 12 s in its presolve, past its own time limit, and
    # had not looked at one node. So large a model is not asked for; the greedy way counts.
    asked = time_s > 0 and len(groups) <= MAX_GROUPS
    found = solved(wants, rooms, groups, time_s) if asked else None
    plain = greedy(wants, rooms, groups)
    if found is None or not fits(wants, rooms, found.ways):
        return plain
    # The solver reckons with means and a margin: where it is not better by the rules' own figures, it does
    # not count.
    return min((found, plain), key=lambda way: price(wants, way.ways))
