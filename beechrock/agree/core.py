"""The core of the agreed log: Raft with a proof of memory. Each event returns what to write, send and apply.

Pure. Events: ``tick``, ``receive`` (a message with its sender), ``on_written`` (a write is synced),
``propose``, ``read``, ``change_voters``, ``snapshot`` (the machines' state at an applied index),
``transfer_leadership``. Each takes the time first, in seconds of a clock that does not go back, and returns
actions in the order in which the shell must execute them.

``ConsensusCore`` owns no state of the protocol: it creates the collaborators and passes each event to them in
a fixed order. Suggested reading order: log.py, journal_writer.py (writes before sends), epochs.py,
replicated_log.py (commit), term_state.py, memory_proof.py, elections.py, follower.py, then the leader's
lease.py, read_index.py, replication.py and voter_changes.py. After a BrokenInvariantError the core must not
receive any further event.
"""

from collections.abc import Callable
from typing import Any

from beechrock.agree.context import EventContext
from beechrock.agree.elections import Elections
from beechrock.agree.epochs import EpochTable
from beechrock.agree.follower import Follower
from beechrock.agree.journal import RecoveredState
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.lease import LeaderLease
from beechrock.agree.log import Log
from beechrock.agree.memory_proof import MemoryProof
from beechrock.agree.messages import (
    Action,
    Append,
    AppendReply,
    EntryKind,
    LeadershipTransfer,
    MemoryQuery,
    MemoryReport,
    MemoryStatus,
    Message,
    PreVote,
    PreVoteReply,
    ReadIndexReply,
    ReadIndexRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkReply,
    Vote,
    VoteReply,
)
from beechrock.agree.read_index import ReadIndex
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.replication import Replication
from beechrock.agree.rules import MAX_COMMAND_BYTES, Rules
from beechrock.agree.term_state import Role, TermState
from beechrock.agree.voter_changes import VoterChanges
from beechrock.agree.voters import Voters

KEEP_ENTRIES = 512  # Maximum number of entries kept before a snapshot, for followers that lag a little
KEEP_BYTES_DIVISOR = 16  # The kept entries use at most 1/16 of ``Rules.max_bytes``

Handler = Callable[[str, Any], None]


def _register_listeners(
    replicated: ReplicatedLog,
    terms: TermState,
    proof: MemoryProof,
    elections: Elections,
    replication: Replication,
    reads: ReadIndex,
) -> None:
    """Register each collaborator's listeners with the collaborators whose events they react to."""
    replicated.on_readmission(proof.on_readmission)
    terms.on_step_down(reads.on_step_down)
    proof.on_newer_epoch(replication.on_newer_epoch)
    elections.on_elected(replication.on_elected)


