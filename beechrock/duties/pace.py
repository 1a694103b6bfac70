"""How fast duties move, and how long a member that comes and goes has to wait.

``MoveRateLimit``: so many a second, never more than a second's worth at once. ``HoldDown``: each time that a
key (a member, or a member with a duty) fails again, it waits twice as long, up to ``MAX_WAIT_TIMES``; calm
for ten times the wait is forgiven. The log has each wait (grants.py), but no time: a new leader counts it
anew from the beginning of its leadership. ``MoveRateLimit`` begins anew with each leader. Either costs moves
and no safety.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beechrock.duties.model import MAX_HOLD_DOWNS

MAX_WAIT_TIMES = 32.0  # the longest wait, in hold_down_s
FORGIVE_TIMES = 10.0  # calm for so many waits
UNUSED = -1.0


@dataclass(slots=True)
class MoveRateLimit:
    """A token bucket of moves."""

    per_s: float
    tokens: float = UNUSED
    updated_s: float = 0.0

    def try_move(self, now_s: float) -> bool:
        """Take one move; False where there is none."""
        limit = max(1.0, self.per_s)
        gained = max(0.0, now_s - self.updated_s) * self.per_s
        self.tokens = limit if self.tokens < 0 else min(limit, self.tokens + gained)
        self.updated_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Wait(NamedTuple):
    """A hold-down: its length, and when it is over."""

    wait_s: float
    ends_s: float


@dataclass(slots=True)
class HoldDown:
    """The hold-downs by key, the oldest first."""

    min_wait_s: float
    waits: dict[str, Wait] = field(default_factory=dict)

    def record_failure(self, key: str, now_s: float) -> None:
        """Hold the key down, twice as long as the last time."""
        previous = self.waits.pop(key, None)
        if previous is None or now_s - previous.ends_s > FORGIVE_TIMES * previous.wait_s:
            wait_s = self.min_wait_s
        else:
            wait_s = min(2.0 * previous.wait_s, MAX_WAIT_TIMES * self.min_wait_s)
        while len(self.waits) >= MAX_HOLD_DOWNS:
            del self.waits[next(iter(self.waits))]
        self.waits[key] = Wait(wait_s, now_s + wait_s)

    def restore(self, waits: Mapping[str, float], now_s: float) -> None:
        """Begin with the waits that the last leader put in the log."""
        self.waits = {key: Wait(wait_s, now_s + wait_s) for key, wait_s in waits.items()}

    def changes(self, logged: Mapping[str, float], now_s: float, limit: int) -> dict[str, float]:
        """Return what to put in the log for the next leader: waits in seconds, 0 for one that is forgiven."""
        for key, wait in list(self.waits.items()):
            if now_s - wait.ends_s > FORGIVE_TIMES * wait.wait_s:
                del self.waits[key]
        new = [(key, wait.wait_s) for key, wait in self.waits.items() if logged.get(key) != wait.wait_s]
        forgiven = [(key, 0.0) for key in logged if key not in self.waits]
        return dict([*new, *forgiven][:limit])

    def remaining_s(self, key: str, now_s: float) -> float:
        """Return the seconds until the key may hold again; 0: now."""
        return max(0.0, self.waits[key].ends_s - now_s) if key in self.waits else 0.0
