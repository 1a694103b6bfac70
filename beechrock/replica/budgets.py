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

WITHIN = 0.6  # Timeout of a proposal, as a share of a lease's length; a later answer is of little use.
TICK = 0.05  # Interval of the main loop, as a share of a lease's length: a fifth of holder.PAUSE.
CLOSE_S = 0.5  # Seconds between two attempts to close the same lease.
TELL_S = 1.0  # Seconds between two reports of spending. They are for people; no limit depends on them.


class Leasing:
    def __init__(self, replica: "Replica", agree: Any) -> None:
        self.replica, self.agree = replica, agree
        self.lease_s = replica.told.lease_s
        self.machine = Budgets()
        talk = replica.talk
        self.holder = Holder(
            talk.name,
            log.start(talk.life, secrets.randbits(log.START_BITS)),
            len(talk.peers) + 1,
            self.lease_s,
        )
        self.closing: Closing | None = None
        self.reign: tuple[int, bool] = (0, False)
        self.asking = self.leaving = self.stopped = self.read = False
        self.closed: dict[int, float] = {}
        self.far: set[log.PotKey] = set()
        self.could: bool | None = None
        self.shown: dict[Any, tuple[int, float]] = {}
        # By team and period: amounts spent and given back that are not in the records yet.
        self.untold: dict[tuple[str, int], tuple[float, float]] = {}
        self.told_s = float("-inf")
        module = replica.context.module
        self.spending = Spending(self.holder, replica.clock, self._may, self._number)
        self.spending.settings(module.clock(), module.settings)
        self.spending.fresh = True  # The module started with a fixed share, which has to be replaced.
        module.ports.budget_parts = self.spending
        agree.host(MACHINE, self.machine)

    def _may(self) -> bool:
        return not self.stopped and self.replica.core.catchup.may_spend

    def _number(self) -> int:
        """Return the generation number of the agreed inventory if this node runs that inventory, else 0 for
        an unknown generation."""
        generations = getattr(self.replica.context.parts.get("duties"), "generations", None)
        if generations is None:
            return 0
        same: bool = generations.agreed.digest == generations.keeper.life.running.digest
        return int(generations.agreed.number) if same else 0

    def stop(self) -> None:
        """Stop spending from leases, because the replica is broken."""
        self.stopped = self.spending.fresh = True
        self.replica.context.module.wake()

    async def _read(self) -> None:
        """Wait until the agreed log has been read. Before that, a node whose clock is ahead would see no
        other holders in the log, and would open the period of its own clock."""
        while not self.stopped:
            try:
                await self.agree.settled(max(1.0, self.lease_s))
                self.read = True
                return
            except OperatorError:  # Without a majority no lease would be granted either: retry.
                await asyncio.sleep(TICK * self.lease_s)

    async def run(self) -> None:
        self.replica.counters.spawn(self._read(), "replica.read")
        while not self.stopped:
            now = self.replica.clock()
            self._look()
            ready = self.read and not self.asking and not self.leaving and self._may()
            if ready and (items := self._asks(now)):
                self.asking = True
                self.replica.counters.spawn(self._ask(now, items), "replica.ask")
            for one in self.holder.surplus(now):
                self.spending.fresh = True  # The cap must be lowered before the give-back is proposed.
                self._look()
                self.replica.counters.spawn(self._back(one), "replica.back")
            self._lead(now)
            await asyncio.sleep(TICK * self.lease_s)

    def _asks(self, now: float) -> list[tuple[log.PotKey, float, int, float]]:
        items = self.holder.asks(now)
        far = log.too_far(self.machine, {one[0] for one in items}, self.holder.name)
        if far:
            self.replica.counters.add("replica.periods_too_far", len(far))
        for _, team, period in far - self.far:
            logs.event("budget.too_far", "warning", team=team, period=period)
        self.far = far
        return [one for one in items if one[0] not in far]

    def _look(self) -> None:
        """Record what was spent, and wake the module if a lease ended or an amount may have changed, so that
        it gets the new amounts before its next batch."""
        module = self.replica.context.module
        now = module.clock()
        for team, period, *counts in self.spending.note(now, module.node):
            self.untold[team, period] = counts[0], counts[1]
        # Each report costs a sync and a message to each peer; one per call was most of the replica's cost.
        if self.leaving or self.replica.clock() - self.told_s >= TELL_S:
            self._tell()
        could, self.could = self.could, self._may()
        ended = self.holder.look(self.replica.clock())
        if ended or self.spending.fresh or could is not self.could:
            self.spending.fresh = True
            module.wake()

    def _tell(self) -> None:
        self.told_s = self.replica.clock()
        for (team, period), counts in self.untold.items():
            self.replica.spent(team, period, *counts)
        self.untold.clear()

    async def _propose(self, command: bytes) -> Any:
        try:
            return await self.agree.propose(MACHINE, command, max(0.2, WITHIN * self.lease_s))
        except OperatorError as error:
            self.replica.counters.add(f"replica.not_proposed.{type(error).__name__}")
            return None

    async def _ask(self, sent_s: float, items: list[tuple[log.PotKey, float, int, float]]) -> None:
        try:
            told = await self._propose(log.ask(self.holder.name, self.holder.life, items))
        finally:
            self.asking = False
        if isinstance(told, list):
            self.holder.look(self.replica.clock())  # Detect a pause before the answer extends the lease.
            self.holder.answered(sent_s, told)
            self.spending.fresh = True
            self.replica.context.module.wake()
            for one in told:
                if self.shown.get(one.pot) != (one.id, one.amount):
                    self.shown[one.pot] = one.id, one.amount
                    logs.event(
                        "budget.lease",
                        pot=list(one.pot),
                        id=one.id,
                        amount=one.amount,
                        whole=self.machine.pots[one.pot].whole if one.pot in self.machine.pots else 0,
                    )
            while len(self.shown) > 4096:
                del self.shown[next(iter(self.shown))]

    async def _back(self, one: Back) -> None:
        told = await self._propose(
            log.back(self.holder.name, self.holder.life, one.pot, one.id, one.n, one.amount)
        )
        self.holder.gave_back(told)
        logs.event(
            "budget.back",
            pot=list(one.pot),
            id=one.id,
            n=one.n,
            amount=one.amount,
            done=isinstance(told, list),
        )

    def _lead(self, now: float) -> None:
        leading = self.agree.leading()
        if (self.agree.term, leading) != self.reign:
            self.reign = self.agree.term, leading
            self.closing = Closing((1 + DRIFT) * self.lease_s) if leading else None
        if self.closing is None:
            return
        for pot, ident, turn in self.closing.due(now, self.machine):
            if now >= self.closed.get(ident, 0.0):
                self.closed[ident] = now + CLOSE_S
                logs.event("budget.close", pot=list(pot), id=ident, turn=turn)
                self.replica.counters.spawn(self._close(log.close(pot, ident, turn)), "replica.close")
        while len(self.closed) > 4096:
            del self.closed[next(iter(self.closed))]

    async def _close(self, command: bytes) -> None:
        await self._propose(command)

    async def leave(self) -> None:
        """Give back all unspent amounts. Requests that still run were charged when they were accepted."""
        self.leaving = self.holder.leaving = True
        self._look()
        backs = self.holder.surplus(self.replica.clock())
        self.spending.fresh = True
        self.replica.context.module.wake()
        await asyncio.gather(*(self._back(one) for one in backs))
