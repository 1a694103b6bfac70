"""Tests of the keys that the marks keep while the wall clock is stepped."""

import pytest

from beechrock.edges.causal import NOTHING, Dot
from beechrock.edges.marks import Marks, Verdict
from beechrock.edges.words import Entry, State


@pytest.mark.parametrize("step_s", [-3600.0, -2.0, 2.0, 3600.0])
def test_a_step_of_the_wall_clock_forgets_no_key_that_may_come_again(
    step_s: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("beechrock.edges.marks.MAX_KEYS", 1)  # Keys are only forgotten when the table is full
    begun_s = 1_700_000_000.0
    marks = Marks()
    first, other = (
        Entry(
            Dot("e/m/1", n), NOTHING, "t", "s", f"key{n}", b"", b"digest", keep_s=keep_s, accepted_at=begun_s
        )
        for n, keep_s in ((1, 600.0), (2, 86_400.0))
    )
    marks.intend(first, begun_s)
    marks.end(first, State.APPLIED, ran=True)
    now_s = begun_s + 600.0 + step_s  # By the stepped clock; a retry of the write may still arrive
    assert marks.judge(other, False, now_s).verdict is not Verdict.RUN
    assert marks.key(first) in marks.keys
