"""Queues of requests in order of time."""

from collections.abc import Container
from heapq import heapify
from typing import NamedTuple

# A heap longer than this plus four entries per open request is rebuilt without its stale entries.
MAX_STALE_ENTRIES = 4096


class QueueEntry(NamedTuple):
    """Entry of a queue: a request and its time (monotonic seconds)."""

    at_s: float
    request_id: int


Queue = list[QueueEntry]  # Heap, earliest time first


def without_stale(queue: Queue, known: Container[int], open_requests: int) -> Queue:
    """Return the queue itself, or a heap of its known requests if it is longer than allowed."""
    if len(queue) <= MAX_STALE_ENTRIES + 4 * open_requests:
        return queue
    known_entries = [entry for entry in queue if entry.request_id in known]
    heapify(known_entries)
    return known_entries
