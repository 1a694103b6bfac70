"""A replacement in which two events cross: each test forces one order of them."""

import asyncio
from pathlib import Path

import pytest
from handover_requests import claimed, gone, later, part, request_of
from pair import DOUBT, LAUNCH, OK, PASS, OlderProcess, Pair, asked, run
from play import until

from beechrock.handover import claim_copy, messages
from beechrock.handover.lifecycle import COPY_TIMEOUT_S, HELLO_TIMEOUT_S, PredecessorStage, SuccessorStage

LONGEST_S = 15.0  # beyond each window of the settings


# --- the end of either process


def test_claims_of_a_killed_process_are_received_after_a_failed_write(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        end.say(messages.Hello(), messages.ClaimsSynced())
        await end.heard(messages.SuccessorReady)
        before = part(new).links.predecessor
        assert before is not None
        end.say(claimed(1))  # its run begins, and it is killed
        old.die()
        report = messages.LoadReport(9, 0.0, 0, 0)
        assert not before.send(report)  # in the same turn: nothing has been read yet
        await gone(new)
        await new.play("a = connect frames\n")
        new.wires["a"].writer.write(b"")
        await new.play(asked(1, 1, 1).replace('"x"', '"y"') + 'a ... "another body"\n')
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


@pytest.mark.parametrize("said", [(), (messages.Hello(),), (messages.Hello(), claimed(1))])
def test_keys_are_in_doubt_if_the_predecessor_dies_before_the_sync(
    folder: Path,
    said: tuple[messages.Message, ...],
) -> None:
    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        end.say(*said)
        await end.heard(messages.Hello)
        old.die()
        await gone(new)
        await pair.serving(new)  # all else is served at once
        await new.play("a = connect frames\n" + asked(1, 1, 2) + DOUBT % 1)
        new.now += LONGEST_S
        await new.play("a = connect frames\n" + later(asked(2, 2, 2), new) + LAUNCH % 2)

    run(work, folder)


@pytest.mark.parametrize("said", [(messages.Hello(),), (messages.Hello(), claimed(1))])
def test_keys_are_in_doubt_if_the_predecessor_ends_without_a_socket_before_the_sync(
    folder: Path,
    said: tuple[messages.Message, ...],
) -> None:
    """Its socket's name does not tell of it any more; that a channel stood and its claims never came does."""

    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        end.say(*said)
        await end.heard(messages.Hello)
        old.leave_no_name()
        old.die()
        await gone(new)
        await pair.serving(new)
        await new.play("a = connect frames\n" + asked(1, 1, 2) + DOUBT % 1)
        new.now += LONGEST_S
        await new.play("a = connect frames\n" + later(asked(2, 2, 2), new) + LAUNCH % 2)

    run(work, folder)


def test_keys_are_in_doubt_if_the_predecessor_was_killed_before_the_first_connection(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        OlderProcess(pair).die()  # its socket stays behind
        new = await pair.start()
        await pair.serving(new)
        await new.play("a = connect frames\n" + asked(1, 1, 2) + DOUBT % 1)
        new.now += LONGEST_S
        await new.play("a = connect frames\n" + later(asked(2, 2, 2), new) + LAUNCH % 2)

    run(work, folder)


def test_a_predecessor_that_is_killed_after_its_copy_leaves_no_doubt(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        end.say(messages.Hello(), messages.ClaimsSynced())
        await end.heard(messages.SuccessorReady)
        old.die()
        await gone(new)
        await new.play("a = connect frames\n" + asked(1, 1, 1) + LAUNCH % 1)

    run(work, folder)


def test_a_process_in_doubt_vouches_for_no_key_to_its_successor(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        first = OlderProcess(pair)
        second = await pair.start()
        await first.accept()
        first.die()
        await gone(second)
        third = await pair.start()
        await until(
            lambda: part(third).lifecycle.predecessor is PredecessorStage.COPYING,
            lambda: f"{part(third).lifecycle.predecessor}",
        )
        third.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await pair.serving(third)
        await pair.caller(third, [second])
        await third.play(later(asked(1, 1, 1), third) + DOUBT % 1)
        second.now += LONGEST_S  # its doubt is over: all is told, and the third asks
        third.now = second.now
        await pair.following(second, third)
        await pair.caller(third, [second])
        await third.play(later(asked(2, 2, 1), third) + LAUNCH % 2)

    run(work, folder)


def test_a_third_process_takes_over_at_once_if_the_first_hangs_and_the_second_ends(
    folder: Path,
) -> None:
    """Nobody accepted for as long as the third one waited for the first one's greeting."""

    async def work(pair: Pair) -> None:
        first = OlderProcess(pair)  # it is reached, and says nothing
        second = await pair.start()
        await until(lambda: part(second).links.predecessor is not None, lambda: "not reached")
        second.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await pair.serving(second)
        third = await pair.start()
        life = part(third).lifecycle
        await until(lambda: life.predecessor is PredecessorStage.DEFERRED, lambda: f"{life.predecessor}")
        third.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await asyncio.sleep(0.05)
        assert not life.serving
        await pair.end(second)
        await pair.serving(third)  # its clock stands still
        await pair.caller(third, [])
        await third.play(later(asked(1, 1, 1), third) + DOUBT % 1)
        first.die()

    run(work, folder)


def test_a_predecessor_that_resumes_after_counting_as_incompatible_syncs_its_keys(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()  # and is stopped
        await end.heard(messages.Hello)
        new.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await pair.serving(new)
        await new.play("a = connect frames\n" + later(asked(1, 1, 1), new) + DOUBT % 1)
        end.say(messages.Hello(), messages.ClaimsSynced())
        await end.heard(messages.SuccessorReady)
        assert part(new).serving
        await new.play(later(asked(2, 2, 1), new))
        end.say(messages.KeyGranted((await end.heard(messages.GrantRequest)).key))
        await new.play(LAUNCH % 2)
        old.die()

    run(work, folder)


def test_an_attempt_near_its_deadline_is_rejected_before_the_predecessor_replies(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        end.say(messages.Hello(), messages.ClaimsSynced())
        await end.heard(messages.SuccessorReady)
        new.now += 3.5  # of the 3.6 s that a caller gives
        await new.play("a = connect frames\n" + asked(1, 1, 1))
        await end.heard(messages.GrantRequest)
        await new.play("clock 0.11\n" + DOUBT % 1)
        old.die()

    run(work, folder)


def test_a_message_that_a_closed_channel_did_not_accept_does_not_count_as_sent(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = OlderProcess(pair)
        new = await pair.start()
        end = await old.accept()
        end.say(messages.Hello(), messages.ClaimsSynced())
        await end.heard(messages.SuccessorReady)
        before = part(new).links.predecessor
        assert before is not None
        end.die()  # the channel, not the process
        assert not before.send(claimed(1)) and not before.send(claimed(1))
        assert (await old.accept()) is not end  # it comes again at once
        old.die()

    run(work, folder)


def test_the_old_process_stays_until_its_results_are_copied(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claim_copy, "RESULT_CHUNK_BYTES", 1)
    monkeypatch.setattr(claim_copy, "RESULT_PAUSE_S", 0.2)

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        for n in (1, 2, 3):
            await old.play(
                ("a = connect frames\n" if n == 1 else "")
                + asked(n, n, n)
                + LAUNCH % n
                + PASS % (n, n)
                + OK % n
            )
        await old.play("a end\na closed\n")
        new = await pair.start()
        await pair.following(old, new)
        old.program.leave()
        await until(part(old).may_go, lambda: "still there")
        await pair.end(old)
        await gone(new)
        claims = part(new).keys.ownership.other_claims.claims.values()
        assert [claim.succeeded for claim in claims] == [True] * 3

    run(work, folder)


# --- words that cross


def test_crossing_drain_commands_leave_both_processes_in_one_state(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start(admin=True), None
        await pair.serving(old)
        new = await pair.start(admin=True)
        await pair.following(old, new)
        one, other = old.program.serving, new.program.serving
        assert one is not None and other is not None
        one.fail()
        other.ok()
        await until(lambda: not one.failed and not other.failed, lambda: f"{one.failed}, {other.failed}")

    run(work, folder)


def test_two_leaving_processes_both_accept_after_their_channel_broke(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        new.program.leave()
        old.program.leave()
        await pair.serving(old)
        await pair.serving(new)
        after = part(old).links.successor
        assert after is not None
        after.drop()
        await until(lambda: part(old).links.successor not in (None, after), lambda: "not joined again")
        await until(lambda: part(old).lifecycle.successor is SuccessorStage.READY, lambda: "not ready again")
        await until(
            lambda: part(old).lifecycle.other_leaving and part(new).lifecycle.other_leaving,
            lambda: "not told",
        )
        await pair.serving(old)
        await pair.serving(new)

    run(work, folder)


def test_a_cancelled_request_that_is_rejected_in_doubt_is_finished(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        one = await pair.start()
        ended: list[float | None] = []
        request = request_of(1)
        request.cancelled, request.ended = True, ended.append
        one.program.module.intake.reject_in_doubt(request, 0.3)
        assert ended == [None]

    run(work, folder)
