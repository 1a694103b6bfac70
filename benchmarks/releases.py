"""Permits and releases: never too many out; how fast a permit is there; a fleet replaced whole under load; a
bad version's halt and way back; a leader's death; a voter killed at each write of the log.

Simulated histories, and plays with real processes that the laboratory's supervisor starts again. Exit 1 on a
missed target. ``--short``: fewer of each; ``--only`` one part; ``--from`` and ``--histories`` for a part of
the seeds; ``--nodes`` and ``--rate`` for the fleet that is replaced.
"""

import argparse
import asyncio
import random
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from datetime import datetime
from pathlib import Path
from typing import Any

from beechrock.lab import releases_kills as kills
from beechrock.lab.fleet import LabError
from beechrock.lab.fleet.checkers import check
from beechrock.lab.releases_play import BAD, Play
from beechrock.lab.releases_sim import history

SERVICE, AGAIN_S, WORST_S = 0.99, 3.0, 3.0
FAULTS_S, END_S = 25.0, 180.0
QUIET_S = 3.0  # of callers whose round of health checks takes a second, at one request a second and node
CHECKERS = ("agree", "duties", "releases", "sound")
missed: list[str] = []


def target(text: str, kept: bool) -> None:
    print(f"{'kept  ' if kept else 'MISSED'} {text}", flush=True)
    if not kept:
        missed.append(text)


# --- histories


def one(seed: int) -> tuple[int, list[str], tuple[int, ...]]:
    world = history(seed)
    return seed, world.broken, (world.drains, world.took, world.refused, len(world.log))


def histories(first: int, count: int, jobs: int) -> None:
    at, sums, broken = time.monotonic(), [0, 0, 0, 0], list[str]()
    with ProcessPoolExecutor(jobs) as pool:
        for seed, found, counts in pool.map(one, range(first, first + count), chunksize=10):
            broken += [f"seed {seed}: {line}" for line in found]
            sums = [a + b for a, b in zip(sums, counts, strict=True)]
    for line in broken[:5]:
        print(line)
    drains, took, refused, entries = sums
    target(
        f"{count} histories from seed {first}: {len(broken)} broken (none); {drains} drains,"
        f" {took} permits of releases, {refused} refused, {entries} entries;"
        f" {time.monotonic() - at:.0f} s",
        not broken,
    )


# --- processes


def stamp(event: dict[str, Any]) -> float:
    return datetime.fromisoformat(str(event["timestamp"])).timestamp()


def folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="releases-"))


def judged(play: Play, what: str) -> None:
    history = play.fleet.history()
    found = check(history, CHECKERS) + [f"traceback at {name}" for name in play.fleet.troubles()]
    for line in found[:5]:
        print(line, play.fleet.save_history())
    target(f"{what}: {len(found)} found by {', '.join(CHECKERS)} in {len(history)} events (none)", not found)


def granted(play: Play, fence: int) -> float:
    """When the first node had it."""
    return min(
        stamp(event)
        for event in play.fleet.events(event="permit")
        if event["state"] == "granted" and event["fence"] == fence
    )


async def permits(voters: int, plays: int) -> None:
    names = [f"n{n}" for n in range(voters)]
    async with Play(folder(), names, voters=voters) as play:
        await play.ready(names[0])
        took = []
        for n in range(plays):
            at, aim = names[n % voters], names[(n + 1) % voters]
            begun = time.time()
            answer = await play.say(at, "ask", target=aim)
            if not answer["done"]:
                target(f"{voters} voters: a permit is there: {answer['what']}", False)
                return
            took.append(granted(play, answer["what"]) - begun)
            await play.say(at, "return", target=aim)
            await play.until(at, lambda told: not told["permits"], "it back")
            await play.ready(names[(n + 1) % voters])  # who asks next has heard that it serves
        target(
            f"{voters} voters, {plays} permits: {1000 * statistics.median(took):.0f} ms in the median,"
            f" {1000 * max(took):.0f} ms at worst ({WORST_S:g} s)",
            max(took) <= WORST_S,
        )
        judged(play, f"{voters} voters")


async def leader(plays: int) -> None:
    names, took = [f"n{n}" for n in range(5)], []
    async with Play(
        folder(), names, voters=5, tables={"budgets": [{"name": "fleet", "most": 2}], "gone_s": 30.0}
    ) as play:
        await play.ready(names[0])
        for _ in range(plays):
            first = str(await play.until(names[0], lambda told: told["leader"], "a leader"))
            at, aim = [name for name in names if name != first][:2]
            await play.kill(first)
            begun = time.time()
            answer: dict[str, Any] = {"done": False}
            while not answer["done"] and time.time() - begun < 30:
                try:
                    answer = await play.say(at, "ask", target=aim)
                except (LabError, OSError, TimeoutError):
                    continue
            took.append(granted(play, answer["what"]) - begun if answer["done"] else 99.0)
            await play.start(first)
            await play.say(at, "return", target=aim)
            await play.until(at, lambda told: not told["permits"], "it back")
            await play.ready(at)
        target(
            f"leader killed, {plays} times: the next permit after {statistics.median(took):.2f} s in the"
            f" median, {max(took):.2f} s at worst ({AGAIN_S:g} s)",
            max(took) <= AGAIN_S,
        )
        judged(play, "leader killed")


