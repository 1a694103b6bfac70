"""Cut, merge, anonymise, find and repair: rows in, rows out, with bounded memory."""

import heapq
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock.trace.errors import FormatError, UnfitError
from beechrock.trace.format import SUFFIX, Facts, Reader, Writer
from beechrock.trace.records import ABOUT_ONE, FIELDS, Row, value
from beechrock.trace.steady import steady

MOST_FILES = 10_000
MOST_CHOSEN = 5_000_000  # requests that a cut by class, team, subject or outcome can keep in mind
BLOCK_ROWS = 4_096
Progress = Callable[[int], None]  # told how many bytes are done


def paths_of(told: Iterable[Path]) -> list[Path]:
    """Files, and the files of folders, in the order of their names."""
    found: list[Path] = []
    for path in told:
        found += sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    if not found:
        raise UnfitError("no trace file there", wanted=f"files that end in {SUFFIX}")
    if len(found) > MOST_FILES:
        raise UnfitError(f"over {MOST_FILES} files")
    return found


def of_one_node(paths: list[Path]) -> None:
    """UnfitError where a file holds several nodes' rows, as each numbers its requests for itself."""
    for path in paths:
        with Reader(path) as reader:
            if reader.meta.get("merged"):
                raise UnfitError(
                    "holds several nodes", where=str(path), do="do this to each node's record, then merge"
                )


def as_recorded(paths: list[Path]) -> None:
    """UnfitError where a jump was taken out: the module saw it, and decided by it."""
    for path in paths:
        with Reader(path) as reader:
            if reader.meta.get("steady"):
                raise UnfitError(
                    "brought to an even clock", where=str(path), do="play the record that it was made of"
                )


def rows_of(
    paths: Iterable[Path],
    progress: Progress = lambda _: None,
    even: bool = False,
) -> Iterator[Row]:
    """The rows of one node's files, one after the other; damaged blocks are passed over and stand as gaps.

    ``even``: on the clock of the first, with its jumps taken out.
    """
    rows = _rows_of(paths, progress)
    return steady(rows) if even else rows


def _rows_of(paths: Iterable[Path], progress: Progress) -> Iterator[Row]:
    for path in paths:
        with Reader(path) as reader:
            for entry in reader.blocks:
                try:
                    yield from reader.load(entry)
                except FormatError:
                    yield "gap", entry.first, entry.rows, entry.first
                progress(entry.packed)


