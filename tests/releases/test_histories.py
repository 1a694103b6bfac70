"""Whole histories in simulation, and tests of the rules of node, marker and reports."""

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


def test_histories_cover_the_cases_that_they_are_to_try() -> None:
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
    assert not node.decide(3.3, busy)  # open requests finish first
    idle = Facts(fence=7, for_s=10.0, go_applied=True, registered=True, wanted_version="2", version="1")
    assert [do.act for do in node.decide(9.0, idle)] == [Act.READ]
    node.settled(9.1)
    assert [(do.act, do.version) for do in node.decide(9.2, idle)] == [(Act.CHANGE, "2")]
    assert not node.decide(9.3, idle)  # the change is started once


def test_a_process_that_starts_drained_reports_that_it_is_out_and_repeats_a_lost_go() -> None:
    gone = Facts(
        fence=7, for_s=10.0, may_go=True, go_applied=True, registered=True, wanted_version="2", version="1"
    )
    node = Node(1.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    assert [(do.act, do.fence) for do in node.decide(0.1, gone)] == [(Act.OUT, 7)]
    assert [do.act for do in node.decide(0.2, gone)] == [Act.CHANGE]
    # A process that is to return at its first decision reports that it is out, too. The process that drained
    # the node reports it with DRAIN, and not again.
    back = Facts(fence=7, for_s=10.0, go_applied=True, registered=True, to_return=True)
    node = Node(1.0, 5.0, 0.0, drained=True)
    assert [do.act for do in node.decide(0.1, back)] == [Act.OUT] and not node.decide(0.2, back)
    first = Node(1.0, 5.0, 0.0)
    first.settled(0.0)
    assert [do.act for do in first.decide(0.1, gone)] == [Act.DRAIN]
    assert Act.OUT not in {do.act for do in first.decide(0.2, gone)}
    # After a kill between its marker and its `go`, a node is out, and changes nothing before its `go` is in
    # the log.
    node = Node(1.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    lost = Facts(fence=7, for_s=10.0, may_go=True, registered=True, wanted_version="2", version="1")
    assert [(do.act, do.fence) for do in node.decide(0.1, lost)] == [(Act.GO, 7)]
    assert [do.act for do in node.decide(0.2, gone)] == [Act.OUT]
    # If its right to go has ended meanwhile, it only comes back.
    ended = Facts(fence=7, for_s=10.0, registered=True, to_return=True)
    node = Node(0.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    assert [do.act for do in node.decide(0.1, ended)] == [Act.SERVE]


def test_a_drained_node_leaves_only_once_front_ends_send_it_nothing_more() -> None:
    node = Node(1.0, 9.0, 0.0, drained=True, quiet_s=1.0)
    node.settled(0.0)
    for now, taken, open_, expected in (
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
        assert [do.act for do in node.decide(now, facts)] == expected, now


def test_a_node_serves_again_only_after_it_was_ready_without_a_break() -> None:
    node = Node(2.0, 5.0, 0.0, drained=True)
    node.settled(0.0)
    returning = Facts(fence=7, registered=True, wanted_version="2", version="2")
    assert not node.decide(0.5, returning) and not node.decide(1.4, returning)
    assert not node.decide(
        1.9, Facts(fence=7, registered=True, wanted_version="2", version="2", connected=False)
    )
    assert (
        not node.decide(2.6, returning)
        and not node.decide(3.5, returning)
        and not node.decide(4.4, returning)
    )
    assert [do.act for do in node.decide(4.8, returning)] == [Act.SERVE] and not node.drained
    assert [do.act for do in node.decide(4.9, returning)] == [Act.BACK]
    # Without the wanted version it stays drained.
    assert not Node(0.0, 5.0, 0.0, drained=True).decide(0.1, Facts(fence=7, registered=True))


def test_a_fleet_is_whole_once_it_is_described_has_a_driver_and_all_nodes_are_proved() -> None:
    node = {"proved": True, "down": False}
    view: dict[str, Any] = {"driver": "a", "described": True, "nodes": [node, node]}
    assert whole(view)
    for worse in (
        {"described": False},
        {"driver": ""},
        {"nodes": [node, {**node, "proved": False}]},
        {"nodes": [node, {**node, "down": True}]},
    ):
        assert not whole({**view, **worse}), worse


def test_a_late_removal_leaves_the_marker_of_the_next_permit(tmp_path: Path) -> None:
    class SlowFiles(Files):
        held, looks = threading.Event(), 0

        def names(self) -> list[str]:
            self.looks += 1
            if self.looks == 1:
                self.held.wait(10.0)  # a thread that gets no CPU time
            return super().names()

    async def remove_and_write() -> None:
        files = SlowFiles(tmp_path)
        files.write(OUT, 0, b"5")
        marker = Marker(files)
        late = asyncio.ensure_future(marker.back())
        await asyncio.sleep(0)
        go = asyncio.ensure_future(marker.out(7))
        await asyncio.wait([go], timeout=0.5)
        files.held.set()
        await asyncio.gather(late, go)
        assert OUT in files.names() and files.read(OUT) == b"7"

    asyncio.run(remove_and_write())


def test_a_node_is_down_if_it_is_silent_or_reports_without_a_permit_that_it_does_not_serve() -> None:
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
    assert (
        heard.outage(8.0, 5, 3) == "no quorum for 7 s" and heard.outage(8.0, 6, 3) == ""
    )  # 3 of 6 are not over half
    assert heard.outage(8.0, 5, 4) == ""  # the release has moved since the reported outages
    assert decode(b"") is None and decode(b"\x92\x02\xa1a") is None


def test_a_server_is_proved_once_over_half_of_its_users_reach_it() -> None:
    heard = Heard(2.0)

    def report(at: float, name: str, *servers: Told) -> None:
        for word in (decode(encode(Word("ready", "in", "1", 0, Figures()))), decode(encode_servers(servers))):
            assert word is not None
            heard.take(at, name, 1, word)

    report(0.0, "long ago", ("h:1", 7, Reach.YES))
    report(5.0, "a", ("h:2", 8, Reach.YES), ("h:1", 7, Reach.YES))
    report(5.0, "b", ("h:1", 7, Reach.NO))
    report(5.0, "c", ("h:1", 7, Reach.UNUSED))
    report(0.0, "d", ("h:1", 7, Reach.YES))
    report(5.0, "d", ("h:1", 6, Reach.YES))  # a report on an earlier permit
    assert heard.reached(6.0, "h:1", 7) == (1, 3) and not proved(1, 3)
    report(6.0, "b", ("h:1", 7, Reach.YES))
    assert heard.reached(6.0, "h:1", 7) == (2, 3) and proved(2, 3)
    assert not proved(1, 2) and not proved(0, 0) and proved(1, 1)
