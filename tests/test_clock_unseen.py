"""A step of the wall clock that is reversed before the node reads it: only stamps of requests show it."""

import pytest
from clock_requests import OK, WINDOW_S, advance, counter, new_request, open_with_agent
from pair import LAUNCH, PASS
from play import Stand, run


@pytest.mark.parametrize("step", [-3600.0, 2.0, 3600.0])
def test_a_step_that_is_reversed_before_any_reading_refuses_no_request_stamped_meanwhile(step: float) -> None:
    """Only the stamp shows the step: the birth is taken as the last reading, or up to a short step before."""

    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 5.0)
        stand.step_s += step
        first = new_request(stand, 1, 1)
        stand.now += 0.4  # the node reads no clock meanwhile
        stand.step_s -= step
        await stand.play(first + LAUNCH % 1)
        assert not counter(stand, "clock.steps") and not counter(stand, "intake.born_far_off")
        [request] = stand.program.module.table.by_id.values()
        assert stand.now - 0.4 - 1.0 <= request.born <= stand.now - 0.4
        await stand.play(PASS % (1, 1) + OK % 1)
        await advance(stand, WINDOW_S - 0.4)
        await stand.play(new_request(stand, 2, 1) + OK % 2)
        assert counter(stand, "sent.launches") == 1

    run(work)


def test_a_request_stamped_during_an_unseen_short_step_back_counts_as_that_much_older() -> None:
    """Its stamp looks like that of a request that waited, so it is judged as one and not as malformed."""

    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 5.0)
        stand.step_s -= 2.0
        first = new_request(stand, 1, 1)
        stand.now += 0.4
        stand.step_s += 2.0
        await stand.play(first + 'c1 ... 05"pause" 0003"320"\n')  # past its latency objective of 1.4 s
        assert not counter(stand, "sent.launches") and not counter(stand, "intake.born_far_off")
        await stand.play(new_request(stand, 2, 1) + LAUNCH % 2)  # a later attempt runs

    run(work)
