"""Attempts that either process of the node reads after the window of their key."""

import asyncio
from pathlib import Path

import pytest
from handover_requests import born_now, handover_of
from pair import DOUBT, FAILED, LAUNCH, OK, PASS, Pair, request_line, run
from play import Stand, until

from beechrock.handover.claim_copy import ClaimCopy
from beechrock.handover.lifecycle import COPY_TIMEOUT_S, PredecessorStage
from beechrock.handover.messages import Message
from beechrock.handover.peer import ChannelPeer

WINDOW_S = 10.0  # Idempotency window of the class in the settings
FAIL = 'g > "outcome 1 %016d FAIL 5 0\\r\\n\\r\\n"\n'
SECOND = 'g > "outcome 2 %016d PASS 6 2\\r\\nno\\r\\n"\n'


async def ran_once(pair: Pair, joined: bool) -> tuple[Stand, Stand]:
    """Run key 1 at the first process; with ``joined`` the second one has joined before that."""
    old, new = await pair.start(), Stand()
    await pair.serving(old)
    if joined:
        await pair.start(stand=new)
        await pair.following(old, new)
    await pair.connect_caller(old, [new] if joined else [])
    await old.play(request_line(1, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
    return old, new


@pytest.mark.parametrize(("joined", "answer"), [(True, OK), (False, FAILED)])
def test_a_late_attempt_never_gets_the_result_of_a_later_window(
    folder: Path, joined: bool, answer: str
) -> None:
    """The attempt gets its own run's result if that was sent, else it fails; it never runs again."""

    async def work(pair: Pair) -> None:
        old, new = await ran_once(pair, joined)
        late = born_now(request_line(1, 3, 1), old)
        for stand in (old, new):
            stand.now += WINDOW_S + 0.2
        await old.play(born_now(request_line(2, 2, 1), old) + LAUNCH % 2 + SECOND % 2)
        if not joined:
            await pair.start(stand=new)
            await pair.following(old, new)
        await pair.connect_caller(new, [old])
        await new.play(late + answer % 1)
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


def test_a_run_that_outlives_its_window_is_not_mistaken_for_the_next_run_of_its_key(folder: Path) -> None:
    """Repeats of the next run once got the earlier run's result, or no answer."""

    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await pair.connect_caller(old, [new])
        await old.play(request_line(1, 1, 1) + LAUNCH % 1)
        late, later_still = born_now(request_line(2, 4, 1), old), born_now(request_line(3, 5, 1), old)
        for stand in (old, new):
            stand.now += WINDOW_S + 0.2
        await old.play(
            born_now(request_line(2, 2, 1), old) + LAUNCH % 2 + FAILED % 1
        )  # the first attempt's deadline is over
        await pair.connect_caller(new, [old])
        await new.play(
            born_now(request_line(1, 3, 1), new) + "counter handover.repeats 1\n" + late + FAILED % 2
        )
        await old.play(SECOND % 2 + 'a ... "no"\n')
        await new.play('a ... "no"\n' + later_still + (FAILED % 3).replace("0.0000", "0.4000"))
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


@pytest.mark.parametrize("joined", [True, False])
def test_a_run_that_a_full_table_dropped_is_run_by_no_successor(folder: Path, joined: bool) -> None:
    """A successor that had joined knows the run; a later one gets no copy while a repeat may arrive."""

    async def work(pair: Pair) -> None:
        old, new = await ran_once(pair, joined)
        table = old.program.module.idempotency
        table.capacity = 1
        for stand in (old, new):
            stand.now += WINDOW_S - 0.1
        late = born_now(request_line(1, 3, 1), old)
        for stand in (old, new):
            stand.now += 0.3
        await old.play(born_now(request_line(2, 2, 2), old) + LAUNCH % 2)
        assert table.in_doubt(old.now - 0.2) and len(table) == 1
        if not joined:
            await pair.start(stand=new)
            before_hello = (PredecessorStage.SEARCHING, PredecessorStage.CONNECTED)
            await until(
                lambda: handover_of(new).lifecycle.predecessor not in before_hello,
                lambda: "no hello received",
            )
            await asyncio.sleep(0.1)  # longer than a copy takes
            if handover_of(new).lifecycle.predecessor is PredecessorStage.COPYING:
                new.now += COPY_TIMEOUT_S + 0.01  # the new process serves, but rejects keys
        await pair.serving(new)
        await pair.connect_caller(new, [old])
        await new.play(late + (OK if joined else DOUBT) % 1)
        assert new.program.counters["sent.launches"] == 0
        if not joined:
            old.now = new.now = table.in_doubt_until() + 0.01
            await pair.following(old, new)

    run(work, folder)


class SentMessages(ChannelPeer):
    """A channel that only records the messages sent over it."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return True


def test_a_copy_skips_earlier_runs_of_a_key_whose_later_claim_was_already_sent(folder: Path) -> None:
    """A run may begin between join and copy; sending an earlier run after its claim would end the claim."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        await pair.connect_caller(old, [])
        await old.play(request_line(1, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
        old.now += WINDOW_S + 0.2
        await old.play(born_now(request_line(2, 2, 1), old) + LAUNCH % 2)
        keys = handover_of(old).keys
        copy, peer = ClaimCopy(keys, handover_of(old).lifecycle, lambda: False), SentMessages()
        copy._send_replaced(peer)
        assert len(peer.sent) == 2
        keys.own_claims = {peer.sent[0].key: old.now}  # type: ignore[union-attr]
        copy._send_replaced(peer)
        assert len(peer.sent) == 2

    run(work, folder)


@pytest.mark.parametrize("reader", ["old", "new"])
@pytest.mark.parametrize(
    ("ended", "answer"), [(PASS % (1, 1), OK), (FAIL % 1, FAILED)], ids=["served", "failed"]
)
def test_a_try_born_after_the_window_of_a_run_at_the_successor_runs(
    folder: Path, ended: str, answer: str, reader: str
) -> None:
    """A grant exceeds its run's window; an attempt born in between once got the earlier result or failed."""

    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await pair.connect_caller(new, [old])
        await new.play(request_line(1, 1, 1) + LAUNCH % 1 + ended + answer % 1)
        for stand in (old, new):
            stand.now += WINDOW_S - 0.1
        in_window, stand = born_now(request_line(2, 2, 1), old), {"old": old, "new": new}[reader]
        if stand is old:
            await pair.connect_caller(old, [new])
        await stand.play(in_window + answer % 2)
        for each in (old, new):
            each.now += 0.2
        await stand.play(born_now(request_line(3, 3, 1), stand) + LAUNCH % 3)
        assert (old.program.counters["sent.launches"], new.program.counters["sent.launches"]) == (
            (1, 1) if stand is old else (0, 2)
        )

    run(work, folder)
