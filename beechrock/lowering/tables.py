"""Packed tables and their lookup: by contract, then by subject, then by prefix; the lowest rank that matches
counts. Pure.

A lookup looks into up to four scopes (team or all, service or all), and asks in each for the whole subject,
for its first characters as many as the scope's shortest prefix has, and where prefixes begin with them, for
each of their lengths; it makes no object but those keys, however many rules there are.

What grew with the rules was less the work than the memory that it went through: with a dict for each scope
and length, some twenty places that lie apart, and of 10,000 rules they are no more in the processor's cache.
So one dict holds all keys, what scopes and entries have alike is one object, and an entry holds no more than
is looked at.
"""

import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgpack

from beechrock.lowering.errors import PlanError
from beechrock.lowering.passes.draft import Draft
from beechrock.lowering.policy import END, MAX_ATTEMPT, MAX_SIZE, Kind, Pool
from beechrock.lowering.profile import ACTION_BYTES, ENTRY_BYTES, SLOT_BYTES

FORMAT = 1
RUN, STEER, REFUSE = 0, 1, 2
COARSE = -1  # rank of an entry that stands before all rules: the class can't tell them apart


@dataclass(frozen=True, slots=True)
class Action:
    """What a node does with a request. Pools by their place in the table; ``target`` is a class, where it
    steers."""

    verdict: int
    tiers: tuple[tuple[tuple[int, int], ...], ...] = ()  # pool and slots
    affinity: int = 0
    rate_per_s: float | None = None
    at_once: int | None = None
    level: int = 0
    retries: int = 0
    hedge_ms: int | None = None
    mirrors: tuple[tuple[int, int], ...] = ()  # pool and percent
    target: str = ""
    own: int = 0  # so many tiers are under the rule's limits; those after them are fall-backs. 0: all

    def once(self) -> "Action":
        """The same for what may not run twice, whatever the rule says."""
        if not (self.retries or self.hedge_ms is not None or self.mirrors):
            return self
        return Action(
            self.verdict,
            self.tiers,
            self.affinity,
            self.rate_per_s,
            self.at_once,
            self.level,
            target=self.target,
            own=self.own,
        )

    def over(self, place: Mapping[int, int]) -> "Action":
        """With pools counted otherwise."""
        if not self.tiers and not self.mirrors:
            return self
        return Action(
            self.verdict,
            tuple([tuple([(place[p], n) for p, n in tier]) for tier in self.tiers]),
            self.affinity,
            self.rate_per_s,
            self.at_once,
            self.level,
            self.retries,
            self.hedge_ms,
            tuple([(place[p], n) for p, n in self.mirrors]),
            self.target,
            self.own,
        )

    def row(self) -> list[Any]:
        return [
            self.verdict,
            [[list(p) for p in tier] for tier in self.tiers],
            self.affinity,
            self.rate_per_s,
            self.at_once,
            self.level,
            self.retries,
            self.hedge_ms,
            [list(m) for m in self.mirrors],
            self.target,
            self.own,
        ]


def action_from(row: list[Any]) -> Action:
    tiers = tuple(tuple((int(p), int(n)) for p, n in tier) for tier in row[1])
    mirrors = tuple((int(p), int(n)) for p, n in row[8])
    own = row[10] if len(row) > 10 else 0  # plans of before fall-backs were told apart
    return Action(row[0], tiers, row[2], row[3], row[4], row[5], row[6], row[7], mirrors, row[9], own)


class Line(NamedTuple):
    """One entry of a table; ``subjects`` of kind PREFIX may end in END. ``action`` is a place in the
    table's list."""

    team: str | None
    service: str | None
    kind: Kind
    subjects: tuple[str, ...]
    size: tuple[int, int]
    attempt: tuple[int, int]
    rank: int
    action: int


def whole(team: str | None, service: str | None, action: int) -> Line:
    """An entry that takes all of these, before any rule."""
    return Line(team, service, Kind.ANY, (), (0, MAX_SIZE), (1, MAX_ATTEMPT), COARSE, action)


def line_of(draft: Draft, action: int) -> Line:
    match = draft.rule.match
    return Line(
        match.team,
        match.service,
        draft.kind,
        draft.exacts or draft.prefixes,
        draft.size,
        draft.attempt,
        draft.rank,
        action,
    )


