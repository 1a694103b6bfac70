"""How far two nodes' clocks stand apart, from requests seen in both. Pure.

Two kinds of evidence. *Same*: one try whose trace id is in both records was read at about the same time in
both. *Before*: of one key's tries the first came before the marked retries, so each such pair bounds the
offset from one side. Offset and drift come from pairs of the first kind by medians of slopes (Theil and Sen),
and from bounds alone by the middle of what they leave open. Without either nothing is guessed.
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from beechrock.trace.errors import NothingToGoByError
from beechrock.trace.records import Row, value

MOST_PAIRS = 20_000  # kept of each kind, spread over the whole
SLOPES = 400  # points between which slopes are taken
TRUST = "with --clocks trust the times are taken as they are"
FEWEST_SAME, FEWEST_DRIFT = 3, 20
LEAST_SPAN_S = 30.0  # over less a drift can't be told from noise
MOST_UNSURE_S = 5.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """``b``'s clock less ``a``'s is ``offset_s`` at ``at_s`` of a's clock, and grows by ``drift_ppm``."""

    offset_s: float
    drift_ppm: float
    at_s: float
    unsure_s: float
    same: int
    bounds: int

    def to_first(self, at: float) -> float:
        """A time of b's clock as a's."""
        rate = 1 + self.drift_ppm / 1e6
        return self.at_s + (at - self.at_s - self.offset_s) / rate

    def __str__(self) -> str:
        return (
            f"offset {self.offset_s:+.4f} s, drift {self.drift_ppm:+.1f} ppm, unsure by "
            f"{self.unsure_s:.4f} s ({self.same} tries seen in both, {self.bounds} bounds by keys)"
        )


Sight = tuple[float, bool]  # when, and whether it was marked as a retry


class Sights:
    """What one record has seen of traces and keys."""

    def __init__(self, rows: Iterable[Row] = ()) -> None:
        self.traces: dict[str, float] = {}
        self.keys: dict[str, list[Sight]] = {}
        for row in rows:
            self.take(row)

    def take(self, row: Row) -> None:
        if row[0] != "taken":
            return
        if len(self.traces) < 50 * MOST_PAIRS:
            self.traces.setdefault(value(row, "trace"), row[1])
        key = value(row, "key")
        if key and (len(self.keys) < 10 * MOST_PAIRS or key in self.keys):
            held = self.keys.setdefault(key, [])
            if len(held) < 8:
                held.append((row[1], bool(value(row, "retry"))))


def estimate(a: Sights, b: Sights) -> Estimate:
    """NothingToGoByError where too little is seen in both, or the evidence contradicts itself."""
    same = sorted((at, b.traces[trace]) for trace, at in a.traces.items() if trace in b.traces)
    low, high, bounds = _bounds(a, b)
    if len(same) >= FEWEST_SAME:
        return _from_same(_thinned(same, MOST_PAIRS), bounds)
    if not bounds:
        raise NothingToGoByError(f"{len(same)} tries seen in both, no key's tries in both", do=TRUST)
    if low == float("-inf") or high == float("inf"):
        side = "over" if high == float("inf") else "under"
        known = low if high == float("inf") else high
        raise NothingToGoByError(
            f"{bounds} bounds by keys, all from one side: the offset is {side} {known:+.3f} s", do=TRUST
        )
    unsure = (high - low) / 2
    if unsure < 0:
        raise NothingToGoByError(
            f"bounds by keys contradict each other by {-2 * unsure:.3f} s: a clock drifts or jumped", do=TRUST
        )
    if unsure > MOST_UNSURE_S:
        raise NothingToGoByError(
            f"bounds by keys leave {2 * unsure:.1f} s open, from {low:+.3f} to {high:+.3f} s", do=TRUST
        )
    at = min((sight[0][0] for sight in a.keys.values()), default=0.0)
    return Estimate((low + high) / 2, 0.0, at, unsure, len(same), bounds)


def _bounds(a: Sights, b: Sights) -> tuple[float, float, int]:
    """The offset is above the first and below the second, by so many pairs of tries of one key."""
    low, high, count = float("-inf"), float("inf"), 0
    for key, held in a.keys.items():
        for at, retry in held:
            for other, again in b.keys.get(key, ()):
                if not retry and again:  # a's came before: a < b - offset
                    high, count = min(high, other - at), count + 1
                elif retry and not again:
                    low, count = max(low, other - at), count + 1
    return low, high, count


def _thinned(pairs: list[tuple[float, float]], most: int) -> list[tuple[float, float]]:
    return pairs if len(pairs) <= most else [pairs[n * len(pairs) // most] for n in range(most)]


def _from_same(pairs: list[tuple[float, float]], bounds: int) -> Estimate:
    start, span = pairs[0][0], pairs[-1][0] - pairs[0][0]
    gaps = [(at - start, other - at) for at, other in pairs]
    drift = 0.0
    if len(pairs) >= FEWEST_DRIFT and span >= LEAST_SPAN_S:
        points = _thinned(gaps, SLOPES)
        half = len(points) // 2
        slopes = [
            (y2 - y1) / (x2 - x1)
            for (x1, y1), (x2, y2) in zip(points, points[half:], strict=False)
            if x2 > x1
        ]
        drift = statistics.median(slopes)
    levels = sorted(y - drift * x for x, y in gaps)
    offset = statistics.median(levels)
    # Half of the middle nine tenths: how far the passage of a try to either node differs.
    unsure = (levels[int(0.95 * (len(levels) - 1))] - levels[int(0.05 * (len(levels) - 1))]) / 2
    if unsure > MOST_UNSURE_S:
        raise NothingToGoByError(
            f"{len(pairs)} tries seen in both differ by {2 * unsure:.1f} s: no one offset", do=TRUST
        )
    return Estimate(offset, drift * 1e6, start, unsure, len(pairs), bounds)
