"""Handles reports about runs: the calls they wait for, the ends of these calls, and the end of each run."""

from beechrock import interface as api
from beechrock.core.counters import Counters
from beechrock.core.ports import Ports
from beechrock.core.request_table import RequestTable
from beechrock.core.requests import Answer, CallDone, CallRequested, RunEnded, Verdict


class RunReports:
    """Turns reports about runs into events for the module; reports about ended runs are ignored."""

    def __init__(self, counters: Counters, table: RequestTable, ports: Ports) -> None:
        self._counters = counters
        self._table = table
        self._ports = ports

    def on_call_requested(self, message: CallRequested, events: list[api.Event]) -> None:
        """Record that a run waits for a call."""
        request = self._table.by_trace.get(message.trace)
        if request is None or not request.running:
            return
        request.call_mark = message.mark
        request.call_body = message.body
        self._counters.add("intake.calls_wanted")
        events.append(api.CallNeeded(request.id))

    def on_call_done(self, message: CallDone, events: list[api.Event]) -> None:
        """Report the end of a call, and pass a reply to the run that waits for it."""
        request = message.request
        if not request.running or request.call_body is None:
            return
        self._counters.add("calls." + message.outcome.value)
        if message.outcome is api.Outcome.OK and self._ports.work is not None:
            request.call_body = None
            self._ports.work.deliver(request, message.reply)
        events.append(api.CallEnded(request.id, message.outcome, message.elapsed_s))

    def on_run_ended(self, end: RunEnded, events: list[api.Event], now: float) -> None:
        """End a run; its outcome is the answer, unless the request was answered earlier or is cancelled."""
        request = self._table.by_trace.get(end.trace)
        if request is None or not request.running:
            return
        outcome = end.outcome
        self._counters.add("runs." + outcome.value)
        if self._ports.tracer is not None:
            self._ports.tracer.run_ended(now, request, outcome, end.elapsed_s)
        request.running = False
        if not outcome.never_ran and request.replied >= 0:
            request.cost_s = end.elapsed_s
        if request.call_body is not None and self._ports.calls is not None:
            self._ports.calls.abandon(request)  # the run that waited for the reply has ended
            request.call_body = None
        if outcome is api.Outcome.OK:
            request.result = end.result
            request.media = end.media
        if outcome in (api.Outcome.REJECTED, api.Outcome.MOOT):  # it had no effect, so a retry may run
            self._table.forget(request)
        if not request.answered and not request.cancelled:
            self._table.send(request, _answer_of(end))
        events.append(api.RunFinished(request.id, outcome, end.elapsed_s))
        self._table.release(request, events, now)


def _answer_of(end: RunEnded) -> Answer:
    if end.outcome is api.Outcome.OK:
        return Answer(Verdict.SERVED, end.result, media=end.media)
    return Answer(Verdict.FAILED)
