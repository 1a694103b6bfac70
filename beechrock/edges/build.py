"""Builds the state machine of an edge's member from its components. Pure."""

from collections.abc import Mapping

from beechrock.edges.copies import Copies
from beechrock.edges.edge import Edge
from beechrock.edges.holder import Holder
from beechrock.edges.link import Link
from beechrock.edges.queue import Queue
from beechrock.edges.replay import Pace, Picker
from beechrock.edges.whom import UpstreamChoice
from beechrock.edges.words import Log, Names

HEARD_PROBES = 6.0  # Probe intervals after which a silent member is not expected to take copies


def edge(
    names: Names,
    log: Log,
    now: float,
    *,
    probe_s: float,
    copies: int,
    most_bytes: int,
    shares: Mapping[str, float],
    without: frozenset[str] = frozenset(),
    folder: bytes = b"",
) -> Edge:
    """Return a new edge member; ``without`` names guards to disable and is for tests only."""
    queue = Queue(most_bytes, without)
    holder = Holder(Picker(queue), Pace(without=without))
    held = Copies(names.me, names.members, copies, max(2.0, HEARD_PROBES * probe_s), without)
    return Edge(
        names,
        log,
        Link(probe_s, now, without=without),
        queue,
        held,
        holder,
        UpstreamChoice(names.upstreams),
        shares,
        without,
        folder=folder,
    )
