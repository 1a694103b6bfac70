"""Limit on a team's connections, and the choice of the connection that a new one replaces. Pure.

A connection counts for a team from its opening where its front end is bound to a team, else from when its
headers name one; before that only the front's table counts it. Invariants: another team's connection is never
touched; a connection that has begun to send, or may have, is never ended for another; a bound that is lowered
ends nothing by itself.
"""

import math
from collections.abc import Iterable
from typing import Protocol, TypeVar

from beechrock.connections.table import Connection, Placement, State, state_of


class HeldConnection(Connection, Protocol):
    """A connection that counts for a team."""

    def is_silent(self) -> bool:
        """Return whether no byte sent on this connection has been read yet; some may wait in the kernel."""


C = TypeVar("C", bound=HeldConnection)


def place_for_team(held: Iterable[C], max_connections: float, now: float) -> tuple[Placement, C | None]:
    """Return the placement of a team's new connection, and the ``held`` connection to close for it, if any.

    ``held`` is in the order of joining, so the oldest silent connection is closed. A connection whose
    answer is on its way no longer counts.
    """
    if max_connections == math.inf:
        return Placement.FREE, None
    live = [connection for connection in held if not connection.closing]
    if len(live) < max_connections:
        return Placement.FREE, None
    for connection in live:
        # The request of a new connection may be on its way or in the kernel, so its silence means nothing.
        if connection.is_silent() and state_of(connection, now) is State.SILENT:
            return Placement.REPLACE, connection
    return Placement.REJECT, None
