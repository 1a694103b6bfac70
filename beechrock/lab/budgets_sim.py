"""Random histories of leases on a driven clock: the real machine and holders, one log as agree/ promises it.

After each step: in no pot was more spent than its whole, in truth, whoever is cut off, stopped or dead. Each
node's clock has its own rate, some walls are minutes apart; commands come late, twice or never; a node that
is stopped does not see the time. It spends up to the cap that it sees at that moment, and some comes back.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

from beechrock.replica import leases as log
from beechrock.replica.holder import DRIFT, Holder, State
from beechrock.replica.leases import Budgets, Closing, PotKey

LEASE_S, PERIOD_S, TICK_S = 1.0, 8.0, 0.05
WHOLE = 100.0


class Spender:
    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.rate = 1 + world.random.uniform(-DRIFT / 3, DRIFT / 3)
        self.off_s = world.random.choice([0.0, 0.0, 0.0, world.random.uniform(-300, 300)])
        self.life, self.up, self.stopped_s, self.cut = 0, True, 0.0, False
        self.begin()

    def begin(self) -> None:
        self.life += 1
        self.up = True
        self.holder = Holder(self.name, self.life, len(self.world.names), LEASE_S, without=self.world.without)
        self.spent: dict[PotKey, float] = {}

    @property
    def mono(self) -> float:
        return self.world.now * self.rate

    def pot(self) -> PotKey:
        return "budget", "t", 1 + int((self.world.now + self.off_s + 1000) // PERIOD_S)

    def turn(self) -> None:
        now, holder = self.mono, self.holder
        holder.pots({self.pot(): (WHOLE, 1), ("rate", "dep", 0): (50.0, 1)})
        holder.look(now)
        for pot in holder.holdings:
            if pot[0] == "budget":
                holder.used(now, pot, self.spent.get(pot, 0.0))
        if asks := holder.asks(now):
            self.world.propose(
                self,
                log.ask(self.name, self.life, asks),
                lambda told: holder.answered(now, told) if isinstance(told, list) else None,
            )
        for one in holder.surplus(now):
            self.world.propose(
                self, log.back(self.name, self.life, one.pot, one.id, one.n, one.amount), holder.gave_back
            )

    def spend(self, most: float) -> None:
        """As a request does: the look first, then what is left of the cap."""
        self.turn()
        one = self.holder.holdings[self.pot()]
        room = one.cap - one.spent
        took = min(room, self.world.random.uniform(0, most))
        if took > 0:
            self.spent[one.pot] = self.spent.get(one.pot, 0.0) + took
            self.world.took(one.pot, took)
            self.holder.used(self.mono, one.pot, self.spent[one.pot])
            if self.world.random.random() < 0.2:  # it never ran, and is paid back
                self.spent[one.pot] -= took
                self.world.took(one.pot, -took)


class World:
    def __init__(self, seed: int, nodes: int = 4, without: frozenset[str] = frozenset()) -> None:
        self.random, self.without = random.Random(seed), without
        self.now, self.count, self.index = 0.0, 0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.budgets = Budgets(without=without)
        self.closing = Closing((1 + DRIFT) * LEASE_S)
        self.names = [f"n{n}" for n in range(nodes)]
        self.spent: dict[PotKey, float] = {}
        self.most = 0.0
        self.broken: list[str] = []
        self.splits = self.closed = self.spent_alone = 0
        self.after_end = 0
        self.nodes = {name: Spender(self, name) for name in self.names}
        for node in self.nodes.values():
            self.at(self.random.uniform(0, TICK_S), lambda n=node: self.tick(n))  # type: ignore[misc]
        self.at(0.5, self.lead)

    def at(self, after_s: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + after_s, self.count, call))

    def run(self, until_s: float) -> None:
        while self.events and self.events[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self.events)
            call()
            self.check()
        self.now = until_s

    def tick(self, node: Spender) -> None:
        if node.up and self.now >= node.stopped_s:
            node.turn()
            if self.random.random() < 0.3:
                node.spend(3.0)
        self.at(TICK_S, lambda: self.tick(node))

    def lead(self) -> None:
        for pot, ident, turn in self.closing.due(self.now, self.budgets):
            self.closed += 1
            command = log.close(pot, ident, turn)
            self.at(self.random.uniform(0, 0.8), lambda c=command: self.apply(c))  # type: ignore[misc]
        if self.random.random() < 0.02:
            self.closing = Closing((1 + DRIFT) * LEASE_S)  # another leads
        if self.random.random() < 0.05:  # a node that comes back reads a snapshot
            told, self.budgets = self.budgets.snapshot(), Budgets(without=self.without)
            self.budgets.restore(told)
        self.at(0.2, self.lead)

    def apply(self, command: bytes) -> Any:
        self.index += 1
        return self.budgets.apply(self.index, command)

    def propose(self, node: Spender, command: bytes, done: Callable[[Any], None]) -> None:
        """Late, or never, or its answer never; a doubled one is a proposal of the caller itself."""
        if node.cut or self.random.random() < 0.05:
            return
        life = node.life

        def arrive() -> None:
            told = self.apply(command)
            if self.random.random() < 0.9:
                self.at(self.random.uniform(0.001, 0.3), lambda: answer(told))

        def answer(told: Any) -> None:
            if not node.up or node.life != life or node.cut:
                return
            if self.now < node.stopped_s:
                return self.at(node.stopped_s - self.now, lambda: answer(told))
            done(told)

        self.at(self.random.uniform(0.001, 0.5), arrive)
        if self.random.random() < 0.05:
            self.at(self.random.uniform(0.001, 2.0), lambda: self.apply(command) and None)

    def took(self, pot: PotKey, amount: float) -> None:
        self.spent[pot] = self.spent.get(pot, 0.0) + amount
        self.most = max(self.most, self.spent[pot])

    def check(self) -> None:
        for pot, spent in self.spent.items():
            if spent > WHOLE + 1e-6 and len(self.broken) < 5:
                self.broken.append(f"{spent:g} of {WHOLE:g} spent in {pot} at {self.now:.2f}")
        for node in self.nodes.values():
            if node.up and self.now >= node.stopped_s:
                node.holder.look(node.mono)
        running = [node for node in self.nodes.values() if node.up and self.now >= node.stopped_s]
        rate = sum(
            one.cap
            for node in running
            for one in node.holder.holdings.values()
            if one.pot[0] == "rate" and one.state is State.HELD
        )
        if rate > 50.0 + 1e-6 and len(self.broken) < 5:
            self.broken.append(f"a rate of {rate:g} of 50 is held at {self.now:.2f}")

    def fault(self) -> None:
        node, last_s = self.nodes[self.random.choice(self.names)], self.random.uniform(0.2, 4.0)
        match self.random.choice(["split", "split", "stop", "crash"]):
            case "split":
                self.splits += 1
                for name in self.random.sample(self.names, self.random.randint(1, len(self.names) - 1)):
                    self.nodes[name].cut = True
                    self.at(last_s, lambda n=name: setattr(self.nodes[n], "cut", False))  # type: ignore[misc]
            case "stop":
                node.stopped_s = max(node.stopped_s, self.now + last_s)
            case "crash" if node.up:
                node.up = False
                self.at(last_s, node.begin)


def play(seed: int, seconds: float = 24.0, without: frozenset[str] = frozenset(), nodes: int = 4) -> World:
    world = World(seed, nodes, without)
    while world.now < seconds:
        world.run(world.now + world.random.uniform(0.1, 0.8))
        if world.random.random() < 0.4:
            world.fault()
    return world
