"""Selection and rate of the replay: which write is offered next, how many are in flight, when to retry. Pure.

``Pace`` bounds the number of offered writes without a result. The bound is always at most upstream's credit
(its spare capacity beside live traffic, divided among the edges that replay). Within the credit the window
starts at 1, doubles each round trip until the first LATER, then grows by one per round trip and halves at
each LATER or timeout (AIMD). A replay begins after a delay derived from the edge's name, so that edges that
reconnect together do not begin together. Retries of unanswered offers have a budget of RETRY_SHARE of the
offers sent.

``Picker`` takes the teams in turn, and of each its oldest write that is ready. A write is ready if none of
its dependencies is known to wait. A write that is not ready, or was answered HELD, GONE or DOUBT, is parked
and examined again when its dependency ends, or after RECHECK_S. While MAX_PARKED writes are parked, no
others are taken from the queue.

Invariants: the number of writes in flight never exceeds the credit; a parked write delays only writes that
depend on it.
"""

import hashlib
from collections import deque
from dataclasses import dataclass, field

from beechrock.edges.causal import Dot, Vector
from beechrock.edges.queue import Queue
from beechrock.edges.words import Entry, Said, State

MAX_WINDOW = 512
MAX_PARKED = 4096
RETRY_SHARE, RETRY_BURST = 0.1, 16
RECHECK_S = 1.0
PAUSE_S = 0.05  # Seconds to pause after a timeout, or after a LATER without a delay
NO_ROOM_PAUSE_S = 0.01
SPREAD_S = 1.0


@dataclass(slots=True)
class Pace:
    credit: int = 0
    window: float = 1.0
    slow_start: bool = True
    until_s: float = 0.0  # Time before which nothing is sent, in monotonic seconds
    budget: float = RETRY_BURST
    without: frozenset[str] = frozenset()

    def begin(self, edge: str, now: float, spread_s: float = SPREAD_S) -> None:
        """Start a replay with a small window, after a delay that differs by edge."""
        part = int.from_bytes(hashlib.blake2b(edge.encode(), digest_size=2).digest()) / 65536
        self.window, self.slow_start = 1.0, True
        self.until_s = now + part * spread_s

    def limit(self, now: float) -> int:
        if now < self.until_s:
            return 0
        if "credit" in self.without:
            return MAX_WINDOW
        return min(int(self.window), self.credit, MAX_WINDOW)

    def sent(self, again: bool) -> bool:
        """Account for one more offer; return False if it is a retry and the retry budget is used up."""
        if not again:
            self.budget = min(10 * RETRY_BURST, self.budget + RETRY_SHARE)
            return True
        if self.budget < 1:
            return False
        self.budget -= 1
        return True

    def on_end(self) -> None:
        self.window = min(MAX_WINDOW, self.window + (1.0 if self.slow_start else 1.0 / self.window))

    def back_off(self, now: float, after_s: float) -> None:
        if now < self.until_s:  # The window was already halved in this round trip
            return
        self.window, self.slow_start = max(1.0, self.window / 2), False
        self.until_s = now + (after_s or PAUSE_S)

    def pause(self, now: float) -> None:
        """Pause shortly, without halving the window, when live requests took the spare capacity.

        The credit already reflects them. In the benchmark a replay that halved its window each time used only
        0.65 of upstream's spare capacity.
        """
        self.until_s = max(self.until_s, now + NO_ROOM_PAUSE_S)

    def on_timeout(self, now: float) -> None:
        self.back_off(now, PAUSE_S)


@dataclass(slots=True)
class Parked:
    said: Said
    dots: tuple[Dot, ...]
    recheck_at_s: float
    until_s: float = float("inf")  # End of the write's ``keep_s``, in Unix seconds


@dataclass(slots=True)
class Flight:
    entry: Entry
    due_s: float


