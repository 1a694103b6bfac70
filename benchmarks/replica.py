"""Copies and leases: lag, catch-up, bytes of a repair, overspending, first guesses of a newcomer, cost.

A miss: exit 1. ``--short``: fewer of all, under 40 s on a machine that is free. ``--only NAME``: one part.
Pairs where two things are compared; processor time, which others on the machine leave alone, where told.
"""

import argparse
import json
import random
import statistics
import sys
import time
from collections.abc import Callable

from replica_live import copy, cost, lag, service

from beechrock.lab import budgets_sim, replica_sim
from beechrock.replica.core import Core
from beechrock.replica.messages import encode
from beechrock.replica.priors import DOUBT, Advice, Estimate
from beechrock.store.codec import Mark
from beechrock.store.witness import Verdict

MOST_GIVER = 0.02  # of a core, for what a giver gives at the default rate
GIVE_KB_PER_S = 200  # the default of give_kb_per_s
MOST_REPAIR = 1 << 20  # bytes
SPLITS = 200


def pair(give: float = 1e12) -> tuple[Core, Core]:
    """Two nodes without disks; all that they write is taken as synced."""
    made = []
    for name, other in (("a", "b"), ("b", "a")):
        mark = Mark(name.encode() * 16, 1, 1, b"d" * 16, ((b"d" * 16, 1),))
        told = mark.to_bytes(), mark.digest
        made.append(
            Core(
                name,
                f"{name}/1",
                (other,),
                0,
                lambda told=told: told,  # type: ignore[misc]
                lambda peer, told, believe: Verdict.NEWER,
                give_bytes_per_s=give,
            )
        )
    return made[0], made[1]


def fill(core: Core, count: int) -> None:
    for n in range(count):
        core.table.own("learned", f"x/{n}", 1, b"%020d" % n)
    core.writes.clear()


def exchange(
    cores: tuple[Core, Core],
    done: Callable[[], bool],
    most_s: float,
) -> tuple[int, float, list[float]]:
    """Bytes said, time as driven, and processor seconds of each."""
    now, said, spent = 0.0, 0, [0.0, 0.0]
    by_name = {core.name: n for n, core in enumerate(cores)}
    while not done() and now < most_s:
        now += 0.05
        queue = []
        for n, core in enumerate(cores):
            start = time.process_time()
            queue += [(core.name, one) for one in core.tick(now)]
            spent[n] += time.process_time() - start
        while queue:
            sender, one = queue.pop(0)
            said += len(encode(one.message))
            n = by_name[one.to]
            start = time.process_time()
            queue += [(one.to, more) for more in cores[n].take(now, sender, one.message)]
            cores[n].writes.clear()
            spent[n] += time.process_time() - start
    return said, now, spent


def catch_up(short: bool) -> tuple[str, bool]:
    count = 50_000 if short else 1_000_000
    giver, newcomer = cores = pair(1024 * GIVE_KB_PER_S)
    fill(giver, count)
    newcomer.forgot = newcomer.catchup.forgot = True
    for core in cores:
        core.repair_s = 1e9
    said, took, spent = exchange(cores, lambda: newcomer.catchup.whole, 10_000)
    same = newcomer.table.sums.root == giver.table.sums.root
    part = spent[0] / took
    return (
        f"catch-up of {count} records: {said / 1e6:.1f} MB in {took:.0f} s at {GIVE_KB_PER_S} KB/s; the "
        f"giver used {part:.2%} of a core for it, the newcomer {spent[1] / took:.1%}; equal: {same}",
        same and 1 - part >= 1 - MOST_GIVER,
    )


def repair(short: bool) -> tuple[str, bool]:
    count = 100_000 if short else 1_000_000
    cores = pair()
    for core in cores:
        fill(core, count)
        core.repair_s = 1e9
    for n in range(10):
        cores[n % 2].table.own("learned", f"x/{n * (count // 11)}", 2, b"other")
    cores[0].writes.clear()
    said, _, _ = exchange(cores, lambda: all(core.catchup.whole for core in cores), 100)
    same = cores[0].table.sums.root == cores[1].table.sums.root
    return (f"repair of 10 among {count}: {said} bytes, equal: {same}", same and said < MOST_REPAIR)


