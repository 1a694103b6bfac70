"""A reply that a break left unconfirmed: it is sent again only once its run must be waiting for it."""

from agent_requests import TRACE, UP, request
from play import Stand, run, until

from beechrock.net.agent import Agent
from beechrock.net.agent_resend import INITIAL_DEVIATION_S, INITIAL_MEAN_S, MAX_WAIT_S, ResponseTime

LAUNCH = f"launch {TRACE} resolve 1\\r\\nx\\r\\n"
DELIVER = f"deliver {TRACE} 2\\r\\nr1\\r\\n"
FREEZE, THAW = f"freeze {TRACE}\\r\\n", f"thaw {TRACE}\\r\\n"
BOUND_S = INITIAL_MEAN_S + 4 * INITIAL_DEVIATION_S
RECONNECT = "clock 0.03\n" + UP.replace("%s", "h")


async def broken_with_an_unconfirmed_delivery(stand: Stand) -> Agent:
    """Break the link ``g`` after a reply was written, and open the link ``h`` 0.03 s later."""
    await stand.open()
    await stand.play(UP.replace("%s", "g"))
    agent, made = stand.program.agent, request()
    assert agent is not None
    agent.launch(made)
    await stand.play(f'g < "{LAUNCH}"\n')
    agent.sample()  # its answer confirms the launch
    await until(lambda: not len(agent.runs.unconfirmed), lambda: "not settled")
    agent.deliver(made, b"r1")
    await stand.play(f'g < "{DELIVER}"\ng break\ncounter agent.ended_links 1\n' + RECONNECT)
    return agent


# Guards against a reply that reaches the run's next call, as the run had read it before the link broke.
def test_a_reply_that_was_read_before_a_break_never_reaches_the_next_call() -> None:
    async def work(stand: Stand) -> None:
        agent = await broken_with_an_unconfirmed_delivery(stand)
        # The notice of the next call was written after the answer that ended the synchronization.
        await stand.play(f'h > "request 1 {TRACE} 1\\r\\nd\\r\\n"\n')
        await until(lambda: agent.notices.last == 1, lambda: "not read")
        await stand.play("clock 0.5\ncounter agent.deliveries_sent_again 0\n")
        agent.deliver(agent.runs.open[TRACE], b"r2")
        await stand.play(f'h < "deliver {TRACE} 2\\r\\nr2\\r\\n"\n')

    run(work)


def test_a_reply_that_was_lost_is_sent_again_once_its_run_would_have_sent_a_notice() -> None:
    async def work(stand: Stand) -> None:
        await broken_with_an_unconfirmed_delivery(stand)
        await stand.play(f"clock {BOUND_S - 0.05}\ncounter agent.deliveries_sent_again 0\n")
        await stand.play(f'clock 0.03\nh < "{DELIVER}"\ncounter agent.deliveries_sent_again 1\n')

    run(work)


def test_commands_that_follow_a_held_reply_are_sent_after_it() -> None:
    async def work(stand: Stand) -> None:
        agent = await broken_with_an_unconfirmed_delivery(stand)
        made = agent.runs.open[TRACE]
        agent.stop(made)
        agent.resume(made)
        await stand.play(f'clock {BOUND_S}\nh < "{DELIVER}{FREEZE}{THAW}"\n')

    run(work)


def test_commands_behind_a_held_reply_are_sent_at_the_runs_next_notice() -> None:
    async def work(stand: Stand) -> None:
        agent = await broken_with_an_unconfirmed_delivery(stand)
        agent.stop(agent.runs.open[TRACE])
        await stand.play(f'h > "request 1 {TRACE} 1\\r\\nd\\r\\n"\nh < "{FREEZE}"\n')

    run(work)


def test_the_answer_to_a_sample_does_not_confirm_a_held_reply() -> None:
    async def work(stand: Stand) -> None:
        agent = await broken_with_an_unconfirmed_delivery(stand)
        agent.sample()
        sampled = stand.program.counters["agent.deliveries_sent_again"]
        await until(lambda: agent.runs.unconfirmed.commands_of(TRACE)[0].held, lambda: "not held")
        await stand.play(f'clock {BOUND_S}\nh < "{DELIVER}"\n')
        assert sampled == 0

    run(work)


def test_a_second_break_or_a_move_during_the_wait_loses_nothing() -> None:
    async def work(stand: Stand) -> None:
        await broken_with_an_unconfirmed_delivery(stand)
        await stand.play("h break\ncounter agent.ended_links 2\nclock 0.03\n" + UP.replace("%s", "i"))
        await stand.step(["move", "agent"], "")
        await stand.step(["reload"], "")
        await stand.play(UP.replace("%s", "j") + f'clock {BOUND_S}\nj < "{DELIVER}"\n')

    run(work)


def test_the_bound_follows_the_measured_times_and_stays_below_its_limit() -> None:
    times = ResponseTime()
    for _ in range(100):
        times.add(0.02)
    assert 0.02 <= times.bound_s <= 0.03
    times.add(0.1)
    assert times.bound_s > 0.1
    for _ in range(10):
        times.add(5.0)
    assert times.bound_s == MAX_WAIT_S
