"""Rates, concurrency limits and hours."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.inventory.errors import BadValueError
from beechrock.inventory.hours import DAY_S, WEEK_S, Hours, parse
from beechrock.limits.errors import BrokenBooksError
from beechrock.limits.rates import MAX_RETRY_AFTER_S, ConcurrencyLimit, Rate

STEPS = st.lists(st.tuples(st.floats(-2.0, 3.0), st.floats(0.1, 5.0), st.booleans()), max_size=80)


@settings(max_examples=200, deadline=None)
@given(STEPS, st.floats(0.1, 50), st.floats(1, 20))
def test_over_any_time_at_most_the_rate_and_a_burst_conform(
    steps: list[tuple[float, float, bool]], units_per_s: float, burst: float
) -> None:
    rate, now, latest, admitted = Rate(units_per_s, burst), 0.0, -math.inf, list[tuple[float, float]]()
    for passed_s, units, ran in steps:
        now += passed_s  # the clock may go back; time then stands still
        latest = max(latest, now)
        units = min(units, burst)
        if rate.has_room(now, units):
            rate.charge(now, units)
            if ran:
                admitted.append((latest, units))
            else:
                rate.refund(units)
    for i, (begin, _) in enumerate(admitted):
        for j in range(i, len(admitted)):
            total = sum(units for _, units in admitted[i : j + 1])
            assert total <= units_per_s * (admitted[j][0] - begin) + burst + 1e-6


def test_rejected_callers_get_separate_retry_times_at_which_they_pass() -> None:
    rate = Rate(10, 2)
    while rate.has_room(0.0):
        rate.charge(0.0)
    retry_times = [rate.retry_after_s(0.0) for _ in range(10)]
    assert retry_times == pytest.approx([0.1 * n for n in range(1, 11)])
    for retry_at in retry_times:
        assert rate.has_room(retry_at)
        rate.charge(retry_at)
    assert max(rate.retry_after_s(1.0) for _ in range(10_000)) <= MAX_RETRY_AFTER_S
    assert (
        rate.retry_after_s(1.0) == MAX_RETRY_AFTER_S
        and rate.retry_after_s(MAX_RETRY_AFTER_S) <= MAX_RETRY_AFTER_S
    )
    assert (
        Rate(0, 1).retry_after_s(0) == MAX_RETRY_AFTER_S
        and not Rate(0, 1).has_room(0)
        and Rate(math.inf, 1).has_room(0, 99)
    )


def test_a_change_gives_no_fresh_burst_and_a_lower_concurrency_limit_ends_no_request() -> None:
    rate = Rate(100, 50)
    rate.charge(0.0, 50)
    rate.change(0.0, 10, 5)
    assert not rate.has_room(0.0) and rate.has_room(0.1) and rate.available(1.0) == 5
    rate.charge(1.0, 2)
    rate.change(1.0, 1000, 500)
    assert rate.available(1.0) == pytest.approx(300)
    rate.change(1.0, math.inf, 1)
    rate.change(1.0, 2, 4)
    assert rate.available(1.0) == 4
    concurrency = ConcurrencyLimit(3)
    for _ in range(3):
        concurrency.begin()
    concurrency.limit = 1
    concurrency.end()
    assert not concurrency.has_room()
    concurrency.end()
    concurrency.end()
    assert concurrency.has_room()
    with pytest.raises(BrokenBooksError):
        concurrency.end()


@pytest.mark.parametrize(
    ("text", "wall", "expected"),
    [
        ("mon-fri 08:00-18:00", 0, (False, 8 * 3600)),  # Unix time 0 is a Thursday at midnight
        ("mon-fri 08:00-18:00", 9 * 3600, (True, 9 * 3600)),
        ("mon-fri 08:00-18:00", DAY_S + 20 * 3600, (False, 2 * DAY_S + 12 * 3600)),
        ("fri-mon 00:00-24:00", 2 * DAY_S, (True, 3 * DAY_S)),  # across the end of the week
        ("sun 22:00-02:00", 4 * DAY_S + 3600, (True, 3600)),  # a Monday at 01:00
        ("00:00-12:00, 12:00-24:00", 5, (True, math.inf)),
    ],
)
def test_a_look_at_the_hours_returns_whether_they_apply_and_for_how_long(
    text: str, wall: float, expected: tuple[bool, float]
) -> None:
    assert parse(text).look(wall) == expected
    assert parse(text, 3600).look(wall - 3600) == expected


@pytest.mark.parametrize(
    "text", ["", "mon", "mon 8:00-9:00", "mon 08:00-24:01", "moo 08:00-09:00", "24:00-01:00"]
)
def test_malformed_hours_are_rejected(text: str) -> None:
    with pytest.raises(BadValueError, match="wanted"):
        parse(text)


@settings(deadline=None)
@given(st.lists(st.integers(0, WEEK_S), min_size=2, max_size=20, unique=True), st.floats(0, 10 * WEEK_S))
def test_hours_change_at_the_time_that_a_look_returns(bounds: list[int], wall: float) -> None:
    bounds.sort()
    hours = Hours(tuple(zip(bounds[::2], bounds[1::2], strict=False)))
    apply, for_s = hours.look(wall)
    if math.isfinite(for_s) and for_s > 1:
        assert hours.look(wall + for_s - 0.5) == (apply, pytest.approx(0.5, abs=1e-3))
        assert hours.look(wall + for_s + 0.25)[0] is not apply
