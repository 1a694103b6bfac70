"""Packed tables and their lookup: the matching entry with the lowest rank applies. Pure.

A lookup searches up to four scopes (team or all, service or all). In each it looks up the whole subject, and
its start with the length of the scope's shortest prefix; if longer prefixes have that start, it looks up each
of their lengths. It creates no objects but these keys, however many rules there are.

With more rules the lookup slowed down because of memory accesses rather than work: a dict per scope and
length meant some twenty separate locations, which at 10,000 rules are no longer in the processor's cache.
Therefore one dict holds all keys, equal parts of scopes and entries share one object, and an entry holds only
what a lookup reads.
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
# Rank of a coarse entry, which precedes all rules: the class can't match the requests of its scope exactly.
COARSE = -1


@dataclass(frozen=True, slots=True)
class Action:
    """Treatment of a request by a node; pools are indices into the table's pools.

    ``target`` is the class to which a STEER action sends the request.
    """

    verdict: int
    tiers: tuple[tuple[tuple[int, int], ...], ...] = ()  # Pool and number of slots
    affinity: int = 0
    rate_per_s: float | None = None
    at_once: int | None = None
    level: int = 0  # Priority
    retries: int = 0
    hedge_ms: int | None = None
    mirrors: tuple[tuple[int, int], ...] = ()  # Pool and percentage of the requests
    target: str = ""
    own: int = 0  # Number of leading tiers under the rule's limits; later ones are fall-backs. 0: all tiers

    def once(self) -> "Action":
        """Return the action for requests that must not run twice: without retries, hedge and mirrors."""
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
        """Return the action with pool indices mapped by ``place``."""
        if not self.tiers and not self.mirrors:
            return self
        return Action(
            self.verdict,
            tuple([tuple([(place[p], slots) for p, slots in tier]) for tier in self.tiers]),
            self.affinity,
            self.rate_per_s,
            self.at_once,
            self.level,
            self.retries,
            self.hedge_ms,
            tuple([(place[p], percent) for p, percent in self.mirrors]),
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
    tiers = tuple(tuple((int(p), int(slots)) for p, slots in tier) for tier in row[1])
    mirrors = tuple((int(p), int(percent)) for p, percent in row[8])
    own = row[10] if len(row) > 10 else 0  # Plans of older programs lack this field
    return Action(row[0], tiers, row[2], row[3], row[4], row[5], row[6], row[7], mirrors, row[9], own)


class Line(NamedTuple):
    """One entry of a table; ``action`` is an index into the table's actions.

    ``subjects`` of kind PREFIX may end in END, which makes them match the whole subject only.
    """

    team: str | None
    service: str | None
    kind: Kind
    subjects: tuple[str, ...]
    size: tuple[int, int]
    attempt: tuple[int, int]
    rank: int
    action: int


def whole(team: str | None, service: str | None, action: int) -> Line:
    """Return a coarse entry, which matches all requests of the scope before any rule."""
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
    """Return the number of table entries of the draft; all subjects of a set share one entry."""
    return 1 if draft.kind is Kind.SET else max(1, len(draft.exacts) + len(draft.prefixes))


def bytes_of(draft: Draft, steered: bool) -> int:
    """Return an upper estimate of the draft's memory in a loaded table, in bytes."""
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
    """Return the packed table; the same content has the same bytes.

    ``states`` maps each loss state to its changed actions by rank.
    """
    rows = [
        [
            line.team,
            line.service,
            int(line.kind),
            list(line.subjects),
            *line.size,
            *line.attempt,
            line.rank,
            line.action,
        ]
        for line in sorted(
            lines, key=lambda line: (line.rank, line.team or "", line.service or "", line.subjects)
        )
    ]
    changes = [
        [name, [[rank, states[name][rank]] for rank in sorted(states[name])]] for name in sorted(states)
    ]
    packed: bytes = msgpack.packb(
        [
            FORMAT,
            [[p.name, p.hall, [list(a) for a in p.servers]] for p in pools],
            [a.row() for a in actions],
            rows,
            changes,
        ]
    )
    return packed


Bounds = tuple[int, int, int, int]  # Minimum and maximum size, minimum and maximum attempt
Entry = tuple[int, int, Bounds, Any]  # Rank, action, bounds, and the next entry of the same key or None
# First entry without subjects, length of the shortest prefix (0: no prefixes; -1: no subjects at all),
# whether there are longer prefixes, whether the scope has one team, and whether it has one service.
Scope = tuple[Entry | None, int, bool, bool, bool]


