"""A hashed timer wheel; timers fire with the resolution of a tick."""

from collections.abc import Callable

SLOTS = 1024
MIN_TIMERS_TO_SWEEP = 8192  # timers; keeping fewer costs less than searching them


class Timer:
    """One timer: the tick in which it is due, and its action."""

    __slots__ = ("action", "due")

    def __init__(self, due: int, action: Callable[[], None]) -> None:
        self.due = due
        self.action = action

    def cancel(self) -> None:
        """Keep the timer from firing."""
        self.action = _no_action


def _no_action() -> None:
    """Do nothing; replaces the action of a cancelled timer."""


class TimerWheel:
    """Timers in slots by due tick modulo ``SLOTS``; a slot also holds timers due in later turns."""

    def __init__(self, tick_s: float, now: float) -> None:
        self.tick_s = tick_s
        self._slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self._last_tick = int(now / tick_s)  # last tick whose timers have fired
        self._armed = 0

    def at(self, when: float, action: Callable[[], None]) -> Timer:
        """Set a timer for the first tick not before ``when``; it never fires in the current tick."""
        due = max(-int(-when / self.tick_s // 1), self._last_tick + 1)
        timer = Timer(due, action)
        self._slots[due % SLOTS].append(timer)
        self._armed += 1
        return timer

    def advance(self, now: float) -> int:
        """Fire the timers due by ``now``, in order of slots; return the number of timers fired."""
        target = int(now / self.tick_s)
        fired = 0
        # After a long pause, one turn of the wheel visits every slot.
        first = max(self._last_tick + 1, target - SLOTS + 1)
        self._last_tick = max(self._last_tick, target)  # so that timers set meanwhile wait for the next tick
        for tick in range(first, target + 1):
            slot = self._slots[tick % SLOTS]
            if not slot:
                continue
            due = [timer for timer in slot if timer.due <= target]
            if due:
                self._slots[tick % SLOTS] = [timer for timer in slot if timer.due > target]
                self._armed -= len(due)
                fired += len(due)
                self._fire(due, tick)
        return fired

    def _fire(self, due: list[Timer], tick: int) -> None:
        """Fire due timers of one slot; if one raises, put the rest back for the next call.

        Otherwise deadlines of links, sweeps and timeouts of requests would be lost with the failed timer.
        """
        for place, timer in enumerate(due, 1):
            try:
                timer.action()
            except Exception:
                self._slots[tick % SLOTS] += due[place:]
                self._armed += len(due) - place
                self._last_tick = tick - 1
                raise

    def sweep(self) -> None:
        """Drop cancelled timers, which otherwise stay until they are due; to be called from time to time."""
        if self._armed < MIN_TIMERS_TO_SWEEP:
            return
        self._slots = [[timer for timer in slot if timer.action is not _no_action] for slot in self._slots]
        self._armed = sum(len(slot) for slot in self._slots)

    def has_fired_until(self, now: float) -> bool:
        """Return whether all timers due by ``now`` have fired."""
        return self._last_tick >= int(now / self.tick_s)

    def next_due(self) -> float:
        """Return when the next timer is due, or the end of this turn of the wheel if that is earlier."""
        if self._armed:
            for tick in range(self._last_tick + 1, self._last_tick + SLOTS):
                if any(timer.due <= tick for timer in self._slots[tick % SLOTS]):
                    return tick * self.tick_s
        return (self._last_tick + SLOTS) * self.tick_s
