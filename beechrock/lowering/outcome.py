"""Builds the report of an assembly, with one row per rule and class. Pure."""

from collections.abc import Mapping, Sequence

from beechrock.lowering.assemble import Assembly
from beechrock.lowering.coarse import Class
from beechrock.lowering.passes.draft import Draft, Finding, Outcome
from beechrock.lowering.place import STEERED
from beechrock.lowering.policy import Feature, Rule
from beechrock.lowering.report import Report, Row, outcome_of
from beechrock.lowering.tables import REFUSE, RUN, STEER


def report(assembly: Assembly, method: str, mending: Mapping[str, Sequence[Draft]]) -> Report:
    rows = []
    able: dict[str, Sequence[Draft]] = {**{each.name: each.drafts for each in assembly.classes}, **mending}
    for rank, rule in enumerate(assembly.policy.rules):
        exact_at = [
            name
            for name in sorted(able)
            if not able[name][rank].stuck
            and outcome_of(able[name][rank].findings) in (Outcome.EXACT, Outcome.REWRITTEN)
        ]
        for each in assembly.classes:
            rows.append(_row(assembly, each, rank, rule, exact_at))
    used = {}
    for each in assembly.classes:
        costs = [
            want.steer[each.at] if ways[each.at] == STEERED else want.options[each.at][ways[each.at]]
            for want, ways in zip(assembly.wanted, assembly.ways, strict=True)
        ]
        held = [sum(column) for column in zip(*(cost.held() for cost in costs), strict=True)] or [0] * 4
        room = assembly.room(each)
        used[each.name] = {
            key: round(h / max(1, r), 4)
            for key, h, r in zip(("memory", "entries", "counters", "timers"), held, room.held(), strict=True)
        }
    refused = {
        state: sum(a.verdict == REFUSE for mine in changes.values() for a in mine.values())
        for state, changes in assembly.states.items()
    }
    return Report(rows, method, used, refused)


def _row(assembly: Assembly, each: Class, rank: int, rule: Rule, exact_at: list[str]) -> Row:
    draft = each.drafts[rank]
    mends = tuple(name for name in exact_at if name != each.name)
    if rank in each.covered:
        to = "" if each.coarse_to is None else assembly.classes[each.coarse_to].name
        return Row(
            rule.name,
            rule.place,
            each.name,
            Outcome.STEERED if to else Outcome.REFUSED,
            to,
            draft.stuck,
            mends,
        )
    action = assembly.action(rank, each.at)
    if action.verdict == RUN:
        findings = assembly.draft(rank, each.at).findings
        outcome = outcome_of(findings)
        worse = outcome not in (Outcome.EXACT, Outcome.REWRITTEN)
        return Row(rule.name, rule.place, each.name, outcome, "", findings, mends if worse else ())
    reasons = draft.stuck or (
        Finding(Feature.POOLS, Outcome.STEERED, 0.0, "no room in the table, or better run there"),
    )
    outcome = Outcome.STEERED if action.verdict == STEER else Outcome.REFUSED
    return Row(rule.name, rule.place, each.name, outcome, action.target, reasons, mends)
