"""Time for which a duty has no holder after its holder, which was also the leader, has failed.

Clocks are driven by the tests; times are in seconds.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

import msgpack
import pytest

from beechrock.core.counters import Counters
from beechrock.duties import grants as log
from beechrock.duties.messages import HeldFence, RenewalRequest, encode
from beechrock.duties.model import Duty
from beechrock.duties.part import TICK_LEASES, Duties
from beechrock.duties.settings import DutiesSettings
from beechrock.lab.duties_member import LEASE_S as SIM_LEASE_S
from beechrock.lab.duties_member import RATES, TICK_S, SimMember
from beechrock.lab.duties_sim import World
from beechrock.parts import Context

LEASE_S = 2.0  # lease of the duty, in seconds
SHORT_S = 0.01  # time that a proposal takes, much shorter than a tick
STEP_S = 0.01  # step of the simulation while it waits for an election, in seconds


class DrivenSelector(selectors.SelectSelector):
    """Selector that does not wait, but advances the event loop's clock by the timeout."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing is due any more"
        self.now_s += max(0.0, timeout)
        return []


class DrivenLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.driven = DrivenSelector()
        super().__init__(self.driven)

    def time(self) -> float:
        return self.driven.now_s


def run(scenario: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=DrivenLoop) as runner:
        runner.run(scenario)


class Successor:
    """Node b with its duties and fakes of its log and links; node a, holder and leader, has failed."""

    name, life, hall, hardware, leader, term = "b", 1, "east", "big", "b", 2

    def __init__(self, begin_s: float, rate: float = 1.0) -> None:
        self.begin_s = begin_s  # seconds until a proposed BEGIN is in the log
        self.leads = False
        self.listeners: list[Callable[[bool], None]] = []
        self.granted: list[float] = []  # clock times at which a grant was proposed
        true_s = asyncio.get_running_loop().time
        self.clock = lambda: rate * true_s()
        self.duties = Duties(
            DutiesSettings(LEASE_S, 0.2), Context("b", 1, Counters(), None, None), self, self, self.clock
        )
        self.duties.declare(Duty("d"), self)
        for command in (
            log.declare(Duty("d", lease_s=LEASE_S)),
            log.begin("a", 1, 1),
            log.grant("d", "a", 1, 0, 2),
        ):
            self.apply(command)

    def apply(self, command: bytes) -> object:
        return self.machine.apply(self.machine.applied + 1, command)

    def lead(self, on: bool) -> None:
        self.leads = on
        for listener in self.listeners:
            listener(on)

    # --- fake of the agreed log

    def host(self, name: str, machine: Any) -> None:
        self.machine = machine

    def leading(self) -> bool:
        return self.leads

    def on_lead(self, listener: Callable[[bool], None]) -> None:
        self.listeners.append(listener)

    async def propose(self, name: str, command: bytes, within_s: float) -> Any:
        kind = msgpack.unpackb(command)[0]
        if kind == "grant":
            self.granted.append(self.clock())
        await asyncio.sleep(self.begin_s if kind == "begin" else SHORT_S)
        return self.apply(command)

    # --- fake of the transport

    def send(self, to: str, channel: str, message: bytes) -> bool:
        if to == self.name:
            asyncio.get_running_loop().call_later(0.001, lambda: self.handler("b", 1, message))
        return True

    def on(self, channel: str, handler: Callable[[str, int, bytes], None]) -> None:
        self.handler = handler

    # --- the worker

    async def take_over(self, fence: int) -> None:
        pass

    async def give_up(self) -> None:
        pass

    def lost(self) -> None:
        pass

    def progress(self) -> tuple[int, int]:
        return 0, 0


