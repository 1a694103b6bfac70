"""The agreed log: simulated histories, time to a commit, time to a new leader after a kill.

Pairs: writes asked at the leader and at a follower, and each number of voters with three. A broken claim or
a missed target: exit 1. ``--short``: 50 histories, 3 and 5 voters, 2 kills, under 40 s on two cores. The
processes, their disks and this program share one machine: the times are of that machine, the targets are
not close to them.
"""

import argparse
import asyncio
import multiprocessing
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from beechrock.agree.rules import Rules
from beechrock.lab.agree_checks import Operation, Violation, linearizable
from beechrock.lab.agree_faults import History
from beechrock.lab.fleet import Fleet

SEED = 100_000
HISTORY_S = 10.0
NEW_LEADER_S = 3.0  # target: from the kill to a leader with a lease
WRITE_MS = 250.0  # target for the median write: far over any measured, one sync and two hops


VOTERS = (5, 3, 1, 3, 2)  # of a history, by its seed
LEARNERS = (1, 2)
LEADER_WITHIN_S = 30.0  # of the histories' clock, once all faults are healed


def history(seed: int) -> tuple[str, int, int, int]:
    """What broke, operations, those that ended, terms."""
    forget = seed % 3 != 0
    one = History(
        seed,
        voters=VOTERS[seed % len(VOTERS)],
        learners=LEARNERS[seed % len(LEARNERS)],
        forget=forget,
        rules=Rules(tick_s=0.1, strict=forget),
    )
    try:
        one.run(HISTORY_S)
        one.heal()
        if (
            not one.sim.within(LEADER_WITHIN_S, lambda: one.sim.leader() is not None)
            and one.may_have_leader()
        ):
            return f"seed {seed}: no leader once all faults were healed", 0, 0, 0
        one.sim.check_history()
    except Violation as broken:
        return f"seed {seed}: {broken}", 0, 0, 0
    operations = one.sim.operations
    return "", len(operations), sum(op.value is not None for op in operations), len(one.sim.leaders)


def histories(first: int, count: int, jobs: int) -> list[str]:
    """What broke; where it stands is told each 1,000, so that a part is worth something."""
    begun, broken, sums = time.monotonic(), list[str](), [0, 0, 0]
    with multiprocessing.Pool(jobs) as pool:
        seeds = range(first, first + count)
        for done, (what, *counts) in enumerate(pool.imap(history, seeds, chunksize=8), 1):
            broken += [what] if what else []
            sums = [a + b for a, b in zip(sums, counts, strict=True)]
            if done % 1000 == 0 or done == count:
                print(
                    f"histories        {done} from seed {first}, of {HISTORY_S:.0f} s: {sums[0]} operations, "
                    f"{sums[1]} ended, {sums[2]} leaders, {len(broken)} broken "
                    f"({time.monotonic() - begun:.0f} s)",
                    flush=True,
                )
    return broken


async def leader(fleet: Fleet, other_than: str = "") -> str:
    async def found() -> str:
        for name in fleet.up:
            if name != other_than and (await fleet.view(name, "/agree")).get("leading"):
                return name
        return ""

    return str(await fleet.until(found, what="a leader"))


async def proven(fleet: Fleet) -> bool:
    return all([(await fleet.view(name, "/agree")).get("standing") == "proven" for name in fleet.names])


async def probe(fleet: Fleet, name: str, count: int) -> dict[str, Any]:
    status, text = await fleet.call(name, "POST", f"/agree/probe?writes={count}&reads={count}")
    if status != 200:
        raise SystemExit(text)

    async def ended() -> Any:
        told = await fleet.view(name, "/agree/probe")
        return None if told["running"] else told

    told: dict[str, Any] = await fleet.until(ended, what="the probe's end")
    return told


async def voters(count: int, operations: int, kills: int, folder: Path) -> tuple[list[str], float]:
    """Missed targets, and the median write at the leader in ms."""
    names, missed, median = [f"n{n}" for n in range(count)], list[str](), 0.0
    async with Fleet(folder, SEED, names, tables={"agree": {"voters": names}}) as fleet:
        await fleet.start()
        first = await leader(fleet)
        for where, name in (("leader", first), ("follower", next(n for n in names if n != first))):
            told = await probe(fleet, name, operations)
            write = told["write"]
            took = [
                f"{kind} {told[kind]['median_ms']:.1f} ms, at worst {told[kind]['worst_ms']:.1f}"
                for kind in ("write", "read")
            ]
            print(f"{count} voters, {where:<9} {'; '.join(took)}; {told['failed']} failed")
            median = median or write["median_ms"]
            if told["failed"] or write["median_ms"] > WRITE_MS:
                missed.append(f"{count} voters: {told}")
        for _ in range(kills):
            await fleet.until(lambda: proven(fleet))  # one that just started has to prove its memory first
            name = await leader(fleet)
            begun = time.monotonic()
            await fleet.kill(name)
            await leader(fleet, name)
            took = time.monotonic() - begun
            print(f"{count} voters, killed    new leader after {took:.2f} s")
            if took > NEW_LEADER_S:
                missed.append(f"{count} voters: new leader after {took:.2f} s of {NEW_LEADER_S}")
            await fleet.start(name)
        probes = [event for event in fleet.events(event="agree.probe") if not event["error"]]
        wrong = linearizable(
            [
                Operation(event["what"] == "write", event["begun_s"], event["ended_s"], event["value"])
                for event in probes
            ]
        )
        return missed + ([wrong] if wrong else []), median


def processes(short: bool) -> list[str]:
    """Missed targets."""
    missed, medians = list[str](), dict[int, float]()
    for count in (3, 5) if short else (3, 5, 7):
        with tempfile.TemporaryDirectory() as folder:
            kills = (2 if count == 3 else 1) if short else 5
            broken, medians[count] = asyncio.run(voters(count, 40 if short else 400, kills, Path(folder)))
            missed += broken
    for count, median in medians.items():
        print(f"{count} voters          {median / medians[3]:.2f} times the median write of 3")
    return missed


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--only", choices=("histories", "processes"))
    parser.add_argument("--from", dest="first", type=int, default=SEED, help="the first seed")
    parser.add_argument("--histories", type=int, default=10_000)
    parser.add_argument("--jobs", type=int, default=2)
    told, missed = parser.parse_args(), list[str]()
    if told.only != "processes":
        missed += histories(told.first, 50 if told.short else told.histories, told.jobs)
    if told.only != "histories":
        missed += processes(told.short)
    for what in missed:
        print("MISSED", what)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
