"""Commands to the agent across a break of its link, or with a full queue; notices and greetings."""

import random

import pytest
from agent_requests import TRACE, UP, request
from play import Stand, run, until

from beechrock.config import Config
from beechrock.core.link_lifecycle import LinkState
from beechrock.core.requests import RunEnded
from beechrock.interface import Outcome
from beechrock.net import agent_commands
from beechrock.net.agent import Agent
from beechrock.net.connection import BadInputError


async def agent_of(stand: Stand) -> Agent:
    await stand.open()
    await stand.play(UP.replace("%s", "g"))
    assert stand.program.agent is not None
    return stand.program.agent


def test_pause_and_resume_commands_that_may_be_lost_are_resent_in_order() -> None:
    async def work(stand: Stand) -> None:
        agent, made = await agent_of(stand), request()
        agent.launch(made)
        agent.stop(made)
        await stand.play(
            f'g < "launch {TRACE} resolve 1\\r\\nx\\r\\nfreeze {TRACE}\\r\\n"\n'
            "g break\ncounter agent.ended_links 1\n"
        )
        agent.resume(made)
        all_three = f"launch {TRACE} resolve 1\\r\\nx\\r\\nfreeze {TRACE}\\r\\nthaw {TRACE}\\r\\n"
        await stand.play("clock 0.03\n" + UP.replace("%s", "h") + f'h < "{all_three}"\n')
        # The answer to a later sample request proves that the commands were read: a break loses nothing.
        agent.sample()
        await until(lambda: not len(agent.runs.unconfirmed), lambda: "not settled")
        await stand.play("h break\ncounter agent.ended_links 2\nclock 0.03\n" + UP.replace("%s", "i"))

    run(work)


def test_a_request_that_nobody_waits_for_is_not_launched_on_a_new_link_if_it_was_never_sent() -> None:
    async def work(stand: Stand) -> None:
        agent, made = await agent_of(stand), request()
        await stand.play("g break\ncounter agent.ended_links 1\n")
        agent.launch(made)
        agent.stop(made)
        made.answered = True
        stand.program.module.table.by_trace[TRACE] = stand.program.module.table.by_id[1] = made
        await stand.play("clock 0.03\n" + UP.replace("%s", "h") + "counter runs.moot 1\n")
        assert (len(agent.runs.unconfirmed), agent.runs.open) == (0, {})

    run(work)


def test_a_launch_beyond_the_command_queues_bound_is_reported_as_never_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(stand: Stand) -> None:
        agent = await agent_of(stand)
        monkeypatch.setattr(agent_commands, "MAX_COMMANDS", 0)
        agent.launch(request())
        [reported] = [m for m in stand.program.module.mailbox.drain() if isinstance(m, RunEnded)]
        assert reported == RunEnded(TRACE, Outcome.REJECTED, 0.0)
        assert (agent.runs.open, agent.dispatches) == ({}, 0)

    run(work)


def test_a_link_with_a_full_queue_is_cut_and_its_commands_are_kept_for_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(stand: Stand) -> None:
        agent, made = await agent_of(stand), request()
        assert agent.link is not None
        monkeypatch.setattr(agent.link.mailbox, "capacity", 0)
        agent.launch(made)
        await until(lambda: stand.wires["g"].ended, lambda: "still open")
        await until(lambda: stand.program.counters["agent.ended_links"] == 1, lambda: "not cut")
        stand.now += 0.03
        await stand.step(["h", "=", "accept", "agent"], "")
        assert agent.runs.unconfirmed.launch_of(TRACE) is not None

    run(work)


KINDS = ["outcome", "request", "sampled", "greeting", "exercised", "refusal", "aside"]
NUMBERS = ["nan", "inf", "-inf", "-1", "1e309", "1e13", "0", "1", "2", "3", "4", "1_0", "9" * 30]
OTHERS = ["PASS", "NOOP", "EMPTY", "quiet", "g1", "g9", "gx", "", "\u0663", "\u00b2", "\ufffd", TRACE]
WORDS = [*KINDS, *NUMBERS, *OTHERS, "0000000000000001"]


@pytest.mark.parametrize("seed", range(6))
def test_random_lines_cause_at_most_a_cut_or_a_message_that_the_module_can_handle(seed: int) -> None:
    async def work(stand: Stand) -> None:
        agent, draw = await agent_of(stand), random.Random(seed)
        module = stand.program.module
        for _ in range(400):
            words = [draw.choice(KINDS), *draw.choices(WORDS, k=draw.randrange(6))]
            before = agent.notices.last
            try:
                agent.receive_line(words, draw.choice([b"", b"x"]))
            except BadInputError as error:
                agent.handle_unreadable(words, str(error))
            assert agent.notices.last >= before or stand.program.counters["agent.restarts"] > 0
            module.tick(stand.now)
        assert module.table.by_id == {}
        assert [line for line in stand.program.counters.lines() if line.startswith("trouble.")] == []

    run(work)


