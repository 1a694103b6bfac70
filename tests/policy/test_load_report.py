"""Load reports: the values advertised to callers."""

import pytest
from world import Driver, actions_of, settings

from beechrock import interface as api


def test_a_draining_node_advertises_full_load_only_near_the_end_of_its_grace() -> None:
    driver = Driver(settings(load_report_kind=api.LoadReportKind.FLOOR))
    driver.decide(api.ShutdownNotice(9.0))
    driver.decide(after=1.9)
    assert [a.value for a in actions_of(api.Advertise, driver.actions)] == [0.0]
    driver.decide(after=0.2)
    assert [a.value for a in actions_of(api.Advertise, driver.actions)] == [0.0, 1.0]


@pytest.mark.parametrize("say", list(api.LoadReportKind))
def test_the_advertised_value_asks_for_less_under_load_and_for_nothing_in_a_drain(
    say: api.LoadReportKind,
) -> None:
    driver = Driver(settings(load_report_kind=say, caller_count=2))
    driver.warm_up()
    for _ in range(100):
        driver.arrive(1)
    driver.decide(api.ShutdownNotice(5.0))
    driver.decide(after=2.1)
    values = [a.value for a in actions_of(api.Advertise, driver.actions)]
    if say is api.LoadReportKind.NONE:
        assert values == []
    elif say is api.LoadReportKind.FLOOR:
        assert values[0] == 0.0
        assert max(values[:-1]) > 0.5
        assert values[-1] == 1.0
    else:
        assert min(values[:-1]) < values[0] / 1.2
        assert values[-1] == 0.0


def test_unread_time_makes_the_node_ask_for_less_and_decays_afterwards() -> None:
    driver = Driver(settings(load_report_kind=api.LoadReportKind.WEIGHT))
    for _ in range(20):
        ident, _ = driver.arrive(age_s=2.0)
        driver.complete([ident], after=0.01)
    assert actions_of(api.Advertise, driver.actions)[-1].value == 0.0
    driver.decide(after=15.0)
    assert actions_of(api.Advertise, driver.actions)[-1].value == 1.0
