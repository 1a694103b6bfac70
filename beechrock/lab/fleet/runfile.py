"""A run as a YAML file: nodes, tables, drawn faults, checkers of its history. docs/lab.md has the keys."""

import asyncio
import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from beechrock.lab.fleet import load as callers
from beechrock.lab.fleet.checkers import CHECKERS, check, read_by
from beechrock.lab.fleet.errors import LabError, RunfileError
from beechrock.lab.fleet.fleet import Fleet
from beechrock.lab.fleet.links import Cut, Faults
from beechrock.lab.fleet.load import Load
from beechrock.lab.fleet.plan import OF_CLOCKS, OF_DISKS, OF_ONE, Fault, Kind, Rules, plan
from beechrock.lab.fleet.process import INVENTORY
from beechrock.lab.scgi_servers import Server

KEYS = {
    "nodes",
    "halls",
    "hardware",
    "tables",
    "inventory",
    "seconds",
    "settle_s",
    "every_s",
    "lasts_s",
    "most_down",
    "faults",
    "checkers",
    "own",
    "servers",
    "load",
    "turn_s",
    "first",
    "only",
    "asks",
    "ask_s",
}
LOAD_KEYS = {"team", "service", "rate_per_s", "at", "again", "keyed", "subjects"}
MOST_NODES = 32
SETTLE_S, SERVED_S, TURNS, FIRST_S = 10.0, 0.01, 8, 240.0
FULL_BYTES, STALL_S, SLOW_BYTES_PER_S, DELAY_S = 1 << 16, 2.0, 20_000.0, 0.3
VIEWS = ("fleet", "agree", "duties", "edges", "lowering", "releases", "replica")
LEAP_S, DRIFT = 60.0, 0.05  # the drift is the one stated for leases (docs/fleet.md)


@dataclass(frozen=True, slots=True)
class Run:
    """A run file, read and checked."""

    rules: Rules
    checkers: tuple[str, ...]
    tables: dict[str, Any] = field(default_factory=dict)
    halls: dict[str, str] = field(default_factory=dict)
    hardware: dict[str, str] = field(default_factory=dict)
    inventory: str = INVENTORY
    settle_s: float = SETTLE_S  # after the last fault, before the history is judged
    own: dict[str, Any] = field(default_factory=dict)  # by node: tables over ``tables``
    servers: int = 0  # stand-ins; $server1 in the inventory is the address of the first
    loads: tuple[Load, ...] = ()
    turn_s: float = 0.0  # so often all nodes are told the inventory anew, with another $turn

    def tables_of(self, name: str) -> dict[str, Any]:
        return {**self.tables, **self.own.get(name, {})}

    asks: tuple[str, ...] = ()  # calls of an operator, one drawn each ``ask_s``, of $node at another one
    ask_s: float = 10.0
    first: tuple[str, ...] = ()  # events that have come before the first fault does


@dataclass(frozen=True, slots=True)
class Outcome:
    faults: list[Fault]
    broken: list[str]
    history: Path
    events: int
    read: dict[str, int]  # events that each checker read: one that read none found nothing out
    answers: dict[int, int]  # requests by status; 0: no answer came
    ran: int  # at the stand-ins
    left_out: int  # faults, as too many nodes were down

    def told(self) -> str:
        """Events by checker, requests by answer, in a line."""
        read = ", ".join(f"{name} {count}" for name, count in self.read.items())
        answers = ", ".join(f"{status or 'no answer'} {n}" for status, n in sorted(self.answers.items()))
        return (
            f"events read: {read}; requests: {answers or 'none'}; {self.ran} runs at stand-ins; "
            f"{self.left_out} of {len(self.faults)} faults left out"
        )


