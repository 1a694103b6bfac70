"""Timers that the decision module sets, and the gauges delivered with them."""

import math

from beechrock import interface as api
from beechrock.core.ports import Ports
from beechrock.core.request_table import RequestTable
from beechrock.core.timer_wheel import TimerWheel

SAMPLE_LEAD_S = 0.02  # gauges are requested this long before the timer that delivers them
MAX_SAMPLE_AGE_S = 0.1  # older gauges do not describe the moment at which a timer fires


class ModuleTimers:
    """Timers of the current module; they fire with the last sample of the gauges, if that is fresh."""

    def __init__(self, wheel: TimerWheel, table: RequestTable, ports: Ports) -> None:
        self._wheel = wheel
        self._table = table
        self._ports = ports
        self._generation = 0
        self.gauges = api.Gauges()
        self.sampled_at = -math.inf

    def on_sample(self, gauges: api.Gauges, now: float) -> None:
        """Keep a sample of the gauges for the next timer."""
        self.gauges = gauges
        self.sampled_at = now

    def drop_all(self) -> None:
        """Invalidate all timers set so far, as a new module replaces the module that set them."""
        self._generation += 1

    def set(self, token: int, at: float) -> None:
        """Set a timer that passes ``token`` to the module at ``at``, with gauges if the sample is fresh."""
        generation = self._generation

        def fire() -> None:
            """Fire unless the module that set the timer has been replaced."""
            if generation == self._generation:
                self._fire(token)

        if self._ports.work is not None:
            self._wheel.at(at - SAMPLE_LEAD_S, self._ports.work.sample)
        self._wheel.at(at, fire)

    def _fire(self, token: int) -> None:
        # An old sample is left out, as the module would adjust its limit by it a second time.
        fresh = self._table.clock() - self.sampled_at <= MAX_SAMPLE_AGE_S
        gauges = self.gauges if fresh else api.Gauges()
        self._table.next_events.append(api.TimerFired(token, gauges))
