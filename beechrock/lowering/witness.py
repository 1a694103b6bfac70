"""Checks the tables against the interpreter with one sample request per region of the match space. Pure.

All requests of a region match the same rules. A region is defined by a contract (contracts with the same
rules count once), a subject or prefix that a rule names, or none of these, and a range of sizes and attempts
between neighbouring bounds. The check compares the policy's meaning with a node's action. They may differ by
the error that the report states, and for a ``must`` by no more than the rule allows.
"""

from collections.abc import Iterator, Mapping, Sequence

from beechrock.lowering.errors import PolicyError, WitnessError
from beechrock.lowering.interpret import Ideal, Interpreter
from beechrock.lowering.passes.draft import Finding, Outcome
from beechrock.lowering.policy import MAX_ATTEMPT, MAX_SIZE, Feature, Kind, Mark, Policy, Request, Rule
from beechrock.lowering.tables import COARSE, REFUSE, RUN, STEER, Action, Entry, Table

MAX_WITNESSES = 500_000  # Maximum number of sample requests per compile
AFTER = "~"  # Appended to a subject to get a sample outside the region of exactly that subject
Entries = Mapping[str, Entry | None]  # By class: the entry that its table has for one request
StatedFindings = Mapping[tuple[str, int], Sequence[Finding]]  # By class and rank of a rule that runs there


def _interval_starts(bounds: list[tuple[int, int]], full_range: tuple[int, int]) -> list[int]:
    """Return the first value of each interval between neighbouring bounds."""
    points = {full_range[0]}
    for minimum, maximum in bounds:
        points.add(minimum)
        if maximum < full_range[1]:
            points.add(maximum + 1)
    return sorted(points)


def witnesses(policy: Policy) -> Iterator[Request]:
    """Yield one request per region. Raises PolicyError beyond MAX_WITNESSES regions."""
    by_key: dict[tuple[str | None, str | None], list[int]] = {}
    for rank, rule in enumerate(policy.rules):
        by_key.setdefault((rule.match.team, rule.match.service), []).append(rank)
    seen: set[tuple[tuple[int, ...], bool]] = set()
    count = 0
    for (team, service), effect in policy.effects.items():
        about = tuple(
            sorted(
                rank
                for key in ((team, service), (team, None), (None, service), (None, None))
                for rank in by_key.get(key, ())
            )
        )
        alike = (about, effect == "safe")
        if alike in seen:
            continue
        seen.add(alike)
        rules = [policy.rules[rank] for rank in about]
        for subject in _subjects(rules):
            here = [
                r.match
                for r in rules
                if r.match.kind is Kind.ANY
                or (
                    subject.startswith(r.match.subjects[0])
                    if r.match.kind is Kind.PREFIX
                    else subject in r.match.subjects
                )
            ]
            for size in _interval_starts([m.size for m in here], (0, MAX_SIZE)):
                for attempt in _interval_starts([m.attempt for m in here], (1, MAX_ATTEMPT)):
                    count += 1
                    if count > MAX_WITNESSES:
                        raise PolicyError(
                            f"over {MAX_WITNESSES} regions to check",
                            where="rules",
                            do="name teams and services in the rules, or use fewer sizes and attempts",
                        )
                    yield Request(team, service, subject, size, attempt)


def _subjects(rules: list[Rule]) -> list[str]:
    found = {""}
    for rule in rules:
        for subject in rule.match.subjects:
            found.update((subject, subject + AFTER))
    return sorted(found)


