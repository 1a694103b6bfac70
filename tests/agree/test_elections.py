"""Elections after a leader's crash, on a simulated clock: the next leader is elected soon, in one term."""

import pytest
from simulated_log import await_leader

from beechrock.agree.rules import Rules
from beechrock.lab.agree_sim import Sim


def measure_recovery(seed: int, timeouts_s: list[float]) -> tuple[float, int]:
    """Crash the leader of five members; the others' election timeouts are then ``timeouts_s`` seconds.

    Return the seconds until another member leads, and the number of terms that passed.
    """
    sim = Sim(seed, 5, rules=Rules(tick_s=0.01), drop=0.0, double=0.0, delay_s=0.005)
    sim.sync_s = 0.05
    await_leader(sim, 20.0)
    sim.run(1.0)
    crashed = await_leader(sim)
    sim.crash(crashed.name)
    crashed_s, term = sim.now, crashed.core.term
    living = [process for process in sim.processes.values() if not process.dead]
    for process, wait_s in zip(living, timeouts_s, strict=True):
        process.core.elections.timeout_s = process.clock() + wait_s
    leader = await_leader(sim, 20.0)
    return sim.now - crashed_s, leader.core.term - term


@pytest.mark.parametrize("timeouts_s", [[1.2] * 4, [1.2, 1.23, 1.23, 1.23]], ids=["at once", "one first"])
def test_simultaneous_candidates_elect_a_leader_in_a_single_term(timeouts_s: list[float]) -> None:
    assert [measure_recovery(seed, timeouts_s)[1] for seed in range(12)] == [1] * 12


def test_refused_pre_vote_is_retried_soon() -> None:
    assert max(measure_recovery(seed, [0.8, 5.0, 5.0, 5.0])[0] for seed in range(6)) < 2.0
