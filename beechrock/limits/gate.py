"""All limits of a node in one place: admits requests, charges them, and settles or refunds the charge. Pure.

Nothing else holds their state. ``now`` is a monotonic clock, for rates; ``wall`` is Unix time, for hours and
budget periods. Invariants: a rejected request is charged nothing; a ticket ends once, on the nodes, account
and price that it was issued with, whatever has changed since; a change of the terms ends no open request.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from beechrock.inventory.terms import ROOT, Contract, Group, Service, Terms
from beechrock.limits import tree
from beechrock.limits.budgets import Balance, Budget, Reservation
from beechrock.limits.rates import Rate
from beechrock.limits.shares import Shares
from beechrock.limits.tree import Node, Rejection, RejectReason

# Retry advice, in seconds, while a higher ceiling is synced, which takes some milliseconds, or some tens of
# them on a busy disk.
DISK_RETRY_AFTER_S = 0.1
MIN_COST_GAIN = 0.05  # least weight of one run's cost in the mean cost of its contract's runs


@dataclass(slots=True, eq=False)
class Ticket:
    """One admitted request, until it ends."""

    team: str
    contract: Contract
    path: tuple[Node, ...]
    reservation: Reservation | None
    budget: Budget | None
    cost_s: float  # estimated seconds of work that its team's fair share was charged
    within_share: bool  # its team is within its fair share and the soft limit of its budget
    open: bool = True


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A rejection, with the team's budget where it has one: all that a retry can act on."""

    rejection: Rejection
    balance: Balance | None


@dataclass(slots=True)
class TeamUsage:
    """Counts and work of one team, for the operator's view."""

    admitted: int = 0
    borrowed: int = 0  # admitted by a borrowed rate
    over_share: int = 0  # admitted beyond its fair share or its budget's soft limit
    ran: int = 0
    refunded: int = 0  # admitted, but never ran
    cost_s: float = 0.0  # total elapsed seconds of the runs that ``ran`` counts
    rejections: Counter[RejectReason] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class _Leaf:
    """State of one contract."""

    node: Node
    terms: Service
    bytes: Rate
    cost_s: float  # mean cost of a run, in seconds of work
    runs_ended: int = 0