class Table:
    """Loaded table; ``state`` is the loss state in force, empty if no hall or class is lost."""

    def __init__(self, packed: bytes) -> None:
        try:
            form, pools, actions, rows, states = msgpack.unpackb(packed)
            if form != FORMAT:
                raise PlanError(
                    f"a table of format {form}", wanted=f"format {FORMAT}", do="upgrade this node"
                )
            self.pools = [(str(name), str(hall)) for name, hall, _ in pools]
            self.servers = [
                tuple((str(host), int(port)) for host, port in addresses) for *_, addresses in pools
            ]
            self.actions = [action_from(row) for row in actions]
            self.states = {str(name): {int(r): int(a) for r, a in found} for name, found in states}
            self.same: dict[int, int] = {}  # By rank of a rule with limits: its key, equal in every plan
            self.coarse = any(row[8] == COARSE for row in rows)
            # Keys are the names of the scope and the subject or prefix. A dict with only str keys stores no
            # hashes and compares each colliding string; one key of another type prevents that.
            self.keys: dict[str | None, Entry | None] = {None: None}
            # By start of a key, with the length of the scope's shortest prefix: lengths of its prefixes.
            self.starts: dict[str | None, tuple[int, ...]] = {None: ()}
            self.scopes: dict[tuple[str | None, str | None], Scope] = {}
            self.named: dict[
                str, dict[str, tuple[Scope, ...]]
            ] = {}  # Scopes by team and service named in a rule
            self.held = 0  # Number of keys, plus entries without a subject
            self._fill(rows)
        except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException) as error:
            raise PlanError(
                f"no table: {error}", wanted="what the compile packed", do="publish again"
            ) from None
        self.once = [action.once() for action in self.actions]
        self.over: Mapping[int, int] = {}
        self.state = ""

    def _fill(self, rows: list[Any]) -> None:
        alike: dict[Any, Any] = {}  # Shared instance of each equal value
        first: dict[tuple[str | None, str | None], Entry | None] = {}
        prefixes: dict[tuple[str | None, str | None], set[str]] = {}
        for team, service, kind, subjects, *bounds, rank, action in sorted(rows, key=_rank, reverse=True):
            if not 0 <= action < len(self.actions):
                raise PlanError(
                    f"an entry goes to action {action} of {len(self.actions)}",
                    wanted="what the compile packed",
                    do="publish again",
                )
            entry_action = self.actions[action]
            if entry_action.rate_per_s is not None or entry_action.at_once is not None:
                # Ranks change with each plan, but a rule's usage of its limits has to carry over.
                self.same[rank] = hash((team, service, kind, tuple(subjects), *bounds))
            min_size, max_size, min_attempt, max_attempt = bounds
            within: Bounds = (min_size, max_size, min_attempt, max_attempt)
            within = alike.setdefault(within, within)
            scope = team, service
            if kind == Kind.ANY:
                first[scope] = rank, action, within, first.get(scope)
                self.held += 1
                continue
            first.setdefault(scope, None)
            scope_prefixes = prefixes.setdefault(scope, set())
            head, end = f"{team or ''}{END}{service or ''}{END}", "" if kind == Kind.PREFIX else END
            for subject in subjects:
                if not end:
                    scope_prefixes.add(subject)
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
            value = entry, shortest, longer, team is not None, service is not None
            self.scopes[scope] = alike.setdefault(value, value)
        for key, lengths in starts.items():
            sorted_lengths = tuple(sorted(lengths))
            self.starts[key] = alike.setdefault(sorted_lengths, sorted_lengths)
        for team, service in self.scopes:
            if team is not None and service is not None:
                about = self._scopes_of(team, service)
                services = self.named.setdefault(sys.intern(team), {})
                services[sys.intern(service)] = alike.setdefault(about, about)

    def _scopes_of(self, team: str, service: str) -> tuple[Scope, ...]:
        keys = (team, service), (team, None), (None, service), (None, None)
        return tuple(self.scopes[key] for key in keys if key in self.scopes)

    def find(self, team: str, service: str, subject: str, size: int, attempt: int) -> Entry | None:
        """Return the matching entry with the lowest rank; None if no rule matches."""
        best: Entry | None = None
        get_entry = self.keys.get
        services = self.named.get(team)
        scopes = services.get(service) if services is not None else None
        if scopes is None:
            scopes = self._scopes_of(team, service)
        for entry, shortest, longer, of_team, of_service in scopes:
            if entry is not None:
                best = _first_match(entry, size, attempt, best)
            if shortest < 0:
                continue
            ended = f"{team if of_team else ''}{END}{service if of_service else ''}{END}{subject}{END}"
            entry = get_entry(ended)
            if entry is not None:
                best = _first_match(entry, size, attempt, best)
            if shortest:
                ended_length = len(ended)
                start = ended_length - len(subject) - 1
                begins = ended[: start + shortest]
                for length in self.starts.get(begins, ()) if longer else (shortest,):
                    if start + length > ended_length:
                        break
                    entry = get_entry(ended[: start + length])
                    if entry is not None:
                        best = _first_match(entry, size, attempt, best)
        return best

    def action(self, entry: Entry, repeatable: bool) -> Action:
        """Return the action of an entry; ``repeatable`` says whether the request may run twice."""
        at = self.over.get(entry[0], entry[1])
        return self.actions[at] if repeatable else self.once[at]

    def set_state(self, state: str) -> None:
        """Use the actions of a loss state; the normal ones if the table has no changes for it."""
        self.state, self.over = state, self.states.get(state, {})


def _rank(row: list[Any]) -> int:
    return int(row[8])


def _first_match(entry: Entry | None, size: int, attempt: int, best: Entry | None) -> Entry | None:
    """Return the first entry of the chain that matches and ranks before ``best``; else ``best``."""
    while entry is not None and (best is None or entry[0] < best[0]):
        min_size, max_size, min_attempt, max_attempt = entry[2]
        if min_size <= size <= max_size and min_attempt <= attempt <= max_attempt:
            return entry
        entry = entry[3]
    return best


def held_bytes(table: Table) -> int:
    """Return an upper estimate of a loaded table's memory in bytes, to compare with its class's memory."""
    slots = sum(len(tier) for action in table.actions for tier in action.tiers)
    return table.held * (ENTRY_BYTES + 60) + len(table.actions) * ACTION_BYTES + slots * SLOT_BYTES * 8
