"""Reads and checks an inventory in a process of its own, so that no file can slow or end a running node.

    python -m beechrock.inventory.reader PATH

It lowers its own priority and bounds its own memory and time. What it prints: a line of JSON with the
stamps and the problems, then, where there is no error, the generation's written form.
"""

import contextlib
import os
import resource
import subprocess
import sys
from pathlib import Path

import ujson

from beechrock.inventory import generation, model, sources
from beechrock.inventory.problems import Problems
from beechrock.inventory.watch import Done, Stamp

MOST_MEMORY = 2 << 30
MOST_CPU_S = 60
LONGEST_S = 120.0
NICE = 10


def stamp(root: Path) -> Stamp:
    """What changes with any file there: written in place, renamed over, or swapped behind a symlink."""
    try:
        paths = sources.find(root).paths()
    except OSError:
        return ()
    found: list[tuple[object, ...]] = []
    for path in paths[:sources.MOST_FILES]:
        try:
            s = path.stat()
        except OSError:
            found.append((str(path),))
        else:
            found.append((str(path), s.st_dev, s.st_ino, s.st_size, s.st_mtime_ns, s.st_ctime_ns))
    return tuple(found)


def answer(root: Path) -> bytes:
    """What this process prints."""
    before, problems = stamp(root), Problems()
    found = model.read(root, problems)
    head = {"before": before, "after": stamp(root), "problems": problems.lines(), "good": found is not None}
    return ujson.dumps(head).encode() + b"\n" + (generation.content(found[0]) if found is not None else b"")


def understood(data: bytes, number: int) -> Done:
    """The reading that ``answer`` printed, as generation ``number``. ValueError where it printed none."""
    head, _, body = data.partition(b"\n")
    told = ujson.loads(head)
    before, after = (tuple(tuple(part) for part in told[key]) for key in ("before", "after"))
    found = generation.from_content(number, body) if told["good"] else None
    return Done(found, tuple(told["problems"]), before, after)


def read_apart(root: Path, number: int) -> Done:
    """Read in a process of its own; whatever becomes of that process is a reading, at worst a bad one."""
    try:
        run = subprocess.run(
            [sys.executable, "-m", "beechrock.inventory.reader", str(root)], stdin=subprocess.DEVNULL,
            capture_output=True, timeout=LONGEST_S, check=False)
    except subprocess.TimeoutExpired:
        return _failed(root, f"not read within {LONGEST_S:g} s")
    except OSError as error:
        return _failed(root, f"no process to read it ({error.strerror})")
    if run.returncode:
        last = run.stderr.decode("utf-8", "replace").strip().splitlines()[-1:]
        return _failed(root, f"the reading ended with {run.returncode} {' '.join(last)[:200]}".rstrip())
    try:
        return understood(run.stdout, number)
    except ValueError as error:
        return _failed(root, f"the reading gave nothing to go by ({error})")


def _failed(root: Path, text: str) -> Done:
    now = stamp(root)
    return Done(None, (f"{root}: {text}",), now, now)


def main() -> int:
    resource.setrlimit(resource.RLIMIT_AS, (MOST_MEMORY, MOST_MEMORY))
    resource.setrlimit(resource.RLIMIT_CPU, (MOST_CPU_S, MOST_CPU_S))
    with contextlib.suppress(OSError):
        os.nice(NICE)
    sys.stdout.buffer.write(answer(Path(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
