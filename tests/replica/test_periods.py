"""A node whose clock is years ahead opens no period far past those of most other holders."""

import asyncio
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from copies import leased, level, play, spend

from beechrock import interface as api
from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.lab.fleet import Fleet
from beechrock.lab.scgi_servers import Server
from beechrock.replica import leases as log
from beechrock.replica.budgets import Leasing
from beechrock.replica.leases import Budgets, PotKey, too_far

SETTINGS = api.Settings(
    classes=(api.ClassSettings(latency_objective_s=1.0, deadline_s=3.0),),
    cores=8,
    memory_kb=8192.0,
    fleet_size=4,
    tenants=(api.TenantSettings(0.5, 100.0, name="t", budget=40.0, budget_period_s=60.0),),
)
AHEAD = """
import runpy, time
real = time.time
time.time = lambda: real() + 1e10       # periods are 1e9 s long
runpy.run_module("beechrock", run_name="__main__")
"""


def pot(period: int) -> PotKey:
    return "budget", "t", period


def budgets_with(**periods: int) -> Budgets:
    budgets = Budgets()
    for index, (name, period) in enumerate(periods.items()):
        budgets.apply(index + 1, log.ask(name, 1, [(pot(period), 40.0, 0, 1.0)]))
    return budgets


def test_a_period_far_past_those_of_most_holders_is_not_opened_and_others_are() -> None:
    three = budgets_with(a=5, b=5, c=5)
    assert too_far(three, {pot(7), pot(99)}, "d") == {pot(7), pot(99)}
    assert not too_far(three, {pot(6), pot(5), pot(4), ("rate", "t", 0), ("budget", "u", 99)}, "d")
    assert not too_far(budgets_with(), {pot(99)}, "a")  # There is no holder yet.
    assert not too_far(budgets_with(a=5), {pot(99)}, "b")  # One other holder is not enough to decide.
    assert not too_far(budgets_with(a=99, b=99, c=5), {pot(99)}, "c")  # The node itself was behind.
    assert not too_far(budgets_with(a=99, b=99, c=5), {pot(100)}, "d")
    # The node was alone when it opened its first period.
    assert too_far(budgets_with(a=99, b=5, c=5, d=5), {pot(100)}, "a") == {pot(100)}
    for key, lease in three.open_leases():  # After a stop of all nodes, the leader closes the old leases.
        three.apply(9, log.close(key, lease.id, lease.turn))
    assert not too_far(three, {pot(99)}, "a")


def test_no_lease_is_requested_before_the_log_is_read() -> None:
    async def work() -> None:
        read, asked = asyncio.Event(), list[bytes]()

        class Agree:
            term = 0

            def host(self, name: str, machine: Budgets) -> None:
                self.machine = machine

            def leading(self) -> bool:
                return False

            async def settled(self, within_s: float) -> int:
                await read.wait()
                for index, name in enumerate("abc"):
                    self.machine.apply(index + 1, log.ask(name, 1, [(("budget", "t", 2), 40.0, 0, 1.0)]))
                return 3

            async def propose(self, name: str, command: bytes, within_s: float) -> None:
                asked.append(command)

        counters = Counters()
        module = ModuleActor(SETTINGS, 1, lambda: 6000.0, counters)  # At 6000 s, in its 101st period.
        replica: Any = SimpleNamespace(
            settings=SimpleNamespace(lease_s=0.2),
            talk=SimpleNamespace(name="e", life=1, peers=("a", "b", "c")),
            clock=time.monotonic,
            counters=counters,
            context=SimpleNamespace(module=module, parts={}),
            core=SimpleNamespace(catchup=SimpleNamespace(may_spend=True)),
        )
        leasing = Leasing(replica, Agree())
        runs = asyncio.create_task(leasing.run())
        await asyncio.sleep(0.1)
        assert not asked
        read.set()
        while not leasing.far_pots:
            await asyncio.sleep(0.01)
        runs.cancel()
        assert not asked and leasing.far_pots == {pot(101)}

    asyncio.run(asyncio.wait_for(work(), 60.0))


def test_a_clock_that_is_centuries_ahead_opens_no_period_beside_the_others(tmp_path: Path) -> None:
    async def work(fleet: Fleet, server: Server) -> None:
        await level(fleet)
        await leased(fleet, *fleet.names)

        async def pots() -> list[Any]:
            return [row["pot"] for row in (await fleet.view("a", "/replica"))["pots"]]

        before = await pots()
        await fleet.kill("e")
        fleet.nodes["e"].begin(await fleet._file("e"), fleet._environ("e"), [sys.executable, "-c", AHEAD])
        await fleet._up("e")
        await fleet.until(lambda: fleet.events("e", "budget.too_far"), what="the warning is logged")
        assert await pots() == before and (await fleet.view("e", "/replica"))["too_far"]
        assert set(await spend(fleet, fleet.names, 1)) <= {"a", "b", "c", "d"}
        await leased(fleet, "a", "b", "c", "d")
        await fleet.restart("e")
        await leased(fleet, "e")

    play(tmp_path, work)
