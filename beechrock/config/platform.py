"""Builds this process's configuration from its environment, the file of LB_CONFIG and the operator's file."""

import os
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import ujson

from beechrock.config import operator
from beechrock.config.checks import address, inherited, number, seed
from beechrock.config.errors import ConfigError
from beechrock.config.told import Config
from beechrock.interface import SettingsError
from beechrock.settings import settings_from

if TYPE_CHECKING:
    from pathlib import Path

    from beechrock.inventory.generation import Generation

MOST_CONFIG = 4 << 20  # Bytes read of the file of LB_CONFIG
STOP_MS, MEMORY_MB, SOCKETS = 3000.0, 192.0, 1024.0
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))


def _path(text: str) -> "Path":
    # Imported here: pathlib with urllib and ipaddress takes 0.6 MB and the platform's nodes need none of it.
    from pathlib import Path

    return Path(text)


def base(environ: Mapping[str, str], root: str = ROOT) -> str:
    """Return the folder that relative paths in the operator's file are resolved from.

    For the default file, in the program's own folder, this is that folder. For a file that LB_SCGI names it
    is the working folder, from which the path of the file itself is resolved too: the program's folder may be
    site-packages (an install without -e), where no inventory is kept.
    """
    return os.getcwd() if environ.get("LB_SCGI") else root


def load(
    environ: Mapping[str, str],
    root: str | os.PathLike[str] | None = None,
    running: "Generation | None" = None,
) -> Config:
    """Return the configuration from the environment and the files that it names or that are in deploy/.

    ``root``: folder for relative paths in the operator's file; the default is ``base``.
    ``running``: the inventory in force; if given, the files are not read again, which would block a node in
    service.
    """
    root = base(environ) if root is None else os.fspath(root)
    named = environ.get("LB_SCGI")
    operator_path = str(_path(named)) if named else os.path.join(root, "deploy", "scgi.toml")
    try:
        return _load(environ, root, operator_path, running)
    except ConfigError as error:
        error.where = operator.lined(error.where, operator_path)
        raise


def _load(environ: Mapping[str, str], root: str, operator_path: str, running: "Generation | None") -> Config:
    operator_file = operator.read(operator_path)
    scgi = operator.scgi(operator_path, operator_file, root, running)
    path = environ.get("LB_CONFIG", "")
    if path:
        document, where = _read(path)
    elif scgi is not None:
        document, where = {"name": "beechrock"}, "without LB_CONFIG"
    else:
        raise ConfigError(
            "not set, and the SCGI front is off; one of them is needed",
            where="LB_CONFIG",
            do=f"set LB_CONFIG=FILE, or write enabled = true into {operator_path}",
        )
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("not an object", where=f"{where}: limits")
    raw_settings = document.get("settings", {})
    if scgi is not None and isinstance(raw_settings, dict):
        from beechrock.inventory import model

        meaning = scgi.generation.meaning
        raw_settings = model.over(raw_settings, meaning) if path else meaning.settings
    try:
        settings, gauges = settings_from(raw_settings)
    except SettingsError as error:
        raise ConfigError(error.what, where=f"{where}: {error.where}", wanted=error.wanted) from None
    name = environ.get("LB_NAME") or document.get("name")
    if not isinstance(name, str) or not name or len(name.split()) != 1:
        raise ConfigError("one word is needed", where=f"{where}: name", do="or set LB_NAME")
    listen = environ.get("LB_LISTEN") or document.get("listen")
    listen_at = "LB_LISTEN" if environ.get("LB_LISTEN") else f"{where}: listen"
    admin = environ.get("LB_ADMIN_ADDR") or (document.get("admin_addr") if path else None)
    admin_at = "LB_ADMIN_ADDR" if environ.get("LB_ADMIN_ADDR") else f"{where}: admin_addr"
    listen_to = address(listen, listen_at, 0) if path else None
    fd = environ.get("LB_LISTEN_FD")
    return Config(
        name=name,
        listen=listen_to,
        agent=address(document.get("agent"), f"{where}: agent") if path else None,
        ledger=address(document["ledger"], f"{where}: ledger") if document.get("ledger") else None,
        registry=address(document["registry"], f"{where}: registry") if document.get("registry") else None,
        seed=seed(document.get("seed", "0"), f"{where}: seed"),
        stop_s=number(document, "stop_ms", STOP_MS, where) / 1000,
        memory_mb=number(limits, "memory_mb", MEMORY_MB, f"{where}: limits"),
        sockets=int(number(limits, "sockets", SOCKETS, f"{where}: limits")),
        settings=settings,
        gauges=gauges,
        scgi=scgi,
        trace=operator.trace(operator_path, operator_file, root),
        members=operator.members(operator_path, operator_file, root),
        parts=operator.fleet(operator_path, operator_file, root),
        admin=address(admin, admin_at, 0) if admin is not None else None,
        admin_at=admin_at,
        listen_fd=inherited(fd, listen_to) if fd and listen_to is not None else None,
        handover=_path(environ["TMPDIR"]) if fd and environ.get("TMPDIR") else None,
        raw=document.get("settings", {}) if path and scgi is not None else None,
    )


def stamp(environ: Mapping[str, str]) -> tuple[int, ...]:
    """Return a stamp that changes if the file of LB_CONFIG is rewritten; empty if it does not exist."""
    try:  # Without LB_CONFIG, the stamp is that of the working folder
        found = os.stat(environ.get("LB_CONFIG") or ".")
    except OSError:
        return ()
    return found.st_mtime_ns, found.st_size, found.st_ino


def _json_fault(path: str) -> str:
    """Return the JSON error with its line, or an empty string; ``json`` is imported only on an error."""
    import json

    try:
        with open(path, "rb") as file:
            json.loads(file.read()[:MOST_CONFIG])
    except ValueError as error:
        return str(error)
    return ""


def _read(path: str) -> tuple[dict[str, Any], str]:
    where = f"LB_CONFIG {path}"
    try:
        with open(path, "rb") as file:
            document = ujson.loads(file.read()[:MOST_CONFIG])
    except OSError as error:
        raise ConfigError(str(error.strerror), where=where) from None
    except ValueError as error:
        raise ConfigError(f"not JSON: {_json_fault(path) or error}", where=where) from None
    if not isinstance(document, dict):
        raise ConfigError("not a JSON object", where=where)
    return document, where
