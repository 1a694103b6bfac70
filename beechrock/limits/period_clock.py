"""What budget periods go by: Unix time at the start, then real time, whatever the wall clock does."""

from collections.abc import Callable, Mapping

from beechrock.limits.journal import State


class PeriodClock:
    """Unix seconds by which a period never lasts longer or shorter than it says, and none comes twice.

    Seen: a wall clock stepped back an hour led into periods that were closed for good, and teams with a
    period of a minute had no budget for the rest of that hour.
    """

    def __init__(self, boot: Callable[[], float], wall_s: float, states: Mapping[str, State]) -> None:
        """``boot``: monotonic seconds; ``wall_s``: the Unix time now; ``states``: what the disk knows."""
        self.boot = boot
        # A clock stepped back over a restart goes on in the newest period that was opened.
        opened_s = [one.period * state.period_s for state in states.values() for one in state.accounts]
        self.offset_s = max([wall_s, *opened_s]) - boot()

    def __call__(self) -> float:
        return self.offset_s + self.boot()
