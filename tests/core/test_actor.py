"""The core without any network: the idempotency table and the module's actor."""

from dataclasses import replace

import pytest
from desk import SAID, Desk, Worker, request, verdicts
from world import settings

from beechrock import interface as api
from beechrock.core.actor import ModuleActor
from beechrock.core.counters import Counters
from beechrock.core.idempotency import IdempotencyTable
from beechrock.core.requests import (
    CallDone,
    CallRequested,
    GaugesSampled,
    RequestCancelled,
    RequestReceived,
    RunEnded,
    Verdict,
    WorkersStarted,
)
from beechrock.core.work_router import WorkRouter
from beechrock.policy.slow_start import speed_share


def test_a_repeat_is_found_by_its_birth_until_50_ms_after_the_window() -> None:
    table = IdempotencyTable(2, linger_s=4.0)
    first = request("a", "n")
    table.remember(first, 110.0, 100.0)
    assert table.find(request("b", "n", born=110.05)) is first
    assert table.find(request("c", "n", born=110.06)) is None
    # A repeat may be read late, as entries stay in the table after their window.
    table.sweep(113.9)
    assert table.find(request("d", "n", born=109.0)) is first
    table.sweep(114.1)
    assert len(table) == 0


def test_the_idempotency_table_is_bounded_and_only_the_current_request_removes_an_entry() -> None:
    table = IdempotencyTable(2, linger_s=4.0)
    one, two = request("a", "n"), request("b", "n")
    assert table.remember(one, 110.0, 100.0) and table.remember(request("c", "m"), 110.0, 100.0)
    assert not table.remember(request("d", "o"), 110.0, 100.0)
    assert table.remember(two, 111.0, 100.0)
    table.forget(one)
    assert table.find(request("e", "n")) is two
    # A lingering entry is dropped to make room for a live one.
    assert table.remember(request("f", "o"), 120.0, 110.5)
    assert table.find(request("g", "m")) is None


def test_the_idempotency_table_has_room_for_live_and_lingering_entries() -> None:
    """One keyed request arrives every 20 ms, with memory for 24 live entries at a time."""
    desk = Desk(
        memory_kb=3000.0,
        idempotency_entry_kb=100.0,
        classes=(api.ClassSettings(1.0, 3.6, idempotency=api.Idempotency.KEYED, idempotency_window_s=1.0),),
    )
    for place in range(400):
        made = request(f"k{place}", f"k{place}", born=desk.now, klass=0)
        made.kb = 0.01
        desk.tell(RequestReceived(made), after=0.02)
        desk.tell(*(RunEnded(r.trace, api.Outcome.OK, 0.01) for r in list(desk.actor.table.by_id.values())))
    assert len(desk.actor.idempotency) > 30
    assert desk.counters["trouble.keys_full"] == 0


def test_a_run_that_is_reported_ended_twice_is_answered_once() -> None:
    desk = Desk()
    desk.tell(RequestReceived(request("a", "n1")))
    assert desk.launched() == ["a"]
    desk.tell(RunEnded("a", api.Outcome.OK, 0.1, b"r"), RunEnded("a", api.Outcome.OK, 0.1, b"r"), after=0.1)
    assert [(a.verdict, a.body) for a in SAID["a"]] == [(Verdict.SERVED, b"r")]
    assert desk.actor.table.by_id == desk.actor.table.by_trace == {}


def test_two_tries_in_one_batch_run_once_and_both_are_served() -> None:
    desk = Desk()
    desk.tell(RequestReceived(request("a", "n2")), RequestReceived(request("b", "n2")))
    desk.tell()
    desk.tell(RunEnded("a", api.Outcome.OK, 0.1, b"r"), after=0.1)
    assert desk.launched() == ["a"]
    assert [(a.verdict, a.body) for a in SAID["b"]] == [(Verdict.SERVED, b"r")]


