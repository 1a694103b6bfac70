"""What the lowering is worth: policies against the interpreter, large compiles, the lookup, a rollout.

Every drawn policy is compiled for three drawn classes and judged by the plain interpreter with a witness for
each region; beside it the greedy and the solver's placement of the same policies, in pairs. The lookup is
timed at 100 and at 10,000 rules, in turns. The rollout starts real processes under load and brings them to a
new generation;
each generation has to have one digest at all nodes, and nearly all requests an answer.

    python benchmarks/lowering.py [--short]
"""

import argparse
import asyncio
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent.parent
sys.path.insert(0, str(HERE))

from beechrock.lab.fleet import Fleet  # noqa: E402
from beechrock.lab.fleet.checkers import check, read_by  # noqa: E402
from beechrock.lab.scgi_servers import Server  # noqa: E402
from beechrock.lowering import draw  # noqa: E402
from beechrock.lowering.compile import compile_policy  # noqa: E402
from beechrock.lowering.errors import WitnessError  # noqa: E402
from beechrock.lowering.policy import Affinity  # noqa: E402
from beechrock.lowering.profile import Fleet as Machines  # noqa: E402
from beechrock.lowering.profile import Profile  # noqa: E402
from beechrock.lowering.tables import Table  # noqa: E402

COMPILE_S, LOOKUP, SERVICE = 10.0, 1.5, 0.99
PIECE = 250  # drawn policies between two lines
CHANGES = 3  # of the rollout
INVENTORY = """
all: {vars: {cores: 2, memory_mb: 64}}
teams: {hosts: {red: }}
services: {hosts: {get: {upstreams: "127.0.0.1:PORT"}}}
contracts:
  hosts:
    red-get: {team: red, service: get, share: 1, rate: 900, aim_ms: 900, due_ms: 4000, effect: safe}
machines: {hosts: {m1: {hall: east, hardware: big}, m2: {hall: west, hardware: small}}}
hardware: {hosts: {big: , small: {kinds: [exact], slots: 4, memory_kb: 1024}}}
pools:
  hosts:
    near: {hall: east, upstreams: ["127.0.0.1:PORT"]}
    far: {hall: west, upstreams: ["127.0.0.1:PORT"]}
rules:
  hosts:
    images: {team: red, prefix: img/, pools: [near=3, far], priority: PRIORITY}
    rest: {pools: near, fall_backs: [far]}
"""


def drawn(count: int, seed: int) -> tuple[int, int, int, int]:
    """Regions looked at, policies that were off, and by how many the solver or the greedy way was the
    better."""
    regions = off = better = worse = 0
    for at in range(seed, seed + count):
        policy, (profiles, fleet) = draw.policy(at), draw.fleet(at)
        # The solver costs some 10 ms a policy: in pairs for a part, greedy alone for the rest.
        ways = (0.0, 3.0) if at % 10 == 0 else (0.0,)
        cost = []
        for time_s in ways:
            try:
                done = compile_policy(policy, profiles, fleet, strict=False, time_s=time_s)
            except WitnessError as error:
                off += 1
                print(f"seed {at}: {error}")
                continue
            regions += done.report.witnesses
            counts = done.report.counts()
            cost.append(counts["steered"] + 1000 * counts["refused"])
        if len(cost) == 2:
            better += cost[1] < cost[0]
            worse += cost[1] > cost[0]
    return regions, off, better, worse


def classes() -> tuple[dict[str, Profile], Machines]:
    """Six as they may stand in a fleet: from one that can run anything to one that tells few things apart."""
    profiles = [
        Profile("full"),
        Profile("few-slots", slots=8, timer_ms=10, levels=4),
        Profile("small", memory_kb=6000, slots=16, retries=1),
        Profile(
            "no-sets",
            kinds=frozenset(("exact", "prefix", "size", "attempt")),
            affinity=frozenset((Affinity.MODULO,)),
        ),
        Profile("few-counters", counters=200, timers=100, mirrors=False),
        Profile("short", tiers=2, slots=32),
    ]
    machines = {(p.name, hall): 2 for at, p in enumerate(profiles) for hall in draw.HALLS[at % 2 :]}
    return {p.name: p for p in profiles}, Machines(dict(sorted(machines.items())))


