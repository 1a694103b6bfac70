"""Other process of the same node: its load counts against the node's limits."""

from world import Driver, ids_of, settings

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.other_process import OtherProcess, remaining_limit


def test_runs_of_another_process_reduce_the_run_limit_by_at_most_half() -> None:
    driver = Driver(settings(cores=3))
    alone = driver.node.concurrency.run_limit()
    assert alone == 3
    for runs, left in ((1, 2), (2, 1), (9, 1), (0, alone)):
        driver.decide(api.OtherProcessLoad(runs))
        assert driver.node.concurrency.run_limit() == left


def test_memory_and_calls_of_another_process_count_against_the_limits() -> None:
    driver = Driver()
    driver.decide(api.OtherProcessLoad(held_kb=90_000.0))
    ident, actions = driver.arrive()
    assert ids_of(api.Reject, actions) == [ident]
    driver.decide(api.OtherProcessLoad())
    ident, actions = driver.arrive()
    assert ids_of(api.Run, actions) == [ident]
    calling = Driver(
        settings(downstream=api.Downstream.SHARED, shared_call_limit=2.5, shared_call_window_s=5.0)
    )
    first, second = (calling.arrive()[0] for _ in range(2))
    calling.decide(api.OtherProcessLoad(open_calls=1))
    actions = calling.decide(api.CallNeeded(first), api.CallNeeded(second))
    assert len(ids_of(api.Call, actions)) == 1  # Without the other process two calls are allowed
    calling.decide(api.OtherProcessLoad())
    assert len(ids_of(api.Call, calling.actions)) == 2


def test_launches_of_a_process_that_left_count_for_one_window() -> None:
    context = Context(settings(overload_window_s=2.0), 100.0)
    other = OtherProcess(context)
    assert other.launches() is None
    other.update(api.OtherProcessLoad(running=7))
    assert other.launches() == 7
    other.update(api.OtherProcessLoad(present=False))
    assert other.launches() == 7
    context.now_s = 102.0
    assert other.launches() is None


def test_at_least_half_of_a_limit_remains_beside_another_process() -> None:
    assert (remaining_limit(8.0, 3), remaining_limit(8.0, 7)) == (5.0, 4.0)
