"""When the steps of a graceful shutdown happen. Pure.

The notice comes at 0, and the process is killed at ``stop_s``. In this order:

1. At once, and to the end: no new request is asked for (type 6); all that comes is read and answered.
2. ``answered_s``: the decision module has answered all that is open, and answers what comes later at once.
3. ``close_s``: the backlog is emptied, the listening socket closed (a refused connection proves that nothing
   ran), and every connection ended as soon as it owes nothing and nothing waits to be read.
4. ``cut_s``: what is still open gets an answer, and every connection is ended.
5. ``exit_s``: what is left is read, answered and ended without a turn of the event loop.
6. ``end_s``: nothing is read any more, and the process ends.

On an event loop that runs late, steps 2 to 5 take longer, and so they begin earlier (``hastened``).
"""

from collections import deque
from dataclasses import dataclass, replace

EXIT_S = 0.17  # for the last reads, and to end the tasks, the log and the process, also on a busy machine
TEARDOWN_S = 0.06  # of these, what is left to end the tasks, the log and the process
CLOSE_S = 0.13  # to end connections, and to read on while requests that cross an end still come
CUT_S = 0.08  # of these, how long before the exit the last connections are ended
ANSWER_S = 0.02  # a few ticks, from the module's last answers to the first closes
FULL_NOTICE_S = 1.0  # a shorter notice shortens all of these alike
MODULE_MARGIN = 0.1  # share of its time that the module answers all before its end
LAG_WINDOW_S = 1.0  # how far back the loop's lateness counts
LAG_FACTOR = 3.0  # the answers, the closes and the last reads may each be so late
MAX_EARLIER_S = 0.25  # with a full notice


@dataclass(frozen=True, slots=True)
class Schedule:
    """When each step begins, in seconds after the notice."""

    stop_s: float
    answered_s: float
    close_s: float
    cut_s: float
    exit_s: float
    end_s: float

    def module_s(self, elapsed_s: float = 0.0) -> float:
        """Return the seconds that the module is given ``elapsed_s`` after the notice; it keeps a margin."""
        return max(0.0, self.answered_s - elapsed_s) / (1 - MODULE_MARGIN)


def _scale(stop_s: float) -> float:
    return min(1.0, stop_s / FULL_NOTICE_S)


def schedule(stop_s: float) -> Schedule:
    """Return the steps of a shutdown that is killed ``stop_s`` seconds after its notice."""
    scale = _scale(stop_s)
    exit_s = stop_s - scale * EXIT_S
    close_s = exit_s - scale * CLOSE_S
    return Schedule(
        stop_s=stop_s,
        answered_s=min((1 - MODULE_MARGIN) * stop_s, close_s - scale * ANSWER_S),
        close_s=close_s,
        cut_s=exit_s - scale * CUT_S,
        exit_s=exit_s,
        end_s=stop_s - scale * TEARDOWN_S,
    )


def hastened(steps: Schedule, lag_s: float) -> Schedule:
    """Return ``steps``, as ``schedule`` gave them, for an event loop that runs ``lag_s`` late."""
    scale = _scale(steps.stop_s)
    earlier_s = min(LAG_FACTOR * lag_s, scale * MAX_EARLIER_S)
    close_s = steps.close_s - earlier_s
    return replace(
        steps,
        answered_s=min(steps.answered_s, close_s - scale * ANSWER_S),
        close_s=close_s,
        cut_s=steps.cut_s - earlier_s,
        exit_s=steps.exit_s - earlier_s,
    )


class LoopLag:
    """How late the event loop has been in the last LAG_WINDOW_S; times in seconds of one clock."""

    def __init__(self) -> None:
        self._late: deque[tuple[float, float]] = deque()  # when a wait ended, and how late

    def note(self, now_s: float, due_s: float) -> None:
        """Note a wait that was to end at ``due_s`` and ended at ``now_s``."""
        self._late.append((now_s, max(0.0, now_s - due_s)))
        while self._late[0][0] < now_s - LAG_WINDOW_S:
            self._late.popleft()

    def worst_s(self) -> float:
        """Return the largest lateness, 0 where nothing was noted."""
        return max((late_s for _, late_s in self._late), default=0.0)
