"""Data types of the agreed log: messages, journal records, and actions that the core asks its shell to do.

All types are frozen. Log indices and terms begin at 1; 0 means "before the first one". ``round`` numbers a
leader's broadcasts; each answer repeats the number of the broadcast that it answers. ``codec`` writes the
fields by position, so their order must not change.
"""

from dataclasses import dataclass
from enum import IntEnum


class EntryKind(IntEnum):
    """Kind of a log entry."""

    NO_OP = 0  # a new leader's first entry
    COMMAND = 1
    VOTERS = 2  # holds the complete new voter set, which is in force once the entry is in the log
    READMIT = 3  # lets a barred member vote again, under the epoch that the entry names


class MemoryStatus(IntEnum):
    """Whether a member's journal is known to hold all that its former processes promised."""

    UNPROVEN = 0  # too few other members have confirmed the journal since the start
    PROVEN = 1
    BARRED = 2  # the journal is empty or lacks reported writes: the member must not vote until readmitted


class Verdict(IntEnum):
    """Result of comparing a member's journal with the state that another member knew of it."""

    SAME = 0
    NEWER = 1
    OLDER = 2  # the same journal, but it lacks writes that it had reported as synced
    OTHER = 3  # a different history: the folder was emptied, or is an older copy that was written to since


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry. ``acked``: the proposer knows the outcome of all its proposals with lower numbers."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    proposer: str = ""
    life: int = 0
    seq: int = 0
    acked: int = 0

    def cost(self) -> int:
        """Return the entry's approximate size in bytes, in memory and on the wire."""
        return len(self.data) + 64


@dataclass(frozen=True, slots=True)
class Epoch:
    """One opening of a journal; ``position``: number of records that the journal held at that time."""

    count: int
    id: str
    position: int


@dataclass(frozen=True, slots=True)
class Mark:
    """A member's journal as known to others: its epoch, and the number of records reported as synced."""

    count: int
    id: str
    position: int


EpochCount = tuple[str, int]  # name of a member, and the count of its newest known epoch


# --- on the wire ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MemoryQuery:
    """Request to compare the sender's journal with the state that the receiver knows of it."""

    epochs: tuple[Epoch, ...]
    empty: bool  # whether the sender found no term, snapshot or entry in its journal at the start


@dataclass(frozen=True, slots=True)
class MemoryReport:
    """Answer to a ``MemoryQuery``, with the end of the sender's own log and the voters in it."""

    epoch: str  # id of the epoch from which the query was sent
    verdict: Verdict
    known_count: int  # count of the receiver's newest epoch that the sender knew before the query; 0 for none
    begun: bool  # whether the sender has a term above 0 or any log entry
    memory: MemoryStatus
    term: int
    last_index: int
    last_term: int
    voters_index: int
    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PreVote:
    """Question whether the receiver would vote for the sender in ``term``."""

    term: int
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class PreVoteReply:
    """Answer to a ``PreVote``. ``term``: the term of the request if granted, else the sender's own term."""

    term: int
    granted: bool


@dataclass(frozen=True, slots=True)
class Vote:
    """Request for a vote. ``transferred``: the leader gave up its lease and chose this candidate."""

    term: int
    last_index: int
    last_term: int
    transferred: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a ``Vote``."""

    term: int
    granted: bool
    mark: Mark
    known_epochs: tuple[EpochCount, ...]


@dataclass(frozen=True, slots=True)
class LeadershipTransfer:
    """Request of a leader that steps down, for the receiver to start an election at once."""

    term: int


@dataclass(frozen=True, slots=True)
class Append:
    """Log entries from the leader; without entries it is a heartbeat.

    ``check_digest`` covers all entries that the leader applied up to ``check_index``, which is 0 if no digest
    is sent. ``mark``: how far the leader's own journal is synced.
    """

    term: int
    round: int
    prev_index: int
    prev_term: int
    commit: int
    mark: Mark
    entries: tuple[Entry, ...] = ()
    check_index: int = 0
    check_digest: bytes = b""


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to an ``Append``.

    ``match``: index up to which the log agrees with the leader's and is synced. ``hint``: after a refusal,
    the index from which the leader should send entries.
    """

    term: int
    round: int
    ok: bool
    match: int
    hint: int
    memory: MemoryStatus
    mark: Mark
    known_epochs: tuple[EpochCount, ...]


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A piece of the leader's snapshot: ``data`` begins at byte ``offset`` of ``size`` bytes in total."""

    term: int
    round: int
    index: int
    offset: int
    size: int
    data: bytes
    snapshot_term: int
    voters_index: int
    voters: tuple[str, ...]
    digest: bytes


@dataclass(frozen=True, slots=True)
class SnapshotChunkReply:
    """Answer to a ``SnapshotChunk``. ``offset``: number of bytes of the snapshot received so far."""

    term: int
    round: int
    index: int
    offset: int
    memory: MemoryStatus
    mark: Mark


@dataclass(frozen=True, slots=True)
class ForwardedProposal:
    """A proposal sent to the leader, and sent again until its outcome is known."""

    proposer: str  # unique name of one start of a node, which numbers its proposals from 1 on
    life: int
    seq: int
    acked: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """Refusal of a forwarded proposal.

    ``full``: the sender leads, but its log has no room or the command is too long; else it does not lead.
    """

    life: int
    seq: int
    full: bool


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Request to the leader for the index that a read must wait for."""

    life: int
    token: int


@dataclass(frozen=True, slots=True)
class ReadIndexReply:
    """Answer to a ``ReadIndexRequest``.

    ``index``: the reader must have applied the log up to it; 0 if the sender does not lead or has too many
    reads waiting.
    """

    life: int
    token: int
    index: int


Message = (
    MemoryQuery
    | MemoryReport
    | PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | LeadershipTransfer
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotChunkReply
    | ForwardedProposal
    | ProposalRejected
    | ReadIndexRequest
    | ReadIndexReply
)


# --- in the journal ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote. ``vote``: empty, a name, or ``?`` if a vote may have been given but is not known."""

    term: int
    vote: str


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """Record of an opening of the journal."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class PeerMark:
    """The newest known mark of another member's journal."""

    peer: str
    mark: Mark


@dataclass(frozen=True, slots=True)
class BarredState:
    """Whether this member is barred."""

    barred: bool


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of all machines and sessions at ``index``, and the term and voters at that index."""

    index: int
    term: int
    voters_index: int
    voters: tuple[str, ...]
    digest: bytes
    data: bytes


# An Entry record replaces all earlier records of entries at its index and after it.
Record = HardState | EpochOpened | PeerMark | BarredState | Snapshot | Entry


# --- actions for the shell -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the records in order, sync, then call ``on_written(number)``; one sync may cover many writes."""

    number: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send the message to a member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply the entry to its machine. ``digest`` covers all entries up to and including this one."""

    entry: Entry
    digest: bytes


@dataclass(frozen=True, slots=True)
class Restore:
    """Set all machines and sessions to the snapshot's state."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """Report that this member began or stopped leading; before each act ``leading`` must still be called."""

    leads: bool
    term: int


@dataclass(frozen=True, slots=True)
class ReadIndexReady:
    """Report that this node's read ``token`` may end once ``index`` is applied; 0 means to retry it."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class Readmitted:
    """Report that a member may vote again, under its epoch with this count."""

    name: str
    count: int


Action = Persist | Send | Apply | Restore | LeadershipChanged | ReadIndexReady | Readmitted