async def replaced(count: int, rate: float, only: str) -> None:
    names = [f"n{n}" for n in range(count)]
    halls = {name: ("east", "west", "north")[n % 3] for n, name in enumerate(names)}
    # A lease and waits for a machine that is busy: a log that stands still halts a release, rightly.
    async with Play(
        folder(),
        names,
        halls,
        voters=5 if count >= 5 else 3,
        servers=4,
        lease_s=3.0,
        tables={
            "budgets": [{"name": "fleet", "most": 2}],
            "return_s": 120.0,
            "quorum_s": 30.0,
            "gone_s": 6.0,
            "quiet_s": QUIET_S,
        },
    ) as play:
        await play.ready(names[0])
        play.load(rate)
        await asyncio.sleep(3.0)  # until they are warm
        before, begun = dict(play.answered), time.monotonic()
        await play.release(names[0], "2", canary=1, most=2, nodes=only)
        found = await play.stage(names[0], "done", "halted", within_s=900.0)
        took = time.monotonic() - begun
        middle = dict(play.answered)
        await asyncio.sleep(min(took, 60.0))
        after = dict(play.answered)
        with_, without = part(before, middle), part(middle, after)
        nodes = len(found["steps"])
        target(
            f"{nodes} of {count} processes replaced under {rate:g} requests a second in {took:.0f} s:"
            f" {found['stage']} {found['reason']}",
            found["stage"] == "done",
        )
        target(
            f"served {with_[0]:.4f} of {with_[1]} with the release, {without[0]:.4f} of {without[1]}"
            f" without: {with_[0] / without[0] if without[0] else 0:.4f} ({SERVICE:g})",
            with_[0] >= SERVICE * without[0] > 0,
        )
        lost, twice = play.lost(), play.ran_twice()
        target(
            f"{len(play.keys)} keys: {len(lost)} lost, {len(twice)} run twice (none)", not lost and not twice
        )
        print(f"       answers by status with the release: {difference(before, middle)}")
        judged(play, "replaced whole")


def difference(begin: dict[int, int], end: dict[int, int]) -> dict[int, int]:
    return {status: n - begin.get(status, 0) for status, n in sorted(end.items()) if n > begin.get(status, 0)}


def part(begin: dict[int, int], end: dict[int, int]) -> tuple[float, int]:
    """Of what ended between the two: the part that was served, and how many."""
    ended = difference(begin, end)
    return ended.get(200, 0) / max(1, sum(ended.values())), sum(ended.values())


async def bad(count: int, rate: float) -> None:
    names = [f"n{n}" for n in range(count)]
    async with Play(folder(), names, voters=3, servers=4) as play:
        await play.ready(names[0])
        play.load(rate)
        await asyncio.sleep(2.0)
        await play.release(names[0], BAD, canary=1, most=1)
        found = await play.stage(names[0], "halted", "done", within_s=120.0)
        events = play.fleet.events(event="release")
        halted = min((stamp(e) for e in events if e["what"] == "halt"), default=float("inf"))
        starts = [stamp(e) for e in play.fleet.events(event="node.in") if e["version"] == BAD]
        begun = time.time()
        target(
            f"a bad version: {found['stage']}: {found['reason']}; {halted - min(starts, default=0):.1f} s"
            f" after it began to serve, on {len(starts)} of {count}",
            found["stage"] == "halted" and len(starts) == 1,
        )
        await play.say(names[0], "word", name="r", what="back")
        await play.stage(names[0], "undone", within_s=120.0)
        target(f"the way back took {time.time() - begun:.1f} s", True)
        judged(play, "a bad version")


