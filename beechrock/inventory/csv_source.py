"""Reads CSV: a header row, then one row per entry; the host ``*`` sets variables shared by a whole group."""

import csv
import io

from beechrock.inventory.problems import Place, nearest
from beechrock.inventory.raw import Raw, Told
from beechrock.inventory.schema import ALL_KEYS, FOREIGN, KEYS

MAX_FIELD = 65_536  # Maximum length of a field, in characters
MAX_COLUMNS = 200


def read(text: str, file: str, raw: Raw) -> None:
    """Add the groups, hosts and variables of all rows to ``raw``; skip a bad row and check the others."""
    csv.field_size_limit(MAX_FIELD)
    rows = csv.reader(io.StringIO(text, newline=""), strict=True)
    names: list[str] | None = None
    while True:
        line = rows.line_num + 1
        try:
            row = next(rows)
        except StopIteration:
            break
        except csv.Error as error:
            _unreadable(raw, file, line, str(error))
            continue
        if not row or not any(cell.strip() for cell in row):
            continue
        if names is None:
            names = _header([cell.strip() for cell in row], Place(file, line), raw)
            if names is None:
                return
        else:
            _row(names, row, Place(file, line), raw)
    if names is None:
        raw.problems.add(Place(file, 1), "", "", "no header row")


def _unreadable(raw: Raw, file: str, line: int, what: str) -> None:
    if "unexpected end of data" in what:
        what = "a quote is never closed"
    elif "expected after" in what:
        what = "a quote inside a field is not doubled"
    elif "field larger" in what:
        what = f"a field of over {MAX_FIELD} characters; is a quote missing?"
    raw.problems.add(Place(file, line), "", "", what)


def _header(names: list[str], place: Place, raw: Raw) -> list[str] | None:
    problems = raw.problems
    if "group" not in names or "host" not in names:
        problems.add(place, "", "", "the columns group and host are needed, in the first row")
        return None
    if len(names) > MAX_COLUMNS:
        problems.add(place, "", "", f"over {MAX_COLUMNS} columns")
        return None
    for at, name in enumerate(names):
        if name in names[:at]:
            problems.add(place, "", name, "a column stands twice")
        elif name not in ("group", "host") and name not in ALL_KEYS and not name.startswith(FOREIGN):
            problems.add(place, "", name, f"unknown key{nearest(name, ALL_KEYS)}")
    return names


def _row(names: list[str], row: list[str], place: Place, raw: Raw) -> None:
    if any("\n" in cell or "\r" in cell for cell in row):
        return raw.problems.add(place, "", "", "a field runs over several lines; is a quote missing?")
    if len(row) != len(names):
        return raw.problems.add(place, "", "", f"{len(row)} columns, not {len(names)}")
    variables = {key: cell.strip() for key, cell in zip(names, row, strict=True)}
    group, host = variables.pop("group"), variables.pop("host")
    if not group or (group not in KEYS and nearest(group, KEYS)):
        return raw.problems.add(place, group, "", f"unknown group{nearest(group, KEYS)}")
    values = {key: Told(value, place) for key, value in variables.items() if value and key in ALL_KEYS}
    into = raw.group(group, place)
    if host == "*":
        raw.set_vars(into.vars, values, f"{group}.vars")
    elif group == "all":
        raw.problems.add(place, f"all.{host}", "", "only the row * may stand in the group all")
    else:
        raw.host(into, host, place, values)
    return None
