"""Each guard of the lists in docs/guards/ is taken out, in a copy of the tree, and its test has to fail.

Pairs: each named test with the tree as it is (it must pass) and with the guard out (it must fail). Exit 1 if
one does not, if a text stands nowhere or twice, or if a test cannot be run. ``--short``: a drawn dozen. The
form is told in docs/guards.md.
"""

import argparse
import os
import queue
import random
import shutil
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

ROOT = Path(__file__).parent.parent
SHORT = 12
MOST_TEST_S = 300.0  # a test that waits for what the guard brings may wait for ever
LEFT_OUT = shutil.ignore_patterns(".*", "__pycache__", "*.egg-info", "journal", "node_modules", "build")
KEYS = {"file", "text", "instead", "test", "why"}
FAILED = 1  # pytest's code where tests failed; others mean that none could be run


class Found(Enum):
    """What became of a guard that was taken out."""

    PROVEN = "proven"
    USELESS = "NOT MISSED: the test passes without it"
    NOWHERE = "STALE: its text does not stand in the file just once"
    FOREVER = "proven (the test stands still without it)"
    NOT_RUN = "NOT RUN: the test cannot be run without it"
    NOT_GREEN = "NOT GREEN: the test does not pass with it either"


KEPT = {Found.PROVEN, Found.FOREVER}


@dataclass(frozen=True, slots=True)
class Guard:
    """``text`` stands once in ``file``; with ``instead`` in its place ``test`` fails."""

    page: str
    file: str
    text: str
    instead: str
    test: str
    why: str = ""


class ListError(Exception):
    """A list that cannot be read; the text names the file and the entry."""


def read(root: Path) -> list[Guard]:
    """All guards of docs/guards/*.toml, by page and in their order. ListError says what is wrong."""
    guards = []
    for path in sorted((root / "docs" / "guards").glob("*.toml")):
        try:
            told = tomllib.loads(path.read_text())
        except tomllib.TOMLDecodeError as error:
            raise ListError(f"{path}: {error}") from None
        for n, one in enumerate(told.get("guard", []), 1):
            unknown, missing = set(one) - KEYS, KEYS - {"why"} - set(one)
            if unknown or missing or not all(isinstance(value, str) for value in one.values()):
                raise ListError(
                    f"{path}: guard {n}: unknown {sorted(unknown)}, missing {sorted(missing)};"
                    " all are strings"
                )
            guards.append(Guard(path.stem, **one))
    return guards


def taken_out(source: str, guard: Guard) -> str | None:
    """The source without the guard; None where its text does not stand there just once.

    An ``instead`` of several lines is written as it is to stand in the file, with its indents.
    """
    if source.count(guard.text) != 1 or guard.text == guard.instead:
        return None
    return source.replace(guard.text, guard.instead)


def run(copy: Path, tests: list[str]) -> int | None:
    """pytest's code, or None where it had to be ended. The copy comes first on the path of all it starts."""
    told = {**os.environ, "PYTHONPATH": str(copy), "PYTHONDONTWRITEBYTECODE": "1"}
    popen = subprocess.Popen(
        [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *tests],
        cwd=copy,
        env=told,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    try:
        return popen.wait(MOST_TEST_S)
    except subprocess.TimeoutExpired:
        os.killpg(popen.pid, 9)  # with the processes that it started
        popen.wait()
        return None


def attempt(copy: Path, guard: Guard) -> Found:
    path = copy / guard.file
    source = path.read_text() if path.is_file() else ""
    without = taken_out(source, guard)
    if without is None:
        return Found.NOWHERE
    try:
        compile(without, guard.file, "exec")
        path.write_text(without)
        code = run(copy, [guard.test])
    except SyntaxError:
        return Found.NOT_RUN
    finally:
        path.write_text(source)
    if code is None:
        return Found.FOREVER
    return {0: Found.USELESS, FAILED: Found.PROVEN}.get(code, Found.NOT_RUN)


def green(copy: Path, guards: list[Guard]) -> set[str]:
    """Those of the tests that pass as the tree is; one by one only if not all do at once."""
    tests = sorted({guard.test for guard in guards})
    if run(copy, tests) == 0:
        return set(tests)
    return {test for test in tests if run(copy, [test]) == 0}


def tried(root: Path, guards: list[Guard], jobs: int) -> list[tuple[Guard, Found, float]]:
    """Side by side, each in a copy of its own; in the order told, with the seconds each took."""
    with tempfile.TemporaryDirectory(prefix="guards-") as folder:
        copies: queue.Queue[Path] = queue.Queue()
        for n in range(jobs):
            shutil.copytree(root, Path(folder) / str(n), ignore=LEFT_OUT)
            copies.put(Path(folder) / str(n))
        pages = {guard.page: [g for g in guards if g.page == guard.page] for guard in guards}
        lock = threading.Lock()

        def within(work):  # type: ignore[no-untyped-def]
            copy = copies.get()
            try:
                return work(copy)
            finally:
                copies.put(copy)

        def one(guard: Guard) -> tuple[Guard, Found, float]:
            began = time.monotonic()
            found = within(lambda copy: attempt(copy, guard)) if guard.test in passing else Found.NOT_GREEN
            took = time.monotonic() - began
            with lock:
                print(
                    f"{found.value:8} {guard.page}: {guard.file}: {guard.text.strip().splitlines()[0][:70]}"
                    f" -> {guard.test} ({took:.1f} s)",
                    flush=True,
                )
            return guard, found, took

        with ThreadPoolExecutor(jobs) as pool:
            passing: set[str] = set()
            for found in pool.map(lambda page: within(lambda copy: green(copy, page)), pages.values()):
                passing |= found
            return list(pool.map(one, guards))


def main(root: Path = ROOT) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--short", action="store_true", help=f"{SHORT} of them, drawn")
    parser.add_argument("--seed", type=int, default=7, help="draws those of --short [7]")
    parser.add_argument("--only", default="", help="those whose page, file, text or test holds this")
    parser.add_argument("--jobs", type=int, default=len(os.sched_getaffinity(0)), help="side by side")
    told = parser.parse_args()
    try:
        guards = read(root)
    except ListError as error:
        print(error, file=sys.stderr)
        return 2
    guards = [g for g in guards if any(told.only in part for part in (g.page, g.file, g.text, g.test))]
    if told.short and len(guards) > SHORT:
        guards = random.Random(told.seed).sample(guards, SHORT)
        print(f"{SHORT} drawn by seed {told.seed}")
    if not guards:
        print("no guard to try", file=sys.stderr)
        return 2
    missed = [guard for guard, found, _ in tried(root, guards, told.jobs) if found not in KEPT]
    print(
        f"{'MISSED' if missed else 'kept  '} {len(guards) - len(missed)} of {len(guards)} guards have a"
        " test that fails without them (all)"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
