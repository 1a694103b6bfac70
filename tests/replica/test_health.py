"""Order of upstream servers by own observations and by advice. Good advice helps, and bad advice does no
harm."""

import random

import pytest

from beechrock.replica.errors import ReplicaRecordError
from beechrock.replica.health import (
    FAILURES_TO_EJECT,
    FIRST_S,
    LAST_COST,
    MAX_ADVISED_S,
    Address,
    Health,
    State,
    Word,
)
from beechrock.replica.priors import Advice
from beechrock.replica.telling import REPORT_S, TICK_S, LoopPace, PeerReports, ReportSchedule, pack, unpack

ONE, TWO, THREE = [("s", n) for n in (1, 2, 3)]
POOLS = {"x": (ONE, TWO, THREE)}


def first(health: Health, now: float, pool: tuple[Address, ...] = POOLS["x"]) -> Address:
    """Return the server that is tried first."""
    return min(pool, key=lambda address: health.cost(now, address, 0))


def report(giver: str, server: Address, ejected_s: float, **more: float) -> tuple[Advice, Word]:
    """Return a node's report on a server; ``more`` overrides fields of the advice."""
    name = "{}:{}".format(*server)
    return (
        Advice(giver, 0.02, 200, **{"age_s": 1.0, **more}),  # type: ignore[arg-type]
        Word(name, 0.02, 200, 1.0, ejected_s),
    )


def health_with(*words: tuple[Advice, Word]) -> Health:
    health = Health()
    health.advise(100.0, words, POOLS)
    return health


def test_a_failing_server_is_tried_last_then_probed_by_one_request_and_restored() -> None:
    health = health_with()
    for _ in range(FAILURES_TO_EJECT):
        assert health.servers.get(ONE) is None or health.servers[ONE].state(100.0) is State.WELL
        health.failed(100.0, ONE)
    assert health.cost(100.0, ONE, 0) >= LAST_COST and first(health, 100.0) != ONE
    later = 100.0 + FIRST_S
    assert first(health, later) == ONE and health.cost(later, ONE, 1) >= LAST_COST
    health.failed(later, ONE)
    assert health.servers[ONE].ejected_until == later + 2 * FIRST_S
    health.good(later + 11, ONE, 0.02)
    assert health.servers[ONE].state(later + 11) is State.WELL and not health.tried_last
    assert [why for _, why in health.transitions] == ["own", "own", "back"]


def test_at_most_half_of_a_service_is_tried_last_own_ejections_first() -> None:
    health = health_with(report("a", TWO, 9.0), report("a", THREE, 9.0))
    assert health.tried_last == {TWO}
    for _ in range(FAILURES_TO_EJECT):
        health.failed(100.0, ONE)
    assert health.tried_last == {ONE}


def test_servers_ejected_by_operators_are_tried_last_and_not_probed_until_the_ejection_ends() -> None:
    health = Health()
    health.advise(100.0, [], POOLS, frozenset((ONE, TWO)))
    assert health.tried_last == {ONE, TWO} and first(health, 900.0) == THREE
    health.advise(901.0, [], POOLS)
    assert not health.tried_last and first(health, 901.0) == ONE


def test_an_ejection_by_advice_ends_with_an_own_probe_and_is_not_prolonged() -> None:
    words = [report("a", ONE, 50.0), report("b", ONE, 50.0), report("c", ONE, 0.0)]
    health = health_with(*words)
    assert health.tried_last == {ONE} and health.servers[ONE].advised and not health.words(100.0)
    for at in range(100, 160):
        health.advise(float(at), words, POOLS)
    assert health.servers[ONE].ejected_until == 100.0 + MAX_ADVISED_S and first(health, 160.0) == ONE
    health.good(160.0, ONE, 0.02)
    health.advise(161.0, words, POOLS)
    assert not health.tried_last and health.words(161.0)[0].observations == 1


@pytest.mark.parametrize("more", [{"age_s": 400.0}, {"slowness": 3.0}, {"whole": False}, {"age_s": -1.0}])
def test_advice_that_is_stale_or_from_a_slow_node_changes_nothing(more: dict[str, float]) -> None:
    assert not health_with(report("a", ONE, 9.0), report("b", ONE, 0.0), report("c", ONE, 0.0)).tried_last
    health = health_with(report("a", ONE, 9.0, **more))
    alone = health_with()
    assert not health.tried_last and health.servers[ONE].latency.weight == 0.0
    assert [health.cost(100.0, address, 0) for address in POOLS["x"]] == [
        alone.cost(100.0, address, 0) for address in POOLS["x"]
    ]


def test_faster_servers_get_more_requests_and_unknown_ones_are_soon_tried() -> None:
    health, draw, load, asked = health_with(), random.Random(1), dict.fromkeys(POOLS["x"], 0), []
    for n in range(200):
        now = 100.0 + n / 10
        address = min(POOLS["x"], key=lambda server: health.cost(now, server, load[server]))
        asked.append(address)
        health.good(now, address, draw.uniform(0.9, 1.1) * (0.5 if address == ONE else 0.02))
    assert set(asked[:9]) == set(POOLS["x"]) and asked[20:].count(ONE) <= 3


def test_a_reports_age_includes_the_time_since_it_came_and_its_sender_must_be_present() -> None:
    data, peer_reports = pack(1.0, [Word("s:1", 0.02, 200, 1.0, 9.0)]), PeerReports()
    assert unpack(data) == (1.0, [Word("s:1", 0.02, 200, 1.0, 9.0)])
    peer_reports.advice(10.0, "a", 1, 1, data, True)
    ((advice, word),) = peer_reports.advice(70.0, "a", 1, 1, data, True)
    assert advice.age_s == 61.0 and word.ejected_s == 0.0 and advice.weight > 0
    assert peer_reports.advice(70.0, "a", 1, 1, data, False)[0][0].weight == 0.0
    assert peer_reports.advice(80.0, "a", 2, 1, data, True)[0][0].age_s == 1.0
    for bad in (b"", b"\x93\x02\x01\x90", b"\x93\x01\x01\x91\x91\x01"):
        with pytest.raises(ReplicaRecordError):
            unpack(bad)


def test_a_node_measures_its_slowness_and_reports_only_when_due() -> None:
    pace, now = LoopPace(), 5.0
    for _ in range(40):
        now += TICK_S
        assert pace.tick(now) == pytest.approx(1.0)
    assert pace.tick(now + 20.0) > 3.0  # The process was stopped for 20 s.
    schedule, word = ReportSchedule(), Word("s:1", 0.02, 200, 1.0, 0.0)
    assert schedule.due(0.0, [word], False) and not schedule.due(1.0, [word], False)
    assert schedule.due(2.0, [word], True, 9.0) and not schedule.due(2.1, [word], False, 9.0)
    assert schedule.due(2.2, [word], False) and not schedule.due(2.3, [word], False)
    assert schedule.due(2.2 + REPORT_S, [word], False)
    assert not schedule.due(99.0, [Word("s:1", 0.02, 200, 999.0, 0.0)], False)
