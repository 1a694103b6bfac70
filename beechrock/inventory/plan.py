"""Plans the change from the running generation to a new one: ordered steps, and reasons against it. Pure.

Entries that others refer to are added first and removed last. Removed contracts, services and teams drain:
they accept no new requests, and requests read before the change are still answered under the old contract.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from beechrock.inventory.generation import Generation
from beechrock.inventory.schema import KEYS

MOST_CONTRACTS = 20_000  # Positions in the decision module's lists; bounds the cost of each decision
ADD_ORDER = ("machines", "departments", "teams", "services", "contracts", "budgets", "front_ends")
# Share of the entries of a kind whose removal needs no confirmation. A file cut off at the end of a row is
# still valid, so a larger removal may be an accident.
MOST_REMOVED = 0.25
FEW = 1  # Entries of a kind that may always be removed without confirmation


class Verb(Enum):
    ADDED = "added"
    CHANGED = "changed"
    DRAINED = "drained"  # Removed entry, or server no longer used; open requests continue
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Step:
    verb: Verb
    kind: str
    name: str
    keys: tuple[tuple[str, Any, Any], ...] = ()  # For CHANGED: (key, old value, new value)

    def __str__(self) -> str:
        details = ", ".join(f"{key}: {shown(old)} -> {shown(new)}" for key, old, new in self.keys)
        return f"{self.verb.value:8} {self.kind}.{self.name}" + (f"  {details}" if details else "")


@dataclass(frozen=True, slots=True)
class Plan:
    """Steps of a change; ``refused`` lists reasons to reject it, ``held`` reasons to ask for confirmation."""

    steps: tuple[Step, ...]
    refused: tuple[str, ...] = ()
    held: tuple[str, ...] = ()

    def counts(self) -> dict[str, int]:
        return {verb.value: sum(step.verb is verb for step in self.steps) for verb in Verb}

    def summary(self) -> "Change":
        return Change(self.counts(), self.refused, self.held)


@dataclass(frozen=True, slots=True)
class Change:
    """Summary of a plan: steps by verb, and the reasons to reject the change or ask for confirmation."""

    counts: dict[str, int]
    refused: tuple[str, ...] = ()
    held: tuple[str, ...] = ()


def shown(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, (tuple, list)):
        return " ".join(f"{host}:{port}" for host, port in value)
    return f"{value:g}" if isinstance(value, float) else str(value)


def plan(running: Generation, new: Generation, most_removed: float = MOST_REMOVED) -> Plan:
    """Return the plan that leads from ``running`` to ``new``."""
    steps: list[Step] = []
    old_kinds, new_kinds = running.entries().kinds, new.entries().kinds
    if changed := _changed(running.entries().node.values, new.entries().node.values):
        steps.append(Step(Verb.CHANGED, "all", "vars", changed))
    for kind in ADD_ORDER:
        steps += [Step(Verb.ADDED, kind, name) for name in new_kinds[kind] if name not in old_kinds[kind]]
    for kind in ADD_ORDER:
        for name, entry in new_kinds[kind].items():
            if name in old_kinds[kind] and (keys := _changed(old_kinds[kind][name].values, entry.values)):
                steps.append(Step(Verb.CHANGED, kind, name, keys))
    steps += _drained_servers(running, new)
    for kind in reversed(ADD_ORDER):
        verb = Verb.DRAINED if kind in ("contracts", "services", "teams") else Verb.REMOVED
        steps += [Step(verb, kind, name) for name in old_kinds[kind] if name not in new_kinds[kind]]
    return Plan(tuple(steps), tuple(_refused(running, new)), tuple(_held(running, new, most_removed)))


def _changed(old: dict[str, Any], new: dict[str, Any]) -> tuple[tuple[str, Any, Any], ...]:
    return tuple(
        (key, old.get(key), new.get(key)) for key in sorted({*old, *new}) if old.get(key) != new.get(key)
    )


def _drained_servers(running: Generation, new: Generation) -> list[Step]:
    before, after = running.meaning.upstreams, new.meaning.upstreams
    return [
        Step(Verb.DRAINED, "upstream", f"{service} {host}:{port}")
        for service, addresses in before.items()
        for host, port in addresses
        if (host, port) not in after.get(service, ())
    ]


def _refused(running: Generation, new: Generation) -> list[str]:
    found = []
    effects = _effects(running)
    for service, effect in _effects(new).items():
        held = effects.get(service, effect)
        if held != effect and "keyed" in (held, effect):
            # Keys of requests in flight would be forgotten, or were never stored, so a retry could run twice.
            found.append(
                f"services.{service}: effect: {held} -> {effect}: take the service out, wait for its"
                " window, and put it in again"
            )
    if len(new.meaning.classes) > MOST_CONTRACTS:
        found.append(f"contracts: {len(new.meaning.classes)}, over {MOST_CONTRACTS}")
    return found


def _effects(generation: Generation) -> dict[str, str]:
    return {c.values["service"]: c.values["effect"] for c in generation.entries().kinds["contracts"].values()}


def _held(running: Generation, new: Generation, most_removed: float) -> list[str]:
    found = []
    for kind in KEYS:
        before = running.entries().kinds[kind]
        gone = sum(name not in new.entries().kinds[kind] for name in before)
        if gone > max(FEW, most_removed * len(before)):
            found.append(f"{kind}: {gone} of {len(before)} would go")
    servers = {a for places in running.meaning.upstreams.values() for a in places}
    left = {a for places in new.meaning.upstreams.values() for a in places}
    if len(servers - left) > max(FEW, most_removed * len(servers)) and servers & left:
        found.append(f"upstreams: {len(servers - left)} of {len(servers)} would go")
    return found