def read(path: Path) -> Run:
    """RunfileError names the file and the key."""
    try:
        told = yaml.safe_load(path.read_text())
    except (OSError, ValueError, yaml.YAMLError) as error:
        raise RunfileError(str(error), where=str(path)) from None
    if not isinstance(told, dict):
        raise RunfileError("not a mapping", where=str(path), wanted=", ".join(sorted(KEYS)))

    def wrong(key: str, wanted: str) -> RunfileError:
        return RunfileError(f"{told.get(key)!r}", where=f"{path}: {key}", wanted=wanted)

    def number(key: str, default: float) -> float:
        value = told.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise wrong(key, "a number above 0")
        return float(value)

    for key in told:
        if key not in KEYS:
            raise wrong(key, "one of " + ", ".join(sorted(KEYS)))
    halls = told.get("halls", {})
    if not isinstance(halls, dict) or not all(isinstance(names, list) for names in halls.values()):
        raise wrong("halls", "lists of nodes by hall")
    by_hall = {str(name): str(hall) for hall, names in halls.items() for name in names}
    nodes = told.get("nodes", list(by_hall))
    names = [f"n{n}" for n in range(nodes)] if isinstance(nodes, int) else nodes
    if not isinstance(names, list) or not 0 < len(names) <= MOST_NODES:
        raise wrong("nodes", f"a number or a list of names, at most {MOST_NODES}")
    weights = told.get("faults", {})
    if not isinstance(weights, dict) or not all(
        kind in {k.value for k in Kind} and isinstance(weight, int | float) and weight > 0
        for kind, weight in weights.items()
    ):
        raise wrong("faults", "weights above 0 of " + ", ".join(kind.value for kind in Kind))
    only = told.get("only", {})
    if not isinstance(only, dict) or not all(
        kind in weights and isinstance(at, list) and set(at) <= set(names) for kind, at in only.items()
    ):
        raise wrong("only", "lists of nodes by some of the faults")
    checkers = told.get("checkers", ["sound"])
    if not isinstance(checkers, list) or not set(map(str, checkers)) <= CHECKERS.keys():
        raise wrong("checkers", "some of " + ", ".join(CHECKERS))
    for key in ("tables", "hardware", "own"):
        if not isinstance(told.get(key, {}), dict):
            raise wrong(key, "a mapping")
    for key in ("first", "asks"):
        if not isinstance(told.get(key, []), list):
            raise wrong(key, "a list of events, or of calls")
    lasts = told.get("lasts_s", [0.5, 3.0])
    if not isinstance(lasts, list) or len(lasts) != 2 or not 0 < lasts[0] <= lasts[1]:
        raise wrong("lasts_s", "the least and the most, in seconds")
    inventory = INVENTORY
    if "inventory" in told:
        try:
            inventory = (path.parent / str(told["inventory"])).read_text()
        except OSError as error:
            raise wrong("inventory", f"a file ({error.strerror})") from None
    servers, loads = told.get("servers", 0), told.get("load", [])
    loads = loads if isinstance(loads, list) else [loads]
    if not isinstance(servers, int) or not 0 <= servers <= MOST_NODES:
        raise wrong("servers", f"a number up to {MOST_NODES}")
    if not all(isinstance(load, dict) and {"team", "service"} <= load.keys() <= LOAD_KEYS for load in loads):
        raise wrong("load", "team and service, and maybe " + ", ".join(sorted(LOAD_KEYS)))
    return Run(
        Rules(
            tuple(map(str, names)),
            {Kind(kind): float(weight) for kind, weight in weights.items()},
            number("seconds", 30.0),
            number("every_s", 1.0),
            (float(lasts[0]), float(lasts[1])),
            int(number("most_down", 1)),
            tuple(tuple(map(str, hall)) for hall in halls.values()),
            {Kind(kind): tuple(map(str, nodes)) for kind, nodes in only.items()},
        ),
        tuple(map(str, checkers)),
        told.get("tables", {}),
        by_hall,
        told.get("hardware", {}),
        inventory,
        number("settle_s", SETTLE_S),
        told.get("own", {}),
        servers,
        tuple(
            Load(**{**load, "at": tuple(load.get("at", ())), "subjects": tuple(load.get("subjects", ()))})
            for load in loads
        ),
        number("turn_s", 1.0) if "turn_s" in told else 0.0,
        tuple(map(str, told.get("asks", []))),
        number("ask_s", 10.0),
        tuple(map(str, told.get("first", []))),
    )


