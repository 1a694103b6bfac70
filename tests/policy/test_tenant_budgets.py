"""Tenant budgets per period: admission charges the cost, and a request that never ran is refunded."""

import pytest
from world import Driver, actions_of, ids_of, settings

from beechrock import interface as api

PERIOD_S = 60.0
LIMITED = api.TenantSettings(0.5, 100.0, budget=4.0, budget_period_s=PERIOD_S)
UNLIMITED = api.TenantSettings(0.5, 100.0)


def driver(**changes: object) -> Driver:
    return Driver(settings(tenants=(LIMITED, UNLIMITED), fleet_size=2, **changes))


def test_a_tenant_beyond_its_budget_is_rejected_until_the_period_ends() -> None:
    d = driver()  # Two nodes, each with half of the budget
    for _ in range(2):
        ident, actions = d.arrive(tenant_index=0)
        assert ids_of(api.Run, actions) == [ident]
        d.complete([ident], after=0.1)
    _, actions = d.arrive(tenant_index=0)
    refusal = actions_of(api.Reject, actions)[0]
    assert refusal.no_retry
    assert refusal.retry_after_s == pytest.approx(120.0 - d.now)  # The driver's clock starts at 100
    other, actions = d.arrive(tenant_index=1)
    assert ids_of(api.Reject, actions) == []
    d.complete([other], after=0.1)
    d.decide(after=refusal.retry_after_s + 0.001)
    ident, actions = d.arrive(tenant_index=0)
    assert ids_of(api.Run, actions) == [ident]
    assert d.node.budgets.spent == [1.0, 1.0]


def test_a_costlier_class_is_charged_more_and_a_request_that_never_ran_nothing() -> None:
    dear = api.ClassSettings(latency_objective_s=3.0, deadline_s=9.0, budget_cost=2.0)
    d = driver(classes=(dear,), cores=1)
    running = [d.arrive(tenant_index=1)[0] for _ in range(int(d.node.concurrency.limit))]
    held, actions = d.arrive(tenant_index=0)
    assert ids_of(api.Run, actions) == []
    assert d.node.budgets.spent[0] == 2.0
    assert len(actions_of(api.Reject, d.arrive(tenant_index=0)[1])) == 1
    d.decide(api.CallerDisconnected(held))
    assert d.node.budgets.spent[0] == 0.0
    d.complete(running)


def test_tenants_without_a_budget_and_unknown_ones_are_not_limited() -> None:
    d = driver()
    for tenant in (1, None, 9):
        for _ in range(5):
            ident, actions = d.arrive(tenant_index=tenant)
            assert ids_of(api.Reject, actions) == []
            d.complete([ident])
