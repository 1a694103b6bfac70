"""Tracks which members of an edge store a write durably before its caller is answered. Pure.

A write is *pending* from its append to the local log until ``copies`` members, including this one, have it on
disk. Then it is accepted. Until then its caller gets no answer; if it does not reach enough copies in time,
the caller is told that the write failed but may still run, as a member may hold a copy of it.
Events: ``begin``, ``copied`` (a member has stored it durably), ``heard`` (a member is alive), ``distrust``,
``tick``.
Guards: a member whose folder was found to be an older copy of itself does not count, and no member counts
twice. Writes that a member lacks, as after the loss of its disk, are found by comparing what each member has
(``Have``), and any member that has them sends them again.
Invariants: an accepted write is on ``copies`` distinct members; a write is begun only if enough members were
heard lately.
"""

from dataclasses import dataclass, field

from beechrock.edges.causal import Dot
from beechrock.edges.errors import EdgeDiskWaitsError, EdgeFullError

RESEND_S = 0.1
MAX_PENDING = 4096
RETRY_AFTER_S = 2.0  # Seconds after which a refused caller is told to retry


@dataclass(slots=True)
class Pending:
    packed: bytes
    due_s: float
    resend_s: float
    needed: int
    holders: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Copies:
    me: str
    members: tuple[str, ...]
    copies: int
    heard_s: float  # Seconds of silence after which a member is not expected to take copies
    without: frozenset[str] = frozenset()
    pending: dict[Dot, Pending] = field(default_factory=dict)
    last_heard: dict[str, float] = field(default_factory=dict)
    distrusted: set[str] = field(default_factory=set)
    full_members: set[str] = field(default_factory=set)  # Members that report that their disk takes no writes
    full: bool = False  # Whether this node's disk takes no writes; set by the actor
    disk: str = "the disk of this node is full"  # Error text for writes refused while ``full``
    disk_error: Exception | None = None  # Error of the last failed append to the log; read by the actor

    def others(self) -> tuple[str, ...]:
        return tuple(name for name in self.members if name != self.me)

    def reachable(self, now: float) -> list[str]:
        """Return the other members that were heard lately, are trusted, and have room on their disk."""
        excluded = self.distrusted | self.full_members
        return [
            name
            for name in self.others()
            if now - self.last_heard.get(name, -1e9) <= self.heard_s and name not in excluded
        ]

    def _needed(self, requested: int) -> int:
        """Return the number of copies a write needs, at most the number of members.

        ``requested`` is the number in the write's contract; 0 means the default of the edge.
        """
        return min(requested or self.copies, len(self.members))

    def check_able(self, now: float, requested: int = 0) -> None:
        """Check that a write can get its copies, before it is stored anywhere.

        Otherwise each write on the small side of a split edge would wait for its whole deadline and then fail
        with an unknown outcome.

        Raises EdgeFullError if too few members are reachable or this node's disk takes no writes.
        """
        if self.full:
            raise EdgeDiskWaitsError(
                self.disk,
                RETRY_AFTER_S,
                where="edges",
                wanted="a disk with room that writes",
                do="see `disk` in /edges; it goes on by itself",
            )
        reached = len(self.reachable(now)) + 1
        needed = self._needed(requested)
        if "able" not in self.without and reached < needed:
            raise EdgeFullError(
                f"{reached} of {needed} members for copies are heard",
                RETRY_AFTER_S,
                where="edges.copies",
                wanted=f"{needed} members",
                do="start or reach the other members of this edge",
            )
        if len(self.pending) >= MAX_PENDING:
            raise EdgeFullError("too many writes wait for their copies", RETRY_AFTER_S, where="edges.copies")

    def heard(self, member: str, now: float) -> None:
        self.last_heard[member] = now

    def set_full(self, member: str, full: bool) -> None:
        """Record whether a member's disk is full.

        Otherwise each write that needs a copy there would wait for its deadline and then fail with an unknown
        outcome.
        """
        (self.full_members.add if full else self.full_members.discard)(member)

    def distrust(self, member: str, older: bool) -> None:
        """Record whether a member's folder is an older copy of the one that it reported before."""
        (self.distrusted.add if older and "folder" not in self.without else self.distrusted.discard)(member)

    def begin(self, dot: Dot, packed: bytes, due_s: float, now: float, requested: int = 0) -> bool:
        """Begin to count the copies of a write; return True if the local copy is enough."""
        needed = self._needed(requested)
        if needed <= 1 or "copies" in self.without:
            return True
        self.pending[dot] = Pending(packed, due_s, now + RESEND_S, needed)
        return False

    def copied(self, member: str, dot: Dot) -> bool:
        """Record a copy at a member; return True exactly once, when the write has all its copies."""
        held = self.pending.get(dot)
        if held is None or member == self.me or member not in self.members or member in self.distrusted:
            return False
        held.holders.add(member)
        if len(held.holders) + 1 < held.needed:
            return False
        del self.pending[dot]
        return True

    def places(self, dot: Dot) -> tuple[str, ...]:
        held = self.pending.get(dot)
        return (self.me, *sorted(held.holders)) if held is not None else (self.me,)

    def tick(self, now: float) -> tuple[list[Dot], dict[str, list[bytes]]]:
        """Return the writes whose deadline has passed, and the packed writes to send again, by member."""
        late = [dot for dot, held in self.pending.items() if held.due_s <= now]
        for dot in late:
            del self.pending[dot]
        resend: dict[str, list[bytes]] = {}
        for held in self.pending.values():
            if held.resend_s <= now:
                held.resend_s = now + RESEND_S
                for name in self.others():
                    if name not in held.holders:
                        resend.setdefault(name, []).append(held.packed)
        return late, resend
