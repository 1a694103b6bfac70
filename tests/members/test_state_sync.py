"""Exchanges of full states: digests, parts in any order, earlier versions, and when they are scheduled."""

from hypothesis import given
from hypothesis import settings as test_settings
from hypothesis import strategies as st

from beechrock.lab.members_sim import Fleet
from beechrock.members import messages
from beechrock.members.detector import FailureDetector
from beechrock.members.messages import Ack, FullState, MemberState, Ping, Send, StartSync, Status, Update
from beechrock.members.state_sync import EARLY_SYNC_ROUNDS, LARGE_DIFFERENCE, MAX_FAST_SYNCS

any_status = st.builds(Status, st.integers(1, 3), st.integers(0, 3), st.sampled_from(MemberState))


def test_full_states_bring_members_no_longer_gossiped_but_not_the_forgotten_dead() -> None:
    knows, new = FailureDetector("n0", "n0", 1, 0.0, 1), FailureDetector("n1", "n1", 1, 0.0, 2)
    for n in range(2, 30):
        status = Status(1, n, MemberState.DEAD if n % 7 == 0 else MemberState.ALIVE)
        knows.receive("n2", "n2", Ping(n, updates=(Update(f"n{n}", f"n{n}", status),)), 0.0)
    parts = knows.full_state()
    assert [part.parts_left for part in parts] == [3, 2, 1, 0]
    assert all(len(part.updates) <= messages.MAX_UPDATES for part in parts)
    for part in reversed(parts):  # The parts may arrive in any order
        new.receive("n0", "", part, 0.0)
    living = {name: status for name, status in knows.statuses().items() if status.state is MemberState.ALIVE}
    assert new.statuses() == {"n1": new.me.status, **living}
    # Full states also bring the death of a member that is known to be alive.
    knows.receive("n2", "n2", Ping(99, updates=(Update("n3", "n3", Status(1, 3, MemberState.DEAD)),)), 0.0)
    for part in knows.full_state():
        new.receive("n0", "", part, 0.0)
    assert new.statuses()["n3"].state is MemberState.DEAD


def test_full_state_holds_a_random_sample_if_there_are_too_many_members() -> None:
    member = FailureDetector("n0", "n0", 1, 0.0, 1)
    for n in range(1, 1200):
        alive = Update(f"n{n}", f"n{n}", Status(1, 0, MemberState.ALIVE))
        member.receive("n1", "n1", Ping(n, updates=(alive,)), 0.0)
    first, second = member.full_state(), member.full_state()
    assert len(first) == len(second) == messages.MAX_PARTS - 1 and first[0].updates[0] == member.me
    assert first != second


def knowing(name: str, lives: dict[str, Status]) -> FailureDetector:
    member = FailureDetector(name, name, 1, 0.0, 1)
    for n, (other, status) in enumerate(lives.items()):
        member.receive("n0", "n0", Ping(n, updates=(Update(other, other, status),)), 0.0)
    return member


def exchange(caller: FailureDetector, called: FailureDetector) -> int:
    """Run one exchange; return how many parts went over the connection."""
    opening = caller.opening()
    called.receive(caller.name, "", opening, 0.0)
    answer, remainder_follows = called.answer(opening)
    assert [part.parts_left for part in answer] == list(range(len(answer) - 1, -1, -1))
    remainder = caller.remainder(opening, answer[0])
    assert remainder_follows == bool(remainder)
    for to, sender, parts in ((caller, called.name, answer), (called, caller.name, remainder)):
        for part in parts:
            to.receive(sender, "", part, 0.0)
    return 1 + len(answer) + len(remainder)


@test_settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.sampled_from([f"m{n}" for n in range(40)]), any_status),
    st.dictionaries(st.sampled_from([f"m{n}" for n in range(40)]), any_status),
)
def test_exchange_makes_living_views_equal_and_the_next_one_costs_two_parts(
    one: dict[str, Status], other: dict[str, Status]
) -> None:
    caller, called = knowing("n1", one), knowing("n2", other)
    for member, peer in ((caller, called), (called, caller)):
        member.receive(peer.name, peer.name, Ping(1, updates=(peer.me,)), 0.0)
    exchange(caller, called)
    for name in caller.statuses().keys() & called.statuses().keys() - {"n1", "n2"}:
        known = [lives[name] for lives in (one, other) if name in lives]
        # Digests leave out dead members and those that left.
        if min(status.state for status in known) < MemberState.DEAD:
            assert caller.statuses()[name] == called.statuses()[name] == max(known)
    assert caller.digests() == called.digests()
    assert exchange(caller, called) == 2


