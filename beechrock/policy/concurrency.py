"""Concurrency limit: the maximum number of runs on the cores and in downstream calls."""

import math

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.other_process import OtherProcess, remaining_limit
from beechrock.policy.phases import CALLING, HELD, RUNNING
from beechrock.policy.requests import RequestTable
from beechrock.policy.slow_start import max_survivable_runs, speed_share
from beechrock.policy.statistics import RunStatistics

RUNS_PER_CORE = 1.2  # Initial limit: keeps all cores busy, and overload begins at 1.5 or more
MIN_RUNS_PER_CORE = 1.0
MAX_RUNS_PER_CORE = 2.5
BUSY_SHARE = 0.95  # CPU utilisation from which the cores count as busy
LIMIT_STEP = 0.5  # Change of the limit at each sample, in runs
SURVIVABLE_SHARE = 0.75  # Share of the survivable runs in use; the rest covers events seen one batch late
LONG_RUN_WINDOWS = 2.0  # Overload windows after which a long run is ignored, being in the mean by then


class ConcurrencyLimit:
    """Learns how many runs keep the cores busy, up to the crowd: a safe share of the runs they survive."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        statistics: RunStatistics,
        other_process: OtherProcess,
    ) -> None:
        self._context = context
        self._table = table
        self._statistics = statistics
        self._other_process = other_process
        self.limit = RUNS_PER_CORE * context.settings.cores
        self.mean_running = 0.0  # Moving mean of the runs on the cores over the overload window

    def advance(self, passed_s: float) -> None:
        """Account for the time since the last decision, with the present runs."""
        if window_s := self._context.settings.overload_window_s:
            step = 1 - math.exp(-passed_s / window_s)
            self.mean_running += step * (self._table.count[RUNNING] - self.mean_running)

    def fullness(self) -> float:
        """Return the ratio of present runs to the limit."""
        running = self._other_process.load.running
        return self._table.count[RUNNING] / remaining_limit(self.limit, running)

    def learn(self, gauges: api.Gauges) -> None:
        """Raise the limit while cores idle (runs may wait for disks); lower it once runs queue for cores."""
        cores = self._context.settings.cores
        busy = gauges.cpu_busy
        queue = gauges.runnable
        if busy is None or queue is None:
            return
        running = self._table.count[RUNNING] + self._other_process.load.running
        fewer = queue > RUNS_PER_CORE * cores and running >= self.limit - 1
        more = busy < BUSY_SHARE and queue < cores and self._table.count[HELD] > 0
        limit = self.limit + LIMIT_STEP * more - LIMIT_STEP * fewer
        self.limit = min(max(limit, MIN_RUNS_PER_CORE * cores), MAX_RUNS_PER_CORE * cores)

    def change_cores(self, previous: int, current: int) -> None:
        """Scale the limit to a new number of cores."""
        self.limit = self.limit * current / previous

    def run_limit(self, up_to_survivable: bool = False) -> int:
        """Return the maximum number of runs on the cores; ``up_to_survivable`` ignores the learnt limit.

        Rule: the runs of all processes of the node together stay below the crowd that the cores survive.
        """
        context = self._context
        settings = context.settings
        survived = max_survivable_runs(settings, speed_share(settings, context.now_s - context.started_s))
        crowd = SURVIVABLE_SHARE * survived
        running = self._other_process.load.running
        limit = max(1, int(remaining_limit(crowd if up_to_survivable else min(self.limit, crowd), running)))
        return max(0, min(limit, int(survived - running))) if running else limit

    def has_capacity(self) -> bool:
        """Return whether one more run may start, or issue a call after which it returns to the cores."""
        return self._table.count[RUNNING] + self._table.count[CALLING] + 1 <= self._limit_with_calls()

    def _limit_with_calls(self) -> float:
        """Return the maximum number of runs on the cores and in calls; all calls may end at the same time.

        Rule: if all return at once, the crowd is exceeded for less than the overload window; if the mean is
        near the crowd already, it is not exceeded at all.
        """
        crowd = self.run_limit(up_to_survivable=True)
        window_s = self._context.settings.overload_window_s
        if not window_s:
            return math.inf
        if crowd <= 1 or self.mean_running > SURVIVABLE_SHARE * crowd:  # One run may fill the crowd
            return crowd
        if self._table.count[RUNNING] > crowd:  # Returned runs take longer than estimated
            return crowd
        # Returned runs finish after the mean run time, shared by the cores; until that is known the mean
        # objective is used.
        run_s = max(self._statistics.run_s or self._context.mean_objective_s, self._longest_run_s())
        beyond = window_s * self._context.settings.cores / (2 * run_s)
        return crowd + beyond if beyond < crowd else 2 * math.sqrt(crowd * beyond)

    def _longest_run_s(self) -> float:
        """Return the seconds of the longest present run, which shows slow cores before any run ends.

        Runs older than LONG_RUN_WINDOWS are left out, so that a hung run doesn't block calls for ever;
        ``mean_running`` includes such a run by then.
        """
        now_s = self._context.now_s
        since_s = now_s - LONG_RUN_WINDOWS * (self._context.settings.overload_window_s or 0.0)
        return now_s - min(
            (start_s for start_s in self._table.running_since.values() if start_s > since_s), default=now_s
        )
