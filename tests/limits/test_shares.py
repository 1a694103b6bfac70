"""Fair shares by work done: against an ideal fair server, with extreme weights, and with many teams."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.limits.errors import BrokenBooksError
from beechrock.limits.shares import SPARE_ENTRIES, Shares, millionths


def fair(wants: list[float], weights: list[float], capacity: float) -> list[float]:
    """Return each team's share of a capacity by water filling: unused shares are divided among the others."""
    shares, left, asking = [0.0] * len(wants), capacity, {team for team, want in enumerate(wants) if want > 0}
    while asking:
        level = left / math.fsum(weights[team] for team in asking)
        satisfied = {team for team in asking if wants[team] <= level * weights[team]}
        for team in satisfied or asking:
            shares[team] = wants[team] if satisfied else level * weights[team]
        left -= math.fsum(shares[team] for team in satisfied)
        asking = asking - satisfied if satisfied else set()
    return shares


def serve(wants: list[float], weights: list[float], capacity: float, for_s: float, seed: int) -> list[float]:
    """Return the work per second that a server did for each team.

    The server takes requests beyond a team's share only while its queue is short.
    """
    rng, shares, done = random.Random(seed), Shares[int](), [0.0] * len(wants)
    for team, weight in enumerate(weights):
        shares.set_weight(team, weight)
    requests = sorted(
        (rng.uniform(0, for_s), team)
        for team, want in enumerate(wants)
        for _ in range(round(want * for_s / 0.02))
    )
    queue, waiting, now = list[tuple[int, float]](), 0.0, 0.0
    for arrived_at, team in requests:
        capacity_left = (arrived_at - now) * capacity
        now = arrived_at
        while queue and capacity_left > 0:  # the queue is served in order of arrival
            served, cost = queue[0]
            part = min(cost, capacity_left)
            capacity_left, waiting = capacity_left - part, waiting - part
            shares.record_work(part)
            done[served] += part
            queue[0] = served, cost - part
            if part == cost:
                queue.pop(0)
        within = shares.is_within_share(team, 0.3 * capacity)
        cost = rng.uniform(0.01, 0.03)  # the measured cost differs from the estimate that was charged
        if waiting < (0.5 if within else 0.1) * capacity:
            shares.charge(team, 0.02)
            shares.charge(team, cost - 0.02)
            queue.append((team, cost))
            waiting += cost
    return [work / for_s for work in done]


@pytest.mark.parametrize(
    ("wants", "weights"),
    [
        ([40, 3, 3, 3], [1, 1, 1, 1]),  # a flood beside three teams, each with its quarter of the capacity
        ([10, 10, 0.5, 0.1], [1, 3, 1, 1]),  # what two teams leave unused is divided by weight
        ([20, 20, 20], [1000, 1, 1]),
        ([20, 20], [0.001, 1000]),
    ],
)
def test_each_team_gets_its_fair_share_of_the_work_also_with_a_third_less_capacity(
    wants: list[float], weights: list[float]
) -> None:
    for capacity in (4.0, 4.0 * 2 / 3):
        done, ideal = serve(wants, weights, capacity, 30, 7), fair(wants, weights, capacity)
        for team_done, team_ideal in zip(done, ideal, strict=True):
            assert team_done >= 0.93 * team_ideal - 0.02, (done, ideal)
        assert sum(done) >= 0.97 * sum(ideal)  # no capacity stays idle for the sake of fairness


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 5), st.sampled_from(["charge", "refund", "done", "set", "drop"]), st.floats(0, 20)
        ),
        max_size=120,
    )
)
def test_backlogs_and_active_weights_are_consistent_after_any_steps(
    steps: list[tuple[int, str, float]],
) -> None:
    shares, weights = Shares[int](), [0.001, 1.0, 1000.0, 2.5, 0.3]
    for index, weight in enumerate(weights):
        shares.set_weight(index, weight)
    outstanding = 0.0
    for team, action, amount in steps:
        before = {index: shares.backlog_s(index) for index in shares.teams}
        match action:
            case "charge":
                shares.charge(team, amount)
                outstanding += amount * (team in before)
            case "refund":
                shares.charge(team, -amount)
                outstanding = max(0.0, outstanding - amount * (team in before))
                assert team not in before or shares.backlog_s(team) <= before[team] + 1e-6
            case "done":
                shares.record_work(amount)
                outstanding = max(0.0, outstanding - amount)
                removed = sum(before.values()) - sum(shares.backlog_s(index) for index in shares.teams)
                assert removed >= -1e-6 and removed == pytest.approx(
                    min(amount, sum(before.values())), abs=1e-5
                )
            case "set":
                shares.set_weight(team, weights[int(amount) % 5])
                assert team not in before or shares.backlog_s(team) == pytest.approx(before[team], abs=1e-6)
            case "drop":
                outstanding -= before.get(team, 0.0)
                shares.remove(team)
        assert sum(shares.backlog_s(index) for index in shares.teams) == pytest.approx(outstanding, abs=1e-5)
        assert shares.active_weight == sum(shares.teams[index].weight for index in shares.active)
        assert len(shares.heap) <= 2 * len(shares.active) + SPARE_ENTRIES
        assert all(shares.teams[index].finish_tag > shares.virtual_time for index in shares.active)


def test_a_rebased_virtual_clock_keeps_the_backlogs_of_light_and_heavy_teams_exact() -> None:
    shares = Shares[str]()
    shares.set_weight("light", 0.001)
    shares.set_weight("heavy", 1000)
    shares.charge("light", 1e7)
    shares.charge("heavy", 1.0)
    shares.record_work(3e6)
    assert shares.virtual_time < 1e9 + 1 and shares.backlog_s("heavy") == 0
    assert shares.backlog_s("light") == pytest.approx(1e7 - 3e6 + 1, rel=1e-9)
    shares.charge("heavy", 1e-4)
    assert shares.backlog_s("heavy") == pytest.approx(1e-4, rel=1e-3)
    with pytest.raises(BrokenBooksError):
        millionths(0.0009)


def test_a_flood_alone_for_a_moment_is_beyond_its_share_and_alone_for_long_is_within() -> None:
    shares = Shares[str]()
    for team in ("calm", "loud"):
        shares.set_weight(team, 1)
        shares.charge(team, 1.0)
    shares.charge("loud", 99.0)
    shares.record_work(2.0)  # one second for each team, so calm has no backlog left
    assert (
        shares.backlog_s("calm") == 0
        and shares.backlog_s("loud") == 99
        and not shares.is_within_share("loud", 1.0)
    )
    shares.record_work(3.0)
    assert not shares.is_within_share("loud", 1.0)
    shares.record_work(2.0)
    assert shares.is_within_share("loud", 1.0)
    shares.charge("calm", 0.1)
    assert not shares.is_within_share("loud", 1.0) and shares.is_within_share("calm", 1.0)


def test_work_of_a_decision_does_not_grow_with_the_number_of_teams() -> None:
    """The heap's size is compared, not time; of 10,000 teams few are active at once."""
    largest_heaps = []
    for team_count in (10, 10_000):
        shares = Shares[int]()
        for team in range(team_count):
            shares.set_weight(team, 1)
        largest = 0
        for turn in range(1000):
            shares.charge(turn * 7 % team_count, 0.01)
            shares.record_work(0.01)
            largest = max(largest, len(shares.heap))
        largest_heaps.append(largest)
    assert largest_heaps[1] <= largest_heaps[0] + SPARE_ENTRIES