def compiled(rules: int, seed: int, teams: int = 50) -> tuple[float, Any]:
    profiles, machines = classes()
    policy = draw.policy(seed, rules, teams, 20)
    began = time.process_time()  # of the processor, as others may share it
    done = compile_policy(policy, profiles, machines, strict=False)
    return time.process_time() - began, (done, policy)


def lookups(table: Table, policy: Any, seed: int, count: int = 20_000) -> float:
    """Microseconds a lookup, over subjects that rules name, beside others."""
    pick, rules = random.Random(seed), policy.rules
    asked = []
    for _ in range(2000):
        rule = pick.choice(rules)
        team, service = pick.choice(policy.contracts(rule.match) or sorted(policy.effects))
        subject = (rule.match.subjects or ("none",))[0] + pick.choice(("", "x"))
        asked.append((team, service, subject, pick.choice((5, 5000)), pick.choice((1, 2))))
    began = time.perf_counter()
    for at in range(count):
        table.find(*asked[at % len(asked)])
    return (time.perf_counter() - began) / count * 1e6


async def rollout(folder: Path, nodes: int) -> dict[str, Any]:
    """New generations under load; what was answered, and by which generations."""
    names = [f"n{at:02d}" for at in range(nodes)]
    server = Server(0.005)
    _, port = await server.start()
    text = INVENTORY.replace("PORT", str(port))
    tables = {
        "watch_s": 0.2,
        "settle_s": 0.2,
        "agree": {"voters": names[:3]},
        "duties": {"lease_s": 3.0},
        "lowering": {"prepare_s": 20.0, "ways": True},
    }
    hardware = {name: "small" if at % 3 == 2 else "big" for at, name in enumerate(names)}
    halls = {name: draw.HALLS[at % 3] for at, name in enumerate(names)}
    async with Fleet(
        folder,
        5,
        names,
        tables=tables,
        hardware=hardware,
        halls=halls,
        inventory=text.replace("PRIORITY", "3"),
        direct=True,  # 25 processes have 600 links, and no fault is wanted here
    ) as fleet:
        await fleet.start()

        async def level(generation: int) -> Any:
            views = await asyncio.gather(*(fleet.view(name, "/lowering") for name in names))
            there = [v for v in views if v["generation"] == generation and v["in_force"] is not None]
            return len(there) == len(names) and not any(v["in_force"]["round"] for v in there)

        await fleet.until(lambda: level(1), 120.0, what="the first generation")
        counts: dict[str, list[int]] = {}  # by part: served, and in all; of the part in which each began
        part, lost = "before", Counter[tuple[str, str]]()
        stop = asyncio.Event()

        async def caller(at: int) -> None:
            pick, number = random.Random(at), 0
            while not stop.is_set():
                number += 1
                mine = counts.setdefault(part, [0, 0])
                mine[1] += 1
                try:
                    status, _, said = await fleet.scgi(
                        pick.choice(names),
                        "get",
                        "red",
                        f"{at} {number}".encode(),
                        HTTP_X_ENTITY=pick.choice(("img/1", "img/2", "doc")),
                    )
                    mine[0] += status == 200
                    if status != 200:
                        lost[part, f"{status} {said[:80].decode()}"] += 1
                except (OSError, TimeoutError) as error:
                    lost[part, type(error).__name__] += 1
                await asyncio.sleep(0.2)

        callers = [asyncio.create_task(caller(at)) for at in range(8)]
        took = 0.0
        for generation in range(2, 2 + CHANGES):  # each change beside a stretch without one that is as long
            part, began = "change", time.monotonic()
            for name in names:
                fleet.write_inventory(name, text.replace("PRIORITY", str(2 + generation)))
            await fleet.until(lambda: level(generation), 120.0, what=f"generation {generation}")  # noqa: B023
            await asyncio.sleep(1.0)
            took = max(took, time.monotonic() - began - 1.0)
            part = "none"
            await asyncio.sleep(time.monotonic() - began)
        stop.set()
        await asyncio.gather(*callers)
        history = fleet.history()
        found = check(history, ["lowering", "ways", "sound"])
        found += [f"{body!r} met generations {met}" for body, met in server.plans.items() if len(met) > 1]
        read = read_by(history, ["ways"])["ways"]
        server.close()
        return {"took_s": took, "counts": counts, "found": found, "read": read, "lost": lost}


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--only", choices=("drawn", "compile", "rollout"), action="append")
    parser.add_argument("--nodes", type=int, default=0, help="of the rollout")
    parser.add_argument("--seed", type=int, default=1, help="of the first drawn policy")
    parser.add_argument("--count", type=int, default=0, help="of drawn policies")
    told = parser.parse_args()
    wanted = told.only or ["drawn", "compile", "rollout"]
    missed = []
    if "drawn" in wanted:
        missed += judged(told.seed, told.count or (300 if told.short else 20_000))
    if "compile" in wanted:
        missed += timed(2_000 if told.short else 10_000)
    nodes = told.nodes or (0 if told.short else 25)
    if nodes and "rollout" in wanted:
        missed += brought(nodes)
    for what in missed:
        print(f"MISSED: {what}")
    return 1 if missed else 0


