"""Graceful shutdown of one process, from the notice to leave to the end of the last connections."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from beechrock.connections.shutdown import LoopLag, Schedule, advance_for_lag, schedule
from beechrock.net.connection_server import ConnectionServer
from beechrock.net.direct_endpoint import load_input_check

POLL_INTERVAL_S = 0.05  # seconds between two checks of the loop's lag and of whether the process is idle
# Number of successive checks that must find a process with a successor idle before it ends early: a newly
# accepted connection becomes visible only some turns of the event loop later.
MIN_IDLE_CHECKS = 3


class GracefulShutdown:
    """Schedule of one process's graceful shutdown; ``began_at`` is its start, in the event loop's time."""

    def __init__(self, stop_s: float) -> None:
        self.steps: Schedule = schedule(stop_s)
        self.began_at = 0.0

    def begin(self) -> None:
        """Record the start of the shutdown, and import modules that closing connections needs."""
        load_input_check()
        self.began_at = asyncio.get_running_loop().time()

    async def wait(self, is_idle: Callable[[], bool], on_earlier: Callable[[float], None]) -> None:
        """Wait until connections must be ended, or ``is_idle`` was true in MIN_IDLE_CHECKS successive checks.

        If the event loop lags, the steps are moved earlier; ``on_earlier`` is then called with the seconds
        that the decision module has left.
        """
        loop = asyncio.get_running_loop()
        planned = self.steps
        lag = LoopLag()
        idle_checks = 0
        while (now := loop.time()) < self.began_at + self.steps.close_s and idle_checks < MIN_IDLE_CHECKS:
            due = min(now + POLL_INTERVAL_S, self.began_at + self.steps.close_s)
            await asyncio.sleep(due - now)
            lag.note(loop.time(), due)
            self._adopt_earlier(advance_for_lag(planned, lag.worst_s()), on_earlier)
            idle_checks = idle_checks + 1 if is_idle() else 0

    def _adopt_earlier(self, steps: Schedule, on_earlier: Callable[[float], None]) -> None:
        """Adopt ``steps`` if they end connections earlier than the steps in force."""
        if steps.close_s >= self.steps.close_s:
            return
        answers_earlier = steps.answered_s < self.steps.answered_s
        self.steps = steps
        if answers_earlier:
            on_earlier(steps.module_s(asyncio.get_running_loop().time() - self.began_at))

    async def end_connections(self, fronts: Iterable[ConnectionServer[Any]]) -> None:
        """Answer all requests read, and end each connection in order, in time for the process to exit."""
        cut_at = self.began_at + self.steps.cut_s
        exit_at = self.began_at + self.steps.exit_s
        end_at = self.began_at + self.steps.end_s
        await asyncio.gather(*(front.shut_down(cut_at, exit_at, end_at) for front in fronts))
