"""Random histories of the real core and journal on simulated disks, with faults that end before the
checks."""

import pytest

from beechrock.lab.replica_sim import play


@pytest.mark.parametrize("seed", range(6))
def test_after_the_faults_all_copies_are_equal_and_nothing_kept_is_lost(seed: int) -> None:
    world = play(seed, seconds=12.0)
    assert not world.judge(), seed
    assert len(world.kept) > 10 and world.faults


def test_a_fleet_of_seven_and_of_one() -> None:
    assert not play(3, seconds=5.0, nodes=7).judge()
    alone = play(1, seconds=2.0, nodes=1)
    assert not alone.judge() and len(alone.kept) == alone.asked