@pytest.mark.parametrize(
    ("outcome", "verdict"), [(api.Outcome.ERROR, Verdict.FAILED), (api.Outcome.STOPPED, Verdict.FAILED)]
)
def test_a_repeat_of_a_run_that_went_wrong_fails_and_does_not_run(
    outcome: api.Outcome, verdict: Verdict
) -> None:
    desk = Desk()
    desk.tell(RequestReceived(request("a", "n3")))
    desk.tell(RequestReceived(request("b", "n3")))
    desk.tell(RequestCancelled(desk.actor.table.by_trace["a"]), RunEnded("a", outcome, 0.1))
    desk.tell()
    assert desk.launched() == ["a"]
    assert verdicts("a") == []
    assert verdicts("b") == [verdict]


def test_a_run_that_outlives_its_answer_still_serves_its_repeats() -> None:
    desk = Desk()
    desk.tell(RequestReceived(request("a", "n4")))
    desk.tell(after=9.0)
    assert verdicts("a") == [Verdict.FAILED]
    desk.tell(RequestReceived(request("b", "n4", born=108.9)))
    desk.tell(RunEnded("a", api.Outcome.OK, 9.1, b"late"))
    assert [(a.verdict, a.body) for a in SAID["b"]] == [(Verdict.SERVED, b"late")]
    assert verdicts("a") == [Verdict.FAILED]


def test_a_request_with_a_trace_in_use_fails_without_a_run() -> None:
    desk = Desk()
    desk.tell(RequestReceived(request("a", "n5")), RequestReceived(request("a", "n6")))
    assert desk.launched() == ["a"]
    assert verdicts("a") == [Verdict.FAILED]
    assert desk.counters["intake.reused_traces"] == 1


def test_the_end_of_a_run_abandons_its_call_and_a_late_reply_is_dropped() -> None:
    desk = Desk(downstream=api.Downstream.SHARED, shared_call_limit=6.0, abandoned_call_linger_s=0.2)
    made = request("a", klass=0)
    desk.tell(RequestReceived(made))
    desk.tell(CallRequested("a", 1, b"c"))
    assert ("call", "a") in desk.work.invocations
    desk.tell(RunEnded("a", api.Outcome.STOPPED, 0.1))
    assert desk.work.invocations[-1] == ("abandon", "a")
    desk.tell(CallDone(made, api.Outcome.OK, 0.1, b"x"))
    assert ("deliver", "a") not in desk.work.invocations


def test_a_request_that_the_module_leaves_unanswered_fails_after_its_due_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    desk = Desk()
    monkeypatch.setattr(desk.actor.node, "decide", lambda now, events: [])
    desk.tell(RequestReceived(request("a", "n7")))
    desk.tell(after=8.9)
    assert verdicts("a") == []
    desk.tell(after=0.2)
    assert verdicts("a") == [Verdict.FAILED]
    assert desk.counters["trouble.overdue"] == 1


def test_the_report_counts_the_spending_of_each_tenant() -> None:
    desk = Desk(tenants=(api.TenantSettings(1.0, 9.0, name="releases", budget=10.0, budget_period_s=60.0),))
    made = request("a", "n8")
    made.tenant = 0
    desk.tell(RequestReceived(made))
    desk.actor.report()
    assert desk.counters["spent.releases"] == 1.0


def test_a_run_starts_where_its_service_runs_and_stays_there_when_it_moves() -> None:
    here, others = Worker(), Worker()
    a, b, runs = request("a", klass=0), request("b", klass=1), {"r0"}
    here.has_server = lambda route: route in runs  # type: ignore[attr-defined]
    here.holds = lambda held: held is a  # type: ignore[attr-defined]
    routed = WorkRouter(here, others)  # type: ignore[arg-type]
    routed.launch(a)
    routed.launch(b)
    runs.clear()
    runs.add("r1")  # the services move
    routed.stop(a)
    routed.stop(b)
    assert (here.invocations, others.invocations) == (
        [("launch", "a"), ("stop", "a")],
        [("launch", "b"), ("stop", "b")],
    )


