"""What is remembered of others' stores, so that one that comes back with an older copy is found out.

Each opening of a store draws a digest and notes how many records it found. So a store that follows from the
mark that was received has its digest among its openings, and found at the opening after it at least what had
been received as synced.
"""

from dataclasses import replace
from enum import Enum

import msgpack
from blake3 import blake3

from beechrock.store.codec import Mark, damage_error
from beechrock.store.errors import at_start
from beechrock.store.files import Files
from beechrock.store.rewrite import replace_file

MAX_PEERS = 256
SAVE_EACH_RECORDS = 256  # records that a peer may get ahead of what is on our disk of it


class Verdict(Enum):
    """What a mark is, beside the newest one known of its peer."""

    SAME = "same"  # or a message that came late
    NEWER = "newer"
    OLDER = "older"  # a copy of an earlier time
    OTHER = "other"  # another store, or one last received over 31 openings ago


def compare(known: Mark | None, new: Mark) -> Verdict:
    """Judge a mark by the one that is known of the same peer. Pure."""
    if known is None:
        return Verdict.NEWER
    if new.id != known.id:
        return Verdict.OTHER
    ahead = new.epoch - known.epoch
    if ahead == 0 and new.digest == known.digest:
        return Verdict.NEWER if new.synced > known.synced else Verdict.SAME
    if ahead == 0:
        return Verdict.OLDER
    if ahead < 0:  # an older copy would have been opened anew, under a digest that nobody knows
        late = -ahead < len(known.openings) and known.openings[ahead - 1][0] == new.digest
        return Verdict.SAME if late else Verdict.OLDER
    if ahead >= len(new.openings):
        return Verdict.OTHER
    (digest, _), (_, found) = new.openings[-ahead - 1], new.openings[-ahead]
    return Verdict.NEWER if digest == known.digest and found >= known.synced else Verdict.OLDER


def advance_mark(known: Mark | None, digest: bytes, synced: int) -> Mark | None:
    """Return the mark with more records of the same opening; None: it says nothing new. Pure."""
    if known is None or digest != known.digest or synced <= known.synced:
        return None
    return replace(known, synced=synced)


class Witness:
    """The highest mark received of each peer, in one file.

    Opening it: StoreDamagedError; StoreFailedError where the disk does not give it now.
    """

    def __init__(self, files: Files, name: str = "witness") -> None:
        self.files = files
        self.name = name
        self.known: dict[str, Mark] = {}
        self.saved: dict[str, int] = {}  # records of each that this node's disk knows of
        with at_start(files.folder / name):
            data = files.read(name) if name in files.names() else None
        if data is not None:
            if blake3(data[32:]).digest() != data[:32]:
                raise damage_error("what is known of the others' stores does not fit its checksum", name)
            self.known = {
                peer: Mark.from_bytes(packed) for peer, packed in msgpack.unpackb(data[32:]).items()
            }
            self.saved = {peer: mark.synced for peer, mark in self.known.items()}

    def judge(self, peer: str, mark: Mark) -> Verdict:
        """Judge a mark and remember nothing."""
        return compare(self.known.get(peer), mark)

    def receive(self, peer: str, mark: Mark) -> Verdict:
        """Judge a mark and remember it, on disk at once for a new opening, else each 256 records. OSError."""
        verdict = self.judge(peer, mark)
        if verdict is Verdict.NEWER and (peer in self.known or len(self.known) < MAX_PEERS):
            before = self.known.get(peer)
            self.known[peer] = mark
            if (
                before is None
                or before.epoch != mark.epoch
                or mark.synced >= self.saved[peer] + SAVE_EACH_RECORDS
            ):
                try:
                    self.save()
                except OSError:  # on a full disk it comes again, and has to be saved before it counts
                    self.known.pop(peer)
                    if before is not None:
                        self.known[peer] = before
                    raise
        return verdict

    def forget(self, peer: str) -> None:
        """Believe whatever the peer comes with next, as an operator wants it. OSError."""
        before = self.known.pop(peer, None)
        if before is None:
            return
        try:
            self.save()
        except OSError:  # not forgotten on disk: the next command tries it again
            self.known[peer] = before
            raise

    def save(self) -> None:
        """Write all marks down, durably. OSError."""
        packed: bytes = msgpack.packb({peer: mark.to_bytes() for peer, mark in self.known.items()})
        replace_file(self.files, self.name, blake3(packed).digest() + packed)
        self.saved = {peer: mark.synced for peer, mark in self.known.items()}
