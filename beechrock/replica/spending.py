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


class Deciding(Protocol):
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
    holder: Holder
    clock: Callable[[], float]  # The clock of the leases.
    may: Callable[[], bool]  # Returns whether this node may spend at all.
    number: Callable[[], int]  # Returns the agreed inventory's generation if this node runs it, else 0.
    told: api.Settings | None = None  # The inventory's settings, with whole budgets.
    fresh: bool = True  # Whether a cap may have changed since the last settings.
    until_s: float = -math.inf  # Earliest end of a current period, by the module's clock.
    from_s: float = -math.inf  # Latest start of a current period, by the module's clock.
    # By team and period: the total amounts spent and given back.
    went: dict[tuple[str, int], tuple[float, float]] = field(default_factory=dict)
    # By team and period: the net amount spent before the module's present count. The module starts a new
    # count with each period, even one that it enters again because its clock went back.
    base: dict[tuple[str, int], float] = field(default_factory=dict)
    # By team: the module's period and count.
    last: dict[str, tuple[int, float]] = field(default_factory=dict)

    def settings(self, now: float, told: api.Settings) -> api.Settings:
        """Take new settings from the inventory, with whole budgets; return them with this node's shares."""
        self.told = told
        return self._parts(now, told)

    def due(self, now: float, node: Deciding) -> api.Settings | None:
        """Return new settings if any share has changed, else None. Called before each batch."""
        ended = self.holder.look(self.clock())
        if self.told is None or not (ended or self.fresh or not self.from_s <= now < self.until_s):
            return None
        self.note(now, node)
        settings = self._parts(now, self.told)
        if [t.budget for t in settings.tenants] == [
            t.budget for t in node.settings.tenants[: len(settings.tenants)]
        ]:
            return None
        return replace(node.settings, tenants=settings.tenants)

    def _parts(self, now: float, told: api.Settings) -> api.Settings:
        size, tenants, wanted = told.fleet_size or 1, [], dict[PotKey, tuple[float, int]]()
        self.from_s, self.until_s = -math.inf, math.inf
        pots = [pot_of(tenant, now) for tenant in told.tenants]
        for tenant, pot in zip(told.tenants, pots, strict=True):
            if pot is not None:
                wanted[pot] = tenant.budget or 0.0, self.number()
                if tenant.budget_period_s:
                    self.until_s = min(self.until_s, pot[2] * tenant.budget_period_s)
                    self.from_s = max(self.from_s, (pot[2] - 1) * tenant.budget_period_s)
        self.holder.pots(wanted)
        for tenant, pot in zip(told.tenants, pots, strict=True):
            if pot is not None:
                tenant = replace(tenant, budget=max(NOTHING, self._part(pot) * size))
            tenants.append(tenant)
        self.fresh = False
        return replace(told, tenants=tuple(tenants))

    def _part(self, pot: PotKey) -> float:
        """Return the share of a pot that the module may reach in its own count, which started at ``base``."""
        if pot not in self.holder.current:
            return 0.0
        one, place = self.holder.holdings[pot], pot[1:]
        cap = one.cap if self.may() else min(one.spent, one.most)
        counting = self.last.get(pot[1], (0, 0.0))[0] == pot[2]
        return cap - (self.base.get(place, 0.0) if counting else self._net(place))

    def _net(self, place: tuple[str, int]) -> float:
        spent, back = self.went.get(place, (0.0, 0.0))
        return spent - back

    def note(self, now: float, node: Deciding) -> list[tuple[str, int, float, float]]:
        """Read what the module has spent, and report it to the holder. Return the changed totals for the
        records: team, period, amounts spent and given back."""
        if self.told is None:
            return []
        changed = []
        for tenant, (spent, period) in zip(self.told.tenants, node.tenant_spending(), strict=False):
            if pot_of(tenant, now) is None:
                continue
            place = tenant.name, 1 + int(period)
            before = self.last.get(tenant.name)
            if before is None or before[0] != place[1]:
                self.base[place] = self._net(place)
                before = place[1], 0.0
            self.last[tenant.name] = place[1], spent
            if spent != before[1]:
                went, back = self.went.get(place, (0.0, 0.0))
                self.went[place] = went + max(0.0, spent - before[1]), back + max(0.0, before[1] - spent)
                changed.append((*place, *self.went[place]))
            if (pot := ("budget", *place)) in self.holder.holdings:
                self.holder.used(self.clock(), pot, self._net(place))
        self._forget()
        return changed

    def _forget(self) -> None:
        """Drop the totals of periods that the holder has forgotten, in which nothing can be spent again."""
        for place in [
            one for one in self.went.keys() | self.base.keys() if one[1] <= self.holder.floors.get(one[0], 0)
        ]:
            self.went.pop(place, None)
            self.base.pop(place, None)
