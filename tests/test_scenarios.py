"""SCGI on the same footing as frames: the same scenarios give the same service, and nothing runs twice."""

import asyncio
from typing import Any

import pytest
from scenario import Verdict, scenario

SCENARIOS = {
    "overload": {"nodes": 1, "rate": 14.0, "seconds": 10.0, "deploy": False},
    "rolling deploy": {"nodes": 3, "rate": 13.0, "seconds": 14.0, "deploy": True},
}


def run(front: str, **told: Any) -> Verdict:
    return asyncio.run(scenario(front, **told))


@pytest.mark.parametrize("name", SCENARIOS)
def test_scgi_serves_within_2_percent_of_frames_and_runs_nothing_twice(name: str) -> None:
    framed, scgi = run("frames", **SCENARIOS[name]), run("scgi", **SCENARIOS[name])
    assert framed.double_runs == scgi.double_runs == 0
    assert framed.repeats > 0
    # The scenario is one: it strains the nodes, yet they serve.
    assert framed.refused > 0
    assert 0.3 < framed.service < 1.0
    assert scgi.service == pytest.approx(framed.service, rel=0.02)


def test_the_verdict_is_the_same_every_time() -> None:
    assert run("scgi", **SCENARIOS["overload"]) == run("scgi", **SCENARIOS["overload"])
