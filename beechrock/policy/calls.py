"""Downstream calls: which calls are issued, which runs skip theirs, and how many calls are in flight."""

import math
from heapq import heappop, heappush

from beechrock import interface as api
from beechrock.policy.abacus import MAX_SLOTS
from beechrock.policy.answers import Answers
from beechrock.policy.concurrency import ConcurrencyLimit
from beechrock.policy.context import Context
from beechrock.policy.meter import MIN_SAMPLES, ThroughputMeter
from beechrock.policy.other_process import OtherProcess, remaining_limit
from beechrock.policy.phases import AWAITING_CALL, CALLING, RUNNING
from beechrock.policy.queues import Queue, QueueEntry
from beechrock.policy.requests import OpenRequest, RequestTable

SHARED_CALLS_PER_CORE = 2.0  # Maximum calls in flight per core where the settings give no limit
TIER_CALLS_PER_CORE = 8.0  # Maximum calls per core to a tier, which rejects by itself; fewer left cores idle
CALL_LIMIT_SHARE = 0.8  # Share of the settings' call limit that is the maximum of the learnt limit
MIN_CALL_LIMIT_SHARE = 0.5  # Minimum of the learnt limit, as a share of its maximum
WINDOW_SHARE = 0.9  # Share of a window's call time that may be used or reserved
WAIT_SHARE = 0.5  # Share of the time left that the predicted wait for a call may take
SLOW_CALL_FACTOR = 2.0  # Ratio of the mean to the best call time that means overload downstream
MIN_CALL_S = 0.01  # Shortest timeout of a call; no call is issued with less of the window's call time left
SKIP_TICKS = 5.0  # Ticks by which a call is skipped early, as the run's answer takes some ticks to go out
MIN_REST_SHARE = 0.35  # Share of the expected run time that must be left for a run to be worthwhile
BEST_TIME_STEP = 0.03  # Share of a learning step by which the best call time rises again
FAILURE_FACTOR = 0.7  # Factor on the limit after a failed call
FIRST_PAUSE_S = 0.02  # Unit of the backoff after failures; each further failure in a row doubles the pause
MAX_PAUSE_S = 1.0
MAX_PAUSE_DOUBLINGS = 6


