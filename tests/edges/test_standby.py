"""Tests of marks replicated on three simulated nodes: each guard of standby and lead by itself."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from beechrock.edges import standby as module
from beechrock.edges.actions import Run, Send
from beechrock.edges.causal import NOTHING, Dot
from beechrock.edges.errors import EdgeInvariantError
from beechrock.edges.kept import MAX_IN_FLIGHT, Keep, Kept, Stand
from beechrock.edges.lead import MAX_WAITING, Lead, State
from beechrock.edges.marks import Marks
from beechrock.edges.part import EdgesPart
from beechrock.edges.runs import Runs
from beechrock.edges.standby import WHOLE
from beechrock.edges.upstream import Upstream
from beechrock.edges.words import Entry, Straight
from beechrock.edges.words import State as State_
from beechrock.lab.edges_ups import NAMED, SimUps, UpNode
from beechrock.store.codec import Mark
from beechrock.store.witness import Verdict, compare


def _sim(**options: Any) -> tuple[SimUps, list[str]]:
    """Return three settled nodes without faults, and their names with the holder's first."""
    sim = SimUps(1, edges=1, members=1, copies=1, faults=False, **options)
    sim.mend()
    assert sim.settled() and sim.able
    sim.auto = False
    return sim, [sim.holder, *(name for name in NAMED if name != sim.holder)]


def _lead(sim: SimUps, name: str) -> Lead:
    lead = sim.ups[name].standby.lead
    assert lead is not None
    return lead


def _cut(sim: SimUps, name: str) -> None:
    sim.cut |= {pair for other in NAMED if other != name for pair in ((name, other), (other, name))}


def _write(sim: SimUps, nonce: str, number: int = 1) -> None:
    """Send a live write of the edge to the holder."""
    entry = Entry(Dot("e0/e0m0/x", 0), NOTHING, "t0", "svc", nonce, b"x", b"d")
    node: UpNode = sim.ups[sim.holder]
    sim.history.asked[nonce] = 0
    sim.turn_of(
        node, _lead(sim, sim.holder).edge(sim.now, sim.now, "e0m0", Straight(number, "e0", entry.pack()))
    )


def _steps(sim: SimUps, count: int) -> None:
    for _ in range(count):
        sim.step()


def _same(sim: SimUps, one: str, other: str) -> bool:
    first, second = sim.ups[one].log, sim.ups[other].log
    return first.last == second.last and all(
        first.entry(n) == second.entry(n) for n in range(max(first.first, second.first), first.last + 1)
    )


def test_nothing_runs_before_a_majority_holds_its_intent() -> None:
    sim, (first, *_) = _sim()
    _cut(sim, first)
    _write(sim, "alone")
    _steps(sim, 10)
    assert not sim.runs and sim.history.effects == []
    sim.cut.clear()
    _write(sim, "with the others")
    _steps(sim, 40)
    assert [nonce for nonce, _ in sim.history.effects][-1:] == ["with the others"]


def test_a_standby_refuses_an_earlier_fence_also_after_a_restart() -> None:
    sim, (first, second, third) = _sim()
    sim.grant(second)
    sim.mend()
    node = sim.ups[third]
    assert node.standby.fence == sim.fence
    last = node.log.last
    late = Keep(sim.fence - 1, last, node.standby.reign_at(last), (b"\x90",), 0)
    for _ in range(2):
        sent = node.standby.hear(sim.now, first, late)
        assert [cast(Send, action).word for action in sent] == [
            Kept(sim.fence - 1, 0, False, highest=sim.fence)
        ]
        assert node.log.last == last
        node.kill()
        node.start()


def test_an_earlier_holders_tail_is_cut() -> None:
    sim, (first, second, third) = _sim()
    _cut(sim, first)
    _write(sim, "alone")
    old = sim.ups[first].log.entry(sim.ups[first].log.last)
    sim.grant(second)
    _steps(sim, 40)
    assert sim.able
    _write(sim, "next")
    _steps(sim, 20)
    sim.mend()
    assert _same(sim, first, second) and _same(sim, second, third)
    assert old not in [sim.ups[first].log.entry(n) for n in range(1, sim.ups[first].log.last + 1)]