def splits(short: bool) -> tuple[str, bool]:
    played = over = histories = 0
    while played < SPLITS:
        world = budgets_sim.play(10_000 + histories)
        histories, played, over = histories + 1, played + world.splits, over + bool(world.broken)
    return f"overspending: {over} of {histories} histories with {played} splits", over == 0


def steady(advice: list[Advice], seed: int, true: float, spread: float) -> int:
    """Own samples until the estimate stays within a quarter of the truth."""
    draw, estimate, last = random.Random(seed), Estimate(true / 8), 0
    estimate.advise(advice)
    for n in range(1, 80):
        if abs(estimate.value / true - 1) > 0.25:
            last = n
        estimate.observe(true * draw.uniform(1 - spread, 1 + spread))
    return last


def newcomer(short: bool) -> tuple[str, bool]:
    seeds, lines, good = range(200 if short else 5000), [], True
    for name in ("good", "stale", "crawling", "wrong"):
        pairs = []
        for seed in seeds:
            draw = random.Random(f"{name} {seed}")
            true, spread = draw.uniform(1, 100), draw.uniform(0.05, 0.4)
            told = []
            for n in range(draw.randint(1, 4)):
                near = Advice(
                    f"g{n}", true * draw.uniform(0.9, 1.1), draw.randint(20, 900), draw.uniform(0, 60)
                )
                far = true * draw.choice([0.1, 5.0])
                told.append(
                    {
                        "good": near,
                        "stale": Advice(f"g{n}", far, 900, draw.uniform(301, 3000)),
                        "crawling": Advice(f"g{n}", far, 900, 1.0, slowness=draw.uniform(1.6, 9)),
                        "wrong": Advice(f"g{n}", far, 900, 0.0),
                    }[name]
                )
            pairs.append((steady(told, seed, true, spread), steady([], seed, true, spread)))
        with_, without = (statistics.mean(pair[n] for pair in pairs) for n in (0, 1))
        worse = max(a - b for a, b in pairs)
        lines.append(f"{name} {with_:.2f} of {without:.2f} samples (at most {worse} more)")
        good = good and (with_ < without if name == "good" else worse <= (DOUBT if name == "wrong" else 0))
    return f"newcomer, {len(seeds)} pairs each: {', '.join(lines)}", good


def histories(short: bool) -> tuple[str, bool]:
    """Random histories of the real core and journal, and of machine and holders, each with its own faults."""
    copies, leases, draw, broken = (
        (40, 40, random.Random(7), []) if short else (2000, 400, random.Random(7), list[str]())
    )
    faults = older = kept = splits = 0
    for seed in range(20_000, 20_000 + copies):
        world = replica_sim.play(seed, nodes=draw.randint(3, 7))
        faults, older, kept = faults + world.faults, older + world.copies, kept + len(world.kept)
        broken += [f"copies {seed}: {line}" for line in world.judge()]
    for seed in range(20_000, 20_000 + leases):
        spent = budgets_sim.play(seed, nodes=draw.randint(3, 7))
        splits += spent.splits
        broken += [f"leases {seed}: {line}" for line in spent.broken]
    return (
        f"histories: {copies} of copies, 3 to 7 nodes, {faults} faults, {older} older copies, "
        f"{kept} kept changes; {leases} of leases, {splits} splits; {len(broken)} broken "
        f"{' '.join(one[:100] for one in broken[:5])}",
        not broken,
    )


PARTS = {
    "repair": repair,
    "catch_up": catch_up,
    "splits": splits,
    "histories": histories,
    "newcomer": newcomer,
    "cost": cost,
    "service": service,
    "copy": copy,
    "lag": lag,
}


def main() -> int:
    asked = argparse.ArgumentParser()
    asked.add_argument("--short", action="store_true")
    asked.add_argument("--only", choices=PARTS)
    told = asked.parse_args()
    missed = []
    for name, part in PARTS.items():
        if told.only in (None, name):
            start = time.monotonic()
            line, good = part(told.short)
            print(f"{line} [{time.monotonic() - start:.0f} s]", flush=True)
            if not good:
                missed.append(line)
    for line in missed:
        print(f"MISSED: {line}")
    print(json.dumps({"missed": len(missed), "short": told.short}))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
