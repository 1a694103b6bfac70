"""A restarted node uses what the others learned of a broken server. Real processes."""

import asyncio
from pathlib import Path
from typing import Any

from copies import level

from beechrock.lab.fleet import Fleet
from beechrock.lab.scgi_servers import Server

NAMES = ["a", "b", "c"]
INVENTORY = """
teams: {{hosts: {{a: {{}}}}}}
services: {{hosts: {{s: {{upstreams: [{at}]}}}}}}
contracts: {{hosts: {{a-s: {{team: a, service: s, share: 1, rate: 500, aim_ms: 2000, due_ms: 9000,
  effect: safe}}}}}}
all: {{vars: {{cores: 4, memory_mb: 64, fleet_size: 3}}}}
"""


class Broken(Server):
    """Accepts each connection and closes it without a reply."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.runs += 1
        writer.close()


async def ask(fleet: Fleet, name: str, count: int) -> list[int]:
    """Send ``count`` requests one after the other; return their statuses."""
    return [(await fleet.scgi(name, "s", "a"))[0] for _ in range(count)]


async def ejected(fleet: Fleet, name: str, by: str, more_than: int = 0) -> None:
    """Wait until the node has ejected a server by this cause more than so many times, and send it requests
    meanwhile."""

    async def found() -> bool:
        await ask(fleet, name, 1)
        return sum(event["why"] == by for event in fleet.events(name, "replica.server")) > more_than

    await fleet.until(found, what=f"{name} ejects the broken server: {by}")


def test_a_restarted_node_avoids_servers_that_others_ejected_and_ignores_stale_advice(tmp_path: Path) -> None:
    async def run() -> None:
        good, other, broken = Server(0.005), Server(0.005), Broken()
        places = [await server.start() for server in (broken, good, other)]
        at = ", ".join(f'"{host}:{port}"' for host, port in places)
        tables: dict[str, Any] = {"agree": {"voters": NAMES}, "replica": {"advice": True, "repair_s": 0.5}}
        async with Fleet(tmp_path, 7, NAMES, tables=tables, inventory=INVENTORY.format(at=at)) as fleet:
            await fleet.start()
            await fleet.proven()
            await level(fleet)
            for name in NAMES:
                await ejected(fleet, name, "own")
            await fleet.kill("c")
            for name in ("a", "b"):  # A failed probe ejects the server again, for a longer time.
                await ejected(fleet, name, "own", 1)
            await fleet.start("c")

            async def advised() -> bool:
                servers = (await fleet.view("c", "/replica/advice"))["servers"]
                return any(server["advised"] and server["last"] for server in servers.values())

            await fleet.until(advised, what="advice at the restarted node")
            before = broken.runs
            found = await ask(fleet, "c", 20)
            # One probe may fail, if the machine was so slow that the ejection had ended.
            assert found.count(200) >= 19 and broken.runs - before <= 2 + len(NAMES), found

            fleet.stop("a", "b")  # Their records stay at c, but their advice has no weight any more.
            await fleet.restart("c")
            causes = [event["why"] for event in fleet.events("c", "replica.server")]
            own, advice = causes.count("own"), causes.count("advice")
            await ejected(fleet, "c", "own", own)
            assert (await ask(fleet, "c", 5)).count(200) >= 4
            assert [event["why"] for event in fleet.events("c", "replica.server")].count("advice") == advice
            fleet.go_on("a", "b")
            place = "{}:{}".format(*places[1])
            await fleet.call("a", "POST", f"/replica/put?kind=ejection&key={place}&value=broken_fan")

            async def by_hand(wanted: bool = True) -> bool:
                view = (await fleet.view("c", "/replica/advice"))["by_hand"]
                return (place in view) is wanted

            await fleet.until(by_hand, what="the operator's ejection at another node")
            await fleet.restart("c")  # The ejection is also read from its disk.
            await fleet.until(by_hand)
            await fleet.call("b", "POST", f"/replica/delete?kind=ejection&key={place}")
            await fleet.until(lambda: by_hand(False))
            assert not fleet.troubles(), fleet.save_history()
        for server in (good, other, broken):
            server.close()

    asyncio.run(run())
