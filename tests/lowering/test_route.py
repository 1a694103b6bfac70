"""Where a request goes under the tables in force, and what it may never do."""

import asyncio
import time
from types import SimpleNamespace
from typing import cast

import pytest

from beechrock.core.counters import Counters
from beechrock.lowering.part import Lowering
from beechrock.lowering.policy import Affinity, Kind, Pool, Request
from beechrock.lowering.route import ROUND, Held, Router, nearest, spread
from beechrock.lowering.tables import REFUSE, RUN, STEER, Action, Line, Table, pack
from beechrock.net.scgi_work import GENERATION_WAIT_S, RoutingRejection, ScgiWork

POOLS = [Pool("a", "east", servers=(("a", 1), ("a", 2))), Pool("b", "west", servers=(("b", 1),))]
PEER = ("peer", 9)


def table(action: Action, states: dict[str, dict[int, int]] | None = None) -> Table:
    line = Line("red", "get", Kind.ANY, (), (0, 1 << 40), (1, 100), 0, 0)
    return Table(pack(POOLS, [action, Action(REFUSE)], [line], states or {}))


def asked(subject: str = "") -> Request:
    return Request("red", "get", subject, 0, 1)


def test_a_request_keeps_its_generation_and_an_unknown_one_is_turned_away() -> None:
    router = Router()
    assert router.way(asked(), True) is None, "without a plan nothing changes"
    for generation, pool in ((1, 0), (2, 1), (3, 1)):
        router.go_by(generation, Held(table(Action(RUN, (((pool, 1),),)))))
    begins, steered = router.way(asked(), True), router.way(asked(), True, 2)
    assert begins is not None and begins.generation == 3 and begins.addresses == (("b", 1),)
    assert steered is not None and steered.generation == 2
    old = router.way(asked(), True, 1)
    assert old is not None and old.refused and not old.addresses


def test_a_node_that_began_goes_by_nothing_until_it_has_read_the_log() -> None:
    router = Router(unread=True)
    for came in (0, ROUND, 1):
        way = router.way(asked(), True, came)
        assert way is not None and way.refused and not way.addresses
        assert way.generation == (came or ROUND), "none that was never in force"
        assert came > router.generation, "it is waited for, as any generation that is not here yet"
    router.read()
    assert router.way(asked(), True) is None and not router.unread, "there is no plan"
    router = Router(unread=True)
    router.read()
    router.go_by(7, Held(table(Action(RUN, (((0, 1),),)))))
    router.read()
    begins = router.way(asked(), True)
    assert router.generation == 7 and begins is not None and begins.generation == 7


def test_what_was_steered_is_not_steered_on_and_who_runs_no_plan_sends_it_once() -> None:
    router = Router()
    router.go_by(1, Held(table(Action(STEER, target="big")), peers={"big": (PEER,)}))
    way = router.way(asked(), True)
    assert way is not None and way.steered and way.addresses == (PEER,) and way.generation == 1
    on = router.way(asked(), True, 1)
    assert on is not None and on.refused and not on.addresses
    assert router.way(asked(), True, ROUND) == way, "it comes from a node that could not know who runs it"
    router.go_by(1, Held(None, peers={"big": (PEER,)}))
    sent = router.way(asked(), True)
    assert sent is not None and sent.generation == ROUND and sent.steered
    for told in (1, ROUND):
        back = router.way(asked(), True, told)
        assert back is not None and back.refused and not back.addresses


def test_the_plan_made_ahead_counts_and_lost_halls_are_passed_over() -> None:
    router = Router()
    both = Action(RUN, (((0, 3), (1, 1)),))
    router.go_by(1, Held(table(both, {"class:big": {0: 1}}), "class:big"))
    way = router.way(asked(), True)
    assert way is not None and way.refused
    router.go_by(1, Held(table(both), "hall:east"))
    way = router.way(asked(), True)
    assert way is not None and way.addresses == (("b", 1),)


def test_a_request_that_came_with_a_newer_generation_waits_for_it_and_not_for_ever() -> None:
    async def whole() -> None:
        module = SimpleNamespace(counters=Counters(), clock=time.monotonic)
        work, request = ScgiWork(module, {}), SimpleNamespace(generation=2)  # type: ignore[arg-type]
        router = work.router = Router()
        router.go_by(1, Held(table(Action(RUN, (((0, 1),),)))))
        waits = asyncio.ensure_future(work._wait_for_generation(request))  # type: ignore[arg-type]
        await asyncio.sleep(0)
        assert not waits.done()
        router.go_by(2, Held(table(Action(RUN, (((1, 1),),)))))
        await waits
        way = router.way(asked(), True, 2)
        assert way is not None and way.generation == 2 and not way.refused
        request.generation = 3
        await asyncio.wait_for(work._wait_for_generation(request), 30 * GENERATION_WAIT_S)  # type: ignore[arg-type]
        way = router.way(asked(), True, 3)
        assert way is not None and way.refused

    asyncio.run(whole())


