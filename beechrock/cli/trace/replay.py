"""One node's record played again: exactly, or under other settings, contracts or decisions."""

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import ujson

from beechrock.cli.errors import OptionError
from beechrock.cli.inventory import OUTPUT_FORMAT
from beechrock.cli.trace.common import PATH, by_node, format_time, progress
from beechrock.cli.trace.group import trace
from beechrock.errors import OperatorError


@trace.command()
@click.argument("paths", type=PATH, nargs=-1, required=True)
@click.option("--exact", is_flag=True, help="Only compare, batch by batch, with what the module says now.")
@click.option("--settings", "settings_file", type=PATH, help="Other settings: the platform's JSON.")
@click.option("--inventory", "inventory_path", type=PATH, help="Other contracts and teams.")
@click.option("--policy", help="Another decision module, as package.module with a class Node.")
@click.option("--format", "output_format", type=OUTPUT_FORMAT, default="text")
def replay(
    paths: tuple[Path, ...],
    exact: bool,
    settings_file: Path | None,
    inventory_path: Path | None,
    policy: str | None,
    output_format: str,
) -> None:
    """Play one node's record again. With --exact exit 1 at any difference; else what if.

    Without --exact the recorded arrivals meet a model of the servers that is fitted to the recorded runs.
    Callers come as recorded: they do not heed other refusals than those they got.
    """
    from beechrock.trace import replay as exact_replay
    from beechrock.trace import tools, whatif

    files = tools.paths_of(paths)
    if len(by_node(files)) > 1:
        raise OptionError("records of several nodes", where="PATHS", do="play each by itself")
    tools.of_one_node(files)
    make = _node_of(policy)
    if exact:
        tools.as_recorded(files)
        with progress(files) as done:
            found = exact_replay.exactly(tools.rows_of(files, done), make)
        click.echo(
            f"{found.batches} batches, {found.events} events, {found.actions} actions, "
            f"{found.gaps} gaps; {found.differing} batches differ"
        )
        if found.first is not None:
            click.echo(f"first at batch {found.first.batch}, {format_time(found.first.now)}:")
            click.echo(f"  recorded {[row[0::2] for row in found.first.recorded]}")
            click.echo(f"  replayed {[row[0::2] for row in found.first.replayed]}")
        sys.exit(1 if found.differing else 0)
    with progress(files) as done:
        recorded = whatif.recorded(tools.rows_of(files, done, even=True))
    model = whatif.fit(recorded)
    settings = _other_settings(recorded.settings, settings_file, inventory_path)
    answers = whatif.play(recorded, model, settings, make)
    _compare(recorded, model, answers, output_format)


def _node_of(policy: str | None) -> Any:
    if policy is None:
        from beechrock.policy import Node

        return Node
    import importlib

    try:
        return importlib.import_module(policy).Node
    except (ImportError, AttributeError) as error:
        raise OptionError(
            str(error), where=f"--policy {policy}", wanted="package.module with a class Node"
        ) from None


def _other_settings(recorded: Any, settings_file: Path | None, inventory_path: Path | None) -> Any:
    """Return the recorded settings, or others in their place; classes keep their places by name."""
    from beechrock.settings import settings_from

    if settings_file is not None:
        try:
            return settings_from(ujson.loads(settings_file.read_text()))[0]
        except OperatorError:
            raise
        except ValueError as error:
            raise OptionError(f"not JSON ({error})", where=f"--settings {settings_file}") from None
    if inventory_path is None:
        return recorded
    from beechrock.inventory import model

    other = settings_from(model.load(inventory_path).settings)[0]
    classes = {one.name: one for one in other.classes}
    tenants = {t.name: t for t in other.tenants}
    return replace(
        other,
        tick_s=recorded.tick_s,
        classes=tuple(classes.get(c.name, c) for c in recorded.classes),
        tenants=tuple(tenants.get(t.name, t) for t in recorded.tenants),
    )


def _compare(recorded: Any, model: Any, answers: dict[int, tuple[str, float]], output_format: str) -> None:
    from beechrock.trace import whatif

    before, after = whatif.service(recorded, recorded.answers), whatif.service(recorded, answers)
    lines: list[dict[str, Any]] = []
    for name in sorted(before):
        for of, service in (("record", before[name]), ("replay", after.get(name, whatif.Service()))):
            counts = {verdict: service.answers[verdict] for verdict in ("served", "refused", "failed")}
            lines.append(
                {
                    "class": name,
                    "of": of,
                    **counts,
                    "in_aim": round(service.part(), 4),
                    "p50_s": service.percentile(50),
                    "p95_s": service.percentile(95),
                }
            )
    if output_format == "json":
        comparison = {"capacity": model.capacity, "spread": model.spread, "classes": lines}
        click.echo(ujson.dumps(comparison, indent=2))
        return
    click.echo(f"servers: {model.capacity:g} runs at full speed; works of a class vary by {model.spread:.0%}")
    click.echo(
        f"{'class':16} {'':8} {'served':>8} {'refused':>8} {'failed':>8} {'in aim':>7} {'p50 ms':>8} "
        f"{'p95 ms':>8}"
    )
    for line in lines:
        times = " ".join(" " * 8 if line[p] is None else f"{1000 * line[p]:8.1f}" for p in ("p50_s", "p95_s"))
        click.echo(
            f"{line['class'][:16]:16} {line['of']:8} {line['served']:8} {line['refused']:8} "
            f"{line['failed']:8} {line['in_aim']:7.3f} {times}"
        )
    if sys.stdout.isatty():
        _plot(recorded, answers)


def _plot(recorded: Any, answers: dict[int, tuple[str, float]]) -> None:
    """Plot the served a second, recorded and replayed, in the terminal."""
    import plotext

    start = recorded.arrivals[0][0]
    span = max(1, int(recorded.arrivals[-1][0] - start) + 1)
    step = max(1, span // 100)
    for name, found in (("record", recorded.answers), ("replay", answers)):
        counts = [0] * (span // step + 1)
        for at, request in recorded.arrivals:
            counts[int(at - start) // step] += found.get(request.id, ("", 0))[0] == "served"
        plotext.plot([n * step for n in range(len(counts))], [c / step for c in counts], label=name)
    plotext.title("served a second, by time of arrival")
    plotext.plotsize(100, 20)
    plotext.show()
