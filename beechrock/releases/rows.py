"""Conversion of the agreed state's values to rows for msgpack, and to text for operators. Pure."""

from collections.abc import Iterable
from typing import Any

import msgpack

from beechrock.releases.permits import Budget, Kind, Refused
from beechrock.releases.release import Plan, Release, Stage, Step

FORMAT = 1  # of commands and snapshots


def command(verb: str, *rest: Any) -> bytes:
    """Encode a command of the log."""
    packed: bytes = msgpack.packb([FORMAT, verb, *rest])
    return packed


def describe_refusal(refused: Refused) -> str:
    """Return the refusal as text for an operator: the reason, the bound, and the targets that are out."""
    text = refused.reason.value
    if refused.budget:
        text += f": {refused.budget}, {refused.allowed} allowed"
    return text + (f"; out: {', '.join(refused.out)}" if refused.out else "")


def budget_row(budget: Budget) -> list[Any]:
    return [
        budget.name,
        budget.most,
        budget.part,
        budget.kind.value,
        budget.hall,
        budget.service,
        budget.hardware,
        budget.each_hall,
    ]


def budget_rows(budgets: Iterable[Budget]) -> list[list[Any]]:
    return [budget_row(budget) for budget in budgets]


def parse_budget(row: list[Any]) -> Budget:
    name, most, part, kind, hall, service, hardware, each_hall = row
    return Budget(name, most, part, Kind(kind), hall, service, hardware, each_hall)


def release_row(release: Release) -> list[Any]:
    plan = release.plan
    return [
        plan.name,
        plan.version,
        plan.before,
        plan.waves,
        plan.for_s,
        release.stage.value,
        {name: step.value for name, step in release.steps.items()},
        release.touched,
        {name: step.value for name, step in release.undone.items()},
        release.good,
        release.fence,
        release.reason,
    ]


def parse_release(row: list[Any]) -> Release:
    name, version, before, waves, for_s, stage, steps, touched, undone, good, fence, reason = row
    plan = Plan(name, version, before, tuple(map(tuple, waves)), for_s)
    return Release(
        plan,
        Stage(stage),
        {target: Step(step) for target, step in steps.items()},
        touched,
        {target: Step(step) for target, step in undone.items()},
        good,
        fence,
        reason,
    )
