"""Counts of received and ended requests, and of answers by service, for the operators' metrics.

Invariants: each request that a front end has read counts once as taken, and once as ended: with its answer,
or without one if its caller disconnected first. ``concurrent`` is the difference, and is never below 0.
"""

from beechrock.core.requests import Request, Verdict


class RequestCounts:
    """Counts since the start of this process."""

    def __init__(self) -> None:
        self.taken = 0
        self.ended = 0
        self.replies: dict[tuple[str, Verdict], int] = {}

    @property
    def concurrent(self) -> int:
        """Return the number of requests received and not yet ended."""
        return self.taken - self.ended

    def on_received(self) -> None:
        """Count a request that a front end has read."""
        self.taken += 1

    def on_answered(self, request: Request, verdict: Verdict) -> None:
        """Count the final answer to a request, which ends it."""
        self.ended += 1
        self._reply(request.route, verdict)

    def on_cancelled(self) -> None:
        """Count a request as ended without an answer of the core: cancelled, or the mailbox was full."""
        self.ended += 1

    def on_front_answer(self, route: str, verdict: Verdict) -> None:
        """Count an answer that a front end gives by itself, to a request that the core does not count."""
        self._reply(route, verdict)

    def _reply(self, route: str, verdict: Verdict) -> None:
        key = route, verdict
        self.replies[key] = self.replies.get(key, 0) + 1
