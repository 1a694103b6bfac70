"""The components that the core of a node calls; the program connects each before the first batch."""

from dataclasses import dataclass
from typing import Protocol

from beechrock import interface as api
from beechrock.core.requests import Calls, Partner, Tracer, Work
from beechrock.policy import Node


class BudgetParts(Protocol):
    """Supplies this node's current parts of the budgets, if these are not a fixed share per node."""

    def settings(self, now: float, settings: api.Settings) -> api.Settings:
        """Return these settings with this node's parts in place of the undivided budgets."""

    def changed_settings(self, now: float, node: Node) -> api.Settings | None:
        """Return settings with other parts if any changed since the last batch, else None."""


@dataclass(slots=True)
class Ports:
    """One attribute per component; None if the node does not have it."""

    work: Work | None = None
    calls: Calls | None = None
    tracer: Tracer | None = None
    partner: Partner | None = None  # the other process of this node
    budget_parts: BudgetParts | None = None  # None: each node has 1/fleet_size of a budget
