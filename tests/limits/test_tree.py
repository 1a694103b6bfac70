"""Departments, teams and services: guaranteed rates, borrowing and refunds."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.limits.rates import Rate
from beechrock.limits.tree import Admission, Node, Rejection, RejectReason, admit, end


def tree(*rates: float, burst: float = 5.0, spare: float = 0.0) -> tuple[Node, list[Node]]:
    """Return a department of teams with one service each, and the services."""
    top = Node("top", Rate(sum(rates) + spare, burst * len(rates)))
    leaves = []
    for index, rate in enumerate(rates):
        team = Node(f"team{index}", Rate(rate, burst), parent=top)
        leaves.append(Node(f"team{index}/s", Rate(rate, burst), parent=team))
    return top, leaves


def play(leaves: list[Node], rates: list[float], begin: float, for_s: float, seed: int = 1) -> list[int]:
    """Send each service requests at its rate per second; return how many were admitted. Each ends at once."""
    rng, admitted = random.Random(seed), [0] * len(leaves)
    requests = sorted(
        (begin + rng.uniform(0, for_s), index)
        for index, rate in enumerate(rates)
        for _ in range(round(rate * for_s))
    )
    for now, index in requests:
        if isinstance(admit(now, leaves[index]), Admission):
            admitted[index] += 1
            end(tuple(leaves[index].path()), True)
    return admitted


def test_unused_rate_is_borrowed_and_returned_at_once() -> None:
    top, leaves = tree(100, 100, 100, burst=20)
    idle = play(leaves, [1000, 0, 0], 0, 10)
    assert 2900 <= idle[0] <= 3000 + top.rate.burst + 10  # the department's whole rate
    returned = play(leaves, [1000, 90, 90], 10, 1)  # within the next second the other teams get their own
    assert returned[1] >= 88 and returned[2] >= 88
    later = play(leaves, [1000, 90, 90], 11, 10)
    assert later[1] >= 890 and later[2] >= 890 and 1100 <= later[0] <= 1300


@settings(max_examples=20, deadline=None)
@given(st.lists(st.floats(1, 100), min_size=2, max_size=6), st.integers(0, 9999), st.floats(0, 50))
def test_guaranteed_requests_pass_whatever_others_ask_and_the_total_stays_bounded(
    rates: list[float], seed: int, spare: float
) -> None:
    top, leaves = tree(*rates, spare=spare)
    rng, for_s = random.Random(seed), 4.0
    flood = rng.randrange(len(rates))
    for step in range(int(for_s * 100)):
        now = step / 100
        for _ in range(6):
            if isinstance(admit(now, leaves[flood]), Admission):
                end(tuple(leaves[flood].path()), True)
        # All others ask while their own rate has room, so none of them is ever rejected.
        for other, leaf in enumerate(leaves):
            if other != flood and leaf.rate.has_room(now):
                assert isinstance(admit(now, leaf), Admission)
                end(tuple(leaf.path()), True)
    # The whole path is charged, so the arrival time of ``top`` counts all that was admitted.
    assert sum(leaf.rate.burst for leaf in leaves) <= top.rate.burst
    assert (top.rate.tat - for_s) * top.rate.rate <= 2 * top.rate.burst + 1e-6


def test_ceilings_priorities_and_concurrency_limits_bind_along_the_path() -> None:
    team = Node("team", Rate(10, 8))
    first, last = (Node(name, Rate(1, 1), parent=team, priority=p) for name, p in (("first", 0), ("last", 2)))
    while isinstance(admit(0, last), Admission):
        pass
    # ``last`` has used its own rate, and the team's down to the reserve of half its burst.
    assert team.rate.available(0) == pytest.approx(3)
    assert isinstance(admit(0, first), Admission) and isinstance(admit(0, first), Admission)
    team.concurrency.limit = team.concurrency.open_count
    assert admit(9, first) == Rejection(RejectReason.AT_ONCE, 0.1, "team")
    team.concurrency.limit += 1
    first.ceiling = Rate(1, 1)
    assert isinstance(admit(9, first), Admission)
    team.concurrency.limit += 1
    result = admit(9, first)
    assert isinstance(result, Rejection) and (result.reason, result.retry_after_s) == (
        RejectReason.CEILING,
        1.0,
    )
    first.ceiling, first.borrows = Rate(99, 99), False
    assert isinstance(result := admit(9, first), Rejection) and result.reason is RejectReason.RATE
    assert (
        isinstance(result := admit(99, first, in_hours=False), Rejection)
        and result.reason is RejectReason.HOURS
    )
    assert isinstance(result := admit(99, last, in_hours=False), Admission) and result.borrowed


def test_a_request_that_never_ran_is_refunded_on_its_original_path() -> None:
    _, (leaf, _) = tree(10, 10, burst=1)
    path = tuple(leaf.path())
    assert admit(0, leaf) == Admission(False)
    leaf.parent = None  # the service was moved meanwhile
    end(path, False)
    assert all(node.concurrency.open_count == 0 and node.rate.has_room(0) for node in path)
