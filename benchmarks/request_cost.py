"""What a request costs and what a started node holds, of two revisions in turns: pairs, median and spread.

Each revision is cloned to a temporary folder and started as the platform does, with the laboratory's farm and
callers; in each pair the one that goes first changes. Printed are CPU microseconds a request and resident
memory before the first request, and of each pair the second revision's figure over the first one's. Exits 1
where the median CPU ratio is over 1.03 or the second revision's median memory is over the first one's by more
than 0.1 MB. The figures want idle cores.

    python benchmarks/request_cost.py BASE [REVISION] [--pairs N] [--seconds S] [--short]
"""

import argparse
import asyncio
import re
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from beechrock.lab.pair import Callers, Farm, Process

ROOT = Path(__file__).parent.parent
RATE_PER_S = 500.0
WORK_S = 0.004  # of a run in the mean; the farm's four cores then serve twice the rate
SETTLE_S = 1.0
MAX_CPU_RATIO = 1.03
MAX_MORE_MB = 0.1


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one start of one revision."""

    cpu_us: float  # a request
    resident_mb: float
    answered: int


def clone(revision: str, folder: Path) -> Path:
    """Check a revision of this tree out."""
    subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    commit = subprocess.run(
        ["git", "rev-parse", revision], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.strip()
    subprocess.run(["git", "checkout", "-q", commit], cwd=folder, check=True)
    return folder


def cpu_s(pid: int) -> float:
    """Return the seconds that all threads of a process had a core for."""
    times = (task.read_text().split()[0] for task in Path(f"/proc/{pid}/task").glob("*/schedstat"))
    return sum(map(int, times)) / 1e9


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) / 1024 if found else 0.0


async def measured(root: Path, seed: int, seconds: float) -> Cost:
    """Start a node of this tree, and serve callers at a fixed rate."""
    farm = Farm(seed, WORK_S)
    with tempfile.TemporaryDirectory() as name:
        process = Process(Path(name), None, await farm.address(), root)
        try:
            await process.yes()
            found = await process.logged(r"frames on 127\.0\.0\.1:(\d+)")
            await asyncio.sleep(SETTLE_S)
            memory = resident_mb(process.popen.pid)
            callers = Callers(("127.0.0.1", int(found[1])), seed)
            before = cpu_s(process.popen.pid)
            await callers.load(RATE_PER_S, seconds)
            used = cpu_s(process.popen.pid) - before
        finally:
            await process.end()
            for server in farm.servers:
                server.close()
    answered = sum(callers.ends.values())
    return Cost(1e6 * used / answered, memory, answered)


async def pairs(roots: tuple[Path, Path], count: int, seconds: float) -> list[tuple[Cost, Cost]]:
    """Measure both revisions in turns, each pair with a seed of its own."""
    found: list[tuple[Cost, Cost]] = []
    for number in range(count):
        costs: dict[int, Cost] = {}
        for which in (0, 1) if number % 2 == 0 else (1, 0):
            costs[which] = await measured(roots[which], number + 1, seconds)
        found.append((costs[0], costs[1]))
        print(
            f"pair {number + 1}: {costs[0].cpu_us:.0f} and {costs[1].cpu_us:.0f} us a request "
            f"({costs[1].cpu_us / costs[0].cpu_us:.3f}); {costs[0].resident_mb:.2f} and "
            f"{costs[1].resident_mb:.2f} MB; {costs[0].answered} and {costs[1].answered} answered",
            flush=True,
        )
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("base")
    parser.add_argument("revision", nargs="?", default="HEAD")
    parser.add_argument("--pairs", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--short", action="store_true", help="two pairs of 4 s")
    told = parser.parse_args()
    count, seconds = (2, 4.0) if told.short else (told.pairs, told.seconds)
    with tempfile.TemporaryDirectory() as name:
        roots = (clone(told.base, Path(name) / "base"), clone(told.revision, Path(name) / "revision"))
        found = asyncio.run(pairs(roots, count, seconds))
    ratios = sorted(second.cpu_us / first.cpu_us for first, second in found)
    memory = [statistics.median(cost[which].resident_mb for cost in found) for which in (0, 1)]
    ratio = statistics.median(ratios)
    good = ratio <= MAX_CPU_RATIO and memory[1] <= memory[0] + MAX_MORE_MB
    print(
        f"CPU a request: {ratio:.3f} in the median of {count} pairs, {ratios[0]:.3f} to {ratios[-1]:.3f}; "
        f"resident {memory[0]:.2f} and {memory[1]:.2f} MB in the median; "
        f"targets {MAX_CPU_RATIO} and {MAX_MORE_MB} MB more: {'kept' if good else 'MISSED'}"
    )
    return not good


if __name__ == "__main__":
    sys.exit(main())
