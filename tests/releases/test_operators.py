"""What operators ask of a node for, answered from the log and not from what this node has of it by chance."""

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
    """A node whose copy of the log is behind until it is read; ``led``: whether a read can be had."""

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
        """The log has all commands before this one, whatever this node had of them."""
        await self.wait_for_log()
        done, what = self.machine.apply(self.machine.index + 1, command(verb, *rest))
        if not done:
            raise ReleaseStateError(str(what))
        return what


async def planned(node: Lagging) -> dict[str, Any]:
    calls = Operators(cast(Releases, node))
    calls.plan({"name": "r", "version": "2", "who": "op", "most": "2", "token": "t"})
    while "t" not in calls.answers:
        await asyncio.sleep(0)
    return calls.answers["t"]


def test_a_plan_at_a_node_that_lags_is_made_from_the_log_and_without_one_not_at_all() -> None:
    node = Lagging()
    assert asyncio.run(planned(node))["done"]
    plan = node.machine.releases["r"].plan
    assert plan.waves == (("a",), ("c",), ("b", "d")) and plan.before == "1"
    node = Lagging(led=False)
    answer = asyncio.run(planned(node))
    assert not answer["done"] and answer["error"] == "NoQuorumError" and not node.machine.releases
