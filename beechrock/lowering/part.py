"""The thin actor: brings plans to this node, tells the log what it can, and publishes where it holds the
duty."""

import asyncio
from typing import Any

import blake3
import msgpack

from beechrock import clocks, logs
from beechrock.errors import OperatorError
from beechrock.lowering.abilities import LACKS
from beechrock.lowering.apart import compiled
from beechrock.lowering.compile import lacking
from beechrock.lowering.duty import DUTY, Publishing
from beechrock.lowering.errors import RolloutError
from beechrock.lowering.measure import Measures, free_kb, measure
from beechrock.lowering.plans import CHANNEL, Plans
from beechrock.lowering.profile import Profile, differences
from beechrock.lowering.publish import Activate, Compile, Compiling, Lost, Publisher
from beechrock.lowering.rollout import Machine, Rollout, command
from beechrock.lowering.route import Address, Held, Router, Way
from beechrock.lowering.show import view
from beechrock.lowering.tables import Table, held_bytes
from beechrock.lowering.told import Told
from beechrock.parts import Context

TICK_S, HERE_S, ASK_S, PROPOSE_S = 0.1, 0.5, 1.0, 3.0
READ_S = 3.0  # so long a node that began may take to read the log; who is cut off goes by what it knows
TAKE_S = 5.0  # so long what was compiled may take to come into force here: files are read before they settle


