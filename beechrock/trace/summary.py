"""What a trace says of service: by class, team and window, with latencies. Pure; it keeps counts, not rows.

Its counts are those of the live counters: a test records a run and compares them all.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from beechrock.trace.records import Row, value

MOST_US, DIGITS = 3_600_000_000, 3  # an hour; three digits keep an error under 0.1%
SHOWN = (50, 95, 99)
MOST_OPEN = 100_000  # requests whose end is still to come; the oldest beyond it are forgotten
MOST_GROUPS = 10_000  # of class, team and window; what comes beyond counts as "others"


@dataclass(slots=True)
class Group:
    """Answers of one class, team and window. Latencies are of served ones, from ``born``."""

    asked: int = 0
    verdicts: Counter[str] = field(default_factory=Counter)
    took: Counter[int] = field(default_factory=Counter)  # microseconds, rounded as the histogram does

    def add(self, took_s: float) -> None:
        """Counted first and put into the histogram once: that alone made a summary seven times slower."""
        us = min(MOST_US, max(1, round(1e6 * took_s)))
        step = 10 ** max(0, len(str(us)) - DIGITS - 1)
        self.took[us // step * step] += 1

    def latencies_s(self, percentiles: Iterable[int]) -> list[float | None]:
        if not self.took:
            return [None for _ in percentiles]
        histogram = HdrHistogram(1, MOST_US, DIGITS)
        for us, count in self.took.items():
            histogram.record_value(us, count)
        return [float(histogram.get_value_at_percentile(p)) / 1e6 for p in percentiles]


class Summary:
    """Takes rows in their order; ``window_s`` 0 stands for the whole."""

    def __init__(self, window_s: float = 0.0) -> None:
        self.window_s = window_s
        self.groups: dict[tuple[float, str, str], Group] = {}
        self.counters: Counter[str] = Counter()
        self.first = self.last = 0.0
        self.rows = self.gaps = self.dropped = self.jumps = 0
        self._open: dict[tuple[str, int], tuple[str, str]] = {}  # by node and id: route and team

    def take(self, rows: Iterable[Row], node: str = "") -> "Summary":
        """Count rows of one node, or of several with the marks that a merge sets between them."""
        several = node
        for row in rows:
            self.rows += 1
            at = row[1]
            self.first, self.last = min(self.first or at, at), max(self.last, at)
            match row[0]:
                case "taken":
                    self._taken(row, node)
                case "rejected":
                    self.counters["intake.requests"] += 1
                    self.counters["intake." + value(row, "reason")] += 1
                case "arrived":
                    self.counters["intake.repeats"] += value(row, "repeats") is not None
                case "caller_gone":
                    self.counters["intake.gone"] += 1
                case "call_needed":
                    self.counters["intake.calls_wanted"] += 1
                case "run_ended":
                    self.counters["runs." + value(row, "outcome")] += 1
                case "answered":
                    self._answered(row, node)
                case "node":
                    node = f"{several}/{row[2]}"
                case "gap":
                    self.gaps, self.dropped = self.gaps + 1, self.dropped + value(row, "dropped")
                case "jump":
                    self.jumps += 1
        return self

    def _group(self, at: float, route: str, team: str) -> Group:
        window = at // self.window_s * self.window_s if self.window_s else 0.0
        key = window, route, team
        if key not in self.groups and len(self.groups) >= MOST_GROUPS:
            key = 0.0, "others", ""
        return self.groups.setdefault(key, Group())

    def _taken(self, row: Row, node: str) -> None:
        route, team = value(row, "route"), value(row, "team")
        self.counters["intake.requests"] += 1
        self._group(row[1], route, team).asked += 1
        if len(self._open) >= MOST_OPEN:
            del self._open[next(iter(self._open))]
        self._open[node, value(row, "id")] = route, team

    def _answered(self, row: Row, node: str) -> None:
        verdict, took = value(row, "verdict"), value(row, "took_s")
        self.counters["answered." + verdict] += 1
        route, team = self._open.pop((node, value(row, "id")), ("(before)", ""))
        group = self._group(row[1], route, team)
        group.verdicts[verdict] += 1
        if verdict == "served":
            group.add(took)

    def table(self) -> list[dict[str, Any]]:
        """A line a group, in the order of windows, classes and teams."""
        found = []
        for (window, route, team), group in sorted(self.groups.items()):
            answers = sum(group.verdicts.values())
            found.append(
                {
                    "from": window or None,
                    "class": route,
                    "team": team,
                    "asked": group.asked,
                    **{name: group.verdicts[name] for name in ("served", "refused", "failed")},
                    "served_part": group.verdicts["served"] / answers if answers else None,
                    **{f"p{p}_s": took for p, took in zip(SHOWN, group.latencies_s(SHOWN), strict=True)},
                }
            )
        return found
