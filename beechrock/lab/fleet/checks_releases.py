"""What a history may hold of permits and releases, counted anew from events alone. Pure.

Events of the log, as any node told them at their index: ``releases.described``, ``permit``, ``release``.
Events of a node about itself, which took no part in granting: ``node.out`` (``already``: it was drained when
it found its ``go``, as a life is that came up by its marker), ``node.in``.
"""

from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]
ENDS = {"back", "forced"}


def releases(history: list[Event]) -> list[str]:
    """Never too many out, by permit or by the nodes' own word; one permit a fence; no step twice."""
    found, log = list[str](), dict[int, list[Event]]()
    first: dict[tuple[Any, ...], Event] = {}
    for event in history:
        if event.get("event") not in ("releases.described", "permit", "release") or "index" not in event:
            continue
        key = event["index"], event["event"], event.get("target")
        one = first.setdefault(key, event)
        if one is event:
            log.setdefault(event["index"], []).append(event)
        elif _content(one) != _content(event):
            found.append(
                f"releases: index {key[0]} is {_content(one)} at {one.get('node')} and "
                f"{_content(event)} at {event.get('node')}"
            )
    ordered = [event for index in sorted(log) for event in log[index]]
    return found + _permits(ordered) + _steps(ordered) + _nodes(history, ordered)


def _content(event: Event) -> Any:
    return sorted(
        (key, str(value)) for key, value in event.items() if key not in ("node", "run", "timestamp", "level")
    )


def _permits(ordered: Iterable[Event]) -> list[str]:
    found, held, fences = list[str](), dict[str, Event](), dict[int, str]()
    groups = Groups()
    for event in ordered:
        if event["event"] == "releases.described":
            groups.described(event)
            held = {name: one for name, one in held.items() if name in groups.targets}
        if event["event"] != "permit":
            continue
        target, fence, state = event["target"], event["fence"], event["state"]
        if state in ("granted", "claimed"):
            if target in held:
                found.append(f"releases: {target} has fences {held[target]['fence']} and {fence} at once")
            if fences.setdefault(fence, target) != target:
                found.append(f"releases: fence {fence} is of {fences[fence]} and of {target}")
            held[target] = event
            if not event["over"]:
                found += [
                    f"releases: at index {event['index']} {line}" for line in groups.over(set(held), target)
                ]
        elif target not in held or held[target]["fence"] != fence:
            found.append(f"releases: {target} {state} under {fence}, which is not its permit")
        elif state in ENDS:
            del held[target]
    return found


def _steps(ordered: Iterable[Event]) -> list[str]:
    found, done = list[str](), set[tuple[Any, ...]]()
    for event in ordered:
        if event["event"] == "release" and event["what"] == "planned":
            done = {key for key in done if key[0] != event["name"]}
        if event["event"] == "release" and event["what"] == "unchanged":
            done.discard((event["name"], event["target"], "sent", event["back"]))
        if event["event"] != "release" or event["what"] not in ("sent", "returned"):
            continue
        key = event["name"], event["target"], event["what"], event["back"]
        if key in done:
            found.append(f"releases: {event['target']} was {event['what']} twice in release {event['name']}")
        done.add(key)
    return found


def _nodes(history: list[Event], ordered: list[Event]) -> list[str]:
    """Each node's own word on when it went out and came back, by the one machine's clock."""
    found, groups = list[str](), Groups()
    last = [event for event in ordered if event["event"] == "releases.described"]
    ends: dict[int, str] = {}
    over, went = set[int](), set[int]()
    for event in ordered:
        if event["event"] == "permit":
            if event["state"] == "forced":
                ends[event["fence"]] = "forced"
            if event["state"] == "gone":
                went.add(event["fence"])
            if event["over"]:
                over.add(event["fence"])
    if last:
        groups.described(last[-1])
    out: dict[str, int] = {}
    gone: dict[str, set[int]] = {}  # by node: fences whose ``go`` it had applied itself
    for event in history:
        name = str(event.get("node"))
        match event.get("event"):
            case "permit" if event["state"] == "gone":
                gone.setdefault(name, set()).add(event["fence"])
            case "permit" if event["state"] == "back" and out.get(event["target"]) == event["fence"]:
                found.append(f"releases: {event['target']} is back under {event['fence']} and still out")
            case "node.out":
                # A life that came up drained may have its `go` from a snapshot, and tells of none.
                if event["fence"] not in (went if event.get("already") else gone.get(name, ())):
                    found.append(f"releases: {name} went out under {event['fence']}, and knew of no `go`")
                out[name] = event["fence"]
                if event["fence"] not in over:
                    counted = {one for one, fence in out.items() if ends.get(fence) != "forced"}
                    found += [
                        f"releases: by the nodes' own word {line}" for line in groups.over(counted, name)
                    ]
            case "node.in":
                out.pop(name, None)
    return found


class Groups:
    """Targets and budgets as they were described, read anew."""

    def __init__(self) -> None:
        self.targets: dict[str, list[Any]] = {}
        self.budgets: list[list[Any]] = []

    def described(self, event: Event) -> None:
        self.targets, self.budgets = {row[0]: row for row in event["targets"]}, event["budgets"]

    def over(self, out: set[str], target: str) -> list[str]:
        """What one more, ``target``, breaks, with all of ``out`` out."""
        if target not in self.targets:
            return []
        found, (_, kind, hall, services, _) = list[str](), self.targets[target]
        for name, most, part, of_kind, of_hall, service, hardware, each_hall in self.budgets:
            mine = {
                row[0]
                for row in self.targets.values()
                if row[1] == of_kind
                and of_hall in ("", row[2])
                and (not service or service in row[3])
                and hardware in ("", row[4])
                and (not each_hall or row[2] == hall)
            }
            if target not in mine:
                continue
            allowed = most if most is not None else max(1, int(part * len(mine) + 1e-9)) if part else 0
            if len(out & mine) > min(allowed, len(mine) - 1):
                found.append(f"{sorted(out & mine)} are out, budget {name} allows {allowed}")
        peers = {row[0] for row in self.targets.values() if row[1] == kind and row[2] == hall}
        if kind == "node" and hall and peers <= out:
            found.append(f"the last of hall {hall}, {target}, is out")
        for service in services if kind == "server" else ():
            if {row[0] for row in self.targets.values() if row[1] == kind and service in row[3]} <= out:
                found.append(f"the last of service {service}, {target}, is out")
        return found
