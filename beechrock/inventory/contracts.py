"""Checks the limits of contracts, teams, departments and budgets and builds ``Terms`` from them. Pure.

Numbers in the files apply to the whole fleet; a node's terms hold the number divided by the number of nodes.
A rate or burst that a department or team does not set is the sum over its members, so the rates guaranteed to
all members of a group never exceed the rate of the group.
"""

import math
from collections.abc import Callable
from typing import Any

from beechrock.inventory.hours import Hours, parse
from beechrock.inventory.merge import Entry
from beechrock.inventory.terms import Contract, Group, Plan, Service, Terms, whole

Bad = Callable[[Entry, str, str, str], None]  # entry, kind, key, text
LEVELS = 4  # Number of priority levels, counted from 0
LEAST_WEIGHT = 0.001  # Lower bound of a weight that is derived from the shares of a team's contracts


class _Terms:
    def __init__(self, bad: Bad, nodes: float) -> None:
        self.bad, self.nodes = bad, nodes

    def part(self, value: Any) -> float:
        """Return this node's part of a number for the whole fleet; an absent number means no bound."""
        return math.inf if value is None else value / self.nodes

    def at_once(self, value: Any) -> float:
        return math.inf if value is None else max(1.0, math.ceil(value / self.nodes))

    def service(self, entry: Entry, offset_s: int) -> Service:
        c = entry.values
        rate = c["rate"] / self.nodes
        if c.get("most", math.inf) < c["rate"]:
            self.bad(entry, "contracts", "most", f"below its rate of {c['rate']:g}")
        if not 0 <= c.get("priority", 0) < LEVELS or c.get("priority", 0) % 1:
            self.bad(entry, "contracts", "priority", f"{c['priority']:g} is none of 0 to {LEVELS - 1}")
        if "outside" in c and "hours" not in c:
            self.bad(entry, "contracts", "outside", "needs hours, which are not set")
        return Service(
            rate,
            max(1.0, c.get("burst", c["rate"]) / self.nodes),
            self.part(c.get("most")),
            self.at_once(c.get("at_once")),
            parse(c["hours"], offset_s) if "hours" in c else Hours(),
            c.get("outside", "borrow") == "borrow",
            int(c.get("priority", 0)),
            c.get("borrows", True),
            self.part(c.get("bytes_per_s")),
            whole(c.get("price", 1.0)),
        )

    def group(self, entry: Entry, kind: str, below: list[Service] | list[Group], **more: Any) -> Group:
        v = entry.values
        total = math.fsum(member.rate for member in below)
        rate = v["rate"] / self.nodes if "rate" in v else total
        if rate < total * (1 - 1e-9):
            self.bad(
                entry,
                kind,
                "rate",
                f"{v['rate']:g} is below what is promised to those in it, {total * self.nodes:g}",
            )
        if v.get("most", math.inf) / self.nodes < rate * (1 - 1e-9):
            self.bad(entry, kind, "most", f"below its rate of {rate * self.nodes:g}")
        burst = v["burst"] / self.nodes if "burst" in v else math.fsum(member.burst for member in below)
        return Group(
            rate,
            max(1.0, burst),
            self.part(v.get("most")),
            self.at_once(v.get("at_once")),
            v.get("borrows", True),
            **more,
        )

    def connections(self, entry: Entry) -> float:
        """Check the bound on a team's open connections and return this node's part of it.

        Each request uses a connection of its own, so a bound below ``at_once`` would reject requests that
        ``at_once`` allows.
        """
        value, at_once = entry.values.get("connections"), entry.values.get("at_once", 0)
        if value is not None and (value < 1 or value % 1):
            self.bad(entry, "teams", "connections", f"{value:g} is no whole number from 1")
        elif value is not None and value < at_once:
            self.bad(entry, "teams", "connections", f"below its at_once of {at_once:g}")
        return self.at_once(value)

    def plan(self, entry: Entry) -> Plan:
        v = entry.values
        return Plan(
            whole(v["amount"] / self.nodes),
            v["period_s"],
            v.get("per_cost", 0.0),
            v.get("carry", 0.0),
            v.get("soft", 1.0),
            v.get("hard", True),
            tuple(v.get("warn", ())),
        )


def build(
    kinds: dict[str, dict[str, Entry]],
    node: dict[str, Any],
    contracts: dict[Contract, Entry],
    nodes: float,
    bad: Bad,
) -> Terms:
    """Build the terms of one node; call ``bad`` for each limit that is wrong.

    ``contracts`` holds only the contracts that have all required values.
    """
    builder = _Terms(bad, nodes)
    offset_s = int(60 * node.get("utc_offset_min", 0))
    services = {pair: builder.service(entry, offset_s) for pair, entry in contracts.items()}
    budgets = {
        entry.values["team"]: builder.plan(entry)
        for entry in kinds["budgets"].values()
        if {"team", "amount", "period_s"} <= entry.values.keys()
    }
    services_by_team: dict[str, list[Service]] = {name: [] for name in kinds["teams"]}
    shares: dict[str, float] = dict.fromkeys(kinds["teams"], 0.0)
    for (team, _), service in services.items():
        services_by_team[team].append(service)
    for (team, _), entry in contracts.items():
        shares[team] += entry.values["share"]
    teams, below = dict[str, Group](), dict[str, list[Group]]()
    for name, entry in kinds["teams"].items():
        above = entry.values.get("department", "")
        if above and above not in kinds["departments"]:
            bad(entry, "teams", "department", f"{above} is not in the inventory")
        weight = entry.values.get("weight", max(LEAST_WEIGHT, shares[name]))
        teams[name] = builder.group(
            entry,
            "teams",
            services_by_team[name],
            above=above,
            weight=weight,
            budget=budgets.get(name),
            connections=builder.connections(entry),
        )
        below.setdefault(above, []).append(teams[name])
    departments = {
        name: builder.group(entry, "departments", below.get(name, []))
        for name, entry in kinds["departments"].items()
    }
    top = [*departments.values(), *below.get("", [])]
    root = Group(
        math.fsum(member.rate for member in top), max(1.0, math.fsum(member.burst for member in top))
    )
    return Terms(root, departments, teams, services, float(node.get("cores", 1.0)))
