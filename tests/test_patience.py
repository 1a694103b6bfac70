"""Callers that state how long they wait: the request is due then, not at its class's deadline."""

from dataclasses import replace

import pytest
from desk import Desk, request, verdicts
from play import Stand, run

from beechrock.core.requests import RequestReceived, Verdict

ASK = (
    'a = connect frames\na > {01 00000001 07 05"route" 0007"resolve" 05"trace" 0010"0000000000000001" '
    '04"born" 000d"1700000000000" 06"client" 0001"4" 04"size" 0004"24.5" 05"order" 0006"0.6250" '
    '08"patience" 0003"500" "one"}\n'
)
UP = 'g = accept agent\ng < "subscribe 0\\r\\n"\ng > "greeting LOADED 60000\\r\\n"\nup agent\n'


@pytest.mark.parametrize(("passed_on", "expected"), [(True, [Verdict.FAILED]), (False, [])])
def test_a_running_try_is_answered_when_its_caller_stops_waiting(
    passed_on: bool,
    expected: list[Verdict],
) -> None:
    desk = Desk()
    desk.actor.intake.settings = replace(desk.actor.settings, propagates_deadline=passed_on)
    trace = f"patient-{passed_on}"
    tried = request(trace, nonce="k")
    tried.patience_s = 0.5
    desk.tell(RequestReceived(tried))
    assert trace in desk.launched()
    desk.tell(after=0.4)
    assert not verdicts(trace)
    desk.tell(after=0.1)
    desk.tell(after=0.03)
    assert verdicts(trace) == expected


def test_a_try_with_no_patience_left_is_answered_in_the_batch_that_reads_it() -> None:
    desk = Desk()
    desk.actor.intake.settings = replace(desk.actor.settings, propagates_deadline=True)
    tried = request("late", nonce="k", born=99.0)
    tried.patience_s = 0.9
    desk.tell(RequestReceived(tried))
    assert len(verdicts("late")) == 1 and not desk.launched()


def test_a_frame_carries_the_patience_in_milliseconds() -> None:
    async def work(stand: Stand) -> None:
        await stand.open()
        module = stand.program.module
        module.intake.settings = replace(module.settings, propagates_deadline=True)
        await stand.play(UP + ASK + 'g < "launch 0000000000000001 resolve 3\\r\\none\\r\\n"\n')
        (tried,) = module.table.by_id.values()
        assert tried.patience_s == 0.5 and module.intake.due_after_s(tried) == 0.5

    run(work)
