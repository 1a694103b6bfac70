"""Tests of the checker of edges' plays, on invented histories."""

from pathlib import Path
from typing import Any

import pytest

from beechrock.lab.edges_play import Play, Service


class History:
    """Stand-in for a fleet, which returns given events."""

    def __init__(self, *events: dict[str, Any]) -> None:
        self.given = events

    def events(self, event: str) -> list[dict[str, Any]]:
        return [found for found in self.given if found["event"] == event]

    def troubles(self) -> list[str]:
        return []


ACCEPTED = {"event": "edge.accepted", "receipt": "e/e1/x:1", "nonce": "q0"}
ENDED = {"event": "edge.ended", "receipt": "e/e1/x:1", "state": "discarded"}
APPLIED = {**ENDED, "state": "applied"}


@pytest.mark.parametrize(
    ("events", "ordered", "lost"),
    [
        ((ACCEPTED, ENDED), True, False),
        ((ACCEPTED, ENDED), False, True),  # It was discarded without an operator's order
        ((ACCEPTED, APPLIED), True, True),  # It was reported as applied, but never ran
        ((ACCEPTED,), True, True),
    ],
)
def test_an_accepted_write_that_never_ran_is_lost_unless_it_was_discarded_by_order(
    tmp_path: Path, events: tuple[dict[str, Any], ...], ordered: bool, lost: bool
) -> None:
    """Guards against a false alarm: a write in doubt that its operator discarded was reported as lost."""
    play = Play(tmp_path)
    play.service = Service()
    play.fleet = History(*events)  # type: ignore[assignment]
    play.accepted = ["q0"]
    play.discarded = {"e/e1/x:1"} if ordered else set()
    assert play.check() == (["lost: q0"] if lost else [])
