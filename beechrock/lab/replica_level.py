"""When a fleet's copies are at rest, and what each node holds then; for plays that compare them at the end.

Equal roots and whole stages are not rest. A node whose memory a peer takes for another's is told so with
that peer's next word, and then sets its causal records aside and takes a whole copy, whole or not
(docs/replication.md, rule 6). So rest wants the verdicts too, and a reading counts only between two looks
that found the same rest.
"""

import json
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol

View = Mapping[str, Any]  # of /replica
Rest = dict[str, tuple[str, tuple[str, ...]]]  # by node: its root and the turns of its stage
Copies = dict[str, dict[str, dict[str, str | None]]]  # by node: values by kind and key

ACCEPTED = ("same", "newer")


class Asked(Protocol):
    """What is wanted of a fleet."""

    async def call(self, name: str, method: str, path: str) -> tuple[int, str]: ...

    async def view(self, name: str, path: str) -> Any: ...

    async def until(self, wanted: Callable[[], Awaitable[Any]], within_s: float, what: str) -> Any: ...


def unrest(views: Mapping[str, View]) -> list[str]:
    """Why these copies are not at rest: what is broken, not whole, not equal or not accepted. Pure."""
    found = [f"{name} is {view['stage']}" for name, view in views.items() if view["stage"] != "whole"]
    found += [f"{name} is broken: {view['broken']}" for name, view in views.items() if view["broken"]]
    if len({view["root"] for view in views.values()}) > 1:
        found.append("roots differ")
    return found + [
        f"{judge} has {why} of {name}"
        for judge, view in views.items()
        for name, peer in view["peers"].items()
        if name in views and (why := _not_accepted(peer, views[name]))
    ]


def _not_accepted(peer: View, judged: View) -> str:
    """What a judge that shows ``peer`` still has against the one that shows ``judged``; empty: nothing."""
    if peer["opening"] != judged["store"]["opening"]:
        return "not heard this opening"  # its verdict is on a life before
    if peer["outdated"]:
        return "dropped tombstones unheard"
    # Seen in a play: a node was emptied, whole again, and killed before a peer that was cut off had heard so.
    # Back and equal, it was told ``other`` by that peer's second word, and read while it was empty.
    return "" if peer["memory"] in ACCEPTED else f"the verdict {peer['memory'] or 'none'}"


async def look(fleet: Asked, names: Iterable[str]) -> tuple[Rest, list[str]]:
    """What rest there is, and what speaks against it."""
    views = {name: await fleet.view(name, "/replica") for name in names}
    return {name: (view["root"], tuple(view["stages"])) for name, view in views.items()}, unrest(views)


async def at_rest(fleet: Asked, names: Iterable[str], notes: Iterable[str], within_s: float) -> Copies:
    """What each holds of these notes, read in one rest. LabError: there was none within that time."""
    names, notes = tuple(names), tuple(notes)

    async def reading() -> Copies | None:
        before, against = await look(fleet, names)
        if against:
            return None
        held = {name: await copies(fleet, name, notes) for name in names}
        after, against = await look(fleet, names)
        # One that copied anew in between, or took a late write, was not read in the state that was compared.
        return held if after == before and not against else None

    held: Copies = await fleet.until(reading, within_s, "equal copies at rest")
    return held


async def copies(fleet: Asked, name: str, notes: Iterable[str]) -> dict[str, dict[str, str | None]]:
    """What this node holds of these notes, but for those that are deleted there."""
    held = {}
    for note in notes:
        status, body = await fleet.call(name, "POST", f"/replica/get?kind=note&key={note}")
        if status != 200:
            raise ConnectionError(f"{name}: note {note}: {status} {body}")
        values = json.loads(body)["values"] or {}
        if any(value is not None for value in values.values()):
            held[f"note {note}"] = values
    return held


def set_aside_for_nothing(history: Iterable[Mapping[str, Any]], forgets: Iterable[str]) -> list[str]:
    """Nodes that set their records aside though their disks had forgotten nothing until then. Pure.

    ``forgets``: faults of a node, as the laboratory notes them, after which its disk may hold less.
    """
    found, may, forgets = [], set[str](), set(forgets)
    for event in history:
        node = str(event.get("node"))
        if event.get("event") == "lab" and (event["what"] == "emptied" or event.get("fault") in forgets):
            may.add(node)
        elif event.get("event") == "replica.stage" and event["stage"] == "snapshot" and node not in may:
            found.append(f"replica: {node} set its records aside, and its disk forgot nothing")
    return found
