"""Compile-time state of a hardware class, and the scopes of requests that it steers as a whole. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from beechrock.lowering.passes.draft import Draft, Outcome
from beechrock.lowering.policy import Mark, Rule
from beechrock.lowering.profile import Profile

Scope = tuple[str | None, str | None]  # Team and service; None stands for all
# Penalty of a lost feature, in the units of the solver's objective.
LOST_PENALTY = {Outcome.DROPPED: 6, Outcome.APPROXIMATED: 2}


@dataclass(slots=True)
class Class:
    """Compile-time state of one hardware class of the fleet."""

    name: str
    profile: Profile
    drafts: list[Draft]  # By rank of the rule
    at: int  # Index of the class among the classes of the compile
    # By rank: drafts that the class can run, with the most features first; empty if it can't run the rule.
    options: list[tuple[Draft, ...]] = field(default_factory=list)
    coarse: list[Scope] = field(default_factory=list)  # Scopes that are steered as a whole
    coarse_to: int | None = None  # Index of the class to which the coarse scopes are steered
    met: set[int] = field(default_factory=set)  # Ranks that match some request of the coarse scopes
    # Ranks whose requests all lie in the coarse scopes; a subset of ``met``.
    covered: set[int] = field(default_factory=set)


class Scopes:
    """Set of coarse scopes of a class, and the rules that they overlap."""

    def __init__(self, scopes: Iterable[Scope]) -> None:
        every = set(scopes)
        self.kept = [
            s
            for s in scopes
            if s == (None, None) or not ({(None, None), (s[0], None), (None, s[1])} - {s} & every)
        ]
        self.every = set(self.kept)
        self.teams, self.services = {t for t, _ in self.kept}, {s for _, s in self.kept}
        self.mixed_teams = {t for t, s in self.kept if s is None}
        self.mixed_services = {s for t, s in self.kept if t is None}

    def holds(self, rule: Rule) -> bool:
        """Return whether the scopes contain every request that the rule can match."""
        team, service = rule.match.team, rule.match.service
        return not self.every.isdisjoint(((team, service), (team, None), (None, service), (None, None)))

    def meets(self, rule: Rule) -> bool:
        """Return whether the scopes contain some request that the rule can match."""
        team, service = rule.match.team, rule.match.service
        if self.holds(rule) or (team is None and service is None and bool(self.every)):
            return True
        if team is None:
            return service in self.services or bool(self.mixed_teams)
        if service is None:
            return team in self.teams or bool(self.mixed_services)
        return False


def penalty(draft: Draft) -> int:
    """Return the solver's penalty for a draft's lost features; a ``may`` feature counts a third."""
    lost = 0
    for finding in draft.findings:
        worth = LOST_PENALTY.get(finding.outcome, 0)
        lost += worth if draft.rule.mark(finding.feature) is not Mark.MAY else worth // 3
    return lost
