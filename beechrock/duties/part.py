"""Thin actor of the duties: it connects messages over talk/, proposals through agree/ and the workers.

Other parts call ``declare(duty, worker)``, and ``may(name)`` right before each effect and again after each
await. All decisions are made in ``member_duties``, ``holder``, ``grants`` and ``grantor``; ``leadership``
runs the grantor, ``workers`` the workers and ``proposer`` the proposals.

States: taking part; leaving; broken, after a violated invariant. A broken actor holds no duty any more, while
the rest of the node continues to serve.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from beechrock import clocks, logs
from beechrock.duties import grants as log
from beechrock.duties import operators
from beechrock.duties.errors import DutyError
from beechrock.duties.generations import Generations
from beechrock.duties.grantor_data import Rules
from beechrock.duties.grants import GrantTable
from beechrock.duties.holder import Command, HolderState
from beechrock.duties.leadership import CHANNEL, Leadership
from beechrock.duties.member_duties import DutyAction, MemberDuties
from beechrock.duties.messages import MoveRequest, RenewalReply, RenewalRequest, decode, encode
from beechrock.duties.model import Duty
from beechrock.duties.ports import AgreedLogPort, TransportPort, Worker
from beechrock.duties.proposer import MACHINE, Proposer
from beechrock.duties.settings import DutiesSettings
from beechrock.duties.workers import WorkerTasks
from beechrock.parts import Context

# Interval between two ticks, as a share of the shortest lease; less than a third of PAUSE.
TICK_LEASES = 0.08
# Shortest wait for the next tick, in seconds. The clock of the event loop's timer may run slightly ahead of
# the clock of the leases, so a tick can come just before a lease ends; without this bound ticks would spin.
MIN_WAIT_S = 0.002


class ReportedState(NamedTuple):
    """State of a duty in the last log event about it."""

    state: HolderState
    fence: int


NOT_HELD = ReportedState(HolderState.IDLE, 0)


class Duties:
    """This node's duties and, while it leads, the grantor of all nodes' duties."""

    def __init__(
        self,
        settings: DutiesSettings,
        context: Context,
        agree: AgreedLogPort,
        transport: TransportPort,
        clock: Callable[[], float] = clocks.boot,
    ) -> None:
        self.settings = settings
        self.context = context
        self.agree = agree
        self.transport = transport
        self.clock = clock
        self.counters = context.counters
        self.wakeup = asyncio.Event()  # set to make the next tick run at once
        self.grants = GrantTable()
        self.member_duties = MemberDuties(
            transport.name, transport.life, transport.hall, transport.hardware, settings.lease_s, clock()
        )
        self.workers = WorkerTasks(self.counters, settings.lease_s, self._on_taken_over, self._on_given_up)
        self.proposer = Proposer(agree, self.counters, clock, self.wakeup.set)
        rules = Rules(settings.lease_s, settings.hold_down_s, settings.max_moves_per_s)
        self.leadership = Leadership(agree, transport, self.grants, rules, self.proposer, clock)
        self.generations: Generations | None = None  # None unless the program loads an inventory
        self.changed_s: dict[str, float] = {}  # clock time of the last change of the grant, by duty
        self.broken: DutyError | None = None  # violated invariant that stopped this actor
        self._fences_to_give_back: dict[str, int] = {}  # fence to propose a BACK for, by duty
        self._reported: dict[str, ReportedState] = {}  # state in the last log event, by duty
        self._all_idle = asyncio.Event()  # set when this node holds no duty
        self.grants.on_changed = self._on_grant_changed
        agree.host(MACHINE, self.grants)
        transport.on(CHANNEL, self._receive)

    # --- for the other parts

    def declare(self, duty: Duty, worker: Worker) -> None:
        """Add a duty that this node can hold, or change it; callable at any time.

        Raises DutyError if the duty is not within the bounds of docs/duties.md.
        """
        duty = replace(duty, lease_s=duty.lease_s or self.settings.lease_s)
        if not duty.is_valid:
            raise DutyError(
                f"{duty}",
                where=f"duty {duty.name}",
                do="see docs/duties.md",
                wanted="name, scope and lease within the bounds",
            )
        self.workers.register(duty.name, worker)
        self.member_duties.declare(duty)
        self.proposer.allow(f"declare {duty.name}")
        self.wakeup.set()

    def may(self, name: str) -> int | None:
        """Return the fence if this process may act now, else None.

        Callers must check this right before each effect, and again after each await.
        """
        return self.member_duties.may(name, self.clock()) if self.broken is None else None

    def floor(self, name: str) -> int:
        """Return the highest fence of the duty in this node's copy of the log, for ``Fences``."""
        return self.grants.floor.get(name, 0)

    # --- lifecycle as a part of the node

    async def listen(self) -> None:
        """Do nothing, because messages use the links of the part [fleet]."""

    async def run(self) -> None:
        """Tick until cancelled or until an invariant is violated."""
        if self.generations is not None:
            self.counters.spawn(self.generations.run(), "duties.generations")
        while self.broken is None:
            try:
                self._tick()
            except DutyError as error:  # a violated invariant: this process stops taking part
                self._stop_taking_part(error)
                return
            self.wakeup.clear()
            try:
                async with asyncio.timeout(self._wait_s()):
                    await self.wakeup.wait()
            except TimeoutError:
                pass

    def _wait_s(self) -> float:
        """Return the seconds until the next tick: an interval, or less if a granted lease ends sooner."""
        now_s = self.clock()
        left_s = max(MIN_WAIT_S, self.leadership.next_expiry_s(now_s) - now_s)
        return min(TICK_LEASES * self._shortest_lease_s(), left_s)

    def _shortest_lease_s(self) -> float:
        own_s = min(
            (duty.lease_s for duty in self.member_duties.duties.values()), default=self.settings.lease_s
        )
        return self.grants.shortest_s(own_s)

    def _stop_taking_part(self, error: DutyError) -> None:
        self.broken = error
        logs.event(error.event, "error", **error.fields())
        for name, holder in self.member_duties.holders.items():
            if holder.state is not HolderState.IDLE:
                self.workers.stop(name)

    async def leave(self) -> None:
        """Give all duties back; if the process must end earlier, this is cancelled and the leases expire."""
        holders = self.member_duties.holders
        self.member_duties.leaving = "leaving"
        # Send a request at once, so that the leader does not choose this node as the next holder.
        self.member_duties.next_request_s = self.clock()
        self.wakeup.set()
        held = [name for name, holder in holders.items() if holder.state is not HolderState.IDLE]
        logs.event("duties.leave", held=held)
        while not self._is_idle():
            self._all_idle.clear()
            await self._all_idle.wait()
        logs.event("duties.left")

    def _is_idle(self) -> bool:
        return all(holder.state is HolderState.IDLE for holder in self.member_duties.holders.values())

    def close(self) -> None:
        """Cancel the workers' tasks."""
        self.workers.close()

    # --- ticks

    def _on_grant_changed(self, name: str) -> None:
        self.changed_s[name] = self.clock()
        self.wakeup.set()

    def _tick(self) -> None:
        now_s = self.clock()
        self._execute(self.member_duties.update_grants(self.grants, now_s))
        self._execute(self.member_duties.tick(now_s, self._yield_reason()))
        self._propose_backs()
        self._propose_declarations()
        if now_s >= self.member_duties.next_request_s and self.agree.leader:
            self._request_renewal(now_s)
        self.leadership.tick(now_s)
        self._report_states()

    def _propose_backs(self) -> None:
        for name, fence in list(self._fences_to_give_back.items()):
            grant = self.grants.held.get(name)
            if grant is None or grant.fence != fence:
                del self._fences_to_give_back[name]
            else:
                self.proposer.propose(f"back {name}", log.back(name, fence))

    def _propose_declarations(self) -> None:
        for name, duty in self.member_duties.duties.items():
            if self.grants.duties.get(name) != duty:
                self.proposer.propose(f"declare {name}", log.declare(duty))

    def _yield_reason(self) -> str:
        """Return why this node must hold no duty, or an empty string if it may."""
        serving = getattr(self.context.program, "serving", None)
        state = serving.state.value if serving is not None else ""
        if self.member_duties.leaving or state == "leaving":
            return "leaving"
        return "drained" if state == "failed" else ""

    def _request_renewal(self, now_s: float) -> None:
        may_hold = not self._yield_reason()
        request = self.member_duties.next_request(now_s, may_hold, self.workers.progress)
        self.transport.send(self.agree.leader, CHANNEL, encode(request))

    # --- the holders' actions

    def _execute(self, actions: list[DutyAction]) -> None:
        for name, action in actions:
            if action.command is Command.GIVE_BACK:
                self._fences_to_give_back[name] = action.fence
                self.proposer.allow(f"back {name}")
                self.wakeup.set()
            else:
                self.workers.execute(name, action)

    def _on_taken_over(self, name: str, fence: int) -> None:
        self.member_duties.on_taken_over(self.clock(), name, fence)
        self.wakeup.set()

    def _on_given_up(self, name: str, fence: int) -> None:
        self._execute(self.member_duties.on_given_up(name, fence))
        self.wakeup.set()

    # --- messages and events

    def _receive(self, sender: str, life: int, data: bytes) -> None:
        if self.broken is not None:
            return
        now_s = self.clock()
        match decode(data):
            case RenewalRequest() as request:
                self.leadership.on_request(now_s, sender, replace(request, life=life))
            case RenewalReply() as reply:
                self._execute(self.member_duties.on_reply(now_s, reply))
                self._report_states()
            case MoveRequest(name):
                self.leadership.on_move_request(now_s, sender, name)
            case None:
                self.counters.add("duties.dropped")

    def _report_states(self) -> None:
        for name, holder in self.member_duties.holders.items():
            current = ReportedState(holder.state, holder.fence)
            if current != self._reported.get(name, NOT_HELD):
                self._reported[name] = current
                logs.event(
                    "duty", name=name, state=holder.state.value, fence=holder.fence, why=holder.yield_reason
                )
        if self._is_idle():
            self._all_idle.set()


def begin(settings: DutiesSettings, context: Context) -> Duties:
    """Create the actor and register its views and calls.

    Raises DutyError if [fleet] or [agree] is not enabled.
    """
    for table in ("fleet", "agree"):
        if table not in context.parts:
            raise DutyError(
                f"[{table}] is not enabled", where="duties", do=f"enable [{table}], or not [duties]"
            )
    duties = Duties(settings, context, context.parts["agree"], context.parts["fleet"])
    context.views["/duties"] = lambda: operators.view(duties)
    context.calls["/duties/yield"] = lambda query: operators.move(duties, query)
    context.calls["/duties/retire"] = lambda query: operators.retire(duties, query)
    if getattr(context.program, "keeper", None) is not None:
        duties.generations = Generations(duties, context)
        duties.declare(Generations.DUTY, duties.generations)
    if settings.trial:
        from beechrock.duties.trial import TrialWorker

        duties.declare(TrialWorker.DUTY, TrialWorker(duties, context))
    return duties
