"""Queues of due requests: their size stays bounded."""

from world import Driver, settings

from beechrock.policy.queues import MAX_STALE_ENTRIES, QueueEntry, without_stale


def test_heaps_do_not_grow_with_finished_requests() -> None:
    """Deadlines are minutes away, and every request is rejected at once."""
    driver = Driver(settings(memory_kb=100.0, idempotency_entry_kb=1.0))
    driver.arrive(size_kb=1.0, remaining_s=500.0)  # Runs, and is due before all other requests
    for _ in range(9000):
        driver.arrive(1, size_kb=90.0, remaining_s=600.0)
    assert len(driver.node.table.due) < 5000


def test_a_queue_is_swept_once_most_of_it_is_stale_and_stays_a_heap() -> None:
    queue = [QueueEntry(float(number), number) for number in range(MAX_STALE_ENTRIES + 5)]
    known = {3, 1, 4000}
    assert without_stale(queue, known, open_requests=2) is queue
    assert without_stale(queue, known, open_requests=1) == [
        QueueEntry(1.0, 1),
        QueueEntry(3.0, 3),
        QueueEntry(4000.0, 4000),
    ]
