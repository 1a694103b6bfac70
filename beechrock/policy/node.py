"""One node: connects its parts and defines the order in which they process events."""

import math
from typing import NamedTuple

from beechrock import interface as api
from beechrock.policy.abacus import AbacusFilter
from beechrock.policy.admission import AdmissionControl
from beechrock.policy.answers import Answers
from beechrock.policy.calls import DownstreamCalls
from beechrock.policy.concurrency import ConcurrencyLimit
from beechrock.policy.context import Context
from beechrock.policy.health import HealthAdvice
from beechrock.policy.idempotency import IdempotencyKeys
from beechrock.policy.idle_connections import IdleConnections
from beechrock.policy.launches import LaunchGate
from beechrock.policy.load_report import LoadReport
from beechrock.policy.memory import MemoryAccount
from beechrock.policy.meter import ThroughputMeter
from beechrock.policy.other_process import OtherProcess
from beechrock.policy.phases import CALLING, FINISHED, HELD, RUNNING
from beechrock.policy.probing import Probing
from beechrock.policy.requests import OpenRequest, RequestTable
from beechrock.policy.retry_advice import RetryAdvice
from beechrock.policy.shutdown import Shutdown
from beechrock.policy.statistics import RunStatistics
from beechrock.policy.tenants import TenantBudgets, TenantShares, TenantSpending

ANSWER_MARGIN_TICKS = 3.0  # Ticks before the deadline at which an answer is sent
DEFAULT_TICK_S = 0.004  # Tick where none is set: an answer sent at its deadline would be late by a batch


class NodeLoad(NamedTuple):
    """Load of this process, as reported to another process of the node."""

    running: int
    held_kb: float
    open_calls: int


