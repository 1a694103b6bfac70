"""The compile: random policies against the interpreter, deterministic bytes, and the effect of each pass."""

import os
import random
import subprocess
import sys
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from beechrock.lowering import draw, passes
from beechrock.lowering.compile import compile_policy, drafts_of, lacking, read_plan
from beechrock.lowering.errors import NowhereError, PolicyError, WitnessError
from beechrock.lowering.interpret import Interpreter
from beechrock.lowering.passes.draft import Draft, Outcome, pass_context
from beechrock.lowering.passes.spread import share_error, shares
from beechrock.lowering.policy import Affinity, Feature, Kind, Mark, Match, Pool, Request, Rule, build_policy
from beechrock.lowering.profile import Fleet, Profile

POOLS = (
    Pool("a", "east", 100),
    Pool("b", "west", 100),
    Pool("c", "west", 50, fall_back="d"),
    Pool("d", "east", 50),
)
EFFECTS = {("red", "get"): "safe", ("blue", "get"): "safe", ("red", "pay"): "keyed", ("blue", "pay"): "keyed"}
FLEET = Fleet({("big", "east"): 2, ("big", "west"): 2, ("small", "east"): 1, ("small", "west"): 1})


def rule(**fields: object) -> Rule:
    return replace(Rule("r", Match("red", "get"), (("a", 1),)), **fields)  # type: ignore[arg-type]


def compiled(*rules: Rule, small: Profile | None = None, **options: object):
    profiles = {"big": Profile("big"), "small": small or Profile("small")}
    return compile_policy(build_policy(rules, POOLS, EFFECTS), profiles, FLEET, **options)  # type: ignore[arg-type]


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.booleans())
def test_random_policies_are_run_as_the_interpreter_says(seed: int, solver: bool) -> None:
    policy, (profiles, fleet) = draw.policy(seed), draw.fleet(seed)
    # The compile also runs the judge.
    done = compile_policy(policy, profiles, fleet, strict=False, time_s=3.0 if solver else 0.0)
    assert done.report.witnesses > 0 and len(done.report.rows) == len(policy.rules) * len(fleet.classes())
    # Random requests, beyond the samples that the judge checked.
    pick, plain = random.Random(seed), Interpreter(policy)
    ranks = {r.name: at for at, r in enumerate(policy.rules)}
    for _ in range(50):
        team, service = pick.choice(sorted(policy.effects))
        request = Request(
            team,
            service,
            pick.choice(draw.WORDS) + pick.choice(("", "", "d", "/z")),
            pick.choice((0, 9, 10, 999, 1000, 5000, 5001)),
            pick.choice((1, 2, 9)),
        )
        wanted = plain.rule(request)
        for name, table in done.tables.items():
            entry = table.find(team, service, request.subject, request.size, request.attempt)
            if entry is not None and entry[0] == -1:
                continue
            assert (None if entry is None else entry[0]) == (
                None if wanted is None else ranks[wanted.name]
            ), name


PROGRAM = """
from beechrock.lowering import draw
from beechrock.lowering.compile import compile_policy
for seed in (3, 4, 5):
    print(compile_policy(draw.policy(seed), *draw.fleet(seed), strict=False).plan.digest)
"""


def test_the_same_content_compiles_to_the_same_bytes_in_any_process_and_order() -> None:
    seen = set()
    for salt in ("0", "1", "77"):
        ran = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": salt},
        )
        seen.add(ran.stdout)
    assert len(seen) == 1 and len(seen.pop().split()) == 3
    rules = [rule(name=f"r{at}", match=Match("red", "get", Kind.EXACT, (f"s{at}",))) for at in range(20)]
    reversed_effects = {key: EFFECTS[key] for key in reversed(EFFECTS)}
    forward = compile_policy(
        build_policy(rules, POOLS, EFFECTS), {"big": Profile("big"), "small": Profile("small")}, FLEET
    )
    backward = compile_policy(
        build_policy(rules[::-1], POOLS[::-1], reversed_effects),
        {"small": Profile("small"), "big": Profile("big")},
        Fleet(dict(reversed(FLEET.machines.items()))),
    )
    assert forward.plan.data == backward.plan.data and forward.plan.digest == backward.plan.digest


