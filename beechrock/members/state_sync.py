"""Exchange of full states between two members (anti-entropy); members with equal views send only digests.

The flow of one exchange: the caller's ``opening`` holds a digest for each bucket of names. The called
member's ``answer`` holds its own digests and its updates of the members in the buckets that differ; the
caller's ``remainder`` holds the caller's updates of those. A caller of an earlier version opens with its full
state, and is answered with the full state.

Invariants: at most ``MAX_PARTS`` parts are sent in each direction; a member schedules at most one exchange
per round, and after ``MAX_FAST_SYNCS`` in a row with large differences only one per ``EARLY_SYNC_ROUNDS``.
"""

import hashlib
from collections.abc import Iterable

from beechrock.members.known import BucketDigest
from beechrock.members.messages import (
    BUCKETS,
    DIGEST_BYTES,
    MAX_PARTS,
    MAX_UPDATES,
    FullState,
    MemberState,
    Update,
)
from beechrock.members.view import MembershipView

EARLY_SYNC_ROUNDS = 3  # Rounds to the first exchange after a start, and to an early one if not each round
# Exchanges in a row with large differences that may follow each other round by round; seven rounds bring an
# update to 1,000 members.
MAX_FAST_SYNCS = 10
# More differing buckets than this, or at least as many dead members, are a large difference; one or two
# deaths change fewer buckets.
LARGE_DIFFERENCE = 4


def bucket_of(name: str) -> int:
    """Return the bucket of a member's name, the same in all processes."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def digest_of(update: Update) -> int:
    """Return the digest of a living member's name and status, the same in all processes.

    0 for members that are dead or left. They are not compared, as each member forgets them at a time of its
    own: views would differ without end.
    """
    status = update.status
    if status.state >= MemberState.DEAD:
        return 0
    text = f"{update.name} {status.life} {status.incarnation} {int(status.state)}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def differing_buckets(digests: bytes, others: bytes) -> set[int]:
    """Return the buckets whose digests differ."""
    return {bucket for bucket in range(BUCKETS) if _digest_at(digests, bucket) != _digest_at(others, bucket)}


def _digest_at(digests: bytes, bucket: int) -> bytes:
    return digests[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]


class StateSync(MembershipView):
    """Content of the exchanges of full states; ``detector`` decides with whom and when to exchange."""

    rounds: int  # Probe rounds since the start
    sync_at_round: int  # Round of the next exchange
    large_syncs_in_row: int  # Consecutive exchanges begun by this member that found large differences

    def full_state(self) -> list[FullState]:
        """Return the updates of all known members in parts, this member's own update first.

        If not all fit, a random sample of them is drawn on each call.
        """
        return self._parts(self.known)

    def opening(self) -> FullState:
        """Return the first part that the caller sends."""
        return FullState(0, (self.me,), self.digests())

    def answer(self, opening: FullState) -> tuple[list[FullState], bool]:
        """Return the parts to send to the caller, and whether the caller will send a remainder."""
        if not opening.digests:
            return self.full_state(), False
        own = self.digests()
        buckets = differing_buckets(own, opening.digests)
        if len(buckets) > LARGE_DIFFERENCE:
            self._sync_soon()
        parts = self._parts(self._names_in(buckets)) if buckets else []
        return [FullState(len(parts), (self.me,), own), *parts], bool(buckets)

    def remainder(self, opening: FullState, answer: FullState) -> list[FullState]:
        """Return the caller's parts for the differing buckets; ``answer`` is the first part received."""
        buckets = differing_buckets(opening.digests, answer.digests) if answer.digests else set()
        if len(buckets) > LARGE_DIFFERENCE:
            # Without this, of 100 members started at once some knew all others only at the next regular
            # exchange, after 32 s.
            self.large_syncs_in_row += 1
            self._sync_soon()
        elif self.large_syncs_in_row:
            # One more exchange soon. Of 300 and of 1,000 members started at once, one lacked a name for 30
            # rounds: the others had the name from exchanges and did not gossip it, and the member that it
            # called lacked it too, so that nothing differed.
            self.sync_at_round = min(self.sync_at_round, self.rounds + EARLY_SYNC_ROUNDS)
            self.large_syncs_in_row = 0
        return self._parts(self._names_in(buckets)) if buckets else []

    def _on_return(self) -> None:
        # Other dead members may be back as well, and gossip brings many updates slowly, a few per message.
        if len(self.dead) >= LARGE_DIFFERENCE:
            self._sync_soon()

    def _sync_soon(self) -> None:
        """Schedule the next exchange earlier.

        One round of exchanges at most triples the number of members that know an update: each passes it to
        the member that it calls and to the one that calls it. When two halves of a fleet met again, all
        members had refuted their deaths within 2 s, but the refutations took 10 s more to reach 300 members
        and 15 s more to reach 1,000, as each step waited three rounds. If views keep differing, because
        members come and go, a full state each round is not worth its cost.
        """
        rounds = 1 if self.large_syncs_in_row < MAX_FAST_SYNCS else EARLY_SYNC_ROUNDS
        self.sync_at_round = min(self.sync_at_round, self.rounds + rounds)

    def digests(self) -> bytes:
        """Return the digests of all buckets, which are equal for views with the same living statuses.

        The digest of a bucket is the exclusive or of its members' digests.
        """
        totals = [0] * BUCKETS
        totals[bucket_of(self.name)] = digest_of(self.me)
        for name, known in self.known.items():
            if known.digest is None:
                known.digest = BucketDigest(bucket_of(name), digest_of(known.update))
            totals[known.digest.bucket] ^= known.digest.digest
        return b"".join(total.to_bytes(DIGEST_BYTES, "big") for total in totals)

    def _names_in(self, buckets: set[int]) -> list[str]:
        """Return the known names in these buckets; only names stored since ``digests`` are hashed here."""
        return [
            name
            for name, known in self.known.items()
            if (known.digest.bucket if known.digest is not None else bucket_of(name)) in buckets
        ]

    def _parts(self, names: Iterable[str]) -> list[FullState]:
        others = [self.known[name].update for name in names]
        limit = (MAX_PARTS - 1) * MAX_UPDATES - 1
        if len(others) > limit:
            others = self.random.sample(others, limit)
        updates = [self.me, *others]
        parts = [tuple(updates[at : at + MAX_UPDATES]) for at in range(0, len(updates), MAX_UPDATES)]
        return [FullState(len(parts) - number, part) for number, part in enumerate(parts, 1)]
