"""What a peer has acknowledged, it knows of the disk that told it; and formats of words, old and new."""

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
def test_a_lost_write_that_was_kept_is_told_by_each_that_acknowledged_it(seed: int) -> None:
    """At any moment, not only after the word that goes round each second."""
    world, seen = World(seed, 5), list[int]()
    world.run(8.0)
    node = world.nodes["n0"]
    assert node.core.catchup.stage is Stage.WHOLE

    def kept(wanted: int) -> None:  # as the answer to its caller would go out
        others = [other for name, other in world.nodes.items() if name != "n0"]
        seen.append(sum(other.disk.witness.known["n0"].synced >= wanted for other in others))

    for n in range(20):
        name = node.core.write("note", f"k{n}", b"x")
        node.core.when_kept(name, partial(kept, node.disk.store.progress.seq + 1))
        node.turn([])
        world.run(world.now + 0.13)
    assert len(seen) == 20 and min(seen) >= 2  # with itself a majority of five


def test_words_of_an_opening_that_nobody_told_of_are_as_if_lost() -> None:
    world = World(1, 3)
    world.run(8.0)
    node, peer = world.nodes["n0"], world.nodes["n1"].core
    node.crash()
    node.begin()
    before = peer.table.seq
    name = node.core.write("note", "k", b"x")
    node.core.catchup.stage = Stage.WHOLE
    node.turn([])
    world.run(world.now + 0.001)  # its Hello is not on its way yet
    node.disk.sync()
    batch = next(
        one.message for one in node.core.tick(world.now) if isinstance(one.message, Batch) and one.to == "n1"
    )
    assert peer.take(world.now, "n0", batch, node.disk.held()) == [] and peer.table.seq == before
    world.run(world.now + 5.0)
    assert name in peer.table.records


def test_a_word_on_another_opening_or_from_before_says_nothing_new() -> None:
    known = Mark(b"i", 1, 5, b"d", ((b"d", 1),))
    assert advance_mark(known, b"d", 6) == Mark(b"i", 1, 6, b"d", ((b"d", 1),))
    assert advance_mark(known, b"x", 6) is advance_mark(known, b"d", 5) is advance_mark(None, b"d", 6) is None


def test_one_that_comes_back_older_twice_is_told_of_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    told = list[str]()
    monkeypatch.setattr(part.logs, "event", lambda event, *level, **more: told.append(event))
    states = {"e": PeerState(verdict="older", opening=b"1")}
    core = SimpleNamespace(peer_states=states, catchup=Catchup(3), table=Table(""))
    replica = SimpleNamespace(core=core, last_logged=())
    for opening in (b"1", b"1", b"2"):
        states["e"].opening = opening
        part.Replica._log_changes(replica)  # type: ignore[arg-type]
    assert told.count("replica.older") == 2


def test_two_formats_meet_and_two_new_ones_find_each_other() -> None:
    old, new = READS[0], READS[-1]
    a, b = Formats(), Formats()
    assert a.format_for("b", True) == new
    a.received("b", 1, old)
    assert a.format_for("b", False) == old
    # It begins anew as a newer one; its first word is lost, and it hears the old format.
    b.received("a", 1, a.format_for("b", True))
    a.received("b", 2, b.format_for("a", False))
    assert (a.format_for("b", False), b.format_for("a", False)) == (old, old)
    tried = [a.format_for("b", True) for _ in range(TRY_NEWEST_EVERY)]
    assert new in tried
    b.received("a", 1, new)
    b.received("a", 1, old)  # what was on its way
    assert b.format_for("a", False) == new
    a.received("b", 2, b.format_for("a", False))
    assert a.format_for("b", False) == new
