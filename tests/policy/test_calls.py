"""Downstream calls: how many are in flight, which are skipped, and pauses after failures."""

from dataclasses import replace

import pytest
from policy_helpers import CALLING, KEYED_CALLING, SHARED_DEPENDENCY, SKIPPING, arrive_and_call
from world import SAFE, Driver, actions_of, ids_of, settings

from beechrock import interface as api
from beechrock.policy.phases import AWAITING_CALL, RUNNING

FAILURES = [o for o in api.Outcome if o not in (api.Outcome.OK, api.Outcome.STOPPED, api.Outcome.MOOT)]


# An answer of the second class has value without its call. Regression: with a slow ledger, each call was
# issued for the request with the least time left and timed out, nothing was learnt from timeouts, and all
# calls of the node were paused.
def complete_calls(driver: Driver, times: int, outcome: api.Outcome, elapsed: float) -> None:
    """Make calls one after the other that end with this outcome after ``elapsed`` seconds."""
    for _ in range(times):
        ident, actions = arrive_and_call(driver, 1)
        assert ids_of(api.Call, actions) == [ident]
        driver.decide(api.CallEnded(ident, outcome, elapsed), after=elapsed)
        driver.decide(
            api.CallerDisconnected(ident), api.RunFinished(ident, api.Outcome.STOPPED, elapsed), after=0.3
        )


def test_calls_in_flight_including_abandoned_ones_stay_within_the_limit() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    for _ in range(9):
        arrive_and_call(driver)
    assert len(actions_of(api.Call, driver.actions)) == 4
    first = actions_of(api.Call, driver.actions)[0].id
    actions = driver.decide(api.RunFinished(first, api.Outcome.STOPPED, 0.1))
    assert actions_of(api.Call, actions) == []
    assert len(actions_of(api.Call, driver.decide(after=0.25))) == 1


def test_a_call_with_a_lost_connection_counts_as_in_flight_while_it_lingers() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    calls = [arrive_and_call(driver)[0] for _ in range(2)]
    driver.decide(api.CallEnded(calls[0], api.Outcome.CONNECTION_LOST, 0.1))
    assert driver.node.load()[2] == 2
    # A call that was rejected or never sent is not in flight.
    driver.decide(api.CallEnded(calls[1], api.Outcome.UNREACHABLE, 0.1))
    assert driver.node.load()[2] == 1


def test_a_limit_below_one_call_is_kept_in_the_mean() -> None:
    driver = Driver(settings(**{**SHARED_DEPENDENCY, "shared_call_limit": 0.5}))
    first, actions = arrive_and_call(driver)
    second, _ = arrive_and_call(driver)
    assert ids_of(api.Call, actions) == [first]
    assert actions_of(api.Call, driver.decide(api.CallEnded(first, api.Outcome.OK, 0.1), after=0.1)) == []
    assert ids_of(api.Call, driver.decide(after=0.16)) == [second]


@pytest.mark.parametrize(("below", "most"), [(api.Downstream.TIER, 16), (api.Downstream.SHARED, 4)])
def test_calls_are_bounded_without_a_limit_in_the_settings(below: api.Downstream, most: int) -> None:
    """Regression: two calls per core over a tier left cores idle while requests waited to call."""
    driver = Driver(settings(**{**SHARED_DEPENDENCY, "downstream": below, "shared_call_limit": None}))
    driver.complete([driver.arrive()[0]], after=0.05)  # Runs are short, so all calls may end at once
    for _ in range(20):
        arrive_and_call(driver)
    assert len(actions_of(api.Call, driver.actions)) == most


def test_runs_that_return_from_calls_together_do_not_overload_the_cores() -> None:
    """Regression: each run in a call let another one start, and all calls ended at the same time."""
    node_settings = {
        **SHARED_DEPENDENCY,
        "downstream": api.Downstream.TIER,
        "shared_call_limit": None,
        "overload_multiple": 2.0,
    }
    driver = Driver(settings(**node_settings))
    first, _ = arrive_and_call(driver)
    # A rejected call starts a backoff, in which a queue builds up.
    driver.decide(api.CallEnded(first, api.Outcome.REJECTED, 0.01), after=0.01)
    for _ in range(20):
        arrive_and_call(driver)
    driver.decide(after=0.1)
    called = ids_of(api.Call, driver.actions)[1:]
    assert called
    driver.decide(*(api.CallEnded(ident, api.Outcome.OK, 0.1) for ident in called), after=0.1)
    assert driver.node.table.count[RUNNING] <= 2 * 2.0  # Cores times the runs that each survives
    driver.decide(after=20.0)
    assert driver.node.concurrency.mean_running < 4.0


