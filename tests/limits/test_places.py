"""Which connections of a team are kept, over random histories."""

import random
from dataclasses import dataclass

import pytest

from beechrock.connections.table import CROSSING_S, Placement
from beechrock.limits.places import place_for_team


@dataclass(eq=False)
class FakeConnection:
    opened_at: float
    was_read: bool = False  # whether its first bytes were read
    unread_input: bool = False  # whether its first bytes are still in the kernel
    closing: bool = False
    messages_received: int = 0
    retry_at: float = 0.0
    refused_at: float = 0.0
    rejected: bool = False
    last_message_at: float = 0.0

    def has_pending_answer(self) -> bool:
        return self.messages_received > 0 and not self.closing

    def has_unread_input(self) -> bool:
        return self.unread_input

    def has_partial_message(self) -> bool:
        return False  # an SCGI connection is answered before it ends, whatever came of its request

    def is_silent(self) -> bool:
        return not self.was_read


@pytest.mark.parametrize("seed", range(10))
def test_a_team_stays_within_its_connection_limit_and_only_its_silent_connections_end(seed: int) -> None:
    rng, held, now, max_connections, placements = (
        random.Random(seed),
        list[FakeConnection](),
        0.0,
        6,
        set[Placement](),
    )
    for _ in range(2000):
        now += rng.choice((0.0, 0.01, CROSSING_S * 2))
        if rng.random() < 0.02:
            max_connections = rng.choice((2, 6))
        if rng.random() < 0.5 and held:
            connection = rng.choice(held)
            if connection.was_read:
                connection.closing = connection.messages_received > 0
                connection.messages_received = 1
            elif rng.random() < 0.6:
                connection.was_read, connection.unread_input = (
                    connection.unread_input,
                    not connection.unread_input,
                )
            held = [c for c in held if not c.closing or rng.random() < 0.5]
            continue
        before = sum(not c.closing for c in held)
        silent = [
            c
            for c in held
            if not (c.closing or c.was_read or c.unread_input) and now - c.opened_at > CROSSING_S
        ]
        placement, replaced = place_for_team(held, max_connections, now)
        placements.add(placement)
        assert placement is (
            Placement.FREE if before < max_connections else Placement.REPLACE if silent else Placement.REJECT
        )
        assert replaced is (silent[0] if placement is Placement.REPLACE else None)
        if replaced is not None:
            replaced.closing = True
        if placement is not Placement.REJECT:
            held.append(FakeConnection(now))
        assert sum(not c.closing for c in held) <= max(before, max_connections)
    assert len(placements) == 3 and place_for_team(held, float("inf"), now) == (Placement.FREE, None)
