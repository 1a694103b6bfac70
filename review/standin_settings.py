"""Settings of a small deployment, in the form of the simulator's first message."""

from typing import Any

CORES = 6


def settings(**over: Any) -> dict[str, Any]:
    """Return the settings of one node; ``over`` replaces whole sections."""
    told: dict[str, Any] = {
        "extra": {
            "callers": 3,
            "callsOverS": 5.0,
            "cancelSeen": True,
            "classCalls": [True, True],
            "classSkipWorth": [0.3, 0.0],
            "cpus": CORES,
            "deepChecks": True,
            "depShare": 60.0,
            "downstream": "one_for_all",
            "freshS": 0.0,
            "freshStart": False,
            "heardForS": 1.0,
            "idleS": 30.0,
            "keyKb": 20.0,
            "lingerS": 0.2,
            "memLimitKb": 63876.0,
            "ownStats": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "passesDeadline": False,
            "readiness": False,
            "runFactor": 16.0,
            "say": "none",
            "stopMode": "freeze",
        },
        "clients": {"marksRetry": True},
        "fleetSize": 12,
        "grades": [
            {
                "effect": "safe",
                "giveUpS": 7.1,
                "lateShare": 0.0,
                "name": "resolve",
                "promiseS": 1.8,
                "windowS": 5.0,
                "worth": 1.0,
            },
            {
                "effect": "keyed",
                "giveUpS": 3.6,
                "lateShare": 0.0,
                "name": "submit",
                "promiseS": 1.4,
                "windowS": 10.677,
                "worth": 2.0,
            },
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
        "overShareWorth": 0.1,
        "tenants": [],
        "tickS": 0.004,
        "tier": 0,
        "worthBy": "request",
    }
    told.update(over)
    return told


def brazos() -> dict[str, Any]:
    """Return settings of an order server with the two classes that make several calls."""
    told = settings()
    told["extra"] |= {"classSkipWorth": [0.5, 0.0], "downstream": "tier", "runFactor": 8.0}
    told["grades"] = [
        {"name": "box", "effect": "safe", "promiseS": 2.9, "giveUpS": 8.7, "worth": 2.0},
        {
            "name": "checkout",
            "effect": "keyed",
            "promiseS": 2.2,
            "giveUpS": 7.2,
            "windowS": 21.744,
            "worth": 5.0,
        },
    ]
    told["guarantees"] |= {"answerSlackS": 0.08, "coldFrom": 0.24, "drainGraceS": 2.5, "fallMultiple": 8.0}
    told["tiers"] = ["web", "kitchen"]
    return told