def entries_of(draft: Draft) -> int:
    """How many entries the draft is: a set that the class has is one, as its subjects share it."""
    return 1 if draft.kind is Kind.SET else max(1, len(draft.exacts) + len(draft.prefixes))


def bytes_of(draft: Draft, steered: bool) -> int:
    """What it will hold in memory, from above."""
    count = len(draft.exacts) + len(draft.prefixes)
    keys = 60 * count + 4 * (sum(map(len, draft.exacts)) + sum(map(len, draft.prefixes)))
    action = 0 if steered else ACTION_BYTES + SLOT_BYTES * 8 * sum(map(len, draft.tiers))
    return ENTRY_BYTES * max(1, count) + keys + action


def pack(
    pools: Iterable[Pool],
    actions: Iterable[Action],
    lines: Iterable[Line],
    states: Mapping[str, Mapping[int, int]],
) -> bytes:
    """The written form; the same content has the same bytes. ``states``: by lost hall or class, rank to
    action."""
    rows = [
        [n.team, n.service, int(n.kind), list(n.subjects), *n.size, *n.attempt, n.rank, n.action]
        for n in sorted(lines, key=lambda n: (n.rank, n.team or "", n.service or "", n.subjects))
    ]
    told = [[name, [[rank, states[name][rank]] for rank in sorted(states[name])]] for name in sorted(states)]
    packed: bytes = msgpack.packb(
        [
            FORMAT,
            [[p.name, p.hall, [list(a) for a in p.servers]] for p in pools],
            [a.row() for a in actions],
            rows,
            told,
        ]
    )
    return packed


Bounds = tuple[int, int, int, int]  # sizes and attempts, the least and the most
Entry = tuple[int, int, Bounds, Any]  # rank, action, and the entry of the same key that comes next, or None
# What has no subject, the shortest prefix (0: none; -1: no subjects at all), whether others are longer,
# whether it is of one team, and of one service.
Scope = tuple[Entry | None, int, bool, bool, bool]


