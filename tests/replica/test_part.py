"""The decision module's actor with leases: which budgets it gets, and when."""

from beechrock import interface as api
from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.replica.holder import Holder
from beechrock.replica.leases import Granted
from beechrock.replica.spending import NOTHING, Spending

TENANT = api.TenantSettings(0.5, 100.0, name="t", budget=40.0, budget_period_s=60.0)
SETTINGS = api.Settings(
    classes=(api.ClassSettings(latency_objective_s=1.0, deadline_s=3.0),),
    tenants=(TENANT,),
    cores=8,
    memory_kb=8192.0,
    fleet_size=2,
)


def test_a_new_inventory_brings_no_fixed_share_of_a_budget() -> None:
    boot = [0.0]
    module = ModuleActor(SETTINGS, 1, lambda: 6000.0, Counters())
    holder = Holder("a", 1, 2, 1.0)
    module.ports.budget_parts = spending = Spending(holder, lambda: boot[0], lambda: True, lambda: 0)
    spending.settings(6000.0, module.settings)
    spending.caps_changed = True

    def budget_share() -> float | None:
        module.tick(6000.0)
        return module.node.settings.tenants[0].budget

    assert budget_share() == NOTHING  # There is no lease yet.
    holder.answered(0.0, [Granted(("budget", "t", 101), 1, 5.0, 1, 0)])
    spending.caps_changed = True
    assert budget_share() == 10.0  # The lease's amount times the size of the fleet.
    assert module.update_settings(SETTINGS) and budget_share() == 10.0
    boot[0] = 3.0  # The process was stopped for longer than the lease.
    assert budget_share() == NOTHING
    plain = ModuleActor(SETTINGS, 1, lambda: 6000.0, Counters())
    plain.tick(6000.0)
    assert plain.update_settings(SETTINGS) and plain.node.settings.tenants[0].budget == 40.0
