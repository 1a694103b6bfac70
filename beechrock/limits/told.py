"""The table ``[limits]`` of the operator's file: parsing and checks."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock.config.checks import number
from beechrock.config.errors import ConfigError

KEYS = {"state", "slack_ms"}
SLACK_MS_RANGE = (10.0, 60_000.0)


@dataclass(frozen=True, slots=True)
class LimitsSettings:
    """The checked settings of ``[limits]``."""

    state: Path | None = None  # folder of the spending journal; None: in memory, lost at a restart
    slack_s: float = 0.25  # how far a team may be ahead of its fair share, in seconds of work of all cores


def read(table: Mapping[str, Any], where: str, root: Path) -> LimitsSettings:
    """Return the checked table; a relative path is taken from ``root``.

    Raises ConfigError, which names file, table (both in ``where``) and key.
    """
    state = table.get("state")
    if state is not None and (not isinstance(state, str) or not state):
        raise ConfigError("the path of a folder is needed", where=f"{where}: state")
    slack = number(table, "slack_ms", 250.0, where)
    if not SLACK_MS_RANGE[0] <= slack <= SLACK_MS_RANGE[1]:
        raise ConfigError(
            f"{slack:g}", where=f"{where}: slack_ms", wanted="{:g} to {:g}".format(*SLACK_MS_RANGE)
        )
    return LimitsSettings(root / state if state is not None else None, slack / 1000)
