"""Reference of settings: the meaning and unit of each field, and the meaning of an absent value and of 0.

This module is documentation only: ``settings.py`` reads the values, ``policy`` uses them, and
``settings_names.py`` has the names in the operators' file. ``beechrock settings explain`` and
docs/deployments.md show this list; a test checks that it has every field of the interface.
"""

from collections.abc import Iterator
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from beechrock import interface as api
from beechrock import settings_names as names


@dataclass(frozen=True, slots=True)
class FieldReference:
    """Reference of one field: its name in the interface, its path in the file, and its meaning.

    ``effect`` describes what the field decides; ``absent`` and ``zero`` describe an absent value and 0.
    """

    field: str
    path: str
    unit: str
    effect: str
    absent: str
    zero: str


def _rows(paths: dict[str, str], *rows: tuple[str, ...]) -> tuple[FieldReference, ...]:
    """Build references from rows ``(field, unit, effect, absent, zero)``; ``zero`` may be left out."""
    return tuple(
        FieldReference(field, paths[field], unit, effect, absent, *(zero or ("as told",)))
        for field, unit, effect, absent, *zero in rows
    )


NODE = _rows(
    names.NODE_PATHS,
    ("cores", "cores", "how many runs start, the crowd", "an error", "an error"),
    ("memory_kb", "KB", "what is taken, started and remembered", "an error", "an error"),
    ("classes", "", "everything that is said of a class, below", "an error", "an error"),
    ("tenants", "", "shares and budgets, below", "no tenants", "no tenants"),
    ("over_quota_weight", "part of worth", "the gate of who is beyond its share", "no shares"),
    ("priority_weight_per_work", "", "whether worth is weighed against work: 'work' if not", "by request"),
    ("scoring_mix_total", "part", "nothing: kept for records", "unknown"),
    ("scoring_mix_worst_window", "part", "nothing: kept for records", "unknown"),
    ("scoring_mix_worst_class", "part", "nothing: kept for records", "unknown"),
    ("scoring_mix_worst_tenant", "part", "nothing: kept for records", "unknown"),
    ("running_memory_factor", "times", "memory of a run against a held request", "1", "1"),
    ("idempotency_entry_kb", "KB", "memory of a remembered key", "keys take no memory"),
    ("slow_start", "", "whether fewer runs start at first", "warm"),
    ("slow_start_speed_share", "part of speed", "the crowd at a cold start", "0"),
    ("slow_start_s", "s", "how long a start is cold", "warm at once", "warm at once"),
    ("overload_multiple", "runs a core", "the crowd survived", "no limit", "no limit"),
    (
        "overload_window_s",
        "s",
        "how many runs may be on the cores and in calls",
        "no such bound",
        "no such bound",
    ),
    ("answer_slack_s", "s", "nothing: answers go out before they are due", "unknown"),
    ("drain_grace_s", "s", "until when a leaving node starts runs", "0"),
    ("propagates_deadline", "", "nothing: each request tells for itself", "no"),
    ("reports_cancellation", "", "nothing: each caller's word counts", "no"),
    ("marks_retries", "", "nothing: each request tells for itself", "no"),
    ("stop_mode", "", "whether useless runs are stopped", "none; so an unknown word"),
    ("load_report_kind", "", "what the advertised value means", "none; so an unknown word"),
    ("load_report_ttl_s", "s", "nothing: the value is said anew when it changes", "unknown"),
    ("sends_retry_after", "", "whether refusals say when to come back", "yes", "no (false)"),
    ("max_retry_after_s", "s", "the first offset and the slots", "3", "3"),
    ("downstream", "", "whether calls are made, and how they are bounded", "none"),
    (
        "shared_call_limit",
        "calls in hand",
        "the bound on calls where all nodes share what lies below; "
        "over a tier the file's figure is passed over",
        "2 a core; over a tier 8 a core",
        "no call is made",
    ),
    ("shared_call_window_s", "s", "the window of a share under one call", "no window", "no window"),
    ("abandoned_call_linger_s", "s", "how long a call given up counts", "0"),
    ("tier", "", "whether reads share answers: in the first tier (0) alone", "the first", "the first"),
    (
        "shared_read_ttl_s",
        "s",
        "whether reads share answers; in a lower tier it is passed over",
        "they do not",
        "they do not",
    ),
    ("deep_health_checks", "", "nothing: checks are answered from store", "no"),
    (
        "idle_timeout_s",
        "s",
        "when idle connections are closed early",
        "never early",
        "never early; so under 0.01",
    ),
    ("caller_count", "", "allowances; early closing", "1 for allowances; never early", "as absent"),
    ("fleet_size", "nodes", "a node's part of quotas and budgets", "1", "1"),
    ("tick_s", "s", "the margin before answers are due", "0.004", "as absent"),
    ("price_waste", "points", "nothing: kept for records", "unknown"),
    ("price_late_failure", "points", "nothing: kept for records", "unknown"),
    ("price_call", "points", "nothing: kept for records", "unknown"),
    ("price_connection", "points", "nothing: kept for records", "unknown"),
    ("price_handshake", "points", "nothing: kept for records", "unknown"),
)
CLASS = _rows(
    names.CLASS_PATHS,
    ("latency_objective_s", "s", "the gate, the order of the hold", "an error", "an error"),
    ("deadline_s", "s", "when the last answer is due", "an error", "an error"),
    ("priority_weight", "", "the gate, by worth for work", "1", "refused first"),
    ("late_value_share", "part of worth", "whether a run goes on after its aim", "0"),
    ("idempotency", "", "keys, repeats, and what may be said of a run", "safe"),
    ("idempotency_window_s", "s", "how long a key is remembered", "the give-up time", "as absent"),
    ("latency_objective_per_work", "times its work", "a longer aim", "0"),
    ("may_call", "", "whether a call is reckoned with", "it may call", "no calls (false)"),
    (
        "skip_value_share",
        "part of worth",
        "whether a run may go on without its call",
        "it must call",
        "it must call",
    ),
    ("name", "", "which class goes on under other settings", "empty"),
    ("budget_cost", "units", "what a run takes from its tenant's budget", "1", "free"),
    ("removed", "", "a class kept for what was read under it", "no"),
)
TENANT = _rows(
    names.TENANT_PATHS,
    ("traffic_share", "part", "the first reckoning of who is beyond its share", "0"),
    (
        "quota_per_s",
        "requests a second",
        "who is beyond its share",
        "always at its share",
        "always beyond it",
    ),
    ("name", "", "which tenant goes on under other settings", "empty"),
    ("budget", "units", "refusals until the period ends", "no budget", "no budget"),
    ("budget_period_s", "s", "when a budget begins anew", "never", "never"),
    ("removed", "", "a tenant kept for what was read under it", "no"),
)


