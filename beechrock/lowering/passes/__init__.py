"""The compiler passes: each turns the draft of one rule for one class into the next and records findings.

The passes are pure and independent of each other. ``ALL`` has them in order: the match conditions first, then
the features of the rule, and last the check of the survivable rate, after the last change.
"""

from collections.abc import Callable

from beechrock.lowering.passes.again import hedges, mirrors, retries
from beechrock.lowering.passes.draft import Draft, Finding, Outcome, Pass, first
from beechrock.lowering.passes.keep import affinity, limits, priority
from beechrock.lowering.passes.spread import fall_backs, halls, slots
from beechrock.lowering.passes.subjects import exacts_to_prefixes, ranges, sets_to_exacts
from beechrock.lowering.passes.survive import survive
from beechrock.lowering.policy import MAX_ATTEMPT, MAX_SIZE, Affinity, Kind, Rule

Asks = Callable[[Rule], bool]
# By pass: the fields of the profile that it reads, and a test whether a rule needs the pass. Classes with
# equal values of these fields share drafts; if a rule doesn't need a pass, its drafts stay unchanged.
ALL: tuple[tuple[Pass, tuple[str, ...], Asks], ...] = (
    (sets_to_exacts, ("kinds",), lambda rule: rule.match.kind is Kind.SET),
    (exacts_to_prefixes, ("kinds", "ends"), lambda rule: rule.match.kind is not Kind.ANY),
    (
        ranges,
        ("kinds",),
        lambda rule: rule.match.size != (0, MAX_SIZE) or rule.match.attempt != (1, MAX_ATTEMPT),
    ),
    (halls, ("tiers",), lambda rule: bool(rule.halls)),
    (fall_backs, ("tiers",), lambda rule: bool(rule.fall_backs)),
    (slots, ("slots",), lambda _: True),
    (affinity, ("affinity",), lambda rule: rule.affinity is not Affinity.NONE),
    (limits, ("counters",), lambda rule: rule.rate_per_s is not None or rule.at_once is not None),
    (priority, ("levels",), lambda _: True),
    (retries, ("retries",), lambda rule: rule.retries > 0),
    (hedges, ("timers", "timer_ms"), lambda rule: rule.hedge_ms is not None),
    (mirrors, ("mirrors",), lambda rule: bool(rule.mirrors)),
    (survive, (), lambda rule: rule.survive_per_s > 0),
)

__all__ = ["ALL", "Draft", "Finding", "Outcome", "Pass", "first"]
