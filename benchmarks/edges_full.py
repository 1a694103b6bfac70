"""Whether upstream loses nothing, runs nothing twice, and says nothing that its disk does not hold, on a disk
that is full now and then: drawn histories of its part, with processes that end meanwhile. ``--failing``: its
writes and syncs fail with EIO now and then, too.

    python benchmarks/edges_full.py [--short] [--count 2000] [--seed 1] [--failing]

Exit 1 if a history is broken, or if in none the disk was full as it mattered (it would have shown nothing).
"""

import argparse
import logging
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from beechrock.lab.edges_full import play

COUNT, SHORT = 2000, 100


def main() -> int:
    parser = argparse.ArgumentParser(prog="edges_full")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--count", type=int, default=COUNT)
    parser.add_argument("--seed", type=int, default=1, help="of the first")
    parser.add_argument("--failing", action="store_true")
    told = parser.parse_args()
    logging.disable(logging.ERROR)
    count, seen, broken, begun = SHORT if told.short else told.count, Counter[str](), 0, time.monotonic()
    for seed in range(told.seed, told.seed + count):
        with tempfile.TemporaryDirectory(prefix="beechrock-full-") as folder:
            bad, had = play(Path(folder), seed, failing=told.failing)
        seen += had
        broken += bool(bad)
        if bad:
            print(f"seed {seed}: " + "; ".join(bad[:3]))
    print(
        f"{count} histories {'with EIO ' * told.failing}from seed {told.seed}, "
        f"{time.monotonic() - begun:.0f} s: {seen['ended']} writes ended, {seen['doubts']} in doubt, "
        f"{seen['fell']} turns that the disk did not take, "
        f"{seen['failing']} times of EIO, {seen['full as it ended']} processes ended on such a disk; "
        f"{broken} with a violation"
    )
    return 1 if broken or not seen["fell"] else 0


if __name__ == "__main__":
    sys.exit(main())
