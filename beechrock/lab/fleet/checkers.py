"""What a whole history may hold: functions over the events of all processes, none of which took part in it.
Pure.

A history is a list of events as ``Fleet.history`` gives it: each process's own order is kept, and those of
several are merged by one machine's clock. Each checker gives a line for each thing that can never be.
"""

from collections.abc import Callable, Iterable
from itertools import pairwise
from typing import Any

from beechrock.lab.fleet import checks_lowering
from beechrock.lab.fleet.checks_members import members
from beechrock.lab.fleet.checks_releases import releases
from beechrock.lab.fleet.checks_replica import replica

Event = dict[str, Any]
Checker = Callable[[list[Event]], list[str]]
REFUSED = "the service refused it"
OVER = {"applied", "refused", "expired", "discarded", "skipped"}  # how a queued write may end


def _of(history: Iterable[Event], name: str) -> Iterable[Event]:
    return (event for event in history if event.get("event") == name)


def _who(event: Event) -> str:
    return f"{event.get('node')} (process {event.get('run', 1)})"


def agree(history: list[Event]) -> list[str]:
    """One leader a term; commits of one index are the same everywhere, and go on within a process."""
    found, leaders, commits = [], dict[int, Event](), dict[int, Event]()
    for event in _of(history, "agree.lead"):
        first = leaders.setdefault(event["term"], event)
        if _who(first) != _who(event):
            found.append(f"agree: term {event['term']} was led by {_who(first)} and by {_who(event)}")
    newest: dict[str, int] = {}
    for event in _of(history, "agree.commit"):
        index = event["index"]
        first = commits.setdefault(index, event)
        if (first["term"], first["digest"]) != (event["term"], event["digest"]):
            found.append(
                f"agree: index {index} is {first['digest']} of term {first['term']} at "
                f"{_who(first)}, and {event['digest']} of term {event['term']} at {_who(event)}"
            )
        if index <= newest.get(_who(event), 0):
            found.append(f"agree: {_who(event)} commits {index} after {newest[_who(event)]}")
        newest[_who(event)] = index
    # Terms of commits grow with their indices, whoever told of them.
    ordered = [commits[index] for index in sorted(commits)]
    found += [
        f"agree: index {b['index']} of term {b['term']} after {a['index']} of term {a['term']}"
        for a, b in pairwise(ordered)
        if b["term"] < a["term"]
    ]
    return found


def duties(history: list[Event]) -> list[str]:
    """No receiver accepts an effect under an older fence after a newer one; a fence is one process's."""
    found, newest, holders = [], dict[tuple[str, str], int](), dict[tuple[str, int], Event]()
    for event in _of(history, "effect"):
        # The receiver remembers over its restarts, so its processes are one here.
        key = str(event.get("node")), str(event["duty"])
        if not event["accepted"]:
            continue
        if event["fence"] < newest.get(key, 0):
            found.append(
                f"duties: {_who(event)} accepted fence {event['fence']} of {event['duty']} after "
                f"{newest[key]}"
            )
        newest[key] = max(newest.get(key, 0), event["fence"])
    for event in _of(history, "duty"):
        if str(event.get("state")).lower() not in ("holding", "taking"):
            continue
        first = holders.setdefault((str(event["name"]), event["fence"]), event)
        if _who(first) != _who(event):
            found.append(
                f"duties: fence {event['fence']} of {event['name']} was held by {_who(first)} "
                f"and by {_who(event)}"
            )
    return found


