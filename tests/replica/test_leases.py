"""Budget leases: random histories, and for each guard a scenario that breaks a rule without it."""

import pytest

from beechrock.lab.budgets_sim import World, play
from beechrock.replica import leases as log
from beechrock.replica.holder import Holder, State
from beechrock.replica.leases import Budgets, Closing, PotKey, Result

POT: PotKey = ("budget", "t", 7)
RATE: PotKey = ("rate", "dep", 0)


def without(*names: str) -> frozenset[str]:
    return frozenset(names)


@pytest.mark.parametrize("seed", range(8))
def test_no_split_pause_or_crash_spends_more_than_the_whole(seed: int) -> None:
    world = play(seed)
    assert not world.broken, (seed, world.broken)
    assert world.splits and world.closed and world.most > 5


def ask(budgets: Budgets, index: int, holder: Holder, now: float, sent: float | None = None) -> None:
    """Request 50 more of each pot, and give the holder the answer. ``sent``: when it was sent, if not now."""
    items = [(holding.pot, holding.whole, holding.generation, 50.0) for holding in holder.holdings.values()]
    holder.answered(
        now if sent is None else sent, budgets.apply(index, log.ask(holder.name, holder.life, items))
    )


def holder(name: str, pot: PotKey, life: int = 1, disabled: frozenset[str] = frozenset()) -> Holder:
    """Return a holder of one pot of 100; ``disabled`` names the guards to disable."""
    made = Holder(name, life, 2, 1.0, without=disabled)
    made.pots({pot: (100.0, 1)})
    made.look(0.0)
    return made


def granted_once(disabled: frozenset[str]) -> bool:
    """A give-back that is applied twice frees its amount once."""
    budgets, a = Budgets(without=disabled), holder("a", POT)
    ask(budgets, 1, a, 0.0)
    holding = a.holdings[POT]
    command = log.back("a", 1, POT, holding.id, 1, 20.0)
    budgets.apply(2, command)
    budgets.apply(3, command)
    return budgets.pots[POT].granted == 30.0


def renewed_in_time(disabled: frozenset[str]) -> bool:
    """A close that was decided before a renewal does not end the renewed lease of a rate."""
    budgets, a, closing = Budgets(without=disabled), holder("a", RATE), Closing(1.05)
    ask(budgets, 1, a, 0.0)
    closing.due(0.1, budgets)
    ((pot, ident, turn),) = closing.due(1.2, budgets)
    ask(budgets, 2, a, 1.2)
    return budgets.apply(3, log.close(pot, ident, turn)) is Result.LATE


def dead_counted(disabled: frozenset[str]) -> bool:
    """The log doesn't know what a dead holder spent, so its amount is not granted again in that period."""
    budgets, a, b = Budgets(without=disabled), holder("a", POT), holder("b", POT)
    ask(budgets, 1, a, 0.0)
    budgets.apply(2, log.close(POT, a.holdings[POT].id, 1))
    for index in range(3, 20):
        ask(budgets, index, b, 0.0)
    return a.holdings[POT].amount + b.holdings[POT].amount <= 100.0


def ends_in_time(disabled: frozenset[str]) -> bool:
    """A holder's lease ends by its own clock before the leader can have closed it."""
    budgets, a = Budgets(), holder("a", RATE, disabled=disabled)
    ask(budgets, 1, a, 0.0)
    for n in range(1, 11):
        a.look(0.1 * n)
    return a.holdings[RATE].state is State.ENDED and a.holdings[RATE].cap == 0.0


def ended_after_a_pause(disabled: frozenset[str]) -> bool:
    """After a pause, or a clock that jumped, a lease may have ended unnoticed, so it counts as ended. An
    answer to a request that was sent before the pause doesn't extend it either."""
    budgets, a = Budgets(), holder("a", RATE, disabled=disabled)
    ask(budgets, 1, a, 0.0)
    a.look(0.4)
    ended = a.holdings[RATE].state is State.ENDED
    ask(budgets, 2, a, 0.4, sent=0.1)
    return ended and a.holdings[RATE].state is State.ENDED


