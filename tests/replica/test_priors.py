"""First estimates of a node that has just started: good advice improves them, and bad advice does no harm."""

import random

import pytest

from beechrock.replica.priors import DOUBT, MAX_WEIGHT, Advice, Estimate

TRUE, CAUTIOUS = 40.0, 5.0


def steady(advice: list[Advice], seed: int) -> int:
    """Return the number of own samples after which the estimate stays within a fifth of the true value."""
    draw, estimate, last = random.Random(seed), Estimate(CAUTIOUS), 0
    estimate.advise(advice)
    for n in range(1, 60):
        if abs(estimate.value / TRUE - 1) > 0.2:
            last = n
        estimate.observe(TRUE * draw.uniform(0.8, 1.25))
    return last


GOOD = [Advice(name, TRUE * part, 500, 10.0) for name, part in (("a", 0.95), ("b", 1.05), ("c", 1.0))]


@pytest.mark.parametrize(
    "bad",
    [
        [],
        [Advice("a", 400.0, 900, 400.0)],
        [Advice("a", 400.0, 900, 1.0, slowness=4.0)],
        [Advice("a", float("nan"), 9, 1.0)],
        [Advice("a", 400.0, 900, 1.0, whole=False)],
        [Advice("a", 400.0, 900, -5.0)],
        [Advice("a", 400.0, 0, 1.0)],
    ],
)
def test_unsound_advice_has_no_weight(bad: list[Advice]) -> None:
    assert [steady(bad, seed) for seed in range(20)] == [steady([], seed) for seed in range(20)]


def test_good_advice_helps_and_wrong_advice_is_dropped_as_soon_as_own_samples_contradict_it() -> None:
    for seed in range(20):
        assert steady(GOOD, seed) <= steady([], seed)
        wrong = Advice("x", 4 * TRUE, 10_000, 0.0)
        assert steady([wrong], seed) <= max(steady([], seed), DOUBT)
        assert steady([*GOOD, wrong], seed) <= steady([], seed)
    assert all(advice.weight <= MAX_WEIGHT for advice in GOOD)
    estimate = Estimate(CAUTIOUS)
    estimate.advise(GOOD)
    for _ in range(40):
        estimate.observe(10.0)
    estimate.advise(GOOD)  # The same advice again: by now only own samples count.
    assert estimate.value == pytest.approx(10.0)
