"""The table ``[lowering]`` of the operator's settings file."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from beechrock.config.checks import number
from beechrock.config.errors import ConfigError
from beechrock.lowering.publish import GONE_S, PREPARE_S

KEYS = {"prepare_s", "gone_s", "memory_kb", "memory_file", "publish", "ways"}


@dataclass(frozen=True, slots=True)
class LoweringSettings:
    """Settings of the lowering.

    ``memory_file`` names a file with the memory that a table may take, in kB. It is read again before each
    check, because other programs on the machine may need more memory.
    """

    prepare_s: float = PREPARE_S
    gone_s: float = GONE_S
    memory_kb: float = 0.0  # 0: a quarter of the memory free at the start
    memory_file: Path | None = None
    publish: bool = True  # Whether this node may hold the publisher's duty
    ways: bool = False  # Whether to log one event per request, for the laboratory's checkers


def read(table: Mapping[str, Any], where: str, root: Path) -> LoweringSettings:
    """Return the checked table. Raises ConfigError, which names file, table and key."""
    file, flags = table.get("memory_file"), {"publish": True, "ways": False}
    flags.update({key: table[key] for key in flags if key in table})
    if file is not None and (not isinstance(file, str) or not file):
        raise ConfigError(f"{file!r}", where=f"{where}: memory_file", wanted="the path of a file")
    for key, value in flags.items():
        if not isinstance(value, bool):
            raise ConfigError(f"{value!r}", where=f"{where}: {key}", wanted="true or false")
    return LoweringSettings(
        number(table, "prepare_s", PREPARE_S, where),
        number(table, "gone_s", GONE_S, where),
        number(table, "memory_kb", 0.0, where) if "memory_kb" in table else 0.0,
        root / file if file else None,
        **flags,
    )