@pytest.mark.parametrize("begin_s", [0.001, 0.1, 0.4, 0.8])
def test_slow_begin_does_not_prolong_the_wait_for_the_old_lease(begin_s: float) -> None:
    async def scenario() -> None:
        successor = Successor(begin_s)
        running = asyncio.ensure_future(successor.duties.run())
        await asyncio.sleep(0.35)
        elected_s = successor.clock()
        successor.lead(True)
        await asyncio.sleep(LEASE_S - SHORT_S)
        assert not successor.granted, "node a may act for a whole lease after its last reply"
        await asyncio.sleep(LEASE_S)
        assert successor.granted[0] <= elected_s + LEASE_S + TICK_LEASES * LEASE_S + SHORT_S
        running.cancel()

    run(scenario())


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("elected_s", [0.30, 0.34, 0.38, 0.42])
def test_grant_whose_lease_expires_between_two_ticks_is_replaced_at_once(
    elected_s: float, rate: float
) -> None:
    async def scenario() -> None:
        successor = Successor(0.05, rate)
        ticks, tick = list[float](), successor.duties.leadership.tick

        def record_tick(now_s: float) -> None:
            ticks.append(now_s)
            tick(now_s)

        successor.duties.leadership.tick = record_tick  # type: ignore[method-assign]
        running = asyncio.ensure_future(successor.duties.run())
        await asyncio.sleep(elected_s)
        led_s = successor.clock()
        successor.lead(True)
        await asyncio.sleep(2 * LEASE_S)
        assert led_s + LEASE_S <= successor.granted[0] <= led_s + LEASE_S + SHORT_S
        running.cancel()
        ticks_near_expiry = [
            at for at in ticks if led_s + LEASE_S - TICK_LEASES * LEASE_S <= at <= successor.granted[0]
        ]
        assert len(ticks_near_expiry) <= 5, (
            "a timer that runs slightly ahead of the clock must not make ticks spin"
        )

    run(scenario())


def test_re_elected_leader_that_kept_renewing_waits_from_its_last_begin() -> None:
    """A duplicate of b's own BEGIN is applied after b's grantor has renewed a's grant again."""

    async def scenario() -> None:
        successor = Successor(0.05)
        running = asyncio.ensure_future(successor.duties.run())
        await asyncio.sleep(0.35)
        successor.lead(True)
        await asyncio.sleep(0.5)
        successor.lead(False)
        await asyncio.sleep(0.3)
        successor.lead(True)
        await asyncio.sleep(0.5)
        request = RenewalRequest(1, 1, "east", "big", True, False, 7, ("d",), (HeldFence("d", 3, 0, 0),))
        successor.handler("a", 1, encode(request))
        renewed_s = successor.clock()
        successor.apply(log.begin("b", 1, 2))
        await asyncio.sleep(2 * LEASE_S)
        assert successor.granted[0] >= renewed_s + LEASE_S
        running.cancel()

    run(scenario())


def grant_delay_after_election(seed: int, begin_s: float) -> float:
    """Return the seconds from a leader's election to its proposal to replace its predecessor's grant."""
    world = World(seed, members=4, duties=1, faults=0.0)
    world.run(3.0)
    old = world.members[world.lead]
    for member in world.members.values():
        member.drained = member is not old
    world.run(4.0)
    for member in world.members.values():
        member.drained = False
    world.run(2.0)
    assert old.name == world.lead and old.member_duties.may("d0", old.clock()) is not None
    given: list[float] = []
    propose = world.propose

    def slow_begin(member: SimMember, command: bytes, settled: Callable[[], None] | None) -> None:
        kind = msgpack.unpackb(command)[0]
        if kind == "begin":
            world.at(begin_s, lambda: world.append(command))
            return
        if kind == "grant":
            given.append(world.now)
        propose(member, command, settled)

    world.propose = slow_begin  # type: ignore[method-assign]
    world.kill(old, 100.0)
    while world.lead == old.name:
        world.run(STEP_S)
    elected_s = world.now
    world.run(6.0)
    assert not world.broken, world.broken
    return given[0] - elected_s


@pytest.mark.parametrize("seed", range(8))
def test_after_leader_and_holder_die_together_the_next_grant_comes_one_lease_after_the_election(
    seed: int,
) -> None:
    min_s = SIM_LEASE_S / RATES[1] - STEP_S
    max_s = SIM_LEASE_S / RATES[0] + 1.2 * TICK_S + STEP_S
    assert min_s <= grant_delay_after_election(seed, begin_s=0.4) <= max_s
