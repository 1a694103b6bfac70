"""Births of requests over steps of the wall clock, by the pure tracker; test_clock_steps.py tests a node."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.clocks import read_together
from beechrock.core.clock_offset import (
    FAR_OFF,
    MAX_BORN_AHEAD_S,
    MAX_PAST_DUE_S,
    MAX_SEGMENTS,
    MAX_STEP_S,
    MIN_GAP_S,
    TOLERANCE_S,
    ClockOffset,
)

TIME_TO_LIVE_S = 4.0
REMEMBER_S = TIME_TO_LIVE_S + MAX_PAST_DUE_S
STEPS = [-3600.0, -2.0, 2.0, 3600.0]
SLEW = 500e-6


class Machine:
    """A steady clock, a wall clock that can be stepped and slewed, and the tracker that reads both."""

    def __init__(self) -> None:
        self.now, self.offset, self.slew = 1000.0, 0.0, 0.0
        self.tracker = ClockOffset(self.now, self.now, REMEMBER_S)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.offset += self.slew * seconds

    def stamp(self) -> float:
        """Return Unix time as front ends write it, truncated to milliseconds."""
        return math.floor(1000 * (self.now + self.offset)) / 1000

    def read_clocks(self) -> None:
        self.tracker.observe(self.now, self.now + self.offset)


HISTORIES = st.lists(
    st.tuples(
        st.floats(0.001, 1.0),  # seconds until the event
        # The event; a number is a step of the wall clock in seconds.
        st.sampled_from(["stamp", "stamp", "read", "read", "pause"])
        | st.floats(-5000.0, 5000.0)
        | st.sampled_from(STEPS)
        | st.sampled_from([-0.2, -0.02, 0.02, 0.2]),
        st.floats(0.0, 3.0),
    ),
    max_size=40,
)


@settings(max_examples=600, deadline=None)
@given(HISTORIES, st.sampled_from([0.0, SLEW, -SLEW]))
def test_birth_estimates_bound_the_true_birth_over_clock_steps(
    history: list[tuple[float, str | float, float]], slew: float
) -> None:
    """There is at most one step between two readings; requests are due to be read within 13.5 s."""
    machine = Machine()
    machine.slew = slew
    steps: list[tuple[float, float]] = []
    unread: list[tuple[float, float, float]] = []  # (time of its reading, true birth, stamp)
    gap, read_at, stepped = 1.0, machine.now, False
    for wait_s, what, delay_s in history:
        machine.advance(wait_s)
        if what == "stamp":
            unread.append((machine.now + 4.5 * delay_s, machine.now, machine.stamp()))
            continue
        if what == "pause":  # like a stopped process: no readings for a while
            machine.advance(2 * delay_s)
        elif isinstance(what, float):
            if stepped:
                machine.read_clocks()
                read_at = machine.now
            machine.offset += what
            steps.append((machine.now, what))
            stepped = True
            continue
        gap = max(gap, machine.now - read_at)
        machine.read_clocks()
        read_at, stepped = machine.now, False
        for due, true, stamp in [one for one in unread if one[0] <= machine.now]:
            unread.remove((due, true, stamp))
            if machine.now - true >= TIME_TO_LIVE_S + MAX_PAST_DUE_S - 2 * TOLERANCE_S:
                continue  # refused in any case, as it is seconds past its due time
            birth = machine.tracker.birth(stamp, machine.now, TIME_TO_LIVE_S)
            assert birth != FAR_OFF and birth.born <= machine.now
            assert birth.born - birth.earlier_s <= true + TOLERANCE_S, "a repeat would not be recognised"
            assert birth.born + birth.later_s >= true - TOLERANCE_S, "its key would be forgotten early"
            if machine.now - true < TIME_TO_LIVE_S - TOLERANCE_S:
                assert birth.born <= true + TOLERANCE_S, "its due time would be too late"
            back = -sum(by for at, by in steps if by < 0 and at > machine.now - REMEMBER_S - gap)
            assert birth.born >= true - max(back, gap) - 3 * TOLERANCE_S, "its due time would be too early"


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("stamped", ["before", "after"])
@pytest.mark.parametrize("seen_s", [0.0, 0.5])
def test_one_step_shifts_a_birth_only_if_it_is_a_short_step_back(
    step: float, stamped: str, seen_s: float
) -> None:
    machine = Machine()
    machine.advance(60.0)
    machine.read_clocks()
    machine.advance(0.1)
    if stamped == "before":
        true, stamp = machine.now, machine.stamp()
        machine.advance(0.3)
    machine.offset += step
    if stamped == "after":
        machine.advance(0.3)
        true, stamp = machine.now, machine.stamp()
    machine.advance(seen_s)
    machine.read_clocks()
    birth = machine.tracker.birth(stamp, machine.now, TIME_TO_LIVE_S)
    short_s = 2.0 if step == -2.0 and stamped == "after" else 0.0  # both offsets explain such a stamp
    assert birth.born == pytest.approx(true - short_s, abs=TOLERANCE_S)
    assert birth.born + birth.later_s == pytest.approx(true, abs=TOLERANCE_S) and not birth.earlier_s


def test_without_a_step_an_unexplained_stamp_is_far_off_and_one_slightly_ahead_is_now() -> None:
    machine = Machine()
    for _ in range(3000):  # slewing alone makes no stamp valid
        machine.slew = SLEW
        machine.advance(0.1)
        machine.read_clocks()
    now, unix = machine.now, machine.now + machine.offset
    births = {
        ago: machine.tracker.birth(unix - ago, now, TIME_TO_LIVE_S)
        for ago in (unix, -1e9, 1e9, REMEMBER_S + 0.1, -MAX_BORN_AHEAD_S - 0.1, 0.0, -0.9, REMEMBER_S - 0.1)
    }
    assert [birth == FAR_OFF for birth in births.values()] == [True] * 5 + [False] * 3
    assert births[0.0].born == pytest.approx(now, abs=TOLERANCE_S) and births[-0.9].born == now


@pytest.mark.parametrize("step", STEPS)
def test_a_stamp_made_during_an_unseen_reversed_step_counts_from_the_reading_before(step: float) -> None:
    machine = Machine()
    machine.advance(60.0)
    machine.read_clocks()
    machine.advance(0.1)
    machine.offset += step
    true, stamp = machine.now, machine.stamp()
    machine.advance(0.3)
    machine.offset -= step
    machine.read_clocks()
    birth = machine.tracker.birth(stamp, machine.now, TIME_TO_LIVE_S)
    # With a step of -2 s it looks like a stamp of 2.3 s ago; otherwise the birth is the reading before.
    short_s = 2.0 if step == -2.0 else 0.1
    assert birth.born == pytest.approx(true - short_s, abs=TOLERANCE_S)
    if step != -2.0:
        assert birth.born - birth.earlier_s == machine.now - REMEMBER_S
        assert birth.born + birth.later_s == machine.now
    for _ in range(round(2 * REMEMBER_S / MIN_GAP_S) + 2):  # frequent readings from here on
        machine.advance(MIN_GAP_S / 2)
        machine.read_clocks()
    stamp = math.floor(1000 * (machine.now + step)) / 1000
    late = machine.tracker.birth(stamp, machine.now, TIME_TO_LIVE_S)
    assert (late == FAR_OFF) is (step != -2.0)


def test_a_stamp_too_little_or_too_far_off_for_a_step_is_far_off_also_after_a_gap() -> None:
    machine = Machine()
    machine.advance(60.0)
    machine.read_clocks()
    for off_s in (REMEMBER_S + 0.1, 590.0, MAX_STEP_S + 1.0, -MAX_STEP_S - 1.0, 1e9, -1e9):
        assert machine.tracker.birth(machine.now - off_s, machine.now, TIME_TO_LIVE_S) == FAR_OFF


@pytest.mark.parametrize("hours", [1, 10])  # 10: further than ``MAX_STEP_S``
def test_a_stamp_between_two_steps_in_one_gap_counts_from_the_start_of_the_gap(hours: int) -> None:
    machine = Machine()
    machine.advance(60.0)
    machine.read_clocks()
    machine.offset += 3600.0 * hours
    machine.advance(1.0)
    true, stamp = machine.now, machine.stamp()
    machine.offset -= 1800.0 * hours
    machine.advance(0.5)
    machine.read_clocks()
    birth = machine.tracker.birth(stamp, machine.now, TIME_TO_LIVE_S)
    assert machine.now - 1.5 == birth.born <= true <= birth.born + birth.later_s == machine.now
    assert birth.born - birth.earlier_s == machine.now - REMEMBER_S
    for _ in range(round(10 * REMEMBER_S) + 1):  # no longer explained once the remembered time has passed
        machine.advance(0.1)
        machine.read_clocks()
    assert machine.tracker.birth(stamp, machine.now, TIME_TO_LIVE_S) == FAR_OFF


def test_segments_are_bounded_by_number_and_by_time() -> None:
    machine = Machine()
    for place in range(3 * MAX_SEGMENTS):
        machine.advance(0.01)
        machine.offset += 1.0 + place
        machine.read_clocks()
        assert len(machine.tracker.segments) <= MAX_SEGMENTS
    machine.advance(REMEMBER_S + 1.0)
    machine.read_clocks()
    assert len(machine.tracker.segments) == 1


def test_clocks_that_are_read_with_a_pause_between_are_read_again() -> None:
    """Otherwise a pause of 30 ms between the two readings would look like a step of 30 ms."""
    pauses, now = [0.03, 0.02, 0.0], [50.0]

    def unix() -> float:
        now[0] += pauses.pop(0)
        return now[0] + 1e9

    steady_s, unix_s = read_together(lambda: now[0], unix)
    assert unix_s - steady_s == 1e9 and not pauses
