"""The membership at 10, 100 and 1,000 simulated members: detection, false deaths, cost, healing.

Pairs: each size with the smallest, for the cost. A missed target: exit 1. ``--short``: 10 and 40 members.
Driven clock, period 1 s: the figures do not depend on the machine, the time it takes does (some minutes).
``--hours N --seed S`` plays so many member-hours for false deaths only, as more than one run can add up to;
``--halves --sizes N --seed S`` splits one fleet in half only.
"""

import argparse
import math
import statistics
import sys
import time
from collections.abc import Callable

from beechrock.lab.members_sim import Fleet
from beechrock.members.codec import Codec
from beechrock.members.messages import MemberState, StatusChanged

SEED = 7
FIRST_PERIODS = 3.0  # SWIM: a dead member is first suspected after e / (e - 1) = 1.6 periods in the mean
CHECK_S = 10.0  # a whole view is gone through this seldom here; each change is checked at once
COST_TIMES = 1.5  # of the smallest fleet's
HEALED_S = 15.0
PLAY_S = 600.0  # of one history with losses and pauses
RARE_HOURS = 1000.0  # at most one false death in so many member-hours at a tenth lost


def joined(count: int, seed: int, loss: float = 0.0, sized: bool = True) -> Fleet:
    codec = Codec(b"\0" * 32, "east", "n0", 1)
    fleet = Fleet(
        count,
        seed,
        loss,
        check_s=CHECK_S,
        sized=(lambda message: len(codec.encode(message))) if sized else None,
    )
    if not fleet.within(30.0, fleet.agree):
        raise SystemExit(f"{count} members, seed {seed}: never joined")
    return fleet


def cost(fleet: Fleet, seconds: float) -> float:
    """Bytes a member a second in calm, datagrams and whole states."""
    fleet.bytes = 0
    fleet.run(seconds)
    return fleet.bytes / len(fleet.members) / seconds


def detection(fleet: Fleet, times: int) -> tuple[list[float], list[float]]:
    """Periods until one suspects a dead member, and until all have it as dead; five at once of many."""
    firsts, alls = [], []
    at_once = 5 if len(fleet.members) >= 1000 else 1
    for n in range(0, times, at_once):
        gone, at = [f"n{2 + (n + m) % (len(fleet.members) - 2)}" for m in range(at_once)], fleet.now
        for name in gone:
            fleet.kill(name)
        left = set(gone)

        def all_know(left: set[str] = left, at: float = at) -> bool:
            for name in sorted(left):
                if all(name in m.dead for m in fleet.members.values()):
                    alls.append(fleet.now - at)
                    left.discard(name)
            return not left

        fleet.within(60.0, all_know)
        for name in gone:
            suspicions = [
                t
                for t, _, c in fleet.history
                if isinstance(c, StatusChanged)
                and t > at
                and c.update.name == name
                and c.update.status.state is MemberState.SUSPECT
            ]
            firsts.append(min(suspicions) - at)
            fleet.start(name, life=2 + n)
        if left or not fleet.within(30.0, fleet.agree):
            raise SystemExit(f"{len(fleet.members)} members: a death is not known to all, or not the return")
    return firsts, alls


