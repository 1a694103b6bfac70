"""A short run of real processes with random faults; benchmarks run it longer and with many seeds."""

import asyncio
from pathlib import Path

import pytest

from beechrock.lab.replica_play import WHOLE, play


@pytest.mark.parametrize("seed", [3])
def test_a_run_with_random_faults_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    found = asyncio.run(play(tmp_path, seed, seconds=5.0))
    assert not found.broken, (found.faults, found.history)
    assert found.faults and found.kept and 0 < found.runs <= WHOLE
