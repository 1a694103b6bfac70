"""A newcomer beside broken servers: what it pays with others' word, and alone. In pairs.

``model``: the real order of servers (replica/health.py) over eight servers, three of them broken, under a
driven clock, with good, stale, crawling and plainly wrong givers. ``live``: two fleets of three processes
beside each other, in one of which the others learned of the broken servers; the third is killed and started,
and asked the same. A miss: exit 1.
"""

import argparse
import asyncio
import heapq
import json
import os
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

from replica_live import ask

from beechrock.lab.fleet import Fleet
from beechrock.lab.scgi_servers import Server
from beechrock.net.scgi_codec import request_bytes
from beechrock.replica.health import Address, Health, Word
from beechrock.replica.priors import Advice
from beechrock.replica.telling import TICK_S

SERVERS: list[Address] = [("s", n) for n in range(8)]
POOLS = {"x": tuple(SERVERS)}
KINDS = ("fails", "hangs", "slow")
USUAL_S, DUE_S, SLOW_S, BAD_S = 0.02, 2.0, 0.6, 0.3
CAME_S = 0.3  # after its start a newcomer has heard the others
LONG_S, RATE, FIRST_S = 20.0, 20.0, 5.0
STEADY = 0.2  # of a second's answers that may be bad: looks at what is out go on, at both of a pair
WRONG_MORE = 40  # bad answers more of some 400 that a word which is sound and wrong may spoil
GIVERS = ("good", "stale", "crawling", "wrong")


def drawn(seed: int) -> dict[Address, str]:
    """The broken servers, and how each is."""
    draw = random.Random(f"{seed} broken")
    return {server: draw.choice(KINDS) for server in draw.sample(SERVERS, 3)}


def words(draw: random.Random, giver: str, broken: dict[Address, str]) -> list[tuple[Advice, Word]]:
    """Of two givers; what is not good says that three others are out, and the broken ones quick."""
    well = [server for server in SERVERS if server not in broken]
    out = [one for one, kind in broken.items() if kind != "slow"] if giver == "good" else draw.sample(well, 3)
    found = []
    for name in ("a", "b"):
        for server in SERVERS:
            mean = USUAL_S / 4 if server in broken and giver != "good" else USUAL_S
            if giver == "good" and broken.get(server) == "slow":
                mean = SLOW_S
            ejected = draw.uniform(2, 30) if server in out else 0.0
            found.append(
                (
                    Advice(
                        name,
                        mean,
                        draw.randint(50, 900),
                        draw.uniform(301, 3000) if giver == "stale" else draw.uniform(0, 20),
                        draw.uniform(1.6, 9) if giver == "crawling" else 1.0,
                    ),
                    Word("{}:{}".format(*server), mean, 200, 1.0, ejected),
                )
            )
    return found


def play(seed: int, broken: dict[Address, str], told: list[tuple[Advice, Word]]) -> tuple[int, int, float]:
    """Bad answers of a newcomer's first seconds and of all, and when the last second ended with too many."""
    draw, health, load, some = random.Random(seed), Health(), dict.fromkeys(SERVERS, 0), SERVERS[0]
    events: list[tuple[float, int, str, Address, float]] = []
    at, count = 0.0, 0
    while (at := at + draw.expovariate(RATE)) < LONG_S:
        heapq.heappush(events, (at, count := count + 1, "ask", some, draw.expovariate(1 / USUAL_S)))
    for n in range(int(LONG_S / TICK_S)):
        heapq.heappush(events, (n * TICK_S, count := count + 1, "tick", some, 0.0))
    bad, total = dict[int, int](), dict[int, int]()
    while events:
        now, _, what, server, value = heapq.heappop(events)
        if what == "tick":
            health.advise(now, told if now >= CAME_S else [], POOLS)
        elif what == "ask":
            server = min(SERVERS, key=lambda one: health.cost(now, one, load[one]))
            load[server] += 1
            took, end = value, "good"
            if server in broken:
                took, end = {
                    "fails": (0.002, "fail"),
                    "hangs": (DUE_S, "late"),
                    "slow": (value * SLOW_S / USUAL_S, "good"),
                }[broken[server]]
            total[int(now)] = total.get(int(now), 0) + 1
            if end != "good" or took > BAD_S:
                bad[int(now)] = bad.get(int(now), 0) + 1
            heapq.heappush(events, (now + took, count := count + 1, end, server, took))
        else:
            load[server] -= 1
            if what == "good":
                health.good(now, server, value)
            else:
                health.failed(now, server, value if what == "late" else 0.0)
    steady = max((second + 1 for second, n in bad.items() if n > total[second] * STEADY), default=0)
    return sum(n for second, n in bad.items() if second < FIRST_S), sum(bad.values()), float(steady)


def model(short: bool) -> tuple[str, bool]:
    seeds, lines, good = 60 if short else 1000, [], True
    for giver in GIVERS:
        pairs = []
        for seed in range(seeds):
            broken = drawn(seed)
            told = words(random.Random(f"{giver} {seed}"), giver, broken)
            pairs.append((play(seed, broken, told), play(seed, broken, [])))
        with_, alone = ([statistics.mean(pair[n][m] for pair in pairs) for m in (0, 1, 2)] for n in (0, 1))
        worse = max(one[1] - other[1] for one, other in pairs)
        lines.append(
            f"{giver}: {with_[0]:.1f} bad answers of the first {FIRST_S * RATE:.0f}, {alone[0]:.1f} "
            f"alone; of all {LONG_S * RATE:.0f} {with_[1]:.1f} and {alone[1]:.1f}, at most "
            f"{worse} more; "
            f"steady after {with_[2]:.2f} and {alone[2]:.2f} s"
        )
        good = good and (
            with_[0] < alone[0] / 2 and with_[2] < alone[2]
            if giver == "good"
            else worse <= (WRONG_MORE if giver == "wrong" else 0)
        )
    return f"model, {seeds} pairs each; " + " | ".join(lines), good