async def play(run: Run, folder: Path, seed: int) -> Outcome:
    """The whole run; LabError where a process does not come up."""
    faults, broken = plan(run.rules, seed), list[str]()
    lying, clocks = (bool(kinds & run.rules.weights.keys()) for kinds in (OF_DISKS, OF_CLOCKS))
    servers, inventory = [Server(SERVED_S) for _ in range(run.servers)], run.inventory
    for n, server in enumerate(servers, 1):
        inventory = inventory.replace(f"$server{n}", "{}:{}".format(*await server.start()))
    first = inventory.replace("$turn", "0")
    async with Fleet(
        folder,
        seed,
        run.rules.names,
        tables=run.tables_of,
        halls=run.halls,
        lying=lying,
        hardware=run.hardware,
        inventory=first,
        clocks=clocks,
    ) as fleet:
        await fleet.start()
        await fleet.proven()
        await fleet.until(lambda: all(fleet.events(event=one) for one in run.first), FIRST_S, str(run.first))
        loads = [
            asyncio.ensure_future(callers.play(fleet, load, run.rules.seconds, seed)) for load in run.loads
        ]
        others = [
            asyncio.ensure_future(_turn(fleet, inventory, run.turn_s)),
            asyncio.ensure_future(_ask(fleet, run, random.Random(f"{seed} asks"))),
        ]
        begun = asyncio.get_running_loop().time()
        down, most_down = set[str](), run.rules.most_down
        ends = await asyncio.gather(
            *(_begin(fleet, fault, begun, down, most_down) for fault in faults), return_exceptions=True
        )
        broken += [
            f"lab: {fault.kind.value} of {fault.one}: {end}"
            for fault, end in zip(faults, ends, strict=True)
            if isinstance(end, BaseException)
        ]
        fleet.links.heal()
        fleet.note("settle")
        for task in others:
            task.cancel()
        answers = [await load for load in loads]
        await asyncio.sleep(run.settle_s)
        await _drained(fleet, run)
        broken += [f"lab: {name} is down" for name, node in fleet.nodes.items() if not node.up]
        broken += [f"lab: {name} wrote a traceback: {fleet.nodes[name].logs}" for name in fleet.troubles()]
        await asyncio.gather(
            *(
                _look(fleet, name, f"/{table}")
                for name in fleet.names
                for table in VIEWS
                if table == "fleet" or table in run.tables_of(name)
            )
        )
        await fleet.kill(*fleet.names)
        for server in servers:
            for key, times in server.keys.items():
                fleet.note("ran", key=key, times=times)
        history = fleet.history()
        keyed = {
            key: told
            for load, by_key in zip(run.loads, answers, strict=True)
            if load.keyed
            for key, told in by_key.items()
        }
        broken += [*check(history, run.checkers), *callers.judge(keyed, servers)]
        statuses = Counter(one for by_key in answers for told in by_key.values() for one in told or [0])
        for server in servers:
            server.close()
        return Outcome(
            faults,
            broken,
            fleet.save_history(),
            len(history),
            read_by(history, run.checkers),
            dict(statuses),
            sum(server.runs for server in servers),
            sum(note["what"] == "left out" for note in fleet.notes),
        )


async def _ask(fleet: Fleet, run: Run, draw: random.Random) -> None:
    """What no node answers comes to nothing, as an operator's word may."""
    while run.asks:
        await asyncio.sleep(draw.expovariate(1.0 / run.ask_s))
        call, node, at = draw.choice(run.asks), draw.choice(fleet.names), draw.choice(fleet.names)
        with suppress(OSError, TimeoutError, LabError):
            status, body = await fleet.call(at, "POST", call.replace("$node", node))
            fleet.note("asked", at, call=call, of=node, status=status, body=body[:100])


async def _drained(fleet: Fleet, run: Run) -> None:
    """What waits at an edge and is held for no operator goes up first. Seen in a run of ten minutes: 162 of
    some 920 writes were still on their way after 60 s, and were told as lost.
    """

    async def over() -> bool:
        shown = [await fleet.view(name, "/edges") for name in fleet.up if "edges" in run.tables_of(name)]
        members = [one["member"] for one in shown if one.get("member")]
        return all(sum(one["waiting"].values()) <= len(one["held"]) for one in members)

    with suppress(LabError, OSError, TimeoutError):  # the checkers tell what is left
        await fleet.until(over, FIRST_S, "edges that are drained")


async def _look(fleet: Fleet, name: str, path: str) -> None:
    """What it shows in the end goes into the history: why something stands still is seen there."""
    try:
        fleet.note("view", name, path=path, shown=await fleet.view(name, path))
    except (OSError, TimeoutError, LabError, ValueError) as error:
        fleet.note("view", name, path=path, error=repr(error))


async def _turn(fleet: Fleet, inventory: str, turn_s: float) -> None:
    """What is told to nodes that are down, or stopped, they meet when they are back."""
    turn = 0
    while turn_s:
        await asyncio.sleep(turn_s)
        turn += 1
        fleet.inventory = inventory.replace("$turn", str(turn % TURNS))
        fleet.note("turn", turn=turn)
        for name in fleet.names:
            fleet.write_inventory(name)


