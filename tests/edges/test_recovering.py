"""Tests of full and failing disks: when they are checked, which records are cut, which runs go on."""

import asyncio
import errno
import random
from collections import deque
from pathlib import Path
from typing import Any

import pytest

from beechrock.core.requests import Answer
from beechrock.edges.actions import Action
from beechrock.edges.copies import Copies
from beechrock.edges.errors import EdgeFullError, EdgeInvariantError
from beechrock.edges.recovering import (
    CALM_S,
    FIRST_WAIT_S,
    MAKE_ROOM,
    MAX_WAIT_S,
    MEND_DISK,
    Disk,
    Recovering,
    heals,
)
from beechrock.edges.words import Said, State
from beechrock.lab.edges_full import FAILED, REFUSED, SERVED, Up, entry, play
from beechrock.lab.edges_heard import TOO_FEW_HEARD, Carried, Try, contradicted
from beechrock.lab.edges_play import UP, Play
from beechrock.lab.fleet.disk import Faults, LyingFiles, tell
from beechrock.store.codec import Mark
from beechrock.store.errors import StoreDamagedError, StoreFailedError, StoreFullError, StoreTooNewError
from beechrock.store.witness import Verdict as Judged
from beechrock.store.witness import Witness

FULL = StoreFullError("no space", where="marks")
NO_SYNC = StoreFailedError("no sync", where="marks")


def test_disk_checks_back_off_and_a_disk_that_is_soon_full_again_keeps_the_longer_wait() -> None:
    disk, now, waits = Recovering(), 0.0, []
    assert disk.fell(now, FULL) and not disk.fell(now, FULL)
    for room in (False,) * 6 + (True,):
        assert not disk.due(disk.try_at - 0.01)
        waits.append(disk.try_at - now)
        now = disk.try_at
        assert disk.due(now) and not disk.due(now) and not disk.fell(now, FULL)  # One check at a time
        disk.tried(now, room)
    assert waits == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0, 8.0] and disk.running
    assert disk.fell(now + 1.0, FULL) and disk.wait_s == MAX_WAIT_S
    assert disk.due(disk.try_at)
    disk.tried(now, room=True)
    assert disk.fell(now + CALM_S, FULL) and disk.wait_s == FIRST_WAIT_S


def test_disk_errors_heal_and_other_errors_stay_stopped_and_say_what_to_do() -> None:
    for error, state, do in (
        (FULL, Disk.FULL, MAKE_ROOM),
        (OSError(errno.ENOSPC, ""), Disk.FULL, MAKE_ROOM),
        (OSError(errno.EIO, ""), Disk.FAILING, MEND_DISK),
        (NO_SYNC, Disk.FAILING, MEND_DISK),
    ):
        disk = Recovering()
        assert heals(error) and disk.fell(1.0, error) and (disk.state, disk.do) == (state, do)
        assert disk.due(disk.try_at)
        disk.tried(2.0, room=False, met=FULL)  # The error of the check is reported from then on
        assert (disk.state, disk.do) == (Disk.FULL, MAKE_ROOM)
    for error in (StoreDamagedError("a bit"), StoreTooNewError("2"), EdgeInvariantError("no")):
        disk = Recovering()
        disk.stop(1.0, error)
        assert not heals(error) and not disk.fell(2.0, FULL) and not disk.due(100.0)
        disk.tried(100.0, room=True)
        assert disk.state is Disk.STOPPED and "start the node again" in disk.do


def test_a_turn_without_room_on_disk_is_cut_and_runs_under_way_go_on(tmp_path: Path) -> None:
    async def run() -> None:
        await Up(tmp_path).turn(9)  # The process ends here, so it is unknown whether the write ran
        up = Up(tmp_path)
        assert await up.turn(1, 2) == {} and set(up.asked) == {1, 2}
        up.room(200)
        up.came(1, SERVED)
        # There was room for the end of 1 and for some of the intents.
        assert await up.turn(3, 4, 5, 6) == {} and up.runs.fallen
        up.came(2, SERVED)  # The disk is still full
        up.room()  # There is room now, but the disk has not been checked yet
        assert await up.turn(3) == {} == up.asked
        applied = (Said.ENDED, State.APPLIED)
        assert await up.look() == {1: applied, 2: applied}
        assert await up.turn(1, 2, 9, 3, 4) == {1: applied, 2: applied, 9: (Said.DOUBT, State.WAITING)}
        assert set(up.asked) == {3, 4}
        up.came(3, SERVED)
        assert await up.turn() == {3: applied}
        after = Up(tmp_path).runs.upstream.marks  # Everything that was reported is on disk
        assert [n for n in (1, 2, 3, 4, 5, 9) if entry(n).dot in after.ended] == [1, 2, 3]
        assert sorted(dot.n for dot in after.doubts.values()) == [4, 9]

    asyncio.run(run())


