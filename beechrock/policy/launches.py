"""Launch gate: checks whether the slow-start budget of all the node's processes covers one more run."""

import math

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.other_process import OtherProcess
from beechrock.policy.requests import OpenRequest
from beechrock.policy.slow_start import LaunchBudget
from beechrock.policy.statistics import RunStatistics


class LaunchGate:
    """Limits the runs that a cold node launches in an overload window to what its settings allow."""

    def __init__(self, context: Context, other_process: OtherProcess, statistics: RunStatistics) -> None:
        self._context = context
        self._other_process = other_process
        self._statistics = statistics
        self.budget = LaunchBudget()

    def _available(self) -> tuple[float, float]:
        context = self._context
        return self.budget.available(
            context.settings, context.now_s, context.started_s, self._other_process.launches()
        )

    def left(self) -> float:
        """Return the number of runs of mean work that may start now."""
        return min(self._available())

    def recent(self, now_s: float) -> int:
        """Return the launches in the window, in requests of mean work; 0 once the node is warm.

        The launches of a departed process are included: a process that started later never saw them.
        """
        context = self._context
        warm = self.budget.left(context.settings, now_s, context.started_s) == math.inf
        return (
            0
            if warm
            else math.ceil(self.budget.launched_work()) + self._other_process.departed_launches(now_s)
        )

    def allows(self, request: api.Request) -> bool:
        """Return whether the budget covers a run's whole work; the only run in a window may exceed it."""
        runs, work = self._available()
        if work == math.inf:
            return True
        alone = work >= 1 and not self.budget.launches
        return runs >= 1 and (alone or work >= self._statistics.relative_work(request))

    def launch(self, entry: OpenRequest) -> None:
        """Count a run that starts now."""
        work = self._statistics.relative_work(entry.request)
        entry.launch = self.budget.add(self._context.now_s, work)

    def wait_s(self, ahead: int) -> float:
        """Return the seconds until a spent budget covers a run behind ``ahead`` held requests, or 0."""
        if (left := self.left()) >= 1 or not self.budget.launches:
            return 0.0
        window_s = self._context.settings.overload_window_s or 0.0
        return max(0.0, self.budget.window_exit_s(window_s, int(ahead - left)) - self._context.now_s)
