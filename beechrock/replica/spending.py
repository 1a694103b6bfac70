"""Gives the decision module this node's lease of each budget, in place of a fixed share. Pure.

The module counts spending by periods of its own clock and divides a budget by ``fleet_size``, so it gets the
lease's amount times that. A share of zero is given as NOTHING, because 0 means that there is no budget.

Invariant: before each batch that the module decides, its settings hold no more than the lease's cap for the
period of that batch, evaluated at that moment. So after a pause, or at a period's end, the cap is lowered
before any request is decided.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from beechrock import interface as api
from beechrock.policy.tenants import TenantSpending
from beechrock.replica.holder import Holder
from beechrock.replica.leases import PotKey

NOTHING = 1e-12  # Stands for a budget of zero.


class DecisionModule(Protocol):
    """The decision module as used here: its settings, and what each tenant has spent in which period."""

    @property
    def settings(self) -> api.Settings:
        """The settings by which it decides now."""

    def tenant_spending(self) -> list[TenantSpending]:
        """Return what each tenant has spent, in the order of the settings."""


def pot_of(tenant: api.TenantSettings, now: float) -> PotKey | None:
    """Return the pot of a tenant at this time, or None without a budget. Periods count from 1; a budget
    without a period has only that one."""
    if not tenant.budget or not tenant.name:
        return None
    period_s = tenant.budget_period_s or math.inf
    return "budget", tenant.name, 1 + int(now // period_s)


@dataclass(slots=True)
class Spending:
    """The budgets of the decision module at one node."""

    holder: Holder
    clock: Callable[[], float]  # The clock of the leases.
    may_spend: Callable[[], bool]  # Returns whether this node may spend at all.
    generation: Callable[[], int]  # Returns the agreed inventory's generation if this node runs it, else 0.
    inventory_settings: api.Settings | None = None  # The inventory's settings, with whole budgets.
    caps_changed: bool = True  # Whether a cap may have changed since the last settings.
    until_s: float = -math.inf  # Earliest end of a current period, by the module's clock.
    from_s: float = -math.inf  # Latest start of a current period, by the module's clock.
    # By team and period: the total amounts spent and given back.
    totals: dict[tuple[str, int], tuple[float, float]] = field(default_factory=dict)
    # By team and period: the net amount spent before the module's present count. The module starts a new
    # count with each period, even one that it enters again because its clock went back.
    count_base: dict[tuple[str, int], float] = field(default_factory=dict)
    # By team: the module's period and count.
    last_count: dict[str, tuple[int, float]] = field(default_factory=dict)

    def settings(self, now: float, inventory_settings: api.Settings) -> api.Settings:
        """Take new settings from the inventory, with whole budgets; return them with this node's shares."""
        self.inventory_settings = inventory_settings
        return self._with_shares(now, inventory_settings)

    def changed_settings(self, now: float, node: DecisionModule) -> api.Settings | None:
        """Return new settings if any share has changed, else None. Called before each batch."""
        ended = self.holder.look(self.clock())
        if self.inventory_settings is None or not (
            ended or self.caps_changed or not self.from_s <= now < self.until_s
        ):
            return None
        self.read_spending(now, node)
        settings = self._with_shares(now, self.inventory_settings)
        if [t.budget for t in settings.tenants] == [
            t.budget for t in node.settings.tenants[: len(settings.tenants)]
        ]:
            return None
        return replace(node.settings, tenants=settings.tenants)

    def _with_shares(self, now: float, inventory_settings: api.Settings) -> api.Settings:
        size, tenants, wanted = inventory_settings.fleet_size or 1, [], dict[PotKey, tuple[float, int]]()
        self.from_s, self.until_s = -math.inf, math.inf
        pots = [pot_of(tenant, now) for tenant in inventory_settings.tenants]
        for tenant, pot in zip(inventory_settings.tenants, pots, strict=True):
            if pot is not None:
                wanted[pot] = tenant.budget or 0.0, self.generation()
                if tenant.budget_period_s:
                    self.until_s = min(self.until_s, pot[2] * tenant.budget_period_s)
                    self.from_s = max(self.from_s, (pot[2] - 1) * tenant.budget_period_s)
        self.holder.pots(wanted)
        for tenant, pot in zip(inventory_settings.tenants, pots, strict=True):
            if pot is not None:
                tenant = replace(tenant, budget=max(NOTHING, self._share(pot) * size))
            tenants.append(tenant)
        self.caps_changed = False
        return replace(inventory_settings, tenants=tuple(tenants))

    def _share(self, pot: PotKey) -> float:
        """Return the amount that the module's own count for a pot may reach; it started at ``count_base``."""
        if pot not in self.holder.current:
            return 0.0
        holding, team_period = self.holder.holdings[pot], pot[1:]
        cap = holding.cap if self.may_spend() else min(holding.spent, holding.limit)
        counting = self.last_count.get(pot[1], (0, 0.0))[0] == pot[2]
        return cap - (self.count_base.get(team_period, 0.0) if counting else self._net(team_period))

    def _net(self, team_period: tuple[str, int]) -> float:
        spent, back = self.totals.get(team_period, (0.0, 0.0))
        return spent - back

    def read_spending(self, now: float, node: DecisionModule) -> list[tuple[str, int, float, float]]:
        """Read what the module has spent, and report it to the holder. Return the changed totals for the
        records: team, period, amounts spent and given back."""
        if self.inventory_settings is None:
            return []
        changed = []
        for tenant, (spent, period) in zip(
            self.inventory_settings.tenants, node.tenant_spending(), strict=False
        ):
            if pot_of(tenant, now) is None:
                continue
            team_period = tenant.name, 1 + int(period)
            before = self.last_count.get(tenant.name)
            if before is None or before[0] != team_period[1]:
                self.count_base[team_period] = self._net(team_period)
                before = team_period[1], 0.0
            self.last_count[tenant.name] = team_period[1], spent
            if spent != before[1]:
                spent_before, back = self.totals.get(team_period, (0.0, 0.0))
                self.totals[team_period] = (
                    spent_before + max(0.0, spent - before[1]),
                    back + max(0.0, before[1] - spent),
                )
                changed.append((*team_period, *self.totals[team_period]))
            if (pot := ("budget", *team_period)) in self.holder.holdings:
                self.holder.used(self.clock(), pot, self._net(team_period))
        self._forget()
        return changed

    def _forget(self) -> None:
        """Drop the totals of periods that the holder has forgotten, in which nothing can be spent again."""
        for team_period in [
            key
            for key in self.totals.keys() | self.count_base.keys()
            if key[1] <= self.holder.forgotten_upto.get(key[0], 0)
        ]:
            self.totals.pop(team_period, None)
            self.count_base.pop(team_period, None)
