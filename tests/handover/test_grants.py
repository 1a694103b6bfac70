"""Reach of grants, and a key's earlier run after a later one that never began, without I/O."""

import pytest

from beechrock.core.idempotency import SLACK_S
from beechrock.handover import messages
from beechrock.handover.grant_requests import GRANT_EXTRA_S
from beechrock.handover.ownership import Decision, EarlierRun, KeyOwnership, PeerRole

WINDOW_S, LINGER_S = 2.0, 0.5
KEY, BODY = b"k" * 16, b"d" * 16


def pair() -> tuple[KeyOwnership[str], KeyOwnership[str]]:
    """Return a predecessor, and a successor that knows all of its claims."""
    old: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    new: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    old.role, new.role = PeerRole.SUCCESSOR, PeerRole.PREDECESSOR
    return old, new


def deliver(sender: KeyOwnership[str], receiver: KeyOwnership[str]) -> list[messages.Message]:
    """Deliver all queued messages of one process to the other, and return them."""
    sent, sender.outbox = sender.outbox, []
    for message in sent:
        receiver.receive(message, False)
    return sent


def attempt(claims: KeyOwnership[str], born: float) -> Decision:
    return claims.decide(KEY, BODY, born, born + WINDOW_S, f"{born}", born)


def request_and_grant(old: KeyOwnership[str], new: KeyOwnership[str], born: float) -> None:
    assert attempt(new, born) is Decision.WAIT
    deliver(new, old)
    deliver(old, new)
    assert new.grants.grants[KEY].uses == 1


def test_an_attempt_beyond_a_pending_grant_request_is_rejected() -> None:
    _, new = pair()
    assert attempt(new, 10.0) is Decision.WAIT
    assert new.decide(KEY, BODY, 10.0, 12.0 + GRANT_EXTRA_S, "further", 10.1) is Decision.WAIT
    assert new.decide(KEY, BODY, 10.0, 12.01 + GRANT_EXTRA_S, "too far", 10.1) is Decision.REJECT


def test_an_attempt_beyond_a_grant_in_use_is_rejected() -> None:
    old, new = pair()
    request_and_grant(old, new, 10.0)
    assert attempt(new, 10.0 + GRANT_EXTRA_S) is Decision.RUN
    assert attempt(new, 10.01 + GRANT_EXTRA_S) is Decision.REJECT


def test_a_run_after_the_previous_window_needs_a_new_grant() -> None:
    old, new = pair()
    request_and_grant(old, new, 10.0)
    new.claim_run(KEY, BODY, 12.0)
    new.end_run(KEY, True, "", b"r")
    new.finish_use(KEY)
    deliver(new, old)
    assert attempt(new, 12.0 + SLACK_S) is Decision.RUN  # a repeat of that run
    new.finish_use(KEY)
    assert attempt(new, 12.06) is Decision.WAIT
    assert [type(message) for message in deliver(new, old)] == [messages.GrantRequest]


def test_a_claim_that_exceeds_its_grant_is_sent() -> None:
    old, new = pair()
    request_and_grant(old, new, 10.0)
    new.claim_run(KEY, BODY, 14.0)
    assert (
        deliver(new, old) == [messages.KeyClaimed(KEY, BODY, 14.0)]
        and old.other_claims.claims[KEY].until_s == 14.0
    )


def test_returning_a_second_grant_keeps_the_first_run_known() -> None:
    """The first run is still open after its window when the key is requested again."""
    old, new = pair()
    request_and_grant(old, new, 10.0)
    new.claim_run(KEY, BODY, 12.0)
    new.finish_use(KEY)
    assert attempt(new, 12.06) is Decision.WAIT
    deliver(new, old)
    assert old.other_claims.claims[KEY].until_s == 14.06 + GRANT_EXTRA_S
    deliver(old, new)
    new.finish_use(KEY)  # its only attempt has ended
    assert deliver(new, old) == [messages.KeyReleased(KEY)]
    assert old.find_claim(KEY, 12.0) is not None and old.find_claim(KEY, 13.06) is None


