"""Adaptive limit of the replayed runs that upstream allows beside live ones. Pure.

The capacity left by live runs (``spare_of``) is an estimate, as the module refuses requests by its own rules.
So only a share of it is used. The share falls by a third when live requests were refused while replayed ones
ran, at most once per FALL_S, and rises again slowly.

Events: ``spare`` (the time, the limit of runs, live and replayed runs, live requests refused so far).
Invariants: the result is at least 1, so that a replay never stalls for good, and at most ``spare_of``.
"""

from dataclasses import dataclass

from beechrock.edges.upstream import spare_of

FIRST, LEAST, MOST = 0.7, 0.1, 1.0
FALL, RISE = 2 / 3, 0.01
FALL_S = 0.5  # Seconds between changes, about one run, so that writes offered before a fall can end


@dataclass(slots=True)
class Room:
    part: float = FIRST
    refused: int = 0
    fall_s: float = 0.0  # Monotonic time from which the share may fall again
    next_s: float = 0.0  # Monotonic time from which the share may rise again

    def spare(self, now: float, limit: float, live: int, replayed: int, refused: int) -> int:
        # With real processes, replays that used all the spare capacity had 9% of live requests refused.
        if refused > self.refused and replayed:
            if now >= self.fall_s:
                self.part, self.fall_s = max(LEAST, self.part * FALL), now + FALL_S
                self.next_s = self.fall_s
        elif now >= self.next_s:
            self.part, self.next_s = min(MOST, self.part + RISE), now + FALL_S
        self.refused = refused
        return max(1, int(spare_of(limit, live) * self.part))
