"""Timers of the wheel, and the bound of the mailbox."""

import random

from beechrock.core.mailbox import Mailbox
from beechrock.core.timer_wheel import SLOTS, TimerWheel


def test_a_sweep_drops_cancelled_timers_before_they_are_due() -> None:
    fired: list[int] = []
    wheel = TimerWheel(0.004, 50.0)
    for number in range(20_000):
        timer = wheel.at(50.0 + number % 600, lambda number=number: fired.append(number))
        if number % 100:
            timer.cancel()
    wheel.sweep()
    assert sum(map(len, wheel._slots)) == 200
    wheel.advance(700.0)
    assert sorted(fired) == list(range(0, 20_000, 100))


def test_timers_fire_once_in_the_tick_after_their_due_time_over_many_turns() -> None:
    draw, fired = random.Random(3), []
    wheel = TimerWheel(0.004, 50.0)
    dues = [50.0 + draw.uniform(0, 3 * SLOTS * 0.004) for _ in range(300)]
    for due in dues:
        wheel.at(due, lambda due=due: fired.append((due, now)))  # type: ignore[misc]
    now = 50.0
    while now < 50.0 + 4 * SLOTS * 0.004:
        assert wheel.next_due() > now - 0.004
        now += draw.uniform(0.0, 0.02)
        wheel.advance(now)
    assert sorted(due for due, _ in fired) == sorted(dues)
    assert all(due <= at + 1e-6 for due, at in fired)
    assert max(at - due for due, at in fired) <= 0.025


def test_a_timer_set_while_others_fire_waits_for_the_next_tick_and_a_cancelled_one_never_fires() -> None:
    wheel, fired = TimerWheel(0.004, 0.0), []
    wheel.at(0.01, lambda: wheel.at(0.0, lambda: fired.append("second")))
    wheel.at(0.01, lambda: fired.append("cancelled")).cancel()
    wheel.advance(0.02)
    assert fired == []
    wheel.advance(0.03)
    assert fired == ["second"]


def test_after_a_long_pause_every_due_timer_fires() -> None:
    wheel, fired = TimerWheel(0.004, 0.0), []
    for place in range(50):
        wheel.at(0.3 * place, lambda place=place: fired.append(place))  # type: ignore[misc]
    wheel.advance(3600.0)
    assert sorted(fired) == list(range(50))
    assert wheel.next_due() > 3600.0


def test_a_full_mailbox_refuses_messages() -> None:
    mailbox: Mailbox[int] = Mailbox(2)
    assert [mailbox.put(1), mailbox.put(2), mailbox.put(3)] == [True, True, False]
    assert mailbox.drain() == [1, 2]