async def _begin(fleet: Fleet, fault: Fault, begun: float, down: set[str], most_down: int) -> None:
    """When its time has come. A start may take longer than was drawn (seen: 30 s, and a fleet without a
    majority for minutes), so a node's own fault is left out where as many are down as may, or this one is."""
    await asyncio.sleep(begun + fault.at_s - asyncio.get_running_loop().time())
    if fault.kind not in OF_ONE:
        await _one(fleet, fault)
    elif len(down) >= most_down or fault.one[0] in down:
        fleet.note("left out", fault.one[0], fault=fault.kind.value)
    else:
        down.add(fault.one[0])
        try:
            await _one(fleet, fault)
        finally:
            down.discard(fault.one[0])


async def _one(fleet: Fleet, fault: Fault) -> None:
    """One fault, from its begin to its end. Others may run at the same time, also on the same links."""
    one, links = fault.one[0], fleet.links
    fleet.note(fault.kind.value, one, others=fault.others, lasts_s=round(fault.lasts_s, 3))
    match fault.kind:
        case Kind.KILL | Kind.TERM | Kind.OLDER_COPY:
            if fault.kind is Kind.OLDER_COPY:
                fleet.save_copy(one)
                await asyncio.sleep(fault.lasts_s / 2)
            await (fleet.term(one) if fault.kind is Kind.TERM else fleet.kill(one))
            await asyncio.sleep(fault.lasts_s / 2)
            if fault.kind is Kind.OLDER_COPY:
                fleet.restore_copy(one)
            await fleet.start(one)
        case Kind.STOP:
            fleet.stop(one)
            await asyncio.sleep(fault.lasts_s)
            fleet.go_on(one)
        case Kind.DISK_FULL | Kind.DISK_STALL | Kind.DISK_LOSE | Kind.DISK_TEAR:
            told: dict[Kind, dict[str, Any]] = {
                Kind.DISK_FULL: {"full_bytes": FULL_BYTES},
                Kind.DISK_STALL: {"stall_s": STALL_S * fault.part},
                Kind.DISK_LOSE: {"lose": True},
                Kind.DISK_TEAR: {"tear": 0.5},
            }
            fleet.disk(one, **told[fault.kind])
            await asyncio.sleep(fault.lasts_s)
            if fault.kind in (Kind.DISK_LOSE, Kind.DISK_TEAR):
                await fleet.kill(one)
            fleet.disk(one)
            if not fleet.nodes[one].up:  # by us, or of its own accord over what its disk did
                await fleet.start(one)
        case Kind.CLOCK_LEAP if fault.part < 0.5:
            fleet.clock(one, leap_s=LEAP_S * (4.0 * fault.part - 1.0), which=("wall",))
        case Kind.CLOCK_LEAP:
            fleet.clock(one, leap_s=LEAP_S * (2.0 * fault.part - 1.0))
        case Kind.CLOCK_RATE:
            fleet.clock(one, rate=1.0 + DRIFT * (2.0 * fault.part - 1.0))
            await asyncio.sleep(fault.lasts_s)
            fleet.clock(one, rate=1.0)
        case _:
            changes = {
                Kind.CUT: Faults(Cut.REFUSE),
                Kind.SILENT: Faults(Cut.SILENT),
                Kind.STALL: Faults(stalled=True),
                Kind.SPLIT: Faults(Cut.SILENT),
                Kind.ISOLATE: Faults(Cut.REFUSE),
                Kind.HALL: Faults(Cut.SILENT if fault.part < 0.5 else Cut.REFUSE),
                Kind.DROP: Faults(drop=0.5 * fault.part),
                Kind.DOUBLE: Faults(double=fault.part),
                Kind.SHORT: Faults(short=0.1 * fault.part),
                Kind.DELAY: Faults(delay_s=DELAY_S * fault.part),
                Kind.SLOW: Faults(bytes_per_s=SLOW_BYTES_PER_S),
            }
            both = fault.kind in (Kind.SPLIT, Kind.ISOLATE, Kind.HALL)
            pairs = [(fault.one, fault.others), *([(fault.others, fault.one)] if both else [])]
            laid = [links.lay(sources, targets, changes[fault.kind]) for sources, targets in pairs]
            await asyncio.sleep(fault.lasts_s)
            for number in laid:
                links.lift(number)


__all__ = ["LabError", "Outcome", "Run", "play", "read"]
