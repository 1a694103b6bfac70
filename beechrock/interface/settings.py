"""Settings of a node, of its request classes and of its tenants, given at the node's start.

A setting that a site doesn't give is None; ``beechrock.policy`` decides what that means.
"""

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from beechrock.errors import OperatorError


class SettingsError(OperatorError, ValueError):
    """A required setting is missing, or a setting has an invalid value."""

    event: ClassVar[str] = "settings.refused"


class Idempotency(Enum):
    """Whether a request of a class may run again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class StopMode(Enum):
    """Effect of stopping a run: none, loss of its progress, or a pause."""

    NONE = "none"
    DISCARD = "discard"
    PAUSE = "freeze"


class LoadReportKind(Enum):
    """Meaning of the advertised load report to callers."""

    NONE = "none"
    FLOOR = "floor"
    ALLOWANCE = "allowance"
    WEIGHT = "weight"


class Downstream(Enum):
    """Kind of service that a node calls: none, a dependency of all nodes, or another tier."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of requests.

    ``late_value_share`` is the share of its value that an answer keeps after the latency objective,
    ``skip_value_share`` the share that it keeps without its downstream call. ``latency_objective_per_work``
    is the number of seconds added to the objective for each unit of work. ``may_call`` is None where the file
    doesn't set it.
    """

    latency_objective_s: float
    deadline_s: float
    priority_weight: float = 1.0
    late_value_share: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_window_s: float | None = None
    latency_objective_per_work: float | None = None
    may_call: bool | None = None
    skip_value_share: float | None = None
    name: str = ""
    budget_cost: float = 1.0  # Units that one run takes from its tenant's budget
    removed: bool = False  # A removed class keeps its index for requests that were read before


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """Settings of one tenant: its share of the traffic, its quota and its budget, over all nodes."""

    traffic_share: float | None = None
    quota_per_s: float | None = None
    name: str = ""
    budget: float | None = None
    budget_period_s: float | None = None
    removed: bool = False


NamedEntries = tuple[
    ClassSettings | TenantSettings, ...
]  # Entries are matched by name when settings change, see SettingsChanged


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a node; the first three are required.

    ``overload_multiple``: runs per core that a node survives for ``overload_window_s``.
    ``shared_call_limit``: this node's limit of open calls to a dependency that all nodes share, as a mean
    over ``shared_call_window_s``. Prices and the scoring mix are only recorded; no decision uses them.
    """

    cores: int
    memory_kb: float
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    over_quota_weight: float | None = None
    priority_weight_per_work: bool = False
    scoring_mix_total: float | None = None
    scoring_mix_worst_window: float | None = None
    scoring_mix_worst_class: float | None = None
    scoring_mix_worst_tenant: float | None = None
    running_memory_factor: float | None = None
    idempotency_entry_kb: float | None = None
    slow_start: bool = False
    slow_start_speed_share: float | None = None
    slow_start_s: float | None = None
    overload_multiple: float | None = None
    overload_window_s: float | None = None
    answer_slack_s: float | None = None
    drain_grace_s: float | None = None
    propagates_deadline: bool = False
    reports_cancellation: bool = False
    marks_retries: bool = False
    stop_mode: StopMode = StopMode.NONE
    load_report_kind: LoadReportKind = LoadReportKind.NONE
    load_report_ttl_s: float | None = None
    sends_retry_after: bool = True
    max_retry_after_s: float | None = None
    downstream: Downstream = Downstream.NONE
    shared_call_limit: float | None = None
    shared_call_window_s: float | None = None
    abandoned_call_linger_s: float | None = None
    tier: int | None = None  # Depth of the node's tier; 0 is the tier that clients call
    shared_read_ttl_s: float | None = None
    deep_health_checks: bool = False
    idle_timeout_s: float | None = None
    caller_count: int | None = None
    fleet_size: int | None = None
    tick_s: float | None = None
    price_waste: float | None = None
    price_late_failure: float | None = None
    price_call: float | None = None
    price_connection: float | None = None
    price_handshake: float | None = None

    @property
    def mean_latency_objective_s(self) -> float:
        """Mean latency objective of the classes that are not removed."""
        in_force = [entry for entry in self.classes if not entry.removed] or [self.classes[0]]
        return sum(entry.latency_objective_s for entry in in_force) / len(in_force)
