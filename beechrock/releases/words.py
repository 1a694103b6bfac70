"""Reports that nodes send to each other twice a second, and which nodes count as down by them. Pure.

Invariants: at most one report of each kind is kept for a node; a node counts as down if it was
silent for ``gone_s`` or reports, without a permit, that it does not serve; no report grants or ends a permit.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgpack

from beechrock.core.actor import ModuleActor
from beechrock.core.request_counts import RequestCounts
from beechrock.core.requests import Request, Verdict
from beechrock.releases.driver import MAX_WAITS, Status, figures_row, parse_figures
from beechrock.releases.judge import Figures

FORMAT = 2  # of node reports; the first with ``moved``
SERVERS = 3  # format of server reports, a separate message that older versions ignore
READY = "ready"  # state of a node whose admin address reports that it serves
MAX_SERVER_REPORTS = 64  # servers in one message, those with the oldest fences; the others follow later


class Reach(IntEnum):
    """Whether one node reaches a returning server."""

    NO = 0
    YES = 1
    UNUSED = 2  # the node's inventory does not list the server


Told = tuple[str, int, Reach]  # report on one server: its name, its permit's fence, whether it is reached


def proved(reached: int, users: int) -> bool:
    """Return whether a server is back: over half of its users reach it, as one alone may be the only one."""
    return 2 * reached > users


class SlowCounts(RequestCounts):
    """The node's request counts, with those served later than the latency objective of their class."""

    def __init__(self, module: ModuleActor) -> None:
        super().__init__()
        self.module, self.slow = module, 0

    def on_answered(self, request: Request, verdict: Verdict) -> None:
        super().on_answered(request, verdict)
        objective_s = self.module.settings.classes[request.klass].latency_objective_s
        self.slow += verdict is Verdict.SERVED and self.module.clock() - request.born > objective_s


def tally(counts: RequestCounts) -> Figures:
    """Return the figures that a report carries."""
    by_verdict = {
        verdict: sum(count for (_, other), count in counts.replies.items() if other is verdict)
        for verdict in Verdict
    }
    return Figures(
        sum(by_verdict.values()),
        by_verdict[Verdict.SERVED],
        by_verdict[Verdict.REFUSED],
        by_verdict[Verdict.FAILED],
        getattr(counts, "slow", 0),
    )


@dataclass(frozen=True, slots=True)
class Word:
    """A node's report. ``serving``: state of its admin address; ``state``: value of ``node.State``."""

    serving: str
    state: str
    version: str
    open: int  # requests in progress
    figures: Figures
    driver: int = 0  # fence under which this node drives; 0: it does not
    waits: tuple[str, ...] = ()  # what the driver waits for; empty at other nodes
    outage: float = 0.0  # seconds without a leader, if no release has moved since
    moved: int = 0  # index of the last command that changed a release, to which ``outage`` refers


def encode(word: Word) -> bytes:
    """Encode a node's report."""
    packed: bytes = msgpack.packb(
        [
            FORMAT,
            word.serving,
            word.state,
            word.version,
            word.open,
            figures_row(word.figures),
            word.driver,
            list(word.waits),
            word.outage,
            word.moved,
        ]
    )
    return packed


def encode_servers(reports: tuple[Told, ...]) -> bytes:
    """Encode the reports on returning servers."""
    packed: bytes = msgpack.packb([SERVERS, [list(report) for report in reports]])
    return packed


def decode(data: bytes) -> Word | tuple[Told, ...] | None:
    """Decode a message; None if its format is unknown or it is malformed."""
    try:
        values = msgpack.unpackb(data)
        if values[0] == SERVERS:
            return tuple(
                (str(name), int(fence), Reach(reach)) for name, fence, reach in values[1][:MAX_SERVER_REPORTS]
            )
        if values[0] != FORMAT:
            return None
        _, serving, state, version, open_, counts, driver, waits, outage, moved = values
        return Word(
            str(serving),
            str(state),
            str(version),
            int(open_),
            parse_figures(counts),
            int(driver),
            tuple(map(str, waits[:MAX_WAITS])),
            float(outage),
            int(moved),
        )
    except (ValueError, TypeError, IndexError, KeyError, msgpack.UnpackException):
        return None


@dataclass(slots=True)
class Heard:
    """The newest reports of each node, this one included."""

    gone_s: float  # seconds of silence after which a node counts as down
    words: dict[str, tuple[float, int, Word]] = field(default_factory=dict)  # by node: time, life, report
    servers: dict[str, tuple[float, tuple[Told, ...]]] = field(default_factory=dict)  # by node: time, reports

    def take(self, now: float, sender: str, life: int, word: Word | tuple[Told, ...]) -> None:
        """Keep a message in place of the sender's last one of that kind."""
        if isinstance(word, Word):
            self.words[sender] = now, life, word
        else:
            self.servers[sender] = now, word

    def recent_statuses(self, now: float) -> dict[str, Status]:
        """Return the status of each node that was heard within ``gone_s``."""
        return {
            name: Status(life, word.figures, word.open)
            for name, (at, life, word) in self.words.items()
            if now - at <= self.gone_s
        }

    def down(
        self, now: float, names: Iterable[str], held: Mapping[str, Any], dead: Iterable[str] = ()
    ) -> frozenset[str]:
        """Return which of the nodes are down. ``dead``: nodes that the membership reports as dead.

        A node that holds a permit is not down merely because it reports that it does not serve.
        """
        gone = set(dead)
        for name in names:
            at, _, word = self.words.get(name, (float("-inf"), 0, None))
            if word is None or now - at > self.gone_s or (word.serving != READY and name not in held):
                gone.add(name)
        return frozenset(gone)

    def outage(self, now: float, node_count: int, moved: int) -> str:
        """Return why a release is to halt: over half of the nodes reported an outage since it last moved.

        One report is not enough: in the benchmark on a starved machine, a single node that had been cut off
        for 8 s became the driver and halted a release that waited for a return. Reports of an older move are
        ignored: under full load, reports half a second old spoke of an outage from before the release began,
        and halted it at its first step.
        """
        outages = sorted(
            word.outage
            for at, _, word in self.words.values()
            if word.outage and word.moved == moved and now - at <= self.gone_s
        )
        return f"no quorum for {outages[0]:.0f} s" if 2 * len(outages) > node_count else ""

    def reached(self, now: float, target: str, fence: int) -> tuple[int, int]:
        """Return how many nodes reach a returning server, and how many use it.

        A node that is heard but has not reported on the server counts as a user that does not reach it.
        """
        recent = {name: reports for name, (at, reports) in self.servers.items() if now - at <= self.gone_s}
        results = [
            next(
                (
                    reach
                    for server, server_fence, reach in recent.get(name, ())
                    if (server, server_fence) == (target, fence)
                ),
                Reach.NO,
            )
            for name, (at, _, _) in self.words.items()
            if now - at <= self.gone_s
        ]
        return results.count(Reach.YES), len(results) - results.count(Reach.UNUSED)

    def driver(self, now: float) -> tuple[str, tuple[str, ...]]:
        """Return the node that reports the newest driver's fence, and what it waits for."""
        drivers = [
            (word.driver, name, word.waits)
            for name, (at, _, word) in self.words.items()
            if word.driver and now - at <= self.gone_s
        ]
        _, name, waits = max(drivers, default=(0, "", ()))
        return name, waits
