"""A node's own proposals: numbered, sent to the leader, and sent again until their outcome is known. Pure.

States of a proposal: OPEN (not sent yet) -> FORWARDED (it may be in a log) -> applied at this node, or given
up at its caller's time limit. If it was never forwarded when given up, it is certainly not accepted; else its
outcome is unsure. A forwarded proposal that was given up stays open until it is applied, so that its number
is not settled while a copy may still arrive late. Invariants: at most ``MAX_OPEN_PROPOSALS`` numbers are in
use from the oldest open one on; a number is never given twice in a life.
"""

from dataclasses import dataclass

from beechrock.agree.errors import FullError
from beechrock.agree.rules import MAX_OPEN_PROPOSALS


@dataclass(slots=True)
class Proposal:
    """An open proposal; ``due_s``: time of the next attempt to send it, in seconds."""

    seq: int
    command: bytes
    forwarded: bool = False
    due_s: float = 0.0


class Proposals:
    """Open proposals of one life of one node."""

    def __init__(self, proposer: str, life: int, retry_s: float) -> None:
        self.proposer = proposer
        self.life = life
        self.retry_s = retry_s  # seconds between two attempts to send a proposal
        self.next = 1  # number of the next new proposal
        self.open: dict[int, Proposal] = {}

    @property
    def acked(self) -> int:
        """Number below which all proposals are settled."""
        return next(iter(self.open), self.next)

    def add(self, command: bytes) -> Proposal:
        """Add a proposal under the next number. Raises FullError if too many are open."""
        if self.next >= self.acked + MAX_OPEN_PROPOSALS:
            raise FullError(
                f"{len(self.open)} proposals are open",
                where=f"agreed log, proposals of {self.proposer}",
                wanted=f"fewer than {MAX_OPEN_PROPOSALS}",
                do="retry in a second",
            )
        proposal = self.open[self.next] = Proposal(self.next, command)
        self.next += 1
        return proposal

    def collect_due(self, now_s: float) -> list[Proposal]:
        """Return the proposals to send now; each is due again after ``retry_s``."""
        due = [proposal for proposal in self.open.values() if proposal.due_s <= now_s]
        for proposal in due:
            proposal.due_s = now_s + self.retry_s
        return due

    def on_new_leader(self) -> None:
        """Make all open proposals due now."""
        for proposal in self.open.values():
            proposal.due_s = 0.0

    def on_rejected(self, seq: int, now_s: float) -> None:
        """Postpone the rejected proposal's next attempt to ``retry_s`` from now."""
        if seq in self.open:
            self.open[seq].due_s = now_s + self.retry_s

    def settle(self, seq: int) -> bool:
        """Close an applied proposal; return False if the number is not open."""
        return self.open.pop(seq, None) is not None

    def give_up(self, seq: int) -> bool:
        """Give up a proposal at its caller's time limit; return whether it may still be applied.

        A forwarded proposal is still resent afterwards, since its number is settled only once it is applied.
        """
        proposal = self.open.get(seq)
        if proposal is None:
            return False
        if not proposal.forwarded:
            del self.open[seq]
            return False
        return True
