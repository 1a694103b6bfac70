"""Order of a member's writes and sends: a message that relies on a write is sent after the write's sync.

States: writes that are not synced yet; messages deferred until one of them is synced; the synced index and
position. Events: ``persist`` (queues a write), ``send_after_sync``, ``on_synced`` (the disk has synced),
``limit_synced`` (the end of the log was replaced).

Invariants: a deferred message is sent only after every record that was written before it is synced; deferred
messages are sent in their order; the position (number of records ever written) never falls; ``durable_index``
is never beyond the synced entries, nor beyond the end of the log.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from beechrock.agree.context import EventContext
from beechrock.agree.log import Log
from beechrock.agree.messages import Message, Persist, Record, Send
from beechrock.agree.rules import Guard


@dataclass(slots=True)
class PendingWrite:
    """A write that is not synced yet: the log's last index and the journal's position after it."""

    number: int
    last_index: int
    position: int


class DeferredSend(NamedTuple):
    """A message to be sent once the write with number ``write`` is synced."""

    write: int
    send: Send


class JournalWriter:
    """Numbers the writes, tracks which of them are synced, and defers messages until then."""

    def __init__(self, context: EventContext, log: Log, position: int) -> None:
        self._context = context
        self._log = log
        self.last_write = 0  # number of the newest write
        self.position = position  # number of records ever written
        self.synced_position = position  # number of records that are synced
        self.synced_index = log.last  # index of the last synced log entry
        self._synced_write = 0
        self._pending: deque[PendingWrite] = deque()
        self._deferred: deque[DeferredSend] = deque()

    def persist(self, *records: Record) -> None:
        """Write the records to the journal, in this order."""
        self.last_write += 1
        self.position += len(records)
        self._pending.append(PendingWrite(self.last_write, self._log.last, self.position))
        self._context.emit(Persist(self.last_write, records))

    def send_after_sync(self, to: str, message: Message) -> None:
        """Send once all earlier writes are synced: else a vote could be sent, lost, and given again."""
        if self._pending and self._context.rules.on(Guard.SYNC_FIRST):
            self._deferred.append(DeferredSend(self.last_write, Send(to, message)))
        else:
            self._context.send(to, message)

    def on_synced(self, number: int) -> None:
        """Record that all writes up to ``number`` are synced; send the messages deferred until then."""
        while self._pending and self._pending[0].number <= number:
            write = self._pending.popleft()
            self._synced_write = write.number
            self.synced_position = write.position
            self.synced_index = max(self.synced_index, write.last_index)
        while self._deferred and self._deferred[0].write <= self._synced_write:
            self._context.emit(self._deferred.popleft().send)

    def is_synced(self, number: int) -> bool:
        """Return whether the write counts as synced; always True without the guard SYNC_FIRST."""
        return self._synced_write >= number or not self._context.rules.on(Guard.SYNC_FIRST)

    def durable_index(self) -> int:
        """Return the last log index that may be reported as synced."""
        if not self._context.rules.on(Guard.SYNC_FIRST):
            return self._log.last
        return min(self.synced_index, self._log.last)

    def limit_synced(self, index: int) -> None:
        """Lower the synced index to ``index``, also for pending writes, as later entries are replaced."""
        self.synced_index = min(self.synced_index, index)
        for write in self._pending:
            write.last_index = min(write.last_index, index)
