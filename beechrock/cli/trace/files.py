"""Files in, files out: info, verify, repair, cut, merge, anonymise."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import ujson

from beechrock.cli.errors import OptionError
from beechrock.cli.inventory import OUTPUT_FORMAT
from beechrock.cli.trace.common import (
    OUT,
    PATH,
    begin_of,
    by_node,
    format_time,
    progress,
    resolve_time,
    steady_option,
    window_options,
)
from beechrock.cli.trace.group import trace


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def info(paths: tuple[Path, ...], output_format: str) -> None:
    """What files hold: node, time, rows, blocks, and whether they have their index."""
    from beechrock.trace.format import Reader
    from beechrock.trace.tools import paths_of

    rows = []
    for path in paths_of(paths):
        with Reader(path) as reader:
            rows.append(
                {
                    "file": str(path),
                    "version": reader.version,
                    **reader.meta,
                    "bytes": reader.size,
                    "blocks": len(reader.blocks),
                    "rows": reader.rows_told,
                    "index": reader.whole,
                    "from": min((block.first for block in reader.blocks), default=None),
                    "until": max((block.last for block in reader.blocks), default=None),
                }
            )
    if output_format == "json":
        click.echo(ujson.dumps(rows, indent=2, escape_forward_slashes=False))
        return
    for row in rows:
        empty = row["from"] is None
        span = "empty" if empty else f"{format_time(row['from'])} to {format_time(row['until'])}"
        click.echo(
            f"{row['file']}: {row.get('node', '')}, {span}, {row['rows']} rows in {row['blocks']} "
            f"blocks, {row['bytes']} bytes{'' if row['index'] else ', no index'}"
        )


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
def verify(paths: tuple[Path, ...]) -> None:
    """Check each block and the index. Exit 1 if anything is wrong."""
    from beechrock.trace.errors import FormatError
    from beechrock.trace.format import Reader
    from beechrock.trace.tools import paths_of

    bad = False
    for path in paths_of(paths):
        try:
            with Reader(path) as reader:
                problems = reader.check()
        except FormatError as error:
            problems = [error.what]
        bad = bad or bool(problems)
        for problem in problems:
            click.echo(f"{path}: {problem}")
    sys.exit(1 if bad else 0)


@trace.command()
@click.argument("source", type=PATH)
@click.argument("out", type=OUT)
def repair(source: Path, out: Path) -> None:
    """Write all whole blocks of SOURCE to OUT, with an index."""
    from beechrock.trace.format import Reader
    from beechrock.trace.tools import write

    with Reader(source, scan=True) as reader:
        count = write(out, reader.rows(), reader.meta)
        click.echo(f"{out}: {count} rows; {reader.skipped} bytes were no whole block")


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@click.option("--out", type=OUT, required=True)
@window_options
@click.option("--class", "route", help="Only requests of this class.")
@click.option("--team")
@click.option("--subject")
@click.option("--outcome", type=click.Choice(["served", "refused", "failed"]))
@steady_option
def cut(
    paths: tuple[Path, ...],
    out: Path,
    since: Any,
    until: Any,
    route: str | None,
    team: str | None,
    subject: str | None,
    outcome: str | None,
    steady: bool,
) -> None:
    """Keep a window of one node's record, or what is about some requests."""
    from beechrock.trace import tools

    files = tools.paths_of(paths)
    nodes = by_node(files)
    if len(nodes) > 1:
        raise OptionError(f"records of {len(nodes)} nodes", where="PATHS", do="cut each node's, then merge")
    begin_s = begin_of(files)
    first_s = resolve_time(since, begin_s, float("-inf"))
    end_s = resolve_time(until, begin_s, float("inf"))
    wanted = tools.Wanted(first_s, end_s, route, team, subject, outcome)
    if wanted.by_request:
        tools.of_one_node(files)
    with progress(files * (2 if wanted.by_request else 1)) as done:
        kept = tools.chosen(tools.rows_of(files, done), wanted) if wanted.by_request else None
        count = tools.write(
            out,
            tools.cut(tools.rows_of(files, done, steady), wanted, kept),
            {"node": next(iter(nodes)), "cut": True, "steady": steady},
        )
    click.echo(f"{out}: {count} rows" + (f" about {len(kept)} requests" if kept is not None else ""))


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@click.option("--out", type=OUT, required=True)
@click.option(
    "--clocks",
    type=click.Choice(["estimate", "trust"]),
    default="trust",
    show_default=True,
    help="estimate: bring all to the first node's clock, by requests seen in both.",
)
@steady_option
def merge(paths: tuple[Path, ...], out: Path, clocks: str, steady: bool) -> None:
    """Bring the records of several nodes into one, by time."""
    from beechrock.trace import clocks as clock_offsets
    from beechrock.trace import tools

    files = tools.paths_of(paths)
    nodes = by_node(files)
    shifts: list[Callable[[float], float]] | None = None
    with progress(files * (2 if clocks == "estimate" else 1)) as done:
        if clocks == "estimate":
            sightings = [clock_offsets.Sights(tools.rows_of(held, done, steady)) for held in nodes.values()]
            shifts = [lambda at_s: at_s]
            for name, other in list(zip(nodes, sightings, strict=True))[1:]:
                estimate = clock_offsets.estimate(sightings[0], other)
                click.echo(f"{name}: {estimate}", err=True)
                shifts.append(estimate.to_first)
        streams = [tools.rows_of(held, done, steady) for held in nodes.values()]
        meta = {"node": "+".join(nodes), "merged": True, "steady": steady}
        count = tools.write(out, tools.merge(list(streams), shifts, list(nodes)), meta)
    click.echo(f"{out}: {count} rows of {len(nodes)} nodes")


@trace.command()
@click.argument("source", type=PATH)
@click.argument("out", type=OUT)
@click.option("--key-file", type=PATH, required=True, help="Of 16 bytes or more; under it equal stays equal.")
def anonymise(source: Path, out: Path, key_file: Path) -> None:
    """Hide subjects, keys, traces, classes and teams by a keyed hash."""
    from beechrock.trace import tools
    from beechrock.trace.recorder import keyed_hash

    key = key_file.read_bytes().strip()
    if len(key) < 16:
        raise OptionError("under 16 bytes", where=f"--key-file {key_file}", wanted="at least 16 bytes")
    files = tools.paths_of([source])
    with progress(files) as done:
        rows = tools.anonymised(tools.rows_of(files, done), lambda text: keyed_hash(key, text))
        count = tools.write(out, rows, {"node": keyed_hash(key, "node"), "anonymised": True})
    click.echo(f"{out}: {count} rows")
