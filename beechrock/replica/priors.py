"""How a node that has just started uses the observations of other nodes, and when it drops them. Pure.

A prior is a value with its evidence: number of samples, age, and the health of its giver. Its weight counts
as that many own samples, at most MAX_WEIGHT, so a few own samples outweigh it. The weight decreases with
age, and becomes 0 after ENOUGH_SAMPLES own samples or when they contradict the prior. Without samples or a
prior, the estimate is the cautious value.

Invariants: no weight exceeds MAX_WEIGHT; a giver that is slow or not whole has weight 0; the age is the one
that the giver reported plus the time since the report came by the receiver's clock, so wall clocks are never
compared; the estimate lies between the smallest and the largest of the values that it combines.
"""

import math
from dataclasses import dataclass

MAX_WEIGHT = 8.0  # Weight of the best advice, in own samples.
HALF_LIFE_S = 60.0  # Age at which the weight has halved, in seconds.
MAX_AGE_S = 300.0  # Age above which advice has no weight, in seconds.
# Number of own samples after which a prior is dropped, and each new sample moves the mean by
# 1/ENOUGH_SAMPLES.
ENOUGH_SAMPLES = 32
MAX_RATIO = 2.0  # Factor between own mean and prior above which the prior is dropped, after DOUBT samples.
DOUBT = 3  # Number of own samples that can contradict a prior.
FULL_WEIGHT_SAMPLES = 100.0  # Number of a giver's samples for full weight.
SLOW = 1.5  # Ratio of a giver's loop interval to its usual one above which its advice has no weight.
MAX_GIVERS = 64  # Maximum number of advices combined.


@dataclass(frozen=True, slots=True)
class Advice:
    """A value observed by another node."""

    giver: str  # Name of the node.
    value: float
    samples: int
    age_s: float  # Age in seconds: as reported, plus the time since the report came.
    slowness: float = 1.0  # Ratio of the giver's loop interval to its usual one; 1.0 if healthy.
    whole: bool = True  # Whether the giver's records are complete.

    @property
    def weight(self) -> float:
        """Weight of the value, in own samples; 0 if it can't be relied on."""
        sound = (
            self.whole
            and self.slowness <= SLOW
            and 0 <= self.age_s <= MAX_AGE_S
            and self.samples > 0
            and math.isfinite(self.value)
            and self.value > 0
        )
        if not sound:
            return 0.0
        return float(
            MAX_WEIGHT * min(1.0, self.samples / FULL_WEIGHT_SAMPLES) * 0.5 ** (self.age_s / HALF_LIFE_S)
        )


@dataclass(slots=True)
class Estimate:
    """An estimate of one value, from advice and own samples."""

    cautious: float  # Estimate without advice and samples.
    prior: float = 0.0  # Value from advice.
    weight: float = 0.0  # Weight of the prior, in own samples.
    mean: float = 0.0  # Mean of the own samples; exponential after ENOUGH_SAMPLES of them.
    samples: int = 0  # Number of own samples.

    def advise(self, advice: list[Advice]) -> None:
        """Set the prior to the weighted median of the advice, so that one wrong giver of three has no
        effect."""
        sound = sorted((item for item in advice[:MAX_GIVERS] if item.weight > 0), key=lambda item: item.value)
        self.weight = max((item.weight for item in sound), default=0.0)
        half, below = sum(item.weight for item in sound) / 2, 0.0
        for item in sound:
            below += item.weight
            if below >= half:
                self.prior = item.value
                break
        self._drop_contradicted_prior()

    def observe(self, value: float) -> None:
        self.samples += 1
        self.mean += (value - self.mean) / min(self.samples, ENOUGH_SAMPLES)
        self._drop_contradicted_prior()

    def _drop_contradicted_prior(self) -> None:
        contradicted = (
            self.samples >= DOUBT and not self.mean / MAX_RATIO <= self.prior <= self.mean * MAX_RATIO
        )
        if self.samples >= ENOUGH_SAMPLES or contradicted:
            self.weight = 0.0

    @property
    def value(self) -> float:
        """The present estimate."""
        if not self.samples and not self.weight:
            return self.cautious
        own = min(self.samples, ENOUGH_SAMPLES)
        if not self.weight:
            # Without advice, the estimate moves from the cautious value to the mean over DOUBT samples.
            trust = min(1.0, own / DOUBT)
            return self.cautious + trust * (self.mean - self.cautious)
        return (self.prior * self.weight + self.mean * own) / (self.weight + own)