def test_a_settings_update_does_not_end_the_slow_start_of_cold_workers() -> None:
    desk = Desk(slow_start_s=20.0, slow_start_speed_share=0.2)
    desk.tell(WorkersStarted(True, 0.0))
    assert desk.actor.node.settings.slow_start and not desk.actor.settings.slow_start
    limit = desk.actor.node.concurrency.run_limit()
    assert desk.actor.update_settings(
        replace(desk.actor.settings, memory_kb=desk.actor.settings.memory_kb / 2)
    )
    desk.tell()
    assert desk.actor.node.settings.slow_start and desk.actor.node.concurrency.run_limit() == limit
    assert desk.actor.node.settings.memory_kb == desk.actor.settings.memory_kb


@pytest.mark.parametrize(
    ("up", "since_s", "cold"),
    [
        (WorkersStarted(True, 0.5), 40.0, True),
        (WorkersStarted(True, 40.0), 40.0, False),
        (WorkersStarted(False, 0.5), 40.0, False),
    ],
)
def test_only_workers_that_started_anew_and_cold_restart_the_slow_start(
    up: WorkersStarted, since_s: float, cold: bool
) -> None:
    desk = Desk(slow_start_s=20.0, slow_start_speed_share=0.2)
    desk.tell(RequestReceived(request("a1")))

    def share() -> float:
        node = desk.actor.node
        return speed_share(node.settings, node.now_s - node.started_s)

    warm = share()
    for _ in range(2):  # the second time, the workers were cold and have become warm
        desk.tell(up, after=since_s)
        assert share() == (0.2 if cold else warm)
        assert "a1" in desk.launched()
        up = replace(up, age_s=up.age_s + (0.0 if cold else since_s))


def test_a_timer_without_a_fresh_sample_carries_no_gauges(monkeypatch: pytest.MonkeyPatch) -> None:
    desk, received = Desk(), []
    decide = desk.actor.node.decide
    monkeypatch.setattr(
        desk.actor.node, "decide", lambda now, some: received.extend(some) or decide(now, some)
    )
    desk.actor.module_timers.set(7, 100.5)
    desk.tell(GaugesSampled(api.Gauges(cpu_busy=0.5)), after=0.45)
    desk.tell(after=0.06)
    desk.actor.module_timers.set(8, 101.0)
    desk.tell(after=0.5)
    desk.tell(after=0.01)
    fired = [(e.token, e.gauges.cpu_busy) for e in received if isinstance(e, api.TimerFired)]
    assert [pair for pair in fired if pair[0]] == [(7, 0.5), (8, None)]


def test_open_requests_and_kept_results_are_bounded_by_memory() -> None:
    desk = Desk()
    small = ModuleActor(desk.actor.settings, 1, lambda: 100.0, Counters(), memory_mb=1.0)
    taken = [small.post(RequestReceived(request(f"t{n}"))) for n in range(40)]
    assert taken == [n < 32 for n in range(40)]
    assert small.counters["intake.beyond_memory"] == 8
    table, kept = IdempotencyTable(8, 1.0), [request(f"k{n}", f"n{n}") for n in range(3)]
    for made in kept:
        made.result = b"x" * 100
        table.remember(made, 200.0, 100.0)
    assert table.trim(200) == 1
    assert [made.result is None for made in kept] == [True, False, False]


def test_a_rejected_launch_frees_its_key_and_counts_as_no_work() -> None:
    desk = Desk()
    desk.tell(RequestReceived(request("a", "n")))
    desk.tell(RunEnded("a", api.Outcome.REJECTED, 0.0), after=0.1)
    assert (verdicts("a"), len(desk.actor.idempotency)) == ([Verdict.FAILED], 0)
    assert (desk.actor.node.cores.count, desk.actor.node.keys.ids) == (0.0, set())
    desk.tell(RequestReceived(request("b", "n", born=100.1)))
    assert desk.launched() == ["a", "b"]


