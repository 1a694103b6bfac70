"""Plays of copies and leases with real processes: 5 to 9 nodes, faults of links, clocks, disks, processes.

Two streams of faults run beside each other: those of links and clocks as ``lab/fleet/plan.py`` draws them,
and one at a time of a node of its own: killed, ended, stopped, away for longer than its peers remember, put
back to a backup, a disk that is full, stalls for 5 s, loses what was synced, tears or flips a bit, another
process of the same name, one of another format, or one that speaks the format of before and takes part. A
play of over a minute begins with a node that is away for a real one. Who may have forgotten something is
whole again before the next such fault, as one forgetful disk at a time is what is promised; voters keep
theirs. Meanwhile notes are written and deleted, and a budget is spent. At the end all copies have to come to
rest (``lab/replica_level.py``) and to be equal, and the whole history is judged.
"""

import asyncio
import random
import shutil
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from beechrock.lab.fleet import Fleet, LabError
from beechrock.lab.fleet.checkers import check
from beechrock.lab.fleet.plan import Kind, Rules, plan
from beechrock.lab.fleet.process import Process
from beechrock.lab.fleet.runfile import _one as link_fault
from beechrock.lab.replica_level import at_rest, copies, set_aside_for_nothing
from beechrock.lab.scgi_servers import Server

WHOLE, KEYS, QUIET_S = 200, 8, 180.0
NOTES = tuple(f"k{n}" for n in range(KEYS))
STALL_S, FULL_BYTES, LEAP_S = 5.0, 1 << 16, 300.0
INVENTORY = """
teams: {{hosts: {{a: {{}}}}}}
services: {{hosts: {{s: {{upstreams: ["{at}"]}}}}}}
contracts: {{hosts: {{a-s: {{team: a, service: s, share: 1, rate: 500, aim_ms: 500, due_ms: 2000,
  effect: safe}}}}}}
budgets: {{hosts: {{b: {{team: a, amount: {whole}, period_s: 1000000000}}}}}}
all: {{vars: {{cores: 4, memory_mb: 64, fleet_size: {size}}}}}
"""
LINKS = {
    Kind.CUT: 2.0,
    Kind.SILENT: 2.0,
    Kind.STALL: 1.0,
    Kind.SPLIT: 3.0,
    Kind.ISOLATE: 2.0,
    Kind.DROP: 1.0,
    Kind.DOUBLE: 1.0,
    Kind.SHORT: 1.0,
    Kind.DELAY: 1.0,
    Kind.SLOW: 1.0,
    Kind.CLOCK_LEAP: 2.0,
    Kind.CLOCK_RATE: 1.0,
}
# Those of any node, and those after which it may have forgotten what it had synced.
OF_ANY = ("kill", "term", "stop", "away", "full", "stall", "other format", "old format")
MINUTE_S = 60.0  # a real minute away is the first fault of a play that lasts for long enough
FORGETS = ("backup", "empty", "lose", "tear", "flip", "twin")
OTHER_FORMAT = """
import runpy
import beechrock.replica.messages as messages
messages.READS = {reads},
runpy.run_module("beechrock", run_name="__main__")
"""


@dataclass(frozen=True, slots=True)
class Outcome:
    nodes: int
    faults: list[str]  # of nodes, in order; those of links are in the history
    links: int
    kept: int  # changes that a majority held
    runs: int  # at the stand-in; the budget is WHOLE
    broken: list[str]
    history: Path


