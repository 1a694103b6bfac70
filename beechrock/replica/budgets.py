"""Connects budget leases to the node: proposes commands to the agreed log, and gives the decision module the
amounts that this node may spend."""

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.errors import OperatorError
from beechrock.replica import leases as log
from beechrock.replica.holder import DRIFT, Back, Holder
from beechrock.replica.leases import MACHINE, Budgets, Closing
from beechrock.replica.spending import Spending

if TYPE_CHECKING:
    from beechrock.replica.part import Replica

# Timeout of a proposal, as a share of a lease's length; a later answer is of little use.
PROPOSAL_TIMEOUT_SHARE = 0.6
TICK_SHARE = 0.05  # Interval of the main loop, as a share of a lease's length: a fifth of PAUSE_SHARE.
CLOSE_RETRY_S = 0.5  # Seconds between two attempts to close the same lease.
# Seconds between two reports of spending. They are for people; no limit depends on them.
SPENDING_REPORT_S = 1.0


class Leasing:
    """The budget leases of one node, and their closing while it leads."""

    def __init__(self, replica: "Replica", agree: Any) -> None:
        self.replica, self.agree = replica, agree
        self.lease_s = replica.settings.lease_s
        self.machine = Budgets()
        talk = replica.talk
        self.holder = Holder(
            talk.name,
            log.holder_life(talk.life, secrets.randbits(log.START_BITS)),
            len(talk.peers) + 1,
            self.lease_s,
        )
        self.closing: Closing | None = None
        self.leadership: tuple[int, bool] = (0, False)  # Term, and whether this node leads in it.
        self.ask_pending = self.leaving = self.stopped = self.read = False
        self.close_retry_s: dict[int, float] = {}  # By lease: earliest time to propose its close again.
        self.far_pots: set[log.PotKey] = set()  # Wanted pots that are too far ahead to be opened.
        self.could_spend: bool | None = None  # Whether this node might spend at the last update.
        self.logged_leases: dict[Any, tuple[int, float]] = {}  # By pot: lease and amount last logged.
        # By team and period: amounts spent and given back that are not in the records yet.
        self.unreported: dict[tuple[str, int], tuple[float, float]] = {}
        self.reported_s = float("-inf")  # Time of the last report of spending, in monotonic seconds.
        module = replica.context.module
        self.spending = Spending(self.holder, replica.clock, self._may_spend, self._generation)
        self.spending.settings(module.clock(), module.settings)
        self.spending.caps_changed = True  # The module started with a fixed share, which has to be replaced.
        module.ports.budget_parts = self.spending
        agree.host(MACHINE, self.machine)

    def _may_spend(self) -> bool:
        return not self.stopped and self.replica.core.catchup.may_spend

    def _generation(self) -> int:
        """Return the generation number of the agreed inventory if this node runs that inventory, else 0 for
        an unknown generation."""
        generations = getattr(self.replica.context.parts.get("duties"), "generations", None)
        if generations is None:
            return 0
        same: bool = generations.agreed.digest == generations.keeper.life.running.digest
        return int(generations.agreed.number) if same else 0

    def stop(self) -> None:
        """Stop spending from leases, because the replica is broken."""
        self.stopped = self.spending.caps_changed = True
        self.replica.context.module.wake()

    async def _wait_for_log(self) -> None:
        """Wait until the agreed log has been read. Before that, a node whose clock is ahead would see no
        other holders in the log, and would open the period of its own clock."""
        while not self.stopped:
            try:
                await self.agree.settled(max(1.0, self.lease_s))
                self.read = True
                return
            except OperatorError:  # Without a majority no lease would be granted either: retry.
                await asyncio.sleep(TICK_SHARE * self.lease_s)

    async def run(self) -> None:
        self.replica.counters.spawn(self._wait_for_log(), "replica.read")
        while not self.stopped:
            now = self.replica.clock()
            self._update()
            ready = self.read and not self.ask_pending and not self.leaving and self._may_spend()
            if ready and (items := self._due_requests(now)):
                self.ask_pending = True
                self.replica.counters.spawn(self._ask(now, items), "replica.ask")
            for back in self.holder.surplus(now):
                self.spending.caps_changed = True  # The cap must be lowered before the give-back is proposed.
                self._update()
                self.replica.counters.spawn(self._give_back(back), "replica.back")
            self._close_expired(now)
            await asyncio.sleep(TICK_SHARE * self.lease_s)

    def _due_requests(self, now: float) -> list[tuple[log.PotKey, float, int, float]]:
        items = self.holder.asks(now)
        far_pots = log.too_far(self.machine, {item[0] for item in items}, self.holder.name)
        if far_pots:
            self.replica.counters.add("replica.periods_too_far", len(far_pots))
        for _, team, period in far_pots - self.far_pots:
            logs.event("budget.too_far", "warning", team=team, period=period)
        self.far_pots = far_pots
        return [item for item in items if item[0] not in far_pots]

    def _update(self) -> None:
        """Record what was spent, and wake the module if a lease ended or an amount may have changed, so that
        it gets the new amounts before its next batch."""
        module = self.replica.context.module
        now = module.clock()
        for team, period, *counts in self.spending.read_spending(now, module.node):
            self.unreported[team, period] = counts[0], counts[1]
        # Each report costs a sync and a message to each peer. A report with every update was most of what the
        # replica cost.
        if self.leaving or self.replica.clock() - self.reported_s >= SPENDING_REPORT_S:
            self._report_spending()
        could_spend, self.could_spend = self.could_spend, self._may_spend()
        ended = self.holder.look(self.replica.clock())
        if ended or self.spending.caps_changed or could_spend is not self.could_spend:
            self.spending.caps_changed = True
            module.wake()

    def _report_spending(self) -> None:
        self.reported_s = self.replica.clock()
        for (team, period), counts in self.unreported.items():
            self.replica.spent(team, period, *counts)
        self.unreported.clear()

    async def _propose(self, command: bytes) -> Any:
        try:
            return await self.agree.propose(MACHINE, command, max(0.2, PROPOSAL_TIMEOUT_SHARE * self.lease_s))
        except OperatorError as error:
            self.replica.counters.add(f"replica.not_proposed.{type(error).__name__}")
            return None

    async def _ask(self, sent_s: float, items: list[tuple[log.PotKey, float, int, float]]) -> None:
        try:
            answer = await self._propose(log.ask(self.holder.name, self.holder.life, items))
        finally:
            self.ask_pending = False
        if isinstance(answer, list):
            self.holder.look(self.replica.clock())  # Detects a pause before the answer extends the lease.
            self.holder.answered(sent_s, answer)
            self.spending.caps_changed = True
            self.replica.context.module.wake()
            for lease in answer:
                if self.logged_leases.get(lease.pot) != (lease.id, lease.amount):
                    self.logged_leases[lease.pot] = lease.id, lease.amount
                    logs.event(
                        "budget.lease",
                        pot=list(lease.pot),
                        id=lease.id,
                        amount=lease.amount,
                        whole=self.machine.pots[lease.pot].whole if lease.pot in self.machine.pots else 0,
                    )
            while len(self.logged_leases) > 4096:
                del self.logged_leases[next(iter(self.logged_leases))]

    async def _give_back(self, back: Back) -> None:
        answer = await self._propose(
            log.back(self.holder.name, self.holder.life, back.pot, back.id, back.n, back.amount)
        )
        self.holder.gave_back(answer)
        logs.event(
            "budget.back",
            pot=list(back.pot),
            id=back.id,
            n=back.n,
            amount=back.amount,
            done=isinstance(answer, list),
        )

    def _close_expired(self, now: float) -> None:
        leading = self.agree.leading()
        if (self.agree.term, leading) != self.leadership:
            self.leadership = self.agree.term, leading
            self.closing = Closing((1 + DRIFT) * self.lease_s) if leading else None
        if self.closing is None:
            return
        for pot, ident, turn in self.closing.due(now, self.machine):
            if now >= self.close_retry_s.get(ident, 0.0):
                self.close_retry_s[ident] = now + CLOSE_RETRY_S
                logs.event("budget.close", pot=list(pot), id=ident, turn=turn)
                self.replica.counters.spawn(self._close(log.close(pot, ident, turn)), "replica.close")
        while len(self.close_retry_s) > 4096:
            del self.close_retry_s[next(iter(self.close_retry_s))]

    async def _close(self, command: bytes) -> None:
        await self._propose(command)

    async def leave(self) -> None:
        """Give back all unspent amounts. Requests that still run were charged when they were accepted."""
        self.leaving = self.holder.leaving = True
        self._update()
        backs = self.holder.surplus(self.replica.clock())
        self.spending.caps_changed = True
        self.replica.context.module.wake()
        await asyncio.gather(*(self._give_back(back) for back in backs))
