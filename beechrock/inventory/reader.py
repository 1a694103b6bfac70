"""Reads and checks an inventory in a separate process, so that no file can slow or crash a running node.

    python -m beechrock.inventory.reader PATH FOLDER NUMBER MOST_REMOVED

FOLDER holds the generation in force. The process compares the new generation with it and writes the new one
to the same folder as a candidate. It lowers its own priority and bounds its own memory and time. It prints
one line of JSON: stamps, problems, digest, the change, and the inventory without its entries. The node does
not parse entries: with 20,000 rows, parsing in a thread of the node held the interpreter lock and cut the
node's throughput by a third meanwhile.
"""

import contextlib
import os
import resource
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import ujson

from beechrock.inventory import generation, model, snapshot, sources
from beechrock.inventory import terms as limits
from beechrock.inventory.errors import KeptUnreadableError, ReadingError
from beechrock.inventory.model import FrontEnds, Inventory
from beechrock.inventory.plan import MOST_REMOVED, Change, plan
from beechrock.inventory.problems import Problems
from beechrock.inventory.watch import Done, Stamp

MOST_MEMORY = 2 << 30  # Maximum address space of the process, in bytes
MOST_CPU_S = 60
LONGEST_S = 120.0  # Seconds until the node gives up on the process
NICE = 10
CANDIDATE = ".candidate"  # File name in FOLDER of the generation read last


def stamp(root: Path) -> Stamp:
    """Return a stamp that changes if any file is written, renamed over, or swapped behind a symlink."""
    try:
        paths = sources.find(root).paths()
    except OSError:
        return ()
    found: list[tuple[object, ...]] = []
    for path in paths[: sources.MOST_FILES]:
        try:
            s = path.stat()
        except OSError:
            found.append((str(path),))
        else:
            found.append((str(path), s.st_dev, s.st_ino, s.st_size, s.st_mtime_ns, s.st_ctime_ns))
    return tuple(found)


def answer(root: Path, folder: Path, number: int, most_removed: float = MOST_REMOVED) -> bytes:
    """Read the files and return the line of JSON that this process prints."""
    before, problems = stamp(root), Problems()
    found = model.read(root, problems)
    result: dict[str, Any] = {"problems": problems.lines()}
    if found is not None:
        new = generation.from_checked(number, *found)
        try:
            change = plan(snapshot.load(folder), new, most_removed).summary()
            snapshot.write(folder / CANDIDATE, new)
        except (OSError, KeptUnreadableError) as error:
            # Marked as failed, so the node retries: otherwise a disk that was full for a moment made the node
            # reject a good inventory until its files changed again.
            result |= {"problems": [f"{folder}: the disk failed: {error}"], "failed": True}
        else:
            result |= {"digest": new.digest, "change": asdict(change), "meaning": _encoded(new.meaning)}
    return ujson.dumps({**result, "before": before, "after": stamp(root)}).encode()


def _encoded(meaning: Inventory) -> dict[str, Any]:
    known = meaning.front_ends
    return {
        "settings": meaning.settings,
        "teams": meaning.teams,
        "upstreams": meaning.upstreams,
        "classes": [[*pair, at] for pair, at in meaning.classes.items()],
        "counts": meaning.counts,
        "front_ends": None
        if known is None
        else [
            [version, prefix, {str(key): team for key, team in held.items()}]
            for (version, prefix), held in known.networks.items()
        ],
        "when_cut": [[*pair, terms] for pair, terms in meaning.when_cut.items()],
        "differing": meaning.differing,
        "terms": None if meaning.terms is None else limits.packed(meaning.terms),
    }


def _decoded(result: dict[str, Any]) -> Inventory:
    known = result["front_ends"]
    return Inventory(
        result["settings"],
        result["teams"],
        {(team, service): at for team, service, at in result["classes"]},
        {name: tuple((host, port) for host, port in places) for name, places in result["upstreams"].items()},
        None
        if known is None
        else FrontEnds(
            {
                (version, prefix): {int(key): team for key, team in held.items()}
                for version, prefix, held in known
            }
        ),
        result["counts"],
        # Without this field a reload removed the edges' terms from every contract.
        {(team, service): terms for team, service, terms in result["when_cut"]},
        result["differing"],
        None if result["terms"] is None else limits.unpacked(result["terms"]),
    )


def understood(data: bytes, number: int) -> Done:
    """Decode what ``answer`` printed, as generation ``number``; raise ReadingError if it is malformed."""
    try:
        result = ujson.loads(data)
        before, after = (tuple(tuple(part) for part in result[key]) for key in ("before", "after"))
        problems = tuple(result["problems"])
        if "digest" not in result:
            return Done(None, None, problems, before, after, bool(result.get("failed")))
        what = result["change"]
        change = Change(what["counts"], tuple(what["refused"]), tuple(what["held"]))
        new = generation.Generation(number, result["digest"], _decoded(result["meaning"]))
        return Done(new, change, problems, before, after)
    except (ValueError, KeyError, TypeError) as error:
        raise ReadingError(f"{type(error).__name__}: {error}", wanted="one line of JSON") from None


def read_apart(root: Path, folder: Path, number: int, most_removed: float) -> Done:
    """Read the files in a separate process; if that process fails, return a result that holds the failure."""
    try:
        run = subprocess.run(
            [
                sys.executable,
                "-m",
                "beechrock.inventory.reader",
                str(root),
                str(folder),
                str(number),
                str(most_removed),
            ],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            timeout=LONGEST_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return _failed(root, f"not read within {LONGEST_S:g} s")
    except OSError as error:
        return _failed(root, f"no process to read it ({error.strerror})")
    if run.returncode:
        last = run.stderr.decode("utf-8", "replace").strip().splitlines()[-1:]
        return _failed(root, f"the reading ended with {run.returncode} {' '.join(last)[:200]}".rstrip())
    try:
        return understood(run.stdout, number)
    except ReadingError as error:
        return _failed(root, f"the reading gave nothing to go by ({error.what})")


def _failed(root: Path, text: str) -> Done:
    now = stamp(root)
    return Done(None, None, (f"{root}: {text}",), now, now)


def main() -> int:
    resource.setrlimit(resource.RLIMIT_AS, (MOST_MEMORY, MOST_MEMORY))
    resource.setrlimit(resource.RLIMIT_CPU, (MOST_CPU_S, MOST_CPU_S))
    with contextlib.suppress(OSError):
        os.nice(NICE)
    root, folder, number, most_removed = sys.argv[1:]
    sys.stdout.buffer.write(answer(Path(root), Path(folder), int(number), float(most_removed)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
