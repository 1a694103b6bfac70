"""Drawn deployments, each played through a whole history of one node: no rule of the pages may break.

Settings over the whole ranges of the operators' pages (tests/drawn.py); arrivals, repeats, ends, calls,
callers gone, stalls, notices to leave and other settings at drawn moments; a checker over the whole history
(tests/histories.py). A finding is printed with its seed, which plays the same again: ``--seed N --count 1``.

    python benchmarks/drawn_histories.py [--short] [--actor | --hard] [--seed 0] [--count 10000] [--jobs 2]
"""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from actor_histories import drawn_actor_history  # noqa: E402
from histories import drawn_history  # noqa: E402

SHORT = 200
PIECE = 50  # histories that a process plays at a time


def actors_played(seeds: range) -> list[tuple[int, str, int, int]]:
    """The same one level up: what fronts and the agent see of the actor and its book."""
    found = []
    for seed in seeds:
        history, broken = drawn_actor_history(seed), ""
        try:
            history.play()
        except Exception as error:  # whatever it is, the search goes on
            broken = f"{type(error).__name__}: {error}"
        found.append((seed, broken, history.ticks, history.next_id))
    return found


def hard_played(seeds: range) -> list[tuple[int, str, int, int]]:
    """With runs that never end, cores that slow down, stalls and hours of quiet."""
    return played(seeds, hard=True)


def played(seeds: range, hard: bool = False) -> list[tuple[int, str, int, int]]:
    """By seed what broke, how many batches it took, and how many requests were read."""
    found = []
    for seed in seeds:
        history, broken = drawn_history(seed, hard=hard), ""
        try:
            history.play()
            if not history.told_again():
                broken = "equal events gave other actions"
        except Exception as error:  # whatever it is, the search goes on
            broken = f"{type(error).__name__}: {error}"
        found.append((seed, broken, len(history.batches), history.next_id))
    return found


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--actor", action="store_true", help="one level up: the module's actor and its book")
    parser.add_argument("--hard", action="store_true", help="hung runs, slow cores, stalls, hours of quiet")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--jobs", type=int, default=2)
    told = parser.parse_args()
    end = told.seed + (min(SHORT, told.count) if told.short else told.count)
    pieces = [range(at, min(at + PIECE, end)) for at in range(told.seed, end, PIECE)]
    kinds: Counter[str] = Counter()
    batches = requests = 0
    began = time.monotonic()
    with ProcessPoolExecutor(told.jobs) as pool:
        play = actors_played if told.actor else hard_played if told.hard else played
        for piece in pool.map(play, pieces):
            for seed, broken, count, read in piece:
                batches, requests = batches + count, requests + read
                if broken:
                    kinds[broken.split(":")[0] + ":" + broken.partition(":")[2][:12]] += 1
                    print(f"seed {seed}: {broken}", flush=True)
    took = time.monotonic() - began
    print(
        f"{end - told.seed} histories, {requests} requests, {batches} batches, {took:.0f} s: "
        f"{sum(kinds.values())} broken {dict(kinds)}"
    )
    return 1 if kinds else 0


if __name__ == "__main__":
    sys.exit(main())
