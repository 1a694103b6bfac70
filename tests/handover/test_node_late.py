"""Tries that are read after their key's window, by the other process of the node."""

import asyncio
from pathlib import Path

import pytest
from handover_requests import later, part
from pair import DOUBT, FAILED, LAUNCH, OK, PASS, Pair, asked, run
from play import Stand, until

from beechrock.handover.claim_copy import ClaimCopy
from beechrock.handover.lifecycle import COPY_TIMEOUT_S, PredecessorStage
from beechrock.handover.messages import Message
from beechrock.handover.peer import ChannelPeer

WINDOW_S = 10.0  # of the class
FAIL = 'g > "outcome 1 %016d FAIL 5 0\\r\\n\\r\\n"\n'
SECOND = 'g > "outcome 2 %016d PASS 6 2\\r\\nno\\r\\n"\n'


async def ran_once(pair: Pair, joined: bool) -> tuple[Stand, Stand]:
    """Key 1 has run at the first process; the second one has joined before, or is yet to be started."""
    old, new = await pair.start(), Stand()
    await pair.serving(old)
    if joined:
        await pair.start(stand=new)
        await pair.following(old, new)
    await pair.caller(old, [new] if joined else [])
    await old.play(asked(1, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
    return old, new


@pytest.mark.parametrize(("joined", "answer"), [(True, OK), (False, FAILED)])
def test_a_late_attempt_never_gets_the_result_of_a_later_window(
    folder: Path, joined: bool, answer: str
) -> None:
    """Its own run's result where that was told, else 'failed'; never the later run's, and it never runs."""

    async def work(pair: Pair) -> None:
        old, new = await ran_once(pair, joined)
        late = later(asked(1, 3, 1), old)
        for stand in (old, new):
            stand.now += WINDOW_S + 0.2
        await old.play(later(asked(2, 2, 1), old) + LAUNCH % 2 + SECOND % 2)
        if not joined:
            await pair.start(stand=new)
            await pair.following(old, new)
        await pair.caller(new, [old])
        await new.play(late + answer % 1)
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


def test_a_run_that_outlives_its_window_is_not_mistaken_for_the_next_run_of_its_key(folder: Path) -> None:
    """The next run's repeats got the earlier one's result, or went without an answer of their own."""

    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        await pair.caller(old, [new])
        await old.play(asked(1, 1, 1) + LAUNCH % 1)
        late, later_still = later(asked(2, 4, 1), old), later(asked(3, 5, 1), old)
        for stand in (old, new):
            stand.now += WINDOW_S + 0.2
        await old.play(
            later(asked(2, 2, 1), old) + LAUNCH % 2 + FAILED % 1
        )  # the first one's due time is over
        await pair.caller(new, [old])
        await new.play(later(asked(1, 3, 1), new) + "counter handover.repeats 1\n" + late + FAILED % 2)
        await old.play(SECOND % 2 + 'a ... "no"\n')
        await new.play('a ... "no"\n' + later_still + (FAILED % 3).replace("0.0000", "0.4000"))
        assert new.program.counters["sent.launches"] == 0

    run(work, folder)


@pytest.mark.parametrize("joined", [True, False])
def test_a_run_that_a_full_table_dropped_is_run_by_no_successor(folder: Path, joined: bool) -> None:
    """One that joined before knows it; one that comes later is vouched for no key until no try is left."""

    async def work(pair: Pair) -> None:
        old, new = await ran_once(pair, joined)
        table = old.program.module.idempotency
        table.capacity = 1
        for stand in (old, new):
            stand.now += WINDOW_S - 0.1
        late = later(asked(1, 3, 1), old)
        for stand in (old, new):
            stand.now += 0.3
        await old.play(later(asked(2, 2, 2), old) + LAUNCH % 2)
        assert table.in_doubt(old.now - 0.2) and len(table) == 1
        if not joined:
            await pair.start(stand=new)
            unheard = (PredecessorStage.SEARCHING, PredecessorStage.CONNECTED)
            await until(lambda: part(new).lifecycle.predecessor not in unheard, lambda: "not met")
            await asyncio.sleep(0.1)  # a copy would have come by now
            if part(new).lifecycle.predecessor is PredecessorStage.COPYING:
                new.now += COPY_TIMEOUT_S + 0.01  # it takes connections, without keys
        await pair.serving(new)
        await pair.caller(new, [old])
        await new.play(late + (OK if joined else DOUBT) % 1)
        assert new.program.counters["sent.launches"] == 0
        if not joined:
            old.now = new.now = table.doubt_ends() + 0.01
            await pair.following(old, new)

    run(work, folder)


class SentMessages(ChannelPeer):
    """A channel that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return True


def test_a_copy_skips_earlier_runs_of_a_key_whose_later_claim_was_already_sent(folder: Path) -> None:
    """It would end the later run's claim: between the join and the copy a run can begin."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        await pair.caller(old, [])
        await old.play(asked(1, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
        old.now += WINDOW_S + 0.2
        await old.play(later(asked(2, 2, 1), old) + LAUNCH % 2)
        keys = part(old).keys
        copy, peer = ClaimCopy(keys, part(old).lifecycle, lambda: False), SentMessages()
        copy._send_replaced(peer)
        assert len(peer.sent) == 2
        keys.own_claims = {peer.sent[0].key: old.now}  # type: ignore[union-attr]
        copy._send_replaced(peer)
        assert len(peer.sent) == 2

    run(work, folder)


@pytest.mark.parametrize("reads", ["old", "new"])
@pytest.mark.parametrize(
    ("ended", "answer"), [(PASS % (1, 1), OK), (FAIL % 1, FAILED)], ids=["served", "failed"]
)
def test_an_attempt_born_after_the_window_of_a_successors_run_runs_again(
    folder: Path, ended: str, answer: str, reads: str
) -> None:
    """A grant reaches past the run's window; a try born there got the earlier result, or 'failed'."""

    async def work(pair: Pair) -> None:
        old, new = await pair.both()
        await pair.caller(new, [old])
        await new.play(asked(1, 1, 1) + LAUNCH % 1 + ended + answer % 1)
        for stand in (old, new):
            stand.now += WINDOW_S - 0.1
        in_window, stand = later(asked(2, 2, 1), old), {"old": old, "new": new}[reads]
        if stand is old:
            await pair.caller(old, [new])
        await stand.play(in_window + answer % 2)
        for each in (old, new):
            each.now += 0.2
        await stand.play(later(asked(3, 3, 1), stand) + LAUNCH % 3)
        assert (old.program.counters["sent.launches"], new.program.counters["sent.launches"]) == (
            (1, 1) if stand is old else (0, 2)
        )

    run(work, folder)