def edges(history: list[Event], settled: bool = True) -> list[str]:
    """Nothing accepted is lost, runs twice, or before what its caller had seen.

    ``settled``: the history ends healed and with nothing queued, so what has no end by then is lost.
    """
    found, over, nonces = [], dict[str, str](), dict[str, Event]()
    # All first: an upstream may log what it ran before the edge that handed it on has logged its acceptance.
    accepted = {event["receipt"]: event for event in _of(history, "edge.accepted")}
    for event in history:
        match event.get("event"):
            case "edge.applied":
                receipt, nonce = event["receipt"], event["nonce"]
                # With a reason: it stands as applied because another try of its key ran.
                if nonce in nonces and not event.get("why"):
                    found.append(
                        f"edges: {receipt} ran twice (nonce {nonce}): at {_who(nonces[nonce])} "
                        f"and at {_who(event)}"
                    )
                nonces.setdefault(nonce, event)
                early = sorted(_causes(receipt, accepted) - over.keys())
                if early:
                    found.append(
                        f"edges: {receipt} was applied before {', '.join(early)}, which its caller had seen"
                    )
                over[receipt] = "applied"
            case "edge.ended" if event["state"] in OVER:
                over.setdefault(event["receipt"], event["state"])
    # Killed between its sync and its log, an upstream tells nothing of what it ran; its servers do.
    ran = {event["key"] for event in _of(history, "lab") if event["what"] == "ran"}
    if ran:  # seen: another node's answer, of a write steered there, was taken for the service's own
        found += [
            f"edges: {event['receipt']} ({event['nonce']}) is {event['state']} by a service not asked"
            for event in history
            if (event["event"] == "edge.applied" or event.get("why") == REFUSED) and event["nonce"] not in ran
        ]
    if settled:
        found += [
            f"edges: {receipt}, accepted at {_who(event)}, was lost"
            for receipt, event in accepted.items()
            if receipt not in over and event.get("nonce") not in ran
        ]
    return found


def _causes(receipt: str, accepted: dict[str, Event]) -> set[str]:
    """Accepted writes that its caller had seen: told as receipts, or as the newest of each writer."""
    seen = accepted.get(receipt, {}).get("seen", ())
    if isinstance(seen, dict):  # receipts are WRITER:N there
        split = [(one, *one.rpartition(":")[::2]) for one in accepted]
        return {one for one, writer, n in split if one != receipt and int(n) <= seen.get(writer, 0)}
    return {one for one in seen if one in accepted}


def lowering(history: list[Event]) -> list[str]:
    """A generation is the same tables for one hardware class everywhere."""
    found, first = [], dict[tuple[Any, Any], Event]()
    for event in _of(history, "lowering.active"):
        one = first.setdefault((event["generation"], event.get("hardware")), event)
        if one["digest"] != event["digest"]:
            found.append(
                f"lowering: generation {event['generation']} is {one['digest']} at {_who(one)} and "
                f"{event['digest']} at {_who(event)}"
            )
    return found


def sound(history: list[Event]) -> list[str]:
    """No process broke an invariant of its own, and said so."""
    return [
        f"sound: {_who(event)}: {event.get('error')}: {event.get('what', '')}"
        for event in history
        if event.get("error") == "BrokenInvariantError"
    ]


CHECKERS: dict[str, Checker] = {
    "agree": agree,
    "duties": duties,
    "edges": edges,
    "lowering": lowering,
    "members": members,
    "releases": releases,
    "replica": replica,
    "sound": sound,
    "ways": checks_lowering.ways,
}
READS = {
    "agree": ("agree.lead", "agree.commit"),
    "duties": ("duty", "effect"),
    "edges": ("edge.accepted", "edge.applied", "edge.ended"),
    "lowering": ("lowering.active",),
    "members": ("members", "member"),
    "ways": checks_lowering.READS,
    "replica": ("budget.lease", "budget.spent", "replica.put"),
    "releases": ("releases.described", "permit", "release", "node.out", "node.in"),
}


def read_by(history: list[Event], names: Iterable[str]) -> dict[str, int]:
    """How many events each checker read: one that read none has found nothing out."""
    return {
        name: sum(event["event"] in READS[name] for event in history) if name in READS else len(history)
        for name in names
    }


def check(history: list[Event], names: Iterable[str]) -> list[str]:
    """What these checkers find."""
    return [line for name in names for line in CHECKERS[name](history)]
