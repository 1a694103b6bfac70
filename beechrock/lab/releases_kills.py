"""Killed at every write of the log: a voter's process ends in the middle of its n-th write or sync, and is
started again; beside it permits are asked for and given back, and the log takes writes and reads.

An honest disk alone: what was synced is there. So each start works, nobody is barred, and nothing that was
answered is lost.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from beechrock.agree import codec
from beechrock.agree.errors import BadMessageError
from beechrock.lab.agree_checks import Operation, linearizable
from beechrock.lab.fleet import LabError
from beechrock.lab.fleet.checkers import check
from beechrock.lab.releases_play import Play
from beechrock.store import codec as store_codec

NAMES = ("a", "b", "c")
CHECKERS = ("agree", "duties", "releases", "sound")
SNAPSHOT_EACH = 32
WITHIN_S = 4.0


class When(Enum):
    """From where the writes are counted."""

    OPENING = "opening"  # the process's start
    VOTE = "vote"  # the leader was stopped, so the next write is a term or a vote
    APPEND = "append"  # in the middle of the load
    SNAPSHOT = "snapshot"  # the first write to a snapshot's file


# All writes and syncs of each: the mark and its names, the vote and its hint, entries, the snapshot.
SWEEP = (
    [(When.OPENING, n) for n in range(1, 13)]
    + [(When.VOTE, n) for n in range(1, 7)]
    + [(When.APPEND, n) for n in range(1, 9)]
    + [(When.SNAPSHOT, n) for n in range(1, 9)]
)


@dataclass
class Deaths:
    """``at``: what was under way, by kind; ``answered``: permits that were told, fence and target."""

    at: Counter[str] = field(default_factory=Counter)
    answered: dict[int, str] = field(default_factory=dict)
    found: list[str] = field(default_factory=list)


def holds(event: dict[str, Any]) -> str:
    """What the write or sync held at which the process was killed: the file, and kinds of records."""
    data, kinds, at = bytes.fromhex(event["data"]), set[str](), 0
    name = str(event["name"]).split(" ")[0].removesuffix(".new").rpartition(".")[2]
    while name == "log" and at + store_codec.RECORD_HEAD.size <= len(data):
        magic, _, length, *_ = store_codec.RECORD_HEAD.unpack_from(data, at)
        if magic != store_codec.RECORD:
            break
        with suppress(BadMessageError):
            records = codec.decode_records(
                data[at + store_codec.RECORD_HEAD.size : at + store_codec.RECORD_HEAD.size + length]
            )[1]
            kinds |= {type(record).__name__.lower() for record in records}
        at += store_codec.RECORD_HEAD.size + length
    return " ".join([event["what"], name or "names", *sorted(kinds)])


async def play(folder: Path, seed: int, steps: Iterable[tuple[When, int]]) -> Deaths:
    """Each of ``steps`` is one death, of the voters in turn."""
    deaths = Deaths()
    parts = {"agree": {"voters": list(NAMES), "lease_s": 1.0, "snapshot_each": SNAPSHOT_EACH}}
    tables = {"budgets": [{"name": "db", "kind": "server", "service": "s", "most": 1}]}
    async with Play(folder, NAMES, parts=parts, tables=tables, seed=seed, lying=True) as told:
        for name in NAMES:
            await told.ready(name)
        # Who begins so late that the others have begun the log is readmitted as one with an empty folder.
        late = _readmitted(told)
        load = asyncio.ensure_future(_load(told, deaths))
        for number, (when, step) in enumerate(steps):
            await _death(told, deaths, NAMES[number % len(NAMES)], when, step, seed * 1000 + number)
        await told.fleet.until(lambda: deaths.answered and _probes(told), what="a permit and writes")
        load.cancel()
        with suppress(asyncio.CancelledError):
            await load
        await told.fleet.until(lambda: _level(told), what="all level")
        deaths.found += _judged(told, deaths, late)
    return deaths


async def _death(told: Play, deaths: Deaths, name: str, when: When, step: int, seed: int) -> None:
    fleet = told.fleet
    told.left.add(name)
    faults = {"dies_at": step, "dies_in": "agree", "seed": seed}
    if when is When.OPENING:
        await fleet.kill(name)
        fleet.disk(name, **faults)
        with suppress(LabError):  # it may end before it listens
            await fleet.start(name)
    elif when is When.VOTE:
        first = await _leader_besides(told, name)  # so that this one stands or votes
        fleet.stop(first)
        fleet.disk(name, **faults)
        await fleet.until(lambda: not fleet.nodes[name].up, what=f"{name} killed, {when} {step}")
        fleet.go_on(first)
    else:
        fleet.disk(name, dies_from="snap" if when is When.SNAPSHOT else "", **faults)
    await fleet.until(lambda: not fleet.nodes[name].up, what=f"{name} killed, {when} {step}")
    last = fleet.events(name, "disk.dies")[-1]
    deaths.at[f"{when.value}: {holds(last)}"] += 1
    fleet.note("dies", name, when=when.value, step=step, holds=holds(last))
    await fleet.kill(name)
    fleet.disk(name)
    await told.start(name)  # LabError: a store that calls an honest disk damaged
    await fleet.proven(name)


async def _leader(told: Play, stopped: str = "") -> str:
    async def found() -> str:
        up = [name for name in told.fleet.up if name != stopped]
        views = {name: await told.fleet.view(name, "/agree") for name in up}
        return next((name for name, view in views.items() if view.get("leading")), "")

    return str(await told.fleet.until(found, what="a leader"))


async def _leader_besides(told: Play, name: str) -> str:
    """Return a leader other than ``name``, which is stopped over an election where it leads itself.

    Started anew instead, it may be elected once more.
    """
    while (leader := await _leader(told)) == name:
        told.fleet.stop(name)
        await _leader(told, stopped=name)
        told.fleet.go_on(name)
    return leader


async def _level(told: Play) -> bool:
    views = [await told.fleet.view(name, "/agree") for name in NAMES]
    return len({(view["applied"], view["digest"]) for view in views}) == 1 and all(
        view["standing"] == "proven" for view in views
    )


async def _load(told: Play, deaths: Deaths) -> None:
    """Permits for a server below, and the log's own writes and reads, at whoever runs."""
    for at in itertools.cycle(NAMES):
        if at not in told.fleet.up:
            await asyncio.sleep(0.05)
            continue
        target = told.places[0]
        with suppress(LabError, OSError, TimeoutError):
            async with asyncio.timeout(WITHIN_S):
                await told.fleet.call(at, "POST", "/agree/probe?writes=10&reads=10&within_s=2")
                answer = await told.say(at, "ask", target=target)
                if answer["done"]:
                    deaths.answered[int(answer["what"])] = target
                await told.say(at, "return", target=target)