def test_a_server_taken_out_while_a_node_connects_to_it_gets_nothing() -> None:
    async def whole() -> None:
        module = SimpleNamespace(counters=Counters(), clock=time.monotonic)
        work, closed = ScgiWork(module, {}), list[int]()  # type: ignore[arg-type]
        router = work.router = Router()
        router.go_by(1, Held(table(Action(RUN, (((0, 1),),)))))
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

    asyncio.run(whole())


def test_a_rule_s_limits_go_on_over_a_new_plan_with_other_ranks() -> None:
    router, limited = Router(), Action(RUN, (((0, 1),), ((1, 1),)), rate_per_s=1.0, own=1)
    keys = set()
    for generation, rank in ((1, 0), (2, 7)):
        line = Line("red", "get", Kind.ANY, (), (0, 1 << 40), (1, 100), rank, 0)
        router.go_by(generation, Held(Table(pack(POOLS, [limited], [line], {}))))
        way = router.way(asked(), True)
        assert way is not None and way.asked is not None
        assert way.addresses == (("a", 1), ("a", 2), ("b", 1)) and way.asked.own == 2
        keys.add(way.asked.key)
    assert len(keys) == 1


def test_a_server_that_is_out_is_in_no_way_and_where_all_are_it_is_refused() -> None:
    router = Router()
    both = Action(RUN, (((0, 3), (1, 1)),), mirrors=((0, 100), (1, 100)))
    router.go_by(1, Held(table(both)))
    router.acts.out = frozenset({("a", 1)})
    for _ in range(4):
        way = router.way(asked(), True)
        assert way is not None and way.asked is not None and sorted(way.addresses) == [("a", 2), ("b", 1)]
        assert way.asked.mirrors == (("a", 2), ("b", 1))
    # All of its own pool: the fall-backs, which its limits are not about.
    spilled = Action(RUN, (((0, 1),), ((1, 1),)), rate_per_s=1.0, own=1)
    router.go_by(2, Held(table(spilled)))
    router.acts.out = frozenset({("a", 1), ("a", 2)})
    way = router.way(asked(), True)
    assert way is not None and way.asked is not None and way.addresses == (("b", 1),) and way.asked.own == 0
    # The rest of a tier keeps its parts, and whom affinity put elsewhere stays there.
    held = table(Action(RUN, (((0, 2), (1, 1)),)))
    assert spread(held, held.actions[0], "x", 0, out=router.acts.out) == [1]
    for affinity in (Affinity.RENDEZVOUS, Affinity.MODULO):
        router.go_by(3, Held(table(Action(RUN, (((0, 1),),), affinity=int(affinity)))))
        router.acts.out = frozenset()
        before = {s: router.way(asked(s), True) for s in map(str, range(40))}
        router.acts.out = frozenset({("a", 1)})
        for subject, told in before.items():
            way = router.way(asked(subject), True)
            assert way is not None and told is not None and way.addresses == (("a", 2),)
            assert len(told.addresses) == 2
    # Of all of its rule's pools: refused, and no server named.
    router.go_by(4, Held(table(spilled)))
    router.acts.out = frozenset({("a", 1), ("a", 2), ("b", 1)})
    way = router.way(asked(), True)
    assert way is not None and way.refused and not way.addresses
    router.acts.out = frozenset()
    way = router.way(asked(), True)
    assert way is not None and len(way.addresses) == 3


def test_weights_hold_over_turns_and_affinity_moves_only_who_has_to_move() -> None:
    held = table(Action(RUN, (((0, 3), (1, 1)),)))
    firsts = [spread(held, held.actions[0], "x", turn)[0] for turn in range(400)]
    assert firsts.count(0) == 300
    names = [(f"n{at}", 1) for at in range(5)]
    subjects = [f"s{at}" for at in range(500)]
    before = {s: names[nearest(s, names)[0]][0] for s in subjects}
    after = {s: names[:4][nearest(s, names[:4])[0]][0] for s in subjects}
    assert all(after[s] == before[s] for s in subjects if before[s] != "n4")
    heavy = [("n0", 3), ("n1", 1)]
    assert 0.68 < sum(nearest(s, heavy)[0] == 0 for s in subjects) / 500 < 0.82
    kept = Action(RUN, (((0, 3), (1, 1)),), affinity=int(Affinity.RENDEZVOUS))
    assert len({tuple(spread(held, kept, "one", turn)) for turn in range(9)}) == 1


def test_a_node_that_leaves_has_no_address_to_tell() -> None:
    front = SimpleNamespace(server=SimpleNamespace(sockets=()))  # as asyncio's, once it is closed
    part = SimpleNamespace(context=SimpleNamespace(program=SimpleNamespace(scgi=front)))
    assert Lowering._scgi(cast(Lowering, part)) == ""
