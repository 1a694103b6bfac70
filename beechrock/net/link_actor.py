"""Actor that carries out the decisions of one ``LinkLifecycle``: it connects, disconnects and sets timers."""

import asyncio
import logging
from typing import Protocol

from beechrock.core import link_lifecycle as life
from beechrock.core.actor import ModuleActor
from beechrock.core.timer_wheel import Timer
from beechrock.net.connecting import NotConnectedError, connect

log = logging.getLogger("beechrock")


class LinkOwner(Protocol):
    """Owner of a link: implements its protocol, and handles its end."""

    async def serve_link(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass ``Opened`` to the actor, then serve the connection until it ends."""

    def send_control(self, action: life.Action) -> None:
        """Send the handshake, the sync request or the liveness request in the link's protocol."""

    def discard_link(self) -> None:
        """Discard the link, or the connection attempt, which was cut."""

    def link_ended(self) -> None:
        """Handle the final end of a link that is not reopened; it may never have been established."""

    def on_unreachable(self) -> None:
        """Look for another address, as no link could be opened for some time."""


class LinkActor:
    """Performs the actions that a link's state machine returns, and reports to the link's owner."""

    def __init__(
        self,
        owner: LinkOwner,
        where: str,
        module: ModuleActor,
        limits: life.Limits,
        address: life.Address,
    ) -> None:
        self.owner = owner
        self.where = where  # prefix of the link's counters
        self.module = module
        self.counters = module.counters
        self.life = life.LinkLifecycle(limits, address, module.clock())
        self._task: asyncio.Task[None] | None = None
        self._timer: Timer | None = None
        self._timer_due = 0.0
        self._ended = False
        # Reason logged last; the same reason several times in a row is logged only once.
        self._logged_reason: life.CloseReason | None = None

    def handle_event(self, event: life.Event) -> None:
        """Pass an event to the state machine and carry out its actions."""
        for action in self.life.handle(self.module.clock(), event):
            match action:
                case life.Connect(number, address):
                    self._task = self.counters.spawn(self._run_link(number, address), self.where)
                case life.Cut(_, reason):
                    self._disconnect(reason)
                case life.Lost():
                    self.owner.on_unreachable()
                case _:
                    self.owner.send_control(action)
        if self.life.state is life.LinkState.UP:
            self._logged_reason = None
        self._set_timer()
        if self.life.state is life.LinkState.OVER and not self._ended:
            self._ended = True
            self.owner.link_ended()

    def _set_timer(self) -> None:
        due = self.life.due
        if self._timer is not None and due == self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due != float("inf"):
            self._timer, self._timer_due = self.module.timers.at(due, self._due), due
            self.module.mailbox.wake()  # lets the module compute the time of its next timer again

    def _due(self) -> None:
        self._timer = None
        self.handle_event(life.Due())

    def _disconnect(self, reason: life.CloseReason) -> None:
        self.counters.add(f"{self.where}.cut_{reason.value}")
        if reason is not self._logged_reason and reason is not life.CloseReason.MOVED:
            log.warning("%s %s:%d: link cut: %s", self.where, *self.life.address, reason.value)
        self._logged_reason = reason
        task, self._task = self._task, None
        self.owner.discard_link()
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    async def _run_link(self, number: int, address: life.Address) -> None:
        """Make one connection attempt and, if it succeeds, serve the link until it ends."""
        try:
            reader, writer = await connect(address)
        except OSError as error:
            if isinstance(error, NotConnectedError) and error.__cause__ is not None:
                self.counters.record_error(f"{self.where}_connect", error)
            self.counters.add(f"{self.where}.refused_links")
            self.handle_event(life.Refused(number))
            return
        try:
            await self.owner.serve_link(number, reader, writer)
        finally:
            self.counters.add(f"{self.where}.ended_links")
            self.handle_event(life.Ended(number))