CASES = {  # By pass: a rule that needs it, and the limited abilities of the small class
    "sets_to_exacts": (
        rule(match=Match("red", "get", Kind.SET, ("x", "y"))),
        {"kinds": frozenset(("exact",))},
    ),
    "exacts_to_prefixes": (
        rule(match=Match("red", "get", Kind.EXACT, ("x",))),
        {"kinds": frozenset(("prefix",))},
    ),
    "ranges": (rule(match=Match("red", "get", size=(0, 9))), {"kinds": frozenset(("exact",))}),
    "halls": (rule(pools=(("a", 1), ("b", 1)), halls=("west", "east")), {}),
    "fall_backs": (rule(fall_backs=("c",)), {"tiers": 3}),
    "slots": (rule(pools=(("a", 50), ("b", 49))), {"slots": 2}),
    "affinity": (rule(affinity=Affinity.RENDEZVOUS), {"affinity": frozenset((Affinity.MODULO,))}),
    "limits": (rule(rate_per_s=9.0), {"counters": 0}),
    "priority": (rule(priority=6), {"levels": 2}),
    "retries": (rule(retries=3), {"retries": 1}),
    "hedges": (rule(hedge_ms=7), {"timer_ms": 10}),
    "mirrors": (rule(mirrors=(("b", 10),)), {"mirrors": False}),
    "survive": (rule(fall_backs=("b",), survive_per_s=50.0), {"tiers": 1}),
}


@pytest.mark.parametrize("name", CASES)
def test_without_a_pass_a_class_would_run_rules_that_it_does_not_support(name: str) -> None:
    """With the pass the draft fits the profile or the rule is stuck; without it neither holds."""
    case_rule, abilities = CASES[name]
    policy, profile = build_policy([case_rule], POOLS, EFFECTS), replace(Profile("small"), **abilities)  # type: ignore[arg-type]

    def lowered(without: str):
        draft = passes.first(case_rule, 0)
        for step, *_ in passes.ALL:
            if step.__name__ != without:
                draft = step(draft, profile, pass_context(policy))
        return draft

    good, bad = lowered(""), lowered(name)
    assert name in [step.__name__ for step, *_ in passes.ALL]
    assert good != bad, "the case does not need the pass"
    extra_findings = {f.feature for f in (*good.findings, *good.stuck)} - {
        f.feature for f in (*bad.findings, *bad.stuck)
    }
    changed = (good.tiers, good.kind, good.prefixes) != (bad.tiers, bad.kind, bad.prefixes)
    assert extra_findings or changed


