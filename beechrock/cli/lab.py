"""``beechrock lab``: real processes with drawn faults between them."""

import sys
import tempfile
from pathlib import Path

import click
import ujson

from beechrock.cli.inventory import OUTPUT_FORMAT, fail


@click.group()
def lab() -> None:
    """Fleets of real processes on this machine, with faults drawn from a seed."""


@lab.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seed", type=int, required=True, help="Draws every fault.")
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="For the processes' folders and the history; a new temporary one if not told.",
)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def run(file: Path, seed: int, folder: Path | None, output_format: str) -> None:
    """Play the run FILE: start its nodes, draw its faults, and judge the whole history.

    Exit 1 if something broke, 2 if it could not be played.
    """
    import asyncio

    from beechrock.errors import OperatorError
    from beechrock.lab.fleet import runfile

    try:
        description = runfile.read(file)
        run_folder = folder or Path(tempfile.mkdtemp(prefix="beechrock-lab-"))
        outcome = asyncio.run(runfile.play(description, run_folder, seed))
    except (OperatorError, OSError) as error:
        fail([f"{error}; seed {seed}"], 2)
    if output_format == "json":
        click.echo(
            ujson.dumps(
                {
                    "seed": seed,
                    "faults": len(outcome.faults),
                    "events": outcome.events,
                    "read": outcome.read,
                    "answers": outcome.answers,
                    "broken": outcome.broken,
                    "history": str(outcome.history),
                }
            )
        )
    else:
        for line in outcome.broken:
            click.echo(line)
        click.echo(outcome.told())
        click.echo(
            f"seed {seed}: {len(outcome.faults)} faults, {outcome.events} events, "
            f"{len(outcome.broken) or 'nothing'} broken; history: {outcome.history}"
        )
        click.echo(f"the same faults again: beechrock lab run {file} --seed {seed}")
    sys.exit(1 if outcome.broken else 0)
