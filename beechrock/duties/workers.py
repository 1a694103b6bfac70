"""Workers of this node's duties, and the tasks in which they take over or give up.

States of a worker here: no task; a task runs its take-over and retries it after an error; a task runs its
giving up. Events: the actions of the duties' holders (``execute``), the end of a task. Invariants: a duty has
at most one task; an error in one worker does not cost another worker its lease.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from beechrock.core.counters import Counters
from beechrock.duties.holder import Command, HolderAction
from beechrock.duties.member_duties import NO_PROGRESS
from beechrock.duties.ports import Worker


class WorkerTasks:
    """Registry of the workers, and runner of their tasks.

    ``on_taken_over`` and ``on_given_up`` are called with the duty's name and the fence when a task succeeds.
    """

    def __init__(
        self,
        counters: Counters,
        retry_s: float,
        on_taken_over: Callable[[str, int], None],
        on_given_up: Callable[[str, int], None],
    ) -> None:
        self._counters = counters
        self._retry_s = retry_s  # seconds until a failed take-over is retried
        self._on_taken_over = on_taken_over
        self._on_given_up = on_given_up
        self._workers: dict[str, Worker] = {}  # worker by duty
        self._tasks: dict[str, asyncio.Task[None]] = {}  # task that takes over or gives up, by duty

    def __contains__(self, name: object) -> bool:
        return name in self._workers

    def register(self, name: str, worker: Worker) -> None:
        """Set the worker of a duty."""
        self._workers[name] = worker

    def progress(self, name: str) -> tuple[int, int]:
        """Return how much work the worker completed, and how much it could do now but does not."""
        try:
            return self._workers[name].progress()
        except Exception as error:  # an error in one worker must not cost the others their leases
            self._counters.record_error(f"duties.{name}", error)
            return NO_PROGRESS

    def execute(self, name: str, action: HolderAction) -> None:
        """Start, end or stop the worker of a duty; the caller handles GIVE_BACK itself."""
        match action.command:
            case Command.TAKE_OVER:
                self._start_task(name, self._take_over(name, self._workers[name], action.fence))
            case Command.GIVE_UP:
                self._start_task(name, self._give_up(name, self._workers[name], action.fence))
            case Command.STOP:
                self._cancel_task(name)
                self.stop(name)

    def stop(self, name: str) -> None:
        """Notify the worker that its lease or grant has ended."""
        try:
            self._workers[name].lost()
        except Exception as error:
            self._counters.record_error(f"duties.{name}", error)

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks.values():
            task.cancel()

    def _start_task(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        self._cancel_task(name)
        self._tasks[name] = self._counters.spawn(work, f"duties.{name}")

    def _cancel_task(self, name: str) -> None:
        if (task := self._tasks.pop(name, None)) is not None:
            task.cancel()

    async def _take_over(self, name: str, worker: Worker, fence: int) -> None:
        while True:
            try:
                await worker.take_over(fence)
                break
            except Exception as error:  # retried, because there may be no other eligible node
                self._counters.record_error(f"duties.{name}", error)
                await asyncio.sleep(self._retry_s)
        self._on_taken_over(name, fence)

    async def _give_up(self, name: str, worker: Worker, fence: int) -> None:
        await worker.give_up()
        self._on_given_up(name, fence)