def test_a_disk_error_of_one_event_loses_no_other_event_of_its_turn(tmp_path: Path) -> None:
    async def run() -> None:
        up, came = Up(tmp_path), list[int]()

        def refused(now: float, now_s: float) -> list[Action]:
            raise OSError(errno.EIO, "broken")

        def taken(now: float, now_s: float) -> list[Action]:
            came.append(1)
            return []

        up.part.post(refused)
        up.part.post(taken)
        await up.turn()
        assert came and up.part.disk.state is Disk.FAILING
        await up.look()
        assert up.part.disk.running

    asyncio.run(run())


def test_a_duplicate_outcome_is_not_taken_for_the_next_run_of_its_key(tmp_path: Path) -> None:
    async def run() -> None:
        up = Up(tmp_path)
        await up.turn(1)
        up.room(0)
        up.runs.upstream.records = up.runs.upstream.snapshot_records
        up.runs.upstream.compact()  # A snapshot without room on disk raises no error
        up.came(1, REFUSED)
        assert await up.turn() == {} and up.runs.fallen
        up.runs._end(*up.runs.flights.values())  # The outcome arrives during the disk check
        late = up.part.events[-1]
        up.room()
        assert (await up.look())[1][0] is Said.LATER
        await up.turn(1)
        late(0.0, 0.0)
        assert set(up.asked) == {1} and (await up.turn(1))[1][0] is Said.BUSY

    asyncio.run(run())


def test_a_write_that_is_answered_from_a_failed_key_lets_others_pass(tmp_path: Path) -> None:
    async def run() -> None:
        up = Up(tmp_path)
        await up.turn(1)
        request = up.asked.pop(1)
        request.first = request  # The earlier attempt whose answer is repeated
        request.answer(Answer(FAILED))
        assert (await up.turn())[1][0] is Said.HELD and await up.turn(1) == {} and set(up.asked) == {1}

    asyncio.run(run())


@pytest.mark.parametrize("seed", range(1, 21))
def test_random_histories_with_a_disk_that_is_full_at_times(tmp_path: Path, seed: int) -> None:
    assert play(tmp_path, seed)[0] == []


@pytest.mark.parametrize("seed", range(1, 41))
def test_random_histories_with_a_disk_that_fails_at_times(tmp_path: Path, seed: int) -> None:
    bad, seen = play(tmp_path, seed, failing=True)
    assert bad == [] and seen["failing"] and seen["ended"]


def test_a_folder_mark_that_was_not_saved_for_lack_of_room_is_accepted_later(tmp_path: Path) -> None:
    control = tmp_path / "disk.json"
    tell(control, Faults())
    witness = Witness(LyingFiles(tmp_path / "state", control))
    one, two = (
        Mark(b"i" * 16, epoch, 5, bytes([epoch]) * 16, ((b"\1" * 16, 0), (b"\2" * 16, 5))[:epoch])
        for epoch in (1, 2)
    )
    assert witness.receive("up", one) is Judged.NEWER
    tell(control, Faults(full_bytes=1))
    for _ in range(2):  # A mark that was not saved is not accepted
        with pytest.raises(OSError):
            witness.receive("up", two)
    tell(control, Faults())
    assert witness.receive("up", two) is Judged.NEWER and witness.saved["up"] == 5


def test_an_edge_whose_disk_or_anothers_is_full_refuses_at_once() -> None:
    copies = Copies("a", ("a", "b"), 2, 1.0)
    copies.heard("b", 0.0)
    copies.check_able(0.0)
    copies.set_full("b", True)
    with pytest.raises(EdgeFullError, match="1 of 2 members"):
        copies.check_able(0.0)
    copies.set_full("b", False)
    copies.full = True
    with pytest.raises(EdgeFullError, match="disk of this node is full"):
        copies.check_able(0.0)


@pytest.mark.parametrize(
    ("heard_s", "wrong"),
    [((8.2,), True), ((9.0, 9.9), True), ((8.0,), False), ((10.05,), False), ((), False)],
)
def test_the_checker_detects_a_refusal_for_lack_of_a_member_that_was_heard(
    heard_s: tuple[float, ...], wrong: bool
) -> None:
    carried = Carried()
    carried.times["e2", "e1"] = deque(heard_s)
    carried.times["e1", "e2"] = deque([9.9])  # Messages in the other direction do not count
    refused = Try("e1", "q0", 10.0, 10.1, 503, f"1 of 2 {TOO_FEW_HEARD}; wanted: 2 members")
    tries = [refused, refused._replace(status=202), refused._replace(text="too many writes wait")]
    found = contradicted(tries, carried, {"e1": ("e2",), "e2": ("e1",)}, needed=2, within_s=2.0)
    assert len(found) == wrong


async def accepted(play: Play, name: str, nonce: str) -> int:
    """Write until it is accepted; return the number of refusals, each of which is for lack of a member."""

    def refusals() -> list[dict[str, Any]]:
        return [
            note for note in play.fleet.notes if note["what"] == "not accepted" and note["nonce"] == nonce
        ]

    async def written() -> bool:
        status = await play.write(name, nonce)
        assert status in (202, 503), (status, refusals())
        assert all(TOO_FEW_HEARD in note["text"] for note in refusals()), refusals()
        assert not (wrong := play.refused_though_heard()), wrong
        return status == 202

    await play.fleet.until(written, what=f"{nonce} accepted at {name}")
    return len(refusals())


