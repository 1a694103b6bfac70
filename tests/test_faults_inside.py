"""Injected internal errors: each affects only the timer or request that it concerns."""

import pytest
from callers import request
from play import Stand, run, until
from test_closing import node

from beechrock.core.requests import Request
from beechrock.core.timer_wheel import TimerWheel
from beechrock.net.frame_codec import ANSWER, FAILED, REFUSED


def test_a_timer_that_raises_does_not_stop_other_timers() -> None:
    """Other timers of the same tick, and of later ticks that are due as well, fire in the next tick."""
    wheel, fired = TimerWheel(0.004, 50.0), list[int]()

    def fails() -> None:
        raise RuntimeError

    wheel.at(50.1, lambda: fired.append(1))
    wheel.at(50.1, fails)
    wheel.at(50.1, lambda: fired.append(2))
    cancelled = wheel.at(50.1, lambda: fired.append(3))
    wheel.at(50.2, lambda: fired.append(4))
    wheel.at(50.3, lambda: fired.append(5))
    with pytest.raises(RuntimeError):
        wheel.advance(50.25)
    cancelled.cancel()
    assert fired == [1] and wheel.next_due() <= 50.255
    wheel.advance(50.26)
    assert fired == [1, 2, 4]
    wheel.advance(50.4)
    assert fired == [1, 2, 4, 5] and wheel._armed == 0


def test_a_request_that_fails_on_receipt_is_answered_and_does_not_affect_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All three requests are read in one batch."""

    async def work(stand: Stand) -> None:
        _, [first] = await node(stand)
        module = stand.program.module
        take, batches = module.intake.receive, set[float]()

        def taken(asked: Request, events: list[object], now: float) -> None:
            batches.add(now)
            if asked.trace.endswith("3"):
                raise RuntimeError("put in")
            take(asked, events, now)  # type: ignore[arg-type]

        monkeypatch.setattr(module.intake, "receive", taken)
        first.send(request(2) + request(3) + request(4))
        await until(lambda: bool(first.answers()[ANSWER, 3]), lambda: f"{first.frames()}")
        assert module.table.last_id == 2 and len(batches) == 1
        stand.now += 10.0  # no agent runs the others, so they are refused at their deadline
        await first.answered()
        codes = {stream: payload[0] for kind, stream, payload in first.frames() if kind == ANSWER}
        assert codes == {2: REFUSED, 3: FAILED, 4: REFUSED}
        assert stand.program.counters["trouble.tick"] == 1
        assert module.table.open == 0 and module.table.counts.concurrent == 0

    run(work)


def test_a_request_that_the_module_never_received_is_answered_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work(stand: Stand) -> None:
        _, [caller] = await node(stand)
        module = stand.program.module
        decide, received = module.node.decide, list[object]()

        def fails(now: float, events: list[object]) -> list[object]:
            received.extend(events)
            if len(received) == len(events) > 0:
                raise RuntimeError("put in")
            return decide(now, events)  # type: ignore[arg-type,return-value]

        monkeypatch.setattr(module.node, "decide", fails)
        caller.send(request(2))
        await until(lambda: stand.program.counters["trouble.tick"] == 1, lambda: "not raised")
        await stand.step(["clock", "7.1"], "")
        await caller.answered()
        assert [payload[0] for kind, _, payload in caller.frames() if kind == ANSWER] == [FAILED]
        assert module.table.open == 0 and not module.table.by_id

    run(work)
