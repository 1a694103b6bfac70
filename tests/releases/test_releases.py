"""Permits, releases and verdicts: random histories with a check of the invariants after each step."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from beechrock.releases.judge import Figures, Rules, Verdict, judge
from beechrock.releases.permits import Budget, Permit, PermitRequest, Permits, Refusal, Refused, Target
from beechrock.releases.release import Act, Plan, Release, Stage, Step, next_actions, plan_waves

HALLS = ("east", "west", "north")
TARGETS = [
    Target(f"{hall}{number}", hall=hall, services=("a",) if number else ("a", "b"))
    for hall in HALLS
    for number in range(4)
]
BUDGETS = (
    Budget("fleet", part=0.34),
    Budget("hall", most=2, each_hall=True),
    Budget("b", most=1, service="b"),
)


def new_permits() -> Permits:
    permits = Permits()
    permits.describe(TARGETS, BUDGETS)
    return permits


def check(permits: Permits) -> None:
    """Check the budgets by an independent count."""
    out = {name for name, permit in permits.held.items() if not permit.claimed}
    assert len(out) <= 4  # a third of twelve
    for hall in HALLS:
        assert len([name for name in out if name.startswith(hall)]) <= 2
    assert len([name for name in out if name.endswith("0")]) <= 1  # targets with service b
    fences = [permit.fence for permit in permits.held.values()]
    assert len(set(fences)) == len(fences)


@given(st.integers(0, 1 << 32))
def test_never_more_are_out_than_each_budget_allows_in_any_prefix(seed: int) -> None:
    draw, permits, granted = random.Random(seed), new_permits(), set[int]()
    names = [target.name for target in TARGETS]
    for index in range(1, 150):
        name, down = draw.choice(names), frozenset(draw.sample(names, draw.randrange(3)))
        match draw.randrange(5):
            case 0 | 1 | 2:
                before = permits.out(down)
                held = permits.held.get(name)
                found = permits.request(index, PermitRequest(name, draw.choice("pq"), "why", 60.0, down))
                if isinstance(found, Permit) and held is None:
                    assert found.fence == index > max(granted, default=0)
                    granted.add(index)
                    assert len(before | {name}) <= 4 or name in before  # targets that are down count as out
                elif isinstance(found, Permit):
                    assert found is held  # a repeated request of the holder gets no second permit
            case 3 if permits.held:
                target = draw.choice(sorted(permits.held))
                fence = permits.held[target].fence
                assert not permits.back(index, target, fence - 1) and target in permits.held
                assert permits.back(index, target, fence) and not permits.back(index, target, fence)
            case 4 if draw.random() < 0.2:
                permits.describe(TARGETS, BUDGETS)
        check(permits)
    assert granted


def test_the_last_of_a_hall_or_service_stays_in_and_a_claim_is_recorded() -> None:
    permits = Permits()
    permits.describe(
        [Target("a", hall="east"), Target("b", hall="west"), Target("c", hall="west")],
        [Budget("all", most=9)],
    )
    assert permits.request(1, PermitRequest("a", "op", "", 1.0)) == Refused(Refusal.LAST, "hall east", 0, ())
    assert isinstance(permits.request(2, PermitRequest("b", "op", "", 1.0)), Permit)
    assert permits.request(3, PermitRequest("c", "op", "", 1.0)) == Refused(
        Refusal.LAST, "hall west", 0, ("b",)
    )
    claimed = permits.request(4, PermitRequest("c", "op", "fire", 1.0, claim=True))
    assert isinstance(claimed, Permit) and claimed.claimed and (4, "claimed", "c", "op") in permits.audit
    assert permits.request(5, PermitRequest("b", "other", "", 1.0)) == Refused(Refusal.HELD, out=("op",))
    assert permits.request(6, PermitRequest("x", "op", "", 1.0)) == Refused(Refusal.UNKNOWN)


@pytest.mark.parametrize(
    ("budget", "of", "allowed"),
    [
        (Budget("n", most=2), 10, 2),
        (Budget("n", most=0), 10, 0),
        (Budget("n", most=20), 10, 9),
        (Budget("p", part=0.3), 10, 3),
        (Budget("p", part=0.05), 10, 1),
        (Budget("p", part=0.0), 10, 0),
        (Budget("p", part=0.5), 1, 0),
        (Budget("p"), 10, 0),
    ],
)
def test_a_budget_of_zero_allows_none_and_a_small_share_allows_one(
    budget: Budget, of: int, allowed: int
) -> None:
    assert budget.allowed(of) == allowed


PLAN = Plan("r1", "2", "1", plan_waves({"east": ["e1", "e2", "e3"], "west": ["w1", "w2", "w3"]}, 1, 2))


def test_waves_begin_with_the_canary_and_keep_to_one_hall() -> None:
    assert PLAN.waves == (("e1",), ("e2", "e3"), ("w1", "w2"), ("w3",))


@given(st.integers(0, 1 << 32))
def test_two_drivers_take_no_step_twice_and_no_wave_begins_before_the_previous_one_is_good(seed: int) -> None:
    draw, release, taken_steps = random.Random(seed), Release(PLAN), dict[str, list[str]]()
    newest = 1
    assert release.move("start")
    for _ in range(400):
        if draw.random() < 0.05:
            newest += 1
        fence = newest if draw.random() < 0.8 else max(1, newest - 1)  # the previous driver still acts
        stale = fence < release.fence
        if draw.random() < 0.03:
            release.move(draw.choice(["pause", "resume", "halt"]))
        if draw.random() < 0.01:
            release.move("back")
        before = (dict(release.steps), dict(release.undone), release.stage, release.good)
        for todo in next_actions(release, {}, True, 60.0)[: draw.randrange(1, 4)]:
            steps = release.undone if todo.back else release.steps
            if todo.act is Act.JUDGE:
                verdict = draw.choice(list(Verdict))
                release.judged(fence, release.good, drawn_judgement(verdict))
                continue
            if todo.act is Act.HALT:
                continue
            if release.step(fence, todo.target, steps[todo.target], todo.back):
                taken_steps.setdefault(todo.target, []).append(f"{todo.version} {steps[todo.target].value}")
        if stale:
            assert before == (release.steps, release.undone, release.stage, release.good)
        for index, wave in enumerate(PLAN.waves):
            if any(release.steps[name] is not Step.TODO for name in wave):
                assert (
                    all(release.wave_returned(earlier) for earlier in range(index)) and release.good >= index
                )
    for taken in taken_steps.values():
        assert len(set(taken)) == len(taken), taken


def drawn_judgement(verdict: Verdict):  # type: ignore[no-untyped-def]
    from beechrock.releases.judge import Judgement

    return Judgement(verdict, "drawn")


def test_a_rollback_starts_with_the_last_changed_target_and_targets_return_after_a_halt() -> None:
    release = Release(PLAN)
    release.move("start")
    for step in (Step.TODO, Step.PERMITTED, Step.SENT):
        assert release.step(1, "e1", step)
    assert not release.step(1, "e2", Step.TODO)  # the canary has not been judged yet
    assert release.judged(1, 0, drawn_judgement(Verdict.GOOD))
    assert release.step(1, "e2", Step.TODO) and release.step(1, "e2", Step.PERMITTED)
    assert release.move("halt", "bad") and not release.step(1, "e3", Step.TODO)
    assert release.step(1, "e2", Step.SENT)  # a target that is out returns even after a halt
    assert release.move("back") and list(release.undone) == ["e2", "e1"]
    assert [todo.version for todo in next_actions(release, {}, False, 9.0)] == [
        "1",
        "1",
    ]  # the rollback goes on even without a quorum
    for name in ("e2", "e1"):
        for step in (Step.TODO, Step.PERMITTED, Step.SENT):
            assert release.step(2, name, step, back=True) and not release.step(1, name, step, back=True)
    assert release.stage is Stage.UNDONE


def test_no_quorum_and_a_node_that_does_not_return_halt_a_release() -> None:
    release = Release(PLAN)
    release.move("start")
    assert next_actions(release, {}, False, 9.0)[-1].reason == "no quorum"
    for step in (Step.TODO, Step.PERMITTED):
        release.step(1, "e1", step)
    assert next_actions(release, {"e1": 9.5}, True, 9.0)[-1].reason == "e1 did not return in 9 s"
    assert [todo.act for todo in next_actions(release, {"e1": 8.5}, True, 9.0)] == [Act.CHECK]


GOOD = Figures(1000, 980, 10, 5, 5)


@pytest.mark.parametrize(
    ("new", "rest", "before", "waited_s", "verdict", "message"),
    [
        (GOOD, GOOD, GOOD, 1.0, Verdict.GOOD, ""),
        (Figures(1000, 940, 10, 50, 0), GOOD, GOOD, 1.0, Verdict.BAD, "failed 5.0%, 0.5% of the rest"),
        (Figures(1000, 900, 100), Figures(9), GOOD, 1.0, Verdict.BAD, "refused 10.0%, 1.0% of before"),
        (
            Figures(1000, 900, 100),
            Figures(9000, 8100, 900),
            GOOD,
            1.0,
            Verdict.GOOD,
            "",
        ),  # all nodes fail alike
        (Figures(50, 20, 0, 30), GOOD, GOOD, 1.0, Verdict.WAIT, "50 of 200"),
        (Figures(50, 20, 0, 30), GOOD, GOOD, 301.0, Verdict.GOOD, "thin"),
        (Figures(3, 3, restarts=1), GOOD, GOOD, 1.0, Verdict.BAD, "1 restarts"),
        (GOOD, Figures(), Figures(), 1.0, Verdict.WAIT, "nothing to compare"),
    ],
)
def test_a_version_is_judged_against_the_other_nodes_and_few_requests_give_no_verdict(
    new: Figures, rest: Figures, before: Figures, waited_s: float, verdict: Verdict, message: str
) -> None:
    found = judge(new, rest, before, waited_s, Rules())
    assert found.verdict is verdict and message in found.reason


def test_a_good_version_is_hardly_ever_called_bad_by_chance() -> None:
    draw = random.Random(1)

    def drawn(requests: int) -> Figures:
        failed = sum(draw.random() < 0.02 for _ in range(requests))
        return Figures(requests, requests - failed, failed=failed)

    assert (
        sum(judge(drawn(300), drawn(2000), GOOD, 1.0, Rules()).verdict is Verdict.BAD for _ in range(400))
        == 0
    )
