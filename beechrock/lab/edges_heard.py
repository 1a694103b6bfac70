"""When the links carried a message of the edges, and which refusals for want of members that contradicts.

From outside: the times are of the laboratory's own clock, taken as a frame is given to the socket of the
process that is to hear it. A process that was started anew has heard nothing; it is not to be asked about.
"""

import time
from collections import deque
from typing import Any, NamedTuple

import msgpack

from beechrock.edges.build import HEARD_PROBES
from beechrock.edges.part import CHANNEL
from beechrock.lab.fleet.links import Pair
from beechrock.talk.frames import HEAD_BYTES, TAG_BYTES

TOO_FEW_HEARD = "members for copies are heard"
MIN_LIMIT_S = 2.0  # edges/build.py
MOST_TIMES = 4096  # kept of each direction: more than two minutes of the busiest play


class Try(NamedTuple):
    """One answer to a caller; ``sent_s`` is before its first byte, ``answered_s`` after its last."""

    name: str
    nonce: str
    sent_s: float
    answered_s: float
    status: int
    text: str


def limit_s(probe_s: float) -> float:
    """Return for how long a silent member counts as heard, as edges/build.py has it."""
    return max(MIN_LIMIT_S, HEARD_PROBES * probe_s)


class Carried:
    """The times at which each direction carried a message of the edges."""

    def __init__(self) -> None:
        self.times: dict[Pair, deque[float]] = {}

    def on_frame(self, pair: Pair, frame: bytes) -> None:
        """Take note of a frame that was given to its process; a part of one says nothing."""
        try:
            fields: Any = msgpack.unpackb(frame[HEAD_BYTES:-TAG_BYTES])
        except ValueError:
            return
        if fields[4] == CHANNEL:
            self.times.setdefault(pair, deque(maxlen=MOST_TIMES)).append(time.monotonic())

    def heard(self, pair: Pair, one: Try, within_s: float) -> bool:
        """Whether a message came before the try was sent, and its time was not over when it was answered."""
        return any(one.answered_s - within_s <= at <= one.sent_s for at in self.times.get(pair, ()))


def contradicted(
    tries: list[Try], carried: Carried, others: dict[str, tuple[str, ...]], needed: int, within_s: float
) -> list[str]:
    """Return the refusals for want of members though enough were heard; ``others``: by member."""
    found = []
    for one in tries:
        if one.status != 503 or TOO_FEW_HEARD not in one.text:
            continue
        heard = [other for other in others[one.name] if carried.heard((other, one.name), one, within_s)]
        if len(heard) + 1 >= needed:
            found.append(f"refused though heard: {one}, {heard}")
    return found
