"""Eviction policy of a full table of connections, and idle timeouts. No I/O.

The state is kept by each connection (``Connection``); the server carries out the decisions.

States of a connection, in the order in which a full table evicts them:

- ``CLOSING``: its last answer is written, and its caller no longer needs it.
- ``SILENT``: sent no complete message, for longer than a request may cross a close.
- ``ONCE``: carried one message, and no answer is pending.
- ``RETURNING``: carried more than one message, and no answer is pending.
- ``EXPECTED``: its last request was refused with a retry time that has not passed.
- ``FRESH``: sent no complete message yet, but is too new to count as silent.
- ``BEGUN``: is in the middle of a message, a part of which came recently. If it were ended now, its caller
  would write the rest of the request into a closed connection.
- ``NEEDED``: has a pending answer or unread input. It is never evicted.

Invariants for any history (``tests/connections/test_table.py``):

1. A ``NEEDED`` connection is neither evicted nor closed as idle.
2. At most ``max_connections`` connections are served and at most ``MAX_REJECTED`` are rejected; further ones
   wait in the kernel's backlog (``accept_budget``).
3. A caller that was given a retry time finds its connection open at that time, unless the table is full of
   such connections and needed ones, or callers close idle connections before that time.
4. Connections that carried only one message are evicted before returning ones, unless the latter take more
   than ``PROTECTED_SHARE`` of the table: then only the age counts, so that new callers are not shut out.
"""

from collections.abc import Collection
from enum import IntEnum
from typing import Protocol, TypeVar

CROSSING_S = 0.05  # callers resend a request that crosses a close if they wrote it at most this long before
PROTECTED_SHARE = 0.8  # share for returning connections, as in a segmented LRU; the rest is for new callers
MAX_REJECTED = 16  # maximum number of connections that a full table rejects at a time: one turn's accepts
REJECTED_IDLE_S = 1.0  # idle timeout of rejected connections; a caller that honours type 6 closes at once
LATE_SHARE = 0.25  # a caller may return late by this share of the time that it was asked to wait
SILENT_SWEEPS = 4  # limit of sweeps without a complete message; no seconds, as a machine may pause
UNREAD_SWEEPS = 40  # limit of sweeps in which the peer read none of the output that waits to be sent


class Connection(Protocol):
    """Interface of a connection in the table; times in seconds of the server's clock."""

    opened_at: float
    last_message_at: float  # arrival of the last complete message; before the first one, the time of opening
    messages_received: int  # number of complete messages received
    refused_at: float  # when the caller was last refused with a retry time
    retry_at: float  # the retry time; 0 if none was given, or if the caller has sent a message since
    closing: bool
    rejected: bool  # the table was full, so that each request on the connection is refused at once

    def has_pending_answer(self) -> bool:
        """Return whether an answer, or a part of one, is still to be sent."""

    def has_unread_input(self) -> bool:
        """Return whether input has arrived that was not read yet."""

    def has_partial_message(self) -> bool:
        """Return whether a part of a message was read so recently that the rest may still arrive."""


C = TypeVar("C", bound=Connection)


class State(IntEnum):
    """State of a connection, ordered by the cost of its end for the caller, lowest first."""

    CLOSING, SILENT, ONCE, RETURNING, EXPECTED, FRESH, BEGUN, NEEDED = range(8)


class Placement(IntEnum):
    """Placement of a new connection: in a free place, in that of an evicted connection, or rejected."""

    FREE, REPLACE, REJECT = range(3)


class CloseReason(IntEnum):
    """Reason for which a sweep ends a connection."""

    STALE, IDLE = range(2)


def expected_until(c: Connection) -> float:
    """Return the latest time at which the caller may return, or 0 if it was given no retry time."""
    return c.retry_at + LATE_SHARE * (c.retry_at - c.refused_at) + CROSSING_S if c.retry_at else 0.0


def idle_state(c: Connection, now: float) -> State:
    """Return the state of a connection, without the check whether it is ``NEEDED``."""
    if c.closing:
        return State.CLOSING
    if c.has_partial_message():
        return State.BEGUN
    if not c.messages_received:
        return State.SILENT if now - c.opened_at > CROSSING_S else State.FRESH
    if c.retry_at and now <= expected_until(c):
        return State.EXPECTED
    return State.ONCE if c.messages_received == 1 else State.RETURNING


