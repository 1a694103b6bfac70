"""A leader's rounds (its numbered broadcasts), the answers to them, and the lease that follows. Pure.

Invariants: a round's start is taken before its messages are sent; a lease ends ``lease_s * (1 - DRIFT)``
after the start of the newest round that a quorum answered, by the leader's own clock; only answers of proven
voters count.
"""

from collections import deque
from typing import NamedTuple

from beechrock.agree.rules import DRIFT

MAX_ROUNDS = 4096  # Number of newest rounds whose start is kept; answers to older rounds give no lease


class Round(NamedTuple):
    """Number of a broadcast and its start, in seconds of the leader's clock."""

    number: int
    begun_s: float


class Rounds:
    """The rounds of one term."""

    def __init__(self) -> None:
        self.number = 0
        self.answered: dict[str, int] = {}  # newest round that each member answered
        self._begun: deque[Round] = deque(maxlen=MAX_ROUNDS)

    def start(self, now_s: float) -> int:
        """Begin a round; return its number."""
        self.number += 1
        self._begun.append(Round(self.number, now_s))
        return self.number

    def record_answer(self, name: str, number: int) -> None:
        """Record that the member answered the round with this number."""
        self.answered[name] = max(self.answered.get(name, 0), min(number, self.number))

    def forget(self, name: str) -> None:
        """Discard the answers of a member's former process."""
        self.answered.pop(name, None)

    def quorum_round(self, leader: str, voters: tuple[str, ...], quorum: int) -> int:
        """Return the newest round that a quorum answered; a leader that votes counts as answering each."""
        answered = sorted(
            (self.number if name == leader else self.answered.get(name, 0) for name in voters), reverse=True
        )
        return answered[quorum - 1]

    def begun_s(self, number: int) -> float:
        """Return the start of a round in seconds; minus infinity for an unknown or a dropped round."""
        position = number - self._begun[0].number if self._begun else -1
        return self._begun[position].begun_s if 0 <= position < len(self._begun) else float("-inf")

    def lease_end_s(self, leader: str, voters: tuple[str, ...], quorum: int, lease_s: float) -> float:
        """Return the end of the leader's lease, in seconds of its own clock."""
        return self.begun_s(self.quorum_round(leader, voters, quorum)) + lease_s * (1 - DRIFT)
