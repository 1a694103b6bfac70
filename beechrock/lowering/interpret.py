"""Reference interpreter: determines what a policy means for a request, as simply as possible.

It shares no code with the passes and the tables and is never optimized, so that one mistake can't hide in
both.
"""

from collections.abc import Collection
from dataclasses import dataclass

from beechrock.lowering.policy import Policy, Request, Rule


@dataclass(frozen=True, slots=True)
class Ideal:
    """Exact treatment of a request under the policy.

    A tier of pools and weights is used when the tiers before it have no server, and the fall-backs, in
    order, when no tier has one.
    """

    rule: str
    tiers: tuple[tuple[tuple[str, int], ...], ...]
    fall_backs: tuple[str, ...]
    affinity: int
    rate_per_s: float | None
    at_once: int | None
    retries: int
    hedge_ms: int | None
    priority: int
    mirrors: tuple[tuple[str, int], ...]


class Interpreter:
    """Tests the rules in rank order; caches only which rules can match a contract at all."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self._team_rules: dict[str, list[Rule]] = {}
        self._contract_rules: dict[tuple[str, str], list[Rule]] = {}

    def rules_for(self, team: str, service: str) -> list[Rule]:
        found = self._contract_rules.get((team, service))
        if found is None:
            of_team = self._team_rules.get(team)
            if of_team is None:
                of_team = self._team_rules[team] = [
                    r for r in self.policy.rules if r.match.team in (None, team)
                ]
            found = self._contract_rules[team, service] = [
                r for r in of_team if r.match.service in (None, service)
            ]
        return found

    def rule(self, request: Request) -> Rule | None:
        for rule in self.rules_for(request.team, request.service):
            if rule.match.takes(request):
                return rule
        return None

    def answer(self, request: Request, lost: Collection[str] = ()) -> Ideal | None:
        """Return the treatment of the request without the halls ``lost``; None if no rule matches."""
        rule = self.rule(request)
        if rule is None:
            return None
        repeatable = self.policy.effects.get((request.team, request.service)) == "safe"
        return self.meaning(rule, repeatable, lost)

    def meaning(self, rule: Rule, repeatable: bool, lost: Collection[str] = ()) -> Ideal:
        """Return what the rule means for requests that may run twice (``repeatable``) or must not."""
        hall = {name: self.policy.pools[name].hall for name in self.policy.pools}
        groups: list[list[tuple[str, int]]] = []
        if rule.halls:
            for wanted in rule.halls:
                groups.append([(pool, w) for pool, w in rule.pools if hall[pool] == wanted])
            groups.append([(pool, w) for pool, w in rule.pools if hall[pool] not in rule.halls])
        else:
            groups.append(list(rule.pools))
        seen = {name for name, _ in rule.pools}
        row = []
        for name in rule.fall_backs:
            next_pool: str | None = name
            while next_pool is not None and next_pool not in seen:
                seen.add(next_pool)
                row.append(next_pool)
                next_pool = self.policy.pools[next_pool].fall_back
        left = [tuple(sorted((pool, w) for pool, w in group if hall[pool] not in lost)) for group in groups]
        return Ideal(
            rule.name,
            tuple(tier for tier in left if tier),
            tuple(pool for pool in row if hall[pool] not in lost),
            int(rule.affinity),
            rule.rate_per_s,
            rule.at_once,
            rule.retries if repeatable else 0,
            rule.hedge_ms if repeatable else None,
            rule.priority,
            rule.mirrors if repeatable else (),
        )
