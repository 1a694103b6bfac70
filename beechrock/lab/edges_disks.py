"""What a named upstream's process leaves on its disk, in memory: a log as the store's, and a witness."""

import random
from typing import Any

from beechrock.store.codec import Mark
from beechrock.store.witness import Verdict, compare


class UpLog:
    """As the store: entries, a snapshot, cuts; a crash gives back what stood at the last sync."""

    def __init__(self, rand: random.Random) -> None:
        self.random = rand
        self.before, self.kept = 0, list[bytes]()
        self.snap: tuple[int, bytes] | None = None
        self.seq = self.synced_seq = self.epoch = self.synced = 0
        self.id, self.openings = rand.randbytes(16), tuple[tuple[bytes, int], ...]()
        self.shadow: tuple[Any, ...] = (0, [], None)
        self.open()

    def open(self) -> None:
        self.epoch += 1
        self.openings = (*self.openings, (self.random.randbytes(16), self.seq))[-32:]

    @property
    def first(self) -> int:
        return self.before + 1

    @property
    def last(self) -> int:
        return self.before + len(self.kept)

    @property
    def bytes_held(self) -> int:
        return sum(map(len, self.kept))

    def append(self, data: bytes) -> int:
        self.kept.append(data)
        self.seq += 1
        return self.last

    def entry(self, index: int) -> bytes:
        assert index >= self.first
        return self.kept[index - self.before - 1]

    def cut_after(self, index: int) -> None:
        assert self.before <= index <= self.last
        if index < self.last:
            del self.kept[index - self.before :]
            self.synced = min(self.synced, index)
            self.seq += 1

    def sync(self) -> None:
        if self.seq == self.synced_seq and self.synced == self.last:
            return
        self.synced, self.synced_seq = self.last, self.seq
        self.shadow = (self.before, list(self.kept), self.snap)

    def snapshot(self) -> tuple[int, bytes] | None:
        return self.snap

    def save_snapshot(self, index: int, data: bytes) -> None:
        assert index >= self.before
        self.kept = self.kept[index - self.before :]
        self.before, self.snap = index, (index, data)
        self.seq += 1
        self.sync()

    def mark(self) -> Mark:
        return Mark(self.id, self.epoch, self.synced_seq, self.openings[-1][0], self.openings)

    def crash(self) -> None:
        before, kept, self.snap = self.shadow
        self.before, self.kept = before, list(kept)
        self.seq, self.synced = self.synced_seq, self.last
        self.open()

    def copy(self) -> "UpLog":
        other = UpLog(self.random)
        other.__dict__.update({**self.__dict__, "kept": list(self.kept)})
        return other


class MemWitness:
    def __init__(self) -> None:
        self.known: dict[str, Mark] = {}

    def receive(self, peer: str, mark: Mark) -> Verdict:
        verdict = compare(self.known.get(peer), mark)
        if verdict is Verdict.NEWER:
            self.known[peer] = mark
        return verdict

    def forget(self, peer: str) -> None:
        self.known.pop(peer, None)
