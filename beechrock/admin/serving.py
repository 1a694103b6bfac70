"""Whether this process wants work, and can do it.

States: STARTING (nothing can be run: not yet, or not now), READY, FAILED (an operator drains it), LEAVING.
Events: ``fail`` and ``ok`` (an operator's word), ``leave`` (the notice to leave); whether runs can be
started is read from its owner, the agent's link, when it matters.

Invariants: LEAVING is never left, and wins over every word. ``fail`` and ``ok`` are idempotent, and the
last one counts, whatever came between. Health checks are good only in READY, or in a process that leaves to
a successor. An operator's word never keeps this process from serving what comes.
"""

from collections.abc import Callable
from enum import Enum


class State(Enum):
    STARTING = "starting"
    READY = "ready"
    FAILED = "failed"
    LEAVING = "leaving"


class Serving:
    """The serving state of one process."""

    def __init__(self, able: Callable[[], bool]) -> None:
        self.able = able  # whether runs can be started
        self.failed = self.leaving = False
        self.on_drain_command: Callable[[bool], None] = lambda _: None  # passes each command on

    @property
    def state(self) -> State:
        if self.leaving:
            return State.LEAVING
        if self.failed:
            return State.FAILED
        return State.READY if self.able() else State.STARTING

    @property
    def offered(self) -> bool:
        """What health checks may say, as far as operators have a word in it."""
        return not self.failed

    @property
    def can_serve(self) -> bool:
        """What ``GET /healthcheck`` asks: whether a request that comes here can be run."""
        return self.able()

    def fail(self) -> bool:
        """Drain. Always a yes: while leaving, what is asked for holds already."""
        self.failed = True
        self.on_drain_command(True)
        return True

    def ok(self) -> bool:
        """Back to work; a process that leaves does not come back."""
        if self.leaving:
            return False
        self.failed = False
        self.on_drain_command(False)
        return True

    def hear(self, failed: bool) -> None:
        """A word that was said at the node's other process."""
        self.failed = failed

    def leave(self) -> None:
        self.leaving = True
