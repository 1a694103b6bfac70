"""What the commands on records share: times, files by node, a progress bar."""

import re
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, TypeVar

import click

from beechrock.cli.errors import OptionError

PATH = click.Path(path_type=Path, exists=True)
OUT = click.Path(path_type=Path)
PROGRESS_BYTES = 8 << 20  # smaller files are read before a bar would be seen
AnyCommand = TypeVar("AnyCommand", bound=Callable[..., Any])


class TimeParam(click.ParamType[Any]):
    """A time: Unix seconds, 2026-12-01T14:05, or 14:05 (of the day on which the record begins); UTC."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, context: click.Context | None) -> Any:
        """Return Unix seconds; HH:MM stays text until the record's day is known (``resolve_time``)."""
        if not isinstance(value, str) or re.fullmatch(r"\d{1,2}:\d\d(:\d\d)?", value):
            return value
        try:
            if re.fullmatch(r"\d+(\.\d+)?", value):
                return float(value)
            return datetime.fromisoformat(value).replace(tzinfo=UTC).timestamp()
        except ValueError:
            self.fail(f"{value!r} is neither Unix seconds, nor YYYY-MM-DDTHH:MM, nor HH:MM", param, context)


def resolve_time(value: Any, begin_s: float, default_s: float) -> float:
    """Return Unix seconds; HH:MM is of the first day on which it lies in or after the record's begin."""
    if value is None:
        return default_s
    if not isinstance(value, str):
        return float(value)
    hour, minute, *second = map(int, value.split(":"))
    start = datetime.fromtimestamp(begin_s, UTC)
    try:
        resolved = start.replace(
            hour=hour % 24, minute=minute, second=second[0] if second else 0, microsecond=0
        )
    except ValueError as error:
        raise OptionError(f"{value}: {error}", wanted="HH:MM") from None
    if resolved < start.replace(second=0, microsecond=0):
        resolved += timedelta(days=1)
    return resolved.timestamp()


def format_time(seconds: float) -> str:
    """Return Unix seconds as date and time, UTC."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


@contextmanager
def progress(files: list[Path]) -> Iterator[Callable[[int], None]]:
    """Show a bar for long work at a terminal; gives a function to call with the bytes read."""
    total = sum(path.stat().st_size for path in files)
    if not sys.stderr.isatty() or total < PROGRESS_BYTES:
        yield lambda _: None
        return
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("reading", total=total)
        yield lambda size: bar.advance(task, size)


def window_options(command: AnyCommand) -> AnyCommand:
    """Add ``--since`` and ``--until``."""
    until = click.option("--until", type=TimeParam(), help="Up to, but not at, this time.")
    since = click.option("--since", type=TimeParam(), help="Unix seconds, a date and time, or HH:MM.")
    return since(until(command))


def steady_option(command: AnyCommand) -> AnyCommand:
    """Add ``--steady``."""
    help_text = "Take jumps of the clock out: go by the one that the record begins with."
    return click.option("--steady", is_flag=True, help=help_text)(command)


def begin_of(files: list[Path]) -> float:
    """Return when the first file that holds rows begins, in Unix seconds; 0 where none does."""
    from beechrock.trace.format import Reader

    for path in files:
        with Reader(path) as reader:
            if reader.blocks:
                return reader.blocks[0].first
    return 0.0


def by_node(files: list[Path]) -> dict[str, list[Path]]:
    """Return the files of each node, as their headers name it."""
    from beechrock.trace.format import Reader

    nodes: dict[str, list[Path]] = {}
    for path in files:
        with Reader(path) as reader:
            nodes.setdefault(str(reader.meta.get("node", "")), []).append(path)
    return nodes
