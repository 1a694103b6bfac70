"""What a history may hold of copies and leases: functions over the events of all processes. Pure.

Read: ``replica.put`` and ``replica.kept`` (kind, key, dots, seen), the laboratory's ``copies`` (what each
node held at the end), ``budget.lease`` (pot, id, amount, whole), ``budget.back`` (id, n, amount, done) and
``budget.spent`` (team, period, spent, back: so far, of one process).
"""

from typing import Any

Event = dict[str, Any]


def replica(history: list[Event]) -> list[str]:
    return [*spent(history), *given_back(history), *copies(history)]


def spent(history: list[Event]) -> list[str]:
    """In no prefix more than the whole of a team's period; a process's counts only grow."""
    found, wholes, counts = [], dict[tuple[str, int], float](), dict[tuple[str, int, str, Any], float]()
    told: set[tuple[str, int]] = set()
    before: dict[tuple[str, int, str, Any], tuple[float, float]] = {}
    for event in history:
        if event.get("event") == "budget.lease" and event["pot"][0] == "budget":
            pot = str(event["pot"][1]), int(event["pot"][2])
            wholes[pot] = max(wholes.get(pot, 0.0), event["whole"])
        elif event.get("event") == "budget.spent":
            pot = str(event["team"]), int(event["period"])
            who = (*pot, str(event.get("node")), event.get("run", 1))
            last = before.get(who, (0.0, 0.0))
            if event["spent"] < last[0] - 1e-9 or event["back"] < last[1] - 1e-9:
                found.append(f"replica: {who} counts back from {last}")
            before[who] = event["spent"], event["back"]
            counts[who] = event["spent"] - event["back"]
            total = sum(count for one, count in counts.items() if one[:2] == pot)
            if pot in wholes and total > wholes[pot] + 1e-6 and pot not in told:
                told.add(pot)
                found.append(f"replica: {total:g} of {wholes[pot]:g} spent of {pot}")
            elif pot not in wholes and total > 1e-6 and pot not in told:
                told.add(pot)
                found.append(f"replica: {total:g} spent of {pot}, of which nobody has a lease")
    return found


def given_back(history: list[Event]) -> list[str]:
    """A give-back of a lease has one amount, and is done once by its process."""
    found, amounts = [], dict[tuple[Any, Any], Event]()
    for event in history:
        if event.get("event") != "budget.back":
            continue
        key = event["id"], event["n"]
        first = amounts.setdefault(key, event)
        if (first["amount"], first.get("node"), first.get("run")) != (
            event["amount"],
            event.get("node"),
            event.get("run"),
        ):
            found.append(f"replica: give-back {key} is {first['amount']:g} and {event['amount']:g}")
    return found


def copies(history: list[Event]) -> list[str]:
    """At the end (the laboratory's ``copies``, values by kind and key and node) all are equal; what was kept
    stands, or something that had seen it; nothing stands that a later write had seen."""
    found, last = [], dict[str, dict[str, dict[str, Any]]]()
    puts = [event for event in history if event.get("event") == "replica.put"]
    kept = {dot for event in history if event.get("event") == "replica.kept" for dot in event["dots"]}
    for event in history:
        if event.get("event") == "lab" and event.get("what") == "copies":
            last[str(event["node"])] = event["held"]
    for node, held in last.items():
        first = next(iter(last))
        if held != last[first]:
            found.append(f"replica: copies differ: {first} has {last[first]}, {node} has {held}")
        for put in puts:
            name, dots = f"{put['kind']} {put['key']}", set(held.get(f"{put['kind']} {put['key']}", {}))
            for dot in put["dots"]:
                after = {
                    later
                    for one in puts
                    if f"{one['kind']} {one['key']}" == name and _saw(one, dot) and dot not in one["dots"]
                    for later in one["dots"]
                }
                if dot in kept and put["what"] != "delete" and dot not in dots and not after:
                    found.append(f"replica: {name} of {dot} was kept, and is gone at {node}")
                if dot in dots and after & kept:
                    found.append(f"replica: {name} of {dot} stands at {node}, and {after & kept} had seen it")
    return found


def _saw(event: Event, dot: str) -> bool:
    writer, _, n = dot.rpartition(":")
    return bool(int(n) <= event["seen"].get(writer, 0))
