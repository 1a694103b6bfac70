"""Events that cross during a replacement; each test forces one order of them."""

import asyncio
from pathlib import Path

import pytest
from handover_requests import born_now, claim_of, handover_of, request_of, until_predecessor_absent
from pair import DOUBT, LAUNCH, OK, PASS, Pair, ScriptedPredecessor, request_line, run
from play import until

from beechrock.handover import claim_copy, messages
from beechrock.handover.lifecycle import COPY_TIMEOUT_S, HELLO_TIMEOUT_S, PredecessorStage, SuccessorStage

LONGEST_S = 15.0  # Seconds, longer than each idempotency window in the settings


# --- the end of either process


def test_claims_of_a_killed_process_are_received_after_a_failed_write(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        before = handover_of(new).links.predecessor
        assert before is not None
        end.send_messages(claim_of(1))  # the run begins, and the process is killed
        old.kill()
        report = messages.LoadReport(9, 0.0, 0, 0)
        assert not before.send(report)  # in the same loop iteration: nothing was read yet
        await until_predecessor_absent(new)
        await new.play("a = connect frames\n")
        new.wires["a"].writer.write(b"")
        await new.play(request_line(1, 1, 1).replace('"x"', '"y"') + 'a ... "another body"\n')
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


@pytest.mark.parametrize("sent", [(), (messages.Hello(),), (messages.Hello(), claim_of(1))])
def test_keys_are_in_doubt_if_the_predecessor_dies_before_the_sync(
    folder: Path,
    sent: tuple[messages.Message, ...],
) -> None:
    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        end.send_messages(*sent)
        await end.receive(messages.Hello)
        old.kill()
        await until_predecessor_absent(new)
        await pair.serving(new)  # unkeyed requests are served at once
        await new.play("a = connect frames\n" + request_line(1, 1, 2) + DOUBT % 1)
        new.now += LONGEST_S
        await new.play("a = connect frames\n" + born_now(request_line(2, 2, 2), new) + LAUNCH % 2)

    run(work, folder)


@pytest.mark.parametrize("sent", [(messages.Hello(),), (messages.Hello(), claim_of(1))])
def test_keys_are_in_doubt_if_the_predecessor_ends_without_a_socket_before_the_sync(
    folder: Path,
    sent: tuple[messages.Message, ...],
) -> None:
    """No socket is left, so only the channel without a complete copy shows that runs may be unknown."""

    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        end.send_messages(*sent)
        await end.receive(messages.Hello)
        old.remove_socket_name()
        old.kill()
        await until_predecessor_absent(new)
        await pair.serving(new)
        await new.play("a = connect frames\n" + request_line(1, 1, 2) + DOUBT % 1)
        new.now += LONGEST_S
        await new.play("a = connect frames\n" + born_now(request_line(2, 2, 2), new) + LAUNCH % 2)

    run(work, folder)


def test_keys_are_in_doubt_if_the_predecessor_was_killed_before_the_first_connection(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        ScriptedPredecessor(pair).kill()  # the name of its socket stays
        new = await pair.start()
        await pair.serving(new)
        await new.play("a = connect frames\n" + request_line(1, 1, 2) + DOUBT % 1)
        new.now += LONGEST_S
        await new.play("a = connect frames\n" + born_now(request_line(2, 2, 2), new) + LAUNCH % 2)

    run(work, folder)


def test_a_predecessor_that_is_killed_after_its_copy_leaves_no_doubt(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        old.kill()
        await until_predecessor_absent(new)
        await new.play("a = connect frames\n" + request_line(1, 1, 1) + LAUNCH % 1)

    run(work, folder)


def test_a_process_in_doubt_vouches_for_no_key_to_its_successor(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        first = ScriptedPredecessor(pair)
        second = await pair.start()
        await first.accept()
        first.kill()
        await until_predecessor_absent(second)
        third = await pair.start()
        await until(
            lambda: handover_of(third).lifecycle.predecessor is PredecessorStage.COPYING,
            lambda: f"{handover_of(third).lifecycle.predecessor}",
        )
        third.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await pair.serving(third)
        await pair.connect_caller(third, [second])
        await third.play(born_now(request_line(1, 1, 1), third) + DOUBT % 1)
        second.now += LONGEST_S  # past its doubt, the second copies claims and grants keys
        third.now = second.now
        await pair.following(second, third)
        await pair.connect_caller(third, [second])
        await third.play(born_now(request_line(2, 2, 1), third) + LAUNCH % 2)

    run(work, folder)


def test_a_third_process_takes_over_at_once_if_the_first_hangs_and_the_second_ends(
    folder: Path,
) -> None:
    """In an earlier version nobody accepted while the third process waited for the hello of the first."""

    async def work(pair: Pair) -> None:
        first = ScriptedPredecessor(pair)  # the first accepts the channel and sends nothing
        second = await pair.start()
        await until(lambda: handover_of(second).links.predecessor is not None, lambda: "not reached")
        second.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await pair.serving(second)
        third = await pair.start()
        life = handover_of(third).lifecycle
        await until(lambda: life.predecessor is PredecessorStage.DEFERRED, lambda: f"{life.predecessor}")
        third.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await asyncio.sleep(0.05)
        assert not life.serving
        await pair.end(second)
        await pair.serving(third)  # without its clock advancing
        await pair.connect_caller(third, [])
        await third.play(born_now(request_line(1, 1, 1), third) + DOUBT % 1)
        first.kill()

    run(work, folder)


def test_a_predecessor_that_resumes_after_counting_as_incompatible_syncs_its_keys(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()  # the predecessor then sends nothing, as if stopped
        await end.receive(messages.Hello)
        new.now += HELLO_TIMEOUT_S + COPY_TIMEOUT_S
        await pair.serving(new)
        await new.play("a = connect frames\n" + born_now(request_line(1, 1, 1), new) + DOUBT % 1)
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        assert handover_of(new).serving
        await new.play(born_now(request_line(2, 2, 1), new))
        end.send_messages(messages.KeyGranted((await end.receive(messages.GrantRequest)).key))
        await new.play(LAUNCH % 2)
        old.kill()

    run(work, folder)


def test_an_attempt_near_its_deadline_is_rejected_before_the_predecessor_replies(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        new.now += 3.5  # the caller's deadline is at 3.6 s
        await new.play("a = connect frames\n" + request_line(1, 1, 1))
        await end.receive(messages.GrantRequest)
        await new.play("clock 0.11\n" + DOUBT % 1)
        old.kill()

    run(work, folder)


def test_a_message_that_a_closed_channel_did_not_accept_does_not_count_as_sent(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await old.accept()
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        before = handover_of(new).links.predecessor
        assert before is not None
        end.kill()  # only the channel ends, not the process
        assert not before.send(claim_of(1)) and not before.send(claim_of(1))
        assert (await old.accept()) is not end  # the new process reconnects at once
        old.kill()

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
                + request_line(n, n, n)
                + LAUNCH % n
                + PASS % (n, n)
                + OK % n
            )
        await old.play("a end\na closed\n")
        new = await pair.start()
        await pair.following(old, new)
        old.program.leave()
        await until(handover_of(old).may_exit, lambda: "may not exit yet")
        await pair.end(old)
        await until_predecessor_absent(new)
        claims = handover_of(new).keys.ownership.other_claims.claims.values()
        assert [claim.succeeded for claim in claims] == [True] * 3

    run(work, folder)


# --- commands and notices that cross


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
        old, new = await pair.start_both()
        new.program.leave()
        old.program.leave()
        await pair.serving(old)
        await pair.serving(new)
        after = handover_of(old).links.successor
        assert after is not None
        after.drop()
        await until(lambda: handover_of(old).links.successor not in (None, after), lambda: "not joined again")
        await until(
            lambda: handover_of(old).lifecycle.successor is SuccessorStage.READY, lambda: "not ready again"
        )
        await until(
            lambda: handover_of(old).lifecycle.other_leaving and handover_of(new).lifecycle.other_leaving,
            lambda: "a leave notice is missing",
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
