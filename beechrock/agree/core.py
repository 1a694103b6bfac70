"""The core of the agreed log, Raft with a proof of memory: each event gives what to write, send and apply.

Pure. Events: ``tick``, ``receive`` (a message with its sender), ``on_written`` (a write is synced),
``propose``, ``read``, ``change_voters``, ``snapshot`` (the machines' state at an applied index),
``transfer_leadership``. Each takes the time first, in seconds of a clock that does not go back, and returns
actions in the order in which the shell executes them.

Where what stands: durable_state.py (term, order of writes and sends), memory_proof.py, elections.py,
follower.py and replication.py (log, commit, lease). After a BrokenInvariantError no further event may be
given to it.
"""

from collections.abc import Callable
from typing import Any

from beechrock.agree.durable_state import ReadKey, Role
from beechrock.agree.errors import VotersError
from beechrock.agree.journal import RecoveredState
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
    ReadIndexReady,
    ReadIndexReply,
    ReadIndexRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkReply,
    Vote,
    VoteReply,
)
from beechrock.agree.replication import MAX_PAUSE_LEASES, Replication
from beechrock.agree.rules import MAX_COMMAND_BYTES, MAX_READS, MAX_VOTERS, Guard, Rules
from beechrock.agree.voters import pack

KEEP_ENTRIES = 512  # behind a snapshot, for followers that are a little late
KEEP_BYTES_PART = 16  # of the bound on memory: those entries cost no more than this part of it
OWN_LIFE = 0  # of a read that this process itself asks


