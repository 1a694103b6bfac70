"""Probe runs: what was learnt of runs and calls is tried again once it is old."""

from beechrock.policy.context import Context
from beechrock.policy.phases import AWAITING_CALL, CALLING, RUNNING
from beechrock.policy.requests import RequestTable


class Probing:
    """Says when one run may begin though the estimates of run and call times are against it.

    They are learnt from runs alone. A node that rejects for them would never learn better: after one stall
    of its cores, or of what lies below, it would reject all that comes for ever. This is the half-open state
    of a circuit breaker, with no closed one.
    """

    def __init__(self, context: Context, table: RequestTable) -> None:
        self._context = context
        self._table = table
        self._started_s = context.now_s  # when the newest run began

    def note_start(self) -> None:
        """Note that a run begins."""
        self._started_s = self._context.now_s

    def is_due(self) -> bool:
        """Tell whether nothing runs, or no run has begun within the mean latency objective."""
        count = self._table.count
        if count[RUNNING] + count[AWAITING_CALL] + count[CALLING] == 0:
            return True
        return self._context.now_s - self._started_s >= self._context.mean_objective_s
