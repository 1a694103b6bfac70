"""A repair round with one peer: compares digests of ranges, from the root down to lists of names. Pure.

States of a round: ASKING (ranges are open or an answer is awaited), CLOSING (the records that each side
lacks are being sent), done. Events: ``ask``, ``answered``, ``acked``, ``came``. A round is given up after
STILL_S without progress.
Invariants: one round at a time; a round that is done and ``clean`` has compared each range that differed
when it began; the peer then holds what this node held at the start (``upto``), and this node holds what the
peer had.
"""

from dataclasses import dataclass, field
from typing import Any

from beechrock.replica.messages import Answer, Ask
from beechrock.replica.sums import WAYS, Range, Sums

STILL_S = 5.0  # Seconds without progress after which a round is given up.
ASK_PARTS, ASK_NAMES = 32, 1024  # Maximum number of ranges, and of listed names, in one question.
MOST_PUSHED = 4096  # Maximum number of names in an answer; a later round finds the rest.
LISTED = 4  # Unused.


@dataclass(slots=True)
class Round:
    """One repair round."""

    peer: str
    number: int  # Number of the round.
    upto: int  # This node's number of changes when the round began.
    step_s: float  # Time of the last progress, in monotonic seconds.
    open: list[Range] = field(default_factory=lambda: [(0, 0)])  # Ranges still to be compared.
    n: int = 0  # Number of questions asked.
    awaits: bool = False  # Whether an answer is awaited.
    wanted: set[bytes] = field(default_factory=set)  # Names to send to the peer that it has not acknowledged.
    coming: set[bytes] = field(default_factory=set)  # Names that the peer sends and that have not arrived.
    clean: bool = True  # Whether every answer held all differences.
    found: int = 0  # Number of names that differed.

    @property
    def done(self) -> bool:
        return not (self.open or self.awaits or self.wanted or self.coming)

    def still(self, now: float) -> bool:
        return now - self.step_s > STILL_S

    def ask(self, sums: Sums) -> Ask | None:
        """Return the next question, or None while an answer is awaited or nothing is left to ask."""
        if self.awaits or not self.open:
            return None
        parts: list[Any] = []
        lists: list[Any] = []
        names = 0
        while self.open and len(parts) + len(lists) < ASK_PARTS and names < ASK_NAMES:
            one = self.open.pop()
            if sums.small(one):
                listed = sums.listed(one)
                names += len(listed)
                lists.append([*one, [[name, value.to_bytes(16)] for name, value in listed.items()]])
            else:
                parts.append([*one, [[total.to_bytes(16), count] for total, count in sums.parts(one)]])
        self.n += 1
        self.awaits = True
        return Ask(self.number, self.n, parts, lists)

    def answered(self, now: float, told: Answer) -> bool:
        """Process an answer. Return False if it answers no open question."""
        if told.round != self.number or told.n != self.n or not self.awaits:
            return False
        self.awaits, self.step_s = False, now
        self.open += [(int(level), int(number)) for level, number in told.differ]
        self.wanted |= set(told.want)
        self.coming |= set(told.have)
        self.found += len(told.want) + len(told.have)
        self.clean = self.clean and not told.more
        return True

    def acked(self, now: float, names: dict[bytes, int]) -> None:
        if self.wanted & names.keys():
            self.step_s = now
            self.wanted -= names.keys()

    def came(self, now: float, names: set[bytes]) -> None:
        if self.coming & names:
            self.step_s = now
            self.coming -= names


def answer(sums: Sums, told: Ask) -> Answer:
    """Answer a peer's question; the caller then sends the records named in ``have``. Raises ValueError or
    TypeError for invalid ranges."""
    differ: list[Any] = []
    want: list[bytes] = []
    have: list[bytes] = []
    more = False
    for level, number, parts in told.parts:
        one = int(level), int(number)
        theirs = [(int.from_bytes(total), int(count)) for total, count in parts]
        differ += [list(part) for part in sums.compare(one, theirs)]
    for level, number, listed in told.lists:
        one = int(level), int(number)
        names = {bytes(name): int.from_bytes(value) for name, value in listed}
        wanted, having = sums.lacks(one, names)
        room = MOST_PUSHED - len(want) - len(have)
        more = more or len(wanted) + len(having) > room
        want += wanted[:room]
        have += having[: max(0, room - len(wanted))]
    return Answer(told.round, told.n, differ[: WAYS * ASK_PARTS], want, have, more)
