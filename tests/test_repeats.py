"""Retries of a keyed request at each stage of the first one, and requests that are read too late."""

from collections.abc import Callable

import pytest
from desk import SAID, Desk, request, verdicts

from beechrock import interface as api
from beechrock.core.idempotency import IdempotencyTable
from beechrock.core.requests import (
    CallRequested,
    RequestCancelled,
    RequestReceived,
    RunEnded,
    ShutdownRequested,
    Verdict,
)

FAILED, SERVED, REFUSED = Verdict.FAILED, Verdict.SERVED, Verdict.REFUSED
BELOW = {"downstream": api.Downstream.SHARED, "shared_call_limit": 6.0, "abandoned_call_linger_s": 0.2}


def first(desk: Desk) -> None:
    desk.tell(RequestReceived(request("first", "n", born=desk.now)))


def repeat(desk: Desk, after: float = 0.0) -> None:
    desk.now += after
    desk.tell(RequestReceived(request("repeat", "n", born=desk.now)))


def ended(outcome: api.Outcome) -> Callable[[Desk], None]:
    def history(desk: Desk) -> None:
        first(desk)
        desk.tell(RunEnded("first", outcome, 0.1, b"r"))
        repeat(desk)

    return history


def fill(desk: Desk) -> None:
    """Keep the cores so busy that the next request is held."""
    while len(desk.launched()) == len(desk.actor.table.by_id):
        desk.tell(
            RequestReceived(request(f"{len(desk.actor.table.by_id)}", klass=0, born=desk.now)), after=0.01
        )


def empty(desk: Desk) -> None:
    """End all runs, including those that start meanwhile."""
    while running := [trace for trace, r in desk.actor.table.by_trace.items() if r.running]:
        desk.tell(*(RunEnded(trace, api.Outcome.OK, 0.1, b"r") for trace in running), after=0.1)


def held(desk: Desk) -> None:
    fill(desk)
    first(desk)
    repeat(desk)
    empty(desk)


def in_one_batch(desk: Desk) -> None:
    desk.tell(RequestReceived(request("first", "n")), RequestReceived(request("repeat", "n")))
    desk.tell()
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))


def running(desk: Desk) -> None:
    first(desk)
    repeat(desk)
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))


def at_a_call(desk: Desk) -> None:
    first(desk)
    desk.tell(CallRequested("first", 1, b"c"))
    running_on(desk)


def running_on(desk: Desk) -> None:
    repeat(desk)
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))


def given_up_while_it_ran(desk: Desk) -> None:
    first(desk)
    desk.tell(after=9.0)
    assert verdicts("first") == [FAILED]
    running_on(desk)


def callers_gone_while_it_ran(desk: Desk) -> None:
    first(desk)
    desk.tell(RequestCancelled(desk.actor.table.by_trace["first"]))
    running_on(desk)


def gone_and_repeated_in_one_batch(desk: Desk) -> None:
    fill(desk)
    first(desk)
    desk.tell(
        RequestCancelled(desk.actor.table.by_trace["first"]),
        RequestReceived(request("repeat", "n", born=desk.now)),
    )
    empty(desk)


def callers_gone_while_it_was_held(desk: Desk) -> None:
    fill(desk)
    first(desk)
    desk.tell(RequestCancelled(desk.actor.table.by_trace["first"]))
    repeat(desk)
    empty(desk)


def refused_when_it_was_due(desk: Desk) -> None:
    fill(desk)
    first(desk)
    desk.tell(after=8.99)
    assert verdicts("first") == [REFUSED]
    desk.tell(*(RunEnded(trace, api.Outcome.OK, 0.1) for trace in desk.launched()))
    repeat(desk)
    desk.tell(RunEnded("repeat", api.Outcome.OK, 0.1, b"r"))


def its_result_dropped(desk: Desk) -> None:
    first(desk)
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))
    desk.actor.idempotency.trim(0)
    repeat(desk)


def at_the_windows_last_millisecond(desk: Desk) -> None:
    ended(api.Outcome.OK)(desk)
    SAID["repeat"].clear()
    repeat(desk, after=30.049)


def after_the_window(desk: Desk) -> None:
    first(desk)
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))
    repeat(desk, after=30.051)
    desk.tell(RunEnded("repeat", api.Outcome.OK, 0.1, b"r"))


