"""Memory: requests and keys stay within the limit, and a request that never fits is rejected at once."""

from world import Driver, actions_of, ids_of, settings

from beechrock import interface as api


def test_held_and_running_requests_and_keys_stay_within_memory() -> None:
    driver = Driver(settings(memory_kb=300.0, idempotency_entry_kb=20.0))
    for class_index in (0, 1) * 20:
        driver.arrive(class_index)
        node = driver.node
        assert node.memory.held_kb + len(node.keys.ids) * 20.0 <= 300.0


def test_repeats_that_wait_for_their_first_do_not_fill_the_memory() -> None:
    """Regression: every repeat was accepted, and a storm of attempts of one key exceeded the memory."""
    driver = Driver(settings(memory_kb=200.0, idempotency_entry_kb=0.0, running_memory_factor=1.0))
    first, _ = driver.arrive(1)
    repeats = [driver.arrive(1, repeat_of=first)[0] for _ in range(30)]
    assert driver.node.memory.held_kb <= 200.0
    assert ids_of(api.ShareResult, driver.actions) + ids_of(api.Fail, driver.actions) == repeats
    assert ids_of(api.Reject, driver.actions) == []  # One of the attempts ran


def test_a_request_too_large_to_run_is_rejected_at_once_and_blocks_no_other() -> None:
    """Regression: a run larger than the memory blocked the head of the queue and all requests behind it."""
    driver = Driver(settings(memory_kb=100.0, running_memory_factor=4.0, idempotency_entry_kb=0.0))
    large, actions = driver.arrive(size_kb=30.0)
    assert [(a.id, a.no_retry) for a in actions_of(api.Reject, actions)] == [(large, True)]
    small, actions = driver.arrive(size_kb=20.0)
    assert ids_of(api.Run, actions) == [small]
