"""Parser of settings from the JSON object used by both the simulator and deployments.

``settings_names`` maps fields to keys; this module reads and checks the values. Errors name the place and the
key as they are written in the operators' file.
"""

from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

import ujson

from beechrock import interface as api
from beechrock import settings_names as names

EnumT = TypeVar("EnumT", bound=Enum)

REQUIRED = "a number above 0; this setting is required"
# Larger than any real setting (seconds, kilobytes, requests); larger or non-finite values would fail later.
MAX_NUMBER = 1e12
ROOT = "settings"


def gauges_from(order: Sequence[str], values: Sequence[float]) -> api.Gauges:
    """Return the gauges from values in the settings' order; values of unknown names are skipped."""
    known = names.GAUGE_FIELDS
    return api.Gauges(
        **{known[name]: value for name, value in zip(order, values, strict=False) if name in known}
    )


def settings_from_json(text: bytes) -> tuple[api.Settings, tuple[str, ...]]:
    """Parse the start message into settings and the order of the gauges. Raises SettingsError if invalid."""
    try:
        document = ujson.loads(text)
    except ValueError as error:
        raise api.SettingsError(f"not JSON ({error})", where=ROOT) from None
    return settings_from(document)


def settings_from(document: object) -> tuple[api.Settings, tuple[str, ...]]:
    """Read the settings and the order of the gauges from a JSON object. Raises SettingsError if invalid."""
    if not isinstance(document, dict):
        raise api.SettingsError("not a JSON object", where=ROOT)
    node = _NodeReader(document)
    return _node_settings(node), node.gauge_order()


def _node_settings(node: "_NodeReader") -> api.Settings:
    class_entries = node.class_entries()
    tenant_entries = node.list("tenants")
    values = {field: read(node, field) for field, read in _REQUIRED_FIELDS.items()}
    values["classes"] = tuple(
        _class_settings(node, entry, index) for index, entry in enumerate(class_entries)
    )
    values["tenants"] = tuple(_tenant_settings(entry, index) for index, entry in enumerate(tenant_entries))
    values |= {field: read(node, field) for field, read in _OPTIONAL_FIELDS.items()}
    return api.Settings(**values)


def _class_settings(node: "_NodeReader", entry: object, index: int) -> api.ClassSettings:
    reader = _EntryReader(entry, names.CLASS_PATHS, index)
    priority_weight = reader.number("priority_weight")
    budget_cost = reader.number("budget_cost")
    may_call = node.listed_value(names.CLASS_PATHS["may_call"], index)
    skip_value_share = node.listed_value(names.CLASS_PATHS["skip_value_share"], index)
    return api.ClassSettings(
        latency_objective_s=reader.required_number("latency_objective_s"),
        deadline_s=reader.required_number("deadline_s"),
        priority_weight=1.0 if priority_weight is None else priority_weight,
        late_value_share=reader.number("late_value_share") or 0.0,
        idempotency=reader.choice("idempotency", names.IDEMPOTENCY_BY_NAME, api.Idempotency.IDEMPOTENT),
        idempotency_window_s=reader.number("idempotency_window_s"),
        latency_objective_per_work=reader.number("latency_objective_per_work"),
        may_call=None if may_call is None else bool(may_call),
        skip_value_share=_non_negative(
            skip_value_share, node.listed_place(names.CLASS_PATHS["skip_value_share"])
        ),
        name=str(reader.value("name") or ""),
        budget_cost=1.0 if budget_cost is None else budget_cost,
        removed=bool(reader.value("removed")),
    )


def _tenant_settings(entry: object, index: int) -> api.TenantSettings:
    reader = _EntryReader(entry, names.TENANT_PATHS, index)
    return api.TenantSettings(
        traffic_share=reader.number("traffic_share"),
        quota_per_s=reader.number("quota_per_s"),
        name=str(reader.value("name") or ""),
        budget=reader.number("budget"),
        budget_period_s=reader.number("budget_period_s"),
        removed=bool(reader.value("removed")),
    )


