"""Leases on budgets: random histories, and a story for each guard that then goes wrong without it."""

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
    made = [(one.pot, one.whole, one.generation, 50.0) for one in holder.holdings.values()]
    holder.answered(
        now if sent is None else sent, budgets.apply(index, log.ask(holder.name, holder.life, made))
    )


def holder(name: str, pot: PotKey, life: int = 1, out: frozenset[str] = frozenset()) -> Holder:
    made = Holder(name, life, 2, 1.0, without=out)
    made.pots({pot: (100.0, 1)})
    made.look(0.0)
    return made


def granted_once(out: frozenset[str]) -> bool:
    """A give-back that comes twice frees its amount once."""
    budgets, a = Budgets(without=out), holder("a", POT)
    ask(budgets, 1, a, 0.0)
    one = a.holdings[POT]
    command = log.back("a", 1, POT, one.id, 1, 20.0)
    budgets.apply(2, command)
    budgets.apply(3, command)
    return budgets.pots[POT].granted == 30.0


def renewed_in_time(out: frozenset[str]) -> bool:
    """A close that was decided before a renewal does not take the renewed part of a rate."""
    budgets, a, closing = Budgets(without=out), holder("a", RATE), Closing(1.05)
    ask(budgets, 1, a, 0.0)
    closing.due(0.1, budgets)
    ((pot, ident, turn),) = closing.due(1.2, budgets)
    ask(budgets, 2, a, 1.2)
    return budgets.apply(3, log.close(pot, ident, turn)) is Result.LATE


def dead_counted(out: frozenset[str]) -> bool:
    """Nobody knows what a dead holder spent: its slice is not granted again in that period."""
    budgets, a, b = Budgets(without=out), holder("a", POT), holder("b", POT)
    ask(budgets, 1, a, 0.0)
    budgets.apply(2, log.close(POT, a.holdings[POT].id, 1))
    for index in range(3, 20):
        ask(budgets, index, b, 0.0)
    return a.holdings[POT].amount + b.holdings[POT].amount <= 100.0


def ends(out: frozenset[str]) -> bool:
    """By its own clock a holder stops before the leader can have closed."""
    budgets, a = Budgets(), holder("a", RATE, out=out)
    ask(budgets, 1, a, 0.0)
    for n in range(1, 11):
        a.look(0.1 * n)
    return a.holdings[RATE].state is State.ENDED and a.holdings[RATE].cap == 0.0


def paused(out: frozenset[str]) -> bool:
    """A clock that leaps shows a lease as good of which nobody knows; an answer to what was sent before the
    pause gives nothing either."""
    budgets, a = Budgets(), holder("a", RATE, out=out)
    ask(budgets, 1, a, 0.0)
    a.look(0.4)
    ended = a.holdings[RATE].state is State.ENDED
    ask(budgets, 2, a, 0.4, sent=0.1)
    return ended and a.holdings[RATE].state is State.ENDED


def sent(out: frozenset[str]) -> bool:
    budgets, a = Budgets(), holder("a", RATE, out=out)
    a.look(0.2)
    a.look(0.6)  # a pause
    ask(budgets, 1, a, 0.6, sent=0.2)
    return a.holdings[RATE].state is not State.HELD


def whole(out: frozenset[str]) -> bool:
    budgets = Budgets(without=out)
    for index, name in enumerate("abcdef"):
        ask(budgets, index, holder(name, POT), 0.0)
    return budgets.pots[POT].granted <= 100.0


STORIES = {
    "once": granted_once,
    "turn": renewed_in_time,
    "counted": dead_counted,
    "end": ends,
    "pause": paused,
    "sent": sent,
    "whole": whole,
}


@pytest.mark.parametrize("name", STORIES)
def test_holds_with_the_guard_and_goes_wrong_without_it(name: str) -> None:
    assert STORIES[name](frozenset())
    assert not STORIES[name](without(name))


def test_two_processes_of_one_name_and_life_number_are_granted_one_lease_each_at_most() -> None:
    """Of copies of one folder whose clock was ahead both begin with the number after the folder's."""
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
    one = a.holdings[POT]
    assert one.limit == 10.0 + one.amount and budgets.pots[POT].granted == 50.0 + one.amount
    back = next(back for back in a.surplus(0.3) if back.id != one.id)
    told = budgets.apply(4, log.back("a", 1, back.pot, back.id, back.n, back.amount))
    a.gave_back(told)
    assert back.amount == 40.0 and budgets.pots[POT].granted == 10.0 + one.amount
    assert back.id not in one.returning
    assert budgets.apply(5, log.back("b", 1, POT, back.id, 2, 1.0)) is Result.GONE


def test_old_periods_newer_lives_other_words_and_snapshots() -> None:
    budgets = Budgets()
    for period in range(1, 8):
        assert budgets.apply(period, log.ask("a", 2, [(("budget", "t", period), 10.0, 1, 1.0)]))
    assert len(budgets.pots) == 4
    # What an old period granted is forgotten, so it never opens again.
    assert not budgets.apply(9, log.ask("a", 2, [(("budget", "t", 2), 10.0, 1, 1.0)]))
    assert not budgets.apply(10, log.ask("a", 1, [(POT, 10.0, 1, 1.0)]))  # a newer life of the name has it
    assert budgets.apply(11, log.ask("b", 1, [(POT, 4.0, 2, 1.0)]))[0].amount == 1.0
    assert budgets.pots[POT].whole == 4.0  # the later inventory's word
    other = Budgets()
    other.restore(budgets.snapshot())
    assert other.pots == budgets.pots
    for garbage in (b"", b"\xc1", b"\x93\x01\xa3ask\x01", log.ask("a", 1, [(("x", "", 0), -1.0, 1, 1.0)])):
        assert budgets.apply(12, garbage) in (Result.BAD, [])
    assert World(1).budgets.apply(1, log.close(POT, 1, 1)) is Result.GONE
