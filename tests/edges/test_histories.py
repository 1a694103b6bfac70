"""Tests of simulated histories with random faults, checked by a separate checker; and of disabled guards."""

import pytest

from beechrock.edges.differ import Differing
from beechrock.edges.errors import EdgeInvariantError
from beechrock.edges.words import State
from beechrock.lab.edges_check import check
from beechrock.lab.edges_sim import UP, Sim, play


@pytest.mark.parametrize("seed", range(4))
def test_no_accepted_write_is_lost_run_twice_or_out_of_order(seed: int) -> None:
    history = play(seed, steps=150, faults=0.03)
    assert check(history) == []
    assert len(history.accepted) > 20 and len(history.effects) > 20 and len(history.pairs) > 50


def test_expired_writes_are_reported_and_their_dependents_follow_their_contract() -> None:
    history = play(3, steps=150, faults=0.02, keep_s=2.0)
    assert check(history) == []
    assert sum(state is State.EXPIRED for state, _ in history.ends.values()) > 3


def test_only_lives_that_are_over_are_forgotten() -> None:
    closings = 0
    for seed in range(3):
        sim = Sim(seed, keep_s=2.0, slack_s=0.5)
        sim.turn(500, 0.03)
        assert check(sim.finish()) == []
        closings += sim.upstream.marks.closings
        for vector in (sim.upstream.ended, *(node.ended for node in sim.nodes.values())):
            assert not set(vector.of) & set(vector.closed)
            assert len(vector.of) < sim.lives
    assert closings > 3


def test_a_full_queue_refuses_new_writes_and_loses_none() -> None:
    history = play(5, steps=150, faults=0.03, most_bytes=4000)
    assert check(history) == []
    assert history.refused


def test_an_edge_alone_with_its_disk_full_refuses() -> None:
    sim = Sim(7, edges=1, members=2, faults=False)
    sim.turn(20, 0.0)
    sim.cut = {(name, UP) for name in sim.edge_of} | {(UP, name) for name in sim.edge_of}
    for log in (sim.logs["e0m0"], sim.logs["e0m1"]):
        log.most = log.bytes_held + 3000
    sim.turn(100, 0.0)
    assert sim.history.refused | sim.history.failed
    assert check(sim.finish()) == []


@pytest.mark.parametrize(
    ("guard", "shows", "seed"),
    [
        ("fence", "fence:", 1),
        ("intent", "twice:", 0),
        ("doubt", "twice:", 0),
        ("key", "twice:", 0),
        ("depends", "order:", 0),
        ("behind", "order:", 0),
        ("seen", "read:", 0),
    ],
)
def test_a_disabled_guard_is_detected(guard: str, shows: str, seed: int) -> None:
    found = [
        text
        for n in range(6)
        for text in check(play(seed + n, steps=200, faults=0.04, without=frozenset({guard})))
    ]
    assert any(text.startswith(shows) for text in found), f"without {guard}: {found[:5]}"


def test_a_life_reused_by_an_older_folder_gives_two_writes_the_same_name() -> None:
    with pytest.raises((EdgeInvariantError, AssertionError)):
        for seed in range(6):
            assert check(play(seed, steps=200, faults=0.04, without=frozenset({"life"}))) == []


def _lost_disk(without: frozenset[str]) -> list[str]:
    """Let a member accept writes while it is cut off, then lose its disk; return the faults found."""
    sim = Sim(11, edges=1, members=3, faults=False, without=without)
    sim.turn(20, 0.0)
    sim.cut = {pair for name in sim.edge_of for pair in ((name, UP), (UP, name))}
    for _ in range(60):
        sim.step()
    sim.cut |= {pair for other in ("e0m1", "e0m2") for pair in (("e0m0", other), (other, "e0m0"))}
    sim.turn(20, 0.0)
    sim.kill("e0m0", disk=True)
    return check(sim.finish())


def test_an_edge_node_lost_with_its_disk_loses_no_accepted_write() -> None:
    assert _lost_disk(frozenset()) == []
    assert any(text.startswith("lost:") for text in _lost_disk(frozenset({"copies"})))


@pytest.mark.parametrize("rule", [Differing.FIRST, Differing.LAST])
def test_conflicting_writes_end_by_the_rule_of_their_service(rule: Differing) -> None:
    history = play(9, steps=150, faults=0.03, rule=rule)
    assert check(history) == []
    assert any(state is State.REFUSED for state, _ in history.ends.values())


def test_replay_stays_within_what_upstream_can_spare_though_three_edges_come_back_at_once() -> None:
    sim = Sim(2, edges=3, members=2, faults=False, spare=3)
    sim.cut = {pair for name in sim.edge_of for pair in ((name, UP), (UP, name))}
    sim.turn(60, 0.0)
    history = sim.finish()
    assert check(history) == [] and len(history.effects) > 15
