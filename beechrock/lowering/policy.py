"""The model of a routing policy: rules, what they match, what they ask for, and how badly. Pure data.

One order holds for all who look: by ``order``, then the narrower match, then the name. The first rule that
matches a request has it. What may not run twice (keyed and unsafe contracts) is never hedged, mirrored or
tried again, whatever a rule says; a pool of one team serves no other; ``survive_per_s`` holds with any one
hall lost.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

from beechrock.inventory.problems import Place
from beechrock.lowering.errors import PolicyError

MAX_RULES, MAX_POOLS, MAX_SUBJECTS, MAX_SUBJECT = 20_000, 4_000, 1_000, 200
MAX_CHAIN = 64  # rules that one subject of one contract may meet, so that a lookup stays short
MAX_SIZE, MAX_ATTEMPT = 1 << 40, 100
HIGHEST = 7  # priorities go from 0 to this
END = "\0"  # stands after a subject's last character; no subject holds it
NOWHERE = Place("policy")


class Mark(Enum):
    __hash__ = object.__hash__  # one object each; the names' hashes were a tenth of a large compile
    MUST = "must"  # kept, or the rule is not run there
    SHOULD = "should"  # kept as near as the class can
    MAY = "may"  # left out first where it does not fit


class Feature(Enum):
    """What a rule asks for. The last four are no wish of a rule: they are always ``must``."""

    __hash__ = object.__hash__
    POOLS = "pools"
    HALLS = "halls"
    FALL_BACKS = "fall_backs"
    AFFINITY = "affinity"
    RATE = "rate"
    AT_ONCE = "at_once"
    RETRIES = "retries"
    HEDGE = "hedge"
    PRIORITY = "priority"
    MIRRORS = "mirrors"
    MATCH = "match"
    ONCE = "once"
    ISOLATION = "isolation"
    SURVIVE = "survive"


ALWAYS = frozenset((Feature.MATCH, Feature.ONCE, Feature.ISOLATION, Feature.SURVIVE))
KEYS = {feature.value: feature for feature in Feature if feature not in ALWAYS}


class Kind(IntEnum):
    """How a rule tells subjects, the narrowest highest."""

    ANY = 0
    PREFIX = 1
    SET = 2
    EXACT = 3


class Affinity(IntEnum):
    """Whether one subject keeps its server: not, by its hash over the slots, or with few moves when
    servers change."""

    NONE = 0
    MODULO = 1
    RENDEZVOUS = 2


class Request(NamedTuple):
    """What routing sees of a request; ``attempt`` counts from 1, ``size`` is of the body in bytes."""

    team: str
    service: str
    subject: str
    size: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Match:
    """None: any. Sizes in bytes and attempts are told as the least and the most, both of them in it."""

    team: str | None = None
    service: str | None = None
    kind: Kind = Kind.ANY
    subjects: tuple[str, ...] = ()
    size: tuple[int, int] = (0, MAX_SIZE)
    attempt: tuple[int, int] = (1, MAX_ATTEMPT)

    def takes(self, request: Request) -> bool:
        if self.team not in (None, request.team) or self.service not in (None, request.service):
            return False
        if not self.size[0] <= request.size <= self.size[1]:
            return False
        if not self.attempt[0] <= request.attempt <= self.attempt[1]:
            return False
        match self.kind:
            case Kind.ANY:
                return True
            case Kind.PREFIX:
                return request.subject.startswith(self.subjects[0])
            case _:
                return request.subject in self.subjects


@dataclass(frozen=True, slots=True)
class Rule:
    """``within``: how far the weights of a ``must`` may be off, as a part of all requests of a tier."""

    name: str
    match: Match
    pools: tuple[tuple[str, int], ...]  # name and weight; weights count against each other
    order: int = 100
    halls: tuple[str, ...] = ()  # pools of an earlier hall before those of a later one
    fall_backs: tuple[str, ...] = ()
    affinity: Affinity = Affinity.NONE
    rate_per_s: float | None = None  # of each team, where the rule is for several
    at_once: int | None = None  # the same
    retries: int = 0
    hedge_ms: int | None = None
    priority: int = 3
    mirrors: tuple[tuple[str, int], ...] = ()  # pool and percent
    survive_per_s: float = 0.0
    expect_per_s: float = 1.0
    within: float = 0.02
    marks: tuple[tuple[Feature, Mark], ...] = ()
    place: Place = field(default=NOWHERE, compare=False)
    places: Mapping[str, Place] = field(default_factory=dict, compare=False, hash=False)

    def mark(self, feature: Feature) -> Mark:
        if feature in ALWAYS:
            return Mark.MUST
        for told, mark in self.marks:
            if told is feature:
                return mark
        return Mark.SHOULD

    def at(self, key: str) -> Place:
        """Where the rule says this."""
        return self.places.get(key, self.place)

    def sorts(self) -> tuple[int, int, int, int, str]:
        m = self.match
        longest = len(m.subjects[0]) if m.kind is Kind.PREFIX else 0
        named = (m.team is not None) + (m.service is not None)
        return self.order, -int(m.kind), -longest, -named, self.name

    def names(self) -> tuple[str, ...]:
        """All pools that the rule itself names."""
        return (*(n for n, _ in self.pools), *self.fall_backs, *(n for n, _ in self.mirrors))


@dataclass(frozen=True, slots=True)
class Pool:
    """Servers that count as one; ``rate_per_s`` is what they can take together."""

    name: str
    hall: str
    rate_per_s: float = 1000.0
    servers: tuple[tuple[str, int], ...] = ()
    team: str | None = None  # serves this team alone
    fall_back: str | None = None  # asked after this one, wherever it stands among fall-backs
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(frozen=True, slots=True)
class Policy:
    """``rules`` in the one order that holds; a rule's rank is its place there."""

    rules: tuple[Rule, ...]
    pools: Mapping[str, Pool]
    effects: Mapping[tuple[str, str], str]  # by team and service: safe, keyed or unsafe

    def halls(self) -> tuple[str, ...]:
        return tuple(sorted({pool.hall for pool in self.pools.values()}))

    def teams(self) -> tuple[str, ...]:
        return tuple(sorted({team for team, _ in self.effects}))

    def contracts(self, match: Match) -> list[tuple[str, str]]:
        return [
            (t, s) for t, s in sorted(self.effects) if match.team in (None, t) and match.service in (None, s)
        ]


