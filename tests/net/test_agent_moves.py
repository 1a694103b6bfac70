"""A move of the agent's address: the old link is left once the agent has confirmed its commands."""

import re

from agent_requests import TRACE, UP, request
from play import Stand, run, until

from beechrock.core.link_lifecycle import LinkState
from beechrock.net.agent import Agent
from beechrock.net.agent_move import MAX_MOVE_WAIT_S

LAUNCHED = f"launch {TRACE} resolve 1\r\nx\r\n"
DELIVERED = f"deliver {TRACE} 2\r\nr1\r\n"


async def moved_with_an_unconfirmed_delivery(stand: Stand) -> Agent:
    """Move the agent while a reply to a call is written, but not confirmed, on the link ``g``."""
    await stand.open()
    await stand.play(UP.replace("%s", "g"))
    agent, made = stand.program.agent, request()
    assert agent is not None
    wire = stand.wires["g"]
    wire.samples = False  # sample requests are kept in ``wire.got``
    agent.launch(made)
    agent.deliver(made, b"r1")
    await until(lambda: (LAUNCHED + DELIVERED).encode() in wire.got, lambda: f"{wire.got!r}")
    wire.got = b""
    await stand.step(["move", "agent"], "")
    await stand.step(["reload"], "")
    await until(lambda: b"sample " in wire.got or wire.ended, lambda: "neither asked nor closed")
    assert not wire.ended, "the old link was cut before the agent could confirm what it had read"
    return agent


async def has_read_notice(agent: Agent, number: int) -> None:
    await until(lambda: agent.notices.last == number, lambda: f"notice {number} was not read")


def answer_samples(stand: Stand) -> None:
    """Answer the sample requests on the old link: those that it has read, and those that follow."""
    wire = stand.wires["g"]
    wire.samples = True
    wire.got = re.sub(rb"sample (\w+)\r\n", wire._sampled, wire.got)


# Guards against a reply that reaches the run's next call, as it was sent again after the agent had read it.
def test_a_reply_that_the_agent_has_read_before_a_move_is_not_sent_again() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        answer_samples(stand)  # the agent has read the reply; the notice of the next call is on its way
        await stand.play(
            'h = accept agent\nh < "subscribe 0\\r\\n"\n'
            'h > "greeting LOADED 5000\\r\\n"\nup agent\ng closed\n'
            "counter agent.commands_sent_again 0\ncounter agent.deliveries_sent_again 0\n"
        )
        assert not len(agent.runs.unconfirmed)

    run(work)


def test_commands_that_follow_during_a_move_are_written_on_the_new_link_alone_and_once() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        agent.stop(agent.runs.open[TRACE])
        answer_samples(stand)
        await stand.play(
            'h = accept agent\nh < "subscribe 0\\r\\n"\n'
            'h > "greeting LOADED 5000\\r\\n"\nup agent\n'
            f'h < "freeze {TRACE}\\r\\n"\ng closed\ncounter agent.deliveries_sent_again 0\n'
        )

    run(work)


def test_an_old_link_that_ends_before_it_answers_is_left_at_once_and_its_commands_are_sent_again() -> None:
    async def work(stand: Stand) -> None:
        await moved_with_an_unconfirmed_delivery(stand)
        stand.wires["g"].got = b""
        launched, delivered = (text.replace("\r\n", "\\r\\n") for text in (LAUNCHED, DELIVERED))
        await stand.play(  # without a step of the clock, as a pause before the next attempt would need one
            'g break\nh = accept agent\nh < "subscribe 0\\r\\n"\n'
            f'h > "greeting LOADED 5000\\r\\n"\nup agent\nh < "{launched}"\n'
            f'counter agent.deliveries_sent_again 0\nclock 0.2\nh < "{delivered}"\n'
            "counter agent.deliveries_sent_again 1\ncounter agent.moves 1\n"
        )

    run(work)


def test_an_old_link_that_stays_silent_is_left_within_half_a_second() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        left, waited = agent.link_actor.life.address, 0.0
        while agent.link_actor.life.address == left:
            assert waited < 0.5
            await stand.step(["clock", "0.05"], "")
            waited += 0.05
        stand.wires["g"].got = b""
        await stand.play('h = accept agent\nh < "subscribe 0\\r\\n"\ncounter agent.cut_silent 1\n')

    run(work)


def test_an_old_link_that_says_other_things_but_never_answers_is_left_within_its_time() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        left, waited, number = agent.link_actor.life.address, 0.0, 0
        while agent.link_actor.life.address == left:
            assert waited < MAX_MOVE_WAIT_S + 0.1
            number += 1
            await stand.step(["g", ">", f'"aside {number} well\\r\\n"'], f'g > "aside {number} well\\r\\n"')
            await has_read_notice(agent, number)
            await stand.step(["clock", "0.05"], "")
            waited += 0.05
        stand.wires["g"].got = b""
        await stand.play(
            f'h = accept agent\nh < "subscribe {number}\\r\\n"\ncounter agent.moves_unconfirmed 1\n'
        )

    run(work)


def test_after_a_pause_of_the_process_the_old_link_gets_its_time_once_more() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        await stand.step(["clock", str(MAX_MOVE_WAIT_S + 1.0)], "")
        assert agent.address_move.pending is not None, "left before the answer could be read"
        answer_samples(stand)
        await stand.play(
            'h = accept agent\nh < "subscribe 0\\r\\n"\n'
            "counter agent.moves_unconfirmed 0\ncounter agent.deliveries_sent_again 0\n"
        )

    run(work)


def test_a_second_move_during_the_first_goes_to_the_last_address() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        agent.stop(agent.runs.open[TRACE])
        await stand.step(["move", "agent"], "")
        await stand.step(["reload"], "")
        answer_samples(stand)
        await stand.play(
            'h = accept agent\nh < "subscribe 0\\r\\n"\nh > "greeting LOADED 5000\\r\\n"\n'
            f'up agent\nh < "freeze {TRACE}\\r\\n"\ng closed\ncounter agent.links 2\n'
        )

    run(work)


def test_a_move_that_is_taken_back_keeps_the_link_and_writes_what_was_held_back() -> None:
    async def work(stand: Stand) -> None:
        agent = await moved_with_an_unconfirmed_delivery(stand)
        agent.stop(agent.runs.open[TRACE])
        agent.move(agent.link_actor.life.address)
        answer_samples(stand)
        await until(lambda: len(agent.runs.unconfirmed) <= 1, lambda: "not confirmed")
        await stand.play(f'g < "freeze {TRACE}\\r\\n"\ncounter agent.links 1\n')
        assert agent.link_actor.life.state is LinkState.UP

    run(work)
