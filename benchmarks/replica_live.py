"""What ``benchmarks/replica.py`` plays with real processes: lag, cost of a request, a giver's service.

Pairs are made of short windows in the order A B B A, of processes that all run at the same time, with the
same callers; so whatever else the machine does meets both. Processor time is that of all threads of the
node, as the system's scheduler counts it (in nanoseconds; ticks of 10 ms tell no 3% of a second).
"""

import asyncio
import os
import statistics
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from beechrock.lab.fleet import Fleet, process
from beechrock.lab.scgi_servers import Server
from beechrock.net.scgi import request_bytes
from beechrock.replica import journal
from beechrock.replica.disk import Disk
from beechrock.replica.sums import RANGES
from beechrock.store import folder as state_folder

MOST_LAG_MS, MOST_WORST_MS = 250.0, 5000.0  # at 1,000 changes a second among 9 processes
MOST_COST = 0.03
LEAST_SERVICE = 0.98  # of what a giver serves when nobody copies from it
CALLERS, TEAM, SERVICE = 16, "a", "s"
INVENTORY = """
teams: {{hosts: {{a: {{}}}}}}
services: {{hosts: {{s: {{upstreams: ["{at}"]}}}}}}
contracts: {{hosts: {{a-s: {{team: a, service: s, share: 1, rate: 5000, aim_ms: 2000, due_ms: 8000,
  effect: safe}}}}}}
budgets: {{hosts: {{b: {{team: a, amount: 10000000, period_s: 1000000000}}}}}}
all: {{vars: {{cores: 8, memory_mb: 96, fleet_size: 3}}}}
"""


def used_s(pid: int) -> float:
    """Processor time of all threads of a process so far."""
    spent = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        spent += int((task / "schedstat").read_text().split()[0])
    return spent / 1e9


def pin(fleet: Fleet, name: str, cores: Sequence[int], place: int) -> None:
    """All threads of a node to one of our cores, the same one in both of a pair."""
    for task in Path(f"/proc/{fleet.nodes[name].pid}/task").iterdir():
        os.sched_setaffinity(int(task.name), {cores[place % len(cores)]})