def test_a_run_that_must_call_never_skips_its_call_whatever_was_learnt() -> None:
    """Regression: a class that may call, but seldom does, had a mean of 0 calls after 15,000 runs."""
    driver = Driver(settings(**SHARED_DEPENDENCY))
    driver.node.statistics.calls_by_class[0] = 0.0
    driver.node.calls.best_mean_s = driver.node.calls.mean_s = 60.0
    arrive_and_call(driver)
    late, _ = arrive_and_call(driver)  # With a call in flight this call would end too late
    assert ids_of(api.SkipCall, driver.actions) == [] and late in ids_of(api.Reject, driver.actions)


@pytest.mark.parametrize("over_s", [None, 5.0])
def test_a_call_limit_of_0_allows_no_call_even_without_a_linger_time(over_s: float | None) -> None:
    driver = Driver(
        settings(
            **{
                **SHARED_DEPENDENCY,
                "shared_call_limit": 0.0,
                "abandoned_call_linger_s": None,
                "shared_call_window_s": over_s,
            }
        )
    )
    arrive_and_call(driver)
    driver.decide(after=1.0)
    assert ids_of(api.Call, driver.actions) == []


def test_a_call_in_doubt_is_skipped_only_once() -> None:
    """Regression: a run whose wait was too long skipped its call at once and then a second time."""
    keyed = replace(KEYED_CALLING, skip_value_share=0.5)
    driver = Driver(
        settings(**{**SHARED_DEPENDENCY, "classes": (CALLING, SKIPPING, keyed), "shared_call_limit": 1.25})
    )
    ident, _ = arrive_and_call(driver, 2)
    waiting, _ = arrive_and_call(driver, 2)
    driver.node.calls.meter.add(1.0)
    driver.node.calls.meter.busy_s = 60.0  # One waiting run is enough to make the wait too long
    actions = driver.decide(api.CallEnded(ident, api.Outcome.CONNECTION_LOST, 0.01), after=0.01)
    assert ids_of(api.SkipCall, actions) == [ident]
    driver.decide(api.RunFinished(waiting, api.Outcome.OK, 0.1), after=0.5)
    driver.node.calls.meter.busy_s = 0.0
    # This is a new call, not the one in doubt.
    assert ids_of(api.Call, driver.decide(api.CallNeeded(ident))) == [ident]


def test_the_timeout_of_a_call_is_bounded_by_the_objective() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    _, actions = arrive_and_call(driver)
    assert actions_of(api.Call, actions)[0].max_wait_s == pytest.approx(3.0)


@pytest.mark.parametrize("outcome", FAILURES)
def test_a_call_that_may_have_had_its_effect_is_not_repeated(outcome: api.Outcome) -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    ident, _ = arrive_and_call(driver, 2)
    driver.decide(api.CallEnded(ident, outcome, 0.1))
    driver.decide(after=0.5)
    driver.decide(after=0.7)
    proven = outcome in (api.Outcome.REJECTED, api.Outcome.UNREACHABLE)
    assert ids_of(api.Call, driver.actions).count(ident) == (2 if proven else 1)
    assert ids_of(api.Fail, driver.actions) == ([] if proven else [ident])
    assert ids_of(api.Reject, driver.actions) == []


def test_a_late_call_is_skipped_only_if_an_answer_without_it_has_value() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    required, _ = driver.arrive(0)
    optional, _ = driver.arrive(1)
    driver.decide(after=3.1)
    actions = driver.decide(api.CallNeeded(required), api.CallNeeded(optional))
    assert ids_of(api.SkipCall, actions) == [optional]
    assert required in ids_of(api.Reject, actions)


def test_the_backoff_grows_with_each_failed_call() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    waits = []
    for _ in range(4):
        ident, actions = arrive_and_call(driver)
        assert ids_of(api.Call, actions) == [ident]
        driver.decide(api.CallEnded(ident, api.Outcome.UNREACHABLE, 0.0))
        waits.append(driver.node.calls.paused_until_s - driver.now)
        driver.decide(
            api.CallerDisconnected(ident), api.RunFinished(ident, api.Outcome.STOPPED, 0.1), after=1.0
        )
    assert waits == sorted(waits)
    assert waits[-1] > 2 * waits[0]


def test_no_run_is_started_that_would_only_wait_for_a_call() -> None:
    driver = Driver(settings(**{**SHARED_DEPENDENCY, "classes": (CALLING, SAFE), "cores": 8}))
    for _ in range(12):
        arrive_and_call(driver)
    waiting = driver.node.table.count[AWAITING_CALL]
    assert waiting > driver.node.calls.limit
    _, actions = driver.arrive(0)
    assert ids_of(api.Run, actions) == []


def test_slow_calls_lower_the_call_limit_and_fast_calls_raise_it() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))

    def calls(elapsed: float, times: int) -> float:
        for _ in range(times):
            ident, _ = arrive_and_call(driver)
            driver.decide(api.CallEnded(ident, api.Outcome.OK, elapsed), after=elapsed)
            driver.complete([ident])
        return driver.node.calls.limit

    quick = calls(0.02, 40)
    slow = calls(0.5, 40)
    assert slow < 0.7 * quick
    assert calls(0.02, 600) > 1.3 * slow


