"""Writes at edges: whole histories under faults, memory and pace of a long replay, time to accept with two
copies.

1. Simulated histories with drawn faults, judged by ``lab/edges_check.py``: none lost, none twice, none out of
order. 2. A queue of many writes on disk: resident memory over that of an empty one (under 20 MB for 100,000).
3. The same replayed under a driven clock into an upstream with live traffic: rate over what is spare (0.9 or
more), and
   live service with the replay over that without it (0.98 or more), the same arrivals in both.
4. Real processes: the time from request to 202 with two copies, beside one sync of the same disk; and plays
with faults.

Exits 1 on a missed target.   python benchmarks/edges.py [--short] [--seed N] [--count N] [--jobs N]
[--only histories,memory,replay,accepting,plays,live]
live is benchmarks/edges_live.py, and runs only where it is named.
"""

import argparse
import asyncio
import heapq
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from beechrock.edges import build
from beechrock.edges.actions import Run, Send
from beechrock.edges.causal import NOTHING, Dot
from beechrock.edges.marks import Marks
from beechrock.edges.upstream import Came, Upstream, spare_of
from beechrock.edges.words import Entry, Names
from beechrock.lab.edges_check import check
from beechrock.lab.edges_log import MemLog
from beechrock.lab.edges_play import Play, Session
from beechrock.lab.edges_sim import play
from beechrock.store import folder as state_folder
from beechrock.store.limits import StoreLimits
from beechrock.store.log import Store

SLOTS, SERVICE_S, LIVE_PART, PATIENCE_S, HOP_S = 20, 0.05, 0.6, 0.5, 0.002
LEAST_RATE, LEAST_LIVE, MOST_MB = 0.9, 0.98, 20.0


def _one(seed: int) -> tuple[int, int, int, list[str]]:
    history = play(seed, steps=150, faults=0.03)
    return len(history.every), len(history.effects), len(history.pairs), check(history)


def histories(count: int, seed: int, jobs: int) -> bool:
    """Says how far it is now and then, so that one that is broken off still tells what it saw."""
    accepted = runs = pairs = bad = 0
    with ProcessPoolExecutor(jobs) as pool:
        for n, (a, r, p, found) in enumerate(pool.map(_one, range(seed, seed + count), chunksize=4), 1):
            accepted, runs, pairs, bad = accepted + a, runs + r, pairs + p, bad + bool(found)
            if found:
                print(f"  seed {seed + n - 1}: {found[0]}", flush=True)
            if n == count or n % 100 == 0:
                print(
                    f"histories: {n} simulated from seed {seed}, {accepted} accepted, {runs} runs, "
                    f"{pairs} ordered pairs, {bad} with a violation",
                    flush=True,
                )
    return not bad


def _entry(writer: str, n: int) -> Entry:
    return Entry(Dot(writer, n), NOTHING, f"t{n % 3}", "s", f"k{n}", b"b" * 200, b"d" * 16, accepted_at=1e9)


def _resident_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 2**20


