"""Probing: a node with estimates from a stall accepts requests again once the stall has ended."""

import heapq
from dataclasses import dataclass, field

import pytest

from beechrock import Node, Settings
from beechrock.interface import (
    Arrived,
    Call,
    CallEnded,
    CallNeeded,
    ClassSettings,
    Downstream,
    Event,
    Fail,
    Outcome,
    Reject,
    Request,
    Run,
    RunFinished,
    SetTimer,
    TimerFired,
)

SHORT_S = 0.006  # Duration of a normal run or of its call
GAP_S = 0.1  # Time between two requests
ON_CORES_S = 0.003  # Time of a run on the cores before its call, and after it


@dataclass
class World:
    """Simulates the runs or calls of one node; ``times_s`` has their durations by request."""

    calls: bool
    times_s: dict[int, float] = field(default_factory=dict)
    started: dict[int, float] = field(default_factory=dict)
    rejected: dict[int, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.node = Node(
            Settings(
                cores=4,
                memory_kb=64_000.0,
                downstream=Downstream.SHARED if self.calls else Downstream.NONE,
                classes=(ClassSettings(latency_objective_s=0.9, deadline_s=90.0),),
            ),
            seed=1,
            now_s=0.0,
        )
        self.events: list[tuple[float, int, Event]] = []

    def at(self, when_s: float, event: Event) -> None:
        heapq.heappush(self.events, (when_s, len(self.events) + 1_000_000 * len(self.started), event))

    def ask(self, when_s: float, run_s: float) -> int:
        request_id = len(self.times_s) + 1
        self.times_s[request_id] = run_s
        self.at(when_s, Arrived(Request(id=request_id, class_index=0, size_kb=4.0)))
        return request_id

    def run(self, until_s: float) -> None:
        while self.events and self.events[0][0] <= until_s:
            now_s, _, event = heapq.heappop(self.events)
            for action in self.node.decide(now_s, [event]):
                match action:
                    case SetTimer():
                        self.at(now_s + max(1e-6, action.delay_s), TimerFired(action.token))
                    case Run():
                        self.started[action.id] = now_s
                        if self.calls:
                            self.at(now_s + ON_CORES_S, CallNeeded(action.id))
                        else:
                            self._finish(now_s, action.id)
                    case Call():
                        time_s = self.times_s[action.id]
                        self.at(now_s + time_s, CallEnded(action.id, Outcome.OK, time_s))
                        self._finish(now_s + ON_CORES_S, action.id)
                    case Reject() | Fail():
                        self.rejected[action.id] = now_s

    def _finish(self, now_s: float, request_id: int) -> None:
        time_s = self.times_s[request_id]
        self.at(now_s + time_s, RunFinished(request_id, Outcome.OK, time_s))


@pytest.mark.parametrize("calls", [False, True], ids=["runs", "calls"])
@pytest.mark.parametrize("before", [0, 3, 100])
def test_a_node_that_idles_after_a_stall_takes_requests_again(before: int, calls: bool) -> None:
    """Regression: the node rejected every request for ever, as it learns only from runs and began none."""
    world = World(calls)
    for n in range(before):
        world.ask(n * GAP_S, SHORT_S)
    stalled_at = before * GAP_S
    for _ in range(8):
        world.ask(stalled_at, 30.0)
    over_at = stalled_at + 31.0
    later = [world.ask(over_at + n * GAP_S, SHORT_S) for n in range(300)]
    world.run(over_at + 31.0)
    assert len(later) == len(world.started.keys() & set(later))


def test_a_run_that_hangs_on_one_core_of_four_does_not_keep_the_others_from_requests() -> None:
    """Regression: while one run hung, the node's other requests were rejected for a minute."""
    world = World(calls=False)
    world.ask(0.0, 200.0)
    slow = [world.ask(20.0 + n, 0.8) for n in range(2)]
    later = [world.ask(40.0 + n * GAP_S, SHORT_S) for n in range(600)]
    world.run(101.0)
    assert set(slow) <= world.started.keys()
    longest_s = max(
        after - before
        for before, after in zip(
            [40.0, *(world.started[n] for n in later if n in world.started)],
            [*(world.started[n] for n in later if n in world.started), 100.0],
            strict=True,
        )
    )
    assert longest_s < 1.5, "no request was taken for longer than an objective"


def test_an_overloaded_node_starts_no_run_that_is_too_late_to_be_useful() -> None:
    world = World(calls=False)
    for n in range(400):
        world.ask(n * 0.01, 0.5)  # 100 requests a second on a node that serves 8
    world.run(10.0)
    assert all(world.started[n] <= (n - 1) * 0.01 + 0.9 for n in world.started)
    assert len(world.rejected) > 200
