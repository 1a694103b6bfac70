"""Graceful shutdown: late requests don't run, and every request is answered before the kill."""

from world import Driver, actions_of, ids_of, settings

from beechrock import interface as api


def test_a_drain_is_reported_at_once_and_late_arrivals_are_not_run() -> None:
    driver = Driver()
    assert actions_of(api.Health, driver.decide(api.ShutdownNotice(5.0))) == [api.Health(False)]
    early, actions = driver.arrive()
    assert early in ids_of(api.Run, actions)
    driver.decide(after=2.6)
    late, actions = driver.arrive()
    assert ids_of(api.Reject, actions) == [late]
    assert late not in ids_of(api.Run, driver.actions)


def test_a_request_that_arrived_within_the_grace_but_was_read_later_runs() -> None:
    driver = Driver()
    driver.decide(api.ShutdownNotice(5.0))
    driver.decide(after=2.6)
    ident, actions = driver.arrive(age_s=2.0)
    assert ident in ids_of(api.Run, actions)


def test_all_requests_are_answered_before_the_kill() -> None:
    driver = Driver()
    for _ in range(12):
        driver.arrive(1)
    driver.decide(api.ShutdownNotice(2.0))
    driver.decide(after=1.85)
    assert all(request.answered for request in driver.node.table.requests.values())
    answered = ids_of(api.Fail, driver.actions) + ids_of(api.Reject, driver.actions)
    assert sorted(answered) == list(range(1, 13))


def test_a_replaced_process_reports_good_health_and_answers_all_before_the_kill() -> None:
    driver = Driver(settings(load_report_kind=api.LoadReportKind.FLOOR))
    actions = driver.decide(api.ShutdownNotice(5.0, has_successor=True))
    early, more = driver.arrive()
    driver.decide(after=2.0)  # A process without a successor asks for no more requests at 0.8 of the grace
    assert actions_of(api.Health, actions + more) == [api.Health(True)] and early in ids_of(
        api.Run, driver.actions
    )
    assert all(a.value < 1 for a in actions_of(api.Advertise, driver.actions))
    driver.decide(after=2.6)
    assert all(request.answered for request in driver.node.table.requests.values())
    # The successor disappears, so the node is shut down after all; then another successor comes.
    assert actions_of(api.Health, driver.decide(api.ShutdownNotice(0.4))) == [api.Health(False)]
    assert actions_of(api.Health, driver.decide(api.ShutdownNotice(0.3, has_successor=True))) == [
        api.Health(True)
    ]
    assert (
        driver.node.shutdown.send_nothing_from_s == float("inf")
        and driver.node.shutdown.began_s < driver.now - 4
    )