class ConsensusCore(Replication):
    """One member; ``nodes``: all of the fleet, ``initial_voters``: of the first start."""

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
        super().__init__(name, nodes, initial_voters, rules, seed, recovered, opening, now_s)
        self.keep_entries = min(KEEP_ENTRIES, rules.snapshot_each // 2)
        self.init_proof()
        self.init_elections()
        self.init_replication()
        self.evaluate_reports()

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, and forget them."""
        actions, self.actions = self.actions, []
        return actions

    # --- events ----------------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[Action]:
        """Advance the time; to be called each ``rules.tick_s``."""
        paused = now_s - self.last_tick_s > MAX_PAUSE_LEASES * self.rules.lease_s
        self.now_s = self.last_tick_s = now_s
        if paused and self.role is Role.LEADER:
            self.min_lease_round = self.rounds.number + 1
        self.tick_proof()
        if self.role is Role.LEADER:
            self._tick_leader()
        self.tick_election()
        return self.take_actions()

    def _tick_leader(self) -> None:
        since_s = max(self.lease_end_s(), self.elected_s + self.rules.lease_s)
        # Without it a leader that is cut off accepted proposals for as long as the cut lasted, and reported
        # none as failed.
        if self.now_s > since_s + self.rules.lease_s and self.rules.on(Guard.CHECK_QUORUM):
            self.follow(self.term, "")
            self.reset_election_timeout()
            return
        if self.name not in self.voters and self.voters.index <= self.commit:
            self.follow(self.term, "")  # its own removal is committed
            return
        if self.now_s >= self.broadcast_s + self.rules.heartbeat_s:
            self.broadcast()

    def on_written(self, now_s: float, number: int) -> list[Action]:
        """Take note that all writes up to ``number`` are synced."""
        self.now_s = max(self.now_s, now_s)
        previous = self.durable_index()
        self.on_synced(number)
        if self.role is Role.CANDIDATE:
            self.count_votes()
        elif self.role is Role.LEADER:
            self.advance_commit()
        elif self.leader and self.durable_index() > previous and self.term_leader.term == self.term:
            self.acknowledge(self.leader, 0)
        self.broadcast_new_commit()
        return self.take_actions()

    def receive(self, now_s: float, sender: str, message: Message) -> list[Action]:
        """Take a message in; proposals are the shell's, and are passed over."""
        self.now_s = max(self.now_s, now_s)
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, sender, message)
        self.broadcast_new_commit()
        return self.take_actions()

    # --- proposals -------------------------------------------------------------------------------------

    def propose(self, now_s: float, command: bytes, proposer: str, life: int, seq: int, acked: int) -> int:
        """Return the entry's index, or 0 where it is refused: not the leader, too long, no room.

        To be followed by ``take_actions``, and by ``flush`` after some of them.
        """
        self.now_s = max(self.now_s, now_s)
        if self.role is not Role.LEADER or len(command) > MAX_COMMAND_BYTES:
            return 0
        if self.log.bytes + len(command) > self.rules.max_bytes:
            return 0
        return self.append_own(EntryKind.COMMAND, command, proposer, life, seq, acked)

    def flush(self, now_s: float) -> list[Action]:
        """Send the newest proposals to all, without a round for each."""
        self.now_s = max(self.now_s, now_s)
        if self.role is Role.LEADER:
            self.broadcast()
        return self.take_actions()

    # --- reads -----------------------------------------------------------------------------------------

    def read(self, now_s: float, token: int) -> list[Action]:
        """Begin a read, answered by ``ReadIndexReady``; to be repeated where that fails or does not come."""
        self.now_s = max(self.now_s, now_s)
        if self.role is Role.LEADER:
            self._queue_read(ReadKey(self.name, OWN_LIFE, token))
        elif self.leader:
            self.send(self.leader, ReadIndexRequest(self.epoch.count, token))
        else:
            self.actions.append(ReadIndexReady(token, 0))
        return self.take_actions()

    def on_read_request(self, sender: str, message: ReadIndexRequest) -> None:
        """Queue a follower's read, or refuse it."""
        if self.role is not Role.LEADER or len(self.reads) >= MAX_READS:
            self.send(sender, ReadIndexReply(message.life, message.token, 0))
        else:
            self._queue_read(ReadKey(sender, message.life, message.token))

    def _queue_read(self, read: ReadKey) -> None:
        """Let the read wait for a round that begins after it.

        An answer to an older one says nothing of what came since.
        """
        if len(self.reads) >= MAX_READS:
            self.actions.append(ReadIndexReady(read.token, 0))
            return
        self.reads[read] = self.rounds.number + 1
        self.broadcast()

    def on_read_reply(self, sender: str, message: ReadIndexReply) -> None:
        """Answer the own read, unless it was one of the process before."""
        if message.life == self.epoch.count:
            self.actions.append(ReadIndexReady(message.token, message.index))

    # --- snapshots, voters, leaving --------------------------------------------------------------------

    def snapshot(self, now_s: float, index: int, digest: bytes, data: bytes) -> Snapshot:
        """Make a snapshot of the machines' ``data`` at an applied index, and drop the log before it.

        The shell then writes the whole state.
        """
        self.now_s = max(self.now_s, now_s)
        snapshot = self.make_snapshot(index, digest, data)
        self.log.compact(snapshot, self.keep_entries, self.rules.max_bytes // KEEP_BYTES_PART)
        return snapshot

    def change_voters(self, now_s: float, add: str = "", remove: str = "") -> list[Action]:
        """Add or remove one voter; in force when it is written. Raises VotersError where it is refused."""
        self.now_s = max(self.now_s, now_s)
        where = f"voters of the agreed log, at {self.name}"
        self._check_may_change(add, remove, where)
        if add:
            self._check_addition(add, where)
        else:
            self._check_removal(remove, where)
        names = tuple(sorted({*self.voters.names, add} - {"", remove}))
        self.append_own(EntryKind.VOTERS, pack(names))
        self.broadcast()
        return self.take_actions()

    def _check_may_change(self, add: str, remove: str, where: str) -> None:
        if self.role is not Role.LEADER or not self.settled_term:
            raise VotersError("not the leader", where=where, do=f"ask {self.leader or 'again in a second'}")
        if bool(add) == bool(remove):
            raise VotersError(
                "one name comes or goes at a time", where=where, wanted="add=NAME or remove=NAME"
            )
        # Two open changes could have majorities that do not meet.
        if self.voters.index > self.commit and self.rules.on(Guard.ONE_CHANGE):
            raise VotersError(
                "the change before is not committed yet", where=where, do="ask again in a second"
            )

    def _check_addition(self, add: str, where: str) -> None:
        names = self.voters.names
        peer = self.peers.get(add)
        if add in names or peer is None or len(names) >= MAX_VOTERS:
            raise VotersError(
                f"{add} cannot be added to {', '.join(names)}",
                where=where,
                wanted=f"a node of the fleet that is none of them, at most {MAX_VOTERS} in all",
            )
        late = peer.memory is not MemoryStatus.PROVEN or peer.match < self.commit
        if late and self.rules.on(Guard.OLD_DISK):
            raise VotersError(
                f"{add} has not caught up or is not proved", where=where, do="wait, then ask again"
            )

    def _check_removal(self, remove: str, where: str) -> None:
        names = self.voters.names
        if remove not in names or len(names) == 1:
            raise VotersError(
                f"{remove} cannot be removed from {', '.join(names)}",
                where=where,
                wanted="one of them, and not the last",
            )

    def transfer_leadership(self, now_s: float) -> list[Action]:
        """Give up the lease, and have the voter that is furthest stand at once; none where none is ready."""
        self.now_s = max(self.now_s, now_s)
        if self.role is Role.LEADER:
            ready = [
                (peer.match, name)
                for name, peer in self.peers.items()
                if name in self.voters
                and peer.memory is MemoryStatus.PROVEN
                and peer.answered_s > self.now_s - self.rules.lease_s
            ]
            self.follow(self.term, "")
            if ready:
                _, name = max(ready)
                self.send(name, LeadershipTransfer(self.term))
        return self.take_actions()


HANDLERS: dict[type[Any], Callable[[ConsensusCore, str, Any], None]] = {
    MemoryQuery: ConsensusCore.on_memory_query,
    MemoryReport: ConsensusCore.on_memory_report,
    PreVote: ConsensusCore.on_pre_vote,
    PreVoteReply: ConsensusCore.on_pre_vote_reply,
    Vote: ConsensusCore.on_vote,
    VoteReply: ConsensusCore.on_vote_reply,
    LeadershipTransfer: ConsensusCore.on_leadership_transfer,
    Append: ConsensusCore.on_append,
    AppendReply: ConsensusCore.on_append_reply,
    SnapshotChunk: ConsensusCore.on_chunk,
    SnapshotChunkReply: ConsensusCore.on_chunk_reply,
    ReadIndexRequest: ConsensusCore.on_read_request,
    ReadIndexReply: ConsensusCore.on_read_reply,
}
