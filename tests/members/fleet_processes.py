"""A fleet of five real processes, joined by links with faults; one fleet serves all scenarios of a worker."""

import asyncio
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgpack

from beechrock.lab.links import Faults, Links

ROOT = Path(__file__).parent.parent.parent
PORT_TRIES = 20
INVENTORY = """
teams: {hosts: {a: {}}}
services: {hosts: {s: {upstreams: ["127.0.0.1:9"]}}}
contracts: {hosts: {a-s: {team: a, service: s, share: 1, rate: 9, aim_ms: 500, due_ms: 2000, effect: safe}}}
all: {vars: {cores: 1, memory_mb: 8}}
"""


class Process:
    """A process of a node with the membership enabled and free ports; ``n0``, ``n3`` ... are in hall h0."""

    def __init__(self, folder: Path, name: str, seeds: list[str], advertise: str = "") -> None:
        self.name, self.folder = name, folder / name
        self.folder.mkdir(exist_ok=True)
        (self.folder / "inventory.yaml").write_text(INVENTORY)
        (self.folder / "key").write_text("a secret of sixteen bytes and more")
        (self.folder / "scgi.toml").write_text(
            f'enabled = true\nlisten = "127.0.0.1:0"\nlog = "json"\n'
            f'inventory = "{self.folder}/inventory.yaml"\n'
            f'[members]\nenabled = true\nlisten = "127.0.0.1:0"\nfleet = "east"\nhall = "{hall(name)}"\n'
            f'key_file = "{self.folder}/key"\nseeds = {json.dumps(seeds)}\nperiod_s = 0.2\n'
            f'state = "{self.folder}/state"\n' + (f'advertise = "{advertise}"\n' if advertise else "")
        )
        self.log = self.folder / f"log-{time.monotonic_ns()}"
        environment = {
            **os.environ,
            "LB_SCGI": str(self.folder / "scgi.toml"),
            "LB_CONFIG": "",
            "LB_NAME": name,
            "LB_ADMIN_ADDR": "127.0.0.1:0",
        }
        with self.log.open("wb") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "beechrock"], stderr=out, env=environment, cwd=ROOT
            )
        self.address = self.admin = ""
        self.log_start = 0  # Size of the log of earlier scenarios, in bytes

    async def wait_until_ready(self) -> "Process":
        await until(lambda: self.log.read_text().count('"members"') > 0 or self.popen.poll() is not None)
        text = self.log.read_text()
        assert self.popen.poll() is None, text
        self.address = next(e["address"] for e in self.events("members"))
        self.admin = re.findall(r"second address (127\.0\.0\.1:\d+)", text)[0]
        return self

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = self.log.read_bytes()[self.log_start :].decode().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]
        return [event for event in found if event["event"] == name]

    def view(self) -> dict[str, Any]:
        """Return what the process shows at ``/members``."""
        host, _, port = self.admin.partition(":")
        link = http.client.HTTPConnection(host, int(port), timeout=30.0)
        link.request("GET", "/members")
        view: dict[str, Any] = json.loads(link.getresponse().read())
        link.close()
        return view

    def states(self) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.view()["members"]}

    def halls(self) -> dict[str, str]:
        return {row["hall"]: row["state"] for row in self.view()["halls"]}

    def received_ago_s(self, name: str) -> float:
        """Return the seconds since this process received a datagram from ``name``; 0 for itself."""
        return next(float(row["heard_s"] or 0.0) for row in self.view()["members"] if row["name"] == name)

    def counters(self, *names: str) -> dict[str, float]:
        counters = self.view()["counters"]
        return {name: counters.get(f"members.{name}", 0.0) for name in names}

    def reported_dead(self) -> list[str]:
        """Return the members that became dead to this process during this scenario."""
        return [event["member"] for event in self.events("member") if event["state"] == "dead"]

    def send_signal(self, number: signal.Signals = signal.SIGKILL) -> None:
        self.popen.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.popen.wait(30.0)


def hall(name: str) -> str:
    return f"h{int(name[1:]) % 3}"


