"""Tree of departments, teams and services: own rates, and borrowing from the nodes above. Pure, O(depth).

Invariants: a request within a node's own rate passes whatever others have borrowed, if all rates below a node
add up to no more than its own (the inventory checks that). Over any time T a node lets through at most
``rate`` x T + its burst + the bursts below it. Ceilings and concurrency limits bound own and borrowed alike.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from beechrock.limits.rates import ConcurrencyLimit, Rate

PRIORITY_LEVELS = 4  # number of priorities of a team's services; 0 is the highest


class RejectReason(Enum):
    """Why a request or connection was rejected; callers and counters get the value."""

    RATE = "rate"  # the service's own rate is used up, and nothing can be borrowed
    CEILING = "ceiling"
    AT_ONCE = "at_once"
    HOURS = "hours"
    BYTES = "bytes"
    BUDGET = "budget"
    CONNECTIONS = "connections"
    SPENDING = "spending"  # the budget's next ceiling is not on the disk yet


@dataclass(slots=True, eq=False)
class Node:
    """A department, team or service, with its guaranteed ``rate`` and its ``ceiling``."""

    name: str
    rate: Rate
    ceiling: Rate = field(default_factory=lambda: Rate(math.inf, 1.0))
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    parent: "Node | None" = None
    priority: int = 0  # priority of a service within its team; 0 is the highest
    borrows: bool = True  # whether it may use the spare rate of the nodes above

    def path(self) -> Iterator["Node"]:
        """Iterate over this node and its ancestors, this node first."""
        node: Node | None = self
        while node is not None:
            yield node
            node = node.parent


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that was let through; ``borrowed``: by the rate of a node above its own."""

    borrowed: bool


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that was not let through."""

    reason: RejectReason
    retry_after_s: float
    node: str = ""  # name of the node that rejected it


CONCURRENCY_RETRY_AFTER_S = 0.1  # a fixed time, as nobody knows when an open request ends


def admit(now: float, leaf: Node, in_hours: bool = True) -> Admission | Rejection:
    """Charge the whole path of a service, or nothing.

    ``in_hours``: whether it is within the contract's hours; outside of them it only borrows.
    """
    for node in leaf.path():
        if not node.concurrency.has_room():
            return Rejection(RejectReason.AT_ONCE, CONCURRENCY_RETRY_AFTER_S, node.name)
        if not node.ceiling.has_room(now):
            return Rejection(RejectReason.CEILING, node.ceiling.retry_after_s(now), node.name)
    lender = leaf if in_hours and leaf.rate.has_room(now) else _lender(now, leaf)
    if lender is None:
        return Rejection(
            RejectReason.RATE if in_hours else RejectReason.HOURS, leaf.rate.retry_after_s(now), leaf.name
        )
    for node in leaf.path():
        node.rate.charge(now)
        node.ceiling.charge(now)
        node.concurrency.begin()
    return Admission(lender is not leaf)


def _lender(now: float, leaf: Node) -> Node | None:
    """Return the nearest ancestor that can lend, or None.

    What a service borrows from its team leaves a reserve for the services of higher priority.
    """
    below = leaf
    while below.borrows and (node := below.parent) is not None:
        reserve = node.rate.burst * leaf.priority / PRIORITY_LEVELS if below is leaf else 0.0
        # ``has_room`` also passes where a burst below 1 is available in full; the reserve needs the count.
        if node.rate.has_room(now) and node.rate.available(now) >= reserve:
            return node
        below = node
    return None


def end(path: tuple[Node, ...], ran: bool) -> None:
    """End an admitted request on the path that it was admitted on; refund its rates if it never ran."""
    for node in path:
        node.concurrency.end()
        if not ran:
            node.rate.refund()
            node.ceiling.refund()
