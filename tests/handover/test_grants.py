"""What a grant reaches, and what is left of a key's earlier run when a later one never began. No I/O."""

import pytest

from beechrock.core.idempotency import SLACK_S
from beechrock.handover import messages
from beechrock.handover.grant_requests import GRANT_EXTRA_S
from beechrock.handover.ownership import Decision, EarlierRun, KeyOwnership, PeerRole

WINDOW_S, LINGER_S = 2.0, 0.5
KEY, BODY = b"k" * 16, b"d" * 16


def pair() -> tuple[KeyOwnership[str], KeyOwnership[str]]:
    """A predecessor, and a successor that knows all that it claims."""
    old: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    new: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    old.role, new.role = PeerRole.SUCCESSOR, PeerRole.PREDECESSOR
    return old, new


def told(by: KeyOwnership[str], to: KeyOwnership[str]) -> list[messages.Message]:
    """Have all heard that was said; gives it."""
    said, by.outbox = by.outbox, []
    for message in said:
        to.receive(message, False)
    return said


def want(claims: KeyOwnership[str], born: float) -> Decision:
    return claims.decide(KEY, BODY, born, born + WINDOW_S, f"{born}", born)


def granted(old: KeyOwnership[str], new: KeyOwnership[str], born: float) -> None:
    assert want(new, born) is Decision.WAIT
    told(new, old)
    told(old, new)
    assert new.grants.grants[KEY].uses == 1


def test_an_attempt_beyond_a_pending_grant_request_is_rejected() -> None:
    _, new = pair()
    assert want(new, 10.0) is Decision.WAIT
    assert new.decide(KEY, BODY, 10.0, 12.0 + GRANT_EXTRA_S, "further", 10.1) is Decision.WAIT
    assert new.decide(KEY, BODY, 10.0, 12.01 + GRANT_EXTRA_S, "too far", 10.1) is Decision.REJECT


def test_an_attempt_beyond_a_grant_in_use_is_rejected() -> None:
    old, new = pair()
    granted(old, new, 10.0)
    assert want(new, 10.0 + GRANT_EXTRA_S) is Decision.RUN
    assert want(new, 10.01 + GRANT_EXTRA_S) is Decision.REJECT


def test_a_run_after_the_previous_window_needs_a_new_grant() -> None:
    old, new = pair()
    granted(old, new, 10.0)
    new.claim_run(KEY, BODY, 12.0)
    new.end_run(KEY, True, "", b"r")
    new.finish_use(KEY)
    told(new, old)
    assert want(new, 12.0 + SLACK_S) is Decision.RUN  # a repeat of that run
    new.finish_use(KEY)
    assert want(new, 12.06) is Decision.WAIT
    assert [type(message) for message in told(new, old)] == [messages.GrantRequest]


def test_a_claim_that_exceeds_its_grant_is_sent() -> None:
    old, new = pair()
    granted(old, new, 10.0)
    new.claim_run(KEY, BODY, 14.0)
    assert (
        told(new, old) == [messages.KeyClaimed(KEY, BODY, 14.0)]
        and old.other_claims.claims[KEY].until_s == 14.0
    )


def test_returning_a_second_grant_keeps_the_first_run_known() -> None:
    """The first run is still going on past its window as the key is asked for again."""
    old, new = pair()
    granted(old, new, 10.0)
    new.claim_run(KEY, BODY, 12.0)
    new.finish_use(KEY)
    assert want(new, 12.06) is Decision.WAIT
    told(new, old)
    assert old.other_claims.claims[KEY].until_s == 14.06 + GRANT_EXTRA_S
    told(old, new)
    new.finish_use(KEY)  # its only try has left
    assert told(new, old) == [messages.KeyReleased(KEY)]
    assert old.find_claim(KEY, 12.0) is not None and old.find_claim(KEY, 13.06) is None


