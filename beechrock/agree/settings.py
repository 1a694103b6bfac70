"""Parsing and validation of the table ``[agree]`` of the operator's settings file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from beechrock.agree.rules import MAX_VOTERS, Rules
from beechrock.config.errors import ConfigError

KEYS = {"voters", "tick_s", "lease_s", "most_mb", "snapshot_each", "strict"}


class Range(NamedTuple):
    """Smallest and largest allowed value of a setting, both included."""

    minimum: float
    maximum: float


LEASE_S = Range(0.2, 60.0)  # seconds; a shorter lease could expire during one sync of a busy disk
MAX_MB = Range(4, 4096)  # mebibytes of log entries kept in memory
SNAPSHOT_EACH = Range(32, 1_000_000)  # applied entries between two snapshots
MIN_TICK_S = 0.005  # shortest allowed seconds between two ticks


@dataclass(frozen=True, slots=True)
class AgreeSettings:
    """Checked table ``[agree]``. ``voters``: the voters at the first start; later the log holds them."""

    voters: tuple[str, ...]
    rules: Rules
    where: str = ""


def read(table: Mapping[str, Any], where: str, root: Path) -> AgreeSettings:
    """Return the checked table. Raises ConfigError, naming file, table and key, for a bad value."""
    voters = _voters(table, where)
    lease_s = _number(table, "lease_s", 1.0, LEASE_S, where)
    tick_s = _number(table, "tick_s", lease_s / 20, Range(MIN_TICK_S, lease_s / 5), where)
    max_bytes = int(_number(table, "most_mb", 64, MAX_MB, where)) << 20
    snapshot_each = int(_number(table, "snapshot_each", 20_000, SNAPSHOT_EACH, where))
    strict = table.get("strict", False)
    if not isinstance(strict, bool):
        raise ConfigError(f"{strict!r}", where=f"{where}: strict", wanted="true or false")
    rules = Rules(
        lease_s=lease_s, tick_s=tick_s, strict=strict, max_bytes=max_bytes, snapshot_each=snapshot_each
    )
    return AgreeSettings(voters, rules, where)


def _voters(table: Mapping[str, Any], where: str) -> tuple[str, ...]:
    voters = table.get("voters")
    if (
        not isinstance(voters, list)
        or not 1 <= len(voters) <= MAX_VOTERS
        or len(set(voters)) != len(voters)
        or not all(isinstance(name, str) and name for name in voters)
    ):
        raise ConfigError(
            f"{voters!r}",
            where=f"{where}: voters",
            wanted=f"1 to {MAX_VOTERS} different names of nodes; 3, 5 or 7 to tolerate a lost node",
        )
    return tuple(voters)


def _number(table: Mapping[str, Any], key: str, default: float, allowed: Range, where: str) -> float:
    value = table.get(key, default)
    valid = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not valid or not allowed.minimum <= value <= allowed.maximum:
        raise ConfigError(
            f"{value!r}",
            where=f"{where}: {key}",
            wanted=f"a number from {allowed.minimum} to {allowed.maximum}",
        )
    return float(value)
