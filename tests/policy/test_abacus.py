"""Abacus filter: borrowing of tokens, borrowed counts, the last slot and the shift of slots."""

from dataclasses import replace

import pytest
from world import PLAIN, SAFE, Driver, settings

from beechrock import interface as api

# Objectives so long that the first offset is its maximum of 3 s and a slot takes 1 s.
SLOTS_OF_1_S = settings(classes=tuple(replace(c, latency_objective_s=5.0) for c in PLAIN.classes))


def test_the_first_offset_is_three_slots_bounded_by_objectives_and_the_longest_retry_after() -> None:
    assert Driver(SLOTS_OF_1_S).node.abacus.first_offset_s == 3.0
    assert Driver(settings(max_retry_after_s=None)).node.abacus.first_offset_s == pytest.approx(0.6 * 3.0)
    short = Driver(settings(max_retry_after_s=0.6)).node
    assert short.abacus.first_offset_s == 0.6
    assert short.abacus.slot_s == pytest.approx(0.2)


def test_a_token_in_the_first_slot_is_taken() -> None:
    node = Driver(SLOTS_OF_1_S).node
    node.abacus.tokens[3] = 2
    assert node.abacus.borrow(9.0) == 3.0
    assert node.abacus.tokens[3] == 1
    assert sum(node.abacus.borrowed) == 0


def test_borrowing_doubles_its_steps_and_counts_the_empty_slots_it_passed() -> None:
    node = Driver(settings(classes=(api.ClassSettings(latency_objective_s=5.0, deadline_s=30.0),))).node
    node.abacus.tokens[9] = 1  # 3 + 3 * 2
    assert node.abacus.borrow(30.0) == 9.0
    assert node.abacus.borrowed[3] == 1
    assert sum(node.abacus.borrowed) == 1
    node.abacus.tokens[21] = 1  # 3 + 3 * 2 + 3 * 4
    assert node.abacus.borrow(30.0) == 21.0
    assert (node.abacus.borrowed[3], node.abacus.borrowed[9]) == (2, 1)


def test_no_borrowed_count_is_raised_when_no_token_is_found() -> None:
    node = Driver().node
    assert node.abacus.borrow(9.0) is None
    assert sum(node.abacus.borrowed) == 0


def test_no_slot_beyond_the_class_deadline_is_offered() -> None:
    node = Driver(settings(classes=(SAFE, api.ClassSettings(latency_objective_s=7.0, deadline_s=30.0)))).node
    node.abacus.tokens[21] = 1
    assert node.abacus.borrow(SAFE.deadline_s) is None
    assert node.abacus.borrow(30.0) == 21.0


def test_borrowed_requests_are_deferred_again_without_a_token() -> None:
    node = Driver(SLOTS_OF_1_S).node
    node.abacus.borrowed[0] = 1
    node.abacus.tokens[3] = 1
    assert node.abacus.borrow(9.0) == 3.0
    assert (node.abacus.borrowed[0], node.abacus.tokens[3]) == (0, 1)


def test_the_end_of_a_slot_shifts_tokens_and_borrowed_counts_and_adds_spare_tokens() -> None:
    driver = Driver(SLOTS_OF_1_S)
    node = driver.node
    node.abacus.tokens[1], node.abacus.borrowed[1] = 7, 2
    node.abacus.peak_rate, node.abacus.arrival_rate = 10.0, 4.0
    driver.decide(after=1.0)
    assert (node.abacus.tokens[0], node.abacus.borrowed[0]) == (7, 2)
    # Nothing arrived in this slot, so the mean arrival rate fell by a sixth.
    assert node.abacus.arrival_rate == pytest.approx(4.0 * 5 / 6)
    assert node.abacus.tokens[-1] == int(10.0 * 0.995 - node.abacus.arrival_rate)
    assert node.abacus.borrowed[-1] == 0


def test_no_tokens_are_added_when_arrivals_exceed_the_peak_rate() -> None:
    driver = Driver()
    driver.node.abacus.peak_rate, driver.node.abacus.arrival_rate = 2.0, 50.0
    driver.decide(after=1.0)
    assert driver.node.abacus.tokens[-1] == 0


def test_fractions_of_a_token_are_carried_over() -> None:
    driver = Driver(SLOTS_OF_1_S)
    node = driver.node
    tokens = 0
    for _ in range(10):
        node.abacus.peak_rate, node.abacus.arrival_rate = 0.5, 0.0
        driver.decide(after=1.0)
        tokens += node.abacus.tokens[-1]
    assert tokens in (4, 5)


def test_marked_retries_do_not_count_as_new_arrivals() -> None:
    driver = Driver()
    driver.arrive(is_retry=True)
    assert driver.node.abacus.arrivals == 0
    driver.arrive()
    assert driver.node.abacus.arrivals == 1
