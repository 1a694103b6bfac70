"""One scenario for each guard of the agreed log, which passes with the guard and fails without it."""

from collections.abc import Callable
from contextlib import suppress

import pytest
from simulated_log import with_leader

from beechrock.agree.errors import BrokenInvariantError, VotersError
from beechrock.agree.messages import (
    Append,
    Entry,
    EntryKind,
    HardState,
    Mark,
    MemoryStatus,
    Message,
    Readmitted,
)
from beechrock.agree.rules import MAX_APPEND_ENTRIES, Guard, Rules
from beechrock.agree.term_state import Role
from beechrock.lab.agree_checks import Disk, Violation
from beechrock.lab.agree_sim import Sim

SEEDS = range(8)
Scenario = Callable[[int, Rules], None]


def partition(sim: Sim, *sides: list[str]) -> None:
    sim.cuts = {(a, b) for side in sides for a in side for other in sides if other is not side for b in other}


def lose_unsynced(sim: Sim, name: str) -> None:
    disk = sim.disks[name]
    sim.crash(name)
    sim.disks[name] = Disk(disk.base, disk.position, disk.tail[: disk.synced], disk.synced)


def sync_first(seed: int, rules: Rules) -> None:
    sim, a, (b, c) = with_leader(seed, rules)
    partition(sim, [a.name, b], [c])
    sim.sync_s = 1000.0
    a.write(b"x")
    sim.run(0.5)
    for name in (a.name, b):
        lose_unsynced(sim, name)
    sim.sync_s = 0.005
    sim.cuts.clear()
    for name in (a.name, b):
        sim.start(name)
    sim.run(5.0)
    sim.processes[c].write(b"y")
    sim.run(5.0)


def lease_end(seed: int, rules: Rules) -> None:
    sim, a, others = with_leader(seed, rules)
    partition(sim, [a.name], others)
    sim.run(6.0)


def lease_gap(seed: int, rules: Rules) -> None:
    _, a, _ = with_leader(seed, rules)
    assert a.core.leading(a.clock())
    if a.core.leading(a.core.lease.last_tick_s + 0.6 * rules.lease_s):
        raise Violation("the leader may act right after a gap between ticks, before it received a message")


def lease_promise(seed: int, rules: Rules) -> None:
    sim, a, (_, c) = with_leader(seed, rules)
    partition(sim, [a.name], [c])
    sim.run(6.0)


def pre_vote(seed: int, rules: Rules) -> None:
    sim, a, (b, c) = with_leader(seed, rules)
    term = a.core.term
    partition(sim, [a.name, b], [c])
    sim.run(6.0)
    sim.cuts.clear()
    sim.run(3.0)
    if a.core.term != term or a.core.role is not Role.LEADER:
        raise Violation("a member that was partitioned deposed the leader when it reconnected")


def check_quorum(seed: int, rules: Rules) -> None:
    sim, a, others = with_leader(seed, rules)
    partition(sim, [a.name], others)
    sim.run(4 * rules.lease_s)
    if a.core.role is Role.LEADER:
        raise Violation("the leader is partitioned from all others and still accepts proposals")


def own_term(seed: int, rules: Rules) -> None:
    """Figure 8 of the Raft paper: an entry of an older term that a majority holds can still be replaced."""
    sim = Sim(seed, 5, 0, rules, drop=0.0, double=0.0)
    old = [Entry(at, 2, EntryKind.COMMAND, b"\1c" + bytes([at])) for at in range(1, MAX_APPEND_ENTRIES + 8)]
    n = sim.names
    disks = {n[0]: old, n[1]: old, n[2]: [], n[3]: [], n[4]: [Entry(1, 3, EntryKind.COMMAND, b"\1cz")]}
    for name, entries in disks.items():
        sim.crash(name)
        sim.disks[name] = Disk(tail=[*entries, HardState(3, "?")], synced=len(entries) + 1)
    partition(sim, list(n[:4]), [n[4]])

    def only_first(sender: str, to: str, message: Message) -> bool:
        """Pass only the first entries, all of the older term, to the third member, and none to the fourth."""
        if not isinstance(message, Append) or not message.entries:
            return True
        return to != n[3] and (to != n[2] or message.entries[-1].index <= MAX_APPEND_ENTRIES)

    sim.filter = only_first
    for name in n:
        sim.start(name)
    sim.run(4.0)
    for name in n[:2]:
        sim.crash(name)
    sim.cuts.clear()
    sim.run(8.0)


def single_change(seed: int, rules: Rules) -> None:
    sim, a, others = with_leader(seed, rules, 3, 2)
    voters = [name for name in others if name in a.core.voters]
    learners = [name for name in others if name not in voters]
    partition(sim, [a.name, *learners], voters)
    for name in learners:
        with suppress(VotersError):
            a.guarded(lambda name=name: a.core.change_voters(a.clock(), add=name))  # type: ignore[misc]
    sim.run(4.0)
    sim.processes[voters[0]].write(b"y")
    sim.run(3.0)


def old_disk(seed: int, rules: Rules) -> None:
    sim, a, (b, c) = with_leader(seed, rules)
    partition(sim, [a.name, b], [c])
    copy = sim.disks[b].copy()
    a.write(b"x")
    assert sim.within(2.0, lambda: sim.processes[b].counter.count == 1)
    sim.crash(b)
    sim.disks[b] = copy
    partition(sim, [a.name], [b, c])
    sim.start(b)
    sim.run(6.0)


