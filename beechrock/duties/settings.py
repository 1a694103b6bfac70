"""Parsing and checks of the table ``[duties]`` in the settings file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock.config.checks import number
from beechrock.config.errors import ConfigError
from beechrock.duties.model import MAX_LEASE_S, MIN_LEASE_S

KEYS = {"lease_s", "hold_down_s", "most_moves_per_s", "trial"}
DEFAULT_LEASE_S = 3.0
DEFAULT_HOLD_DOWN_S = 5.0
DEFAULT_MOVES_PER_S = 50.0


@dataclass(frozen=True, slots=True)
class DutiesSettings:
    """Checked settings of the table ``[duties]``."""

    lease_s: float = DEFAULT_LEASE_S  # default lease of a duty, in seconds
    hold_down_s: float = DEFAULT_HOLD_DOWN_S  # shortest hold-down, in seconds
    max_moves_per_s: float = DEFAULT_MOVES_PER_S  # maximum rate of moves of duties, per second
    trial: bool = False  # whether the test duty of trial.py is enabled; it only sends effects


def read(table: Mapping[str, Any], where: str, root: Path) -> DutiesSettings:
    """Return the checked settings. Raises ConfigError with the file, table and key of a bad value."""
    settings = DutiesSettings(
        number(table, "lease_s", DEFAULT_LEASE_S, where),
        number(table, "hold_down_s", DEFAULT_HOLD_DOWN_S, where),
        number(table, "most_moves_per_s", DEFAULT_MOVES_PER_S, where),
        table.get("trial", False),
    )
    if not MIN_LEASE_S <= settings.lease_s <= MAX_LEASE_S:
        raise ConfigError(
            f"{settings.lease_s:g}",
            where=f"{where}: lease_s",
            wanted=f"{MIN_LEASE_S:g} to {MAX_LEASE_S:g} seconds",
        )
    if not isinstance(settings.trial, bool):
        raise ConfigError(f"{settings.trial!r} is neither true nor false", where=f"{where}: trial")
    return settings
