"""Invariants and bounds of the agreed log, tested one by one with events passed to a single member."""

import pytest
from simulated_log import await_leader

from beechrock.agree.errors import BrokenInvariantError, FullError, VotersError
from beechrock.agree.machines import NoEffect, StateMachines, wrap
from beechrock.agree.messages import (
    Append,
    Entry,
    EntryKind,
    MemoryReport,
    MemoryStatus,
    ReadIndexReady,
    ReadIndexReply,
    Verdict,
)
from beechrock.agree.proposals import Proposals
from beechrock.agree.rules import MAX_COMMAND_BYTES, MAX_OPEN_PROPOSALS, Rules
from beechrock.lab.agree_checks import Counter
from beechrock.lab.agree_sim import Process, Sim


def start_three_voters(rules: Rules | None = None, learners: int = 0) -> tuple[Sim, Process, list[Process]]:
    """Return a simulation of three voters, its leader, and the other processes."""
    sim = Sim(5, 3, learners, rules or Rules(tick_s=0.1), drop=0.0, double=0.0)
    await_leader(sim)
    sim.run(1.0)
    leader = await_leader(sim)
    return sim, leader, [process for process in sim.processes.values() if process is not leader]


def test_broken_invariants_are_detected_by_the_member_that_sees_them() -> None:
    _, a, (b, c) = start_three_voters()
    core, term, last = b.core, a.core.term, b.core.log.last
    with pytest.raises(BrokenInvariantError, match="both lead"):
        core.terms.follow(term, c.name)
    core.terms.follow(term, "")  # as after some time without contact to its leader
    with pytest.raises(BrokenInvariantError, match="both lead"):
        core.receive(core.context.now_s, c.name, Append(term, 1, last, term, 0, c.core.epochs.own_mark()))
    with pytest.raises(BrokenInvariantError, match="vote"):
        core.terms.set_term(term, "another")
    with pytest.raises(BrokenInvariantError, match=f"entry {last + 2} "):
        core.log.append(Entry(last + 2, term, EntryKind.NO_OP))
    with pytest.raises(BrokenInvariantError):
        core.replicated.commit_up_to(last + 1)
    core.log.append(Entry(last + 1, term, EntryKind.NO_OP))
    with pytest.raises(BrokenInvariantError, match="snapshot"):
        core.replicated.make_snapshot(core.applied + 1, b"", b"")


def test_strict_member_is_never_proven_by_waiting_and_late_reports_do_not_count() -> None:
    for strict in (True, False):
        sim, a, (b, c) = start_three_voters(Rules(tick_s=0.1, strict=strict))
        for process in (a, b, c):
            sim.crash(process.name)
        for process in (a, b):
            sim.start(process.name)
        sim.run(10.0)
        assert (sim.leader() is None) is strict
    sim.crash(b.name)
    sim.cuts = {(x, y) for x in sim.names for y in sim.names}
    core = sim.start(b.name).core
    for epoch in ("former epoch", core.epochs.current.id):
        assert core.memory is MemoryStatus.UNPROVEN
        for name in (a.name, c.name):
            core.receive(
                core.context.now_s,
                name,
                MemoryReport(epoch, Verdict.NEWER, 1, True, MemoryStatus.PROVEN, 1, 1, 1, 0, sim.names),
            )
    assert core.memory is MemoryStatus.PROVEN


def test_proposals_and_voters_beyond_the_bounds_are_refused() -> None:
    sim, a, (*_, learner) = start_three_voters(Rules(tick_s=0.1, max_bytes=1000), learners=1)
    assert a.core.propose(a.clock(), b"x" * 900, "p", 1, 1, 1)
    assert not a.core.propose(a.clock(), b"x" * 900, "p", 1, 2, 1)
    with pytest.raises(VotersError, match="caught up"):  # the learner lacks the entry appended just before
        sim.cuts = {(a.name, learner.name)}
        sim.run(0.5)
        a.core.change_voters(a.clock(), add=learner.name)
    roomy = start_three_voters()[1]
    assert not roomy.core.propose(roomy.clock(), b"x" * (MAX_COMMAND_BYTES + 1), "p", 1, 1, 1)
    proposals = Proposals("p", 1, 0.3)
    for _ in range(MAX_OPEN_PROPOSALS):
        proposals.add(b"x")
    with pytest.raises(FullError):
        proposals.add(b"x")


def test_read_reply_for_the_previous_process_is_dropped() -> None:
    _, _, (b, _) = start_three_voters()
    life = b.core.epochs.current.count
    assert ReadIndexReady(7, 3) not in b.core.receive(
        b.core.context.now_s, "n0", ReadIndexReply(life - 1, 7, 3)
    )
    assert ReadIndexReady(7, 3) in b.core.receive(b.core.context.now_s, "n0", ReadIndexReply(life, 7, 3))


def test_command_of_a_past_life_has_no_effect_and_state_of_unhosted_machines_is_kept() -> None:
    counter = Counter()
    machines = StateMachines({"c": counter})

    def apply(life: int, seq: int, machine: str = "c") -> object:
        command = wrap(machine, f"{life} {seq}".encode())
        return machines.apply(Entry(1, 1, EntryKind.COMMAND, command, "p", life, seq, 1))

    assert apply(2, 1) == 1 and apply(1, 2) is NoEffect.PAST_LIFE and apply(2, 1) is NoEffect.DUPLICATE
    assert apply(2, MAX_OPEN_PROPOSALS + 1) is NoEffect.DUPLICATE  # beyond the window
    assert apply(2, 3, "other") is NoEffect.NO_MACHINE and counter.count == 1
    older = StateMachines({})
    older.restore(machines.snapshot())
    assert older.snapshot() == machines.snapshot()
