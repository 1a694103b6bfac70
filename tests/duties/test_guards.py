"""One short scenario for each guard, which must go wrong if that guard alone is disabled.

Each scenario function takes the disabled guards and returns whether the violation occurs. All times are in
seconds.
"""

from collections.abc import Callable

import pytest

from beechrock.duties import grants as log
from beechrock.duties.fences import Fences
from beechrock.duties.grantor import Grantor
from beechrock.duties.grantor_data import Propose, Rules
from beechrock.duties.grants import GrantTable, Result
from beechrock.duties.holder import Command
from beechrock.duties.member_duties import MemberDuties
from beechrock.duties.model import Duty, Kind
from beechrock.duties.quiet_period import QuietPeriod
from beechrock.lab.duties_member import Kept

LEASE = 1.0  # lease of the duty, in seconds
DUTY = Duty("d", Kind.FLEET, lease_s=LEASE)
RULES = Rules(LEASE, 1.0, 50.0)
Without = frozenset[str]


class Scenario:
    """Members a and b with one log that both see at once; the test delivers the messages."""

    def __init__(self, without: Without) -> None:
        self.without, self.index = without, 0
        self.grants = GrantTable(without)
        self.apply(log.declare(DUTY))
        self.members = {name: MemberDuties(name, 1, "east", "big", LEASE, 0.0, without) for name in "ab"}
        for member in self.members.values():
            member.declare(DUTY)

    def apply(self, command: bytes) -> Result:
        self.index += 1
        return self.grants.apply(self.index, command)

    def lead(self, now: float, name: str = "a") -> Grantor:
        self.apply(log.begin(name, 1, self.index))
        return Grantor(now, self.grants, RULES, self.without)

    def renew(self, name: str, grantor: Grantor, now: float, *, leading: bool = True) -> None:
        """Send the member's request to the grantor and deliver the reply, both at ``now``."""
        member = self.members[name]
        answer = grantor.on_request(now, name, member.next_request(now, True, lambda _: (0, 1)), leading)
        if answer is not None:
            member.on_reply(now, answer)

    def tick(self, grantor: Grantor, now: float) -> list[bytes]:
        """Tick the grantor and return the commands that it proposes."""
        return [action.command for action in grantor.tick(now) if isinstance(action, Propose)]

    def hold(self, name: str, grantor: Grantor, now: float) -> None:
        """Let the member whose grant is in the log take over, renew and hold the duty."""
        member = self.members[name]
        member.update_grants(self.grants, now)
        member.on_taken_over(now, "d", self.grants.held["d"].fence)
        self.renew(name, grantor, now)
        assert member.may("d", now) is not None

    def start_with_a_holding(self) -> Grantor:
        """Make member a the leader and the holder at time 1.0, and return its grantor."""
        grantor = self.lead(0.3)
        self.apply(log.grant("d", "a", 1, 0, self.grants.leader_epoch))
        self.observe_clock("a", 0.0, 1.0)
        self.hold("a", grantor, 1.0)
        grantor.tick(1.0)
        return grantor

    def observe_clock(self, name: str, start: float, end: float) -> None:
        """Let the member read its clock every 0.2 s, as its ticks do, so that it detects no pause."""
        while start < end:
            self.members[name].pause_detector.observe(start)
            start += 0.2

    def grant_b(self, now: float, command: bytes | None = None) -> bool:
        """Apply a grant of the duty to b, by default a new one; return whether the log accepts it."""
        grant = self.grants.held.get("d")
        replaces = grant.fence if grant is not None else 0
        command = command or log.grant("d", "b", 1, replaces, self.grants.leader_epoch)
        return self.apply(command) is Result.DONE


