"""The bounds of a store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Bounds in bytes; beyond one an append ends with StoreFullError."""

    max_bytes: int = 256 << 20  # of all segments and the snapshot
    segment_bytes: int = 4 << 20  # after which the next segment begins
    max_entry_bytes: int = 2 << 20  # of one entry
