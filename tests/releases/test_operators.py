"""Calls of operators are answered from the newest log, even at a node whose copy lags."""

import asyncio
from typing import Any, cast

from beechrock.agree.errors import NoQuorumError
from beechrock.core.counters import Counters
from beechrock.releases.errors import ReleaseStateError
from beechrock.releases.machine import Machine
from beechrock.releases.operators import Operators
from beechrock.releases.part import Releases
from beechrock.releases.rows import command
from beechrock.releases.told import ReleasesSettings

HALLS = {"a": "east", "b": "west", "c": "east", "d": "west"}


class Lagging:
    """A node whose copy of the log lags until a read; ``led``: whether a read succeeds."""

    def __init__(self, led: bool = True) -> None:
        self.machine, self.counters, self.settings, self.led = Machine(), Counters(), ReleasesSettings(), led
        self.log = [command("describe", 1, sorted(HALLS), [], [], [])]
        self.log += [command("here", name, 1, hall, "x", "1") for name, hall in HALLS.items()]

    async def wait_for_log(self) -> None:
        await asyncio.sleep(0)
        if not self.led:
            raise NoQuorumError("no read within 3 s", where="agreed log at a", do="come back")
        while self.log:
            self.machine.apply(self.machine.index + 1, self.log.pop(0))

    async def propose_or_raise(self, verb: str, *rest: Any) -> Any:
        """Apply the command after all earlier commands of the log."""
        await self.wait_for_log()
        done, what = self.machine.apply(self.machine.index + 1, command(verb, *rest))
        if not done:
            raise ReleaseStateError(str(what))
        return what


async def plan_at(node: Lagging) -> dict[str, Any]:
    calls = Operators(cast(Releases, node))
    calls.plan({"name": "r", "version": "2", "who": "op", "most": "2", "token": "t"})
    while "t" not in calls.answers:
        await asyncio.sleep(0)
    return calls.answers["t"]


def test_a_plan_at_a_lagging_node_uses_the_newest_log_and_fails_without_a_quorum() -> None:
    node = Lagging()
    assert asyncio.run(plan_at(node))["done"]
    plan = node.machine.releases["r"].plan
    assert plan.waves == (("a",), ("c",), ("b", "d")) and plan.before == "1"
    node = Lagging(led=False)
    answer = asyncio.run(plan_at(node))
    assert not answer["done"] and answer["error"] == "NoQuorumError" and not node.machine.releases
