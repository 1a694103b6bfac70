"""Measures at a node's start the memory available for a table and the time of one lookup."""

import time
from dataclasses import dataclass
from pathlib import Path

from beechrock.lowering.policy import Kind, Pool
from beechrock.lowering.tables import Action, Line, Table, pack

ENTRIES, LOOKUPS, ROUNDS = 500, 500, 3  # Size of the measured table, lookups per round, and rounds
UNKNOWN_KB = 256 * 1024.0  # Free memory in kB to assume if the system doesn't report it


@dataclass(frozen=True, slots=True)
class Measures:
    memory_kb: float
    match_us: float


def free_kb(meminfo: Path = Path("/proc/meminfo")) -> float:
    try:
        for line in meminfo.read_text().splitlines():
            if line.startswith("MemAvailable:"):
                return float(line.split()[1])
    except (OSError, ValueError, IndexError):
        pass
    return UNKNOWN_KB


def probe(entries: int) -> Table:
    """Return a table with ``entries`` exact subjects, for measuring lookups."""
    lines = [
        Line("t", "s", Kind.EXACT, (f"subject-{at}",), (0, 1 << 40), (1, 100), at, 0) for at in range(entries)
    ]
    return Table(pack([Pool("p", "h")], [Action(0, (((0, 1),),))], lines, {}))


def measure(memory_kb: float) -> Measures:
    """Return the memory and the lookup time of the fastest of ROUNDS rounds.

    The minimum ignores moments in which the machine was busy. Takes a few milliseconds.
    """
    table, best = probe(ENTRIES), 1e9
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for at in range(LOOKUPS):
            table.find("t", "s", f"subject-{at}", 10, 1)
        best = min(best, time.perf_counter() - began)
    return Measures(memory_kb, best / LOOKUPS * 1e6)
