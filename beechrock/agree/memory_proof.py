"""Proof of memory: the check that a member must pass after a start before it may vote again.

A member that starts is UNPROVEN and queries all others. Each of them records the member's new epoch, then
reports whether the journal is the one that it knew (marks.py), its own term and the end of its own log. The
member is PROVEN once so many voters have reported that every majority with this member includes one of them
(``proof_quorum``: both others of 3 voters, three others of 5). It then votes only in terms above all reported
ones, and only for candidates whose log holds all that was reported. So even a journal that lost writes
without any mark to show it (an older copy, whose last promises only a lost peer knows) breaks no promise, as
long as only one member at a time loses writes. Votes and acknowledgements of the former process that are
still on their way are dropped by the member that counts them, as each answer carries the newest epochs that
its sender knows.

If that many voters cannot be reached, reports of a majority are enough after ``proof_wait_s``, unless
``strict``: else a voter that is lost for good would keep all others from restarting. Then an older copy
passes only if none of the reached members knew of the writes that it lost.

If one or two voters are left, a single voter may have committed entries that otherwise only non-voting nodes
hold: as the only voter, or as one of two after the next change of voters. So all other nodes must report (a
majority of them after the wait), and a lone voter stays UNPROVEN while one of them has a longer log: as a
leader that is the only voter sends only synced entries, a longer log shows what the voter's disk lost. If
there is no other node, nothing can be checked, and the member is PROVEN at once.

Events: ticks, a query of another member, reports on this member's journal, an operator's confirmation, an
entry that readmits this member. Invariant: a member that is not PROVEN neither grants a vote nor counts for a
commit.

BARRED: a report found the journal OLDER or OTHER, or it is empty although others are not. A barred member
follows without a vote, under a new epoch whose count is above all known ones, until an entry of the log
readmits that epoch. The status is written to the journal, so that after another start the wait alone does not
make the member PROVEN.
"""

from collections.abc import Callable

from beechrock.agree.context import EventContext
from beechrock.agree.epochs import EpochTable, ReadmittedEpoch
from beechrock.agree.journal import RecoveredState
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.log import LogEnd
from beechrock.agree.marks import judge
from beechrock.agree.messages import (
    BarredState,
    Mark,
    MemoryQuery,
    MemoryReport,
    MemoryStatus,
    Readmitted,
    Verdict,
)
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.rules import Guard
from beechrock.agree.term_state import TermState
from beechrock.agree.voters import VoterSet, majority, proof_quorum

REPROVE_LEASES = 6.0  # Leases without a leader after which a member behind the required end proves anew
LOST_MEMORY_VERDICTS = (Verdict.OLDER, Verdict.OTHER)  # Verdicts on a journal that lost reported writes
SMALL_VOTER_SET = 2  # Up to this number, one change of voters may leave a lone voter, who commits by itself


