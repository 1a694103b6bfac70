"""Helpers to test a node: settings, a driver with a clock, and filters for actions."""

from collections.abc import Iterable
from dataclasses import replace
from itertools import count
from typing import Any, TypeVar

from beechrock import Node
from beechrock import interface as api

A = TypeVar("A")

SAFE = api.ClassSettings(latency_objective_s=3.0, deadline_s=9.0, priority_weight=1.0)
KEYED = api.ClassSettings(
    latency_objective_s=3.0,
    deadline_s=9.0,
    priority_weight=4.0,
    idempotency=api.Idempotency.KEYED,
    idempotency_window_s=30.0,
)
UNSAFE = api.ClassSettings(
    latency_objective_s=3.0, deadline_s=9.0, priority_weight=2.0, idempotency=api.Idempotency.NOT_IDEMPOTENT
)

PLAIN = api.Settings(
    cores=2,
    memory_kb=100_000.0,
    classes=(SAFE, KEYED, UNSAFE),
    running_memory_factor=4.0,
    idempotency_entry_kb=10.0,
    overload_multiple=5.0,
    overload_window_s=2.0,
    answer_slack_s=0.08,
    drain_grace_s=2.5,
    propagates_deadline=True,
    max_retry_after_s=3.0,
    tick_s=0.005,
    slow_start_speed_share=0.25,
    slow_start_s=16.0,
)


def settings(**changes: Any) -> api.Settings:
    return replace(PLAIN, **changes)


class Driver:
    """Drives one node with its own clock and records all its actions."""

    def __init__(self, node_settings: api.Settings = PLAIN, seed: int = 1) -> None:
        self.now = 100.0
        self.node = Node(node_settings, seed, self.now)
        self.ids = count(1)
        self.actions: list[api.Action] = []
        self.decide()

    def decide(self, *events: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        actions = self.node.decide(self.now, list(events))
        self.actions += actions
        return actions

    def request(self, class_index: int = 0, **changes: Any) -> api.Request:
        fields = {
            "id": next(self.ids),
            "class_index": class_index,
            "size_kb": 10.0,
            "remaining_s": 9.0,
            **changes,
        }
        return api.Request(**fields)

    def arrive(self, class_index: int = 0, **changes: Any) -> tuple[int, list[api.Action]]:
        request = self.request(class_index, **changes)
        return request.id, self.decide(api.Arrived(request))

    def complete(self, idents: Iterable[int], after: float = 0.0) -> list[api.Action]:
        return self.decide(*(api.RunFinished(i, api.Outcome.OK, after) for i in idents), after=after)

    def warm_up(self, per_second: float = 4.0, seconds: float = 6.0) -> None:
        """Keep the cores full and complete ``per_second`` requests a second; the runs stay in ``running``."""
        running = [self.arrive()[0] for _ in range(int(self.node.concurrency.limit))]
        gap = 1.0 / per_second
        for _ in range(int(seconds * per_second)):
            self.complete([running.pop(0)], after=gap)
            running.append(self.arrive()[0])
        self.running = running


def actions_of(kind: type[A], actions: Iterable[object]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]


def ids_of(kind: type[Any], actions: Iterable[object]) -> list[int]:
    return [a.id for a in actions_of(kind, actions)]