@dataclass(frozen=True, slots=True)
class Fault:
    """Something in the policy that can't stand, as ``inventory.problems`` tells it."""

    place: Place
    entry: str
    key: str
    text: str


def made(rules: Iterable[Rule], pools: Iterable[Pool], effects: Mapping[tuple[str, str], str]) -> Policy:
    """A policy that holds together; PolicyError names the first thing that does not."""
    policy = Policy(
        tuple(sorted(rules, key=Rule.sorts)),
        {p.name: p for p in sorted(pools, key=lambda p: p.name)},
        dict(sorted(effects.items())),
    )
    faults = check(policy)
    if faults:
        first = faults[0]
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise PolicyError(
            first.text + more,
            where=f"{first.place}: {first.entry}: {first.key}",
            wanted="a policy that holds together",
            do="mend it; beechrock policy check names all",
        )
    return policy


def check(policy: Policy) -> list[Fault]:
    """All that can't stand, in the order of rules."""
    faults = []
    if len(policy.rules) > MAX_RULES or len(policy.pools) > MAX_POOLS:
        faults.append(Fault(NOWHERE, "rules", "", f"over {MAX_RULES} rules or {MAX_POOLS} pools"))
    for pool in policy.pools.values():
        if pool.fall_back is not None and pool.fall_back not in policy.pools:
            faults.append(
                Fault(
                    pool.place, f"pools.{pool.name}", "fall_back", f"{pool.fall_back} is not in the inventory"
                )
            )
    by_service: dict[str, set[str]] = {}
    for (_, service), effect in policy.effects.items():
        by_service.setdefault(service, set()).add(effect)
    for rule in policy.rules:
        faults += [
            Fault(rule.at(key), f"rules.{rule.name}", key, text)
            for key, text in _faults(policy, rule, by_service)
        ]
    return faults


def _faults(policy: Policy, rule: Rule, by_service: Mapping[str, set[str]]) -> Iterable[tuple[str, str]]:
    match = rule.match
    if (match.kind is Kind.ANY) != (not match.subjects) or len(match.subjects) > MAX_SUBJECTS:
        yield "subjects", f"none, or over {MAX_SUBJECTS}, where the kind of match wants another number"
    if any(not s or END in s or len(s) > MAX_SUBJECT for s in match.subjects):
        yield "subjects", f"a subject is empty, over {MAX_SUBJECT} characters, or holds a NUL"
    if match.size[0] > match.size[1] or match.attempt[0] > match.attempt[1] or match.attempt[0] < 1:
        yield "size", "the least is above the most"
    if not rule.pools or any(weight < 1 for _, weight in rule.pools):
        yield "pools", "no pool, or a weight below 1"
    if len({name for name, _ in rule.pools}) < len(rule.pools):
        yield "pools", "a pool stands twice"
    if not 0 <= rule.priority <= HIGHEST:
        yield "priority", f"{rule.priority} is not from 0 to {HIGHEST}"
    if any(not 0 < percent <= 100 for _, percent in rule.mirrors):
        yield "mirrors", "a percentage is not above 0, up to 100"
    for name in rule.names():
        pool = policy.pools.get(name)
        if pool is None:
            yield "pools", f"{name} is not in the inventory"
    for name in _reached(policy, rule):
        owner = policy.pools[name].team
        if owner is not None and owner != match.team:
            # Isolation: also by a fall-back of a fall-back, where nobody looks.
            yield "pools", f"{name} serves the team {owner} alone, and the rule is for {match.team or 'all'}"
    twice = [
        f
        for f, told in (
            (Feature.RETRIES, rule.retries),
            (Feature.HEDGE, rule.hedge_ms),
            (Feature.MIRRORS, rule.mirrors),
        )
        if told and rule.mark(f) is Mark.MUST
    ]
    if twice:
        effects = (
            by_service.get(match.service, set())
            if match.service is not None
            else set().union(*by_service.values())
        )
        if effects - {"safe"}:
            yield twice[0].value, "is must, but some of what matches may not run twice"


def _reached(policy: Policy, rule: Rule) -> list[str]:
    """Each pool that a request of the rule can come to."""
    seen = dict.fromkeys(name for name in rule.names() if name in policy.pools)
    for name in rule.fall_backs:
        pool = policy.pools.get(name)
        while pool is not None and pool.fall_back in policy.pools and pool.fall_back not in seen:
            seen[str(pool.fall_back)] = None
            pool = policy.pools[str(pool.fall_back)]
    return list(seen)
