"""Read indices from the leader: a read waits for a quorum's answers to a later round, then gets the commit.

States of a read at the leader: waiting for its round; answered; failed as the leadership ended. Events: a
read of this node or of a follower, a quorum's answers to a round, the end of the leadership, a reply of the
leader.

Invariants: the round that answers a read began after the read; no read is answered before the leader has
committed an entry of its term; at most ``MAX_READS`` reads wait; an answer meant for a former process of this
member is dropped.
"""

from typing import NamedTuple

from beechrock.agree.context import EventContext
from beechrock.agree.epochs import EpochTable
from beechrock.agree.lease import LeaderLease
from beechrock.agree.messages import ReadIndexReady, ReadIndexReply, ReadIndexRequest
from beechrock.agree.replicated_log import ReplicatedLog
from beechrock.agree.rules import MAX_READS, Guard
from beechrock.agree.term_state import Role, TermState

OWN_LIFE = 0  # Value of ``ReadKey.life`` for the leader's own reads


class ReadKey(NamedTuple):
    """A read that waits at the leader: name and epoch count of the asking node, and the read's number."""

    name: str
    life: int
    token: int


class ReadIndex:
    """Queues reads while this member leads, and forwards its own reads to the leader while it follows."""

    def __init__(
        self,
        context: EventContext,
        epochs: EpochTable,
        terms: TermState,
        replicated: ReplicatedLog,
        lease: LeaderLease,
    ) -> None:
        self._context = context
        self._epochs = epochs
        self._terms = terms
        self._replicated = replicated
        self._lease = lease
        self._waiting: dict[ReadKey, int] = {}  # number of the round that each read waits for

    def read(self, token: int) -> bool:
        """Begin a read of this node; return whether the caller must begin a new round for it."""
        if self._terms.role is Role.LEADER:
            return self._queue(ReadKey(self._context.name, OWN_LIFE, token))
        if self._terms.leader:
            request = ReadIndexRequest(self._epochs.current.count, token)
            self._context.send(self._terms.leader, request)
        else:
            self._context.emit(ReadIndexReady(token, 0))
        return False

    def on_request(self, sender: str, message: ReadIndexRequest) -> bool:
        """Queue or refuse a follower's read; return whether the caller must begin a new round for it."""
        if self._terms.role is not Role.LEADER or len(self._waiting) >= MAX_READS:
            self._context.send(sender, ReadIndexReply(message.life, message.token, 0))
            return False
        return self._queue(ReadKey(sender, message.life, message.token))

    def _queue(self, read: ReadKey) -> bool:
        """Queue the read for the next round; return False if too many reads wait.

        Answers to an earlier round do not show that this member still led when the read began.
        """
        if len(self._waiting) >= MAX_READS:
            self._context.emit(ReadIndexReady(read.token, 0))
            return False
        self._waiting[read] = self._lease.round_number + 1
        return True

    def on_reply(self, sender: str, message: ReadIndexReply) -> None:
        """Pass the leader's answer to this node's read, unless a former process of this node asked for it."""
        if message.life == self._epochs.current.count:
            self._context.emit(ReadIndexReady(message.token, message.index))

    def answer_complete(self) -> None:
        """Answer all reads whose round a quorum has answered."""
        if not self._waiting or not self._lease.has_committed_in_term:
            return
        complete = self._lease.quorum_round()
        for read, number in list(self._waiting.items()):
            if number <= complete or not self._context.rules.on(Guard.READ_ROUND):
                del self._waiting[read]
                self._answer(read)

    def _answer(self, read: ReadKey) -> None:
        index = self._replicated.commit
        if read.name == self._context.name:
            self._context.emit(ReadIndexReady(read.token, index))
        else:
            self._context.send(read.name, ReadIndexReply(read.life, read.token, index))

    def on_step_down(self) -> None:
        """Fail this node's own reads and drop the followers' reads, which they ask again."""
        for read in self._waiting:
            if read.name == self._context.name:
                self._context.emit(ReadIndexReady(read.token, 0))
        self._waiting.clear()
