"""``beechrock policy``: check, compile, explain."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import ujson

from beechrock.cli.inventory import OUTPUT_FORMAT, PATH, fail

if TYPE_CHECKING:
    from beechrock.lowering.compile import Compiled
    from beechrock.lowering.policy import Policy
    from beechrock.lowering.profile import Fleet, Profile


@click.group()
def policy() -> None:
    """Routing policy: the groups rules, pools and hardware of an inventory, lowered to what each class can
    run."""


def _read(path: Path) -> "tuple[str, tuple[Policy, dict[str, Profile], Fleet]]":
    """Return the inventory's digest, as nodes show it, and the policy."""
    from beechrock.inventory import model
    from beechrock.inventory.generation import content, digest_of
    from beechrock.inventory.problems import Problems
    from beechrock.lowering.read import policy_of

    if not path.exists():
        fail([f"{path}: No such file or directory"], 2)
    problems = Problems()
    checked = model.read(path, problems)
    policy = policy_of(checked[0], problems) if checked is not None else None
    if problems.errors or checked is None or policy is None:
        fail([*problems.lines(), f"{problems.errors} errors"], 1)
    return digest_of(content(checked[0])), policy


def _compiled(path: Path, strict: bool, time_s: float) -> "tuple[str, Compiled]":
    from beechrock.errors import OperatorError
    from beechrock.lowering.compile import compile_policy

    digest, policy = _read(path)
    try:
        return digest, compile_policy(*policy, strict=strict, time_s=time_s)
    except OperatorError as error:
        fail([str(error)], error.exit_code)


@policy.command()
@click.argument("path", type=PATH)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def check(path: Path, output_format: str) -> None:
    """Say whether the policy holds together and where each rule would run. Exit 1 where it can't be taken
    up."""
    _, compiled = _compiled(path, True, 3.0)
    summary = {
        "rules": len({row.rule for row in compiled.report.rows}),
        "witnesses": compiled.report.witnesses,
        "placed": compiled.report.method,
        "digest": compiled.plan.digest,
        "outcomes": compiled.report.counts(),
        "used": compiled.report.used,
        "refused_when_lost": compiled.report.states,
    }
    if output_format == "json":
        click.echo(ujson.dumps(summary, indent=2))
    else:
        outcomes = ", ".join(f"{count} {name}" for name, count in compiled.report.counts().items() if count)
        click.echo(f"good: {summary['rules']} rules, {outcomes}; {summary['witnesses']} witnesses")
        for state, count in compiled.report.states.items():
            if count:
                click.echo(f"without {state}: {count} rules are refused at some class")


@policy.command("compile")
@click.argument("path", type=PATH)
@click.option("--to", "target", type=PATH, required=True, help="File for the plan's bytes.")
@click.option("--time", "time_s", default=3.0, show_default=True, help="Seconds for the solver; 0: greedy.")
def compile_(path: Path, target: Path, time_s: float) -> None:
    """Write the plan as nodes take it. The same inventory gives the same bytes."""
    digest, compiled = _compiled(path, True, time_s)
    target.write_bytes(compiled.plan.data)
    click.echo(
        f"{compiled.plan.digest} {len(compiled.plan.data)} bytes, {compiled.report.witnesses} witnesses, "
        f"of the inventory {digest}"
    )


@policy.command()
@click.argument("path", type=PATH)
@click.option("--rule", help="Only this rule.")
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def explain(path: Path, rule: str | None, output_format: str) -> None:
    """Tell of each rule and class what became of it, how far off, why, and which class runs it as it
    stands."""
    _, compiled = _compiled(path, False, 3.0)
    rows = compiled.report.rows if rule is None else compiled.report.of(rule)
    if not rows:
        fail([f"{path}: {rule}: no rule of this name"], 1)
    if output_format == "json":
        click.echo(ujson.dumps([row.as_json() for row in rows], indent=2, escape_forward_slashes=False))
    else:
        for row in rows:
            click.echo(row.line())
    sys.exit(0)
