"""Actor that fetches plans, announces this node in the agreed log, and publishes if it holds the duty."""

import asyncio
from typing import Any

import blake3
import msgpack

from beechrock import clocks, logs
from beechrock.errors import OperatorError
from beechrock.lowering.abilities import LACKS
from beechrock.lowering.apart import compile_in_process
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
from beechrock.lowering.told import LoweringSettings
from beechrock.parts import Context

# Seconds between steps, between messages to peers, and between requests for a plan; timeout of a proposal.
TICK_S, HERE_S, ASK_S, PROPOSE_S = 0.1, 0.5, 1.0, 3.0
READ_S = 3.0  # Seconds to wait for the log at the start; a node that is cut off then uses what it has
TAKE_S = 5.0  # Seconds for a compiled inventory to come into force here, as the compile may read it earlier


class Lowering:
    """Part of the rollout that runs at this node."""

    def __init__(self, settings: LoweringSettings, context: Context) -> None:
        self.settings, self.context, self.counters = settings, context, context.counters
        self.talk, self.agree = context.parts["fleet"], context.parts["agree"]
        self.duties = context.parts.get("duties")
        self.name, self.life, self.hardware = self.talk.name, self.talk.life, self.talk.hardware
        self.machine, self.publisher = Machine(), Publisher(settings.prepare_s, settings.gone_s)
        self.machine.changed = self._changed
        self.agree.host("lowering", self.machine)
        self.router = Router(unread=True)
        self.plans = Plans(self.talk, self.talk.settings.state / "lowering", self._got_plan, self._bad_plan)
        self.tables: dict[str, Table | None] = {}  # By plan digest: table of this node's class
        self.tried: dict[tuple[int, str], float] = {}
        self.wake = asyncio.Event()
        self.measures = Measures(0.0, 0.0)
        self.compiling: asyncio.Task[None] | None = None
        self.compile = Compiling("")
        self.refused = ""  # Error text of the last failed compile or proposal
        self.steps, self.waits = 0, False
        self.active = (0, "", False)
        self._publishes = settings.publish and not LACKS  # Can't check tables with features it lacks
        servers = context.program.servers
        if servers is not None:
            servers.router = self.router
            self.router.load = servers.servers.weight
        if settings.ways:
            self.router.note = self._note

    # --- Interface of a part

    async def listen(self) -> None:
        """Load stored plans and measure this machine. Raises OSError if the folder of plans can't be used."""
        await asyncio.to_thread(self.plans.open)
        self.talk.on(CHANNEL, self.plans.take)
        kb = self.settings.memory_kb or free_kb() / 4
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
                await self._announce()
                await self._publish()
            except OperatorError as error:  # No quorum or a timeout: retry at the next step
                self.counters.add("lowering.not_told")
                self.refused = str(error)
                await asyncio.sleep(TICK_S)
        logs.event("lowering.broken", "error", what=self.machine.broken)

    async def _read(self) -> None:
        """Wait until the log is read up to its end at this node's start; before that no plan is used."""
        try:
            await self.agree.settled(READ_S)
        except OperatorError:
            self.counters.add("lowering.not_read")
        self.router.read()
        self._changed()

    async def leave(self) -> None:
        """Do nothing: a silent node is steered around, and the duty's own part gives back the duty."""

    def close(self) -> None:
        if self.compiling is not None:
            self.compiling.cancel()
        self.plans.close()

    # --- Changes in the log

    def _changed(self) -> None:
        """Put the active rollout into force for new requests, right after each command of the log."""
        self.wake.set()
        active = self.machine.active
        if active is None or self.machine.broken or self.router.unread:
            return
        prepared = active.prepared.get(self.name) == self.life
        table = self.tables.get(active.digest) if prepared else None
        if active.digest not in self.tables and prepared:
            return  # Restart within one life: called again after the table is loaded
        self.router.put_in_force(active.generation, Held(table, active.state, self._peers(active)))
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
        return {hardware: tuple(addresses) for hardware, addresses in found.items()}

    async def _propose(self, verb: str, *rest: Any) -> tuple[bool, Any]:
        done: tuple[bool, Any] = await self.agree.propose("lowering", command(verb, *rest), PROPOSE_S)
        if not done[0]:
            logs.event("lowering.not_taken", verb=verb, why=str(done[1]))
        return done

    def _digests(self) -> set[str]:
        """Return the digests of the open, the active and the previous rollout."""
        machine = self.machine
        return {r.digest for r in (machine.open, machine.active, machine.before) if r is not None}

    # --- Announcements of this node

    async def _announce(self) -> None:
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
                await self._recheck_memory(rollout)
            else:
                await self._prepare(rollout)

    def _scgi(self) -> str:
        front = self.context.program.scgi
        # A leaving node's front end has no socket; an IndexError here ended this part before its process.
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

    def _memory_kb(self, default: float) -> float:
        if self.settings.memory_file is None:
            return default
        try:
            return float(self.settings.memory_file.read_text())
        except (OSError, ValueError):
            return default

    async def _prepare(self, rollout: Rollout) -> None:
        key = rollout.number, rollout.digest
        if clocks.mono() - self.tried.get(key, -1e9) < ASK_S:
            return
        self.tried[key] = clocks.mono()
        plan = self.plans.held.get(rollout.digest)
        if plan is None:
            self.plans.ask(rollout.digest, (rollout.by, *sorted(rollout.prepared)))
            return
        reason = ""
        if rollout.digest not in self.tables:
            packed = plan.tables.get(self.hardware)
            reason = lacking(plan, self.hardware)
            if packed is None:
                reason = f"the plan has no class {self.hardware}"
            elif not reason:
                try:
                    self.tables[rollout.digest] = await asyncio.to_thread(Table, packed)
                except OperatorError as error:
                    reason = str(error)
        table = self.tables.get(rollout.digest)
        if table is not None:
            reason = self._memory_shortage(table)
        if not reason:
            logs.event("lowering.prepared", node=self.name, number=rollout.number, digest=rollout.digest)
            await self._propose("prepared", rollout.number, self.name, self.life, rollout.digest)
        elif rollout.cannot.get(self.name) != reason[:200]:
            await self._cannot(rollout, reason)

    def _memory_shortage(self, table: Table) -> str:
        self.measures = Measures(self._memory_kb(self.measures.memory_kb), self.measures.match_us)
        kb = held_bytes(table) / 1024
        return (
            ""
            if kb <= self.measures.memory_kb
            else (f"the table takes {kb:.0f} kB of {self.measures.memory_kb:.0f} kB here")
        )

    async def _recheck_memory(self, rollout: Rollout) -> None:
        """Give up a prepared plan whose memory others now use; being steered around beats running out."""
        table = self.tables[rollout.digest]
        reason = self._memory_shortage(table) if table is not None else ""
        if reason:
            await self._cannot(rollout, reason)
            del self.tables[rollout.digest]

    def _got_plan(self) -> None:
        self.tried.clear()
        self.wake.set()

    def _bad_plan(self, reason: str) -> None:
        rollout = self.machine.open
        if rollout is not None and self.name in self.machine.nodes:
            self.counters.spawn(self._cannot(rollout, reason), "lowering.cannot")

    async def _cannot(self, rollout: Rollout, reason: str) -> None:
        logs.event("lowering.cannot", "warning", node=self.name, number=rollout.number, why=reason)
        try:
            await self._propose("cannot", rollout.number, self.name, self.life, reason)
        except OperatorError:
            self.counters.add("lowering.not_told")

    # --- Publisher

    def _fence(self) -> int | None:
        """Return the fence for publishing, or None; without [duties] the log's leader publishes."""
        if not self._publishes:
            return None
        if self.duties is not None:
            fence: int | None = self.duties.may(DUTY)
            return fence
        return int(self.agree.term) if self.agree.leading() else None

    async def _publish(self) -> None:
        fence = self._fence()
        self.compile.add_inventory(self._wanted())
        if fence is None or self.compiling is not None:
            self.waits = False
            return
        now = clocks.mono()
        responsive = {
            self.name,
            *(name for name, at in self.plans.heard.items() if now - at < self.settings.gone_s),
        }
        step = self.publisher.step(now, self.machine, self._wanted(), responsive)
        self.waits = step is not None
        match step:
            case Compile():
                self.compile = Compiling(self._wanted())
                self.compiling = self.counters.spawn(self._compile(), "lowering.compile")
            case Activate(number, bypassed):
                await self._propose("activate", fence, number, list(bypassed))
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
        """Compile the policy in a child process, and propose its plan."""
        wanted, path = self._wanted(), self.context.program.configuration.scgi.path
        target = self.talk.settings.state / "lowering" / "compiled"
        try:
            data, output = await compile_in_process(path, target)
            if data is None:
                self.refused = output
                logs.event("lowering.refused", "warning", node=self.name, policy=wanted, why=output)
                return
            end = clocks.mono() + TAKE_S
            while output not in self.compile.seen and clocks.mono() < end:
                await asyncio.sleep(TICK_S)
            digest = self.plans.keep(data, self._digests())
            fence = self._fence()  # Checked again after each wait, as the duty may be lost meanwhile
            if not digest or fence is None or not self.compile.takes(output, self._wanted(), self.machine):
                return
            plan = self.plans.held[digest]
            lost = {state: list(names) for state, names in plan.lost.items()}
            done = await self._propose(
                "propose",
                fence,
                self.name,
                digest,
                output,
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

    # --- Operators

    def view(self) -> dict[str, Any]:
        rollout_view = view(self.machine, self.name, self.measures)
        return {
            **rollout_view,
            "hardware": self.hardware,
            "publishes": self._fence() is not None,
            "said": self.refused,
        }

    def ask(self, verb: str) -> Any:
        """Start ``halt`` or ``back``. Raises RolloutError if there is nothing to halt or to go back to."""
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


def begin(settings: object, context: Context) -> Lowering:
    assert isinstance(settings, LoweringSettings)
    part = Lowering(settings, context)
    context.views["/lowering"] = part.view
    for verb in ("halt", "back"):
        context.calls[f"/lowering/{verb}"] = lambda _, verb=verb: part.ask(verb)  # type: ignore[misc]
    return part
