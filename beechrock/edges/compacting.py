"""Compaction of an edge's log: old waiting writes are appended again, then a snapshot is saved. Pure."""

from contextlib import suppress
from typing import TYPE_CHECKING

import msgpack

from beechrock.store.errors import StoreFullError

if TYPE_CHECKING:
    from beechrock.edges.edge import Edge

MAX_REWRITTEN = 256  # Maximum number of writes appended again in one pass


def compact(edge: "Edge") -> None:
    """Free the front of the log by appending old waiting writes again at its end, a few at a time."""
    # A store frees whole segments: without this threshold each turn would cost a pass that frees nothing.
    threshold = max(3 * edge.queue.bytes_held, edge.compacted_bytes) + edge.slack_bytes
    if edge.log.bytes_held < threshold:
        return
    # On a full disk as many writes as fit are appended again; the rest keep their place in the log.
    with suppress(StoreFullError):
        _compact(edge)
    edge.compacted_bytes = edge.log.bytes_held


def _compact(edge: "Edge") -> None:
    oldest = sorted((place, dot) for dot, _, place in edge.queue.live())
    for place, dot in oldest[:MAX_REWRITTEN] if oldest and oldest[0][0] - edge.log.first < 1024 else ():
        edge.queue.moved(dot, edge.log.append(edge.log.entry(place)))
    first = edge.queue.oldest_place()
    plain = [
        1,
        edge.have.plain(),
        edge.ended.plain(),
        [[*d, s.value, why] for d, (s, why) in edge.gone.items()],
        [[*d, order] for d, order in edge.orders.items()],
    ]
    edge.log.save_snapshot(edge.log.last if first is None else first - 1, msgpack.packb(plain))
