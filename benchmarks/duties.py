"""Duties: never two that hold, nothing taken under an old fence; how soon the next holds; how even the
spread.

Simulated histories on a driven clock, pairs with a guard taken out; 1,000 duties on 50 members; and plays
with real processes, each a fault drawn from the seed. Exit 1 on a missed target. ``--short``: fewer of each;
``--only`` histories, spread or processes; ``--from`` and ``--histories`` for a part of the seeds;
``--slowed`` so many holders killed just after the one before them was slow to hear; ``--leading`` so many
that led the agreed log as well, where a new leader and the longest old lease have to be waited for;
``--starved`` so many as with ``--slowed`` and with one more stopped: what that costs, without a target.
"""

import argparse
import asyncio
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from duties_plays import LEASE_S, NAMES, WITHIN_S, Plays

from beechrock.duties import grants as log
from beechrock.duties.grantor import Grantor
from beechrock.duties.grantor_data import Propose, Rules
from beechrock.duties.grants import GrantTable
from beechrock.duties.messages import HeldFence, RenewalRequest
from beechrock.duties.model import Duty, Kind
from beechrock.lab.duties_sim import history
from beechrock.lab.fleet import Fleet

YIELD_S = 1.0
LOAD, MOVES = 1.25, 1.2
RATES = 0.977, 1.023  # of the processes' clocks: any two within the stated drift
PLAYS_A_FLEET = 10
missed: list[str] = []


def target(text: str, kept: bool) -> None:
    print(f"{'kept  ' if kept else 'MISSED'} {text}", flush=True)
    if not kept:
        missed.append(text)


# --- histories


def one(told: tuple[int, frozenset[str]]) -> tuple[int, list[str], tuple[int, ...]]:
    seed, without = told
    world = history(seed, without=without, liveness=seed % 4 == 0 and not without)
    return seed, world.broken, (world.takes, world.effects, world.refused, world.stopped_between)


def histories(first: int, count: int, jobs: int) -> None:
    at, sums, broken = time.monotonic(), [0, 0, 0, 0], []
    with ProcessPoolExecutor(jobs) as pool:
        seeds = [(seed, frozenset[str]()) for seed in range(first, first + count)]
        for done, (seed, found, counts) in enumerate(pool.map(one, seeds, chunksize=10), 1):
            broken += [f"seed {seed}: {line}" for line in found]
            sums = [a + b for a, b in zip(sums, counts, strict=True)]
            if done % 1000 == 0:  # so that a part of them is worth something
                print(f"{done} histories from seed {first}: {len(broken)} broken; {sums}", flush=True)
        pairs = list(pool.map(one, [(seed, frozenset({"fence"})) for seed in range(first, first + 40)]))
    for line in broken[:5]:
        print(line)
    takes, effects, refused, stopped = sums
    target(
        f"{count} histories from seed {first}: {len(broken)} broken (none); {takes} came to hold,"
        f" {effects} effects taken, {refused} refused, {stopped} stopped between check and act;"
        f" {time.monotonic() - at:.0f} s",
        not broken,
    )
    without = sum(bool(found) for _, found, _ in pairs)
    target(f"40 of the seeds without the fence at receivers: {without} broken (more than none)", without > 0)


# --- spread


def asks(
    grants: GrantTable,
    grantor: Grantor,
    members: list[str],
    names: tuple[str, ...],
    now: float,
) -> None:
    for name in members:
        held = tuple(HeldFence(d, g.fence, 0, 0) for d, g in grants.held.items() if g.holder == name)
        grantor.on_request(now, name, RenewalRequest(1, 1, "east", "big", True, False, 7, names, held), True)


def settle(grants: GrantTable, grantor: Grantor, members: list[str], now: float, seconds: float) -> float:
    """Until nothing moves; what is asked to yield does so at once."""
    names, index = tuple(grants.duties), grants.applied
    end = now + seconds
    while now < end:
        now += 0.1
        asks(grants, grantor, members, names, now)
        for action in grantor.tick(now):
            commands = (
                [action.command]
                if isinstance(action, Propose)
                else [
                    log.back(d, g.fence)
                    for d, g in list(grants.held.items())
                    if g.fence in action.reply.yield_fences
                ]
            )
            for command in commands:
                index += 1
                grants.apply(index, command)
    return now


