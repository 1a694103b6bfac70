"""Callers of an edge's member: their writes, until each has its one answer."""

import hashlib
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.core.requests import Request, Verdict
from beechrock.edges.actions import Accepted, Action, Done, Turned
from beechrock.edges.causal import NOTHING, Seen, Token, read_tokens
from beechrock.edges.edge import Edge
from beechrock.edges.errors import EdgeError
from beechrock.edges.words import KEEP_S, WhenGone, Write
from beechrock.interface import Idempotency
from beechrock.net.scgi_codec import ScgiError
from beechrock.net.scgi_reply import Reply

if TYPE_CHECKING:
    from beechrock.edges.part import EdgesPart

RETRY_AFTER_S = 0.5  # seconds after which a rejected caller may retry
CUT_OFF_RETRY_AFTER_S = 5.0  # the same while the edge is cut off from upstream
ANSWER_SHARE = 0.8  # share of the time to its due time within which a write is accepted or rejected

SendReply = Callable[[Reply], None]


class Callers:
    """Owner of the callers that wait for an answer of the edge; each is identified by a number."""

    def __init__(self, part: "EdgesPart", edge: Edge) -> None:
        self._part = part
        self._edge = edge
        self._waiting: dict[int, tuple[Request, SendReply]] = {}
        self._last_number = 0

    def takes(self, request: Request, headers: dict[str, str], send_reply: SendReply) -> bool:
        """Return whether the edge answers a caller's request. Raises ScgiError."""
        # Upstream steered this request here, so its key has an intent already. Queued again, it was reported
        # as served upstream and as another attempt of its key here, and never ran.
        if request.generation:
            return False
        terms = self._part.inventory.when_cut.get((self._part.team(request), request.route))
        seen = self._seen(headers)
        keyed = self._part.module.settings.classes[request.klass].idempotency is Idempotency.KEYED
        if terms is None or terms["when_cut"] != "queue" or not keyed:
            return self._refuses_now(request, send_reply, seen, terms is not None)
        self._queue(request, headers, send_reply, seen, terms)
        return True

    def _seen(self, headers: dict[str, str]) -> Seen:
        """Return the writes that a caller has seen, by its header. Raises ScgiError."""
        text = headers.get("HTTP_X_SEEN", "")
        try:
            return read_tokens(text, self._part.key) if text else NOTHING
        except EdgeError as error:
            raise ScgiError(400, str(error)) from None

    def _refuses_now(self, request: Request, send_reply: SendReply, seen: Seen, has_terms: bool) -> bool:
        """Refuse a request that is not queued and can't be served now; return False if it can."""
        after_s = self._edge.reads(seen) if seen else None
        if after_s is None and has_terms and not self._edge.link.straight:
            after_s = CUT_OFF_RETRY_AFTER_S
        if after_s is None:
            return False
        reason = "what it has seen is not upstream yet" if seen else "this edge is cut off from upstream"
        self._refuse(request, send_reply, after_s, f"not now: {reason}\n")
        return True

    def _queue(
        self,
        request: Request,
        headers: dict[str, str],
        send_reply: SendReply,
        seen: Seen,
        terms: dict[str, Any],
    ) -> None:
        """Pass a write to the edge, which queues or forwards it and answers it by an action."""
        self._last_number += 1
        number = self._last_number
        request.answered = True
        self._waiting[number] = request, send_reply
        team = self._part.team(request)
        module = self._part.module
        waited_s = module.clock() - request.born  # in the kernel, while the node lagged
        answer_within_s = ANSWER_SHARE * module.settings.classes[request.klass].deadline_s - waited_s

        def write(now: float, now_s: float) -> list[Action]:
            found = Write(
                number,
                team,
                request.route,
                request.nonce or "",
                request.body,
                hashlib.blake2b(request.body, digest_size=16).digest(),
                seen,
                headers.get("HTTP_X_SESSION", ""),
                request.entity or "",
                WhenGone(terms.get("when_gone", "hold")),
                terms.get("keep_s", KEEP_S),
                int(terms.get("copies", 0)),
                request.retry,
                now + answer_within_s,
            )
            return self._edge.write(now, now_s, found)

        self._part.post(write)

    # --- answers

    def answer(self, action: Action) -> None:
        """Answer the caller of an Accepted, Turned or Done action."""
        match action:
            case Accepted(number) | Turned(number) | Done(number):
                caller = self._waiting.pop(number, None)
            case _:
                return
        if caller is None:
            return
        request, send_reply = caller
        match action:
            case Accepted():
                self._accept(action, request, send_reply)
            case Turned(_, after_s, why):
                self._part.counters.add("edges.turned")
                self._refuse(request, send_reply, after_s, why + "\n")
            case Done(_, "refused", _, _, after_s):
                after_s = after_s or RETRY_AFTER_S
                self._refuse(request, send_reply, after_s, "turned away; it never ran\n")
            case Done():
                self._finish(action, request, send_reply)

    def fail_all(self, reason: bytes) -> None:
        """Answer all callers that wait with a failure."""
        for number in list(self._waiting):
            self.answer(Done(number, "failed", reason))

    def _accept(self, action: Accepted, request: Request, send_reply: SendReply) -> None:
        logs.event("edge.accepted", receipt=str(action.dot), nonce=request.nonce, places=list(action.places))
        self._part.counters.add("edges.accepted")
        receipt = Token(action.seen, action.places).encode(self._part.key)
        send_reply(Reply(202, b"accepted; it runs once upstream is reached\n", (("X-Receipt", receipt),)))

    def _finish(self, action: Done, request: Request, send_reply: SendReply) -> None:
        served = action.verdict == "served"
        verdict = Verdict.SERVED if served else Verdict.FAILED
        self._part.module.table.counts.on_front_answer(request.route, verdict)
        body = action.body or (b"" if served else b"failed\n")
        media = action.media or "application/octet-stream"
        send_reply(Reply(200 if served else 500, body, (("Content-Type", media),)))

    def _refuse(self, request: Request, send_reply: SendReply, after_s: float, reason: str) -> None:
        request.answered = True
        if self._part.runs is not None:
            self._part.runs.refused += 1
        self._part.module.table.counts.on_front_answer(request.route, Verdict.REFUSED)
        retry_after = (
            ("Retry-After", str(math.ceil(after_s))),
            ("X-Retry-After-Ms", str(round(1000 * after_s))),
        )
        send_reply(Reply(503, reason.encode(), retry_after))
