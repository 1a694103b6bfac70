"""The open requests of a node: each from its arrival until nothing is owed and nothing runs.

No I/O; the clock is handed in. Invariants: a request stands in the table until it is over; it gets precisely
one answer, unless it is cancelled first; a keyed one runs only while the idempotency table holds it.
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


class RequestTable:
    """Owns the requests, their answers and the events that the next batch begins with."""

    def __init__(
        self,
        clock: Callable[[], float],
        counters: Counters,
        idempotency: IdempotencyTable,
        ports: Ports,
        status: NodeStatus,
        wake: Callable[[], None],
    ) -> None:
        """``clock``: steady seconds. ``wake``: called when there are events for a batch of their own."""
        self.clock = clock
        self._counters = counters
        self._idempotency = idempotency
        self._ports = ports
        self._status = status
        self._wake = wake
        self.by_id: dict[int, Request] = {}  # until answered and not running
        self.by_trace: dict[str, Request] = {}
        self.last_id = 0
        self.next_events: list[api.Event] = []  # of what was carried out after a batch
        self.overdue: list[Request] = []  # may still be owed an answer after their due time
        self.counts = RequestCounts()

    @property
    def open(self) -> int:
        """Return how many requests are still owed an answer."""
        return sum(not r.answered and not r.cancelled for r in self.by_id.values())

    def drain_next_events(self) -> list[api.Event]:
        """Return the events that a batch begins with, and begin a new list of them."""
        events = self.next_events
        self.next_events = []
        return events

    def next_id(self) -> int:
        """Return a new request's id; ids start at 1 and are never used again."""
        self.last_id += 1
        return self.last_id

    def add(self, request: Request) -> None:
        """Hold a request from here on, by its id and its trace."""
        self.by_id[request.id] = request
        self.by_trace[request.trace] = request

    # --- the end of a request

    def cancel(self, request: Request, events: list[api.Event], now: float) -> None:
        """Owe no answer any more, as the caller has gone."""
        if request.answered or request.cancelled or request.id not in self.by_id:
            return
        request.cancelled = True
        self.counts.on_cancelled()
        self._counters.add("intake.gone")
        events.append(api.CallerDisconnected(request.id))
        self.release(request, events, now)

    def finish(self, request: Request, remembered: bool = False) -> None:
        """Tell those who account for a request that nothing of it is open; once for each."""
        if request.ended is not None:
            ended = request.ended
            request.ended = None
            ended(request.cost_s)
        if self._ports.partner is not None and request.nonce is not None:
            self._ports.partner.finish(request, remembered)

    def release(self, request: Request, events: list[api.Event], now: float) -> None:
        """Drop a request once nothing is owed and nothing runs; its repeats get what it came to."""
        if request.running or not (request.answered or request.cancelled) or request.over:
            return
        request.over = True
        request.ended_at = now
        # What never ran has no result for its repeats: its key is free at once, not when the module says so.
        request.never_ran = not request.launched_at
        if request.never_ran and self._idempotency.holds(request):
            self.forget(request)
        remembered = self._ports.partner is not None and self._idempotency.holds(request)
        self.finish(request, remembered)
        # A remembered request must hold neither its body nor, by ``answer``, a connection long closed.
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
        """Give a repeat what its first request came to: its result, or whether it may have had an effect."""
        if waiter.answered or waiter.cancelled:
            return  # a wait for a share that has been ended gets no further answer
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
        """Give the result of the other process's request, which is over, to those that wait for it."""
        waiters = first.waiters
        first.waiters = []
        now = self.clock()
        for waiter in waiters:
            self.share_with(waiter, first, self.next_events, now)
        if waiters:
            self._wake()

    # --- remembered

    def remember(self, request: Request, until: float, now: float) -> bool:
        """Remember a request, here and in the other process of this node; False: then it must not run."""
        if not self._idempotency.keep(request, until, now):
            self._counters.add("trouble.keys_full")
            return False
        partner = self._ports.partner
        if partner is not None and request.nonce is not None and not partner.claim_run(request, until):
            self._counters.add("intake.untold")  # killed now, this process would leave its run unknown
            self.forget(request)
            return False
        return True

    def forget(self, request: Request) -> None:
        """Let the next try of a request's key run."""
        held = self._idempotency.holds(request)
        self._idempotency.forget(request)
        # Only for the entry's own request: with the rejection of a run that outlived its entry, the other
        # process would take the run that holds the key now for over and failed.
        if held and self._ports.partner is not None and request.nonce is not None:
            self._ports.partner.release(request)

    # --- answered

    def reject_unroutable(self, request: Request, after_s: float, reason: bytes = b"") -> None:
        """Reject a request whose run never ran, as routing has no place for it for ``after_s`` seconds.

        The end of its run is posted after this, as REJECTED.
        """
        self.answer(request, Answer(Verdict.REFUSED, reason, after_s), self.clock())

    def answer_overdue(self, now: float) -> None:
        """Answer what the module still owes after the due time.

        After a pause of the process the module's own timer falls due in the same tick, so its answer comes
        first.
        """
        overdue = self.overdue
        self.overdue = []
        for request in overdue:
            if request.answered or request.cancelled or request.over:
                continue
            # In doubt of the birth, the module counts from a later one than the due time does.
            self._counters.add("clock.cut_short" if request.later_s else "trouble.overdue")
            self.answer(request, Answer(Verdict.FAILED, b"out of time"), now)

    def answer(self, request: Request, answer: Answer, now: float) -> None:
        """Send an answer if one is still owed, and drop the request if that was all."""
        if not request.answered and not request.cancelled:
            self.send(request, answer)
        self.release(request, self.next_events, now)

    def send(self, request: Request, answer: Answer) -> None:
        """Hand an answer to the request's front; the one place that does, so each gets precisely one."""
        request.answered = True
        self._counters.add("answered." + answer.verdict.value)
        self.counts.on_answered(request, answer.verdict)
        if self._ports.tracer is not None:
            self._ports.tracer.answered(self.clock(), request, answer)
        deliver = request.answer
        request.answer = _ignore_answer
        deliver(replace(answer, advice=self._status.advice))


def _ignore_answer(answer: Answer) -> None:
    """Take the place of an answer's receiver that has had it."""
