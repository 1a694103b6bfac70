"""What recording costs a node: CPU a request with and without, in pairs, and the bytes a request takes.

A node, started as an operator starts it, serves SCGI callers under its capacity; its CPU time is read from
the kernel. Exits 1 where recording costs more than 5% in the median of the pairs, or a row was dropped.

    python benchmarks/trace_cost.py [--short] [--pairs N] [--seconds S]
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

import inventory_reload as load_tool

MOST = 0.05
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """User and system time of a process and its threads."""
    told = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / TICKS


async def one(seconds: float, recorded: bool) -> tuple[float, float, int, float]:
    """CPU microseconds and recorded bytes a request, rows dropped, and the part served."""
    servers = [load_tool.Server(0.005) for _ in range(2)]
    ports = [(await server.start())[1] for server in servers]
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "main.yaml").write_text(load_tool.services(ports, 500))
        traces = f'[trace]\nenabled = true\nfolder = "{folder}/traces"\n' if recorded else ""
        async with load_tool.Node(folder, f'inventory = "{folder}/main.yaml"\n{traces}') as node:
            await load_tool.load(node.address, 2.0, load_tool.Run(), "warm")
            before, run = cpu_s(node.process.pid), load_tool.Run()
            await load_tool.load(node.address, seconds, run, "k")
            used = cpu_s(node.process.pid) - before
        size = sum(path.stat().st_size for path in folder.glob("traces/*"))
        dropped = int(node.counter("trace.dropped"))
    for server in servers:
        server.close()
    return 1e6 * used / run.asked, size / run.asked, dropped, run.service


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--pairs", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=10.0)
    told = parser.parse_args()
    pairs, seconds = (2, 4.0) if told.short else (told.pairs, told.seconds)
    load_tool.OFFERED = 200.0
    ratios, lost = [], 0
    for pair in range(pairs):
        found = {recorded: asyncio.run(one(seconds, recorded))
                 for recorded in ((False, True) if pair % 2 == 0 else (True, False))}
        plain, traced = found[False], found[True]
        ratios.append(traced[0] / plain[0] - 1)
        lost += traced[2]
        print(f"pair {pair + 1} plain {plain[0]:.0f} us, recorded {traced[0]:.0f} us a request "
              f"({ratios[-1]:+.1%}), {traced[1]:.0f} bytes a request, served {plain[3]:.3f} {traced[3]:.3f}")
    cost = statistics.median(ratios)
    good = cost <= MOST and not lost
    print(f"recording costs {cost:+.1%} in the median, {min(ratios):+.1%} to {max(ratios):+.1%}; "
          f"{lost} rows dropped; target {MOST:.0%}: {'kept' if good else 'MISSED'}")
    return not good


if __name__ == "__main__":
    sys.exit(main())
