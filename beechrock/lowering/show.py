"""Builds the view of the rollout that operators read at the admin address. Pure."""

from typing import Any

from beechrock.lowering.measure import Measures
from beechrock.lowering.rollout import Machine, Rollout


def view(machine: Machine, name: str, measures: Measures) -> dict[str, Any]:
    """Return this node's copy of the rollout state, as plain values."""

    def row(rollout: Rollout | None) -> dict[str, Any] | None:
        if rollout is None:
            return None
        return {
            "number": rollout.number,
            "digest": rollout.digest,
            "stage": rollout.stage,
            "by": rollout.by,
            "generation": rollout.generation,
            "state": rollout.state,
            "prepared": sorted(rollout.prepared),
            "cannot": rollout.cannot,
            "round": rollout.round,
            "missing": machine.missing(rollout),
        }

    nodes = {
        node_name: {"hardware": node.hardware, "hall": node.hall, "differs": node.differs}
        for node_name, node in sorted(machine.nodes.items())
    }
    return {
        "node": name,
        "generation": machine.generation,
        "under_way": row(machine.open),
        "in_force": row(machine.active),
        "before": row(machine.before),
        "refused": machine.refused,
        "last": machine.last,
        "broken": machine.broken,
        "memory_kb": round(measures.memory_kb, 3),
        "match_us": round(measures.match_us, 2),
        "nodes": nodes,
    }
