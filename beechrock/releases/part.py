"""The thin actor: carries out what ``node`` and ``driver`` decide, and reports to the peers twice a second.

Other parts await ``ask(target, why, for_s, claim)`` and ``back(target, fence)``, and call ``may_go(fence)``.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from beechrock import clocks, logs
from beechrock.config.errors import ConfigError
from beechrock.duties.model import Duty
from beechrock.errors import OperatorError
from beechrock.members.messages import MemberState
from beechrock.parts import Context
from beechrock.releases import operators
from beechrock.releases.agreed import VOTERS
from beechrock.releases.driver import Command, Driver, Seen, Status, Watch
from beechrock.releases.driving import Driving
from beechrock.releases.errors import (
    BrokenInvariantError,
    PermitRefusedError,
    ReleaseError,
    ReleaseStateError,
    UnknownTargetError,
)
from beechrock.releases.machine import Machine
from beechrock.releases.marker import Marker
from beechrock.releases.node import Act, Do, Facts, Node
from beechrock.releases.permits import Budget, Kind
from beechrock.releases.rows import command
from beechrock.releases.servers import ServerChecks, unreachable
from beechrock.releases.told import EXIT, ReleasesSettings
from beechrock.releases.words import Heard, SlowCounts, Word, decode, encode, encode_servers, proved, tally
from beechrock.store import folder as state_folder
from beechrock.store.errors import at_start

MACHINE = CHANNEL = "releases"
DUTY = "releases:driver"
TICK_S, REPORT_S, LOG_TIMEOUT_S, RETRY_S = 0.1, 0.5, 3.0, 0.3


class Releases:
    """This node's permit, and the driver of all releases while the node holds the duty."""

    def __init__(
        self, settings: ReleasesSettings, context: Context, clock: Callable[[], float] = clocks.boot
    ) -> None:
        self.settings, self.context, self.clock = settings, context, clock
        self.counters, self.program = context.counters, context.program
        self.talk, self.agree, self.duties = (context.parts[name] for name in ("fleet", "agree", "duties"))
        self.name, self.life = self.talk.name, self.talk.life
        self.names = sorted({self.name, *self.talk.peers})
        self.machine, self.heard = Machine(), Heard(settings.gone_s)
        self.machine.changed = self._on_changed
        self.agree.host(MACHINE, self.machine)
        self.node = Node(settings.warm_s, settings.drain_s, clock(), quiet_s=settings.quiet_s)
        self.watch, self.outage = Watch(settings.quorum_s), 0.0
        self.driver: Driver | None = None
        self.server_checks = ServerChecks(self)
        self.steps = 0  # commands that the driver has proposed
        self.in_progress: set[str] = set()  # keys of the tasks in progress
        self.wake = asyncio.Event()
        self.by_hand = False  # an operator's call had drained the node before its permit did
        self.shown = ""  # state of the node in the last event ``releases.node``
        self.reported_at = 0.0  # time of the last report
        self.marker: Marker | None = None  # set by ``listen``
        context.module.table.counts = SlowCounts(context.module)

    # --- for the other parts, and operators

    async def ask(self, target: str, why: str, for_s: float = 0.0, claim: bool = False, who: str = "") -> int:
        """Return the fence. Raises PermitRefusedError (lists who is out), NoQuorumError, UnsureError."""
        down = self._down()
        if target not in self.names:
            # Servers send no reports: without this check, one that is down would count as in service.
            await self.wait_for_log()
            down |= await unreachable(name for name, _ in self.machine.servers if name != target)
        done, what = await self.agree.propose(
            MACHINE,
            command("ask", target, who or self.name, why, for_s or self.settings.for_s, sorted(down), claim),
            LOG_TIMEOUT_S,
        )
        if not done:
            raise PermitRefusedError(
                str(what),
                where=f"a permit for {target}",
                do="come back when one of these is in; see `beechrock drain list`",
            )
        return int(what)

    async def back(self, target: str, fence: int) -> bool:
        """Give back this node's unused permit; ask a server to return, which is out until it is reached."""
        if target not in self.names:
            await self.propose_or_raise("return", target, self.name)
            return True
        done: tuple[bool, Any] = await self.agree.propose(
            MACHINE, command("back", target, fence, self._life_of(target), True), LOG_TIMEOUT_S
        )
        return done[0]

    def may_go(self, fence: int) -> bool:
        """Return whether this node's copy of the log lets it go out; after a pause, run a read first."""
        return not self.machine.broken and self.machine.may_go(self.name, fence)

    async def wait_for_log(self) -> None:
        """Wait until the machine is at least as new as this call. Raises NoQuorumError."""
        await self.agree.settled(LOG_TIMEOUT_S)

    async def propose_or_raise(self, verb: str, *rest: Any) -> Any:
        """Propose an operator's command. Raises UnknownTargetError or ReleaseStateError, if refused."""
        done, what = await self.agree.propose(MACHINE, command(verb, *rest), LOG_TIMEOUT_S)
        if not done:
            known = {*self.machine.releases, *self.machine.permits.targets} if verb != "plan" else {rest[0]}
            kind: type[ReleaseError] = ReleaseStateError if rest[0] in known else UnknownTargetError
            raise kind(str(what), where=f"releases: {verb} {rest[0]}", do="see `beechrock release status`")
        return what

    async def listen(self) -> None:
        """Read the marker. Raises ConfigError without an admin address, OSError without the folder."""
        if self.program.serving is None:
            raise ConfigError(
                "a node is drained through its admin address",
                where="releases",
                wanted="LB_ADMIN_ADDR",
                do="or leave [releases] out",
            )
        folder = self.talk.settings.state / "releases"
        with at_start(folder):
            self.marker = Marker(state_folder.open_folder(folder))
            found = self.marker.found()
        if found:
            # A process that starts while its node is out is not listed until it has proved that it serves.
            self.node.drained = True
            self.program.serving.fail()
        self.talk.on(CHANNEL, self._on_message)
        if self.settings.drives:
            self.duties.declare(Duty(DUTY), Driving(self))

    async def run(self) -> None:
        while not self.machine.broken:
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            self.wake.clear()
            now = self.clock()
            self._report(now)
            for do in self.node.decide(now, self._facts()):
                self._do(now, do)
            # SERVE is decided only once: without a retry, a disk error just then kept the marker forever.
            if self.marker is not None and self.marker.removal_pending:
                self.once("unmark", self.marker.finish_removal())
            self._log_state()
            self.server_checks.update()
            self.outage = self.watch.look(now, bool(self.agree.leader), self.machine)
            self._drive(now)
        error = BrokenInvariantError(self.machine.broken, where=self.name, do="docs/releases.md")
        logs.event(error.event, "error", **error.fields())

    async def leave(self) -> None:
        """Do nothing: a permit stays with its target, and the duties part gives the duty back."""

    def close(self) -> None:
        """Do nothing: files are open only while they are written."""

    def _on_changed(self, index: int, rows: list[dict[str, Any]]) -> None:
        for row in rows:
            logs.event(str(row["event"]), **{key: value for key, value in row.items() if key != "event"})
        self.wake.set()

    def _on_message(self, sender: str, life: int, data: bytes) -> None:
        report = decode(data)
        if report is None:
            self.counters.add("releases.dropped")
        else:
            self.heard.take(self.clock(), sender, life, report)

    def _report(self, now: float) -> None:
        if now - self.reported_at < REPORT_S:
            return
        self.reported_at = now
        fence, driver = self._fence(), self.driver
        report = Word(
            self.program.serving.state.value,
            self.node.state.value,
            self.settings.version,
            self._open(),
            tally(self.context.module.table.counts),
            fence or 0,
            tuple(driver.waits) if driver is not None and fence else (),
            self.outage,
            self.machine.moved,
        )
        self.heard.take(now, self.name, self.life, report)
        messages = [encode(report)]
        if servers := self.server_checks.reports():
            self.heard.take(now, self.name, self.life, servers)
            messages.append(encode_servers(servers))
        for peer in self.talk.peers:
            for data in messages:
                self.talk.send(peer, CHANNEL, data)

    def _open(self) -> int:
        return int(self.context.module.table.counts.concurrent)

    def _down(self) -> frozenset[str]:
        """Return the nodes that reports or the membership show as down."""
        dead: list[str] = []
        if self.program.members is not None and self.program.members.detector is not None:
            dead = [
                name
                for name, status in self.program.members.detector.statuses().items()
                if status.state is MemberState.DEAD and name in self.names
            ]
        return self.heard.down(self.clock(), self.names, self.machine.permits.held, dead)

    def _facts(self) -> Facts:
        machine, name, serving = self.machine, self.name, self.program.serving
        permit, mine = machine.permits.held.get(name), machine.nodes.get(name)
        fence = permit.fence if permit is not None else 0
        heard = [peer for peer in self.heard.recent_statuses(self.clock()) if peer != self.name]
        module = self.context.module
        manual = self.by_hand if self.node.drained else serving.failed
        return Facts(
            fence,
            permit.for_s if permit is not None else 0.0,
            self.may_go(fence),
            name in machine.gone,
            machine.to_return(name),
            machine.word(name),
            self.settings.version,
            registered=mine is not None and mine.life == self.life,
            proved=mine is not None and mine.proved,
            can_serve=bool(module.can_run()) and module.status.healthy and not manual and not serving.leaving,
            connected=bool(self.agree.leader) and 2 * len(heard) >= len(self.names) - 1,
            open=self._open(),
            taken=module.table.counts.taken,
        )

    def _log_state(self) -> None:
        if self.node.state.value != self.shown:
            self.shown = self.node.state.value
            logs.event(
                "releases.node", state=self.shown, fence=self.node.seen[0], version=self.settings.version
            )

    # --- actions

    def _do(self, now: float, do: Do) -> None:
        """Carry out an action. DRAIN and SERVE run without an await, so the decision still holds."""
        match do.act:
            case Act.READ:
                self.once("read", self._read(now))
            case Act.HERE:
                self._propose(
                    "here", self.name, self.life, self.talk.hall, self.talk.hardware, self.settings.version
                )
            case Act.PROVED:
                self._propose("proved", self.name, self.life)
            case Act.GO:
                self.once("go", self._go(do.fence))
            case Act.BACK | Act.UNUSED:
                self._propose("back", self.name, do.fence, self.life, do.act is Act.UNUSED)
            case Act.DRAIN:
                self.by_hand = self.program.serving.failed
                self.program.serving.fail()
                logs.event("node.out", target=self.name, fence=do.fence, already=False)
            case Act.OUT:
                logs.event("node.out", target=self.name, fence=do.fence, already=True)
            case Act.SERVE:
                if not self.by_hand:
                    self.program.serving.ok()
                assert self.marker is not None
                self.marker.removal_pending = True
                logs.event("node.in", target=self.name, version=self.settings.version)
                # Report at once: by the last report, peers count this node as down and may refuse permits.
                self.reported_at = now - REPORT_S
                self._report(now)
            case Act.CHANGE:
                self.once("change", self._change(do))

    async def _read(self, began: float) -> None:
        await self.wait_for_log()
        self.node.settled(began)
        self.wake.set()

    async def _go(self, fence: int) -> None:
        """Write the marker, then propose ``go``: if killed right after, the node comes up drained."""
        assert self.marker is not None
        await self.marker.out(fence)
        await self.agree.propose(MACHINE, command("go", self.name, fence), LOG_TIMEOUT_S)

    async def _change(self, do: Do) -> None:
        assert self.marker is not None
        await self.marker.wanted(do.version)
        logs.event(
            "release.change", target=self.name, fence=do.fence, version=do.version, by=self.settings.on_change
        )
        if self.settings.on_change == EXIT:
            self.program.leave()

    def _propose(self, verb: str, *rest: Any, then: Callable[[tuple[bool, Any]], None] | None = None) -> None:
        """Propose a command, one at a time for each key; later ticks repeat it if it was refused or lost."""

        async def propose() -> None:
            done: tuple[bool, Any] = await self.agree.propose(MACHINE, command(verb, *rest), LOG_TIMEOUT_S)
            if then is not None:
                then(done)
            if not done[0]:
                logs.event("releases.not_taken", verb=verb, why=str(done[1]))
                await asyncio.sleep(RETRY_S)

        self.once(f"{verb} {rest[:3]}", propose())

    def once(self, key: str, work: Any) -> None:
        """Run the work in a task, unless one with this key is in progress."""
        if key in self.in_progress:
            work.close()
            return
        self.in_progress.add(key)

        async def run() -> None:
            try:
                await work
            except (OperatorError, OSError) as error:  # no quorum, or a disk error: a later tick retries
                self.counters.add("releases.not_done")
                logs.event("releases.not_done", "warning", about=key, why=str(error))
                await asyncio.sleep(RETRY_S)
            finally:
                self.in_progress.discard(key)
                self.wake.set()

        self.counters.spawn(run(), "releases.do")

    # --- the driver

    def _fence(self) -> int | None:
        """Return the fence under which this node drives; None if it does not."""
        fence: int | None = self.duties.may(DUTY) if self.settings.drives else None
        return fence if self.driver is not None else None

    def _drive(self, now: float) -> None:
        fence, driver = self._fence(), self.driver
        if fence is None or driver is None or not self.machine.index:
            return
        for name, since in self.machine.returning.items():
            if self.machine.permits.targets[name].kind is Kind.SERVER and proved(
                *self.heard.reached(now, name, since)
            ):
                self._propose("back", name, since, 0)
        statuses: dict[str, Status] = self.heard.recent_statuses(now)
        voters = sorted(self.agree.voters)
        # A release that took half of the voters out would lose the quorum for going on or back.
        voters_budget = Budget(VOTERS, most=(len(voters) - 1) // 2, service=VOTERS)
        seen = Seen(
            self.machine,
            statuses,
            self._down(),
            self.names,
            voters,
            self.server_checks.listed(),
            (*self.settings.budgets, voters_budget),
            self.heard.outage(now, len(self.names), self.machine.moved),
            self.settings.budgets_version,
        )
        for proposal in driver.step(now, seen):
            self.steps += 1
            self._propose(proposal.verb, fence, *proposal.rest, then=self._answer(driver, proposal))

    def _answer(self, driver: Driver, proposal: Command) -> Callable[[tuple[bool, Any]], None]:
        def answer(done: tuple[bool, Any]) -> None:
            if proposal.verb == "take" and not done[0]:
                driver.refused(self.clock(), proposal.rest[1], str(done[1]))

        return answer

    def _life_of(self, target: str) -> int:
        node = self.machine.nodes.get(target)
        return node.life if node is not None else 0

    def waits(self) -> tuple[str, list[str]]:
        """Return the node that drives, and what it waits for."""
        if self.driver is not None and self._fence() is not None:
            return self.name, list(self.driver.waits)
        name, waits = self.heard.driver(self.clock())
        return name, list(waits)


def begin(settings: object, context: Context) -> Releases:
    """Create the part. Raises ConfigError if a table that it requires is not enabled."""
    assert isinstance(settings, ReleasesSettings)
    for table in ("fleet", "agree", "duties"):
        if table not in context.parts:
            raise ConfigError(
                f"[{table}] is not enabled", where="releases", do=f"enable [{table}], or not [releases]"
            )
    part = Releases(settings, context)
    operators.offer(part, context)
    return part
