"""Budget periods while the wall clock is stepped, in a process and over a restart."""

import itertools

import pytest

from beechrock.inventory.terms import Plan
from beechrock.limits import journal
from beechrock.limits.budgets import Budget
from beechrock.limits.period_clock import PeriodClock

START_S, PERIOD_S, AMOUNT = 1_700_000_000.0, 60.0, 100


@pytest.mark.parametrize("step_s", [-3600.0, -2.0, 2.0, 3600.0])
@pytest.mark.parametrize("restart", [False, True])
def test_a_clock_step_gives_no_second_budget_and_locks_no_team_out_for_longer_than_a_period(
    step_s: float,
    restart: bool,
) -> None:
    boot = [0.0]
    clock = PeriodClock(lambda: boot[0], START_S, {})
    budget = Budget("team", Plan(AMOUNT, PERIOD_S))
    spent: list[float] = []
    for second in range(600):
        boot[0] = float(second)
        if second == 300:  # the wall clock is stepped; only a restart reads it again
            saved = journal.decode(journal.final_entry([budget]))
            if restart:
                clock = PeriodClock(lambda: boot[0], START_S + second + step_s, saved)
                budget = Budget("team", Plan(AMOUNT, PERIOD_S))
                journal.restore(saved, [budget], clock())
        while (reservation := budget.reserve(clock(), 10)) is not None:
            budget.settle(reservation, 0.0)
            spent.append(boot[0])
    # Ten reservations per period; a restart whose clock is ahead may begin one period early, not more.
    periods = 600 / PERIOD_S + 1
    assert (periods - 1) * 10 <= len(spent) <= (periods + (restart and step_s > 0)) * 10
    times = sorted([*spent, 300.0]) if restart else spent  # a wait is counted anew from a restart
    assert max(after - before for before, after in itertools.pairwise(times)) <= PERIOD_S