def spread(duties: int, count: int, losses: int) -> None:
    grants, members = GrantTable(), [f"m{n}" for n in range(count)]
    for n in range(duties):
        grants.apply(n + 1, log.declare(Duty(f"edge-{n}", Kind.SHARD, f"s{n}", lease_s=1.0)))
    grants.apply(duties + 1, log.begin("m0", 1, 1))
    grantor = Grantor(0.0, grants, Rules(1.0, 1.0, 1e5))
    now = settle(grants, grantor, members, 0.0, 1.5)
    loads = Counter(grant.holder for grant in grants.held.values())
    mean = duties / count
    most = max(loads.values())
    target(
        f"{duties} duties on {count} members: {most} on one, {most / mean:.2f} of the mean"
        f" (at most {LOAD}); {min(loads[m] for m in members)} the fewest",
        len(grants.held) == duties and most <= LOAD * mean,
    )
    worst = over = 0.0
    for name in random.Random(3).sample(members[1:], losses):
        members.remove(name)
        before = {d: g.holder for d, g in grants.held.items()}
        lost = sum(holder == name for holder in before.values())
        now = settle(grants, grantor, members, now, 3.0)
        moved = sum(g.holder != before[d] for d, g in grants.held.items())
        loads = Counter(grant.holder for grant in grants.held.values())
        worst = max(worst, moved / lost if lost else 0.0)
        over = max(over, max(loads.values()) / (duties / len(members)))
    target(
        f"{losses} members lost, one by one: at most {worst:.2f} of the least moves (at most {MOVES}),"
        f" most on one {over:.2f} of the mean",
        worst <= MOVES and over <= LOAD,
    )


async def processes(
    seed: int, plays: int, yields: int, kills: int, slowed: int, leading: int, starved: int
) -> None:
    starves: list[tuple[float, float]] = []
    killed, killed_leading, yielded, found, refused, effects, done = [], [], [], [], 0, 0, 0
    tables = {
        "agree": {"voters": list(NAMES)},
        "duties": {"lease_s": LEASE_S, "hold_down_s": 0.5, "trial": True},
    }
    while done < plays or not done:
        with tempfile.TemporaryDirectory(prefix="beechrock-duties-") as folder:
            async with Fleet(Path(folder), seed + done, NAMES, tables=tables, clocks=True) as fleet:
                await fleet.start()
                run = Plays(fleet, seed + done)
                for name in NAMES:
                    fleet.clock(name, rate=run.draw.uniform(*RATES))
                await run.ready()
                if not done:
                    for _ in range(yields):
                        await run.hand_over()
                    for _ in range(kills):
                        await run.kill()
                    for _ in range(slowed):
                        await run.kill_after_slow()
                    for _ in range(leading):
                        await run.kill_leading()
                    for _ in range(starved):
                        await run.kill_starved()
                    starves += run.starved
                for _ in range(min(PLAYS_A_FLEET, plays - done)):
                    await run.play()
                    done += 1
                done = max(done, 1)
                killed_leading += run.killed_leading
                killed, yielded, found = killed + run.killed, yielded + run.yielded, found + run.judge()
                all_effects = fleet.events(None, "effect")
                effects += sum(e["accepted"] for e in all_effects)
                refused += sum(not e["accepted"] for e in all_effects)
    for line in found[:5]:
        print(line)
    plays += yields + kills + 3 * slowed + leading + 3 * starved
    target(
        f"{plays} plays with {len(NAMES)} processes: {len(found)} found by checkers (none);"
        f" {effects} effects taken, {refused} refused",
        not found and effects > 0,
    )
    for took, unled in starves:
        print(
            f"       one stopped beside: the next act after {took:.2f} s, {unled:.2f} of them the leader"
            " had no lease of its own",
            flush=True,
        )
    for what, took in (("holder", killed), ("holder that leads too", killed_leading)):
        if took:
            median = statistics.median(took)
            target(
                f"{what} killed, {len(took)} times: the next acts after {median:.2f} s in"
                f" the median, {max(took):.2f} s at most ({WITHIN_S:g}, a lease of {LEASE_S:g} and 2)",
                max(took) <= WITHIN_S,
            )
    if yielded:
        median = statistics.median(yielded)
        target(
            f"asked to yield, {len(yielded)} times: the next acts after {median:.2f} s in the median"
            f" ({YIELD_S:g}), {max(yielded):.2f} s at most",
            median < YIELD_S,
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--only", choices=("histories", "spread", "processes"))
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--histories", type=int)
    parser.add_argument("--plays", type=int)
    parser.add_argument("--slowed", type=int)
    parser.add_argument("--leading", type=int)
    parser.add_argument("--starved", type=int, default=0)
    parser.add_argument("--kills", type=int)
    parser.add_argument("--yields", type=int)
    parser.add_argument("--jobs", type=int, default=2)
    told = parser.parse_args()
    if told.only in (None, "histories"):
        histories(told.first, told.histories or (100 if told.short else 10_000), told.jobs)
    if told.only in (None, "spread"):
        spread(1000, 50, 2 if told.short else 10)
    if told.only in (None, "processes"):
        plays = told.plays if told.plays is not None else (0 if told.short else 200)
        slowed = told.slowed if told.slowed is not None else (0 if told.short else 5)
        leading = told.leading if told.leading is not None else (1 if told.short else 10)
        kills = told.kills if told.kills is not None else (1 if told.short else 10)
        yields = told.yields if told.yields is not None else (3 if told.short else 20)
        asyncio.run(processes(told.first, plays, yields, kills, slowed, leading, told.starved))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