class MemoryProof:
    """Status of this member's memory, and the reports of other members on it."""

    def __init__(
        self,
        context: EventContext,
        writer: JournalWriter,
        epochs: EpochTable,
        terms: TermState,
        replicated: ReplicatedLog,
        recovered: RecoveredState,
    ) -> None:
        self._context = context
        self._rules = context.rules
        self._writer = writer
        self._epochs = epochs
        self._terms = terms
        self._replicated = replicated
        self._log = replicated.log
        self.status = MemoryStatus.UNPROVEN
        self.reports: dict[str, MemoryReport] = {}  # newest report of each other member
        self._recovered_barred = recovered.barred
        self._recovered_empty = recovered.empty
        self._queried_s = float("-inf")  # time of the newest queries, in seconds
        self._started_s = context.now_s  # start of the current proof, in seconds
        self._proved_s = context.now_s  # end of the newest proof, in seconds
        self._required_end = LogEnd(0, 0)  # reported end that a candidate's log must reach to get a vote
        voters = replicated.voters
        self._newest_voters = VoterSet(voters.index, voters.names)
        self._epoch_listeners: list[Callable[[str, int], None]] = []

    def on_newer_epoch(self, listener: Callable[[str, int], None]) -> None:
        """Register a listener that is called with a member's name and the count of its new epoch."""
        self._epoch_listeners.append(listener)

    # --- the right to vote -----------------------------------------------------------------------------

    @property
    def may_grant(self) -> bool:
        """Whether this member may grant a vote.

        It may do so even if its own log does not list it as a voter yet, as the candidate's log decides.
        """
        return self.status is MemoryStatus.PROVEN or not self._rules.on(Guard.OLD_DISK)

    @property
    def may_vote(self) -> bool:
        """Whether this member is a voter whose memory is proved."""
        return self._context.name in self._replicated.voters and self.may_grant

    @property
    def may_be_candidate(self) -> bool:
        """Whether this member may ask for votes; a voter whose removal may be uncommitted may do so too.

        Its log may be the only one that holds the removal; it then leads without a vote of its own.
        """
        return self._replicated.may_still_vote(self._context.name) and self.may_grant

    def min_log_end(self) -> LogEnd:
        """Return the log end that a candidate must reach to get this member's vote."""
        own = self._log.end()
        if own >= self._required_end:
            self._required_end = LogEnd(0, 0)
        return max(own, self._required_end)

    # --- queries and reports ---------------------------------------------------------------------------

    def tick(self, leader_contact_s: float) -> None:
        """Send the queries that are due; ``leader_contact_s``: time of the last contact with a leader."""
        now_s = self._context.now_s
        self._reprove_if_stuck(leader_contact_s)
        if self.status is MemoryStatus.PROVEN:
            return
        # A barred member keeps sending queries: until its epoch's count is above all known counts, its
        # answers are attributed to a former process, and it never catches up.
        unproven = self.status is MemoryStatus.UNPROVEN
        every_s = self._rules.heartbeat_s if unproven else self._rules.lease_s
        if now_s >= self._queried_s + every_s:
            self._queried_s = now_s
            for name in self._context.others:
                query = MemoryQuery(self._epochs.own, self._recovered_empty)
                self._writer.send_after_sync(name, query)
            self.evaluate_reports()

    def _reprove_if_stuck(self, leader_contact_s: float) -> None:
        """Begin a new proof, as after a start, if this log has long been behind the required end.

        The member that reported the required end may have lost it since: then no candidate could reach it.
        """
        now_s = self._context.now_s
        since_s = max(leader_contact_s, self._proved_s) + REPROVE_LEASES * self._rules.lease_s
        behind = self._required_end > self._log.end()
        if self.status is MemoryStatus.PROVEN and behind and now_s > since_s:
            self.status = MemoryStatus.UNPROVEN
            self._started_s = now_s
            self.reports.clear()

    def on_query(self, sender: str, message: MemoryQuery) -> None:
        """Report on the sender's journal, after its new epoch is recorded."""
        known = self._epochs.mark_of(sender)
        verdict = judge(known, message.epochs)
        current = message.epochs[-1]
        begun = self._terms.term > 0 or self._log.last > 0
        if verdict is Verdict.NEWER and not (message.empty and begun):
            self._epochs.replace_mark(sender, Mark(current.count, current.id, current.position))
            for listener in self._epoch_listeners:
                listener(sender, current.count)
        report = MemoryReport(
            current.id,
            verdict,
            known.count if known is not None else 0,
            begun,
            self.status,
            self._terms.term,
            self._log.last,
            self._log.last_term,
            self._replicated.voters.index,
            self._replicated.voters.names,
        )
        self._writer.send_after_sync(sender, report)

    def on_report(self, sender: str, message: MemoryReport) -> None:
        """Handle a report on this member's journal."""
        if message.epoch != self._epochs.current.id or not self._rules.on(Guard.OLD_DISK):
            return  # a late report on an earlier epoch, or no proof is required
        lost = message.verdict in LOST_MEMORY_VERDICTS
        if message.known_count >= self._epochs.current.count and lost:
            # The newest process must have the highest count: open a new epoch and ask for all reports again.
            self._epochs.open(message.known_count + 1)
            self.reports.clear()
            self._queried_s = float("-inf")
        if self.status is not MemoryStatus.UNPROVEN:
            return
        if lost or (self._recovered_empty and message.begun):
            self.status = MemoryStatus.BARRED
            self._writer.persist(BarredState(True))
            return
        self.reports[sender] = message
        if message.voters_index > self._newest_voters.index:
            self._newest_voters = VoterSet(message.voters_index, message.voters)
        self.evaluate_reports()

    # --- the proof -------------------------------------------------------------------------------------

    def trust(self) -> None:
        """Treat the memory as proven, because an operator vouches for this member's folder."""
        if self.status is not MemoryStatus.PROVEN:
            self._prove()

    def evaluate_reports(self) -> None:
        """Become PROVEN if enough nodes have reported and no report shows a lost entry."""
        if self.status is not MemoryStatus.UNPROVEN:
            return
        # A barred member may start again after its readmission if that record was not synced: it can then be
        # proved by the full proof quorum, but not by waiting.
        wait = not self._rules.strict and not self._recovered_barred
        waited = wait and self._context.now_s >= self._started_s + self._rules.proof_wait_s
        if self._enough_voters(waited) and self._enough_nodes(waited) and not self.lacks_entries:
            self._prove()

    def _enough_voters(self, waited: bool) -> bool:
        voters = set(self._newest_voters.names) | {self._context.name}
        # A barred member's report counts, too: as that member lost writes, this one did not.
        reported = [name for name in self.reports if name in voters]
        needed = majority(len(voters)) - 1 if waited else proof_quorum(len(voters))
        return len(reported) >= needed

    def _enough_nodes(self, waited: bool) -> bool:
        """Return whether enough nodes, voting or not, have reported; only small voter sets require any."""
        names = self._newest_voters.names
        others = len(self._context.others)
        if self._context.name not in names or len(names) > SMALL_VOTER_SET or not others:
            return True
        return len(self.reports) >= (majority(others) if waited else others)

    @property
    def lacks_entries(self) -> bool:
        """Whether this member is the only voter and another node has reported a longer log."""
        if self._newest_voters.names != (self._context.name,):
            return False
        own = self._log.end()
        return any(LogEnd(report.last_term, report.last_index) > own for report in self.reports.values())

    def _prove(self) -> None:
        if self.status is MemoryStatus.BARRED or self._recovered_barred:
            self._writer.persist(BarredState(False))
        self.status = MemoryStatus.PROVEN
        self._recovered_barred = False
        self._proved_s = self._context.now_s
        # Only logs of voters count: an end that only a learner's log reaches could prevent every election.
        # A barred voter's log does not count either: as that voter lost writes, this member's log did not.
        ends = [
            LogEnd(report.last_term, report.last_index)
            for name, report in self.reports.items()
            if name in self._newest_voters.names and report.memory is not MemoryStatus.BARRED
        ]
        self._required_end = max(ends, default=LogEnd(0, 0))
        term = max([report.term for report in self.reports.values()], default=0)
        if not (self._recovered_empty and term == 0 and self._terms.term == 0):
            self._terms.abstain_up_to(term)

    def on_readmission(self, readmitted: ReadmittedEpoch) -> None:
        """Let the member of an applied READMIT entry vote again, under the epoch that the entry names."""
        self._context.emit(Readmitted(readmitted.name, readmitted.count))
        if readmitted.name != self._context.name:
            self._epochs.on_readmit_applied(readmitted)
        elif readmitted.id == self._epochs.current.id and self.status is MemoryStatus.BARRED:
            self.status = MemoryStatus.PROVEN
            self._writer.persist(BarredState(False))
            self._terms.abstain_up_to(self._terms.term)