async def until(condition: Callable[[], bool], seconds: float = 60.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        await asyncio.sleep(0.1)


def all_alive(processes: list[Process]) -> bool:
    names = {p.name for p in processes}
    return all({n for n, s in p.states().items() if s == "alive"} == names for p in processes)


class Fleet:
    """Five processes, the links for their datagrams, and a proxy for the connections to each of them."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.links, self.processes = folder, Links(1), list[Process]()
        self.proxies: dict[str, ConnectionProxy] = {}
        self.extra: list[Process] = []  # Further processes of the current scenario

    async def start(self, name: str, seed: str, link: str = "") -> Process:
        """Start a process; ``link`` names its end of the links, if it differs from its own name."""
        link = link or name
        at = self.folder / link
        at.mkdir(exist_ok=True)
        advertised = await self.open_link(link)
        process = Process(at, name, [await self.links.advertised(seed)] if seed else [], advertised)
        await process.wait_until_ready()
        self.links.attach(link, process.address)
        self.proxies[link].target = process.address
        return process

    async def open_link(self, link: str) -> str:
        """Open the link's end and its proxy at one port; return their address.

        Under load, a port that is free for datagrams may be in use for connections: another one is tried.
        """
        for _ in range(PORT_TRIES):
            advertised = await self.links.advertised(link)
            try:
                if link not in self.proxies:
                    self.proxies[link] = await ConnectionProxy(self.links, link).open(advertised)
                return advertised
            except OSError:
                self.links.ends.pop(link).close()
        raise AssertionError(f"no port for {link}")

    async def start_all(self) -> None:
        for n in range(5):  # All links are open before any of them is used as a seed's address
            await self.open_link(f"n{n}")
        self.processes = list(
            await asyncio.gather(*(self.start(f"n{n}", "n0" if n else "") for n in range(5)))
        )

    async def run(self, scenario: Callable[[list[Process], Links], Awaitable[None]]) -> None:
        self.links.every = Faults()
        self.links.heal()
        for proxy in self.proxies.values():
            proxy.fault = "pass"
        for n, process in enumerate(self.processes):
            process.popen.send_signal(signal.SIGCONT)
            if process.popen.poll() is not None:
                self.processes[n] = await self.start(process.name, f"n{(n + 1) % 5}")
        await until(lambda: all_alive(self.processes))
        for process in self.processes:
            process.log_start = process.log.stat().st_size
        try:
            await scenario(self.processes, self.links)
            for process in self.processes:
                assert "Traceback" not in process.log.read_text()
        finally:
            for process in self.extra:  # They leave, so that no later scenario finds them dead
                process.send_signal(signal.SIGTERM)
            self.extra.clear()

    def close(self) -> None:
        for process in [*self.processes, *self.extra]:
            process.popen.send_signal(signal.SIGCONT)
            process.popen.kill()
            process.popen.wait(30.0)
        self.links.close()
        for proxy in self.proxies.values():
            proxy.server.close()


class ConnectionProxy:
    """Proxy for connections to one member; ``fault`` is pass, stall (read and discard), garble or cut."""

    def __init__(self, links: Links, name: str) -> None:
        self.links, self.name = links, name
        self.target, self.fault, self.faulty_connections = "", "pass", 0

    async def open(self, advertised: str) -> "ConnectionProxy":
        host, _, port = advertised.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            # The caller's name is in its first part. A cut in either direction blocks the connection.
            head = await reader.readexactly(2)
            part = await reader.readexactly(int.from_bytes(head, "big"))
            caller = str(msgpack.unpackb(part[:-16])[2])
            if any(
                self.links.faults.get(pair, Faults()).loss >= 1.0
                for pair in ((caller, self.name), (self.name, caller))
            ):
                raise ConnectionResetError
            onward = await asyncio.open_connection(host, int(port))
            self.faulty_connections += self.fault != "pass"
            first = asyncio.StreamReader()
            first.feed_data(head + part)
            first.feed_eof()
            await self.forward(first, onward[1], last=self.fault == "cut")
            await asyncio.gather(self.forward(reader, onward[1]), self.forward(onward[0], writer))
        except (OSError, EOFError):
            pass
        writer.transport.abort()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        last: bool = True,
    ) -> None:
        while data := await reader.read(4096):
            match self.fault:
                case "stall":
                    continue
                case "garble":
                    data = data[:20] + bytes(byte ^ 0x55 for byte in data[20:])
                case "cut":
                    writer.write(data[: len(data) // 2])
                    break
            writer.write(data)
        if last:
            writer.close()


class ScenarioRunner:
    """The fleet with its event loop, which runs only during scenarios."""

    def __init__(self, folder: Path) -> None:
        self.loop, self.fleet = asyncio.Runner(), Fleet(folder)

    def __call__(self, scenario: Callable[[list[Process], Links], Awaitable[None]]) -> None:
        self.loop.run(self.fleet.run(scenario))
