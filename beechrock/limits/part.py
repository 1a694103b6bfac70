"""The actor of the limits: the SCGI front end asks it before it reads a body.

All decisions are in ``gate`` and the modules below it. The decision module gets two tenants in place of one
per team, and no budgets: requests within their fair share, and beyond it (docs/contracts.md).
"""

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from typing import TYPE_CHECKING

from beechrock import clocks, logs
from beechrock import interface as api
from beechrock.config.errors import ConfigError
from beechrock.connections.table import Placement
from beechrock.core.actor import ModuleActor
from beechrock.errors import OperatorError
from beechrock.inventory.terms import MILLION, Contract, Terms
from beechrock.limits import journal
from beechrock.limits.disk import SpendingDisk
from beechrock.limits.gate import Gate, RejectedRequest, Ticket
from beechrock.limits.journal import Journal
from beechrock.limits.period_clock import PeriodClock
from beechrock.limits.places import C, place_for_team
from beechrock.limits.told import LimitsSettings
from beechrock.limits.tree import CONCURRENCY_RETRY_AFTER_S, RejectReason
from beechrock.net.scgi_extensions import Allowed, ContractRejection
from beechrock.parts import Context
from beechrock.policy import Node
from beechrock.store.folder import open_folder

if TYPE_CHECKING:
    from beechrock.inventory.model import Inventory

WITHIN, OVER = 0, 1  # indexes of the two tenants
# A quota of almost nothing keeps each request of the second tenant beyond its share, from the first one on.
TENANTS = (
    api.TenantSettings(name="within"),
    api.TenantSettings(traffic_share=0.001, quota_per_s=1e-290, name="over"),
)
DEFAULT_OVER_WEIGHT = 0.25  # factor on the worth of a request beyond its share, where the settings give none
BATCH_S = 0.005  # budgets that need a higher ceiling within this time are written with one sync
DISK_RETRY_S = 5.0  # seconds from a failed write to the next attempt


