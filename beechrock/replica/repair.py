"""A repair round with one peer: compares digests of ranges, from the root down to lists of names. Pure.

States of a round: ASKING (ranges are open or an answer is awaited), CLOSING (the records that each side
lacks are being sent), done. Events: ``ask``, ``answered``, ``acked``, ``received``. A round is given up after
STALL_S without progress.
Invariants: one round at a time; a round that is done and ``clean`` has compared each range that differed
when it began; the peer then holds what this node held at the start (``upto``), and this node holds what the
peer had.
"""

from dataclasses import dataclass, field
from typing import Any

from beechrock.replica.messages import Answer, Ask
from beechrock.replica.sums import WAYS, Range, Sums

STALL_S = 5.0  # Seconds without progress after which a round is given up.
MAX_ASK_RANGES, MAX_ASK_NAMES = 32, 1024  # Maximum number of ranges, and of listed names, in one question.
MAX_ANSWER_NAMES = 4096  # Maximum number of names in an answer; a later round finds the rest.
LISTED = 4  # Unused.


@dataclass(slots=True)
class Round:
    """One repair round."""

    peer: str
    number: int  # Number of the round, in order to recognize its answers.
    upto: int  # This node's number of changes when the round began.
    progress_s: float  # Time of the last progress, in monotonic seconds.
    open: list[Range] = field(default_factory=lambda: [(0, 0)])  # Ranges still to be compared.
    questions: int = 0  # Number of questions asked.
    awaiting_answer: bool = False
    wanted: set[bytes] = field(default_factory=set)  # Names to send to the peer that it has not acknowledged.
    incoming: set[bytes] = field(default_factory=set)  # Names that the peer sends and that have not arrived.
    clean: bool = True  # Whether every answer held all differences.
    found: int = 0  # Number of names that differed.

    @property
    def done(self) -> bool:
        return not (self.open or self.awaiting_answer or self.wanted or self.incoming)

    def stalled(self, now: float) -> bool:
        return now - self.progress_s > STALL_S

    def ask(self, sums: Sums) -> Ask | None:
        """Return the next question, or None while an answer is awaited or nothing is left to ask."""
        if self.awaiting_answer or not self.open:
            return None
        parts: list[Any] = []
        lists: list[Any] = []
        names = 0
        while self.open and len(parts) + len(lists) < MAX_ASK_RANGES and names < MAX_ASK_NAMES:
            range_ = self.open.pop()
            if sums.is_small(range_):
                listed = sums.listed(range_)
                names += len(listed)
                lists.append([*range_, [[name, value.to_bytes(16)] for name, value in listed.items()]])
            else:
                parts.append([*range_, [[total.to_bytes(16), count] for total, count in sums.parts(range_)]])
        self.questions += 1
        self.awaiting_answer = True
        return Ask(self.number, self.questions, parts, lists)

    def answered(self, now: float, reply: Answer) -> bool:
        """Process an answer. Return False if it answers no open question."""
        if reply.round != self.number or reply.n != self.questions or not self.awaiting_answer:
            return False
        self.awaiting_answer, self.progress_s = False, now
        self.open += [(int(level), int(number)) for level, number in reply.differ]
        self.wanted |= set(reply.want)
        self.incoming |= set(reply.have)
        self.found += len(reply.want) + len(reply.have)
        self.clean = self.clean and not reply.more
        return True

    def acked(self, now: float, names: dict[bytes, int]) -> None:
        if self.wanted & names.keys():
            self.progress_s = now
            self.wanted -= names.keys()

    def received(self, now: float, names: set[bytes]) -> None:
        if self.incoming & names:
            self.progress_s = now
            self.incoming -= names


def answer(sums: Sums, ask: Ask) -> Answer:
    """Answer a peer's question; the caller then sends the records named in ``have``. Raises ValueError or
    TypeError for invalid ranges."""
    differ: list[Any] = []
    want: list[bytes] = []
    have: list[bytes] = []
    more = False
    for level, number, parts in ask.parts:
        range_ = int(level), int(number)
        theirs = [(int.from_bytes(total), int(count)) for total, count in parts]
        differ += [list(part) for part in sums.compare(range_, theirs)]
    for level, number, listed in ask.lists:
        range_ = int(level), int(number)
        names = {bytes(name): int.from_bytes(value) for name, value in listed}
        wanted, having = sums.compare_list(range_, names)
        room = MAX_ANSWER_NAMES - len(want) - len(have)
        more = more or len(wanted) + len(having) > room
        want += wanted[:room]
        have += having[: max(0, room - len(wanted))]
    return Answer(ask.round, ask.n, differ[: WAYS * MAX_ASK_RANGES], want, have, more)
