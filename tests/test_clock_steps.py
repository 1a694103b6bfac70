"""A whole node on loopback whose wall clock is stepped, at each stage of a request."""

from pathlib import Path

import pytest
from clock_requests import (
    DUE_S,
    OK,
    STEPS,
    WINDOW_S,
    advance,
    counter,
    new_request,
    open_with_agent,
    request_frame,
)
from pair import LAUNCH, PASS, UP, Pair
from pair import run as run_pair
from play import Stand, inventory_of, run
from test_exchanges import open_both

from beechrock.core.clock_offset import TOLERANCE_S

ANSWER_LATEST_S = 0.05  # longest time from a request's time limit to its answer, in seconds
FAILED = 'c%d < {02 00000001 0d 01 06"advice" 0006"0.0000"}\n'
REFUSED = 'c%d ... 05"pause" 0004"1000"\n'


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("stage", ["unread", "running", "answered", "repeated"])
def test_a_key_runs_once_in_its_window_and_again_after_it_whenever_the_clock_is_stepped(
    step: float, stage: str
) -> None:
    async def work(stand: Stand) -> None:
        await open_with_agent(stand)

        def step_at(reached: str) -> None:
            stand.step_s += step * (reached == stage)

        await advance(stand, 3.0)
        first = new_request(stand, 1, 1)
        step_at("unread")
        await stand.play(first + LAUNCH % 1)
        step_at("running")
        await advance(stand, 1.0)
        await stand.play(PASS % (1, 1) + OK % 1)
        step_at("answered")
        await advance(stand, 3.0)
        repeat = new_request(stand, 2, 1)
        step_at("repeated")  # the repeat is stamped before the step and read after it
        await stand.play(repeat + OK % 2)
        await advance(stand, WINDOW_S - 4.1)
        await stand.play(new_request(stand, 3, 1) + OK % 3)
        assert counter(stand, "sent.launches") == 1 and not counter(stand, "intake.born_far_off")
        await advance(stand, 0.2)
        await stand.play(new_request(stand, 4, 1) + LAUNCH % 4)
        assert counter(stand, "clock.steps") == 1

    run(work)


@pytest.mark.parametrize("stage", ["read at once", "read late"])
def test_a_key_of_uncertain_birth_is_kept_from_its_latest_possible_birth(stage: str) -> None:
    """Two offsets explain the stamp; by the old one the window ends 2 s sooner, and the aim has passed."""

    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 5.0)
        stand.step_s -= 2.0
        await advance(stand, 0.5)
        request = new_request(stand, 1, 1)  # by the old offset the request is 2 s older
        if stage == "read late":
            await advance(stand, 0.4)
        await stand.play(request + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
        await advance(stand, WINDOW_S - 0.4 * (stage == "read late") - 0.05)
        await stand.play(new_request(stand, 2, 1) + OK % 2)
        assert counter(stand, "sent.launches") == 1
        await advance(stand, 0.2)
        await stand.play(new_request(stand, 3, 1) + LAUNCH % 3)

    run(work)


def test_an_idle_node_notices_a_step_long_before_its_next_request() -> None:
    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 2.0)
        stand.step_s -= 2.0
        await advance(stand, 4.0)
        await stand.play(new_request(stand, 1, 1) + LAUNCH % 1)
        [request] = stand.program.module.table.by_id.values()
        assert counter(stand, "clock.steps") == 1 and not request.later_s and not request.earlier_s

    run(work)


