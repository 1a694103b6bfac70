"""A memory that was emptied and made whole again: who has to hear of that, and how soon."""

from pathlib import Path
from types import SimpleNamespace

import pytest

from beechrock.core.counters import Counters
from beechrock.lab.replica_sim import TICK_S, Node, World
from beechrock.replica.catchup import Stage
from beechrock.replica.messages import Held, Hello, encode
from beechrock.replica.part import Replica
from beechrock.replica.told import ReplicaSettings
from beechrock.store.codec import Mark
from beechrock.store.folder import open_folder
from beechrock.store.witness import Witness

TRAVEL_S = 0.05  # of a word, its answer and the sync of what was heard, in a world without faults


def emptied_and_whole_again(world: World, name: str) -> Node:
    """This node with a new, empty disk, at the moment at which it has become whole."""
    node = world.nodes[name]
    node.crash()
    node.files.safe = {}
    node.files.crash()
    node.begin()
    while node.core.catchup.stage is not Stage.WHOLE:
        assert world.now < 30.0 and node.core.forgot
        world.run(world.now + 0.001)
    return node


@pytest.mark.parametrize("seed", range(6))
def test_a_memory_that_is_whole_again_is_told_at_once_and_not_set_aside_in_the_next_life(seed: int) -> None:
    """Seen in plays: killed within a second of it, a node came back to peers that knew its former disk."""
    world = World(seed, 4)
    world.run(4.0)
    for n in range(8):
        world.write(world.nodes["n0"], f"k{n}", b"x")
    world.run(8.0)
    node = emptied_and_whole_again(world, "n3")
    world.run(world.now + TICK_S + TRAVEL_S)
    others = [other for other in world.nodes.values() if other is not node]
    assert all(other.core.peer_states["n3"].verdict in ("same", "newer") for other in others)
    node.crash()
    for other in others:  # whoever heard it has it on disk
        other.crash()
        other.begin()
    world.run(world.now + 4.0)
    node.begin()
    world.run(world.now + 4.0)
    assert not node.core.forgot and Stage.SNAPSHOT not in node.core.catchup.history
    assert len(node.core.table.records) == 8 and not world.judge()


@pytest.mark.parametrize("seed", range(6))
def test_one_that_was_cut_off_meanwhile_takes_it_for_another_and_it_takes_a_whole_copy(seed: int) -> None:
    """What a peer that never heard of the copy says is cautious, and costs a whole copy, also of one that is
    whole by then; nothing is lost by it."""
    world = World(seed, 4)
    world.run(4.0)
    for n in range(8):
        world.write(world.nodes["n0"], f"k{n}", b"x")
    world.run(8.0)
    pairs = {(a, b) for a in world.names for b in world.names if "n1" in (a, b) and a != b}
    world.cuts |= pairs
    node = emptied_and_whole_again(world, "n3")
    world.write(world.nodes["n0"], "k0", b"y")  # with it the end of the copy is on its disk
    world.run(world.now + 2.0)
    node.crash()
    node.begin()
    world.run(world.now + 2.0)
    assert node.core.catchup.stage is Stage.WHOLE and not node.core.forgot
    world.cuts.clear()
    world.run(world.now + 6.0)
    assert Stage.SNAPSHOT in node.core.catchup.history
    assert all(
        other.core.peer_states["n3"].verdict in ("same", "newer")
        for other in world.nodes.values()
        if other is not node
    )
    assert not world.judge() and len(node.core.table.records) == 8


def test_a_new_opening_is_remembered_on_disk_though_nothing_is_written(tmp_path: Path) -> None:
    """Seen in a play: peers that began anew in a quiet fleet knew the former disk of one they believed."""
    mark = Mark(b"i" * 16, 1, 1, b"d" * 16, ((b"d" * 16, 1),))
    hello = encode(Hello(mark.to_bytes(), "whole", 0, b"", 1), Held(mark.digest, 1))
    talk = SimpleNamespace(
        told=SimpleNamespace(state=tmp_path),
        name="a",
        peers=("b",),
        life=1,
        on=lambda channel, take: None,
        send=lambda to, channel, data: True,
    )
    context = SimpleNamespace(counters=Counters())

    replica = Replica(ReplicaSettings(leases=False), context, talk, None)  # type: ignore[arg-type]
    replica._receive("b", 1, hello)
    assert replica.writes_due.is_set() and not replica.core.writes  # the disk's thread is asked for
    assert replica.disk.append(replica.core)
    replica.disk.sync()
    assert Witness(open_folder(tmp_path / "replica"), "replica.witness").known["b"] == mark
    replica.close()
