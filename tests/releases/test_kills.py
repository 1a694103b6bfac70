"""A voter killed during a write of the log, while permits are requested.

benchmarks/releases.py sweeps all writes.
"""

import asyncio
from pathlib import Path

from beechrock.lab.releases_kills import When, play


def test_a_voter_killed_as_it_appends_votes_or_saves_a_snapshot_loses_nothing_and_comes_back(
    tmp_path: Path,
) -> None:
    steps = (When.APPEND, 2), (When.VOTE, 2), (When.SNAPSHOT, 3)
    deaths = asyncio.run(play(tmp_path, 1, steps))
    assert not deaths.found, deaths.found
    assert sorted(what.partition(":")[0] for what in deaths.at) == sorted(when.value for when, _ in steps)
