"""The clocks of one node: steady time for its own work, Unix time for stamps of other processes."""

from collections.abc import Callable, Iterable

from beechrock import clocks
from beechrock import interface as api
from beechrock.core.clock_offset import MAX_PAST_DUE_S, Birth, ClockOffset
from beechrock.core.counters import Counters


class NodeClock:
    """Reads both clocks together and tracks the offset between them."""

    def __init__(
        self,
        steady: Callable[[], float],
        unix: Callable[[], float],
        counters: Counters,
        classes: Iterable[api.ClassSettings],
    ) -> None:
        self.steady = steady
        self._unix = unix
        self._counters = counters
        self.offset = ClockOffset(*self._read(), _max_age_s(classes))

    def _read(self) -> tuple[float, float]:
        return clocks.read_together(self.steady, self._unix)

    def update_classes(self, classes: Iterable[api.ClassSettings]) -> None:
        """Remember offsets for as long as a request of the old or the new classes may be read."""
        self.offset.remember_s = max(self.offset.remember_s, _max_age_s(classes))

    def observe(self) -> float:
        """Read both clocks, so that a step of the wall clock is noticed; return the steady time."""
        now, unix_s = self._read()
        if self.offset.observe(now, unix_s):
            self._counters.add("clock.steps")
        return now

    def birth(self, unix_s: float, longest_s: float) -> Birth:
        """Return when a request, read now, reached the machine; ``longest_s``: its longest time to live."""
        return self.offset.birth(unix_s, self.observe(), longest_s)


def _max_age_s(classes: Iterable[api.ClassSettings]) -> float:
    """Return the greatest age at which a request of any class is still accepted."""
    return max(c.deadline_s for c in classes) + MAX_PAST_DUE_S
