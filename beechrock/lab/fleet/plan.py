"""Which faults come when, drawn from a seed. Pure: the same rules and seed give the same plan."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """Of a fault, with its end: what was killed is started, what was cut is healed."""

    KILL = "kill"
    TERM = "term"
    STOP = "stop"
    OLDER_COPY = "older_copy"  # killed, and started again with its state of some time before
    CUT = "cut"  # one way, with resets
    SILENT = "silent"  # one way: all is taken, and nothing arrives
    STALL = "stall"  # one way: taken, and given on at the end
    SPLIT = "split"
    ISOLATE = "isolate"
    HALL = "hall"  # one hall from all others, both ways
    DROP = "drop"
    DOUBLE = "double"
    SHORT = "short"
    DELAY = "delay"
    SLOW = "slow"
    DISK_FULL = "disk_full"
    DISK_STALL = "disk_stall"
    DISK_LOSE = "disk_lose"  # syncs that lie, and a kill at the end
    DISK_TEAR = "disk_tear"  # pieces of what was not synced stay, and a kill at the end
    CLOCK_LEAP = "clock_leap"  # stays so: all forward, as after a pause, or wall alone, both ways
    CLOCK_RATE = "clock_rate"  # within the drift that leases allow for


OF_PROCESSES = {Kind.KILL, Kind.TERM, Kind.STOP, Kind.OLDER_COPY}
OF_DISKS = {Kind.DISK_FULL, Kind.DISK_STALL, Kind.DISK_LOSE, Kind.DISK_TEAR}
OF_CLOCKS = {Kind.CLOCK_LEAP, Kind.CLOCK_RATE}  # of one machine, which is not down by them
OF_ONE = OF_PROCESSES | OF_DISKS


@dataclass(frozen=True, slots=True)
class Fault:
    """From ``at_s`` for ``lasts_s``, of a node, or of the links from ``one`` to ``others``."""

    at_s: float
    lasts_s: float
    kind: Kind
    one: tuple[str, ...]
    others: tuple[str, ...] = ()
    part: float = 0.0  # of frames, or of a second, as the kind says


@dataclass(frozen=True, slots=True)
class Rules:
    names: tuple[str, ...]
    weights: Mapping[Kind, float]
    seconds: float = 30.0
    every_s: float = 1.0  # between two faults, in the mean
    lasts_s: tuple[float, float] = (0.5, 3.0)
    most_down: int = 1  # nodes with a fault of their own at the same time
    halls: tuple[tuple[str, ...], ...] = ()
    only: Mapping[Kind, tuple[str, ...]] = field(default_factory=dict)  # where a node's own fault may come


def plan(rules: Rules, seed: int) -> list[Fault]:
    """By their begin; all end within ``seconds``."""
    draw = random.Random(seed)
    kinds = sorted(rules.weights, key=lambda kind: kind.value)
    weights = [rules.weights[kind] for kind in kinds]
    found: list[Fault] = []
    busy: dict[str, float] = {}  # until when a node has a fault of its own
    at = 0.0
    while kinds and (at := at + draw.expovariate(1.0 / rules.every_s)) < rules.seconds:
        kind = draw.choices(kinds, weights)[0]
        lasts = min(draw.uniform(*rules.lasts_s), rules.seconds - at)
        names = list(rules.names)
        draw.shuffle(names)
        part = draw.random()
        if kind in OF_ONE:
            names = [name for name in names if name in rules.only.get(kind, names)]
            down = {name for name, end in busy.items() if end > at}
            if not names or len(down) >= rules.most_down or names[0] in down:
                continue
            busy[names[0]] = at + lasts
            found.append(Fault(at, lasts, kind, (names[0],), (), part))
        elif kind is Kind.HALL:
            hall = draw.choice(rules.halls) if rules.halls else ()
            if hall and (others := tuple(name for name in rules.names if name not in hall)):
                found.append(Fault(at, lasts, kind, hall, others, part))
        elif kind in OF_CLOCKS:
            found.append(Fault(at, lasts, kind, (names[0],), (), part))
        elif len(names) > 1:
            side = draw.randrange(1, len(names)) if kind is Kind.SPLIT else 1
            rest = names[side:] if kind in (Kind.SPLIT, Kind.ISOLATE) else names[1:2]
            found.append(Fault(at, lasts, kind, tuple(names[:side]), tuple(rest), part))
    return found