def test_only_differing_buckets_of_large_views_are_sent() -> None:
    lives = {f"m{n}": Status(1, 0, MemberState.ALIVE) for n in range(900)}
    caller, called = knowing("n1", lives), knowing("n2", lives | {"m7": Status(1, 3, MemberState.ALIVE)})
    called.receive("n1", "n1", Ping(1, updates=(caller.me,)), 0.0)
    caller.receive("n2", "n2", Ping(1, updates=(called.me,)), 0.0)
    caller.sync_at_round = 30
    assert exchange(caller, called) < 12 and caller.statuses()["m7"].incarnation == 3
    assert caller.sync_at_round == 30  # A small difference does not bring the next exchange forward
    exchange(caller, knowing("n3", {}))
    assert caller.sync_at_round < 10


def test_caller_without_digests_is_answered_with_the_full_state() -> None:
    called = knowing("n2", {f"m{n}": Status(1, 0, MemberState.ALIVE) for n in range(30)})
    parts, remainder_follows = called.answer(FullState(0, ()))
    assert sum(len(part.updates) for part in parts) == 31 and not remainder_follows
    # If the called member is of an earlier version, its answer has no digests, and the remainder is empty.
    caller = knowing("n1", {})
    assert caller.remainder(caller.opening(), parts[0]) == []


def test_return_of_one_of_many_dead_brings_the_next_exchange_forward() -> None:
    """When halves of 100 members meet again, each learns of 50 members, and a message carries 7 updates."""
    for dead, soon in ((LARGE_DIFFERENCE + 1, True), (LARGE_DIFFERENCE - 1, False)):
        member = knowing(
            "n1",
            {f"m{n}": Status(1, 0, MemberState.DEAD if n < dead else MemberState.ALIVE) for n in range(30)},
        )
        member.sync_at_round = 30
        returned = Update("m0", "m0", Status(1, 1, MemberState.ALIVE))
        member.receive("m0", "m0", Ping(1, updates=(returned,)), 0.0)
        assert (member.sync_at_round < 30) == soon


def test_large_differences_bring_an_exchange_each_round_up_to_a_limit_and_one_more_at_the_end() -> None:
    lives = {f"m{n}": Status(1, 0, MemberState.ALIVE) for n in range(30)}
    caller, called = knowing("n1", {}), knowing("n2", lives)
    called.sync_at_round = 30
    waits = []
    for n in range(MAX_FAST_SYNCS + 1):
        caller.sync_at_round = 30
        exchange(caller, knowing("n3", {f"m{n}": Status(1, n + 1, MemberState.ALIVE) for n in range(30)}))
        waits.append(caller.sync_at_round)
        for name in list(caller.known):
            caller._forget(name)
    assert waits == [1] * (MAX_FAST_SYNCS - 1) + [EARLY_SYNC_ROUNDS] * 2
    exchange(caller, called)
    assert called.sync_at_round == 1  # The called member finds the large difference too
    # One more early exchange follows: the called member may have lacked the same names.
    for wait in (EARLY_SYNC_ROUNDS, 30):
        caller.sync_at_round = 30
        exchange(caller, called)
        assert caller.sync_at_round == wait


def test_halves_that_forgot_each_other_meet_through_the_seeds() -> None:
    fleet = Fleet(10, 2, check_s=10.0)
    assert fleet.within(30.0, fleet.agree)
    half = {f"n{n}" for n in range(5)}
    fleet.cut = lambda a, b: float((a in half) != (b in half))
    fleet.run(600.0)
    assert not any(member.dead for member in fleet.members.values())
    fleet.cut = lambda a, b: 0.0
    assert fleet.within(30.0, fleet.agree)


def test_unknown_member_that_answers_a_probe_is_asked_for_its_full_state() -> None:
    member = knowing("n1", {"m0": Status(1, 0, MemberState.ALIVE)})
    seed = Update("s", "s", Status(1, 0, MemberState.ALIVE))
    assert StartSync("s") in member.receive("s", "s", Ack(9, updates=(seed,)), 0.0)
    assert StartSync("m0") not in member.receive("m0", "m0", Ack(9), 0.0)


def test_only_seeds_that_are_not_known_to_live_are_probed() -> None:
    member = FailureDetector("n1", "n1", 1, 0.0, 1, seeds=("m0", "s"))
    member.receive("m0", "m0", Ping(1, updates=(Update("m0", "m0", Status(1, 0, MemberState.ALIVE)),)), 0.0)
    assert [action.address for action in member.join() if isinstance(action, Send)] == ["s"]
