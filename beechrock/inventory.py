"""The inventory: teams, services, contracts and budgets, from YAML or CSV, as a settings object.

Both forms hold the same: groups of hosts with variables. README.md shows one of each.
"""

import csv
import io
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

Address = tuple[str, int]
Vars = dict[str, Any]
Groups = dict[str, dict[str, Vars]]
Check = Callable[[Any], Any]
MOST_BYTES = 1 << 20
EFFECTS = ("safe", "keyed", "unsafe")


class InventoryError(ValueError):
    """An inventory that cannot be used; the text names file, entry and key."""


@dataclass(frozen=True, slots=True)
class Inventory:
    """``settings`` is the object that the settings' parser reads; the rest is what the SCGI side looks up."""

    settings: dict[str, Any]
    teams: dict[str, int]                       # by name: place among the settings' tenants
    classes: dict[tuple[str, str], int]         # by team and service: place among the settings' classes
    upstreams: dict[str, tuple[Address, ...]]   # by service


# --- what each variable may be


def _number(least: float, most: float) -> Callable[[Any], float]:
    def check(value: Any) -> float:
        try:
            number = float(value) if not isinstance(value, bool) else None
        except (TypeError, ValueError):
            number = None
        if number is None or not least < number <= most:
            raise ValueError(f"{value!r} is not a number above {least:g}, up to {most:g}")
        return number

    return check


def _flag(value: Any) -> bool:
    if value not in (True, False, "true", "false"):
        raise ValueError(f"{value!r} is neither true nor false")
    return value in (True, "true")


def _effect(value: Any) -> str:
    if value not in EFFECTS:
        raise ValueError(f"{value!r} is none of {', '.join(EFFECTS)}")
    return str(value)


def _word(value: Any) -> str:
    if not isinstance(value, str) or not value or len(value.split()) != 1:
        raise ValueError(f"{value!r} is not one word")
    return value


def _addresses(value: Any) -> tuple[Address, ...]:
    found = []
    for text in value.split() if isinstance(value, str) else value if isinstance(value, list) else [value]:
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} is not HOST:PORT")
        found.append((host.strip("[]"), int(port)))
    if not found or len(set(found)) < len(found):
        raise ValueError("no address, or one twice")
    return tuple(found)


POSITIVE = _number(0, 1e12)
NODE: dict[str, Check] = {
    "cores": _number(0, 4096), "memory_mb": POSITIVE, "fleet_size": _number(0, 1e6),
    "over_share_worth": _number(0, 1), "max_retry_after_ms": POSITIVE,
}
KEYS: dict[str, dict[str, Check]] = {
    "teams": {"contact": str},
    "services": {"upstreams": _addresses},
    "contracts": {
        "team": _word, "service": _word, "share": _number(0, 1), "rate": POSITIVE, "aim_ms": POSITIVE,
        "due_ms": POSITIVE, "effect": _effect, "window_ms": POSITIVE, "worth": POSITIVE, "price": POSITIVE,
        "calls": _flag,
    },
    "budgets": {"team": _word, "amount": POSITIVE, "period_s": POSITIVE},
}
NEEDED = {"teams": (), "services": (), "budgets": ("team", "amount", "period_s"),
          "contracts": ("team", "service", "share", "rate", "aim_ms", "due_ms", "effect")}


# --- reading


class _Loader(yaml.SafeLoader):
    """safe_load, but a key that stands twice is an error instead of silently the last one."""


def _mapping(loader: _Loader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen = set()
    for key, _ in node.value:
        if key.value in seen:
            raise InventoryError(f"line {key.start_mark.line + 1}: {key.value}: stands twice")
        seen.add(key.value)
    loader.flatten_mapping(node)
    construct = loader.construct_object
    return {construct(key, deep=True): construct(value, deep=True) for key, value in node.value}


_Loader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _mapping)


