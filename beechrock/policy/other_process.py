"""Load of another process of the same node, which shares its cores."""

from beechrock import interface as api
from beechrock.policy.context import Context


def remaining_limit(limit: float, taken: int) -> float:
    """Return the part of a node's limit left by the other process, at least half of the limit."""
    return max(limit / 2, limit - taken)


class OtherProcess:
    """Holds the latest load of the other process and the recent launches of departed processes."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.load = api.OtherProcessLoad(present=False)
        self.memory_limit_kb: float | None = None  # Part of the node's memory that this process may use
        self._departed_launches = 0
        self._departed_until_s = context.now_s  # Time at which these launches expire

    def update(self, load: api.OtherProcessLoad) -> None:
        """Process a load report; a departed process's launches count for one more overload window."""
        if self.load.present and not load.present:
            now_s = self._context.now_s
            self._departed_launches = self.departed_launches(now_s) + self.load.running
            self._departed_until_s = now_s + (self._context.settings.overload_window_s or 0.0)
        self.load = load

    def departed_launches(self, now_s: float) -> int:
        """Return the launches of departed processes that still count in the window."""
        return self._departed_launches if now_s < self._departed_until_s else 0

    def launches(self) -> int | None:
        """Return the launches of other processes in the window; None if none shares the budget."""
        departed = self._departed_launches if self._context.now_s < self._departed_until_s else 0
        return self.load.running + departed if self.load.present or departed else None