class Judge:
    """Compares the tables of all classes with the interpreter."""

    def __init__(
        self,
        policy: Policy,
        tables: Mapping[str, Table],
        stated: StatedFindings,
        refused: Mapping[str, frozenset[int]],
        lost: Mapping[str, frozenset[str]],
    ) -> None:
        """``refused``: by class, ranks that the report lists as refused; COARSE stands for its coarse scopes.

        ``lost``: by loss state, the classes that are lost in it.
        """
        self.policy, self.tables, self.stated, self.refused, self.lost = policy, tables, stated, refused, lost
        self.interpreter = Interpreter(policy)
        self.ranks = {rule.name: rank for rank, rule in enumerate(policy.rules)}
        # Checked combinations: class, rank, action (or wanted rank), whether the request may run twice.
        self.good: set[tuple[str, int, int, bool]] = set()
        self.lookups = [(name, table.find) for name, table in tables.items()]
        self.states = {
            name: [(s, table.states.get(s, {})) for s in ("", *lost) if name not in lost.get(s, ())]
            for name, table in tables.items()
        }
        self.names = {name: tuple(pool for pool, _ in table.pools) for name, table in tables.items()}
        # Cached errors of the rule in ``ideal``, because classes often run a rule alike.
        self.measured: dict[tuple[object, ...], dict[Feature, float]] = {}
        # Cached meaning of the rule that was checked last.
        self.ideal: tuple[Rule, bool, Ideal] | None = None

    def run(self) -> int:
        """Return the number of regions checked. Raises WitnessError at the first one that differs."""
        count = 0
        for request in witnesses(self.policy):
            count += 1
            self.check(request)
        return count

    def check(self, request: Request) -> None:
        rule = self.interpreter.rule(request)
        repeatable = self.policy.effects.get((request.team, request.service)) == "safe"
        wanted = None if rule is None else self.ranks[rule.name]
        entries = {name: find(*request) for name, find in self.lookups}
        for name, entry in entries.items():
            found = None if entry is None else entry[0]
            if found == COARSE and entry is not None:
                key = name, COARSE, -1 if wanted is None else wanted, repeatable
                if key not in self.good:
                    self._coarse(name, entry, request, wanted, entries)
                    self.good.add(key)
                continue
            if found != wanted:
                raise self._mismatch(
                    name,
                    request,
                    f"rule {self._name(found)} applies, but the policy selects {self._name(wanted)}",
                )
            if entry is None or rule is None or (key := (name, entry[0], entry[1], repeatable)) in self.good:
                continue
            table, ideal = self.tables[name], self._ideal(rule, repeatable)
            actions = table.actions if repeatable else table.once
            usual = actions[entry[1]]
            for state, changes in self.states[name]:
                changed = changes.get(entry[0])
                action = usual if changed is None else actions[changed]
                if action.verdict == STEER:
                    self._steered(name, state, action, request, wanted, entries)
                elif not state or changed is not None:
                    # In a loss state only changed actions are checked; the others are checked without a loss.
                    self._action(name, state, action, request, rule, ideal, repeatable)
            self.good.add(key)

    def _ideal(self, rule: Rule, repeatable: bool) -> Ideal:
        """Return the meaning of a rule, cached because most consecutive requests match the same rule."""
        if self.ideal is None or self.ideal[0] is not rule or self.ideal[1] is not repeatable:
            self.ideal = rule, repeatable, self.interpreter.meaning(rule, repeatable)
            self.measured.clear()
        return self.ideal[2]

    def _name(self, rank: int | None) -> str:
        return "none" if rank is None else self.policy.rules[rank].name

    def _mismatch(self, name: str, request: Request, what: str) -> WitnessError:
        return WitnessError(
            what,
            where=f"class {name}, {request}",
            wanted="what the interpreter says",
            do="tell the maintainers; the running policy stays",
        )

    def _coarse(
        self, name: str, entry: Entry, request: Request, wanted: int | None, entries: Entries
    ) -> None:
        table = self.tables[name]
        for state, changes in self.states[name]:
            action = table.actions[changes.get(COARSE, entry[1])]
            if action.verdict == REFUSE:
                if state or COARSE in self.refused.get(name, ()):
                    continue
                raise self._mismatch(
                    name, request, "the requests are refused, but the report does not say so"
                )
            self._steered(name, state, action, request, wanted, entries)

    def _steered(
        self,
        name: str,
        state: str,
        action: Action,
        request: Request,
        wanted: int | None,
        entries: Entries,
    ) -> None:
        """Check that the target class runs the request; a second steer could send it in circles forever."""
        other = self.tables.get(action.target)
        if other is None or action.target == name or action.target in self.lost.get(state, frozenset()):
            raise self._mismatch(
                name, request, f"steered to {action.target}, which is no valid target in state {state!r}"
            )
        entry = entries[action.target]
        if (None if entry is None else entry[0]) != wanted:
            raise self._mismatch(name, request, f"steered to {action.target}, which does not know the rule")
        if entry is not None:
            at = other.states.get(state, {}).get(entry[0], entry[1])
            if other.actions[at].verdict == STEER:
                raise self._mismatch(
                    name, request, f"steered to {action.target}, which steers it a second time"
                )

    def _action(
        self,
        name: str,
        state: str,
        action: Action,
        request: Request,
        rule: Rule,
        ideal: Ideal,
        repeatable: bool,
    ) -> None:
        rank = self.ranks[rule.name]
        if action.verdict == REFUSE:
            if not state and rank not in self.refused.get(name, ()):
                raise self._mismatch(name, request, f"{rule.name} is refused, but the report does not say so")
            return None
        assert action.verdict == RUN
        pools = self.names[name]
        stated = _stated(self.stated.get((name, rank), ()))
        key = action, pools, stated.get(Feature.HALLS, 0), stated.get(Feature.FALL_BACKS, 0)
        measured = self.measured.get(key)
        if measured is None:
            measured = self.measured[key] = errors(self.policy, rule, ideal, action, pools, stated)
        for feature, error in measured.items():
            if not error:
                continue
            allowed = stated.get(feature, 0.0)
            if rule.mark(feature) is Mark.MUST:
                allowed = min(allowed, rule.within if feature is Feature.POOLS else 0.0)
            if error > allowed + 1e-9:
                raise self._mismatch(
                    name,
                    request,
                    f"{rule.name}: {feature.value} is off by {error:.4g}, and {allowed:.4g} is allowed",
                )
        if not repeatable and (action.retries or action.hedge_ms is not None or action.mirrors):
            raise self._mismatch(
                name, request, f"{rule.name} may run a request twice that must not run twice"
            )
        return None


