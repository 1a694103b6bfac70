"""Reads the operator's file (TOML): the SCGI front end, the trace, the membership and the fleet's parts."""

import re
import tomllib
from typing import TYPE_CHECKING, Any

from beechrock import parts
from beechrock.config.checks import address, known, number, secret, table_of
from beechrock.config.errors import ConfigError
from beechrock.config.told import CONFIRM_S, MOST_REMOVED, SETTLE_S, WATCH_S, Scgi, Trace

if TYPE_CHECKING:  # pathlib imports urllib and ipaddress, so it is loaded only for a table that needs it
    from pathlib import Path

    from beechrock.inventory.generation import Generation
    from beechrock.members.settings import MembersSettings

TRACE_KEYS = {"enabled", "folder", "sample", "key_file", "segment_mb", "segment_s", "most_mb", "flush_s"}
SCGI_KEYS = {
    *parts.TABLES,
    "trace",
    "members",
    "enabled",
    "listen",
    "inventory",
    "state",
    "log",
    "watch_s",
    "settle_s",
    "confirm_s",
    "most_removed",
}
LOG_FORMS = ("text", "json")
_HEAD, _KEY = r"\s*\[([^\[\]]+)\]", r"\s*\"?([\w-]+)\"?\s*="


def read(path: str) -> dict[str, Any]:
    """Parse the operator's file; return an empty table if there is no file."""
    try:
        with open(path) as file:
            return tomllib.loads(file.read())
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise ConfigError(getattr(error, "strerror", None) or f"not TOML: {error}", where=path) from None


def line_of(text: str, keys: list[str]) -> int:
    """Return the line that matches the longest prefix of ``keys``, or 0; used only in messages."""
    wanted = [key.partition("[")[0] for key in keys]
    best, line, tables = 0, 0, list[str]()
    for at, content in enumerate(text.splitlines(), 1):
        if found := re.match(_HEAD, content):
            here = tables = [part.strip(' "') for part in found[1].split(".")]
        elif found := re.match(_KEY, content):
            here = [*tables, found[1]]
        else:
            continue
        if best < len(here) <= len(wanted) and here == wanted[: len(here)]:
            best, line = len(here), at
    return line


def lined(where: str, path: str) -> str:
    """Change ``FILE: key`` to ``FILE:LINE: key`` if the line is found."""
    if not where.startswith(f"{path}: "):
        return where
    keys = where[len(f"{path}: ") :].split(": ")
    try:
        with open(path) as file:
            line = line_of(file.read(), keys)
    except (OSError, ValueError):
        return where
    return ": ".join((f"{path}:{line}", *keys)) if line else where


def trace(path: str, operators: dict[str, Any], root: str) -> Trace | None:
    if (table := table_of(path, operators, "trace", TRACE_KEYS)) is None:
        return None
    from pathlib import Path

    values, where = table
    if not isinstance(values.get("folder"), str) or not values["folder"]:
        raise ConfigError("the path of a folder is needed", where=f"{where}: folder")
    sample = number(values, "sample", 1.0, where)
    if sample > 1:
        raise ConfigError(f"{sample:g} is a part, and above 1", where=f"{where}: sample")
    key = None
    if values.get("key_file") is not None:
        key = secret(Path(root), values["key_file"], where)
    defaults = Trace(Path())
    numbers = {
        name: number(values, name, getattr(defaults, name), where)
        for name in ("segment_mb", "segment_s", "most_mb", "flush_s")
    }
    return Trace(Path(root) / values["folder"], sample, key, **numbers)


def members(path: str, operators: dict[str, Any], root: str) -> "MembersSettings | None":
    if not operators.get("members"):
        return None
    try:
        from beechrock.members import settings
    except ImportError as error:
        raise ConfigError(
            f"needs {error.name}", where=f"{path}: members: enabled", do="pip install 'beechrock[members]'"
        ) from None
    if (table := table_of(path, operators, "members", {"enabled", *settings.KEYS})) is None:
        return None
    from pathlib import Path

    fleet_table = operators.get("fleet")  # Its hall is the default for the membership
    hall = fleet_table.get("hall", "") if isinstance(fleet_table, dict) else ""
    return settings.read({"hall": hall, **table[0]}, table[1], Path(root))