def test_requests_cancelled_before_their_batch_never_reach_the_module() -> None:
    desk = Desk()
    burst = [request(f"{n:x}", "n") for n in range(1, 201)]
    good = request("good", "other")
    desk.tell(*(m for r in burst for m in (RequestReceived(r), RequestCancelled(r))), RequestReceived(good))
    assert desk.launched() == ["good"]
    assert desk.counters["intake.gone_unread"] == 200
    desk.tell(after=0.4)
    assert desk.launched() == ["good"]
    assert desk.actor.node.health.unread_s == 0.0
    assert (len(desk.actor.table.by_id), len(desk.actor.mailbox)) == (1, 0)
    # A request that has reached the module is cancelled as usual.
    desk.tell(RequestCancelled(good))
    assert good.cancelled
    assert desk.counters["intake.gone"] == 1


@pytest.mark.parametrize("memory_mb", [32.0, 64.0, 192.0])
def test_keys_results_and_open_requests_fit_into_the_free_memory(memory_mb: float) -> None:
    actor = ModuleActor(settings(idempotency_entry_kb=None), 1, lambda: 100.0, Counters(), memory_mb)
    parts_kb = (
        1.5 * actor.idempotency.capacity
        + actor.memory.max_result_bytes / 1024
        + 4.0 * actor.memory.max_open_requests
    )
    assert parts_kb <= 1024 * (memory_mb - 18.0)
    assert actor.idempotency.capacity > 1000


def test_a_keyed_request_is_refused_and_never_runs_when_the_idempotency_table_is_full() -> None:
    desk = Desk()
    desk.actor.idempotency.capacity = 1
    desk.tell(RequestReceived(request("a", "n1")))
    desk.tell(RequestReceived(request("b", "n2")))
    assert desk.launched() == ["a"]
    assert verdicts("b") == [Verdict.REFUSED]
    desk.tell(after=0.1)
    assert (
        len(desk.actor.table.by_id),
        len(desk.actor.node.table.requests),
        len(desk.actor.node.keys.ids),
    ) == (1, 1, 1)
    # A retry may run once there is room.
    desk.actor.idempotency.capacity = 2
    desk.tell(RequestReceived(request("b2", "n2")))
    assert desk.launched() == ["a", "b2"]


def test_repeats_of_a_remembered_key_are_received_in_one_batch() -> None:
    """With one repeat a batch, the module would not count the memory of the others until they are read."""
    desk = Desk()
    desk.tell(RequestReceived(request("k0", "n")))
    assert desk.launched() == ["k0"]
    desk.tell(*(RequestReceived(request(f"k{n}", "n")) for n in range(1, 30)), after=0.004)
    assert len(desk.actor.table.by_id) == 30 and not len(desk.actor.mailbox)
    assert desk.launched() == ["k0"]
    desk.tell(RunEnded("k0", api.Outcome.OK, 0.1, b"r"), after=0.1)
    assert all(verdicts(f"k{n}") == [Verdict.SERVED] for n in range(30))


def test_a_cold_node_reports_its_recent_launches_to_the_other_process() -> None:
    desk = Desk(slow_start=True)
    for n in range(3):
        desk.tell(RequestReceived(request(f"t{n}", klass=0)))
        desk.tell(RunEnded(f"t{n}", api.Outcome.ERROR, 0.001))
    assert (desk.actor.load().running, desk.actor.node.load()[0]) == (3, 0)
    desk.tell(after=(desk.actor.settings.overload_window_s or 0.0) + 0.1)
    assert desk.actor.load().running == 0


def test_a_module_restarted_for_new_workers_keeps_the_load_of_the_other_process() -> None:
    desk = Desk()
    desk.tell(api.OtherProcessLoad(2, 500.0, 1))
    desk.tell(WorkersStarted(True, 0.0))
    assert desk.actor.node.other_process.load == api.OtherProcessLoad(2, 500.0, 1)
