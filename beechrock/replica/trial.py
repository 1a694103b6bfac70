"""Load generator for trials: makes changes at a steady rate and measures the delay of other nodes' changes.
Not for production.

A value holds the time when it was made, by a clock that all processes of one machine share.
"""

import asyncio
from typing import TYPE_CHECKING, Any

from beechrock import clocks
from beechrock.replica.records import Own
from beechrock.replica.table import ident

if TYPE_CHECKING:
    from beechrock.replica.part import Replica

KEYS = 2000  # Number of keys that are written in turn.
MAX_LAGS = 200_000  # Maximum number of delays kept.


class Trial:
    """The load generator of one node."""

    def __init__(self, replica: "Replica") -> None:
        self.replica, self.changes_made, self.per_s = replica, 0, replica.settings.trial_per_s
        self.lags: list[float] = []
        replica.trial = self
        replica.on("learned", self._changed)

    async def run(self) -> None:
        """Make changes at a steady rate; those missed in a pause are not made up for."""
        step_s, due = 0.02, clocks.boot()
        due_changes = 0.0
        while True:
            await asyncio.sleep(max(0.0, due - clocks.boot()))
            due = max(due + step_s, clocks.boot() - step_s)
            due_changes += self.per_s * step_s
            while due_changes >= 1:
                due_changes -= 1
                self.changes_made += 1
                key = f"{self.replica.core.name}/{self.changes_made % KEYS}"
                self.replica.own("learned", key, f"{clocks.boot():.6f}".encode())

    def _changed(self, key: str) -> None:
        state = self.replica.core.table.state(ident("learned", key))
        theirs = not key.startswith(self.replica.core.name + "/")
        if theirs and isinstance(state, Own) and len(self.lags) < MAX_LAGS:
            self.lags.append(clocks.boot() - float(state.value))

    def statistics(self) -> dict[str, Any]:
        """Return the number of changes, and statistics of the delays since the last call, in milliseconds."""
        lags, self.lags = sorted(self.lags), []
        if not lags:
            return {"made": self.changes_made, "heard": 0}
        return {
            "made": self.changes_made,
            "heard": len(lags),
            "median_ms": round(1000 * lags[len(lags) // 2], 2),
            "p99_ms": round(1000 * lags[len(lags) * 99 // 100], 2),
            "worst_ms": round(1000 * lags[-1], 2),
        }
