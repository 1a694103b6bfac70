"""How long a member may take to answer a caller's write."""

from types import SimpleNamespace
from typing import Any

import pytest

from beechrock.core.requests import Request
from beechrock.edges.actions import Action
from beechrock.edges.member import ANSWER_SHARE, Member
from beechrock.edges.words import Write
from beechrock.interface import Idempotency

DEADLINE_S, BORN = 4.0, 100.0


def member(clock_s: float, written: list[Write]) -> Any:
    """Return the parts of a member that a caller's write needs, at this time of the module's clock."""

    def write(now: float, now_s: float, found: Write) -> list[Action]:
        written.append(found)
        return []

    keyed = SimpleNamespace(idempotency=Idempotency.KEYED, deadline_s=DEADLINE_S)
    module = SimpleNamespace(clock=lambda: clock_s, settings=SimpleNamespace(classes=[keyed]))
    inventory = SimpleNamespace(when_cut={("releases", "submit"): {"when_cut": "queue"}})
    part = SimpleNamespace(
        inventory=inventory,
        module=module,
        key=b"",
        team=lambda request: "releases",
        post=lambda event: event(10.0, 0.0),
    )
    return SimpleNamespace(part=part, edge=SimpleNamespace(write=write), refs=0, callers={}, ref_of=id)


@pytest.mark.parametrize("waited_s", [0.0, 1.5])
def test_a_write_that_was_read_late_is_answered_by_the_due_time_of_its_writing(waited_s: float) -> None:
    """Its time counted from the reading, so that what a stopped node read late was answered too late."""
    written: list[Write] = []
    request = Request("trace", 0, "submit", BORN, b"x", lambda answer: None, nonce="k")
    assert Member.takes(member(BORN + waited_s, written), request, {}, lambda reply: None)
    assert [write.due_s for write in written] == [pytest.approx(10.0 + ANSWER_SHARE * DEADLINE_S - waited_s)]
