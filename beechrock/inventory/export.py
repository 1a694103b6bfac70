"""Writes a checked inventory as YAML or CSV that can be read back, or as JSON with each value's origin."""

import csv
import io
from typing import Any

import ujson
import yaml

from beechrock.inventory.merge import Checked, Entry
from beechrock.inventory.schema import KEYS, NODE


def plain(value: Any) -> Any:
    """Return a value in the form used in files: whole numbers without a point, addresses as HOST:PORT."""
    if isinstance(value, float):
        return int(value) if value.is_integer() and abs(value) < 1e15 else value
    if isinstance(value, tuple):
        return [f"[{host}]:{port}" if ":" in host else f"{host}:{port}" for host, port in value]
    return value


def _cell(value: Any) -> str:
    found = plain(value)
    if isinstance(found, list):
        return " ".join(found)
    if isinstance(found, float):
        return repr(found)
    return str(found).lower() if isinstance(found, bool) else str(found)


def to_yaml(checked: Checked) -> str:
    children = {
        kind: {
            "hosts": {
                name: {key: plain(value) for key, value in entry.values.items()} or None
                for name, entry in entries.items()
            }
        }
        for kind, entries in checked.kinds.items()
        if entries
    }
    children.update(_groups(checked))
    node = {key: plain(value) for key, value in checked.node.values.items()}
    return yaml.safe_dump({"all": {"vars": node, "children": children}}, sort_keys=False, allow_unicode=True)


def _groups(checked: Checked) -> dict[str, Any]:
    """Return the machine groups that upstreams of services refer to.

    Other groups are not needed: each entry already holds its merged variables.
    """
    used = {host for s in checked.kinds["services"].values() for host, _ in s.values.get("upstreams", ())}
    return {
        name: {"hosts": dict.fromkeys(checked.groups[name])}
        for name in sorted(used & checked.groups.keys())
        if name not in KEYS
    }


def to_csv(checked: Checked) -> str:
    """Return CSV with one row per entry and one column per variable that any entry sets."""
    keys = [
        key
        for key in dict.fromkeys([*NODE, *(k for kind in KEYS.values() for k in kind)])
        if key in checked.node.values
        or any(key in entry.values for entries in checked.kinds.values() for entry in entries.values())
    ]
    out = io.StringIO()
    rows = csv.writer(out, lineterminator="\n")
    rows.writerow(["group", "host", *keys])

    def row(group: str, host: str, values: dict[str, Any]) -> None:
        rows.writerow([group, host, *(_cell(values[key]) if key in values else "" for key in keys)])

    row("all", "*", checked.node.values)
    for kind, entries in checked.kinds.items():
        for name, entry in entries.items():
            row(kind, name, entry.values)
    for name, group in _groups(checked).items():
        for host in group["hosts"]:
            row(name, host, {})
    return out.getvalue()


def to_json(checked: Checked) -> str:
    """Return JSON that gives each value with the file and line that it comes from."""

    def with_origins(entry: Entry) -> dict[str, Any]:
        return {
            key: {"value": plain(value), "from": str(entry.origins[key])}
            for key, value in entry.values.items()
        }

    everything = {
        "all": {"vars": with_origins(checked.node)},
        **{
            kind: {name: with_origins(entry) for name, entry in entries.items()}
            for kind, entries in checked.kinds.items()
        },
    }
    return ujson.dumps(everything, indent=2, escape_forward_slashes=False, ensure_ascii=False) + "\n"


def only(checked: Checked, host: str) -> Checked:
    """Return an inventory that holds only the entries named ``host``, of every kind."""
    kinds = {
        kind: {name: entry for name, entry in entries.items() if name == host}
        for kind, entries in checked.kinds.items()
    }
    return Checked(checked.node, kinds, checked.groups)


WRITERS = {"yaml": to_yaml, "csv": to_csv, "json": to_json}
