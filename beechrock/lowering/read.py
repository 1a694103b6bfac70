"""Converts the checked entries of an inventory into a policy, class profiles and machine counts. Pure.

Each fault is added to the inventory's problems, with file, line, entry and key.
"""

from typing import Any

from beechrock.inventory.merge import Checked, Entry
from beechrock.inventory.problems import Problems
from beechrock.lowering.policy import (
    KEYS,
    MAX_ATTEMPT,
    MAX_SIZE,
    Affinity,
    Feature,
    Kind,
    Mark,
    Match,
    Policy,
    Pool,
    Rule,
    check,
)
from beechrock.lowering.profile import KINDS, Fleet, Profile

AFFINITIES = {affinity.name.lower(): affinity for affinity in Affinity}
KIND_KEYS = {"subject": Kind.EXACT, "prefix": Kind.PREFIX, "subjects": Kind.SET}
# Hall and hardware class of a machine without these keys; the table [fleet] has the same defaults.
HALL, HARDWARE = "hall", "common"
# Keys of the inventory that have another name in the model.
NAMES = {"rate": "rate_per_s", "survive": "survive_per_s", "expect": "expect_per_s"}
WHOLE = ("order", "at_once", "retries", "hedge_ms", "priority")
PROFILE_WHOLE = (
    "entries",
    "lengths",
    "slots",
    "tiers",
    "timers",
    "timer_ms",
    "counters",
    "levels",
    "retries",
)


class _Reader:
    def __init__(self, checked: Checked, problems: Problems) -> None:
        self.checked, self.problems = checked, problems

    def bad(self, kind: str, entry: Entry, key: str, text: str) -> None:
        self.problems.add(entry.origins.get(key, entry.place), f"{kind}.{entry.name}", key, text)

    def profile(self, entry: Entry) -> Profile:
        v, fields = entry.values, dict[str, Any]()
        for key, value in v.items():
            fields[NAMES.get(key, key)] = int(value) if key in PROFILE_WHOLE else value
        for key, known in (("kinds", set(KINDS)), ("affinity", set(AFFINITIES))):
            if key in v:
                unknown = sorted(set(v[key]) - known)
                if unknown:
                    self.bad("hardware", entry, key, f"{unknown[0]} is none of {', '.join(sorted(known))}")
        fields["kinds"] = frozenset(v.get("kinds", KINDS))
        fields["affinity"] = frozenset(
            AFFINITIES[a] for a in v.get("affinity", AFFINITIES) if a in AFFINITIES
        )
        return Profile(entry.name, place=entry.place, **fields)

    def pool(self, entry: Entry) -> Pool:
        v, machines = entry.values, self.checked.kinds["machines"]
        servers: list[tuple[str, int]] = []
        for host, port in v.get("upstreams", ()):
            names = (host,) if host in machines else self.checked.groups.get(host, ())
            servers += [(machines[machine].values.get("address", machine), port) for machine in names] or [
                (host, port)
            ]
        if "team" in v and v["team"] not in self.checked.kinds["teams"]:
            self.bad("pools", entry, "team", f"{v['team']} is not in the inventory")
        return Pool(
            entry.name,
            v.get("hall", ""),
            v.get("rate", 1000.0),
            tuple(dict.fromkeys(servers)),
            v.get("team"),
            v.get("fall_back"),
            entry.place,
        )

    def rule(self, entry: Entry) -> Rule:
        v = entry.values
        for key, kind in (("team", "teams"), ("service", "services")):
            if key in v and v[key] not in self.checked.kinds[kind]:
                self.bad("rules", entry, key, f"{v[key]} is not in the inventory")
        keys = [key for key in KIND_KEYS if key in v]
        if len(keys) > 1:
            self.bad("rules", entry, keys[1], f"conflicts with {keys[0]}; only one of them is allowed")
        subjects = tuple(dict.fromkeys(v[keys[0]] if keys[0] == "subjects" else [v[keys[0]]])) if keys else ()
        match = Match(
            v.get("team"),
            v.get("service"),
            KIND_KEYS[keys[0]] if keys else Kind.ANY,
            subjects,
            (int(v.get("size_least", 0)), int(v.get("size_most", MAX_SIZE))),
            (int(v.get("attempt_least", 1)), int(v.get("attempt_most", MAX_ATTEMPT))),
        )
        affinity = v.get("affinity", "none")
        if affinity not in AFFINITIES:
            self.bad("rules", entry, "affinity", f"{affinity} is none of {', '.join(AFFINITIES)}")
        optional = {
            NAMES.get(key, key): int(v[key]) if key in WHOLE else v[key]
            for key in (*WHOLE, "rate", "survive", "expect", "within")
            if key in v
        }
        return Rule(
            entry.name,
            match,
            _weights(v.get("pools", [])),
            halls=tuple(v.get("halls", ())),
            fall_backs=tuple(v.get("fall_backs", ())),
            affinity=AFFINITIES.get(affinity, Affinity.NONE),
            mirrors=_weights(v.get("mirrors", [])),
            marks=self.marks(entry),
            place=entry.place,
            places=entry.origins,
            **optional,
        )

    def marks(self, entry: Entry) -> tuple[tuple[Feature, Mark], ...]:
        found: dict[Feature, Mark] = {}
        for mark in Mark:
            for name in entry.values.get(mark.value, ()):
                feature = KEYS.get(name)
                if feature is None:
                    self.bad("rules", entry, mark.value, f"{name} is none of {', '.join(KEYS)}")
                elif feature in found:
                    self.bad("rules", entry, mark.value, f"{name} is {found[feature].value} already")
                else:
                    found[feature] = mark
        return tuple(sorted(found.items(), key=lambda item: item[0].value))


def _weights(items: list[str]) -> tuple[tuple[str, int], ...]:
    parts = [item.rpartition("=") for item in items]
    return tuple((name, int(number)) for name, _, number in parts)


def policy_of(checked: Checked, problems: Problems) -> tuple[Policy, dict[str, Profile], Fleet]:
    """Return the policy, the class profiles and the fleet.

    Faults are added to ``problems``; after an error the returned values must not be used.
    """
    reader = _Reader(checked, problems)
    kinds = checked.kinds
    profiles = {name: reader.profile(entry) for name, entry in kinds["hardware"].items()}
    pools = [reader.pool(entry) for entry in kinds["pools"].values()]
    rules = [reader.rule(entry) for entry in kinds["rules"].values()]
    effects = {
        (e.values["team"], e.values["service"]): e.values["effect"]
        for e in kinds["contracts"].values()
        if {"team", "service", "effect"} <= e.values.keys()
    }
    machines: dict[tuple[str, str], int] = {}
    for entry in kinds["machines"].values():
        if entry.values.get("node", True):
            name = entry.values.get("hardware", HARDWARE)
            if "hardware" in entry.values and name not in profiles:
                reader.bad("machines", entry, "hardware", f"{name} is not in the group hardware")
            key = name, entry.values.get("hall", HALL)
            machines[key] = machines.get(key, 0) + 1
    if any(name == HARDWARE for name, _ in machines):
        profiles.setdefault(HARDWARE, Profile(HARDWARE))
    policy = Policy(
        tuple(sorted(rules, key=Rule.sorts)),
        {p.name: p for p in sorted(pools, key=lambda p: p.name)},
        dict(sorted(effects.items())),
    )
    for fault in check(policy):
        problems.add(fault.place, fault.entry, fault.key, fault.text)
    return policy, profiles, Fleet(dict(sorted(machines.items())))
