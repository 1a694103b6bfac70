"""A long replay beside live traffic, with real processes: upstream, an edge of two members, stand-in servers.

The edge's disks are filled with queued writes before it starts. Upstream has as many slots as its cores
allow, and each request takes SERVICE_S at a server, so that slots are short and not this machine's cores.
First what upstream can do alone (callers that always wait), then live requests at LIVE_PART of that in pairs:
without the replay (the edge is cut) and with it, the same arrivals in both, in changing order. Wanted:
replayed writes at 0.9 or more of what live requests leave of upstream's rate, and live requests served in
PATIENCE_S at 0.98 or more of those without. Exits 1 on a miss.

python benchmarks/edges_live.py [--short] [--seed N] [--count N]
"""

import argparse
import asyncio
import hashlib
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from beechrock.edges.causal import NOTHING, Dot
from beechrock.edges.member import Member
from beechrock.edges.told import Told
from beechrock.edges.words import Entry
from beechrock.lab.edges_play import INVENTORY, UP, Play
from beechrock.store import folder as state_folder
from beechrock.store.log import Store

# Long enough that what a busy machine delays is little beside it.
CORES, SERVICE_S, LIVE_PART, PATIENCE_S = 16, 0.4, 0.6, 1.2
LEAST_RATE, LEAST_LIVE = 0.9, 0.98
MEMBERS = ("e1", "e2")
TERMS = {
    "share: 0.2": "share: 0.6",
    "share: 0.3": "share: 0.2",
    "share: 0.4": "share: 0.2",  # in turn
    "aim_ms: 500, due_ms: 4000": "aim_ms: 1500, due_ms: 6000",
}


@dataclass
class Window:
    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    replayed_per_s: float = 0.0
    live_per_s: float = 0.0


def fill(state: Path, count: int) -> None:
    """A member's disk as it would be after ``count`` writes in a cut; the same for all members."""
    told = Told(True, False, "e", MEMBERS, UP, 2, 512 << 20)
    store = Store.open(state_folder.open_folder(state), "edge", Member.rules(told))
    body = b"b" * 200
    digest, now_s = hashlib.blake2b(body, digest_size=16).digest(), time.time()
    for n in range(1, count + 1):
        entry = Entry(
            Dot("e/e1/filled", n),
            NOTHING,
            "ab"[n % 2],
            "s",
            f"filled{n}",
            body,
            digest,
            keep_s=86_400.0,
            accepted_at=now_s,
        )
        store.append(b"E" + entry.pack())
    store.sync()
    store.close()


async def one(play: Play, window: Window, until_s: float) -> None:
    start = time.perf_counter()
    window.asked += 1
    try:
        status, _, _ = await play.fleet.scgi(UP, "r", "a", b"live", within_s=5.0)
    except (OSError, TimeoutError):
        return
    end = time.perf_counter()
    window.served += status == 200 and end <= until_s
    window.refused += status == 503
    window.in_time += status == 200 and end - start <= PATIENCE_S


async def most(play: Play, lasts_s: float) -> float:
    """What upstream serves a second if it always has more to do."""
    window, until_s = Window(), time.perf_counter() + lasts_s

    async def caller() -> None:
        while time.perf_counter() < until_s:
            before = window.served
            await one(play, window, until_s)
            await asyncio.sleep(0.0 if window.served > before else 0.02)

    await asyncio.gather(*(caller() for _ in range(3 * CORES // 2)))
    return window.served / lasts_s


async def live(play: Play, per_s: float, lasts_s: float, seed: int) -> Window:
    draw, window, tasks = random.Random(seed), Window(), []
    start, replayed = time.perf_counter(), len(play.service.order)
    at, until_s = start, start + lasts_s
    while (at := at + draw.expovariate(per_s)) < until_s:
        await asyncio.sleep(max(0.0, at - time.perf_counter()))
        tasks.append(asyncio.create_task(one(play, window, until_s)))
    await asyncio.sleep(max(0.0, until_s - time.perf_counter()))
    took = time.perf_counter() - start
    window.replayed_per_s = (len(play.service.order) - replayed) / took
    window.live_per_s = window.served / took
    await asyncio.gather(*tasks)
    return window


async def run(count: int, pairs: int, lasts_s: float, seed: int) -> bool:
    inventory = INVENTORY
    for old, new in TERMS.items():
        inventory = inventory.replace(old, new)
    found: dict[bool, list[Window]] = {False: [], True: []}
    with tempfile.TemporaryDirectory() as folder:
        async with Play(
            Path(folder),
            seed,
            edges={"e": MEMBERS},
            cores=CORES,
            time_s=SERVICE_S,
            most_mb=512.0,
            inventory=inventory,
            probe_s=0.5,
        ) as play:
            await play.cut()
            await play.fleet.kill(*MEMBERS)
            for name in MEMBERS:
                fill(play.fleet.nodes[name].state, count)
            await play.fleet.start(*MEMBERS)
            held = sum((await play.member("e1"))["waiting"].values())
            rates = [await most(play, lasts_s / 2)]
            for n in range(pairs):
                for replays in (False, True) if n % 2 else (True, False):
                    before = len(play.service.order)
                    if replays:
                        play.join("e")
                        more = before + 4 * CORES
                        await play.fleet.until(lambda n=more: len(play.service.order) > n, 120.0)
                    else:
                        await play.cut()
                        await asyncio.sleep(3 * SERVICE_S)  # what was under way has ended
                    found[replays].append(await live(play, LIVE_PART * rates[0], lasts_s, seed + n))
            await play.cut()
            rates.append(await most(play, lasts_s / 2))
            bad = play.check()
    rate = sum(rates) / len(rates)
    asked = {k: sum(w.asked for w in ws) for k, ws in found.items()}
    part = {k: sum(w.in_time for w in ws) / asked[k] for k, ws in found.items()}
    live_per_s = sum(w.live_per_s for w in found[True]) / pairs
    replayed = sum(w.replayed_per_s for w in found[True]) / pairs
    spare = rate - live_per_s
    for k, ws in found.items():
        told = "with" if k else "without"
        print(
            f"  {told} the replay, live in time and refused, live and replayed a second: "
            + "; ".join(
                f"{w.in_time} of {w.asked}, {w.refused}, {w.live_per_s:.1f}, {w.replayed_per_s:.1f}"
                for w in ws
            )
        )
    print(
        f"live: {held} writes of 200 bytes waited, {pairs} pairs of {lasts_s:g} s; upstream alone "
        f"{rates[0]:.1f} and {rates[1]:.1f} a second; replayed {replayed:.1f} a second of {spare:.1f} "
        f"spare ({replayed / spare:.3f}, at least {LEAST_RATE}); live service {part[True]:.4f} of "
        f"{part[False]:.4f} ({part[True] / part[False]:.3f}, at least {LEAST_LIVE}); violations {bad}",
        flush=True,
    )
    return replayed / spare >= LEAST_RATE and part[True] / part[False] >= LEAST_LIVE and not bad


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=0, help="of queued writes")
    told = parser.parse_args()
    count = told.count or (5_000 if told.short else 100_000)
    good = asyncio.run(run(count, 1 if told.short else 4, 6.0 if told.short else 20.0, told.seed))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