class _Reader:
    """Reads and checks the values of one object of the file, by the field names of the interface."""

    def value(self, field: str) -> Any:
        """Return the raw value of the field in the file, None if it is absent."""
        raise NotImplementedError

    def place(self, field: str) -> str:
        """Return the place and the key of the field for error messages."""
        raise NotImplementedError

    def number(self, field: str) -> float | None:
        """Return a time, size, count or share, None if it is absent. Raises SettingsError below 0."""
        return _non_negative(self.value(field), self.place(field))

    def required_number(self, field: str) -> float:
        """Return a number above 0. Raises SettingsError if it is absent, 0 or less."""
        value = self.number(field)
        if value is None or value <= 0:
            raise api.SettingsError("missing or not above 0", where=self.place(field), wanted=REQUIRED)
        return value

    def required_count(self, field: str) -> int:
        """Return a count of at least 1, rounded down. Raises SettingsError if it is absent or less."""
        value = self.required_number(field)
        if value < 1:
            raise api.SettingsError(f"{value:g} is under 1", where=self.place(field), wanted="1 or more")
        return int(value)

    def count(self, field: str) -> int | None:
        """Return a count, rounded down, None if it is absent. Raises SettingsError below 0."""
        value = self.number(field)
        return None if value is None else int(value)

    def record(self, field: str) -> float | None:
        """Return a number that is only recorded, which may have any finite value; None if it is absent."""
        return _finite(self.value(field), self.place(field))

    def flag(self, field: str, default: bool = False) -> bool:
        """Return a flag; an absent or null value gives the default, and 0 is false."""
        value = self.value(field)
        return default if value is None else bool(value)

    def choice(self, field: str, members: Mapping[str, EnumT], default: EnumT) -> EnumT:
        """Return the enum member named in the file; an absent or unknown name gives the default."""
        value = self.value(field)
        return members.get(value, default) if isinstance(value, str) else default


class _NodeReader(_Reader):
    """Reads the top level of the file and its sections."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        for section in ("extra", "guarantees", "limits", "scoringMix", "prices"):
            self._section(section)

    def value(self, field: str) -> Any:
        """Return the raw value of the field from the top level or from its section."""
        section, _, key = names.NODE_PATHS[field].rpartition(".")
        return (self._section(section) if section else self.document).get(key)

    def place(self, field: str) -> str:
        """Return the key of the field for error messages."""
        return f"{ROOT}: {names.NODE_PATHS[field].rpartition('.')[2]}"

    def list(self, field: str) -> list[Any]:
        """Return a list of the top level, which is empty if the value is absent, 0 or empty."""
        return _list(self.value(field), self.place(field))

    def class_entries(self) -> Sequence[Any]:
        """Return the entries of the classes. Raises SettingsError if there are none."""
        entries = self.value("classes")
        if not isinstance(entries, list) or not entries:
            raise api.SettingsError(
                "missing or empty", where=self.place("classes"), wanted="a list of classes"
            )
        return entries

    def listed_value(self, path: str, index: int) -> Any:
        """Return a class's value from a list of values by class, None if the list is shorter."""
        section, key = path.removesuffix("[]").split(".")
        values = _list(self._section(section).get(key), self.listed_place(path))
        return values[index] if index < len(values) else None

    def listed_place(self, path: str) -> str:
        """Return the place of a list of values by class for error messages."""
        return f"{ROOT}: " + path.removesuffix("[]").replace(".", ": ")

    def gauge_order(self) -> tuple[str, ...]:
        """Return the names of the gauges in the order of their reported values."""
        section, key = names.GAUGE_ORDER_PATH.split(".")
        values = _list(self._section(section).get(key), self.listed_place(names.GAUGE_ORDER_PATH))
        return tuple(str(name) for name in values)

    def _section(self, name: str) -> dict[str, Any]:
        value = self.document.get(name) or {}  # A section that is 0, null or empty sets nothing
        if not isinstance(value, dict):
            raise api.SettingsError("not an object", where=f"{ROOT}: {name}")
        return value


class _EntryReader(_Reader):
    """Reads one entry of a list: a class or a tenant."""

    def __init__(self, entry: object, paths: dict[str, str], index: int) -> None:
        self.paths = paths
        list_name = paths["name"].partition("[]")[0]
        self.where = f"{ROOT}: {list_name}[{index}]"
        if not isinstance(entry, dict):
            raise api.SettingsError("not an object", where=self.where)
        self.entry = entry

    def value(self, field: str) -> Any:
        """Return the raw value of the field in the entry, None if it is absent."""
        return self.entry.get(self._key(field))

    def place(self, field: str) -> str:
        """Return the entry and the key of the field for error messages."""
        return f"{self.where}: {self._key(field)}"

    def _key(self, field: str) -> str:
        return self.paths[field].rpartition(".")[2]


