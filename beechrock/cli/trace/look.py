"""What records hold: summary, find, export."""

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import ujson

from beechrock.cli.inventory import OUTPUT_FORMAT
from beechrock.cli.trace.common import (
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

if TYPE_CHECKING:
    from beechrock.trace.records import Row
    from beechrock.trace.summary import Summary


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@window_options
@click.option("--window", "window_s", type=float, default=0.0, help="Seconds of a line; 0 for the whole.")
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
@steady_option
def summary(
    paths: tuple[Path, ...], since: Any, until: Any, window_s: float, output_format: str, steady: bool
) -> None:
    """Service by class, team and window; with --format json the counts beside it."""
    from beechrock.trace import tools
    from beechrock.trace.summary import Summary

    files = tools.paths_of(paths)
    begin_s, found = begin_of(files), Summary(window_s)
    first_s = resolve_time(since, begin_s, float("-inf"))
    end_s = resolve_time(until, begin_s, float("inf"))
    wanted = tools.Wanted(first_s, end_s)
    with progress(files) as done:
        for name, held in by_node(files).items():
            found.take(tools.cut(tools.rows_of(held, done, steady), wanted), name)
    if output_format == "json":
        click.echo(
            ujson.dumps(
                {
                    "groups": found.table(),
                    "counters": dict(sorted(found.counters.items())),
                    "rows": found.rows,
                    "gaps": found.gaps,
                    "dropped": found.dropped,
                    "jumps": found.jumps,
                },
                indent=2,
            )
        )
        return
    _print_summary(found)


def _print_summary(counts: "Summary") -> None:
    click.echo(
        f"{'from':12} {'class':16} {'team':16} {'asked':>8} {'served':>8} {'refused':>8} "
        f"{'failed':>7} {'part':>6} {'p50 ms':>8} {'p95 ms':>8} {'p99 ms':>8}"
    )
    for line in counts.table():
        begin_s = format_time(line["from"])[11:] if line["from"] is not None else ""
        part = "" if line["served_part"] is None else f"{line['served_part']:.3f}"
        times = " ".join(
            f"{1000 * t:8.1f}" if (t := line[f"p{p}_s"]) is not None else " " * 8 for p in (50, 95, 99)
        )
        click.echo(
            f"{begin_s:12} {line['class'][:16]:16} {line['team'][:16]:16} {line['asked']:8} "
            f"{line['served']:8} {line['refused']:8} {line['failed']:7} {part:>6} {times}"
        )
    if counts.dropped or counts.jumps:
        click.echo(
            f"{counts.dropped} rows are missing in {counts.gaps} gaps; "
            f"the clock jumped {counts.jumps} times (see --steady)"
        )


def _row_fields(row: "Row") -> dict[str, Any]:
    from beechrock.trace.records import FIELDS

    return {"kind": row[0], "at": row[1], **dict(zip(FIELDS[row[0]], row[2:], strict=False))}


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@window_options
@click.option("--subject")
@click.option("--key-file", type=PATH, help="The record's key, where subjects were hidden at the source.")
@click.option("--limit", type=int, default=1000, show_default=True)
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def find(
    paths: tuple[Path, ...],
    since: Any,
    until: Any,
    subject: str | None,
    key_file: Path | None,
    limit: int,
    output_format: str,
) -> None:
    """What happened to a subject, or in a window, by the index. Exit 1 if nothing did."""
    from beechrock.trace import tools
    from beechrock.trace.recorder import keyed_hash

    count = 0
    files = tools.paths_of(paths)
    begin_s = begin_of(files)
    if subject is not None and key_file is not None:
        subject = keyed_hash(key_file.read_bytes().strip(), subject)
    first, last = resolve_time(since, begin_s, float("-inf")), resolve_time(until, begin_s, float("inf"))
    for path in files:
        for row in tools.find(path, subject, first, last):
            count += 1
            if count > limit:
                click.echo(f"more than {limit}; see --limit", err=True)
                sys.exit(0)
            fields = _row_fields(row)
            if output_format == "json":
                click.echo(ujson.dumps(fields))
            else:
                rest = " ".join(
                    f"{key}={part}"
                    for key, part in fields.items()
                    if key not in ("kind", "at") and part is not None
                )
                click.echo(f"{format_time(row[1])} {row[0]:9} {rest}")
    sys.exit(0 if count else 1)


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@window_options
@click.option("--kind", "kinds", multiple=True, help="Only rows of this kind; may be given more than once.")
def export(paths: tuple[Path, ...], since: Any, until: Any, kinds: tuple[str, ...]) -> None:
    """All rows as lines of JSON."""
    from beechrock.trace import tools

    files = tools.paths_of(paths)
    begin_s = begin_of(files)
    first_s = resolve_time(since, begin_s, float("-inf"))
    end_s = resolve_time(until, begin_s, float("inf"))
    wanted = tools.Wanted(first_s, end_s)
    for row in tools.cut(tools.rows_of(files), wanted):
        if not kinds or row[0] in kinds:
            click.echo(ujson.dumps(_row_fields(row)))