def test_records_count_as_held_only_with_one_of_the_current_reign() -> None:
    sim, (_, second, _) = _sim()
    sim.grant(second)
    sim.mend()
    lead = _lead(sim, second)
    before, lead.held = lead.held, 0
    for peer in lead.peers.values():
        peer.match = lead.start - 1  # A later holder may cut records of an earlier reign
    lead.release()
    assert lead.held == 0 < before
    for peer in lead.peers.values():
        peer.match = lead.start
    lead.release()
    assert lead.held == lead.start


def test_a_lost_disk_does_not_count_for_the_records_it_held() -> None:
    sim, (first, second, third) = _sim()
    _cut(sim, third)
    _write(sim, "ran")
    _steps(sim, 20)
    assert [nonce for nonce, _ in sim.history.effects] == ["ran"]
    sim.ups[second].kill(disk=True)
    sim.ups[second].start()
    sim.cut.clear()
    _cut(sim, first)
    sim.grant(third)
    _steps(sim, 30)
    assert _lead(sim, third).state is State.ASKING
    sim.cut.clear()
    _steps(sim, 40)
    assert sim.able and sim.ups[second].standby.whole and _same(sim, second, third)


def test_an_older_copy_does_not_count_for_the_records_it_held() -> None:
    sim, (first, second, third) = _sim()
    copy = sim.ups[second].copy()
    _write(sim, "ran")
    _steps(sim, 20)
    sim.ups[second].kill()
    sim.ups[second].restore(copy)
    sim.ups[second].start()
    _cut(sim, first)
    sim.grant(third)
    _steps(sim, 30)
    lead = _lead(sim, third)
    assert lead.state is State.ASKING and lead.heard[second][1] is False
    sim.grant(second)  # Nor does the older copy count when its own node takes over
    _steps(sim, 30)
    assert _lead(sim, second).state is State.ASKING and _lead(sim, second).distrusted
    sim.cut.clear()
    _steps(sim, 60)
    sim.mend()
    assert sim.able and sim.settled()


def test_a_holder_whose_right_has_ended_starts_no_run() -> None:
    sim, _ = _sim()
    _write(sim, "late")
    sim.holder = ""
    _steps(sim, 4)
    assert not sim.runs and sim.history.effects == []
    done: list[Any] = []
    named = SimpleNamespace(may=lambda: False, report_not_run=done.append)
    runs = SimpleNamespace(run=lambda run: pytest.fail("it ran"))
    run = Run(1, Entry(Dot("e/m/1", 1), NOTHING, "t", "s", "k", b"", b""), False)
    EdgesPart._carry_out(cast(EdgesPart, SimpleNamespace(named=named, runs=runs, member=None)), run)
    assert done == [run]


def test_a_holder_whose_disk_is_full_does_not_lead_again_under_its_fence() -> None:
    sim, (first, second, _) = _sim()
    standby = sim.ups[first].standby
    standby.step_down()
    assert standby.take(sim.now, standby.fence, b"", forced=False) == [] and standby.lead is None
    standby.restore()
    sim.grant(second)
    sim.mend()
    assert sim.able and sim.settled() and _same(sim, first, second)


