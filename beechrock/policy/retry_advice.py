"""Retry advice: tells a rejected caller when, or whether, to retry."""

from beechrock import interface as api
from beechrock.policy.abacus import AbacusFilter
from beechrock.policy.answers import Answers
from beechrock.policy.context import Context
from beechrock.policy.launches import LaunchGate
from beechrock.policy.meter import ThroughputMeter
from beechrock.policy.phases import HELD
from beechrock.policy.requests import OpenRequest, RequestTable
from beechrock.policy.statistics import RunStatistics

# Share of a run's time that reading a retry on another node may cost, weighted by the relative overload.
READ_COST_SHARE = 0.05
MIN_READ_S = 1e-9
CLASS_ONLY_SHARE = 0.95  # Predicted wait, in mean objectives, below which only some classes are rejected


class RetryAdvice:
    """Rejects requests with a Retry-After, or asks callers not to retry."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        answers: Answers,
        abacus: AbacusFilter,
        launches: LaunchGate,
        statistics: RunStatistics,
        cores: ThroughputMeter,
    ) -> None:
        self._context = context
        self._table = table
        self._answers = answers
        self._abacus = abacus
        self._launches = launches
        self._statistics = statistics
        self._cores = cores

    def reject_for_elsewhere(self, entry: OpenRequest) -> None:
        """Reject because of this node rather than of the load, so that another node may accept it."""
        self._reject_after(entry, self._abacus.longest_offset_s)

    def reject_overload(self, entry: OpenRequest) -> None:
        """Reject because the load is too high, or because the request is too late to be useful."""
        abacus = self._abacus
        if self._context.settings.sends_retry_after:
            wait_s = self._launches.wait_s(self._table.count[HELD] - 1)
            if wait_s:
                after_s = min(wait_s, abacus.longest_offset_s)
                self._answers.send(entry, api.Reject(entry.request.id, after_s))
                return
        if abacus.peak_rate and self._class_only():
            # No Retry-After: the caller may send requests of other classes. A retry costs its reading.
            read_s = self._statistics.read_s or MIN_READ_S
            factor = 1 + READ_COST_SHARE * self._statistics.run_s / read_s
            no_retry = abacus.arrival_rate > factor * abacus.peak_rate
            self._answers.send(entry, api.Reject(entry.request.id, None, no_retry))
        elif abacus.peak_rate:
            self._reject_after(entry, abacus.borrow(entry.request_class.deadline_s))
        else:
            self._reject_after(entry, abacus.slot_s)

    def _class_only(self) -> bool:
        wait_s = self._cores.wait(self._table.work_ahead)
        return wait_s < CLASS_ONLY_SHARE * self._context.mean_objective_s

    def _reject_after(self, entry: OpenRequest, after_s: float | None) -> None:
        """Reject with this Retry-After; if it is None, ask the caller not to retry."""
        sent_s = after_s if self._context.settings.sends_retry_after else None
        self._answers.send(entry, api.Reject(entry.request.id, sent_s, after_s is None))
