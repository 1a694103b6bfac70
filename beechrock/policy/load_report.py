"""Load reports: the value attached to every answer, by which callers adapt what they send."""

from beechrock import interface as api
from beechrock.policy.abacus import AbacusFilter
from beechrock.policy.concurrency import ConcurrencyLimit
from beechrock.policy.context import Context
from beechrock.policy.health import HealthAdvice
from beechrock.policy.launches import LaunchGate
from beechrock.policy.meter import ThroughputMeter
from beechrock.policy.requests import RequestTable
from beechrock.policy.shutdown import Shutdown

# Predicted waits, in mean objectives, from which callers send less and at which they send nothing.
REDUCE_OBJECTIVES, STOP_OBJECTIVES = 0.15, 0.55
FLOOR_REDUCE_OBJECTIVES, FLOOR_STOP_OBJECTIVES = 0.25, 0.75  # Predicted waits for LoadReportKind.FLOOR
MIN_CHANGE = 0.02  # Smallest change that is advertised, as a share of the value or of 1, whichever is more


class LoadReport:
    """Advertises the node's load, so that callers send few requests that would be rejected."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        abacus: AbacusFilter,
        concurrency: ConcurrencyLimit,
        launches: LaunchGate,
        health: HealthAdvice,
        cores: ThroughputMeter,
        shutdown: Shutdown,
    ) -> None:
        self._context = context
        self._table = table
        self._abacus = abacus
        self._concurrency = concurrency
        self._launches = launches
        self._health = health
        self._cores = cores
        self._shutdown = shutdown
        self._advertised = -1.0  # Latest advertised value; -1 before the first

    def update(self) -> None:
        """Advertise the value if it has changed by more than MIN_CHANGE."""
        kind = self._context.settings.load_report_kind
        load = self._load(kind)  # Needed for every kind: it also removes old launches from the window
        if kind is api.LoadReportKind.NONE:
            return
        value = load if kind is api.LoadReportKind.FLOOR else 1.0 - load
        if kind is api.LoadReportKind.ALLOWANCE:
            value *= self._capacity() / (self._context.settings.caller_count or 1)
        if abs(value - self._advertised) > MIN_CHANGE * max(1.0, value):
            self._advertised = value
            self._context.actions.append(api.Advertise(value))

    def _load(self, kind: api.LoadReportKind) -> float:
        """Return the load from 0 (callers may send everything) to 1 (callers should send nothing)."""
        if self._context.now_s >= self._shutdown.send_nothing_from_s or self._launches.wait_s(0):
            return 1.0
        if kind is api.LoadReportKind.FLOOR:
            reduce_at, stop_at = FLOOR_REDUCE_OBJECTIVES, FLOOR_STOP_OBJECTIVES
        else:
            reduce_at, stop_at = REDUCE_OBJECTIVES, STOP_OBJECTIVES
        wait_s = self._cores.wait(self._table.work_ahead) + self._health.unread_s
        waits = wait_s / self._context.mean_objective_s
        return min(max((waits - reduce_at) / (stop_at - reduce_at), 0.0), 1.0)

    def _capacity(self) -> float:
        """Return the number of requests that the node can hold and run at the same time."""
        rate = self._abacus.peak_rate or self._context.settings.cores
        return self._concurrency.limit + rate * self._context.mean_objective_s
