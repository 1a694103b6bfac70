"""The follower's side of replication: entries, commit and snapshots that the leader sends.

States: the index up to which the log is verified against this term's leader; the received chunks of an
incomplete snapshot. Events: the leader's appends and snapshot chunks, a synced write.

Invariants: a follower accepts an entry only if the entry before it equals the leader's; two logs with an
entry of the same index and term are equal up to it; a follower that applied other entries than its leader
detects that by the digest, and stops taking part.
"""

from dataclasses import dataclass, field

from beechrock.agree.context import EventContext
from beechrock.agree.elections import Elections
from beechrock.agree.epochs import EpochTable
from beechrock.agree.journal_writer import JournalWriter
from beechrock.agree.memory_proof import MemoryProof
from beechrock.agree.messages import Append, AppendReply, Entry, Snapshot, SnapshotChunk, SnapshotChunkReply
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.term_state import TermState


@dataclass(slots=True)
class IncomingSnapshot:
    """Received chunks of a snapshot that the leader of ``term`` sends."""

    term: int = 0
    index: int = 0
    size: int = 0  # bytes received so far
    chunks: list[bytes] = field(default_factory=list)


class Follower:
    """Copies the leader's log to this member, and acknowledges the entries that are synced."""

    def __init__(
        self,
        context: EventContext,
        writer: JournalWriter,
        epochs: EpochTable,
        terms: TermState,
        replicated: ReplicatedLog,
        proof: MemoryProof,
        elections: Elections,
    ) -> None:
        self._context = context
        self._writer = writer
        self._epochs = epochs
        self._terms = terms
        self._replicated = replicated
        self._log = replicated.log
        self._proof = proof
        self._elections = elections
        self._verified_index = 0  # index up to which the log equals that of this term's leader, synced or not
        self._incoming = IncomingSnapshot()

    # --- appends ---------------------------------------------------------------------------------------

    def _accept_leader(self, sender: str, term: int) -> bool:
        """Follow the sender; return False if its term is older than this member's.

        Raises BrokenInvariantError for a second leader of the term.
        """
        if term < self._terms.term:
            return False
        if self._terms.accept_leader(sender, term):
            self._verified_index = self._replicated.commit
        self._elections.on_leader_contact()
        return True

    def _append_reply(self, number: int, ok: bool, hint: int = 0) -> AppendReply:
        return AppendReply(
            self._terms.term,
            number,
            ok,
            min(self._verified_index, self._writer.durable_index()),
            hint,
            self._proof.status,
            self._epochs.own_mark(),
            self._epochs.known_counts(self._replicated.voters.names),
        )

    def on_append(self, sender: str, message: Append) -> None:
        """Write the leader's entries and adopt its commit, or refuse them if the logs differ before."""
        if not self._accept_leader(sender, message.term):
            self._writer.send_after_sync(sender, self._append_reply(message.round, False))
            return
        # A member that has led since its start sends no answers that carry its mark: without this record, an
        # older copy of its folder would later pass as up to date.
        self._epochs.record_mark(sender, message.mark)
        prev = message.prev_index
        entries = message.entries
        if prev < self._log.start:  # this member's snapshot covers some of the entries already
            entries = tuple(entry for entry in entries if entry.index > self._log.start)
            prev = self._log.start
        elif self._log.term_at(prev) != message.prev_term:
            self._refuse(sender, message)
            return
        if entries and entries[0].index != prev + 1:
            return
        self._write_new(entries)
        self._verified_index = max(self._verified_index, prev + len(entries))
        self._replicated.commit_up_to(min(message.commit, self._verified_index))
        if message.check_index:
            self._replicated.compare_digest(message.check_index, message.check_digest)
        self._acknowledge(sender, message.round)

    def _refuse(self, leader: str, message: Append) -> None:
        """Refuse an append, with the index from which the leader should send entries."""
        prev = message.prev_index
        hint = self._log.last + 1 if prev > self._log.last else self._log.first_of_term(prev)
        hint = max(hint, self._replicated.commit + 1)
        self._writer.send_after_sync(leader, self._append_reply(message.round, False, hint))

    def _write_new(self, entries: tuple[Entry, ...]) -> None:
        """Write the entries from the first one on that is missing or differs in this member's log."""
        new = tuple(entry for entry in entries if self._log.term_at(entry.index) != entry.term)
        if new:
            first = new[0].index
            self._replicated.write_entries(tuple(entry for entry in entries if entry.index >= first))

    def _acknowledge(self, leader: str, number: int) -> None:
        """Acknowledge the synced entries; the answer is sent only after the term itself is synced."""
        self._writer.send_after_sync(leader, self._append_reply(number, True))

    def on_durable(self) -> None:
        """Report to the leader that more of this member's log is synced."""
        if self._terms.has_leader_contact:
            self._acknowledge(self._terms.leader, 0)

    # --- snapshots -------------------------------------------------------------------------------------

    def on_chunk(self, sender: str, message: SnapshotChunk) -> None:
        """Store a chunk of the leader's snapshot, and install the snapshot once it is complete."""
        if not self._accept_leader(sender, message.term):
            self._writer.send_after_sync(sender, self._append_reply(message.round, False))
            return
        held = self._add_chunk(message) if message.index > self._replicated.commit else message.size
        reply = SnapshotChunkReply(
            self._terms.term,
            message.round,
            message.index,
            held,
            self._proof.status,
            self._epochs.own_mark(),
        )
        self._writer.send_after_sync(sender, reply)

    def _add_chunk(self, message: SnapshotChunk) -> int:
        """Add the chunk if it is the next one; return how many bytes of the snapshot are received."""
        if (self._incoming.term, self._incoming.index) != (message.term, message.index):
            self._incoming = IncomingSnapshot(message.term, message.index)
        incoming = self._incoming
        if message.offset == incoming.size:
            incoming.chunks.append(message.data)
            incoming.size += len(message.data)
        if incoming.size == message.size:
            snapshot = Snapshot(
                message.index,
                message.snapshot_term,
                message.voters_index,
                message.voters,
                message.digest,
                b"".join(incoming.chunks),
            )
            if self._replicated.install(snapshot):
                self._verified_index = snapshot.index
            self._incoming = IncomingSnapshot()
        return incoming.size