def test_a_repeat_of_uncertain_birth_is_recognised_by_its_earliest_possible_birth() -> None:
    """The repeat is stamped in the window and read after it; by the new offset it would be a new request."""

    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await stand.play(new_request(stand, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
        await advance(stand, WINDOW_S - 0.5)
        repeat = new_request(stand, 2, 1)
        await advance(stand, 1.0)
        stand.step_s -= 2.0
        await advance(stand, 1.1)
        await stand.play(repeat + OK % 2)
        assert counter(stand, "sent.launches") == 1

    run(work)


def test_a_request_of_uncertain_birth_is_answered_by_its_earliest_possible_deadline() -> None:
    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 5.0)
        stand.step_s -= 2.0
        await advance(stand, 0.5)
        await stand.play(new_request(stand, 1, 1) + LAUNCH % 1)
        await advance(stand, DUE_S - 2.0 - TOLERANCE_S)
        assert not counter(stand, "answered.failed")
        await advance(stand, TOLERANCE_S + ANSWER_LATEST_S)
        await stand.play('c1 ... "out of time"\n')
        assert counter(stand, "clock.cut_short") == 1

    run(work)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("stage", ["unread", "running", "calling"])
def test_a_request_that_never_finishes_is_answered_at_its_deadline_and_not_before(
    step: float, stage: str
) -> None:
    """The timer wheel's timers fire on time as well: a step back once stopped all of them."""

    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 3.0)
        first = new_request(stand, 1, 1, "resolve")  # with a deadline of 7 s
        other = new_request(stand, 2, 2)
        if stage == "unread":
            stand.step_s += step
        await stand.play(first + LAUNCH.replace("submit", "resolve") % 1 + other + LAUNCH % 2)
        if stage == "running":
            stand.step_s += step
        await advance(stand, 1.0)
        await stand.play(
            'g > "request 1 0000000000000001 1\\r\\nc\\r\\n"\nl = accept ledger\n'
            'l ... "post 0000000000000001 780 1\\r\\nc\\r\\n"\n'
        )
        if stage == "calling":
            stand.step_s += step
        await advance(stand, 0.7)
        assert not counter(stand, "calls.timeout")
        await stand.play(
            'clock 0.1\nl < "abandon 0000000000000001\\r\\n"\n'  # after the call's limit of 780 ms
            'g < "forgo 0000000000000001 1\\r\\n"\n'
        )
        await advance(stand, DUE_S - 1.8 - TOLERANCE_S - 0.02)
        assert not counter(stand, "answered.failed")
        await stand.play(f"clock {TOLERANCE_S + 0.02 + ANSWER_LATEST_S}\n" + FAILED % 2)
        await advance(stand, 7.0 - DUE_S - ANSWER_LATEST_S)
        await stand.play(f"clock {ANSWER_LATEST_S}\n" + 'c1 ... 08"terminal" 0001"1"\n')
        assert not counter(stand, "intake.born_far_off")

    run(work)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_does_not_change_the_grace_period_of_a_drain(step: float) -> None:
    async def work(stand: Stand) -> None:
        await open_with_agent(stand)
        await advance(stand, 1.0)
        await stand.play("leave\n")
        stand.step_s += step
        await advance(stand, 1.0)  # half of the grace period of 2 s
        await stand.play(new_request(stand, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
        await advance(stand, 1.05)
        await stand.play(new_request(stand, 2, 2) + REFUSED % 2)
        assert counter(stand, "sent.launches") == 1

    run(work)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_changes_neither_the_deadline_nor_the_key_window_of_an_scgi_request(step: float) -> None:
    async def work(stand: Stand) -> None:
        await open_both(stand)
        await stand.play(
            UP + 'up agent\na = connect scgi\na ask pack releases x k1\ns = accept server\ns ... "x"\n'
        )
        stand.step_s += step
        await advance(stand, DUE_S - 0.1)
        assert not counter(stand, "answered.failed")
        await advance(stand, 0.1 + ANSWER_LATEST_S)
        await stand.play(
            "a answered 500\ns closed\nb = connect scgi\nb ask pack releases x k1\nb answered 500\n"
        )
        await advance(stand, WINDOW_S - DUE_S - 0.1 - ANSWER_LATEST_S)
        await stand.play("c = connect scgi\nc ask pack releases x k1\nc answered 500\n")
        assert counter(stand, "sent.launches") == 1

    run(work)


@pytest.mark.parametrize("step", STEPS)
def test_a_step_gives_a_team_no_second_budget_and_locks_it_out_for_no_longer_than_the_period(
    step: float,
) -> None:
    """The budget's periods of 20 s, of which one begins at the start, are not moved by the step."""
    contract = {
        "share": 0.3,
        "rate": 50,
        "aim_ms": 1800,
        "due_ms": 3600,
        "effect": "safe",
        "team": "releases",
        "service": "resolve",
    }

    async def work(stand: Stand) -> None:
        host, port = await stand.listen("server")
        await stand.open(
            inventory_of(
                {"cores": 2, "memory_mb": 60},
                {
                    "teams": {"releases": {}},
                    "services": {"resolve": {"upstreams": [f"{host}:{port}"]}},
                    "contracts": {"a": contract},
                    "budgets": {"b": {"team": "releases", "amount": 2, "period_s": 20}},
                },
            )
        )
        number = 0

        async def spend(count: int) -> None:
            """Check that ``count`` requests are served now, and that the next one is refused."""
            nonlocal number
            for index in range(count + 1):
                number += 1
                await stand.play(f"c{number} = connect scgi\nc{number} ask resolve releases x\n")
                if index < count:
                    await stand.play(
                        f's{number} = accept server\ns{number} ... "x"\n'
                        f's{number} > "Status: 200 OK\\r\\n\\r\\nok"\ns{number} end\n'
                    )
                await stand.play(f"c{number} answered {200 if index < count else 503}\n")

        await advance(stand, 1.0)
        await spend(2)
        stand.step_s += step
        await advance(stand, 18.0)
        await spend(0)
        await advance(stand, 1.5)
        await spend(2)
        await advance(stand, 10.0)
        await spend(0)

    run(work)


@pytest.mark.parametrize("step", STEPS)
def test_a_claim_means_the_same_moment_in_a_process_that_started_after_the_step(
    step: float, tmp_path: Path
) -> None:
    """The new process's steady time begins at the stepped Unix time: claims are sent as monotonic times."""

    async def work(pair: Pair) -> None:
        old = await pair.start()
        await pair.serving(old)
        await old.play(new_request(old, 1, 1) + LAUNCH % 1 + PASS % (1, 1) + OK % 1)
        old.step_s += step
        new = Stand()
        new.now, new.origin_s = old.now + step, old.origin_s + step
        new = await pair.start(stand=new)
        await pair.following(old, new)
        for stand in (old, new):
            await advance(stand, WINDOW_S - 0.1)
        assert old.program.frames is not None
        old.program.frames.pause()  # the new process accepts new connections
        await new.play(new_request(new, 2, 1) + OK % 2)
        assert not counter(new, "sent.launches")
        for stand in (old, new):
            await advance(stand, 0.2)
        await new.play(new_request(new, 3, 1) + LAUNCH % 3)
        # A stamp that no offset explains is answered without a question to the other process.
        before = counter(old, "handover.asked")
        await new.play(
            f'c5 = connect frames\nc5 > {request_frame(0.0, 5, 5)}c5 ... "born: too far from now"\n'
        )
        assert counter(old, "handover.asked") == before > 0

    run_pair(work, tmp_path)
