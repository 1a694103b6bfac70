"""The memory of a node that two processes share: what both admit fits, and all that fits is admitted."""

import itertools
from pathlib import Path

import pytest
from pair import Pair, ScriptedPredecessor, run
from play import Stand, until

from beechrock.core.memory_share import MAX_WAIT_S
from beechrock.core.requests import Answer, Request, RequestReceived, Verdict
from beechrock.handover import messages
from beechrock.handover.memory_exchange import REJOIN_S
from beechrock.policy.memory import ADMIT_MEMORY_SHARE

NODE_KB = 60_000.0  # of ``play.SETTINGS``
KB = 100.0
ADMITTED_KB = ADMIT_MEMORY_SHARE * NODE_KB
FITTING = 400  # requests of ``KB``; with the four or so that run, 16 times as large, they fill 46,000 KB
TRACES = itertools.count(1)


class Rush:
    """Requests that reach one process in one turn of its event loop."""

    def __init__(self, stand: Stand, count: int) -> None:
        self.module = stand.program.module
        self.answers: list[Verdict] = []
        self.count = count
        for _ in range(count):
            self.module.post(RequestReceived(self._request()))

    def _request(self) -> Request:
        def answer(reported: Answer) -> None:
            self.answers.append(reported.verdict)

        return Request(
            trace=f"{next(TRACES):016d}",
            klass=0,
            route="resolve",
            born=self.module.clock(),
            body=b"x",
            answer=answer,
            kb=KB,
        )

    @property
    def admitted(self) -> int:
        return len(self.module.table.by_id)

    async def decided(self) -> None:
        """Wait until each request is admitted or answered."""
        await until(
            lambda: len(self.answers) + self.admitted == self.count and not self.module.mailbox,
            lambda: f"{len(self.answers)} answers, {self.admitted} admitted of {self.count}",
        )


def held_kb(*stands: Stand) -> float:
    return sum(stand.program.module.node.load().held_kb for stand in stands)


def limit_kb(stand: Stand) -> float | None:
    return stand.program.module.node.other_process.memory_limit_kb


async def both_have_a_part(old: Stand, new: Stand) -> None:
    await until(
        lambda: limit_kb(new) == limit_kb(old) == NODE_KB / 2,
        lambda: f"{limit_kb(old)}, {limit_kb(new)}",
    )


