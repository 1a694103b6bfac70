"""Names in the operators' file: the path of each settings field and the names of enum members.

This is the only module with these names. A path leads to a key: ``extra.cpus`` is the key ``cpus`` of the
object ``extra``. ``[]`` means each entry of a list: ``grades[].worth`` is a key of each class, and
``extra.classCalls[]`` is a list with one value for each class.
"""

from beechrock import interface as api

# Paths of the fields of ``Settings``.
NODE_PATHS: dict[str, str] = {
    "cores": "extra.cpus",
    "memory_kb": "extra.memLimitKb",
    "classes": "grades",
    "tenants": "tenants",
    "over_quota_weight": "overShareWorth",
    "priority_weight_per_work": "worthBy",
    "scoring_mix_total": "scoringMix.whole",
    "scoring_mix_worst_window": "scoringMix.worstWindow",
    "scoring_mix_worst_class": "scoringMix.worstClass",
    "scoring_mix_worst_tenant": "scoringMix.worstTenant",
    "running_memory_factor": "extra.runFactor",
    "idempotency_entry_kb": "extra.keyKb",
    "slow_start": "extra.freshStart",
    "slow_start_speed_share": "guarantees.coldFrom",
    "slow_start_s": "guarantees.rampTimeS",
    "overload_multiple": "guarantees.fallMultiple",
    "overload_window_s": "guarantees.overloadForS",
    "answer_slack_s": "guarantees.answerSlackS",
    "drain_grace_s": "guarantees.drainGraceS",
    "propagates_deadline": "extra.passesDeadline",
    "reports_cancellation": "extra.cancelSeen",
    "marks_retries": "clients.marksRetry",
    "stop_mode": "extra.stopMode",
    "load_report_kind": "extra.say",
    "load_report_ttl_s": "extra.heardForS",
    "sends_retry_after": "limits.retryAfter",
    "max_retry_after_s": "limits.maxRetryAfterS",
    "downstream": "extra.downstream",
    "shared_call_limit": "extra.depShare",
    "shared_call_window_s": "extra.callsOverS",
    "abandoned_call_linger_s": "extra.lingerS",
    "tier": "tier",
    "shared_read_ttl_s": "extra.freshS",
    "deep_health_checks": "extra.deepChecks",
    "idle_timeout_s": "extra.idleS",
    "caller_count": "extra.callers",
    "fleet_size": "fleetSize",
    "tick_s": "tickS",
    "price_waste": "prices.waste",
    "price_late_failure": "prices.lateFail",
    "price_call": "prices.origin",
    "price_connection": "prices.connection",
    "price_handshake": "prices.handshake",
}
# Paths of the fields of ``ClassSettings``.
CLASS_PATHS: dict[str, str] = {
    "latency_objective_s": "grades[].promiseS",
    "deadline_s": "grades[].giveUpS",
    "priority_weight": "grades[].worth",
    "late_value_share": "grades[].lateShare",
    "idempotency": "grades[].effect",
    "idempotency_window_s": "grades[].windowS",
    "latency_objective_per_work": "grades[].aimStretch",
    "may_call": "extra.classCalls[]",
    "skip_value_share": "extra.classSkipWorth[]",
    "name": "grades[].name",
    "budget_cost": "grades[].price",
    "removed": "grades[].gone",
}
# Paths of the fields of ``TenantSettings``.
TENANT_PATHS: dict[str, str] = {
    "traffic_share": "tenants[].portion",
    "quota_per_s": "tenants[].quotaPerS",
    "name": "tenants[].name",
    "budget": "tenants[].budget",
    "budget_period_s": "tenants[].budgetPeriodS",
    "removed": "tenants[].gone",
}

# Path of the list of gauge names, in the order of the reported values; unknown names are skipped.
GAUGE_ORDER_PATH = "extra.ownStats"
# Field of ``Gauges`` by the gauge's name in the file.
GAUGE_FIELDS: dict[str, str] = {
    "cpu_busy": "cpu_busy",
    "runnable": "runnable",
    "mem_used": "memory_used",
    "sockets": "connections",
}

# Enum members by their names in the file; an unknown name is treated as an absent setting.
IDEMPOTENCY_BY_NAME: dict[str, api.Idempotency] = {
    "safe": api.Idempotency.IDEMPOTENT,
    "keyed": api.Idempotency.KEYED,
    "unsafe": api.Idempotency.NOT_IDEMPOTENT,
}
STOP_MODE_BY_NAME: dict[str, api.StopMode] = {
    "none": api.StopMode.NONE,
    "discard": api.StopMode.DISCARD,
    "freeze": api.StopMode.PAUSE,
}
LOAD_REPORT_BY_NAME: dict[str, api.LoadReportKind] = {
    "none": api.LoadReportKind.NONE,
    "floor": api.LoadReportKind.FLOOR,
    "allowance": api.LoadReportKind.ALLOWANCE,
    "weight": api.LoadReportKind.WEIGHT,
}
DOWNSTREAM_BY_NAME: dict[str, api.Downstream] = {
    "none": api.Downstream.NONE,
    "shared": api.Downstream.SHARED,
    "one_for_all": api.Downstream.SHARED,
    "tier": api.Downstream.TIER,
}
# Value of ``worthBy`` that makes a priority weight apply per unit of work.
WEIGHT_PER_WORK = "work"