def state_of(c: Connection, now: float) -> State:
    """Return the state of a connection; unread input is checked last, as that needs a system call."""
    return State.NEEDED if c.has_pending_answer() or c.has_unread_input() else idle_state(c, now)


def victim(connections: Collection[C], max_connections: int, now: float) -> C | None:
    """Return the connection to evict, or None if all are needed.

    This takes one pass, as it is called for each connection in a rush of new ones: the expensive check for
    ``NEEDED`` is made only for a connection that would be a better choice than the best so far.
    """
    # Beyond their share, returning connections are compared by age alone; otherwise no new caller could stay.
    crowded = sum(c.messages_received > 1 for c in connections) > PROTECTED_SHARE * max_connections
    best, choice = (State.NEEDED, 0.0), None
    for c in connections:
        if best[0] <= State.ONCE and c.messages_received and c.last_message_at >= best[1] and not c.closing:
            continue  # costs at least ``ONCE`` and is younger, like most connections in a full table
        state = idle_state(c, now)
        if state is State.RETURNING and crowded:
            state = State.ONCE
        # Among connections with a retry time, evict the latest retry time first, as it is needed last.
        cost = state, -c.retry_at if state is State.EXPECTED else c.last_message_at
        if cost < best and not (c.rejected or c.has_pending_answer() or c.has_unread_input()):
            best, choice = cost, c
    return choice


def place_connection(
    connections: Collection[C], max_connections: int, now: float
) -> tuple[Placement, C | None]:
    """Return the placement of a new connection, and the connection to evict for it, if any."""
    if sum(not c.rejected for c in connections) < max_connections:
        return Placement.FREE, None
    if (replaced := victim(connections, max_connections, now)) is not None:
        return Placement.REPLACE, replaced
    return Placement.REJECT, None


def accept_budget(
    connections: Collection[C],
    max_connections: int,
    arriving: int,
    at_once: int,
    now: float,
) -> tuple[int, C | None]:
    """Return how many connections may be accepted now, and a rejected one to end for that, if any.

    ``arriving`` is the number of accepted connections that are not yet in the table. Each accepted connection
    is read, as requests may have arrived with it; further connections wait in the kernel's backlog, where no
    request is lost.
    """
    if len(connections) + arriving < max_connections:
        return at_once, None
    rejected = [c for c in connections if c.rejected]
    left = MAX_REJECTED - len(rejected) - arriving
    if left > 0:
        return min(left, at_once), None
    closable = [
        c
        for c in rejected
        if not (c.has_pending_answer() or c.has_partial_message() or c.has_unread_input())
        and (c.messages_received or c.closing or now - c.opened_at > CROSSING_S)
    ]
    oldest = min(closable, key=lambda c: c.opened_at, default=None)
    return min(at_once, max(0, left + (oldest is not None))), oldest


def idle_until(c: Connection, idle_s: float, callers_idle_s: float) -> float:
    """Return when an idle connection is closed; ``idle_s`` is the node's idle timeout.

    ``callers_idle_s`` is the callers' own idle timeout. A connection with a retry time is kept open until
    then, unless the callers would close it earlier.
    """
    return max(
        c.last_message_at + idle_s, min(expected_until(c), c.last_message_at + max(callers_idle_s, idle_s))
    )


def ends_at_sweep(
    c: Connection,
    silent_sweeps: float,
    now: float,
    idle_s: float,
    callers_idle_s: float,
) -> CloseReason | None:
    """Return the reason for which a sweep ends the connection, or None if it stays.

    ``silent_sweeps`` counts the sweeps without a complete message; an idle timeout of 0 means none.
    """
    if c.closing:
        return None
    if silent_sweeps > SILENT_SWEEPS:  # if the loop lags, a complete message may be unread
        return None if c.has_unread_input() else CloseReason.STALE
    if c.rejected:
        idle = now - c.last_message_at > REJECTED_IDLE_S and not (
            c.has_pending_answer() or c.has_unread_input()
        )
        return CloseReason.IDLE if idle else None
    if (
        not idle_s
        or c.has_pending_answer()
        or now <= idle_until(c, idle_s, callers_idle_s)
        or c.has_unread_input()
    ):
        return None
    return CloseReason.IDLE
