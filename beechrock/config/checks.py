"""Checks configuration values and raises ConfigError for those that are invalid.

``where`` names the file or variable and the path of keys to the value.
"""

import os
import socket
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from beechrock.config.errors import ConfigError
from beechrock.config.told import Address

if TYPE_CHECKING:
    from pathlib import Path

LARGEST = 1e12  # Upper bound of every number; a larger or infinite one would fail only later
KEY_FILE = "make one: head -c 32 /dev/urandom | base64 > FILE; each process of the fleet needs the same"


def known(table: Mapping[str, Any], keys: set[str], where: str) -> bool:
    """Return whether a table of the operator's file is enabled; reject unknown keys either way."""
    for key in table:
        if key not in keys:
            raise ConfigError(
                "unknown key", where=f"{where}: {key}", wanted=f"one of {', '.join(sorted(keys))}"
            )
    on = table.get("enabled", False)
    if not isinstance(on, bool):
        raise ConfigError(f"{on!r} is neither true nor false", where=f"{where}: enabled")
    return on


def secret(root: "Path", file: object, where: str) -> bytes:
    """Return the secret in a key file; raise ConfigError if it has fewer than 16 bytes."""
    if not isinstance(file, str) or not file:
        raise ConfigError("the path of a file is needed", where=f"{where}: key_file", do=KEY_FILE)
    try:
        key = (root / file).read_bytes().strip()
    except OSError as error:
        raise ConfigError(
            f"{file}: {error.strerror}",
            where=f"{where}: key_file",
            do=f"{KEY_FILE}; looked for at {root / file}",
        ) from None
    if len(key) < 16:
        raise ConfigError(f"{file}: at least 16 bytes are needed", where=f"{where}: key_file", do=KEY_FILE)
    return key


def table_of(
    path: str,
    operators: dict[str, Any],
    name: str,
    keys: set[str],
) -> tuple[dict[str, Any], str] | None:
    """Return a table of the operator's file and its location for messages; None unless it is enabled."""
    table, where = operators.get(name, {}), f"{path}: {name}"
    if not isinstance(table, dict):
        raise ConfigError("not a table", where=where, wanted=f"[{name}] and its keys")
    return (table, where) if known(table, keys, where) else None


def address(value: object, where: str, least: int = 1) -> Address:
    """Parse HOST:PORT; ``least`` is the lowest port, 0 for listeners, where it means any free port."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or not least <= int(port) < 65536:
        raise ConfigError(
            f"{value!r} is not HOST:PORT",
            where=where,
            wanted="an IPv6 host in brackets" if str(value).count(":") > 1 else "",
        )
    return host.strip("[]"), int(port)


def inherited(text: str, address: Address) -> int:
    """Return the descriptor of an inherited listening socket, checked against the configured address."""
    where = f"LB_LISTEN_FD {text!r}"
    if not (text.isascii() and text.isdigit()):
        raise ConfigError("not the number of a descriptor", where=where)
    try:
        with socket.socket(fileno=os.dup(int(text))) as found:
            listens = found.type == socket.SOCK_STREAM and found.getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            )
            name = found.getsockname()
    except (OSError, OverflowError) as error:
        problem = error.strerror if isinstance(error, OSError) else "too large"
        raise ConfigError(str(problem), where=where, wanted="an open, listening socket") from None
    if not listens or not isinstance(name, tuple):
        raise ConfigError("not a listening TCP socket", where=where)
    if address[1] not in (0, name[1]) or name[0] not in (address[0], "0.0.0.0", "::"):
        raise ConfigError(
            f"listens at {name[0]}:{name[1]}, and not at {address[0]}:{address[1]}", where=where
        )
    return int(text)


def number(table: Mapping[str, Any], key: str, default: float, where: str) -> float:
    """Return a number above 0, or the default if it is absent or null.

    Infinity is rejected: it made the start fail with a traceback.
    """
    value = table.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value <= LARGEST:
        raise ConfigError(
            f"{value!r:.40} is not a number above 0", where=f"{where}: {key}", wanted=f"at most {LARGEST:g}"
        )
    return float(value)


def seed(value: object, where: str) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError:
        raise ConfigError(f"{value!r} is not a number in hex", where=where) from None
