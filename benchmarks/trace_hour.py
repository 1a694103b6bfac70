"""An hour of loopback load, recorded, cut, merged and anonymised: the summary must equal the live counters.

The hour is compressed: the tests' scenario plays it under a driven clock, over real sockets, with a node that
is asked for a quarter more than it can do. Exits 1 where any count differs, a replay leaves the record, a
what-if with unchanged settings serves another part of a class than the record by over 0.12, or a file that is
cut off does not open.

    python benchmarks/trace_hour.py [--short] [--seconds S]
"""

import argparse
import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import scenario  # noqa: E402

from beechrock.trace import replay, tools, whatif  # noqa: E402
from beechrock.trace.errors import FormatError  # noqa: E402
from beechrock.trace.flow import Rules  # noqa: E402
from beechrock.trace.format import Reader  # noqa: E402
from beechrock.trace.recorder import Recorder, keyed_hash  # noqa: E402
from beechrock.trace.summary import Summary  # noqa: E402

WHATIF_APART = 0.12  # the part served in its aim, by class, with unchanged settings against the record
COUNTED = ("answered.", "runs.", "intake.requests", "intake.repeats", "intake.gone")


class Recorded(scenario.Node):
    """A node of the scenario with a recorder, which writes as its clock goes on."""

    folder: Path
    made: list["Recorded"] = []  # noqa: RUF012

    async def start(self, clock: Any, cold: bool) -> "Recorded":
        await super().start(clock, cold)
        self.recorder = Recorder(self.folder, f"n{len(self.made)}", self.module.counters, clock, Rules())
        self.module.trace(self.recorder)
        self.made.append(self)
        return self

    async def tick(self, now: float) -> None:
        await super().tick(now)
        if self.recorder.flow.due(now):
            await self.recorder.write()

    async def close(self) -> None:
        await self.recorder.finish()
        await super().close()


def summed(paths: list[Path]) -> Counter[str]:
    found = Summary()
    for path in paths:
        found.take(tools.rows_of([path]), path.name)
    return found.counters


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--seconds", type=float, default=3600.0)
    told = parser.parse_args()
    seconds, bad = 60.0 if told.short else told.seconds, []
    with tempfile.TemporaryDirectory() as name:
        Recorded.folder, began = Path(name) / "traces", time.monotonic()
        scenario.Node = Recorded  # type: ignore[misc]
        verdict = asyncio.run(scenario.scenario("frames", nodes=1, rate=8.0, seconds=seconds, deploy=False))
        print(
            f"{seconds:g} s under a driven clock in {time.monotonic() - began:.0f} s; "
            f"service {verdict.service:.3f}"
        )
        live: Counter[str] = Counter()
        for node in Recorded.made:
            counters = node.module.counters
            live.update({k: int(v) for k, v in counters._counts.items() if k.startswith(COUNTED) and v})
        paths = sorted(Recorded.folder.glob("*.btrace"))
        rows = sum(1 for _ in tools.rows_of(paths))
        size = sum(path.stat().st_size for path in paths)
        asked = live["intake.requests"]
        print(f"{asked} requests, {rows} rows, {size / asked:.0f} bytes a request")

        def same(what: str, found: Counter[str]) -> None:
            if differ := {k for k in live if found[k] != live[k]}:
                bad.append(f"{what}: {', '.join(sorted(differ))}")
            print(f"{what:12} {len(live) - len(differ)} of {len(live)} counts equal the live counters")

        same("recorded", summed(paths))
        out, parts = Path(name) / "out", list[Path]()
        out.mkdir()
        middle = scenario.START + seconds / 2
        for path in paths:
            for half, wanted in (("a", tools.Wanted(until=middle)), ("b", tools.Wanted(since=middle))):
                parts.append(out / f"{path.stem}-{half}")
                tools.write(parts[-1], tools.cut(tools.rows_of([path]), wanted), {"node": path.stem})
        same("cut", summed(parts))
        joined, hidden = [], []
        for at in range(0, len(parts), 2):
            joined.append(out / f"joined-{at}")
            merged = tools.merge([tools.rows_of([part]) for part in parts[at : at + 2]])
            tools.write(joined[-1], merged, {"node": "n"})
            hidden.append(out / f"hidden-{at}")
            masked = tools.anonymised(tools.rows_of([joined[-1]]), lambda text: keyed_hash(b"k" * 32, text))
            tools.write(hidden[-1], masked, {"node": "n"})
        same("merged", summed(joined))
        same("anonymised", summed(hidden))
        found = replay.exactly(tools.rows_of(joined))  # one node's files, one after the other
        print(f"replayed     {found.batches} batches, {found.differing} differ")
        if found.differing:
            bad.append("a replay leaves the record")
        record = whatif.recorded(tools.rows_of(joined))
        began = time.monotonic()
        model = whatif.fit(record)
        answers = whatif.play(record, model)
        before, after = whatif.service(record, record.answers), whatif.service(record, answers)
        took_s = time.monotonic() - began
        for klass in before:
            part, again = before[klass].part(), after[klass].part()
            print(f"what if      {klass}: {part:.3f} in its aim, {again:.3f} with unchanged settings")
            if abs(part - again) > WHATIF_APART:
                bad.append(f"a what-if with unchanged settings leaves the record by {abs(part - again):.3f}")
        print(f"what if      {len(record.arrivals)} arrivals in {took_s:.0f} s, capacity {model.capacity:g}")
        data = paths[0].read_bytes()
        (out / "cut-off").write_bytes(data[: len(data) * 2 // 3])
        try:
            with Reader(out / "cut-off") as reader:
                print(f"cut off at two thirds it opens with {reader.rows_told} rows")
        except FormatError as error:
            bad.append(str(error))
    print("targets: " + (f"MISSED: {'; '.join(bad)}" if bad else "kept"))
    return bool(bad)


if __name__ == "__main__":
    sys.exit(main())
