"""A record on one even clock: jumps of the wall clock, as the recorder marked them, are taken back out. Pure.

The clock of the record's start counts. Rows keep their order, and times never run backwards by a jump. Times
that were made of two readings, one before and one behind a jump, lose it too.
"""

from collections.abc import Iterable, Iterator

from beechrock.trace.records import FIELDS, Row

MOST_OPEN = 100_000  # requests whose answer is still to come; of older ones the time taken stays as told
BORN = 2 + FIELDS["taken"].index("born")
TOOK = 2 + FIELDS["answered"].index("took_s")
SINCE = 2 + FIELDS["gap"].index("since")


def steady(rows: Iterable[Row]) -> Iterator[Row]:
    """The same rows, of one node or of several, each with its own jumps; a mark of no jump stays for each."""
    shifts: dict[str, float] = {}
    opened: dict[tuple[str, int], float] = {}
    node, shift = "", 0.0
    for row in rows:
        kind = row[0]
        if kind == "node":
            node = row[2]
            shift = shifts.get(node, 0.0)
        elif kind == "jump":
            shift = shifts[node] = shift + row[2]
            yield kind, row[1] - shift, 0.0
            continue
        if kind == "taken":
            if len(opened) >= MOST_OPEN:
                del opened[next(iter(opened))]
            opened[node, row[2]] = shift
        if not shift and kind != "answered":
            yield row
            continue
        told = [kind, row[1] - shift, *row[2:]]
        if kind == "taken":
            told[BORN] -= shift
        elif kind == "gap":
            told[SINCE] -= shift
        elif kind == "answered":
            told[TOOK] -= shift - opened.pop((node, row[2]), shift)
        yield tuple(told)
