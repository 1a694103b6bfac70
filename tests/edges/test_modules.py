"""Tests of the pure modules: shares, hysteresis, copies, conflicting writes, marks, pace."""

import itertools
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest
import ujson

from beechrock.edges import build
from beechrock.edges.actions import Run, Send
from beechrock.edges.causal import (
    NOTHING,
    Dot,
    Seen,
)
from beechrock.edges.copies import Copies
from beechrock.edges.differ import Differ, Differing, Standing
from beechrock.edges.errors import EdgeFullError
from beechrock.edges.link import Link, LinkState
from beechrock.edges.marks import Marks, Verdict
from beechrock.edges.member import Member
from beechrock.edges.part import EdgesPart, Event
from beechrock.edges.queue import CUT_AFTER_S, Queue
from beechrock.edges.replay import Pace, Picker
from beechrock.edges.room import Room
from beechrock.edges.upstream import SNAPSHOT, Came, Upstream, spare_of
from beechrock.edges.words import (
    Ends,
    Entry,
    Names,
    Offer,
    Probe,
    ProbeAck,
    Said,
    State,
    Straight,
    StraightDone,
    WhenGone,
)
from beechrock.inventory import model, reader
from beechrock.lab.edges_log import MemLog
from beechrock.lab.edges_play import INVENTORY, TERMS

OFF = frozenset[str]


@pytest.mark.parametrize("without", [OFF(), OFF({"shares"})])
def test_a_team_always_has_its_share(without: OFF) -> None:
    queue = Queue(1000, without)
    shares = {"loud": 0.2, "quiet": 0.5}
    n = 0
    with pytest.raises(EdgeFullError) as full:
        for n in range(1, 20):
            queue.admit("loud", 100, shares)
            queue.add(Dot("w", n), "loud", 100, n)
    assert full.value.after_s == CUT_AFTER_S
    if without:
        with pytest.raises(EdgeFullError):  # Without shares the loud team used all the room
            queue.admit("quiet", 100, shares)
    else:
        assert queue.bytes_held == 500
        for n in range(1, 6):
            queue.admit("quiet", 100, shares)
            queue.add(Dot("v", n), "quiet", 100, 50 + n)


def _flapping(without: OFF) -> int:
    """Return the number of replays begun in a minute while the link is up and down for a second each."""
    link, begun, was_replaying = Link(0.2, 0.0, without=without), 0, False
    for step in range(600):
        now = step * 0.1
        if step % 20 < 10 and step % 2 == 0:
            link.heard(now, 5)
        link.tick(now, 5)
        begun, was_replaying = begun + (link.replays and not was_replaying), link.replays
    return begun


def test_a_cut_that_flaps_each_second_begins_few_replays() -> None:
    assert _flapping(OFF()) <= 4
    assert _flapping(OFF({"hysteresis"})) >= 20


def test_a_link_comes_back_and_ends_its_replay() -> None:
    link = Link(0.2, 0.0)
    assert not link.straight
    link.heard(0.1, 3)
    assert link.state is LinkState.PROBING and not link.straight
    link.heard(0.3, 3)
    assert link.replays
    link.tick(0.35, 0)
    assert link.state is LinkState.CONNECTED
    link.tick(0.9, 0)
    assert link.state is LinkState.DOUBTFUL and not link.straight
    link.tick(1.4, 0)
    assert link.state is LinkState.CUT


def test_copies_count_distinct_members_of_trusted_folders() -> None:
    copies = Copies("a", ("a", "b", "c"), 3, 5.0)
    with pytest.raises(EdgeFullError):
        copies.check_able(0.0)
    for name in ("b", "c"):
        copies.heard(name, 0.0)
    copies.check_able(1.0)
    dot = Dot("e/a/1", 1)
    assert not copies.begin(dot, b"", 9.0, 1.0)
    assert not copies.copied("b", dot) and not copies.copied("b", dot) and not copies.copied("x", dot)
    copies.distrust("c", older=True)  # An older copy of its folder may lack writes that it acknowledged
    assert not copies.copied("c", dot)
    copies.distrust("c", older=False)
    assert copies.copied("c", dot) and not copies.copied("c", dot)
    # The contract requires 2 copies.
    assert not copies.begin(dot, b"", 9.0, 1.0, 2) and copies.copied("b", dot)
    open_ = Copies("a", ("a", "b"), 2, 5.0, OFF({"folder", "able"}))
    open_.check_able(0.0)
    open_.distrust("b", older=True)
    open_.begin(dot, b"", 9.0, 0.0)
    assert open_.copied("b", dot)  # Without the two guards the untrusted copy counts