async def ask(address: tuple[str, int], data: bytes) -> bool:
    """One request; whether it was served."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return b"200" in (await reader.read(-1))[:16]
    finally:
        writer.transport.abort()


async def ask_many(address: tuple[str, int], count: int) -> int:
    """By callers that always wait for one answer; how many were served."""
    data = request_bytes({"REQUEST_METHOD": "POST", "PATH_INFO": f"/{SERVICE}", "HTTP_X_TEAM": TEAM}, b"")

    async def caller(asked: int) -> int:
        return sum([await ask(address, data) for _ in range(asked)])

    each = [count // CALLERS + (n < count % CALLERS) for n in range(CALLERS)]
    return sum(await asyncio.gather(*map(caller, each)))


async def ask_for(address: tuple[str, int], seconds: float) -> float:
    """Served a second, by callers that always wait for one answer."""
    data = request_bytes({"REQUEST_METHOD": "POST", "PATH_INFO": f"/{SERVICE}", "HTTP_X_TEAM": TEAM}, b"")
    end, served = time.monotonic() + seconds, 0

    async def caller() -> None:
        nonlocal served
        while time.monotonic() < end:
            answered = await ask(address, data)
            served += answered  # not in one: what the others counted meanwhile would be lost

    start = time.monotonic()
    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return served / (time.monotonic() - start)


async def serves(fleet: Fleet, name: str) -> bool:
    return (await fleet.scgi(name, SERVICE, TEAM))[0] == 200


async def cost_play(seed: int, pairs: int, count: int) -> tuple[list[tuple[float, float]], list[float]]:
    """Of one node of three, processor seconds a request without the table and with it, by pair; and its part
    of a core when nothing is asked of either."""
    cores, names = sorted(os.sched_getaffinity(0)), ("a", "b", "c")
    server = Server(0.0)
    inventory = INVENTORY.format(at="{}:{}".format(*await server.start()))
    with tempfile.TemporaryDirectory() as folder:
        agree = {"agree": {"voters": list(names)}}
        made = [
            Fleet(Path(folder) / told, seed, names, inventory=inventory, tables=tables)
            for told, tables in (("off", agree), ("on", {**agree, "replica": {}}))
        ]
        async with made[0], made[1]:
            for fleet in made:
                await fleet.start()
                await fleet.until(lambda fleet=fleet: serves(fleet, "a"))  # type: ignore[misc]
                for place, name in enumerate(names):
                    pin(fleet, name, cores, 0 if place == 0 else 1)
            os.sched_setaffinity(0, set(cores[2:] or cores))

            async def window(n: int) -> float:
                fleet = made[n]
                pid, address = fleet.nodes["a"].pid, fleet.nodes["a"].address("SCGI on")
                start = used_s(pid)
                served = await ask_many(address, count)
                assert served == count, f"{served} of {count} served"
                return (used_s(pid) - start) / count

            for n in (0, 1):
                await window(n)
            plays = []
            for pair in range(pairs):
                first = (pair + seed) % 2
                found = {first: await window(first)}
                found[1 - first] = await window(1 - first)
                plays.append((found[0], found[1]))
            before, start = [used_s(fleet.nodes["a"].pid) for fleet in made], time.monotonic()
            await asyncio.sleep(3)
            idle = [
                (used_s(fleet.nodes["a"].pid) - one) / (time.monotonic() - start)
                for fleet, one in zip(made, before, strict=True)
            ]
        os.sched_setaffinity(0, set(cores))
    server.close()
    return plays, idle


def cost(short: bool) -> tuple[str, bool]:
    """Windows of the same requests at a node of a fleet with the table and at one without, in pairs.
    Processes anew in each play: two of the same program differ by some percent for their whole life."""
    plays, pairs, count = (2, 8, 400) if short else (4, 20, 400)
    found, mid, idle = list[tuple[float, float]](), list[float](), list[list[float]]()
    for seed in range(plays):
        told, still = asyncio.run(cost_play(seed, pairs, count))
        found += told
        idle.append(still)
        mid.append(statistics.median(on / off - 1 for off, on in told))
    more = sorted(on / off - 1 for off, on in found)
    median, off = statistics.median(more), statistics.median(one[0] for one in found)
    low, high = more[len(more) // 4], more[len(more) * 3 // 4]
    still = [statistics.median(one[n] for one in idle) for n in (0, 1)]
    return (
        f"cost: {1e6 * off:.0f} us of processor time a request without, {median:+.1%} with, in the "
        f"median of {len(more)} pairs of {count} requests (middle half {low:+.1%} to {high:+.1%}); by "
        f"play {', '.join(f'{one:+.1%}' for one in mid)}; with nothing asked {still[0]:.2%} of a core "
        f"without, {still[1]:.2%} with",
        median <= (MOST_COST if not short else 5 * MOST_COST),
    )


def lag(short: bool) -> tuple[str, bool]:
    """Real processes; from a change's call to its place in another's table."""
    names = [f"n{n}" for n in range(9)]

    async def play() -> list[dict[str, float]]:
        told = {"replica": {"trial_per_s": 0.01}}
        with tempfile.TemporaryDirectory() as folder:
            async with Fleet(Path(folder), 1, names, tables=told) as fleet:
                await fleet.start()

                async def whole() -> bool:
                    return all([(await fleet.view(name, "/replica"))["stage"] == "whole" for name in names])

                await fleet.until(whole, 120.0)
                for name in names:
                    await fleet.call(name, "POST", f"/replica/trial?per_s={1000 // len(names) + 1}")
                await asyncio.sleep(2)
                for name in names:
                    await fleet.view(name, "/replica")  # the figures begin here
                await asyncio.sleep(8 if short else 60)
                return [(await fleet.view(name, "/replica"))["trial"] for name in names]

    found = [one for one in asyncio.run(play()) if one["heard"]]
    median = statistics.median(one["median_ms"] for one in found)
    late, worst = max(one["p99_ms"] for one in found), max(one["worst_ms"] for one in found)
    heard = sum(one["heard"] for one in found)
    return (
        f"lag: {heard} changes heard by 9 processes, {median:.1f} ms in the median, {late:.0f} at the "
        f"99th of the slowest, {worst:.0f} at worst",
        median <= MOST_LAG_MS and worst <= MOST_WORST_MS,
    )


def fill(state: Path, name: str, count: int) -> None:
    """A node's disk as it is with so many records, each as all others have it."""
    disk = Disk(state_folder.open_folder(state / "replica"))
    core = disk.core(name, f"{name}/filled", (), 0)
    for n in range(count):
        core.table.own("learned", f"x/{n}", 1, b"%020d" % n)
    core.writes.clear()
    disk.pending.clear()
    core.noted = (RANGES, False)  # no empty one that has still to meet the others
    disk.sync()
    disk.save(disk.store.last, list(journal.snapshot(core)))
    disk.store.close()


