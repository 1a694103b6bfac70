"""Times and bounds of the agreed log, and the names of its guards (safety rules that tests can disable).

Times are in seconds of a monotonic clock; sizes are in bytes.
"""

from dataclasses import dataclass
from enum import StrEnum

DRIFT = 0.05  # Largest difference of two clocks over one lease, as a share of its length (docs/fleet.md)
MAX_APPEND_ENTRIES = 64  # Maximum number of entries in one Append message
MAX_APPEND_BYTES = 256 * 1024  # Bytes of entries in one Append: a quarter of the transport's message limit
MAX_COMMAND_BYTES = 128 * 1024  # Maximum size of one command
CHUNK_BYTES = 256 * 1024  # Bytes of a snapshot per SnapshotChunk message
MAX_UNACKNOWLEDGED = 1024  # Number of unacknowledged entries at which a follower is sent no further ones
MAX_OPEN_PROPOSALS = 1024  # Length of the window of a proposer's numbers, from its oldest unsettled one on
MAX_READS = 4096  # Maximum number of reads that wait at the leader for a quorum's answers
MAX_SESSIONS = 4096  # Maximum sessions, one per start of a node; the least recently used is dropped
MAX_VOTERS = 7  # Each further voter adds a disk sync that commits may have to wait for
MAX_EPOCHS = 8  # Number of newest openings of its own journal that each member keeps and sends


class Guard(StrEnum):
    """Safety rules. Only tests and the benchmark disable one, to show that a check then fails."""

    PRE_VOTE = "pre-vote"  # a member needs a majority of pre-votes before it raises its term
    CHECK_QUORUM = "check-quorum"  # a leader without answers from a quorum steps down
    SYNC_FIRST = "sync-first"  # a vote or an append is answered only after it is synced to disk
    LEASE_END = "lease-end"  # an expired lease gives no right to act
    LEASE_GAP = "lease-gap"  # a lease earned before a gap between two ticks gives no right
    LEASE_PROMISE = "lease-promise"  # a follower with a live leader votes for no other member
    OWN_TERM = "own-term"  # a leader commits by counting acknowledgements only in its own term
    SINGLE_CHANGE = "one-change"  # at most one change of voters is uncommitted at a time
    OLD_DISK = "old-disk"  # a member does not vote before its memory is proved
    OLD_EPOCH = "old-epoch"  # grants of a member's former process do not count after its restart is known
    DEDUP = "dedup"  # a proposal that is sent twice is applied once
    READ_ROUND = "read-round"  # a read is answered only after a quorum answered a round begun after it
    LOG_UP_TO_DATE = "log-up-to-date"  # no vote for a candidate whose log is behind the voter's


@dataclass(frozen=True, slots=True)
class Rules:
    """Times and bounds that an operator may set, and the guards that a test disables."""

    lease_s: float = 1.0  # seconds after a leader's message in which a follower votes for no other member
    tick_s: float = 0.05  # seconds between two ticks
    strict: bool = False  # whether a memory proof always needs the full proof quorum, however long it waits
    max_bytes: int = 64 * 1024 * 1024  # bytes of log entries in memory at which proposals are refused
    snapshot_each: int = 20_000  # applied entries between two snapshots
    without: frozenset[Guard] = frozenset()  # disabled guards

    @property
    def heartbeat_s(self) -> float:
        """Seconds between two heartbeats."""
        return self.lease_s / 5

    @property
    def proof_wait_s(self) -> float:
        """Seconds after which reports of a majority prove this member's memory, unless ``strict``."""
        return 2 * self.lease_s

    def on(self, guard: Guard) -> bool:
        """Return whether the guard is enabled."""
        return guard not in self.without