async def faults(seed: int) -> None:
    """Kills, stops, cuts, leaping clocks, and operators that say whatever comes to mind; then an end."""
    draw, names = random.Random(seed), [f"n{n}" for n in range(5)]
    halls = {name: ("east", "west")[n % 2] for n, name in enumerate(names)}
    async with Play(
        folder(),
        names,
        halls,
        voters=draw.choice((3, 5)),
        seed=seed,
        clocks=True,
        tables={"budgets": [{"name": "fleet", "most": draw.choice((1, 2))}], "for_s": 5.0},
    ) as play:
        await play.ready(names[0])
        fleet, count, end = play.fleet, 0, time.monotonic() + FAULTS_S
        while time.monotonic() < end:
            name, others = draw.choice(names), draw.sample(names, 2)
            match draw.randrange(12):
                case 0 | 1:
                    await fleet.kill(name)  # its supervisor starts it again
                case 2 | 3:
                    fleet.stop(name)
                    await asyncio.sleep(draw.uniform(0.5, 8.0))
                    fleet.go_on(name)
                case 4:
                    fleet.links.isolate(name)
                case 5:
                    fleet.links.split(others, [one for one in names if one not in others])
                case 6:
                    fleet.links.cut(*others)
                case 7:
                    fleet.links.heal()
                case 8:
                    fleet.clock(name, leap_s=draw.uniform(1.0, 20.0))
                case _:
                    count += 1
                    await said(play, name, draw, count)
            await asyncio.sleep(draw.uniform(0.0, 1.0))
        fleet.links.heal()
        begun = time.monotonic()
        await play.until(names[0], lambda told: told["driver"], "a driver", 120.0)
        while time.monotonic() - begun < END_S:
            told = await play.view(names[0])
            open_ = [one for one in told["releases"] if one["stage"] not in ("planned", "done", "undone")]
            if not open_ and not told["permits"] and all(node["proved"] for node in told["nodes"]):
                break
            for one in open_:
                await word(play, names[0], "word", name=one["name"], what="back")
            for permit in told["permits"]:
                if not permit["release"]:
                    await word(play, names[0], "return", target=permit["target"])
            await asyncio.sleep(0.5)
        else:
            target(f"seed {seed}: it came to an end: {open_} {told['permits']} {told['waits']}", False)
        done = [event["what"] for event in fleet.events(names[0], "release")]
        out = len(fleet.events(event="node.out"))
        print(
            f"       seed {seed}: {count} words, {out} went out, {len(done)} steps,"
            f" ended after {time.monotonic() - begun:.0f} s"
        )
        judged(play, f"faults of seed {seed}")


async def killed(seed: int, drawn: int, short: bool) -> None:
    """A voter, in the middle of each write and sync of its start, a vote, an entry and a snapshot."""
    draw = random.Random(seed)
    steps = (
        draw.sample(kills.SWEEP, 4)
        if short
        else kills.SWEEP + [(kills.When.APPEND, draw.randrange(9, 200)) for _ in range(drawn)]
    )
    at = time.monotonic()
    deaths = await kills.play(folder(), seed, steps)
    for what, count in sorted(deaths.at.items()):
        print(f"       {count:3} {what}")
    for line in deaths.found[:5]:
        print(line)
    target(
        f"killed at {deaths.at.total()} writes and syncs of the log, each started again:"
        f" {len(deaths.found)} found (none); {len(deaths.answered)} permits beside it;"
        f" {time.monotonic() - at:.0f} s",
        not deaths.found,
    )


async def word(play: Play, at: str, call: str, **told: Any) -> None:
    with suppress(LabError, OSError, TimeoutError):
        async with asyncio.timeout(5.0):
            await play.say(at, call, **told)


async def said(play: Play, at: str, draw: random.Random, count: int) -> None:
    names = play.fleet.names
    targets = (*names, *play.places)  # servers below too
    match draw.randrange(6):
        case 0 | 1:
            await word(play, at, "ask", target=draw.choice(targets))
        case 2:
            await word(play, at, "return", target=draw.choice(targets))
        case 3 | 4:
            await word(
                play, at, "plan", name=f"r{count}", version=f"v{count}", most=2, nodes=",".join(names[2:])
            )
            await word(play, at, "word", name=f"r{count}", what="start")
        case _:
            with suppress(LabError, OSError, TimeoutError):
                for one in (await play.view(at))["releases"]:
                    what = draw.choice(("pause", "resume", "back"))
                    await word(play, at, "word", name=one["name"], what=what)


async def processes(told: argparse.Namespace) -> None:
    if told.only in (None, "permits"):
        for voters in (3,) if told.short else (3, 5, 7):
            await permits(voters, 5 if told.short else 30)
    if told.only in (None, "leader"):
        await leader(1 if told.short else 10)
    if told.only == "replaced" or (told.only is None and not told.short):
        await replaced(told.nodes, told.rate, "")
    for seed in range(told.first, told.first + told.plays) if told.only in (None, "faults") else ():
        await faults(seed)
    if told.only == "bad" or (told.only is None and not told.short):
        await bad(5, told.rate)
    if told.only in (None, "kills"):
        await killed(told.first, 10, told.short)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument(
        "--only", choices=("histories", "permits", "leader", "replaced", "bad", "faults", "kills")
    )
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--histories", type=int)
    parser.add_argument("--plays", type=int, help="with faults of a seed [40; none with --short]")
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--jobs", type=int, default=2)
    told = parser.parse_args()
    told.plays = told.plays if told.plays is not None else 0 if told.short else 40
    if told.only in (None, "histories"):
        histories(told.first, told.histories or (20 if told.short else 10_000), told.jobs)
    if told.only != "histories":
        asyncio.run(processes(told))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
