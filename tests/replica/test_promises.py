"""Peers remember the position of the disk that a message depends on; and messages in old and new formats."""

from functools import partial
from types import SimpleNamespace

import pytest

from beechrock.lab.replica_sim import World
from beechrock.replica import part
from beechrock.replica.catchup import Catchup, Stage
from beechrock.replica.heard import PeerState
from beechrock.replica.messages import READS, TRY_NEWEST_EVERY, Batch, Formats
from beechrock.replica.table import Table
from beechrock.store.codec import Mark
from beechrock.store.witness import advance_mark


@pytest.mark.parametrize("seed", range(4))
def test_each_peer_that_acknowledged_a_write_remembers_how_far_the_writers_disk_was(seed: int) -> None:
    """True at any moment, not only after the Hello that is sent each second."""
    world, seen = World(seed, 5), list[int]()
    world.run(8.0)
    node = world.nodes["n0"]
    assert node.core.catchup.stage is Stage.WHOLE

    def kept(wanted: int) -> None:  # Called when the caller of the write would get its answer.
        others = [other for name, other in world.nodes.items() if name != "n0"]
        seen.append(sum(other.disk.witness.known["n0"].synced >= wanted for other in others))

    for n in range(20):
        name = node.core.write("note", f"k{n}", b"x")
        node.core.when_kept(name, partial(kept, node.disk.store.progress.seq + 1))
        node.turn([])
        world.run(world.now + 0.13)
    assert len(seen) == 20 and min(seen) >= 2  # Two others and the node itself are a majority of five.


def test_messages_from_an_unknown_opening_of_a_store_are_ignored() -> None:
    world = World(1, 3)
    world.run(8.0)
    node, peer = world.nodes["n0"], world.nodes["n1"].core
    node.crash()
    node.begin()
    before = peer.table.seq
    name = node.core.write("note", "k", b"x")
    node.core.catchup.stage = Stage.WHOLE
    node.turn([])
    world.run(world.now + 0.001)  # Its Hello has not been sent yet.
    node.disk.sync()
    batch = next(
        say.message for say in node.core.tick(world.now) if isinstance(say.message, Batch) and say.to == "n1"
    )
    assert peer.take(world.now, "n0", batch, node.disk.held()) == [] and peer.table.seq == before
    world.run(world.now + 5.0)
    assert name in peer.table.records


def test_a_position_in_another_opening_or_an_older_one_advances_no_mark() -> None:
    known = Mark(b"i", 1, 5, b"d", ((b"d", 1),))
    assert advance_mark(known, b"d", 6) == Mark(b"i", 1, 6, b"d", ((b"d", 1),))
    assert advance_mark(known, b"x", 6) is advance_mark(known, b"d", 5) is advance_mark(None, b"d", 6) is None


def test_a_peer_that_comes_back_older_twice_is_logged_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    logged = list[str]()
    monkeypatch.setattr(part.logs, "event", lambda event, *level, **more: logged.append(event))
    states = {"e": PeerState(verdict="older", opening=b"1")}
    core = SimpleNamespace(peer_states=states, catchup=Catchup(3), table=Table(""))
    replica = SimpleNamespace(core=core, last_logged=())
    for opening in (b"1", b"1", b"2"):
        states["e"].opening = opening
        part.Replica._log_changes(replica)  # type: ignore[arg-type]
    assert logged.count("replica.older") == 2


def test_nodes_of_two_formats_talk_and_two_new_ones_agree_on_the_newest() -> None:
    old, new = READS[0], READS[-1]
    a, b = Formats(), Formats()
    assert a.format_for("b", True) == new
    a.received("b", 1, old)
    assert a.format_for("b", False) == old
    # Node b restarts with the newest format. Its first message is lost, and it gets one in the old format.
    b.received("a", 1, a.format_for("b", True))
    a.received("b", 2, b.format_for("a", False))
    assert (a.format_for("b", False), b.format_for("a", False)) == (old, old)
    tried = [a.format_for("b", True) for _ in range(TRY_NEWEST_EVERY)]
    assert new in tried
    b.received("a", 1, new)
    b.received("a", 1, old)  # A message that was delayed.
    assert b.format_for("a", False) == new
    a.received("b", 2, b.format_for("a", False))
    assert a.format_for("b", False) == new
