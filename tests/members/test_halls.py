"""Halls in the simulator: helpers in other halls, a lost hall reported once, updates without a hall."""

import pytest

from beechrock.lab.members_sim import Fleet
from beechrock.members.detector import FailureDetector
from beechrock.members.halls import MAX_HALLS
from beechrock.members.messages import HallChanged, MemberState, Ping, Status, StatusChanged, Update
from beechrock.members.view import FORGET_PERIODS


def test_cut_between_two_of_three_halls_is_bridged_by_the_third_without_suspicions() -> None:
    """One helper is always in the third hall; if helpers were drawn from all members, none might be there."""
    for seed in range(3):
        fleet = Fleet(9, seed, halls=3)
        assert fleet.within(10.0, fleet.agree)
        fleet.run(5.0)
        fleet.cut = lambda a, b, fleet=fleet: float(  # type: ignore[misc]
            {fleet.hall(a), fleet.hall(b)} == {"h0", "h1"}
        )
        fleet.run(120.0)
        states = {c.update.status.state for _, _, c in fleet.history if isinstance(c, StatusChanged)}
        assert states == {MemberState.ALIVE}


def test_lost_hall_is_reported_once_by_each_member_and_its_return_once() -> None:
    fleet = Fleet(9, 3, loss=0.05, halls=3)
    assert fleet.within(10.0, fleet.agree)
    for name in ("n1", "n4", "n7"):
        fleet.kill(name)
    rest = set(fleet.members)
    assert fleet.within(30.0, lambda: all(m.halls.halls["h1"].lost for m in fleet.members.values()))
    fleet.run(FORGET_PERIODS + 60.0)  # The members are forgotten; their hall stays lost
    assert all("n1" not in m.statuses() and m.halls.halls["h1"].lost for m in fleet.members.values())
    for n in (1, 4):
        fleet.start(f"n{n}", life=2)
    assert fleet.within(10.0, fleet.agree)
    changes = {
        name: [c.lost for _, by, c in fleet.history if isinstance(c, HallChanged) and by == name]
        for name in rest
    }
    assert changes == {name: [True, False] for name in rest}
    assert {c.hall for _, _, c in fleet.history if isinstance(c, HallChanged)} == {"h1"}


@pytest.mark.parametrize("seed", range(100, 110))
def test_random_histories_with_halls_keep_counts_right_and_lose_a_hall_only_with_all_its_members(
    seed: int,
) -> None:
    fleet = Fleet(8, seed, loss=0.05, most_delay_s=0.4, halls=3)
    for _ in range(15):
        match fleet.random.randrange(3):
            case 0:
                lost = f"h{fleet.random.randrange(3)}"
                fleet.cut = lambda a, b, lost=lost: float(  # type: ignore[misc]
                    (fleet.hall(a) == lost) != (fleet.hall(b) == lost)
                )
            case 1:
                fleet.pause(fleet.random.choice(sorted(fleet.members)), fleet.random.uniform(0.1, 8.0))
            case 2:
                fleet.cut = lambda a, b: 0.0
        fleet.run(fleet.random.uniform(1.0, 30.0))
    fleet.cut, fleet.loss = (lambda a, b: 0.0), 0.0
    assert fleet.within(60.0, fleet.agree), f"seed {seed}"
    assert all(not hall.lost for m in fleet.members.values() for hall in m.halls.halls.values())


def test_hall_missing_from_an_update_is_learnt_later_and_kept() -> None:
    """A member of an earlier version passes updates on without their hall."""
    member, status = FailureDetector("n1", "n1", 1, 0.0, 1, hall="h0"), Status(1, 0, MemberState.ALIVE)
    for update in (
        Update("n2", "n2", status),
        Update("n2", "n2", status, hall="h1"),
        Update("n2", "n2", status),
        Update("n2", "n2", Status(1, 2, MemberState.ALIVE)),
    ):
        member.receive("n3", "n3", Ping(1, updates=(update,)), 0.0)
    assert member.known["n2"].update == Update("n2", "n2", Status(1, 2, MemberState.ALIVE), hall="h1")
    assert member.halls.halls["h1"].alive == 1
    for n in range(100):  # More halls than the bound allows
        member.receive("n3", "n3", Ping(1, updates=(Update(f"m{n}", "m", status, hall=f"x{n}"),)), 0.0)
    assert len(member.halls.halls) == MAX_HALLS and len(member.living) == 101
