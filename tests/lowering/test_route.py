"""Routing of requests by the tables in force, and routes that must never be chosen."""

import asyncio
import time
from types import SimpleNamespace
from typing import cast

import pytest

from beechrock.core.counters import Counters
from beechrock.lowering.part import Lowering
from beechrock.lowering.policy import Affinity, Kind, Pool, Request
from beechrock.lowering.route import ROUND, Held, Router, pool_order, rendezvous_order
from beechrock.lowering.tables import REFUSE, RUN, STEER, Action, Line, Table, pack
from beechrock.net.scgi_work import GENERATION_WAIT_S, RoutingRejection, ScgiWork

POOLS = [Pool("a", "east", servers=(("a", 1), ("a", 2))), Pool("b", "west", servers=(("b", 1),))]
PEER = ("peer", 9)


def table(action: Action, states: dict[str, dict[int, int]] | None = None) -> Table:
    line = Line("red", "get", Kind.ANY, (), (0, 1 << 40), (1, 100), 0, 0)
    return Table(pack(POOLS, [action, Action(REFUSE)], [line], states or {}))


def asked(subject: str = "") -> Request:
    return Request("red", "get", subject, 0, 1)


def test_a_request_keeps_its_generation_and_an_unknown_generation_is_refused() -> None:
    router = Router()
    assert router.way(asked(), True) is None, "without a plan the request is routed without a policy"
    for generation, pool in ((1, 0), (2, 1), (3, 1)):
        router.put_in_force(generation, Held(table(Action(RUN, (((pool, 1),),)))))
    begun_here, steered = router.way(asked(), True), router.way(asked(), True, 2)
    assert begun_here is not None and begun_here.generation == 3 and begun_here.addresses == (("b", 1),)
    assert steered is not None and steered.generation == 2
    old = router.way(asked(), True, 1)
    assert old is not None and old.refused and not old.addresses


def test_a_starting_node_refuses_requests_until_it_has_read_the_log() -> None:
    router = Router(unread=True)
    for generation in (0, ROUND, 1):
        way = router.way(asked(), True, generation)
        assert way is not None and way.refused and not way.addresses
        assert way.generation == (generation or ROUND), "no generation that was never in force"
        assert generation > router.generation, "the request waits, as for any generation not known here yet"
    router.read()
    assert router.way(asked(), True) is None and not router.unread, "there is no plan"
    router = Router(unread=True)
    router.read()
    router.put_in_force(7, Held(table(Action(RUN, (((0, 1),),)))))
    router.read()
    begun_here = router.way(asked(), True)
    assert router.generation == 7 and begun_here is not None and begun_here.generation == 7


def test_a_steered_request_is_not_steered_again_and_a_node_without_a_plan_steers_it_once() -> None:
    router = Router()
    router.put_in_force(1, Held(table(Action(STEER, target="big")), peers={"big": (PEER,)}))
    way = router.way(asked(), True)
    assert way is not None and way.steered and way.addresses == (PEER,) and way.generation == 1
    second = router.way(asked(), True, 1)
    assert second is not None and second.refused and not second.addresses
    assert router.way(asked(), True, ROUND) == way, "its sender could not know which class runs the rule"
    router.put_in_force(1, Held(None, peers={"big": (PEER,)}))
    sent = router.way(asked(), True)
    assert sent is not None and sent.generation == ROUND and sent.steered
    for generation in (1, ROUND):
        back = router.way(asked(), True, generation)
        assert back is not None and back.refused and not back.addresses


def test_a_loss_state_changes_the_action_and_pools_of_a_lost_hall_are_skipped() -> None:
    router = Router()
    both = Action(RUN, (((0, 3), (1, 1)),))
    router.put_in_force(1, Held(table(both, {"class:big": {0: 1}}), "class:big"))
    way = router.way(asked(), True)
    assert way is not None and way.refused
    router.put_in_force(1, Held(table(both), "hall:east"))
    way = router.way(asked(), True)
    assert way is not None and way.addresses == (("b", 1),)


def test_a_request_with_a_newer_generation_waits_for_it_up_to_a_time_limit() -> None:
    async def scenario() -> None:
        module = SimpleNamespace(counters=Counters(), clock=time.monotonic)
        work, request = ScgiWork(module, {}), SimpleNamespace(generation=2)  # type: ignore[arg-type]
        router = work.router = Router()
        router.put_in_force(1, Held(table(Action(RUN, (((0, 1),),)))))
        waits = asyncio.ensure_future(work._wait_for_generation(request))  # type: ignore[arg-type]
        await asyncio.sleep(0)
        assert not waits.done()
        router.put_in_force(2, Held(table(Action(RUN, (((1, 1),),)))))
        await waits
        way = router.way(asked(), True, 2)
        assert way is not None and way.generation == 2 and not way.refused
        request.generation = 3
        await asyncio.wait_for(work._wait_for_generation(request), 30 * GENERATION_WAIT_S)  # type: ignore[arg-type]
        way = router.way(asked(), True, 3)
        assert way is not None and way.refused

    asyncio.run(scenario())


