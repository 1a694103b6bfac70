"""Permits and releases in simulation: the real node, driver and machine, with pauses, deaths, lost and late
proposals, drivers that were replaced and go on, and clocks that leap; all from a seed.

``history(seed)`` gives a world whose ``broken`` lists what can never be, looked at after each step against
the one log; and what did not come to an end once all was healed.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from beechrock.lab.releases_below import FOR_S, GONE_S, Below
from beechrock.releases.driver import Command, Driver, Seen, Status, Watch
from beechrock.releases.judge import Figures, Rules
from beechrock.releases.machine import Machine
from beechrock.releases.node import Act, Do, Facts, Node
from beechrock.releases.permits import Budget
from beechrock.releases.release import Stage
from beechrock.releases.rows import command
from beechrock.releases.words import Reach

STEP_S, STEPS, HEAL_STEPS = 0.5, 240, 700
HALLS = ("east", "west", "north")
RULES = Rules(least=20, most_wait_s=10.0)
RETURN_S, QUORUM_S = 40.0, 6.0


@dataclass(slots=True)
class Process:
    """A node's process and what its machine has on disk."""

    name: str
    life: int
    version: str
    node: Node
    machine: Machine
    applied: int = 0
    drained: bool = False
    marker: bool = False
    wanted: str = ""  # on disk: what its supervisor is to start next
    up: bool = True
    paused_until: float = 0.0
    leap_s: float = 0.0  # of its own clock
    reads: list[tuple[float, int]] = field(default_factory=list)  # when begun, index that it needs
    held_back: list[Do] = field(default_factory=list)  # decided right before a pause
    served: int = 0
    driver: Driver | None = None
    fence: int = 0
    watch: Watch = field(default_factory=lambda: Watch(QUORUM_S))
    tried: dict[str, tuple[int, Reach]] = field(default_factory=dict)  # servers that are to return


