"""What a replacement of one process by the next costs, on real processes, sockets and time.

Each play: load at three quarters of a stand-in farm's cores, a third of the keyed requests tried again on
any connection; a second process is started beside the first, and the first gets SIGTERM half a second after
the yes. Prints for all plays: seconds to yes and to the old one's end, tries lost or turned back unheard,
keys that ran twice, the time that a keyed request takes alone, in the overlap and after, and the memory of
one and of both. Exits 1 where a request is lost or turned back, a key runs twice, a yes takes over 6 s, or
both hold over 2.2 times one.

    python benchmarks/handover.py [--short] [--root TREE]     TREE: another checkout, to compare with
"""

import argparse
import asyncio
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent.parent
sys.path.insert(0, str(HERE))

from beechrock.lab.pair import CORES, WORK_S, Callers, Farm, Process  # noqa: E402

RATE_PER_S = 0.75 * CORES / WORK_S
YES_S, MEMORY_TIMES = 6.0, 2.2


async def play(root: Path, seed: int, seconds: float) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as name, socket.create_server(("127.0.0.1", 0), backlog=512) as shared:
        folder, farm, callers = Path(name), Farm(seed), Callers(shared.getsockname(), seed)
        old = Process(folder, shared, await farm.address(), root)
        await old.yes()
        load = asyncio.ensure_future(callers.load(RATE_PER_S, seconds))
        await asyncio.sleep(seconds / 3)
        one_mb, began = old.memory_mb(), time.monotonic()
        new = Process(folder, shared, await farm.address(), root)
        try:
            yes_s = await new.yes()
            await asyncio.sleep(0.5)
            both_mb, told = old.memory_mb() + new.memory_mb(), time.monotonic()
            code = await old.end()
            gone = time.monotonic()
            await load
        finally:
            load.cancel()
            for process in (old, new):
                process.popen.kill()

    def keyed_ms(since: float, until: float) -> float:
        took = [1000 * s for at, keyed, s in callers.took if keyed and since <= at < until]
        return statistics.median(took) if took else 0.0

    return {
        "yes s": yes_s,
        "gone s": gone - told,
        "exit": float(code),
        "tries": sum(callers.ends.values()),
        "lost": callers.ends["lost"] + callers.ends["wrong"],
        "turned back": callers.refused_connections,
        "twice": sum(n > 1 for n in farm.launched.values()),
        "keyed alone ms": keyed_ms(0, began),
        "keyed beside ms": keyed_ms(began + yes_s, gone),
        "keyed after ms": keyed_ms(gone, float("inf")),
        "one MB": one_mb,
        "both MB": both_mb,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--root", type=Path)
    told = parser.parse_args()
    plays, seconds = (2, 6.0) if told.short else (8, 9.0)
    failed = False
    for root in [HERE, *([told.root.resolve()] if told.root else [])]:
        got = []
        for seed in range(plays):
            try:
                got.append(asyncio.run(play(root, seed, seconds)))
            except RuntimeError as error:  # it cannot even start beside another
                print(f"{root.name}: seed {seed}: {str(error).strip().splitlines()[-1]}")
                failed = failed or root is HERE
        for name in got[0] if got else ():
            values = [one[name] for one in got]
            print(
                f"{root.name:10} {name:16} median {statistics.median(values):8.2f}"
                f"   most {max(values):8.2f}   of {len(values)}"
            )
        if root is HERE:
            failed = failed or any(
                one["lost"]
                or one["turned back"]
                or one["twice"]
                or one["exit"]
                or one["yes s"] > YES_S
                or one["both MB"] > MEMORY_TIMES * one["one MB"]
                for one in got
            )
    print("targets:", "MISSED" if failed else "kept")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
