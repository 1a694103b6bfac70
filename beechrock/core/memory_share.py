"""The part of a node's memory that this process may use while another process uses the rest. Pure.

Both parts together never exceed the node's memory: a process gives memory away before the other one may use
it. So neither can admit into memory that the other has filled, however late their load reports are read.

A process without a part (``limit_kb`` is None) is alone, or beside one that knows no parts.
"""

from dataclasses import dataclass

from beechrock.core.requests import RequestReceived
from beechrock.policy.memory import ADMIT_MEMORY_SHARE, RUN_MEMORY_SHARE

# Share of the node's memory that a process tries to have free, so that few requests must wait for a transfer.
RESERVE_SHARE = 0.1
# Time for which a request may wait for a transfer. It counts against the memory 0.1 s after it was written.
MAX_WAIT_S = 0.03
RETRY_AFTER_S = 0.01  # pause after a transfer that was smaller than requested


@dataclass(frozen=True, slots=True)
class Usage:
    """Memory in KB at one moment."""

    used_kb: float  # used by this process
    blocked_kb: float  # needed here besides to start a held run
    other_kb: float  # used by the other process, by its last report


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that is decided once a transfer has arrived, or at ``due_s``."""

    message: RequestReceived
    due_s: float


class MemoryShare:
    """Keeps the limit of this process, and decides on transfers and on requests that wait for one."""

    def __init__(self) -> None:
        self.limit_kb: float | None = None
        self.waiting: list[WaitingRequest] = []
        self._node_kb = 0.0  # memory of the node
        self._requested_kb = 0.0  # requested from the other process and not answered yet
        self._retry_at_s = 0.0
        self._batch_kb = 0.0  # memory of the requests that this batch has received so far
        self._waiting_kb = 0.0  # memory of the requests that wait

    # --- the parts

    def join(self, used_kb: float, node_kb: float) -> float:
        """Take part beside a predecessor; return the limit to state to it.

        A limit that was agreed on over an earlier channel stays; a new one covers what is in use.
        """
        self._node_kb = node_kb
        self._requested_kb = 0.0
        if self.limit_kb is None:
            self.limit_kb = min(node_kb, used_kb / ADMIT_MEMORY_SHARE)
        return self.limit_kb

    def split(self, other_kb: float, node_kb: float) -> None:
        """Leave ``other_kb`` to a successor that has stated this limit."""
        self._node_kb = node_kb
        self._requested_kb = 0.0
        self.limit_kb = max(0.0, node_kb - other_kb)

    def end(self) -> None:
        """Use the whole memory again, as the other process has ended."""
        self._requested_kb = 0.0
        self.limit_kb = None

    def give(self, requested_kb: float, usage: Usage) -> float:
        """Give free memory to the other process: what it requests, or half if that is more."""
        if self.limit_kb is None:
            return 0.0
        free_kb = max(0.0, self.limit_kb - self._needed_kb(usage, self._batch_kb))
        given_kb = min(free_kb, max(requested_kb, free_kb / 2))
        self.limit_kb -= given_kb
        return given_kb

    def receive(self, given_kb: float, now_s: float) -> None:
        """Add memory that the other process has given; less than was requested if it had no more."""
        if self.limit_kb is None:
            return
        if given_kb < self._requested_kb:
            self._retry_at_s = now_s + RETRY_AFTER_S
        self._requested_kb = 0.0
        self.limit_kb = min(self._node_kb, self.limit_kb + given_kb)

    def request(self, usage: Usage, now_s: float) -> float:
        """Return how much to request from the other process now, or 0; ``receive`` gets its reply."""
        if self.limit_kb is None or self._requested_kb or now_s < self._retry_at_s:
            return 0.0
        reserve_kb = RESERVE_SHARE * self._node_kb
        missing_kb = self._needed_kb(usage, 0.0) + reserve_kb - self.limit_kb
        available_kb = self._node_kb - self.limit_kb - usage.other_kb / ADMIT_MEMORY_SHARE
        if missing_kb <= 0 or available_kb <= 0:
            return 0.0
        self._requested_kb = min(missing_kb, available_kb)
        return self._requested_kb

    def _needed_kb(self, usage: Usage, batch_kb: float) -> float:
        """Return the limit that the requests here need, those that wait among them."""
        admit_kb = (usage.used_kb + batch_kb + self._waiting_kb) / ADMIT_MEMORY_SHARE
        run_kb = (usage.used_kb + usage.blocked_kb) / RUN_MEMORY_SHARE
        return max(admit_kb, run_kb)

    # --- the requests

    def begin_batch(self) -> list[WaitingRequest]:
        """Return the requests that wait; each of them is passed to ``must_wait`` again."""
        waiting, self.waiting = self.waiting, []
        self._batch_kb = self._waiting_kb = 0.0
        return waiting

    def must_wait(self, entry: WaitingRequest, usage: Usage, now_s: float) -> bool:
        """Return whether a request is kept for now, as this process is full and the node is not."""
        if self.limit_kb is None:
            return False
        size_kb = entry.message.request.kb
        here_kb = usage.used_kb + self._batch_kb + size_kb
        if here_kb > ADMIT_MEMORY_SHARE * self.limit_kb and self._may_get_room(here_kb, entry, usage, now_s):
            self.waiting.append(entry)
            self._waiting_kb += size_kb
            return True
        self._batch_kb += size_kb
        return False

    def _may_get_room(self, here_kb: float, entry: WaitingRequest, usage: Usage, now_s: float) -> bool:
        """Return whether a transfer may still make room: by its report the other process has some."""
        in_time = now_s < entry.due_s and (self._requested_kb > 0 or now_s >= self._retry_at_s)
        node_has_room = here_kb + self._waiting_kb + usage.other_kb <= ADMIT_MEMORY_SHARE * self._node_kb
        return in_time and node_has_room
