"""Report of a compile: for each rule and class its outcome, deviations, reasons and better classes. Pure."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from beechrock.inventory.problems import Place
from beechrock.lowering.passes.draft import Finding, Outcome
from beechrock.lowering.policy import Feature

# Unit of the error of each feature, as shown in a row.
UNITS = {
    Feature.POOLS: "of the requests elsewhere",
    Feature.HALLS: "halls out of order",
    Feature.FALL_BACKS: "fall-backs fewer",
    Feature.AFFINITY: "steps of affinity",
    Feature.RATE: "limit gone",
    Feature.AT_ONCE: "limit gone",
    Feature.RETRIES: "retries fewer",
    Feature.HEDGE: "ms later",
    Feature.PRIORITY: "of the range",
    Feature.MIRRORS: "mirrors gone",
    Feature.SURVIVE: "requests/s short",
}


class Row(NamedTuple):
    """Outcome of one rule at one class.

    ``target`` is the class to which it is steered; ``mends`` are the classes that run the rule exactly as
    written.
    """

    rule: str
    place: Place
    hardware: str
    outcome: Outcome
    target: str = ""
    findings: tuple[Finding, ...] = ()
    mends: tuple[str, ...] = ()

    def error(self, feature: Feature) -> float:
        return max((f.error for f in self.findings if f.feature is feature), default=0.0)

    def line(self) -> str:
        text = f"{self.place}: {self.rule}: {self.hardware}: {self.outcome.value}"
        if self.target:
            text += f" to {self.target}"
        parts = [
            f"{f.feature.value} {f.outcome.value}"
            + (f" ({f.error:.3g} {UNITS.get(f.feature, '')})".rstrip() if f.error else "")
            + (f": {f.reason}" if f.reason else "")
            for f in self.findings
            if f.outcome is not Outcome.EXACT
        ]
        if parts:
            text += "; " + "; ".join(parts)
        return text + (f"; as it stands on {', '.join(self.mends)}" if self.mends else "")

    def as_json(self) -> dict[str, object]:
        return {
            "rule": self.rule,
            "file": self.place.file,
            "line": self.place.line,
            "class": self.hardware,
            "outcome": self.outcome.value,
            "target": self.target,
            "mends": list(self.mends),
            "features": [
                {
                    "feature": f.feature.value,
                    "outcome": f.outcome.value,
                    "error": f.error,
                    "reason": f.reason,
                    "need": list(f.need) if f.need else None,
                }
                for f in self.findings
            ],
        }


@dataclass(slots=True)
class Report:
    """All rows, and figures of the compile as a whole."""

    rows: list[Row]
    method: str  # Algorithm that placed the rules: solver, greedy or none
    used: Mapping[str, Mapping[str, float]]  # By class and resource: used share of the capacity
    # By lost hall or class: number of refusals that its loss adds, counted per rule and class.
    states: Mapping[str, int] = field(default_factory=dict)
    notes: Sequence[str] = ()
    witnesses: int = 0  # Number of sample requests that the judge checked

    def counts(self) -> dict[str, int]:
        found = {outcome.value: 0 for outcome in Outcome}
        for row in self.rows:
            found[row.outcome.value] += 1
        return found

    def of(self, rule: str) -> list[Row]:
        return [row for row in self.rows if row.rule == rule]

    def lines(self, only: Iterable[Outcome] = tuple(Outcome)) -> list[str]:
        wanted = set(only)
        return [row.line() for row in self.rows if row.outcome in wanted]


def outcome_of(findings: Sequence[Finding]) -> Outcome:
    """Return the outcome of a rule that runs, which is the worst outcome of its features."""
    outcomes = [f.outcome for f in findings]
    for outcome in (Outcome.DROPPED, Outcome.APPROXIMATED, Outcome.REWRITTEN):
        if outcome in outcomes:
            return outcome
    return Outcome.EXACT
