"""Two processes' parts of a node's memory over a channel that delays and breaks; no two parts overlap."""

import random
from collections import deque
from typing import Any

import pytest

from beechrock.core.memory_share import MAX_WAIT_S, RETRY_AFTER_S, MemoryShare, Usage, WaitingRequest
from beechrock.core.requests import Answer, Request, RequestReceived
from beechrock.policy.memory import ADMIT_MEMORY_SHARE

NODE_KB = 42_000.0
ROUNDING_KB = 1e-6


def entry(kb: float, due_s: float = MAX_WAIT_S) -> WaitingRequest:
    def answer(reported: Answer) -> None:
        raise AssertionError(reported)

    made = Request(trace="t", klass=0, route="resolve", born=0.0, body=b"", answer=answer, kb=kb)
    return WaitingRequest(RequestReceived(made), due_s)


class Process:
    """One process: its part, the memory in use, and what the other one last reported."""

    def __init__(self) -> None:
        self.share = MemoryShare()
        self.used_kb = self.blocked_kb = self.other_kb = 0.0

    @property
    def usage(self) -> Usage:
        return Usage(self.used_kb, self.blocked_kb, self.other_kb)

    def admit(self, kb: float, now_s: float) -> None:
        """Do what the module does with a request: use its memory only within the limit."""
        self.share.begin_batch()
        waits = self.share.must_wait(entry(kb, now_s + MAX_WAIT_S), self.usage, now_s)
        if not waits and self.used_kb + kb <= ADMIT_MEMORY_SHARE * (self.share.limit_kb or 0.0):
            self.used_kb += kb


