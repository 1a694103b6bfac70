"""Grant requests that were sent to the predecessor, and the attempts that wait for the replies. Pure.

States of a request: WAITED FOR, EXPIRED (all of its attempts were rejected; the reply may still arrive).
Invariant: ``waiting`` is the number of attempts that still wait for a reply.
"""

import math
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from beechrock.handover.messages import GrantRequest

T = TypeVar("T")
# Seconds that attempts wait for the reply before they are rejected; several times the longest pause of an
# event loop during an upgrade.
GRANT_TIMEOUT_S = 0.3
# Seconds by which a grant exceeds the window of the attempt that requested it, so that concurrent attempts of
# the key can share the grant.
GRANT_EXTRA_S = 1.0
MAX_WAITING = 2000  # Maximum number of attempts that wait for a reply


@dataclass(frozen=True, slots=True)
class WaitingAttempt(Generic[T]):
    """An attempt, and the deadline of its wait for a reply in steady seconds."""

    attempt: T
    due_s: float


@dataclass(slots=True)
class PendingRequest(Generic[T]):
    """A request that has no reply yet, with the attempts that wait for it."""

    request: GrantRequest
    due_s: float
    attempts: list[WaitingAttempt[T]] = field(default_factory=list)


class GrantRequests(Generic[T]):
    """The unanswered requests by key; ``T`` is the type of a waiting attempt."""

    def __init__(self) -> None:
        self.pending: dict[bytes, PendingRequest[T]] = {}
        self.waiting = 0  # Number of waiting attempts over all requests

    @property
    def is_full(self) -> bool:
        """Return whether the maximum number of waiting attempts is reached."""
        return self.waiting >= MAX_WAITING

    def start(self, request: GrantRequest, now_s: float) -> PendingRequest[T]:
        """Record a request that is sent now, and return it."""
        pending = PendingRequest[T](request, now_s + GRANT_TIMEOUT_S)
        self.pending[request.key] = pending
        return pending

    def wait(self, pending: PendingRequest[T], attempt: T, due_s: float = math.inf) -> None:
        """Add an attempt that waits until the request's deadline, or its own ``due_s`` if that is earlier."""
        pending.attempts.append(WaitingAttempt(attempt, min(pending.due_s, due_s)))
        self.waiting += 1

    def remove(self, key: bytes) -> list[T]:
        """Remove an answered request and return the attempts that waited for it."""
        pending = self.pending.pop(key, None)
        attempts = [waiting.attempt for waiting in pending.attempts] if pending is not None else []
        self.waiting -= len(attempts)
        return attempts

    def remove_all(self) -> list[T]:
        """Remove all requests because their replies will not arrive, and return their attempts."""
        return [attempt for key in list(self.pending) for attempt in self.remove(key)]

    def expired(self, now_s: float) -> list[T]:
        """Remove and return the attempts whose wait has timed out.

        The grant requests are kept, as their replies may still arrive.
        """
        expired: list[T] = []
        for pending in self.pending.values():
            late = [waiting.attempt for waiting in pending.attempts if now_s >= waiting.due_s]
            if late:
                expired += late
                self.waiting -= len(late)
                pending.attempts = [waiting for waiting in pending.attempts if now_s < waiting.due_s]
        return expired

    def renew(self) -> list[GrantRequest]:
        """Return the requests to resend over a new channel, one per key.

        A request without waiting attempts is dropped. It would otherwise stay for ever, and all attempts of
        its key would be rejected.
        """
        for key in [key for key, pending in self.pending.items() if not pending.attempts]:
            del self.pending[key]
        return [pending.request for pending in self.pending.values()]
