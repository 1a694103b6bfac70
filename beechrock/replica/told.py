"""Settings of the table ``[replica]`` in the operator's file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock.config.checks import number
from beechrock.config.errors import ConfigError
from beechrock.replica.table import MAX_RECORDS

KEYS = {"lease_s", "repair_s", "most_mb", "most_records", "give_kb_per_s", "leases", "trial_per_s", "advice"}
BOUNDS = {
    "lease_s": (0.2, 60.0),
    "repair_s": (0.1, 3600.0),
    "most_mb": (4, 4096),
    "most_records": (100, MAX_RECORDS),
    "give_kb_per_s": (16, 1_000_000),
    "trial_per_s": (0, 10_000),
}


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """The checked settings."""

    lease_s: float = 6.0  # Length of a budget lease, in seconds; it is renewed three times in that time.
    repair_s: float = 5.0  # Seconds between two repair rounds.
    most_mb: float = 256  # Maximum size of log and snapshot together, in MB.
    most_records: float = MAX_RECORDS // 4  # Maximum number of records.
    # Rate limit of full copies to all peers together, in KB per second; the default takes under 2% of a core.
    give_kb_per_s: float = 200
    trial_per_s: float = 0  # Changes per second made by the trial; 0 in production.
    advice: bool = False  # Whether upstream servers are tried by the observations of this node and others.
    leases: bool = True  # Whether budgets are leased where [agree] is enabled, instead of shared equally.


def read(table: Mapping[str, Any], where: str, root: Path) -> ReplicaSettings:
    """Return the checked settings. Raises ConfigError, which names file, table and key."""
    settings = ReplicaSettings(
        **{key: number(table, key, 1, where) for key in BOUNDS if key in table},
        leases=table.get("leases", True),
        advice=table.get("advice", False),
    )
    for key, (minimum, maximum) in BOUNDS.items():
        if not minimum <= getattr(settings, key) <= maximum:
            raise ConfigError(
                f"{getattr(settings, key):g}", where=f"{where}: {key}", wanted=f"{minimum:g} to {maximum:g}"
            )
    for key in ("leases", "advice"):
        if not isinstance(getattr(settings, key), bool):
            raise ConfigError(
                f"{getattr(settings, key)!r} is neither true nor false", where=f"{where}: {key}"
            )
    return settings
