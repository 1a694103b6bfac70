"""Concurrency limit: runs, including those that return from calls, stay below the survivable number."""

import pytest
from policy_helpers import SHARED_DEPENDENCY, arrive_and_call
from world import Driver, ids_of, settings

from beechrock import interface as api
from beechrock.policy.phases import RUNNING


def test_runs_never_exceed_the_survivable_number_whatever_the_gauges_say() -> None:
    driver = Driver(settings(overload_multiple=1.5))
    for _ in range(60):
        driver.arrive()
        driver.decide(api.TimerFired(0, api.Gauges(cpu_busy=0.1, runnable=0.0)), after=0.02)
    assert driver.node.table.count[RUNNING] <= 1.5 * 2


def test_the_run_limit_follows_the_gauges_both_ways() -> None:
    driver = Driver()
    for _ in range(6):
        driver.arrive()
    start = driver.node.concurrency.limit
    driver.decide(api.TimerFired(0, api.Gauges(cpu_busy=0.5, runnable=1.0)))
    assert driver.node.concurrency.limit > start
    driver.decide(api.TimerFired(0, api.Gauges(cpu_busy=1.0, runnable=9.0)))
    driver.decide(api.TimerFired(0, api.Gauges(cpu_busy=1.0, runnable=9.0)))
    assert driver.node.concurrency.limit < start + 0.5
    driver.decide(api.TimerFired(0, api.Gauges()))


def test_calls_do_not_exceed_the_safe_number_of_runs_if_the_mean_is_near_it() -> None:
    """Regression: each run that returned from its call was replaced, so that the mean stayed too high."""
    driver = Driver(
        settings(**{**SHARED_DEPENDENCY, "downstream": api.Downstream.TIER, "overload_multiple": 2.0})
    )
    driver.complete([driver.arrive()[0]], after=0.05)
    driver.node.concurrency.mean_running = 2.9
    for _ in range(6):
        arrive_and_call(driver)
    assert len(ids_of(api.Call, driver.actions)) == 3  # Two cores survive 4


@pytest.mark.parametrize(("age_s", "most"), [(0.05, 16), (1.9, 6), (6.0, 16)])
def test_a_long_run_limits_calls_until_it_is_in_the_mean_of_the_runs(age_s: float, most: int) -> None:
    """Regression: runs hung or cores became slow, and calls were issued by the time of ended runs."""
    node_settings = {
        **SHARED_DEPENDENCY,
        "downstream": api.Downstream.TIER,
        "shared_call_limit": None,
        "overload_multiple": 4.0,
    }
    driver = Driver(settings(**node_settings))  # The node survives overload for 2 s
    driver.complete([driver.arrive()[0]], after=0.05)
    driver.arrive()
    driver.decide(after=age_s)
    for _ in range(20):
        arrive_and_call(driver)
    assert len(ids_of(api.Call, driver.actions)) == most


def test_a_cold_node_lets_fewer_runs_on_its_cores_than_a_warm_one() -> None:
    cold = Driver(settings(slow_start=True, overload_multiple=2.0))
    warm = Driver(settings(overload_multiple=2.0))
    assert cold.node.concurrency.run_limit() < warm.node.concurrency.run_limit()
    cold.decide(after=16.0)
    assert cold.node.concurrency.run_limit() == warm.node.concurrency.run_limit()


def test_the_run_limit_starts_and_stays_below_the_number_at_which_cores_slow_down() -> None:
    driver = Driver(settings(cores=10))
    assert driver.node.concurrency.limit == 12.0
    running = [driver.arrive()[0] for _ in range(14)]
    driver.decide(api.TimerFired(0, api.Gauges(cpu_busy=1.0, runnable=12.5)))
    assert driver.node.concurrency.limit == 11.5
    driver.decide(api.TimerFired(0, api.Gauges(cpu_busy=1.0, runnable=12.0)))
    assert driver.node.concurrency.limit == 11.5 and running
