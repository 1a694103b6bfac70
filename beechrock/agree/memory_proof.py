"""Proof of memory: what a member does before it votes again after a start.

A process that comes back is UNPROVEN: it asks all others. Each reports whether the journal is the one that it
knew (marks.py), its term and the end of its log, and remembers the new epoch before it reports. The member is
PROVEN once so many have reported that each majority which it was ever part of has been met (``proof_quorum``:
both others of 3, three of 5): it then votes only in terms above all that were reported, and only for logs
that hold all that was reported. So even a journal that forgot without any mark to show it (an older copy,
whose last acts only a lost peer saw) breaks no promise, as long as one forgets at a time. What its former
process granted and is still under way is dropped by whoever counts it, since each answer carries the newest
epochs that its sender knew.

Where that many cannot be reached, reports of a majority are enough after ``proof_wait_s``, unless ``strict``:
a voter lost for good must not keep every other from a restart. Then an older copy passes only where nobody
who is reached had heard of what it lost.

Where one or two voters are left, a single one may have committed with nobody but nodes that do not vote:
alone, or as one of two that came next. Then all other nodes have to report (a majority of them after the
wait), and a lone voter stays UNPROVEN while one of them holds more than it does: as such a leader sends what
it has synced alone, that is what its disk forgot. Where there is no other node, nothing can be shown, and it
is PROVEN at once.

Events: ticks, a query of another member, reports on the own journal, an operator's word, an entry that
readmits this member. Invariant: a member that is not PROVEN neither grants a vote nor counts for a commit.

BARRED: judged OLDER or OTHER, or empty though the others had begun. It follows without a vote, under a new
epoch whose count is above all that were known, until an entry of the log readmits that epoch. Written down:
for one that starts again the wait is not enough.
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

REPROVE_LEASES = 6.0  # without a leader, while the own log is behind what was reported
LOST_MEMORY = (Verdict.OLDER, Verdict.OTHER)
FEW_VOTERS = 2  # from one change of these to the next, no majority needs a second voter of them


class MemoryProof:
    """The status of the own memory, and the reports of others on it."""

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
        self.reports: dict[str, MemoryReport] = {}  # by member
        self._recovered_barred = recovered.barred
        self._recovered_empty = recovered.empty
        self._queried_s = float("-inf")
        self._started_s = context.now_s  # when this proof began
        self._proved_s = context.now_s
        self._required_end = LogEnd(0, 0)  # which a log must reach to get this member's vote
        voters = replicated.voters
        self._newest_voters = VoterSet(voters.index, voters.names)
        self._epoch_listeners: list[Callable[[str, int], None]] = []

    def on_newer_epoch(self, listener: Callable[[str, int], None]) -> None:
        """Register a listener, called with name and count of a member's epoch that was not known."""
        self._epoch_listeners.append(listener)

    # --- the right to vote -----------------------------------------------------------------------------

    @property
    def may_grant(self) -> bool:
        """Whether it may grant a vote.

        Also where its own log does not know it as a voter yet, as the candidate's log decides.
        """
        return self.status is MemoryStatus.PROVEN or not self._rules.on(Guard.OLD_DISK)

    @property
    def may_vote(self) -> bool:
        """Whether it is a voter whose memory is proved."""
        return self._context.name in self._replicated.voters and self.may_grant

    @property
    def may_be_candidate(self) -> bool:
        """Whether it may ask for votes: also as a voter whose removal is not known to be committed.

        The others may need its log, which alone holds the removal, and it then leads without a vote.
        """
        return self._replicated.may_still_vote(self._context.name) and self.may_grant

    def min_log_end(self) -> LogEnd:
        """Return the end that a candidate's log must reach to get this member's vote."""
        own = self._log.end()
        if own >= self._required_end:
            self._required_end = LogEnd(0, 0)
        return max(own, self._required_end)

    # --- queries and reports ---------------------------------------------------------------------------

    def tick(self, leader_contact_s: float) -> None:
        """Send the queries that are due; ``leader_contact_s``: when a leader was last heard from."""
        now_s = self._context.now_s
        self._reprove_if_stuck(leader_contact_s)
        if self.status is MemoryStatus.PROVEN:
            return
        # A barred one asks on: its epoch's count has to rise above all that are known, or its answers are
        # taken for a former process's, and it never catches up.
        unproven = self.status is MemoryStatus.UNPROVEN
        every_s = self._rules.heartbeat_s if unproven else self._rules.lease_s
        if now_s >= self._queried_s + every_s:
            self._queried_s = now_s
            for name in self._context.others:
                query = MemoryQuery(self._epochs.own, self._recovered_empty)
                self._writer.send_after_sync(name, query)
            self.evaluate_reports()

    def _reprove_if_stuck(self, leader_contact_s: float) -> None:
        """Begin a new proof, as after a start, with those that are there now.

        The member whose log set the required end may have lost it after its report: then nobody could be
        elected any more.
        """
        now_s = self._context.now_s
        since_s = max(leader_contact_s, self._proved_s) + REPROVE_LEASES * self._rules.lease_s
        behind = self._required_end > self._log.end()
        if self.status is MemoryStatus.PROVEN and behind and now_s > since_s:
            self.status = MemoryStatus.UNPROVEN
            self._started_s = now_s
            self.reports.clear()

    def on_query(self, sender: str, message: MemoryQuery) -> None:
        """Report on the sender's journal, once its new epoch is remembered."""
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
        """Take a report on the own journal in."""
        if message.epoch != self._epochs.current.id or not self._rules.on(Guard.OLD_DISK):
            return  # of an epoch before: late
        lost = message.verdict in LOST_MEMORY
        if message.known_count >= self._epochs.current.count and lost:
            # Counts must show which process is the later one; what was reported on this epoch is asked anew.
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
        """Take an operator's word that this folder is the one it was."""
        if self.status is not MemoryStatus.PROVEN:
            self._prove()

    def evaluate_reports(self) -> None:
        """Prove the own memory where enough nodes have reported, and none shows that something is missing."""
        if self.status is not MemoryStatus.UNPROVEN:
            return
        # A start may follow a readmission whose record was not synced yet: then no wait is enough.
        wait = not self._rules.strict and not self._recovered_barred
        waited = wait and self._context.now_s >= self._started_s + self._rules.proof_wait_s
        if self._enough_voters(waited) and self._enough_nodes(waited) and not self.lacks_entries:
            self._prove()

    def _enough_voters(self, waited: bool) -> bool:
        voters = set(self._newest_voters.names) | {self._context.name}
        # A barred one's report counts, too: it is the one that forgot, so this one is not.
        reported = [name for name in self.reports if name in voters]
        needed = majority(len(voters)) - 1 if waited else proof_quorum(len(voters))
        return len(reported) >= needed

    def _enough_nodes(self, waited: bool) -> bool:
        """Return whether as many nodes have reported as few voters need, whether these vote or not."""
        names = self._newest_voters.names
        others = len(self._context.others)
        if self._context.name not in names or len(names) > FEW_VOTERS or not others:
            return True
        return len(self.reports) >= (majority(others) if waited else others)

    @property
    def lacks_entries(self) -> bool:
        """Whether this member is the lone voter, and another node has reported a longer log."""
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
        # Of voters alone: what only a learner holds may stand nowhere else, and then nobody could be elected.
        # Nor of a barred one: it is the one that forgot, so the own log lacks nothing that was promised.
        ends = [
            LogEnd(report.last_term, report.last_index)
            for name, report in self.reports.items()
            if name in self._newest_voters.names and report.memory is not MemoryStatus.BARRED
        ]
        self._required_end = max(ends, default=LogEnd(0, 0))
        term = max([report.term for report in self.reports.values()], default=0)
        if not (self._recovered_empty and term == 0 and self._terms.term == 0):
            self._terms.give_up_votes(term)

    def on_readmission(self, readmitted: ReadmittedEpoch) -> None:
        """Let the member vote again, under the epoch that the applied entry names."""
        self._context.emit(Readmitted(readmitted.name, readmitted.count))
        if readmitted.name != self._context.name:
            self._epochs.on_readmit_applied(readmitted)
        elif readmitted.id == self._epochs.current.id and self.status is MemoryStatus.BARRED:
            self.status = MemoryStatus.PROVEN
            self._writer.persist(BarredState(False))
            self._terms.give_up_votes(self._terms.term)
