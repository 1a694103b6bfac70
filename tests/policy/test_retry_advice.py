"""Retry advice: the Retry-After and the no-retry flag of rejections."""

import pytest
from policy_helpers import two_objectives
from world import Driver, actions_of, settings

from beechrock import interface as api
from beechrock.policy.admission import MAX_WAIT_SHARE


def reject_only_this_class(**changes: float) -> api.Reject:
    """Return the rejection of a short objective behind its own class, while longer objectives still fit."""
    driver = two_objectives()
    for name, value in changes.items():
        setattr(driver.node.abacus if name.endswith("_rate") else driver.node.statistics, name, value)
    while not (rejects := actions_of(api.Reject, driver.arrive(0)[1])):
        pass
    wait_s = driver.node.cores.wait(driver.node.table.work_ahead)
    assert wait_s < MAX_WAIT_SHARE * driver.node.context.mean_objective_s
    return rejects[0]


def overloaded_node() -> Driver:
    """Return a node whose queue is full even for the class with the highest priority weight."""
    driver = Driver()
    driver.warm_up()
    for _ in range(100):
        driver.arrive(1)
    return driver


def test_rejections_have_a_retry_after_while_tokens_last_and_then_ask_not_to_retry() -> None:
    driver = overloaded_node()
    driver.node.abacus.tokens[3] = 1
    driver.node.table.work_ahead *= 1.1
    driver.node.abacus.tokens[9:] = [0] * len(driver.node.abacus.tokens[9:])
    _, first = driver.arrive(1)
    _, second = driver.arrive(1)
    assert actions_of(api.Reject, first)[0].retry_after_s == driver.node.abacus.first_offset_s
    assert not actions_of(api.Reject, first)[0].no_retry
    assert actions_of(api.Reject, second)[0].retry_after_s is None
    assert actions_of(api.Reject, second)[0].no_retry


def test_rejections_take_no_token_before_a_rate_is_known() -> None:
    driver = Driver(settings(memory_kb=1000.0))
    driver.node.abacus.tokens[3] = 5
    driver.node.table.requests.clear()
    request_id, _ = driver.arrive()
    driver.node.retry_advice.reject_overload(driver.node.table.requests[request_id])
    refusal = actions_of(api.Reject, driver.decide())[0]
    assert refusal.retry_after_s == pytest.approx(driver.node.abacus.slot_s)
    assert driver.node.abacus.tokens[3] == 5


def test_no_retry_after_is_sent_if_the_settings_forbid_it() -> None:
    driver = Driver(settings(sends_retry_after=False))
    driver.warm_up()
    for _ in range(100):
        driver.arrive()
    assert {r.retry_after_s for r in actions_of(api.Reject, driver.actions)} == {None}


def test_callers_are_asked_not_to_retry_if_reading_costs_more_than_a_retry_may_gain() -> None:
    """Reading takes 3% of a run at one site and 25% at another, where retries on more nodes cost too much."""
    assert not reject_only_this_class(arrival_rate=6.0, peak_rate=4.0, read_s=0.01, run_s=0.3).no_retry
    assert reject_only_this_class(arrival_rate=6.0, peak_rate=4.0, read_s=0.1, run_s=0.3).no_retry
    assert not reject_only_this_class(arrival_rate=3.0, peak_rate=4.0, read_s=0.1, run_s=0.3).no_retry


def test_a_rejection_of_one_class_has_no_retry_after_for_the_sake_of_the_others() -> None:
    """Regression (over a tier): front ends stayed away with all classes for a second, and cores idled."""
    assert reject_only_this_class().retry_after_s is None
