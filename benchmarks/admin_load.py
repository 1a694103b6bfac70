"""How late the second address answers under load, beside callers that hold connections open without a whole
call.

One real process by a stand-in farm, at 150% of its cores, on one processor: with it alone, and shared with
three busy programs. Forty callers send half a call and hold on for 4 s, again and again, while /stats,
/healthcheck and both words are called without a pause. Prints the median and the worst answer, and beside
it what the requests themselves take with and without the calls, in pairs. Exits 1 where an answer takes
over 1 s, is wrong, or fails.

    python benchmarks/admin_load.py [--short]
"""

import argparse
import asyncio
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent.parent
sys.path.insert(0, str(HERE))

from beechrock.lab.pair import CORES, WORK_S, Callers, Farm, Process  # noqa: E402

TARGET_S, HOLD_S, HOLDERS = 1.0, 4.0, 40
RATE_PER_S = 1.5 * CORES / WORK_S
CALLS = (
    ("GET", "/stats"),
    ("GET", "/healthcheck"),
    ("POST", "/healthcheck/fail"),
    ("POST", "/healthcheck/ok"),
)


async def hold(address: tuple[str, int], until: float) -> None:
    """Half a call, held; whoever is cut off comes again."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /stats HTTP/1.1\r\nHo")
            await asyncio.wait_for(reader.read(-1), HOLD_S)
            writer.close()
        except (TimeoutError, OSError):
            pass
        await asyncio.sleep(0.05)


async def play(seed: int, seconds: float, crowded: bool, called: bool) -> tuple[list[float], int, float]:
    """Seconds of each answer, how many were wrong, and the median seconds of a request."""
    with tempfile.TemporaryDirectory() as name, socket.create_server(("127.0.0.1", 0), backlog=512) as shared:
        farm, callers = Farm(seed), Callers(shared.getsockname(), seed)
        node = Process(Path(name), shared, await farm.address(), HERE)
        await node.yes()
        core = {max(os.sched_getaffinity(0))}
        os.sched_setaffinity(node.popen.pid, core)
        busy = [
            subprocess.Popen(
                [sys.executable, "-c", "while True: pass"], preexec_fn=lambda: os.sched_setaffinity(0, core)
            )
            for _ in range(3 if crowded else 0)
        ]
        took: list[float] = []
        wrong = 0
        try:
            found = await node.logged(r"second address 127\.0\.0\.1:(\d+)")
            until = time.monotonic() + seconds
            load = asyncio.ensure_future(callers.load(RATE_PER_S, seconds))
            held = [
                asyncio.ensure_future(hold(("127.0.0.1", int(found[1])), until))
                for _ in range(HOLDERS if called else 0)
            ]
            while called and time.monotonic() < until:
                for method, path in CALLS:
                    start = time.monotonic()
                    try:
                        status, body = await node.call(method, path)
                        wrong += status != 200 or (path == "/stats" and "svc_concurrent" not in body)
                    except (OSError, IndexError):
                        wrong += 1
                    took.append(time.monotonic() - start)
            await load
            await asyncio.gather(*held)
        finally:
            for process in (node.popen, *busy):
                process.kill()
                process.wait()
    return took, wrong, statistics.median(s for _, _, s in callers.took)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args()
    plays, seconds = (1, 5.0) if told.short else (4, 12.0)
    failed = False
    for crowded in (False, True):
        calls: list[float] = []
        ratios = []
        wrong = 0
        for seed in range(plays):
            took, bad, with_s = asyncio.run(play(seed, seconds, crowded, True))
            _, _, without_s = asyncio.run(play(seed, seconds, crowded, False))
            calls += took
            wrong += bad
            ratios.append(with_s / without_s)
        failed = failed or max(calls) > TARGET_S or wrong > 0
        print(
            f"{'a quarter of a processor' if crowded else 'a processor':25} {len(calls)} calls: median"
            f" {1000 * statistics.median(calls):.1f} ms, most {1000 * max(calls):.0f} ms, wrong {wrong};"
            f" a request takes {statistics.median(ratios):.2f} times as long ({min(ratios):.2f} to"
            f" {max(ratios):.2f}, {plays} pairs)"
        )
    print(f"target {TARGET_S} s: {'MISSED' if failed else 'kept'}")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
