"""Helpers that wait until a simulated agreed log has a leader, and until its followers have caught up."""

from beechrock.agree.rules import Rules
from beechrock.lab.agree_sim import Process, Sim


def await_leader(sim: Sim, within_s: float = 10.0) -> Process:
    """Return the process that leads; fail the test if none leads within ``within_s`` simulated seconds."""
    assert sim.within(within_s, lambda: sim.leader() is not None)
    leader = sim.leader()
    assert leader is not None
    return leader


def with_leader(
    seed: int, rules: Rules, voters: int = 3, learners: int = 0
) -> tuple[Sim, Process, list[str]]:
    """Return a simulation in which all members follow a leader, the leader, and the names of the others."""
    sim = Sim(seed, voters, learners, rules, drop=0.0, double=0.0)
    leader = await_leader(sim)
    assert sim.within(10.0, lambda: all(p.core.applied == leader.core.commit for p in sim.processes.values()))
    return sim, leader, [name for name in sim.names if name != leader.name]
