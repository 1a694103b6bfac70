"""The actor around the decision module: passes it events in batches and executes the actions it returns."""

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import replace

from beechrock import interface as api
from beechrock.core.action_executor import ActionExecutor
from beechrock.core.clock_offset import Birth
from beechrock.core.counters import Counters
from beechrock.core.intake import Batch, Intake
from beechrock.core.mailbox import Mailbox
from beechrock.core.memory import DEFAULT_MEMORY_MB, MemoryBudget
from beechrock.core.memory_transfers import MemoryTransfers
from beechrock.core.module_timers import ModuleTimers
from beechrock.core.node_clock import NodeClock
from beechrock.core.node_status import NodeStatus
from beechrock.core.ports import Ports
from beechrock.core.request_table import RequestTable
from beechrock.core.requests import (
    Answer,
    CallDone,
    CallRequested,
    GaugesSampled,
    MemoryMessage,
    Message,
    Request,
    RequestCancelled,
    RequestReceived,
    RunEnded,
    SettingsUpdated,
    ShutdownRequested,
    Tracer,
    Verdict,
    WorkersStarted,
)
from beechrock.core.runs import RunReports
from beechrock.core.timer_wheel import TimerWheel
from beechrock.policy import Node

log = logging.getLogger("beechrock")

# Messages. Leaves room for reports of runs and calls, as ``MemoryBudget`` bounds new requests.
MAILBOX_CAPACITY = 40_000
SWEEP_S = 1.0  # seconds between sweeps of expired entries and cancelled timers, which also read the clocks
MAX_BATCHES = 16  # per tick; new requests with the same key need a batch each
# Workers that started this many seconds after the known start are new ones; setting up a link takes less.
NEW_WORKERS_S = 1.0
DEFAULT_TICK_S = 0.004
# Bounds, in seconds, of the tick from the settings (the simulator's tick): a longer tick would delay all
# answers, and a shorter tick would wake the process without need.
MIN_TICK_S, MAX_TICK_S = 0.001, 0.02


