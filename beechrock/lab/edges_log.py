"""A log in memory for edges under a driven clock."""

from beechrock.store.errors import StoreFullError


class MemLog:
    """A log whose unsynced end a crash takes away."""

    def __init__(self) -> None:
        self.before, self.kept = 0, list[bytes]()
        self.snapshot: bytes | None = None
        self.synced, self.bytes_held, self.most = 0, 0, 1 << 40

    @property
    def first(self) -> int:
        return self.before + 1

    @property
    def last(self) -> int:
        return self.before + len(self.kept)

    def append(self, data: bytes) -> int:
        if self.bytes_held + len(data) > self.most:
            raise StoreFullError("no space left on the device")
        self.kept.append(data)
        self.bytes_held += len(data)
        return self.last

    def entry(self, index: int) -> bytes:
        return self.kept[index - self.before - 1]

    def save_snapshot(self, index: int, data: bytes) -> None:
        self.snapshot = data
        self.bytes_held -= sum(map(len, self.kept[: index - self.before]))
        self.kept, self.before = self.kept[index - self.before :], index
        self.synced = self.last  # as the store does

    def crash(self) -> None:
        del self.kept[max(0, self.synced - self.before) :]
        self.bytes_held = sum(map(len, self.kept))

    def copy(self) -> "MemLog":
        other = MemLog()
        other.before, other.kept, other.snapshot = self.before, list(self.kept), self.snapshot
        other.synced, other.bytes_held, other.most = self.synced, self.bytes_held, self.most
        return other
