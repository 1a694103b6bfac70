"""Edges and their upstream under a driven clock: cuts, crashes, lost disks, holders and callers that move.

All faults are drawn from the seed; the same seed gives the same history. ``History`` notes what callers and
the service saw, and nothing of what the parts believe; ``lab/edges_check.py`` judges it.
"""

import heapq
import random
from dataclasses import dataclass

from beechrock.edges import build
from beechrock.edges.actions import Accepted, Action, Done, Noted, Run, Send, Turned
from beechrock.edges.causal import NOTHING, Dot, Seen
from beechrock.edges.differ import Differing
from beechrock.edges.edge import Edge
from beechrock.edges.marks import Marks
from beechrock.edges.upstream import Came, Upstream
from beechrock.edges.words import Names, Offer, WhenGone, Write, pack, unpack
from beechrock.lab.edges_check import History
from beechrock.lab.edges_log import MemLog

STEP_S = 0.05
UP = "up"


@dataclass
class Caller:
    name: str
    edge: str
    seen: Seen = NOTHING
    nonces: tuple[str, ...] = ()  # accepted or served, and known to it by token or session
    session: bool = True
    last: str = ""
    busy: bool = False
    n: int = 0


class Sim:
    up: str | tuple[str, ...] = UP  # who is named upstream

    def __init__(
        self,
        seed: int,
        edges: int = 2,
        members: int = 3,
        copies: int = 2,
        faults: bool = True,
        without: frozenset[str] = frozenset(),
        spare: int = 8,
        keep_s: float = 1e6,
        rule: Differing = Differing.BOTH,
        most_bytes: int = 1 << 20,
        slack_s: float = 60.0,
    ) -> None:
        self.random = random.Random(seed)
        self.now, self.without, self.spare, self.keep_s = 100.0, without, spare, keep_s
        self.most_bytes, self.slack_s = most_bytes, slack_s
        self.rule, self.faults, self.copies = rule, faults, copies
        self.history = History()
        self.net: list[tuple[float, int, str, str, bytes]] = []
        self.sent = self.runs_life = 0
        self.cut: set[tuple[str, str]] = set()
        self.lossy = 0.02 if faults else 0.0
        self.edges = {f"e{n}": tuple(f"e{n}m{k}" for k in range(members)) for n in range(edges)}
        self.edge_of = {name: edge for edge, names in self.edges.items() for name in names}
        self.logs: dict[str, MemLog] = {UP: MemLog(), **{name: MemLog() for name in self.edge_of}}
        self.old: dict[str, MemLog] = {}
        self.lives = 0
        self.nodes: dict[str, Edge] = {}
        self.fences: dict[str, int] = dict.fromkeys(self.edges, 0)
        self.newest: dict[str, int] = dict.fromkeys(self.edges, 0)
        self.upstream = self._new_upstream()
        self.runs: list[tuple[float, int, int, Run]] = []
        self.refs: dict[int, tuple[Caller, Write, str]] = {}
        self.callers = [Caller(f"c{n}", self.random.choice(list(self.edges))) for n in range(5)]
        self.subjects: dict[tuple[str, str], str] = {}  # the last accepted at a member
        for name in self.edge_of:
            self.start(name)
        for edge in self.edges:
            self.hold(edge)

    # --- processes

    def start(self, name: str) -> None:
        edge = self.edge_of[name]
        self.lives += 1
        life = f"{self.lives:x}" if "life" not in self.without else "1"
        names = Names(edge, name, life, self.edges[edge], self.up)
        self.nodes[name] = build.edge(
            names,
            self.logs[name],
            self.now,
            probe_s=0.2,
            copies=self.copies,
            most_bytes=self.most_bytes,
            shares={"t0": 0.5, "t1": 0.5},
            without=self.without,
        )
        log = self.logs[name]
        self.nodes[name].slack_bytes = 2000
        self.nodes[name].restore(log.snapshot, log.first, list(log.kept))

    def kill(self, name: str, disk: bool = False) -> None:
        self.nodes.pop(name, None)
        for key in [k for k in self.subjects if k[0] == name]:
            del self.subjects[key]
        if disk:
            self.logs[name] = MemLog()
        else:
            self.logs[name].crash()
        for ref in [r for r, (_, _, at) in self.refs.items() if at == name]:
            caller, write, _ = self.refs.pop(ref)
            caller.busy = False
            self.history.failed.add(write.nonce)

    def _new_upstream(self) -> Upstream:
        up = Upstream(self.logs[UP], Marks(lambda service: self.rule, self.without), self.spare)
        up.snapshot_records = 40
        up.marks.slack_s, up.sweep_s = self.slack_s, self.slack_s / 2
        up.restore(self.logs[UP].snapshot, list(self.logs[UP].kept))
        return up

    def restart_upstream(self) -> None:
        self.logs[UP].crash()
        self.upstream = self._new_upstream()
        self.runs_life += 1  # what runs at the service goes on, but nobody hears of its end

    def hold(self, edge: str) -> None:
        """A new holder; the one before learns of it only later, or never."""
        alive = [name for name in self.edges[edge] if name in self.nodes]
        if alive:
            self.fences[edge] += 1
            name = self.random.choice(alive)
            self.do(name, self.nodes[name].duty(self.fences[edge], self.now))

    # --- messages

    def do(self, name: str, actions: list[Action]) -> None:
        """The turn is over: its records are synced, then its actions go out."""
        self.logs[name].synced = self.logs[name].last
        for action in actions:
            self.history.at += 1
            match action:
                case Send(to, word):
                    self.send(name, to, pack(word))
                case Run():
                    self.run(action)
                case Accepted(ref, dot, seen, _) if ref in self.refs:
                    self._accepted(ref, dot, seen)
                case Turned(ref) if ref in self.refs:
                    self._answered(ref, "refused")
                case Done(ref, verdict) if ref in self.refs:
                    self._answered(ref, verdict)
                case Noted(dot, _, state, why):
                    if why.startswith("superseded"):
                        self.history.superseded.add(dot)
                    self.history.ends.setdefault(dot, (state, self.history.at))

    def send(self, source: str, to: str, data: bytes) -> None:
        if (source, to) in self.cut or self.random.random() < self.lossy:
            return
        for _ in range(2 if self.faults and self.random.random() < 0.02 else 1):
            self.sent += 1
            slow = 3.0 if self.faults and self.random.random() < 0.01 else 0.02
            heapq.heappush(self.net, (self.now + self.random.random() * slow, self.sent, source, to, data))

    def step(self) -> None:
        self.now += STEP_S
        while self.runs and self.runs[0][0] <= self.now:
            _, _, life, run = heapq.heappop(self.runs)
            self._ran(life, run)
        while self.net and self.net[0][0] <= self.now:
            _, _, source, to, data = heapq.heappop(self.net)
            self._deliver(source, to, data)
        for name, node in list(self.nodes.items()):
            self.do(name, node.tick(self.now, self.now))
            node.compact()
        self._tick_upstream()

    def _tick_upstream(self) -> None:
        self.upstream.compact()

    def _deliver(self, source: str, to: str, data: bytes) -> None:
        word = unpack(data)
        if to == UP:
            actions = self.upstream.hear(self.now, self.now, source, word)
            if isinstance(word, Offer):
                ran = any(isinstance(action, Run) for action in actions)
                self.history.fences.append((word.edge, word.fence, self.newest[word.edge], ran))
                self.newest[word.edge] = max(self.newest[word.edge], word.fence)
            self.do(UP, actions)
            if self.upstream.replaying > self.spare:
                self.history.over_credit += 1
        elif to in self.nodes:
            self.do(to, self.nodes[to].hear(self.now, self.now, source, word))

    # --- the service behind upstream

    def run(self, run: Run) -> None:
        self.sent += 1
        heapq.heappush(self.runs, (self.now + self.random.random() * 0.3, self.sent, self.runs_life, run))

    def _ran(self, life: int, run: Run) -> None:
        nonce, history = run.entry.nonce, self.history
        history.at += 1
        draw = self.random.random()
        if self.faults and draw < 0.05:
            came = Came.NOT_RUN
        elif nonce.endswith("!"):  # the service refuses these for good
            came = Came.SAID_NO
        else:
            history.effects.append((nonce, history.at))
            history.applied.setdefault(nonce, history.at)
            history.tried.setdefault(nonce, history.by_dot.get(run.entry.dot, history.asked[nonce]))
            came = Came.SERVED if draw < 0.98 or not self.faults else Came.UNKNOWN
        self._came(life, run, came)

    def _came(self, life: int, run: Run, came: Came) -> None:
        if life == self.runs_life:
            self.do(UP, self.upstream.ran(self.now, run.key, came, b"", "", 0.1))

    # --- callers

    def write(self, caller: Caller, nonce: str = "") -> None:
        alive = [name for name in self.edges[caller.edge] if name in self.nodes]
        if caller.busy or not alive:
            return
        name = self.random.choice(alive)
        caller.n += 1
        fresh = not nonce
        nonce = nonce or f"{caller.name}-{caller.n}" + ("!" if self.random.random() < 0.04 else "")
        terms = self.random.choice(list(WhenGone)) if fresh else self.history.gone[nonce]
        subject = self.random.choice(("", "", "s1", "s2", "s3"))
        self.sent += 1
        write = Write(
            self.sent,
            f"t{int(caller.name[1:]) % 2}",
            "svc",
            nonce,
            b"x" * 40,
            b"d",
            caller.seen,
            caller.name if caller.session else "",
            subject,
            terms,
            self.keep_s,
            due_s=self.now + 3.0,
        )
        history = self.history
        history.gone[nonce], history.asked[nonce] = terms, history.at
        history.refused.discard(nonce)
        if fresh:
            history.pairs += [(before, nonce, "token", history.at) for before in caller.nonces]
            if subject and (before := self.subjects.get((name, subject))):
                history.pairs.append((before, nonce, "subject", history.at))
        caller.busy = True
        self.refs[write.ref] = caller, write, name
        self.do(name, self.nodes[name].write(self.now, self.now, write))

    def _accepted(self, ref: int, dot: Dot, seen: Seen) -> None:
        caller, write, name = self.refs.pop(ref)
        self.history.accepted[write.nonce] = dot, self.history.at
        self.history.by_dot[dot] = self.history.asked[write.nonce]
        self.history.every.append((write.nonce, dot))
        caller.busy, caller.seen, caller.last = False, seen.merge(caller.seen), write.nonce
        caller.nonces = (*caller.nonces[-8:], write.nonce)
        if write.subject:
            self.subjects[name, write.subject] = write.nonce

    def _answered(self, ref: int, verdict: str) -> None:
        caller, write, _ = self.refs.pop(ref)
        caller.busy = False
        getattr(self.history, verdict).add(write.nonce)
        if verdict == "served":
            caller.nonces = (*caller.nonces[-8:], write.nonce)
            caller.last = write.nonce
        elif verdict == "failed":
            caller.last = write.nonce

    def read(self, caller: Caller) -> None:
        alive = [name for name in self.edges[caller.edge] if name in self.nodes]
        if alive and not caller.busy and caller.nonces:
            node = self.nodes[self.random.choice(alive)]
            if node.reads(caller.seen) is None:
                self.history.reads.append((caller.nonces, self.history.at))

    # --- a whole run

    def disturb(self) -> None:
        """Some fault, drawn."""
        draw, edge = self.random.random(), self.random.choice(list(self.edges))
        names = self.edges[edge]
        name = self.random.choice(names)
        if draw < 0.25:  # an edge, or one member of it, is cut from upstream, maybe one way
            for one in names if self.random.random() < 0.7 else (name,):
                self.cut |= {(one, UP), (UP, one)} if self.random.random() < 0.8 else {(UP, one)}
        elif draw < 0.45:
            self.cut -= {pair for pair in self.cut if UP in pair and (pair[0] in names or pair[1] in names)}
        elif draw < 0.53:  # the edge is split in two
            others = [other for other in names if other != name]
            self.cut |= {(name, other) for other in others} | {(other, name) for other in others}
        elif draw < 0.63:
            self.cut = {pair for pair in self.cut if UP in pair}
        elif draw < 0.75:
            self.hold(edge)
        elif draw < 0.85:
            if name in self.nodes:
                self.kill(name)
            self.start(name)
        elif draw < 0.88 and self.copies > 1 and not any(n not in self.nodes for n in names):
            self.kill(name, disk=True)  # one of an edge, for good; a new disk in its place
            self.start(name)
            self.settle(4.0, names)
        elif draw < 0.91:
            self.old.setdefault(name, self.logs[name].copy())
        elif draw < 0.93 and name in self.old and self.copies > 1:
            self.kill(name)
            self.logs[name] = self.old.pop(name)
            self.start(name)
            self.settle(4.0, names)
        else:
            self.restart_upstream()

    def settle(self, seconds: float, names: tuple[str, ...]) -> None:
        """``copies`` of 2 bear one loss at a time: the next one comes when its copies are made again."""
        self.cut -= {(a, b) for a in names for b in names}
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def turn(self, steps: int, faults: float) -> None:
        for _ in range(steps):
            if self.random.random() < faults:
                self.disturb()
            for caller in self.callers:
                draw = self.random.random()
                if draw < 0.10:
                    self.write(caller)
                elif draw < 0.13:
                    self.read(caller)
                elif draw < 0.14:
                    caller.edge = self.random.choice(list(self.edges))
                elif draw < 0.155 and caller.last:
                    self.write(caller, caller.last)  # again: it may not have had its answer
            self.step()

    def finish(self, most_s: float = 300.0) -> History:
        """All heals; operators discard what is held; until nothing waits."""
        self.cut.clear()
        self.lossy = 0.0
        for name in self.edge_of:
            if name not in self.nodes:
                self.start(name)
        for n in range(int(most_s / STEP_S)):
            if n % 200 == 100:
                for edge in self.edges:
                    self.hold(edge)
            self.step()
            if n % 20 == 0:
                if not any(len(node.queue) for node in self.nodes.values()) and not self.runs:
                    break
                for name, node in self.nodes.items():
                    for dot, held in list(node.holder.picker.parked.items()):
                        if held.said.name in ("GONE", "DOUBT") and node.queue.waits(dot):
                            self.do(name, node.order(dot, "discard"))
        known = [node.ended for node in self.nodes.values()]
        self.history.left = [dot for _, dot in self.history.every if not any(dot in ended for ended in known)]
        return self.history


def play(seed: int, steps: int = 400, faults: float = 0.02, **told: object) -> History:
    sim = Sim(seed, **told)  # type: ignore[arg-type]
    sim.turn(steps, faults)
    return sim.finish()