def test_an_attempt_does_not_run_under_a_grant_that_went_back() -> None:
    """Two attempts shared a grant. The first never began, so the other process may run the key again."""
    old, new = pair()
    assert attempt(new, 13.0) is Decision.WAIT
    assert new.decide(KEY, BODY, 13.1, 15.1, "second", 13.1) is Decision.WAIT
    deliver(new, old)
    deliver(old, new)
    assert new.claim_run(KEY, BODY, 15.0)
    new.release(KEY, EarlierRun(BODY, 12.0))  # the key's earlier run counts again
    new.finish_use(KEY)
    deliver(new, old)
    assert old.decide(KEY, BODY, 14.0, 16.0, "", 14.0) is Decision.RUN
    assert not new.claim_run(KEY, BODY, 15.1)
    new.release(KEY, EarlierRun(BODY, 12.0))
    new.finish_use(KEY)
    deliver(new, old)
    assert old.find_claim(KEY, 12.0) is not None and attempt(new, 13.2) is Decision.WAIT


def test_a_key_is_held_past_its_window_only_until_its_run_ends() -> None:
    """Until then further attempts may use the whole grant, as the run may turn out never to have begun."""
    old, new = pair()
    assert attempt(new, 10.0) is Decision.WAIT
    assert new.decide(KEY, BODY, 10.2, 12.2, "a later one", 10.2) is Decision.WAIT
    deliver(new, old)
    deliver(old, new)
    new.claim_run(KEY, BODY, 12.0)
    deliver(new, old)
    assert old.find_claim(KEY, 12.2) is not None
    new.release(KEY)
    new.finish_use(KEY)
    new.claim_run(KEY, BODY, 12.2)  # the later attempt runs: the other process holds the key for it too
    assert deliver(new, old) == [] and old.find_claim(KEY, 12.2) is not None
    new.end_run(KEY, True, "", b"r")
    new.finish_use(KEY)
    assert [type(message) for message in deliver(new, old)] == [messages.KeyClaimed, messages.RunEnded]
    known = old.find_claim(KEY, 12.2)
    assert known is not None and known.result == b"r"
    assert old.find_claim(KEY, 12.26) is None and attempt(new, 12.26) is Decision.WAIT


def test_a_repeated_grant_request_extends_a_claim_whose_window_end_was_never_sent() -> None:
    """A successor of an earlier version never sends the end of its run's window."""
    old, new = pair()
    request_and_grant(old, new, 10.0)
    old.receive(messages.GrantRequest(KEY, BODY, 12.06, 15.06), False)
    assert old.find_claim(KEY, 15.06) is not None
    old.receive(messages.KeyReleased(KEY), False)
    assert old.find_claim(KEY, 12.0) is not None and old.find_claim(KEY, 13.06) is None


def test_a_second_run_that_never_began_keeps_the_first_known_at_both_processes() -> None:
    for side in PeerRole.PREDECESSOR, PeerRole.SUCCESSOR:
        old, new = pair()
        mine, other = (new, old) if side is PeerRole.PREDECESSOR else (old, new)
        if mine is new:
            request_and_grant(old, new, 10.0)
        mine.claim_run(KEY, BODY, 14.0)
        deliver(mine, other)
        mine.release(KEY, EarlierRun(BODY, 12.0))  # the key's earlier run counts again
        deliver(mine, other)
        known = other.find_claim(KEY, 12.0)
        assert (
            known is not None and known.ended and not known.succeeded and other.find_claim(KEY, 12.06) is None
        )
        assert (
            attempt(mine, 12.06) is (Decision.WAIT if mine is new else Decision.RUN)
            or mine.grants.grants[KEY].uses
        )


