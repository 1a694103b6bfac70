"""Clock of the budget periods: Unix time at the start, then elapsed time, whatever the wall clock does."""

from collections.abc import Callable, Mapping

from beechrock.limits.journal import State


class PeriodClock:
    """Unix seconds that are not stepped, so each period has its length and none comes twice.

    Seen: a wall clock stepped back an hour led into periods that were closed for good, and teams with a
    period of a minute had no budget for the rest of that hour.
    """

    def __init__(self, boot: Callable[[], float], wall_s: float, states: Mapping[str, State]) -> None:
        """``boot``: monotonic clock; ``wall_s``: the Unix time now; ``states``: the disk's, by team."""
        self.boot = boot
        # If the wall clock was stepped back over a restart, start in the newest period that was opened.
        opened_s = [
            account.period * state.period_s for state in states.values() for account in state.accounts
        ]
        self.offset_s = max([wall_s, *opened_s]) - boot()

    def __call__(self) -> float:
        """Return the Unix time of the budget periods."""
        return self.offset_s + self.boot()
