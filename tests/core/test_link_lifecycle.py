"""The link state machine over all orders of events, and how soon it connects to a working address."""

import copy
import itertools

import pytest

from beechrock import interface as api
from beechrock.core import link_lifecycle as life
from beechrock.core.link_lifecycle import PAUSE_LATENESS_S, CloseReason, LinkLifecycle, LinkState
from beechrock.net import agent, ledger
from beechrock.policy import Node

OLD, GOOD = ("127.0.0.1", 1), ("127.0.0.1", 2)
DEPTH = 7
NOW = 1000.0


class World:
    """A state machine, its simulated time, and the links that its actions have opened."""

    def __init__(self, limits: life.Limits) -> None:
        self.now, self.life = NOW, LinkLifecycle(limits, OLD, NOW)
        self.open: dict[int, life.Address] = {}

    def apply(self, event: life.Event) -> list[life.Action]:
        if isinstance(event, life.Refused | life.Ended):
            self.open.pop(event.link, None)
        actions = self.life.handle(self.now, event)
        for action in actions:
            match action:
                case life.Connect(number, address):
                    self.open[number] = address
                case life.Cut(number, _):
                    assert self.open.pop(number, None) is not None, "cut a link that is not open"
        self.check()
        return actions

    def check(self) -> None:
        machine = self.life
        assert len(self.open) <= 1, "two links at a time"
        held = machine.state not in (LinkState.WAITING, LinkState.OVER)
        assert held == bool(self.open)
        assert not held or machine.link in self.open
        quiet = machine.state is LinkState.UP and machine.limits.quiet_s == float("inf")
        if machine.state is not LinkState.OVER and not quiet:
            assert machine.due < self.now + 10, "a state without a deadline"
        if machine.limits.reconnect_s is not None:
            assert machine.state is not LinkState.OVER
            assert set(self.open.values()) <= {machine.address}, "a link to the old address"

    def key(self) -> tuple[object, ...]:
        m = self.life
        return (
            m.state,
            m.address,
            min(m.failures, 4),
            m._extended,
            round(m.due - self.now, 3) if m.due != float("inf") else None,
            round(min(self.now - m.last_received_at, 1.0), 2),
        )

    def moves(self) -> list[life.Event | float]:
        """Return possible next events, and numbers: seconds after which the event ``Due`` follows.

        The number -1 stands for a message, which only sets ``last_received_at``.
        """
        number = self.life.link
        kinds = (
            life.Opened,
            life.Refused,
            life.Greeted,
            life.Synced,
            life.MessageReceived,
            life.Closing,
            life.Ended,
        )
        found: list[life.Event | float] = [
            kind(n) for kind in kinds for n in {number, max(0, number - 1)} if self.possible(kind, n)
        ]
        found += [life.Moved(OLD), life.Moved(GOOD), -1.0]
        if self.life.due != float("inf"):
            found += [
                max(0.0, self.life.due - self.now),
                max(0.0, self.life.due - self.now) + 2 * PAUSE_LATENESS_S,
            ]
        return found

    def possible(self, kind: type, number: int) -> bool:
        return kind is not life.Refused or self.life.state is LinkState.CONNECTING or number != self.life.link

    def make(self, move: "life.Event | float") -> None:
        if move == -1.0:
            self.life.last_received_at = self.now  # set by the owner at each message
        elif isinstance(move, float):
            self.now += move
            self.apply(life.Due())
        else:
            self.apply(move)  # type: ignore[arg-type]


def reachable(limits: life.Limits) -> list[World]:
    seen, border = {}, [World(limits)]
    for _ in range(DEPTH):
        further = []
        for world, at in [(w, i) for w in border for i in range(len(w.moves()))]:
            after = copy.deepcopy(world)
            after.make(after.moves()[at])
            if after.key() not in seen:
                seen[after.key()] = after
                further.append(after)
        border = further
    return list(seen.values())


def until_able(world: World) -> float:
    """Return the seconds until a link is up at a peer that answers at once, but only on new links."""
    start, served_from = world.now, world.life.link + 1
    todo: list[life.Action] = []
    for _ in range(200):
        if world.life.state in (LinkState.UP, LinkState.PROBING) and world.life.link >= served_from:
            return world.now - start
        if not todo:
            world.now = max(world.now, world.life.due)
            todo = world.apply(life.Due())
            continue
        number = world.life.link
        match todo.pop(0):
            case life.Connect(n, _):
                todo += world.apply(life.Opened(n))
            case life.SendHandshake() if number >= served_from:
                todo += world.apply(life.Greeted(number))
            case life.SendSync() if number >= served_from:
                todo += world.apply(life.Synced(number))
    raise AssertionError(f"never able, from {world.key()}")


