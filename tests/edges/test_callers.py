"""How long a member may take to answer a caller's write."""

from types import SimpleNamespace
from typing import Any

import pytest

from beechrock.core.requests import Request
from beechrock.edges.actions import Action
from beechrock.edges.callers import ANSWER_SHARE, Callers
from beechrock.edges.words import Write
from beechrock.interface import Idempotency

DEADLINE_S, BORN = 4.0, 100.0


def callers(clock_s: float, written: list[Write]) -> Callers:
    """Return the callers of a member, at this time of the module's clock, whose writes are noted."""

    def write(now: float, now_s: float, found: Write) -> list[Action]:
        written.append(found)
        return []

    keyed = SimpleNamespace(idempotency=Idempotency.KEYED, deadline_s=DEADLINE_S)
    module = SimpleNamespace(clock=lambda: clock_s, settings=SimpleNamespace(classes=[keyed]))
    inventory = SimpleNamespace(when_cut={("releases", "submit"): {"when_cut": "queue"}})
    part: Any = SimpleNamespace(
        inventory=inventory,
        module=module,
        key=b"",
        team=lambda request: "releases",
        post=lambda event: event(10.0, 0.0),
    )
    edge: Any = SimpleNamespace(write=write)
    return Callers(part, edge)


@pytest.mark.parametrize("waited_s", [0.0, 1.5])
def test_a_write_that_was_read_late_is_answered_by_the_due_time_of_its_writing(waited_s: float) -> None:
    """Its time counted from the reading, so that what a stopped node read late was answered too late."""
    written: list[Write] = []
    request = Request("trace", 0, "submit", BORN, b"x", lambda answer: None, nonce="k")
    assert callers(BORN + waited_s, written).takes(request, {}, lambda reply: None)
    assert [write.due_s for write in written] == [pytest.approx(10.0 + ANSWER_SHARE * DEADLINE_S - waited_s)]