INVENTORY = """
teams: {{hosts: {{a: {{}}}}}}
services: {{hosts: {{s: {{upstreams: [{at}]}}}}}}
contracts: {{hosts: {{a-s: {{team: a, service: s, share: 1, rate: 5000, aim_ms: 2000, due_ms: 8000,
  effect: safe}}}}}}
all: {{vars: {{cores: 8, memory_mb: 96, fleet_size: 3}}}}
"""
NAMES, CALLERS, WINDOW_S, PACE_S = ("a", "b", "c"), 4, 6.0, 0.1
ASKED = request_bytes({"REQUEST_METHOD": "POST", "PATH_INFO": "/s", "HTTP_X_TEAM": "a"}, b"")


class Broken(Server):
    """Takes each request, and says nothing."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.runs += 1
        writer.close()


async def window(fleet: Fleet) -> tuple[int, int, float]:
    """At the newcomer, by callers with a pause between: asked, failed, when the last failure was."""
    address, begun, asked, failed, last = fleet.nodes["c"].address("SCGI on"), time.monotonic(), 0, 0, 0.0

    async def caller() -> None:
        nonlocal asked, failed, last
        while time.monotonic() - begun < WINDOW_S:
            served = await ask(address, ASKED)
            asked += 1
            if not served:
                failed, last = failed + 1, time.monotonic() - begun
            await asyncio.sleep(PACE_S)

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return asked, failed, last


async def lives(
    seed: int,
    pairs: int,
    slow: list[float],
) -> dict[str, list[tuple[tuple[int, int, float], ...]]]:
    """By what the others are: pairs of the newcomer with their word and alone. How slow the givers were."""
    servers = [*(Server(0.005) for _ in range(5)), *(Broken() for _ in range(3))]
    places = [await one.start() for one in servers]
    inventory = INVENTORY.format(at=", ".join(f'"{host}:{port}"' for host, port in places))
    tables = {"agree": {"voters": list(NAMES)}, "replica": {"advice": True}}
    found: dict[str, list[tuple[tuple[int, int, float], ...]]] = {"good": [], "stale": []}
    with tempfile.TemporaryDirectory() as folder:
        made = [
            Fleet(Path(folder) / told, seed, NAMES, inventory=inventory, tables=tables)
            for told in ("with", "alone")
        ]
        async with made[0], made[1]:
            for fleet in made:
                await fleet.start()

            async def whole(fleet: Fleet, name: str) -> bool:
                return (await fleet.view(name, "/replica"))["stage"] == "whole"

            for fleet in made:
                for name in NAMES:
                    await fleet.until(lambda fleet=fleet, name=name: whole(fleet, name), 120.0)  # type: ignore
            over = asyncio.Event()

            async def others() -> None:  # the fleet's day, in the one alone
                while not over.is_set():
                    for name in ("a", "b"):
                        if not made[0].nodes[name].stopped:
                            await ask(made[0].nodes[name].address("SCGI on"), ASKED)
                    await asyncio.sleep(0.05)

            day = asyncio.create_task(others())
            await made[0].until(
                lambda: all(
                    any(event["why"] == "own" for event in made[0].events(name, "replica.server"))
                    for name in ("a", "b")
                ),
                60.0,
                "the others know",
            )
            for pair in range(2 * pairs):
                kind = "good" if pair < pairs else "stale"
                for fleet in made:
                    await fleet.kill("c")
                if kind == "stale":
                    made[0].stop("a", "b")
                    await asyncio.sleep(0.5)
                for fleet in made:
                    await fleet.start("c")
                if kind == "good":
                    await made[0].until(lambda: whole(made[0], "c"), 60.0)
                    for name in ("a", "b"):
                        slow.append((await made[0].view(name, "/replica/advice"))["slowness"])
                found[kind].append(tuple(await asyncio.gather(*(window(fleet) for fleet in made))))
                made[0].go_on("a", "b")
            over.set()
            await day
    for one in servers:
        one.close()
    return found


def live(short: bool) -> tuple[str, bool]:
    slow, lines, good = list[float](), [], True
    found = asyncio.run(lives(1, 2 if short else 10, slow))
    for kind, pairs in found.items():
        part = [[statistics.mean(pair[n][m] for pair in pairs) for m in (0, 1, 2)] for n in (0, 1)]
        more = max(pair[0][1] - pair[1][1] for pair in pairs)
        lines.append(
            f"{kind} givers, {len(pairs)} pairs: {part[0][1]:.1f} of {part[0][0]:.0f} answers "
            f"failed, the last after {part[0][2]:.2f} s, against {part[1][1]:.1f} of "
            f"{part[1][0]:.0f} and {part[1][2]:.2f} s alone, at most {more} more in a pair"
        )
        # Of the mean: looks at a server that is still out cost one each, and single pairs differ by those.
        good = good and (2 * part[0][1] < part[1][1] if kind == "good" else part[0][1] - part[1][1] <= 2)
    cores, pace = len(os.sched_getaffinity(0)), statistics.median(slow)
    return f"live, {cores} cores, givers took {pace:.2f} of their usual time; " + "; ".join(lines), good


PARTS = {"model": model, "live": live}


def main() -> int:
    asked = argparse.ArgumentParser()
    asked.add_argument("--short", action="store_true")
    asked.add_argument("--only", choices=PARTS)
    told = asked.parse_args()
    missed = 0
    for name, part in PARTS.items():
        if told.only in (None, name):
            line, good = part(told.short)
            missed += not good
            print(line if good else f"MISSED: {line}", flush=True)
    print(json.dumps({"missed": missed, "short": told.short}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
