"""Graceful shutdown: the times until which requests are accepted, wanted and answered."""

import math

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.requests import OpenRequest

SPARE_SHARE = 0.1  # Share of the notice and of the grace period kept as a reserve
WANTED_GRACE_SHARE = 0.8  # Share of the grace period in which callers may send: without it cores would idle


class Shutdown:
    """Holds the times of a shutdown in monotonic seconds; all are infinite until it is announced."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.began_s = math.inf
        self.send_nothing_from_s = math.inf  # Time from which callers are asked to send nothing
        self.kill_s = math.inf  # Time by which every request is answered

    def announce(self, notice: api.ShutdownNotice) -> None:
        """Process a shutdown notice."""
        context = self._context
        self.began_s = min(self.began_s, context.now_s)
        self.kill_s = context.now_s + notice.remaining_s * (1 - SPARE_SHARE)
        grace_end_s = self.began_s + WANTED_GRACE_SHARE * (context.settings.drain_grace_s or 0.0)
        if notice.has_successor:
            self.send_nothing_from_s = math.inf
        else:
            self.send_nothing_from_s = min(grace_end_s, self.kill_s - context.mean_objective_s)

    def past_grace(self, entry: OpenRequest) -> bool:
        """Return whether a request arrived after the grace period, too late to run."""
        grace_s = self._context.settings.drain_grace_s or 0.0
        return entry.arrived_s > self.began_s + (1 - SPARE_SHARE) * grace_s