@pytest.mark.parametrize(
    ("history", "runs", "verdict"),
    [
        (held, "first", SERVED),
        (in_one_batch, "first", SERVED),
        (running, "first", SERVED),
        (at_a_call, "first", SERVED),
        (given_up_while_it_ran, "first", SERVED),
        (callers_gone_while_it_ran, "first", SERVED),
        (ended(api.Outcome.OK), "first", SERVED),
        (ended(api.Outcome.ERROR), "first", FAILED),
        (ended(api.Outcome.STOPPED), "first", FAILED),
        (ended(api.Outcome.CONNECTION_LOST), "first", FAILED),
        (its_result_dropped, "first", FAILED),
        (at_the_windows_last_millisecond, "first", SERVED),
        # A first request that never ran does not keep a retry from running.
        (gone_and_repeated_in_one_batch, "repeat", SERVED),
        (callers_gone_while_it_was_held, "repeat", SERVED),
        (refused_when_it_was_due, "repeat", SERVED),
    ],
)
def test_a_key_runs_once_and_its_repeat_gets_the_outcome(
    history: Callable[[Desk], None],
    runs: str,
    verdict: Verdict,
) -> None:
    desk = Desk(**BELOW)
    history(desk)
    assert [trace for trace in desk.launched() if not trace.isdigit()] == [runs]
    assert verdicts("repeat") == [verdict]
    assert desk.actor.table.open == 0


def due(desk: Desk) -> None:
    desk.tell(after=8.99)


def gone(desk: Desk) -> None:
    desk.tell(RequestCancelled(desk.actor.table.by_trace["first"]))


def leaving(desk: Desk) -> None:
    desk.tell(ShutdownRequested(1.0))
    desk.tell(after=0.9)


@pytest.mark.parametrize("end", [due, gone, leaving])
def test_a_repeat_that_waited_for_a_held_request_which_never_ran_is_refused(
    end: Callable[[Desk], None],
) -> None:
    """FAILED instead would keep the caller from retrying elsewhere while the key's window is open."""
    desk = Desk(**BELOW)
    fill(desk)
    first(desk)
    repeat(desk, after=0.001)
    assert not verdicts("first") and not verdicts("repeat")
    end(desk)
    assert "first" not in desk.launched() and verdicts("repeat") == [REFUSED]
    empty(desk)
    again = request("again", "n", born=desk.now)
    desk.tell(RequestReceived(again))
    assert desk.launched()[-1] == "again" or verdicts("again") == [REFUSED]


@pytest.mark.parametrize("outcome", [api.Outcome.MOOT, api.Outcome.REJECTED])
def test_a_late_retry_repeats_the_run_of_its_window_though_a_later_one_never_ran(
    outcome: api.Outcome,
) -> None:
    desk = Desk(**BELOW)
    after_the_window(desk)  # the second run, "repeat", has ended
    desk.tell(RequestReceived(request("third", "n", born=desk.now + 30.06)), after=30.06)
    desk.tell(RunEnded("third", outcome, 0.1))
    late = desk.now - 0.05  # 10 ms before the end of the second window with its tolerance
    desk.tell(RequestReceived(request("late", "n", born=late)))
    assert desk.launched() == ["first", "repeat", "third"]
    assert verdicts("late") == [SERVED]  # with the result of the second run
    desk.tell(RequestReceived(request("fresh", "n", born=desk.now)))
    assert desk.launched()[-1] == "fresh"


@pytest.mark.parametrize("history", [after_the_window, ended(api.Outcome.MOOT), ended(api.Outcome.REJECTED)])
def test_a_key_is_launched_again_after_its_window_or_if_it_never_ran(history: Callable[[Desk], None]) -> None:
    desk = Desk(**BELOW)
    history(desk)
    assert desk.launched() == ["first", "repeat"]


@pytest.mark.parametrize("every_s", [0.2, 1.0, 29.0])
def test_repeats_of_a_failed_key_do_not_extend_its_window(every_s: float) -> None:
    """Upstream retries a held write of an edge repeatedly: the key must be free once its window has ended."""
    desk = Desk(**BELOW)
    first(desk)
    launched = desk.now
    desk.tell(RunEnded("first", api.Outcome.ERROR, 0.1))
    number = 0
    while len(desk.launched()) == 1 and desk.now < launched + 120.0:
        number += 1
        desk.tell(RequestReceived(request(f"again{number}", "n", born=desk.now + every_s)), after=every_s)
    assert desk.launched() == ["first", f"again{number}"]
    assert 30.0 < desk.now - launched <= 30.2 + every_s
    assert all(verdicts(f"again{one}") == [FAILED] for one in range(1, number))


def test_a_retry_read_late_is_a_repeat_though_a_later_one_replaced_the_entry_and_was_cancelled() -> None:
    """When the later request was cancelled and forgotten, the first one's entry must not be lost with it."""
    desk = Desk(**BELOW)
    first(desk)
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))
    desk.now += 30.2
    for place in range(20):  # keeps the cores busy
        desk.tell(RequestReceived(request(f"{place}", klass=0, born=desk.now)))
    later = request("later", "n", born=desk.now)
    desk.tell(RequestReceived(later))
    assert desk.launched()[-1] != "later"
    desk.tell(RequestCancelled(later))
    desk.tell(RequestReceived(request("late", "n", born=desk.now - 0.5)))
    assert "late" not in desk.launched() and verdicts("late") == [SERVED]
    repeat(desk)
    empty(desk)
    assert desk.launched()[-1] == "repeat"


