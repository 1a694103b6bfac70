"""Random histories of the agreed log on a simulated clock; lab/agree_sim.py checks them at each step."""

import pytest

from beechrock.agree.messages import MemoryStatus
from beechrock.agree.rules import Rules
from beechrock.lab.agree_checks import Operation, linearizable
from beechrock.lab.agree_faults import History
from beechrock.lab.agree_sim import Sim


@pytest.mark.parametrize("first", range(0, 120, 10))
def test_random_histories_with_disks_that_lose_writes(first: int) -> None:
    for seed in range(first, first + 10):
        history = History(seed, voters=5 if seed % 4 == 0 else 3)
        history.run(7.0)


@pytest.mark.parametrize("first", range(1000, 1060, 10))
def test_all_members_recover_once_faults_are_healed(first: int) -> None:
    """After crashes and partitions without disk loss, a leader is elected and all nodes apply its commits."""
    for seed in range(first, first + 10):
        history = History(seed, forget=False, rules=Rules(tick_s=0.1))
        history.run(6.0)
        history.heal()
        sim = history.sim
        assert sim.within(15.0, lambda sim=sim: sim.leader() is not None), seed  # type: ignore[misc]
        before, leader = max(sim.committed, default=0), sim.leader()
        assert leader is not None
        leader.write(b"the last one")
        assert sim.within(
            10.0,
            lambda sim=sim, before=before: (
                before
                < max(sim.committed)
                == min(  # type: ignore[misc]
                    process.core.applied for process in sim.processes.values()
                )
            ),
        ), seed
        sim.check_history()


def test_checker_finds_a_stale_read_and_a_duplicate_write_number() -> None:
    write, read = Operation(True, 0.0, 1.0, 1), Operation(False, 2.0, 3.0, 0)
    assert "read" in linearizable([write, read])
    assert not linearizable([write, Operation(False, 0.5, 3.0, 0)])
    assert "one number" in linearizable([write, Operation(True, 0.0, 1.0, 1)])


def test_a_barred_members_longer_log_does_not_keep_the_others_from_an_election() -> None:
    """Guards against a restarted voter that required entries which only a barred member held: no leader."""
    sim = Sim(7, 3, 0, Rules(tick_s=0.1, strict=True), drop=0.0, double=0.0)
    assert sim.within(15.0, lambda: sim.leader() is not None)
    leader = sim.leader()
    assert leader is not None
    sim.run(2.0)
    first, second = (name for name in sim.names if name != leader.name)
    copy = sim.disks[first].copy()
    leader.write(b"held by all")
    sim.run(1.0)
    sim.crash(first)
    sim.disks[first] = copy  # an older copy than the others' marks of it, so the member becomes barred
    sim.cuts = {(leader.name, second), (second, leader.name), (first, second), (second, first)}
    sim.start(first)
    sim.run(1.0)
    barred = sim.processes[first]
    assert barred.core.memory is MemoryStatus.BARRED
    synced, commit = leader.disk.copy(), leader.core.commit
    leader.write(b"sent, and not synced by the leader itself")
    assert sim.within(1.0, lambda: barred.core.log.last == leader.core.log.last)
    assert leader.core.commit == commit
    sim.crash(leader.name)
    sim.disks[leader.name] = synced
    sim.start(leader.name)
    sim.cuts.clear()
    assert sim.within(30.0, lambda: sim.leader() is not None)
