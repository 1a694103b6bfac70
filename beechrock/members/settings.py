"""The table ``[members]`` of the operator's file: parsing and checks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from beechrock.config.checks import address, number, secret
from beechrock.config.errors import ConfigError
from beechrock.config.told import Address
from beechrock.members.codec import MAX_NAME_BYTES, key_from

KEYS = {"listen", "advertise", "fleet", "key_file", "seeds", "period_s", "state", "hall"}
DEFAULT_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class MembersSettings:
    """Settings of this node's membership, if the operator's file enables it."""

    listen: Address  # Host and port for datagrams and connections
    fleet: str
    key: bytes = field(repr=False)  # Derived from the fleet's key file
    seeds: tuple[str, ...] = ()  # HOST:PORT of some members to join through; all may be down at the start
    period_s: float = DEFAULT_PERIOD_S  # Seconds from one probe to the next
    state: Path | None = None  # Folder of the file with the life number; None: not kept on disk
    advertise: str = ""  # HOST:PORT at which other members reach this node, if it is not ``listen``
    hall: str = ""  # Hall of this node; empty if not configured


def read(table: Mapping[str, Any], where: str, root: Path) -> MembersSettings:
    """Return the checked settings from the table; relative paths are resolved from ``root``.

    Raises ConfigError, which names file, table (both in ``where``) and key.
    """
    fleet = _fleet(table, where)
    seeds = _seeds(table, where)
    state = _state_path(table, where)
    hall = _hall(table, where)
    key = key_from(secret(root, table.get("key_file"), where))
    advertise = table.get("advertise")
    return MembersSettings(
        listen=address(table.get("listen"), f"{where}: listen", 0),
        fleet=fleet,
        key=key,
        seeds=seeds,
        period_s=number(table, "period_s", DEFAULT_PERIOD_S, where),
        state=root / state if state else None,
        advertise=_host_port(advertise, f"{where}: advertise") if advertise is not None else "",
        hall=hall,
    )


def _host_port(value: Any, where: str) -> str:
    return "{}:{}".format(*address(value, where))


def _fleet(table: Mapping[str, Any], where: str) -> str:
    fleet = table.get("fleet")
    if not isinstance(fleet, str) or not 0 < len(fleet.encode()) <= MAX_NAME_BYTES:
        raise ConfigError(f"a name of at most {MAX_NAME_BYTES} bytes is needed", where=f"{where}: fleet")
    return fleet


def _seeds(table: Mapping[str, Any], where: str) -> tuple[str, ...]:
    seeds = table.get("seeds", [])
    if not isinstance(seeds, list):
        raise ConfigError("not a list", where=f"{where}: seeds", wanted='["HOST:PORT", ...]')
    return tuple(_host_port(seed, f"{where}: seeds[{index}]") for index, seed in enumerate(seeds))


def _state_path(table: Mapping[str, Any], where: str) -> str | None:
    state = table.get("state")
    if state is not None and (not isinstance(state, str) or not state):
        raise ConfigError("the path of a folder is needed", where=f"{where}: state")
    return state


def _hall(table: Mapping[str, Any], where: str) -> str:
    hall = table.get("hall", "")
    if not isinstance(hall, str) or len(hall.encode()) > MAX_NAME_BYTES:
        raise ConfigError(f"a name of at most {MAX_NAME_BYTES} bytes is needed", where=f"{where}: hall")
    return hall