@pytest.mark.parametrize("limits", [agent.LIMITS, ledger.LIMITS], ids=["agent", "ledger"])
def test_the_invariants_hold_after_every_order_of_events(limits: life.Limits) -> None:
    states = {world.life.state for world in reachable(limits)}
    expected = set(LinkState) - (
        {LinkState.OVER} if limits.reconnect_s else {LinkState.GREETING, LinkState.SYNCING, LinkState.PROBING}
    )
    assert states == expected


def test_from_each_state_a_move_to_a_working_address_brings_the_link_up_at_once() -> None:
    worst = 0.0
    for world in reachable(agent.LIMITS):
        start, number, there = world.now, world.life.link, ("127.0.0.1", 3)
        assert life.Connect(number + 1, there) in world.apply(life.Moved(there))
        for event in (life.Opened, life.Greeted, life.Synced):
            world.apply(event(number + 1))
        assert world.life.state is LinkState.UP
        worst = max(worst, world.now - start)
    assert worst == 0.0


def test_from_each_state_a_peer_that_serves_new_links_only_gets_one_within_two_seconds() -> None:
    longest = agent.LIMITS.greet_s[1] if agent.LIMITS.greet_s else 0.0
    for world in reachable(agent.LIMITS):
        assert until_able(world) <= longest + 0.5


def test_a_silent_link_is_cut_within_half_a_second_and_later_after_a_pause_of_the_process() -> None:
    world = World(agent.LIMITS)
    world.apply(life.Due())
    for event in (life.Opened, life.Greeted, life.Synced):
        world.apply(event(1))
    world.life.last_received_at = world.now
    at = world.now
    world.now = world.life.due
    assert world.apply(life.Due()) == [life.SendProbe()]
    paused = copy.deepcopy(world)
    world.now = world.life.due
    assert world.apply(life.Due()) == [life.Cut(1, CloseReason.SILENT)]
    assert world.now - at <= 0.45
    # After a pause the peer's answer may be unread, so the deadline is extended once.
    paused.now = paused.life.due + 3.0
    assert paused.apply(life.Due()) == []
    paused.now = paused.life.due
    assert paused.apply(life.Due()) == [life.Cut(1, CloseReason.SILENT)]


def test_a_link_counts_as_able_longer_after_silence_than_after_a_break() -> None:
    world = World(agent.LIMITS)
    world.apply(life.Due())
    for event in (life.Opened, life.Greeted, life.Synced):
        world.apply(event(1))
    broken = copy.deepcopy(world)
    broken.apply(life.Ended(1))
    assert broken.life.able(world.now + 0.9) and not broken.life.able(world.now + 1.1)
    for _ in range(2):
        world.now = world.life.due
        world.apply(life.Due())
    assert world.life.able(world.now + 2.9) and not world.life.able(world.now + 3.1)


def test_lost_is_reported_at_every_third_failed_attempt() -> None:
    world = World(agent.LIMITS)
    lost = []
    for _ in range(6):
        world.now = world.life.due
        world.apply(life.Due())
        lost.append(life.Lost() in world.apply(life.Refused(world.life.link)))
    assert lost == [False, False, True] * 2


def test_an_overloaded_unhealthy_node_becomes_healthy_again_without_new_requests() -> None:
    """The record of long unread waits must expire, or an unhealthy node without traffic stays unhealthy."""
    settings = api.Settings(
        cores=2,
        memory_kb=1e6,
        tick_s=0.01,
        classes=(api.ClassSettings(latency_objective_s=1.0, deadline_s=4.0),),
    )
    node, ids, now = Node(settings, 1, 0.0), itertools.count(1), 0.0
    for _ in range(200):  # first, requests are served at a good rate
        now += 0.05
        three = [next(ids) for _ in range(3)]
        node.decide(
            now, [api.Arrived(api.Request(id=number, class_index=0, size_kb=1.0)) for number in three]
        )
        node.decide(now + 0.04, [api.RunFinished(number, api.Outcome.OK, 0.04) for number in three])
    for _ in range(400):  # then no run ends, and new requests have waited long
        now += 0.05
        node.decide(now, [api.Arrived(api.Request(id=next(ids), class_index=0, size_kb=1.0, age_s=0.9))])
        if not node.health.healthy:
            break
    assert not node.health.healthy
    for _ in range(200):
        now += 0.05
        node.decide(now, [])
        if node.health.healthy:
            break
    assert node.health.healthy
