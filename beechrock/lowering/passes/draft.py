"""Draft of one rule for one class: its remaining features, the findings, and reasons why it can't run."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from beechrock.lowering.policy import Affinity, Feature, Kind, Mark, Policy, Pool, Rule
from beechrock.lowering.profile import Profile

Tier = tuple[tuple[str, int], ...]  # Pool and weight; after the pass ``slots``, pool and number of slots


class Outcome(Enum):
    __hash__ = object.__hash__  # Hash by identity, for speed; see policy.Mark
    EXACT = "exact"
    REWRITTEN = "rewritten"  # Another form with the same meaning
    APPROXIMATED = "approximated"  # Differs by the stated error
    STEERED = "steered"  # Another class runs the rule
    DROPPED = "dropped"
    REFUSED = "refused"  # No class runs the rule: its requests are rejected


class Finding(NamedTuple):
    """Outcome of one feature.

    ``error`` is in the feature's own unit (docs/lowering.md), 0 if nothing differs. ``need`` is the key and
    value of the profile that a class would need to keep the feature.
    """

    feature: Feature
    outcome: Outcome
    error: float = 0.0
    reason: str = ""
    need: tuple[str, object] | None = None


@dataclass(slots=True)
class Draft:
    """Draft of a rule for one class; never changed after its creation.

    The class is not frozen, because creating a frozen instance takes three times as long. ``stuck`` holds the
    reasons why the class can't run the rule; a finding on MATCH means that it can't even match the requests.
    """

    rule: Rule
    rank: int
    kind: Kind
    exacts: tuple[str, ...]
    prefixes: tuple[str, ...]
    size: tuple[int, int]
    attempt: tuple[int, int]
    tiers: tuple[Tier, ...]
    affinity: Affinity
    rate_per_s: float | None
    at_once: int | None
    level: int
    retries: int
    hedge_ms: int | None
    mirrors: tuple[tuple[str, int], ...]
    findings: tuple[Finding, ...] = ()
    stuck: tuple[Finding, ...] = ()
    own: int = 0  # Number of leading tiers of the rule's own pools; later ones are fall-backs. 0: all tiers

    def with_changes(self, **changes: Any) -> "Draft":
        """Return a copy with these fields changed.

        A compile makes hundreds of thousands of copies, and ``dataclasses.replace`` takes six times as long.
        """
        new = Draft(
            self.rule,
            self.rank,
            self.kind,
            self.exacts,
            self.prefixes,
            self.size,
            self.attempt,
            self.tiers,
            self.affinity,
            self.rate_per_s,
            self.at_once,
            self.level,
            self.retries,
            self.hedge_ms,
            self.mirrors,
            self.findings,
            self.stuck,
            self.own,
        )
        for name, value in changes.items():
            setattr(new, name, value)
        return new

    @property
    def can_match(self) -> bool:
        return all(finding.feature is not Feature.MATCH for finding in self.stuck)

    def counters(self, teams: int) -> int:
        """Return the number of counters needed.

        Each team has its own, because with a shared counter one team could use up the limit of another.
        """
        each = (self.rate_per_s is not None) + (self.at_once is not None)
        return each * (1 if self.rule.match.team is not None else teams)


@dataclass(frozen=True, slots=True)
class PassContext:
    """Facts of the policy that passes may read besides the draft."""

    pools: Mapping[str, Pool]
    teams: int
    halls: tuple[str, ...]


Pass = Callable[[Draft, Profile, PassContext], Draft]


def pass_context(policy: Policy) -> PassContext:
    return PassContext(policy.pools, len(policy.teams()), policy.halls())


def first(rule: Rule, rank: int) -> Draft:
    """Return the draft of a rule before any pass."""
    match = rule.match
    return Draft(
        rule,
        rank,
        match.kind,
        match.subjects if match.kind in (Kind.EXACT, Kind.SET) else (),
        match.subjects if match.kind is Kind.PREFIX else (),
        match.size,
        match.attempt,
        (rule.pools,),
        rule.affinity,
        rule.rate_per_s,
        rule.at_once,
        rule.priority,
        rule.retries,
        rule.hedge_ms,
        rule.mirrors,
    )


def with_finding(
    draft: Draft,
    feature: Feature,
    outcome: Outcome,
    error: float = 0.0,
    reason: str = "",
    need: tuple[str, object] | None = None,
    tolerance: float = 0.0,
    **changes: Any,
) -> Draft:
    """Return the draft with a finding on a feature and the changes made; an exact outcome adds no finding.

    If a ``must`` would be lost, the class can't run the rule. Without this check the class ran the rule
    without the feature, and only the report showed it.
    """
    if outcome is Outcome.EXACT:
        return draft.with_changes(**changes) if changes else draft
    finding = Finding(feature, outcome, error, reason, need)
    lost = outcome is Outcome.DROPPED or (outcome is Outcome.APPROXIMATED and error > tolerance + 1e-12)
    if lost and draft.rule.mark(feature) is Mark.MUST:
        return draft.with_changes(stuck=(*draft.stuck, finding), **changes)
    return draft.with_changes(findings=(*draft.findings, finding), **changes)
