"""The wait from the notice to leave to the moment at which the last connections are ended."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from beechrock.connections.shutdown import LoopLag, Schedule, hastened, schedule
from beechrock.net.connection_server import ConnectionServer
from beechrock.net.direct_endpoint import load_input_check

LOOK_S = 0.05  # between two looks: how late is the loop, and is anything left to do
# Looks in a row that must find nothing where there is a successor: a connection that has just been accepted
# shows up some turns of the loop later.
IDLE_LOOKS = 3


class Departure:
    """Owns the times of one process's graceful shutdown; ``began_at`` is of the loop's time."""

    def __init__(self, stop_s: float) -> None:
        self.steps: Schedule = schedule(stop_s)
        self.began_at = 0.0

    def begin(self) -> None:
        """Note the notice to leave."""
        load_input_check()
        self.began_at = asyncio.get_running_loop().time()

    async def wait(self, idle: Callable[[], bool], on_sooner: Callable[[float], None]) -> None:
        """Wait until connections have to be ended, or ``idle`` has been true for some looks.

        ``on_sooner`` hears how many seconds the decision module has left, should the loop run so late that
        all is done earlier than was planned.
        """
        loop = asyncio.get_running_loop()
        planned = self.steps
        lag = LoopLag()
        idle_looks = 0
        while (now := loop.time()) < self.began_at + self.steps.close_s and idle_looks < IDLE_LOOKS:
            due = min(now + LOOK_S, self.began_at + self.steps.close_s)
            await asyncio.sleep(due - now)
            lag.note(loop.time(), due)
            self._hasten(hastened(planned, lag.worst_s()), on_sooner)
            idle_looks = idle_looks + 1 if idle() else 0

    def _hasten(self, steps: Schedule, on_sooner: Callable[[float], None]) -> None:
        """Go by ``steps`` where they are earlier."""
        if steps.close_s >= self.steps.close_s:
            return
        sooner = steps.answered_s < self.steps.answered_s
        self.steps = steps
        if sooner:
            on_sooner(steps.module_s(asyncio.get_running_loop().time() - self.began_at))

    async def end_connections(self, fronts: Iterable[ConnectionServer[Any]]) -> None:
        """Answer what was read, and end each connection in order, in time for the process to end itself."""
        cut_at = self.began_at + self.steps.cut_s
        exit_at = self.began_at + self.steps.exit_s
        end_at = self.began_at + self.steps.end_s
        await asyncio.gather(*(front.depart(cut_at, exit_at, end_at) for front in fronts))
