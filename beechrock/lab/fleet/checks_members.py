"""What the history of a membership may hold; pure. Death there is advice, so a false one breaks nothing: what
is judged is that news is only ever replaced by greater news, and by nobody's invention."""

from typing import Any

Event = dict[str, Any]
Word = tuple[int, int, int]  # life, incarnation, state: the greater one wins
STATES = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}


def _who(event: Event) -> str:
    return f"{event.get('node')} (process {event.get('run', 1)})"


def members(history: list[Event]) -> list[str]:
    """No word goes back at who told it, and nobody tells of a life or an incarnation that its own process did
    not tell of; at the end all know all, where the history has the end of the faults."""
    found, lives, told = [], dict[str, dict[int, Event]](), dict[tuple[str, int], int]()
    put_back: set[str] = set()  # whose folder is an older copy: its next life may be a former one
    newest: dict[str, Event] = {}  # the last process of each
    for event in history:
        match event.get("event"):
            case "lab" if event["what"] == "restore copy":
                put_back.add(str(event["node"]))
            case "members":
                name, life = str(event["member"]), event["life"]
                before = max(lives.setdefault(name, {}), default=0)
                if life <= before and name not in put_back:
                    found.append(f"members: {_who(event)} begins as life {life} after {before}")
                put_back.discard(name)
                lives[name][life] = event
                newest.pop(name, None)
                if life > before:  # else the others take it for a former process, and it is silent
                    newest[name] = event
                told.setdefault((name, life), 0)
            case "member" if event["member"] == event["node"]:
                key = str(event["member"]), event["life"]
                told[key] = max(told.get(key, 0), event["incarnation"])
    found += _words(history, lives, told)
    return found + (_ends(history, newest) if _settled(history) is not None else [])


def _words(
    history: list[Event],
    lives: dict[str, dict[int, Event]],
    told: dict[tuple[str, int], int],
) -> list[str]:
    """Each told by one process of another one: greater than the last, and none made up."""
    found, last = [], dict[tuple[str, str], Word]()
    for event in history:
        if event.get("event") != "member":
            continue
        name, state = str(event["member"]), str(event["state"])
        key, word = (_who(event), name), (event["life"], event["incarnation"], STATES[state])
        known = last.get(key)
        if name in lives and word[0] not in lives[name]:
            found.append(f"members: {_who(event)} tells of life {word[0]} of {name}, which had none such")
        elif word[1] > told.get((name, word[0]), 0):
            found.append(
                f"members: {_who(event)} tells of incarnation {word[1]} of {name}, life {word[0]}, "
                f"which told of {told.get((name, word[0]), 0)} at most"
            )
        # Only the dead and those that left are forgotten; what is met anew may be any word of it.
        if event.get("before") == "unknown":
            if known is not None and known[2] < STATES["dead"]:
                found.append(f"members: {_who(event)} forgot {name}, which was not dead to it")
        elif known is not None and word <= known:
            found.append(
                f"members: {_who(event)} has {name} {state} by {word[:2]} after "
                f"{list(STATES)[known[2]]} by {known[:2]}"
            )
        last[key] = word
    return found


def _settled(history: list[Event]) -> int | None:
    return next(
        (n for n, event in enumerate(history) if event.get("event") == "lab" and event["what"] == "settle"),
        None,
    )


def _ends(history: list[Event], newest: dict[str, Event]) -> list[str]:
    """After the faults, and before the laboratory ends the processes: all have the newest life of all as one
    that lives. A suspicion may be open at any time."""
    begun = _settled(history) or 0
    over = next(
        (
            n
            for n, event in enumerate(history)
            if n > begun and event.get("event") == "lab" and event["what"] == "kill"
        ),
        len(history),
    )
    views: dict[tuple[str, str], Event] = {}
    for event in history[:over]:
        node = str(event.get("node"))
        if event.get("event") == "member" and node in newest and event["run"] == newest[node]["run"]:
            views[node, str(event["member"])] = event
    found = []
    for node in newest:
        for other in newest.keys() - {node}:
            seen = views.get((node, other))
            if seen is None:
                found.append(f"members: {_who(newest[node])} never met {other}")
            elif seen["life"] != newest[other]["life"] or STATES[seen["state"]] >= STATES["dead"]:
                found.append(
                    f"members: at the end {_who(seen)} has {other} {seen['state']} by life "
                    f"{seen['life']}, and it lives by {newest[other]['life']}"
                )
    return found
