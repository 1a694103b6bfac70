"""Terms of contracts and budgets in one generation, as plain data. Pure."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from beechrock.inventory.hours import Hours

Contract = tuple[str, str]  # Team and service
ROOT = ""  # Name of the root group, above all departments
MILLION = 1_000_000
MOST_AMOUNT = 1e12


def whole(amount: float) -> int:
    """Convert an amount to millionths, rounded up so that a price above 0 is not rounded to 0."""
    return math.ceil(min(amount, MOST_AMOUNT) * MILLION - 1e-6)


@dataclass(frozen=True, slots=True)
class Plan:
    """A budget; ``amount`` is in millionths per period of ``period_s`` seconds."""

    amount: int
    period_s: float
    per_cost: float = 0.0  # Price of a second of work; 0: each start costs its fixed price
    carry: float = 0.0  # Share of the amount that may carry over to the next period
    soft: float = (
        1.0  # Share of the amount above which requests count as over the fair share, but are not rejected
    )
    hard: bool = True
    warn: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A contract between a team and a service; rates are in units per second, bodies in bytes per second."""

    rate: float
    burst: float
    most: float = math.inf
    at_once: float = math.inf
    hours: Hours = field(default_factory=Hours)
    outside: bool = True  # Whether the team may borrow capacity outside of the contract's hours
    priority: int = 0
    borrows: bool = True
    bytes_per_s: float = math.inf
    price: int = 0  # Price of a start, in millionths


@dataclass(frozen=True, slots=True)
class Group:
    """A team or a department; its rate is at least the sum of the rates of its members."""

    rate: float
    burst: float
    most: float = math.inf
    at_once: float = math.inf
    borrows: bool = True
    above: str = ROOT  # Department of a team
    weight: float = 1.0  # Weight of a team in the fair shares
    budget: Plan | None = None  # Budget of a team
    connections: float = math.inf  # Maximum number of open connections of a team


@dataclass(frozen=True, slots=True)
class Terms:
    """All terms of one node.

    ``slack_s`` is the work, in seconds over all cores, by which a team may exceed its share. ``cost_s`` is
    the initial estimate of a request's cost, in seconds.
    """

    root: Group
    departments: Mapping[str, Group]
    teams: Mapping[str, Group]
    services: Mapping[Contract, Service]
    cores: float = 1.0
    slack_s: float = 0.25
    cost_s: float = 0.01


def packed(terms: Terms) -> list[Any]:
    """Convert terms to values that JSON can hold; None means no bound."""
    return [
        _packed(terms.root),
        {name: _packed(group) for name, group in terms.departments.items()},
        {name: _packed(group) for name, group in terms.teams.items()},
        [[*pair, *_packed(item)] for pair, item in terms.services.items()],
        terms.cores,
        terms.slack_s,
        terms.cost_s,
    ]


def _packed(item: object) -> list[Any]:
    """Return the values of a dataclass in field order; a plan and hours become nested lists."""
    found: list[Any] = []
    for field_ in fields(item):  # type: ignore[arg-type]
        value = getattr(item, field_.name)
        if isinstance(value, (Plan, Hours)):
            value = None if value == Hours() else _packed(value)
        found.append(None if isinstance(value, float) and math.isinf(value) else value)
    return found


def unpacked(values: list[Any]) -> Terms:
    root, departments, teams, services, cores, slack_s, cost_s = values
    return Terms(
        _group(root),
        {name: _group(item) for name, item in departments.items()},
        {name: _group(item) for name, item in teams.items()},
        {(team, service): _service(item) for team, service, *item in services},
        cores,
        slack_s,
        cost_s,
    )


def _unbound(value: float | None) -> float:
    return math.inf if value is None else value


def _group(values: list[Any]) -> Group:
    rate, burst, most, at_once, borrows, above, weight, plan, connections = values
    budget = None
    if plan is not None:
        *numbers, warn = plan
        amount, period_s, per_cost, carry, soft, hard = numbers
        budget = Plan(amount, period_s, per_cost, carry, soft, hard, tuple(warn))
    return Group(
        rate, burst, _unbound(most), _unbound(at_once), borrows, above, weight, budget, _unbound(connections)
    )


def _service(values: list[Any]) -> Service:
    rate, burst, most, at_once, hours, outside, priority, borrows, bytes_per_s, price = values
    held = Hours() if hours is None else Hours(tuple((a, b) for a, b in hours[0]), hours[1])
    return Service(
        rate,
        burst,
        _unbound(most),
        _unbound(at_once),
        held,
        outside,
        priority,
        borrows,
        _unbound(bytes_per_s),
        price,
    )
