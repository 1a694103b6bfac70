"""Probe runs: runs that are started despite bad estimates, to refresh the estimates."""

from beechrock.policy.context import Context
from beechrock.policy.phases import AWAITING_CALL, CALLING, RUNNING
from beechrock.policy.requests import RequestTable


class Probing:
    """Decides when one run may start although the estimated run and call times are too long.

    The estimates are learnt only from runs. A node that rejects requests because of them would never correct
    them: after one stall of its cores or of its downstream it would reject every request for ever. Probing
    works like the half-open state of a circuit breaker, without a separate state for it.
    """

    def __init__(self, context: Context, table: RequestTable) -> None:
        self._context = context
        self._table = table
        self._started_s = context.now_s  # Start of the newest run, in monotonic seconds

    def note_start(self) -> None:
        """Record that a run starts."""
        self._started_s = self._context.now_s

    def is_due(self) -> bool:
        """Return whether nothing runs, or no run has started within the last mean latency objective."""
        count = self._table.count
        if count[RUNNING] + count[AWAITING_CALL] + count[CALLING] == 0:
            return True
        return self._context.now_s - self._started_s >= self._context.mean_objective_s
