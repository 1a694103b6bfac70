"""Throughput meter: rates and predicted waits."""

import pytest
from world import Driver, settings

from beechrock.policy.meter import ThroughputMeter


def test_the_rate_falls_while_full_cores_complete_nothing() -> None:
    driver = Driver()
    driver.warm_up()
    before = driver.node.cores.wait(10.0)
    driver.decide(after=3.0)
    assert driver.node.cores.wait(10.0) > 1.4 * before


def test_light_load_does_not_look_like_slowness() -> None:
    driver = Driver()
    driver.warm_up()
    driver.complete(driver.running)
    before = driver.node.cores.wait(10.0)
    driver.decide(after=20.0)
    assert driver.node.cores.wait(10.0) == pytest.approx(before)


def test_work_hints_weight_the_predicted_wait() -> None:
    waits = []
    for work in (0.1, 1.0):
        driver = Driver(settings(cores=8))
        driver.complete([driver.arrive(work_hint_s=0.1)[0]], after=0.1)
        driver.arrive(work_hint_s=0.1)
        driver.arrive(work_hint_s=work)
        waits.append(driver.node.cores.wait(driver.node.table.work_ahead))
    assert waits[1] > 3 * waits[0]


def test_a_meter_predicts_no_wait_before_a_completion_and_then_uses_its_rate() -> None:
    meter = ThroughputMeter(memory_s=1e6)
    assert meter.wait(10.0) == 0.0
    meter.advance(2.0, fullness=1.0)
    meter.add(4.0)
    assert meter.wait(10.0) == pytest.approx(5.0)
    meter.advance(3.0, fullness=0.0)  # An idle pause doesn't count as slowness
    assert meter.wait(10.0) == pytest.approx(5.0)
