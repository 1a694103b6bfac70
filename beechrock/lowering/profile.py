"""Declared abilities of a hardware class, and their differences from a node's measurements. Pure data."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields

from beechrock.inventory.problems import Place
from beechrock.lowering.policy import NOWHERE, Affinity

KINDS = ("exact", "prefix", "set", "size", "attempt")
# Estimated bytes in memory of a table entry with its key, of an action, and of a slot of an action. Based on
# the growth of a CPython 3.11 process per loaded entry; tests/lowering/test_tables.py checks that the
# estimate is not below the real size.
ENTRY_BYTES, ACTION_BYTES, SLOT_BYTES = 420, 700, 16


@dataclass(frozen=True, slots=True)
class Profile:
    """Abilities of a hardware class.

    Counts are totals over all rules of a table, except those that are marked as per rule.
    """

    name: str
    memory_kb: float = 65_536.0  # Maximum memory of a table, in kB
    entries: int = 1_000_000  # Maximum number of entries in a table
    kinds: frozenset[str] = frozenset(KINDS)  # Supported match conditions
    lengths: int = 16  # Maximum number of distinct prefix lengths
    ends: bool = True  # Whether a prefix may include the end mark after a subject's last character
    slots: int = 64  # Maximum number of slots for a tier's weights, per rule
    tiers: int = 8  # Maximum number of halls and fall-backs in sequence, per rule
    affinity: frozenset[Affinity] = frozenset(Affinity)  # Supported kinds of affinity
    timers: int = 1_000_000  # Maximum number of rules that may hedge
    timer_ms: int = 1  # Resolution of a timer, in milliseconds
    counters: int = 1_000_000  # Maximum number of counters for limits
    levels: int = 8  # Number of priority levels
    retries: int = 10  # Maximum number of retries, per rule
    mirrors: bool = True  # Whether mirrors are supported
    match_us: float = 5.0  # Time of one lookup, in microseconds
    rate_per_s: float = 10_000.0  # Requests per second that one machine of the class can route
    place: Place = field(default=NOWHERE, compare=False)

    def has(self, kind: str) -> bool:
        return kind in self.kinds


@dataclass(frozen=True, slots=True)
class Difference:
    """Measured value that differs from the declared value of the node's class."""

    key: str
    declared: float
    measured: float

    @property
    def short(self) -> bool:
        """Whether the node has less capacity than its class declares."""
        return self.measured > self.declared if self.key == "match_us" else self.measured < self.declared


SLACK = 0.1  # Relative difference up to which a measured value counts as equal to the declared one


def differences(declared: Profile, measured: Mapping[str, float]) -> list[Difference]:
    """Return the measured values that differ from the declared ones by more than SLACK, sorted by key."""
    found = []
    for key in sorted(measured):
        value = getattr(declared, key, None)
        if isinstance(value, (int, float)) and abs(measured[key] - value) > SLACK * abs(value):
            found.append(Difference(key, float(value), float(measured[key])))
    return found


@dataclass(frozen=True, slots=True)
class Fleet:
    """Number of machines of each class in each hall."""

    machines: Mapping[tuple[str, str], int]  # By class and hall

    def classes(self) -> list[str]:
        return sorted({name for (name, _), count in self.machines.items() if count})

    def halls(self) -> list[str]:
        return sorted({hall for (_, hall), count in self.machines.items() if count})

    def count(self, name: str, without: str | None = None) -> int:
        return sum(count for (c, hall), count in self.machines.items() if c == name and hall != without)


def as_row(profile: Profile) -> dict[str, object]:
    """Return the profile as plain values, for a report or a view."""
    row: dict[str, object] = {}
    for item in fields(Profile):
        value = getattr(profile, item.name)
        if isinstance(value, frozenset):
            row[item.name] = sorted(v.name.lower() if isinstance(v, Affinity) else v for v in value)
        elif item.name != "place":
            row[item.name] = value
    return row
