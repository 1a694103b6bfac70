"""The store's log beside SQLite (WAL, synchronous=FULL): appends with sync, recovery, and damage.

Pairs: both write the same entries to the same folder, in turn. A miss: exit 1. ``--short``: fewer of all.
"""

import argparse
import random
import shutil
import sqlite3
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from beechrock.store.errors import StoreDamagedError, StoreTooNewError
from beechrock.store.files import Files
from beechrock.store.log import Store

SEED, ENTRY, BATCH = 28, 200, 16
# Of SQLite's appends a second, by entries a sync. One a sync is what an answer waits for; in batches the sync
# is the smaller part, and SQLite is C beside our Python.
LEAST_RATE = {1: 0.8, BATCH: 0.4}
MOST_OPEN_S = 2.0  # for a log of 100,000 entries


class Ours:
    def __init__(self, folder: Path) -> None:
        self.store = Store.open(Files(folder), "s")

    def add(self, entries: list[bytes]) -> None:
        for entry in entries:
            self.store.append(entry)
        self.store.sync()

    def all(self) -> list[bytes]:
        return self.store.entries(1, 1 << 40)

    def close(self) -> None:
        self.store.close()


class Sqlite:
    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.db = sqlite3.connect(folder / "db", isolation_level=None)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute("pragma synchronous=full")
        self.db.execute("create table if not exists log (at integer primary key, data blob)")

    def add(self, entries: list[bytes]) -> None:
        self.db.execute("begin")
        self.db.executemany("insert into log (data) values (?)", ((entry,) for entry in entries))
        self.db.execute("commit")

    def all(self) -> list[bytes]:
        return [bytes(data) for (data,) in self.db.execute("select data from log order by at")]

    def close(self) -> None:
        self.db.close()


def rate(kind: Callable[[Path], Ours | Sqlite], folder: Path, batch: int, count: int) -> float:
    """Entries a second."""
    shutil.rmtree(folder, ignore_errors=True)
    log = kind(folder)
    draw = random.Random(SEED)
    entries = [[draw.randbytes(ENTRY) for _ in range(batch)] for _ in range(count // batch)]
    start = time.perf_counter()
    for some in entries:
        log.add(some)
    took = time.perf_counter() - start
    log.close()
    return count / took


def told(open_: Callable[[], list[bytes]], promised: list[bytes], begun: list[bytes]) -> str:
    """What an opening after a fault came to."""
    try:
        found = open_()
    except (StoreDamagedError, StoreTooNewError, sqlite3.DatabaseError):
        return "refused"
    if found[: len(promised)] != promised:
        return "LOST IN SILENCE" if promised[: len(found)] == found else "WRONG"
    return "kept" if found == begun[: len(found)] else "WRONG"


def torn(kind: type[Ours] | type[Sqlite], folder: Path, plays: int, flip: bool) -> Counter[str]:
    """Of a copy taken while it runs: cut at a byte of the last batch, or a bit turned in what was synced."""
    ends: Counter[str] = Counter()
    draw = random.Random(SEED)
    for _ in range(plays):
        shutil.rmtree(folder, ignore_errors=True)
        log = kind(folder)
        entries = [draw.randbytes(draw.randrange(1, 400)) for _ in range(12)]
        for entry in entries[:9]:
            log.add([entry])
        before = {path.name: path.stat().st_size for path in folder.iterdir()}
        log.add(entries[9:])
        copy = folder.with_name("copy")
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(folder, copy)
        log.close()
        main = copy / ("db-wal" if kind is Sqlite else "s-0000000001.log")
        data = bytearray(main.read_bytes())
        if flip:
            at = draw.randrange(len(data))
            data[at] ^= 1 << draw.randrange(8)
            main.write_bytes(data)
        else:
            main.write_bytes(data[: draw.randrange(before[main.name], len(data))])
            if kind is Ours:  # the hint of the last sync never came to disk
                mark = (copy / "s.mark").read_bytes()
                (copy / "s.mark").write_bytes(mark[:4096])
        ends[told(lambda c=copy: kind(c).all(), entries if flip else entries[:9], entries)] += 1  # type: ignore[misc]
    return ends


def main() -> int:
    asked = argparse.ArgumentParser()
    asked.add_argument("--short", action="store_true")
    asked.add_argument("--folder", type=Path, help="On the disk to be measured; a temporary one if not told.")
    short, missed = (told := asked.parse_args()).short, []
    folder = Path(tempfile.mkdtemp(dir=told.folder)) / "log"
    kinds: dict[str, type[Ours] | type[Sqlite]] = {"ours": Ours, "sqlite": Sqlite}
    for batch in (1, BATCH):
        rates: dict[str, list[float]] = {"ours": [], "sqlite": []}
        for _ in range(3 if short else 7):  # in turn, as the disk is shared
            for name, kind in kinds.items():
                count = (320 if short else 1600) * (4 if batch > 1 else 1)
                rates[name].append(rate(kind, folder, batch, count))
        pairs = [a / b for a, b in zip(*rates.values(), strict=True)]
        middle = {name: statistics.median(found) for name, found in rates.items()}
        print(
            f"{batch:3} entries of {ENTRY} bytes a sync: ours {middle['ours']:7.0f} entries/s, sqlite "
            f"{middle['sqlite']:7.0f}; ratio {statistics.median(pairs):.2f} "
            f"({min(pairs):.2f} to {max(pairs):.2f})"
        )
        if statistics.median(pairs) < LEAST_RATE[batch]:
            missed.append(f"slower than sqlite at {batch} entries a sync")
    for what, flip in (("torn tail", False), ("bit turned in what was synced", True)):
        for name, kind in kinds.items():
            ends = torn(kind, folder, 60 if short else 400, flip)
            print(f"{what}, {name}: " + ", ".join(f"{end} {count}" for end, count in ends.most_common()))
            bad = {"WRONG", "LOST IN SILENCE"} | (set() if flip else {"refused"})
            if name == "ours" and set(ends) & bad:
                missed.append(f"{what}: {dict(ends)}")
    shutil.rmtree(folder, ignore_errors=True)
    count = 20_000 if short else 100_000
    ours = Ours(folder)
    for _ in range(count // 1000):
        ours.add([random.Random(SEED).randbytes(ENTRY)] * 1000)
    ours.close()
    start = time.perf_counter()
    held = Store.open(Files(folder), "s")
    took = time.perf_counter() - start
    print(f"opened with {held.last} entries, {held.bytes_held >> 20} MB, in {took:.2f} s")
    if took > MOST_OPEN_S * count / 100_000 + 0.2:
        missed.append(f"opened in {took:.2f} s")
    shutil.rmtree(folder.parent, ignore_errors=True)
    for line in missed:
        print(f"MISSED: {line}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