def test_an_attempt_does_not_run_under_a_returned_grant() -> None:
    """Two tries had one grant; the first never began, and the other process takes the key for free again."""
    old, new = pair()
    assert want(new, 13.0) is Decision.WAIT
    assert new.decide(KEY, BODY, 13.1, 15.1, "second", 13.1) is Decision.WAIT
    told(new, old)
    told(old, new)
    assert new.claim_run(KEY, BODY, 15.0)
    new.release(KEY, EarlierRun(BODY, 12.0))  # the key table goes by the run before again
    new.finish_use(KEY)
    told(new, old)
    assert old.decide(KEY, BODY, 14.0, 16.0, "", 14.0) is Decision.RUN
    assert not new.claim_run(KEY, BODY, 15.1)
    new.release(KEY, EarlierRun(BODY, 12.0))
    new.finish_use(KEY)
    told(new, old)
    assert old.find_claim(KEY, 12.0) is not None and want(new, 13.2) is Decision.WAIT


def test_a_grant_holds_the_key_past_the_window_only_until_the_run_ends() -> None:
    """Until then further tries may go by the whole grant, should the run turn out never to have begun."""
    old, new = pair()
    assert want(new, 10.0) is Decision.WAIT
    assert new.decide(KEY, BODY, 10.2, 12.2, "a later one", 10.2) is Decision.WAIT
    told(new, old)
    told(old, new)
    new.claim_run(KEY, BODY, 12.0)
    told(new, old)
    assert old.find_claim(KEY, 12.2) is not None
    new.release(KEY)
    new.finish_use(KEY)
    new.claim_run(KEY, BODY, 12.2)  # the later one runs: the other process holds the key for it as well
    assert told(new, old) == [] and old.find_claim(KEY, 12.2) is not None
    new.end_run(KEY, True, "", b"r")
    new.finish_use(KEY)
    assert [type(message) for message in told(new, old)] == [messages.KeyClaimed, messages.RunEnded]
    known = old.find_claim(KEY, 12.2)
    assert known is not None and known.result == b"r"
    assert old.find_claim(KEY, 12.26) is None and want(new, 12.26) is Decision.WAIT


def test_a_repeated_grant_request_extends_a_claim_whose_window_end_was_never_sent() -> None:
    """As a successor of a version asks that never tells the window of its run."""
    old, new = pair()
    granted(old, new, 10.0)
    old.receive(messages.GrantRequest(KEY, BODY, 12.06, 15.06), False)
    assert old.find_claim(KEY, 15.06) is not None
    old.receive(messages.KeyReleased(KEY), False)
    assert old.find_claim(KEY, 12.0) is not None and old.find_claim(KEY, 13.06) is None


def test_a_second_run_that_never_began_keeps_the_first_known_at_both_processes() -> None:
    for side in PeerRole.PREDECESSOR, PeerRole.SUCCESSOR:
        old, new = pair()
        mine, other = (new, old) if side is PeerRole.PREDECESSOR else (old, new)
        if mine is new:
            granted(old, new, 10.0)
        mine.claim_run(KEY, BODY, 14.0)
        told(mine, other)
        mine.release(KEY, EarlierRun(BODY, 12.0))  # the key table goes by the run before again
        told(mine, other)
        known = other.find_claim(KEY, 12.0)
        assert (
            known is not None and known.ended and not known.succeeded and other.find_claim(KEY, 12.06) is None
        )
        assert (
            want(mine, 12.06) is (Decision.WAIT if mine is new else Decision.RUN)
            or mine.grants.grants[KEY].uses
        )


def test_doubt_lasts_exactly_as_long_as_a_lost_run_may_be_repeated() -> None:
    claims: KeyOwnership[str] = KeyOwnership(60.0, LINGER_S, 100, 1000)  # of another class
    claims.claims_missing = True
    claims.on_peer_lost(10.0)
    ends = 10.0 + WINDOW_S + SLACK_S
    for born, now, found in (
        (10.0, 10.0, Decision.REJECT),
        (ends - 0.001, ends, Decision.REJECT),
        (ends - 0.001, ends + LINGER_S, Decision.REJECT),
        (ends + 0.001, ends + 0.001, Decision.RUN),
    ):
        assert claims.decide(KEY, BODY, born, born + WINDOW_S, "", now) is found
    assert claims.decide(KEY, BODY, ends, ends + 60.0, "", ends) is Decision.REJECT  # of the longest window


