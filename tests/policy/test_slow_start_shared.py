"""Slow-start budget of a node with several processes on the same cold cores, and runs of unequal work."""

import math
import random
from dataclasses import replace

import pytest
from test_slow_start import FLOOD_PER_S, STEP_S, Cores, drawn
from world import SAFE, Driver, ids_of, settings

from beechrock import interface as api
from beechrock.policy.slow_start import max_requests, speed_share

START = 100.0


class Processes:
    """Simulates successive processes of one node; two overlap at a time, and each lives for ``stay_s``."""

    def __init__(
        self, node_settings: api.Settings, cores: Cores, count: int, stay_s: float, seed: int
    ) -> None:
        self.node_settings, self.cores, self.random = node_settings, cores, random.Random(seed)
        self.drivers = [Driver(node_settings, seed + place) for place in range(count)]
        self.spans = [(place * stay_s / 2, (place + 2) * stay_s / 2) for place in range(count)]
        self.spans[-1] = (self.spans[-1][0], math.inf)
        self.launched: list[float] = []
        self.most_on_cores = 0

    def play(self, seconds: float) -> "Processes":
        """Flood all live processes for ``seconds``."""
        alive: list[int] = []
        for step in range(round(seconds / STEP_S)):
            at = step * STEP_S
            before, alive = alive, [n for n, (start, end) in enumerate(self.spans) if start <= at < end]
            ended = self.cores.step(at)
            loads = {n: self._load(self.drivers[n], START + at) for n in alive}
            for place in alive:
                others = [loads[n] for n in alive if n != place]
                left = [api.OtherProcessLoad(present=False)] if set(before) - set(alive) else []
                events = [*left, *others]
                self._step(place, START + at, [*events, *ended])
        return self

    def _load(self, driver: Driver, now: float) -> api.OtherProcessLoad:
        runs, kb, calls = driver.node.load()
        return api.OtherProcessLoad(max(runs, driver.node.recent_launches(now)), kb, calls)

    def _step(self, place: int, now: float, events: list[api.Event]) -> None:
        driver = self.drivers[place]
        own_events = [e for e in events if not isinstance(e, api.RunFinished) or e.id // 1_000_000 == place]
        events_to_apply = [
            replace(e, id=e.id % 1_000_000) if isinstance(e, api.RunFinished) else e for e in own_events
        ]
        requests = [driver.request(remaining_s=None) for _ in range(round(FLOOD_PER_S * STEP_S))]
        actions = driver.decide(*events_to_apply, *map(api.Arrived, requests), after=now - driver.now)
        for ident in ids_of(api.Run, actions):
            self.cores.left[place * 1_000_000 + ident] = 1.0
            self.launched.append(now)
        self.most_on_cores = max(self.most_on_cores, len(self.cores.left))

    def violations(self) -> list[tuple[float, int, float]]:
        """Return the windows with more launches than the rule allows, as (start, launches, N)."""
        window_s, violations = self.node_settings.overload_window_s or 0.0, []
        for last, end in enumerate(self.launched):
            share = speed_share(self.node_settings, end - window_s - START)
            multiple = self.node_settings.overload_multiple or 0.0
            crowd = self.node_settings.cores * (1 + (multiple - 1) * share)
            expected = max(crowd, multiple * share * window_s * self.cores.capacity_per_s)
            count = sum(end - window_s < time <= end for time in self.launched[: last + 1])
            if share < 1 and count > max_requests(expected):
                violations.append((end - window_s, count, expected))
        return violations


@pytest.mark.parametrize("processes", [1, 2, 3])
@pytest.mark.parametrize("seed", range(12))
def test_all_processes_of_a_cold_node_together_launch_no_more_than_its_settings_allow(
    processes: int, seed: int
) -> None:
    """Regression: two processes launched twice the budget, as ended runs of the other did not count."""
    node_settings, cores = drawn(seed)
    stay_s = random.Random(seed).choice([0.4, 1.0, 3.0])
    node = Processes(node_settings, cores, processes, stay_s, seed).play(8.0)
    assert node.launched and node.violations() == []


def test_launches_of_a_departed_process_count_until_they_leave_the_window() -> None:
    driver = Driver(
        settings(
            slow_start=True, cores=6, slow_start_speed_share=0.21, slow_start_s=18.0, overload_window_s=3.0
        )
    )
    alone = driver.node.launches.left()
    driver.decide(api.OtherProcessLoad(running=18))
    driver.decide(api.OtherProcessLoad(present=False), after=0.5)
    assert driver.node.launches.left() == (alone - 18) // 2
    driver.decide(after=3.1)
    assert driver.node.launches.left() == alone


def test_two_processes_never_overload_a_core_that_survives_fewer_than_two_runs() -> None:
    node_settings = settings(cores=1, overload_multiple=1.5)
    driver = Driver(node_settings)
    driver.decide(api.OtherProcessLoad(running=1))
    ident, actions = driver.arrive()
    assert ids_of(api.Run, actions) == []
    assert ids_of(api.Run, driver.decide(api.OtherProcessLoad(running=0))) == [ident]


@pytest.mark.parametrize("hinted", [True, False])
def test_a_run_of_eight_times_the_mean_work_counts_as_eight(hinted: bool) -> None:
    """Regression: the rule counts requests of mean work, but the budget counted runs."""
    node_settings = settings(
        slow_start=True,
        cores=6,
        slow_start_speed_share=0.21,
        slow_start_s=18.0,
        overload_window_s=3.0,
        classes=(SAFE, SAFE),
    )
    driver = Driver(node_settings)
    driver.node.statistics.mean_work, driver.node.statistics.work_by_class = (
        0.01,
        [1.0, 1.0] if hinted else [1.0, 8.0],
    )
    driver.node.statistics.read_by_class = [1e6, 0.0]  # The heavy class is rare
    most = driver.node.launches.left()
    launched = 0
    for _ in range(30):
        ident, actions = driver.arrive(
            class_index=1, work_hint_s=8 * driver.node.statistics.mean_work if hinted else None
        )
        launched += len(ids_of(api.Run, actions))
        driver.decide(api.RunFinished(ident, api.Outcome.ERROR, 0.001))
        driver.node.statistics.work_by_class = [1.0, 1.0] if hinted else [1.0, 8.0]
    assert launched == most // 8


def test_runs_count_as_mean_work_if_all_classes_become_slower() -> None:
    driver = Driver(
        settings(
            slow_start=True, cores=6, slow_start_speed_share=0.21, slow_start_s=18.0, overload_window_s=3.0
        )
    )
    driver.node.statistics.work_by_class = [3.0, 3.0, 3.0]
    most = driver.node.launches.left()
    launched = 0
    for _ in range(40):
        ident, actions = driver.arrive()
        launched += len(ids_of(api.Run, actions))
        driver.decide(api.RunFinished(ident, api.Outcome.ERROR, 0.001))
        driver.node.statistics.work_by_class = [3.0, 3.0, 3.0]
    assert launched == most


def test_a_run_larger_than_the_whole_budget_starts_alone() -> None:
    node_settings = settings(
        slow_start=True, cores=1, slow_start_speed_share=0.0, slow_start_s=18.0, overload_window_s=3.0
    )
    driver = Driver(node_settings)
    driver.node.statistics.mean_work = 0.01
    first, actions = driver.arrive(work_hint_s=10.0)
    assert ids_of(api.Run, actions) == [first]
    driver.decide(api.RunFinished(first, api.Outcome.ERROR, 0.001))
    _, actions = driver.arrive(work_hint_s=0.01)
    assert ids_of(api.Run, actions) == []
