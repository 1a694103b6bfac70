"""Whether all parts hold together: nine processes in three halls and two hardware classes, under load, with
drawn faults over membership, agreement, duties, edges and lowering at once; all checkers judge the history.

    python benchmarks/together.py [--short] [--seconds 600] [--seeds 1] [--folder DIR]

Plays benchmarks/runs/fleet.yaml, which ``beechrock lab run`` plays too. Exit 1 if anything is broken, if a
checker read no event (it would have found nothing out), or if no request was served.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

from beechrock.lab.fleet import LabError, runfile

FILE = Path(__file__).parent / "runs" / "fleet.yaml"
SECONDS, SETTLE_S = 600.0, 60.0
SHORT_S, SHORT_SETTLE_S = 6.0, 8.0


def main() -> int:
    parser = argparse.ArgumentParser(prog="together")
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="of faults")
    parser.add_argument("--seeds", default="1", help="one play each, as in 1,2,3")
    parser.add_argument("--folder", type=Path, help="for the histories; a temporary one if not told")
    told = parser.parse_args()
    run = runfile.read(FILE)
    if told.short:
        rules = replace(run.rules, seconds=SHORT_S, every_s=0.5, lasts_s=(0.5, 2.0))
        run = replace(run, rules=rules, settle_s=SHORT_SETTLE_S, ask_s=1.0)
    else:
        run = replace(run, rules=replace(run.rules, seconds=told.seconds), settle_s=SETTLE_S)
    folder = told.folder or Path(tempfile.mkdtemp(prefix="beechrock-together-"))
    failed = 0
    for seed in map(int, told.seeds.split(",")):
        begun = time.monotonic()
        try:
            outcome = asyncio.run(runfile.play(run, folder / f"seed-{seed}", seed))
        except (LabError, OSError) as error:
            print(f"seed {seed}: could not be played: {error}")
            failed += 1
            continue
        wrong = list(outcome.broken)
        wrong += [f"{name} read no event" for name, count in outcome.read.items() if not count]
        wrong += ["no request was served"] if not outcome.answers.get(200) else []
        kinds = Counter(fault.kind.value for fault in outcome.faults)
        print(
            f"seed {seed}: {run.rules.seconds:.0f} s, {len(outcome.faults)} faults ("
            + ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
            + f"), {outcome.events} events; {time.monotonic() - begun:.0f} s in all"
        )
        print(outcome.told())
        print("\n".join(wrong) if wrong else "nothing broken", f"\nhistory: {outcome.history}", flush=True)
        failed += bool(wrong)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
