"""Reduces a draft by features that are not ``must``, for tables that are too small for all. Pure."""

from collections.abc import Collection

from beechrock.lowering.passes.draft import Draft, Finding, Outcome
from beechrock.lowering.policy import Affinity, Feature, Mark

# Features that cost memory, counters or timers, with their draft field and its value without the feature.
# Pools, halls, fall-backs and priority are kept: they are the purpose of a rule or use nothing scarce.
BARE: tuple[tuple[Feature, str, object], ...] = (
    (Feature.AFFINITY, "affinity", Affinity.NONE),
    (Feature.RATE, "rate_per_s", None),
    (Feature.AT_ONCE, "at_once", None),
    (Feature.RETRIES, "retries", 0),
    (Feature.HEDGE, "hedge_ms", None),
    (Feature.MIRRORS, "mirrors", ()),
)


Wish = tuple[Feature, str, object, Mark]


def wishes(draft: Draft) -> list[Wish]:
    """Return the features of the draft that may be left out."""
    found: list[Wish] = []
    for feature, key, bare in BARE:
        if getattr(draft, key) != bare:
            mark = draft.rule.mark(feature)
            if mark is not Mark.MUST:
                found.append((feature, key, bare, mark))
    return found


def lean(draft: Draft, without: Collection[Wish], reason: str) -> Draft:
    """Return the draft without these features; the same object if ``without`` is empty."""
    changes = {key: bare for _, key, bare, _ in without}
    dropped = [feature for feature, *_ in without]
    if not dropped:
        return draft
    findings = [f for f in draft.findings if f.feature not in dropped]
    findings += [
        Finding(feature, Outcome.DROPPED, _full_error(draft, feature), reason, ("memory_kb", "more"))
        for feature in dropped
    ]
    return draft.with_changes(findings=tuple(findings), **changes)


def _full_error(draft: Draft, feature: Feature) -> float:
    """Return the error of a feature that is dropped entirely, in its unit."""
    rule = draft.rule
    match feature:
        case Feature.AFFINITY:
            return float(rule.affinity)
        case Feature.RETRIES:
            return float(rule.retries)
        case Feature.HEDGE:
            return float(rule.hedge_ms or 0)
        case Feature.MIRRORS:
            return float(len(rule.mirrors))
        case _:
            return 1.0