def answered_after_a_pause(disabled: frozenset[str]) -> bool:
    """An answer to a request that was sent before a pause grants nothing."""
    budgets, a = Budgets(), holder("a", RATE, disabled=disabled)
    a.look(0.2)
    a.look(0.6)  # This gap counts as a pause.
    ask(budgets, 1, a, 0.6, sent=0.2)
    return a.holdings[RATE].state is not State.HELD


def within_the_whole(disabled: frozenset[str]) -> bool:
    """All holders together are granted no more than the whole pot."""
    budgets = Budgets(without=disabled)
    for index, name in enumerate("abcdef"):
        ask(budgets, index, holder(name, POT), 0.0)
    return budgets.pots[POT].granted <= 100.0


SCENARIOS = {
    "once": granted_once,
    "turn": renewed_in_time,
    "counted": dead_counted,
    "end": ends_in_time,
    "pause": ended_after_a_pause,
    "sent": answered_after_a_pause,
    "whole": within_the_whole,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_each_rule_holds_with_its_guard_and_breaks_without_it(name: str) -> None:
    assert SCENARIOS[name](frozenset())
    assert not SCENARIOS[name](without(name))


def test_two_processes_of_one_name_and_life_number_are_granted_one_lease_each_at_most() -> None:
    """Two copies of a folder that was written with a clock ahead both start with the life number after the
    folder's."""
    budgets = Budgets()
    first, second = (holder("a", POT, log.holder_life(7, drawn)) for drawn in (3, 5))
    assert first.life != second.life and log.holder_life(8, 0) > max(first.life, second.life)
    ask(budgets, 1, first, 0.0)
    ask(budgets, 2, second, 0.0)
    ask(budgets, 3, first, 0.0)
    assert first.holdings[POT].limit + second.holdings[POT].limit <= budgets.pots[POT].granted <= 100.0
    assert first.holdings[POT].id != second.holdings[POT].id


def test_a_closed_lease_gives_back_what_was_not_spent_and_spends_it_no_more() -> None:
    budgets, a = Budgets(), holder("a", POT)
    ask(budgets, 1, a, 0.0)
    a.used(0.1, POT, 10.0)
    budgets.apply(2, log.close(POT, a.holdings[POT].id, 1))
    ask(budgets, 3, a, 0.2)
    holding = a.holdings[POT]
    assert holding.limit == 10.0 + holding.amount and budgets.pots[POT].granted == 50.0 + holding.amount
    back = next(back for back in a.surplus(0.3) if back.id != holding.id)
    answer = budgets.apply(4, log.back("a", 1, back.pot, back.id, back.n, back.amount))
    a.gave_back(answer)
    assert back.amount == 40.0 and budgets.pots[POT].granted == 10.0 + holding.amount
    assert back.id not in holding.returning
    assert budgets.apply(5, log.back("b", 1, POT, back.id, 2, 1.0)) is Result.GONE


def test_old_periods_newer_lives_changed_amounts_and_snapshots() -> None:
    budgets = Budgets()
    for period in range(1, 8):
        assert budgets.apply(period, log.ask("a", 2, [(("budget", "t", period), 10.0, 1, 1.0)]))
    assert len(budgets.pots) == 4
    # The grants of a dropped period are forgotten, so it is never opened again.
    assert not budgets.apply(9, log.ask("a", 2, [(("budget", "t", 2), 10.0, 1, 1.0)]))
    assert not budgets.apply(10, log.ask("a", 1, [(POT, 10.0, 1, 1.0)]))  # A newer life of "a" holds it.
    assert budgets.apply(11, log.ask("b", 1, [(POT, 4.0, 2, 1.0)]))[0].amount == 1.0
    assert budgets.pots[POT].whole == 4.0  # The amount of the later generation counts.
    other = Budgets()
    other.restore(budgets.snapshot())
    assert other.pots == budgets.pots
    for garbage in (b"", b"\xc1", b"\x93\x01\xa3ask\x01", log.ask("a", 1, [(("x", "", 0), -1.0, 1, 1.0)])):
        assert budgets.apply(12, garbage) in (Result.BAD, [])
    assert World(1).budgets.apply(1, log.close(POT, 1, 1)) is Result.GONE
