"""Tests of unclaimed grants and of recently active members, on a driven clock; times are in seconds."""

import pytest

from beechrock.duties import grants as log
from beechrock.duties.grantor import Grantor
from beechrock.duties.grantor_data import Propose, Rules
from beechrock.duties.grants import GrantTable, Result
from beechrock.duties.messages import HeldFence, RenewalRequest
from beechrock.duties.model import Duty, Grant
from beechrock.duties.unclaimed import MAX_PASSED_OVER, UnclaimedGrants

LEASE_S = 1.0  # lease of each duty, in seconds
STEP_S = 0.05  # step of the driven clock, in seconds


class Leader:
    """A leader's grantor, with members whose requests the test sends."""

    def __init__(self, duties: int = 1) -> None:
        self.grants, self.now = GrantTable(), 0.0
        self.names = tuple(f"d{n}" for n in range(duties))
        for name in self.names:
            self.apply(log.declare(Duty(name, lease_s=LEASE_S)))
        self.apply(log.begin("x", 1, 1))
        self.grantor = Grantor(0.0, self.grants, Rules(LEASE_S, 1.0, 1e5))
        self.granted: list[tuple[float, str, str, str]] = []  # time, duty, holder and reason of each grant

    def apply(self, command: bytes) -> Result:
        return self.grants.apply(self.grants.applied + 1, command)

    def run(self, seconds: float, alive: str, claim: str = "") -> None:
        """Send requests of the members ``alive``; members in ``claim`` also claim their grants."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name in alive:
                held = tuple(
                    HeldFence(duty, grant.fence, 0, 0)
                    for duty, grant in self.grants.held.items()
                    if grant.holder == name and name in claim
                )
                renewal = RenewalRequest(1, 1, "east", "big", True, False, 7, self.names, held)
                self.grantor.on_request(self.now, name, renewal, True)
            for action in self.grantor.tick(self.now):
                assert isinstance(action, Propose)
                assert self.apply(action.command) is Result.DONE
                self.grantor.on_proposal_settled(action.name)
                if name := action.name:
                    self.granted.append((self.now, name, self.grants.held[name].holder, action.reason))

    def holder(self) -> str:
        return self.grants.held["d0"].holder


def test_member_that_does_not_claim_its_grant_is_passed_over_long_before_a_lease() -> None:
    leader = Leader()
    leader.run(0.6, "abcd")
    first = leader.holder()
    leader.run(0.3, "abcd")
    second = leader.holder()
    assert second != first and "did not take it" in leader.granted[-1][3]
    leader.run(0.3, "abcd")
    assert leader.holder() == second  # the wait for the second member is twice as long
    leader.run(0.2, "abcd")
    third = leader.holder()
    assert third not in (first, second)
    leader.run(5.0, "abcd", claim="abcd")
    assert leader.holder() == third and len(leader.granted) == 3
    assert not leader.grantor.renewals.unclaimed.passed_over  # a claim clears the list


def test_growing_claim_wait_lets_one_of_all_slow_members_claim() -> None:
    """Each member claims a grant only after 0.7 leases, and still one of them becomes the holder."""
    leader = Leader()
    leader.run(0.6, "ab")
    while leader.now < 12.0:
        fence = leader.grants.held["d0"].fence
        leader.run(0.7, "ab")
        if leader.grants.held["d0"].fence == fence:
            leader.run(0.2, "ab", claim="ab")
            assert not leader.grantor.renewals.unclaimed.is_unclaimed(leader.grants.held["d0"])
            return
    pytest.fail(f"no member had enough time to claim the duty: {leader.granted}")


def test_only_member_is_not_passed_over() -> None:
    leader = Leader()
    leader.run(0.6, "a")
    leader.run(0.9, "a")
    assert len(leader.granted) == 1 and leader.holder() == "a"
    leader.run(0.2, "a")  # more than one lease has passed since the grant
    assert len(leader.granted) == 2 and leader.holder() == "a"


def test_duties_of_a_lost_hall_go_to_recently_active_members() -> None:
    """Half of the members fail within 0.4 leases, so some are not yet silent when the first lease expires."""
    leader = Leader(40)
    leader.run(3.0, "abcdefgh", claim="abcdefgh")
    lost = "abcd"
    for count in range(len(lost)):
        leader.run(0.1, lost[count + 1 :] + "efgh", claim="abcdefgh")
    granted_before = len(leader.granted)
    leader.run(3.0, "efgh", claim="efgh")
    assert leader.granted[granted_before:] and all(
        to in "efgh" for _, _, to, _ in leader.granted[granted_before:]
    )


def test_memory_of_unclaimed_grants_is_bounded() -> None:
    unclaimed, fences = UnclaimedGrants(1), range(2, 30)
    for fence in fences:
        unclaimed.passed_over["d"] = unclaimed.passed_over_with("d", Grant(f"m{fence}", 1, fence, LEASE_S))
        unclaimed.renewed.add(fence)
    assert len(unclaimed.passed_over["d"]) == MAX_PASSED_OVER and unclaimed.passed_over["d"][-1] == "m29"
    unclaimed.forget({5}, ())
    assert unclaimed.renewed == {5} and not unclaimed.passed_over