@pytest.mark.parametrize("seed", range(4))
def test_a_write_beside_a_stopped_member_is_refused_before_it_is_written_and_accepted_after_it(
    tmp_path: Path, seed: int
) -> None:
    """Checks docs/edges.md: with too few members heard, a write is refused before it is stored anywhere.

    A SIGSTOP of 2.5 to 4 s silences the other member.
    """
    draw = random.Random(seed)

    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}) as play:
            fleet = play.fleet
            await play.cut()
            fleet.stop("e2")
            await asyncio.sleep(draw.uniform(2.3, 2.6))
            refused = await play.write("e1", "q0")
            assert refused == 503, "it is 202 where both hold it, and 500 where the other may hold it"
            asyncio.get_running_loop().call_later(draw.uniform(0.2, 1.4), fleet.go_on, "e2")
            assert await accepted(play, "e1", "q0") >= 1
            assert await play.write("e2", "q1") == 202
            play.join("e")
            await play.drained()
            assert play.check() == [] and sorted(play.service.order) == ["q0", "q1"]

    asyncio.run(run())


def test_upstream_goes_on_once_its_disk_has_room(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}, lying=True, time_s=0.5, cores=2) as play:
            fleet = play.fleet
            await play.cut()
            for n in range(12):
                await accepted(play, f"e{n % 2 + 1}", f"q{n}")
            play.join("e")
            await fleet.until(lambda: len(play.service.order) >= 2)
            fleet.disk(UP, full_bytes=1)  # Some writes are running, and there is no room for their ends
            await fleet.until(lambda: fleet.events(UP, "edges.disk_full"))
            ran = len(play.service.order)
            play.service.time_s = 0.01
            for n in range(2):
                assert await play.write("e1", f"meanwhile{n}") in (202, 500)
            assert len(play.service.order) == ran < 12
            view = await fleet.view(UP, "/edges")
            assert not view["broken"] and view["disk"]["do"].startswith("make room")
            fleet.disk(UP)
            await play.drained()
            assert play.check() == [] and fleet.events(UP, "edges.disk_room")
            assert not fleet.events(UP, "edges.stopped")
            receipts = [event["receipt"] for event in fleet.events(UP, "edge.applied")]
            assert len(receipts) == len(set(receipts)) >= 12
            assert (await fleet.view(UP, "/edges"))["upstream"]["doubts"] == []
            assert await play.write("e2", "after") in (200, 202)

    asyncio.run(run())


def test_an_edges_queue_goes_on_once_its_disk_has_room(tmp_path: Path) -> None:
    async def run() -> None:
        async with Play(tmp_path, edges={"e": ("e1", "e2")}, lying=True) as play:
            fleet = play.fleet
            await play.cut()
            assert await play.write("e1", "before") == 202
            fleet.disk("e1", full_bytes=1)
            assert await play.write("e1", "tries the disk") == 503
            assert await play.write("e1", "at once") == 503

            async def refuses() -> bool:  # It needs the other member's copy and knows that its disk is full
                return await play.write("e2", f"alone{len(play.answers)}") == 503

            await fleet.until(refuses)
            await fleet.kill(UP)  # The mark of the restarted upstream has to be saved, without room
            await fleet.start(UP)
            play.join("e")

            async def asked() -> bool:
                return bool((await fleet.view(UP, "/edges"))["upstream"]["edges"])

            async def looks() -> int:
                return int((await fleet.view("e1", "/edges"))["disk"]["looks"])

            async def looked() -> bool:
                return await looks() > had

            await fleet.until(asked)
            had = await looks()
            await fleet.until(looked)
            fleet.disk("e1")

            async def takes() -> bool:
                return await play.write("e1", f"after{len(play.answers)}") in (200, 202)

            await fleet.until(takes)
            await play.drained()
            assert play.check() == [] and "before" in play.service.order

    asyncio.run(run())


def test_a_named_holder_whose_disk_is_full_gives_way_and_follows_once_there_is_room(tmp_path: Path) -> None:
    async def run() -> None:
        ups = ("u1", "u2", "u3")
        async with Play(tmp_path, edges={"e": ("e1", "e2")}, ups=ups, lying=True, duties=True) as play:
            fleet, first = play.fleet, await play.holder()
            assert await play.write("e1", "before") in (200, 202)
            fleet.disk(first, full_bytes=1)
            assert await play.write("e1", "has no room") in (202, 500, 503)
            second = await play.holder(besides=first)
            assert await play.write("e2", "after") in (200, 202)
            fleet.disk(first)

            async def follows() -> bool:
                marks = await play.marks(first)
                return bool(marks["state"] == "standby" and marks["holder"] == second)

            await fleet.until(follows)
            await play.emptied()
            assert play.check() == [] and not fleet.events(first, "edges.stopped")

    asyncio.run(run())