class Limits:
    """The limits of a node: admits requests and connections, and keeps budget spending on the disk."""

    def __init__(self, limits_settings: LimitsSettings, context: Context) -> None:
        program = context.program
        if context.module.ports.budget_parts is not None:
            raise ConfigError(
                "[limits] and the leases of [replica] would both settle budgets",
                where="limits: enabled",
                do="turn [limits] off, or set leases = false in [replica]",
            )
        if program.scgi is None or program.frames is not None:
            raise ConfigError(
                "needs the SCGI front, and no other",
                where="limits: enabled",
                do="frames would pass by the limits: start the node without LB_CONFIG",
            )
        self.limits_settings, self.context, self.counters = limits_settings, context, context.counters
        self.disk: SpendingDisk | None = None
        self.write_failed = False  # whether the disk refused the newest write
        self.journal, self.write_needed = Journal(), asyncio.Event()
        if limits_settings.state is not None:
            try:
                self.disk = SpendingDisk(open_folder(limits_settings.state))
            except OSError as error:
                raise ConfigError(str(error), where="limits: state") from None
        self.clock = clocks.boot
        self.wall = PeriodClock(self.clock, clocks.wall(), self.disk.states if self.disk is not None else {})
        self.gate = Gate(
            self.clock(), self.wall(), self._terms(program.meaning), limits_settings.state is not None
        )
        if self.disk is not None:
            journal.restore(self.disk.states, self.gate.new_budgets, self.wall())
            self._write_now()  # so that the first requests need not wait for a sync
        context.module.ports.budget_parts = self
        self._configure_module(context.module)
        program.scgi.limits = self
        context.views["/teams"] = self.view

    def _terms(self, meaning: "Inventory") -> Terms:
        assert meaning.terms is not None, "an inventory that was read has terms"
        return replace(meaning.terms, slack_s=self.limits_settings.slack_s)

    # --- the front end

    def admit(self, contract: Contract, size: int) -> Allowed | ContractRejection:
        """Admit or reject a request before its body is read; an admitted one ends by ``Allowed.ended``."""
        result = self.gate.admit(self.clock(), self.wall(), contract, size, clocks.wall())
        if self.gate.near_ceiling:
            self.write_needed.set()
        if isinstance(result, RejectedRequest):
            self.counters.add(f"limits.{result.rejection.reason.value}")
            return ContractRejection(
                result.rejection.retry_after_s,
                result.rejection.reason.value,
                self._balance_headers(contract[0]),
            )
        self.counters.add("limits.let")

        def ended(cost_s: float | None) -> None:
            self._end_ticket(result, cost_s)

        return Allowed(
            WITHIN if result.within_share else OVER, ended, lambda: self._balance_headers(contract[0])
        )

    def connect(self, team: str, own: Iterable[C]) -> C | ContractRejection | None:
        """Place a team's new connection beside its ``own``; the caller closes a returned connection."""
        group = self.gate.terms.teams.get(team)
        if group is None:
            return None
        placement, silent = place_for_team(own, group.connections, self.context.module.clock())
        if placement is not Placement.REJECT:
            return silent
        self.gate.usage[team].rejections[RejectReason.CONNECTIONS] += 1
        self.counters.add(f"limits.{RejectReason.CONNECTIONS.value}")
        return ContractRejection(
            CONCURRENCY_RETRY_AFTER_S, RejectReason.CONNECTIONS.value, self._balance_headers(team)
        )

    def _end_ticket(self, ticket: Ticket, cost_s: float | None) -> None:
        """End an admitted request; ``cost_s``: seconds of work of its run, None if it never ran."""
        if cost_s is None:
            self.gate.refund(ticket)
        else:
            self.gate.settle(ticket, cost_s)
        if self.gate.near_ceiling:
            self.write_needed.set()
        if ticket.budget is not None and ticket.budget.warnings:
            for period, share in ticket.budget.warnings:
                logs.event("limits.warning", team=ticket.team, period=period, part=share)
            ticket.budget.warnings.clear()

    def _balance_headers(self, team: str) -> tuple[tuple[str, str], ...]:
        balance = self.gate.balance(self.wall(), team)
        if balance is None:
            return ()
        return (
            ("X-Budget-Left", f"{balance.remaining / MILLION:.6g}"),
            ("X-Budget-Ends-Ms", str(max(1, round(1000 * balance.period_ends_in_s)))),
        )

    # --- the decision module

    def _configure_module(self, module: ModuleActor) -> None:
        """Give the module its two tenants before its first decision, so that it never has one per team."""
        now = module.clock()
        module.intake.limits_tenant, module.node = (
            WITHIN,
            Node(self.settings(now, module.settings), module.seed, now),
        )
        if module.ports.tracer is not None:
            module.trace(module.ports.tracer)  # a replay begins with the new node

    def settings(self, now: float, settings: api.Settings) -> api.Settings:
        """Return these settings with the two tenants in place of the teams."""
        weight = settings.over_quota_weight if settings.over_quota_weight is not None else DEFAULT_OVER_WEIGHT
        return replace(settings, tenants=TENANTS, over_quota_weight=weight)

    def changed_settings(self, now: float, node: Node) -> api.Settings | None:
        """Return settings with the two tenants if the node has others, else None."""
        return None if node.settings.tenants is TENANTS else self.settings(now, node.settings)

    def apply_inventory(self, meaning: "Inventory") -> None:
        """Apply another generation of the inventory."""
        self.gate.change_terms(self.clock(), self.wall(), self._terms(meaning))
        if self.disk is not None:  # a team that was missing at the start continues with its spending
            journal.restore(self.disk.states, self.gate.new_budgets, self.wall())
        self.write_needed.set()

    # --- the disk

    def _write_now(self) -> None:
        assert self.disk is not None
        if (data := self.journal.next_entry(self.gate.take_near_ceiling())) is not None:
            self.disk.write(data)
            self.journal.synced()

    async def listen(self) -> None:
        """Do nothing: this part has no sockets."""
        pass

    async def run(self) -> None:
        """Write higher ceilings whenever budgets need them."""
        while True:
            await self.write_needed.wait()
            await asyncio.sleep(BATCH_S)
            self.write_needed.clear()
            if self.disk is None or (data := self.journal.next_entry(self.gate.take_near_ceiling())) is None:
                continue
            try:
                await asyncio.to_thread(self.disk.write, data)
                self.journal.synced()
                if self.write_failed:
                    self.write_failed = False
                    logs.event("limits.disk_room")
                if self.disk.needs_compaction:
                    data = journal.snapshot(self.gate.budgets.values())
                    await asyncio.to_thread(self.disk.compact, data, self.wall())
            except OperatorError as error:
                # Nothing is spent beyond the ceilings on the disk: requests of those teams get a retry time.
                self.journal.failed()
                self.counters.add("trouble.spending")
                self.write_failed = True
                logs.event("limits.disk_full", "warning", **error.fields())
                await asyncio.sleep(DISK_RETRY_S)
                self.gate.near_ceiling |= self.gate.budgets.keys()
                self.write_needed.set()

    async def leave(self) -> None:
        """Do nothing: no other node waits for anything of this part."""
        pass

    def close(self) -> None:
        """Write the exact spent amounts, and close the disk."""
        if self.disk is None:
            return
        if self.journal.in_progress:
            # The thread may still write, so the files stay its own: at most an increment of each is lost.
            return
        try:
            self.disk.write(journal.final_entry(self.gate.budgets.values()))
        except OperatorError as error:
            logs.event("limits.disk", **error.fields())
        self.disk.close()

    # --- operators

    def view(self) -> object:
        """Return the usage and the remaining budget of each team."""
        wall, held, teams = self.wall(), self.context.program.scgi.held, {}
        for name, usage in self.gate.usage.items():
            balance = self.gate.balance(wall, name)
            teams[name] = {
                "let": usage.admitted,
                "borrowed": usage.borrowed,
                "over": usage.over_share,
                "ran": usage.ran,
                "back": usage.refunded,
                "cost_s": round(usage.cost_s, 6),
                "open": self.gate.teams[name].concurrency.open_count,
                "connections": len(held.get(name, ())),
                "turned": {reason.value: count for reason, count in usage.rejections.items()},
                **(
                    {}
                    if balance is None
                    else {
                        "left": balance.remaining / MILLION,
                        "ends_s": round(balance.period_ends_in_s, 3),
                    }
                ),
            }
        return {"teams": teams}


def begin(limits_settings: LimitsSettings, context: Context) -> Limits:
    """Make the part; it attaches itself to the module and the SCGI front end."""
    return Limits(limits_settings, context)
