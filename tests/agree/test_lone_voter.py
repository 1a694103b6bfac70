"""One or two voters: none leads after its disk lost entries that another node holds; intact disks recover."""

import pytest

from beechrock.agree.messages import MemoryStatus
from beechrock.agree.rules import Rules
from beechrock.lab.agree_checks import Disk
from beechrock.lab.agree_faults import History
from beechrock.lab.agree_sim import Process, Sim

LEADER_WITHIN_S = 30.0
STRICT = Rules(tick_s=0.1, strict=True)
VOTERS_AND_LEARNERS = [(1, 1), (1, 2), (2, 1), (2, 2)]  # numbers of voters and learners


def lone_voter(learners: int = 1) -> tuple[Sim, Process]:
    """Return a simulation with one voter that leads, and 20 entries that all learners hold."""
    sim = Sim(7, 1, learners, STRICT, drop=0.0, double=0.0)
    assert sim.within(LEADER_WITHIN_S, lambda: sim.leader() is not None)
    voter = sim.processes["n0"]
    for number in range(20):
        voter.write(b"%d" % number)
    sim.run(2.0)
    return sim, voter


@pytest.mark.parametrize(("voters", "learners"), VOTERS_AND_LEARNERS)
def test_no_committed_entry_is_lost_when_a_lone_voters_disk_loses_writes(voters: int, learners: int) -> None:
    """Guards against a lone voter that led with an older disk and wrote other entries at used indices."""
    for seed in range(900, 960):
        history = History(seed, voters, learners, STRICT)
        history.run(10.0)
        history.heal()
        found = history.sim.within(LEADER_WITHIN_S, lambda sim=history.sim: sim.leader() is not None)  # type: ignore[misc]
        assert found or not history.may_have_leader(), seed
        history.sim.check_history()


@pytest.mark.parametrize(("voters", "learners"), VOTERS_AND_LEARNERS)
@pytest.mark.parametrize("strict", [False, True])
def test_voters_without_disk_loss_elect_a_leader_once_all_nodes_are_connected(
    voters: int, learners: int, strict: bool
) -> None:
    for seed in range(60):
        history = History(seed, voters, learners, Rules(tick_s=0.1, strict=strict), forget=False)
        history.run(6.0)
        history.heal()
        assert history.sim.within(
            LEADER_WITHIN_S,
            lambda sim=history.sim: sim.leader() is not None,  # type: ignore[misc]
        ), seed
        history.sim.check_history()


@pytest.mark.parametrize("kept", [0, 6])
def test_a_lone_voter_whose_disk_lost_entries_waits_until_an_operator_trusts_it(kept: int) -> None:
    sim, voter = lone_voter()
    tail = voter.disk.tail
    sim.crash("n0")
    sim.disks["n0"] = Disk(tail=tail[:kept], synced=kept)
    voter = sim.start("n0")
    sim.run(10.0)
    assert sim.leader() is None and voter.core.memory is not MemoryStatus.PROVEN
    sim.crash("n1")
    sim.disks["n1"] = Disk()  # the operator gives up the lost entries, so empties the learner as well
    sim.start("n1")
    sim.committed.clear()
    sim.committed_in.clear()
    sim.written.clear()
    voter.guarded(voter.core.trust)
    assert sim.within(LEADER_WITHIN_S, lambda: sim.leader() is voter)


def test_a_learners_longer_log_reveals_a_loss_that_its_mark_does_not_show() -> None:
    """A restarted learner knows only the voter's mark that it last wrote, which does not show the loss."""
    sim, voter = lone_voter()
    tail = voter.disk.tail
    for name in sim.names:
        sim.crash(name)
    sim.disks["n0"] = Disk(tail=tail[:6], synced=6)
    for name in sim.names:
        sim.start(name)
    sim.run(10.0)
    voter = sim.processes["n0"]
    assert voter.core.memory is MemoryStatus.UNPROVEN and voter.core.proof.lacks_entries


def test_a_lone_voter_waits_for_all_other_nodes_or_without_strict_for_a_majority() -> None:
    for strict, up, leads in ((True, 2, False), (True, 3, True), (False, 1, False), (False, 2, True)):
        sim = Sim(7, 1, 3, Rules(tick_s=0.1, strict=strict), drop=0.0, double=0.0)
        for name in sim.names[up + 1 :]:
            sim.crash(name)
        assert sim.within(10.0, lambda sim=sim: sim.leader() is not None) is leads, (strict, up)  # type: ignore[misc]


def test_a_lone_voter_that_lost_the_removal_of_the_other_voter_is_not_elected_by_it() -> None:
    """The removed voter knows only the old voter set; only a learner holds the entries committed since."""
    sim = Sim(7, 2, 1, STRICT, drop=0.0, double=0.0)
    assert sim.within(LEADER_WITHIN_S, lambda: sim.leader() is not None)
    leader = sim.leader()
    assert leader is not None
    sim.run(2.0)
    other = next(name for name in sim.names[:2] if name != leader.name)
    copy = sim.disks[leader.name].copy()
    sim.cuts = {(other, name) for name in sim.names} | {(name, other) for name in sim.names}
    leader.guarded(lambda: leader.core.change_voters(leader.clock(), remove=other))
    leader.write(b"alone")
    sim.run(1.0)
    last = max(sim.committed)
    assert sim.processes["n2"].core.applied == last
    sim.crash(leader.name)
    sim.disks[leader.name] = copy
    sim.cuts = {("n2", name) for name in sim.names} | {(name, "n2") for name in sim.names}
    sim.start(leader.name)
    sim.run(10.0)
    assert sim.leader() is None
    sim.cuts.clear()
    sim.run(10.0)
    assert sim.leader() is None or sim.leader().core.log.last >= last  # type: ignore[union-attr]


def test_a_lone_voter_sends_only_what_it_has_synced() -> None:
    """Else a learner could hold more entries after a crash without disk loss, and block the voter."""
    sim, voter = lone_voter()
    sim.sync_s = 1e9
    before = voter.core.log.last
    voter.write(b"not synced")
    sim.run(2.0)
    assert voter.core.log.last > before and sim.processes["n1"].core.log.last == before


def test_a_lone_voter_without_other_nodes_leads() -> None:
    sim = Sim(7, 1, 0, STRICT)
    assert sim.within(LEADER_WITHIN_S, lambda: sim.leader() is not None)


def test_a_leader_that_removed_itself_and_was_cut_off_hands_its_log_to_the_voter_that_is_left() -> None:
    """Only the leader's log holds its removal, so the other voter needs its vote but has the shorter log."""
    sim = Sim(7, 2, 1, Rules(tick_s=0.1), drop=0.0, double=0.0)
    assert sim.within(LEADER_WITHIN_S, lambda: sim.leader() is not None)
    leader = sim.leader()
    assert leader is not None
    sim.run(2.0)
    other = next(name for name in sim.names[:2] if name != leader.name)
    sim.cuts = {(leader.name, other), (other, leader.name)}
    leader.guarded(lambda: leader.core.change_voters(leader.clock(), remove=leader.name))
    sim.run(10.0)
    assert leader.core.voters.names == (other,) and leader.core.voters.index > leader.core.commit
    sim.cuts.clear()
    assert sim.within(LEADER_WITHIN_S, lambda: sim.leader() is sim.processes[other])
    assert sim.leader().core.voters.names == (other,)  # type: ignore[union-attr]