class Node:
    """Decision module of one node: ``decide`` takes events and returns actions."""

    def __init__(self, settings: api.Settings, seed: int, now_s: float) -> None:
        context = self.context = Context(settings, now_s)
        context.actions.append(api.Health(True))
        self._timer_at_s = math.inf  # Time of the earliest pending timer, in monotonic seconds
        self.cores = ThroughputMeter(context.mean_objective_s)
        self.other_process = OtherProcess(context)
        self.keys = IdempotencyKeys(context)
        self.memory = MemoryAccount(context, self.keys, self.other_process)
        self.table = RequestTable(context, self.memory)
        self.statistics = RunStatistics(context)
        self.abacus = AbacusFilter(context)
        self.shares = TenantShares(context, self.abacus)
        self.budgets = TenantBudgets(context)
        self.shutdown = Shutdown(context)
        self.answers = Answers(context, self.table, self.keys, self.budgets)
        self.concurrency = ConcurrencyLimit(context, self.table, self.statistics, self.other_process)
        self.launches = LaunchGate(context, self.other_process, self.statistics)
        self.probing = Probing(context, self.table)
        self.calls = self._new_calls()
        self.retry_advice = RetryAdvice(
            context, self.table, self.answers, self.abacus, self.launches, self.statistics, self.cores
        )
        self.admission = self._new_admission()
        self.health = HealthAdvice(context, self.abacus, self.cores, self.shutdown)
        self.load_report = self._new_load_report()
        self.idle_connections = IdleConnections(context, self.abacus)

    def _new_calls(self) -> DownstreamCalls:
        return DownstreamCalls(
            self.context,
            self.table,
            self.answers,
            self.concurrency,
            self.other_process,
            self.cores,
            self.abacus.slot_s,
        )

    def _new_admission(self) -> AdmissionControl:
        return AdmissionControl(
            self.context,
            self.table,
            self.memory,
            self.keys,
            self.answers,
            self.statistics,
            self.shares,
            self.budgets,
            self.concurrency,
            self.launches,
            self.probing,
            self.calls,
            self.cores,
            self.shutdown,
            self.retry_advice,
        )

    def _new_load_report(self) -> LoadReport:
        return LoadReport(
            self.context,
            self.table,
            self.abacus,
            self.concurrency,
            self.launches,
            self.health,
            self.cores,
            self.shutdown,
        )

    @property
    def settings(self) -> api.Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def now_s(self) -> float:
        """The time of the latest decision (monotonic seconds)."""
        return self.context.now_s

    @property
    def started_s(self) -> float:
        """The time at which the cores came up (monotonic seconds)."""
        return self.context.started_s

    def decide(self, now_s: float, events: list[api.Event]) -> list[api.Action]:
        """Process the events up to ``now_s`` (monotonic seconds) and return the actions to take."""
        self._advance(now_s)
        self.memory.blocked_kb = 0.0
        for event in events:
            self._apply(event)
        self._answer_due()
        self.calls.issue()
        self._start_runs()
        self.load_report.update()
        self._set_timer()
        actions = self.context.actions
        self.context.actions = []
        return actions

    def load(self) -> NodeLoad:
        """Return this process's load, to be reported to another process of the node."""
        return NodeLoad(self.table.count[RUNNING], self.memory.total_kb(), self.calls.open_calls())

    def recent_launches(self, now_s: float) -> int:
        """Return the launches in a cold node's window, to be reported to another process; 0 once warm."""
        return self.launches.recent(now_s)

    def tenant_spending(self) -> list[TenantSpending]:
        """Return the budget spent by each tenant, in the order of the settings."""
        return self.budgets.spending()

    def set_started(self, started_s: float) -> None:
        """Set the time at which the cores came up (monotonic seconds)."""
        self.context.started_s = started_s

    def _advance(self, now_s: float) -> None:
        """Advance the time of all parts."""
        passed_s = now_s - self.context.now_s
        self.context.now_s = now_s
        self.cores.advance(passed_s, self.concurrency.fullness())
        self.concurrency.advance(passed_s)
        self.calls.advance(passed_s)
        if now_s >= self.abacus.slot_end_s:
            self.abacus.skip_pause()
            while now_s >= self.abacus.slot_end_s:
                self._end_slot()
        self.calls.end_lingering()
        self.keys.expire()

    def _end_slot(self) -> None:
        self.calls.end_slot()
        self.abacus.end_slot(self.cores)
        self.health.end_slot()
        self.statistics.end_slot(self.abacus.slot_s)
        self.idle_connections.update()
        self.health.update()

    def _apply(self, event: api.Event) -> None:
        match event:
            case api.Arrived(request):
                self._read(request)
            case api.TimerFired(_, gauges):
                self._timer_at_s = math.inf
                self.concurrency.learn(gauges)
            case api.SettingsChanged(settings):
                self._change_settings(settings)
            case api.OtherProcessLoad():
                self.other_process.update(event)
            case api.MemoryLimit(limit_kb):
                self.other_process.memory_limit_kb = limit_kb
            case api.ShutdownNotice():
                self.shutdown.announce(event)
                self.context.actions.append(api.Health(event.has_successor and self.health.healthy))
            case _:
                entry = self.table.requests.get(event.id)
                if entry is not None:
                    self._progress(entry, event)

    def _read(self, request: api.Request) -> None:
        """Register a new request and decide on its admission."""
        settings = self.context.settings
        request_class = settings.classes[request.class_index]
        self.statistics.add_request(request, request_class, self.table.count[RUNNING])
        if not request.is_retry and not request.repeat_of:
            self.abacus.arrivals += 1
            self.shares.add(request.tenant_index)
        self.health.add_request(request.age_s, request_class.deadline_s)
        may_call = settings.downstream is not api.Downstream.NONE and request_class.may_call is not False
        work = request.work_hint_s or self.statistics.work_by_class[request.class_index]
        calls_left = may_call * self.statistics.calls_by_class[request.class_index]
        entry = OpenRequest(request, request_class, self.context.now_s, work, calls_left)
        self.table.add(entry, entry.due_s - ANSWER_MARGIN_TICKS * (settings.tick_s or DEFAULT_TICK_S))
        self.admission.decide(entry)

    def _progress(self, entry: OpenRequest, event: api.Event) -> None:
        """Apply an event to its open request."""
        match event:
            case api.RunFinished(_, outcome, _):
                self._finish(entry, outcome)
            case api.CallNeeded() if entry.phase == RUNNING:
                self.calls.queue_or_skip(entry, max(1.0, entry.calls_left))
            case api.CallEnded(_, outcome, elapsed_s) if entry.phase == CALLING:
                self.calls.end(entry, outcome, elapsed_s)
            case api.CallerDisconnected() if not entry.answered:
                self.answers.send(entry, None)

    def _finish(self, entry: OpenRequest, outcome: api.Outcome) -> None:
        if entry.phase >= RUNNING and outcome in (api.Outcome.OK, api.Outcome.ERROR):
            self.cores.add(entry.work)
            if entry.launch is not None:
                entry.launch.served = outcome is api.Outcome.OK
            on_cores = entry.phase == RUNNING
            cores_s = entry.cores_s + (self.context.now_s - entry.phase_start_s) * on_cores
            self.statistics.add_run(entry, outcome is api.Outcome.ERROR, cores_s)
        elif outcome is api.Outcome.REJECTED:  # It never ran, and the table removes its entry by itself
            self.keys.discard(entry.request.id)
        if entry.phase == CALLING:
            self.calls.abandon()
        self.table.move(entry, FINISHED)

    def _change_settings(self, current: api.Settings) -> None:
        """Replace the settings; keep open requests, keys and the state of remaining classes and tenants."""
        previous = self.context.settings
        self.context.settings = current
        self.context.mean_objective_s = current.mean_latency_objective_s
        if current.slow_start and not previous.slow_start:  # The cores have been restarted
            self.context.started_s = self.context.now_s
        self.statistics.change_classes(previous, current)
        self.shares.change_tenants(previous, current)
        self.budgets.change_tenants(previous, current)
        self.concurrency.change_cores(previous.cores, current.cores)
        self.abacus.add_slots()

    def _answer_due(self) -> None:
        """Answer all due requests, as each must be answered by its deadline even while it runs."""
        for entry in self.table.pop_due():
            self.answers.give_up(entry)
        for entry in self.table.pop_late_runs():
            self.answers.give_up(entry)
            self.context.actions.append(api.Stop(entry.request.id))
        self.table.sweep()
        self.keys.sweep(len(self.table.requests))
        if self.context.now_s >= self.shutdown.kill_s:
            for entry in list(self.table.requests.values()):
                self.answers.give_up(entry)

    def _start_runs(self) -> None:
        """Start held requests, earliest end of the objective first; reject requests that are too late."""
        for queue in sorted(self.table.held, key=lambda queue: queue[:1]):
            while (entry := self.table.first(queue, HELD)) is not None:
                if self._too_late(entry) or self.shutdown.past_grace(entry):
                    self.retry_advice.reject_overload(entry)
                elif self._may_start(entry):
                    self._start(entry)
                else:
                    break

    def _too_late(self, entry: OpenRequest) -> bool:
        """Return whether a run would end too late to be useful; a due probe runs despite the estimate."""
        now_s = self.context.now_s
        if now_s + self.calls.remaining_s(entry) <= entry.useful_until_s:
            return False
        probes = self.probing.is_due() and self._may_start(entry)
        return now_s > entry.useful_until_s or not probes

    def _may_start(self, entry: OpenRequest) -> bool:
        return (
            self.table.count[RUNNING] < self.concurrency.run_limit()
            and self.concurrency.has_capacity()
            and self.launches.allows(entry.request)
            and not (entry.must_call and self.calls.has_backlog())
            and not self.memory.blocks_run(entry.request.size_kb)
        )

    def _start(self, entry: OpenRequest) -> None:
        request = entry.request
        self.context.actions.append(api.Run(request.id))
        self.launches.launch(entry)
        self.probing.note_start()
        self.table.move(entry, RUNNING)
        entry.may_have_run = True
        shared_ttl_s = self.context.settings.shared_read_ttl_s
        if shared_ttl_s and entry.idempotent and request.key and not request.is_write:
            self.admission.remember(entry, entry.request_class.deadline_s + shared_ttl_s)

    def _set_timer(self) -> None:
        """Set a timer for the earliest time at which a decision is due."""
        now_s = self.context.now_s
        kill_s = self.shutdown.kill_s
        launch_wait_s = self.launches.wait_s(0) if self.table.count[HELD] else 0.0
        at_s = min(
            self.abacus.slot_end_s,
            self.table.due[0].at_s if self.table.due else math.inf,
            kill_s if kill_s > now_s else math.inf,  # A time in the past would set a timer on every tick
            self.calls.backoff_end_s(),
            now_s + launch_wait_s if launch_wait_s else math.inf,
        )
        if at_s < self._timer_at_s:
            self._timer_at_s = at_s
            self.context.actions.append(api.SetTimer(0, max(0.0, at_s - now_s)))
