"""Random simulated histories on a driven clock; each invariant is checked after each event."""

import pytest

from beechrock.lab.duties_sim import history

HISTORIES = 80  # number of random histories over all seeds


@pytest.mark.parametrize("seed", range(4))
def test_random_histories_have_no_two_holders_and_no_effects_under_an_old_fence(seed: int) -> None:
    takes = refused = stopped = 0
    for number in range(seed * HISTORIES // 4, (seed + 1) * HISTORIES // 4):
        world = history(number)
        assert not world.broken, f"seed {number}: {world.broken}"
        takes, refused = takes + world.takes, refused + world.refused
        stopped += world.stopped_between
    # The histories must contain the events under test.
    assert takes > HISTORIES // 2 and refused > 7 and stopped > 7


# Only the guards whose violation a short search finds; test_guards.py covers all guards.
@pytest.mark.parametrize("guard", ["fence", "stop_first", "durable", "leading"])
def test_some_random_history_breaks_without_the_guard(guard: str) -> None:
    for number in range(400):
        world = history(number, without=frozenset({guard}), liveness=False)
        if world.broken:
            assert "held twice" in world.broken[0] or "was before" in world.broken[0]
            return
    pytest.fail(f"no history broke without {guard}")