def test_the_last_of_concurrent_writes_is_the_same_in_every_order_of_arrival() -> None:
    writes = [Standing(Dot(w, 1), Seen(height=h)) for w, h in (("a", 1), ("b", 3), ("c", 3), ("d", 2))]
    for order in itertools.permutations(writes):
        differ, holds = Differ(), None
        for write in order:
            if differ.superseded_by(Differing.LAST, 7, write) is None:
                differ.ran(Differing.LAST, 7, write)
                holds = write.dot
        assert holds == Dot("c", 1)


def test_the_first_write_wins_until_a_write_that_knew_it() -> None:
    differ, first = Differ(), Standing(Dot("a", 1), NOTHING)
    differ.ran(Differing.FIRST, 7, first)
    blind = Standing(Dot("b", 1), NOTHING)
    knew = Standing(Dot("b", 2), Seen(frozenset(), {}, {"a": 1}, 2))
    assert differ.superseded_by(Differing.FIRST, 7, blind) == first.dot
    assert differ.superseded_by(Differing.FIRST, 7, knew) is None
    assert Differ.of_plain(differ.plain()) == differ


def _entry(
    n: int, nonce: str = "", seen: Seen = NOTHING, when: WhenGone = WhenGone.HOLD, at: float = 0.0
) -> Entry:
    return Entry(Dot("e/m/1", n), seen, "t", "s", nonce or f"k{n}", b"", b"d", "", when, 100.0, at)


@pytest.mark.parametrize("without", [OFF(), OFF({"mark"})])
def test_a_mark_identifies_an_ended_write_after_its_key_expired(without: OFF) -> None:
    marks = Marks(without=without)
    records = [marks.intend(_entry(1), 0.0), marks.end(_entry(1), State.APPLIED, ran=True)]
    marks.keys.clear()  # The key has expired
    again = marks.judge(_entry(1), False, 50.0)
    assert (again.verdict is Verdict.END and again.already_ended) is not bool(without)
    other = Marks(without=without)
    for record in records:
        other.redo(record)
    assert other.ended.plain() == marks.ended.plain()
    third = Marks()
    third.restore(other.plain())
    assert third.plain() == other.plain()


def test_dependents_of_a_write_that_was_not_applied_follow_their_contract() -> None:
    marks = Marks()
    marks.end(_entry(1), State.REFUSED, "no")
    seen = Seen(frozenset({Dot("e/m/1", 1)}))
    assert marks.judge(_entry(2, seen=seen), False, 0.0).said is Said.GONE
    assert marks.judge(_entry(2, seen=seen), True, 0.0).verdict is Verdict.RUN
    assert marks.judge(_entry(2, seen=seen, when=WhenGone.SKIP), False, 0.0).verdict is Verdict.RUN
    cascaded = marks.judge(_entry(2, seen=seen, when=WhenGone.CASCADE), False, 0.0)
    assert (cascaded.verdict, cascaded.state) == (Verdict.END, State.DISCARDED)
    assert marks.judge(_entry(3, at=-200.0), False, 0.0).state is State.EXPIRED


def test_a_key_with_another_body_is_refused_and_leaves_the_first_as_it_is() -> None:
    marks = Marks()
    marks.intend(_entry(1, "k"), 0.0)
    other = Entry(Dot("f/m/1", 1), NOTHING, "t", "s", "k", b"", b"other")
    judged = marks.judge(other, False, 0.0)
    assert (judged.verdict, judged.state) == (Verdict.END, State.REFUSED)
    marks.end(other, judged.state, judged.reason)
    assert marks.judge(_entry(2, "k"), False, 0.0).said is Said.BUSY