@pytest.mark.parametrize("share", [0.3, 0.43, 0.9])
def test_a_limit_below_one_call_holds_in_every_window_when_calls_become_slow(share: float) -> None:
    """Regression: slow calls counted only after their end, and 300 nodes with one call each overloaded the
    shared dependency. Here calls become slow: they are abandoned at their timeout, and linger."""
    driver = Driver(settings(**{**SHARED_DEPENDENCY, "shared_call_limit": share}))
    spans: list[tuple[float, float]] = []
    in_call: dict[int, float] = {}
    for step in range(3000):
        events: list[api.Event] = []
        for ident in [i for i, end in in_call.items() if end <= driver.now]:
            del in_call[ident]
            outcome = api.Outcome.OK if step < 1000 else api.Outcome.TIMED_OUT
            events += [api.CallEnded(ident, outcome, 0.02), api.RunFinished(ident, outcome, 0.1)]
        if step % 20 == 0:
            events += [api.CallNeeded(i) for i in ids_of(api.Run, driver.arrive()[1])]
        actions = driver.decide(*events, after=0.01)
        actions += driver.decide(*(api.CallNeeded(i) for i in ids_of(api.Run, actions)))
        for call in actions_of(api.Call, actions):
            in_call[call.id] = driver.now + (0.02 if step < 1000 else call.max_wait_s)
            spans.append((driver.now, in_call[call.id] + (0.0 if step < 1000 else 0.2)))
    end = driver.now - 5.0
    for start in [100.0 + 0.25 * i for i in range(int((end - 100.0) * 4))]:
        used = sum(max(0.0, min(b, start + 5.0) - max(a, start)) for a, b in spans)
        assert used <= share * 5.0
    assert len(spans) > 10


def test_an_optional_call_is_skipped_in_time_for_the_rest_of_the_run() -> None:
    """Regression (incident i75da18): runs waited for calls up to the objective, and their rest came late."""
    driver = Driver(settings(**{**SHARED_DEPENDENCY, "cores": 1}))
    running = [driver.arrive(1)[0]]
    for _ in range(4):  # One core that takes two seconds per request
        driver.complete([running.pop()], after=2.0)
        running.append(driver.arrive(1)[0])
    driver.decide(after=2.4)
    actions = driver.decide(api.CallNeeded(running[0]))
    assert ids_of(api.SkipCall, actions) == running


def test_a_large_request_is_not_rejected_while_cores_are_free() -> None:
    """Regression: a run's own time was estimated for a slot of the run limit instead of for a core."""
    driver = Driver()
    ident, _ = driver.arrive(work_hint_s=0.5)
    driver.node.concurrency.limit = 5.0
    driver.complete([ident], after=0.5)
    large, actions = driver.arrive(work_hint_s=2.4)
    assert ids_of(api.Run, actions) == [large]


def test_an_optional_call_is_skipped_at_once_if_the_wait_for_calls_is_long() -> None:
    driver = Driver(settings(**{**SHARED_DEPENDENCY, "cores": 40}))
    complete_calls(driver, 20, api.Outcome.OK, 0.2)
    waiting = [arrive_and_call(driver, 1) for _ in range(60)]
    calling = len(actions_of(api.Call, [a for _, actions in waiting for a in actions]))
    skipped = [ident for ident, actions in waiting if ids_of(api.SkipCall, actions) == [ident]]
    assert skipped
    assert calling + driver.node.table.count[AWAITING_CALL] + len(skipped) == 60
    # The waiting runs have a predicted wait of at most half of their time.
    assert driver.node.calls.meter.wait(driver.node.table.count[AWAITING_CALL] - 1) <= 0.5 * 3.0
    assert min(skipped) > waiting[calling][0]


def test_timed_out_calls_raise_the_mean_call_time_and_cause_no_backoff() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    complete_calls(driver, 4, api.Outcome.OK, 0.02)
    complete_calls(driver, 20, api.Outcome.TIMED_OUT, 1.0)
    assert driver.node.calls.mean_s > 0.3
    assert driver.node.calls.paused_until_s <= driver.now


def test_with_no_call_in_flight_one_is_issued_although_calls_were_too_slow() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    complete_calls(driver, 1, api.Outcome.OK, 2.9)
    first, _ = driver.arrive(1)
    second, _ = driver.arrive(1)
    driver.decide(after=1.0)
    assert driver.now + driver.node.calls.mean_s > 103.0
    actions = driver.decide(api.CallNeeded(first), api.CallNeeded(second))
    assert ids_of(api.Call, actions) == [first]
    assert ids_of(api.SkipCall, actions) == [second]


def test_a_call_is_skipped_early_enough_to_send_the_answer_in_time() -> None:
    driver = Driver(settings(**SHARED_DEPENDENCY))
    ident, _ = driver.arrive(1)
    actions = driver.decide(api.CallNeeded(ident), after=2.98)
    assert ids_of(api.SkipCall, actions) == [ident]
