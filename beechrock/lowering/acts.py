"""Enforces a rule's limits, retries, hedge and mirrors for each request. Pure.

``Acts`` holds a node's state: for each rule and team a token bucket, the number of open sends, and a budget
for retries and hedges. ``Tries`` holds the state of one request.

A server that is excluded by permit gets no new request, retry, hedge or mirror copy while it is excluded;
sends that are already open there run to their end.

States of a request: NEW, OUT (one send is open), TWICE (a hedge is open too), OVER. Events: begin, unreached
(no connection was made, so the request never ran), ended (with or without a reply), timer. Resulting
actions: ``Send``, ``Copy`` (to a mirror, whose answer nobody awaits), ``Wait`` (followed by ``timer``), and
finally exactly one of ``Done``, ``TurnAway``, ``Nowhere``.

Invariants (the first, fourth and fifth are checked at run time): a request that must not run twice is sent
again only after a send that made no connection; the open sends of a rule do not exceed its limit; in any
window of w seconds a rule gets at most rate * w + burst sends; a request ends once and holds nothing
afterwards; nothing is sent to an excluded server.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum

from beechrock.lowering.errors import BrokenInvariantError
from beechrock.lowering.tables import Action

Address = tuple[str, int]
BURST_S = 0.2  # Seconds of a rule's rate that may be sent as one burst; always at least one send
# Each request adds BUDGET_PER_REQUEST of one extra send (a retry or hedge) to the budget, up to MAX_BUDGET.
BUDGET_PER_REQUEST, MAX_BUDGET = 0.1, 10.0
# Retry delay in seconds when all servers are excluded by permit; the time of their return is unknown.
OUT_S = 1.0
# Retry delay in seconds at the limit of open sends; it is unknown when one of them will end.
OPEN_S = 0.25
# Maximum number of counters, one per rule and team. Idle ones are evicted; if none is idle, a request that
# needs a new counter is rejected.
MAX_COUNTS = 20_000
MAX_COPIES = 32  # Maximum number of open mirror copies per node; further copies are skipped
SLACK = 1e-9  # Tolerance in tokens for the rounding error of summed fractions


@dataclass(slots=True)
class Count:
    """Token bucket, open sends, retry budget and mirror counter of one rule and team."""

    tokens: float
    at: float  # Time of the last refill of ``tokens``, in monotonic seconds
    open: int = 0  # Number of open sends that count against the limits
    budget: float = 1.0  # Number of retries and hedges that may be sent
    copied: int = 0  # Number of requests considered for mirroring
    rate_per_s: float | None = None

    def refill(self, now: float, limits: "Limits") -> None:
        self.rate_per_s = limits.rate_per_s
        if limits.rate_per_s is not None:
            earned = max(0.0, now - self.at) * limits.rate_per_s
            self.tokens, self.at = min(limits.burst, self.tokens + earned), max(now, self.at)

    def idle(self, now: float) -> bool:
        """Return whether a new counter in its place would admit no more sends than this one does now."""
        return not self.open and (
            self.rate_per_s is None or self.tokens + (now - self.at) * self.rate_per_s >= 1.0
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Rate limit and limit of concurrent sends of a rule, for one team at this node."""

    rate_per_s: float | None = None
    at_once: int | None = None

    @property
    def burst(self) -> float:
        return max(1.0, (self.rate_per_s or 0.0) * BURST_S)