def new_leader_waits(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    grantor = scenario.lead(1.1, "b")  # member a may act until 1.95
    scenario.observe_clock("a", 1.0, 1.7)
    scenario.renew("b", grantor, 1.6)
    granted = [command for at in (1.2, 1.4, 1.6, 1.7) for command in scenario.tick(grantor, at)]
    return bool(granted) and scenario.members["a"].may("d", 1.7) is not None


def quiet_gap(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()  # member a may act until 1.95
    quiet = QuietPeriod(without)
    quiet.begin(1.1)  # member b is elected; its clock jumps by 5 s before its BEGIN is in the log
    scenario.observe_clock("a", 1.0, 1.7)
    quiet.tick(6.2, 0.25)
    scenario.apply(log.begin("b", 1, scenario.index))
    grantor = Grantor(6.2, scenario.grants, RULES, without, quiet.take(6.2))
    scenario.renew("b", grantor, 6.6)
    granted = [command for at in (6.4, 6.6, 6.7) for command in scenario.tick(grantor, at)]
    return bool(granted) and scenario.members["a"].may("d", 1.7) is not None


def quiet_once(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    quiet = QuietPeriod(without)
    quiet.begin(1.1)
    scenario.apply(log.begin("b", 1, scenario.index))
    first = Grantor(1.2, scenario.grants, RULES, without, quiet.take(1.2))
    scenario.observe_clock("a", 1.0, 1.5)
    scenario.renew("a", first, 1.5)  # member a may act until 2.45
    scenario.apply(log.begin("b", 1, scenario.index))  # a duplicate of b's BEGIN
    second = Grantor(1.6, scenario.grants, RULES, without, quiet.take(1.6))
    scenario.observe_clock("a", 1.5, 2.15)
    scenario.renew("b", second, 2.1)
    granted = [command for at in (1.8, 2.0, 2.15) for command in scenario.tick(second, at)]
    return bool(granted) and scenario.members["a"].may("d", 2.15) is not None


def from_sent(without: Without) -> bool:
    scenario = Scenario(without)
    grantor = scenario.start_with_a_holding()
    # The request is sent at 1.1 and answered at 1.15; the reply arrives at 1.9. The lease ends at 2.15 for
    # the leader.
    member = scenario.members["a"]
    answer = grantor.on_request(1.15, "a", member.next_request(1.1, True, lambda _: (0, 1)), True)
    assert answer is not None
    scenario.observe_clock("a", 1.1, 1.9)
    member.on_reply(1.9, answer)
    scenario.observe_clock("a", 1.9, 2.2)
    return member.may("d", 2.2) is not None


def drift(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    scenario.observe_clock("a", 1.0, 1.97)
    # The member's clock is 4.5% slow: at its 1.96 the leader's reads 2.003, and the lease ended at 2.0.
    return scenario.members["a"].may("d", 1.96) is not None


def end(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    scenario.observe_clock("a", 1.0, 2.0)
    return scenario.members["a"].may("d", 2.01) is not None


def pause(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    # The process was paused for 5 s, but its clock advanced by 0.5 s only, so the lease seems valid.
    return scenario.members["a"].may("d", 1.5) is not None


def leading(without: Without) -> bool:
    scenario = Scenario(without)
    old = scenario.start_with_a_holding()
    new = scenario.lead(2.0, "b")
    scenario.renew("b", new, 2.9)
    granted = [command for at in (2.2, 2.4, 2.6, 2.8, 2.95, 3.1) for command in scenario.tick(new, at)]
    scenario.observe_clock("a", 1.0, 2.8)
    scenario.renew("a", old, 2.8, leading=False)  # the old leader answers although its own lease has ended
    scenario.members["a"].on_taken_over(2.8, "d", scenario.members["a"].holders["d"].fence)
    return bool(granted) and scenario.members["a"].may("d", 3.0) is not None


def reign(without: Without) -> bool:
    scenario = Scenario(without)
    old = scenario.start_with_a_holding()
    scenario.renew("b", old, 1.9)
    late = [command for at in (1.2, 1.4, 1.6, 1.8, 2.0, 2.1) for command in scenario.tick(old, at)]
    assert len(late) == 1  # a's lease has expired for the old leader; its proposal to replace a is pending
    new = scenario.lead(2.1, "b")
    scenario.observe_clock("a", 1.0, 2.2)
    scenario.renew("a", new, 2.2)  # the new leader renews a's lease
    return scenario.grant_b(2.3, late[0]) and scenario.members["a"].may("d", 2.3) is not None


def after(without: Without) -> bool:
    scenario = Scenario(without)
    grantor = scenario.lead(0.3)
    # The leader considers its proposal for b lost and makes another one, for a.
    to_b = log.grant("d", "b", 1, 0, scenario.grants.leader_epoch)
    scenario.apply(log.grant("d", "a", 1, 0, scenario.grants.leader_epoch))
    scenario.observe_clock("a", 0.0, 1.0)
    scenario.hold("a", grantor, 1.0)
    return scenario.grant_b(1.1, to_b) and scenario.members["a"].may("d", 1.1) is not None


def ending(without: Without) -> bool:
    scenario = Scenario(without)
    grantor = scenario.start_with_a_holding()
    scenario.renew("b", grantor, 1.9)
    late = [command for at in (1.2, 1.4, 1.6, 1.8, 2.0, 2.05) for command in scenario.tick(grantor, at)]
    scenario.observe_clock("a", 1.0, 2.1)
    scenario.renew("a", grantor, 2.1)  # member a returns while the proposal to replace it is pending
    return scenario.grant_b(2.2, late[0]) and scenario.members["a"].may("d", 2.2) is not None


def was_renewed(without: Without) -> bool:
    scenario = Scenario(without)
    grantor = scenario.start_with_a_holding()  # member a has a reply, and may act until 1.95
    scenario.observe_clock("a", 1.0, 1.4)
    scenario.renew("b", grantor, 1.2)
    granted = [command for at in (1.2, 1.4) for command in scenario.tick(grantor, at)]
    return bool(granted) and scenario.members["a"].may("d", 1.4) is not None


def earlier_reign(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    grantor = scenario.lead(1.1, "b")  # the last leader renewed a's grant, and a may act until 1.95
    scenario.observe_clock("a", 1.0, 1.7)
    scenario.renew("b", grantor, 1.6)
    granted = [command for at in (1.2, 1.4, 1.6, 1.7) for command in scenario.tick(grantor, at)]
    return bool(granted) and scenario.members["a"].may("d", 1.7) is not None


def ending_untaken(without: Without) -> bool:
    scenario = Scenario(without)
    grantor = scenario.lead(0.3)
    scenario.apply(log.grant("d", "a", 1, 0, scenario.grants.leader_epoch))
    scenario.observe_clock("a", 0.0, 1.0)
    scenario.renew("b", grantor, 0.9)
    late = [command for at in (0.4, 0.6, 0.8, 1.0) for command in scenario.tick(grantor, at)]
    assert len(late) == 1  # member a has not claimed its grant
    member = scenario.members["a"]
    member.update_grants(scenario.grants, 1.05)  # a learns of its grant while the grant for b is pending
    member.on_taken_over(1.05, "d", scenario.grants.held["d"].fence)
    scenario.renew("a", grantor, 1.05)
    return scenario.grant_b(1.1, late[0]) and member.may("d", 1.1) is not None


def leader_pause_of_a_short_lease(without: Without) -> bool:
    """Let the leader's clock jump by 1.5 s, with a default lease of 10 s and a duty's lease of 1 s.

    The jump counts as a pause only if the shortest lease decides what a pause is.
    """
    scenario = Scenario(without)
    grantor = scenario.start_with_a_holding()
    grantor.rules = Rules(10.0, 1.0, 50.0)
    grantor.began_s = -9.0
    scenario.renew("b", grantor, 1.0)
    scenario.renew("b", grantor, 2.5)
    return bool(scenario.tick(grantor, 2.5)) and scenario.members["a"].may("d", 1.2) is not None


def leader_pause(without: Without) -> bool:
    scenario = Scenario(without)
    grantor = scenario.start_with_a_holding()
    scenario.renew("b", grantor, 1.0)
    # The leader's clock jumps by 5 s, while a's lease is valid for another 0.8 s.
    scenario.renew("b", grantor, 6.2)
    return bool(scenario.tick(grantor, 6.2)) and scenario.members["a"].may("d", 1.2) is not None


def stop_first(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.start_with_a_holding()
    member = scenario.members["a"]
    # The worker still has work in progress: it has not reported that it has given up.
    commands = [action.command for _, action in member.tick(1.1, "drained")]
    return member.may("d", 1.1) is not None or Command.GIVE_BACK in commands


def taking(without: Without) -> bool:
    scenario = Scenario(without)
    scenario.apply(log.begin("a", 1, 1))
    grantor = Grantor(0.0, scenario.grants, RULES, without)
    scenario.apply(log.grant("d", "a", 1, 0, scenario.grants.leader_epoch))
    member = scenario.members["a"]
    member.update_grants(scenario.grants, 0.1)
    scenario.renew("a", grantor, 0.1)  # the take-over has not announced the fence to receivers yet
    return member.may("d", 0.15) is not None


def fence(without: Without) -> bool:
    fences = Fences(Kept(), without=without)
    return fences.accept("d", 9) and fences.accept("d", 7)


def durable(without: Without) -> bool:
    store = Kept()
    Fences(store, without=without).accept("d", 9)
    store.crash()
    return Fences(store, without=without).accept("d", 7)


def progress(without: Without) -> bool:
    """Return whether a holder that makes no progress for 5 s was still not asked to yield."""
    scenario = Scenario(without)
    grantor = scenario.start_with_a_holding()
    at = 1.0
    while at < 6.0:
        at += 0.2
        scenario.renew("a", grantor, at)
        scenario.renew("b", grantor, at)
        scenario.tick(grantor, at)
    return not grantor.renewals.yield_requests


GUARDS: list[Callable[[Without], bool]] = [
    new_leader_waits,
    quiet_gap,
    quiet_once,
    from_sent,
    drift,
    end,
    pause,
    leading,
    reign,
    after,
    ending,
    ending_untaken,
    was_renewed,
    earlier_reign,
    leader_pause,
    leader_pause_of_a_short_lease,
    stop_first,
    taking,
    fence,
    durable,
    progress,
]


@pytest.mark.parametrize("scenario", GUARDS, ids=[scenario.__name__ for scenario in GUARDS])
def test_scenario_breaks_only_without_its_guard(scenario: Callable[[Without], bool]) -> None:
    assert not scenario(frozenset())
    assert scenario(frozenset({scenario.__name__.removesuffix("_of_a_short_lease").removesuffix("_untaken")}))
