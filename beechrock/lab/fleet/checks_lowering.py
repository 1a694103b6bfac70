"""No request on two generations of policy: over the history of all nodes, where ``[lowering]`` has ``ways``.
Pure.

A ``lowering.way`` is one node's word on one request: ``trace`` (this node's name of it), ``request`` (digest
of its body, the same at all nodes; a body is one request), ``came`` (the generation that came with it, 0: it
began here, -1: from a node that runs no plan), ``generation``, ``steered``, ``refused``.
"""

from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]
READS = ("lowering.way", "lowering.active")


def ways(history: list[Event]) -> list[str]:
    """A request has one generation at each node; what begins goes by the one that is in force there, which
    only grows; what is steered keeps its own, and none comes out of nowhere."""
    found: list[str] = []
    first = dict[tuple[Any, Any, Any], int]()
    force = dict[tuple[Any, Any], int]()
    sent = {(e["request"], e["generation"]) for e in _of(history, "lowering.way") if e["steered"]}
    for event in history:
        who = event.get("node"), event.get("run", 1)
        told = f"{event.get('request')} at {who[0]} (process {who[1]})"
        match event.get("event"):
            case "lowering.active":
                if event["generation"] < force.get(who, 0):
                    found.append(
                        f"ways: {who[0]} (process {who[1]}) goes from generation {force[who]} back "
                        f"to {event['generation']}"
                    )
                force[who] = event["generation"]
            case "lowering.way":
                generation, came = event["generation"], event["came"]
                one = first.setdefault((*who, event["trace"]), generation)
                if one != generation:
                    found.append(f"ways: {told} went by generations {one} and {generation}")
                if came > 0 and generation != came:
                    found.append(f"ways: {told} came with generation {came}, and went by {generation}")
                if came > 0 and (event["request"], came) not in sent:
                    found.append(f"ways: {told} came with generation {came}, and nobody steered it by that")
                if came <= 0 and generation not in (-1, force.get(who)):
                    found.append(
                        f"ways: {told} began by generation {generation}, and {force.get(who)} is in "
                        "force there"
                    )
    return found


def _of(history: Iterable[Event], name: str) -> Iterable[Event]:
    return (event for event in history if event.get("event") == name)
