"""Tenants of a node: their fair shares of the traffic and their budgets."""

import math
from typing import NamedTuple

from beechrock import interface as api
from beechrock.policy.abacus import AbacusFilter
from beechrock.policy.context import Context, values_by_name
from beechrock.policy.requests import OpenRequest

TRAFFIC_DECAY = 0.995  # Factor on each tenant's traffic at every arrival, a mean over about 200 arrivals
# Requests per second: divisor in place of a quota of 0, smaller than any real quota.
MIN_QUOTA_PER_S = 1e-290
BUDGET_TOLERANCE = 1e-9  # Tolerance for rounding errors in the spent budget, in units


class TenantSpending(NamedTuple):
    """Budget spent by a tenant in a period (periods are counted from 0)."""

    spent: float
    period: float


class TenantShares:
    """Measures the traffic of tenants against their quotas."""

    def __init__(self, context: Context, abacus: AbacusFilter) -> None:
        self._context = context
        self._abacus = abacus
        self.traffic = [
            (tenant.traffic_share or 0.0) / (1 - TRAFFIC_DECAY) for tenant in context.settings.tenants
        ]

    def add(self, tenant_index: int | None) -> None:
        """Count the first attempt of a tenant's request."""
        self.traffic = [
            traffic * TRAFFIC_DECAY + (place == tenant_index) for place, traffic in enumerate(self.traffic)
        ]

    def weight(self, tenant: int | None) -> float:
        """Return the weight of a tenant's next request: 1 within its quota, less beyond it.

        The excess is relative to the tenant that exceeds its quota least.
        """
        settings = self._context.settings
        if settings.over_quota_weight is None or tenant is None or tenant >= len(self.traffic):
            return 1.0
        total = sum(self.traffic)
        arrival_rate = self._abacus.arrival_rate
        # Ratio of usage to quota. All requests exceed a quota of 0; without a quota the ratio is 1.
        usage_ratios = [
            1.0
            if entry.quota_per_s is None
            else traffic
            / (total or 1.0)
            * arrival_rate
            * (settings.fleet_size or 1)
            / max(entry.quota_per_s, MIN_QUOTA_PER_S)
            for traffic, entry in zip(self.traffic, settings.tenants, strict=True)
        ]
        present = (
            ratio for ratio, entry in zip(usage_ratios, settings.tenants, strict=True) if not entry.removed
        )
        lowest = min(present, default=1.0)
        within_quota = min(1.0, max(1.0, lowest) / max(1.0, usage_ratios[tenant]))
        return within_quota + (1 - within_quota) * settings.over_quota_weight

    def change_tenants(self, previous: api.Settings, current: api.Settings) -> None:
        """Keep the traffic of the tenants that remain."""
        self.traffic = values_by_name(self.traffic, previous.tenants, current.tenants, 0.0)


class TenantBudgets:
    """Spent budgets of tenants in the current periods; each node of the fleet has an equal part."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.spent = [0.0] * len(context.settings.tenants)
        self._periods = [0.0] * len(context.settings.tenants)

    def wait_s(self, entry: OpenRequest) -> float:
        """Return the seconds until the tenant's budget covers this request, 0 if it does."""
        place = entry.request.tenant_index
        tenants = self._context.settings.tenants
        if place is None or place >= len(tenants) or not (budget := tenants[place].budget):
            return 0.0
        now_s = self._context.now_s
        period_s = tenants[place].budget_period_s or math.inf
        period = now_s // period_s
        if period != self._periods[place]:
            self._periods[place] = period
            self.spent[place] = 0.0
        node_budget = budget / (self._context.settings.fleet_size or 1)
        over = self.spent[place] + entry.request_class.budget_cost > node_budget + BUDGET_TOLERANCE
        return (period + 1) * period_s - now_s if over else 0.0

    def spending(self) -> list[TenantSpending]:
        """Return the budget spent by each tenant, in the order of the settings."""
        return [TenantSpending(*pair) for pair in zip(self.spent, self._periods, strict=True)]

    def spend(self, entry: OpenRequest) -> None:
        """Charge the cost of an admitted request to its tenant."""
        place = entry.request.tenant_index
        if place is not None and place < len(self.spent):
            entry.budget_period = self._periods[place]
            self.spent[place] += entry.request_class.budget_cost

    def refund(self, entry: OpenRequest) -> None:
        """Refund the cost of a request that never ran, if its budget period is still current."""
        place = entry.request.tenant_index or 0
        if entry.budget_period is not None and entry.budget_period == self._periods[place]:
            self.spent[place] -= entry.request_class.budget_cost

    def change_tenants(self, previous: api.Settings, current: api.Settings) -> None:
        """Keep the spent budgets of the tenants that remain."""
        old, new = previous.tenants, current.tenants
        self.spent = values_by_name(self.spent, old, new, 0.0)
        self._periods = values_by_name(self._periods, old, new, 0.0)
