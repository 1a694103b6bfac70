"""Entries of the spending journal: each team's accounts, with the ceiling each may spend up to. Pure.

An entry has the whole state of some teams, and a team's last entry counts, so reading one twice does no harm.
The next ceilings are written and synced first, and only then is more spent than the old ones allow. So what
was reserved is never forgotten, and a crash loses at most one increment of each account (docs/contracts.md).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from beechrock.limits.budgets import Account, Budget
from beechrock.limits.errors import SpendingRecordError

FORMAT = 1  # version of an entry's format
MAX_TEAMS_PER_ENTRY = 4096  # maximum teams in one entry, which then has some 400 KB


@dataclass(frozen=True, slots=True)
class State:
    """One team's spending, as it was written last."""

    period_s: float
    last_closed_period: int
    accounts: tuple[Account, ...]


@dataclass(slots=True)
class Journal:
    """The ceilings of the write that is in progress, if any; owned by whoever writes the store."""

    in_progress: list[tuple[Account, int]] = field(default_factory=list)  # account, its next ceiling

    def next_entry(self, budgets: Iterable[tuple[Budget, int]]) -> bytes | None:
        """Return an entry with the ceilings that are due, or None where there is nothing to write.

        Each budget comes with its team's highest price. None also while a write is in progress.
        """
        if self.in_progress:
            return None
        teams: list[Any] = []
        for budget, price in budgets:
            ceiling = budget.next_ceiling(price)
            if ceiling is not None and budget.current is not None and len(teams) < MAX_TEAMS_PER_ENTRY:
                teams.append(_team_state(budget, budget.current, ceiling))
                self.in_progress.append((budget.current, ceiling))
        return _encode(teams) if teams else None

    def synced(self) -> None:
        """Raise the ceilings, as the entry is durable now."""
        for account, ceiling in self.in_progress:
            account.ceiling = max(account.ceiling, ceiling)
        self.in_progress.clear()

    def failed(self) -> None:
        """Keep the old ceilings, as the entry may not be durable; a later entry raises them."""
        self.in_progress.clear()


def snapshot(budgets: Iterable[Budget]) -> bytes:
    """Return one entry with all budgets and their durable ceilings, which replaces all older entries."""
    return _encode([_team_state(budget) for budget in budgets if budget.accounts])


def encode(states: Mapping[str, State]) -> bytes:
    """Return one entry with these states."""
    return _encode(
        [
            [
                team,
                state.period_s,
                state.last_closed_period,
                [
                    [
                        account.period,
                        account.carried_in,
                        account.carried_out,
                        account.ceiling,
                        account.warnings_given,
                    ]
                    for account in state.accounts
                ],
            ]
            for team, state in states.items()
        ]
    )


def final_entry(budgets: Iterable[Budget]) -> bytes:
    """Return the entry of an orderly shutdown, with exact spent amounts; nothing may be spent after it."""
    teams = []
    for budget in budgets:
        for account in budget.accounts.values():
            account.ceiling = account.spent
        if budget.accounts:
            teams.append(_team_state(budget))
    return _encode(teams)


def decode(data: bytes) -> dict[str, State]:
    """Return the states of an entry by team; SpendingRecordError where it cannot be read."""
    try:
        version, teams = msgpack.unpackb(data)
        if version == FORMAT:
            return {
                str(team): State(
                    float(period_s),
                    int(last_closed_period),
                    tuple(
                        Account(period, carried_in, carried_out, ceiling, 0, ceiling, warnings_given)
                        for period, carried_in, carried_out, ceiling, warnings_given in accounts
                    ),
                )
                for team, period_s, last_closed_period, accounts in teams
            }
    except (ValueError, TypeError, msgpack.UnpackException):
        version = "that cannot be read"
    raise SpendingRecordError(
        f"format {version}",
        where="store spending",
        wanted=f"{FORMAT}",
        do="run the version that wrote it, or a later one",
    )


def restore(states: Mapping[str, State], budgets: Iterable[Budget], wall: float) -> None:
    """Load the stored state into new budgets, at a start or when a removed team is added again."""
    for budget in budgets:
        state = states.get(budget.team)
        if state is None:
            continue
        if state.period_s == budget.plan.period_s:
            budget.restore(wall, list(state.accounts), state.last_closed_period)
            continue
        # The period's length was changed while the node was down: the spending of the current period stays.
        old_period = int(wall // state.period_s)
        for account in state.accounts:
            if account.period == old_period:
                period = budget.period_at(wall)
                budget.restore(wall, [replace(account, period=period, warnings_given=0)], period - 1)


def _team_state(budget: Budget, raised: Account | None = None, ceiling: int = 0) -> list[Any]:
    """Return a team's part of an entry; ``ceiling`` is the next ceiling of the account ``raised``."""
    return [
        budget.team,
        budget.plan.period_s,
        budget.last_closed_period,
        [
            [
                account.period,
                account.carried_in,
                account.carried_out,
                ceiling if account is raised else account.ceiling,
                account.warnings_given,
            ]
            for account in budget.accounts.values()
        ],
    ]


def _encode(teams: list[Any]) -> bytes:
    data: bytes = msgpack.packb((FORMAT, teams))
    return data