def judged(seed: int, count: int) -> list[str]:
    """In pieces that may be played side by side: each is told with its seeds."""
    off = regions = better = worse = 0
    began = time.perf_counter()
    for at in range(seed, seed + count, PIECE):
        piece = drawn(min(PIECE, seed + count - at), at)
        regions, off = regions + piece[0], off + piece[1]
        better, worse = better + piece[2], worse + piece[3]
        print(
            f"policies {seed} to {min(at + PIECE, seed + count) - 1}, {regions} regions: {off} beyond the "
            f"stated error, {time.perf_counter() - began:.1f} s; the solver was better {better} times, "
            f"greedy {worse}",
            flush=True,
        )
    return ["stated error"] * bool(off)


def timed(rules: int) -> list[str]:
    missed: list[str] = []
    took, (done, large) = compiled(rules, 7)
    outcomes = {name: n for name, n in done.report.counts().items() if n}
    print(
        f"{rules} rules for 6 classes: {took:.1f} s of the processor, {done.report.witnesses} regions, "
        f"{done.report.method}, {outcomes}"
    )
    missed += ["compile"] * (took > COMPILE_S)

    _, (few_done, few) = compiled(100, 7, max(1, 100 * 50 // rules))
    times: list[tuple[float, float]] = []
    for play in range(7):
        times.append((lookups(few_done.tables["full"], few, play), lookups(done.tables["full"], large, play)))
    ratio = statistics.median(b / a for a, b in times)
    print(
        f"a lookup: {statistics.median(a for a, _ in times):.2f} us at 100 rules, "
        f"{statistics.median(b for _, b in times):.2f} us at {rules}: {ratio:.2f} times, in pairs"
    )
    return missed + ["lookup"] * (ratio > LOOKUP)


def brought(nodes: int) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        ran = asyncio.run(rollout(Path(folder), nodes))
    (good, asked), (without, of) = ran["counts"]["change"], ran["counts"]["none"]
    service, beside = good / asked, without / of
    print(
        f"{nodes} processes to {CHANGES} new generations under load: {ran['took_s']:.1f} s at most, "
        f"service {service:.4f} of {asked} during changes, {beside:.4f} of {of} beside them; "
        f"{ran['read']} events read, {len(ran['found'])} requests on two plans, or plans of one generation"
    )
    for line in (*ran["found"][:20], *(f"lost: {n} {what}" for what, n in ran["lost"].most_common(10))):
        print(line)
    return ["service"] * (service < SERVICE * beside) + ["two plans"] * bool(ran["found"] or not ran["read"])


if __name__ == "__main__":
    sys.exit(main())
