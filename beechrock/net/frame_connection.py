"""Front ends' connections: parses request frames and sends answers; load and health are decided elsewhere."""

import functools
from typing import TYPE_CHECKING

from beechrock.core.requests import Answer, Request, RequestCancelled, RequestReceived, Verdict
from beechrock.interface import Idempotency
from beechrock.net.connection import BadInputError, ConnectionActor
from beechrock.net.frame_codec import (
    ANSWER,
    BIRTH_MS_FIELD,
    CALLER_FIELD,
    CANCEL,
    CHECK,
    CHECKED,
    CODES,
    ENTITY_FIELD,
    FAILED,
    HEAD,
    HEALTHY,
    KEY_FIELD,
    MAX_LENGTH,
    MEMORY_KB_FIELD,
    MIN_LENGTH,
    NO_MORE,
    NO_RETRY_FIELD,
    RANK_FIELD,
    REFUSED,
    REQUEST,
    RETRY_AFTER_MS_FIELD,
    RETRY_FIELD,
    ROUTE_FIELD,
    TENANT_FIELD,
    THOROUGH_FIELD,
    TRACE_FIELD,
    TRUE,
    UNHEALTHY,
    BadRequestError,
    Reply,
    advice_fields,
    decode_fields,
    parse_number,
    parse_patience_s,
)

if TYPE_CHECKING:
    from beechrock.net.frame_server import FrameServer

MAX_OPEN = 32  # maximum number of open requests and health checks on one connection
MAX_BODY_BYTES = 2048  # maximum length of a request's body
MAX_RESULT_BYTES = 4096  # maximum length of an answer's body
MAX_OUT_BYTES = 524_288  # size of the output buffer of a connection
# Maximum length of a stored frame: enough for all fields and the longest body. A longer frame is skipped.
MAX_REQUEST_BYTES = 16_384
MAX_BAD_REQUESTS = 16  # number of invalid requests after which a connection is closed gracefully
MAX_BAD_REQUESTS_UNREAD = 256  # number of invalid requests after which it is closed with input unread
MAX_GAPS = 512  # used stream numbers remembered individually, above the range in which all are used
# Weighted sweeps during which a partly received message protects its connection from eviction.
PARTIAL_MESSAGE_SWEEPS = 1.0
MAILBOX_SIZE = 4096  # maximum number of queued messages


class UsedStreams:
    """Stream numbers that a connection has used, in bounded memory."""

    def __init__(self) -> None:
        self._used_up_to = 0  # all numbers up to this one count as used
        self._used_above = set[int]()  # used numbers above it

    def mark_used(self, stream: int) -> bool:
        """Mark a stream number as used. Returns False if it was used before."""
        if stream <= self._used_up_to or stream in self._used_above:
            return False
        self._used_above.add(stream)
        while self._used_up_to + 1 in self._used_above or len(self._used_above) > MAX_GAPS:
            self._used_up_to = (
                self._used_up_to + 1 if self._used_up_to + 1 in self._used_above else min(self._used_above)
            )
            self._used_above.discard(self._used_up_to)
        return True


