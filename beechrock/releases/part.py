"""The thin actor: carries out what ``node`` and ``driver`` decide, and tells the others twice a second.

For the other parts: ``await ask(target, why, for_s, claim)``, ``await back(target, fence)``,
``may_go(fence)``.
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
from beechrock.releases.servers import Below, unreached
from beechrock.releases.told import EXIT, Told
from beechrock.releases.words import Heard, Timed, Word, counted, decode, encode, encode_servers, proved
from beechrock.store import folder as state_folder
from beechrock.store.errors import at_start

MACHINE = CHANNEL = "releases"
DUTY = "releases:driver"
TICK_S, BEAT_S, WITHIN_S, AGAIN_S = 0.1, 0.5, 3.0, 0.3


class Releases:
    """This node's permit, and the driver of all while it holds the duty."""

    def __init__(self, told: Told, context: Context, clock: Callable[[], float] = clocks.boot) -> None:
        self.told, self.context, self.clock = told, context, clock
        self.counters, self.program = context.counters, context.program
        self.talk, self.agree, self.duties = (context.parts[name] for name in ("fleet", "agree", "duties"))
        self.name, self.life = self.talk.name, self.talk.life
        self.names = sorted({self.name, *self.talk.peers})
        self.machine, self.heard = Machine(), Heard(told.gone_s)
        self.machine.changed = self._changed
        self.agree.host(MACHINE, self.machine)
        self.node = Node(told.warm_s, told.drain_s, clock(), quiet_s=told.quiet_s)
        self.watch, self.outage = Watch(told.quorum_s), 0.0
        self.driver: Driver | None = None
        self.below = Below(self)
        self.steps = 0
        self.under: set[str] = set()  # proposals and reads under way, by what they are about
        self.wake = asyncio.Event()
        self.by_hand = False  # it was drained by an operator's call before its permit
        self.shown = ""
        self.beat_at = 0.0
        self.marker: Marker | None = None  # from ``listen`` on
        context.module.table.counts = Timed(context.module)

    # --- for the other parts, and operators

    async def ask(self, target: str, why: str, for_s: float = 0.0, claim: bool = False, who: str = "") -> int:
        """The fence. PermitRefusedError says who is out in its place; NoQuorumError, UnsureError."""
        down = self._down()
        if target not in self.names:
            # Servers say nothing of themselves: one that was down counted as in, and the last could go.
            await self.settled()
            down |= await unreached(name for name, _ in self.machine.servers if name != target)
        done, what = await self.agree.propose(
            MACHINE,
            command("ask", target, who or self.name, why, for_s or self.told.for_s, sorted(down), claim),
            WITHIN_S,
        )
        if not done:
            raise PermitRefusedError(
                str(what),
                where=f"a permit for {target}",
                do="come back when one of these is in; see `beechrock drain list`",
            )
        return int(what)

    async def back(self, target: str, fence: int) -> bool:
        """An unused permit of this node's own. A server went out with its permit: it is told to return, and
        counts until it is reached."""
        if target not in self.names:
            await self.say("return", target, self.name)
            return True
        done: tuple[bool, Any] = await self.agree.propose(
            MACHINE, command("back", target, fence, self._life_of(target), True), WITHIN_S
        )
        return done[0]

    def may_go(self, fence: int) -> bool:
        """As this node's copy of the log has it; a read comes first after a pause."""
        return not self.machine.broken and self.machine.may_go(self.name, fence)

    async def settled(self) -> None:
        """What the machine says here after it is not older than the call. NoQuorumError."""
        await self.agree.settled(WITHIN_S)

    async def say(self, verb: str, *rest: Any) -> Any:
        """An operator's command. UnknownTargetError, ReleaseStateError with the log's reason, if it changed
        nothing."""
        done, what = await self.agree.propose(MACHINE, command(verb, *rest), WITHIN_S)
        if not done:
            known = {*self.machine.releases, *self.machine.permits.targets} if verb != "plan" else {rest[0]}
            kind: type[ReleaseError] = ReleaseStateError if rest[0] in known else UnknownTargetError
            raise kind(str(what), where=f"releases: {verb} {rest[0]}", do="see `beechrock release status`")
        return what

    # --- as a part of its node

    async def listen(self) -> None:
        """ConfigError without a second address; OSError where the folder can't be had."""
        if self.program.serving is None:
            raise ConfigError(
                "a node goes out by its second address",
                where="releases",
                wanted="LB_ADMIN_ADDR",
                do="or leave [releases] out",
            )
        folder = self.talk.settings.state / "releases"
        with at_start(folder):
            self.marker = Marker(state_folder.open_folder(folder))
            found = self.marker.found()
        if found:
            # A process that comes up in the middle of its way is not listed before its own proof.
            self.node.drained = True
            self.program.serving.fail()
        self.talk.on(CHANNEL, self._take)
        if self.told.drives:
            self.duties.declare(Duty(DUTY), Driving(self))

    async def run(self) -> None:
        while not self.machine.broken:
            with suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self.wake.wait()
            self.wake.clear()
            now = self.clock()
            self._beat(now)
            for do in self.node.decide(now, self._facts()):
                self._do(now, do)
            # Seen: serving is decided once, so a disk that failed just then kept the marker for good.
            if self.marker is not None and self.marker.owed:
                self.once("unmark", self.marker.settle())
            self._show()
            self.below.turn()
            self.outage = self.watch.look(now, bool(self.agree.leader), self.machine)
            self._drive(now)
        error = BrokenInvariantError(self.machine.broken, where=self.name, do="docs/releases.md")
        logs.event(error.event, "error", **error.fields())

    async def leave(self) -> None:
        """Nothing is owed: a permit stays with its target, and the duty is given back by its own part."""

    def close(self) -> None:
        """Files are open only while they are written."""

    # --- what is seen

    def _changed(self, index: int, rows: list[dict[str, Any]]) -> None:
        for told in rows:
            logs.event(str(told["event"]), **{key: value for key, value in told.items() if key != "event"})
        self.wake.set()

    def _take(self, sender: str, life: int, data: bytes) -> None:
        word = decode(data)
        if word is None:
            self.counters.add("releases.dropped")
        else:
            self.heard.take(self.clock(), sender, life, word)

    def _beat(self, now: float) -> None:
        if now - self.beat_at < BEAT_S:
            return
        self.beat_at = now
        fence, driver = self._fence(), self.driver
        word = Word(
            self.program.serving.state.value,
            self.node.state.value,
            self.told.version,
            self._open(),
            counted(self.context.module.table.counts),
            fence or 0,
            tuple(driver.waits) if driver is not None and fence else (),
            self.outage,
            self.machine.moved,
        )
        self.heard.take(now, self.name, self.life, word)
        said = [encode(word)]
        if servers := self.below.told():
            self.heard.take(now, self.name, self.life, servers)
            said.append(encode_servers(servers))
        for peer in self.talk.peers:
            for data in said:
                self.talk.send(peer, CHANNEL, data)

    def _open(self) -> int:
        return int(self.context.module.table.counts.concurrent)

    def _down(self) -> frozenset[str]:
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
        hears = [peer for peer in self.heard.lately(self.clock()) if peer != self.name]
        module = self.context.module
        by_hand = self.by_hand if self.node.drained else serving.failed
        return Facts(
            fence,
            permit.for_s if permit is not None else 0.0,
            self.may_go(fence),
            name in machine.gone,
            machine.to_return(name),
            machine.word(name),
            self.told.version,
            here=mine is not None and mine.life == self.life,
            proved=mine is not None and mine.proved,
            able=bool(module.can_run()) and module.status.healthy and not by_hand and not serving.leaving,
            linked=bool(self.agree.leader) and 2 * len(hears) >= len(self.names) - 1,
            open=self._open(),
            taken=module.table.counts.taken,
        )

    def _show(self) -> None:
        if self.node.state.value != self.shown:
            self.shown = self.node.state.value
            logs.event("releases.node", state=self.shown, fence=self.node.seen[0], version=self.told.version)

    # --- what is done

    def _do(self, now: float, do: Do) -> None:
        """DRAIN and SERVE without an await after they were decided: nothing comes between."""
        match do.act:
            case Act.READ:
                self.once("read", self._read(now))
            case Act.HERE:
                self._say("here", self.name, self.life, self.talk.hall, self.talk.hardware, self.told.version)
            case Act.PROVED:
                self._say("proved", self.name, self.life)
            case Act.GO:
                self.once("go", self._go(do.fence))
            case Act.BACK | Act.UNUSED:
                self._say("back", self.name, do.fence, self.life, do.act is Act.UNUSED)
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
                self.marker.owed = True
                logs.event("node.in", target=self.name, version=self.told.version)
                # Heard late, its old word would leave it down in the eyes of those who ask next.
                self.beat_at = now - BEAT_S
                self._beat(now)
            case Act.CHANGE:
                self.once("change", self._change(do))

    async def _read(self, began: float) -> None:
        await self.settled()
        self.node.settled(began)
        self.wake.set()

    async def _go(self, fence: int) -> None:
        """The marker first: killed right after ``go``, it comes up drained, or finds the permit ended."""
        assert self.marker is not None
        await self.marker.out(fence)
        await self.agree.propose(MACHINE, command("go", self.name, fence), WITHIN_S)

    async def _change(self, do: Do) -> None:
        assert self.marker is not None
        await self.marker.wanted(do.version)
        logs.event(
            "release.change", target=self.name, fence=do.fence, version=do.version, by=self.told.on_change
        )
        if self.told.on_change == EXIT:
            self.program.leave()

    def _say(self, verb: str, *rest: Any, then: Callable[[tuple[bool, Any]], None] | None = None) -> None:
        """One at a time of what it is about; what is refused or lost comes again with the next turns."""

        async def propose() -> None:
            done: tuple[bool, Any] = await self.agree.propose(MACHINE, command(verb, *rest), WITHIN_S)
            if then is not None:
                then(done)
            if not done[0]:
                logs.event("releases.not_taken", verb=verb, why=str(done[1]))
                await asyncio.sleep(AGAIN_S)

        self.once(f"{verb} {rest[:3]}", propose())

    def once(self, key: str, work: Any) -> None:
        if key in self.under:
            work.close()
            return
        self.under.add(key)

        async def whole() -> None:
            try:
                await work
            except (OperatorError, OSError) as error:  # no quorum, or a disk: it comes again
                self.counters.add("releases.not_done")
                logs.event("releases.not_done", "warning", about=key, why=str(error))
                await asyncio.sleep(AGAIN_S)
            finally:
                self.under.discard(key)
                self.wake.set()

        self.counters.spawn(whole(), "releases.do")

    # --- the driver

    def _fence(self) -> int | None:
        fence: int | None = self.duties.may(DUTY) if self.told.drives else None
        return fence if self.driver is not None else None

    def _drive(self, now: float) -> None:
        fence, driver = self._fence(), self.driver
        if fence is None or driver is None or not self.machine.index:
            return
        for name, since in self.machine.returning.items():
            if self.machine.permits.targets[name].kind is Kind.SERVER and proved(
                *self.heard.reached(now, name, since)
            ):
                self._say("back", name, since, 0)
        statuses: dict[str, Status] = self.heard.lately(now)
        voters = sorted(self.agree.voters)
        # A release that took half of the voters out would stand still with no way back.
        most = Budget(VOTERS, most=(len(voters) - 1) // 2, service=VOTERS)
        seen = Seen(
            self.machine,
            statuses,
            self._down(),
            self.names,
            voters,
            self.below.listed(),
            (*self.told.budgets, most),
            self.heard.outage(now, len(self.names), self.machine.moved),
            self.told.budgets_version,
        )
        for one in driver.step(now, seen):
            self.steps += 1
            self._say(one.verb, fence, *one.rest, then=self._answer(driver, one))

    def _answer(self, driver: Driver, one: Command) -> Callable[[tuple[bool, Any]], None]:
        def answer(done: tuple[bool, Any]) -> None:
            if one.verb == "take" and not done[0]:
                driver.refused(self.clock(), one.rest[1], str(done[1]))

        return answer

    def _life_of(self, target: str) -> int:
        node = self.machine.nodes.get(target)
        return node.life if node is not None else 0

    def waits(self) -> tuple[str, list[str]]:
        """Who drives, and what it waits for."""
        if self.driver is not None and self._fence() is not None:
            return self.name, list(self.driver.waits)
        name, waits = self.heard.driver(self.clock())
        return name, list(waits)


def begin(told: object, context: Context) -> Releases:
    """ConfigError: the tables that it stands on."""
    assert isinstance(told, Told)
    for table in ("fleet", "agree", "duties"):
        if table not in context.parts:
            raise ConfigError(
                f"[{table}] is not enabled", where="releases", do=f"enable [{table}], or not [releases]"
            )
    part = Releases(told, context)
    operators.offer(part, context)
    return part
