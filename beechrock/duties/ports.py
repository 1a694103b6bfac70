"""Interfaces that the actor of the duties uses: the worker, the agreed log and the transport."""

from collections.abc import Callable
from typing import Any, Protocol


class Worker(Protocol):
    """Worker that does the work of one duty.

    An error in ``take_over`` is logged, and the take-over is retried after each lease time. Errors in other
    methods are logged, and the worker is then treated as hanging.
    """

    async def take_over(self, fence: int) -> None:
        """Get the predecessor's state and announce the fence to receivers, without an effect of the duty.

        The call may be cancelled.
        """

    async def give_up(self) -> None:
        """Start no new work, and finish or give back the work in progress.

        ``may`` returns None from this call on.
        """

    def lost(self) -> None:
        """Stop all work at once, because the lease or the grant has ended."""

    def progress(self) -> tuple[int, int]:
        """Return how much work was completed since the start, and how much could be done now but is not."""


class AgreedLogPort(Protocol):
    """The part of the agreed log's interface that duties use."""

    leader: str  # name of the leader; empty if none is known
    term: int  # term of the agreed log

    def host(self, name: str, machine: Any) -> None:
        """Register a replicated state machine under a name."""

    async def propose(self, name: str, command: bytes, within_s: float) -> Any:
        """Propose a command to the machine ``name`` and return the machine's result."""

    def leading(self) -> bool:
        """Return whether this node holds the leader's lease now."""

    def on_lead(self, listener: Callable[[bool], None]) -> None:
        """Register a listener for changes of the leader's lease.

        True means that no other leader's lease is valid any more; False means that this node's own lease may
        have ended.
        """


class TransportPort(Protocol):
    """The part of the transport's interface that duties use."""

    name: str  # name of this node
    life: int  # incarnation number of this process
    hall: str  # hall of this node
    hardware: str  # hardware class of this node

    def send(self, to: str, channel: str, message: bytes) -> bool:
        """Queue a message; return False if it cannot be sent."""

    def on(self, channel: str, handler: Callable[[str, int, bytes], None]) -> None:
        """Register the handler of a channel; it receives the sender, its incarnation number and the data."""