def _stated(findings: Sequence[Finding]) -> dict[Feature, float]:
    stated: dict[Feature, float] = {}
    for finding in findings:
        if finding.outcome in (Outcome.APPROXIMATED, Outcome.DROPPED):
            stated[finding.feature] = max(stated.get(finding.feature, 0.0), finding.error)
    return stated


def errors(
    policy: Policy,
    rule: Rule,
    ideal: Ideal,
    action: Action,
    pools: Sequence[str],
    stated: Mapping[Feature, float],
) -> dict[Feature, float]:
    """Return the error of the action against the ideal, by feature, in the feature's unit."""
    laid = [{pools[at]: slots for at, slots in tier} for tier in action.tiers]
    found: dict[Feature, float] = {}
    merged = int(stated.get(Feature.HALLS, 0))
    cut = int(stated.get(Feature.FALL_BACKS, 0))
    wanted: list[dict[str, int]] = [dict(tier) for tier in ideal.tiers]
    if merged:
        last: dict[str, int] = {}
        for tier in wanted[len(wanted) - merged - 1 :]:
            last.update(tier)
        wanted = [*wanted[: len(wanted) - merged - 1], last]
        found[Feature.HALLS] = merged
    kept = list(ideal.fall_backs)[: len(ideal.fall_backs) - cut]
    if cut:
        found[Feature.FALL_BACKS] = cut
    wanted += [{name: 1} for name in kept]
    if len(wanted) != len(laid):
        found[Feature.FALL_BACKS] = abs(len(wanted) - len(laid)) + len(ideal.fall_backs)
    elif (action.own or len(laid)) != len(wanted) - len(kept):
        found[Feature.FALL_BACKS] = 99  # The rule's limits cover the wrong tiers
    else:
        differ = [(w, g) for w, g in zip(wanted, laid, strict=True) if w != g]
        if differ:
            halls = ("", *sorted({policy.pools[pool].hall for tier in (*wanted, *laid) for pool in tier}))
            found[Feature.POOLS] = max(_share_error(policy, w, g, lost) for w, g in differ for lost in halls)
    found[Feature.AFFINITY] = max(0, ideal.affinity - action.affinity) + 9 * (
        action.affinity > ideal.affinity
    )
    for feature, want, has in (
        (Feature.RATE, ideal.rate_per_s, action.rate_per_s),
        (Feature.AT_ONCE, ideal.at_once, action.at_once),
    ):
        found[feature] = 0.0 if want == has else 1.0 if has is None else 9.0
    found[Feature.RETRIES] = ideal.retries - action.retries if action.retries <= ideal.retries else 99
    if ideal.hedge_ms is None:
        found[Feature.HEDGE] = 0.0 if action.hedge_ms is None else 1e9
    else:  # A hedge earlier than requested is never allowed
        wait = ideal.hedge_ms if action.hedge_ms is None else action.hedge_ms - ideal.hedge_ms
        found[Feature.HEDGE] = wait if wait >= 0 else 1e9
    found[Feature.PRIORITY] = abs(ideal.priority - action.level) / 7
    if ideal.mirrors or action.mirrors:
        wants_mirrors, has_mirrors = (
            set(ideal.mirrors),
            {(pools[at], percent) for at, percent in action.mirrors},
        )
        found[Feature.MIRRORS] = len(wants_mirrors - has_mirrors) + 99 * len(has_mirrors - wants_mirrors)
    names = {name for tier in laid for name in tier}
    if rule.survive_per_s:
        capacity = min(
            sum(policy.pools[pool].rate_per_s for pool in sorted(names) if policy.pools[pool].hall != hall)
            for hall in policy.halls()
        )
        found[Feature.SURVIVE] = max(0.0, rule.survive_per_s - capacity)
    if any(policy.pools[pool].team not in (None, rule.match.team) for pool in names):
        found[Feature.ISOLATION] = 1.0
    return found


def _share_error(policy: Policy, wanted: Mapping[str, int], given: Mapping[str, int], lost: str) -> float:
    """Return the share of requests that go to another pool than wanted, without the hall ``lost``.

    This is half the sum of the differences of the pools' shares, calculated in integers until the division.
    An empty ``lost`` means no hall.
    """
    want, have = wanted, given
    if lost:
        want = {pool: w for pool, w in wanted.items() if policy.pools[pool].hall != lost}
        have = {pool: w for pool, w in given.items() if policy.pools[pool].hall != lost}
    all_want, all_have = sum(want.values()), sum(have.values())
    if not all_want or not all_have:
        return float(bool(all_want) != bool(all_have))
    off = sum(
        abs(want.get(pool, 0) * all_have - have.get(pool, 0) * all_want) for pool in want.keys() | have.keys()
    )
    return off / (2 * all_want * all_have)
