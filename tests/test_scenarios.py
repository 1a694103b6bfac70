"""SCGI against frames: the same scenarios give the same service, and nothing runs twice."""

import asyncio
from typing import Any

import pytest
from scenario import Result, scenario

SCENARIOS = {
    "overload": {"nodes": 1, "rate": 14.0, "seconds": 10.0, "deploy": False},
    "rolling deploy": {"nodes": 3, "rate": 13.0, "seconds": 14.0, "deploy": True},
}


def run(front: str, **options: Any) -> Result:
    return asyncio.run(scenario(front, **options))


@pytest.mark.parametrize("name", SCENARIOS)
def test_scgi_serves_within_2_percent_of_frames_and_runs_nothing_twice(name: str) -> None:
    framed, scgi = run("frames", **SCENARIOS[name]), run("scgi", **SCENARIOS[name])
    assert framed.double_runs == scgi.double_runs == 0
    assert framed.repeats > 0
    # The scenario is meaningful: it overloads the nodes, yet they serve.
    assert framed.refused > 0
    assert 0.3 < framed.service < 1.0
    assert scgi.service == pytest.approx(framed.service, rel=0.02)


def test_the_result_of_a_scenario_is_reproducible() -> None:
    assert run("scgi", **SCENARIOS["overload"]) == run("scgi", **SCENARIOS["overload"])