class Acts:
    """Counters of all rules at a node; owned by the router."""

    def __init__(self) -> None:
        self.counts: dict[Hashable, Count] = {}
        self.copies = 0
        self.out: frozenset[Address] = frozenset()  # Servers that are excluded by permit

    def count(self, now: float, key: Hashable) -> Count | None:
        """Return the counter for ``key``; None if the table is full and no counter is idle."""
        found = self.counts.get(key)
        if found is None:
            if len(self.counts) >= MAX_COUNTS:
                self.counts = {k: c for k, c in self.counts.items() if not c.idle(now)}
                if len(self.counts) >= MAX_COUNTS:
                    return None
            found = self.counts[key] = Count(1.0, now)
        return found

    def admit(self, now: float, key: Hashable, limits: Limits) -> float:
        """Count one more open send and return 0, or return the seconds until the next attempt."""
        count = self.count(now, key)
        if count is None or (limits.at_once is not None and count.open >= limits.at_once):
            return OPEN_S
        count.refill(now, limits)
        if limits.rate_per_s is not None:
            if limits.rate_per_s <= 0:
                return OPEN_S  # A configured rate of 0 admits no send
            if count.tokens < 1.0 - SLACK:
                return max(0.001, (1.0 - count.tokens) / limits.rate_per_s)
            count.tokens -= 1.0
        count.open += 1
        return 0.0

    def ended(self, key: Hashable) -> None:
        count = self.counts[key]
        count.open -= 1
        if count.open < 0:
            raise BrokenInvariantError("a send ended twice", where="lowering", do="send the log")

    def earn(self, now: float, key: Hashable) -> None:
        """Add a new request's share to the retry budget of its rule."""
        count = self.count(now, key)
        if count is not None:
            count.budget = min(MAX_BUDGET, count.budget + BUDGET_PER_REQUEST)

    def spend(self, key: Hashable) -> bool:
        """Take one retry or hedge from the rule's budget; return whether there was one."""
        count = self.counts.get(key)
        if count is None or count.budget < 1.0 - SLACK:
            return False
        count.budget -= 1.0
        return True

    def give_back(self, key: Hashable) -> None:
        self.counts[key].budget += 1.0

    def copied(self, key: Hashable, mirrors: Sequence[tuple[int, int]]) -> list[int]:
        """Return the indices of the mirrors that get a copy of this request.

        Of each 100 consecutive requests a mirror gets as many as its percentage.
        """
        count = self.counts.get(key)
        if count is None:
            return []
        at, count.copied = count.copied, count.copied + 1
        drawn = [
            index for index, (_, share) in enumerate(mirrors) if (at + 1) * share // 100 > at * share // 100
        ]
        drawn = drawn[: max(0, MAX_COPIES - self.copies)]
        self.copies += len(drawn)
        return drawn


class State(Enum):
    NEW = "new"
    OUT = "out"
    TWICE = "twice"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class Send:
    number: int
    address: Address


@dataclass(frozen=True, slots=True)
class Copy:
    address: Address


@dataclass(frozen=True, slots=True)
class Wait:
    seconds: float


@dataclass(frozen=True, slots=True)
class Done:
    """End the request with the result of this send; all other open sends are cancelled."""

    number: int


@dataclass(frozen=True, slots=True)
class TurnAway:
    """Reject the request, which never ran; the caller may retry it after ``after_s`` seconds."""

    after_s: float
    why: str


@dataclass(frozen=True, slots=True)
class Nowhere:
    """Give up because no server could be reached; the request never ran."""


Act = Send | Copy | Wait | Done | TurnAway | Nowhere


@dataclass(frozen=True, slots=True)
class Asked:
    """Routing decision for one request.

    The first ``own`` addresses count against the rule's limits; the others belong to its fall-backs.
    ``repeatable`` says whether the request may run twice. ``mirrors`` holds the address of each mirror of the
    action, or None if no server of that mirror is available.
    """

    key: Hashable
    action: Action
    addresses: tuple[Address, ...]
    own: int
    repeatable: bool
    mirrors: tuple[Address | None, ...] = ()


