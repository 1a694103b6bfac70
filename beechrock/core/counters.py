"""Counters of a node's requests, messages, answers and errors, logged on request and at exit."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("beechrock")


class Counters:
    """Named counts (``group.name``) and named maxima; both appear when first used."""

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # running; the event loop holds only weak references

    def add(self, name: str, amount: float = 1) -> None:
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def set(self, name: str, value: float) -> None:
        """Set a count."""
        self._counts[name] = value

    def raise_max(self, name: str, value: float) -> None:
        """Raise a maximum to ``value`` if that is greater."""
        if value > self._counts.get(name, 0):
            self._counts[name] = value

    def __getitem__(self, name: str) -> float:
        return self._counts.get(name, 0)

    def lines(self) -> list[str]:
        """Return one line (name and value) per counter, sorted by name."""
        return [f"{name} {value:.10g}" for name, value in sorted(self._counts.items())]

    def report(self) -> None:
        """Log all counts."""
        log.info("counters: %s", ", ".join(self.lines()) or "none")

    def record_error(self, where: str, error: BaseException) -> None:
        """Count and log an exception that must neither be ignored nor end the node."""
        self.add("trouble." + where)
        log.error("%s: %s: %s", where, type(error).__name__, error, exc_info=error)

    def spawn(self, work: Coroutine[Any, Any, None], where: str) -> "asyncio.Task[None]":
        """Start a task whose exception is logged and counted."""
        task = asyncio.get_running_loop().create_task(work, name=where)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.record_error(task.get_name(), error)
