"""A node that lost its store and is whole again: its peers have to know that at once."""

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

TRAVEL_S = 0.05  # Time for a message, its reply and the receiver's sync, in a simulation without faults.


def emptied_and_whole_again(world: World, name: str) -> Node:
    """Restart a node with a new, empty disk, and run until it has become whole; return it."""
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
def test_a_store_that_is_whole_again_is_announced_at_once_and_kept_in_the_next_life(seed: int) -> None:
    """Without this, a node that was killed within a second restarted among peers that knew only its former
    disk."""
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
    for other in others:  # Each peer that received it has saved it on disk.
        other.crash()
        other.begin()
    world.run(world.now + 4.0)
    node.begin()
    world.run(world.now + 4.0)
    assert not node.core.forgot and Stage.SNAPSHOT not in node.core.catchup.history
    assert len(node.core.table.records) == 8 and not world.judge()


@pytest.mark.parametrize("seed", range(6))
def test_a_peer_that_missed_the_reset_rejects_the_new_store_and_causes_a_full_copy(seed: int) -> None:
    """A peer that missed the reset judges the new store as another one. That costs a full copy, even of a
    node that is whole by then, but loses nothing."""
    world = World(seed, 4)
    world.run(4.0)
    for n in range(8):
        world.write(world.nodes["n0"], f"k{n}", b"x")
    world.run(8.0)
    pairs = {(a, b) for a in world.names for b in world.names if "n1" in (a, b) and a != b}
    world.cuts |= pairs
    node = emptied_and_whole_again(world, "n3")
    world.write(world.nodes["n0"], "k0", b"y")  # With this write the end of the copy gets on the node's disk.
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


def test_a_new_opening_of_a_peer_is_saved_though_nothing_else_is_written(tmp_path: Path) -> None:
    """Without this, peers that restarted in an idle fleet knew only the former disk of a node they had
    accepted."""
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
    assert replica.writes_due.is_set() and not replica.core.writes  # A sync is due without a change.
    assert replica.disk.append(replica.core)
    replica.disk.sync()
    assert Witness(open_folder(tmp_path / "replica"), "replica.witness").known["b"] == mark
    replica.close()
