"""State machine of a node that catches up after a start: what it lacks, how it gets it, and what it may do
meanwhile. Pure.

States: AWAY (no peer has judged this node's store yet), TAIL (a peer sends the changes that this node has
not acknowledged), SNAPSHOT (the store is older than known, another one's or lacks many records: a full copy
is taken by ranges of key hashes, from ``cursor`` on, which is kept on disk), REPAIR (digests are compared
with the others'), WHOLE.
Events: ``on_verdict`` (a peer's verdict on this node's store), ``outdated``, ``piece``, ``next_giver``
(time), ``repaired`` (a repair round with a peer has ended, and all that the peer had is here).
Transitions: AWAY to TAIL, SNAPSHOT or REPAIR; TAIL to REPAIR or SNAPSHOT; SNAPSHOT to REPAIR; REPAIR to
WHOLE; any state to SNAPSHOT when a peer finds the store older or outdated. Otherwise WHOLE lasts until the
process ends.

Invariants: after a loss of memory, a node becomes WHOLE only after repair against so many peers that they
meet every majority which it was ever part of; otherwise after repair against enough peers to form a majority
with itself. ``cursor`` never decreases within one copy. A node spends nothing in AWAY and SNAPSHOT, and
counts for a majority only in WHOLE.
"""

from dataclasses import dataclass, field
from enum import Enum

from beechrock.replica.errors import BrokenInvariantError
from beechrock.replica.sums import RANGES
from beechrock.store.witness import Verdict

# If a peer holds more than this many records beyond ours, a full copy is taken before digests are compared.
COPY_THRESHOLD = 4096
SILENT_S = 3.0  # Seconds without a piece after which another peer is asked.


class Stage(Enum):
    AWAY = "away"
    TAIL = "tail"
    SNAPSHOT = "snapshot"
    REPAIR = "repair"
    WHOLE = "whole"


@dataclass(slots=True)
class Catchup:
    """The state machine of one node."""

    nodes: int  # Number of nodes in the fleet, this one included.
    cursor: int = RANGES  # First range still to be copied; RANGES if no copy is in progress. Kept on disk.
    forgot: bool = False  # Whether the store was empty or found older: repair then needs more peers.
    stage: Stage = Stage.AWAY
    # Number of times in this life that the node began with a loss of memory or set its causal records aside.
    resets: int = 0
    giver: str = ""  # Peer that is asked for the next piece of the copy.
    giver_active_s: float = 0.0  # Time of the giver's last piece, or of its choice, in monotonic seconds.
    repaired_by: set[str] = field(default_factory=set)  # Peers whose repair round has ended.
    history: list[Stage] = field(default_factory=lambda: [Stage.AWAY])  # The last 32 stages, in order.

    def __post_init__(self) -> None:
        self.resets = int(self.forgot)

    @property
    def majority(self) -> int:
        return self.nodes // 2 + 1

    @property
    def need(self) -> int:
        """Number of other nodes to be repaired against before this node is whole."""
        return self.nodes - self.majority + 1 if self.forgot and self.nodes > 1 else self.majority - 1

    # --- permissions of the current stage

    @property
    def may_spend(self) -> bool:
        return self.stage not in (Stage.AWAY, Stage.SNAPSHOT)

    @property
    def whole(self) -> bool:
        """Whether this node is whole, so that its acknowledgements count for a majority."""
        return self.stage is Stage.WHOLE

    # --- events

    def on_verdict(self, now: float, peer: str, verdict: Verdict, tail: bool, surplus: int) -> bool:
        """Process a peer's verdict on this node's store. ``tail``: the peer knows which changes
        this node lacks. ``surplus``: how many records the peer holds beyond ours. Return whether all causal
        records have to be set aside."""
        if verdict in (Verdict.OLDER, Verdict.OTHER) and not self.forgot:
            return self.outdated(now, peer)
        if self.cursor < RANGES and self.stage is not Stage.SNAPSHOT:
            self._enter(Stage.SNAPSHOT)  # An interrupted copy continues at its cursor.
            self.giver, self.giver_active_s = peer, now
        elif self.stage in (Stage.AWAY, Stage.TAIL) and surplus > COPY_THRESHOLD:
            self._start_copy(now, peer)
        elif self.stage is Stage.AWAY:
            self._enter(Stage.TAIL if tail and not self.forgot else Stage.REPAIR)
        return False

    def outdated(self, now: float, peer: str) -> bool:
        """Start a full copy, because a peer dropped tombstones that this node never received: records held
        here may have been deleted. Return whether all causal records have to be set aside."""
        if self.stage is Stage.SNAPSHOT:
            return False
        self.forgot, self.resets = True, self.resets + 1
        self._start_copy(now, peer)
        return True

    def _start_copy(self, now: float, giver: str) -> None:
        self.repaired_by.clear()
        self.cursor, self.giver, self.giver_active_s = 0, giver, now
        self._enter(Stage.SNAPSHOT)

    def piece(self, now: float, peer: str, start: int, after: int) -> bool:
        """Advance the cursor over a piece of the copy. Return whether it continues the copy; an old or
        repeated piece does not."""
        if self.stage is not Stage.SNAPSHOT or start != self.cursor or not start < after <= RANGES:
            return False
        self.cursor, self.giver_active_s, self.giver = after, now, peer
        if self.cursor == RANGES:
            self._enter(Stage.REPAIR)
        return True

    def next_giver(self, now: float, others: list[str]) -> str:
        """Return the peer to ask for the next piece, or an empty string for none. A peer that has been silent
        for SILENT_S is replaced by the next one."""
        if self.stage is not Stage.SNAPSHOT or not others:
            return ""
        if self.giver not in others or now - self.giver_active_s > SILENT_S:
            at = others.index(self.giver) + 1 if self.giver in others else 0
            self.giver, self.giver_active_s = others[at % len(others)], now
        return self.giver

    def repaired(self, peer: str) -> bool:
        """Record that a repair round with a peer has ended. Return whether this node has become whole."""
        if self.stage not in (Stage.REPAIR, Stage.TAIL):
            return False
        self.repaired_by.add(peer)
        if self.stage is Stage.TAIL:
            self._enter(Stage.REPAIR)
        if len(self.repaired_by) >= self.need:
            self._enter(Stage.WHOLE)
            return True
        return False

    def start_alone(self) -> None:
        """Become whole at once in a fleet of one node, where there is no peer to ask."""
        if self.nodes == 1 and self.stage is Stage.AWAY:
            self._enter(Stage.WHOLE)

    def _enter(self, stage: Stage) -> None:
        if stage is Stage.WHOLE and (self.cursor < RANGES or len(self.repaired_by) < self.need):
            raise BrokenInvariantError(
                f"whole at range {self.cursor}, repaired by {len(self.repaired_by)}",
                where="catch-up",
                wanted=f"{RANGES} and {self.need}",
            )
        if stage is not self.stage:
            self.stage = stage
            self.history = [*self.history, stage][-32:]