class ModuleActor:
    """Owns the decision module, the mailbox and the main loop of one node, and connects their components."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Callable[[], float],
        counters: Counters,
        memory_mb: float = DEFAULT_MEMORY_MB,
        unix_clock: Callable[[], float] | None = None,
    ) -> None:
        """``clock``: steady seconds; ``unix_clock``: clock of the requests' stamps, default ``clock``."""
        self.seed = seed
        self.clock = clock
        self.counters = counters
        self.memory = MemoryBudget(memory_mb)
        self.ports = Ports()
        self.status = NodeStatus()
        self.node_clock = NodeClock(clock, unix_clock or clock, counters, settings.classes)
        now = clock()
        self.tick_s = min(max(settings.tick_s or DEFAULT_TICK_S, MIN_TICK_S), MAX_TICK_S)
        self.mailbox: Mailbox[Message] = Mailbox(MAILBOX_CAPACITY)
        self.wake = self.mailbox.wake
        self.timers = TimerWheel(self.tick_s, now)
        self.idempotency = self.memory.idempotency_table(settings)
        self.table = RequestTable(clock, counters, self.idempotency, self.ports, self.status, self.wake)
        self.intake = Intake(
            settings, counters, self.timers, self.idempotency, self.table, self.ports, self.status
        )
        self.memory_transfers = MemoryTransfers(self.timers)
        self.runs = RunReports(counters, self.table, self.ports)
        self.module_timers = ModuleTimers(self.timers, self.table, self.ports)
        self.executor = ActionExecutor(counters, self.table, self.module_timers, self.ports, self.status)
        self.node = Node(settings, seed, now)
        self.shutdown_deadline: float | None = None
        self.has_successor = False  # whether another process takes over this node at shutdown
        self.can_run: Callable[[], bool] = lambda: True  # whether runs can be started
        self.listed_by_operators: Callable[[], bool] = lambda: True  # whether operators want the node listed
        self.timers.at(now + SWEEP_S, self._sweep)

    @property
    def settings(self) -> api.Settings:
        """Return the settings for requests read now; the module may still use the previous ones."""
        return self.intake.settings

    def trace(self, tracer: Tracer) -> None:
        """Record events, actions and answers with ``tracer``; to be called before the first tick."""
        self.ports.tracer = tracer
        tracer.started(self.node.now_s, self.seed, self.node.settings, self.node.started_s)

    def update_settings(self, settings: api.Settings) -> bool:
        """Apply new classes and tenants to requests read from now on; earlier requests keep their own.

        Front ends see the new lists at once. The module receives them before any request that is posted from
        now on, as the mailbox keeps the order. Returns False and changes nothing if the mailbox is full.
        """
        if not self.mailbox.put(SettingsUpdated(settings)):
            return False
        self.intake.settings = settings
        self.node_clock.update_classes(settings.classes)
        fresh = self.memory.idempotency_table(settings)
        # Existing entries keep their window. Neither bound shrinks below their needs: retries that arrived
        # under the previous classes may still be read.
        self.idempotency.capacity = max(fresh.capacity, len(self.idempotency))
        self.idempotency.linger_s = max(fresh.linger_s, self.idempotency.linger_s)
        return True

    def post(self, message: Message) -> bool:
        """Put a message into the mailbox; return False, and count it, if there is no room for it."""
        if isinstance(message, RequestReceived):
            unread = len(self.mailbox) + self.memory_transfers.waiting
            if unread + len(self.table.by_id) >= self.memory.max_open_requests:
                self.counters.add("intake.beyond_memory")
                return False
            self.table.counts.on_received()
        if isinstance(message, RequestCancelled) and not message.request.id:
            self._cancel_unread(message.request)
            return True
        if self.mailbox.put(message):
            return True
        if isinstance(message, RequestReceived):
            self.table.counts.on_cancelled()  # the front end sends its own answer
        self.counters.add("trouble.mailbox_full")
        return False

    def _cancel_unread(self, request: Request) -> None:
        """Cancel a request that is still in the mailbox; its batch drops it."""
        if not request.cancelled and not request.answered:
            request.cancelled = True
            self.table.counts.on_cancelled()

    def birth(self, klass: int, unix_s: float, patience_s: float | None = None) -> Birth:
        """Return when a request of this class, read now, reached the machine, from its Unix stamp."""
        longest_s = max(self.settings.classes[klass].deadline_s, patience_s or 0.0)
        return self.node_clock.birth(unix_s, longest_s)

    def load(self) -> api.OtherProcessLoad:
        """Return the runs, memory and calls of this process, to report to the other process of this node."""
        runs, kb, calls = self.node.load()
        return api.OtherProcessLoad(max(runs, self.node.recent_launches(self.clock())), kb, calls)

    def report(self) -> None:
        """Log the counters, among them each tenant's spending from its budget in this period."""
        for tenant, spending in zip(self.node.settings.tenants, self.node.tenant_spending(), strict=True):
            self.counters.set("spent." + tenant.name, spending.spent)
        now = self.clock()
        running = [request for request in self.table.by_id.values() if request.running]
        oldest_s = max([round(now - request.launched_at, 1) for request in running], default=0)
        sample_age_s = round(min(now - self.module_timers.sampled_at, 1e6), 2)
        self.counters.set("open.requests", self.table.open)
        self.counters.set("open.runs", len(running))
        self.counters.set("open.oldest_run_s", oldest_s)
        self.counters.set("open.sample_age_s", sample_age_s)
        self.counters.set("open.keys", len(self.idempotency))
        self.counters.report()

    # --- ticks and batches

    async def run(self) -> None:
        """Tick when a message has arrived or a timer is due, at most once every ``tick_s``."""
        loop = asyncio.get_running_loop()
        last = -math.inf
        while True:
            due = self.timers.next_due()
            alarm = loop.call_later(max(0.0, due - self.clock()), self.mailbox.wake)
            await self.mailbox.wait()
            alarm.cancel()
            now = self.clock()
            if now - due > 0:
                self.counters.raise_max("lag.most_ms", round(1000 * (now - due), 1))
            if 0 <= now - last < self.tick_s:
                await asyncio.sleep(self.tick_s - (now - last))
            last = self.clock()
            try:
                self.tick(last)
            except Exception as error:  # a fault in one batch must not end the node and lose all its requests
                self.counters.record_error("tick", error)

    def tick(self, now: float) -> None:
        """Run batches until no request waits for another with its key, up to ``MAX_BATCHES`` of them.

        With one batch a tick, many requests with one key would be read long after their arrival.
        """
        for _ in range(MAX_BATCHES):
            if not self._batch(now):
                break

    def _batch(self, now: float) -> int:
        """Fire timers, handle messages, execute the module's actions; return how many were deferred."""
        self.timers.advance(now)
        batch = Batch(now, self.table.drain_next_events())
        events = batch.events
        budget_parts = self.ports.budget_parts
        if (
            budget_parts is not None
            and (changed := budget_parts.changed_settings(now, self.node)) is not None
        ):
            events.append(api.SettingsChanged(changed))
        for message in self._take_messages(now):
            try:
                self._handle(message, batch)
            except Exception as error:
                # One message's fault must not discard the other messages of its batch.
                self.counters.record_error("tick", error)
                if isinstance(message, RequestReceived):
                    self.table.answer(message.request, Answer(Verdict.FAILED, b"internal error"), now)
        for message in batch.deferred:
            self.mailbox.put(message)
        events[:0] = self.memory_transfers.limit_events()
        if events:
            self._decide(now, events)
        self.memory_transfers.end_batch(self.node, now)
        if self.table.overdue:
            self.table.answer_overdue(now)
        if self.table.next_events:
            self.mailbox.wake()
        return len(batch.deferred)

    def _take_messages(self, now: float) -> list[Message]:
        """Return the messages of this batch, without requests that wait for the other process's memory."""
        transfers = self.memory_transfers
        if not transfers.active:
            return self.mailbox.drain()
        messages: list[Message] = list(transfers.begin_batch(self.node, now))
        for message in self.mailbox.drain():
            if not (isinstance(message, RequestReceived) and transfers.keeps(message, self.node, now)):
                messages.append(message)
        return messages

    def _decide(self, now: float, events: list[api.Event]) -> None:
        """Pass the events to the module and execute the actions that it returns."""
        actions = self.node.decide(now, events)
        if self.ports.tracer is not None:
            self.ports.tracer.batch(now, events, actions)
        for action in actions:
            self.executor.execute(action, now)

    def _sweep(self) -> None:
        now = self.clock()
        self.node_clock.observe()
        self.idempotency.sweep(now)
        self.timers.sweep()
        self.counters.add("keys.results_dropped", self.idempotency.trim(self.memory.max_result_bytes))
        self.timers.at(now + SWEEP_S, self._sweep)

    # --- messages

    def _handle(self, message: Message, batch: Batch) -> None:
        events, now = batch.events, batch.now
        match message:
            case RequestReceived(request):
                if self.intake.admit(message, batch):
                    self.intake.receive(request, events, now)
            case RequestCancelled(request):
                self.table.cancel(request, events, now)
            case RunEnded():
                self.runs.on_run_ended(message, events, now)
            case CallRequested():
                self.runs.on_call_requested(message, events)
            case CallDone():
                self.runs.on_call_done(message, events)
            case _:
                self._handle_node_message(message, events, now)

    def _handle_node_message(
        self,
        message: GaugesSampled
        | WorkersStarted
        | SettingsUpdated
        | ShutdownRequested
        | api.OtherProcessLoad
        | MemoryMessage,
        events: list[api.Event],
        now: float,
    ) -> None:
        match message:
            case GaugesSampled(gauges):
                self.module_timers.on_sample(gauges, now)
            case WorkersStarted(needs_warm_up, age_s):
                self._on_workers_started(needs_warm_up, age_s, events, now)
            case SettingsUpdated(settings):
                self._on_settings(settings, events, now)
            case ShutdownRequested():
                self._on_shutdown(message, events, now)
            case api.OtherProcessLoad():
                events.append(message)
            case _:
                self.memory_transfers.handle(message, self.node, now)
                if self.memory_transfers.waiting:
                    self.wake()

    def _on_settings(self, settings: api.Settings, events: list[api.Event], now: float) -> None:
        # The inventory does not know whether the workers started cold, so a settings change during their slow
        # start must not end it.
        slow_start = settings.slow_start or self.node.settings.slow_start
        changed = replace(self._with_budget_parts(settings, now), slow_start=slow_start)
        events.append(api.SettingsChanged(changed))

    def _with_budget_parts(self, settings: api.Settings, now: float) -> api.Settings:
        parts = self.ports.budget_parts
        return settings if parts is None else parts.settings(now, settings)

    def _on_shutdown(self, message: ShutdownRequested, events: list[api.Event], now: float) -> None:
        end = now + message.remaining_s
        # A notice that is repeated because the event loop runs late names an earlier end.
        if self.shutdown_deadline is None or end < self.shutdown_deadline:
            self.shutdown_deadline = end
            self.has_successor = message.replaced
            events.append(api.ShutdownNotice(message.remaining_s, message.replaced))
        elif self.has_successor is not message.replaced:  # a successor came after the notice, or has ended
            self.has_successor = message.replaced
            events.append(api.ShutdownNotice(self.shutdown_deadline - now, message.replaced))

    def _on_workers_started(
        self, needs_warm_up: bool, age_s: float, events: list[api.Event], now: float
    ) -> None:
        """Restart the slow start for cold workers, which may start long after this process.

        Otherwise a node whose workers restarted, or started after its first request, would count as warm.
        """
        if self.table.last_id and needs_warm_up and now - age_s > self.node.started_s + NEW_WORKERS_S:
            warm = replace(self.node.settings, slow_start=False)
            events.append(api.SettingsChanged(warm))
            events.append(api.SettingsChanged(replace(warm, slow_start=True)))
        if self.table.last_id == 0 and self.shutdown_deadline is None:
            self._restart_module(needs_warm_up, age_s, now)

    def _restart_module(self, needs_warm_up: bool, age_s: float, now: float) -> None:
        """Replace the module with a new one whose start time is that of the workers."""
        self.module_timers.drop_all()
        slow_start = self.settings.slow_start or needs_warm_up
        settings = replace(self._with_budget_parts(self.settings, now), slow_start=slow_start)
        other = self.node.other_process.load
        self.node = Node(settings, self.seed, now)
        self.node.set_started(now - age_s)
        # The other process reports only changes of its load, so the new module needs its last report.
        received: list[api.Event] = [other] if other.present else []
        received += self.memory_transfers.limit_events(new_module=True)
        actions = self.node.decide(now, received)
        if self.ports.tracer is not None:
            self.ports.tracer.started(now, self.seed, settings, self.node.started_s)
            self.ports.tracer.batch(now, received, actions)
        for action in actions:
            self.executor.execute(action, now)
