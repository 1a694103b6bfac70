"""A move to another agent address, which waits until the agent has read all that was written on its link."""

from collections.abc import Callable
from dataclasses import dataclass

from beechrock.core.actor import ModuleActor
from beechrock.core.link_lifecycle import PAUSE_LATENESS_S, Address

# Time for which the current link is kept. The peer keeps it open for 1.5 s after it has moved, and a silent
# link is cut sooner.
MAX_MOVE_WAIT_S = 1.0


@dataclass(slots=True)
class PendingMove:
    """A move whose barrier, a sample request on the current link, has not been answered yet."""

    address: Address
    barrier: int  # number of the sample request
    due: float  # time after which the link is given up, in seconds of the module's clock
    extended: bool = False  # whether ``due`` was extended after a pause of the process

    def is_overdue(self, now: float) -> bool:
        """Return whether the link is to be given up.

        After a pause of the process the answer may be unread, so ``due`` is then extended once.
        """
        if now < self.due:
            return False
        if now > self.due + PAUSE_LATENESS_S and not self.extended:
            self.extended, self.due = True, now + MAX_MOVE_WAIT_S
            return False
        return True


class AddressMove:
    """Leaves an address only once the commands written there are confirmed, or cannot be confirmed any more.

    While a move is pending, no command is written on the current link. So the answer to the barrier proves
    that the agent has read all commands, and none has to be sent again on the next link.
    """

    def __init__(self, module: ModuleActor, leave: Callable[[Address], None]) -> None:
        self._module = module
        self._leave = leave  # connects to the new address, and cuts the current link
        self.pending: PendingMove | None = None

    def begin(self, address: Address, barrier: int) -> None:
        """Wait for the answer to the sample request ``barrier`` before the move."""
        self.pending = PendingMove(address, barrier, self._module.clock() + MAX_MOVE_WAIT_S)
        self._set_timer(self.pending)

    def cancel(self) -> None:
        """Stay at the current address."""
        self.pending = None

    def on_sample(self, sample: int) -> None:
        """Complete the move if the answer to the sample request ``sample`` confirms the barrier."""
        if self.pending is not None and sample >= self.pending.barrier:
            self.complete()

    def complete(self) -> None:
        """Leave the current address, if a move is pending."""
        move, self.pending = self.pending, None
        if move is not None:
            self._leave(move.address)

    def _set_timer(self, move: PendingMove) -> None:
        self._module.timers.at(move.due, lambda: self._check(move))
        self._module.mailbox.wake()  # lets the module compute the time of its next timer again

    def _check(self, move: PendingMove) -> None:
        if self.pending is not move:  # it was completed or taken back before
            return
        if move.is_overdue(self._module.clock()):
            self._module.counters.add("agent.moves_unconfirmed")
            self.complete()
        else:
            self._set_timer(move)
