"""Stages of a handover, without I/O: random histories, with the invariants checked after each step."""

import random

import pytest

from beechrock.handover.lifecycle import (
    COPY_TIMEOUT_S,
    HELLO_TIMEOUT_S,
    SETTLED_STAGES,
    Lifecycle,
    PredecessorStage,
    SuccessorStage,
)

EVENTS = (
    "connected",
    "absent",
    "hello",
    "incompatible",
    "deferred",
    "synced",
    "channel ended",
    "able",
    "time",
    "time",
    "successor joined",
    "successor ready",
    "successor lost",
    "leave",
    "other leaves",
    "other silent or not",
    "end",
)


class History:
    """A process under random events, with the parts of its past that the invariants need."""

    def __init__(self, seed: int) -> None:
        self.draw, self.lifecycle, self.now = random.Random(seed), Lifecycle(), 0.0
        self.connected_at_s: float | None = None  # Time at which the first channel opened
        self.settled = False

    def step(self) -> None:
        self.now += self.draw.random() * 0.4
        served = self.lifecycle.serving
        event = self.draw.choice(EVENTS)
        self.predecessor_event(event)
        self.other_event(event)
        self.lifecycle.on_time(self.now)
        self.settled = self.settled or self.lifecycle.predecessor in SETTLED_STAGES
        self.check(served)

    def predecessor_event(self, event: str) -> None:
        lifecycle = self.lifecycle
        match event:
            case "connected" if lifecycle.predecessor is PredecessorStage.SEARCHING:
                self.connected_at_s = self.now if self.connected_at_s is None else self.connected_at_s
                lifecycle.on_connected(self.now)
            case "absent" if lifecycle.predecessor is PredecessorStage.SEARCHING:
                lifecycle.on_absent()
            case "hello" | "incompatible":
                lifecycle.on_hello(self.now, event == "hello")
            case "deferred":
                lifecycle.on_deferred()
            case "synced":
                lifecycle.on_synced()
            case "channel ended" if lifecycle.predecessor is not PredecessorStage.ABSENT:
                lifecycle.on_channel_ended()

    def other_event(self, event: str) -> None:
        lifecycle = self.lifecycle
        match event:
            case "able":
                lifecycle.on_able()
            case "successor joined" if lifecycle.authority:
                lifecycle.on_successor_joined()
            case "successor ready" if lifecycle.successor is SuccessorStage.JOINING:
                lifecycle.on_successor_ready()
            case "successor lost":
                lifecycle.on_successor_lost()
            case "other leaves":
                lifecycle.other_leaving = True
            case "other silent or not":
                lifecycle.other_silent = not lifecycle.other_silent
            case "leave" if self.draw.random() < 0.1:
                lifecycle.on_leave()
            case "end" if self.draw.random() < 0.02:
                lifecycle.on_end()

    def check(self, served: bool) -> None:
        """Check the invariants of ``lifecycle``, by their numbers in its docstring."""
        lifecycle = self.lifecycle
        absent = lifecycle.predecessor is PredecessorStage.ABSENT
        if lifecycle.accepting:  # 1
            assert self.settled and (lifecycle.able_to_run or served or absent)
        assert lifecycle.serving >= served  # 2
        other_stays = not lifecycle.other_leaving and (
            lifecycle.successor is SuccessorStage.READY or lifecycle.predecessor is PredecessorStage.SYNCED
        )
        leaves_to_other = lifecycle.leaving and other_stays and not lifecycle.other_silent
        assert lifecycle.accepting is (lifecycle.serving and not lifecycle.ended and not leaves_to_other)
        assert lifecycle.authority is absent  # 3
        deferred = lifecycle.predecessor is PredecessorStage.DEFERRED
        if self.connected_at_s is not None and not deferred and lifecycle.able_to_run:  # 4
            assert lifecycle.serving or self.now <= self.connected_at_s + HELLO_TIMEOUT_S + COPY_TIMEOUT_S


def test_silence_is_cleared_when_the_other_process_is_lost() -> None:
    """Otherwise connections would not be left to the next process."""
    lifecycle = Lifecycle()
    for event in (lifecycle.on_successor_lost, lifecycle.on_channel_ended):
        lifecycle.other_silent = True
        event()
        assert not lifecycle.other_silent


@pytest.mark.parametrize("seed", range(150))
def test_the_stages_keep_their_invariants_over_any_history(seed: int) -> None:
    history = History(seed)
    for _ in range(80):
        history.step()