def test_a_server_excluded_while_a_node_connects_to_it_gets_no_request() -> None:
    async def scenario() -> None:
        module = SimpleNamespace(counters=Counters(), clock=time.monotonic)
        work, closed = ScgiWork(module, {}), list[int]()  # type: ignore[arg-type]
        router = work.router = Router()
        router.put_in_force(1, Held(table(Action(RUN, (((0, 1),),)))))
        request = SimpleNamespace(route="get", trace="t", tenant=None, nonce=None, body=b"", replied=0)
        way = router.way(asked(), False)
        assert way is not None and len(way.addresses) == 2

        async def connected(address: tuple[str, int]) -> tuple[object, object]:
            work.exclude(frozenset(POOLS[0].servers))
            return None, SimpleNamespace(close=lambda: closed.append(1))

        work._open_for_run = connected  # type: ignore[method-assign, assignment]
        with pytest.raises(RoutingRejection) as found:
            await work._send_by_rule(request, way)  # type: ignore[arg-type]
        assert found.value.after_s > 0 and closed == [1] and not work.servers.open_runs

    asyncio.run(scenario())


def test_a_rule_s_limits_carry_over_to_a_new_plan_with_other_ranks() -> None:
    router, limited = Router(), Action(RUN, (((0, 1),), ((1, 1),)), rate_per_s=1.0, own=1)
    keys = set()
    for generation, rank in ((1, 0), (2, 7)):
        line = Line("red", "get", Kind.ANY, (), (0, 1 << 40), (1, 100), rank, 0)
        router.put_in_force(generation, Held(Table(pack(POOLS, [limited], [line], {}))))
        way = router.way(asked(), True)
        assert way is not None and way.asked is not None
        assert way.addresses == (("a", 1), ("a", 2), ("b", 1)) and way.asked.own == 2
        keys.add(way.asked.key)
    assert len(keys) == 1


def test_an_excluded_server_gets_no_request_and_without_another_the_request_is_refused() -> None:
    router = Router()
    both = Action(RUN, (((0, 3), (1, 1)),), mirrors=((0, 100), (1, 100)))
    router.put_in_force(1, Held(table(both)))
    router.acts.out = frozenset({("a", 1)})
    for _ in range(4):
        way = router.way(asked(), True)
        assert way is not None and way.asked is not None and sorted(way.addresses) == [("a", 2), ("b", 1)]
        assert way.asked.mirrors == (("a", 2), ("b", 1))
    # All servers of the own pool are excluded: the fall-backs are used, to which the limits don't apply.
    spilled = Action(RUN, (((0, 1),), ((1, 1),)), rate_per_s=1.0, own=1)
    router.put_in_force(2, Held(table(spilled)))
    router.acts.out = frozenset({("a", 1), ("a", 2)})
    way = router.way(asked(), True)
    assert way is not None and way.asked is not None and way.addresses == (("b", 1),) and way.asked.own == 0
    # The other pools of a tier keep their weights, and subjects at other servers stay there.
    held = table(Action(RUN, (((0, 2), (1, 1)),)))
    assert pool_order(held, held.actions[0], "x", 0, out=router.acts.out) == [1]
    for affinity in (Affinity.RENDEZVOUS, Affinity.MODULO):
        router.put_in_force(3, Held(table(Action(RUN, (((0, 1),),), affinity=int(affinity)))))
        router.acts.out = frozenset()
        before = {s: router.way(asked(s), True) for s in map(str, range(40))}
        router.acts.out = frozenset({("a", 1)})
        for subject, way_before in before.items():
            way = router.way(asked(subject), True)
            assert way is not None and way_before is not None and way.addresses == (("a", 2),)
            assert len(way_before.addresses) == 2
    # All servers of all pools of the rule are excluded: refused, without addresses.
    router.put_in_force(4, Held(table(spilled)))
    router.acts.out = frozenset({("a", 1), ("a", 2), ("b", 1)})
    way = router.way(asked(), True)
    assert way is not None and way.refused and not way.addresses
    router.acts.out = frozenset()
    way = router.way(asked(), True)
    assert way is not None and len(way.addresses) == 3


def test_weights_hold_over_many_requests_and_affinity_moves_only_subjects_of_a_removed_server() -> None:
    held = table(Action(RUN, (((0, 3), (1, 1)),)))
    firsts = [pool_order(held, held.actions[0], "x", turn)[0] for turn in range(400)]
    assert firsts.count(0) == 300
    names = [(f"n{at}", 1) for at in range(5)]
    subjects = [f"s{at}" for at in range(500)]
    before = {s: names[rendezvous_order(s, names)[0]][0] for s in subjects}
    after = {s: names[:4][rendezvous_order(s, names[:4])[0]][0] for s in subjects}
    assert all(after[s] == before[s] for s in subjects if before[s] != "n4")
    heavy = [("n0", 3), ("n1", 1)]
    assert 0.68 < sum(rendezvous_order(s, heavy)[0] == 0 for s in subjects) / 500 < 0.82
    kept = Action(RUN, (((0, 3), (1, 1)),), affinity=int(Affinity.RENDEZVOUS))
    assert len({tuple(pool_order(held, kept, "one", turn)) for turn in range(9)}) == 1


def test_a_leaving_node_announces_no_address() -> None:
    front = SimpleNamespace(server=SimpleNamespace(sockets=()))  # Like a closed asyncio server
    part = SimpleNamespace(context=SimpleNamespace(program=SimpleNamespace(scgi=front)))
    assert Lowering._scgi(cast(Lowering, part)) == ""