def test_claims_over_capacity_cause_doubt_until_they_end() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 0, 1000)
    claims.role = PeerRole.PREDECESSOR
    claims.receive(messages.KeyClaimed(KEY, BODY, 12.0), False)
    assert want(claims, 12.0) is Decision.REJECT
    assert claims.decide(KEY, BODY, 12.06, 14.06, "", 12.06) is Decision.WAIT


def test_an_attempt_that_never_ran_keeps_the_run_of_an_earlier_process_known() -> None:
    """``old`` was itself a successor: what its predecessor ran stands among the others' claims alone."""
    old, new = pair()
    old.receive(messages.KeyClaimed(KEY, BODY, 12.0), False)
    old.receive(messages.RunEnded(KEY, True, "", b"r"), False)
    old.claim_run(KEY, BODY, 14.06)
    told(old, new)
    old.release(KEY)
    told(old, new)
    new.on_peer_lost(12.1)
    known = new.find_claim(KEY, 11.9)
    assert known is not None and known.ended and new.find_claim(KEY, 12.06) is None


def test_an_attempt_of_an_earlier_window_shares_the_run_of_that_window() -> None:
    """Where a key had run again, a try of the run before got the later run's result."""
    old, new = pair()
    for until, result in ((12.0, b"first"), (14.06, b"second"), (16.12, b"third")):
        old.claim_run(KEY, BODY, until)
        old.end_run(KEY, True, "", result)
    told(old, new)
    for born, result in ((11.9, b"first"), (14.0, b"second"), (14.2, b"third")):
        known = new.find_claim(KEY, born)
        assert known is not None and known.result == result
    assert new.other_claims.result_bytes == len(b"firstsecondthird")
    new.sweep(12.0 + SLACK_S + LINGER_S + 0.01)  # no try of the first window can be read any more
    assert [claim.result for claim in new.other_claims] == [b"second", b"third"]
    new.sweep(20.0)
    assert not len(new.other_claims) and new.other_claims.result_bytes == 0


def test_a_later_run_that_never_began_keeps_the_earlier_result() -> None:
    old, new = pair()
    old.claim_run(KEY, BODY, 12.0)
    old.end_run(KEY, True, "", b"first")
    old.claim_run(KEY, BODY, 14.06)
    old.release(KEY, EarlierRun(BODY, 12.0))
    told(old, new)
    known = new.find_claim(KEY, 11.9)
    assert known is not None and known.result == b"first" and new.find_claim(KEY, 12.06) is None
    assert len(new.other_claims) == 1 and new.other_claims.result_bytes == len(b"first")


def test_a_run_that_outlives_its_window_is_not_confused_with_the_next_run() -> None:
    old, new = pair()
    old.claim_run(KEY, BODY, 12.0)
    told(old, new)
    old.claim_run(KEY, BODY, 14.06, earlier_run_open=True)
    old.end_run(KEY, True, "", b"second")
    told(old, new)
    first, second = new.find_claim(KEY, 11.9), new.find_claim(KEY, 12.06)
    assert first is not None and first.ended and not first.succeeded
    assert second is not None and second.result == b"second"


@pytest.mark.parametrize("after", [12.06, 13.06 + GRANT_EXTRA_S])
def test_granting_a_key_again_ends_a_run_that_outlived_its_window(
    after: float,
) -> None:
    old, new = pair()
    granted(old, new, 10.0)
    new.claim_run(KEY, BODY, 12.0)
    new.finish_use(KEY)
    assert want(new, after) is Decision.WAIT
    outcomes = [old.receive(message, False) for message in new.outbox]
    assert [claim.until_s for outcome in outcomes for claim in outcome.ended] == [12.0]
    assert old.find_claim(KEY, 12.0) is not None and old.find_claim(KEY, after) is not None


def test_replaced_claims_count_towards_the_capacity() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 2, 1000)
    claims.role = PeerRole.PREDECESSOR
    for until in (12.0, 14.06, 16.12):
        claims.receive(messages.KeyClaimed(KEY, BODY, until), False)
        claims.receive(messages.RunEnded(KEY, True), False)
    assert len(claims.other_claims) == 2
    assert claims.decide(KEY, BODY, 16.0, 18.0, "", 16.0) is Decision.REJECT  # its run has no room
