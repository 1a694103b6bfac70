"""The gate: floods, spent budgets, changes of the terms while requests are open, and random histories."""

import random
from dataclasses import replace

import pytest

from beechrock.inventory.hours import parse
from beechrock.inventory.terms import MILLION, Group, Plan, Service, Terms
from beechrock.limits.gate import Gate, RejectedRequest, Ticket
from beechrock.limits.tree import RejectReason

M = MILLION
WALL = 1_000_000.0


def terms(teams: int, rate: float = 10.0, budget: Plan | None = None, **service: object) -> Terms:
    names = [f"team{index}" for index in range(teams)]
    whole = Group(rate * teams, rate * teams)
    return Terms(
        whole,
        {"dept": whole},
        {name: Group(rate, rate, above="dept", budget=budget) for name in names},
        {(name, "s"): replace(Service(rate, rate, price=M), **service) for name in names},
        cores=2,
    )


def admitted(result: Ticket | RejectedRequest) -> Ticket:
    """Return the ticket of a request that has to be admitted."""
    assert isinstance(result, Ticket), result
    return result


def test_a_flood_at_fifty_times_its_rate_takes_nothing_from_nine_others() -> None:
    gate, rng, got = Gate(0, WALL, terms(10, borrows=False)), random.Random(3), [0] * 10
    requests = sorted(
        (rng.uniform(0, 20), team) for team in range(10) for _ in range(10_000 if team == 0 else 180)
    )
    for now, team in requests:
        result = gate.admit(now, WALL + now, (f"team{team}", "s"))
        if isinstance(result, Ticket):
            got[team] += 1
            gate.settle(result, 0.01)
    assert 200 <= got[0] <= 211 and min(got[1:]) >= 0.95 * 180
    assert gate.usage["team0"].rejections[RejectReason.RATE] == 10_000 - got[0]
    assert not gate.shares.active and all(node.concurrency.open_count == 0 for node in gate.teams.values())


def test_retries_after_the_budget_is_spent_use_up_no_rate_and_no_fair_share() -> None:
    gate = Gate(0, WALL, terms(2, 1000, budget=Plan(5 * M, 60)))
    for _ in range(5):
        gate.settle(admitted(gate.admit(0, WALL, ("team0", "s"))), 0.01)
    for attempt in range(1000):
        rejected = gate.admit(0, WALL + attempt / 100, ("team0", "s"))
        assert (
            isinstance(rejected, RejectedRequest)
            and rejected.rejection.reason is RejectReason.BUDGET
            and rejected.balance is not None
        )
        assert (
            rejected.balance.remaining == 0
            and rejected.rejection.retry_after_s == rejected.balance.period_ends_in_s
        )
    assert gate.leaves["team0", "s"].node.rate.available(0) == 995  # retries use up none of its rate
    assert gate.shares.backlog_s("team0") == 0 and len(gate.budgets["team0"].accounts) == 1
    admitted(gate.admit(0, WALL, ("team1", "s")))
    # In the next period it is admitted.
    admitted(gate.admit(0, WALL + rejected.rejection.retry_after_s + 10, ("team0", "s")))


def test_a_contract_cut_to_a_tenth_ends_no_open_request_and_binds_new_ones_at_once() -> None:
    first = terms(1, 100, at_once=100)
    gate = Gate(0, WALL, first)
    tickets = [admitted(gate.admit(0, WALL, ("team0", "s"))) for _ in range(50)]
    gate.change_terms(0, WALL, terms(1, 10, at_once=10))
    rejected = gate.admit(0, WALL, ("team0", "s"))
    assert (
        isinstance(rejected, RejectedRequest)
        and rejected.rejection.reason is RejectReason.AT_ONCE
        and all(open_ticket.open for open_ticket in tickets)
    )
    for ticket in tickets[:41]:
        gate.settle(ticket, 0.01)
    assert sum(isinstance(gate.admit(0, WALL, ("team0", "s")), Ticket) for _ in range(10)) == 1
    for ticket in tickets[41:]:
        gate.settle(ticket, 0.01)
    # Half of the burst was used before the cut, and one unit since; the cut gives no fresh burst.
    assert sum(isinstance(gate.admit(0, WALL, ("team0", "s")), Ticket) for _ in range(20)) == 4
    gate.change_terms(0, WALL, first)
    assert sum(isinstance(gate.admit(0, WALL, ("team0", "s")), Ticket) for _ in range(99)) == 0