class Tries:
    """All sends of one request."""

    def __init__(self, acts: Acts, asked: Asked) -> None:
        self.acts, self.asked = acts, asked
        self.limits = Limits(asked.action.rate_per_s, asked.action.at_once)
        self.state = State.NEW
        self.left = self._not_excluded(asked.addresses)
        self.open: dict[int, bool] = {}  # By number of an open send: whether it counts against the limits
        self.sent = self.ran = self.retried = 0  # ``ran``: number of sends that may have run
        self.last = 0  # Number of the send that ended last; 0 if none has
        self.hedged = False

    def begin(self, now: float) -> list[Act]:
        asked = self.asked
        self.acts.earn(now, asked.key)
        after_s = self.acts.admit(now, asked.key, self.limits)
        if after_s:
            # Over the rule's limits the request goes to the fall-backs, to which the limits do not apply.
            self.left = self._not_excluded(asked.addresses[asked.own :])
            if not self.left:
                self.state = State.OVER
                return [TurnAway(after_s, "its rule's limit is reached")]
        found: list[Act] = []
        if not self.left:
            if not after_s:
                self.acts.ended(asked.key)
            self.state = State.OVER
            return [self._nowhere()]
        found.append(self._send(not after_s))
        if asked.repeatable:
            if asked.action.hedge_ms is not None:
                found.append(Wait(asked.action.hedge_ms / 1000))
            for at in self.acts.copied(asked.key, asked.action.mirrors):
                address = asked.mirrors[at] if at < len(asked.mirrors) else None
                if address is None:
                    self.acts.copies -= 1
                else:
                    found.append(Copy(address))
        self._check()
        return found

    def unreached(self, now: float, number: int) -> list[Act]:
        """Handle a failed connection: try the next server, without counting another send against limits."""
        if number not in self.open:
            return []
        counted = self.open.pop(number)
        self.ran -= 1
        self.left = self._not_excluded(self.left)
        if self.left:
            found: list[Act] = [self._send(counted)]
        else:
            self._release(counted)
            found = [] if self.open else self._end(Done(self.last) if self.last else self._nowhere())
        self._check()
        return found

    def ended(self, now: float, number: int, good: bool) -> list[Act]:
        """Handle a reply or a lost connection; in both cases the request may have run."""
        if number not in self.open:
            return []
        self._release(self.open.pop(number))
        self.last = number
        found: list[Act] = []
        if not good and not self.open:
            found = self._more(now, self.retried < self.asked.action.retries)
            self.retried += bool(found)
        if good or not self.open:  # ``_end`` drops the other open sends
            found = self._end(Done(number))
        self._check()
        return found

    def timer(self, now: float) -> list[Act]:
        """Send the hedge, at most once, if exactly one send is open and limits and budget allow it."""
        self.left = self._not_excluded(self.left)
        if self.state is not State.OUT or self.hedged or not self.left:
            return []
        self.hedged = True
        found = self._more(now, True)
        self._check()
        return found

    def close(self) -> None:
        """Release all open sends, because nobody waits for the request any more."""
        for counted in self.open.values():
            self._release(counted)
        self.open.clear()
        self.state = State.OVER

    def _more(self, now: float, wanted: bool) -> list[Act]:
        """Send a retry or hedge if the request may run twice and the rule's limits and budget allow it."""
        if not (wanted and self.asked.repeatable):
            return []
        self.left = self._not_excluded(self.left) or self._not_excluded(
            self.asked.addresses[: self.asked.own]
        )
        if not self.left or not self.acts.spend(self.asked.key):
            return []
        if self.acts.admit(now, self.asked.key, self.limits):
            self.acts.give_back(self.asked.key)
            return []
        return [self._send(True)]

    def _send(self, counted: bool) -> Send:
        self.sent += 1
        self.ran += 1
        self.open[self.sent] = counted
        self.state = State.TWICE if len(self.open) > 1 else State.OUT
        address = self.left.pop(0)
        if address in self.acts.out:
            raise BrokenInvariantError(
                "a send to a server that is excluded by permit", where="lowering", do="send the log"
            )
        return Send(self.sent, address)

    def _not_excluded(self, addresses: Sequence[Address]) -> list[Address]:
        """Return the addresses not excluded now; the exclusions may have changed since the request began."""
        out = self.acts.out
        return [address for address in addresses if address not in out]

    def _nowhere(self) -> Act:
        """End a request that never ran; it may be retried if some of its servers are excluded by permit."""
        out = self.acts.out.intersection(self.asked.addresses)
        return TurnAway(OUT_S, "no server of its rule is left: some are out by permit") if out else Nowhere()

    def _release(self, counted: bool) -> None:
        if counted:
            self.acts.ended(self.asked.key)
        if len(self.open) == 1:
            self.state = State.OUT

    def _end(self, act: Act) -> list[Act]:
        self.close()
        return [act]

    def _check(self) -> None:
        if self.ran > 1 and not self.asked.repeatable:
            raise BrokenInvariantError(
                "a request that must not run twice was sent twice", where="lowering", do="send the log"
            )
        if (self.state is State.OVER) != (not self.open):
            raise BrokenInvariantError(
                "a send is open after the request ended, or none is open before its end",
                where="lowering",
                do="send the log",
            )