def test_a_holder_without_answers_from_peers_stops_accepting_and_sending() -> None:
    sim, (first, second, _) = _sim()
    lead, node = _lead(sim, first), sim.ups[first]
    _cut(sim, first)
    most_in_flight = 0
    for n in range(2 * MAX_WAITING):
        entry = Entry(Dot("e0/e0m0/x", 0), NOTHING, "t0", "svc", f"k{n}", b"x", b"d")
        word = Straight(n, "e0", entry.pack())
        # The peer was heard lately.
        node.standby.hear(sim.now, second, Kept(lead.fence, lead.start, True, whole=True))
        sim.turn_of(node, lead.edge(sim.now, sim.now, "e0m0", word))
        most_in_flight = max(most_in_flight, lead.peers[second].in_flight)
    assert len(lead.waiting) <= MAX_WAITING and most_in_flight <= MAX_IN_FLIGHT
    assert not lead.able(sim.now)
    _steps(sim, 30)
    peer = lead.peers[second]
    # No batch is sent until the peer answers.
    assert peer.unanswered > 1 and peer.in_flight == 0 and peer.match < lead.last


def test_a_node_far_behind_is_sent_the_snapshot_in_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    sim, (first, _, third) = _sim()
    monkeypatch.setattr(module, "MAX_BATCH_BYTES", 250)
    sim.ups[third].kill()
    for n in range(60):
        _write(sim, f"k{n}", n)
        _steps(sim, 10)
    assert sim.ups[first].log.first > sim.ups[third].log.last
    parts = len((sim.ups[first].log.snapshot() or (0, b""))[1]) // 250
    assert parts > 3
    sim.ups[third].start()
    _steps(sim, 100)
    sim.mend()
    assert _same(sim, first, third) and sim.ups[third].log.first > 1
    marks = Marks()
    marks.restore(sim.ups[third].standby.marks.plain())
    assert len(marks.keys) == 60 and marks.reign == sim.fence


def test_where_too_many_disks_are_lost_an_operator_is_asked() -> None:
    sim, (first, second, third) = _sim()
    group = sim.ups[first].standby.marks.group
    for name in (first, second):
        sim.ups[name].kill(disk=True)
    sim.ups[second].start()
    sim.grant(third)
    _steps(sim, 40)
    lead = _lead(sim, third)
    assert lead.state is State.ASKING
    lead.forced = True
    _steps(sim, 40)
    assert sim.able and lead.fresh
    assert sim.ups[third].standby.marks.group not in (b"", group)  # It tells the edges of the possible loss


def test_records_of_a_majority_are_never_cut_and_strangers_are_ignored() -> None:
    sim, (_, second, third) = _sim()
    node = sim.ups[second]
    assert node.standby.hear(sim.now, "stranger", Stand(sim.fence + 1)) == []
    assert node.standby.fence == sim.fence and node.standby.held > 0
    with pytest.raises(EdgeInvariantError):
        node.standby.hear(
            sim.now, third, Keep(sim.fence + 1, 0, 0, (Marks().reigns(sim.fence + 1, b"g", 0),), 0)
        )


def test_a_holder_that_hears_no_majority_accepts_nothing() -> None:
    sim, (first, *_) = _sim()
    _cut(sim, first)
    _steps(sim, 30)
    last = sim.ups[first].log.last
    _write(sim, "alone")
    assert sim.ups[first].log.last == last and not _lead(sim, first).able(sim.now)


def test_an_untrusted_folder_counts_only_once_it_holds_all_records_again() -> None:
    sim, (first, second, _) = _sim()
    lead, copy = _lead(sim, first), sim.ups[second].copy()
    _write(sim, "ran")
    _steps(sim, 20)
    peer = lead.peers[second]
    assert peer.counts and peer.match == lead.last
    copy[0].crash()  # Its store is opened again
    folder = copy[0].mark().to_bytes()
    lead.kept(sim.now, second, Kept(lead.fence, 1, True, whole=True, folder=folder))
    assert peer.untrusted and not peer.counts
    lead.kept(sim.now, second, Kept(lead.fence, lead.last, True, whole=True, folder=folder))
    assert peer.counts
    lead.kept(sim.now, second, Kept(lead.fence, 1, True, whole=False, folder=folder))  # Now as a new folder
    assert not peer.counts and not lead._fill_in(peer, Keep(lead.fence, 0, 0, (), 0)).whole
    lead.kept(sim.now, second, Kept(lead.fence, lead.last, True, whole=False, folder=folder))
    assert not peer.counts and lead._fill_in(peer, Keep(lead.fence, 0, 0, (), 0)).whole