def test_a_reply_is_not_resent_to_a_run_whose_next_call_was_read_with_the_sync_answer() -> None:
    async def work(stand: Stand) -> None:
        agent, made = await agent_of(stand), request()
        agent.launch(made)
        agent.deliver(made, b"r1")
        await stand.play(
            f'g < "launch {TRACE} resolve 1\\r\\nx\\r\\ndeliver {TRACE} 2\\r\\nr1\\r\\n"\n'
            "g break\ncounter agent.ended_links 1\nclock 0.03\nh = accept agent\nh mute\n"
            'h < "subscribe 0\\r\\n"\nh > "greeting LOADED 5000\\r\\n"\n'
        )
        await until(
            lambda: agent.link_actor.life.state is LinkState.SYNCING, lambda: f"{agent.link_actor.life.state}"
        )
        word, notice = f"sampled {agent.sync_tag} 1 1 1 1\r\n", f"request 1 {TRACE} 1\r\nd\r\n"
        stand.wires["h"].writer.write((word + notice).encode())
        await stand.play("up agent\ncounter agent.commands_sent_again 1\n")
        agent.deliver(made, b"r2")
        await stand.play(f'h < "deliver {TRACE} 2\\r\\nr2\\r\\n"\n')

    run(work)


def test_a_restart_is_detected_even_if_the_last_notice_before_it_is_read_after_it() -> None:
    """The node lags: it reads the old agent's last notice only when the new agent has started already."""

    async def work(stand: Stand) -> None:
        agent, made = await agent_of(stand), request()
        stand.program.module.table.by_trace[TRACE] = stand.program.module.table.by_id[1] = made
        made.answered = True
        agent.launch(made)
        await stand.play(
            f'g < "launch {TRACE} resolve 1\\r\\nx\\r\\n"\nclock 0.05\ng > "aside 7 last words\\r\\n"\n'
        )
        await until(lambda: agent.notices.last == 7, lambda: "unread")
        # The agent restarted 10 ms before that notice was read, and gets the subscription 30 ms after it. Its
        # notice numbers start at 1 again.
        await stand.play(
            "g break\ncounter agent.ended_links 1\nclock 0.03\nh = accept agent\n"
            'h < "subscribe 7\\r\\n"\nh > "greeting EMPTY 40\\r\\n"\nh closed\n'
            "counter agent.restarts 1\ncounter runs.broken_off 1\ncounter agent.ended_links 2\n"
            "clock 0.05\ni = accept agent\n"
            'i < "subscribe 0\\r\\n"\ni > "greeting EMPTY 100\\r\\n"\nup agent\n'
        )
        assert agent.runs.open == {}

    run(work)


def test_a_greeting_that_is_read_late_does_not_count_as_a_restart() -> None:
    async def work(stand: Stand) -> None:
        await agent_of(stand)
        await stand.play(
            "g break\ncounter agent.ended_links 1\nclock 0.03\nh = accept agent\n"
            'h < "subscribe 0\\r\\n"\nclock 0.2\nh > "greeting LOADED 5030\\r\\n"\nup agent\n'
            "counter agent.restarts 0\n"
        )

    run(work)


@pytest.mark.parametrize("age_ms", [0, 5100])
def test_a_greeting_that_nobody_asked_for_cuts_the_link_and_loses_no_run(age_ms: int) -> None:
    """A greeting with age 0 was taken for a restart, and runs were given up although they went on."""

    async def work(stand: Stand) -> None:
        agent, made = await agent_of(stand), request()
        agent.launch(made)
        await stand.play(
            f'g < "launch {TRACE} resolve 1\\r\\nx\\r\\n"\nclock 0.1\n'
            f'g > "greeting LOADED {age_ms}\\r\\n"\ng closed\ncounter agent.ended_links 1\n'
            "clock 0.05\ncounter agent.restarts 0\nh = accept agent\n"
            'h < "subscribe 0\\r\\n"\nh > "greeting LOADED 5200\\r\\n"\nup agent\n'
            f'h < "launch {TRACE} resolve 1\\r\\nx\\r\\n"\n'
        )
        assert agent.runs.open == {TRACE: made}

    run(work)


def test_an_unreadable_configuration_does_not_end_the_search_for_the_agent() -> None:
    """The configuration is read as a link handles an event; an exception left the link without a timer."""

    async def work(stand: Stand) -> None:
        agent, program = await agent_of(stand), stand.program

        def again(before: Config) -> Config:
            raise RuntimeError("no reader for it")

        (
            program.configuration_file.read_anew,
            program.configuration_file.stamp,
            program.configuration_file.seen_changed,
        ) = again, lambda: (1,), (1,)
        stand.servers["agent"].close()
        await stand.play("g break\ncounter agent.ended_links 1\n")

        async def refused(times: int) -> None:
            end = program.counters["agent.refused_links"] + times
            for _ in range(100):
                await stand.step(["clock", "0.05"], "")
                if program.counters["agent.refused_links"] >= end:
                    return
            raise AssertionError(f"no further attempt: {agent.link_actor.life.state}")

        await refused(5)  # the file is read after every third refused attempt
        assert program.counters["trouble.reload"] == program.counters["reload.refused"] == 1

    run(work)
