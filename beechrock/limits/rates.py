"""A rate with a burst, by the generic cell rate algorithm, and a limit on concurrency. Pure, O(1).

The state is one number, the theoretical arrival time (TAT): when everything let through would have arrived,
had it arrived evenly. Invariants: over any time T, at most ``rate`` x T + ``burst`` units conform; time never
goes back.
"""

import math
from dataclasses import dataclass

from beechrock.limits.errors import BrokenBooksError

MAX_RETRY_AFTER_S = 60.0  # upper bound of the retry times that are given out


@dataclass(slots=True)
class Rate:
    """``rate`` units per second (0: none are guaranteed; inf: no bound), with bursts up to ``burst``."""

    rate: float
    burst: float
    tat: float = -math.inf  # theoretical arrival time, in the seconds of ``now``
    latest: float = -math.inf  # latest ``now`` seen: where the clock goes back, time stands still
    last_retry_at: float = -math.inf  # retry time given to the last rejected caller

    def available(self, now: float) -> float:
        """Return how many units would conform now."""
        now = self.latest = max(self.latest, now)
        if math.isinf(self.rate):
            return math.inf
        return self.burst - max(0.0, self.tat - now) * self.rate if self.rate > 0 else 0.0

    def has_room(self, now: float, units: float = 1.0) -> bool:
        """Return whether ``units`` may pass now."""
        # More units than the burst pass where the whole burst is available, and are charged in full;
        # otherwise they could never pass.
        return self.available(now) >= min(units, self.burst) - 1e-9

    def charge(self, now: float, units: float = 1.0) -> None:
        """Count the units, whether they conform or not.

        So a guaranteed rate that is in use has nothing left to lend at once.
        """
        if self.rate > 0 and not math.isinf(self.rate):
            now = self.latest = max(self.latest, now)
            self.tat = max(self.tat, now) + units / self.rate

    def refund(self, units: float = 1.0) -> None:
        """Give back the units of a request that never ran.

        The TAT is not moved below the latest time, so no refund makes more than a burst available.
        """
        if self.rate > 0 and not math.isinf(self.rate):
            self.tat = max(self.tat - units / self.rate, min(self.tat, self.latest))

    def retry_after_s(self, now: float, units: float = 1.0) -> float:
        """Return the seconds until a rejected caller may retry, at most ``MAX_RETRY_AFTER_S``.

        Each caller gets a time of its own, one interval after the last one given out. With one common time
        all callers rejected in a flood would retry in one rush.
        """
        now = self.latest = max(self.latest, now)
        if self.rate <= 0:
            return MAX_RETRY_AFTER_S
        earliest = max(now, self.tat - (self.burst - min(units, self.burst)) / self.rate)
        retry_at = max(earliest, self.last_retry_at + units / self.rate)
        if retry_at > now + MAX_RETRY_AFTER_S:
            # Later callers all get the bound, and no time of their own.
            return MAX_RETRY_AFTER_S
        self.last_retry_at = retry_at
        return retry_at - now

    def change(self, now: float, rate: float, burst: float) -> None:
        """Apply another rate and burst; the used share of the burst stays used, so none becomes available."""
        used_share = 1.0 - self.available(now) / self.burst if 0 < self.rate < math.inf else 0.0
        self.rate, self.burst, self.last_retry_at = rate, burst, -math.inf
        self.tat = self.latest + max(0.0, used_share) * burst / rate if 0 < rate < math.inf else -math.inf


@dataclass(slots=True)
class ConcurrencyLimit:
    """A limit on open requests. Where it is cut below their number, none begins until enough have ended."""

    limit: float = math.inf
    open_count: int = 0

    def has_room(self) -> bool:
        """Return whether one more may begin."""
        return self.open_count < self.limit

    def begin(self) -> None:
        """Count one more open request."""
        self.open_count += 1

    def end(self) -> None:
        """Count one open request less; BrokenBooksError where none is open."""
        if self.open_count <= 0:
            raise BrokenBooksError("more ends than begins", do="report it")
        self.open_count -= 1