# Guards against a rush at both processes of a node that is admitted twice, as neither knows the other's.
def test_a_rush_at_both_processes_is_admitted_into_the_nodes_memory_once(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        for stand in (old, new):
            stand.program.module.ports.work = None  # no run ends meanwhile
        # Both read all of it before either reads a message of the other.
        rushes = [Rush(stand, 600) for stand in (old, new)]
        for rush in rushes:
            rush.module.tick(rush.module.clock())
        assert held_kb(old, new) <= NODE_KB
        for rush in rushes:
            await rush.decided()
        assert held_kb(old, new) <= NODE_KB
        assert held_kb(old, new) >= 0.9 * ADMITTED_KB

    run(work, folder)


@pytest.mark.parametrize("place", [0, 1], ids=["old", "new"])
def test_a_rush_at_one_process_beside_an_idle_one_gets_the_nodes_whole_memory(
    folder: Path, place: int
) -> None:
    async def work(pair: Pair) -> None:
        stands = await pair.start_both()
        await both_have_a_part(*stands)
        stand = stands[place]
        stand.program.module.ports.work = None  # no run ends meanwhile
        rush = Rush(stand, FITTING)
        await rush.decided()
        assert rush.answers == []
        assert held_kb(stand) > 0.6 * NODE_KB

    run(work, folder)


def test_a_request_over_the_part_is_answered_in_time_if_the_other_process_does_not_reply(
    folder: Path,
) -> None:
    async def work(pair: Pair) -> None:
        predecessor = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await predecessor.accept()
        end.send_messages(messages.Hello(features=messages.FEATURES), messages.ClaimsSynced())
        stated = await end.receive(messages.MemoryLimit)
        assert stated.kb == 0.0
        await end.receive(messages.MemoryRequest)
        rush = Rush(new, 3)
        module = new.program.module
        await until(lambda: module.memory_transfers.waiting == 3, lambda: "not kept")
        new.now += MAX_WAIT_S + 0.01
        module.wake()
        await rush.decided()
        assert rush.answers == [Verdict.REFUSED] * 3

    run(work, folder)


def test_with_a_predecessor_that_knows_no_parts_nothing_is_said_of_them(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        predecessor = ScriptedPredecessor(pair)
        new = await pair.start()
        end = await predecessor.accept()
        end.send_messages(messages.Hello(), messages.ClaimsSynced())
        await end.receive(messages.SuccessorReady)
        module = new.program.module
        end.send_messages(messages.LoadReport(0, NODE_KB, 0, 0))
        await until(lambda: module.node.other_process.load.held_kb == NODE_KB, lambda: "not reported")
        rush = Rush(new, 1)
        await rush.decided()
        assert (rush.answers, limit_kb(new)) == ([Verdict.REFUSED], None)

    run(work, folder)


def test_the_process_that_is_left_has_the_whole_memory_again(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await both_have_a_part(old, new)
        await pair.end(new)
        await until(lambda: old.program.handover.links.successor is None, lambda: "not lost")
        old.now += REJOIN_S + 0.01
        old.program.module.wake()
        await until(lambda: limit_kb(old) is None, lambda: f"{limit_kb(old)}")
        third = await pair.start()
        await pair.following(old, third)
        await both_have_a_part(old, third)
        await pair.end(old)
        await until(lambda: limit_kb(third) is None, lambda: f"{limit_kb(third)}")

    run(work, folder)


def test_parts_are_agreed_on_again_after_the_channel_has_ended(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        old, new = await pair.start_both()
        await both_have_a_part(old, new)
        first = new.program.handover.links.predecessor
        first.drop()
        await until(
            lambda: (
                new.program.handover.links.predecessor not in (None, first)
                and old.program.handover.links.successor is not None
            ),
            lambda: "no second channel",
        )
        new.program.module.ports.work = None
        rush = Rush(new, FITTING)
        await rush.decided()
        parts = [limit_kb(old), limit_kb(new)]
        assert None not in parts
        assert sum(parts) <= NODE_KB, parts
        assert rush.answers == []

    run(work, folder)


# Guards against a grant that crosses the statement of the limit, and then counts in both processes.
def test_on_a_new_channel_the_limit_is_stated_before_anything_is_requested(folder: Path) -> None:
    async def work(pair: Pair) -> None:
        predecessor = ScriptedPredecessor(pair)
        new = await pair.start()
        hello = messages.Hello(features=messages.FEATURES)
        first = await predecessor.accept()
        first.send_messages(hello, messages.ClaimsSynced())
        await first.receive(messages.MemoryRequest)
        first.send_messages(messages.MemoryGrant(NODE_KB / 2))
        await until(lambda: limit_kb(new) == NODE_KB / 2, lambda: f"{limit_kb(new)}")
        first.kill()
        second = await predecessor.accept()
        second.send_messages(hello)
        module = new.program.module
        await until(
            lambda: (
                new.program.handover.links.predecessor is not None
                and new.program.handover.links.predecessor.shares_memory
            ),
            lambda: "no second channel",
        )
        module.ports.work = None  # no run ends meanwhile
        Rush(new, FITTING)
        await until(lambda: module.memory_transfers.waiting > 0, lambda: "nothing waits for memory")
        second.send_messages(messages.ClaimsSynced())
        kinds = (messages.MemoryLimit, messages.MemoryRequest)
        said = [await second.receive(kinds) for _ in kinds]  # type: ignore[arg-type]
        assert [type(message) for message in said] == list(kinds)
        assert said[0] == messages.MemoryLimit(NODE_KB / 2)

    run(work, folder)
