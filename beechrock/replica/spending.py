"""What the decision module is told of budgets: this node's lease of each, in place of a fixed part. Pure.

The module counts spending by periods of its own clock and divides a budget by ``fleet_size``; so it is told
the lease's amount times that. A part of nothing is told as NOTHING, since 0 means no budget there.

Invariants: before each batch that the module decides, its settings hold no more than the lease's cap of the
batch's own period, looked at in that moment: after a pause, or a period's end, before any request is decided.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from beechrock import interface as api
from beechrock.policy.tenants import TenantSpending
from beechrock.replica.holder import Holder
from beechrock.replica.leases import PotKey

NOTHING = 1e-12


class Deciding(Protocol):
    """Of the decision module: its settings and what each tenant has spent, in which period."""

    @property
    def settings(self) -> api.Settings:
        """The settings by which it decides now."""

    def tenant_spending(self) -> list[TenantSpending]:
        """Return what each tenant has spent, in the order of the settings."""


def pot_of(tenant: api.TenantSettings, now: float) -> PotKey | None:
    """None: no budget. Periods count from 1: without a length there is one."""
    if not tenant.budget or not tenant.name:
        return None
    period_s = tenant.budget_period_s or math.inf
    return "budget", tenant.name, 1 + int(now // period_s)


@dataclass(slots=True)
class Spending:
    holder: Holder
    clock: Callable[[], float]  # that of leases
    may: Callable[[], bool]  # whether this node may spend at all
    number: Callable[[], int]  # of the agreed inventory, if that is this node's; else 0
    told: api.Settings | None = None  # with whole budgets, as the inventory has them
    fresh: bool = True  # a cap may have changed
    until_s: float = -math.inf  # end of the first period, by the module's clock
    from_s: float = -math.inf  # the latest begin of one
    # Of each team and period: all that was spent and given back; and how much of it before the module's
    # count, which begins anew with each period, also with one that a clock that went back begins again.
    went: dict[tuple[str, int], tuple[float, float]] = field(default_factory=dict)
    base: dict[tuple[str, int], float] = field(default_factory=dict)
    last: dict[str, tuple[int, float]] = field(default_factory=dict)  # team: the module's period and count

    def settings(self, now: float, told: api.Settings) -> api.Settings:
        """New ones of the inventory, or of the start; whole budgets in, parts out."""
        self.told = told
        return self._parts(now, told)

    def changed_settings(self, now: float, node: Deciding) -> api.Settings | None:
        """Before each batch: new settings, if any part is another."""
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
        """By the module's own count."""
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
        """What was spent since, for the holder; for the copies: team, period, all spent, all given back."""
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
        """Of periods that the holder has forgotten, and so never spends in again."""
        for place in [
            one for one in self.went.keys() | self.base.keys() if one[1] <= self.holder.floors.get(one[0], 0)
        ]:
            self.went.pop(place, None)
            self.base.pop(place, None)