def healed(fleet: Fleet) -> tuple[float, float]:
    """Seconds that two halves were apart (until each has the other dead), and until they are whole again."""
    half, at = {f"n{n}" for n in range(len(fleet.members) // 2)}, fleet.now
    fleet.cut = lambda a, b: float((a in half) != (b in half))
    fleet.run(60.0)
    rest = len(fleet.members) - len(half)
    fleet.within(
        60.0,
        lambda: all(len(m.dead) == (rest if m.name in half else len(half)) for m in fleet.members.values()),
    )
    fleet.cut, back = (lambda a, b: 0.0), fleet.now
    fleet.within(HEALED_S, fleet.agree)
    return back - at, fleet.now - back


def false_deaths(hours: float, loss: float, seed: int) -> tuple[int, float, int]:
    """Deaths of members that lived, member-hours played, and histories; pauses to 1 s in a third of ten."""
    found, plays, count = 0, 0, 10
    while plays * count * PLAY_S / 3600 < hours:
        fleet = joined(count, seed + plays, loss, sized=False)  # counting bytes is a fifth of the time
        for _ in range(int(PLAY_S / 5.0)):
            for name in fleet.random.sample(sorted(fleet.members), count // 3):
                fleet.pause(name, fleet.random.uniform(0.0, 1.0))
            fleet.run(5.0)
        found, plays = found + len(set(fleet.deaths())), plays + 1
    return found, plays * count * PLAY_S / 3600, plays


def rare(told: Callable[[str, bool], None], loss: float, hours: float, seed: int) -> None:
    found, played, plays = false_deaths(hours, loss, seed)
    bound = f"; at 95% under one in {played / 3:.1f} (rule of three)" if not found else ""
    told(
        f"{loss:.0%} lost, pauses to 1 s in a third of 10: {found} false deaths in {played:.1f} member-hours"
        f" ({plays} histories from seed {seed}; at most {played / RARE_HOURS:.2f}){bound}",
        found <= played / RARE_HOURS,
    )


def split(told: Callable[[str, bool], None], fleet: Fleet) -> None:
    apart, took = healed(fleet)
    told(
        f"{len(fleet.members)} members split in half for {apart:.0f} s: whole after {took:.1f} s"
        f" (at most {HEALED_S:g})",
        took <= HEALED_S,
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--hours", type=float, help="member-hours for false deaths, and nothing else")
    parser.add_argument("--halves", action="store_true", help="split each size in half, and nothing else")
    parser.add_argument("--loss", type=float, default=0.1)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--sizes", type=int, nargs="*", help="[10 100 1000]")
    told = parser.parse_args()
    missed = []

    def target(text: str, kept: bool) -> None:
        print(f"{'kept  ' if kept else 'MISSED'} {text}", flush=True)
        if not kept:
            missed.append(text)

    def say(text: str) -> None:
        print(f"       {text}", flush=True)

    if told.hours is not None:
        rare(target, told.loss, told.hours, told.seed)
        return 1 if missed else 0
    if told.halves:
        for count in told.sizes or (1000,):
            fleet = joined(count, told.seed, sized=False)
            say(f"{count} members of seed {told.seed}: all know all after {fleet.now - 100.0:.1f} s")
            split(target, fleet)
        return 1 if missed else 0
    print(f"seeds from {told.seed}; a period is 1 s; driven clock")
    smallest = None
    for count in told.sizes or ((10, 40) if told.short else (10, 100, 1000)):
        began, fleet = time.monotonic(), joined(count, told.seed)
        say(f"{count} members, started at once: all know all after {fleet.now - 100.0:.1f} s")
        fleet.run(60.0)
        one = cost(fleet, 60.0)
        smallest = smallest or (count, one)
        target(
            f"{count} members: {one:.0f} bytes a member a second in calm, {one / smallest[1]:.2f} times"
            f" that of {smallest[0]} (at most {COST_TIMES:g})",
            one / smallest[1] <= COST_TIMES,
        )
        firsts, alls = detection(fleet, 5 if count >= 1000 else 20)
        bound = 10 * (4.0 * max(1.0, math.log10(count + 1)) * 6.0)
        mean = statistics.mean(firsts)
        target(
            f"{count} members: first suspected after {mean:.1f} s in the mean of {len(firsts)}"
            f" (at most {FIRST_PERIODS:g}), dead to all after {max(alls):.1f} s (at most {bound:.0f})",
            mean <= FIRST_PERIODS and max(alls) <= bound,
        )
        split(target, fleet)
        say(f"{count} members: {time.monotonic() - began:.0f} s to simulate")
    for loss in (0.1, 0.3):
        rare(target, loss, 3.0 if told.short else 20.0, told.seed)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