def test_pace_is_bounded_by_credit_and_halves() -> None:
    pace = Pace(credit=6)
    pace.begin("east", 0.0, 1.0)
    assert pace.limit(0.0) == 0 and pace.limit(1.0) == 1  # A replay begins late, with a window of 1
    starts = set()
    for name in ("east", "west", "north"):
        other = Pace()
        other.begin(name, 0.0)
        starts.add(round(other.until_s, 2))
    assert len(starts) == 3
    for _ in range(20):
        pace.on_end()
    assert pace.limit(2.0) == 6
    pace.back_off(2.0, 0.5)
    assert pace.limit(2.1) == 0 and pace.window == 10.5
    assert sum(pace.sent(again=True) for _ in range(100)) == 16
    assert Pace(credit=6, window=100.0, without=OFF({"credit"})).limit(0.0) > 6


def test_teams_take_turns_and_a_parked_write_delays_no_other() -> None:
    queue = Queue(1 << 20)
    for n in range(1, 7):
        queue.add(Dot("w", n), "a" if n < 5 else "b", 10, n)
    picker, taken = Picker(queue), []
    while (dot := picker.next(0.0)) is not None:
        taken.append(dot.n)
        if dot.n == 1:
            picker.park(Entry(dot, NOTHING, "a", "s", "k", b"", b""), Said.HELD, (Dot("w", 6),), 0.0)
        else:
            picker.start_flight(Entry(dot, NOTHING, "a", "s", "k", b"", b""), 9.0)
    assert taken == [1, 5, 2, 6, 3, 4]
    queue.end(Dot("w", 6), State.APPLIED)
    picker.remove_ended(Dot("w", 6))
    assert picker.next(0.1) == Dot("w", 1)


def test_an_intent_without_an_end_never_runs_again_by_itself() -> None:
    before = Marks()
    marks = Marks()
    marks.redo(before.intend(_entry(1), 0.0))
    marks.restarted()
    assert marks.judge(_entry(1), False, 1.0).said is Said.DOUBT
    assert marks.judge(_entry(1), True, 1.0).verdict is Verdict.RUN  # An operator released it
    marks.settle(Dot("e/m/1", 1), State.DISCARDED)
    assert marks.judge(_entry(1), True, 1.0).state is State.DISCARDED and not marks.doubts


def test_late_sends_of_an_earlier_holder_run_nothing() -> None:
    up = Upstream(MemLog(), Marks(), 8)
    ran = up.hear(0.0, 0.0, "n", Offer("e", 9, (_entry(1).pack(),), (False,)))
    assert any(isinstance(action, Run) for action in ran)
    late = up.hear(0.0, 0.0, "m", Offer("e", 5, (_entry(2).pack(),), (False,)))
    assert not any(isinstance(action, Run) for action in late)
    again = Upstream(MemLog(), Marks(), 8)  # The fence is also known after a restart
    again.restore(None, up.log.kept)  # type: ignore[attr-defined]
    assert again.marks.fences == {"e": 9}


def test_a_late_stale_answer_to_an_earlier_fence_does_not_end_the_newer_one() -> None:
    one = build.edge(
        Names("e", "m", "1", ("m",), "up"),
        MemLog(),
        0.0,
        probe_s=0.5,
        copies=1,
        most_bytes=1 << 20,
        shares={},
    )
    one.duty(9, 0.0)
    late = Ends("e", (("e/m/1", 1, Said.STALE.value, 0, "", 0.0, []),), 0, 5)
    one.hear(0.0, 0.0, "up", late)
    assert one.holder.fence == 9
    one.hear(0.0, 0.0, "up", Ends("e", late.ends, 0, 9))
    one.duty(9, 0.0)
    assert one.holder.fence is None  # The stale fence is not used again, though the duty still gives it
    one.duty(11, 0.0)
    assert one.holder.fence == 11


def test_a_late_copy_of_a_live_write_that_was_turned_away_does_not_run() -> None:
    up = Upstream(MemLog(), Marks(), 8)
    word = Straight(4, "e", _entry(0, "k").pack())
    (run,) = up.hear(0.0, 0.0, "m", word)
    assert isinstance(run, Run)
    (done,) = up.ran(0.1, run.key, Came.NOT_RUN, after_s=1.0)
    assert isinstance(done, Send) and isinstance(done.word, StraightDone) and done.word.verdict == "refused"
    assert up.hear(2.0, 2.0, "m", word) == []
    assert up.hear(2.0, 2.0, "m", Straight(5, "e", word.entry)) != []  # A retry by the caller


