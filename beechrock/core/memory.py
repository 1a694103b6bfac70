"""Bounds on open requests, idempotency entries and results that follow from a node's memory limit."""

from beechrock import interface as api
from beechrock.core.idempotency import IdempotencyTable

DEFAULT_MEMORY_MB = 192.0
# Memory of the program itself, a large part of a small limit; the rest of the limit is the free memory.
PROGRAM_MB = 18.0
MIN_FREE_SHARE = 0.25  # share of the limit that counts as free memory even if the program takes more
ENTRIES_SHARE = 0.5  # share of the free memory for idempotency entries without their results
ENTRY_KB = 1.5
RESULTS_SHARE = 0.125  # share of the free memory for results of finished requests, for idempotent retries
OPEN_SHARE = 0.125  # share of the limit for open requests
OPEN_KB = 4.0  # memory of an open request, without its body, which is accounted for elsewhere
SPARE_ENTRIES = 64


class MemoryBudget:
    """The bounds that follow from one process's memory limit in MB."""

    def __init__(self, memory_mb: float) -> None:
        self.free_kb = 1024 * max(memory_mb - PROGRAM_MB, MIN_FREE_SHARE * memory_mb)
        self.max_result_bytes = int(RESULTS_SHARE * self.free_kb * 1024)
        self.max_open_requests = int(OPEN_SHARE * memory_mb * 1024 / OPEN_KB)

    def idempotency_table(self, settings: api.Settings) -> IdempotencyTable:
        """Return an empty table for these settings.

        It has room for the live entries that the module may have at a time, and for lingering ones besides.
        The module counts only live entries, and in a table without that room a repeat could run again.
        """
        max_entries = int(ENTRIES_SHARE * self.free_kb / ENTRY_KB)
        live_entries = max_entries
        if settings.idempotency_entry_kb:
            live_entries = int(settings.memory_kb / settings.idempotency_entry_kb)
        keyed = [
            c
            for c in settings.classes
            if c.idempotency is api.Idempotency.KEYED or settings.shared_read_ttl_s
        ] or settings.classes
        window_s = max(c.idempotency_window_s or c.deadline_s for c in keyed)
        linger_s = max(c.deadline_s for c in keyed)
        capacity = int(live_entries * (2 + linger_s / window_s)) + SPARE_ENTRIES
        return IdempotencyTable(min(capacity, max_entries), linger_s)
