"""Admission: accepts or rejects requests by predicted wait, objective and value."""

from dataclasses import replace

from policy_helpers import two_objectives
from world import SAFE, Driver, actions_of, ids_of, settings

from beechrock import interface as api
from beechrock.policy.admission import MAX_WAIT_SHARE


def count_rejected(driver: Driver, class_index: int, times: int) -> int:
    return sum(len(actions_of(api.Reject, driver.arrive(class_index)[1])) for _ in range(times))


def test_all_requests_are_accepted_before_the_first_completion() -> None:
    driver = Driver()
    for _ in range(20):
        driver.arrive()
    assert actions_of(api.Reject, driver.actions) == []


def test_a_request_that_can_start_in_time_is_accepted_and_others_are_rejected_at_arrival() -> None:
    driver = Driver()
    driver.warm_up()
    kept, actions = driver.arrive()
    assert ids_of(api.Reject, actions) == []
    rejected = [i for i, out in (driver.arrive() for _ in range(100)) if ids_of(api.Reject, out) == [i]]
    assert kept not in rejected
    assert len(rejected) > 50


def test_a_request_with_a_short_objective_is_accepted_before_a_queue_of_longer_ones() -> None:
    driver = two_objectives()
    assert count_rejected(driver, 1, 10) == 0
    assert driver.node.cores.wait(driver.node.table.work_ahead) > 0.95 * 1.8
    assert count_rejected(driver, 0, 1) == 0


def test_a_request_with_a_short_objective_is_rejected_behind_a_queue_of_its_own_class() -> None:
    driver = two_objectives()
    assert 0 < count_rejected(driver, 0, 15) < 15
    assert driver.node.cores.wait(driver.node.table.work_ahead) <= 0.95 * 2.0


def test_the_queue_is_bounded_by_the_mean_objective_for_longer_objectives_too() -> None:
    driver = two_objectives()
    assert 0 < count_rejected(driver, 1, 24) < 24
    assert driver.node.cores.wait(driver.node.table.work_ahead) <= 0.95 * 3.0


def test_under_overload_the_class_with_less_value_per_work_is_rejected_first() -> None:
    cheap, dear = SAFE, replace(SAFE, priority_weight=9.0)
    driver = Driver(settings(classes=(cheap, dear)))
    driver.warm_up()
    while not count_rejected(driver, 0, 1):
        pass
    assert count_rejected(driver, 1, 1) == 0
    while not count_rejected(driver, 1, 1):
        pass
    assert (
        driver.node.cores.wait(driver.node.table.work_ahead) > 0.5 * MAX_WAIT_SHARE * SAFE.latency_objective_s
    )


def test_a_priority_weight_per_work_does_not_reject_heavy_classes_earlier() -> None:
    node_settings = settings(classes=(SAFE, replace(SAFE, name="heavy")), priority_weight_per_work=True)
    driver = Driver(node_settings)
    driver.warm_up()
    driver.node.statistics.work_by_class = [0.2, 1.8]
    rejections = [len(actions_of(api.Reject, driver.arrive(class_index)[1])) for class_index in (1, 0)]
    assert rejections == [0, 0]
    same = Driver(replace(node_settings, priority_weight_per_work=False))
    same.warm_up()
    same.node.statistics.work_by_class = [0.2, 1.8]
    heavy = [actions_of(api.Reject, same.arrive(1)[1]) for _ in range(9)]
    plain = [actions_of(api.Reject, driver.arrive(1)[1]) for _ in range(9)]
    assert sum(map(bool, heavy)) > sum(map(bool, plain))
