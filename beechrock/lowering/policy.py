"""Model of a routing policy: rules, their matches, the features they request and their importance. Pure data.

All rules have one order: by ``order``, then the more specific match first, then the name. A request belongs
to the first rule that matches it. Requests that must not run twice (those of keyed and unsafe contracts) are
never hedged, mirrored or retried, whatever a rule says; a pool of one team serves no other team;
``survive_per_s`` holds with any one hall lost.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

from beechrock.inventory.problems import Place
from beechrock.lowering.errors import PolicyError

# Maximum numbers of rules, of pools, of subjects per rule, and of characters per subject.
MAX_RULES, MAX_POOLS, MAX_SUBJECTS, MAX_SUBJECT = 20_000, 4_000, 1_000, 200
MAX_CHAIN = 64  # Maximum number of rules with the same subject and contract, so that a lookup stays short
MAX_SIZE, MAX_ATTEMPT = 1 << 40, 100  # Largest body size, in bytes, and highest attempt number
HIGHEST = 7  # Highest priority; the lowest is 0
END = "\0"  # End mark after a subject's last character; no subject contains it
NOWHERE = Place("policy")


class Mark(Enum):
    # Members are singletons, so the hash by identity is valid; hashing names took a tenth of a large compile.
    __hash__ = object.__hash__
    MUST = "must"  # A class that can't keep the feature does not run the rule
    SHOULD = "should"  # Kept as closely as the class can
    MAY = "may"  # Left out first if the table is too small


class Feature(Enum):
    """Features that a rule can request. The last four are not optional: they are always ``must``."""

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
    """Ways to match subjects; a more specific one has a higher value."""

    ANY = 0
    PREFIX = 1
    SET = 2
    EXACT = 3


class Affinity(IntEnum):
    """Ways to keep a subject on the same server.

    NONE does not; MODULO picks a slot by the subject's hash; RENDEZVOUS moves few subjects when servers
    change.
    """

    NONE = 0
    MODULO = 1
    RENDEZVOUS = 2


class Request(NamedTuple):
    """Fields of a request that routing uses; ``attempt`` counts from 1, ``size`` is the body's, in bytes."""

    team: str
    service: str
    subject: str
    size: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Match:
    """Conditions of a rule; None matches any team or service.

    Sizes (in bytes) and attempts are inclusive ranges.
    """

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
    """One rule of the policy.

    ``within`` is the share of a tier's requests that may go to other pools than the weights say, if pools are
    a ``must``.
    """

    name: str
    match: Match
    pools: tuple[tuple[str, int], ...]  # Name and relative weight
    order: int = 100
    halls: tuple[str, ...] = ()  # Order of halls; pools of an earlier hall are preferred
    fall_backs: tuple[str, ...] = ()
    affinity: Affinity = Affinity.NONE
    rate_per_s: float | None = None  # Requests per second, per team if the rule matches several
    at_once: int | None = None  # Maximum number of concurrent requests, per team likewise
    retries: int = 0
    hedge_ms: int | None = None
    priority: int = 3
    mirrors: tuple[tuple[str, int], ...] = ()  # Pool and percentage of the requests
    survive_per_s: float = 0.0
    expect_per_s: float = 1.0
    within: float = 0.02
    marks: tuple[tuple[Feature, Mark], ...] = ()
    place: Place = field(default=NOWHERE, compare=False)
    places: Mapping[str, Place] = field(default_factory=dict, compare=False, hash=False)

    def mark(self, feature: Feature) -> Mark:
        if feature in ALWAYS:
            return Mark.MUST
        for marked, mark in self.marks:
            if marked is feature:
                return mark
        return Mark.SHOULD

    def at(self, key: str) -> Place:
        """Return the position in the policy's files at which the rule sets ``key``."""
        return self.places.get(key, self.place)

    def sorts(self) -> tuple[int, int, int, int, str]:
        m = self.match
        longest = len(m.subjects[0]) if m.kind is Kind.PREFIX else 0
        named = (m.team is not None) + (m.service is not None)
        return self.order, -int(m.kind), -longest, -named, self.name

    def names(self) -> tuple[str, ...]:
        """Return the names of all pools that the rule itself lists."""
        return (*(pool for pool, _ in self.pools), *self.fall_backs, *(pool for pool, _ in self.mirrors))