def _list(value: Any, place: str) -> list[Any]:
    value = value or []
    if not isinstance(value, list):
        raise api.SettingsError("not a list", where=place)
    return value


def _finite(value: object, place: str) -> float | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise api.SettingsError(f"{value!r:.40} is not a number", where=place)
    if not -MAX_NUMBER <= value <= MAX_NUMBER:  # Also rejects NaN, for which both comparisons are false
        raise api.SettingsError(
            f"{value!r:.40} is out of range",
            where=place,
            wanted=f"a number of at most {MAX_NUMBER:g}",
        )
    return float(value)


def _non_negative(value: object, place: str) -> float | None:
    number = _finite(value, place)
    if number is not None and number < 0:
        raise api.SettingsError(f"{number:g} is below 0", where=place, wanted="0 or more")
    return number


def _stop_mode(node: _NodeReader, field: str) -> api.StopMode:
    return node.choice(field, names.STOP_MODE_BY_NAME, api.StopMode.NONE)


def _load_report_kind(node: _NodeReader, field: str) -> api.LoadReportKind:
    return node.choice(field, names.LOAD_REPORT_BY_NAME, api.LoadReportKind.NONE)


def _downstream(node: _NodeReader, field: str) -> api.Downstream:
    return node.choice(field, names.DOWNSTREAM_BY_NAME, api.Downstream.NONE)


def _shared_call_limit(node: _NodeReader, field: str) -> float | None:
    # A tier below protects itself with this same software, so the file's limit doesn't apply to it.
    is_shared = _downstream(node, "downstream") is api.Downstream.SHARED
    return node.number(field) if is_shared else None


def _shared_read_ttl_s(node: _NodeReader, field: str) -> float | None:
    # Only the tier that clients call shares the results of reads: a lower tier never gets a read marked as a
    # repeat.
    return None if node.count("tier") else node.number(field)


def _weight_per_work(node: _NodeReader, field: str) -> bool:
    return bool(node.value(field) == names.WEIGHT_PER_WORK)


def _on_by_default(node: _NodeReader, field: str) -> bool:
    return node.flag(field, default=True)


# Reader of each field, in the order in which errors are reported.
_REQUIRED_FIELDS: dict[str, Callable[[_NodeReader, str], Any]] = {
    "cores": _NodeReader.required_count,
    "memory_kb": _NodeReader.required_number,
}
_OPTIONAL_FIELDS: dict[str, Callable[[_NodeReader, str], Any]] = {
    "over_quota_weight": _NodeReader.number,
    "priority_weight_per_work": _weight_per_work,
    "scoring_mix_total": _NodeReader.record,
    "scoring_mix_worst_window": _NodeReader.record,
    "scoring_mix_worst_class": _NodeReader.record,
    "scoring_mix_worst_tenant": _NodeReader.record,
    "running_memory_factor": _NodeReader.number,
    "idempotency_entry_kb": _NodeReader.number,
    "slow_start": _NodeReader.flag,
    "slow_start_speed_share": _NodeReader.number,
    "slow_start_s": _NodeReader.number,
    "overload_multiple": _NodeReader.number,
    "overload_window_s": _NodeReader.number,
    "answer_slack_s": _NodeReader.number,
    "drain_grace_s": _NodeReader.number,
    "propagates_deadline": _NodeReader.flag,
    "reports_cancellation": _NodeReader.flag,
    "marks_retries": _NodeReader.flag,
    "stop_mode": _stop_mode,
    "load_report_kind": _load_report_kind,
    "load_report_ttl_s": _NodeReader.number,
    "sends_retry_after": _on_by_default,
    "max_retry_after_s": _NodeReader.number,
    "downstream": _downstream,
    "shared_call_limit": _shared_call_limit,
    "shared_call_window_s": _NodeReader.number,
    "abandoned_call_linger_s": _NodeReader.number,
    "tier": _NodeReader.count,
    "shared_read_ttl_s": _shared_read_ttl_s,
    "deep_health_checks": _NodeReader.flag,
    "idle_timeout_s": _NodeReader.number,
    "caller_count": _NodeReader.count,
    "fleet_size": _NodeReader.count,
    "tick_s": _NodeReader.number,
    "price_waste": _NodeReader.record,
    "price_late_failure": _NodeReader.record,
    "price_call": _NodeReader.record,
    "price_connection": _NodeReader.record,
    "price_handshake": _NodeReader.record,
}