def test_a_life_is_closed_once_no_write_of_it_can_run() -> None:
    up = Upstream(MemLog(), Marks(), 4)
    names = [f"e/m/{n}" for n in range(3)]
    for writer in names:
        for n in (1, 2):
            up.marks.end(replace(_entry(n), dot=Dot(writer, n)), State.APPLIED)
    up.marks.intend(replace(_entry(3), dot=Dot(names[1], 3)), 0.0)
    up.marks.restarted()
    up.marks.longest_s = 10.0

    def probe(now: float, writer: str = names[2], at: int = 0) -> ProbeAck:
        word = up.hear(now, now, "m", Probe(1, "e", 0, writer, at))[0]
        assert isinstance(word, Send) and isinstance(word.word, ProbeAck)
        return word.word

    probe(0.0)
    assert probe(70.0).closed == ()  # Twice keep_s and the slack have not passed since the life was over
    acked = probe(110.0)
    # Neither the newest life nor the one with a doubt is closed.
    assert acked.closed == (names[0],) and acked.closed_at == 1
    assert set(acked.ended) == set(names[1:]) and probe(110.0, at=1).closed == ()
    assert not Seen(frozenset({Dot(names[0], 2)})).missing(up.ended)
    again = Upstream(MemLog(), Marks(), 4)
    again.restore(SNAPSHOT + up.marks.plain(), [])
    assert again.marks.plain() == up.marks.plain() and again.marks.closed_since(0) == ((names[0],), 1)
    late = up.marks.judge(replace(_entry(4), dot=Dot(names[0], 3)), False, 200.0)
    assert late.verdict is Verdict.END and late.state is State.EXPIRED
    queue = Queue(1000)
    queue.add(Dot(names[0], 1), "t", 10, 1)
    queue.end(Dot(names[0], 1), State.APPLIED)
    queue.forget(names[:1])
    queue.add(Dot(names[2], 1), "t", 10, 2)
    assert queue.take("t") == Dot(names[2], 1) and queue.take("t") is None and len(queue.lanes_by_number) == 1


def test_replays_slow_down_when_live_requests_are_refused_and_never_stall() -> None:
    room, refused, now, found = Room(), 0, 0.0, []
    for n in range(400):  # 8 of 20 runs are live: above 10 replays live requests are refused
        now += 0.05
        refused += bool(n and found[-1] > 10)
        found.append(room.spare(now, 20.0, 8, 5, refused))
    assert 0 < refused < 5 and 8 <= sum(found[100:]) / 300 <= 11
    assert all(room.spare(now + n, 20.0, 30, 5, refused + n) == 1 for n in range(1, 9))
    assert max(room.spare(now + n, 20.0, 0, 0, refused) for n in range(9, 900)) == spare_of(20.0, 0)


def test_an_order_for_a_write_that_ends_meanwhile_does_not_stop_the_part() -> None:
    member, posted, errors = Member.__new__(Member), list[Event](), list[object]()
    part = SimpleNamespace(
        post=posted.append, counters=SimpleNamespace(record_error=lambda *a: errors.append(a))
    )
    member.part = cast(EdgesPart, part)
    member.edge = build.edge(
        Names("e", "m", "1", ("m",), "up"),
        MemLog(),
        0.0,
        probe_s=0.5,
        copies=1,
        most_bytes=1 << 20,
        shares={},
    )
    member.edge._add_to_queue(_entry(1), 10, 1)
    assert member.order("e/m/1:1", "discard")["order"] == "discard"
    member.edge.end(Dot("e/m/1", 1), State.APPLIED, "")
    assert posted[0](0.0, 0.0) == [] and len(errors) == 1


def test_an_inventory_from_the_reader_keeps_the_contracts_terms_for_a_cut(tmp_path: Path) -> None:
    root = tmp_path / "inventory.yaml"
    root.write_text(INVENTORY.replace("TERMS", TERMS) % (1, 1, 2))
    plain = model.load(root)
    loaded = reader._decoded(ujson.loads(ujson.dumps(reader._encoded(plain))))
    assert plain.when_cut and loaded.when_cut == plain.when_cut and loaded.differing == plain.differing
