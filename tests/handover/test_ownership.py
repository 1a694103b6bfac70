"""Key ownership without I/O: random histories with invariants, and tests of single rules."""

import pytest
from claim_processes import BODY, KEYS, LINGER_S, WINDOW_S, Process, World

from beechrock.core.idempotency import SLACK_S
from beechrock.handover import messages
from beechrock.handover.claim_table import Claim
from beechrock.handover.grant_requests import GRANT_EXTRA_S, GRANT_TIMEOUT_S
from beechrock.handover.ownership import Decision, KeyOwnership, Outcome, PeerRole


class Replacement:
    """An old process and sometimes a new one, under random events."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.old = Process(world)
        self.new: Process | None = None

    def step(self) -> None:
        draw = self.world.draw
        self.world.now += draw.random() * 0.05
        process = draw.choice([process for process in (self.old, self.new) if process is not None])
        match draw.choice(["try", "try", "try", "hear", "hear", "hear", "end", "time", "turn"]):
            case "try":
                process.attempt(draw.choice(KEYS), self.world.now - draw.random() ** 3 * LINGER_S)
            case "hear" if process.inbox:
                process.receive_next()
            case "end":
                process.end_one()
            case "time":
                process.claims.expired_waits(self.world.now)
                process.claims.sweep(self.world.now)
            case "turn" if draw.random() < 0.15:
                self.turn()

    def turn(self) -> None:
        """Start a new process, break the channel, or end either process."""
        draw, old, new = self.world.draw, self.old, self.new
        if new is None:
            if self.world.now >= old.claims.doubt.until_s:  # a process in doubt copies no claims
                self.new = Process(self.world)
                old.copy_to(self.new)
        elif draw.random() < 0.4:
            old.break_channel(new)
            old.copy_to(new, draw.choice([1.0, 1.0, draw.random()]))
            if new.claims.claims_missing:
                new.drop_peer()
                self.old, self.new = new, None
        elif draw.random() < 0.7:  # the old process ends, with messages to it unread
            new.drop_peer()
            self.old, self.new = new, None
        else:
            old.drop_peer()
            self.new = None

    def check(self) -> None:
        roles = {self.old: PeerRole.ABSENT}
        if self.new is not None:
            roles = {self.old: PeerRole.SUCCESSOR, self.new: PeerRole.PREDECESSOR}
        for process, role in roles.items():
            claims = process.claims
            waiting = sum(len(pending.attempts) for pending in claims.requests.pending.values())
            assert not claims.outbox and claims.requests.waiting == waiting
            assert claims.role is role


# The seeds from 484 on once ran a key twice.
@pytest.mark.parametrize("seed", [*range(150), 484, 690, 1554, 1728, 2084, 2606, 3097, 4068])
def test_no_key_runs_twice_in_random_histories(seed: int) -> None:
    world = World(seed)
    replacement = Replacement(world)
    for _ in range(400):
        replacement.step()
        replacement.check()
    assert sum(map(len, world.runs.values())) > 5


def test_an_unanswered_grant_request_rejects_its_attempts_and_a_late_grant_is_returned() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.role = PeerRole.PREDECESSOR
    assert claims.decide(KEYS[0], BODY, 1.0, 3.0, "a", 1.0) is Decision.WAIT
    assert claims.decide(KEYS[0], BODY, 1.0, 3.0, "b", 1.1) is Decision.WAIT
    assert claims.outbox == [
        messages.GrantRequest(KEYS[0], BODY, 1.0, 3.0 + GRANT_EXTRA_S)
    ]  # one for both attempts
    assert claims.expired_waits(1.0 + GRANT_TIMEOUT_S) == ["a", "b"] and claims.requests.waiting == 0
    assert claims.decide(KEYS[0], BODY, 1.0, 3.0, "c", 1.0 + GRANT_TIMEOUT_S) is Decision.REJECT  # no wait
    claims.outbox.clear()
    assert claims.receive(messages.KeyGranted(KEYS[0]), False) == Outcome()
    assert claims.outbox == [messages.KeyReleased(KEYS[0])] and not claims.grants.grants


def test_keys_of_an_incompatible_predecessor_are_in_doubt_for_the_longest_window() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.role = PeerRole.INCOMPATIBLE
    assert claims.decide(KEYS[0], BODY, 1.0, 3.0, "a", 1.0) is Decision.REJECT
    claims.on_peer_lost(5.0)
    ends = 5.0 + WINDOW_S + SLACK_S
    for born in (5.0, ends - 0.01):  # in the window of the last run, even if read late
        assert (
            claims.decide(KEYS[0], BODY, born, born + WINDOW_S, "a", ends + LINGER_S - 0.01)
            is Decision.REJECT
        )
    assert claims.decide(KEYS[0], BODY, ends + 0.01, ends + 0.01 + WINDOW_S, "a", ends + 0.01) is Decision.RUN


def test_claims_over_capacity_cause_doubt_and_the_oldest_results_are_dropped_first() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 2, 10)
    claims.role = PeerRole.PREDECESSOR
    for key in KEYS[:2]:
        claims.receive(messages.KeyClaimed(key, BODY, 3.0), False)
        claims.receive(messages.RunEnded(key, True, "", b"x" * 8), False)
    first, second = (claims.other_claims.claims[key] for key in KEYS[:2])
    assert (first.succeeded, first.result) == (False, b"") and (second.succeeded, len(second.result)) == (
        True,
        8,
    )
    claims.receive(messages.KeyClaimed(KEYS[2], BODY, 3.0), False)
    assert claims.decide(KEYS[3], BODY, 1.0, 3.0, "a", 1.0) is Decision.REJECT
    claims.sweep(10.0)
    assert not claims.other_claims.claims and claims.other_claims.result_bytes == 0
    assert claims.decide(KEYS[3], BODY, 10.0, 12.0, "a", 10.0) is Decision.WAIT


def test_the_authority_denies_a_key_whose_run_the_successor_has_forgotten() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.role = PeerRole.SUCCESSOR
    claims.other_claims.claims[KEYS[0]] = Claim(KEYS[0], BODY, 3.0, ended=True, succeeded=True, result=b"r")
    claims.receive(messages.GrantRequest(KEYS[0], BODY, 2.0, 4.0), False)
    assert claims.outbox == [
        messages.KeyClaimed(KEYS[0], BODY, 3.0),
        messages.RunEnded(KEYS[0], True, "", b"r"),
        messages.KeyDenied(KEYS[0]),
    ]
    claims.outbox.clear()
    claims.receive(messages.GrantRequest(KEYS[0], BODY, 3.2, 5.2), False)  # after the window
    assert claims.outbox == [messages.KeyGranted(KEYS[0])]


def test_two_attempts_share_one_resent_request_and_a_second_grant_is_ignored() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.role = PeerRole.PREDECESSOR
    for of in "ab":
        claims.decide(KEYS[0], BODY, 1.0, 3.0, of, 1.0)
    claims.decide(KEYS[1], BODY, 1.0, 3.0, "c", 1.0)
    claims.expired_waits(1.0)
    claims.requests.pending[KEYS[1]].attempts.clear()  # all were rejected
    claims.requests.waiting -= 1
    claims.outbox.clear()
    claims.on_claims_synced()  # as after a reconnect
    assert claims.outbox == [messages.GrantRequest(KEYS[0], BODY, 1.0, 3.0 + GRANT_EXTRA_S)]
    claims.outbox.clear()
    assert claims.receive(messages.KeyGranted(KEYS[0]), False).attempts == ("a", "b")
    claims.claim_run(KEYS[0], BODY, 3.0)
    claims.receive(messages.KeyGranted(KEYS[0]), False)
    assert claims.outbox == []
    assert claims.decide(KEYS[1], BODY, 2.0, 4.0, "d", 2.0) is Decision.WAIT  # the old request was dropped


def test_a_released_key_is_still_known_for_its_earlier_run() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.role = PeerRole.SUCCESSOR
    claims.receive(messages.GrantRequest(KEYS[0], BODY, 1.0, 3.0), False)
    claims.receive(messages.RunEnded(KEYS[0], True, "", b"r"), False)
    claims.receive(messages.GrantRequest(KEYS[0], BODY, 3.2, 5.2), False)  # the next window
    claims.receive(messages.KeyReleased(KEYS[0]), False)
    late = claims.find_claim(KEYS[0], 2.99)  # born in the first window but read late
    assert late is not None and late.ended and claims.find_claim(KEYS[0], 3.2) is None
    assert late.result == b"r" and claims.other_claims.result_bytes == len(b"r")
    claims.sweep(3.0 + SLACK_S + LINGER_S + 0.01)
    assert claims.is_idle is False and not len(claims.other_claims) and claims.other_claims.result_bytes == 0


def test_an_attempt_waits_for_a_reply_no_longer_than_until_its_answer_is_due() -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.role = PeerRole.PREDECESSOR
    claims.decide(KEYS[0], BODY, 1.0, 3.0, "short", 1.0, 1.1)
    claims.decide(KEYS[0], BODY, 1.0, 3.0, "long", 1.0, 9.0)
    assert claims.expired_waits(1.1) == ["short"] and claims.expired_waits(1.0 + GRANT_TIMEOUT_S) == ["long"]


@pytest.mark.parametrize(("stage", "doubt"), [("unheard", True), ("synced", False)])
def test_a_predecessor_lost_before_the_sync_leaves_doubt(stage: str, doubt: bool) -> None:
    claims: KeyOwnership[str] = KeyOwnership(WINDOW_S, LINGER_S, 100, 1000)
    claims.claims_missing = True
    if stage == "synced":
        claims.on_claims_synced()
    claims.on_peer_lost(1.0)
    assert claims.decide(KEYS[0], BODY, 1.0, 3.0, "a", 1.0) is (Decision.REJECT if doubt else Decision.RUN)