async def copied(
    count: int,
    pairs: int,
    window_s: float,
    whole: bool,
) -> tuple[list[tuple[float, float]], float, float, float]:
    """A newcomer copies from ``a``, whom callers ask meanwhile, in windows with the copy under way and with
    the newcomer stopped. By pair what is served a second without and with; the rate of the copy in bytes a
    second; its part that was done; and, if the copy is to be whole, how long that took in all."""
    cores, names = sorted(os.sched_getaffinity(0)), ("a", "b", "c")
    server = Server(0.0)
    inventory = INVENTORY.format(at="{}:{}".format(*await server.start()))
    tables = {"agree": {"voters": ["a", "c"]}, "replica": {"most_records": 1 << 20}}
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 1, names, inventory=inventory, tables=tables) as fleet:
            with ProcessPoolExecutor(2) as pool:
                made = [pool.submit(fill, fleet.nodes[name].state, name, count) for name in ("a", "c")]
                for one in made:
                    await asyncio.wrap_future(one)
            process.START_S = 300.0  # where others have the core, too
            for some in [("a", "c")] if len(cores) > 1 else [("a",), ("c",)]:
                await fleet.start(*some)  # a million takes 20 s of a core to read

            async def stage(name: str) -> str:
                return str((await fleet.view(name, "/replica"))["stage"])

            async def both() -> bool:
                return [await stage(name) for name in ("a", "c")] == ["whole", "whole"]

            await fleet.until(both, 120.0, "givers that are whole")
            fleet.links.split(["b"], ["c"])  # so that one node gives, and the same all the time
            await fleet.start("b")
            for name, place in (("a", 0), ("b", 1), ("c", 1)):
                pin(fleet, name, cores, place)
            os.sched_setaffinity(0, set(cores[2:] or cores))

            async def copying() -> bool:
                given = (await fleet.view("a", "/replica"))["given_bytes"]
                return await stage("b") == "snapshot" and bool(given)

            await fleet.until(copying)
            await fleet.until(lambda: serves(fleet, "a"))
            begun, address = time.monotonic(), fleet.nodes["a"].address("SCGI on")
            found, given, gave_s, paused_s = list[tuple[float, float]](), 0, 0.0, 0.0

            async def window(on: bool) -> float:
                nonlocal given, gave_s, paused_s
                before, start = (await fleet.view("a", "/replica"))["given_bytes"], time.monotonic()
                if not on:
                    fleet.stop("b")
                    await asyncio.sleep(0.5)  # what it had asked for is under way
                served = await ask_for(address, window_s)
                took = time.monotonic() - start
                if on:
                    given += (await fleet.view("a", "/replica"))["given_bytes"] - before
                    gave_s += took
                else:
                    fleet.go_on("b")
                    await asyncio.sleep(0.5)
                    paused_s += time.monotonic() - start
                return served

            await ask_for(address, 1.0)
            for n in range(pairs):
                order = [n % 2 == 0, n % 2 == 1]
                by = {on: await window(on) for on in order}
                found.append((by[False], by[True]))
            view = await fleet.view("b", "/replica")
            done, whole_s = float(view["progress"]), 0.0
            if whole:

                async def over() -> bool:
                    return await stage("b") not in ("away", "tail", "snapshot")

                await fleet.until(over, 3600.0, "the whole copy")
                fleet.links.heal()

                async def level() -> bool:
                    views = [await fleet.view(name, "/replica") for name in names]
                    return len({one["root"] for one in views}) == 1 and views[1]["stage"] == "whole"

                await fleet.until(level, 600.0, "equal copies")
                whole_s = time.monotonic() - begun - paused_s
    server.close()
    return found, given / gave_s if gave_s else 0.0, done, whole_s


def service(short: bool) -> tuple[str, bool]:
    """Of a giver on a core of its own, asked as much as it can serve, with a copy under way and without."""
    count, pairs, window_s = (50_000, 4, 2.0) if short else (1_000_000, 16, 4.0)
    found, rate, done, _ = asyncio.run(copied(count, pairs, window_s, False))
    parts = sorted(on / off for off, on in found)
    median, off = statistics.median(parts), statistics.median(one[0] for one in found)
    return (
        f"service of a giver of {count} records: {off:.0f} a second without, {median:.3f} of it with, in "
        f"the median of {pairs} pairs of {window_s:g} s ({parts[0]:.3f} to {parts[-1]:.3f}), at "
        f"{rate / 1024:.0f} KB/s given; {done:.0%} copied in them",
        median >= (LEAST_SERVICE if not short else 0.9),
    )


def copy(short: bool) -> tuple[str, bool]:
    """How long a whole copy takes between real processes, until the newcomer is whole and all are equal."""
    count = 50_000 if short else 1_000_000
    _, _, _, took = asyncio.run(copied(count, 0, 1.0, True))
    return f"a whole copy of {count} records by processes: {took:.0f} s until it was whole and equal", True
