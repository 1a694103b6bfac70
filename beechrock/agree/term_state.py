"""Term, vote, role and leader of a member of the agreed log.

States: FOLLOWER, CANDIDATE (asks for votes), LEADER; the vote and the leader of the current term. Events: a
higher term, a vote, a candidacy, an election won, a leader's message, the end of a leadership.

Invariants: the term never falls; at most one vote is given per term, and it is queued for the journal before
it is sent; at most one leader is followed per term. A violation raises BrokenInvariantError.
"""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from beechrock.agree.context import EventContext
from beechrock.agree.errors import BrokenInvariantError
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.messages import HardState, LeadershipChanged

UNKNOWN_VOTE = "?"  # Value of ``vote`` if a vote may have been given in the term, but it is not known to whom


class Role(Enum):
    """Role of a member in its term."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


class TermLeader(NamedTuple):
    """The member that sent messages as the leader of a term."""

    term: int
    name: str


NO_LEADER = TermLeader(0, "")


class TermState:
    """Term, vote and role of this member. ``leader``: the term's leader, or empty if none is known."""

    def __init__(self, context: EventContext, writer: JournalWriter, term: int, vote: str) -> None:
        self._context = context
        self._writer = writer
        self.term = term
        self.vote = vote
        self.role = Role.FOLLOWER
        self.leader = ""
        self._term_leader = NO_LEADER
        self._step_down_listeners: list[Callable[[], None]] = []

    def on_step_down(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when this member stops leading."""
        self._step_down_listeners.append(listener)

    def set_term(self, term: int, vote: str = "") -> None:
        """Adopt a higher term, or set the vote of this one. Raises BrokenInvariantError for anything else."""
        if term < self.term or (term == self.term and self.vote not in ("", vote)):
            raise BrokenInvariantError(
                f"term {term} vote {vote!r} after term {self.term} vote {self.vote!r}",
                where=f"agreed log of {self._context.name}",
            )
        self.term = term
        self.vote = vote
        self._writer.persist(HardState(term, vote))

    def abstain_up_to(self, term: int) -> None:
        """Never vote again in ``term`` or an earlier one, as a forgotten vote may have been given there."""
        if term > self.term:
            self.follow(term, "")
        if not self.vote:
            self.set_term(self.term, UNKNOWN_VOTE)

    def follow(self, term: int, leader: str) -> None:
        """Become a follower; ``leader`` may be empty. Raises BrokenInvariantError for a second leader."""
        if term > self.term:
            self.set_term(term)
        elif leader and self.leader not in ("", leader):
            raise BrokenInvariantError(
                f"{leader} and {self.leader} both lead term {term}",
                where=f"agreed log of {self._context.name}",
            )
        previous = self.role
        self.role = Role.FOLLOWER
        self.leader = leader
        if previous is Role.LEADER:
            self._context.emit(LeadershipChanged(False, self.term))
            for listener in self._step_down_listeners:
                listener()

    def accept_leader(self, sender: str, term: int) -> bool:
        """Follow the sender as leader of ``term``; return whether it is the first contact in the term.

        ``term`` must not be older than this member's. Raises BrokenInvariantError for a second leader.
        """
        if self._term_leader.term == term and self._term_leader.name != sender:
            raise BrokenInvariantError(
                f"{sender} and {self._term_leader.name} both lead term {term}",
                where=f"agreed log of {self._context.name}",
            )
        if term > self.term or self.leader != sender or self.role is not Role.FOLLOWER:
            self.follow(term, sender)
        if self._term_leader.term == term:
            return False
        self._term_leader = TermLeader(term, sender)
        return True

    @property
    def has_leader_contact(self) -> bool:
        """Whether this term's leader is known and has sent a message in it."""
        return bool(self.leader) and self._term_leader.term == self.term

    def forget_leader(self) -> None:
        """Follow no leader any more; the role does not change."""
        self.leader = ""

    def end_candidacy(self) -> None:
        """Become a follower again after a candidacy that was not won."""
        self.role = Role.FOLLOWER

    def become_candidate(self) -> None:
        """Begin the next term as a candidate, with this member's vote for itself."""
        self.role = Role.CANDIDATE
        self.leader = ""
        self.set_term(self.term + 1, self._context.name)

    def become_leader(self) -> None:
        """Become the leader of the current term."""
        self.role = Role.LEADER
        self.leader = self._context.name
        self._term_leader = TermLeader(self.term, self._context.name)
        self._context.emit(LeadershipChanged(True, self.term))
