"""Rules on which of two processes may run a keyed request. Pure.

The predecessor is the authority: it may run any key, but announces each run in advance (``KeyClaimed``). The
successor requests each key (``GrantRequest``) and runs it only after ``KeyGranted``. Once the predecessor has
ended and all of its messages have been read, the successor decides alone.

States (``PeerRole``): the role of the other process towards this one. Events: attempts here (``decide``,
``claim_run``, ``release``, ``end_run``, ``finish_use``), messages (``receive``), ``on_claims_synced``,
``on_peer_lost``, and time (``expired_waits``, ``sweep``).

Invariants: a key is never granted while either process claims it; a grant is released only when no attempt
here uses it and no run was claimed under it; a key that the other process held when it ended never runs again
within its window.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from beechrock.handover.claim_table import Claim, ClaimTable
from beechrock.handover.doubt import Doubt
from beechrock.handover.grant_requests import GRANT_EXTRA_S, GrantRequests
from beechrock.handover.grants import Grant, GrantTable
from beechrock.handover.messages import (
    GrantRequest,
    KeyClaimed,
    KeyDenied,
    KeyGranted,
    KeyReleased,
    Message,
    RunEnded,
)

T = TypeVar("T")


class PeerRole(Enum):
    """Role of the other process towards this one."""

    ABSENT = "absent"
    PREDECESSOR = "predecessor"
    SUCCESSOR = "successor"
    INCOMPATIBLE = "incompatible"  # A predecessor whose messages cannot be understood


class Decision(Enum):
    """Decision on a keyed attempt."""

    RUN = "run"  # The attempt may run, or repeats the run that ``find_claim`` returns
    WAIT = "wait"  # The predecessor was asked to grant the key; the attempt waits for the reply
    REJECT = "reject"  # The key may have run elsewhere, so the attempt must not run


@dataclass(frozen=True, slots=True)
class EarlierRun:
    """An earlier run of a key that counts again because the later one never began."""

    digest: bytes
    until_s: float


@dataclass(frozen=True, slots=True)
class Outcome(Generic[T]):
    """Result of an event: attempts that no longer wait, and claims that have ended."""

    attempts: tuple[T, ...] = ()
    ended: tuple[Claim, ...] = ()


class KeyOwnership(Generic[T]):
    """Key ownership as one process sees it; ``T`` is the type of an attempt.

    ``outbox`` holds the messages that are to be sent to the other process.
    """

    def __init__(self, window_s: float, linger_s: float, max_claims: int, max_result_bytes: int) -> None:
        self.role = PeerRole.ABSENT
        self.doubt = Doubt(window_s, linger_s)
        self.other_claims = ClaimTable(max_claims, max_result_bytes, linger_s, self.doubt)
        self.grants = GrantTable(linger_s)
        self.requests: GrantRequests[T] = GrantRequests()
        self.outbox: list[Message] = []
        # Whether a predecessor exists, or existed, whose claims were not all received.
        self.claims_missing = False

    @property
    def is_idle(self) -> bool:
        """Return whether no other process exists, and no claim or doubt of an earlier process remains."""
        return self.role is PeerRole.ABSENT and not self.other_claims.claims and not self.doubt.until_s

    def find_claim(self, key: bytes, born_s: float) -> Claim | None:
        """Return the other process's claim whose run an attempt with this birth time repeats, or None."""
        return self.other_claims.find(key, born_s)

    def decide(
        self,
        key: bytes,
        digest: bytes,
        born_s: float,
        until_s: float,
        attempt: T,
        now_s: float,
        due_s: float = math.inf,
    ) -> Decision:
        """Decide on an attempt whose key is not held by a run here.

        ``until_s`` is the window end of a run of this attempt, and ``due_s`` the time when its answer is due.
        """
        if self.other_claims.find(key, born_s) is not None:
            return Decision.RUN
        if self.role is PeerRole.INCOMPATIBLE or self.doubt.covers(born_s, until_s - born_s, now_s):
            return Decision.REJECT
        if self.role is not PeerRole.PREDECESSOR:
            return Decision.RUN
        grant = self.grants.grants.get(key)
        if grant is not None:
            if grant.covers(born_s, until_s):
                grant.uses += 1
                return Decision.RUN
            if grant.uses > 0:
                return Decision.REJECT
            # The earlier grant must not count as the reply to the new request.
            self._send_window_end(key, grant)
            del self.grants.grants[key]
        return self._request_grant(GrantRequest(key, digest, born_s, until_s), attempt, now_s, due_s)

    def _request_grant(self, wanted: GrantRequest, attempt: T, now_s: float, due_s: float) -> Decision:
        """Request a key from the predecessor, or wait for an open request that covers the attempt too."""
        if self.requests.is_full or self.grants.is_full:
            return Decision.REJECT
        pending = self.requests.pending.get(wanted.key)
        if pending is None:
            until_s = wanted.until_s + GRANT_EXTRA_S
            request = GrantRequest(wanted.key, wanted.digest, wanted.born_s, until_s)
            pending = self.requests.start(request, now_s)
            self.outbox.append(request)
        elif now_s >= pending.due_s or wanted.until_s > pending.request.until_s:
            return Decision.REJECT
        self.requests.wait(pending, attempt, due_s)
        return Decision.WAIT

    def claim_run(self, key: bytes, digest: bytes, until_s: float, earlier_run_open: bool = False) -> bool:
        """Claim the key for an attempt that is about to run here, and return whether it may run.

        It may not if its grant was returned because another attempt under the same grant never began.
        ``earlier_run_open`` is true if the key's previous run is still open although its window has ended.
        The other process is then sent the end of that run, as it would get no other end and would take
        both runs for one.
        """
        grant = self.grants.grants.get(key)
        if grant is not None and grant.given_back:
            return False
        if grant is not None:
            if until_s > grant.until_s:  # the table holds the key for longer than the grant
                self.outbox.append(KeyClaimed(key, digest, until_s))
            grant.claimed = True
            grant.until_s = max(until_s, grant.until_s)
            grant.run_until_s = until_s
            grant.digest = digest
        elif self.role is PeerRole.SUCCESSOR:
            if earlier_run_open:
                self.outbox.append(RunEnded(key, False))
            self.outbox.append(KeyClaimed(key, digest, until_s))
        return True

    def release(self, key: bytes, earlier: EarlierRun | None = None) -> None:
        """Release the claim of an attempt that did not run; ``earlier`` is the run that counts again."""
        known = self.other_claims.claims.get(key)
        # A run of an earlier process counts as well; the successor can learn of it only from this process.
        if (
            self.role is PeerRole.SUCCESSOR
            and known is not None
            and known.ended
            and (earlier is None or earlier.until_s < known.until_s)
        ):
            earlier = EarlierRun(known.digest, known.until_s)
        if earlier is not None:
            self._restore(key, earlier)
        elif key in self.grants.grants:
            self.grants.grants[key].claimed = False
            if self.grants.give_back(key):
                self.outbox.append(KeyReleased(key))
        elif self.role is PeerRole.SUCCESSOR:
            self.outbox.append(KeyReleased(key))

    def _restore(self, key: bytes, earlier: EarlierRun) -> None:
        """Make the key's earlier run count again at both processes.

        Its result is not sent again, so a repeat at the other process fails.
        """
        grant = self.grants.grants.get(key)
        if grant is not None:
            grant.claimed = True
            grant.given_back = True
            grant.until_s = earlier.until_s
            grant.run_until_s = earlier.until_s
        if grant is not None or self.role is PeerRole.SUCCESSOR:
            self.outbox += [
                KeyReleased(key),
                KeyClaimed(key, earlier.digest, earlier.until_s),
                RunEnded(key, False),
            ]

    def end_run(self, key: bytes, succeeded: bool, media: str, result: bytes) -> None:
        """Note that a run here has ended."""
        grant = self.grants.grants.get(key)
        if grant is not None:
            self._send_window_end(key, grant)
        if self.role in (PeerRole.SUCCESSOR, PeerRole.PREDECESSOR):
            self.outbox.append(RunEnded(key, succeeded, media, result))

    def _send_window_end(self, key: bytes, grant: Grant) -> None:
        """Shorten the other process's claim from the end of the grant to the end of its run's window.

        This must wait until the run has ended or another run of the key is requested. Until then the run may
        turn out never to have begun, and further attempts may use the whole grant.
        """
        if grant.claimed and grant.run_until_s < grant.until_s:
            grant.until_s = grant.run_until_s
            self.outbox.append(KeyClaimed(key, grant.digest, grant.run_until_s))

    def finish_use(self, key: bytes) -> None:
        """Note that an attempt no longer uses the key's grant, and release the grant if it is unused."""
        if self.grants.finish_use(key):
            self.outbox.append(KeyReleased(key))

    def receive(self, message: Message, held: bool) -> Outcome[T]:
        """Process a message of the other process; ``held`` is true if a requested key must be denied."""
        match message:
            case KeyClaimed(key, digest, until_s):
                self.other_claims.add(Claim(key, digest, until_s))
            case KeyReleased(key):
                return Outcome(ended=tuple(self.other_claims.release(key)))
            case RunEnded():
                return Outcome(ended=tuple(self.other_claims.end(message)))
            case GrantRequest():
                return Outcome(ended=tuple(self._answer_request(message, held)))
            case KeyGranted(key):
                return Outcome(self._use_grant(key))
            case KeyDenied(key):
                return Outcome(tuple(self.requests.remove(key)))
        return Outcome()

    def _use_grant(self, key: bytes) -> tuple[T, ...]:
        """Use a grant for the attempts that wait for it, or release it if none does."""
        pending = self.requests.pending.get(key)
        attempts = tuple(self.requests.remove(key))
        if pending is not None and attempts:
            self.grants.grants[key] = Grant(len(attempts), until_s=pending.request.until_s)
        elif key not in self.grants.grants:  # no attempt waits any more
            self.outbox.append(KeyReleased(key))
        return attempts

    def _answer_request(self, request: GrantRequest, held: bool) -> list[Claim]:
        """Grant or deny a requested key; return claims of the other process that the grant ends."""
        claim = self.other_claims.find(request.key, request.born_s)
        if claim is not None and claim.ended:  # the other process has forgotten its own run
            self.outbox += [
                KeyClaimed(request.key, claim.digest, claim.until_s),
                RunEnded(request.key, claim.succeeded, claim.media, claim.result),
                KeyDenied(request.key),
            ]
        elif held:
            self.outbox.append(KeyDenied(request.key))
        else:
            self.outbox.append(KeyGranted(request.key))
            return self.other_claims.grant(request)
        return []

    def on_claims_synced(self) -> None:
        """Note that all claims of the predecessor are known, and resend the open requests."""
        self.role = PeerRole.PREDECESSOR
        self.claims_missing = False
        self.outbox += self.requests.renew()

    def on_peer_lost(self, now_s: float) -> Outcome[T]:
        """Note that the other process has ended and all of its messages have been read."""
        if self.role is PeerRole.INCOMPATIBLE or self.claims_missing:  # some of its runs may be unknown
            self.doubt.process_lost(now_s)
        self.role = PeerRole.ABSENT
        self.claims_missing = False
        self.grants.grants.clear()
        ended = tuple(self.other_claims.end_all_open())
        return Outcome(tuple(self.requests.remove_all()), ended)

    def expired_waits(self, now_s: float) -> list[T]:
        """Remove and return the attempts whose wait for a reply has timed out."""
        return self.requests.expired(now_s)

    def sweep(self, now_s: float) -> None:
        """Drop grants and claims that no later attempt can use."""
        self.grants.sweep(now_s)
        self.other_claims.sweep(now_s)
