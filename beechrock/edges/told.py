"""Settings of the edges, read from the table ``[edges]`` of the operator's file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock.config import ConfigError

KEYS = {"role", "edge", "members", "upstream", "copies", "most_mb", "probe_s", "replayer"}
ROLES = ("edge", "upstream", "both")
MAX_MEMBERS, MAX_NAMED = 16, 5
DEFAULT_QUEUE_MB, DEFAULT_PROBE_S = 64.0, 0.5


@dataclass(frozen=True, slots=True)
class Told:
    """Settings of the edges.

    A node that is only upstream uses ``upstreams`` and ``most_bytes``, but no other field from ``edge`` on.
    """

    at_edge: bool
    upstream_here: bool
    edge: str = ""
    members: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()  # Names of the upstream nodes: one, or up to 5 that replicate the marks
    copies: int = 1
    most_bytes: int = int(DEFAULT_QUEUE_MB * 2**20)
    probe_s: float = DEFAULT_PROBE_S
    replayer: str = ""  # Name of the only member that replays, if the table ``duties`` is missing


def read(table: Mapping[str, Any], where: str, root: Path) -> Told:
    """Return the settings in a table.

    Raises ConfigError, which names file, table and key.
    """
    role = table.get("role")
    if role not in ROLES:
        raise ConfigError(f"{where}: role: {role!r} is none of {', '.join(ROLES)}")
    max_mb = _number(table, where, "most_mb", DEFAULT_QUEUE_MB, 65_536)
    upstreams = _upstreams(table.get("upstream"), where)
    if role == "upstream":
        return Told(
            False, True, upstreams=upstreams if len(upstreams) > 1 else (), most_bytes=int(max_mb * 2**20)
        )
    if not upstreams:
        raise ConfigError(f"{where}: upstream: None is not one word of at most 64 bytes, without a slash")
    members = table.get("members")
    listed = isinstance(members, list) and 0 < len(members) <= MAX_MEMBERS
    if not isinstance(members, list) or not listed or len(set(map(str, members))) < len(members):
        raise ConfigError(f"{where}: members: a list of 1 to {MAX_MEMBERS} names, each once, is needed")
    names = tuple(_word(name, f"{where}: members") for name in members)
    copies = table.get("copies", min(2, len(names)))
    if not isinstance(copies, int) or isinstance(copies, bool) or not 0 < copies <= len(names):
        raise ConfigError(f"{where}: copies: {copies!r} is not a number from 1 to {len(names)}, the members")
    replayer = _word(table.get("replayer", names[0]), f"{where}: replayer")
    if replayer not in names:
        raise ConfigError(f"{where}: replayer: {replayer} is none of the members")
    return Told(
        True,
        role == "both",
        _word(table.get("edge"), f"{where}: edge"),
        names,
        upstreams,
        copies,
        int(max_mb * 2**20),
        _number(table, where, "probe_s", DEFAULT_PROBE_S, 60.0),
        replayer,
    )


def _upstreams(value: object, where: str) -> tuple[str, ...]:
    """Return the upstream names from one name or a list of names; none if the key is missing."""
    listed = value if isinstance(value, list) else [value] if value is not None else []
    if isinstance(value, list) and len(set(map(str, listed))) not in range(1, MAX_NAMED + 1):
        raise ConfigError(f"{where}: upstream: a name, or a list of 1 to {MAX_NAMED} names, is needed")
    if len(set(map(str, listed))) < len(listed):
        raise ConfigError(f"{where}: upstream: each name once")
    return tuple(_word(name, f"{where}: upstream") for name in listed)


def _word(value: object, where: str) -> str:
    if not isinstance(value, str) or len(value.split()) != 1 or "/" in value or len(value.encode()) > 64:
        raise ConfigError(f"{where}: {value!r} is not one word of at most 64 bytes, without a slash")
    return value


def _number(table: Mapping[str, Any], where: str, key: str, default: float, maximum: float) -> float:
    value = table.get(key, default)
    if not isinstance(value, (int, float)) or isinstance(value, bool) or not 0 < value <= maximum:
        raise ConfigError(f"{where}: {key}: {value!r} is not a number above 0, up to {maximum:g}")
    return float(value)
