"""A fleet with releases, its supervisor and its callers: what the process tests and the benchmark share.

The supervisor is the laboratory's: a process that ended by itself is started again, with the version that it
left in ``state/releases/wanted``. A caller goes by what the nodes say of themselves, as a front end does.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from beechrock.lab.fleet import Fleet, LabError
from beechrock.lab.fleet.fleet import UNTIL_S
from beechrock.lab.scgi_servers import Server

INVENTORY = """
teams: {hosts: {a: {}}}
services: {hosts: {s: {upstreams: [%s]}}}
contracts:
  hosts:
    a-s: {team: a, service: s, share: 1, rate: 500, aim_ms: 500, due_ms: 2000, effect: keyed, window_ms: 9000}
all: {vars: {cores: 1, memory_mb: 64}}
"""
BAD = "bad"  # a version whose process reaches no server
# ``return_s`` is no verdict here: on a starved machine a process took 38 s to start, and its release halted.
TABLE: dict[str, Any] = {
    "for_s": 20.0,
    "warm_s": 0.5,
    "drain_s": 5.0,
    "return_s": 150.0,
    "gone_s": 2.0,
    "quorum_s": 4.0,
    "least": 20,
    "most_wait_s": 3.0,
}


def whole(told: dict[str, Any]) -> bool:
    """By a node's view. Seen on busy cores: all had proved themselves before the driver had described them,
    and the log refused a node of the fleet as an unknown target.
    """
    return bool(told["driver"] and told["described"]) and all(
        node["proved"] and not node["down"] for node in told["nodes"]
    )


class Play:
    """``tables``: over TABLE; ``parts``: tables beside it. ``text``: the inventory from the servers' places.
    ``versions``: what each node's supervisor starts.
    """

    def __init__(
        self,
        folder: Path,
        names: Iterable[str],
        halls: Mapping[str, str] | None = None,
        tables: Mapping[str, Any] | None = None,
        voters: int = 3,
        seed: int = 1,
        lease_s: float = 1.0,
        servers: int = 2,
        parts: Mapping[str, Any] | None = None,
        text: Callable[[list[str]], str] | None = None,
        **more: Any,
    ) -> None:
        names = list(names)
        self.versions = dict.fromkeys(names, "1")
        self.servers = [Server(0.005) for _ in range(servers)]
        self.places: list[str] = []
        self.left: set[str] = set()  # not started again
        self.table = {**TABLE, **(tables or {})}
        base: dict[str, Any] = {
            "agree": {"voters": names[:voters], "lease_s": lease_s},
            "duties": {"lease_s": lease_s},
            "watch_s": 0.2,
            "settle_s": 0.1,
            **(parts or {}),
        }
        self.text = text or (lambda places: INVENTORY % ", ".join(f'"{place}"' for place in places))
        self.fleet = Fleet(
            folder,
            seed,
            names,
            halls=halls,
            inventory=self._inventory,
            tables=lambda name: {**base, "releases": {**self.table, "version": self.versions[name]}},
            **more,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.tokens = 0
        self.answered: Counter[int] = Counter()  # by status; 0: no answer
        self.keys: dict[str, int] = {}  # the status of its last try

    def _inventory(self, name: str) -> str:
        places = ["127.0.0.1:9"] if self.versions[name].startswith(BAD) else self.places
        return self.text(places)

    async def __aenter__(self) -> "Play":
        self.places = ["{}:{}".format(*await server.start()) for server in self.servers]
        await self.fleet.__aenter__()
        await self.fleet.start()
        await self.fleet.proven()
        self.tasks.append(asyncio.ensure_future(self._supervise()))
        return self

    async def __aexit__(self, *told: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.fleet.__aexit__(*told)
        for server in self.servers:
            server.close()

    async def _supervise(self) -> None:
        async def again(name: str) -> None:
            wanted = self.fleet.nodes[name].state / "releases" / "wanted"
            with suppress(OSError):
                self.versions[name] = wanted.read_text()
            with suppress(LabError):
                await self.fleet.start(name)

        starting: dict[str, asyncio.Task[None]] = {}
        while True:
            for name, node in self.fleet.nodes.items():
                if (
                    not node.up
                    and name not in self.left
                    and (name not in starting or starting[name].done())
                    and node.logs
                ):
                    starting[name] = asyncio.ensure_future(again(name))
            await asyncio.sleep(0.05)

    async def kill(self, *names: str) -> None:
        self.left.update(names)
        await self.fleet.kill(*names)

    async def start(self, *names: str) -> None:
        await self.fleet.start(*names)
        self.left.difference_update(names)

    # --- as an operator

    async def say(self, at: str, call: str, **told: Any) -> dict[str, Any]:
        """The log's answer."""
        self.tokens += 1
        token = f"t{self.tokens}"
        status, body = await self.fleet.call(
            at, "POST", f"/releases/{call}?" + urlencode({"who": "op", **told, "token": token})
        )
        if status != 200:
            raise LabError(f"{call}: {status} {body}")

        async def answer() -> Any:
            return (await self.fleet.view(at, "/releases/answers")).get(token)

        found: dict[str, Any] = await self.fleet.until(answer, what=f"an answer to {call}")
        return found

    async def view(self, at: str) -> dict[str, Any]:
        found: dict[str, Any] = await self.fleet.view(at, "/releases")
        return found

    async def until(
        self, at: str, wanted: Callable[[dict[str, Any]], Any], what: str, within_s: float = UNTIL_S
    ) -> Any:
        async def there() -> Any:
            return wanted(await self.view(at))

        return await self.fleet.until(there, within_s, what)

    async def ready(self, at: str) -> None:
        """All are described, proved, and somebody drives."""
        await self.until(at, whole, "a fleet that is whole")

    async def release(self, at: str, version: str, name: str = "r", **more: Any) -> None:
        for call, told in (("plan", {"version": version, **more}), ("word", {"what": "start"})):
            answer = await self.say(at, call, name=name, **told)
            if not answer["done"]:
                raise LabError(answer["what"])

    async def stage(
        self,
        at: str,
        *wanted: str,
        name: str = "r",
        within_s: float = UNTIL_S,
    ) -> dict[str, Any]:
        """The release, once it is in one of these stages."""

        def there(told: dict[str, Any]) -> Any:
            return next(
                (one for one in told["releases"] if one["name"] == name and one["stage"] in wanted), None
            )

        found: dict[str, Any] = await self.until(at, there, f"release {name} {wanted}", within_s)
        return found

    # --- as callers

    def load(self, rate_per_s: float) -> None:
        self.tasks.append(asyncio.ensure_future(self._load(rate_per_s)))

    async def _load(self, rate_per_s: float) -> None:
        """Keyed requests to those that say ``ready``, in turn; where nobody takes one, at the next."""
        loop, open_, listed = asyncio.get_running_loop(), set[asyncio.Task[None]](), dict[str, bool]()
        health = asyncio.ensure_future(self._health(listed))
        due, number = loop.time(), 0
        try:
            while True:
                number += 1
                task = asyncio.ensure_future(self._one(f"key-{number}", number, listed))
                open_.add(task)
                task.add_done_callback(open_.discard)
                due += 1 / rate_per_s
                await asyncio.sleep(max(0.0, due - loop.time()))
        finally:
            health.cancel()
            with suppress(asyncio.CancelledError):
                await asyncio.gather(*open_, return_exceptions=True)

    async def _health(self, listed: dict[str, bool]) -> None:
        while True:
            for name in self.fleet.names:
                try:
                    listed[name] = (await self.fleet.call(name, "GET", "/healthcheck"))[1] == "ready\n"
                except (OSError, TimeoutError, LabError):
                    listed[name] = False
            await asyncio.sleep(0.1)

    async def _one(self, key: str, number: int, listed: dict[str, bool]) -> None:
        names = [name for name in self.fleet.names if listed.get(name)] or list(self.fleet.names)
        status = 0
        for step in range(3):
            name = names[(number + step) % len(names)]
            try:
                status, _, _ = await self.fleet.scgi(name, "s", "a", key.encode(), 5.0, key=key)
                break
            except ConnectionRefusedError:  # nobody took it, so it ran nowhere
                continue
            except (OSError, TimeoutError, LabError):
                break
        self.keys[key] = status
        self.answered[status] += 1

    def ran_twice(self) -> list[str]:
        ran: Counter[str] = Counter()
        for server in self.servers:
            ran.update(server.keys)
        return [key for key, times in ran.items() if times > 1]

    def lost(self) -> list[str]:
        """Answered 200, and never ran."""
        ran = {key for server in self.servers for key in server.keys}
        return [key for key, status in self.keys.items() if status == 200 and key not in ran]