def test_a_team_that_is_removed_and_returns_keeps_its_usage_and_tickets_end_on_their_path() -> None:
    plan = Plan(9 * M, 60)
    both, one = terms(2, 10, budget=plan), terms(1, 10, budget=plan)
    gate = Gate(0, WALL, both)
    tickets = [admitted(gate.admit(0, WALL, ("team1", "s"))) for _ in range(9)]
    gate.change_terms(0, WALL, one)
    with pytest.raises(KeyError):
        gate.admit(0, WALL, ("team1", "s"))
    gate.refund(tickets[0])
    gate.refund(tickets[0])
    gate.settle(tickets[0], 1.0)
    moved = replace(both, teams={**both.teams, "team1": replace(both.teams["team1"], above="")})
    gate.change_terms(0, WALL, moved)
    balance = gate.balance(WALL, "team1")
    assert (
        balance is not None and balance.remaining == 1 * M and gate.teams["team1"].concurrency.open_count == 8
    )
    for ticket in tickets[1:]:
        gate.settle(ticket, 0.1)
    # All tickets ended on the path they began on.
    assert gate.departments["dept"].concurrency.open_count == 0 == gate.root.concurrency.open_count
    gate.change_terms(99, WALL + 999, one)
    assert not gate.removed_leaves and not gate.removed_budgets


def test_byte_rates_and_hours_reject_before_anything_else_is_charged() -> None:
    gate = Gate(0, WALL, terms(1, 10, bytes_per_s=1000.0, hours=parse("sat 00:00-01:00"), outside=False))
    rejected = gate.admit(0, 0.0, ("team0", "s"), 10)
    assert (
        isinstance(rejected, RejectedRequest)
        and rejected.rejection.reason is RejectReason.HOURS
        and rejected.rejection.retry_after_s == 2 * 86_400
    )
    # A body larger than the burst passes while the whole burst is available.
    admitted(gate.admit(0, 2 * 86_400, ("team0", "s"), 5000))
    rejected = gate.admit(1, 2 * 86_400, ("team0", "s"), 1)
    assert (
        isinstance(rejected, RejectedRequest)
        and rejected.rejection.reason is RejectReason.BYTES
        and 3 < rejected.rejection.retry_after_s < 4
    )
    assert gate.teams["team0"].rate.available(0) == 9


@pytest.mark.parametrize("seed", range(6))
def test_counts_and_budgets_are_consistent_after_random_histories(seed: int) -> None:
    rng, plan = random.Random(seed), Plan(50 * M, 30, carry=0.2)
    gate, now, tickets = Gate(0, WALL, terms(4, 20, budget=plan)), 0.0, list[Ticket]()
    for turn in range(3000):
        now += rng.expovariate(100)
        wall = WALL + now + (rng.uniform(-90, 90) if turn % 500 > 490 else 0)
        if rng.random() < 0.01:
            gate.change_terms(
                now, wall, terms(rng.randint(1, 4), rng.choice([2.0, 20.0, 200.0]), budget=plan)
            )
        contract = rng.choice(list(gate.leaves))
        if isinstance(result := gate.admit(now, wall, contract), Ticket):
            tickets.append(result)
        if tickets and rng.random() < 0.6:
            (gate.settle if rng.random() < 0.8 else lambda ticket, _: gate.refund(ticket))(
                tickets.pop(rng.randrange(len(tickets))), rng.uniform(0, 0.05)
            )
    assert gate.root.concurrency.open_count == len(tickets)
    for name, budget in gate.budgets.items():
        for account in budget.accounts.values():
            reservations = [
                open_ticket.reservation
                for open_ticket in tickets
                if open_ticket.reservation is not None and open_ticket.reservation.account is account
            ]
            assert (
                account.reserved == sum(reservation.price for reservation in reservations)
                and account.spent <= 60 * M
            ), name
    for ticket in tickets:
        gate.settle(ticket, 0.01)
    nodes = [*gate.departments.values(), *gate.teams.values(), *(leaf.node for leaf in gate.leaves.values())]
    assert all(node.concurrency.open_count == 0 for node in nodes) and not gate.shares.active


def test_the_first_run_replaces_the_estimated_cost_of_a_service() -> None:
    gate = Gate(0, WALL, terms(2))
    for cost, mean in ((0.5, 0.5), (0.1, 0.3)):
        gate.settle(admitted(gate.admit(0, WALL, ("team0", "s"))), cost)
        ticket = admitted(gate.admit(0, WALL, ("team0", "s")))
        assert gate.shares.backlog_s("team0") == pytest.approx(mean)
        gate.refund(ticket)
