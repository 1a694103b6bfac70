"""The rules on sockets, checked over a whole play."""

import itertools
from collections.abc import Iterable

from standin import frames
from standin.agent import Agent
from standin.front import Try
from standin.record import Record
from standin.settings import SLACK_S

OWN_S = 0.05  # what the stand-ins themselves may take to read an answer


def check_answers(record: Record, tries: Iterable[Try], agents: list[Agent]) -> None:
    """Check that each try got one answer in time, and that what was served is what a run made."""
    results = {trace: result for agent in agents for trace, result in agent.over.items() if result}
    by_nonce: dict[str, list[str]] = {}
    tries = list(tries)
    for one in tries:
        if one.nonce is not None:
            by_nonce.setdefault(one.nonce, []).append(one.trace)
    for one in tries:
        if not one.written or one.excused:
            continue
        if not one.answers:
            record.breach("lost", one.trace, one.klass, "got no answer")
            continue
        at, reply = one.answers[0]
        late = at - (one.written + one.give_up_s + SLACK_S)
        if late > OWN_S:
            record.breach("lost", one.trace, one.klass, f"answered {late:.3f} s too late")
        if reply.code == frames.SERVED:
            fit = [one.trace, *by_nonce.get(one.nonce or "", [])]
            if reply.body not in [results.get(trace) for trace in fit]:
                record.breach("lost", one.trace, "served with what no run made for it:", reply.body)
        if reply.code == frames.REFUSED and one.nonce and any(one.trace in a.started for a in agents):
            record.breach("duplicate", one.trace, "refused, although it ran")


def check_keys(record: Record, tries: Iterable[Try], agents: list[Agent], window_s: float) -> None:
    """Check that no try of a keyed request ran that was written within the window of one that ran."""
    by_nonce: dict[str, list[Try]] = {}
    for one in tries:
        if one.nonce is not None:
            by_nonce.setdefault(one.nonce, []).append(one)
    for nonce, same in by_nonce.items():
        ran = [one for one in same if any(one.trace in agent.started for agent in agents)]
        ran.sort(key=lambda one: one.written)
        for first, second in itertools.pairwise(ran):
            if second.written < first.written + window_s:
                record.breach("duplicate", nonce, "ran twice:", first.trace, second.trace)


def check_calls(
    record: Record, calls: list[tuple[float, str, bytes]], proven: set[bytes], writes: set[str]
) -> None:
    """Check that no call of a write was made again, unless the first one was turned away."""
    seen: dict[bytes, int] = {}
    for _, trace, body in calls:
        seen[body] = seen.get(body, 0) + 1
        if seen[body] > 1 and trace in writes and body not in proven:
            record.breach("duplicate", "a call of a write was made again:", body)
