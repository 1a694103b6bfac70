"""Limits, retries, hedges and mirrors: their invariants over random histories, and single cases."""

import asyncio
import random

import pytest

from beechrock.lowering.acts import (
    MAX_BUDGET,
    MAX_COPIES,
    Acts,
    Asked,
    Copy,
    Done,
    Limits,
    Nowhere,
    Send,
    State,
    Tries,
    TurnAway,
    Wait,
)
from beechrock.lowering.errors import BrokenInvariantError
from beechrock.lowering.sending import Reply, sent
from beechrock.lowering.tables import RUN, Action

OWN = (("own", 1), ("own", 2), ("own", 3))
BACK = (("back", 1),)
MIRROR = ("mirror", 1)


def asked(repeatable: bool = True, back: bool = False, key: str = "r", **fields: object) -> Asked:
    action = Action(RUN, (((0, 1),),), **fields)  # type: ignore[arg-type]
    return Asked(
        key,
        action if repeatable else action.once(),
        OWN + BACK * back,
        len(OWN),
        repeatable,
        (MIRROR,) * len(action.mirrors),
    )


class World:
    """Requests for three rules at one node, with servers that refuse, fail, answer late or never."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.acts, self.now = Acts(), 0.0
        self.rules = [
            asked(
                self.draw.random() < 0.5,
                self.draw.random() < 0.5,
                f"r{at}",
                rate_per_s=self.draw.choice((None, 0.0, 3.0, 20.0)),
                at_once=self.draw.choice((None, 0, 1, 4)),
                retries=self.draw.choice((0, 1, 3)),
                hedge_ms=self.draw.choice((None, 50)),
                mirrors=self.draw.choice(((), ((0, 10),), ((0, 100),))),
            )
            for at in range(3)
        ]
        self.live: list[tuple[Tries, list[int]]] = []
        self.limited: dict[str, list[float]] = {}  # By rule: times of sends to its own pools
        self.copies: dict[str, int] = {}
        self.begun: dict[str, int] = {}
        self.ends = self.requests = 0

    def take(self, tries: Tries, out: list[int], acts: list[object], same: bool = False) -> None:
        """Check the actions and note them; ``same``: a send without a connection moved to the next server."""
        key = str(tries.asked.key)
        for act in acts:
            match act:
                case Send(number, address):
                    out.append(number)
                    assert address not in self.acts.out, "an excluded server gets no send"
                    if same or (address in OWN and tries.open[number]):
                        same or self.limited.setdefault(key, []).append(self.now)
                    else:
                        assert address in BACK, "over the limits only fall-backs get a send"
                case Copy(address):
                    assert tries.asked.repeatable and address == MIRROR
                    self.copies[key] = self.copies.get(key, 0) + 1
                case Wait():
                    assert tries.asked.repeatable
                case _:
                    assert isinstance(act, Done | TurnAway | Nowhere)
                    assert tries.state is State.OVER and not tries.open
                    self.ends += 1

    def step(self) -> None:
        self.now += self.draw.choice((0.0, 0.001, 0.02, 0.3))
        if self.draw.random() < 0.1:
            self.acts.out = frozenset(self.draw.sample((*OWN, *BACK), self.draw.choice((0, 0, 1, 2, 4))))
        if not self.live or self.draw.random() < 0.3:
            rule = self.draw.choice(self.rules)
            begun = Tries(self.acts, rule), list[int]()
            self.begun[str(rule.key)] = self.begun.get(str(rule.key), 0) + 1
            self.requests += 1
            self.take(*begun, begun[0].begin(self.now))  # type: ignore[arg-type]
            self.live.append(begun)
        tries, out = self.draw.choice(self.live)
        number = self.draw.choice(out) if out else 1
        event = self.draw.randrange(5)
        match event:
            case 0:
                found = tries.unreached(self.now, number)
            case 1:
                found = tries.ended(self.now, number, True)
            case 2:
                found = tries.ended(self.now, number, False)
            case 3:
                found = tries.timer(self.now)
            case _:
                found = []
                if self.draw.random() < 0.1 and tries.state is not State.OVER:
                    tries.close()  # Its deadline passed, or its caller disconnected
                    self.ends += 1
        self.take(tries, out, found, event == 0)  # type: ignore[arg-type]
        self.live = [entry for entry in self.live if entry[0].state is not State.OVER]

    def check(self) -> None:
        for rule in self.rules:
            count = self.acts.counts.get(rule.key)
            limit = rule.action.at_once
            held = sum(sum(t.open.values()) for t, _ in self.live if t.asked is rule)
            assert held == (count.open if count else 0), "the counter equals the number of open sends"
            assert limit is None or held <= limit
        for tries, _ in self.live:
            assert tries.asked.repeatable or (len(tries.open) <= 1 and tries.ran <= 1)

    def windows(self) -> None:
        for rule in self.rules:
            rate, times = rule.action.rate_per_s, self.limited.get(str(rule.key), [])
            if rate is None:
                continue
            burst = Limits(rate).burst
            for first, start in enumerate(times):
                for last in range(first, len(times)):
                    assert last - first + 1 <= burst + rate * (times[last] - start) + 1e-6
            share = sum(percent for _, percent in rule.action.mirrors)
            assert self.copies.get(str(rule.key), 0) <= self.begun.get(str(rule.key), 0) * share / 100


@pytest.mark.parametrize("seed", range(40))
def test_random_histories_keep_the_limits_and_send_non_repeatable_requests_once(seed: int) -> None:
    world = World(seed)
    for _ in range(600):
        world.step()
        world.check()
    for tries, _ in world.live:
        tries.close()
    assert world.ends + len(world.live) == world.requests, "each request has one end"
    world.live = []
    world.check()
    world.windows()


def test_a_non_repeatable_request_gets_no_hedge_retry_or_mirror_copy() -> None:
    """The check holds even for an action that allows repeats, without the reduction by ``Action.once``."""
    action = Action(RUN, (((0, 1),),), retries=3, hedge_ms=1, mirrors=((0, 100),))
    keyed = Asked("k", action, OWN, len(OWN), False, (MIRROR,))
    tries = Tries(Acts(), keyed)
    assert tries.begin(0.0) == [Send(1, OWN[0])]
    assert tries.timer(0.1) == []
    assert tries.unreached(0.2, 1) == [Send(2, OWN[1])], "a send without a connection never ran"
    assert tries.ended(0.3, 2, False) == [Done(2)]


def test_a_second_send_of_a_non_repeatable_request_breaks_an_invariant() -> None:
    tries = Tries(Acts(), asked(repeatable=False))
    tries.begin(0.0)
    tries._send(True)
    with pytest.raises(BrokenInvariantError):
        tries.timer(0.0) or tries._check()


def test_a_request_over_the_limit_goes_to_the_fall_back_or_gets_a_retry_delay() -> None:
    acts = Acts()
    assert Tries(acts, asked(rate_per_s=4.0)).begin(0.0) == [Send(1, OWN[0])]
    (rejection,) = Tries(acts, asked(rate_per_s=4.0)).begin(0.05)
    assert isinstance(rejection, TurnAway) and rejection.after_s == pytest.approx(0.2)
    assert Tries(acts, asked(back=True, rate_per_s=4.0)).begin(0.05) == [Send(1, BACK[0])]
    assert Tries(acts, asked(rate_per_s=4.0)).begin(0.26) == [Send(1, OWN[0])]


def test_an_excluded_server_gets_no_retry_or_hedge_and_without_another_the_request_is_rejected() -> None:
    acts = Acts()
    hedged, retried = Tries(acts, asked(key="h", hedge_ms=5)), Tries(acts, asked(key="a", retries=3))
    keyed = Tries(acts, asked(repeatable=False, key="k"))
    for tries in (hedged, retried, keyed):
        assert tries.begin(0.0)[0] == Send(1, OWN[0])
    acts.out = frozenset(OWN[:2])
    assert hedged.timer(0.005) == [Send(2, OWN[2])]
    assert retried.ended(0.1, 1, False) == [Send(2, OWN[2])]
    assert keyed.unreached(0.1, 1) == [Send(2, OWN[2])]
    acts.out = frozenset(OWN)
    assert retried.ended(0.2, 2, False) == [Done(2)], "an open send at an excluded server runs to its end"
    (rejection,) = keyed.unreached(0.2, 2)
    assert isinstance(rejection, TurnAway) and rejection.after_s > 0 and keyed.state is State.OVER
    late = Tries(acts, asked(key="h", hedge_ms=5))
    (rejection,) = late.begin(0.3)
    assert isinstance(rejection, TurnAway) and late.state is State.OVER and acts.counts["h"].open == 2
    assert hedged.ended(0.4, 1, True) == [Done(1)]
    assert all(count.open == 0 for count in acts.counts.values())
    acts.out = frozenset()
    assert Tries(acts, asked()).begin(0.5) == [Send(1, OWN[0])]
    alone = Tries(acts, asked(hedge_ms=5, key="b"))
    assert alone.begin(0.6)[0] == Send(1, OWN[0])
    acts.out = frozenset(OWN[1:])
    assert alone.timer(0.605) == [], "a hedge goes only to a server that has not had the request"


def test_a_retry_budget_bounds_the_sends_when_every_send_fails() -> None:
    acts, sends = Acts(), 0
    for at in range(200):
        tries = Tries(acts, asked(retries=3))
        todo = tries.begin(at * 0.1)
        while isinstance(todo[0], Send):
            sends += 1
            todo = tries.ended(at * 0.1, todo[0].number, False)
    assert 200 < sends <= 200 * 1.1 + MAX_BUDGET + 1


def test_a_retry_that_the_limit_stops_costs_no_budget() -> None:
    acts = Acts()
    tries = Tries(acts, asked(rate_per_s=1.0, retries=1))
    tries.begin(0.0)
    budget_before = acts.counts["r"].budget
    assert tries.ended(0.1, 1, False) == [Done(1)] and acts.counts["r"].budget == budget_before >= 1.0


def test_a_full_counter_table_evicts_only_idle_counters(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("beechrock.lowering.acts.MAX_COUNTS", 2)
    acts, slow = Acts(), Limits(0.01)
    for key in ("a", "b"):
        assert acts.admit(0.0, key, slow) == 0.0
        acts.ended(key)
    assert acts.admit(1.0, "c", slow) > 0, "the table is full: the caller must retry later"
    assert acts.admit(1.0, "a", slow) > 0, "the counter of a is kept"
    assert acts.admit(101.0, "c", slow) == 0.0


def test_only_one_hedge_is_sent_and_the_first_good_answer_wins() -> None:
    tries = Tries(Acts(), asked(hedge_ms=5))
    assert tries.begin(0.0) == [Send(1, OWN[0]), Wait(0.005)]
    assert tries.timer(0.005) == [Send(2, OWN[1])] and tries.state is State.TWICE
    assert tries.timer(0.006) == []
    assert tries.ended(0.007, 1, False) == [], "the hedge may still succeed"
    assert tries.ended(0.008, 2, True) == [Done(2)]


def test_mirror_answers_never_reach_the_caller_and_open_copies_are_bounded() -> None:
    acts, mirrored = Acts(), asked(mirrors=((0, 100),))
    stuck = asyncio.Event()

    async def send(address: tuple[str, int], copy: bool) -> Reply | None:
        assert copy == (address == MIRROR)
        if copy:
            await stuck.wait()
            return Reply(200, body=b"mirror")
        return Reply(200, body=b"own")

    async def scenario() -> None:
        spawned: list[asyncio.Task[None]] = []
        for _ in range(2 * MAX_COPIES):
            found = await sent(
                acts, mirrored, send, lambda: 0.0, lambda work, _: spawned.append(asyncio.ensure_future(work))
            )
            assert found == Reply(200, body=b"own")
        assert len(spawned) == acts.copies == MAX_COPIES
        stuck.set()
        await asyncio.gather(*spawned)
        assert acts.copies == 0

    asyncio.run(scenario())
