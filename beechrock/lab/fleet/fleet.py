"""N real processes of the program on loopback, with the laboratory's links between and disks below them."""

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable, Iterable, Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from beechrock import clocks as true_clocks
from beechrock.lab.fleet import clock, disk
from beechrock.lab.fleet.errors import LabError
from beechrock.lab.fleet.links import Links
from beechrock.lab.fleet.process import INVENTORY, Process
from beechrock.store.folder import LAB_DISK_VARIABLE as LAB_DISK

# A bound on what never comes, so it may be long: beside full load one compile of a policy took 29 s.
UNTIL_S, LOOK_S, CALL_S = 150.0, 0.05, 30.0
FIRST_PORT = 20_000  # of processes that are wired to each other, at an address of this laboratory's own
Tables = Mapping[str, Any]


class Fleet:
    """``async with Fleet(folder, seed, names, tables=...) as fleet: await fleet.start()``.

    ``tables``: of every node's operator file, or a function of the name; ``enabled`` is added. ``{"members":
    {}}`` asks for the membership, its links included. ``halls`` and ``hardware`` by name; ``inventory`` as
    text, or a function of the name. ``direct``: the processes reach each other without a link between, and
    no fault can be put there: a large fleet's links cost the laboratory more than the fleet itself.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        names: Iterable[str],
        *,
        tables: Tables | Callable[[str], Tables] | None = None,
        halls: Mapping[str, str] | None = None,
        hardware: Mapping[str, str] | None = None,
        inventory: str | Callable[[str], str] = INVENTORY,
        environ: Mapping[str, str] | None = None,
        lying: bool = False,
        clocks: bool = False,
        direct: bool = False,
    ) -> None:
        self.folder, self.seed, self.names = folder, seed, tuple(names)
        self.tables, self.halls, self.hardware = tables or {}, halls or {}, hardware or {}
        self.inventory, self.environ, self.lying = inventory, dict(environ or {}), lying
        self.links, self.direct = Links(seed, self.names), direct
        self.nodes = {name: Process(folder / name, name) for name in self.names}
        self.notes: list[dict[str, Any]] = []
        folder.mkdir(parents=True, exist_ok=True)
        true = (true_clocks.boot, true_clocks.mono, true_clocks.wall)
        self.clocks = {name: clock.Clocks(folder / name / "clock", *true) for name in self.names if clocks}
        (folder / "key").write_text("a secret of sixteen bytes and more")

    async def __aenter__(self) -> "Fleet":
        # Seen with 25 processes on two cores: 600 links took 16,000 descriptors, as they were too slow for
        # the greetings, and each process tried again while the laboratory still held its earlier tries.
        if not self.direct:
            await self.links.begin()
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if node.up:
                await node.end(signal.SIGKILL)
        self.links.close()

    # --- processes

    async def start(self, *names: str) -> None:
        """These, or all that are down, until each listens. LabError with the log of one that ends."""
        told = names or tuple(name for name, node in self.nodes.items() if not node.up)
        for name in told:
            self.write_inventory(name)
            self.nodes[name].begin(await self._file(name), self._environ(name))
            self.note("start", name)
        await asyncio.gather(*(self._up(name) for name in told))

    async def proven(self, *names: str) -> None:
        """Until all of these, or all voters that are up, may vote.

        Seen beside full load: two of five voters were killed a second after the last one had come up with an
        empty folder. Nobody but a leader lets such a one vote, so three were left of whom two could.
        """

        async def found() -> bool:
            views = [
                await self.view(name, "/agree") for name in names or self.up if "agree" in self._tables(name)
            ]
            return all(view.get("standing") == "proven" or not view.get("voter", True) for view in views)

        await self.until(found, what="all voters proven")

    async def _up(self, name: str) -> None:
        node = self.nodes[name]
        await node.came_up()
        mine = [event for event in node.events() if event["run"] == len(node.logs)]
        self.links.attach(name, next(event["address"] for event in mine if event["event"] == "fleet"))
        for event in mine:
            if event["event"] == "members":
                self.links.datagrams.attach(name, event["address"])

    async def kill(self, *names: str) -> None:
        """SIGKILL, and until they are gone; also of those that are stopped."""
        for name in names:
            self.note("kill", name)
            self.links.detach(name)
            self.links.datagrams.real.pop(name, None)
        await asyncio.gather(*(self.nodes[name].end(signal.SIGKILL) for name in names if self.nodes[name].up))

    async def term(self, *names: str) -> list[int]:
        """SIGTERM, and until they are gone; their exit codes."""
        for name in names:
            self.note("term", name)
        codes = await asyncio.gather(*(self.nodes[name].end(signal.SIGTERM) for name in names))
        for name in names:
            self.links.detach(name)
        return list(codes)

    async def restart(self, *names: str) -> None:
        await self.kill(*names)
        await self.start(*names)

    def stop(self, *names: str) -> None:
        """SIGSTOP: they do nothing, and their connections stay."""
        for name in names:
            self.note("stop", name)
            self.nodes[name].send(signal.SIGSTOP)

    def go_on(self, *names: str) -> None:
        for name in names:
            self.note("go on", name)
            self.nodes[name].send(signal.SIGCONT)

    def save_copy(self, name: str, tag: str = "copy") -> None:
        """What is on its disk now."""
        self.note("save copy", name)
        self.nodes[name].save_copy(tag)

    def restore_copy(self, name: str, tag: str = "copy") -> None:
        """Of one that is down. A tag that was never saved: an empty folder."""
        self.note("restore copy", name)
        self.nodes[name].restore_copy(tag)

    def disk(self, name: str, **faults: Any) -> None:
        """From now on; only with ``lying``. Without faults it keeps all that was synced, no more."""
        self.note("disk", name, **faults)
        disk.tell(self.folder / name / "disk.json", disk.Faults(**{"seed": self.seed, **faults}))

    def clock(
        self, name: str, leap_s: float = 0.0, rate: float | None = None, which: Iterable[str] = clock.NAMES
    ) -> None:
        """Of its machine, over its processes; only with ``clocks``. Rate 0: it stands."""
        self.note("clock", name, leap_s=leap_s, rate=rate, which=list(which))
        self.clocks[name].change(leap_s, rate, which)

    def write_inventory(self, name: str, text: str | None = None) -> None:
        made = self.inventory(name) if callable(self.inventory) else self.inventory
        (self.folder / name / "inventory.yaml").write_text(made if text is None else text)

    @property
    def up(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.up and not node.stopped]

    def _tables(self, name: str) -> Tables:
        return self.tables(name) if callable(self.tables) else self.tables

    async def _file(self, name: str) -> dict[str, Any]:
        told = self._tables(name)
        tables = {
            "enabled": True,
            "listen": "127.0.0.1:0",
            "log": "json",
            "inventory": str(self.folder / name / "inventory.yaml"),
            **{key: value for key, value in told.items() if not isinstance(value, Mapping)},
        }
        state, key = str(self.nodes[name].state), str(self.folder / "key")
        tables["fleet"] = {
            "enabled": True,
            "listen": self._own(name),
            "key_file": key,
            "state": state,
            "hall": self.halls.get(name, "hall"),
            "hardware": self.hardware.get(name, "common"),
            **told.get("fleet", {}),
            "peers": {
                peer: self._own(peer) if self.direct else self.links.address(name, peer)
                for peer in self.names
                if peer != name
            },
        }
        for table, values in told.items():
            if table == "members":
                at = {peer: await self.links.datagrams.advertised(peer) for peer in self.names}
                tables[table] = {
                    "enabled": True,
                    "listen": "127.0.0.1:0",
                    "advertise": at[name],
                    "fleet": "lab",
                    "key_file": key,
                    "period_s": 0.2,
                    "state": state,
                    "seeds": [address for peer, address in at.items() if peer != name],
                    **values,
                }
            elif isinstance(values, Mapping) and table != "fleet":
                tables[table] = {"enabled": True, **values}
        return tables

    def _own(self, name: str) -> str:
        """Where a process listens: known before it starts where the others reach it without a link.

        An address of loopback by the laboratory's process: ports of 127.0.0.1 go to whoever asks first.
        """
        if not self.direct:
            return "127.0.0.1:0"
        pid = os.getpid()
        host = f"127.{100 + (pid >> 16) % 100}.{pid >> 8 & 255}.{pid & 255}"
        return f"{host}:{FIRST_PORT + self.names.index(name)}"

    def _environ(self, name: str) -> dict[str, str]:
        told = dict(self.environ)
        if name in self.clocks:
            told[true_clocks.LAB] = str(self.clocks[name].path)
        if self.lying:
            control = self.folder / name / "disk.json"
            if not control.exists():
                disk.tell(control, disk.Faults(seed=self.seed))
            told[LAB_DISK] = str(control)
        return told

    # --- what they say

    def events(self, name: str | None = None, event: str | None = None) -> list[dict[str, Any]]:
        """Of one, or all, over all of their processes; of one in its own order."""
        nodes = self.nodes.values() if name is None else [self.nodes[name]]
        found = [e for node in nodes for e in node.events() if event is None or e["event"] == event]
        return found if name is not None else sorted(found, key=lambda e: str(e.get("timestamp", "")))

    def note(self, what: str, name: str = "", **more: Any) -> None:
        """Into the history, beside what the processes say."""
        self.notes.append(
            {
                "event": "lab",
                "what": what,
                "node": name,
                **more,
                "timestamp": datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ"),
            }
        )

    def history(self) -> list[dict[str, Any]]:
        """All events and what the laboratory did, merged by this machine's clock."""
        return sorted([*self.events(), *self.notes], key=lambda e: str(e.get("timestamp", "")))

    def save_history(self) -> Path:
        path = self.folder / "history.jsonl"
        path.write_text("".join(json.dumps(event) + "\n" for event in self.history()))
        return path

    async def until(self, wanted: Callable[[], Any], within_s: float = UNTIL_S, what: str = "") -> Any:
        """Wait for it and give what it gives; LabError after ``within_s``, which is a bound and not a step.

        ``wanted`` may be a coroutine function. LabError, OSError and TimeoutError in it mean not yet.
        """
        end, last = time.monotonic() + within_s, ""
        while time.monotonic() < end:
            try:
                found = wanted()
                found = await found if asyncio.iscoroutine(found) else found
            except (LabError, OSError, TimeoutError) as error:
                found, last = None, repr(error)
            if found:
                return found
            await asyncio.sleep(LOOK_S)
        raise LabError(f"never came within {within_s} s: {what} {last}; history: {self.save_history()}")

    async def call(self, name: str, method: str, path: str) -> tuple[int, str]:
        """At its second address: the status and the body. OSError, TimeoutError."""
        async with asyncio.timeout(CALL_S):
            reader, writer = await asyncio.open_connection(*self.nodes[name].address("second address"))
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
                head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
            finally:
                writer.close()
        if not head:
            raise ConnectionError(f"{name}: {path}: no answer")
        return int(head.split()[1]), body.decode()

    async def view(self, name: str, path: str) -> Any:
        """What it shows there, from JSON. LabError for any answer but 200."""
        status, body = await self.call(name, "GET", path)
        if status != 200:
            raise LabError(f"{name}: {path}: {status} {body}")
        return json.loads(body)

    async def scgi(
        self,
        name: str,
        service: str,
        team: str,
        body: bytes = b"",
        within_s: float = CALL_S,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """One request: status, headers in lower case, body; ``key`` for keyed ones. OSError, TimeoutError."""
        from beechrock.net.scgi import request_bytes

        if (key := headers.pop("key", None)) is not None:
            headers["HTTP_IDEMPOTENCY_KEY"] = key
        told = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/{service}", "HTTP_X_TEAM": team, **headers}
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*self.nodes[name].address("SCGI on"))
            try:
                writer.write(request_bytes(told, body))
                answer = await reader.read(-1)
            finally:
                writer.transport.abort()
        head, found, rest = answer.partition(b"\r\n\r\n")
        if not found:
            raise ConnectionError(f"{name}: no answer")
        lines = [line.partition(":") for line in head.decode().split("\r\n")]
        fields = {field.strip().lower(): value.strip() for field, _, value in lines}
        return int(fields["status"].split()[0]), fields, rest

    def troubles(self) -> list[str]:
        """Tracebacks that any process wrote: a fleet test ends with an assert that there are none."""
        return [name for name, node in self.nodes.items() if "Traceback" in node.text()]
