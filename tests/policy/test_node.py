"""Node: its timer, minimal settings, and equal actions for equal events."""

import pytest
from world import PLAIN, Driver, actions_of, ids_of

from beechrock import interface as api


def test_a_timer_is_set_for_the_earliest_due_moment() -> None:
    driver = Driver()
    _, actions = driver.arrive(remaining_s=0.4)
    assert actions_of(api.SetTimer, actions)[0].delay_s == pytest.approx(0.4 - 3 * 0.005)
    _, later = driver.arrive(remaining_s=8.0)
    assert actions_of(api.SetTimer, later) == []


def test_a_node_with_only_the_required_settings_serves_requests() -> None:
    driver = Driver(api.Settings(cores=1, memory_kb=1000.0, classes=(api.ClassSettings(1.0, 3.0),)))
    ident, actions = driver.arrive(remaining_s=None)
    assert ids_of(api.Run, actions) == [ident]
    driver.complete([ident], after=0.5)
    assert actions_of(api.Advertise, driver.actions) == []


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[api.Action]:
        driver = Driver(PLAIN, seed=5)
        driver.warm_up()
        for _ in range(30):
            driver.arrive(1)
        return driver.actions

    assert play() == play()


def test_no_timer_is_set_for_a_kill_time_in_the_past() -> None:
    """Regression: after nine tenths of the notice a timer was set on every tick until the process ended."""
    driver = Driver()
    driver.decide(api.ShutdownNotice(4.0))
    actions = driver.decide(api.TimerFired(0), after=3.7)
    assert all(timer.delay_s > 0 for timer in actions_of(api.SetTimer, actions))
