"""A fleet of five real processes with [replica] and leases, and helpers of its tests. Tests wait for events,
not for fixed times."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from beechrock.lab.fleet import Fleet
from beechrock.lab.fleet.checkers import check
from beechrock.lab.replica_play import INVENTORY
from beechrock.lab.scgi_servers import Server

NAMES = ["a", "b", "c", "d", "e"]
WHOLE = 40  # Budget of the team, in requests.
Work = Callable[[Fleet, Server], Awaitable[None]]


def play(tmp_path: Path, work: Work, replica: dict[str, Any] | None = None, **more: Any) -> None:
    """Run ``work`` against a fleet, then check its history. ``replica`` overrides settings of [replica]."""

    async def run() -> None:
        server = Server(0.005)
        at = "{}:{}".format(*await server.start())
        own = {"lease_s": 6.0, "repair_s": 0.5, **(replica or {})}
        tables = {"agree": {"voters": NAMES[:3]}, "replica": own}
        async with Fleet(
            tmp_path,
            7,
            NAMES,
            tables=tables,
            inventory=INVENTORY.format(at=at, whole=WHOLE, size=len(NAMES)),
            **more,
        ) as fleet:
            await fleet.start()
            await fleet.proven()
            await work(fleet, server)
            saved, history = fleet.save_history(), fleet.history()
            assert not fleet.troubles(), saved
            assert not (found := check(history, ("agree", "replica", "sound"))), (found, saved)
        server.close()

    asyncio.run(run())


async def put(fleet: Fleet, name: str, key: str, value: str) -> None:
    status, body = await fleet.call(name, "POST", f"/replica/put?kind=note&key={key}&value={value}")
    assert status == 200, body


async def value(fleet: Fleet, name: str, key: str) -> Any:
    return json.loads((await fleet.call(name, "POST", f"/replica/get?kind=note&key={key}"))[1])["value"]


async def level(fleet: Fleet, *names: str) -> None:
    """Wait until these nodes, or all that are up, are whole and hold the same records."""

    async def same() -> bool:
        views = [await fleet.view(name, "/replica") for name in names or fleet.up]
        return len({view["root"] for view in views}) == 1 and all(view["stage"] == "whole" for view in views)

    await fleet.until(same, what="equal records")


def kept(fleet: Fleet, key: str) -> bool:
    """Whether a change of this key was logged as held by a majority's disks."""
    return any(event["key"] == key for event in fleet.events(None, "replica.kept"))


async def leased(fleet: Fleet, *names: str) -> None:
    """Wait until each of these nodes has a lease that allows at least one request."""

    async def held() -> bool:
        views = [await fleet.view(name, "/replica") for name in names]
        return all(view["leases"] and view["leases"][0]["cap"] >= 1 for view in views)

    await fleet.until(held, what="a lease at each node")


async def spend(fleet: Fleet, names: list[str], count: int) -> list[str]:
    """Send ``count`` requests to each of these nodes. Return the node's name for each request that was
    served."""

    async def ask(name: str) -> str:
        status, _, _ = await fleet.scgi(name, "s", "a")
        return name if status == 200 else ""

    return [name for name in await asyncio.gather(*(ask(name) for name in names * count)) if name]
