"""Answers: each request gets exactly one answer, in time."""

import pytest
from policy_helpers import SHARED_DEPENDENCY
from world import Driver, ids_of, settings

from beechrock import interface as api


@pytest.mark.parametrize("passes", [True, False])
def test_running_work_is_answered_when_due_and_only_once(passes: bool) -> None:
    driver = Driver(settings(propagates_deadline=passes))
    remaining = 2.0 if passes else None
    ident, _ = driver.arrive(1, remaining_s=remaining, age_s=0.5)
    due = 2.0 if passes else 8.5
    assert ids_of(api.Fail, driver.decide(after=due - 0.1)) == []
    assert ids_of(api.Fail, driver.decide(after=0.1)) == [ident]
    driver.complete([ident], after=1.0)
    assert ids_of(api.Fail, driver.actions) + ids_of(api.Reject, driver.actions) == [ident]


def test_a_disconnected_caller_gets_no_answer() -> None:
    driver = Driver(settings(reports_cancellation=True))
    ident, _ = driver.arrive(remaining_s=1.0)
    driver.decide(api.CallerDisconnected(ident))
    driver.decide(after=5.0)
    assert ids_of(api.Fail, driver.actions) + ids_of(api.Reject, driver.actions) == []
    driver.complete([ident])
    assert not driver.node.table.requests
    assert driver.node.memory.held_kb == pytest.approx(0.0)


def test_a_held_request_whose_caller_has_gone_never_runs() -> None:
    driver = Driver()
    running = [driver.arrive()[0] for _ in range(driver.node.concurrency.run_limit())]
    held, _ = driver.arrive()
    driver.decide(api.CallerDisconnected(held))
    driver.complete(running)
    assert held not in ids_of(api.Run, driver.actions)


def test_events_for_finished_requests_are_ignored() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    ident, _ = driver.arrive()
    driver.complete([ident])
    out = driver.decide(
        api.RunFinished(ident, api.Outcome.OK, 1.0),
        api.CallNeeded(ident),
        api.CallerDisconnected(ident),
        api.CallEnded(ident, api.Outcome.OK, 1.0),
        api.RunFinished(999, api.Outcome.MOOT, 0.0),
    )
    assert [a for a in out if not isinstance(a, api.Advertise)] == []


def test_a_request_that_can_no_longer_meet_its_objective_is_rejected_not_run() -> None:
    driver = Driver()
    running = [driver.arrive()[0] for _ in range(driver.node.concurrency.run_limit())]
    late, _ = driver.arrive()
    driver.complete(running, after=3.5)
    assert late in ids_of(api.Reject, driver.actions)
    assert late not in ids_of(api.Run, driver.actions)


@pytest.mark.parametrize("tick", [None, 0.0])
def test_an_answer_is_sent_before_its_deadline_without_a_tick_setting(tick: float | None) -> None:
    driver = Driver(settings(tick_s=tick))
    ident, _ = driver.arrive(remaining_s=1.0)
    assert ids_of(api.Reject, driver.decide(after=0.99)) == [ident]
