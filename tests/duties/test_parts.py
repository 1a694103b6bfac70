"""Unit tests of placement, rate limit, hold-downs, grant table, messages, holders and fences."""

import random
from collections import Counter

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from beechrock.duties import grants as log
from beechrock.duties.errors import FenceUnkeptError, GrantsUnreadableError
from beechrock.duties.fences import Fences
from beechrock.duties.grantor import Grantor
from beechrock.duties.grantor_data import Propose, Push, Rules
from beechrock.duties.grants import GrantTable, Result
from beechrock.duties.holder import Command, Holder, HolderAction, HolderState
from beechrock.duties.member_duties import MemberDuties
from beechrock.duties.messages import HeldFence, RenewalReply, RenewalRequest, decode, encode
from beechrock.duties.model import MAX_DUTIES, MAX_HOLD_DOWNS, Duty, Kind, Member, ineligibility_reason
from beechrock.duties.pace import MAX_WAIT_TIMES, HoldDown, MoveRateLimit
from beechrock.duties.placement import choose, max_per_member
from beechrock.lab.duties_member import Kept


def member(
    name: str, hall: str = "east", supported: frozenset[str] = frozenset(), serving: bool = True
) -> Member:
    return Member(name, 1, hall, "big", serving, supported, 0.0)


def request(
    seq: int,
    life: int,
    names: tuple[str, ...] | None = ("d",),
    held: tuple[HeldFence, ...] = (),
    hall: str = "east",
    serving: bool = True,
    leaving: bool = False,
) -> RenewalRequest:
    return RenewalRequest(seq, life, hall, "big", serving, leaving, 7, names, held)


def led_table() -> GrantTable:
    """Return a table with the duty d (lease of 1 s, no holder) and, since entry 2, with a as the leader."""
    grants = GrantTable()
    grants.apply(1, log.declare(Duty("d", lease_s=1.0)))
    grants.apply(2, log.begin("a", 1, 1))
    return grants


