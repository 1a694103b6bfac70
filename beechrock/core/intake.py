"""Validates received requests, enters them into the request table and reports them to the module."""

import hashlib
from dataclasses import dataclass, field

from beechrock import interface as api
from beechrock.core.clock_offset import FAR_OFF, MAX_BORN_AHEAD_S, MAX_PAST_DUE_S
from beechrock.core.counters import Counters
from beechrock.core.idempotency import IdempotencyTable
from beechrock.core.node_status import NodeStatus
from beechrock.core.ports import Ports
from beechrock.core.request_table import OVERDUE_S, RequestTable
from beechrock.core.requests import Answer, Request, RequestReceived, Verdict
from beechrock.core.timer_wheel import TimerWheel


@dataclass(slots=True)
class Batch:
    """The events for the module in one batch, and the requests left for the next one."""

    now: float
    events: list[api.Event]
    keys: set[tuple[str, str]] = field(default_factory=set)  # idempotency keys of its requests
    deferred: list[RequestReceived] = field(default_factory=list)  # requests left for the next batch


class Intake:
    """Validates requests and reports them to the module as arrivals; makes no decisions about load."""

    def __init__(
        self,
        settings: api.Settings,
        counters: Counters,
        timers: TimerWheel,
        idempotency: IdempotencyTable,
        table: RequestTable,
        ports: Ports,
        status: NodeStatus,
    ) -> None:
        self.settings = settings
        self._counters = counters
        self._timers = timers
        self._idempotency = idempotency
        self._table = table
        self._ports = ports
        self._status = status
        # Index of the tenant for requests that the limits do not list; None while the limits are off.
        self.limits_tenant: int | None = None

    # --- assignment to batches

    def admit(self, message: RequestReceived, batch: Batch) -> bool:
        """Return whether a request is received in this batch; else it was dropped, answered or deferred."""
        request = message.request
        # Dropped first: cancelled requests with one key would each take up a batch and delay the others.
        if request.cancelled:
            self._counters.add("intake.gone_unread")
            self._table.finish(request)
            return False
        if not self._cleared_by_partner(request):
            return False
        key = IdempotencyTable.key(request)
        if key is None:
            return True
        if key in batch.keys and not self._repeats_known_request(request):
            batch.deferred.append(message)  # the key is remembered, or not, only after this batch
            return False
        batch.keys.add(key)
        return True

    def _repeats_known_request(self, request: Request) -> bool:
        """Return whether a request repeats a remembered one; any number of repeats may share a batch.

        With one repeat per batch, many would be read after their due time, and the module would not count
        their memory until then. Reads whose first request has ended may each run, which does no harm.
        """
        return self._idempotency.find(request) is not None

    def _cleared_by_partner(self, request: Request) -> bool:
        """Return whether a request needs no consent of the other process of this node, or has it."""
        partner = self._ports.partner
        if (
            partner is None
            or request.granted
            or request.nonce is None
            or self._idempotency.find(request) is not None
        ):
            return True
        if request.born == FAR_OFF.born:  # ``receive`` rejects it
            return True
        if not request.digest:
            request.digest = _digest(request)
        return partner.request_run(request)

    def reject_in_doubt(self, request: Request, after_s: float) -> None:
        """Reject a request whose key may have run in the other process; it is not in the table yet."""
        if not request.answered and not request.cancelled:
            self._counters.add("intake.in_doubt")
            retry_after_s = None
            if self.settings.sends_retry_after:
                retry_after_s = min(after_s, self.settings.max_retry_after_s or after_s)
            self._table.send(request, Answer(Verdict.REFUSED, b"", retry_after_s))
        self._table.finish(request)  # also if it was cancelled: this frees its place in the limits

    # --- entry into the table

    def receive(self, request: Request, events: list[api.Event], now: float) -> None:
        """Validate a request, enter it into the table and append its arrival to the module's events."""
        self._counters.add("intake.requests")
        problem = self._form_problem(request, now)
        if problem is not None:
            self._reject_form(request, *problem)
            return
        first = self._idempotency.find(request)
        if self.settings.classes[request.klass].idempotency is api.Idempotency.KEYED:
            # Another body under the same key is another request, and must not get the first one's result.
            request.digest = request.digest or _digest(request)
            if first is None and self._ports.partner is not None:
                first = self._ports.partner.find_proxy(request)
            if first is not None and first.digest != request.digest:
                self._reject_form(request, "key_with_other_body", b"this key came with another body")
                return
        request.id = self._table.next_id()
        request.first = self._shared_first(request, first, now)
        if request.first is not None:
            self._counters.add("intake.repeats")
        if self._ports.tracer is not None:
            self._ports.tracer.taken(now, request, self._team(request))
        self._table.add(request)
        events.append(api.Arrived(self._description(request, now)))
        overdue_at = max(now, request.born + self.due_after_s(request) + OVERDUE_S)
        request.overdue = self._timers.at(overdue_at, lambda: self._table.overdue.append(request))

    def _form_problem(self, request: Request, now: float) -> tuple[str, bytes] | None:
        """Return the counter and the message for an invalid request, or None if it is valid."""
        if request.trace in self._table.by_trace:  # runs are identified by their trace
            return "reused_traces", b"this trace is in use"
        # With a birth far in the past the module would assume that requests wait unread for decades; one far
        # ahead lies outside every window in which its key is remembered.
        if not -MAX_BORN_AHEAD_S <= now - request.born <= self.due_after_s(request) + MAX_PAST_DUE_S:
            return "born_far_off", b"born: too far from now"
        return None

    def _shared_first(self, request: Request, first: Request | None, now: float) -> Request | None:
        """Return the request whose result this one shares, or None; a read shares no outdated result."""
        idempotency = self.settings.classes[request.klass].idempotency
        if first is None or not first.over or idempotency is not api.Idempotency.IDEMPOTENT:
            return first
        fresh = now <= first.ended_at + (self.settings.shared_read_ttl_s or 0.0)
        return first if fresh else None

    def _description(self, request: Request, now: float) -> api.Request:
        """Return a request as the module sees it.

        If the birth is uncertain, the module gets the latest possible one. With the earliest, requests read
        soon after a backward step of the wall clock would be refused as late, keys forgotten early, and
        requests that came too late in a shutdown would run. The due time is enforced by
        ``RequestTable.overdue``, which counts from ``born``, the earliest birth that leaves any time.
        """
        idempotency = self.settings.classes[request.klass].idempotency
        return api.Request(
            id=request.id,
            class_index=request.klass,
            size_kb=request.kb,
            age_s=max(0.0, now - request.latest),
            repeat_of=request.first.id if request.first is not None else None,
            key=_key_number(request.entity),
            tenant_index=self._tenant_index(request),
            caller_id=request.caller,
            rank=request.rank,
            is_retry=request.retry,
            is_write=idempotency is not api.Idempotency.IDEMPOTENT,
            remaining_s=self._remaining_s(request, now),
        )

    def _reject_form(self, request: Request, counter: str, problem: bytes) -> None:
        """Fail an invalid request; it is not reported to the module, as it says nothing about the load."""
        self._counters.add("intake." + counter)
        if self._ports.tracer is not None:
            self._ports.tracer.rejected(self._table.clock(), request, self._team(request), counter)
        request.answered = True
        self._table.counts.on_answered(request, Verdict.FAILED)
        self._table.finish(request)
        request.answer(Answer(Verdict.FAILED, problem, advice=self._status.advice))

    # --- values derived from a request

    def due_after_s(self, request: Request) -> float:
        """Return the seconds from a request's birth to its due time: its caller's patience, or its class's.

        A retry's caller may wait for less time than the class allows.
        """
        patience_s = request.patience_s if self.settings.propagates_deadline else None
        return self.settings.classes[request.klass].deadline_s if patience_s is None else patience_s

    def _remaining_s(self, request: Request, now: float) -> float | None:
        """Return the seconds until the caller gives up; None if callers do not say when."""
        if request.patience_s is None or not self.settings.propagates_deadline:
            return None
        return max(0.0, request.born + request.patience_s - now)

    def _team(self, request: Request) -> str:
        """Return the name of a request's team, or an empty string if it has none."""
        place = request.tenant
        tenants = self.settings.tenants
        return tenants[place].name if place is not None and place < len(tenants) else ""

    def _tenant_index(self, request: Request) -> int | None:
        """Return the index of the tenant for the module: the limits' tenant if they are on, else the team."""
        if self.limits_tenant is None:
            return request.tenant
        return self.limits_tenant if request.limits_tenant is None else request.limits_tenant


def _digest(request: Request) -> bytes:
    return hashlib.blake2b(request.body, digest_size=16).digest()


def _key_number(text: str | None) -> int | None:
    """Return a key as a 64-bit number, or None: a hexadecimal key by value, others by their first 8 bytes."""
    if not text:
        return None
    try:
        return int(text, 16) % 2**64 or None
    except ValueError:
        return int.from_bytes(text.encode()[:8].ljust(8, b"\0"), "big") or None