def old_epoch(seed: int, rules: Rules) -> None:
    """An acknowledgement that its follower has lost must not form a majority with later ones of others."""
    sim, a, (x, d, b, e) = with_leader(seed, rules, 5)
    sim.cuts = {(a.name, name) for name in (b, d, e)}
    copy = sim.disks[x].copy()
    a.write(b"x")
    assert sim.within(0.5, lambda: a.core.replication.peers[x].match == a.core.log.last)
    sim.crash(x)
    sim.disks[x] = copy
    sim.cuts |= {(a.name, x), (x, a.name)}
    sim.start(x)
    assert sim.within(1.0, lambda: sim.processes[x].core.proof.may_vote)
    sim.cuts.discard((a.name, d))
    sim.run(0.4)
    for name in (a.name, d):
        sim.crash(name)
    sim.run(8.0)


def dedup(seed: int, rules: Rules) -> None:
    sim, _, (b, _) = with_leader(seed, rules)
    sim.double = 1.0
    for at in range(5):
        sim.processes[b].write(bytes([at]))
        sim.run(0.3)
    sim.run(3.0)


def read_round(seed: int, rules: Rules) -> None:
    sim, a, others = with_leader(seed, rules)
    partition(sim, [a.name], others)
    assert sim.within(10.0, lambda: any(sim.processes[name].core.has_committed_in_term for name in others))
    for name in others:
        sim.processes[name].write(name.encode())
    sim.run(1.0)
    a.read()
    sim.run(1.0)
    sim.check_history()


def log_up_to_date(seed: int, rules: Rules) -> None:
    sim, a, (b, c) = with_leader(seed, rules)
    partition(sim, [a.name, b], [c])
    a.write(b"x")
    assert sim.within(2.0, lambda: a.counter.count == 1)
    sim.crash(a.name)
    sim.cuts.clear()
    sim.run(6.0)


# For each guard its scenario, and other guards that also protect it and so are disabled in both runs.
SCENARIOS: dict[Guard, tuple[Scenario, set[Guard]]] = {
    Guard.PRE_VOTE: (pre_vote, set()),
    Guard.CHECK_QUORUM: (check_quorum, set()),
    Guard.SYNC_FIRST: (sync_first, set()),
    Guard.LEASE_END: (lease_end, {Guard.CHECK_QUORUM}),
    Guard.LEASE_GAP: (lease_gap, set()),
    Guard.LEASE_PROMISE: (lease_promise, set()),
    Guard.OWN_TERM: (own_term, {Guard.OLD_DISK}),
    Guard.SINGLE_CHANGE: (single_change, set()),
    Guard.OLD_DISK: (old_disk, set()),
    Guard.OLD_EPOCH: (old_epoch, set()),
    Guard.DEDUP: (dedup, set()),
    Guard.READ_ROUND: (read_round, {Guard.CHECK_QUORUM}),
    Guard.LOG_UP_TO_DATE: (log_up_to_date, set()),
}


def find_violations(scenario: Scenario, without: set[Guard]) -> list[str]:
    violations = []
    for seed in SEEDS:
        try:
            scenario(seed, Rules(tick_s=0.1, strict=True, without=frozenset(without)))
        except Violation as violation:
            violations.append(str(violation))
    return violations


@pytest.mark.parametrize("guard", Guard)
def test_scenario_fails_without_the_guard_and_holds_with_it(guard: Guard) -> None:
    scenario, disabled = SCENARIOS[guard]
    assert not find_violations(scenario, disabled)
    assert find_violations(scenario, disabled | {guard})


def test_diverged_follower_is_detected() -> None:
    sim, a, (b, _) = with_leader(1, Rules(tick_s=0.1))
    sim.processes[b].core.replicated.digest = bytes(16)
    with pytest.raises(Violation, match="applied something else"):
        a.write(b"x")
        sim.run(2.0)


def test_committed_entries_are_never_cut() -> None:
    sim, a, (b, _) = with_leader(1, Rules(tick_s=0.1))
    follower = sim.processes[b].core
    other = Entry(1, a.core.term + 1, EntryKind.COMMAND, b"\1cz")
    with pytest.raises(BrokenInvariantError, match="would be cut"):
        append = Append(a.core.term + 1, 1, 0, 0, 0, Mark(1, "x", 0), (other,))
        follower.receive(follower.context.now_s, a.name, append)
    assert follower.log.last == a.core.log.last


def test_older_disk_copy_of_a_permanent_leader_is_detected() -> None:
    sim, a, _ = with_leader(1, Rules(tick_s=0.1))
    copy = sim.disks[a.name].copy()
    for n in range(5):
        a.write(bytes([n]))
        sim.run(1.0)
    assert a.core.role is Role.LEADER
    sim.crash(a.name)
    sim.disks[a.name] = copy
    sim.start(a.name)
    assert sim.within(20.0, lambda: sim.processes[a.name].core.memory is MemoryStatus.PROVEN)
    readmitted = [event.name for _, _, event in sim.events if isinstance(event, Readmitted)]
    assert a.name in readmitted  # otherwise the older copy passed as up to date
