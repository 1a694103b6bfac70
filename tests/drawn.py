"""Random deployments over the whole ranges of the operators' pages, as settings documents.

Each optional key is absent, 0 (or null, or empty), or set. ``Model`` holds the facts that no setting
contains, such as the real work and calls of a request. ``deployment`` draws from any ``random.Random``;
``deployments`` is its hypothesis strategy.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hypothesis import strategies as st

EFFECTS = ["safe", "keyed", "unsafe", "keyed", "safe", "of a later version"]


@dataclass(frozen=True, slots=True)
class Model:
    """Facts that the settings don't contain: real work and calls by class, sizes, speed and load."""

    works: list[float]  # Seconds on a core for one request, by class
    calls: list[int]  # Downstream calls of one request, by class
    request_kb: float
    speed: float
    load: float  # Arriving work, as a multiple of the capacity of the cores
    call_s: float
    failing_calls: float
    repeats: float  # Share of arrivals that repeat an earlier key
    batch_s: float  # Shortest time between two batches


def log_span(draw: random.Random, low: float, high: float) -> float:
    return math.exp(draw.uniform(math.log(low), math.log(high)))


def _draw_optional(
    draw: random.Random,
    into: dict[str, Any],
    key: str,
    draw_value: Callable[[], Any],
    often: int = 4,
) -> None:
    """Set a key to a drawn value with odds of ``often`` to 4; otherwise leave it absent, null or 0."""
    choice = draw.randrange(4 + often)
    if choice in (0, 1):
        return
    into[key] = None if choice == 2 else 0 if choice == 3 else draw_value()


def _class(draw: random.Random, objective_s: float) -> dict[str, Any]:
    objective_s *= draw.choice([1.0, 1.0, draw.uniform(0.3, 3.0), draw.uniform(0.05, 20.0)])
    objective_s = min(max(objective_s, 0.02), 300.0)
    deadline_s = min(objective_s * draw.choice([1.0, 2.0, draw.uniform(1.0, 6.0)]), 600.0)
    entry = {"promiseS": objective_s, "giveUpS": deadline_s, "effect": draw.choice(EFFECTS)}
    _draw_optional(draw, entry, "worth", lambda: draw.choice([0.5, 1.0, 1.0, 2.0, 5.0, 1e3, 1e6]))
    _draw_optional(draw, entry, "lateShare", lambda: draw.choice([0.2, 1.0]))
    _draw_optional(draw, entry, "aimStretch", lambda: draw.uniform(0.2, 4.0))
    _draw_optional(
        draw, entry, "windowS", lambda: entry["giveUpS"] * draw.choice([0.1, 1.0, draw.uniform(0.5, 8.0)])
    )
    return entry


def _tenant(draw: random.Random) -> dict[str, Any]:
    entry: dict[str, Any] = {}
    _draw_optional(draw, entry, "portion", lambda: draw.random())
    _draw_optional(draw, entry, "quotaPerS", lambda: log_span(draw, 0.1, 1000.0))
    return entry


def _extra(draw: random.Random, document: dict[str, Any], count: int, request_kb: float) -> dict[str, Any]:
    extra: dict[str, Any] = {"cpus": draw.choice([1, 1, 2, 3, 6, 16, 64])}
    _draw_optional(draw, extra, "runFactor", lambda: draw.choice([0.5, 1.0, draw.uniform(1.0, 16.0)]))
    fit = draw.choice([0.5, 3.0, *[draw.uniform(2.0, 24.0) * extra["cpus"]] * 6])
    extra["memLimitKb"] = fit * request_kb * (extra.get("runFactor") or 1.0)
    _draw_optional(
        draw,
        extra,
        "keyKb",
        lambda: draw.choice([log_span(draw, 0.1, 60.0), extra["memLimitKb"] * draw.uniform(0.05, 0.9)]),
    )
    below = ["none", "one_for_all", "one_for_all", "tier", "x"]
    _draw_optional(draw, extra, "downstream", lambda: draw.choice(below), 20)
    _draw_optional(
        draw, extra, "depShare", lambda: draw.choice([0.05, 0.3, 0.8, 1.0, 1.2, 3.0, 12.5, 500.0]), 20
    )
    _draw_optional(draw, extra, "callsOverS", lambda: draw.choice([0.1, 1.0, 5.0, 60.0]), 20)
    _draw_optional(draw, extra, "lingerS", lambda: draw.choice([0.05, 0.2, 2.0]))
    _draw_optional(draw, extra, "freshS", lambda: log_span(draw, 0.05, 10.0))
    _draw_optional(draw, extra, "freshStart", lambda: True)
    _draw_optional(draw, extra, "say", lambda: draw.choice(["floor", "allowance", "weight", "none", "x"]))
    _draw_optional(draw, extra, "stopMode", lambda: draw.choice(["none", "discard", "freeze", "x"]))
    _draw_optional(draw, extra, "idleS", lambda: draw.choice([0.005, 0.01, 5.0, 30.0]))
    _draw_optional(draw, extra, "callers", lambda: draw.randint(1, 40))
    _draw_optional(
        draw, extra, "classCalls", lambda: [draw.random() < 0.6 for _ in range(draw.randint(1, count))]
    )
    _draw_optional(
        draw, extra, "classSkipWorth", lambda: [draw.choice([0.0, 0.3, 1.0, None]) for _ in range(count)]
    )
    for name in ("passesDeadline", "cancelSeen", "deepChecks"):
        _draw_optional(draw, extra, name, lambda: True)
    _draw_optional(draw, extra, "ownStats", lambda: ["cpu_busy", "runnable", "novel"])
    return extra