@dataclass(frozen=True, slots=True)
class Pool:
    """Group of servers; ``rate_per_s`` is the rate in requests per second that they can serve together."""

    name: str
    hall: str
    rate_per_s: float = 1000.0
    servers: tuple[tuple[str, int], ...] = ()
    team: str | None = None  # If set, the pool serves only this team
    fall_back: str | None = None  # Tried after this pool wherever it is used as a fall-back
    place: Place = field(default=NOWHERE, compare=False)


@dataclass(frozen=True, slots=True)
class Policy:
    """Complete policy; ``rules`` are in rank order, and a rule's rank is its index."""

    rules: tuple[Rule, ...]
    pools: Mapping[str, Pool]
    effects: Mapping[tuple[str, str], str]  # By team and service: safe, keyed or unsafe

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
    """Error in the policy, in the form of ``inventory.problems``."""

    place: Place
    entry: str
    key: str
    text: str


def build_policy(
    rules: Iterable[Rule], pools: Iterable[Pool], effects: Mapping[tuple[str, str], str]
) -> Policy:
    """Return a consistent policy. Raises PolicyError with the first fault."""
    policy = Policy(
        tuple(sorted(rules, key=Rule.sorts)),
        {p.name: p for p in sorted(pools, key=lambda p: p.name)},
        dict(sorted(effects.items())),
    )
    faults = check(policy)
    if faults:
        first = faults[0]
        suffix = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise PolicyError(
            first.text + suffix,
            where=f"{first.place}: {first.entry}: {first.key}",
            wanted="a consistent policy",
            do="correct it; beechrock policy check lists all faults",
        )
    return policy


def check(policy: Policy) -> list[Fault]:
    """Return all faults of the policy, those of rules in rank order."""
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
        yield "subjects", f"the number of subjects is over {MAX_SUBJECTS} or does not suit the kind of match"
    if any(not s or END in s or len(s) > MAX_SUBJECT for s in match.subjects):
        yield "subjects", f"a subject is empty, over {MAX_SUBJECT} characters, or holds a NUL"
    if match.size[0] > match.size[1] or match.attempt[0] > match.attempt[1] or match.attempt[0] < 1:
        yield "size", "the minimum is above the maximum, or the first attempt is below 1"
    if not rule.pools or any(weight < 1 for _, weight in rule.pools):
        yield "pools", "no pool, or a weight below 1"
    if len({name for name, _ in rule.pools}) < len(rule.pools):
        yield "pools", "a pool is listed twice"
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
            # Team isolation must also hold for fall-backs of fall-backs, which the rule does not list.
            yield "pools", f"{name} serves the team {owner} alone, and the rule is for {match.team or 'all'}"
    repeating = [
        feature
        for feature, setting in (
            (Feature.RETRIES, rule.retries),
            (Feature.HEDGE, rule.hedge_ms),
            (Feature.MIRRORS, rule.mirrors),
        )
        if setting and rule.mark(feature) is Mark.MUST
    ]
    if repeating:
        effects = (
            by_service.get(match.service, set())
            if match.service is not None
            else set().union(*by_service.values())
        )
        if effects - {"safe"}:
            yield repeating[0].value, "is must, but some of what matches may not run twice"


def _reached(policy: Policy, rule: Rule) -> list[str]:
    """Return every pool that a request of the rule can reach, including fall-backs of fall-backs."""
    seen = dict.fromkeys(name for name in rule.names() if name in policy.pools)
    for name in rule.fall_backs:
        pool = policy.pools.get(name)
        while pool is not None and pool.fall_back in policy.pools and pool.fall_back not in seen:
            seen[str(pool.fall_back)] = None
            pool = policy.pools[str(pool.fall_back)]
    return list(seen)
