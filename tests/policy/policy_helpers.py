"""Request classes, settings and scenarios shared by the tests of the decision module."""

from dataclasses import replace

from world import SAFE, Driver, settings

from beechrock import interface as api

CALLING = api.ClassSettings(latency_objective_s=3.0, deadline_s=9.0, may_call=True)


SKIPPING = api.ClassSettings(latency_objective_s=3.0, deadline_s=9.0, may_call=True, skip_value_share=0.5)


KEYED_CALLING = api.ClassSettings(
    latency_objective_s=3.0,
    deadline_s=9.0,
    idempotency=api.Idempotency.KEYED,
    idempotency_window_s=30.0,
    may_call=True,
)


SHARED_DEPENDENCY = {
    "downstream": api.Downstream.SHARED,
    "shared_call_limit": 5.0,
    "abandoned_call_linger_s": 0.2,
    "shared_call_window_s": 5.0,
    "classes": (CALLING, SKIPPING, KEYED_CALLING),
}


def arrive_and_call(driver: Driver, class_index: int = 0) -> tuple[int, list[api.Action]]:
    ident, _ = driver.arrive(class_index)
    return ident, driver.decide(api.CallNeeded(ident))


# A node with three cores that completes four requests a second, and two classes with different objectives.
# Under overload, with each request bounded by its own objective alone, every rejection hit the class with the
# shorter objective, although its requests overtake the others.
def two_objectives() -> Driver:
    short, long = replace(SAFE, latency_objective_s=2.0), replace(SAFE, latency_objective_s=4.0)
    driver = Driver(settings(cores=3, classes=(short, long)))
    driver.warm_up()
    driver.node.statistics.work_by_class = [1.0, 1.0]
    return driver
