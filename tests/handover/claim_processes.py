"""Model of two processes of one node that share keys, without I/O."""

import random
from collections import deque

from beechrock.core.idempotency import SLACK_S
from beechrock.handover import messages
from beechrock.handover.ownership import Decision, EarlierRun, KeyOwnership, PeerRole

WINDOW_S, LINGER_S = 2.0, 0.5


KEYS = [bytes([n]) * 16 for n in range(5)]


BODY = b"d" * 16


class Process:
    """A model process: its ``KeyOwnership``, the keys that it remembers, and its runs."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.claims: KeyOwnership[float] = KeyOwnership(WINDOW_S, LINGER_S, 100, 10_000)
        self.own_claims: dict[bytes, float] = {}
        self.earlier_claims: dict[bytes, float] = {}  # Window ends of the runs before those in ``own_claims``
        self.granted: dict[bytes, int] = {}
        self.running: set[bytes] = set()
        self.inbox: deque[messages.Message] = deque()
        self.other: Process | None = None

    def flush(self) -> None:
        if self.other is not None:
            self.other.inbox.extend(self.claims.outbox)
        self.claims.outbox.clear()

    def attempt(self, key: bytes, born: float) -> None:
        if born <= self.own_claims.get(key, 0.0) + SLACK_S:
            return  # a repeat of a run here
        decision = self.claims.decide(key, BODY, born, born + WINDOW_S, born, self.world.now)
        if decision is Decision.RUN and self.claims.find_claim(key, born) is None:
            self.run_or_reject(key, born, key in self.claims.grants.grants)
        self.flush()

    def run_or_reject(self, key: bytes, born: float, granted: bool) -> None:
        """Run the attempt or reject it; another attempt may have run while it waited."""
        if born > self.own_claims.get(key, 0.0) + SLACK_S and self.world.draw.random() < 0.6:
            if key in self.own_claims:
                self.earlier_claims[key] = self.own_claims[key]
            self.own_claims[key] = born + WINDOW_S
            self.claims.claim_run(key, BODY, born + WINDOW_S)
            self.world.begin(key, born)
            self.running.add(key)
        if granted:
            self.claims.finish_use(key)

    def receive_next(self) -> None:
        message = self.inbox.popleft()
        held = (
            isinstance(message, messages.GrantRequest)
            and message.born_s <= self.own_claims.get(message.key, 0.0) + SLACK_S
        )
        for born in self.claims.receive(message, held).attempts:
            key = message.key  # type: ignore[union-attr]
            if key in self.claims.grants.grants:
                self.run_or_reject(key, born, True)
        self.flush()

    def end_one(self) -> None:
        if self.running:
            key = min(self.running)
            self.running.discard(key)
            if self.world.draw.random() < 0.3:  # the agent refused the run, so it never began
                self.world.never_ran(key)
                self.own_claims.pop(key, None)
                before = self.earlier_claims.pop(key, None)
                if before is not None:
                    self.own_claims[key] = before
                self.claims.release(key, EarlierRun(BODY, before) if before is not None else None)
            else:
                self.claims.end_run(key, True, "", b"r")
            self.flush()

    def copy_to(self, new: "Process", share: float = 1.0) -> None:
        """Send a share of all claims to a successor; below 1, as if this process died during the copy."""
        self.claims.role = PeerRole.SUCCESSOR
        self.other, new.other = new, self
        new.claims.claims_missing = True
        sent: list[messages.Message] = [
            messages.KeyClaimed(k, BODY, until) for k, until in self.own_claims.items()
        ]
        sent += [
            messages.KeyClaimed(c.key, c.digest, c.until_s) for c in self.claims.other_claims.claims.values()
        ]
        for message in sent[: int(share * len(sent))]:
            new.claims.receive(message, False)
        if share == 1.0:
            new.claims.on_claims_synced()
            new.flush()

    def break_channel(self, new: "Process") -> None:
        """Drop the channel with some messages unread; both processes live on, and this one decides alone."""
        for process in (self, new):
            for _ in range(self.world.draw.randint(0, len(process.inbox))):
                process.receive_next()
            process.other = None
        for process in (self, new):
            process.inbox.clear()
        self.claims.on_peer_lost(self.world.now)
        for process in (self, new, self):
            process.attempt(self.world.draw.choice(KEYS), self.world.now)

    def drop_peer(self) -> None:
        """End the other process: read all that it had sent, then decide alone."""
        while self.inbox:
            self.receive_next()
        self.other = None
        for _ in self.claims.on_peer_lost(self.world.now).attempts:
            pass  # this model drops waiting attempts: they could do no more than new ones


class World:
    """Clock, random numbers, and a record of all runs, which fails if a key runs twice in its window."""

    def __init__(self, seed: int) -> None:
        self.draw, self.now = random.Random(seed), 100.0
        self.runs: dict[bytes, list[float]] = {}

    def begin(self, key: bytes, born: float) -> None:
        for other in self.runs.get(key, ()):
            assert abs(born - other) > WINDOW_S, f"{key[0]} runs twice, born {other} and {born}"
        self.runs.setdefault(key, []).append(born)

    def never_ran(self, key: bytes) -> None:
        self.runs[key].pop()