def test_batches_without_an_answer_are_bounded_and_a_gap_is_filled_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sim, (first, second, _) = _sim()
    monkeypatch.setattr(module, "MAX_BATCH_BYTES", 10)
    lead = _lead(sim, first)
    for n in range(100):
        lead.append(Marks().fence("e0", n) or b"")
    assert len([a for a in lead.pump(sim.now) if cast(Send, a).to == second]) == MAX_IN_FLIGHT
    lacks = Kept(lead.fence, 0, False, sim.ups[second].standby.told(), whole=True)
    given = [lead.kept(sim.now, second, lacks) for _ in range(3)]
    assert [len(sent) for sent in given] == [1, 0, 0]


def test_a_snapshot_waits_until_a_majority_holds_all_of_it() -> None:
    sim, (first, *_) = _sim()
    lead, log = _lead(sim, first), sim.ups[first].log
    _cut(sim, first)
    _write(sim, "alone")
    lead.save_snapshot(lead.last, b"upstream 1\n" + sim.ups[first].standby.marks.plain())
    lead.release()
    assert log.first == 1  # The snapshot would hold records that another holder may cut
    sim.cut.clear()
    _steps(sim, 30)
    assert log.first > 1


def test_a_folder_is_whole_only_once_what_it_holds_is_synced() -> None:
    sim, (first, second, _) = _sim()
    for name in NAMED:
        sim.ups[name].kill(disk=True)
        sim.ups[name].start()
    standby, seen = sim.ups[second].standby, []
    accept = standby.fences.accept

    def spy(duty: str, fence: int) -> bool:
        seen.append((duty == WHOLE, standby.log.synced == standby.log.last))
        return accept(duty, fence)

    standby.fences.accept = spy  # type: ignore[method-assign]
    sim.grant(second)
    _steps(sim, 40)
    assert (True, True) in seen and (True, False) not in seen and standby.whole
    assert sim.able and first in _lead(sim, second).peers


def test_edges_detect_a_holder_with_fewer_records_than_a_majority_held() -> None:
    sim, (first, second, third) = _sim()
    known = Mark.from_bytes(_lead(sim, first).upstream.folder)  # type: ignore[union-attr]
    assert known.synced == _lead(sim, first).held > 0
    sim.grant(second)
    _steps(sim, 40)
    after = Mark.from_bytes(_lead(sim, second).upstream.folder)  # type: ignore[union-attr]
    assert compare(known, after) is Verdict.NEWER and compare(after, known) is Verdict.SAME
    marks = sim.ups[third].standby.marks
    short = Marks()
    short.redo(Marks().reigns(known.epoch, marks.group, 0))
    short.redo(Marks().reigns(sim.fence + 1, marks.group, known.synced - 1))
    assert compare(known, short.mark(1000)) is Verdict.OLDER


def test_an_end_not_reported_by_the_earlier_holder_is_reported_by_the_next() -> None:
    sim, (first, second, _) = _sim()
    lead, dot = _lead(sim, first), Dot("e0/e0m0/1", 7)
    assert lead.upstream is not None
    lead.append(lead.upstream.marks.settle(dot, State_.EXPIRED))
    sim.turn_of(sim.ups[first], [])
    sim.step()
    sim.ups[first].kill()
    assert dot not in sim.history.ends
    sim.grant(second)
    _steps(sim, 40)
    assert sim.able and sim.history.ends[dot][0] is State_.EXPIRED


def test_each_new_holder_learns_the_longest_keep_time_again() -> None:
    """Guards against closing a life too early, by the short keep_s of the few writes since the take-over."""
    runs = cast(Runs, SimpleNamespace(upstream=None, inventory="told to the one before"))
    upstream = Upstream(cast(Any, None), Marks())
    Runs.follow(runs, upstream)
    assert runs.inventory is None and runs.upstream is upstream
