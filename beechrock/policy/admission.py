"""Admission control: decides which requests are accepted and why the others are rejected."""

from enum import Enum

from beechrock import interface as api
from beechrock.policy.answers import Answers
from beechrock.policy.calls import DownstreamCalls
from beechrock.policy.concurrency import ConcurrencyLimit
from beechrock.policy.context import Context
from beechrock.policy.idempotency import IdempotencyKeys
from beechrock.policy.launches import LaunchGate
from beechrock.policy.memory import ADMIT_MEMORY_SHARE, RUN_MEMORY_SHARE, MemoryAccount
from beechrock.policy.meter import ThroughputMeter
from beechrock.policy.phases import HELD, RUNNING, SHARING
from beechrock.policy.probing import Probing
from beechrock.policy.requests import OpenRequest, RequestTable
from beechrock.policy.retry_advice import RetryAdvice
from beechrock.policy.shutdown import Shutdown
from beechrock.policy.statistics import RunStatistics
from beechrock.policy.tenants import TenantBudgets, TenantShares

MAX_WAIT_SHARE = 0.95  # Share of the time left to the objective that a request's predicted wait may take
VALUE_EXPONENT = 0.5  # Exponent of relative value: a class with a quarter of the mean may wait half as long
FAILING_SHARE = 0.5  # Share of failed runs above which only idempotent requests are accepted


class Refusal(Enum):
    """Reason for which a request is rejected."""

    OVER_BUDGET = "over_budget"  # The tenant's budget is spent; other nodes would reject it too
    NEVER_FITS = "never_fits"  # The run needs more memory than a node has; other nodes would reject it too
    MEMORY_FULL = "memory_full"
    SHUTTING_DOWN = "shutting_down"
    RUNS_FAIL = "runs_fail"
    OVERLOADED = "overloaded"  # The predicted wait is too long
    NOT_REMEMBERED = "not_remembered"  # There is no memory for the idempotency entry


