"""The table ``[fleet]`` of the operator's file: parsing and checks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from beechrock.config import Address, ConfigError
from beechrock.config.checks import address, secret
from beechrock.talk.frames import MAX_NAME_BYTES, key_from

KEYS = {"listen", "peers", "key_file", "state", "hall", "hardware"}
MAX_PEERS = 64  # Maximum number of peers; each costs a task, a connection each way and a queue
DEFAULT_HALL = "hall"
DEFAULT_HARDWARE = "common"


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Settings of this node in its fleet, and the addresses of its peers."""

    listen: Address
    peers: Mapping[str, Address]  # Addresses by peer's name; this node itself may be among them
    key: bytes = field(repr=False)
    state: Path  # Folder of all state that this node keeps on disk
    hall: str = DEFAULT_HALL
    hardware: str = DEFAULT_HARDWARE


def read(table: Mapping[str, Any], where: str, root: Path) -> FleetSettings:
    """Return the checked settings from the table; relative paths are resolved from ``root``.

    Raises ConfigError, which names file, table (both in ``where``) and key.
    """
    peers = _peer_table(table, where)
    state = _state_path(table, where)
    for name in peers:
        _name(name, f"{where}: peers")
    return FleetSettings(
        listen=address(table.get("listen"), f"{where}: listen", 0),
        peers={name: address(value, f"{where}: peers: {name}") for name, value in peers.items()},
        key=key_from(secret(root, table.get("key_file"), where)),
        state=root / state,
        hall=_name(table.get("hall", DEFAULT_HALL), f"{where}: hall"),
        hardware=_name(table.get("hardware", DEFAULT_HARDWARE), f"{where}: hardware"),
    )


def _peer_table(table: Mapping[str, Any], where: str) -> dict[Any, Any]:
    peers = table.get("peers", {})
    if not isinstance(peers, dict):
        raise ConfigError(f'{where}: peers: not a table of name = "HOST:PORT"')
    if len(peers) > MAX_PEERS:
        raise ConfigError(f"{where}: peers: {len(peers)}, and at most {MAX_PEERS} are possible")
    return peers


def _state_path(table: Mapping[str, Any], where: str) -> str:
    state = table.get("state")
    if not isinstance(state, str) or not state:
        raise ConfigError(f"{where}: state: the path of a folder is needed")
    return state


def _name(value: object, where: str) -> str:
    if not isinstance(value, str) or len(value.split()) != 1 or len(value.encode()) > MAX_NAME_BYTES:
        raise ConfigError(f"{where}: {value!r} is not one word of at most {MAX_NAME_BYTES} bytes")
    return value
