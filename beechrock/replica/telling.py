"""Reports of upstream servers to other nodes: when to send one, its encoding, and the age and validity of a
received one. Pure.

A report counts while the process that sent it is present and whole, and by the slowness that it states of
itself. Its age is the stated age plus the time since the report came, so no two clocks are compared. A node
reports anew every REPORT_S while its observations may count; so the age of a report that came by way of
another node is understated by no more than that.
"""

import math
from collections import deque
from dataclasses import astuple, dataclass, field

import msgpack

from beechrock.replica.errors import ReplicaRecordError
from beechrock.replica.health import MAX_SERVERS, Word
from beechrock.replica.priors import MAX_AGE_S, SLOW, Advice

FORMAT = 1
TICK_S = 0.25  # Seconds between two ticks.
REPORT_S = 10.0  # Seconds between two reports.
GAP_COUNT = 20  # Number of intervals between ticks over which the slowness is averaged.
KINDS = (str, float, int, float, float)  # Types of the fields of a Word.


def pack(slowness: float, words: list[Word]) -> bytes:
    """Encode a report, limited to the servers observed last so that it stays under 16 KB."""
    newest = sorted(words, key=lambda word: word.age_s)[: MAX_SERVERS // 2]
    data: bytes = msgpack.packb((FORMAT, slowness, [astuple(word) for word in newest]))
    return data


def unpack(data: bytes) -> tuple[float, list[Word]]:
    """Decode a report: the slowness and the words. Raises ReplicaRecordError if it cannot be read."""
    try:
        version, slowness, rows = msgpack.unpackb(data)
        if version != FORMAT:
            raise ReplicaRecordError(
                f"advice of format {version}",
                where="learned",
                wanted=f"{FORMAT}",
                do="run one version at all nodes",
            )
        words = [Word(*row) for row in rows]
        if not all(
            isinstance(value, kind) and (isinstance(value, str) or math.isfinite(value))
            for word in words
            for value, kind in zip(_values(word), KINDS, strict=True)
        ):
            raise ReplicaRecordError("advice with invalid fields", where="learned")
        return float(slowness), words
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise ReplicaRecordError(f"advice that cannot be read: {error}", where="learned") from None


def _values(word: Word) -> tuple[str | float, ...]:
    return astuple(word)


@dataclass(slots=True)
class LoopPace:
    """Measures the slowness of this node's event loop. A pause of the process counts too."""

    last: float = 0.0  # Time of the last tick, in monotonic seconds; 0 before the first.
    # Seconds between the last ticks.
    gaps: deque[float] = field(default_factory=lambda: deque(maxlen=GAP_COUNT))

    def tick(self, now: float) -> float:
        """Return the ratio of the mean interval between ticks to TICK_S, at least 1."""
        if self.last:
            self.gaps.append(now - self.last)
        self.last = now
        return max(1.0, sum(self.gaps) / len(self.gaps) / TICK_S) if self.gaps else 1.0


@dataclass(slots=True)
class ReportSchedule:
    """Decides when a report is due: when a server's state changes, when this node becomes slow or recovers,
    and otherwise every REPORT_S while the observations may count."""

    reported_s: float = float("-inf")  # Time of the last report, in monotonic seconds.
    slow: bool = False  # Whether the last report said that this node is slow.

    def due(self, now: float, words: list[Word], state_changed: bool, slowness: float = 1.0) -> bool:
        """Return whether to report now. ``state_changed``: a server's state has changed since the last
        report."""
        # A change of slowness is reported at once. Otherwise a report made just after a stop, when the node
        # counts as slow, would keep its advice without weight for long after.
        state_changed = state_changed or (slowness > SLOW) is not self.slow
        new = any(word.age_s <= MAX_AGE_S + REPORT_S for word in words)
        if not words or not (state_changed or (new and now - self.reported_s >= REPORT_S)):
            return False
        self.reported_s, self.slow = now, slowness > SLOW
        return True


@dataclass(slots=True)
class PeerReports:
    """When each node's newest report came; bounded by the number of nodes."""

    # By node: life and number of its newest report, and when it came, in monotonic seconds.
    received: dict[str, tuple[int, int, float]] = field(default_factory=dict)

    def advice(
        self,
        now: float,
        peer: str,
        life: int,
        number: int,
        data: bytes,
        trusted: bool,
    ) -> list[tuple[Advice, Word]]:
        """Decode a report, and correct its times by the time since it came. ``trusted``: the process that
        sent it is present and whole. Raises ReplicaRecordError if it cannot be read."""
        if self.received.get(peer, (0, 0, 0.0))[:2] != (life, number):
            self.received[peer] = life, number, now
        slowness, words = unpack(data)
        since = now - self.received[peer][2]
        return [
            (
                Advice(peer, word.mean_s or 1.0, word.observations, word.age_s + since, slowness, trusted),
                Word(
                    word.server, word.mean_s, word.observations, word.age_s, max(0.0, word.ejected_s - since)
                ),
            )
            for word in words
        ]
