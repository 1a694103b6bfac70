"""Elections: pre-votes, votes, and who may be a candidate.

States: a follower that waits for its timeout, one that asks for pre-votes, a candidate. A follower asks for
pre-votes after ``lease_s`` to 1.7 times that without a leader; with a majority of them it raises its term,
votes for itself, writes, and asks for votes; with a majority of those it leads. Events: ticks, a leader's
message, pre-votes, votes and the answers to them, a write that is synced, a leader that leaves.

Invariants: no vote for a log behind the own one (or behind what was reported on the own memory); no vote
while a leader may hold a lease that rests on this member; a vote of a former process does not count beside
its successor.
"""

import random
from collections.abc import Callable

from beechrock.agree.context import EventContext
from beechrock.agree.epochs import EpochTable
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.log import LogEnd
from beechrock.agree.memory_proof import MemoryProof
from beechrock.agree.messages import LeadershipTransfer, PreVote, PreVoteReply, Vote, VoteReply
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.rules import Guard
from beechrock.agree.term_state import Role, TermState

ELECTION_TIMEOUT_LEASES = 1.0, 1.7  # drawn between, so that few are candidates at once
PRE_VOTE_RETRY_LEASES = 0.2, 0.5  # drawn between


class Elections:
    """The election timeout of this member, its candidacy and its votes."""

    def __init__(
        self,
        context: EventContext,
        writer: JournalWriter,
        epochs: EpochTable,
        terms: TermState,
        replicated: ReplicatedLog,
        proof: MemoryProof,
        seed: str,
    ) -> None:
        self._context = context
        self._rules = context.rules
        self._writer = writer
        self._epochs = epochs
        self._terms = terms
        self._replicated = replicated
        self._log = replicated.log
        self._proof = proof
        self._random = random.Random(seed)
        self._pre_voting = False
        self._pre_votes: set[str] = set()  # who granted one
        self._votes: dict[str, int] = {}  # who granted, and its epoch's count
        self._vote_write = 0  # the write which holds the own vote
        self._leaving = False
        # After a start a leader may have been heard from and be forgotten.
        self.leader_contact_s = context.now_s
        self.timeout_s = context.now_s  # when to ask for pre-votes next
        self._elected_listeners: list[Callable[[], None]] = []
        self.reset_timeout()

    def on_elected(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when this member begins to lead."""
        self._elected_listeners.append(listener)

    # --- the timeout -----------------------------------------------------------------------------------

    def reset_timeout(self) -> None:
        """Draw when to ask for votes next without a leader."""
        wait_s = self._rules.lease_s * self._random.uniform(*ELECTION_TIMEOUT_LEASES)
        self.timeout_s = self._context.now_s + wait_s

    def on_leader_contact(self) -> None:
        """Take note that the leader was heard from now."""
        self.leader_contact_s = self._context.now_s
        self._pre_voting = False
        self.reset_timeout()

    def leave(self) -> None:
        """Be no candidate any more."""
        self._leaving = True

    def tick(self) -> None:
        """Ask for votes where the timeout is over."""
        if self._terms.role is Role.LEADER or self._context.now_s < self.timeout_s or self._leaving:
            return
        self.reset_timeout()
        self._terms.forget_leader()
        if self._proof.may_be_candidate and self._log.end() >= self._proof.min_log_end():
            self._terms.withdraw()
            if self._rules.on(Guard.PRE_VOTE):
                self._request_pre_votes()
            else:
                self._start_candidacy(transferred=False)

    # --- pre-votes -------------------------------------------------------------------------------------

    def _request_pre_votes(self) -> None:
        # Refused by those who heard from the leader a moment later, it asks again: that raises no term.
        wait_s = self._rules.lease_s * self._random.uniform(*PRE_VOTE_RETRY_LEASES)
        self.timeout_s = self._context.now_s + wait_s
        self._pre_voting = True
        self._pre_votes = {self._context.name}
        for name in self._replicated.voters.names:
            self._context.send(name, PreVote(self._terms.term + 1, self._log.last, self._log.last_term))
        self._count_pre_votes()

    def _follows_live_leader(self) -> bool:
        in_lease = self._context.now_s < self.leader_contact_s + self._rules.lease_s
        return in_lease and self._rules.on(Guard.LEASE_PROMISE)

    def _is_up_to_date(self, end: LogEnd) -> bool:
        return end >= self._proof.min_log_end() or not self._rules.on(Guard.LOG_UP_TO_DATE)

    def on_pre_vote(self, sender: str, message: PreVote) -> None:
        """Answer whether this member would vote for the sender."""
        granted = (
            self._proof.may_grant
            and message.term > self._terms.term
            and self._terms.role is not Role.LEADER
            and not self._follows_live_leader()
            and self._is_up_to_date(LogEnd(message.last_term, message.last_index))
        )
        if granted:
            # Whom it would vote for has the turn: two candidates at once share the votes, and a whole lease
            # more passes without a leader.
            self.timeout_s = max(self.timeout_s, self._context.now_s + self._rules.heartbeat_s)
            if sender < self._context.name:
                self._pre_voting = False  # both ask: one of them goes on
        term = message.term if granted else self._terms.term
        self._writer.send_after_sync(sender, PreVoteReply(term, granted))

    def on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        """Count a pre-vote, or take over the higher term of who refused."""
        if message.granted and self._pre_voting and message.term == self._terms.term + 1:
            self._pre_votes.add(sender)
            self._count_pre_votes()
        elif not message.granted and message.term > self._terms.term:
            self._terms.follow(message.term, "")

    def _count_pre_votes(self) -> None:
        voters = self._replicated.voters
        granted = sum(name in self._pre_votes for name in voters.names)
        if self._pre_voting and granted >= voters.quorum:
            self._start_candidacy(transferred=False)

    # --- votes -----------------------------------------------------------------------------------------

    def _start_candidacy(self, transferred: bool) -> None:
        """Become a candidate in the next term."""
        self.reset_timeout()
        self._pre_voting = False
        self._terms.become_candidate()
        self._vote_write = self._writer.last_write
        self._votes = {self._context.name: self._epochs.current.count}
        self._epochs.clear_reported_counts()
        for name in self._replicated.voters.names:
            if name != self._context.name:
                vote = Vote(self._terms.term, self._log.last, self._log.last_term, transferred)
                self._writer.send_after_sync(name, vote)
        self.count_votes()

    def on_vote(self, sender: str, message: Vote) -> None:
        """Grant or refuse a vote."""
        terms = self._terms
        # A voter with a live leader does not even take the term over: the leader's lease rests on it.
        if self._follows_live_leader() and not message.transferred and message.term > terms.term:
            return
        if message.term > terms.term:
            terms.follow(message.term, "")
        granted = (
            message.term == terms.term
            and terms.vote in ("", sender)
            and terms.role is Role.FOLLOWER
            and self._proof.may_grant
            and self._is_up_to_date(LogEnd(message.last_term, message.last_index))
        )
        if granted:
            if not terms.vote:
                terms.set_term(terms.term, sender)
            self.reset_timeout()
        known_epochs = self._epochs.known_counts(self._replicated.voters.names)
        reply = VoteReply(terms.term, granted, self._epochs.own_mark(), known_epochs)
        self._writer.send_after_sync(sender, reply)

    def on_vote_reply(self, sender: str, message: VoteReply) -> None:
        """Count a vote, or take over a higher term."""
        terms = self._terms
        if message.term > terms.term:
            terms.follow(message.term, "")
        if terms.role is not Role.CANDIDATE or message.term != terms.term or not message.granted:
            return
        self._votes[sender] = message.mark.count
        self._epochs.record_mark(sender, message.mark)
        for name, count in message.known_epochs:
            self._epochs.record_reported_count(name, count)
        self.count_votes()

    def count_votes(self) -> None:
        """Lead where a majority has granted; the own vote counts once it is on disk."""
        if self._terms.role is not Role.CANDIDATE or not self._writer.is_synced(self._vote_write):
            return
        voters = self._replicated.voters
        granted = sum(
            name in self._votes and self._epochs.is_current(name, self._votes[name]) for name in voters.names
        )
        if granted >= voters.quorum and self._proof.may_be_candidate:
            self._terms.become_leader()
            for listener in self._elected_listeners:
                listener()

    def on_leadership_transfer(self, sender: str, message: LeadershipTransfer) -> None:
        """Be a candidate at once, as the leader asks."""
        if (
            message.term == self._terms.term
            and sender == self._terms.leader
            and self._proof.may_vote
            and self._terms.role is Role.FOLLOWER
        ):
            self._start_candidacy(transferred=True)
