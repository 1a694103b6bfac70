"""Health advice: decides whether the node passes its health checks."""

import math

from beechrock import interface as api
from beechrock.policy.abacus import AbacusFilter
from beechrock.policy.context import Context
from beechrock.policy.meter import ThroughputMeter
from beechrock.policy.shutdown import Shutdown

SLOW_SHARE = 0.5  # Share of the peak rate below which a node counts as slow
UNREAD_OBJECTIVES = 0.5  # Unread time, in mean objectives, above which a slow node is unhealthy
RECOVERED_PART = 0.25  # Share of that threshold below which an unhealthy node is healthy again
UNREAD_STEP = 0.2  # Weight of the newest request in the unread time
UNREAD_DECAY = 0.8  # Factor on the unread time at the end of each slot


class HealthAdvice:
    """Declares the node unhealthy while requests wait unread and it is far slower than at its peak."""

    def __init__(
        self, context: Context, abacus: AbacusFilter, cores: ThroughputMeter, shutdown: Shutdown
    ) -> None:
        self._context = context
        self._abacus = abacus
        self._cores = cores
        self._shutdown = shutdown
        self.unread_s = 0.0  # Moving mean of the time that requests waited to be read, in seconds
        self.healthy = True

    def add_request(self, age_s: float, deadline_s: float) -> None:
        """Learn from the age of a request at the time when it was read."""
        self.unread_s += UNREAD_STEP * (min(age_s, deadline_s) - self.unread_s)

    def end_slot(self) -> None:
        """Decay the unread time, as nothing is learnt while no requests arrive."""
        self.unread_s = self.unread_s * UNREAD_DECAY

    def update(self) -> None:
        """Report a change of health, except during a shutdown. Load alone doesn't change the health."""
        part = UNREAD_OBJECTIVES if self.healthy else UNREAD_OBJECTIVES * RECOVERED_PART
        unread = self.unread_s > part * self._context.mean_objective_s
        slow = self._cores.count < SLOW_SHARE * self._abacus.peak_rate * self._cores.busy_s
        if self.healthy == (unread and slow) and self._shutdown.began_s == math.inf:
            self.healthy = not (unread and slow)
            self._context.actions.append(api.Health(self.healthy))
