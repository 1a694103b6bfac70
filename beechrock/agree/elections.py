"""Elections: pre-votes, votes, and the conditions for a candidacy.

States: a follower that waits for its timeout, a follower that asks for pre-votes, a candidate. After 1 to 1.7
times ``lease_s`` without contact to a leader, a follower asks for pre-votes; with a majority of them it
raises its term, votes for itself, syncs that vote, and asks for votes; with a majority of votes it leads.
Events: ticks, a leader's message, pre-votes, votes and the answers to them, a synced write, a leadership
transfer.

Invariants: no vote for a candidate whose log is behind this member's log, or behind the end that the memory
proof requires; no vote while a leader may hold a lease that depends on this member; a vote of a member's
former process does not count once its restart is known.
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

ELECTION_TIMEOUT_LEASES = 1.0, 1.7  # Bounds of the random timeout, in leases; avoids simultaneous candidates
PRE_VOTE_RETRY_LEASES = 0.2, 0.5  # Bounds of the random wait before pre-votes are asked again, in leases


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
        self._pre_votes: set[str] = set()  # names of the members that granted a pre-vote
        self._votes: dict[str, int] = {}  # epoch count of each member that granted its vote
        self._vote_write = 0  # number of the write that holds this member's vote for itself
        self._leaving = False
        # The former process may have had contact with a leader until just now, so count the start as contact.
        self.leader_contact_s = context.now_s
        self.timeout_s = context.now_s  # time of the next request for pre-votes, in seconds
        self._elected_listeners: list[Callable[[], None]] = []
        self.reset_timeout()

    def on_elected(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called when this member begins to lead."""
        self._elected_listeners.append(listener)

    # --- the timeout -----------------------------------------------------------------------------------

    def reset_timeout(self) -> None:
        """Draw a new random time for the next election, in case no leader makes contact before."""
        wait_s = self._rules.lease_s * self._random.uniform(*ELECTION_TIMEOUT_LEASES)
        self.timeout_s = self._context.now_s + wait_s

    def on_leader_contact(self) -> None:
        """Record contact with the leader at the current time, and end a request for pre-votes."""
        self.leader_contact_s = self._context.now_s
        self._pre_voting = False
        self.reset_timeout()

    def leave(self) -> None:
        """Never start an election again."""
        self._leaving = True

    def tick(self) -> None:
        """Start an election if the timeout has passed and this member may be a candidate."""
        if self._terms.role is Role.LEADER or self._context.now_s < self.timeout_s or self._leaving:
            return
        self.reset_timeout()
        self._terms.forget_leader()
        if self._proof.may_be_candidate and self._log.end() >= self._proof.min_log_end():
            self._terms.end_candidacy()
            if self._rules.on(Guard.PRE_VOTE):
                self._request_pre_votes()
            else:
                self._start_candidacy(transferred=False)

    # --- pre-votes -------------------------------------------------------------------------------------

    def _request_pre_votes(self) -> None:
        # Voters that had contact with the leader a little later refuse at first, so ask again soon: pre-votes
        # raise no term.
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
            # Give the sender time to be elected: two candidates at once would split the votes, and a whole
            # further lease would pass without a leader.
            self.timeout_s = max(self.timeout_s, self._context.now_s + self._rules.heartbeat_s)
            if sender < self._context.name:
                self._pre_voting = False  # both members ask at once: only the lower name goes on
        term = message.term if granted else self._terms.term
        self._writer.send_after_sync(sender, PreVoteReply(term, granted))

    def on_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        """Count a granted pre-vote, or adopt the higher term of a member that refused."""
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
        """Become a candidate in the next term, and ask all other voters for their votes."""
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
        # A voter with a live leader does not even adopt the higher term: the leader's lease depends on that.
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
        """Count a granted vote, or adopt a higher term."""
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
        """Become the leader if a majority has granted its vote and this member's own vote is synced."""
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
        """Become a candidate at once, as the leader that steps down asks."""
        if (
            message.term == self._terms.term
            and sender == self._terms.leader
            and self._proof.may_vote
            and self._terms.role is Role.FOLLOWER
        ):
            self._start_candidacy(transferred=True)
