"""How fast traces are written, scanned and searched, on a record made for this: rows of a busy node.

Writes a record (10 million rows; --short 1 million), then measures ``find`` of one subject by the index
against its target of 100 ms, a scan, a cut of a window, a merge, and an anonymised copy; the summary of each
must have the same counts. Exits 1 where a target is missed.

    python benchmarks/trace_tools.py [--short] [--rows N]
"""

import argparse
import resource
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from beechrock.trace import tools
from beechrock.trace.format import Reader
from beechrock.trace.recorder import keyed_hash
from beechrock.trace.records import Row
from beechrock.trace.summary import Summary

FIND_S = 0.1
START, A_REQUEST = 1_764_597_600.0, 8  # rows a request, as a node writes them


def rows(count: int) -> Iterator[Row]:
    """A node's rows at 500 requests a second; every seventh is turned away."""
    for n in range(count // A_REQUEST):
        at = START + n / 500
        refused = n % 7 == 0
        yield "batch", at, 1, 2
        yield ("arrived", at, n, n % 3, 4.1, 0.004, None, None, None, None, n % 5, None, None, False, False)
        yield "keep", at, n, 10.0
        yield ("refuse", at, n, 0.36, False) if refused else ("run", at, n)
        yield (
            "taken",
            at,
            n,
            f"{n:016x}",
            ("resolve", "submit", "pack")[n % 3],
            f"team{n % 5}",
            f"pkg-{n * 7919 % 400_000}",
            None,
            n % 11 == 0,
            4,
            100,
            at - 0.002,
        )
        yield (
            "answered",
            at + 0.03,
            n,
            "refused" if refused else "served",
            0.36 if refused else None,
            False,
            0.1,
            0.03,
            20,
        )
        yield ("finished", at + 0.03, n, "rejected" if refused else "ok", 0.02)
        yield ("run_ended", at + 0.03, n, "rejected" if refused else "ok", 0.02)


def timed(text: str, size: int, began: float) -> None:
    took = time.monotonic() - began
    print(f"{text:34} {took:7.2f} s  {size / took / 1000:7.0f} thousand rows/s")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--rows", type=int, default=10_000_000)
    told = parser.parse_args()
    count = 400_000 if told.short else told.rows
    bad = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path, began = folder / "a.btrace", time.monotonic()
        made = tools.write(path, rows(count), {"node": "n1"})
        timed("written", made, began)
        print(f"{'bytes a request':34} {path.stat().st_size * A_REQUEST / made:7.1f}")
        some = range(11, count // A_REQUEST, count // A_REQUEST // 20)
        wanted = [f"pkg-{n * 7919 % 400_000}" for n in some]
        took = []
        for subject in wanted:
            began = time.monotonic()
            found = list(tools.find(path, subject, 0.0, 1e12))
            took.append(time.monotonic() - began)
            if not found:
                bad.append(f"{subject} not found")
        print(
            f"find a subject in {made} rows: median {1000 * statistics.median(took):.1f} ms, "
            f"most {1000 * max(took):.1f} ms, target {1000 * FIND_S:.0f} ms"
        )
        if statistics.median(took) > FIND_S:
            bad.append("find is too slow")
        began = time.monotonic()
        whole = Summary().take(tools.rows_of([path]))
        timed("summed up", made, began)
        began, middle = time.monotonic(), START + count / A_REQUEST / 1000
        with Reader(path) as reader:
            half = tools.cut(reader.rows(), tools.Wanted(until=middle))
            first = tools.write(folder / "b", half, {"node": "n1"})
        timed("cut, the first half", made, began)
        with Reader(path) as reader:
            tools.write(folder / "c", tools.cut(reader.rows(), tools.Wanted(since=middle)), {"node": "n1"})
        began = time.monotonic()
        joined = tools.merge([tools.rows_of([folder / part]) for part in "bc"])
        merged = tools.write(folder / "d", joined, {"node": "n1"})
        timed("merged again", made, began)
        began = time.monotonic()
        hidden = tools.anonymised(tools.rows_of([folder / "d"]), lambda text: keyed_hash(b"k" * 32, text))
        tools.write(folder / "e", hidden, {"node": "n1"})
        timed("anonymised", made, began)
        last = Summary().take(tools.rows_of([folder / "e"]))
        if not first < merged == made or last.counters != whole.counters:
            bad.append("the summary changed on the way")
        (folder / "f").write_bytes((folder / "e").read_bytes()[:-1000])
        with Reader(folder / "f") as reader:
            print(f"cut off by 1000 bytes, it opens with {reader.rows_told} of {made} rows")
    print(f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MB")
    print("targets: " + (f"MISSED: {', '.join(bad)}" if bad else "kept"))
    return bool(bad)


if __name__ == "__main__":
    sys.exit(main())