class World:
    """One log, some nodes, one clock; the log itself is taken as right, as agree/ is tried elsewhere."""

    def __init__(self, seed: int) -> None:
        self.draw, self.now, self.broken, self.seed = random.Random(seed), 0.0, list[str](), seed
        count = self.draw.randrange(4, 9)
        self.names = [f"n{n}" for n in range(count)]
        self.hall = {name: HALLS[n % self.draw.choice((1, 2, 3))] for n, name in enumerate(self.names)}
        self.most = self.draw.randrange(1, 3)
        self.budgets: tuple[Budget, ...] = (Budget("fleet", most=self.most),)
        if self.draw.random() < 0.5:
            self.budgets += (Budget("hall", most=1, each_hall=True),)
        self.below = Below(self)
        self.log: list[bytes] = []
        self.truth = Machine()
        self.truth.changed = self._told
        self.late: list[tuple[float, str, int, bytes, Any]] = []  # proposals under way
        self.over: set[str] = set()  # targets whose permit was not counted
        self.done: set[tuple[Any, ...]] = set()
        self.said: dict[str, int] = {}  # by node the fence under which it said last that it is out
        self.bad = self.draw.random() < 0.4  # the new version is worse
        self.healed, self.split_until = False, 0.0
        self.rough = self.draw.choice((60, 120, 300))  # one event of those below in so many steps, each
        self.fence, self.took, self.drains, self.refused, self.resumed = 0, 0, 0, 0, 0
        self.processes = {name: self._process(name, 1, "1", False) for name in self.names}
        self._new_driver()

    def _process(self, name: str, life: int, version: str, marker: bool) -> Process:
        machine = Machine()
        made = Process(
            name, life, version, Node(2.0, 5.0, self.now, marker), machine, drained=marker, marker=marker
        )
        for index in range(len(self.log)):  # what its folder holds, at most
            machine.apply(index + 1, self.log[index])
        made.applied = len(self.log)
        return made

    # --- the log

    def propose(self, process: Process, data: bytes, then: Any = None) -> None:
        if self.split:
            return
        if self.healed or self.draw.random() < 0.9:
            late = 0.0 if self.draw.random() < 0.7 else self.draw.random() * 3
            self.late.append((self.now + late, process.name, process.life, data, then))

    def _commit(self) -> None:
        due = [one for one in self.late if one[0] <= self.now]
        self.late = [one for one in self.late if one[0] > self.now]
        self.draw.shuffle(due)
        for _, _, _, data, then in due:
            self.log.append(data)
            held = set(self.truth.permits.held)
            done = self.truth.apply(len(self.log), data)
            self.over &= set(self.truth.permits.held)
            if then is not None:
                then(done)
            self._look(held)

    def _told(self, index: int, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            if row["event"] == "permit" and row["over"]:
                self.over.add(row["target"])
            self.below.told(row)
            if row["event"] == "release" and row["what"] == "unchanged":
                self.done.discard((row["name"], row["target"], "sent", row["back"]))
            if row["event"] == "release" and row["what"] in ("sent", "returned"):
                key = row["name"], row["target"], row["what"], row["back"]
                if key in self.done:
                    self.never(f"a step twice: {key}")
                self.done.add(key)

    def _look(self, before: set[str]) -> None:
        """By a count of its own, over the one log."""
        if self.truth.broken:
            self.never(self.truth.broken)
        self.below.look()
        held = set(self.truth.permits.held) - set(self.below.names)
        counted = held - self.over
        if held - before and not (held - before) & self.over:
            if len(held) > self.most and len(self.names) > 1:
                self.never(f"{sorted(held)} are out, {self.most} may be")
            for hall in set(self.hall.values()):
                mine = {name for name in self.names if self.hall[name] == hall}
                if mine <= held or (len(self.budgets) > 1 and len(mine & counted) > 1):
                    self.never(f"hall {hall}: {sorted(mine & held)} are out")

    @property
    def split(self) -> bool:
        """No quorum anywhere."""
        return not self.healed and self.now < self.split_until

    def never(self, what: str) -> None:
        self.broken.append(f"at {self.now:.1f}: {what}")

    # --- processes

    def _run(self, process: Process) -> None:
        if not process.up:
            if self.healed or self.draw.random() < 0.2:
                version = process.wanted or process.version
                new = self._process(process.name, process.life + 1, version, process.marker)
                new.wanted = process.wanted
                self.processes[process.name] = new
            return
        if self.now < process.paused_until:
            return
        for do in process.held_back:  # decided before the pause, and done after it
            self._do(process, do)
        process.held_back.clear()
        most = len(self.log) if self.healed else self.draw.randrange(process.applied, len(self.log) + 1)
        for index in range(process.applied, most):
            process.machine.apply(index + 1, self.log[index])
        process.applied = most
        for began, need in list(process.reads):
            if process.applied >= need and not self.split:
                process.node.settled(began)
                process.reads.remove((began, need))
        process.served += not process.drained
        for do in process.node.decide(self.now + process.leap_s, self._facts(process)):
            if not self.healed and self.draw.random() < 0.01:
                process.held_back.append(do)
                process.paused_until = self.now + self.draw.random() * 2 * FOR_S
            else:
                self._do(process, do)
        self.below.turn(process)
        if process.driver is not None:
            self._drive(process)

    def _facts(self, process: Process) -> Facts:
        machine, name = process.machine, process.name
        permit, mine = machine.permits.held.get(name), machine.nodes.get(name)
        fence = permit.fence if permit is not None else 0
        return Facts(
            fence,
            permit.for_s if permit is not None else 0.0,
            machine.may_go(name, fence),
            name in machine.gone,
            machine.to_return(name),
            machine.word(name),
            process.version,
            mine is not None and mine.life == process.life,
            mine is not None and mine.proved,
            open=self.draw.randrange(2),
        )

    def _do(self, process: Process, do: Do) -> None:
        name, life = process.name, process.life
        match do.act:
            case Act.HERE:
                self.propose(process, command("here", name, life, self.hall[name], "x", process.version))
            case Act.READ:
                if len(process.reads) < 2:
                    process.reads.append((self.now + process.leap_s, len(self.log)))
            case Act.GO:
                process.marker = True  # before `go`, so whoever is killed between comes up drained
                self.propose(process, command("go", name, do.fence))
            case Act.DRAIN:
                self.drains += 1
                process.drained = process.marker = True
                self._out(name, do.fence)
            case Act.OUT:
                self.resumed += 1
                self._out(name, do.fence)
            case Act.CHANGE:
                if not process.drained or not self.truth.permits.valid(name, do.fence):
                    self.never(f"{name} changed its version without a permit")
                self._was_heard(process)
                process.wanted, process.up = do.version, False
            case Act.SERVE:
                self._was_heard(process)
                process.drained = process.marker = False
            case Act.BACK | Act.UNUSED:
                self.propose(process, command("back", name, do.fence, life, do.act is Act.UNUSED))
            case Act.PROVED:
                self.propose(process, command("proved", name, life))

    def _out(self, name: str, fence: int) -> None:
        if not self.truth.permits.valid(name, fence) or name not in self.truth.gone:
            self.never(f"{name} went out under {fence}, which is no permit")
        self.said[name] = fence

    def _was_heard(self, process: Process) -> None:
        """It was drained: whoever counts by the nodes' own words heard of that."""
        gone = process.machine.gone.get(process.name)
        if gone is not None and self.said.get(process.name) != gone:
            self.never(f"{process.name} was out under {gone}, and never said so")

    # --- the driver

    def _new_driver(self) -> None:
        """The one before may go on with its older fence."""
        if self.draw.random() < 0.5:
            for process in self.processes.values():
                process.driver = None
        self.fence += 1
        process = self.processes[self.draw.choice(self.names)]
        process.driver, process.fence = Driver(RULES, RETURN_S, GONE_S), self.fence

    def _drive(self, process: Process) -> None:
        driver = process.driver
        assert driver is not None
        stood = process.watch.look(self.now, not self.split, process.machine)
        outage = f"no quorum for {stood:.0f} s" if stood else ""
        for one in driver.step(self.now, self._seen(process, outage)):
            self.propose(process, command(one.verb, process.fence, *one.rest), self._answer(driver, one))

    def _answer(self, driver: Driver, one: Command) -> Any:
        def answer(done: tuple[bool, Any]) -> None:
            if one.verb == "take":
                self.took += done[0]
                self.refused += not done[0]
                if not done[0]:
                    driver.refused(self.now, one.rest[1], str(done[1]))

        return answer

    def _seen(self, process: Process, outage: str) -> Seen:
        heard, down = {}, set()
        for name, other in self.processes.items():
            if other.up and self.now >= other.paused_until - 1:
                n = other.served
                failed = 3 * n if self.bad and other.version == "2" else 0
                heard[name] = Status(other.life, Figures(10 * n, 10 * n - failed, failed=failed))
            elif self.draw.random() < 0.9:
                down.add(name)
        return Seen(
            process.machine,
            heard,
            frozenset(down),
            self.names,
            [],
            self.below.rows(),
            self.budgets + self.below.budgets,
            outage,
        )

    # --- the whole

    def play(self) -> None:
        for step in range(STEPS + HEAL_STEPS):
            self.now += STEP_S
            if step == STEPS:
                self._heal()
            if step < STEPS:
                self._fault()
                self.below.fault()
            elif self._over():
                break
            self._commit()
            for name in self.names:
                self._run(self.processes[name])
            if len(self.broken) > 3:
                return
        if not self._over():
            stages = {one.plan.name: one.stage.value for one in self.truth.releases.values()}
            self.never(f"did not end: {stages} {sorted(self.truth.permits.held)} {sorted(self.truth.cold())}")
        for process in self.processes.values():
            for index in range(process.applied, len(self.log)):
                process.machine.apply(index + 1, self.log[index])
            if process.machine.snapshot() != self.truth.snapshot():
                self.never(f"{process.name} has another state than the log")

    def _fault(self) -> None:
        draw, process = self.draw, self.processes[self.draw.choice(self.names)]
        match draw.randrange(self.rough):
            case 0:
                process.up = False
            case 1:
                process.paused_until = self.now + draw.random() * 2 * FOR_S
            case 2:
                process.leap_s += draw.choice((-1, 1)) * draw.random() * FOR_S
            case 3 | 4:
                self._new_driver()
            case 5:
                self.propose(process, command("ask", process.name, "op", "why", FOR_S, [], False))
            case 6 | 7 | 8 | 9:
                for name in self.truth.permits.held:
                    self.propose(process, command("return", name, "op"))
            case 10:
                self.split_until = self.now + draw.random() * 3 * QUORUM_S
            case 11 | 12:
                self._word(draw.choice(("pause", "resume", "resume", "resume", "halt", "back")))
            case 13 | 14 | 15 | 16 | 17 if self.truth.names and self.truth.running() is None:
                name = f"r{len(self.truth.releases)}"
                waves = [[one] for one in self.names[:2]] + [self.names[2:]]
                self.propose(process, command("plan", name, "2", "1", waves, FOR_S, "op"))
                self.propose(process, command("word", name, "start", "op", ""))

    def _word(self, what: str) -> None:
        release = self.truth.running()
        if release is not None:
            by = next(iter(self.processes.values()))
            self.propose(by, command("word", release.plan.name, what, "op", ""))

    def _heal(self) -> None:
        """Everything works again, and an operator takes back what is not over."""
        self.healed = True
        self.below.heal()
        for process in self.processes.values():
            process.paused_until, process.driver = 0.0, None
        self._new_driver()

    def _over(self) -> bool:
        release = self.truth.running()
        if release is not None and release.stage is not Stage.BACKING:
            self._word("back")
        driver = any(process.driver is not None for process in self.processes.values())
        if not driver:
            self._new_driver()
        for name, permit in self.truth.permits.held.items():
            if not permit.release and name not in self.truth.returning:
                by = self.processes.get(name, self.processes[self.names[0]])
                self.propose(by, command("return", name, "op"))
        return release is None and not self.truth.permits.held and not self.truth.cold()


def history(seed: int) -> World:
    world = World(seed)
    world.play()
    return world
