"""Idle connections: when they are closed early."""

import pytest
from world import Driver, actions_of, settings

from beechrock import interface as api


@pytest.mark.parametrize(("idle_s", "closed"), [(0.005, []), (0.01, [0.01]), (30.0, [3.0])])
def test_idle_connections_are_closed_within_the_allowed_range(idle_s: float, closed: list[float]) -> None:
    driver = Driver(settings(idle_timeout_s=idle_s, caller_count=9))
    driver.decide(after=2.0)
    assert [action.after_s for action in actions_of(api.CloseIdleConnections, driver.actions)] == closed


def test_connections_of_callers_that_seldom_return_are_closed_early() -> None:
    """Regression: a thousand callers filled a node's connection table; most attempts got no connection."""
    driver = Driver(settings(idle_timeout_s=30.0, caller_count=1000))
    driver.decide(after=2.0)
    assert actions_of(api.CloseIdleConnections, driver.actions) == [api.CloseIdleConnections(3.0)]
    few = Driver(settings(idle_timeout_s=30.0, caller_count=3))
    for _ in range(20):
        few.arrive()
        few.decide(after=0.1)
    assert few.actions and not few.node.idle_connections.callers_are_rare
    unknown = Driver(settings(idle_timeout_s=None, caller_count=None))
    unknown.decide(after=2.0)
    assert actions_of(api.CloseIdleConnections, unknown.actions) == []
