"""Rate limit for moves of duties, and hold-downs for unstable members.

``MoveRateLimit`` allows a number of moves per second, with bursts of one second's worth. ``HoldDown`` doubles
the wait each time a key (a member, or a pair of member and duty) fails again, up to ``MAX_WAIT_TIMES`` times
the shortest wait; a key without a failure for ten times its wait after the hold-down's end is forgiven.

The log contains the length of each wait (grants.py), but no time, so a new leader starts each wait again when
its leadership begins. The rate limit is not in the log and starts afresh with each leader. A wrong value in
either may cause too many or too few moves, but does not affect safety.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beechrock.duties.model import MAX_HOLD_DOWNS

MAX_WAIT_TIMES = 32.0  # Longest wait, as a multiple of hold_down_s
FORGIVE_TIMES = 10.0  # Time without failure after which a key is forgiven, as a multiple of its wait
UNUSED = -1.0  # Value of ``tokens`` before the first move


@dataclass(slots=True)
class MoveRateLimit:
    """Token bucket that limits the rate of moves."""

    per_s: float  # tokens added per second
    tokens: float = UNUSED  # tokens available at ``updated_s``; one move takes one token
    updated_s: float = 0.0  # clock time of the last update, in seconds

    def try_move(self, now_s: float) -> bool:
        """Take one token and return True, or return False if less than one is available."""
        limit = max(1.0, self.per_s)
        gained = max(0.0, now_s - self.updated_s) * self.per_s
        self.tokens = limit if self.tokens < 0 else min(limit, self.tokens + gained)
        self.updated_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Wait(NamedTuple):
    """Hold-down: its length, and the clock time of its end, both in seconds."""

    wait_s: float
    ends_s: float


@dataclass(slots=True)
class HoldDown:
    """Hold-downs of members and of pairs of member and duty."""

    min_wait_s: float  # length of a first hold-down, in seconds
    waits: dict[str, Wait] = field(default_factory=dict)  # hold-downs by key, the oldest first

    def record_failure(self, key: str, now_s: float) -> None:
        """Hold the key down: twice as long as the last time, or for the shortest wait if that is forgiven."""
        previous = self.waits.pop(key, None)
        if previous is None or now_s - previous.ends_s > FORGIVE_TIMES * previous.wait_s:
            wait_s = self.min_wait_s
        else:
            wait_s = min(2.0 * previous.wait_s, MAX_WAIT_TIMES * self.min_wait_s)
        while len(self.waits) >= MAX_HOLD_DOWNS:
            del self.waits[next(iter(self.waits))]
        self.waits[key] = Wait(wait_s, now_s + wait_s)

    def restore(self, waits: Mapping[str, float], now_s: float) -> None:
        """Start with the waits that earlier leaders recorded in the log."""
        self.waits = {key: Wait(wait_s, now_s + wait_s) for key, wait_s in waits.items()}

    def changes(self, logged: Mapping[str, float], now_s: float, limit: int) -> dict[str, float]:
        """Return up to ``limit`` changes to log for the next leader: seconds by key, 0 for a forgiven key."""
        for key, wait in list(self.waits.items()):
            if now_s - wait.ends_s > FORGIVE_TIMES * wait.wait_s:
                del self.waits[key]
        new = [(key, wait.wait_s) for key, wait in self.waits.items() if logged.get(key) != wait.wait_s]
        forgiven = [(key, 0.0) for key in logged if key not in self.waits]
        return dict([*new, *forgiven][:limit])

    def remaining_s(self, key: str, now_s: float) -> float:
        """Return the seconds until the hold-down of the key ends, or 0 if there is none."""
        return max(0.0, self.waits[key].ends_s - now_s) if key in self.waits else 0.0
