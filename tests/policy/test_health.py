"""Health advice: when a node becomes unhealthy and healthy again."""

from world import Driver, actions_of

from beechrock import interface as api


def overload_unread(driver: Driver, completes: bool) -> None:
    """Send requests that waited long to be read, while full cores complete some runs or none."""
    driver.warm_up(per_second=4.0, seconds=8.0)
    for _ in range(16):
        driver.arrive(age_s=2.5)
        if completes:
            driver.complete([driver.running.pop(0)], after=0.25)
            driver.running.append(driver.arrive(age_s=1.0)[0])
        else:
            driver.decide(after=0.25)


def test_a_stalled_node_with_many_unread_requests_is_unhealthy_until_that_ends() -> None:
    driver = Driver()
    overload_unread(driver, completes=False)
    assert actions_of(api.Health, driver.actions) == [api.Health(True), api.Health(False)]
    driver.decide(after=12.0)
    assert actions_of(api.Health, driver.actions)[-1] == api.Health(True)


def test_load_alone_never_makes_a_node_unhealthy() -> None:
    driver = Driver()
    overload_unread(driver, completes=True)
    assert driver.node.health.unread_s > 1.0
    assert actions_of(api.Health, driver.actions) == [api.Health(True)]