@pytest.mark.parametrize("name", ("halls", "fall_backs", "survive"))
def test_the_judge_rejects_a_compile_without_a_pass(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Leaving out another pass does not change the meaning, only the abilities that the class would need;
    the test above covers those."""
    case_rule, abilities = CASES[name]
    monkeypatch.setattr(passes, "ALL", tuple(each for each in passes.ALL if each[0].__name__ != name))
    with pytest.raises(WitnessError):
        compiled(case_rule, small=replace(Profile("small"), **abilities))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("wish", "lacks"),
    [
        (
            {"affinity": Affinity.RENDEZVOUS, "marks": ((Feature.AFFINITY, Mark.MUST),)},
            {"affinity": frozenset((Affinity.NONE,))},
        ),
        ({"rate_per_s": 5.0, "marks": ((Feature.RATE, Mark.MUST),)}, {"counters": 0}),
        ({"hedge_ms": 7, "marks": ((Feature.HEDGE, Mark.MUST),)}, {"timer_ms": 10}),
        ({"priority": 5, "marks": ((Feature.PRIORITY, Mark.MUST),)}, {"levels": 2}),
        ({"pools": (("a", 50), ("b", 1)), "marks": ((Feature.POOLS, Mark.MUST),)}, {"slots": 2}),
        ({"fall_backs": ("c",), "marks": ((Feature.FALL_BACKS, Mark.MUST),)}, {"tiers": 2}),
        ({"fall_backs": ("b",), "survive_per_s": 50.0}, {"tiers": 1}),
    ],
)
def test_a_must_is_steered_to_a_class_that_keeps_it_and_refused_if_none_does(
    wish: dict[str, object], lacks: dict[str, object]
) -> None:
    small = replace(Profile("small"), **lacks)  # type: ignore[arg-type]
    row = next(r for r in compiled(rule(**wish), small=small).report.rows if r.hardware == "small")
    assert row.outcome is Outcome.STEERED and row.target == "big" and row.mends == ("big",)
    assert row.findings[0].reason
    policy = build_policy([rule(**wish)], POOLS, EFFECTS)
    with pytest.raises(NowhereError, match=row.findings[0].reason[:8]):
        compile_policy(policy, {"small": small}, Fleet({("small", "east"): 1}))
    # With a lower mark the class runs the rule, and the report states the error; survive_per_s has no mark.
    if "survive_per_s" not in wish:
        low = rule(**{**wish, "marks": ()})
        done = compile_policy(
            build_policy([low], POOLS, EFFECTS), {"small": small}, Fleet({("small", "east"): 1})
        )
        assert done.report.rows[0].outcome in (Outcome.DROPPED, Outcome.APPROXIMATED)


def test_a_non_repeatable_request_is_never_sent_twice_whatever_its_rule_says() -> None:
    wish = rule(match=Match("red"), retries=2, hedge_ms=9, mirrors=(("b", 10),))
    table = compiled(wish).tables["big"]
    entry = table.find("red", "pay", "", 0, 1)
    assert entry is not None
    action = table.action(entry, repeatable=False)
    assert (action.retries, action.hedge_ms, action.mirrors) == (0, None, ())
    assert table.action(entry, repeatable=True).retries == 2
    with pytest.raises(PolicyError, match="may not run twice"):
        build_policy([replace(wish, marks=((Feature.HEDGE, Mark.MUST),))], POOLS, EFFECTS)


def test_a_pool_of_one_team_serves_no_other_team_even_as_a_fall_back_of_a_fall_back() -> None:
    owned = (Pool("a", "east"), Pool("c", "west", fall_back="d"), Pool("d", "east", team="blue"))
    with pytest.raises(PolicyError, match="blue alone"):
        build_policy([rule(fall_backs=("c",))], owned, EFFECTS)
    build_policy([rule(fall_backs=("c",), match=Match("blue", "get"))], owned, EFFECTS)


def test_a_class_that_can_not_match_a_rule_steers_all_requests_of_its_contract() -> None:
    small = Profile("small", kinds=frozenset())
    rules = [
        rule(match=Match("red", "get", Kind.PREFIX, ("img/",))),
        rule(name="rest", match=Match("red", "get")),
    ]
    done = compiled(*rules, small=small)
    assert {row.outcome for row in done.report.rows if row.hardware == "small"} == {Outcome.STEERED}
    entry = done.tables["small"].find("red", "get", "anything", 0, 1)
    assert entry is not None and done.tables["small"].actions[entry[1]].target == "big"


@given(st.lists(st.integers(1, 100), min_size=1, max_size=8), st.integers(1, 64))
@example([100, 1, 1], 3)
def test_slots_by_largest_remainder_fit_and_their_error_is_bounded(weights: list[int], slots: int) -> None:
    tier = tuple((f"p{at}", weight) for at, weight in enumerate(weights))
    laid = shares(tier, slots)
    assert sum(count for _, count in laid) <= slots and all(count >= 1 for _, count in laid)
    if len(tier) <= slots:
        # A pool with a low weight still gets a slot.
        assert {name for name, _ in laid} == {name for name, _ in tier}
        assert share_error(tier, laid) <= len(tier) / slots


def test_a_table_holds_a_loss_state_for_each_class() -> None:
    wish = rule(affinity=Affinity.RENDEZVOUS)
    must = rule(name="must", match=Match("blue", "get"), rate_per_s=5.0, marks=((Feature.RATE, Mark.MUST),))
    done = compiled(wish, must, small=Profile("small", counters=0))
    table = done.tables["small"]
    entry = table.find("blue", "get", "", 0, 1)
    assert entry is not None and table.action(entry, True).target == "big"
    table.set_state("class:big")
    assert table.action(entry, True).verdict == 2, (
        "a must is refused if its only class is lost, not run without the feature"
    )
    assert table.action(table.find("red", "get", "", 0, 1) or entry, True).verdict == 0
    table.set_state("")
    assert table.action(entry, True).target == "big"


def test_drafts_keep_their_rule_and_report_rows_name_its_position() -> None:
    done = compiled(rule(retries=3), small=Profile("small", retries=0))
    row = next(r for r in done.report.rows if r.hardware == "small")
    assert (
        row.outcome is Outcome.DROPPED
        and row.error(Feature.RETRIES) == 3
        and "policy: r: small" in row.line()
    )
    assert drafts_of(build_policy([rule()], POOLS, EFFECTS), [Profile("x")])[0][0].rule.name == "r"


def test_classes_that_share_drafts_get_the_same_drafts_as_each_alone() -> None:
    """A pass that reads an undeclared field of the profile would give one class the draft of another."""
    for seed in range(20):
        policy, (profiles, _) = draw.policy(seed), draw.fleet(seed, 6)
        together = drafts_of(policy, list(profiles.values()))
        assert together == [drafts_of(policy, [profile])[0] for profile in profiles.values()], seed


def test_a_pass_leaves_a_draft_unchanged_if_the_rule_does_not_need_it() -> None:
    """The compile skips such a pass; with a wrong condition in ``ALL`` a feature would not be lowered."""
    spared = set()
    for seed in range(60):
        policy, (profiles, _) = draw.policy(seed), draw.fleet(seed, 6)
        for profile in profiles.values():
            for rank, each in enumerate(policy.rules):
                draft = passes.first(each, rank)
                for step, _, asks in passes.ALL:
                    after = step(draft, profile, pass_context(policy))
                    if not asks(each):
                        spared.add(step.__name__)
                        assert after is draft, (seed, step.__name__, each)
                    draft = after
    assert len(spared) == len(passes.ALL) - 2  # All but ``slots`` and ``priority``, which every rule needs


def test_the_judge_distinguishes_a_rule_s_own_pools_from_its_fall_backs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limited = rule(fall_backs=("b",), rate_per_s=5.0)
    done = compiled(limited)
    assert [a.own for t in done.tables.values() for a in t.actions if a.tiers] == [1, 1]
    original = Draft.with_changes

    def with_changes(draft: Draft, **changes: object) -> Draft:
        return original(draft, **{key: value for key, value in changes.items() if key != "own"})

    monkeypatch.setattr(Draft, "with_changes", with_changes)
    with pytest.raises(WitnessError):
        compiled(limited)


def test_a_program_names_the_features_that_it_lacks_for_its_own_class_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mirrored = rule(mirrors=(("b", 10),), marks=((Feature.MIRRORS, Mark.MUST),))
    plan = read_plan(compiled(mirrored, small=Profile("small", mirrors=False)).plan.data)
    assert plan.needs == {"big": ("mirrors",), "small": ("states",)}
    monkeypatch.setattr("beechrock.lowering.compile.HAS", ("states",))
    assert "lacks mirrors" in lacking(plan, "big") and not lacking(plan, "small")