class ConsensusCore:
    """One member of the agreed log.

    ``nodes``: names of all nodes of the fleet; ``initial_voters``: voters as long as the log sets none;
    ``seed``: seed of the random election timeouts; ``opening``: unique name of this start of this member.
    """

    def __init__(
        self,
        name: str,
        nodes: tuple[str, ...],
        initial_voters: tuple[str, ...],
        rules: Rules,
        seed: str,
        recovered: RecoveredState,
        opening: str,
        now_s: float,
    ) -> None:
        context = EventContext(name, nodes, rules, now_s)
        log = Log(recovered.snapshot, recovered.entries)
        writer = JournalWriter(context, log, recovered.position)
        epochs = EpochTable(context, writer, recovered, opening)
        replicated = ReplicatedLog(context, log, writer, epochs, initial_voters)
        epochs.open(1)
        terms = TermState(context, writer, recovered.term, recovered.vote)
        proof = MemoryProof(context, writer, epochs, terms, replicated, recovered)
        elections = Elections(context, writer, epochs, terms, replicated, proof, seed)
        lease = LeaderLease(context, terms, replicated)
        reads = ReadIndex(context, epochs, terms, replicated, lease)
        replication = Replication(context, writer, epochs, terms, replicated, proof, lease, reads)
        self.context = context
        self.log = log
        self.writer = writer
        self.epochs = epochs
        self.replicated = replicated
        self.terms = terms
        self.proof = proof
        self.elections = elections
        self.lease = lease
        self.replication = replication
        self._reads = reads
        self._follower = Follower(context, writer, epochs, terms, replicated, proof, elections)
        self._voter_changes = VoterChanges(context, terms, replicated, lease, replication)
        self.keep_entries = min(KEEP_ENTRIES, rules.snapshot_each // 2)
        self._handlers = self._message_handlers()
        _register_listeners(replicated, terms, proof, elections, replication, reads)
        proof.evaluate_reports()

    def _message_handlers(self) -> dict[type[Any], Handler]:
        """Return the handler of each message type; the shell handles messages about proposals itself."""
        return {
            MemoryQuery: self.proof.on_query,
            MemoryReport: self.proof.on_report,
            PreVote: self.elections.on_pre_vote,
            PreVoteReply: self.elections.on_pre_vote_reply,
            Vote: self.elections.on_vote,
            VoteReply: self.elections.on_vote_reply,
            LeadershipTransfer: self.elections.on_leadership_transfer,
            Append: self._follower.on_append,
            AppendReply: self.replication.on_append_reply,
            SnapshotChunk: self._follower.on_chunk,
            SnapshotChunkReply: self.replication.on_chunk_reply,
            ReadIndexRequest: self._on_read_request,
            ReadIndexReply: self._reads.on_reply,
        }

    def drain_actions(self) -> list[Action]:
        """Return the actions added since the last call, and clear them."""
        return self.context.drain_actions()

    # --- state for the shell ---------------------------------------------------------------------------

    @property
    def term(self) -> int:
        """The newest term that this member knows."""
        return self.terms.term

    @property
    def role(self) -> Role:
        """Role of this member in its term."""
        return self.terms.role

    @property
    def leader(self) -> str:
        """Name of the term's leader, or empty if none is known."""
        return self.terms.leader

    @property
    def memory(self) -> MemoryStatus:
        """Whether this member's journal is known to hold all that its former processes promised."""
        return self.proof.status

    @property
    def voters(self) -> Voters:
        """The voters in force."""
        return self.replicated.voters

    @property
    def commit(self) -> int:
        """The index up to which the log is known to be committed."""
        return self.replicated.commit

    @property
    def applied(self) -> int:
        """The index up to which entries were handed to the shell by ``Apply`` or ``Restore``."""
        return self.replicated.applied

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and has committed an entry of its term, so knows all earlier commits."""
        return self.lease.has_committed_in_term

    def leading(self, now_s: float) -> bool:
        """Return whether this member holds a valid lease; must be called before each act."""
        return self.lease.holds(now_s)

    # --- events ----------------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[Action]:
        """Advance the time and do all due work; must be called every ``rules.tick_s`` seconds."""
        self.context.set_time(now_s)
        self.lease.tick(now_s)
        self.proof.tick(self.elections.leader_contact_s)
        if self.terms.role is Role.LEADER:
            self._tick_leader()
        self.elections.tick()
        return self.context.drain_actions()

    def _tick_leader(self) -> None:
        # Without this check a leader that is partitioned from its quorum would accept proposals for as long
        # as the partition lasts, and report none as failed.
        if self.lease.lost_quorum():
            self.terms.follow(self.terms.term, "")
            self.elections.reset_timeout()
        elif self.context.name not in self.voters and self.voters.index <= self.commit:
            self.terms.follow(self.terms.term, "")  # step down: the removal of this voter is committed
        else:
            self.replication.tick()

    def on_written(self, now_s: float, number: int) -> list[Action]:
        """Handle that all writes up to ``number`` are synced."""
        self.context.advance(now_s)
        previous = self.writer.durable_index()
        self.writer.on_synced(number)
        if self.terms.role is Role.CANDIDATE:
            self.elections.count_votes()
        elif self.terms.role is Role.LEADER:
            self.replication.advance_commit()
        elif self.writer.durable_index() > previous:
            self._follower.on_durable()
        self.replication.broadcast_new_commit()
        return self.context.drain_actions()

    def receive(self, now_s: float, sender: str, message: Message) -> list[Action]:
        """Handle a message; messages about proposals are ignored, as the shell handles them."""
        self.context.advance(now_s)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)
        self.replication.broadcast_new_commit()
        return self.context.drain_actions()

    def propose(self, now_s: float, command: bytes, proposer: str, life: int, seq: int, acked: int) -> int:
        """Append a command; return the entry's index, or 0 if it is refused.

        It is refused if this member does not lead, the command is too long or the log has no room. The caller
        must then call ``drain_actions``, and ``flush`` after one or more proposals.
        """
        self.context.advance(now_s)
        if self.terms.role is not Role.LEADER or len(command) > MAX_COMMAND_BYTES:
            return 0
        if self.log.bytes + len(command) > self.context.rules.max_bytes:
            return 0
        return self.replication.append_own(EntryKind.COMMAND, command, proposer, life, seq, acked)

    def flush(self, now_s: float) -> list[Action]:
        """Send all proposals appended since the last round in a single round."""
        self.context.advance(now_s)
        if self.terms.role is Role.LEADER:
            self.replication.broadcast()
        return self.context.drain_actions()

    def read(self, now_s: float, token: int) -> list[Action]:
        """Begin a read, answered by ``ReadIndexReady``; the caller retries if that fails or does not come."""
        self.context.advance(now_s)
        if self._reads.read(token):
            self.replication.broadcast()
        return self.context.drain_actions()

    def _on_read_request(self, sender: str, message: ReadIndexRequest) -> None:
        if self._reads.on_request(sender, message):
            self.replication.broadcast()

    def snapshot(self, now_s: float, index: int, digest: bytes, data: bytes) -> Snapshot:
        """Return a snapshot with the machines' ``data`` at an applied index, and compact the log behind it.

        The shell must then write the whole state to the journal.
        """
        self.context.advance(now_s)
        snapshot = self.replicated.make_snapshot(index, digest, data)
        self.log.compact(snapshot, self.keep_entries, self.context.rules.max_bytes // KEEP_BYTES_DIVISOR)
        return snapshot

    def change_voters(self, now_s: float, add: str = "", remove: str = "") -> list[Action]:
        """Add or remove one voter, with effect once it is in the log. Raises VotersError for a refusal."""
        self.context.advance(now_s)
        self._voter_changes.change(add, remove)
        return self.context.drain_actions()

    def transfer_leadership(self, now_s: float) -> list[Action]:
        """Give up the lease, and ask the most up-to-date voter to take over if a voter is ready."""
        self.context.advance(now_s)
        if self.terms.role is Role.LEADER:
            successor = self.replication.most_advanced_voter()
            self.terms.follow(self.terms.term, "")
            if successor:
                self.context.send(successor, LeadershipTransfer(self.terms.term))
        return self.context.drain_actions()

    def leave(self, now_s: float) -> list[Action]:
        """Transfer the leadership, and never start an election again."""
        self.elections.leave()
        return self.transfer_leadership(now_s)

    def trust(self) -> list[Action]:
        """Treat this member's memory as proven, because an operator vouches for its folder."""
        self.proof.trust()
        return self.context.drain_actions()
