"""Whole histories in simulation, and the stories of single guards of the node."""

import asyncio
import threading
from pathlib import Path
from typing import Any

import pytest

from beechrock.lab.releases_play import whole
from beechrock.lab.releases_sim import World, history
from beechrock.releases.judge import Figures
from beechrock.releases.marker import OUT, Marker
from beechrock.releases.node import Act, Facts, Node
from beechrock.releases.words import Heard, Reach, Told, Word, decode, encode, encode_servers, proved
from beechrock.store.files import Files


@pytest.mark.parametrize("first", range(0, 48, 8))
def test_no_history_lets_out_too_many_or_takes_a_step_twice_and_each_ends(first: int) -> None:
    for seed in range(first, first + 8):
        assert not history(seed).broken, seed


def test_histories_hold_what_they_are_to_try() -> None:
    worlds: list[World] = [history(seed) for seed in range(12)]
    assert sum(world.resumed for world in worlds) > 20
    assert sum(world.below.back for world in worlds) > 8
    assert sum(world.drains for world in worlds) > 20 and sum(world.refused for world in worlds) > 20
    audit = [row[1] for world in worlds for row in world.truth.permits.audit]
    for word in ("halted", "back", "start", "good"):
        assert any(word in what for what in audit), word


HELD = Facts(fence=7, for_s=10.0, may_go=True, registered=True, proved=True)


def test_a_holder_paused_past_its_permits_end_gives_it_back_and_does_not_go() -> None:
    node = Node(1.0, 5.0, 0.0)
    assert [do.act for do in node.decide(0.1, HELD)] == [Act.READ]
    node.settled(0.2)
    assert [do.act for do in node.decide(0.3, HELD)] == [Act.GO]
    gone = Facts(fence=7, for_s=10.0, may_go=True, go_applied=True, registered=True, proved=False)
    assert [do.act for do in node.decide(30.0, gone)] == [Act.UNUSED] and not node.drained


def test_after_a_pause_it_reads_the_log_before_it_goes_or_changes_its_version() -> None:
    node = Node(1.0, 5.0, 0.0)
    node.settled(0.0)
    gone = Facts(fence=7, for_s=10.0, may_go=True, go_applied=True, registered=True)
    assert [do.act for do in node.decide(3.0, gone)] == [Act.READ] and not node.drained
    node.settled(3.1)
    assert [do.act for do in node.decide(3.2, gone)] == [Act.DRAIN] and node.drained
    busy = Facts(
        fence=7, for_s=10.0, go_applied=True, registered=True, wanted_version="2", version="1", open=1
    )
    assert not node.decide(3.3, busy)  # what runs finishes
    idle = Facts(fence=7, for_s=10.0, go_applied=True, registered=True, wanted_version="2", version="1")
    assert [do.act for do in node.decide(9.0, idle)] == [Act.READ]
    node.settled(9.1)
    assert [(do.act, do.version) for do in node.decide(9.2, idle)] == [(Act.CHANGE, "2")]
    assert not node.decide(9.3, idle)  # told once