class DownstreamCalls:
    """Owns the learnt limit of calls in flight and the queue of runs that wait to call."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        answers: Answers,
        concurrency: ConcurrencyLimit,
        other_process: OtherProcess,
        cores: ThroughputMeter,
        slot_s: float,
    ) -> None:
        settings = context.settings
        self._context = context
        self._table = table
        self._answers = answers
        self._concurrency = concurrency
        self._other_process = other_process
        self._cores = cores
        self.meter = ThroughputMeter(context.mean_objective_s)
        self._waiting: Queue = []
        if settings.shared_call_limit is not None:
            self._max_limit = CALL_LIMIT_SHARE * settings.shared_call_limit
        elif settings.downstream is api.Downstream.TIER:
            self._max_limit = TIER_CALLS_PER_CORE * settings.cores
        else:
            self._max_limit = SHARED_CALLS_PER_CORE * settings.cores
        self.limit = self._max_limit  # Learnt maximum number of calls in flight
        self.paused_until_s = context.now_s
        self._failures = 0  # Consecutive failed calls; timeouts don't count
        self._last_time_s = context.now_s  # Time of the latest learning step (monotonic seconds)
        self.mean_s = 0.0  # Moving mean duration of a call, in seconds
        self.best_mean_s = 0.0  # Lowest recent value of ``mean_s``, in seconds
        self._call_time_s = 0.0  # Sum of open calls over time, in call-seconds
        # Values of _call_time_s at the ends of slots, from the start of the window on. A window of very many
        # slots keeps only one value per stride.
        window_s = settings.shared_call_window_s or 0.0
        self._slots = 0
        self._slot_stride = int(window_s / slot_s / MAX_SLOTS) + 1
        self.call_time_by_slot_s = [0.0] * (int(window_s / slot_s / self._slot_stride) + 2)
        self._lingering: list[float] = []  # Heap of the times at which abandoned calls stop counting

    def open_calls(self) -> int:
        """Return the number of calls in flight, including abandoned calls that still linger downstream."""
        return self._table.count[CALLING] + len(self._lingering)

    def advance(self, passed_s: float) -> None:
        """Account for the time since the last decision, with the present calls."""
        count = self._table.count
        calling = count[CALLING]
        # If the limit is below one call, a pause between calls counts as full use while a run waits to call.
        fullness = calling / max(1.0, self.limit) or count[AWAITING_CALL] * (self.limit < 1)
        self.meter.advance(passed_s, fullness)
        open_calls = calling + len(self._lingering) + self._other_process.load.open_calls
        self._call_time_s += passed_s * open_calls

    def end_slot(self) -> None:
        """Record the total call time at the end of a slot."""
        self._slots += 1
        if self._slots % self._slot_stride == 0:
            self.call_time_by_slot_s = [*self.call_time_by_slot_s[1:], self._call_time_s]

    def end_lingering(self) -> None:
        """Stop counting abandoned calls whose linger time has passed."""
        while self._lingering and self._lingering[0] <= self._context.now_s:
            heappop(self._lingering)

    def abandon(self) -> None:
        """Count an abandoned call as in flight while it may linger downstream."""
        linger_s = self._context.settings.abandoned_call_linger_s or 0.0
        heappush(self._lingering, self._context.now_s + linger_s)

    def has_backlog(self) -> bool:
        """Return whether more runs wait to call than calls may be in flight."""
        return self._table.count[AWAITING_CALL] > self.limit

    def backoff_end_s(self) -> float:
        """Return when the backoff ends, if a run waits for that; otherwise infinity (monotonic seconds)."""
        waits = self._table.count[AWAITING_CALL] and self.paused_until_s > self._context.now_s
        return self.paused_until_s if waits else math.inf

    def remaining_s(self, entry: OpenRequest) -> float:
        """Return the least seconds that a run still needs, including the calls it has to make."""
        run_s = MIN_REST_SHARE * self._cores.wait(entry.work * self._context.settings.cores)
        return run_s + entry.must_call * entry.calls_left * self.mean_s

    def queue_or_skip(self, entry: OpenRequest, calls_left: float) -> None:
        """Queue a run for its call; if the wait is too long and the call is optional, skip it at once."""
        # The run does need a call, even if its class was learnt to make none.
        entry.must_call = not entry.request_class.skip_value_share
        left_s = self._latest_skip_s(entry) - self._context.now_s
        late = self.meter.wait(self._table.count[AWAITING_CALL]) > WAIT_SHARE * left_s
        self._table.move(entry, AWAITING_CALL, calls_left)
        if late and not entry.must_call and self._may_skip():
            return self._skip_or_give_up(entry)
        return heappush(self._waiting, QueueEntry(entry.objective_end_s, entry.request.id))

    def issue(self) -> None:
        """Issue the calls that are allowed now; runs that are too late skip their call, or are given up."""
        while (entry := self._table.first(self._waiting, AWAITING_CALL)) is not None:
            now_s = self._context.now_s
            end_s = entry.useful_until_s if entry.must_call else self._latest_skip_s(entry)
            time_left_s = self._call_time_left_s()
            # With no call in flight, one is issued anyway: only a call can show that calls are fast again.
            late = entry.call_in_doubt or (
                now_s + self.mean_s > end_s and (now_s >= end_s or self._table.count[CALLING])
            )
            if late and (entry.must_call or self._may_skip()):
                self._skip_or_give_up(entry)  # Only while cores have capacity, so that not all return at once
            elif late or not self._may_call(time_left_s):
                break
            else:
                self._table.move(entry, CALLING)
                entry.calls += 1
                max_wait_s = max(MIN_CALL_S, min(end_s - now_s, time_left_s))
                self._context.actions.append(api.Call(entry.request.id, max_wait_s))

    def end(self, entry: OpenRequest, outcome: api.Outcome, elapsed_s: float) -> None:
        """Process the end of a call: adapt the limit to the call's time, and back off after a failure."""
        late = outcome is api.Outcome.TIMED_OUT  # Needs no backoff: its slot stays taken while it lingers
        self._failures = 0 if outcome is api.Outcome.OK else self._failures + (not late)
        step = 0.0
        if outcome is api.Outcome.OK or (late and elapsed_s > self.mean_s):
            step = self._learn_time(elapsed_s)
        if outcome is api.Outcome.OK:
            self._succeed(entry, elapsed_s, step)
        else:
            self._fail(entry, outcome)
        self.limit = min(max(self.limit, MIN_CALL_LIMIT_SHARE * self._max_limit), self._max_limit)
        if 0 < self.limit < 1:  # Pause between calls, so that the mean number in flight meets the limit
            pause_end_s = self._context.now_s + elapsed_s * (1 / self.limit - 1)
            self.paused_until_s = max(self.paused_until_s, pause_end_s)

    def _learn_time(self, elapsed_s: float) -> float:
        """Learn from the duration of a call; return the step of the moving means."""
        now_s = self._context.now_s
        step = min(1 / MIN_SAMPLES, (now_s - self._last_time_s) / self._context.mean_objective_s)
        self._last_time_s = now_s
        self.mean_s = self.mean_s + step * (elapsed_s - self.mean_s) if self.mean_s else elapsed_s
        return step

    def _succeed(self, entry: OpenRequest, elapsed_s: float, step: float) -> None:
        self._table.move(entry, RUNNING, entry.calls_left - 1)
        self.meter.add(1.0)
        self.best_mean_s = min(self.mean_s, (1 + BEST_TIME_STEP * step) * self.best_mean_s or elapsed_s)
        self.limit *= 1 + step if self.mean_s < SLOW_CALL_FACTOR * self.best_mean_s else 1 - step / 2

    def _fail(self, entry: OpenRequest, outcome: api.Outcome) -> None:
        late = outcome is api.Outcome.TIMED_OUT
        self.queue_or_skip(entry, entry.calls_left)
        if late or outcome is api.Outcome.CONNECTION_LOST:  # The call may still be running downstream
            self.abandon()
        # If queue_or_skip() already skipped the call, no call is in doubt any more.
        still_waits = entry.phase == AWAITING_CALL
        entry.call_in_doubt = not outcome.never_ran and not entry.idempotent and still_waits
        self.limit *= FAILURE_FACTOR
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(self._failures, MAX_PAUSE_DOUBLINGS))
        self.paused_until_s = self._context.now_s + (not late) * pause_s

    def _may_call(self, time_left_s: float) -> bool:
        """Return whether one more call may be issued now."""
        limit = remaining_limit(self.limit, self._other_process.load.open_calls)
        return (
            self._concurrency.has_capacity()
            and self._context.now_s >= self.paused_until_s
            and time_left_s >= max(self.mean_s, MIN_CALL_S)
            and self.open_calls() + 1 <= max(1.0, limit)
        )

    def _may_skip(self) -> bool:
        running = self._table.count[RUNNING]
        return (
            running < self._concurrency.run_limit(up_to_survivable=True) and self._concurrency.has_capacity()
        )

    def _skip_or_give_up(self, entry: OpenRequest) -> None:
        if entry.must_call:
            return self._answers.give_up(entry)
        entry.call_in_doubt = False  # The call in doubt is skipped; the run's next call is a new one
        self._context.actions.append(api.SkipCall(entry.request.id))
        return self._table.move(entry, RUNNING, entry.calls_left - 1)

    def _latest_skip_s(self, entry: OpenRequest) -> float:
        """Return the latest time to skip an optional call, so that the run still meets its objective."""
        skip_s = SKIP_TICKS * (self._context.settings.tick_s or 0.0)
        return entry.objective_end_s - self.remaining_s(entry) - skip_s

    def _call_time_left_s(self) -> float:
        """Return the seconds of call time in the window that are left for one more call.

        Rule: a limit below one call in the mean holds only if even a slow call that is abandoned still fits.
        """
        settings = self._context.settings
        if self._max_limit == 0:  # The settings allow no call at all
            return -math.inf
        if self._max_limit >= 1 or not settings.shared_call_window_s:
            return math.inf
        linger_s = (1 + len(self._lingering)) * (settings.abandoned_call_linger_s or 0.0)
        used_s = self._call_time_s - self.call_time_by_slot_s[0] + linger_s
        return WINDOW_SHARE * (settings.shared_call_limit or 0.0) * settings.shared_call_window_s - used_s