def _probes(told: Play) -> list[dict[str, Any]]:
    return [e for e in told.fleet.events(event="agree.probe") if not e["error"]]


def _readmitted(told: Play) -> set[tuple[str, int]]:
    """Who, and the count of the opening; each node tells of each."""
    return {(e["member"], e["epoch"]) for e in told.fleet.events(event="agree.readmit")}


def _judged(told: Play, deaths: Deaths, late: set[tuple[str, int]]) -> list[str]:
    """What can never be, over all that every process said; ``late``: readmitted before the first death."""
    fleet = told.fleet
    found = check(fleet.history(), CHECKERS) + [f"traceback at {name}" for name in fleet.troubles()]
    found += [f"{name} was barred on an honest disk" for name, _ in sorted(_readmitted(told) - late)]
    granted = {(e["fence"], e["target"]) for e in fleet.events(event="permit") if e["state"] == "granted"}
    found += [
        f"the permit {fence} for {target} was answered, and is nowhere"
        for fence, target in deaths.answered.items()
        if (fence, target) not in granted
    ]
    wrong = linearizable(
        [Operation(e["what"] == "write", e["begun_s"], e["ended_s"], e["value"]) for e in _probes(told)]
    )
    found += [wrong] if wrong else []
    if found:
        found.append(f"history: {fleet.save_history()}")
    return found
