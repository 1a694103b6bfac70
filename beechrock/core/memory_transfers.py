"""Actor part of ``MemoryShare``: passes limits to the module, and transfers to the other process."""

from typing import Protocol

from beechrock import interface as api
from beechrock.core.memory_share import MAX_WAIT_S, MemoryShare, Usage, WaitingRequest
from beechrock.core.requests import (
    MemoryEnded,
    MemoryGiven,
    MemoryJoined,
    MemoryMessage,
    MemoryRequested,
    MemorySplit,
    RequestReceived,
)
from beechrock.core.timer_wheel import TimerWheel
from beechrock.policy import Node


class MemoryPartner(Protocol):
    """The other process of this node, which shares its memory."""

    def state_limit(self, limit_kb: float) -> None:
        """State the limit of this process to its predecessor."""

    def request_memory(self, wanted_kb: float) -> None:
        """Request a transfer, which is answered once."""

    def is_current(self, channel: object) -> bool:
        """Return whether a request that came over this channel can still be answered."""

    def give_memory(self, given_kb: float) -> None:
        """Answer a request of the other process; this process does not use ``given_kb`` any more."""


class MemoryTransfers:
    """Owns this process's part of the node's memory."""

    def __init__(self, timers: TimerWheel) -> None:
        self.partner: MemoryPartner | None = None
        self.share = MemoryShare()
        self._timers = timers
        self._passed_kb: float | None = None  # limit that the module was told last

    @property
    def active(self) -> bool:
        """Return whether this process has a part of the memory, or requests that wait."""
        return self.share.limit_kb is not None or bool(self.share.waiting)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a transfer."""
        return len(self.share.waiting)

    def limit_events(self, new_module: bool = False) -> list[api.Event]:
        """Return the event that tells the module its limit; none if it knows that limit.

        It goes before the other events of a batch: what these admit and start must fit into the new limit, as
        memory that was given away is the other process's already.
        """
        if new_module:
            self._passed_kb = None
        if self.share.limit_kb == self._passed_kb:
            return []
        self._passed_kb = self.share.limit_kb
        return [api.MemoryLimit(self._passed_kb)]

    def handle(self, message: MemoryMessage, node: Node, now_s: float) -> None:
        """Handle a message about the parts."""
        match message:
            case MemoryJoined():
                self._join(node)
            case MemorySplit(other_kb):
                self.share.split(other_kb, node.settings.memory_kb)
            case MemoryEnded():
                self.share.end()
            case MemoryRequested(wanted_kb, channel):
                self._give(wanted_kb, channel, node)
            case MemoryGiven(given_kb):
                self.share.receive(given_kb, now_s)

    def _join(self, node: Node) -> None:
        limit_kb = self.share.join(node.load().held_kb, node.settings.memory_kb)
        if self.partner is not None:
            self.partner.state_limit(limit_kb)

    def _give(self, wanted_kb: float, channel: object, node: Node) -> None:
        """Answer a request; over a later channel the limits were stated anew, so it would count twice."""
        if self.partner is not None and self.partner.is_current(channel):
            self.partner.give_memory(self.share.give(wanted_kb, _usage(node)))

    def begin_batch(self, node: Node, now_s: float) -> list[RequestReceived]:
        """Return the requests that have waited and are to be received now."""
        usage = _usage(node)
        return [
            entry.message
            for entry in self.share.begin_batch()
            if entry.message.request.cancelled or not self.share.must_wait(entry, usage, now_s)
        ]

    def keeps(self, message: RequestReceived, node: Node, now_s: float) -> bool:
        """Return whether a request is kept until a transfer has arrived, or for ``MAX_WAIT_S``."""
        if self.share.limit_kb is None or message.request.cancelled:
            return False
        entry = WaitingRequest(message, now_s + MAX_WAIT_S)
        if not self.share.must_wait(entry, _usage(node), now_s):
            return False
        self._timers.at(entry.due_s, lambda: None)  # a batch follows each timer
        return True

    def end_batch(self, node: Node, now_s: float) -> None:
        """Request a transfer if this process needs one."""
        if self.share.limit_kb is None or self.partner is None:
            return
        wanted_kb = self.share.request(_usage(node), now_s)
        if wanted_kb:
            self.partner.request_memory(wanted_kb)


def _usage(node: Node) -> Usage:
    memory = node.memory
    return Usage(memory.total_kb(), memory.blocked_kb, node.other_process.load.held_kb)
