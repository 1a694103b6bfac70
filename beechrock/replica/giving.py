"""The giver's side of a full copy: sends pieces of ranges within a rate limit. Pure.

Invariants: one piece at a time for each peer that asks; over any time span, the bytes given are at most the
rate times that span, plus one second's worth and one piece.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from beechrock.replica.messages import Piece
from beechrock.replica.sums import RANGES

PIECE_BYTES, PIECE_RANGES = 131_072, 4096  # Size at which a piece is closed, and its maximum of ranges.


@dataclass(slots=True)
class Giving:
    """The pieces to send, and the rate limit."""

    bytes_per_s: float  # Rate limit for all peers together.
    names: Callable[[int], Iterable[bytes]]  # Returns the names of the records in a range.
    entry: Callable[[bytes], tuple[bytes, int] | None]  # Returns a record's packed state and change number.
    # By peer: first range of the piece that it asked for.
    requests: dict[str, int] = field(default_factory=dict)
    credit: float = 0.0  # Bytes that may be sent now; below 0 after a piece that exceeded it.
    credit_s: float | None = None  # Time of the last refill, in monotonic seconds.
    given: int = 0  # Bytes given in this life.

    def ask(self, peer: str, cursor: int) -> None:
        """Record a peer's request for the piece from the range ``cursor`` on."""
        if 0 <= cursor < RANGES:
            self.requests[peer] = cursor

    def pieces(self, now: float) -> list[tuple[str, Piece]]:
        """Return the pieces that may be sent now, each with its receiver."""
        before = now if self.credit_s is None else self.credit_s
        self.credit = min(self.bytes_per_s, self.credit + max(0.0, now - before) * self.bytes_per_s)
        self.credit_s = now
        pieces = []
        for peer, cursor in list(self.requests.items()):
            if self.credit < 0:
                break
            del self.requests[peer]
            piece, size = self._make_piece(cursor)
            self.credit -= size
            self.given += size
            pieces.append((peer, piece))
        return pieces

    def _make_piece(self, cursor: int) -> tuple[Piece, int]:
        entries: list[tuple[bytes, bytes]] = []
        size, range_ = 0, cursor
        while range_ < RANGES and size < PIECE_BYTES and range_ - cursor < PIECE_RANGES:
            for name in self.names(range_):
                if (found := self.entry(name)) is not None:
                    entries.append((name, found[0]))
                    size += len(name) + len(found[0])
            range_ += 1
        return Piece(cursor, range_, entries), size