def test_replaced_entries_are_bounded_and_expire() -> None:
    table, tries = IdempotencyTable(3, linger_s=10.0), [request(f"t{n}", "n") for n in range(4)]
    for at, one in enumerate(tries[:3]):
        one.born = 100.0 + at
        assert table.remember(one, 100.5 + at, 100.0 + at)
    assert len(table) == 3
    other = request("other", "another")
    table.forget(tries[1])
    assert len(table) == 2 and table.holds(tries[2])
    table.forget(tries[2])
    assert len(table) == 1 and table.holds(tries[0])
    tries[3].born = 105.0
    assert table.remember(tries[3], 105.5, 105.0) and len(table) == 2
    assert table.remember(other, 120.0, 105.0) and len(table) == 3
    # Lingering entries are dropped.
    assert table.remember(request("more", "yet another"), 120.0, 105.0) and len(table) == 3
    assert not table.remember(request("most", "one too many"), 120.0, 105.0)
    last = request("last", "n", born=106.0)
    assert table.remember(last, 106.5, 106.0) and len(table) == 3
    table.sweep(131.0)
    assert len(table) == 0


def test_another_body_under_a_key_fails_and_another_service_is_another_key() -> None:
    desk = Desk()
    first(desk)
    changed, other = request("changed", "n"), request("other", "n")
    changed.body, other.route = b"changed", "another"
    desk.tell(RequestReceived(changed), RequestReceived(other))
    assert verdicts("changed") == [FAILED]
    assert desk.launched() == ["first", "other"]


def test_hundreds_of_repeats_of_a_running_key_are_received_at_once() -> None:
    desk = Desk()
    first(desk)
    desk.tell(*(RequestReceived(request(f"r{n}", "n", born=desk.now)) for n in range(300)))
    assert len(desk.actor.table.by_id) == 301
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"))
    assert [verdicts(f"r{n}") for n in range(300)] == [[SERVED]] * 300
    assert desk.launched() == ["first"]


@pytest.mark.parametrize("klass", [0, 1, 2])
@pytest.mark.parametrize(("late_s", "verdict"), [(0.0, REFUSED), (5.0, REFUSED), (11.0, FAILED)])
def test_a_request_past_its_due_time_when_read_gets_one_answer_at_once_and_never_runs(
    klass: int,
    late_s: float,
    verdict: Verdict,
) -> None:
    desk = Desk()
    desk.tell(
        RequestReceived(
            request("late", "n" if klass == 1 else None, born=desk.now - 9.0 - late_s, klass=klass)
        )
    )
    assert verdicts("late") == [verdict]
    assert desk.launched() == []
    assert (desk.actor.table.by_id, desk.actor.node.table.requests, len(desk.actor.idempotency)) == (
        {},
        {},
        0,
    )


def test_a_cancellation_that_crosses_the_answer_changes_nothing() -> None:
    desk = Desk()
    first(desk)
    made = desk.actor.table.by_trace["first"]
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"r"), RequestCancelled(made))
    assert verdicts("first") == [SERVED]
    desk.tell(RequestCancelled(made), RunEnded("first", api.Outcome.OK, 0.1, b"again"))
    assert verdicts("first") == [SERVED]
    assert desk.actor.table.counts.concurrent == 0


@pytest.mark.parametrize("klass", [1, 2])
def test_a_started_request_is_failed_and_never_refused_at_shutdown(klass: int) -> None:
    desk = Desk()
    ran = request("ran", "n" if klass == 1 else None, klass=klass)
    desk.tell(RequestReceived(ran))
    desk.tell(CallRequested("ran", 1, b"c"))
    desk.tell(ShutdownRequested(4.0))
    desk.tell(after=3.9)
    assert verdicts("ran") == [FAILED]


@pytest.mark.parametrize("grace_s", [0.0, None])
def test_without_a_drain_grace_held_and_new_requests_are_refused_at_shutdown(
    grace_s: float | None,
) -> None:
    desk = Desk(drain_grace_s=grace_s)
    fill(desk)
    first(desk)
    repeat(desk)
    assert not verdicts("first")  # held
    desk.tell(ShutdownRequested(4.0))
    desk.tell(RequestReceived(request("after", born=desk.now + 0.01)), after=0.01)
    assert verdicts("after") == [REFUSED] and "after" not in desk.launched()
    desk.tell(after=3.9)
    assert "first" not in desk.launched() and verdicts("first") == [REFUSED]
    assert verdicts("repeat") == [REFUSED]  # nothing ran, so its caller may retry elsewhere
    assert all(len(verdicts(trace)) == 1 for trace in desk.launched()) and desk.actor.table.open == 0