def _from_yaml(text: str) -> tuple[Vars, Groups]:
    try:
        told = yaml.load(text, Loader=_Loader)
    except yaml.YAMLError as error:
        raise InventoryError(f"not YAML: {' '.join(str(error).split())}") from None
    top = _object(told, "all", {"all"}).get("all")
    everything = _object(top, "all", {"vars", "children"})
    groups: Groups = {}
    for name, group in _object(everything.get("children"), "all.children", set(KEYS)).items():
        parts = _object(group, name, {"hosts", "vars"})
        shared = _object(parts.get("vars"), f"{name}.vars", None)
        hosts = _object(parts.get("hosts"), f"{name}.hosts", None)
        groups[name] = {str(h): {**shared, **_object(v, f"{name}.{h}", None)} for h, v in hosts.items()}
    return _object(everything.get("vars"), "all.vars", None), groups


def _object(value: Any, entry: str, keys: set[str] | None) -> dict[Any, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InventoryError(f"{entry}: is not a mapping")
    for key in value:
        if not isinstance(key, str) or (keys is not None and key not in keys):
            raise InventoryError(f"{entry}: {key}: unknown key")
    return value


def _from_csv(text: str) -> tuple[Vars, Groups]:
    """Rows of group, host and variables; the host ``*`` gives a group's shared variables."""
    rows = csv.DictReader(io.StringIO(text), strict=True)
    names = list(rows.fieldnames or ())
    if names[:2] != ["group", "host"]:
        raise InventoryError("line 1: the first columns are not group,host")
    if len(set(names)) < len(names):
        raise InventoryError("line 1: a column stands twice")
    groups: dict[str, dict[str, Vars]] = {}
    try:
        for row in rows:
            if None in row or None in row.values():
                raise InventoryError(f"line {rows.line_num}: not {len(names)} columns")
            group, host = row.pop("group"), row.pop("host")
            if group not in KEYS and (group, host) != ("all", "*"):
                raise InventoryError(f"line {rows.line_num}: {group}: unknown group")
            if host in groups.setdefault(group, {}):
                raise InventoryError(f"{group}.{host}: stands twice")
            groups[group][host] = {key: value for key, value in row.items() if value != ""}
    except csv.Error as error:
        raise InventoryError(f"line {rows.line_num}: {error}") from None
    node = groups.pop("all", {}).get("*", {})
    for name, hosts in groups.items():
        shared = hosts.pop("*", {})
        groups[name] = {host: {**shared, **values} for host, values in hosts.items()}
    return node, groups


def _checked(entry: str, values: Vars, keys: dict[str, Check], needed: tuple[str, ...]) -> Vars:
    for key in needed:
        if key not in values:
            raise InventoryError(f"{entry}: {key}: missing")
    found = {}
    for key, value in values.items():
        if key not in keys:
            raise InventoryError(f"{entry}: {key}: unknown key")
        try:
            found[key] = keys[key](value)
        except ValueError as error:
            raise InventoryError(f"{entry}: {key}: {error}") from None
    return found


def load(path: Path) -> Inventory:
    """Read and check an inventory; the file's ending tells its form."""
    try:
        text = path.read_bytes()[:MOST_BYTES + 1]
        if len(text) > MOST_BYTES:
            raise InventoryError(f"longer than {MOST_BYTES} bytes")
        read = {".csv": _from_csv, ".yaml": _from_yaml, ".yml": _from_yaml}.get(path.suffix)
        if read is None:
            raise InventoryError("ends in none of .yaml, .yml and .csv")
        return build(*read(text.decode("utf-8-sig")))
    except OSError as error:
        raise InventoryError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InventoryError(f"{path}: not UTF-8 ({error.reason})") from None
    except InventoryError as error:
        raise InventoryError(f"{path}: {error}") from None


# --- meaning


def build(node: Vars, groups: Groups) -> Inventory:
    """Check entries and references, and word them as settings."""
    node = _checked("all.vars", node, NODE, ("cores", "memory_mb"))
    parts = {
        group: {host: _checked(f"{group}.{host}", values, KEYS[group], NEEDED[group])
                for host, values in groups.get(group, {}).items()}
        for group in KEYS
    }
    if not parts["contracts"]:
        raise InventoryError("contracts: empty")
    teams = {name: place for place, name in enumerate(parts["teams"])}
    grades: list[Vars] = []
    calls: list[bool] = []
    tenants: list[Vars] = [{"name": name, "portion": 0.0, "quotaPerS": 0.0} for name in teams]
    classes: dict[tuple[str, str], int] = {}
    effects: dict[str, tuple[str, float | None]] = {}
    for name, c in parts["contracts"].items():
        entry = f"contracts.{name}"
        _refer(entry, "team", c["team"], teams)
        _refer(entry, "service", c["service"], parts["services"])
        if (c["team"], c["service"]) in classes:
            raise InventoryError(f"{entry}: team, service: another contract has both")
        if c["aim_ms"] > c["due_ms"]:
            raise InventoryError(f"{entry}: aim_ms: above due_ms")
        if (c["effect"] == "keyed") != ("window_ms" in c):
            raise InventoryError(f"{entry}: window_ms: needed by the effect keyed, and by no other")
        # A try may repeat another team's, so one service has one effect and window for all.
        effect = c["effect"], c.get("window_ms")
        if effects.setdefault(c["service"], effect) != effect:
            raise InventoryError(f"{entry}: effect: differs from another contract of {c['service']}")
        classes[c["team"], c["service"]] = len(grades)
        grades.append({
            "name": c["service"], "promiseS": c["aim_ms"] / 1000, "giveUpS": c["due_ms"] / 1000,
            "effect": c["effect"], "windowS": c["window_ms"] / 1000 if "window_ms" in c else None,
            "worth": c.get("worth", 1.0), "price": c.get("price", 1.0),
        })
        calls.append(c.get("calls", False))
        tenant = tenants[teams[c["team"]]]
        tenant["portion"] += c["share"]
        tenant["quotaPerS"] += c["rate"]
    if (total := sum(t["portion"] for t in tenants)) > 1 + 1e-9:
        raise InventoryError(f"contracts: share: all shares add up to {total:g}, above 1")
    for name, budget in parts["budgets"].items():
        _refer(f"budgets.{name}", "team", budget["team"], teams)
        tenant = tenants[teams[budget["team"]]]
        if "budget" in tenant:
            raise InventoryError(f"budgets.{name}: team: {budget['team']} has a budget already")
        tenant["budget"], tenant["budgetPeriodS"] = budget["amount"], budget["period_s"]
    settings = {
        "grades": grades, "tenants": tenants, "overShareWorth": node.get("over_share_worth"),
        "fleetSize": node.get("fleet_size", 1),
        "extra": {"cpus": max(1, int(node["cores"])), "memLimitKb": node["memory_mb"] * 1024,
                  "classCalls": calls, "classSkipWorth": [], "cancelSeen": True},
        "limits": {"maxRetryAfterS": node.get("max_retry_after_ms", 3000.0) / 1000},
        "clients": {"marksRetry": True},
    }
    upstreams = {name: s.get("upstreams", ()) for name, s in parts["services"].items()}
    return Inventory(settings, teams, classes, upstreams)


def _refer(entry: str, key: str, name: str, known: dict[str, Any]) -> None:
    if name not in known:
        raise InventoryError(f"{entry}: {key}: {name} is not in the inventory")


def over(told: dict[str, Any], inventory: Inventory) -> dict[str, Any]:
    """A deployment's settings with the inventory's classes and tenants in place of its own."""
    mine = inventory.settings
    given = told.get("extra")
    calls = {k: mine["extra"][k] for k in ("classCalls", "classSkipWorth")}
    extra = {**(given if isinstance(given, dict) else {}), **calls}
    chosen = {k: mine[k] for k in ("grades", "tenants", "overShareWorth") if mine[k] is not None}
    return {**told, **chosen, "extra": extra}
