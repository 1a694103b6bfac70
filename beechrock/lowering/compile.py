"""Compiles a policy, the class profiles and the fleet's machine counts into a plan and a report. Pure."""

import gc
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import blake3
import msgpack

from beechrock.lowering import outcome, passes
from beechrock.lowering.abilities import HAS, needs_of
from beechrock.lowering.assemble import Assembly
from beechrock.lowering.coarse import Class
from beechrock.lowering.errors import NowhereError, PlanError, PolicyError
from beechrock.lowering.passes.draft import Draft, pass_context
from beechrock.lowering.place import TIME_S, place
from beechrock.lowering.policy import MAX_CHAIN, NOWHERE, Kind, Policy
from beechrock.lowering.profile import Fleet, Profile, as_row
from beechrock.lowering.report import Report
from beechrock.lowering.tables import Table
from beechrock.lowering.witness import Judge

PLAN_FORMAT = 2  # Format 1 listed the needed features once for all classes
MAX_PLAN = 64 << 20  # Maximum size of a plan, in bytes


@dataclass(frozen=True, slots=True)
class Plan:
    """Unit of publication: the packed table of each class, and the classes lost in each loss state."""

    data: bytes
    digest: str
    policy: str  # Digest of the compile's input
    needs: Mapping[str, tuple[str, ...]]  # By class: features that a program must support to run its table
    tables: Mapping[str, bytes]
    lost: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    # By class: declared values with which nodes compare their own measurements.
    declared: Mapping[str, Mapping[str, float]] = field(default_factory=dict)


@dataclass(slots=True)
class Compiled:
    plan: Plan
    report: Report
    tables: dict[str, Table]


def pack_plan(
    policy: str,
    needs: Mapping[str, Sequence[str]],
    tables: Mapping[str, bytes],
    lost: Mapping[str, Sequence[str]],
    declared: Mapping[str, Mapping[str, float]],
) -> Plan:
    data: bytes = msgpack.packb(
        [
            PLAN_FORMAT,
            policy,
            [[name, list(needs[name])] for name in sorted(needs)],
            [[hardware, tables[hardware]] for hardware in sorted(tables)],
            [[state, sorted(lost[state])] for state in sorted(lost)],
            [[name, sorted(declared[name].items())] for name in sorted(declared)],
        ]
    )
    return read_plan(data)


def read_plan(data: bytes) -> Plan:
    """Return the plan in these bytes. Raises PlanError if this program can't read them.

    ``lacking`` says whether this program can run the table of its own class.
    """
    if len(data) > MAX_PLAN:
        raise PlanError(
            f"a plan of {len(data)} bytes", wanted=f"up to {MAX_PLAN}", do="fewer rules or classes"
        )
    try:
        form, policy, needs, tables, lost, declared = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PlanError(f"no plan: {error}", wanted="what the compile packed", do="publish again") from None
    if form not in (1, PLAN_FORMAT):
        raise PlanError(
            f"a plan of format {form}",
            wanted=f"format {PLAN_FORMAT}, or 1",
            do="upgrade this node; it is steered round until then",
        )
    needs = [[name, needs] for name, _ in tables] if form == 1 else needs
    return Plan(
        data,
        blake3.blake3(data).hexdigest(),
        policy,
        {name: tuple(features) for name, features in needs},
        dict(tables),
        {state: tuple(names) for state, names in lost},
        {name: dict(values) for name, values in declared},
    )


def lacking(plan: Plan, hardware: str) -> str:
    """Return why this program can't run the table of this class; empty if it can."""
    missing = sorted(set(plan.needs.get(hardware, ())) - set(HAS))
    return f"this program lacks {', '.join(missing)}, which its table needs; upgrade it" if missing else ""


def policy_digest(policy: Policy, profiles: Mapping[str, Profile], fleet: Fleet) -> str:
    """Return the digest of a compile's input; the same content has the same digest."""
    # File positions are left out, so that moving a rule to another line does not change the digest.
    rules = [replace(rule, place=NOWHERE, places={}) for rule in policy.rules]
    content = repr(
        (
            rules,
            [replace(pool, place=NOWHERE) for _, pool in sorted(policy.pools.items())],
            sorted(policy.effects.items()),
            [sorted(as_row(profiles[hardware]).items()) for hardware in sorted(profiles)],
            sorted(fleet.machines.items()),
        )
    )
    return blake3.blake3(content.encode()).hexdigest()


