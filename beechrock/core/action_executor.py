"""Executes the actions that the decision module returns."""

import logging

from beechrock import interface as api
from beechrock.core.counters import Counters
from beechrock.core.module_timers import ModuleTimers
from beechrock.core.node_status import NodeStatus
from beechrock.core.ports import Ports
from beechrock.core.request_table import RequestTable
from beechrock.core.requests import Answer, Request, Verdict

log = logging.getLogger("beechrock")


class ActionExecutor:
    """Passes each action to the port or table that performs it; actions on finished requests are ignored."""

    def __init__(
        self,
        counters: Counters,
        table: RequestTable,
        timers: ModuleTimers,
        ports: Ports,
        status: NodeStatus,
    ) -> None:
        self._counters = counters
        self._table = table
        self._timers = timers
        self._ports = ports
        self._status = status

    def execute(self, action: api.Action, now: float) -> None:
        """Execute one action."""
        match action:
            case api.SetTimer(token, delay):
                self._timers.set(token, now + delay)
            case api.Health(good, stored):
                self._status.healthy = good
                self._status.cached = stored
            case api.Advertise(value):
                self._status.advice = value
            case api.CloseIdleConnections(after):
                self._status.idle_s = after
            case api.Log(text):
                log.info("module: %s", text)
            case _ if (request := self._table.by_id.get(action.id)) is not None:
                self._execute_for(request, action, now)

    def _execute_for(self, request: Request, action: api.Action, now: float) -> None:
        match action:
            case api.Run() | api.Stop():
                self._control_run(request, action, now)
            case api.Reject(_, after, no_retry):
                self._table.answer(request, Answer(Verdict.REFUSED, b"", after, no_retry), now)
            case api.Fail():
                self._table.answer(request, Answer(Verdict.FAILED), now)
            case api.Call() | api.SkipCall():
                self._control_call(request, action)
            case api.Remember(_, ttl):
                self._remember(request, now + ttl, now)
            case api.Forget():
                self._table.forget(request)
            case api.ShareResult():
                self._share(request, now)

    def _control_run(self, request: Request, action: api.Run | api.Stop, now: float) -> None:
        work = self._ports.work
        if work is None:
            return
        if isinstance(action, api.Stop):
            if request.running:
                request.paused = True
                self._counters.add("sent.stops")
                work.stop(request)
        elif not request.running:
            request.running = True
            request.launched_at = now
            self._counters.add("sent.launches")
            work.launch(request)
        elif request.paused:
            request.paused = False
            work.resume(request)

    def _control_call(self, request: Request, action: api.Call | api.SkipCall) -> None:
        body = request.call_body
        if body is None:
            return
        if isinstance(action, api.Call):
            if self._ports.calls is not None:
                self._counters.add("sent.calls")
                self._ports.calls.call(request, body, action.max_wait_s)
        elif self._ports.work is not None:
            self._counters.add("sent.skips")
            request.call_body = None
            self._ports.work.forgo(request, request.call_mark)

    def _remember(self, request: Request, until: float, now: float) -> None:
        if self._table.remember(request, until, now) or request.running:
            return
        # A keyed request that is not remembered must not run, as a retry of it would run a second time.
        self._table.answer(request, Answer(Verdict.REFUSED), now)
        self._table.next_events.append(api.RunFinished(request.id, api.Outcome.REJECTED, 0.0))

    def _share(self, request: Request, now: float) -> None:
        first = request.first
        request.shared_at = now
        if first is None or first.over:
            self._table.share_with(request, first or request, self._table.next_events, now)
        else:
            first.waiters.append(request)