def fill(count: int) -> None:
    """In a process of its own: what it takes to hold so many writes."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store.open(state_folder.open_folder(Path(folder)), "edge", StoreLimits(max_bytes=1 << 30))
        names = Names("e", "m", "1", ("m",), "up")
        one = build.edge(names, store, 0.0, probe_s=0.5, copies=1, most_bytes=1 << 29, shares={})
        _fill(one, store, 100)
        before = _resident_mb()
        _fill(one, store, count)
        store.sync()
        print(f"{_resident_mb() - before:.2f} {len(one.queue)}")


def _fill(one, store, count: int) -> None:  # type: ignore[no-untyped-def]
    for n in range(one.counter + 1, one.counter + count + 1):
        record = b"E" + _entry(one.names.writer, n).pack()
        one._add_to_queue(_entry(one.names.writer, n), len(record), store.append(record))
    one.counter += count


def memory(count: int) -> bool:
    command = [sys.executable, __file__, "--fill", str(count)]
    mb, held = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
    target = MOST_MB * max(1.0, count / 100_000)
    print(f"memory: {held} writes of 200 bytes held: {mb} MB more resident (under {target:g})")
    return float(mb) < target


def replay(count: int, seed: int) -> bool:
    without = _live(0, seed, _live(count, seed, None)[2])
    rate, live, took = _live(count, seed, None)
    spare = (SLOTS - LIVE_PART * SLOTS) / SERVICE_S
    part, service = rate / spare, live / without[1]
    print(
        f"replay: {count} writes in {took:.1f} s of the driven clock: {rate:.0f} a second of {spare:.0f} "
        f"spare ({part:.3f}, at least {LEAST_RATE}); live service {live:.4f} of {without[1]:.4f} without "
        f"({service:.3f}, at least {LEAST_LIVE})"
    )
    return part >= LEAST_RATE and service >= LEAST_LIVE


def _live(count: int, seed: int, lasts_s: float | None) -> tuple[float, float, float]:
    """Replays a second, live requests served in time (part), and how long it took."""
    draw, now = random.Random(seed), 100.0
    log = MemLog()
    names = Names("e", "m", "1", ("m",), "up")
    edge = build.edge(names, log, now, probe_s=0.5, copies=1, most_bytes=1 << 30, shares={})
    _fill(edge, log, count)
    up = Upstream(MemLog(), Marks(), SLOTS)
    events: list[tuple[float, int, str, object]] = []
    waiting: list[tuple[float, object]] = []
    free, live_runs, number, served, asked, done, begun = SLOTS, 0, 0, 0, 0, 0, now

    def at(when: float, what: str, told: object = None) -> None:
        nonlocal number
        number += 1
        heapq.heappush(events, (when, number, what, told))

    def out(actions: list) -> None:  # type: ignore[type-arg]
        for action in actions:
            match action:
                case Send("up", word):
                    at(now + HOP_S, "up", word)
                case Send(_, word):
                    at(now + HOP_S, "edge", word)
                case Run():
                    waiting.append((now, action))

    edge.duty(1, now)
    at(now, "live")
    at(now, "tick")
    while events and (len(edge.queue) or (lasts_s is not None and now < begun + lasts_s)):
        now, _, what, told = heapq.heappop(events)
        up.spare = spare_of(SLOTS, live_runs + sum(isinstance(w, str) for _, w in waiting))
        match what:
            case "live":
                at(now + draw.expovariate(LIVE_PART * SLOTS / SERVICE_S), "live")
                asked += 1
                waiting.append((now, "live"))
            case "tick":
                at(now + 0.02, "tick")
                out(edge.tick(now, 1e9))
            case "up":
                out(up.hear(now, 1e9, "m", told))  # type: ignore[arg-type]
            case "edge":
                out(edge.hear(now, 1e9, "up", told))  # type: ignore[arg-type]
            case "ended":
                free += 1
                if isinstance(told, Run):
                    done += 1
                    out(up.ran(now, told.key, Came.SERVED))
                else:
                    live_runs -= 1
        while free and waiting:
            since, one = waiting.pop(0)
            free -= 1
            if one == "live":
                live_runs += 1
                served += now - since <= PATIENCE_S
            at(now + SERVICE_S, "ended", one)
        if what == "edge" and count:
            out(edge.tick(now, 1e9))
    took = now - begun
    return done / took if took else 0.0, served / max(1, asked), took


async def accepting(count: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        one = Path(folder, "probe")
        syncs = []
        with one.open("wb") as file:
            for _ in range(50):
                file.write(b"x" * 300)
                file.flush()
                start = time.perf_counter()
                os.fsync(file.fileno())
                syncs.append(time.perf_counter() - start)
        async with Play(Path(folder)) as edge:
            await edge.cut()
            took = []
            for n in range(count):
                start = time.perf_counter()
                assert await edge.write("e1", f"k{n}") == 202
                took.append(time.perf_counter() - start)
            edge.join("e")
            await edge.drained()
            bad = edge.check()
    sync = statistics.median(syncs)
    print(
        f"accepted with two copies: median {1000 * statistics.median(took):.1f} ms, worst "
        f"{1000 * max(took):.1f} ms of {count}; one sync: median {1000 * sync:.2f} ms, worst "
        f"{1000 * max(syncs):.1f} ms; violations {bad}"
    )


async def plays(count: int, seed: int) -> bool:
    bad = accepted_in_all = 0
    for n in range(seed, seed + count):
        draw = random.Random(n)
        with tempfile.TemporaryDirectory() as folder:
            async with Play(Path(folder), seed=n, edges={"e": ("e1", "e2"), "f": ("f1", "f2")}) as edge:
                sessions = [Session("a", "a"), Session("b", "b")]
                for k in range(30):
                    fault = draw.random()
                    side = draw.choice(("e", "f"))
                    names = list(edge.edges[side])
                    if fault < 0.15:
                        edge.fleet.links.cut(names, "up")
                        edge.fleet.links.cut("up", names)
                    elif fault < 0.3:
                        edge.join(side)
                    elif fault < 0.35:
                        edge.fleet.links.stall("up", names)
                    elif fault < 0.38:
                        await edge.fleet.restart(draw.choice(names))
                    elif fault < 0.4:
                        await edge.fleet.restart("up")
                    await edge.write(draw.choice(edge.members), f"p{n}-{k}", draw.choice(sessions))
                edge.fleet.links.heal()

                async def over(edge: Play = edge) -> bool:
                    await edge.settle()
                    return not any([(await edge.member(name))["waiting"] for name in edge.members])

                await edge.fleet.until(over)
                gone = {e["nonce"] for e in edge.fleet.events("up", "edge.ended")}
                ended = {e["receipt"] for e in edge.fleet.events("up", "edge.ended")}
                accepted = edge.fleet.events(event="edge.accepted")
                gone |= {e["nonce"] for e in accepted if e["receipt"] in ended}
                found = edge.check(ended=tuple(gone))
                bad += bool(found)
                accepted_in_all += len(accepted)
                print(
                    f"plays: {n - seed + 1} from seed {seed} with five processes and faults between them, "
                    f"{accepted_in_all} accepted, {bad} with a violation {found[:3]}",
                    flush=True,
                )
    return not bad


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=0, help="of simulated histories, or of plays")
    parser.add_argument("--jobs", type=int, default=1, help="simulated histories side by side")
    parser.add_argument("--only", default="histories,memory,replay,accepting,plays")
    parser.add_argument("--fill", type=int)
    told = parser.parse_args()
    if told.fill:
        fill(told.fill)
        return 0
    short, parts, good = told.short, told.only.split(","), True
    if "histories" in parts:
        good &= histories(told.count or (8 if short else 10_000), told.seed, told.jobs)
    if "memory" in parts:
        good &= memory(20_000 if short else 100_000)
    if "replay" in parts:
        good &= replay(8_000 if short else 100_000, told.seed)
    if "accepting" in parts:
        asyncio.run(accepting(20 if short else 300))
    if "plays" in parts and not (short and not told.count):
        good &= asyncio.run(plays(told.count or 60, told.seed))
    if "live" in parts:
        command = [sys.executable, str(Path(__file__).with_name("edges_live.py")), *["--short"][:short]]
        good &= subprocess.run([*command, "--seed", str(told.seed)], check=False).returncode == 0
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