def test_doubt_lasts_exactly_as_long_as_a_lost_run_may_be_repeated() -> None:
    claims: KeyOwnership[str] = KeyOwnership(60.0, LINGER_S, 100, 1000)  # window of another class
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
    assert claims.decide(KEY, BODY, ends, ends + 60.0, "", ends) is Decision.REJECT  # in the longest window


def test_claims_over_capacity_cause_doubt_until_they_end() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 0, 1000)
    claims.role = PeerRole.PREDECESSOR
    claims.receive(messages.KeyClaimed(KEY, BODY, 12.0), False)
    assert attempt(claims, 12.0) is Decision.REJECT
    assert claims.decide(KEY, BODY, 12.06, 14.06, "", 12.06) is Decision.WAIT


def test_an_attempt_that_never_ran_keeps_the_run_of_an_earlier_process_known() -> None:
    """``old`` was a successor itself, so only ``other_claims`` contains the runs of its predecessor."""
    old, new = pair()
    old.receive(messages.KeyClaimed(KEY, BODY, 12.0), False)
    old.receive(messages.RunEnded(KEY, True, "", b"r"), False)
    old.claim_run(KEY, BODY, 14.06)
    deliver(old, new)
    old.release(KEY)
    deliver(old, new)
    new.on_peer_lost(12.1)
    known = new.find_claim(KEY, 11.9)
    assert known is not None and known.ended and new.find_claim(KEY, 12.06) is None


def test_an_attempt_of_an_earlier_window_shares_the_run_of_that_window() -> None:
    """After a key had run again, an attempt of its earlier window once got the later run's result."""
    old, new = pair()
    for until, result in ((12.0, b"first"), (14.06, b"second"), (16.12, b"third")):
        old.claim_run(KEY, BODY, until)
        old.end_run(KEY, True, "", result)
    deliver(old, new)
    for born, result in ((11.9, b"first"), (14.0, b"second"), (14.2, b"third")):
        known = new.find_claim(KEY, born)
        assert known is not None and known.result == result
    assert new.other_claims.result_bytes == len(b"firstsecondthird")
    new.sweep(12.0 + SLACK_S + LINGER_S + 0.01)  # no attempt of the first window can arrive any more
    assert [claim.result for claim in new.other_claims] == [b"second", b"third"]
    new.sweep(20.0)
    assert not len(new.other_claims) and new.other_claims.result_bytes == 0


def test_a_later_run_that_never_began_keeps_the_earlier_result() -> None:
    old, new = pair()
    old.claim_run(KEY, BODY, 12.0)
    old.end_run(KEY, True, "", b"first")
    old.claim_run(KEY, BODY, 14.06)
    old.release(KEY, EarlierRun(BODY, 12.0))
    deliver(old, new)
    known = new.find_claim(KEY, 11.9)
    assert known is not None and known.result == b"first" and new.find_claim(KEY, 12.06) is None
    assert len(new.other_claims) == 1 and new.other_claims.result_bytes == len(b"first")


def test_a_run_that_outlives_its_window_is_not_confused_with_the_next_run() -> None:
    old, new = pair()
    old.claim_run(KEY, BODY, 12.0)
    deliver(old, new)
    old.claim_run(KEY, BODY, 14.06, earlier_run_open=True)
    old.end_run(KEY, True, "", b"second")
    deliver(old, new)
    first, second = new.find_claim(KEY, 11.9), new.find_claim(KEY, 12.06)
    assert first is not None and first.ended and not first.succeeded
    assert second is not None and second.result == b"second"


@pytest.mark.parametrize("after", [12.06, 13.06 + GRANT_EXTRA_S])
def test_a_run_that_outlived_its_window_ends_at_the_other_process_on_a_new_grant(
    after: float,
) -> None:
    old, new = pair()
    request_and_grant(old, new, 10.0)
    new.claim_run(KEY, BODY, 12.0)
    new.finish_use(KEY)
    assert attempt(new, after) is Decision.WAIT
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
    assert claims.decide(KEY, BODY, 16.0, 18.0, "", 16.0) is Decision.REJECT  # over capacity
