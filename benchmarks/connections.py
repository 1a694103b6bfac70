"""Connections made anew by callers that return: the table's rule against age alone, on the same callers.

Pairs: each seed plays both. Front ends return on a connection of theirs; clients ask once and stay; some
tries are refused and come back when they were asked to. Simulated, driven clock: the same on every machine.
A missed target: exit 1. ``--short``: fewer seeds and less time.
"""

import argparse
import random
import sys
from dataclasses import dataclass
from heapq import heappop, heappush

from beechrock.connections import table
from beechrock.connections.table import Placement

SEED = 11
MOST = 190  # places: the smallest table that a deployment tells
IDLE_S, CALLERS_IDLE_S = 1.5, 30.0  # the node against a full table, and what callers keep
SERVED_S = 0.4


@dataclass(eq=False, slots=True)
class One:
    opened_at: float
    last_message_at: float
    messages_received: int = 0
    refused_at: float = 0.0
    retry_at: float = 0.0
    closing: bool = False
    rejected: bool = False
    busy_until: float = 0.0
    now: float = 0.0

    def has_pending_answer(self) -> bool:
        return self.busy_until > self.now

    def has_unread_input(self) -> bool:
        return False


class Table:
    """One front's connections under one of the two rules."""

    def __init__(self, by_age: bool) -> None:
        self.by_age, self.there = by_age, set[One]()
        self.made = self.made_by_returning = self.refused = self.tries = 0

    def ask(self, c: One | None, now: float, returning: bool) -> One | None:
        """A caller with its connection, or without one; None if it got no place."""
        self.tries += 1
        if c is None or c not in self.there:
            self.made += 1
            self.made_by_returning += returning
            c = self.connect(now)
            if c is None:
                self.refused += 1
                return None
        c.messages_received, c.last_message_at, c.retry_at, c.busy_until = (
            c.messages_received + 1,
            now,
            0.0,
            now + SERVED_S,
        )
        return c

    def connect(self, now: float) -> One | None:
        for c in self.there:
            c.now = now
        if self.by_age:
            room, least = Placement.FREE, None
            if len(self.there) >= MOST:
                quiet = [c for c in self.there if not c.has_pending_answer()]
                least = min(quiet, key=lambda c: c.last_message_at) if quiet else None
                room = Placement.REPLACE if quiet else Placement.REJECT
        else:
            room, least = table.place_connection(self.there, MOST, now)
        if room is Placement.REJECT:
            return None
        if least is not None:
            self.there.discard(least)
        new = One(now, now, now=now)
        self.there.add(new)
        return new

    def sweep(self, now: float) -> None:
        for c in list(self.there):
            c.now = now
            idle = (
                (now > c.last_message_at + IDLE_S and not c.has_pending_answer())
                if self.by_age
                else (table.ends_at_sweep(c, 0, now, IDLE_S, CALLERS_IDLE_S) is not None)
            )
            if idle:
                self.there.discard(c)


def play(seed: int, seconds: float, by_age: bool) -> Table:
    """100 connections of front ends that return every second in the mean, and 50 clients a second."""
    rng, rule, now = random.Random(seed), Table(by_age), 0.0
    coming: list[tuple[float, int, One | None, bool]] = [
        (rng.uniform(0, 1), n, None, True) for n in range(100)
    ]
    coming += [(rng.uniform(0, seconds), 1000 + n, None, False) for n in range(int(50 * seconds))]
    coming.sort(key=lambda entry: entry[:2])
    swept = 0.0
    while coming and coming[0][0] < seconds:
        now, ident, c, returning = heappop(coming)
        while swept + 0.5 <= now:
            swept += 0.5
            rule.sweep(swept)
        c = rule.ask(c, now, returning)
        # What is drawn hangs on the caller and its moment alone, so that both rules see the same.
        drawn = random.Random(f"{seed} {ident} {now:.6f}")
        if c is not None and drawn.random() < 0.2:  # refused, and asked to come back
            after = drawn.choice([1.0, 2.0, 3.0])
            c.busy_until, c.refused_at, c.retry_at = now, now, now + after
            heappush(coming, (now + after + 0.01, ident, c, True))
        elif returning and ident < 1000:
            heappush(coming, (now + SERVED_S + drawn.expovariate(1.0), ident, c, True))
    return rule


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    short = parser.parse_args().short
    seeds, seconds = (3, 30.0) if short else (10, 120.0)
    missed = 0
    print(f"{MOST} places, seeds {SEED} to {SEED + seeds - 1}, {seconds:g} s each; driven clock")
    for seed in range(SEED, SEED + seeds):
        old, new = play(seed, seconds, by_age=True), play(seed, seconds, by_age=False)
        part = new.made_by_returning / old.made_by_returning
        kept = part <= 0.9 and new.refused <= old.refused
        missed += not kept
        print(
            f"{'kept  ' if kept else 'MISSED'} seed {seed}: anew by who returns {new.made_by_returning} of "
            f"{new.tries} tries, by age {old.made_by_returning}: {part:.2f} (at most 0.90);"
            f" without a place {new.refused}, by age {old.refused} (no more)"
        )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
