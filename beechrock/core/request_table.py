"""Table of a node's open requests: each stays until it is answered or cancelled and no longer runs.

Does no I/O; the clock is a parameter. Invariants: a request stays in the table until it is over; it gets
exactly one answer, unless it is cancelled first; a keyed request is launched only if the idempotency table
remembers it.
"""

from collections.abc import Callable
from dataclasses import replace

from beechrock import interface as api
from beechrock.core.counters import Counters
from beechrock.core.idempotency import IdempotencyTable
from beechrock.core.node_status import NodeStatus
from beechrock.core.ports import Ports
from beechrock.core.request_counts import RequestCounts
from beechrock.core.requests import Answer, Request, Verdict

OVERDUE_S = 0.02  # seconds past its due time at which a request that the module has not answered fails


class RequestTable:
    """Owns the open requests, sends their answers and collects events for the next batch."""

    def __init__(
        self,
        clock: Callable[[], float],
        counters: Counters,
        idempotency: IdempotencyTable,
        ports: Ports,
        status: NodeStatus,
        wake: Callable[[], None],
    ) -> None:
        """``clock``: steady seconds. ``wake``: called when events were added outside a batch."""
        self.clock = clock
        self._counters = counters
        self._idempotency = idempotency
        self._ports = ports
        self._status = status
        self._wake = wake
        self.by_id: dict[int, Request] = {}  # all requests that are unanswered or still running
        self.by_trace: dict[str, Request] = {}
        self.last_id = 0
        self.next_events: list[api.Event] = []  # events of executed actions, for the next batch
        self.overdue: list[Request] = []  # requests whose due time has passed, maybe unanswered
        self.counts = RequestCounts()

    @property
    def open(self) -> int:
        """Return the number of requests that are neither answered nor cancelled."""
        return sum(not r.answered and not r.cancelled for r in self.by_id.values())

    def drain_next_events(self) -> list[api.Event]:
        """Remove and return the events that the next batch begins with."""
        events = self.next_events
        self.next_events = []
        return events

    def next_id(self) -> int:
        """Return the id for a new request; ids start at 1 and are never reused."""
        self.last_id += 1
        return self.last_id

    def add(self, request: Request) -> None:
        """Add a request to the table, by its id and its trace."""
        self.by_id[request.id] = request
        self.by_trace[request.trace] = request

    # --- the end of a request

    def cancel(self, request: Request, events: list[api.Event], now: float) -> None:
        """Cancel a request whose caller has disconnected, so that it gets no answer."""
        if request.answered or request.cancelled or request.id not in self.by_id:
            return
        request.cancelled = True
        self.counts.on_cancelled()
        self._counters.add("intake.gone")
        events.append(api.CallerDisconnected(request.id))
        self.release(request, events, now)

    def finish(self, request: Request, remembered: bool = False) -> None:
        """Report the end of a request to its ``ended`` callback, once, and to the node's other process."""
        if request.ended is not None:
            ended = request.ended
            request.ended = None
            ended(request.cost_s)
        if self._ports.partner is not None and request.nonce is not None:
            self._ports.partner.finish(request, remembered)

    def release(self, request: Request, events: list[api.Event], now: float) -> None:
        """Drop a request once it is answered or cancelled and does not run; its repeats get its outcome."""
        if request.running or not (request.answered or request.cancelled) or request.over:
            return
        request.over = True
        request.ended_at = now
        # A request that never ran has no result for repeats: its key is freed now, not by a later ``Forget``.
        request.never_ran = not request.launched_at
        if request.never_ran and self._idempotency.holds(request):
            self.forget(request)
        remembered = self._ports.partner is not None and self._idempotency.holds(request)
        self.finish(request, remembered)
        # A remembered request must keep neither its body nor, through ``answer``, a closed connection.
        request.body = b""
        request.first = None
        request.answer = _ignore_answer
        if request.overdue is not None:
            request.overdue.cancel()
            request.overdue = None
        self.by_id.pop(request.id, None)
        self.by_trace.pop(request.trace, None)
        waiters = request.waiters
        request.waiters = []
        for waiter in waiters:
            self.share_with(waiter, request, events, now)

    def share_with(self, waiter: Request, first: Request, events: list[api.Event], now: float) -> None:
        """Answer a repeat with the first request's result.

        Without a result, the repeat is refused if the first request never ran, and fails otherwise.
        """
        if waiter.answered or waiter.cancelled:
            return  # it was answered or cancelled while it waited
        if first.result is not None:
            outcome = api.Outcome.OK
            waiter.result = first.result
            waiter.media = first.media
            answer = Answer(Verdict.SERVED, first.result, media=first.media)
        elif first.never_ran:
            outcome = api.Outcome.MOOT
            answer = Answer(Verdict.REFUSED)
        else:
            outcome = api.Outcome.ERROR
            answer = Answer(Verdict.FAILED)
        self._counters.add("shares." + outcome.value)
        self.send(waiter, answer)
        events.append(api.RunFinished(waiter.id, outcome, now - (waiter.shared_at or now)))
        self.release(waiter, events, now)

    def share_result(self, first: Request) -> None:
        """Answer the waiting repeats of a finished request of the other process of this node."""
        waiters = first.waiters
        first.waiters = []
        now = self.clock()
        for waiter in waiters:
            self.share_with(waiter, first, self.next_events, now)
        if waiters:
            self._wake()

    # --- remembered requests

    def remember(self, request: Request, until: float, now: float) -> bool:
        """Remember a request, also in the node's other process; if this returns False it must not run."""
        if not self._idempotency.remember(request, until, now):
            self._counters.add("trouble.keys_full")
            return False
        partner = self._ports.partner
        if partner is not None and request.nonce is not None and not partner.claim_run(request, until):
            self._counters.add("intake.untold")  # the run would be unknown if this process were killed
            self.forget(request)
            return False
        return True

    def forget(self, request: Request) -> None:
        """Forget a request, so that the next request with its key may run."""
        held = self._idempotency.holds(request)
        self._idempotency.forget(request)
        # Only for the request of the current entry: if the release came from a rejected run that outlived its
        # entry, the other process would assume that the run that now holds the key has ended and failed.
        if held and self._ports.partner is not None and request.nonce is not None:
            self._ports.partner.release(request)

    # --- answers

    def reject_unroutable(self, request: Request, after_s: float, reason: bytes = b"") -> None:
        """Reject a launched request that cannot be routed; its caller may retry it in ``after_s`` seconds.

        The caller of this method then posts the end of its run, as REJECTED.
        """
        self.answer(request, Answer(Verdict.REFUSED, reason, after_s), self.clock())

    def answer_overdue(self, now: float) -> None:
        """Fail the requests that the module has not answered by their due time.

        Called after the module's decisions: after a pause of the process the module's own timer fires in the
        same tick, and its answer comes first.
        """
        overdue = self.overdue
        self.overdue = []
        for request in overdue:
            if request.answered or request.cancelled or request.over:
                continue
            # If the birth is very uncertain, the module counts from a much later one than the due time does.
            uncertain = request.later_s > OVERDUE_S
            self._counters.add("clock.cut_short" if uncertain else "trouble.overdue")
            self.answer(request, Answer(Verdict.FAILED, b"out of time"), now)

    def answer(self, request: Request, answer: Answer, now: float) -> None:
        """Answer a request, unless it is answered or cancelled, and drop it if it does not run."""
        if not request.answered and not request.cancelled:
            self.send(request, answer)
        self.release(request, self.next_events, now)

    def send(self, request: Request, answer: Answer) -> None:
        """Pass an answer to the request's front end. No other method does, so that each gets exactly one."""
        request.answered = True
        self._counters.add("answered." + answer.verdict.value)
        self.counts.on_answered(request, answer.verdict)
        if self._ports.tracer is not None:
            self._ports.tracer.answered(self.clock(), request, answer)
        deliver = request.answer
        request.answer = _ignore_answer
        deliver(replace(answer, advice=self._status.advice))


def _ignore_answer(answer: Answer) -> None:
    """Ignore an answer; replaces the callback of a request that already has its answer."""