@settings(max_examples=60, deadline=None)
@given(count=st.integers(1, 200), size=st.integers(2, 30), lost=st.integers(0, 29), salt=st.integers(0, 99))
def test_load_is_bounded_and_a_loss_moves_the_minimum(count: int, size: int, lost: int, salt: int) -> None:
    duties = [Duty(f"{salt}.{n}") for n in range(count)]
    supported = frozenset(duty.name for duty in duties)
    members = [member(f"m{n}", supported=supported) for n in range(size)]
    placed: dict[str, str] = {}
    load: Counter[str] = Counter()

    def place(living: list[Member]) -> int:
        moved, limit = 0, max_per_member(count, len(living))
        for duty in duties:
            if placed.get(duty.name) not in {living_member.name for living_member in living}:
                to = choose(duty, living, load, limit)
                assert to is not None
                placed[duty.name] = to.name
                load[to.name] += 1
                moved += 1
        return moved

    place(members)
    assert max(load.values()) <= max(1.25 * count / size, -(-count // size))
    lost_member = members[lost % size]
    lost_duties = load.pop(lost_member.name, 0)
    living = [living_member for living_member in members if living_member is not lost_member]
    assert place(living) == lost_duties  # only the duties of the lost member move
    assert max(load.values()) <= max(1.25 * count / len(living), -(-count // len(living)))


@pytest.mark.parametrize(
    ("duty", "hall", "reason"),
    [
        (Duty("d", Kind.HALL, "west"), "east", "in another hall"),
        (Duty("d", Kind.HALL, "east"), "east", ""),
        (Duty("d", halls=("west",)), "east", "in another hall"),
        (Duty("d", hardware=("small",)), "east", "of another hardware class"),
        (Duty("x"), "east", "has no worker for it"),
    ],
)
def test_ineligibility_reasons(duty: Duty, hall: str, reason: str) -> None:
    assert ineligibility_reason(duty, member("m", hall, frozenset({"d"}))) == reason
    drained = member("m", hall, frozenset({"d"}), serving=False)
    assert ineligibility_reason(duty, drained) == "drained or leaving"


def test_hold_down_grows_and_is_forgiven_and_moves_are_rate_limited() -> None:
    held, at, waits = HoldDown(1.0), 0.0, []
    for _ in range(8):
        held.record_failure("m", at)
        waits.append(held.remaining_s("m", at))
        at += waits[-1]
    assert waits == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0] and MAX_WAIT_TIMES == 32.0
    held.record_failure("m", at + 400.0)
    assert held.remaining_s("m", at + 400.0) == 1.0
    moves = MoveRateLimit(10.0)
    # A burst of one second's worth of moves, then ten per second.
    assert sum(moves.try_move(n / 100) for n in range(300)) == 10 + 29


def test_duties_of_a_lost_hall_move_at_the_limited_rate_and_a_member_that_left_is_not_held_down() -> None:
    grants, index = GrantTable(), 0
    names = frozenset(f"d{n:02}" for n in range(40))
    for name in sorted(names):
        index += 1
        grants.apply(index, log.declare(Duty(name, lease_s=1.0)))
    index += 1
    grants.apply(index, log.begin("a", 1, 1))
    for name in sorted(names):
        index += 1
        grants.apply(index, log.grant(name, "a", 1, 0, grants.leader_epoch))
    grantor, now, move_times = Grantor(0.0, grants, Rules(1.0, 1.0, 10.0)), 0.0, []
    for name, grant in grants.held.items():
        grantor.renewals.unclaimed.on_renewed(name, grant.fence)  # member a has claimed and held them
    renewal = request(1, 1, tuple(names), hall="west")
    while now < 3.6:
        now += 0.1
        grantor.on_request(now, "b", renewal, True)
        for action in grantor.tick(now):
            assert isinstance(action, Propose)
            index += 1
            assert grants.apply(index, action.command) is Result.DONE
            move_times.append(now)
    for start in range(30):
        assert sum(start / 10 <= at < start / 10 + 1.0 for at in move_times) <= 20
    assert 30 <= len(move_times) <= 40
    grantor.on_request(now, "b", request(2, 1, None, hall="west", serving=False, leaving=True), True)
    grantor.on_request(now, "b", request(3, 2, None, hall="west"), True)
    assert not grantor.hold_down.waits  # member b had announced that it leaves
    grantor.on_request(now, "b", request(4, 3, None, hall="west"), True)
    assert grantor.hold_down.remaining_s("b", now) == pytest.approx(1.0)


def test_hold_downs_outlive_the_leader_and_are_forgiven_in_the_log() -> None:
    grants = GrantTable()

    def start_leadership(index: int) -> Grantor:
        grants.apply(index, log.begin("a", 1, index))
        return Grantor(0.0, grants, Rules(1.0, 1.0, 10.0))

    def logged(grantor: Grantor, now: float) -> dict[str, float]:
        commands = [action.command for action in grantor.tick(now) if isinstance(action, Propose)]
        results = [grants.apply(grants.applied + 1, command) for command in commands]
        grantor.on_proposal_settled("")
        assert all(result is Result.DONE for result in results), results
        return grants.waits

    first = start_leadership(1)
    for life in (1, 2, 3):  # member b restarts twice without having announced that it leaves
        first.on_request(0.1, "b", request(1, life, (), hall="west"), True)
    late = next(action.command for action in first.tick(0.1) if isinstance(action, Propose))
    first.on_proposal_settled("")
    assert logged(first, 0.2) == {"b": 2.0}
    second = start_leadership(9)
    assert grants.apply(10, late) is Result.OLD_LEADER
    second.on_request(0.1, "b", request(1, 3, (), hall="west"), True)
    assert second.hold_down.remaining_s("b", 0.1) == pytest.approx(1.9)
    second.on_request(2.5, "b", request(1, 4, (), hall="west"), True)
    assert logged(second, 2.5) == {"b": 4.0}  # the new leader doubles the wait from the log
    assert logged(second, 6.4 + 41.0) == {}


def test_messages_of_an_earlier_process_or_from_before_a_pause_do_not_count() -> None:
    grants = led_table()
    grantor = Grantor(0.0, grants, Rules(1.0, 1.0, 10.0))
    assert grantor.on_request(0.1, "b", request(1, 2), True) is not None
    assert grantor.on_request(0.1, "b", request(2, 1), True) is None
    (proposed,) = grantor.tick(0.6)
    assert isinstance(proposed, Propose) and grantor.tick(0.7) == []  # one proposal at a time
    assert grants.apply(3, proposed.command) is Result.DONE

    held = MemberDuties("b", 2, "east", "big", 1.0, 0.6)
    held.declare(Duty("d", lease_s=1.0))
    held.update_grants(grants, 0.6)
    held.on_taken_over(0.6, "d", 3)
    seq = held.next_request(0.6, True, lambda _: (0, 0)).seq
    held.on_reply(0.7, RenewalReply(seq, 1, ((3, 1.0),), (), False))  # addressed to an earlier process of b
    assert held.may("d", 0.7) is None
    held.pause_detector.observe(1.2)  # 0.5 s after the last reading: a pause
    held.on_reply(1.2, RenewalReply(seq, 2, ((3, 1.0),), (), False))
    assert held.may("d", 1.2) is None
    seq = held.next_request(1.2, True, lambda _: (0, 0)).seq
    held.on_reply(1.25, RenewalReply(seq, 2, ((3, 1.0),), (), False))
    assert held.may("d", 1.25) == 3


def test_holder_that_does_not_yield_is_no_longer_renewed() -> None:
    grants = led_table()
    grants.apply(3, log.grant("d", "a", 1, 0, 2))
    grantor, now = Grantor(0.0, grants, Rules(1.0, 1.0, 10.0)), 0.0
    while not (found := [a for a in grantor.tick(now) if isinstance(a, Propose)]) and now < 9.0:
        now += 0.1
        for name, held in (("a", (HeldFence("d", 3, 0, 1),)), ("b", ())):
            grantor.on_request(now, name, request(1, 1, ("d",), held, serving=name == "b"), True)
    assert 3.0 < now < 3.5  # two leases of grace, then the last renewed lease
    assert grants.apply(4, found[0].command) is Result.DONE
    assert grants.held["d"].holder == "b"


def test_grant_table_hold_downs_and_fences_are_bounded() -> None:
    grants, full = GrantTable(), Fences(Kept())
    for n in range(MAX_DUTIES):
        assert grants.apply(n + 1, log.declare(Duty(f"d{n}", lease_s=1.0))) is Result.DONE
        full.highest[f"d{n}"] = 1
    assert grants.apply(5000, log.declare(Duty("more", lease_s=1.0))) is Result.FULL
    with pytest.raises(FenceUnkeptError, match="kept already"):
        full.accept("more", 1)
    grants.apply(5001, log.begin("a", 1, 1))
    grants.apply(5002, log.grant("d1", "a", 1, 0, 5001))
    assert grants.apply(5003, log.retire("d1")) is Result.CHANGED
    assert grants.apply(5004, log.back("d1", 5002)) is Result.DONE
    assert grants.apply(5005, log.retire("d1")) is Result.DONE and grants.floor["d1"] == 5002
    grants.apply(5006, log.waits({str(n): 1.0 for n in range(MAX_HOLD_DOWNS + 9)}, 5001))
    assert len(grants.waits) == MAX_HOLD_DOWNS and "0" not in grants.waits
    held = HoldDown(1.0)
    for n in range(MAX_HOLD_DOWNS + 9):
        held.record_failure(str(n), 0.0)
    assert len(held.waits) == MAX_HOLD_DOWNS


def test_drained_holder_is_requested_to_yield() -> None:
    grants = led_table()
    grants.apply(3, log.grant("d", "a", 1, 0, 2))
    grantor = Grantor(0.0, grants, Rules(1.0, 1.0, 10.0))
    held = (HeldFence("d", 3, 0, 0),)
    grantor.on_request(0.1, "a", request(1, 1, ("d",), held, serving=False), True)
    assert grantor.tick(0.2) == [Push("a", RenewalReply(0, 1, (), (3,), False), "d", "drained or leaving")]
    answer = grantor.on_request(0.3, "a", request(2, 1, None, held, serving=False), True)
    assert answer is not None and answer.yield_fences == (3,) and answer.renewed == ((3, 1.0),)


def test_random_commands_keep_the_grant_table_valid_and_snapshots_equal() -> None:
    draw = random.Random(4)
    table, highest = GrantTable(), dict[str, int]()
    for index in range(1, 3000):
        name = f"d{draw.randrange(3)}"
        grant = table.held.get(name)
        fence = grant.fence if grant is not None and draw.random() < 0.7 else draw.randrange(index)
        command = draw.choice(
            [
                log.declare(Duty(name, lease_s=draw.choice((1.0, 2.0, 1e9)))),
                log.begin("a", 1, index),
                log.grant(name, draw.choice("ab"), 1, fence, draw.choice((table.leader_epoch, 0))),
                log.back(name, fence),
                log.revoke(name, fence, draw.choice((table.leader_epoch, 3))),
                log.retire(name),
                b"\xc1",
                b"",
                log.waits(
                    {f"{name}/{n}": draw.choice((0.0, 1.0, 2.0)) for n in range(9)}, table.leader_epoch
                ),
                draw.randbytes(9),
            ]
        )
        leader_epoch, before = table.leader_epoch, dict(table.held)
        table.apply(index, command)
        for key, new in table.held.items():
            if new != before.get(key):
                assert new.fence == index > highest.get(key, 0) and leader_epoch == table.leader_epoch
                highest[key] = index
        if index % 500 == 0:
            other = GrantTable()
            other.restore(table.snapshot())
            assert other.snapshot() == table.snapshot()
            table = other
    _, *before_waits, _ = msgpack.unpackb(table.snapshot())
    other.restore(msgpack.packb([1, *before_waits]))  # snapshot format 1, which had no hold-downs
    assert other.held == table.held and not other.waits
    with pytest.raises(GrantsUnreadableError):
        table.restore(table.snapshot()[:-1])


@given(st.binary(max_size=60))
def test_messages_survive_a_round_trip_and_other_bytes_are_refused(data: bytes) -> None:
    renewal = RenewalRequest(3, 2, "east", "big", True, False, 9, ("d",), (HeldFence("d", 4, 5, 6),))
    answer = RenewalReply(3, 2, ((4, 1.5),), (4,), True)
    assert decode(encode(renewal)) == renewal and decode(encode(answer)) == answer
    assert decode(data) is None
    for end in range(len(encode(renewal))):
        assert decode(encode(renewal)[:end]) is None


def holding_holder(finish: bool) -> Holder:
    """Return a holder in HOLDING under fence 5, with a lease of 1 s that starts at 0.0."""
    holder = Holder(finish)
    assert holder.on_grant(0.0, 5, 1.0) == [HolderAction(Command.TAKE_OVER, 5)]
    assert holder.on_renewed(0.0, 0, 0.0, 5, 1.0) == [] and holder.may(0.0, 0) is None
    holder.on_taken_over(0.0, 0, 5)
    assert holder.may(0.0, 0) == 5
    return holder


def test_without_a_quorum_holders_finish_or_stop_and_a_hanging_worker_is_stopped() -> None:
    stops, finishes = holding_holder(False), holding_holder(True)
    assert stops.tick(0.6, 0) == [] and stops.may(0.6, 0) == 5
    assert stops.tick(0.96, 0) == [HolderAction(Command.STOP, 5)] and stops.state is HolderState.LOST
    # The same fence is renewed later: no other member held the duty meanwhile, and the worker starts again.
    assert stops.on_renewed(2.0, 0, 1.9, 5, 1.0) == [HolderAction(Command.TAKE_OVER, 5)]
    assert stops.may(2.0, 0) is None
    stops.on_taken_over(2.1, 0, 5)
    assert stops.may(2.1, 0) == 5
    assert finishes.tick(0.4, 0) == []
    assert finishes.tick(0.6, 0) == [HolderAction(Command.GIVE_UP, 5)] and finishes.may(0.6, 0) is None
    assert finishes.tick(2.0, 0) == []
    assert finishes.tick(3.7, 0) == [HolderAction(Command.STOP, 5)]  # the worker hangs
    assert finishes.start_yield(3.8, 5, "leaving") == [HolderAction(Command.GIVE_BACK, 5)]
    assert finishes.on_grant(4.0, 0) == [] and finishes.state is HolderState.IDLE
    # A fence that was given back is not used again.
    assert finishes.on_grant(4.1, 5, 1.0) == [] and finishes.state is HolderState.IDLE


class FullDiskStore(Kept):
    def sync(self) -> None:
        raise OSError(28, "No space left on device")


def test_fences_survive_restarts_respect_the_floor_and_reject_on_a_full_disk() -> None:
    store = Kept()
    fences = Fences(store)
    assert fences.accept("d", 5) and fences.accept("d", 5) and not fences.accept("d", 4)
    assert fences.accept("e", 3)  # each duty has its own highest fence
    reopened = Fences(store)
    assert not reopened.accept("d", 4) and reopened.accept("d", 5)
    old_copy = Fences(Kept(), floor=lambda duty: 5)  # the agreed log knows fence 5
    assert not old_copy.accept("d", 4)
    full = Fences(FullDiskStore())
    with pytest.raises(FenceUnkeptError, match="No space"):
        full.accept("d", 5)
    assert full.highest == {}