class Gate:
    """The limits of all teams, as one generation of the inventory states them.

    ``durable``: budgets are spent only up to the ceilings that are on the disk.
    """

    def __init__(self, now: float, wall: float, terms: Terms, durable: bool = False) -> None:
        self.durable = durable
        self.shares: Shares[str] = Shares()
        self.root = Node("all", Rate(0.0, 1.0))
        self.departments: dict[str, Node] = {}
        self.teams: dict[str, Node] = {}
        self.leaves: dict[Contract, _Leaf] = {}
        self.budgets: dict[str, Budget] = {}  # keyed by team
        self.usage: dict[str, TeamUsage] = {}  # keyed by team
        # State of removed entries that still counts: an entry that comes back continues with it.
        self.removed_leaves: dict[Contract, _Leaf] = {}
        self.removed_teams: dict[str, Node] = {}
        self.removed_budgets: dict[str, Budget] = {}
        self.highest_price: dict[str, int] = {}  # highest price of a start by team, in millionths
        self.new_budgets: list[Budget] = []  # budgets that the latest terms added: nothing is spent yet
        self.near_ceiling: set[str] = set()  # teams whose budget may need a higher ceiling
        self.terms = terms
        self.change_terms(now, wall, terms)

    # --- one request

    def admit(
        self,
        now: float,
        wall: float,
        contract: Contract,
        size: int = 0,
        calendar: float | None = None,
    ) -> Ticket | RejectedRequest:
        """Admit or reject a request.

        ``size``: bytes of its body; ``calendar``: Unix time for the contract's hours, where it differs from
        that of the budget periods. Raises KeyError for an unknown contract: the front end checks it first.
        """
        leaf, team = self.leaves[contract], contract[0]
        usage, budget = self.usage[team], self.budgets.get(team)
        in_hours, changes_in_s = leaf.terms.hours.look(wall if calendar is None else calendar)
        rejection, reservation = None, None
        if not in_hours and not leaf.terms.outside:
            rejection = Rejection(RejectReason.HOURS, changes_in_s, leaf.node.name)
        elif size and not leaf.bytes.has_room(now, size):
            rejection = Rejection(RejectReason.BYTES, leaf.bytes.retry_after_s(now, size), leaf.node.name)
        elif budget is not None and (reservation := budget.reserve(wall, leaf.terms.price)) is None:
            rejection = self._reject_for_budget(wall, budget, leaf)
        else:
            result = tree.admit(now, leaf.node, in_hours)
            if budget is not None:
                self._check_ceiling(team, budget)
            if isinstance(result, Rejection):
                rejection = result
                if reservation is not None and budget is not None:
                    budget.refund(reservation)
            else:
                leaf.bytes.charge(now, size)
                usage.admitted += 1
                usage.borrowed += result.borrowed
        if rejection is not None:
            usage.rejections[rejection.reason] += 1
            return RejectedRequest(rejection, budget.balance(wall) if budget is not None else None)
        within_share = self.shares.is_within_share(team, self.terms.slack_s * self.terms.cores) and (
            budget is None or not budget.over_soft_limit(wall)
        )
        usage.over_share += not within_share
        self.shares.charge(team, leaf.cost_s)
        return Ticket(team, contract, tuple(leaf.node.path()), reservation, budget, leaf.cost_s, within_share)

    def _reject_for_budget(self, wall: float, budget: Budget, leaf: _Leaf) -> Rejection:
        self._check_ceiling(budget.team, budget)
        if budget.waits_for_disk(wall, leaf.terms.price):
            return Rejection(RejectReason.SPENDING, DISK_RETRY_AFTER_S, leaf.node.name)
        return Rejection(RejectReason.BUDGET, budget.balance(wall).period_ends_in_s, budget.team)

    def settle(self, ticket: Ticket, cost_s: float) -> None:
        """End a request whose run took ``cost_s`` seconds of work; a second end has no effect."""
        if not self._end(ticket, ran=True):
            return
        if ticket.reservation is not None and ticket.budget is not None:
            ticket.budget.settle(ticket.reservation, cost_s)
            self._check_ceiling(ticket.team, ticket.budget)
        self.shares.charge(ticket.team, cost_s - ticket.cost_s)
        self.shares.record_work(cost_s)
        if (leaf := self.leaves.get(ticket.contract)) is not None:
            # The first runs weigh more than ``MIN_COST_GAIN``. Seen with scarce cores: where the first
            # estimate was a tenth of the true cost, a flood was within its share for seconds and filled the
            # queue.
            leaf.runs_ended += 1
            leaf.cost_s += max(MIN_COST_GAIN, 1 / leaf.runs_ended) * (cost_s - leaf.cost_s)
        if (usage := self.usage.get(ticket.team)) is not None:
            usage.ran += 1
            usage.cost_s += cost_s

    def refund(self, ticket: Ticket) -> None:
        """End a request that never ran; a second end has no effect."""
        if not self._end(ticket, ran=False):
            return
        if ticket.reservation is not None and ticket.budget is not None:
            ticket.budget.refund(ticket.reservation)
        self.shares.charge(ticket.team, -ticket.cost_s)
        if (usage := self.usage.get(ticket.team)) is not None:
            usage.refunded += 1

    def _end(self, ticket: Ticket, ran: bool) -> bool:
        if not ticket.open:
            return False
        ticket.open = False
        tree.end(ticket.path, ran)
        return True

    def balance(self, wall: float, team: str) -> Balance | None:
        """Return the remaining budget of a team, or None if it has no budget."""
        budget = self.budgets.get(team)
        return budget.balance(wall) if budget is not None else None

    def _check_ceiling(self, team: str, budget: Budget) -> None:
        if budget.is_near_ceiling(self.highest_price.get(team, 1)):
            self.near_ceiling.add(team)

    def take_near_ceiling(self) -> Iterator[tuple[Budget, int]]:
        """Yield, for the journal, budgets that came near their ceilings since the last call.

        Each comes with its team's highest price.
        """
        near_ceiling, self.near_ceiling = self.near_ceiling, set()
        for team in near_ceiling:
            if (budget := self.budgets.get(team)) is not None:
                yield budget, self.highest_price.get(team, 1)

    # --- another generation

    def change_terms(self, now: float, wall: float, terms: Terms) -> None:
        """Apply other terms. Unchanged entries are left as they are, so a small edit costs little."""
        before, self.terms = self.terms, terms
        _change_limits(now, self.root, terms.root)
        self.departments = {
            name: _updated_node(now, name, group, self.departments.get(name), self.root)
            for name, group in terms.departments.items()
        }
        known = {**self.removed_teams, **self.teams}
        self.teams = {}
        for name, group in terms.teams.items():
            parent = self.departments.get(group.above, self.root) if group.above != ROOT else self.root
            existing = known.get(name)
            if (
                existing is not None
                and name not in self.removed_teams
                and existing.parent is parent
                and before.teams.get(name) == group
            ):
                self.teams[name] = known.pop(name)
                continue
            self.teams[name] = _updated_node(now, name, group, known.pop(name, None), parent)
            self.shares.set_weight(name, group.weight)
            self.usage.setdefault(name, TeamUsage())
        self.removed_teams = {name: node for name, node in known.items() if _still_counts(now, node)}
        for name in [team for team in self.shares.teams if team not in self.teams]:
            self.shares.remove(name)
        self._change_leaves(now, terms)
        self._change_budgets(wall, terms)
        self.usage = {name: usage for name, usage in self.usage.items() if name in self.teams}

    def _change_leaves(self, now: float, terms: Terms) -> None:
        known = {**self.removed_leaves, **self.leaves}
        self.leaves = {}
        for contract, service in terms.services.items():
            leaf = known.pop(contract, None)
            if leaf is not None and leaf.node.parent is self.teams[contract[0]] and leaf.terms == service:
                self.leaves[contract] = leaf
                continue
            if leaf is None:
                leaf = _Leaf(
                    Node("/".join(contract), Rate(service.rate, service.burst)),
                    service,
                    Rate(service.bytes_per_s, service.bytes_per_s),
                    terms.cost_s,
                )
            node = leaf.node
            node.rate.change(now, service.rate, service.burst)
            node.ceiling.change(now, service.most, max(1.0, service.burst))
            leaf.bytes.change(now, service.bytes_per_s, service.bytes_per_s)
            node.concurrency.limit, node.priority, node.borrows = (
                service.at_once,
                service.priority,
                service.borrows,
            )
            node.parent, leaf.terms = self.teams[contract[0]], service
            self.leaves[contract] = leaf
        self.removed_leaves = {
            contract: leaf for contract, leaf in known.items() if _still_counts(now, leaf.node)
        }

    def _change_budgets(self, wall: float, terms: Terms) -> None:
        known = {**self.removed_budgets, **self.budgets}
        self.budgets, self.highest_price, self.new_budgets = {}, {}, []
        for (team, _), service in terms.services.items():
            self.highest_price[team] = max(self.highest_price.get(team, 1), service.price)
        for name, group in terms.teams.items():
            if group.budget is None:
                continue
            budget = known.pop(name, None)
            if budget is None:
                budget = Budget(name, group.budget, self.durable)
                self.new_budgets.append(budget)
            if budget.plan != group.budget:
                budget.change_plan(wall, group.budget)
            budget.account(wall)
            self.budgets[name] = budget
            self._check_ceiling(name, budget)
        # A budget that is removed and added again within its period keeps its spent amount.
        self.removed_budgets = {
            name: budget
            for name, budget in known.items()
            if budget.current is not None and budget.period_at(wall) <= budget.current.period + 1
        }


def _updated_node(now: float, name: str, group: Group, node: Node | None, parent: Node) -> Node:
    """Return the node of a team or department with the group's limits, made if it is None."""
    if node is None:
        node = Node(name, Rate(group.rate, group.burst))
    node.parent, node.borrows = parent, group.borrows
    _change_limits(now, node, group)
    return node


def _change_limits(now: float, node: Node, group: Group) -> None:
    node.rate.change(now, group.rate, group.burst)
    node.ceiling.change(now, group.most, max(1.0, group.burst))
    node.concurrency.limit = group.at_once


def _still_counts(now: float, node: Node) -> bool:
    """Return whether a removed node has open requests, or its burst is not fully available yet."""
    return node.concurrency.open_count > 0 or node.rate.tat > now