@dataclass(frozen=True, slots=True)
class ExplainedSetting:
    """One setting of a file: its path, its value in force, and whether the file sets it."""

    name: str
    value: Any
    is_set: bool
    reference: FieldReference


def explain(document: dict[str, Any], settings: api.Settings) -> list[ExplainedSetting]:
    """Explain every field of ``settings`` as read from ``document``: the node, then classes, then tenants."""
    explained = [_explain_node_field(row, document, settings) for row in NODE]
    for index, entry in enumerate(settings.classes):
        explained += _explain_entry(CLASS, entry, document, index)
    for index, tenant in enumerate(settings.tenants):
        explained += _explain_entry(TENANT, tenant, document, index)
    return explained


def unknown_names(document: dict[str, Any]) -> list[str]:
    """Return the names in the file that the program doesn't use, sorted, such as misspelt ones."""
    known = {row.path for row in NODE} | {row.path.replace("[]", "") for row in (*CLASS, *TENANT)}
    known.add(names.GAUGE_ORDER_PATH)
    lists = (names.NODE_PATHS["classes"], names.NODE_PATHS["tenants"])
    unknown = set()
    for name, value in document.items():
        if isinstance(value, dict):
            unknown |= {f"{name}.{key}" for key in value if f"{name}.{key}" not in known}
        elif name in lists:
            entries = [entry for entry in value or () if isinstance(entry, dict)]
            unknown |= {
                f"{name}[].{key}" for entry in entries for key in entry if f"{name}.{key}" not in known
            }
        elif name not in known:
            unknown.add(name)
    return sorted(unknown)


def unmatched_fields() -> list[str]:
    """Return fields without a reference and references without a field; there should be none."""
    unmatched = []
    for rows, kind in ((NODE, api.Settings), (CLASS, api.ClassSettings), (TENANT, api.TenantSettings)):
        unmatched += sorted({field.name for field in fields(kind)} ^ {row.field for row in rows})
    return unmatched


def markdown_table() -> Iterator[str]:
    """Yield the lines of a Markdown table of all references."""
    yield "| in the file | unit | what goes by it | absent | 0 |"
    yield "| --- | --- | --- | --- | --- |"
    for row in (*NODE, *CLASS, *TENANT):
        yield f"| `{row.path}` | {row.unit} | {row.effect} | {row.absent} | {row.zero} |"


def _explain_node_field(
    row: FieldReference, document: dict[str, Any], settings: api.Settings
) -> ExplainedSetting:
    value = getattr(settings, row.field)
    if row.field in ("classes", "tenants"):
        value = [entry.name for entry in value]
    return ExplainedSetting(row.path, _plain(value), _is_set(document, row.path), row)


def _explain_entry(
    rows: tuple[FieldReference, ...], entry: object, document: dict[str, Any], index: int
) -> Iterator[ExplainedSetting]:
    for row in rows:
        value = _plain(getattr(entry, row.field))
        if row.path.endswith("[]"):  # The path is a list with one value for each class
            section, key = row.path.removesuffix("[]").split(".")
            values = document.get(section, {}).get(key)
            is_set = isinstance(values, list) and index < len(values) and values[index] is not None
            name = f"{section}.{key}[{index}]"
        else:
            list_name, key = row.path.split("[].")
            values = document.get(list_name)
            is_set = isinstance(values, list) and _is_set(values[index], key)
            name = f"{list_name}[{index}].{key}"
        yield ExplainedSetting(name, value, is_set, row)


def _is_set(document: Any, path: str) -> bool:
    for part in path.split("."):
        if not isinstance(document, dict):
            return False
        document = document.get(part)
    return document is not None


def _plain(value: Any) -> Any:
    return value.value if isinstance(value, Enum) else value
