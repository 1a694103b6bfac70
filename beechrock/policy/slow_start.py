"""Slow start: limits the runs that a cold node launches until it is warm.

The operators' rule: a cold node fails if it gets more than N requests, with an allowance for chance, in the
time that the settings give. This module applies the rule to the launches in every overload window. N is the
work that a warm node completes in that time, times the overload multiple, times the share of its speed that
the settings guarantee at the window's start; it is at least the number of runs that the cores survive at
once. The settings don't contain a warm node's speed, so the runs that were launched and served in the window
are used as its lower bound. docs/crossings/slow-start.md has the other interpretations of the rule.
"""

import math
from collections import deque
from dataclasses import dataclass

from beechrock import interface as api

MANY_REQUESTS = 30  # Expected requests below which the rule allows a wider margin
UNBOUNDED_MULTIPLE = 1e9  # Runs per core that the cores survive where no multiple is set: no limit


def speed_share(settings: api.Settings, age_s: float) -> float:
    """Return the guaranteed share of its full speed of a node of this age; 1 once it is warm."""
    if not settings.slow_start or not settings.slow_start_s:
        return 1.0
    initial_share = settings.slow_start_speed_share or 0.0
    return min(1.0, initial_share + (1 - initial_share) * max(0.0, age_s) / settings.slow_start_s)


def max_survivable_runs(settings: api.Settings, share: float) -> float:
    """Return the maximum number of concurrent runs that a node at this share of its speed survives."""
    return settings.cores * (1 + ((settings.overload_multiple or UNBOUNDED_MULTIPLE) - 1) * share)


def max_requests(expected: float) -> float:
    """Return the expected number of requests plus the rule's allowance for chance."""
    root = math.sqrt(expected)
    return expected + 2 * root + 2 if expected >= MANY_REQUESTS else expected + 3 * root + 3


def max_launches(settings: api.Settings, share: float, served: float) -> float:
    """Return the maximum launches of a cold node in one overload window, in requests of mean work.

    ``share``: guaranteed share of the node's full speed at the window's start; ``served``: the window's
    launches that ended with success, either their number or their total work relative to the mean; the result
    limits that same quantity.

    The rule limits the launches to an expected number of requests plus an allowance for chance, which drops
    where ``MANY_REQUESTS`` are expected. Only a lower bound of that number is known (``expected``). While it
    is below ``MANY_REQUESTS``, the true number may be above, so the lower of both limits applies.
    """
    work = (settings.overload_multiple or UNBOUNDED_MULTIPLE) * share * served
    expected = max(max_survivable_runs(settings, share), work)
    limit = max_requests(expected)
    return math.floor(limit if expected >= MANY_REQUESTS else min(limit, max_requests(MANY_REQUESTS)))


@dataclass(slots=True)
class Launch:
    """One started run: its start, its work relative to the mean, and whether it was served."""

    at_s: float
    work: float = 1.0
    served: bool = False


class LaunchBudget:
    """Tracks a cold node's launches in the last window and the number of runs that it may still start."""

    def __init__(self) -> None:
        self.launches: deque[Launch] = deque()  # Launches of the last window; empty on a warm node

    def add(self, now_s: float, work: float = 1.0) -> Launch:
        """Count a run that starts now; ``work`` is relative to the mean."""
        self.launches.append(launch := Launch(now_s, work))
        return launch

    def launched_work(self) -> float:
        """Return the launches of the window in requests of mean work; a light run counts as one request."""
        return max(len(self.launches), sum(launch.work for launch in self.launches))

    def left(
        self,
        settings: api.Settings,
        now_s: float,
        started_s: float,
        other_launches: float | None = None,
    ) -> float:
        """Return the number of runs of mean work that may start now; infinite if warm or without a window."""
        return min(self.available(settings, now_s, started_s, other_launches))

    def available(
        self,
        settings: api.Settings,
        now_s: float,
        started_s: float,
        other_launches: float | None = None,
    ) -> tuple[float, float]:
        """Return the number of runs that may start now, and their work relative to the mean; both are bounds.

        ``other_launches``: launches of other processes on these cores, or None if there are none.
        This process gets half of the rest: reports are some ticks old, so both processes might spend the
        whole rest at the same time.
        """
        window_s = settings.overload_window_s or 0.0
        share = speed_share(settings, now_s - window_s - started_s)
        if not window_s or share >= 1:
            self.launches.clear()
            return math.inf, math.inf
        while self.launches and self.launches[0].at_s <= now_s - window_s:
            self.launches.popleft()
        served = [launch.work for launch in self.launches if launch.served]
        runs, work = max_launches(settings, share, len(served)), max_launches(settings, share, sum(served))
        if other_launches is not None:
            runs, work = (runs - other_launches) // 2, (work - other_launches) // 2
        begun_work = sum(launch.work for launch in self.launches)
        return max(0.0, runs - len(self.launches)), max(0.0, work - begun_work)

    def window_exit_s(self, window_s: float, place: int) -> float:
        """Return when the launch at ``place`` (0 is the oldest) leaves the window; past the last it wraps."""
        windows, place = divmod(place, len(self.launches))
        return self.launches[place].at_s + (1 + windows) * window_s
