"""The claims of the other process and of its predecessors. Pure.

States of a claim: OPEN (its run may be in progress), ENDED (with or without a result). Events: ``add``,
``grant``, ``release``, ``end``, ``sweep``. A claim whose key runs again after its window is REPLACED.
Invariants: a claim, replaced or not, is kept until it is released or no attempt from its window can arrive
any more; an attempt repeats the first claim of its key whose window contains the attempt's birth; a claim
that exceeds the capacity is reported as doubt; the stored results stay within their bound, and the oldest are
dropped first.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from beechrock.core.idempotency import SLACK_S
from beechrock.handover.doubt import Doubt
from beechrock.handover.messages import GrantRequest, RunEnded


@dataclass(slots=True, eq=False)
class Claim:
    """A key that the other process has claimed; times are steady seconds of this process."""

    key: bytes
    digest: bytes
    until_s: float
    ended: bool = False
    succeeded: bool = False
    media: str = ""
    result: bytes = b""
    # End of the window of the key's earlier run, which counts again if this claim is released; 0 for none.
    earlier_until_s: float = 0.0
    # Whether this process granted the key; ``until_s`` may then exceed the window of the run.
    granted: bool = False


class ClaimTable:
    """The other process's claims by key, and the total size of their results."""

    def __init__(self, max_claims: int, max_result_bytes: int, linger_s: float, doubt: Doubt) -> None:
        self.claims: dict[bytes, Claim] = {}
        self._replaced: dict[bytes, list[Claim]] = {}  # Replaced claims by key, the newest last
        self._replaced_count = 0
        self.result_bytes = 0
        self._max_claims = max_claims
        self._max_result_bytes = max_result_bytes
        self._linger_s = linger_s
        self._doubt = doubt

    def __len__(self) -> int:
        return len(self.claims) + self._replaced_count

    def __iter__(self) -> Iterator[Claim]:
        """Iterate over all claims; the claims of one key come from oldest to newest."""
        return chain(self.replaced(), self.claims.values())

    def replaced(self) -> Iterator[Claim]:
        """Iterate over the replaced claims; the claims of one key come from oldest to newest."""
        return chain.from_iterable(self._replaced.values())

    def find(self, key: bytes, born_s: float) -> Claim | None:
        """Return the claim whose run is repeated by an attempt with this birth time, or None."""
        claim = self.claims.get(key)
        if claim is None:
            return None
        # Windows of one key end in the order in which they began, so the first match is the right one. With
        # the newest claim alone, an attempt from an earlier window would get another run's result.
        known = (*self._replaced.get(key, ()), claim)
        return next((found for found in known if born_s <= found.until_s + SLACK_S), None)

    def add(self, claim: Claim) -> None:
        """Add a claim that the other process sent, or update the end of a known claim of the same run.

        For a run under a grant the other process sends the end of the run's window, which may lie before the
        end of the grant.
        """
        old = self.claims.get(claim.key)
        if old is not None and not old.ended and old.granted:
            old.until_s = claim.until_s
            return
        if old is not None and (not old.ended or claim.until_s <= old.until_s):
            old.until_s = max(old.until_s, claim.until_s)
            return
        if len(self) >= self._max_claims:
            self._doubt.claim_over_bound(claim.until_s)
            return
        if old is not None:  # the key runs again after its window
            self._replaced.setdefault(claim.key, []).append(old)
            self._replaced_count += 1
        self.claims[claim.key] = claim

    def grant(self, request: GrantRequest) -> list[Claim]:
        """Record that the key is granted to the other process until the requested time.

        Returns the earlier claim of the key if the grant ends it.
        """
        claim = self.find(request.key, request.born_s)
        if claim is None:
            old = self.claims.get(request.key)
            ended = (
                [self._end(old, RunEnded(request.key, False))] if old is not None and not old.ended else []
            )
            self.add(Claim(request.key, request.digest, request.until_s, granted=True))
            return ended
        if request.until_s > claim.until_s:
            # The claim is of an earlier run, whose window has ended at the other process. Extend it to the
            # end of the new grant's window.
            claim.earlier_until_s = claim.until_s
            claim.until_s = request.until_s
        return []

    def release(self, key: bytes) -> list[Claim]:
        """Remove a claim whose run never began, and restore the key's earlier claim.

        Returns the removed claim, marked as ended.
        """
        claim = self.claims.pop(key, None)
        if claim is None:
            return []
        replaced = self._replaced.get(key, [])
        if claim.earlier_until_s:
            self.claims[key] = Claim(key, claim.digest, claim.earlier_until_s, ended=True)
        elif replaced:
            self.claims[key] = replaced[-1]
            self._keep_replaced(key, replaced[:-1])
        self.result_bytes -= len(claim.result)
        return [self._end(claim, RunEnded(key, False))]

    def _keep_replaced(self, key: bytes, claims: list[Claim]) -> None:
        """Store these as the only replaced claims of the key."""
        before = self._replaced.pop(key, [])
        if claims:
            self._replaced[key] = claims
        self._replaced_count += len(claims) - len(before)

    def end(self, message: RunEnded) -> list[Claim]:
        """End an open claim with the result in the message, and return it in a list."""
        claim = self.claims.get(message.key)
        if claim is None or claim.ended:
            return []
        return [self._end(claim, message)]

    def end_all_open(self) -> list[Claim]:
        """End all open claims without a result, because their process has ended, and return them."""
        open_claims = [claim for claim in self if not claim.ended]
        return [self._end(claim, RunEnded(claim.key, False)) for claim in open_claims]

    def _end(self, claim: Claim, message: RunEnded) -> Claim:
        """Mark a claim as ended, store its result within the bound, and return the claim."""
        claim.ended = True
        claim.succeeded = message.succeeded
        claim.media = message.media
        claim.result = message.result
        self.result_bytes += len(message.result)
        if self.result_bytes > self._max_result_bytes:
            self._drop_oldest_results()
        return claim

    def _drop_oldest_results(self) -> None:
        """Drop the oldest results until the rest fits the bound; repeats of the affected runs fail."""
        for old in self:
            if old.ended and old.result:
                self.result_bytes -= len(old.result)
                old.succeeded = False
                old.result = b""
                if self.result_bytes <= self._max_result_bytes:
                    return

    def sweep(self, now_s: float) -> None:
        """Drop the claims that no later attempt can repeat."""
        for key, replaced in list(self._replaced.items()):
            self._keep_replaced(key, [claim for claim in replaced if not self._is_expired(claim, now_s)])
        for key in [key for key, claim in self.claims.items() if self._is_expired(claim, now_s)]:
            self._keep_replaced(key, [])  # the windows of replaced claims ended earlier
            del self.claims[key]
        self.result_bytes = sum(len(claim.result) for claim in self)

    def _is_expired(self, claim: Claim, now_s: float) -> bool:
        """Return whether no attempt from the claim's window can arrive any more."""
        return claim.until_s + SLACK_S + self._linger_s < now_s
