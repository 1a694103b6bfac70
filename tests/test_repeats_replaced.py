"""Keys whose entry a later request replaced: a retry from the first window, read late, must not run."""

from collections.abc import Callable

import pytest
from desk import SAID, Desk, request, verdicts
from test_repeats import BELOW, empty

from beechrock import interface as api
from beechrock.core.idempotency import IdempotencyTable
from beechrock.core.requests import Request, RequestCancelled, RequestReceived, RunEnded, Verdict

FAILED, SERVED = Verdict.FAILED, Verdict.SERVED
PAST_S = 30.2  # longer than the window


def ran(desk: Desk) -> None:
    """Run the first request of the key to its end."""
    desk.tell(RequestReceived(request("first", "n", born=desk.now)))
    desk.tell(RunEnded("first", api.Outcome.OK, 0.1, b"first"))


def still_runs(desk: Desk) -> None:
    desk.tell(RequestReceived(request("first", "n", born=desk.now)))


def second_runs(desk: Desk) -> None:
    desk.tell(RequestReceived(request("second", "n", born=desk.now)), after=0.01)


def second_ran(desk: Desk) -> None:
    second_runs(desk)
    desk.tell(RunEnded("second", api.Outcome.OK, 0.1, b"second"))


def second_moot(desk: Desk) -> None:
    second_runs(desk)
    desk.tell(RunEnded("second", api.Outcome.MOOT, 0.1))


def second_rejected(desk: Desk) -> None:
    second_runs(desk)
    desk.tell(RunEnded("second", api.Outcome.REJECTED, 0.1))


def second_held(desk: Desk) -> None:
    for place in range(20):  # keeps the cores busy
        desk.tell(RequestReceived(request(f"{place}", klass=0, born=desk.now)))
    second_runs(desk)
    assert "second" not in desk.launched()


def second_gone(desk: Desk) -> None:
    second_held(desk)
    desk.tell(RequestCancelled(desk.actor.table.by_trace["second"]))


SECOND = [second_runs, second_ran, second_moot, second_rejected, second_held, second_gone]


@pytest.mark.parametrize("second", SECOND)
@pytest.mark.parametrize("trimmed", [False, True])
def test_a_late_try_gets_the_outcome_of_the_run_of_its_own_window(
    second: Callable[[Desk], None],
    trimmed: bool,
) -> None:
    desk = Desk(**BELOW)
    ran(desk)
    desk.now += PAST_S
    second(desk)
    if trimmed:
        desk.actor.idempotency.trim(0)
    desk.tell(RequestReceived(request("late", "n", born=desk.now - 0.5)))
    assert verdicts("late") == [FAILED if trimmed else SERVED]
    assert SAID["late"][0].body == (b"" if trimmed else b"first")
    if "second" in desk.actor.table.by_trace and not desk.actor.table.by_trace["second"].running:
        desk.tell(RequestCancelled(desk.actor.table.by_trace["second"]))
    empty(desk)
    assert "late" not in desk.launched()


@pytest.mark.parametrize("second", SECOND)
def test_a_late_try_waits_for_the_first_run_if_that_still_runs(second: Callable[[Desk], None]) -> None:
    desk = Desk(**BELOW)
    still_runs(desk)
    desk.now += PAST_S
    second(desk)
    desk.tell(RequestReceived(request("late", "n", born=desk.now - 0.5)))
    assert "late" not in desk.launched()
    desk.tell(RunEnded("first", api.Outcome.OK, 30.0, b"first"))
    empty(desk)
    assert "late" not in desk.launched() and [answer.body for answer in SAID["late"]] == [b"first"]


@pytest.mark.parametrize("third", [second_moot, second_rejected, second_gone])
def test_after_two_replacements_each_late_try_is_a_repeat_of_the_run_of_its_window(
    third: Callable[[Desk], None],
) -> None:
    table, tries = (
        IdempotencyTable(10, linger_s=10.0),
        [request(f"t{n}", "n", born=100.0 + n) for n in range(4)],
    )
    for at, one in enumerate(tries[:3]):
        assert table.remember(one, 100.5 + at, 100.0 + at)
    for forgotten in (None, tries[2]):
        if forgotten is not None:
            table.forget(forgotten)
        assert table.find(request("late", "n", born=100.3)) is tries[0]
        assert table.find(request("late", "n", born=101.3)) is tries[1]
    desk = Desk(**BELOW)
    ran(desk)
    desk.now += PAST_S
    desk.tell(RequestReceived(request("between", "n", born=desk.now)))
    desk.tell(RunEnded("between", api.Outcome.OK, 0.1, b"between"))
    desk.now += PAST_S
    third(desk)
    desk.tell(RequestReceived(request("late", "n", born=desk.now - 0.5)))
    assert "late" not in desk.launched() and [answer.body for answer in SAID["late"]] == [b"between"]


def test_a_full_table_that_dropped_a_run_refuses_a_late_try_of_an_unknown_key() -> None:
    desk = Desk(**BELOW)
    ran(desk)
    desk.now += PAST_S
    desk.actor.idempotency.capacity = 1
    # takes the lingering entry's place
    desk.tell(RequestReceived(request("other", "another", born=desk.now)))
    desk.actor.idempotency.capacity = 100
    desk.tell(RequestReceived(request("late", "n", born=desk.now - 0.5)))
    assert desk.launched() == ["first", "other"] and verdicts("late") == [Verdict.REFUSED]
    desk.tell(RequestReceived(request("fresh", "n", born=desk.now)))
    assert desk.launched()[-1] == "fresh"


class PartnerSpy:
    """A partner that lets every request run, and records the traces whose claims are released."""

    def __init__(self) -> None:
        self.released: list[str] = []

    def request_run(self, request: Request) -> bool:
        return True

    def find_proxy(self, request: Request) -> Request | None:
        return None

    def claim_run(self, request: Request, until: float) -> bool:
        return True

    def release(self, request: Request) -> None:
        self.released.append(request.trace)

    def finish(self, request: Request, held: bool) -> None:
        """Do nothing."""


def test_the_rejection_of_a_replaced_run_does_not_release_the_claim_of_the_newer_one() -> None:
    desk, spy = Desk(**BELOW), PartnerSpy()
    desk.actor.ports.partner = spy
    still_runs(desk)
    desk.now += PAST_S
    second_runs(desk)
    desk.tell(RunEnded("first", api.Outcome.REJECTED, 30.0))
    assert spy.released == []
    desk.tell(RunEnded("second", api.Outcome.REJECTED, 0.1))
    assert spy.released == ["second"]