class AdmissionControl:
    """Accepts requests, or rejects them with a reason; has no state of its own."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        memory: MemoryAccount,
        keys: IdempotencyKeys,
        answers: Answers,
        statistics: RunStatistics,
        shares: TenantShares,
        budgets: TenantBudgets,
        concurrency: ConcurrencyLimit,
        launches: LaunchGate,
        probing: Probing,
        calls: DownstreamCalls,
        cores: ThroughputMeter,
        shutdown: Shutdown,
        retry_advice: RetryAdvice,
    ) -> None:
        self._context = context
        self._table = table
        self._memory = memory
        self._keys = keys
        self._answers = answers
        self._statistics = statistics
        self._shares = shares
        self._budgets = budgets
        self._concurrency = concurrency
        self._launches = launches
        self._probing = probing
        self._calls = calls
        self._cores = cores
        self._shutdown = shutdown
        self._retry_advice = retry_advice

    def decide(self, entry: OpenRequest) -> None:
        """Admit a new request, or answer it at once."""
        if entry.request.repeat_of is not None and self._share_result(entry):
            return
        refusal = self._refusal(entry)
        if refusal is not None:
            self._reject(entry, refusal)
            return
        self._table.hold(entry)
        self._budgets.spend(entry)

    def remember(self, entry: OpenRequest, ttl_s: float) -> bool:
        """Store an idempotency entry, so that repeats are recognised; return False if memory is too full."""
        entry_kb = self._context.settings.idempotency_entry_kb or 0.0
        if self._memory.is_full(entry_kb, ADMIT_MEMORY_SHARE):
            return False
        self._keys.remember(entry.request.id, ttl_s)
        return True

    def _share_result(self, entry: OpenRequest) -> bool:
        """Share the first attempt's result with a repeat; return False if the repeat is decided on its own.

        Rule: a repeat never runs beside the first attempt. A first attempt that has finished and still has
        its entry did run.
        """
        first = self._table.requests.get(entry.request.repeat_of or 0)
        first_never_ran = first is not None and first.answered and not first.may_have_run
        if entry.idempotent:
            if not self._context.settings.shared_read_ttl_s:
                return False
        elif first_never_ran:
            return False
        # Repeats take memory too. Another attempt may have run, so the answer must not promise that none did.
        if self._memory.is_full(0.0, RUN_MEMORY_SHARE):
            entry.may_have_run = not entry.idempotent
            self._answers.give_up(entry)
            return True
        self._context.actions.append(api.ShareResult(entry.request.id))
        self._table.move(entry, SHARING)
        entry.may_have_run = not entry.idempotent
        return True

    def _refusal(self, entry: OpenRequest) -> Refusal | None:
        """Return the reason to reject a request, or None to admit it; a keyed request is then remembered."""
        request_class = entry.request_class
        if self._budgets.wait_s(entry) > 0:
            return Refusal.OVER_BUDGET
        if self._memory.never_fits(entry.request, request_class):
            return Refusal.NEVER_FITS
        if self._memory.is_full(0.0, ADMIT_MEMORY_SHARE):
            return Refusal.MEMORY_FULL
        if self._shutdown.past_grace(entry):
            return Refusal.SHUTTING_DOWN
        # A failed idempotent run can be retried; the error of any other run is the answer to all its repeats.
        if self._statistics.failure_share > FAILING_SHARE and not entry.idempotent:
            return Refusal.RUNS_FAIL
        if not self._fits(entry):
            return Refusal.OVERLOADED
        if request_class.idempotency is api.Idempotency.KEYED:
            window_s = request_class.idempotency_window_s or request_class.deadline_s
            if not self.remember(entry, window_s - entry.request.age_s):
                return Refusal.NOT_REMEMBERED
        return None

    def _reject(self, entry: OpenRequest, refusal: Refusal) -> None:
        match refusal:
            case Refusal.OVER_BUDGET:
                wait_s = self._budgets.wait_s(entry) if self._context.settings.sends_retry_after else None
                self._answers.send(entry, api.Reject(entry.request.id, wait_s, True))
            case Refusal.NEVER_FITS:
                self._answers.send(entry, api.Reject(entry.request.id, None, True))
            case Refusal.OVERLOADED:
                self._retry_advice.reject_overload(entry)
            case _:
                self._retry_advice.reject_for_elsewhere(entry)

    def _fits(self, entry: OpenRequest) -> bool:
        """Return whether cores are free, or the predicted wait fits into the time left to the objective."""
        context = self._context
        request_class = entry.request_class
        share_weight: float = self._shares.weight(entry.request.tenant_index) ** VALUE_EXPONENT
        share = MAX_WAIT_SHARE * share_weight * self._value(entry)
        left_s = entry.objective_end_s - context.now_s
        table = self._table
        calls_late = entry.must_call and self._calls.meter.wait(table.calls_ahead) > share * left_s
        if calls_late and not self._probing.is_due():
            return False
        launch_wait_s = self._launches.wait_s(table.count[HELD] - 1)
        if launch_wait_s and launch_wait_s > share * left_s:
            return False
        alone = not launch_wait_s and table.count[HELD] <= 1
        if alone and table.count[RUNNING] < self._concurrency.run_limit():
            return True
        # A tenant's weight reduces the allowed wait, but not the time for the run itself: it scales the run's
        # time on this side as it scales the bound on the other.
        extra_work = max(0.0, entry.work - self._statistics.mean_work)
        extra_s = share_weight * self._cores.wait(extra_work * context.settings.cores)
        # Held requests start in the order of their objectives' ends, so a short objective overtakes a long
        # one. The whole queue is therefore bounded by the mean objective, and the work that starts before a
        # request by that request's own objective. With its own objective as the only bound, all rejections
        # would hit the classes with short objectives.
        wait_s = self._cores.wait(table.work_ahead) + extra_s
        bound_s = share * left_s
        longer_s = context.mean_objective_s - request_class.latency_objective_s
        if wait_s > bound_s + share * longer_s:
            return False
        if wait_s <= bound_s:
            return True
        return self._cores.wait(table.held_work_before(entry)) + extra_s <= bound_s

    def _value(self, entry: OpenRequest) -> float:
        """Return a request's value per work relative to the mean, damped by VALUE_EXPONENT; at most 1."""
        if self._context.settings.priority_weight_per_work:
            work = 1.0
        else:
            work = entry.work / (self._statistics.mean_work or 1.0)
        mean_weight = work * self._statistics.mean_priority_weight or 1.0
        value: float = min(1.0, entry.request_class.priority_weight / mean_weight) ** VALUE_EXPONENT
        return value