class History:
    """Random load at both processes; messages arrive late, in their order, or are lost with their channel."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now_s = 0.0
        self.old, self.new = Process(), Process()
        self.queues: dict[Process, deque[tuple[str, float]]] = {self.old: deque(), self.new: deque()}
        self.stated = False
        self.state()

    def other(self, process: Process) -> Process:
        return self.new if process is self.old else self.old

    def connect(self) -> None:
        """Open a channel. What the old one still carries is read by the successor, and lost to the other."""
        while self.queues[self.new]:
            self.read(self.new)
        self.queues[self.old].clear()
        self.queues[self.new].clear()
        self.stated = False

    def state(self) -> None:
        """Let the successor state its limit, before which it requests nothing on a channel."""
        self.stated = True
        stated_kb = self.new.share.join(self.new.used_kb, NODE_KB)
        self.queues[self.old].append(("limit", stated_kb))

    def read(self, process: Process) -> None:
        kind, kb = self.queues[process].popleft()
        answers = self.queues[self.other(process)]
        match kind:
            case "limit":
                process.share.split(kb, NODE_KB)
            case "request":
                answers.append(("grant", process.share.give(kb, process.usage)))
            case "grant":
                process.share.receive(kb, self.now_s)
            case "report":
                process.other_kb = kb

    def step(self) -> None:
        process = self.draw.choice([self.old, self.new])
        queue = self.queues[self.other(process)]
        match self.draw.randrange(8):
            case 0 | 1:
                process.admit(self.draw.choice([33.0, 63.0, 1900.0]), self.now_s)
            case 2:
                process.used_kb *= self.draw.random()
            case 3:
                process.blocked_kb = self.draw.choice([0.0, 945.0, 20_000.0])
            case 4:
                queue.append(("report", process.used_kb))
            case 5 if self.draw.random() < 0.05:
                self.connect()
        if not self.stated and self.draw.random() < 0.2:
            self.state()
        wanted_kb = process.share.request(process.usage, self.now_s)
        if wanted_kb and (self.stated or process is self.old):
            queue.append(("request", wanted_kb))
        if self.queues[process] and self.draw.random() < 0.6:
            self.read(process)
        self.now_s += self.draw.choice([0.0, 0.004, 0.02])

    def total_kb(self) -> float:
        parts = [process.share.limit_kb for process in (self.old, self.new)]
        return sum(kb for kb in parts if kb is not None)


# Guards against two processes of a node that both admit what the node has room for once.
@pytest.mark.parametrize("seed", range(200))
def test_both_parts_never_exceed_the_nodes_memory(seed: int) -> None:
    history = History(seed)
    while history.old.share.limit_kb is None:
        history.read(history.old)
    for _ in range(600):
        history.step()
        assert history.total_kb() <= NODE_KB + ROUNDING_KB
        for process in (history.old, history.new):
            assert process.used_kb <= ADMIT_MEMORY_SHARE * NODE_KB + ROUNDING_KB


def pair(old_kb: float, new_kb: float) -> tuple[MemoryShare, MemoryShare]:
    old, new = MemoryShare(), MemoryShare()
    new.join(new_kb * ADMIT_MEMORY_SHARE, NODE_KB)
    old.split(new_kb, NODE_KB)
    assert (old.limit_kb, new.limit_kb) == (old_kb, new_kb)
    return old, new


def test_a_successor_gets_half_of_an_idle_predecessors_memory_with_its_first_request() -> None:
    old, new = pair(NODE_KB, 0.0)
    idle = Usage(0.0, 0.0, 0.0)
    new.receive(old.give(new.request(idle, 0.0), idle), 0.0)
    assert (old.limit_kb, new.limit_kb) == (NODE_KB / 2, NODE_KB / 2)
    assert new.request(idle, 0.0) == 0.0  # it has its reserve


def test_a_process_that_is_full_gets_all_that_the_other_has_free() -> None:
    old, new = pair(NODE_KB / 2, NODE_KB / 2)
    rounds = 0
    while (new.limit_kb or 0.0) < NODE_KB - ROUNDING_KB:
        used_kb = ADMIT_MEMORY_SHARE * (new.limit_kb or 0.0)
        wanted_kb = new.request(Usage(used_kb, 0.0, 0.0), 0.0)
        assert wanted_kb > 0
        new.receive(old.give(wanted_kb, Usage(0.0, 0.0, used_kb)), 0.0)
        rounds += 1
    assert rounds <= 6


def test_a_request_waits_only_while_the_node_has_room_and_for_a_bounded_time() -> None:
    _, new = pair(NODE_KB, 0.0)
    room, none = Usage(0.0, 0.0, 0.0), Usage(0.0, 0.0, ADMIT_MEMORY_SHARE * NODE_KB)
    assert new.must_wait(entry(63.0), room, 0.0)
    [waiting] = new.begin_batch()
    assert not new.must_wait(waiting, none, 0.0)  # the other process has reported that it uses all
    assert not new.must_wait(waiting, room, MAX_WAIT_S)


def test_after_a_small_transfer_requests_do_not_wait_for_a_while() -> None:
    old, new = pair(NODE_KB, 0.0)
    full, room = Usage(ADMIT_MEMORY_SHARE * NODE_KB, 0.0, 0.0), Usage(0.0, 0.0, 0.0)
    new.receive(old.give(new.request(room, 0.0), full), 0.0)
    assert new.limit_kb == 0.0
    assert not new.must_wait(entry(63.0), room, RETRY_AFTER_S / 2)
    assert new.request(room, RETRY_AFTER_S / 2) == 0.0
    assert new.request(room, RETRY_AFTER_S) > 0


def test_a_run_that_needs_more_than_the_part_gets_it_from_the_other_process() -> None:
    old, new = pair(NODE_KB / 2, NODE_KB / 2)
    blocked = Usage(1_900.0, 28_500.0, 0.0)
    new.receive(old.give(new.request(blocked, 0.0), Usage(0.0, 0.0, 1_900.0)), 0.0)
    assert (new.limit_kb or 0.0) >= 1_900.0 + 28_500.0


def test_alone_nothing_waits_and_nothing_is_requested() -> None:
    share = MemoryShare()
    usage: Any = Usage(NODE_KB, NODE_KB, NODE_KB)
    assert not share.must_wait(entry(63.0), usage, 0.0)
    assert (share.request(usage, 0.0), share.give(1.0, usage)) == (0.0, 0.0)
    share.receive(5.0, 0.0)
    assert share.limit_kb is None
