"""Idle connections: decides after what time they are closed."""

from beechrock import interface as api
from beechrock.policy.abacus import AbacusFilter
from beechrock.policy.context import Context

MIN_IDLE_S = 0.01  # Shortest idle time to close a connection after; the longest is its idle timeout


class IdleConnections:
    """Keeps idle connections only for a retry if callers seldom reuse them, to keep the table small."""

    def __init__(self, context: Context, abacus: AbacusFilter) -> None:
        self._context = context
        self._abacus = abacus
        self.callers_are_rare = False

    def update(self) -> None:
        """Report a change of the time after which idle connections are closed."""
        settings = self._context.settings
        idle_s = settings.idle_timeout_s or 0.0
        if idle_s < MIN_IDLE_S:
            return
        rare = self._abacus.arrival_rate * idle_s < (settings.caller_count or 0)
        if rare != self.callers_are_rare:
            self.callers_are_rare = rare
            after_s = max(MIN_IDLE_S, min(self._context.mean_objective_s, idle_s))
            self._context.actions.append(api.CloseIdleConnections(after_s if rare else 0.0))
