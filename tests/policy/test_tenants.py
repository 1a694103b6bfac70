"""Fair shares of tenants: the weights of their requests."""

import pytest
from world import Driver, settings

from beechrock import interface as api


def test_a_tenant_beyond_its_quota_has_a_lower_weight_than_others() -> None:
    """Regression: traffic beyond a quota, of little value, took the calls that other tenants needed."""
    tenants = (api.TenantSettings(0.5, 1.0), api.TenantSettings(0.5, 1.0))
    driver = Driver(settings(tenants=tenants, over_quota_weight=0.1, fleet_size=1))
    driver.warm_up()
    for _ in range(80):
        driver.arrive(tenant_index=0, remaining_s=0.1)
        driver.decide(after=0.05)
    node = driver.node
    assert node.shares.weight(1) == 1.0
    assert node.shares.weight(0) < 0.9
    assert node.shares.weight(None) == node.shares.weight(7) == 1.0


def test_no_tenant_loses_weight_while_all_stay_within_their_quotas() -> None:
    tenants = (api.TenantSettings(0.5, 100.0), api.TenantSettings(0.5, 100.0))
    driver = Driver(settings(tenants=tenants, over_quota_weight=0.1, fleet_size=1))
    for _ in range(40):
        driver.arrive(tenant_index=0)
        driver.decide(after=0.05)
    assert driver.node.shares.weight(0) == 1.0


def test_all_traffic_exceeds_a_quota_of_0_and_none_exceeds_an_absent_quota() -> None:
    tenants = (api.TenantSettings(0.5, 0.0), api.TenantSettings(0.5, None), api.TenantSettings(0.5, 100.0))
    driver = Driver(settings(tenants=tenants, over_quota_weight=0.1))
    for _ in range(40):
        driver.arrive(tenant_index=0)
        driver.decide(after=0.2)
    assert driver.node.shares.weight(0) == pytest.approx(0.1, abs=0.01)
    assert driver.node.shares.weight(1) == driver.node.shares.weight(2) == 1.0