@dataclass(slots=True)
class Picker:
    """The writes of a queue that are in flight or parked, and the next one to offer."""

    queue: Queue
    flights: dict[Dot, Flight] = field(default_factory=dict)
    parked: dict[Dot, Parked] = field(default_factory=dict)
    dependents: dict[Dot, list[Dot]] = field(default_factory=dict)  # Parked writes by the write they wait for
    team_ring: deque[str] = field(default_factory=deque)
    rechecked_at_s: float = 0.0
    ready: deque[Dot] = field(default_factory=deque)  # Writes to offer before others, such as unparked ones

    def next(self, now: float) -> Dot | None:
        """Return the next write to offer, or None; the caller passes it to ``start_flight`` or ``park``."""
        while self.ready:
            dot = self.ready.popleft()
            if self.queue.state(dot) is State.WAITING and dot not in self.parked and dot not in self.flights:
                return dot
        if len(self.parked) >= MAX_PARKED:
            return None
        for name in self.queue.teams[len(self.team_ring) :]:
            self.team_ring.append(name)
        for _ in range(len(self.team_ring)):
            name = self.team_ring[0]
            self.team_ring.rotate(-1)
            if self.queue.counts_by_team[name]:
                while (taken := self.queue.take(name)) is not None:
                    if taken not in self.parked and taken not in self.flights:
                        return taken
        return None

    def start_flight(self, entry: Entry, due_s: float) -> None:
        self.flights[entry.dot] = Flight(entry, due_s)
        self.queue.sent(entry.dot)

    def park(self, entry: Entry, said: Said, dots: tuple[Dot, ...], now: float) -> None:
        dot = entry.dot
        self.flights.pop(dot, None)
        if said is Said.DOUBT:
            self.queue.doubt(dot)
        elif self.queue.state(dot) is State.SENT:
            self.queue.unsent(dot)
        until_s = entry.accepted_at + entry.keep_s if said is not Said.DOUBT else float("inf")
        self.parked[dot] = Parked(said, dots, now + RECHECK_S, until_s)
        for other in dots[:1]:
            self.dependents.setdefault(other, []).append(dot)

    def remove_ended(self, dot: Dot) -> None:
        """Handle the end of a write: unpark the writes that wait for it."""
        self.flights.pop(dot, None)
        self.parked.pop(dot, None)
        for other in self.dependents.pop(dot, ()):
            self.unpark(other)

    def unpark(self, dot: Dot, always: bool = False) -> None:
        held = self.parked.get(dot)
        if held is not None and (always or held.said in (Said.HELD, Said.LATER, Said.BUSY)):
            del self.parked[dot]
            self.ready.append(dot)

    def release(self, dot: Dot) -> None:
        """Make a parked write ready by an operator's order.

        It is then offered although a dependency was not applied, or although it may have run before.
        """
        if (held := self.parked.pop(dot, None)) is not None:
            if held.said is Said.DOUBT:
                self.queue.clear_doubt(dot)
            self.ready.append(dot)

    def progress(self, ended: Vector, now: float) -> None:
        """Unpark writes whose dependency has ended, also at other edges, or that are due for a recheck."""
        for other in [o for o in self.dependents if o in ended]:
            for dot in self.dependents.pop(other):
                self.unpark(dot)
        if now < self.rechecked_at_s + RECHECK_S:
            return
        self.rechecked_at_s = now
        for dot in [d for d, p in self.parked.items() if p.recheck_at_s <= now]:
            self.unpark(dot)
        for other in [o for o, dots in self.dependents.items() if not any(d in self.parked for d in dots)]:
            del self.dependents[other]

    def overdue(self, now: float) -> list[Flight]:
        return [f for f in self.flights.values() if f.due_s <= now]

    def requeue(self, dot: Dot) -> None:
        """Take a write out of flight, to be offered again."""
        if self.flights.pop(dot, None) is not None:
            self.queue.unsent(dot)
            self.ready.append(dot)

    def requeue_all(self) -> None:
        """Return all writes in flight to the queue, after the loss of the duty or of the link.

        Upstream's marks know which of them ran.
        """
        for dot in list(self.flights):
            self.requeue(dot)