def drafts_of(policy: Policy, profiles: Sequence[Profile]) -> list[list[Draft]]:
    """Return for each class the drafts of all rules, without regard to table size.

    Classes share a draft if no pass lowers the rule differently for them.
    """
    policy_context = pass_context(policy)
    found: list[list[Draft]] = [[] for _ in profiles]
    steps: list[tuple[passes.Pass, dict[Places, Parts]]] = []
    every: Places = tuple(range(len(profiles)))
    # By step and class: index of the first class with the same values of the fields that the step reads.
    alike: list[list[int]] = []
    for step, reads, _ in passes.ALL:
        kinds = [tuple(getattr(profile, key) for key in reads) for profile in profiles]
        alike.append([kinds.index(kind) for kind in kinds])
        steps.append((step, {}))  # By set of classes that share a draft: how the step splits the set
    for rank, rule in enumerate(policy.rules):
        groups: list[tuple[Draft, Places]] = [(passes.first(rule, rank), every)]
        for at, (step, known) in enumerate(steps):
            if not passes.ALL[at][2](rule):
                continue
            after: list[tuple[Draft, Places]] = []
            for draft, places in groups:
                parts = known.get(places)
                if parts is None:
                    parts = known[places] = _parts(places, alike[at], profiles)
                if len(parts) == 1:
                    after.append((step(draft, parts[0][0], policy_context), places))
                    continue
                # By id of the new draft, as a step may return its input unchanged for several classes.
                changed: dict[int, tuple[Draft, Places]] = {}
                for profile, part in parts:
                    new = step(draft, profile, policy_context)
                    same = changed.get(id(new))
                    changed[id(new)] = (new, part) if same is None else (new, (*same[1], *part))
                after += changed.values()
            groups = after
        for draft, places in groups:
            for place_at in places:
                found[place_at].append(draft)
    return found


Places = tuple[int, ...]
Parts = list[tuple[Profile, Places]]


def _parts(places: Places, alike: Sequence[int], profiles: Sequence[Profile]) -> Parts:
    """Split the classes into groups that a step treats alike, with the first class's profile."""
    parts: dict[int, list[int]] = {}
    for at in places:
        parts.setdefault(alike[at], []).append(at)
    return [(profiles[part[0]], tuple(part)) for part in parts.values()]


def _check_chains(policy: Policy) -> None:
    """Raise PolicyError if over MAX_CHAIN rules match the same subject, as lookups would be slow."""
    count: dict[tuple[str | None, str | None, str], int] = {}
    for rule in policy.rules:
        for subject in rule.match.subjects or ("",):
            key = (
                rule.match.team,
                rule.match.service,
                (subject + "*" if rule.match.kind is Kind.PREFIX else subject),
            )
            count[key] = count.get(key, 0) + 1
            if count[key] > MAX_CHAIN:
                raise PolicyError(
                    f"over {MAX_CHAIN} rules for the same subject {subject!r}",
                    where=f"{rule.place}: rules.{rule.name}",
                    do="merge some of them",
                )


@contextmanager
def _gc_paused() -> Iterator[None]:
    """Pause the cyclic garbage collector during a compile.

    A compile creates some hundred thousand objects and drops few, and the collector took a fifth of its time.
    Reference cycles are collected afterwards.
    """
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


@_gc_paused()
def compile_policy(
    policy: Policy,
    profiles: Mapping[str, Profile],
    fleet: Fleet,
    *,
    strict: bool = True,
    time_s: float = TIME_S,
    judged: bool = True,
) -> Compiled:
    """Return the plan and a report on each rule.

    Raises PolicyError if the input is invalid, NowhereError if no class can keep a rule's ``must`` (only if
    ``strict``; otherwise its requests are rejected), and WitnessError if the tables differ from the policy's
    meaning.
    """
    names = fleet.classes()
    for name in names:
        if name not in profiles:
            raise PolicyError(
                f"machines are of the class {name}, which is not defined",
                where="hardware",
                wanted=", ".join(sorted(profiles)),
                do="add it to the group hardware",
            )
    if not names:
        raise PolicyError(
            "no machine has a hardware class", where="machines", do="set hardware for the machines"
        )
    _check_chains(policy)
    drafts = drafts_of(policy, [profiles[name] for name in names])
    classes = [Class(name, profiles[name], drafts[at], at) for at, name in enumerate(names)]
    assembly = Assembly(policy, classes, fleet)
    wants, rooms = assembly.wants(), assembly.rooms()
    placed = place(wants, rooms, time_s)
    assembly.take(wants, placed)
    if strict and (bad := assembly.unplaceable_rule()) is not None:
        rule, reason = bad
        raise NowhereError(
            f"no class can run it: {reason}",
            where=f"{rule.place}: rules.{rule.name}",
            wanted="a class that keeps all of its must",
            do="mark less as must, or see `beechrock policy explain` for what a class would need",
        )
    packed = assembly.tables()
    lost = assembly.lost()
    declared = {
        hardware: {"memory_kb": profiles[hardware].memory_kb, "match_us": profiles[hardware].match_us}
        for hardware in names
    }
    tables = {name: Table(data) for name, data in packed.items()}
    needs = {name: needs_of(table) for name, table in tables.items()}
    plan = pack_plan(policy_digest(policy, profiles, fleet), needs, packed, lost, declared)
    spare = [name for name in profiles if name not in names] if len(policy.rules) <= 1000 else []
    mending = (
        dict(zip(spare, drafts_of(policy, [profiles[hardware] for hardware in spare]), strict=True))
        if spare
        else {}
    )
    report = outcome.report(assembly, placed.method, mending)
    if judged:
        judge = Judge(
            policy,
            tables,
            assembly.stated_findings(),
            assembly.refused(),
            {state: frozenset(lost_names) for state, lost_names in lost.items()},
        )
        report.witnesses = judge.run()
    return Compiled(plan, report, tables)