class FrameConnection(ConnectionActor[Reply]):
    """A front end's connection: reads its frames and sends the answers."""

    where = "frames"

    def __init__(self, front: "FrameServer") -> None:
        super().__init__(front.module.counters, HEAD.size + MAX_REQUEST_BYTES, MAX_OUT_BYTES, MAILBOX_SIZE)
        self.front = front
        self.module = front.module
        self.skipping = 0  # bytes left to skip of a frame that is too long
        self.bad = 0  # number of invalid requests so far
        self.open: dict[int, Request | None] = {}  # keyed by stream; None: a pending health check
        self.streams = UsedStreams()
        self.last_message_at = self.module.clock()
        self.silent = 0.0  # sweeps without a complete message, slow progress counting less

    def parse(self) -> None:
        """Handle all complete frames. Raises BadInputError."""
        while not self.closing:
            if self.skipping:
                skipped = min(self.skipping, len(self.inbox))
                self.inbox.skip(skipped)
                self.skipping -= skipped
            if len(self.inbox) < HEAD.size:
                # After an invalid length, the bounds of later frames are unknown, so do not wait for more.
                if (
                    len(self.inbox) >= 4
                    and not MIN_LENGTH <= int.from_bytes(self.inbox.peek(4), "big") <= MAX_LENGTH
                ):
                    raise BadInputError(f"a frame of length {int.from_bytes(self.inbox.peek(4), 'big')}")
                return
            length, kind, stream = HEAD.unpack(self.inbox.peek(HEAD.size))
            if not MIN_LENGTH <= length <= MAX_LENGTH:
                raise BadInputError(f"a frame of length {length}")
            if length > MAX_REQUEST_BYTES:  # not stored, as many such frames would fill the memory
                self.inbox.skip(HEAD.size)
                self.skipping = length - MIN_LENGTH
                self._reject_too_long(kind, stream, length)
                continue
            if len(self.inbox) < 4 + length:
                return
            self.inbox.skip(HEAD.size)
            payload = self.inbox.read(length - MIN_LENGTH)
            self.messages_received += 1
            self.silent = 0.0
            self.last_message_at = self.module.clock()
            self.retry_at = 0.0
            self._handle_frame(kind, stream, payload)

    def _handle_frame(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == REQUEST and stream:
            self._receive_request(stream, payload)
        elif kind == CANCEL:
            request = self.open.pop(stream, None)
            if request is not None:
                self.module.post(RequestCancelled(request))
                # The protocol requires no answer here, but a caller that cancels all its requests must get
                # some answer. It is counted as a failure, as callers count it too.
                self.post(Reply(ANSWER, stream, FAILED, body=b"taken back"))
                self.module.table.counts.on_front_answer(request.route, Verdict.FAILED)
        elif kind == CHECK:
            self._handle_check(stream, payload)
        else:
            raise BadInputError(f"a frame of type {kind} on stream {stream}")

    def _reject_bad_request(self, stream: int, problem: str) -> None:
        """Answer an invalid request with an error; many of them close the connection."""
        self.counters.add("intake.frames_bad")
        self.post(Reply(ANSWER, stream, FAILED, body=problem.encode()))
        self.bad += 1
        if self.bad == MAX_BAD_REQUESTS:  # close gracefully, as valid requests may follow
            self.counters.add("intake.frames_malformed")
            self.post(Reply(ANSWER, 0, FAILED, body=f"{self.bad} bad requests".encode()))
            self.post(Reply(NO_MORE))
            self.close_when_idle()
        elif self.bad == MAX_BAD_REQUESTS_UNREAD:  # a graceful close never completes if input keeps coming
            self.close_when_answered()

    def _reject_too_long(self, kind: int, stream: int, length: int) -> None:
        if kind != REQUEST or not stream or not self.streams.mark_used(stream):
            raise BadInputError(f"a frame of type {kind} on stream {stream} of {length} bytes")
        self._reject_bad_request(stream, f"a request of {length} bytes, over {MAX_REQUEST_BYTES}")

    def _receive_request(self, stream: int, payload: bytes) -> None:
        if not self.streams.mark_used(stream):  # the error goes to stream 0: this stream has its own answer
            self._reject_bad_request(0, f"stream {stream} was used before")
            return
        if stream in self.open:  # when the check ends, it would remove the request from ``open``
            self._reject_bad_request(stream, f"stream {stream} is that of a health check")
            return
        try:
            request = self._parse_request(stream, *decode_fields(payload))
        except BadRequestError as error:
            if error.route:
                self.module.table.counts.on_front_answer(error.route, Verdict.FAILED)
            self._reject_bad_request(stream, str(error))
            return
        if self.rejected or len(self.open) >= MAX_OPEN or not self.module.post(RequestReceived(request)):
            self.counters.add("intake.frames_beyond_limit")
            self.module.table.counts.on_front_answer(request.route, Verdict.REFUSED)
            self.post(Reply(ANSWER, stream, REFUSED, advice_fields(self.module.status.advice)))
            return
        self.open[stream] = request

    def _parse_request(self, stream: int, values: dict[str, str], body: bytes) -> Request:
        klass = self.front.routes.get(values.get(ROUTE_FIELD, ""))
        if klass is None:
            raise BadRequestError(f"route: unknown class {values.get(ROUTE_FIELD, '')!r}")
        try:
            return self._build_request(klass, stream, values, body)
        except BadRequestError as error:
            error.route = values[ROUTE_FIELD]
            raise

    def _build_request(self, klass: int, stream: int, values: dict[str, str], body: bytes) -> Request:
        settings = self.module.settings.classes[klass]
        nonce = values.get(KEY_FIELD) or None
        if (settings.idempotency is Idempotency.KEYED) is not (nonce is not None):
            raise BadRequestError("nonce: keyed classes need one, others have none")
        if len(body) > MAX_BODY_BYTES:
            raise BadRequestError(f"body: {len(body)} bytes, over {MAX_BODY_BYTES}")
        trace = values.get(TRACE_FIELD, "")
        if len(trace) != 16 or set(trace) - set("0123456789abcdef"):
            raise BadRequestError("trace: not 16 hex digits")
        caller = parse_number(values, CALLER_FIELD, 0, 2**32)
        size = parse_number(values, MEMORY_KB_FIELD, 0, 2000)
        if not size:
            raise BadRequestError("size: not above 0")
        patience_s = parse_patience_s(values)
        birth = self.module.birth(klass, parse_number(values, BIRTH_MS_FIELD, 0, 2**53) / 1000.0, patience_s)
        return Request(
            trace=trace,
            klass=klass,
            route=values[ROUTE_FIELD],
            born=birth.born,
            body=body,
            answer=functools.partial(self._send_answer, stream),
            kb=size,
            rank=parse_number(values, RANK_FIELD, 0, 1),
            caller=int(caller),
            retry=values.get(RETRY_FIELD) == TRUE,
            tenant=self.front.tenant(values.get(TENANT_FIELD)),
            nonce=nonce,
            entity=values.get(ENTITY_FIELD) or None,
            earlier_s=birth.earlier_s,
            later_s=birth.later_s,
            patience_s=patience_s,
        )

    def _send_answer(self, stream: int, answer: Answer) -> None:
        if stream not in self.open:
            return  # answered when it was cancelled; the core had not handled the cancellation yet
        del self.open[stream]
        values = advice_fields(answer.advice)
        if len(answer.body) > MAX_RESULT_BYTES:  # results of SCGI servers may be longer than a frame allows
            self.counters.add("answered.too_long")
            answer = Answer(Verdict.FAILED, f"a result of {len(answer.body)} bytes".encode())
        if answer.retry_after_s:
            values += ((RETRY_AFTER_MS_FIELD, str(max(1, round(1000 * answer.retry_after_s)))),)
            self.refused_at = self.module.clock()
            self.retry_at = max(self.retry_at, self.refused_at + answer.retry_after_s)
        if answer.no_retry:
            values += ((NO_RETRY_FIELD, TRUE),)
        if not self.post(Reply(ANSWER, stream, CODES[answer.verdict], values, answer.body)):
            self.counters.add("answered.without_connection")

    def _handle_check(self, stream: int, payload: bytes) -> None:
        try:
            values, _ = decode_fields(payload) if payload else ({}, b"")
        except BadRequestError as error:
            raise BadInputError(f"a health check: {error}") from None
        if stream in self.open:  # the caller would take the check's answer for the request's
            raise BadInputError(f"a health check on the open stream {stream}")
        self.counters.add("intake.checks")
        work = self.module.ports.work
        if (
            values.get(THOROUGH_FIELD) == TRUE
            and not self.module.status.cached
            and work
            and self.module.status.healthy
            and (len(self.open) < MAX_OPEN)
        ):
            self.open[stream] = None
            work.exercise(functools.partial(self._send_check_result, stream))
        else:
            self._send_check_result(stream, True)

    def _send_check_result(self, stream: int, worked: bool) -> None:
        self.open.pop(stream, None)
        good = (
            worked
            and self.module.status.healthy
            and self.module.can_run()
            and self.module.listed_by_operators()
        )
        self.counters.add("answered.checks_good" if good else "answered.checks_bad")
        self.post(
            Reply(CHECKED, stream, HEALTHY if good else UNHEALTHY, advice_fields(self.module.status.advice))
        )

    def encode(self, message: Reply) -> bytes:
        """Return the wire format of a reply."""
        return message.encode()

    def answer_all(self) -> None:
        """Answer all open requests and health checks with a failure, as the process ends."""
        for stream, request in list(self.open.items()):
            if request is None:
                self._send_check_result(stream, False)
            else:  # a failure and no refusal, as the request may have run
                self.counters.add("answered.at_exit")
                self._send_answer(stream, Answer(Verdict.FAILED, b"the node ends"))

    def bad_input(self, problem: str) -> None:
        """Send the problem on stream 0, as no request belongs to it."""
        self.post(Reply(ANSWER, 0, FAILED, body=problem.encode()))

    def settled(self) -> bool:
        """Return whether no request or health check is open."""
        return not self.open

    def has_partial_message(self) -> bool:
        """Return whether a part of a frame was received recently."""
        return len(self.inbox) > 0 and self.silent <= PARTIAL_MESSAGE_SWEEPS

    def input_ended(self) -> None:
        """Close once all requests are answered, as the front end may still wait for its last answers."""
        self.close_when_answered()
