"""Schedule of the steps of a graceful shutdown. No I/O.

The shutdown notice comes at time 0, and the process is killed at ``stop_s``. The steps are:

1. From the start: front ends are told to send no new requests (frame type 6). Requests that still arrive are
   read and answered until the end.
2. ``answered_s``: the decision module has answered all open requests, and answers later ones at once.
3. ``close_s``: the backlog is emptied and the listening socket closed (a refused connection proves that
   nothing ran). Every connection is ended as soon as it has no pending answer and no unread input.
4. ``cut_s``: requests that are still open are answered, and every connection is ended.
5. ``exit_s``: the remaining connections are read, answered and ended without a turn of the event loop.
6. ``end_s``: nothing is read any more, and the process ends.

On an event loop that lags, steps 2 to 5 take longer, so they begin earlier (``advance_for_lag``).
"""

from collections import deque
from dataclasses import dataclass, replace

EXIT_S = 0.17  # from exit_s to stop_s: time for the last reads and the teardown, also on a busy machine
TEARDOWN_S = 0.06  # from end_s to stop_s, a part of EXIT_S: time to end the tasks, the log and the process
CLOSE_S = 0.13  # from close_s to exit_s: time to end connections and to read requests that cross an end
CUT_S = 0.08  # from cut_s to exit_s, a part of CLOSE_S: time to end the last connections
ANSWER_S = 0.02  # from answered_s to close_s at least: a few ticks for the module's last answers
FULL_NOTICE_S = 1.0  # a stop_s below this shortens all the times above in proportion
MODULE_MARGIN = 0.1  # the module answers all requests this share of its time before its deadline
LAG_WINDOW_S = 1.0  # period over which the loop's lag is measured
LAG_FACTOR = 3.0  # the answers, the closes and the last reads may each be delayed by the loop's lag
MAX_EARLIER_S = 0.25  # maximum time by which a lag advances the steps, for a full notice


@dataclass(frozen=True, slots=True)
class Schedule:
    """Start of each step, in seconds after the notice."""

    stop_s: float
    answered_s: float
    close_s: float
    cut_s: float
    exit_s: float
    end_s: float

    def module_s(self, elapsed_s: float = 0.0) -> float:
        """Return the time limit to give the module, ``elapsed_s`` after the notice.

        It is longer than the time until ``answered_s``, as the module keeps a margin of its own.
        """
        return max(0.0, self.answered_s - elapsed_s) / (1 - MODULE_MARGIN)


def _scale(stop_s: float) -> float:
    return min(1.0, stop_s / FULL_NOTICE_S)


def schedule(stop_s: float) -> Schedule:
    """Return the schedule of a shutdown whose process is killed ``stop_s`` seconds after the notice."""
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


def advance_for_lag(steps: Schedule, lag_s: float) -> Schedule:
    """Advance ``steps``, a result of ``schedule``, for an event loop with a lag of ``lag_s`` seconds."""
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
    """Lag of the event loop over the last LAG_WINDOW_S; times in seconds of one clock."""

    def __init__(self) -> None:
        self._late: deque[tuple[float, float]] = deque()  # end of each wait, and its lag

    def note(self, now_s: float, due_s: float) -> None:
        """Record a wait that was due at ``due_s`` and ended at ``now_s``."""
        self._late.append((now_s, max(0.0, now_s - due_s)))
        while self._late[0][0] < now_s - LAG_WINDOW_S:
            self._late.popleft()

    def worst_s(self) -> float:
        """Return the largest lag in seconds, or 0 if no wait was recorded."""
        return max((late_s for _, late_s in self._late), default=0.0)