class Play:
    def __init__(self, fleet: Fleet, draw: random.Random, voters: list[str]) -> None:
        self.fleet, self.draw, self.voters = fleet, draw, voters
        self.node_draw = random.Random(f"{fleet.seed} nodes")  # its own: callers draw as often as they can
        self.faults: list[str] = []
        self.broken: list[str] = []

    # --- what people and callers do

    async def write(self) -> None:
        """Notes, some of them deleted; at whichever node answers."""
        draw, n = self.draw, 0
        while True:
            await asyncio.sleep(draw.uniform(0.02, 0.2))
            if not (up := self.fleet.up):
                continue
            n += 1
            what = "delete" if draw.random() < 0.25 else "put"
            path = f"/replica/{what}?kind=note&key=k{draw.randrange(KEYS)}&value={n}"
            with suppress(OSError, TimeoutError, LabError, ValueError):
                async with asyncio.timeout(3.0):
                    await self.fleet.call(draw.choice(up), "POST", path)

    async def spend(self) -> None:
        while True:
            await asyncio.sleep(self.draw.uniform(0.05, 0.3))
            if up := self.fleet.up:
                with suppress(OSError, TimeoutError, LabError, ValueError):
                    await self.fleet.scgi(self.draw.choice(up), "s", "a", within_s=3.0)

    # --- faults of a node

    async def nodes(self, seconds: float) -> None:
        loop, draw = asyncio.get_running_loop(), self.node_draw
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(draw.uniform(0.2, 1.5))
            first = not self.faults and seconds > MINUTE_S
            what = "minute" if first else draw.choice(OF_ANY + FORGETS)
            rest = [name for name in self.fleet.names if name not in self.voters]
            name = draw.choice(rest if what in FORGETS else self.fleet.names)
            self.faults.append(f"{what} of {name}")
            self.fleet.note("fault", name, fault=what)
            work: Callable[[str], Awaitable[None]] = getattr(self, "_" + what.replace(" ", "_"))
            await work(name)
            if not self.fleet.nodes[name].up:
                await self.up(name)
            if what in FORGETS:
                await self.fleet.until(
                    partial(self.whole, name),
                    QUIET_S,
                    f"{name} whole after {what}",
                )

    async def whole(self, *names: str) -> bool:
        views = [await self.fleet.view(name, "/replica") for name in names]
        return all(view["stage"] == "whole" and not view["broken"] for view in views)

    async def up(self, name: str) -> None:
        """What its operator does: with an empty folder where its own cannot be read."""
        try:
            await self.fleet.start(name)
        except LabError:
            if name in self.voters:
                raise
            await self.fleet.kill(name)
            self.fleet.note("emptied", name)
            self.fleet.restore_copy(name, "never")
            await self.fleet.start(name)

    async def _kill(self, name: str) -> None:
        await self.fleet.kill(name)
        await asyncio.sleep(self.node_draw.choice([0.0, 1.0]))

    async def _term(self, name: str) -> None:
        await self.fleet.term(name)

    async def _stop(self, name: str) -> None:
        self.fleet.stop(name)
        await asyncio.sleep(self.node_draw.uniform(0.2, 6.0))
        self.fleet.go_on(name)

    async def _minute(self, name: str) -> None:
        """By the true clock, stopped or not there at all, while the others go on and have faults of links."""
        stopped = self.node_draw.random() < 0.5
        if stopped:
            self.fleet.stop(name)
        else:
            await self.fleet.kill(name)
        await asyncio.sleep(MINUTE_S)
        if stopped:
            self.fleet.go_on(name)

    async def _away(self, name: str) -> None:
        """Longer than anybody remembers what it acknowledged: all others begin anew meanwhile, in turn."""
        await self.fleet.kill(name)
        for other in self.fleet.names:
            if other != name:
                await self.fleet.restart(other)

    async def _full(self, name: str) -> None:
        await self._disk(name, 4.0, full_bytes=FULL_BYTES)

    async def _stall(self, name: str) -> None:
        await self._disk(name, STALL_S + 1.0, stall_s=STALL_S)

    async def _disk(self, name: str, seconds: float, **faults: Any) -> None:
        self.fleet.disk(name, **faults)
        await asyncio.sleep(seconds)
        self.fleet.disk(name)

    async def _lose(self, name: str) -> None:
        await self._lied(name, lose=True)

    async def _tear(self, name: str) -> None:
        await self._lied(name, tear=0.5)

    async def _lied(self, name: str, **faults: Any) -> None:
        """Then killed: what its disk had not is gone."""
        self.fleet.disk(name, **faults)
        await asyncio.sleep(self.node_draw.uniform(0.5, 3.0))
        await self.fleet.kill(name)
        self.fleet.disk(name)

    async def _flip(self, name: str) -> None:
        await self.fleet.kill(name)
        self.fleet.disk(name, flip=True, seed=self.node_draw.getrandbits(30))
        await self.up(name)
        self.fleet.disk(name)

    async def _backup(self, name: str) -> None:
        self.fleet.save_copy(name)
        await asyncio.sleep(self.node_draw.uniform(0.5, 3.0))
        await self.fleet.kill(name)
        self.fleet.restore_copy(name)

    async def _empty(self, name: str) -> None:
        await self.fleet.kill(name)
        self.fleet.restore_copy(name, "never")

    async def _twin(self, name: str) -> None:
        """Another process says that it is this one, with a copy of its folder or an empty one; its peers may
        reach the one or the other. Whoever began later has the name; the first begins anew in the end."""
        node = await twin(self.fleet, name, self.node_draw.random() < 0.5)
        try:
            if self.node_draw.random() < 0.5:
                first = self.fleet.links.real[name]
                self.fleet.links.attach(
                    name, next(str(event["address"]) for event in node.events() if event["event"] == "fleet")
                )
                with suppress(OSError, TimeoutError, LabError, ValueError):
                    for _ in range(10):
                        await asyncio.sleep(0.2)
                        await ask(node)
                self.fleet.links.attach(name, f"{first[0]}:{first[1]}")
            await asyncio.sleep(1.0)
        finally:
            await node.end(signal.SIGKILL)
        await self.fleet.kill(name)

    async def _other_format(self, name: str) -> None:
        """It runs another version for a while, which nobody understands."""
        await self.fleet.kill(name)
        await other_format(self.fleet, name)
        await asyncio.sleep(2.0)
        await self.fleet.kill(name)

    async def _old_format(self, name: str) -> None:
        """It runs the version before for a while, and takes part."""
        await self.fleet.kill(name)
        await other_format(self.fleet, name, 1)
        await asyncio.sleep(self.node_draw.uniform(1.0, 4.0))
        await self.fleet.kill(name)


