"""Marks on more than one disk: whole histories under faults, what a straight write costs, and a take-over.

1. Simulated histories with three nodes named upstream (``lab/edges_ups.py``): none lost, none twice, none out
of order, and no later holder without a record that a majority held. 2. Real processes: a write that goes
straight, with one node named and with three, both with duties; from a holder's kill until another takes what
edges send, and until a write goes straight again.

Exits 1 on a violation.   python benchmarks/edges_ups.py [--seed N] [--count N] [--jobs N] [--within S]
[--only histories,straight]
"""

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from beechrock.lab.edges_check import check
from beechrock.lab.edges_play import UP, Play
from beechrock.lab.edges_ups import NAMED, SimUps

WRITES, KILLS = 100, 3


def _one(seed: int) -> tuple[list[int], list[str]]:
    sim = SimUps(seed)
    try:
        sim.turn(400, 0.05)
        history = sim.finish()
    except Exception as error:  # an invariant of a part, or of the laboratory's log
        return [0] * 7, [repr(error)]
    return [
        len(history.every),
        len(history.effects),
        len(history.pairs),
        sim.takeovers,
        sim.losses,
        sim.olds,
        sim.stops,
    ], check(history)


def histories(count: int, seed: int, jobs: int, within_s: float) -> bool:
    """Ends after ``within_s`` with what it has."""
    end, bad, told = time.monotonic() + within_s, 0, [0] * 7

    def seeds() -> Iterator[int]:
        yield from range(seed, seed + count)

    done = 0
    with ProcessPoolExecutor(jobs) as pool:
        left = seeds()
        while time.monotonic() < end and (batch := [n for _, n in zip(range(4 * jobs), left, strict=False)]):
            for n, (found, wrong) in zip(batch, pool.map(_one, batch), strict=True):
                told = [a + b for a, b in zip(told, found, strict=True)]
                done, bad = done + 1, bad + bool(wrong)
                if wrong:
                    print(f"  seed {n}: {wrong[0]}", flush=True)
            names = ("accepted", "runs", "ordered pairs", "take-overs", "lost disks", "older copies", "stops")
            print(
                f"histories: {done} simulated from seed {seed}, "
                + ", ".join(f"{n} {name}" for n, name in zip(told, names, strict=True))
                + f", {bad} with a violation",
                flush=True,
            )
    return not bad


async def _straight(folder: Path, ups: tuple[str, ...]) -> bool:
    async with Play(folder, edges={"e": ("e1", "e2")}, ups=ups, duties=True) as play:
        if len(ups) > 1:
            await play.holder()
        took = []
        for n in range(WRITES):
            begin = time.monotonic()
            assert await play.write("e1", f"k{n}") == 200
            took.append(1000 * (time.monotonic() - begin))
        print(
            f"straight, {len(ups)} named: median {statistics.median(took):.1f} ms, worst {max(took):.1f} "
            f"ms, {WRITES} writes, a service of 10 ms",
            flush=True,
        )
        for _ in range(KILLS if len(ups) > 1 else 0):
            first = await play.holder()
            begin = time.monotonic()
            await play.fleet.kill(first)
            await play.holder(besides=first)
            able_s = time.monotonic() - begin
            await play.link("e1", "connected", "replaying")
            again = 0
            while await play.write("e1", f"after{first}{begin}-{again}") != 200:
                again += 1
            print(
                f"take-over: another holder after {able_s:.1f} s, a straight write after "
                f"{time.monotonic() - begin:.1f} s",
                flush=True,
            )
            await play.fleet.start(first)
            await asyncio.sleep(3.0)
        await play.drained()
        wrong = play.check()
        print(f"  {wrong}" if wrong else "  no violation", flush=True)
        return not wrong


def main() -> None:
    args = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    args.add_argument("--seed", type=int, default=1)
    args.add_argument("--count", type=int, default=1000)
    args.add_argument("--jobs", type=int, default=4)
    args.add_argument("--within", type=float, default=270.0)
    args.add_argument("--only", default="histories,straight")
    told = args.parse_args()
    good = True
    if "histories" in told.only:
        good = histories(told.count, told.seed, told.jobs, told.within)
    if "straight" in told.only:
        for ups in ((UP,), NAMED):
            with tempfile.TemporaryDirectory() as folder:
                good = asyncio.run(_straight(Path(folder), ups)) and good
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
