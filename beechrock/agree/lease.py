"""The leader's lease: the rounds of its term, and whether a quorum's answers still give the right to act.

States: no lease; a lease based on the newest round that a quorum answered; a lease lost to a gap between two
ticks, after which only later rounds count. Events: the start of a term, ticks, the start of a round, answers.

Invariants: a leader may not act under its lease before an entry of its own term is committed, nor after the
lease's end, nor after a gap between ticks until a quorum has answered a later round. The safety of the log
does not depend on the lease; receivers also fence the acts done under it.
"""

from beechrock.agree.context import EventContext
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.rounds import Rounds
from beechrock.agree.rules import Guard
from beechrock.agree.term_state import Role, TermState

MAX_PAUSE_LEASES = 0.5  # Longest pause between two ticks, in leases, that does not end the lease


class LeaderLease:
    """Rounds and lease of the term that this member leads or last led; times are of its own clock."""

    def __init__(self, context: EventContext, terms: TermState, replicated: ReplicatedLog) -> None:
        self._context = context
        self._rules = context.rules
        self._terms = terms
        self._replicated = replicated
        self._rounds = Rounds()
        self._min_round = 0  # number of the first round that may give a lease: it began after the last gap
        self._elected_s = context.now_s
        self.last_tick_s = context.now_s

    # --- rounds ----------------------------------------------------------------------------------------

    def start_term(self) -> None:
        """Discard the rounds of the former term, and record the time of the election."""
        self._rounds = Rounds()
        self._min_round = 0
        self._elected_s = self._context.now_s

    def tick(self, now_s: float) -> None:
        """Record the time of a tick; after a gap between ticks only rounds begun from now on give a lease."""
        paused = self._is_gap(now_s)
        self.last_tick_s = now_s
        if paused and self._terms.role is Role.LEADER:
            self._min_round = self._rounds.number + 1

    def _is_gap(self, now_s: float) -> bool:
        return now_s - self.last_tick_s > MAX_PAUSE_LEASES * self._rules.lease_s

    @property
    def round_number(self) -> int:
        """Number of the newest round."""
        return self._rounds.number

    def start_round(self) -> int:
        """Begin a round, before its messages are sent; return its number."""
        return self._rounds.start(self._context.now_s)

    def record_answer(self, name: str, number: int) -> None:
        """Record that a proven member answered the round."""
        self._rounds.record_answer(name, number)

    def forget(self, name: str) -> None:
        """Discard the answers of a member's former process."""
        self._rounds.forget(name)

    def quorum_round(self) -> int:
        """Return the newest round that a quorum answered."""
        voters = self._replicated.voters
        return self._rounds.quorum_round(self._context.name, voters.names, voters.quorum)

    # --- the right to act ------------------------------------------------------------------------------

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its term, and so knows of all earlier commits."""
        if self._terms.role is not Role.LEADER:
            return False
        return self._replicated.log.term_at(self._replicated.commit) == self._terms.term

    def end_s(self) -> float:
        """Return the end of the lease, in seconds of this member's clock."""
        voters = self._replicated.voters
        return self._rounds.lease_end_s(self._context.name, voters.names, voters.quorum, self._rules.lease_s)

    def holds(self, now_s: float) -> bool:
        """Return whether this member holds a valid lease; must be called before each act.

        Only a quorum's answers to a round begun after the last gap between ticks give a lease.
        """
        if not self.has_committed_in_term:
            return False
        if self.quorum_round() < self._min_round and self._rules.on(Guard.LEASE_GAP):
            return False
        if self._is_gap(now_s) and self._rules.on(Guard.LEASE_GAP):
            return False  # this process was paused: it must first handle the messages that came meanwhile
        return now_s < self.end_s() or not self._rules.on(Guard.LEASE_END)

    def lost_quorum(self) -> bool:
        """Return whether no quorum has renewed the lease for so long that this member must step down."""
        since_s = max(self.end_s(), self._elected_s + self._rules.lease_s)
        return self._context.now_s > since_s + self._rules.lease_s and self._rules.on(Guard.CHECK_QUORUM)