async def ask(node: Process) -> None:
    """A request at a process that is none of the fleet's."""
    from beechrock.net.scgi_codec import request_bytes

    reader, writer = await asyncio.open_connection(*node.address("SCGI on"))
    try:
        writer.write(request_bytes({"REQUEST_METHOD": "POST", "PATH_INFO": "/s", "HTTP_X_TEAM": "a"}, b""))
        async with asyncio.timeout(3.0):
            await reader.read(-1)
    finally:
        writer.transport.abort()


async def twin(fleet: Fleet, name: str, copied: bool) -> Process:
    """A second process of that name, up. It speaks over the first one's links."""
    node = Process(fleet.folder / f"{name}-twin", name)
    shutil.rmtree(node.state, ignore_errors=True)
    if copied:
        shutil.copytree(fleet.nodes[name].state, node.state)
    tables = await fleet._file(name)
    tables["fleet"]["state"] = str(node.state)
    node.begin(tables, fleet._environ(name))
    await node.came_up()
    return node


async def other_format(fleet: Fleet, name: str, reads: int = 99) -> None:
    """This one, which is down, in another format of messages, 1 for the one before; until it is up."""
    fleet.note("other format", name, reads=reads)
    program = [sys.executable, "-c", OTHER_FORMAT.format(reads=reads)]
    fleet.nodes[name].begin(await fleet._file(name), fleet._environ(name), program)
    await fleet._up(name)


async def play(folder: Path, seed: int, seconds: float = 20.0) -> Outcome:
    """One history. LabError: what was waited for never came."""
    draw = random.Random(seed)
    names = [f"n{n}" for n in range(draw.randint(5, 9))]
    voters = names[:3]
    server = Server(0.002)
    at = "{}:{}".format(*await server.start())
    tables = {"agree": {"voters": voters}, "replica": {"lease_s": 4.0, "repair_s": 0.5, "most_mb": 8}}
    async with Fleet(
        folder,
        seed,
        names,
        tables=tables,
        lying=True,
        clocks=True,
        inventory=INVENTORY.format(at=at, whole=WHOLE, size=len(names)),
    ) as fleet:
        for name in names:  # minutes apart from the start, as no clock is asked which copy is right
            fleet.clock(name, leap_s=draw.uniform(-LEAP_S, LEAP_S), which=("wall",))
        await fleet.start()
        work = Play(fleet, draw, voters)
        await fleet.until(lambda: work.whole(*names), QUIET_S, "all whole at first")
        begun = asyncio.get_running_loop().time()
        laid = plan(Rules(tuple(names), LINKS, seconds, every_s=1.5), seed)

        async def link(fault: Any) -> None:
            await asyncio.sleep(begun + fault.at_s - asyncio.get_running_loop().time())
            await link_fault(fleet, fault)

        callers = [asyncio.ensure_future(one) for one in (work.write(), work.spend(), work.spend())]
        try:
            await asyncio.gather(work.nodes(seconds), *(link(fault) for fault in laid))
        finally:
            for one in callers:
                one.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        fleet.links.heal()
        for name in names:
            if not fleet.nodes[name].up:
                await work.up(name)

        try:
            held = await at_rest(fleet, names, NOTES, QUIET_S)
        except LabError as error:
            work.broken.append(f"play: {error}")
            held = {name: await copies(fleet, name, NOTES) for name in names}
        for name in names:
            fleet.note("copies", name, held=held[name])
        if server.runs > WHOLE:
            work.broken.append(f"play: {server.runs} runs of a budget of {WHOLE}")
        history = fleet.history()
        work.broken += [f"play: {name} wrote a traceback" for name in fleet.troubles()]
        work.broken += check(history, ("agree", "replica", "sound"))
        work.broken += set_aside_for_nothing(history, FORGETS)
        kept = sum(event["event"] == "replica.kept" for event in history)
        found = Outcome(
            len(names), work.faults, len(laid), kept, server.runs, work.broken, fleet.save_history()
        )
    server.close()
    return found


def main() -> int:
    """Seeds from A to before B: ``python -m beechrock.lab.replica_play A B FOLDER [SECONDS]``."""
    first, last, folder = int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])
    seconds, wrong = float(sys.argv[4]) if len(sys.argv) > 4 else 20.0, 0
    for seed in range(first, last):
        place = folder / f"seed-{seed}"
        try:
            found = asyncio.run(play(place, seed, seconds))
        except LabError as error:
            wrong += 1
            print(f"seed {seed}: {error}", flush=True)
            continue
        wrong += bool(found.broken)
        print(
            f"seed {seed}: {found.nodes} nodes, {found.links} faults of links and clocks, "
            f"{', '.join(found.faults)}; {found.kept} kept, {found.runs} of {WHOLE} run; "
            f"{found.broken or 'nothing broken'}",
            flush=True,
        )
        if not found.broken:
            shutil.rmtree(place)
    print(f"{last - first} seeds, {wrong} with something broken")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