def test_a_life_that_comes_up_drained_says_that_it_is_out_and_asks_for_the_go_that_was_lost() -> None:
    gone = Facts(
        fence=7, for_s=10.0, may_go=True, go_applied=True, registered=True, wanted_version="2", version="1"
    )
    node = Node(1.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    assert [(do.act, do.fence) for do in node.decide(0.1, gone)] == [(Act.OUT, 7)]
    assert [do.act for do in node.decide(0.2, gone)] == [Act.CHANGE]
    # Told to come back at its first look, it says so too; the life that drained it has said it.
    back = Facts(fence=7, for_s=10.0, go_applied=True, registered=True, to_return=True)
    node = Node(1.0, 5.0, 0.0, drained=True)
    assert [do.act for do in node.decide(0.1, back)] == [Act.OUT] and not node.decide(0.2, back)
    first = Node(1.0, 5.0, 0.0)
    first.settled(0.0)
    assert [do.act for do in first.decide(0.1, gone)] == [Act.DRAIN]
    assert Act.OUT not in {do.act for do in first.decide(0.2, gone)}
    # Killed between its marker and its `go`: it is out, and changes nothing before the log knows.
    node = Node(1.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    lost = Facts(fence=7, for_s=10.0, may_go=True, registered=True, wanted_version="2", version="1")
    assert [(do.act, do.fence) for do in node.decide(0.1, lost)] == [(Act.GO, 7)]
    assert [do.act for do in node.decide(0.2, gone)] == [Act.OUT]
    # Its right to go has ended meanwhile: it only comes back.
    ended = Facts(fence=7, for_s=10.0, registered=True, to_return=True)
    node = Node(0.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    assert [do.act for do in node.decide(0.1, ended)] == [Act.SERVE]


def test_a_drained_node_leaves_only_once_front_ends_send_it_nothing_more() -> None:
    node = Node(1.0, 9.0, 0.0, drained=True, quiet_s=1.0)
    node.settled(0.0)
    for now, taken, open_, told in (
        (0.0, 5, 0, [Act.OUT]),
        (0.0, 5, 0, []),
        (0.9, 6, 0, []),
        (1.8, 6, 0, []),
        (1.85, 6, 1, []),
        (2.8, 6, 0, []),
        (2.9, 6, 0, [Act.CHANGE]),
    ):
        facts = Facts(
            fence=7,
            go_applied=True,
            registered=True,
            wanted_version="2",
            version="1",
            open=open_,
            taken=taken,
        )
        assert [do.act for do in node.decide(now, facts)] == told, now


def test_it_serves_again_only_after_it_was_good_without_a_break() -> None:
    node = Node(2.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    told = Facts(fence=7, registered=True, wanted_version="2", version="2")
    assert not node.decide(0.5, told) and not node.decide(1.4, told)
    assert not node.decide(
        1.9, Facts(fence=7, registered=True, wanted_version="2", version="2", connected=False)
    )
    assert not node.decide(2.6, told) and not node.decide(3.5, told) and not node.decide(4.4, told)
    assert [do.act for do in node.decide(4.8, told)] == [Act.SERVE] and not node.drained
    assert [do.act for do in node.decide(4.9, told)] == [Act.BACK]
    # Not its version: it stays where it is.
    assert not Node(0.0, 5.0, 0.0, drained=True).decide(0.1, Facts(fence=7, registered=True))


def test_a_fleet_is_whole_once_it_is_described_driven_and_all_have_proved_themselves() -> None:
    node = {"proved": True, "down": False}
    told: dict[str, Any] = {"driver": "a", "described": True, "nodes": [node, node]}
    assert whole(told)
    for worse in (
        {"described": False},
        {"driver": ""},
        {"nodes": [node, {**node, "proved": False}]},
        {"nodes": [node, {**node, "down": True}]},
    ):
        assert not whole({**told, **worse}), worse


def test_a_marker_that_is_taken_away_late_is_not_the_next_permits(tmp_path: Path) -> None:
    class Slow(Files):
        held, looks = threading.Event(), 0

        def names(self) -> list[str]:
            self.looks += 1
            if self.looks == 1:
                self.held.wait(10.0)  # a thread that gets no core
            return super().names()

    async def late_and_next() -> None:
        files = Slow(tmp_path)
        files.write(OUT, 0, b"5")
        marker = Marker(files)
        late = asyncio.ensure_future(marker.back())
        await asyncio.sleep(0)
        go = asyncio.ensure_future(marker.out(7))
        await asyncio.wait([go], timeout=0.5)
        files.held.set()
        await asyncio.gather(late, go)
        assert OUT in files.names() and files.read(OUT) == b"7"

    asyncio.run(late_and_next())


def test_who_is_silent_or_says_that_it_does_not_serve_is_down_unless_a_permit_covers_that() -> None:
    heard = Heard(2.0)
    for at, name, serving in (
        (0.0, "a", "ready"),
        (5.0, "b", "failed"),
        (5.0, "c", "failed"),
        (5.0, "d", "ready"),
    ):
        word = decode(encode(Word(serving, "in", "1", 0, Figures(1, 1), 7 if name == "d" else 0, ("x",))))
        assert word is not None
        heard.take(at, name, 1, word)
    assert heard.down(6.0, ["a", "b", "c", "d", "e"], {"c": 1}, ["f"]) == {"a", "b", "e", "f"}
    assert sorted(heard.recent_statuses(6.0)) == ["b", "c", "d"] and heard.driver(6.0) == ("d", ("x",))
    for name, outage in (("a", 9.0), ("b", 0.0), ("c", 8.0), ("d", 7.0)):
        heard.take(7.0, name, 1, Word("ready", "in", "1", 0, Figures(), outage=outage, moved=3))
    assert heard.outage(8.0, 5, 3) == "no quorum for 7 s" and heard.outage(8.0, 6, 3) == ""  # over half
    assert heard.outage(8.0, 5, 4) == ""  # it has moved since: words of before say nothing of that
    assert decode(b"") is None and decode(b"\x92\x02\xa1a") is None


def test_a_server_is_proved_by_over_half_of_those_that_use_it() -> None:
    heard = Heard(2.0)

    def says(at: float, name: str, *told: Told) -> None:
        for word in (decode(encode(Word("ready", "in", "1", 0, Figures()))), decode(encode_servers(told))):
            assert word is not None
            heard.take(at, name, 1, word)

    says(0.0, "long ago", ("h:1", 7, Reach.YES))
    says(5.0, "a", ("h:2", 8, Reach.YES), ("h:1", 7, Reach.YES))
    says(5.0, "b", ("h:1", 7, Reach.NO))
    says(5.0, "c", ("h:1", 7, Reach.UNUSED))
    says(0.0, "d", ("h:1", 7, Reach.YES))
    says(5.0, "d", ("h:1", 6, Reach.YES))  # of its permit before
    assert heard.reached(6.0, "h:1", 7) == (1, 3) and not proved(1, 3)
    says(6.0, "b", ("h:1", 7, Reach.YES))
    assert heard.reached(6.0, "h:1", 7) == (2, 3) and proved(2, 3)
    assert not proved(1, 2) and not proved(0, 0) and proved(1, 1)
