"""Settings as traces store them: JSON under the field names of the trace format, which outlive renames here.

Fields that are not listed are stored under their own name. Pure.
"""

from dataclasses import asdict
from enum import Enum
from typing import Any

import ujson

from beechrock import interface as api
from beechrock.trace.errors import RowError

# By field: the name in a trace. Names in stored records stay as they are.
STORED_NODE_NAMES: dict[str, str] = {
    "over_quota_weight": "over_share_worth",
    "priority_weight_per_work": "worth_by_work",
    "scoring_mix_total": "mix_whole",
    "scoring_mix_worst_window": "mix_worst_window",
    "scoring_mix_worst_class": "mix_worst_class",
    "scoring_mix_worst_tenant": "mix_worst_tenant",
    "running_memory_factor": "run_factor",
    "idempotency_entry_kb": "key_kb",
    "slow_start": "cold_start",
    "slow_start_speed_share": "cold_from",
    "slow_start_s": "ramp_s",
    "overload_multiple": "crowd_multiple",
    "overload_window_s": "crowd_over_s",
    "propagates_deadline": "passes_deadline",
    "reports_cancellation": "tells_gone",
    "marks_retries": "marks_retry",
    "load_report_kind": "say",
    "load_report_ttl_s": "heard_for_s",
    "sends_retry_after": "retry_after",
    "shared_call_limit": "calls_share",
    "shared_call_window_s": "calls_over_s",
    "abandoned_call_linger_s": "linger_s",
    "shared_read_ttl_s": "fresh_s",
    "deep_health_checks": "deep_checks",
    "idle_timeout_s": "idle_s",
    "caller_count": "callers",
    "price_late_failure": "price_late_fail",
}
STORED_CLASS_NAMES: dict[str, str] = {
    "latency_objective_s": "aim_s",
    "deadline_s": "give_up_s",
    "priority_weight": "worth",
    "late_value_share": "late_share",
    "idempotency": "effect",
    "idempotency_window_s": "window_s",
    "latency_objective_per_work": "aim_stretch",
    "may_call": "calls",
    "skip_value_share": "skip_worth",
    "budget_cost": "price",
    "removed": "gone",
}
STORED_TENANT_NAMES: dict[str, str] = {
    "traffic_share": "share",
    "removed": "gone",
}

ENUM_FIELDS: dict[str, type[Enum]] = {
    "stop_mode": api.StopMode,
    "load_report_kind": api.LoadReportKind,
    "downstream": api.Downstream,
}


def settings_text(settings: api.Settings) -> str:
    """Return all settings as JSON; floats come back as they were."""
    stored = _stored(asdict(settings), STORED_NODE_NAMES)
    stored["classes"] = [_stored(entry, STORED_CLASS_NAMES) for entry in stored["classes"]]
    stored["tenants"] = [_stored(entry, STORED_TENANT_NAMES) for entry in stored["tenants"]]
    return ujson.dumps(stored)


def settings_of(text: str) -> api.Settings:
    """Return the settings of a stored text; RowError where the text holds none."""
    try:
        stored = ujson.loads(text)
        classes = tuple(_class_settings(entry) for entry in stored.pop("classes"))
        tenants = tuple(
            api.TenantSettings(**_fields(entry, STORED_TENANT_NAMES)) for entry in stored.pop("tenants")
        )
        fields = _fields(stored, STORED_NODE_NAMES)
        fields.update({name: kind(fields[name]) for name, kind in ENUM_FIELDS.items()})
        return api.Settings(classes=classes, tenants=tenants, **fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise RowError(f"no settings: {type(error).__name__}: {error}") from None


def _class_settings(entry: dict[str, Any]) -> api.ClassSettings:
    fields = _fields(entry, STORED_CLASS_NAMES)
    fields["idempotency"] = api.Idempotency(fields["idempotency"])
    return api.ClassSettings(**fields)


def _stored(fields: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): _plain(value) for name, value in fields.items()}


def _fields(stored: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    by_stored_name = {stored_name: name for name, stored_name in names.items()}
    return {by_stored_name.get(name, name): value for name, value in stored.items()}


def _plain(value: Any) -> Any:
    return value.value if isinstance(value, Enum) else value