def deployment(draw: random.Random) -> tuple[dict[str, Any], Model]:
    """Draw a settings document and the model that goes with it."""
    count, objective_s, request_kb = draw.randint(1, 12), log_span(draw, 0.03, 60.0), draw.uniform(0.5, 100.0)
    document: dict[str, Any] = {
        "grades": [{"name": f"c{n}", **_class(draw, objective_s)} for n in range(count)]
    }
    document["extra"] = _extra(draw, document, count, request_kb)
    _draw_optional(
        draw,
        document,
        "tenants",
        lambda: [{"name": f"t{n}", **_tenant(draw)} for n in range(draw.randint(1, 20))],
    )
    for key, low, high in [("overShareWorth", 0.01, 1.0), ("fleetSize", 1, 200), ("tickS", 0.001, 0.02)]:
        _draw_optional(draw, document, key, lambda low=low, high=high: log_span(draw, low, high))
    rules, limits = document.setdefault("guarantees", {}), document.setdefault("limits", {})
    _draw_optional(draw, rules, "fallMultiple", lambda: draw.choice([1.0, 1.5, 2.0, 5.0, 8.0, 20.0]), 20)
    _draw_optional(draw, rules, "overloadForS", lambda: log_span(draw, 0.3, 5.0), 20)
    _draw_optional(draw, rules, "rampTimeS", lambda: log_span(draw, 0.5, 30.0))
    _draw_optional(draw, rules, "coldFrom", lambda: draw.uniform(0.05, 1.0))
    _draw_optional(draw, rules, "drainGraceS", lambda: log_span(draw, 0.05, 20.0))
    _draw_optional(draw, rules, "answerSlackS", lambda: 0.06)
    _draw_optional(draw, limits, "maxRetryAfterS", lambda: log_span(draw, 0.001, 60.0))
    _draw_optional(draw, limits, "retryAfter", lambda: draw.random() < 0.5)
    _draw_optional(draw, document, "worthBy", lambda: draw.choice(["work", "request", "x"]))
    calls = (document["extra"].get("classCalls") or []) + [True] * count
    if document["extra"].get("downstream") not in ("one_for_all", "tier"):
        calls = [False] * count
    works = [g["promiseS"] * draw.choice([0.02, draw.uniform(0.02, 0.7)]) for g in document["grades"]]
    return document, Model(
        works=[max(work, 0.002) for work in works],
        calls=[draw.randint(0, 3) * calls[n] for n in range(count)],
        request_kb=request_kb,
        speed=draw.uniform(0.5, 1.5),
        load=draw.choice([0.3, 1.0, 2.0, 6.0]),
        call_s=draw.choice([0.1, 1.0]) * draw.uniform(0.05, 1.0) * objective_s,
        failing_calls=draw.choice([0.0, 0.1, 0.6, 1.0]),
        repeats=draw.choice([0.0, 0.2, 0.7]),
        batch_s=draw.choice([0.001, 0.004, 0.02]),
    )


deployments = st.builds(deployment, st.randoms(use_true_random=False))
