"""Budgets: exact sums, single refunds, carry-over, clock jumps, and a crash at every write."""

import random
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent / "store"))
from disks import Disk, cut, power_cut  # type: ignore[import-not-found]

from beechrock.inventory.terms import MILLION, Plan, whole
from beechrock.limits import journal
from beechrock.limits.budgets import MAX_ACCOUNTS, Account, Budget, Reservation
from beechrock.limits.disk import SpendingDisk
from beechrock.limits.errors import SpendingRecordError
from beechrock.limits.journal import Journal

M = MILLION
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["hold", "hold", "hold", "settle", "refund", "again", "plan"]),
        st.integers(0, 9),
        st.floats(-250, 260),
    ),
    max_size=80,
)


@settings(max_examples=300, deadline=None)
@given(STEPS, st.floats(0, 1), st.booleans())
def test_no_period_spends_more_than_its_amount_whatever_clocks_and_callers_do(
    steps: list[tuple[str, int, float]], carry: float, clock_jumps: bool
) -> None:
    budget, wall, reservations = Budget("t", Plan(10 * M, 100, carry=carry)), 1000.0, list[Reservation]()
    spent: dict[int, int] = {}  # by period
    for action, number, passed_s in steps:
        wall = max(0.0, wall + (passed_s if clock_jumps else abs(passed_s) / 10))
        match action:
            case "hold":
                if (reservation := budget.reserve(wall, number * M // 2)) is not None:
                    reservations.append(reservation)
                    spent[reservation.account.period] = (
                        spent.get(reservation.account.period, 0) + reservation.price
                    )
            case "settle" if reservations:
                assert budget.settle(reservations[number % len(reservations)], 1.0) in (
                    0,
                    reservations[number % len(reservations)].price,
                )
            case "refund" | "again" if reservations:
                reservation = reservations[number % len(reservations)]
                was_open, price = reservation.open, budget.refund(reservation)
                assert price == (reservation.price if was_open else 0)  # refunded once
                spent[reservation.account.period] -= price
        for account in budget.accounts.values():
            assert account.spent == spent.get(account.period, 0) and 0 <= account.reserved <= account.spent
            assert account.reserved == sum(r.price for r in reservations if r.open and r.account is account)
        assert len(budget.accounts) <= MAX_ACCOUNTS
    assert all(total <= (10 + 10 * carry) * M for total in spent.values())
    assert sum(spent.values()) <= 10 * M * len(spent) + 10 * carry * M


def test_unspent_budget_carries_over_once_and_soft_and_hard_limits_and_warnings_apply() -> None:
    budget = Budget("t", Plan(10 * M, 100, carry=0.5, soft=0.8, warn=(0.5, 0.9)))
    assert budget.reserve(150, 3 * M) is not None and budget.balance(150).remaining == 7 * M
    assert budget.balance(150).period_ends_in_s == 50 and budget.warnings == []
    assert budget.balance(200).remaining == 15 * M  # 5 of the unspent 7 are carried over
    assert budget.balance(199).remaining == 2 * M  # and they are not available here again
    assert budget.reserve(201, 13 * M) is not None and budget.over_soft_limit(201)
    assert budget.warnings == [(2, 0.5)]
    assert budget.reserve(201, 3 * M) is None and budget.reserve(201, 2 * M) is not None
    assert budget.warnings == [(2, 0.5), (2, 0.9)]
    assert budget.balance(202).remaining == 0 and budget.reserve(10_000, 1) is not None
    soft = Budget("t", Plan(M, 100, hard=False))
    assert all(soft.reserve(0, M) is not None for _ in range(3)) and soft.over_soft_limit(0)


def test_real_cost_settles_in_the_period_that_paid() -> None:
    budget = Budget("t", Plan(10 * M, 100, per_cost=2.0))
    reservation = budget.reserve(90, M)
    assert reservation is not None and budget.balance(110).remaining == 10 * M
    assert budget.settle(reservation, 1.5) == 3 * M and budget.settle(reservation, 9) == 0
    assert budget.balance(90).remaining == 7 * M and budget.balance(110).remaining == 10 * M
    assert whole(0.0000001) == 1 and whole(1e99) == 10**18


def test_a_changed_plan_gives_no_amount_twice() -> None:
    budget = Budget("t", Plan(10 * M, 100), durable=True)
    budget.account(150)
    budget.current.ceiling = 99 * M
    reservation = budget.reserve(150, 8 * M)
    budget.change_plan(150, Plan(5 * M, 100))
    assert reservation is not None and budget.balance(150).remaining == 0 and budget.reserve(150, 1) is None
    budget.change_plan(150, Plan(20 * M, 60))  # the period's length changes too, and changes back
    budget.change_plan(150, Plan(20 * M, 100))
    assert budget.balance(150).remaining == 12 * M and budget.waits_for_disk(150, M)
    assert budget.balance(50).remaining == 0 and budget.reserve(50, 0) is None  # earlier periods are closed
    assert budget.refund(reservation) == 8 * M and budget.balance(150).remaining == 20 * M
    assert Budget("t", Plan(M, 10)).account(-5) == Account(0)


def history(disk: Disk, seed: int, crash_after: int | None = None) -> list[tuple[int, dict[str, int]]]:
    """Play starts, ends and syncs of three teams.

    Return, for each turn, the number of disk steps so far and what every account had spent by then.
    """
    rng = random.Random(seed)
    budgets = [Budget(name, Plan(64 * M, 100, carry=0.5), durable=True) for name in "abc"]
    spending, entries, spent_at = SpendingDisk(disk), Journal(), []
    reservations: list[tuple[Budget, Reservation]] = []
    journal.restore(spending.states, budgets, 0.0)
    for turn in range(40):
        wall = turn * 5.0
        for budget in budgets:
            budget.account(wall)
        if (data := entries.next_entry((budget, M // 4) for budget in budgets)) is not None:
            spending.write(data)
            entries.synced()
        for _ in range(16):  # at times more than an increment, so that the ceiling refuses some
            budget = rng.choice(budgets)
            if (reservation := budget.reserve(wall, M // 4)) is not None:
                reservations.append((budget, reservation))
        if reservations and rng.random() < 0.5:
            budget, reservation = reservations.pop(rng.randrange(len(reservations)))
            (budget.refund if rng.random() < 0.5 else lambda h, b=budget: b.settle(h, 1.0))(reservation)
        if turn % 13 == 12:
            spending.store.save_snapshot(spending.store.last, journal.snapshot(budgets))
        spent_at.append(
            (
                len(disk.steps),
                {
                    f"{b.team}{account.period}": account.spent
                    for b in budgets
                    for account in b.accounts.values()
                },
            )
        )
    spending.write(journal.final_entry(budgets))
    spent_at.append((len(disk.steps), spent_at[-1][1]))
    return spent_at


def spent_after(held: dict[str, bytes]) -> dict[str, int]:
    """Return what a start from these files counts as spent, by team and period."""
    budgets = [Budget(name, Plan(64 * M, 100, carry=0.5), durable=True) for name in "abc"]
    journal.restore(SpendingDisk(Disk(held)).states, budgets, 195.0)
    return {f"{b.team}{account.period}": account.spent for b in budgets for account in b.accounts.values()}


def test_a_crash_at_any_write_forgets_no_spending_and_loses_a_bounded_amount() -> None:
    disk = Disk()
    spent_at = history(disk, 5)
    for step in range(len(disk.steps) + 1):
        steps = disk.steps[:step]
        halves = [None, len(steps[-1][3]) // 2] if steps and steps[-1][0] == "write" else [None]
        certain = next((spent for count, spent in reversed(spent_at) if count <= step), {})
        for part in halves:
            found = spent_after(cut({}, steps, part))
            for name, spent in certain.items():
                # The disk may be ahead of what was spent, never behind.
                assert spent <= found.get(name, 0) <= spent + 3 * M or spent == 0, (step, name)
    assert spent_after(cut({}, disk.steps)) == {k: v for k, v in spent_at[-1][1].items()}


@pytest.mark.parametrize("seed", range(8))
def test_a_power_cut_forgets_nothing_that_was_spent(seed: int) -> None:
    disk, draw = Disk(), random.Random(seed)
    spent_at = history(disk, seed)
    for _ in range(30):
        step = draw.randrange(len(disk.steps))
        certain = next((spent for count, spent in reversed(spent_at) if count <= step), {})
        found = spent_after(power_cut({}, disk.steps[:step], draw))
        assert all(spent <= found.get(name, 0) for name, spent in certain.items()), (seed, step)


def test_an_unreadable_entry_is_an_error_and_spending_survives_a_changed_period_length() -> None:
    for bad in (b"", b"\xc1", b"\x92\x02\x90", b"\x92\x01\x91\x01"):
        with pytest.raises(SpendingRecordError, match="wanted: 1"):
            journal.decode(bad)
    budget = Budget("t", Plan(10 * M, 100), durable=True)
    budget.account(150)
    entries = Journal()
    assert entries.next_entry([(budget, M)]) is not None and entries.next_entry([(budget, M)]) is None
    # Nothing may be spent before the sync.
    assert budget.reserve(150, M) is None and budget.waits_for_disk(150, M)
    entries.synced()
    assert budget.reserve(150, M) is not None
    held = journal.decode(journal.final_entry([budget]))
    other = Budget("t", Plan(10 * M, 60), durable=True)
    journal.restore(held, [other], 160)
    assert other.balance(160).remaining == 9 * M and other.balance(185).remaining == 10 * M
