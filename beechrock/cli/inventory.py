"""``beechrock inventory``: check, show, diff, convert, plan."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click
import ujson

from beechrock.cli.errors import UnreadableError

if TYPE_CHECKING:
    from beechrock.inventory.generation import Generation
    from beechrock.inventory.merge import Checked
    from beechrock.inventory.plan import Plan

PATH = click.Path(path_type=Path)
OUTPUT_FORMAT = click.Choice(["text", "json"])


@click.group()
def inventory() -> None:
    """The list of teams, services, contracts, budgets, machines and front ends.

    PATH is a file (.yaml, .yml, .csv), a folder of them, or a kept snapshot.
    """


def fail(lines: list[str], code: int) -> NoReturn:
    """Print the lines on standard error and end the command with this exit code."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def _read(path: Path) -> "tuple[Checked, Generation]":
    """Return the inventory at ``path``; problems end the command with 1, no file with 2."""
    from beechrock.inventory import generation, model, snapshot
    from beechrock.inventory.problems import Problems

    if not path.exists():
        raise UnreadableError("No such file or directory", where=str(path))
    if path.name == snapshot.NAME:
        kept = snapshot.load(path.parent)
        return kept.entries(), kept
    problems = Problems()
    read = model.read(path, problems)
    if read is None:
        fail(problems.lines(), 1)
    return read[0], generation.from_checked(1, *read)


@inventory.command()
@click.argument("path", type=PATH)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def check(path: Path, output_format: str) -> None:
    """Name every problem with file, line and key. Exit 1 if there is an error."""
    from beechrock.inventory import model
    from beechrock.inventory.problems import Problems

    if not path.exists():
        raise UnreadableError("No such file or directory", where=str(path))
    problems = Problems()
    checked = model.read(path, problems)
    counts = checked[1].counts if checked is not None else {}
    if output_format == "json":
        listed = [problem.as_json() for problem in sorted(problems.listed, key=lambda problem: problem.place)]
        click.echo(
            ujson.dumps(
                {
                    "good": checked is not None,
                    "errors": problems.errors,
                    "entries": counts,
                    "warnings": problems.warnings,
                    "problems": listed,
                },
                indent=2,
                escape_forward_slashes=False,
            )
        )
    else:
        for line in problems.lines():
            click.echo(line)
        summary = ", ".join(f"{count} {kind}" for kind, count in counts.items() if count)
        if checked is not None:
            click.echo(f"good: {summary}")
        else:
            click.echo(f"{problems.errors} errors", err=True)
    sys.exit(0 if checked is not None else 1)


@inventory.command()
@click.argument("path", type=PATH)
@click.option("--host", help="Only the entries of this name.")
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["yaml", "csv", "json"]),
    default="yaml",
    help="json tells where each value comes from.",
)
def show(path: Path, host: str | None, output_format: str) -> None:
    """Print entries as they count, with all that they inherit."""
    from beechrock.inventory import export

    checked, _ = _read(path)
    if host is not None:
        checked = export.only(checked, host)
        if not any(checked.kinds.values()):
            fail([f"{path}: {host}: no entry of this name"], 1)
    click.echo(export.WRITERS[output_format](checked), nl=False)


@inventory.command()
@click.argument("path", type=PATH)
@click.option("--to", "output_format", type=click.Choice(["yaml", "csv"]), required=True)
def convert(path: Path, output_format: str) -> None:
    """Write the inventory in another form on standard output, with the same meaning."""
    from beechrock.inventory import export

    click.echo(export.WRITERS[output_format](_read(path)[0]), nl=False)


def _plan(old: Path, new: Path, most_removed: float, output_format: str) -> "tuple[Plan, bool]":
    """Print the plan; return it, and whether the two inventories differ."""
    from beechrock.inventory.plan import plan as make_plan

    running, wanted = _read(old)[1], _read(new)[1]
    change = make_plan(running, wanted, most_removed)
    _print_plan(change, running.digest, wanted.digest, output_format)
    return change, running.digest != wanted.digest


def _print_plan(change: "Plan", old: str, new: str, output_format: str) -> None:
    from beechrock.inventory.plan import shown

    if output_format == "json":
        steps = [
            {
                "verb": step.verb.value,
                "kind": step.kind,
                "name": step.name,
                "keys": {key: [shown(before), shown(after)] for key, before, after in step.keys},
            }
            for step in change.steps
        ]
        click.echo(
            ujson.dumps(
                {
                    "from": old,
                    "to": new,
                    "steps": steps,
                    "refused": list(change.refused),
                    "held": list(change.held),
                },
                indent=2,
                escape_forward_slashes=False,
            )
        )
        return
    for step in change.steps:
        click.echo(str(step))
    for reason in change.refused:
        click.echo(f"refused  {reason}")
    for reason in change.held:
        click.echo(f"held     {reason}: waits for a second reading, or for SIGHUP")


@inventory.command()
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def diff(old: Path, new: Path, output_format: str) -> None:
    """Compare two inventories by what they mean. Exit 1 if they differ."""
    sys.exit(1 if _plan(old, new, 1.0, output_format)[1] else 0)


@inventory.command()
@click.argument("running", type=PATH)
@click.argument("new", type=PATH)
@click.option("--most-removed", type=click.FloatRange(0, 1), default=0.25, show_default=True)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def plan(running: Path, new: Path, most_removed: float, output_format: str) -> None:
    """Say what a node that runs RUNNING would do about NEW. Exit 1 if it would refuse or hold it."""
    change, _ = _plan(running, new, most_removed, output_format)
    sys.exit(1 if change.refused or change.held else 0)