def write(path: Path, rows: Iterable[Row], meta: dict[str, Any]) -> int:
    """Write rows as a file; gives how many."""
    writer, count, held = Writer(path, meta), 0, list[Row]()
    try:
        for row in rows:
            held.append(row)
            if len(held) >= BLOCK_ROWS:
                writer.write(held)
                count, held = count + len(held), []
        if held:
            writer.write(held)
    except BaseException:
        writer.abandon()
        path.unlink(missing_ok=True)
        raise
    writer.close()
    return count + len(held)


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a cut keeps: times from ``since`` to under ``until``; of the rest None stands for all."""

    since: float = float("-inf")
    until: float = float("inf")
    route: str | None = None
    team: str | None = None
    subject: str | None = None
    verdict: str | None = None

    @property
    def by_request(self) -> bool:
        return any(part is not None for part in (self.route, self.team, self.subject, self.verdict))

    def may_be_in(self, entry: Facts) -> bool:
        """Whether a block can hold rows that count, by its index entry; ends may stand in later blocks."""
        return entry.overlaps(self.since, self.until)

    def asks_for(self, row: Row) -> bool:
        """Of a row ``taken``."""
        return (
            (self.route is None or value(row, "route") == self.route)
            and (self.team is None or value(row, "team") == self.team)
            and (self.subject is None or value(row, "subject") == self.subject)
        )


def chosen(rows: Iterable[Row], wanted: Wanted) -> set[int]:
    """The requests that a cut by request keeps. UnfitError where they are too many."""
    asked: set[int] = set()
    found: set[int] = set()
    for row in rows:
        if row[0] == "taken" and wanted.asks_for(row):
            asked.add(row[2])
            if len(asked) > MOST_CHOSEN:
                raise UnfitError(f"over {MOST_CHOSEN} requests", do="cut by time first")
            if wanted.verdict is None:
                found.add(row[2])
        elif row[0] == "answered" and row[2] in asked and value(row, "verdict") == wanted.verdict:
            found.add(row[2])
    return found


def cut(rows: Iterable[Row], wanted: Wanted, kept: set[int] | None = None) -> Iterator[Row]:
    """Rows of the window; with ``kept`` those about these requests alone, and marks of the record.

    A batch that is thinned out can't be played again, so its head goes with what it held of others.
    """
    for row in rows:
        if not wanted.since <= row[1] < wanted.until:
            continue
        if kept is None or (row[0] in ABOUT_ONE and row[2] in kept) or row[0] in ("gap", "jump"):
            yield row


def merge(
    sources: list[Iterable[Row]],
    shifts: list[Callable[[float], float]] | None = None,
    names: list[str] | None = None,
) -> Iterator[Row]:
    """Rows of several records by time, each in its own order; ``shifts`` take times to the first's clock.

    Nodes count their requests each from 1: with ``names`` a mark stands wherever the node changes.
    """

    def placed(number: int, rows: Iterable[Row]) -> Iterator[tuple[float, int, Row]]:
        latest = float("-inf")
        for row in rows:
            at = shifts[number](row[1]) if shifts else row[1]
            latest = max(latest, at)  # a clock that jumped back does not put rows before earlier ones
            yield latest, number, (row[0], at, *row[2:]) if shifts else row

    streams = [placed(number, rows) for number, rows in enumerate(sources)]
    latest_from = None
    for at, number, row in heapq.merge(*streams, key=lambda item: (item[0], item[1])):
        if names is not None and number != latest_from:
            latest_from = number
            yield "node", at, names[number]
        yield row


def find(path: Path, subject: str | None, since: float, until: float) -> Iterator[Row]:
    """What a file holds of a subject, or of a window, by the index: arrivals, and answers beside them."""
    with Reader(path) as reader:
        for entry in reader.blocks:
            if not entry.overlaps(since, until) or (subject is not None and not entry.may_hold(subject)):
                continue
            rows = reader.load(entry, frozenset({"taken", "answered", "rejected"}))
            asked = {
                row[2]
                for row in rows
                if row[0] == "taken" and (subject is None or value(row, "subject") == subject)
            }
            for row in rows:
                meant = subject is None or (row[0] != "rejected" and row[2] in asked)
                if meant and since <= row[1] < until:
                    yield row


_SECRETS = {"route", "team", "subject", "key", "trace"}


def anonymised(rows: Iterable[Row], hidden: Callable[[str], str]) -> Iterator[Row]:
    """The same rows with subjects, keys, traces, routes and teams hidden; equal ones stay equal.

    Settings are worded anew as well, since they name classes and tenants; log lines and callers go.
    """
    import ujson

    places = {
        kind: [2 + at for at, name in enumerate(names) if name in _SECRETS] for kind, names in FIELDS.items()
    }
    for row in rows:
        kind = row[0]
        if kind == "log":
            yield kind, row[1], ""
            continue
        told = list(row)
        for place in places[kind]:
            if told[place]:
                told[place] = hidden(str(told[place]))
        if kind in ("start", "renewed"):
            settings = ujson.loads(told[-1])
            for part in (*settings["classes"], *settings["tenants"]):
                part["name"] = hidden(part["name"]) if part["name"] else ""
            told[-1] = ujson.dumps(settings)
        if kind == "node":
            told[2] = hidden(str(told[2]))
        if kind == "arrived" and value(row, "key") is not None:
            told[2 + FIELDS[kind].index("key")] = int(hidden(str(value(row, "key")))[:15], 16)
        yield tuple(told)
