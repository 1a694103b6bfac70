"""Servers below in the simulated releases: replaced while they are out, reached by some nodes only, and given
back by what the real words say of that.
"""

import random
from typing import TYPE_CHECKING, Any

from beechrock.releases.judge import Figures
from beechrock.releases.permits import Budget, Kind
from beechrock.releases.rows import command
from beechrock.releases.words import Heard, Reach, Word, proved

if TYPE_CHECKING:
    from beechrock.lab.releases_sim import Process, World

GONE_S, FOR_S = 2.0, 15.0


class Below:
    """Of one world; its draws are its own, so those of the nodes are what they are without servers."""

    def __init__(self, world: "World") -> None:
        self.world, self.draw = world, random.Random(world.seed + 0.5)
        self.names = [f"s{n}:1" for n in range(self.draw.choice((0, 2, 3, 4)))]
        self.most = 1
        self.budgets = (Budget("db", most=self.most, kind=Kind.SERVER, service="s"),) if self.names else ()
        self.gone = set[str]()  # takes no connection
        self.far = set[tuple[str, str]]()  # of this node
        self.reached: dict[int, set[str]] = {}  # by fence: who did reach it since it is to return
        self.of: dict[int, int] = {}  # by fence: the fewest that a driver counted by
        self.back = 0

    def rows(self) -> list[list[Any]]:
        return [[name, ["s"]] for name in self.names]

    def turn(self, process: "Process") -> None:
        """It tries those that are to return; who drives gives back what is proved by the words it heard."""
        world, machine = self.world, process.machine
        returning = {name: machine.returning[name] for name in self.names if name in machine.returning}
        process.tried = {}
        for name, fence in returning.items():
            good = name not in self.gone and (process.name, name) not in self.far
            process.tried[name] = fence, Reach.YES if good else Reach.NO
            if good:
                self.reached.setdefault(fence, set()).add(process.name)
        if process.driver is None or not returning:
            return
        heard = Heard(GONE_S)
        for name, other in world.processes.items():
            if other.up and world.now >= other.paused_until - 1:
                heard.take(world.now, name, other.life, Word("ready", "in", "1", 0, Figures()))
                heard.take(
                    world.now,
                    name,
                    other.life,
                    tuple((target, fence, one) for target, (fence, one) in other.tried.items()),
                )
        for name, fence in returning.items():
            reached, of = heard.reached(world.now, name, fence)
            if proved(reached, of):
                self.of[fence] = min(of, self.of.get(fence, of))
                world.propose(process, command("back", name, fence, 0))

    def told(self, row: dict[str, Any]) -> None:
        if row["event"] == "permit" and row["target"] in self.names and row["state"] == "back":
            self.back += 1
            reached, of = len(self.reached.get(row["fence"], ())), self.of.get(row["fence"], 0)
            if not 2 * reached > of > 0:
                self.world.never(f"{row['target']} is back, and {reached} of {of} reached it")

    def look(self) -> None:
        held = set(self.world.truth.permits.held) & set(self.names)
        if len(held) > self.most or (held and held == set(self.names)):
            self.world.never(f"servers {sorted(held)} are out")

    def fault(self) -> None:
        if not self.names or self.draw.random() < 0.8:
            return
        world, name, by = self.world, self.draw.choice(self.names), self.draw.choice(self.world.names)
        match self.draw.randrange(5):
            case 0 | 1:
                down = sorted(one for one in self.names if one in self.gone or (by, one) in self.far)
                world.propose(world.processes[by], command("ask", name, "op", "why", FOR_S, down, False))
            case 2:
                self.gone ^= {name}
            case 3:
                self.far ^= {(by, name)}
            case 4:
                world.propose(world.processes[by], command("return", name, "op"))

    def heal(self) -> None:
        self.gone, self.far = set(), set()
