"""Unusable values in settings are errors that name the key; with every other value a node works."""

import json
from pathlib import Path
from typing import Any

import pytest

from beechrock import Node
from beechrock import interface as api
from beechrock.config.errors import ConfigError
from beechrock.config.platform import load
from beechrock.settings import settings_from, settings_from_json

SETTINGS: dict[str, Any] = {
    "clients": {"marksRetry": True},
    "fleetSize": 12,
    "overShareWorth": 0.1,
    "tickS": 0.004,
    "worthBy": "request",
    "extra": {
        "callers": 3,
        "callsOverS": 5.0,
        "cancelSeen": True,
        "classCalls": [True, False],
        "classSkipWorth": [0.3, 0.0],
        "cpus": 6,
        "depShare": 6.25,
        "downstream": "one_for_all",
        "freshS": 0.5,
        "freshStart": True,
        "heardForS": 1.0,
        "idleS": 30.0,
        "keyKb": 19.0,
        "lingerS": 0.2,
        "memLimitKb": 63876.0,
        "ownStats": ["cpu_busy", "runnable"],
        "runFactor": 16.0,
        "say": "floor",
        "stopMode": "freeze",
    },
    "grades": [
        {
            "effect": "safe",
            "giveUpS": 7.1,
            "lateShare": 0.1,
            "promiseS": 1.8,
            "worth": 1.0,
            "aimStretch": 1.0,
            "price": 1.0,
        },
        {"effect": "keyed", "giveUpS": 3.6, "promiseS": 1.4, "windowS": 10.677, "worth": 2.0},
    ],
    "guarantees": {
        "answerSlackS": 0.06,
        "coldFrom": 0.21,
        "drainGraceS": 2.0,
        "fallMultiple": 5.0,
        "overloadForS": 3.0,
        "rampTimeS": 18.0,
    },
    "limits": {"maxRetryAfterS": 1.0, "retryAfter": True},
    "prices": {"waste": 0.1},
    "scoringMix": {"whole": 0.65},
    "tenants": [{"name": "a", "portion": 0.5, "quotaPerS": 100.0, "budget": 10.0, "budgetPeriodS": 60.0}],
}
ODD = [-1, 0, 1e-12, 1e11, 1e300, 10**40, float("nan"), float("inf"), "7", True, None, [], {}, [1], [None]]


def places(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all keys and list entries of the settings, including sections."""
    inner = (
        document.items()
        if isinstance(document, dict)
        else enumerate(document)
        if isinstance(document, list)
        else ()
    )
    return [found for key, value in inner for found in ((*path, key), *places(value, (*path, key)))]


def changed(path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    document = json.loads(json.dumps(SETTINGS))
    at = document
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = value
    return document


def exercise(settings: api.Settings) -> None:
    """Run a node through requests, calls and a pause of a minute; check that its slots stay bounded."""
    now, node = 1000.0, Node(settings, 1, 1000.0)
    for ident in range(1, 40):
        now += 60.0 if ident == 30 else 0.02
        klass = ident % len(settings.classes)
        out = node.decide(
            now,
            [
                api.Arrived(api.Request(ident, klass, 20.0, 0.01, key=ident % 5, tenant_index=0)),
                api.CallNeeded(ident - 1),
                api.CallEnded(ident - 2, api.Outcome.ERROR, 0.02),
                api.RunFinished(ident - 3, api.Outcome.OK, 0.05),
                api.TimerFired(0, api.Gauges(0.5, 3.0)),
            ],
        )
        for action in out:
            if isinstance(action, (api.Advertise, api.SetTimer)):
                value = action.value if isinstance(action, api.Advertise) else action.delay_s
                assert 0 <= value < float("inf")
    assert max(len(node.abacus.tokens), len(node.calls.call_time_by_slot_s)) < 5000


@pytest.mark.parametrize("path", places(SETTINGS), ids=lambda path: ".".join(map(str, path)))
def test_any_odd_value_at_any_place_is_refused_by_name_or_a_node_works_with_it(path: tuple[Any, ...]) -> None:
    """Regressions: complex numbers, a slot that never ends, division by 0 cores, a list of 1e11 slots."""
    named = next(str(key) for key in reversed(path) if isinstance(key, str))
    for value in ODD:
        try:
            settings, _ = settings_from(changed(path, value))
        except api.SettingsError as error:
            assert named in str(error) or named in ("grades", "tenants", "extra"), (value, str(error))
        else:
            exercise(settings)


@pytest.mark.parametrize("path", places(SETTINGS), ids=lambda path: ".".join(map(str, path)))
def test_an_unknown_key_at_any_place_changes_nothing(path: tuple[Any, ...]) -> None:
    if isinstance(path[-1], str):
        more = changed((*path[:-1], "novel"), {"deep": [1, None]})
        assert settings_from(more) == settings_from(SETTINGS)


@pytest.mark.parametrize("value", [0, False])
def test_a_retry_after_setting_of_0_means_false(value: Any) -> None:
    """Regression: only false disabled it, and a site that set 0 sent Retry-After with each rejection."""
    assert not settings_from(changed(("limits", "retryAfter"), value))[0].sends_retry_after
    assert settings_from(changed(("limits", "retryAfter"), None))[0].sends_retry_after


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("extra", "cpus"), 0.5),
        (("extra", "memLimitKb"), float("nan")),
        (("limits", "maxRetryAfterS"), -1),
        (("grades", 0, "worth"), -1),
        (("extra", "classSkipWorth"), ["0.3"]),
        (("extra", "classCalls"), {"a": 1}),
        (("tickS",), float("inf")),
        (("fleetSize",), -3),
        (("grades", 1, "giveUpS"), 10**400),
    ],
)
def test_values_that_would_fail_later_are_refused_at_the_start(path: tuple[Any, ...], value: Any) -> None:
    with pytest.raises(api.SettingsError, match=str(path[-1])):
        settings_from_json(json.dumps(changed(path, value)).encode())


def test_a_short_objective_with_a_long_deadline_makes_a_bounded_number_of_slots() -> None:
    document = changed(("grades", 1, "giveUpS"), 36_000.0)
    document["limits"]["maxRetryAfterS"] = 1e-6
    document["extra"] |= {"depShare": 0.5, "callsOverS": 36_000.0}
    node = Node(settings_from(document)[0], 1, 0.0)
    assert max(len(node.abacus.tokens), len(node.calls.call_time_by_slot_s)) < 5000
    assert node.abacus.slot_s >= 0.01
    node.decide(1e6, [])  # A pause of days ends no more slots than exist
    assert node.abacus.slot_end_s > 1e6


CONFIG: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:6565",
    "agent": "127.0.0.1:4400",
    "registry": "127.0.0.1:7946",
    "ledger": "127.0.0.1:5432",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
}


@pytest.mark.parametrize("path", [p for p in places(CONFIG) if len(p) == 1 or p[0] == "limits"])
def test_any_odd_value_in_the_configuration_is_refused_by_name_or_read(
    path: tuple[str, ...], tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    for value in [*ODD, "x", ""]:
        document = json.loads(json.dumps(CONFIG))
        (document["limits"] if len(path) > 1 else document)[path[-1]] = value
        file.write_text(json.dumps(document))
        try:
            read = load({"LB_CONFIG": str(file)})
        except ConfigError as error:
            assert path[-1] in str(error) or path[0] == "settings", (value, str(error))
        else:
            assert max(read.stop_s, read.memory_mb, read.sockets) < 1e13