class Table:
    """A loaded table. ``state`` says which of the plans made ahead counts: "" or a lost hall or class."""

    def __init__(self, packed: bytes) -> None:
        try:
            form, pools, actions, rows, states = msgpack.unpackb(packed)
            if form != FORMAT:
                raise PlanError(
                    f"a table of format {form}", wanted=f"format {FORMAT}", do="upgrade this node"
                )
            self.pools = [(str(name), str(hall)) for name, hall, _ in pools]
            self.servers = [tuple((str(host), int(port)) for host, port in told) for *_, told in pools]
            self.actions = [action_from(row) for row in actions]
            self.states = {str(name): {int(r): int(a) for r, a in found} for name, found in states}
            self.same: dict[int, int] = {}  # by rank of a rule with limits: what it is called across plans
            self.coarse = any(row[8] == COARSE for row in rows)
            # Subjects and prefixes behind the names of their scope. Where all keys are words a dict keeps no
            # hash beside them, and reads each word that lies in the way; one other key prevents that.
            self.keys: dict[str | None, Entry | None] = {None: None}
            self.starts: dict[str | None, tuple[int, ...]] = {None: ()}  # lengths of prefixes that begin so
            self.scopes: dict[tuple[str | None, str | None], Scope] = {}
            self.named: dict[str, dict[str, tuple[Scope, ...]]] = {}  # for contracts that are named whole
            self.held = 0  # keys, and entries without one
            self._fill(rows)
        except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException) as error:
            raise PlanError(
                f"no table: {error}", wanted="what the compile packed", do="publish again"
            ) from None
        self.once = [action.once() for action in self.actions]
        self.over: Mapping[int, int] = {}
        self.state = ""

    def _fill(self, rows: list[Any]) -> None:
        alike: dict[Any, Any] = {}  # each of these once
        first: dict[tuple[str | None, str | None], Entry | None] = {}
        prefixes: dict[tuple[str | None, str | None], set[str]] = {}
        for team, service, kind, subjects, *bounds, rank, action in sorted(rows, key=_rank, reverse=True):
            if not 0 <= action < len(self.actions):
                raise PlanError(
                    f"an entry goes to action {action} of {len(self.actions)}",
                    wanted="what the compile packed",
                    do="publish again",
                )
            told = self.actions[action]
            if told.rate_per_s is not None or told.at_once is not None:
                # Ranks change with each plan, and what a rule has used of its limits is not to be forgotten.
                self.same[rank] = hash((team, service, kind, tuple(subjects), *bounds))
            least, most, from_try, to_try = bounds
            within: Bounds = (least, most, from_try, to_try)
            within = alike.setdefault(within, within)
            scope = team, service
            if kind == Kind.ANY:
                first[scope] = rank, action, within, first.get(scope)
                self.held += 1
                continue
            first.setdefault(scope, None)
            told_here = prefixes.setdefault(scope, set())
            head, end = f"{team or ''}{END}{service or ''}{END}", "" if kind == Kind.PREFIX else END
            for subject in subjects:
                if not end:
                    told_here.add(subject)
                key = f"{head}{subject}{end}"
                self.keys[key] = rank, action, within, self.keys.get(key)
        self.held += len(self.keys) - 1
        starts: dict[str, set[int]] = {}
        for scope, entry in first.items():
            team, service = scope
            here = prefixes.get(scope)
            shortest = -1 if here is None else min(map(len, here), default=0)
            longer = here is not None and max(map(len, here), default=0) > shortest
            for subject in here if here is not None and longer else ():
                key = f"{team or ''}{END}{service or ''}{END}{subject[:shortest]}"
                starts.setdefault(key, set()).add(len(subject))
            whole = entry, shortest, longer, team is not None, service is not None
            self.scopes[scope] = alike.setdefault(whole, whole)
        for key, lengths in starts.items():
            told_lengths = tuple(sorted(lengths))
            self.starts[key] = alike.setdefault(told_lengths, told_lengths)
        for team, service in self.scopes:
            if team is not None and service is not None:
                about = self._about(team, service)
                services = self.named.setdefault(sys.intern(team), {})
                services[sys.intern(service)] = alike.setdefault(about, about)

    def _about(self, team: str, service: str) -> tuple[Scope, ...]:
        keys = (team, service), (team, None), (None, service), (None, None)
        return tuple(self.scopes[key] for key in keys if key in self.scopes)

    def find(self, team: str, service: str, subject: str, size: int, attempt: int) -> Entry | None:
        """The entry with the lowest rank that matches, or None: no rule is about it."""
        best: Entry | None = None
        asked = self.keys.get
        services = self.named.get(team)
        scopes = services.get(service) if services is not None else None
        if scopes is None:
            scopes = self._about(team, service)
        for entry, shortest, longer, of_team, of_service in scopes:
            if entry is not None:
                best = _least(entry, size, attempt, best)
            if shortest < 0:
                continue
            ended = f"{team if of_team else ''}{END}{service if of_service else ''}{END}{subject}{END}"
            entry = asked(ended)
            if entry is not None:
                best = _least(entry, size, attempt, best)
            if shortest:
                most = len(ended)
                start = most - len(subject) - 1
                begins = ended[: start + shortest]
                for length in self.starts.get(begins, ()) if longer else (shortest,):
                    if start + length > most:
                        break
                    entry = asked(ended[: start + length])
                    if entry is not None:
                        best = _least(entry, size, attempt, best)
        return best

    def action(self, entry: Entry, again: bool) -> Action:
        """``again``: whether the request may run twice."""
        at = self.over.get(entry[0], entry[1])
        return self.actions[at] if again else self.once[at]

    def go_by(self, state: str) -> None:
        """Take the plan that was made ahead for this; the usual one where there is none."""
        self.state, self.over = state, self.states.get(state, {})


def _rank(row: list[Any]) -> int:
    return int(row[8])


def _least(entry: Entry | None, size: int, attempt: int, best: Entry | None) -> Entry | None:
    """The first of these that takes it, where that is before the best."""
    while entry is not None and (best is None or entry[0] < best[0]):
        least, most, from_try, to_try = entry[2]
        if least <= size <= most and from_try <= attempt <= to_try:
            return entry
        entry = entry[3]
    return best


def held_bytes(table: Table) -> int:
    """What a loaded table holds in memory, from above: what its class's memory is compared with."""
    slots = sum(len(tier) for action in table.actions for tier in action.tiers)
    return table.held * (ENTRY_BYTES + 60) + len(table.actions) * ACTION_BYTES + slots * SLOT_BYTES * 8
