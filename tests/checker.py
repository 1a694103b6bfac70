"""Checks the documented rules over a whole history, from reports of what was read, run and answered."""

import math
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

from beechrock import interface as api


@dataclass(slots=True, eq=False)
class Try:
    """One simulated request: its state, and the facts that the checker needs."""

    id: int
    klass: int
    kb: float
    arrived: float
    due: float
    c: api.ClassSettings
    key: int | None
    first: "Try | None"
    parts: list[float]  # remaining core seconds of the sections of its run; a call separates two
    state: str = "held"
    ran: bool = False
    answered: bool = False
    gone: bool = False
    sure: bool = True  # False after a call that may have had its effect without a reply
    served: bool = False  # whether it has a result that repeats may share
    ended_at: float = math.inf
    call_end: float = 0.0
    outcome: api.Outcome = api.Outcome.OK
    waiters: "list[Try]" = field(default_factory=list)


class Window:
    """The mean of a level over a sliding window, and the mean of its limit, which may change."""

    def __init__(self, over_s: float) -> None:
        self.over_s, self.sum, self.limit_sum = over_s, 0.0, 0.0
        self.parts: deque[tuple[float, float, float]] = deque()  # seconds, level, limit

    def add(self, seconds: float, level: float, limit: float) -> None:
        self.parts.append((seconds, level, limit))
        self.sum, self.limit_sum = self.sum + seconds * level, self.limit_sum + seconds * limit
        length = sum(part[0] for part in self.parts) if len(self.parts) < 8 else self.length + seconds
        self.length = length
        while self.length > self.over_s:
            old, was, most = self.parts[0]
            cut = min(old, self.length - self.over_s)
            self.sum, self.limit_sum, self.length = (
                self.sum - cut * was,
                self.limit_sum - cut * most,
                self.length - cut,
            )
            self.parts.popleft()
            if cut < old:
                self.parts.appendleft((old - cut, was, most))
                break

    def over(self) -> bool:
        """Return whether the mean is over the limit.

        Until the window is full, the rest of it counts as idle, with the current limit.
        """
        now = self.parts[-1][2] if self.parts else 0.0
        most = self.limit_sum + max(0.0, self.over_s - self.length) * now
        return self.sum > most * (1 + 1e-9) + 1e-9


class Checker:
    """Asserts the documented rules over a whole history; a broken rule is an AssertionError."""

    def __init__(self, told: api.Settings, started: float) -> None:
        self.told, self.started, self.grace_end, self.kill_at = told, started, math.inf, math.inf
        self.slack_s = told.answer_slack_s or 0.0
        self.owed: dict[int, Try] = {}
        self.dues: list[tuple[float, int]] = []
        self.ran: dict[int, list[Try]] = {}  # launched requests by key
        self.stalled_s = 0.0
        self.run_window = (
            Window(told.overload_window_s) if told.overload_window_s and told.overload_multiple else None
        )
        shared = told.downstream is api.Downstream.SHARED and told.shared_call_limit is not None
        self.below = Window(told.shared_call_window_s) if shared and told.shared_call_window_s else None

    def read(self, one: Try) -> None:
        self.owed[one.id] = one
        heappush(self.dues, (one.due + self.slack_s - self.stalled_s, one.id))

    def over(self, one: Try) -> None:
        """Record that a request was answered, or that its caller has disconnected."""
        self.owed.pop(one.id, None)

    def run(self, one: Try) -> None:
        assert one.arrived <= self.grace_end, f"drain: {one.id} arrived after the grace and runs"
        assert not one.ran, f"duplicate: {one.id} runs again"
        assert not one.answered, f"{one.id} runs after its answer"
        if one.c.idempotency is api.Idempotency.KEYED and one.key is not None:
            for other in self.ran.setdefault(one.key, []):
                window = other.c.idempotency_window_s or 0.0
                after_s = one.arrived - other.arrived
                assert not 0 <= after_s <= window, f"duplicate: {one.id} after {other.id}"
            self.ran[one.key].append(one)

    def refused(self, one: Try, action: api.Reject) -> None:
        ran = one.ran and one.c.idempotency is not api.Idempotency.IDEMPOTENT
        assert not ran, f"duplicate: {one.id} ran and is refused"
        after = action.retry_after_s
        assert after is None or (self.told.sends_retry_after and 0 <= after < 1e9), f"stay away for {after}"

    def passed(self, seconds: float, now: float, running: int, calls: float) -> None:
        """Account for ``seconds`` with that many requests running, and that many calls on average."""
        s = self.told
        if self.run_window is not None:
            share = 1.0
            if s.slow_start and s.slow_start_s:
                cold = s.slow_start_speed_share or 0.0
                share = min(1.0, cold + (1 - cold) * (now - seconds - self.started) / s.slow_start_s)
            most = s.cores * (1 + ((s.overload_multiple or 0.0) - 1) * share)
            self.run_window.add(seconds, running, max(most, 1.0))
            assert not self.run_window.over(), f"fall-over: {running} on {s.cores} cores, {most:.2f} survive"
        self._add_calls(seconds, calls)

    def _add_calls(self, seconds: float, calls: float) -> None:
        """Account for ``seconds`` with that many calls on average."""
        limit = self.told.shared_call_limit
        if self.below is not None:
            self.below.add(seconds, calls, limit or 0.0)
            assert not self.below.over(), f"fall-over: {calls} calls in hand, {limit} allowed"

    def stalled(self, seconds: float, calls: float) -> None:
        """Account for ``seconds`` in which the process and its cores were paused, while calls went on."""
        self.stalled_s += seconds
        self._add_calls(seconds, calls)

    def batch_done(self, now: float, memory_kb: float) -> None:
        while self.dues and (self.dues[0][1] not in self.owed or self.dues[0][0] < now - self.stalled_s):
            due, ident = heappop(self.dues)
            assert ident not in self.owed, (
                f"lost: {ident} {self.owed[ident].state}, due {now - self.stalled_s - due:.4f} s ago"
            )
        assert memory_kb <= self.told.memory_kb * (1 + 1e-9), f"fall-over: memory {memory_kb:.1f} KB"
        assert now < self.kill_at or not self.owed, f"drain: {sorted(self.owed)[:5]} owed at the kill"
