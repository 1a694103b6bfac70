"""Verdict on a new version: its nodes' figures compared with the other nodes, or with before. Pure.

Verdicts: GOOD (go on), BAD (halt, with the reason), WAIT (too few requests yet). Under thin traffic, with
fewer than ``least`` requests, the verdict waits for at most ``most_wait_s``; after that only restarts count
(the driver halts for nodes that do not return), and the reason of a GOOD verdict starts with ``thin``.

Invariant: BAD rests on counted requests or restarts only; missing data gives WAIT until ``most_wait_s``.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    GOOD = "good"
    BAD = "bad"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class Figures:
    """Request counts of one node since its return, or of other nodes over the same time."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    slow: int = 0  # served later than the latency objective of their class
    restarts: int = 0

    def __add__(self, other: "Figures") -> "Figures":
        return Figures(
            self.requests + other.requests,
            self.served + other.served,
            self.refused + other.refused,
            self.failed + other.failed,
            self.slow + other.slow,
            self.restarts + other.restarts,
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """Thresholds of the verdict.

    ``least``: requests needed for a comparison; ``most_wait_s``: seconds to wait for them. ``worse``: by how
    much a share of all requests (0.01: one percentage point) may exceed that of the other nodes, beyond
    chance. ``sigmas``: standard deviations that count as chance. At 4, one of 16,000 comparisons halts a good
    version by bad luck; a release of 200 nodes makes some thousand comparisons.
    """

    least: int = 200
    most_wait_s: float = 300.0
    worse: float = 0.01
    sigmas: float = 4.0
    restarts: int = 0  # restarts of one node above which the version is bad


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict and its reason."""

    verdict: Verdict
    reason: str = ""


COMPARED_COUNTS = ("failed", "refused", "slow")  # compared in this order; the first breach is the reason


def total(figures: Iterable[Figures]) -> Figures:
    return sum(figures, Figures())


def judge(new: Figures, rest: Figures, before: Figures, waited_s: float, rules: Rules) -> Judgement:
    """Compare the figures of the new version, and return the verdict.

    ``new``: figures of the nodes with the new version; ``rest``: of the other nodes over the same time;
    ``before``: of the updated nodes before the change, used where ``rest`` has too few requests.
    """
    if new.restarts > rules.restarts:
        return Judgement(Verdict.BAD, f"{new.restarts} restarts, {rules.restarts} allowed")
    if new.requests < rules.least:
        if waited_s < rules.most_wait_s:
            return Judgement(Verdict.WAIT, f"{new.requests} of {rules.least} requests seen")
        return Judgement(Verdict.GOOD, f"thin: {new.requests} requests in {waited_s:.0f} s, none restarted")
    other, name = (rest, "the rest") if rest.requests >= rules.least else (before, "before")
    if other.requests < rules.least:
        if waited_s < rules.most_wait_s:
            return Judgement(Verdict.WAIT, "nothing to compare with yet")
        return Judgement(Verdict.GOOD, "thin: nothing to compare with")
    for part in COMPARED_COUNTS:
        new_share, other_share = getattr(new, part) / new.requests, getattr(other, part) / other.requests
        if new_share - other_share > rules.worse + rules.sigmas * _standard_deviation(new, other, part):
            return Judgement(Verdict.BAD, f"{part} {new_share:.1%}, {other_share:.1%} of {name}")
    return Judgement(Verdict.GOOD)


def _standard_deviation(new: Figures, other: Figures, part: str) -> float:
    """Return the standard deviation of the difference of both shares if the versions are equal."""
    pooled = (getattr(new, part) + getattr(other, part)) / (new.requests + other.requests)
    return math.sqrt(pooled * (1 - pooled) * (1 / new.requests + 1 / other.requests))