def fleet(path: str, operators: dict[str, Any], root: str) -> dict[str, object]:
    """Return the settings of each enabled part of the fleet; the part's package checks its table."""
    found: dict[str, object] = {}
    for name in parts.TABLES:
        if not operators.get(name):
            continue
        from pathlib import Path

        try:
            table = table_of(path, operators, name, {"enabled", *parts.keys(name)})
            if table is not None:
                found[name] = parts.read(name, *table, Path(root))
        except ImportError as error:
            raise ConfigError(
                f"needs {error.name}", where=f"{path}: {name}", do="pip install 'beechrock[fleet]'"
            ) from None
    for name in found:
        for needed in parts.NEEDS.get(name, ()):
            if needed not in found:
                raise ConfigError(
                    f"needs the table {needed}, which is off",
                    where=f"{path}: {name}",
                    do=f"turn [{needed}] on, or [{name}] off",
                )
    return found


def scgi(path: str, values: dict[str, Any], root: str, running: "Generation | None") -> Scgi | None:
    """Return the settings of the SCGI front end, or None if there is no file or ``enabled`` is not true."""
    if not known(values, SCGI_KEYS, path):
        return None
    from pathlib import Path

    if not isinstance(values.get("inventory"), str):
        raise ConfigError("the path of a file is needed", where=f"{path}: inventory")
    if values.get("log", "text") not in LOG_FORMS:
        raise ConfigError(f"{values['log']!r} is none of {', '.join(LOG_FORMS)}", where=f"{path}: log")
    state = values.get("state")
    if state is not None and (not isinstance(state, str) or not state):
        raise ConfigError("the path of a folder is needed", where=f"{path}: state")
    most_removed = number(values, "most_removed", MOST_REMOVED, path)
    if most_removed > 1:
        raise ConfigError(f"{most_removed:g} is a part, and above 1", where=f"{path}: most_removed")
    folder = Path(root) / state if state else None
    source = Path(root) / values["inventory"]
    listen = address(values.get("listen"), f"{path}: listen", 0)
    watch_s = number(values, "watch_s", WATCH_S, path)
    settle_s = number(values, "settle_s", SETTLE_S, path)
    confirm_s = number(values, "confirm_s", CONFIRM_S, path)
    notes: tuple[str, ...] = ()
    if running is None:
        hint = "" if Path(values["inventory"]).is_absolute() else f"relative paths are taken from {root}"
        running, notes = _inventory(path, source, folder, hint if not source.exists() else "")
    return Scgi(
        listen,
        source,
        running,
        folder,
        notes,
        values.get("log", "text"),
        watch_s,
        settle_s,
        confirm_s,
        most_removed,
    )


def _inventory(
    path: str,
    source: "Path",
    folder: "Path | None",
    do: str,
) -> "tuple[Generation, tuple[str, ...]]":
    """Return the generation of the files, or the last good one of the state folder if the files are broken.

    The second value holds notes for the start: a damaged snapshot, and warnings and errors of the files.
    """
    try:
        from beechrock.inventory import generation, model, snapshot
        from beechrock.inventory.errors import DamagedError, MissingError
        from beechrock.inventory.problems import Problems
    except ImportError as error:
        raise ConfigError(
            f"needs {error.name}", where=f"{path}: enabled", do="pip install 'beechrock[broker]'"
        ) from None

    last, notes = None, []
    if folder is not None:
        try:
            last = snapshot.load(folder)
        except MissingError:
            pass
        except DamagedError as error:
            notes.append(f"damaged snapshot, not used: {error}")
    problems = Problems()
    found = model.read(source, problems)
    if found is not None:
        new = generation.from_checked(1, *found)
        number = 1 if last is None else last.number + (last.digest != new.digest)
        return generation.from_checked(number, *found), tuple(notes + problems.lines())
    problem_text = "\n".join(problems.lines() + notes)
    if last is None:
        raise ConfigError(f"it can not be used:\n{problem_text}", where=f"{path}: inventory", do=do)
    served = f"the inventory is broken; generation {last} of the state folder is served"
    return last, (served, *problem_text.split("\n"))