class Lowering:
    """This node of the rollout."""

    def __init__(self, told: Told, context: Context) -> None:
        self.told, self.context, self.counters = told, context, context.counters
        self.talk, self.agree = context.parts["fleet"], context.parts["agree"]
        self.duties = context.parts.get("duties")
        self.name, self.life, self.hardware = self.talk.name, self.talk.life, self.talk.hardware
        self.machine, self.publisher = Machine(), Publisher(told.prepare_s, told.gone_s)
        self.machine.changed = self._changed
        self.agree.host("lowering", self.machine)
        self.router = Router(unread=True)
        self.plans = Plans(self.talk, self.talk.settings.state / "lowering", self._came, self._bad_plan)
        self.tables: dict[str, Table | None] = {}  # by digest, of this node's class
        self.tried: dict[tuple[int, str], float] = {}
        self.wake = asyncio.Event()
        self.measures = Measures(0.0, 0.0)
        self.compiling: asyncio.Task[None] | None = None
        self.made = Compiling("")
        self.refused = ""  # what the last compile or proposal said
        self.steps, self.waits = 0, False
        self.active = (0, "", False)
        self._publishes = told.publish and not LACKS  # what it does not know it can't judge for others
        servers = context.program.servers
        if servers is not None:
            servers.router = self.router
            self.router.load = servers.servers.weight
        if told.ways:
            self.router.note = self._note

    # --- as a part of its node

    async def listen(self) -> None:
        """OSError where the folder of plans can't be had."""
        await asyncio.to_thread(self.plans.open)
        self.talk.on(CHANNEL, self.plans.take)
        kb = self.told.memory_kb or free_kb() / 4
        self.measures = await asyncio.to_thread(measure, self._memory_kb(kb))
        if self.duties is not None and self._publishes:
            from beechrock.duties.model import Duty

            self.duties.declare(Duty(DUTY), Publishing(self))

    async def run(self) -> None:
        here_s = 0.0
        self.counters.spawn(self._read(), "lowering.read")
        while not self.machine.broken:
            try:
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            if clocks.mono() - here_s > HERE_S:
                here_s = clocks.mono()
                for peer in self.talk.peers:
                    self.talk.send(peer, CHANNEL, msgpack.packb(["up"]))
            try:
                await self._tell()
                await self._publish()
            except OperatorError as error:  # no quorum, or no end within time: comes again
                self.counters.add("lowering.not_told")
                self.refused = str(error)
                await asyncio.sleep(TICK_S)
        logs.event("lowering.broken", "error", what=self.machine.broken)

    async def _read(self) -> None:
        """Until the log is read to where it stood at this node's start, no plan of it counts."""
        try:
            await self.agree.settled(READ_S)
        except OperatorError:
            self.counters.add("lowering.not_read")
        self.router.read()
        self._changed()

    async def leave(self) -> None:
        """Nothing is owed: who is silent is steered round, and the duty is given back by its own part."""

    def close(self) -> None:
        if self.compiling is not None:
            self.compiling.cancel()
        self.plans.close()

    # --- what the log says

    def _changed(self) -> None:
        """After each command, in the same turn: what begins from here on goes by what is in force."""
        self.wake.set()
        active = self.machine.active
        if active is None or self.machine.broken or self.router.unread:
            return
        stands = active.prepared.get(self.name) == self.life
        table = self.tables.get(active.digest) if stands else None
        if active.digest not in self.tables and stands:
            return  # a restart within one life: comes again when it is loaded
        self.router.go_by(active.generation, Held(table, active.state, self._peers(active)))
        key = active.generation, active.state, table is not None
        if key != self.active:
            self.active = key
            logs.event(
                "lowering.active",
                node=self.name,
                generation=active.generation,
                digest=active.digest,
                state=active.state,
                runs=table is not None,
            )
            self.counters.set("lowering.generation", active.generation)

    def _note(self, trace: str, body: bytes, came: int, way: Way) -> None:
        logs.event(
            "lowering.way",
            node=self.name,
            trace=trace,
            request=blake3.blake3(body).hexdigest()[:16],
            came=came,
            generation=way.generation,
            steered=way.steered,
            refused=way.refused,
        )

    def _peers(self, rollout: Rollout) -> dict[str, tuple[Address, ...]]:
        found: dict[str, list[Address]] = {}
        for name in sorted(rollout.prepared):
            node = self.machine.nodes.get(name)
            if node is not None and node.scgi and name != self.name:
                host, _, port = node.scgi.rpartition(":")
                found.setdefault(node.hardware, []).append((host, int(port)))
        return {hardware: tuple(told) for hardware, told in found.items()}

    async def _propose(self, verb: str, *rest: Any) -> tuple[bool, Any]:
        done: tuple[bool, Any] = await self.agree.propose("lowering", command(verb, *rest), PROPOSE_S)
        if not done[0]:
            logs.event("lowering.not_taken", verb=verb, why=str(done[1]))
        return done

    def _digests(self) -> set[str]:
        """Plans that are under way, in force or before."""
        machine = self.machine
        return {r.digest for r in (machine.open, machine.active, machine.before) if r is not None}

    # --- this node

    async def _tell(self) -> None:
        mine = self.machine.nodes.get(self.name)
        scgi = self._scgi()
        differs = self._differs()
        if scgi and (
            mine is None
            or (mine.life, mine.hardware, mine.scgi, mine.differs)
            != (self.life, self.hardware, scgi, differs)
        ):
            await self._propose("here", self.name, self.life, self.hardware, self.talk.hall, scgi, differs)
        for rollout in (self.machine.open, self.machine.active, self.machine.before):
            if rollout is None or self.name not in rollout.nodes or self.name not in self.machine.nodes:
                continue
            if self.machine.nodes[self.name].life != self.life:
                continue
            if rollout.prepared.get(self.name) == self.life and rollout.digest in self.tables:
                await self._still_fits(rollout)
            else:
                await self._prepare(rollout)

    def _scgi(self) -> str:
        front = self.context.program.scgi
        # As it leaves, its front has no socket any more. Seen in the run of all parts at notices to leave: an
        # IndexError ended this part before its process.
        if front is None or front.server is None or not front.server.sockets:
            return ""
        return "{}:{}".format(*front.server.sockets[0].getsockname()[:2])

    def _differs(self) -> list[list[Any]]:
        rollout = self.machine.open or self.machine.active
        plan = self.plans.held.get(rollout.digest) if rollout is not None else None
        declared = plan.declared.get(self.hardware) if plan is not None else None
        if declared is None:
            mine = self.machine.nodes.get(self.name)
            return mine.differs if mine is not None else []
        profile = Profile(self.hardware, memory_kb=declared["memory_kb"], match_us=declared["match_us"])
        found = differences(
            profile, {"memory_kb": self.measures.memory_kb, "match_us": self.measures.match_us}
        )
        return [[d.key, d.declared, d.measured] for d in found if d.short]

    def _memory_kb(self, otherwise: float) -> float:
        if self.told.memory_file is None:
            return otherwise
        try:
            return float(self.told.memory_file.read_text())
        except (OSError, ValueError):
            return otherwise

    async def _prepare(self, rollout: Rollout) -> None:
        key = rollout.number, rollout.digest
        if clocks.mono() - self.tried.get(key, -1e9) < ASK_S:
            return
        self.tried[key] = clocks.mono()
        plan = self.plans.held.get(rollout.digest)
        if plan is None:
            self.plans.ask(rollout.digest, (rollout.by, *sorted(rollout.prepared)))
            return
        why = ""
        if rollout.digest not in self.tables:
            packed = plan.tables.get(self.hardware)
            why = lacking(plan, self.hardware)
            if packed is None:
                why = f"the plan has no class {self.hardware}"
            elif not why:
                try:
                    self.tables[rollout.digest] = await asyncio.to_thread(Table, packed)
                except OperatorError as error:
                    why = str(error)
        table = self.tables.get(rollout.digest)
        if table is not None:
            why = self._too_much(table)
        if not why:
            logs.event("lowering.prepared", node=self.name, number=rollout.number, digest=rollout.digest)
            await self._propose("prepared", rollout.number, self.name, self.life, rollout.digest)
        elif rollout.cannot.get(self.name) != why[:200]:
            await self._cannot(rollout, why)

    def _too_much(self, table: Table) -> str:
        self.measures = Measures(self._memory_kb(self.measures.memory_kb), self.measures.match_us)
        kb = held_bytes(table) / 1024
        return (
            ""
            if kb <= self.measures.memory_kb
            else (f"the table takes {kb:.0f} kB of {self.measures.memory_kb:.0f} kB here")
        )

    async def _still_fits(self, rollout: Rollout) -> None:
        """Memory that is taken by others after it was prepared: better steered round than out of memory."""
        table = self.tables[rollout.digest]
        why = self._too_much(table) if table is not None else ""
        if why:
            await self._cannot(rollout, why)
            del self.tables[rollout.digest]

    def _came(self) -> None:
        self.tried.clear()
        self.wake.set()

    def _bad_plan(self, why: str) -> None:
        rollout = self.machine.open
        if rollout is not None and self.name in self.machine.nodes:
            self.counters.spawn(self._cannot(rollout, why), "lowering.cannot")

    async def _cannot(self, rollout: Rollout, why: str) -> None:
        logs.event("lowering.cannot", "warning", node=self.name, number=rollout.number, why=why)
        try:
            await self._propose("cannot", rollout.number, self.name, self.life, why)
        except OperatorError:
            self.counters.add("lowering.not_told")

    # --- the publisher

    def _fence(self) -> int | None:
        """What this node may publish under now; without the table [duties] the log's leader does."""
        if not self._publishes:
            return None
        if self.duties is not None:
            fence: int | None = self.duties.may(DUTY)
            return fence
        return int(self.agree.term) if self.agree.leading() else None

    async def _publish(self) -> None:
        fence = self._fence()
        self.made.saw(self._wanted())
        if fence is None or self.compiling is not None:
            self.waits = False
            return
        now = clocks.mono()
        heard = {
            self.name,
            *(name for name, at in self.plans.heard.items() if now - at < self.told.gone_s),
        }
        step = self.publisher.step(now, self.machine, self._wanted(), heard)
        self.waits = step is not None
        match step:
            case Compile():
                self.made = Compiling(self._wanted())
                self.compiling = self.counters.spawn(self._compile(), "lowering.compile")
            case Activate(number, going_round):
                await self._propose("activate", fence, number, list(going_round))
            case Lost(number, state):
                await self._propose("lost", fence, number, state)
        self.steps += step is not None

    def _wanted(self) -> str:
        keeper = self.context.program.keeper
        if keeper is None:
            return ""
        running = keeper.life.running
        return str(running.digest) if running.meaning.counts.get("rules") else ""

    async def _compile(self) -> None:
        """In a process of its own: seconds of work, and a solver's memory, are not this loop's."""
        wanted, path = self._wanted(), self.context.program.configuration.scgi.path
        target = self.talk.settings.state / "lowering" / "compiled"
        try:
            data, said = await compiled(path, target)
            if data is None:
                self.refused = said
                logs.event("lowering.refused", "warning", node=self.name, policy=wanted, why=said)
                return
            end = clocks.mono() + TAKE_S
            while said not in self.made.seen and clocks.mono() < end:
                await asyncio.sleep(TICK_S)
            digest = self.plans.keep(data, self._digests())
            fence = self._fence()  # asked anew after each wait: the right may have gone meanwhile
            if not digest or fence is None or not self.made.takes(said, self._wanted(), self.machine):
                return
            plan = self.plans.held[digest]
            lost = {state: list(gone) for state, gone in plan.lost.items()}
            done = await self._propose(
                "propose",
                fence,
                self.name,
                digest,
                said,
                len(plan.data),
                sorted(plan.tables),
                lost,
                sorted({self.name, *self.talk.peers}),
            )
            self.refused = "" if done[0] else str(done[1])
            logs.event("lowering.proposed", node=self.name, digest=digest, taken=done[0], why=self.refused)
        except (OSError, TimeoutError, OperatorError) as error:
            self.refused = str(error)
        finally:
            self.compiling = None

    # --- operators

    def view(self) -> dict[str, Any]:
        told = view(self.machine, self.name, self.measures)
        return {
            **told,
            "hardware": self.hardware,
            "publishes": self._fence() is not None,
            "said": self.refused,
        }

    def ask(self, verb: str) -> Any:
        """``halt`` and ``back``: RolloutError where there is nothing to stop, or to go back to."""
        machine = self.machine
        if verb == "halt" and machine.open is None:
            raise RolloutError("nothing is under way", where="lowering", do="`back` goes to the plan before")
        if verb == "back" and machine.before is None:
            raise RolloutError("there is no plan before", where="lowering", do="change the policy instead")

        async def propose() -> None:
            try:
                await self._propose(verb, self.name)
            except OperatorError as error:
                self.refused = str(error)

        self.counters.spawn(propose(), f"lowering.{verb}")
        return {"asked": verb, "see": "/lowering"}


def begin(told: object, context: Context) -> Lowering:
    assert isinstance(told, Told)
    part = Lowering(told, context)
    context.views["/lowering"] = part.view
    for verb in ("halt", "back"):
        context.calls[f"/lowering/{verb}"] = lambda _, verb=verb: part.ask(verb)  # type: ignore[misc]
    return part
