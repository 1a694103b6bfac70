"""The leader's side of replication: appends, acknowledgements, commit, readmission.

States: the progress of each follower, as the leader knows it (progress.py). Events: an election won, ticks
and new entries (each begins a broadcast), answers, a newer epoch of a member, a synced write.

Invariants: a leader only appends to its own log; it commits by counting acknowledgements of proven voters for
synced entries of its own term. The leader sends a digest of all applied entries with each append; a follower
that applied different entries finds that out and stops taking part (follower.py).
"""

from beechrock.agree.context import EventContext
from beechrock.agree.epochs import EpochTable, ReadmittedEpoch
from beechrock.agree.errors import BrokenInvariantError
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.lease import LeaderLease
from beechrock.agree.memory_proof import MemoryProof
from beechrock.agree.messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    MemoryStatus,
    SnapshotChunk,
    SnapshotChunkReply,
)
from beechrock.agree.progress import NO_SNAPSHOT, Progress
from beechrock.agree.read_index import ReadIndex
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.rules import CHUNK_BYTES, Guard
from beechrock.agree.term_state import Role, TermState

READMIT_WINDOW = 256  # Number of newest entries searched for an equal READMIT before one is appended


class Replication:
    """Replication from this member to all other nodes while it leads."""

    def __init__(
        self,
        context: EventContext,
        writer: JournalWriter,
        epochs: EpochTable,
        terms: TermState,
        replicated: ReplicatedLog,
        proof: MemoryProof,
        lease: LeaderLease,
        reads: ReadIndex,
    ) -> None:
        self._context = context
        self._rules = context.rules
        self._writer = writer
        self._epochs = epochs
        self._terms = terms
        self._replicated = replicated
        self._log = replicated.log
        self._proof = proof
        self._lease = lease
        self._reads = reads
        self.peers: dict[str, Progress] = {}  # keyed by node; of the term that this member leads or last led
        self._broadcast_s = float("-inf")  # start of the newest round, in seconds
        self._broadcast_commit = 0  # commit index sent in the newest round

    # --- appends ---------------------------------------------------------------------------------------

    def on_elected(self) -> None:
        """Begin to lead: append the term's first entry and send it."""
        self._lease.start_term()
        self.peers = {name: Progress(self._log.last + 1) for name in self._context.others}
        self.append_own(EntryKind.NO_OP)
        self.broadcast()

    def append_own(
        self,
        kind: EntryKind,
        data: bytes = b"",
        proposer: str = "",
        life: int = 0,
        seq: int = 0,
        acked: int = 0,
    ) -> int:
        """Append an entry of the current term to this leader's log; return its index."""
        entry = Entry(self._log.last + 1, self._terms.term, kind, data, proposer, life, seq, acked)
        self._replicated.write_entries((entry,))
        return entry.index

    def broadcast(self) -> None:
        """Begin a round: send each other node the entries that it lacks, or a heartbeat."""
        self._broadcast_s = self._context.now_s
        self._broadcast_commit = self._replicated.commit
        number = self._lease.start_round()
        for name in self._context.others:
            self._replicate(name, number)
        self.advance_commit()

    def tick(self) -> None:
        """Begin a round if a heartbeat is due."""
        if self._context.now_s >= self._broadcast_s + self._rules.heartbeat_s:
            self.broadcast()

    def broadcast_new_commit(self) -> None:
        """Begin a round if the commit index has grown since the newest one.

        Without it, a follower that proposed an entry would learn of its commit only by the next heartbeat.
        """
        if self._terms.role is Role.LEADER and self._replicated.commit > self._broadcast_commit:
            self.broadcast()

    def _replicate(self, name: str, number: int) -> None:
        peer = self.peers[name]
        prev_term = self._log.term_at(peer.next - 1)
        if prev_term is None:
            self._send_chunk(name, peer, number)
            return
        entries = self._sendable(peer.next) if peer.may_send else ()
        check = self._replicated.newest_digest()
        append = Append(
            self._terms.term,
            number,
            peer.next - 1,
            prev_term,
            self._replicated.commit,
            self._epochs.own_mark(),
            entries,
            check.index,
            check.digest,
        )
        self._context.send(name, append)
        peer.next += len(entries)

    def _sendable(self, first: int) -> tuple[Entry, ...]:
        """Return the entries to send from ``first`` on; a lone voter sends only synced ones.

        So a node whose log is longer than a restarted lone voter's proves that the voter's disk lost synced
        writes (memory_proof.py).
        """
        entries = self._log.batch(first)
        if self._replicated.voters.names != (self._context.name,):
            return entries
        durable = self._writer.durable_index()
        return tuple(entry for entry in entries if entry.index <= durable)

    def _send_chunk(self, name: str, peer: Progress, number: int) -> None:
        """Send the next chunk of the snapshot, as the log no longer holds the entries that the node lacks."""
        snapshot = self._log.snapshot
        if snapshot is None:
            raise BrokenInvariantError(
                f"entry {peer.next - 1} for {name} is neither in the log nor in a snapshot",
                where=f"agreed log of {self._context.name}",
            )
        if peer.snapshot_index != snapshot.index or peer.snapshot_offset < 0:
            peer.snapshot_index = snapshot.index
            peer.snapshot_offset = 0
        chunk = SnapshotChunk(
            self._terms.term,
            number,
            snapshot.index,
            peer.snapshot_offset,
            len(snapshot.data),
            snapshot.data[peer.snapshot_offset : peer.snapshot_offset + CHUNK_BYTES],
            snapshot.term,
            snapshot.voters_index,
            snapshot.voters,
            snapshot.digest,
        )
        self._context.send(name, chunk)

    # --- answers ---------------------------------------------------------------------------------------

    def _accept_answer(self, sender: str, message: AppendReply | SnapshotChunkReply) -> Progress | None:
        """Update the sender's progress from an answer; return None if it does not count in this term."""
        terms = self._terms
        if message.term > terms.term:
            terms.follow(message.term, "")
        if terms.role is not Role.LEADER or message.term != terms.term or sender not in self.peers:
            return None
        peer = self.peers[sender]
        count = message.mark.count
        former = count < peer.epoch_count and self._rules.on(Guard.OLD_EPOCH)
        if former or not self._epochs.is_current(sender, count):
            return None  # a late answer of a former process: the new process's journal may differ
        if count > peer.epoch_count:
            if peer.epoch_count:
                peer.restart()
            peer.epoch_count = count
            self._lease.forget(sender)
        peer.mark = message.mark
        peer.memory = message.memory
        peer.answered_s = self._context.now_s
        if self._counts_for_quorum(peer):
            self._epochs.record_mark(sender, message.mark)
            self._lease.record_answer(sender, message.round)
        return peer

    def _counts_for_quorum(self, peer: Progress) -> bool:
        return peer.memory is MemoryStatus.PROVEN or not self._rules.on(Guard.OLD_DISK)

    def on_append_reply(self, sender: str, message: AppendReply) -> None:
        """Handle an acknowledgement or a refusal of an append."""
        for name, count in message.known_epochs:
            if name in self.peers:
                self.on_newer_epoch(name, count)
        peer = self._accept_answer(sender, message)
        if peer is None:
            return
        if message.ok:
            peer.snapshot_offset = NO_SNAPSHOT
            peer.acknowledge(message.match)
            if peer.next <= self._log.last and peer.may_send:
                self._replicate(sender, self._lease.round_number)
        # Resend only if ``next`` moved back: the same append would be refused again, and so on without end.
        elif peer.reject(message.hint):
            self._replicate(sender, self._lease.round_number)
        self.advance_commit()
        self._readmit(sender, peer)

    def on_chunk_reply(self, sender: str, message: SnapshotChunkReply) -> None:
        """Send the next chunk of the snapshot, or the entries after it once it is complete."""
        peer = self._accept_answer(sender, message)
        snapshot = self._log.snapshot
        if peer is None or snapshot is None:
            return
        if message.index != snapshot.index or peer.snapshot_index != snapshot.index:
            return
        peer.snapshot_offset = message.offset
        if message.offset >= len(snapshot.data):
            peer.snapshot_offset = NO_SNAPSHOT
            peer.next = max(peer.next, snapshot.index + 1)
        self._replicate(sender, self._lease.round_number)

    def on_newer_epoch(self, name: str, count: int) -> None:
        """Drop votes and acknowledgements of the member's former process, as a newer epoch is known."""
        if self._terms.role is Role.CANDIDATE:
            self._epochs.record_reported_count(name, count)
        elif self._terms.role is Role.LEADER and name in self.peers and self._rules.on(Guard.OLD_EPOCH):
            peer = self.peers[name]
            if peer.epoch_count < count:
                if peer.epoch_count:
                    peer.restart()
                    self._lease.forget(name)
                peer.epoch_count = count
                self._epochs.record_reported_count(name, count)

    def _readmit(self, name: str, peer: Progress) -> None:
        """Append an entry that lets a barred member vote again, once it has caught up with the commit."""
        if (
            peer.memory is not MemoryStatus.BARRED
            or peer.mark is None
            or peer.match < self._replicated.commit
            or not self._lease.has_committed_in_term
        ):
            return
        data = ReadmittedEpoch(name, peer.mark.count, peer.mark.id).pack()
        newest = self._log.entries[-READMIT_WINDOW:]
        if not any(entry.kind is EntryKind.READMIT and entry.data == data for entry in newest):
            self.append_own(EntryKind.READMIT, data)
            self.broadcast()

    # --- commit ----------------------------------------------------------------------------------------

    def _durable_match(self, name: str) -> int:
        """Return the index up to which the member's log agrees and is synced; 0 if its memory is unproven."""
        if name == self._context.name:
            return self._writer.durable_index() if self._proof.may_vote else 0
        peer = self.peers[name]
        return peer.match if self._counts_for_quorum(peer) else 0

    def advance_commit(self) -> None:
        """Commit the entries that a majority of voters has synced; answer reads whose round is complete."""
        if self._terms.role is not Role.LEADER:
            return
        voters = self._replicated.voters
        matches = sorted((self._durable_match(name) for name in voters.names), reverse=True)
        index = matches[voters.quorum - 1]
        own_term = self._log.term_at(index) == self._terms.term or not self._rules.on(Guard.OWN_TERM)
        if index > self._replicated.commit and own_term:
            self._replicated.commit_up_to(index)
        self._reads.answer_complete()

    def most_advanced_voter(self) -> str:
        """Return the proven voter with the highest match that answered within a lease; empty if none did."""
        ready = [
            (peer.match, name)
            for name, peer in self.peers.items()
            if name in self._replicated.voters
            and peer.memory is MemoryStatus.PROVEN
            and peer.answered_s > self._context.now_s - self._rules.lease_s
        ]
        return max(ready)[1] if ready else ""
