"""Run statistics by class."""

from dataclasses import replace

import pytest
from world import KEYED, SAFE, Driver, settings

from beechrock import interface as api


def test_work_is_learnt_by_class_from_the_time_on_the_cores() -> None:
    """Regression at a site without hints: a class with a third of the work counted as much as the others."""
    driver = Driver(settings(cores=4))
    for _ in range(200):
        light, heavy = driver.arrive(0)[0], driver.arrive(1)[0]
        driver.complete([light], after=0.1)
        driver.complete([heavy], after=0.3)
    node = driver.node
    assert node.statistics.work_by_class[1] == pytest.approx(4 * node.statistics.work_by_class[0], rel=0.1)
    assert node.statistics.work_by_class[2] == 1.0
    changed = replace(node.settings, classes=(node.settings.classes[0], replace(KEYED, name="new"), SAFE))
    learnt = node.statistics.work_by_class[0]
    driver.decide(api.SettingsChanged(changed))
    assert node.statistics.work_by_class == [learnt, 1.0, 1.0]


def test_time_spent_in_a_call_does_not_count_as_work() -> None:
    driver = Driver(settings(cores=4, downstream=api.Downstream.TIER))
    for _ in range(100):
        ident, _ = driver.arrive(0)
        driver.decide(api.CallNeeded(ident), after=0.1)
        driver.decide(api.CallEnded(ident, api.Outcome.OK, 2.0), after=2.0)
        driver.complete([ident], after=0.1)
    assert driver.node.statistics.run_s == pytest.approx(0.2, rel=0.1)
