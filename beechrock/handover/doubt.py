"""Doubt: the time in which an ended process may have run keys that this process does not know. Pure.

States: CERTAIN (now is past ``until_s``), IN DOUBT. Events: a process ends before all of its claims were
received; a claim arrives that exceeds the capacity.
Invariant: in doubt, no attempt runs that may lie in the window of an unknown run. Every run of an ended
process was born before its end, so attempts born after the windows of such runs may run.
"""

import math

from beechrock.core.idempotency import SLACK_S


class Doubt:
    """Time bounds of runs that are unknown here; all times are steady seconds of this process."""

    def __init__(self, window_s: float, linger_s: float) -> None:
        self.until_s = 0.0  # End of the doubt: no attempt that is read later can repeat an unknown run
        self._window_s = window_s  # Longest idempotency window of any class, in seconds
        self._linger_s = linger_s  # Maximum seconds between an attempt's birth and its reading
        # Time at which the last process ended whose claims were not all received.
        self._lost_at_s = -math.inf
        self._overflow_until_s = -math.inf  # Latest window end of the claims that exceeded the capacity

    def process_lost(self, now_s: float) -> None:
        """Note that a process has ended that may have run unknown keys until now."""
        self._lost_at_s = max(self._lost_at_s, now_s)
        self.until_s = max(self.until_s, now_s + self._window_s + SLACK_S + self._linger_s)

    def claim_over_bound(self, until_s: float) -> None:
        """Note that a claim until ``until_s`` does not fit the table."""
        self._overflow_until_s = max(self._overflow_until_s, until_s)
        self.until_s = max(self.until_s, until_s + SLACK_S + self._linger_s)

    def covers(self, born_s: float, window_s: float, now_s: float) -> bool:
        """Return whether an attempt with this birth time may lie in the window of an unknown run.

        ``window_s`` is the window of the attempt's class, so that classes with short windows leave doubt
        early.
        """
        if now_s >= self.until_s:
            return False
        return born_s <= max(self._lost_at_s + window_s, self._overflow_until_s) + SLACK_S
