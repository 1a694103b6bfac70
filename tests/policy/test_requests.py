"""Requests: their objectives, and the stop of runs that are too late to be useful."""

import pytest
from policy_helpers import SHARED_DEPENDENCY, arrive_and_call
from world import KEYED, SAFE, Driver, ids_of, settings

from beechrock import interface as api
from beechrock.policy.context import Context
from beechrock.policy.idempotency import IdempotencyKeys
from beechrock.policy.memory import MemoryAccount
from beechrock.policy.other_process import OtherProcess
from beechrock.policy.phases import AWAITING_CALL, CALLING, FINISHED, HELD, RUNNING
from beechrock.policy.requests import OpenRequest, RequestTable


@pytest.mark.parametrize("mode", list(api.StopMode))
def test_an_idempotent_run_that_is_too_late_is_stopped_if_that_frees_a_core(mode: api.StopMode) -> None:
    driver = Driver(settings(stop_mode=mode))
    running = [driver.arrive()[0] for _ in range(driver.node.concurrency.run_limit())]
    driver.decide(after=2.9)
    driver.arrive(0)
    actions = driver.decide(after=0.2)
    stopped = ids_of(api.Stop, actions)
    assert stopped == ([] if mode is api.StopMode.NONE else running)
    assert all(i in ids_of(api.Reject, actions) for i in stopped)


def test_an_objective_per_work_grows_with_the_requests_work_up_to_the_deadline() -> None:
    stretched = api.ClassSettings(latency_objective_s=1.0, deadline_s=4.0, latency_objective_per_work=2.0)
    request = Driver().request(0, remaining_s=None)
    assert OpenRequest(request, stretched, 100.0, 0.5, 0.0).objective_end_s == pytest.approx(102.0)
    assert OpenRequest(request, stretched, 100.0, 9.0, 0.0).objective_end_s == pytest.approx(104.0)


def test_requests_with_late_value_are_not_rejected_at_the_objective() -> None:
    late = api.ClassSettings(latency_objective_s=1.0, deadline_s=6.0, late_value_share=0.2)
    driver = Driver(settings(classes=(late, KEYED)))
    running = [driver.arrive()[0] for _ in range(driver.node.concurrency.run_limit())]
    ident, _ = driver.arrive()
    driver.complete(running, after=1.5)
    assert ident in ids_of(api.Run, driver.actions)


def test_a_run_that_continues_after_a_call_is_stopped_only_once() -> None:
    """Regression: the run was in the queue twice, and a second stop was sent for a finished run."""
    node_settings = {
        **SHARED_DEPENDENCY,
        "stop_mode": api.StopMode.DISCARD,
        "cores": 1,
        "overload_multiple": 1.0,
        "overload_window_s": None,
    }
    driver = Driver(settings(**node_settings))
    ident, _ = arrive_and_call(driver)
    driver.decide(api.CallEnded(ident, api.Outcome.OK, 0.1), after=0.1)
    driver.decide(after=2.5)
    driver.arrive()
    driver.decide(after=1.0)
    assert ids_of(api.Stop, driver.actions) == [ident]


def test_the_table_alone_follows_a_request_through_its_phases_and_ends_at_zero() -> None:
    context = Context(settings(), 100.0)
    keys = IdempotencyKeys(context)
    memory = MemoryAccount(context, keys, OtherProcess(context))
    table = RequestTable(context, memory)
    entry = OpenRequest(api.Request(id=1, class_index=0, size_kb=10.0), SAFE, 100.0, 2.0, 1.0)
    table.add(entry, 109.0)
    table.hold(entry)
    assert (table.count[HELD], table.work_ahead, table.calls_ahead, memory.held_kb) == (1, 2.0, 1.0, 10.0)
    assert table.first(table.held[1], HELD) is entry
    table.move(entry, RUNNING)
    assert (table.count[RUNNING], table.work_ahead, memory.held_kb) == (1, 1.0, 40.0)
    assert table.first(table.held[1], HELD) is None and not table.held[1]
    context.now_s = 100.5
    table.move(entry, AWAITING_CALL)
    context.now_s = 101.0
    table.move(entry, CALLING)
    table.move(entry, RUNNING, 0.0)
    assert entry.cores_s == pytest.approx(0.5) and table.running_since == {1: 100.5}
    table.move(entry, FINISHED)
    assert not table.requests and not any(table.count[HELD:])
    assert (table.work_ahead, table.calls_ahead, memory.held_kb) == (0.0, 0.0, 0.0)
