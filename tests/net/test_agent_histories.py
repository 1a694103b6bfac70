"""Random histories of a node and its agent with breaks, restarts and lost notices; invariants of each."""

import asyncio
import itertools
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from desk import SAID, Desk, request
from world import KEYED, SAFE, UNSAFE

from beechrock import interface as api
from beechrock.core import link_lifecycle as life
from beechrock.core.requests import CallDone, Request, RequestCancelled, RequestReceived, Verdict
from beechrock.net.agent import Agent
from beechrock.net.agent_commands import Command

KEPT = 5  # number of notices that the agent keeps, so few that some are lost for good


@dataclass
class Run:
    calls: int = 0
    waits: bool = False
    frozen: bool = False


@dataclass
class Cores:
    """Model of the agent by its protocol page; it records each start of a run and each wrong delivery."""

    born: float
    is_done: Any  # function: whether a request has its answer, or nobody waits for it
    number: int = 0
    after: int = 0  # the link subscribed to the notices after this number
    runs: dict[str, Run] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)  # traces whose runs have ended, and are not started again
    notices: deque[tuple[int, list[str], bytes]] = field(default_factory=lambda: deque(maxlen=KEPT))
    to_node: deque[tuple[list[str], bytes]] = field(default_factory=deque)
    starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    wrong_deliveries: list[str] = field(default_factory=list)
    linked: bool = False

    def notice(self, kind: str, *words: str, body: bytes = b"") -> None:
        self.number += 1
        message = [kind, str(self.number), *words], body
        self.notices.append((self.number, *message))
        if self.linked and self.number > self.after:
            self.to_node.append(message)

    def restart(self, now: float) -> None:
        self.born, self.number, self.linked = now, 0, False
        self.runs.clear()
        self.ended.clear()
        self.notices.clear()
        self.to_node.clear()

    def end(self, trace: str, how: str, body: bytes = b"") -> None:
        del self.runs[trace]
        self.ended.add(trace)
        self.notice("outcome", trace, how, "5", str(len(body)), body=body)

    def command(self, line: str, body: bytes, now: float) -> None:
        verb, name, *_ = line.split()
        run = self.runs.get(name)
        match verb:
            case "subscribe":
                self.linked = True
                self.to_node.append((["greeting", "LOADED", str(round(1000 * (now - self.born)))], b""))
                self.after = int(name)
                self.to_node.extend((words, body) for n, words, body in self.notices if n > self.after)
            case "sample":
                self.to_node.append((["sampled", name, "0.5"], b""))
            case "launch" if run is None:
                if self.is_done(name) or name in self.ended:
                    return self.notice("outcome", name, "NOOP", "0", "0")
                self.runs[name] = Run()
                self.starts[name].append(now)
            case "deliver" if run is not None and run.waits:
                run.waits = False
                if body != b"reply to call %d" % run.calls:
                    self.wrong_deliveries.append(f"{name}: {body!r} at call {run.calls}")
            case "freeze" | "thaw" if run is not None:
                run.frozen = verb == "freeze"
        return None


class Link:
    def __init__(self) -> None:
        self.to_agent: deque[Command] = deque()
        self.dropped = False

    def post(self, command: Command) -> bool:
        self.to_agent.append(command)
        return True

    def drop(self) -> None:
        self.to_agent.clear()
        self.dropped = True


class Calls:
    def __init__(self) -> None:
        self.open: dict[str, tuple[Request, bytes]] = {}

    def call(self, of: Request, body: bytes, wait_s: float) -> None:
        self.open[of.trace] = of, body

    def abandon(self, of: Request) -> None:
        self.open.pop(of.trace, None)


class NoTask:
    def cancel(self) -> None: ...


class History:
    def __init__(self, seed: int) -> None:
        self.draw, self.prompt = random.Random(seed), seed % 2 == 0
        below = {
            "downstream": api.Downstream.SHARED,
            "shared_call_limit": 9.0,
            "abandoned_call_linger_s": 0.2,
            "cores": 4,
        }
        classes = tuple(
            replace(c, may_call=True, deadline_s=2.0, latency_objective_s=1.5) for c in (SAFE, KEYED, UNSAFE)
        )
        self.desk = Desk(classes=classes, **below)
        self.made: list[Request] = []
        actor = self.desk.actor
        actor.counters.spawn = lambda work, where: (work.close(), NoTask())[1]  # type: ignore[method-assign]
        self.agent = Agent(actor, ("cpu_busy",), ("127.0.0.1", 1))
        self.calls = Calls()
        actor.ports.work, actor.ports.calls = self.agent, self.calls  # type: ignore[assignment]
        self.cores = Cores(self.desk.now - 50.0, self.is_done)
        self.agent.start()

    def is_done(self, trace: str) -> bool:
        return bool(SAID[trace]) or any(r.cancelled for r in self.made if r.trace == trace)

    def break_link(self) -> None:
        self.cores.linked = False
        self.cores.to_node.clear()
        self.agent.discard_link()
        self.agent.link_actor.handle_event(life.Ended(self.agent.link_actor.life.link))

    def flow(self, most: int) -> None:
        """Open a link that is connecting, or transport some messages of an open one.

        A resent delivery can cross the notice of the run's next call, and be taken for that call's reply:
        nothing in the protocol tells them apart. In the histories with ``prompt``, which are every other one,
        nothing is in transit to the node when the agent reads, and no reply may be wrong.
        """
        if self.agent.link_actor.life.state is life.LinkState.CONNECTING and self.desk.now >= self.cores.born:
            self.cores.linked = False
            self.cores.to_node.clear()
            self.agent.link = Link()  # type: ignore[assignment]
            self.agent.link_actor.handle_event(life.Opened(self.agent.link_actor.life.link))
        for _ in range(most):
            link: Any = self.agent.link
            if link is not None and link.dropped:
                return self.break_link()
            while self.cores.to_node and (self.prompt or self.draw.random() < 0.5):
                self.read()
            if link is self.agent.link and link is not None and link.to_agent:
                command = link.to_agent.popleft()
                if command.encode():
                    self.cores.command(command.line, command.body or b"", self.desk.now)
        return None

    def move(self) -> None:
        """Move the agent's address. The link to the old one stays open until the node leaves it."""
        host, port = self.agent.link_actor.life.address
        self.agent.move((host, port + 1))

    def read(self) -> None:
        words, body = self.cores.to_node.popleft()
        if self.agent.link_actor.life.state is life.LinkState.PROBING:
            self.agent.link_actor.handle_event(life.MessageReceived(self.agent.link_actor.life.link))
        self.agent.link_actor.life.last_received_at = self.desk.now
        self.agent.receive_line(words, body)

    def work(self) -> None:
        """Let a run end, or stop at a call; the agent ends runs that nobody waits for at their calls."""
        for trace, run in list(self.cores.runs.items()):
            if run.waits and self.is_done(trace):
                self.cores.end(trace, "KILLED")
        going = [trace for trace, run in self.cores.runs.items() if not run.waits and not run.frozen]
        if not going:
            return
        trace = self.draw.choice(going)
        run = self.cores.runs[trace]
        match self.draw.randrange(4):
            case 0:
                run.calls, run.waits = run.calls + 1, True
                self.cores.notice("request", trace, "4", body=b"%d" % run.calls)
            case 1:
                self.cores.end(trace, "FAIL")
            case _:
                self.cores.end(trace, "PASS", trace.encode())

    def reply(self) -> None:
        for trace in self.draw.sample(sorted(self.calls.open), k=min(1, len(self.calls.open))):
            of, body = self.calls.open.pop(trace)
            good = self.draw.random() < 0.8
            self.desk.actor.post(
                CallDone(
                    of,
                    api.Outcome.OK if good else api.Outcome.CONNECTION_LOST,
                    0.01,
                    b"reply to call " + body,
                )
            )

    def arrive(self) -> None:
        klass = self.draw.choice([0, 1, 1, 2])
        trace = f"h{len(self.made)}"
        nonce = f"n{self.draw.randrange(len(self.made) + 1) // 2}" if klass == 1 else None
        made = request(trace, nonce, born=self.desk.now, klass=klass)
        self.made.append(made)
        self.desk.actor.post(RequestReceived(made))

    def step(self, faults: bool) -> None:
        chance = self.draw.random()
        if faults and chance < 0.04 and self.agent.link is not None:
            self.break_link()
        elif faults and chance < 0.05:
            self.cores.restart(self.desk.now + 0.02)  # a new process needs time to start
            if self.agent.link is not None:
                self.break_link()
        elif faults and chance < 0.25:
            self.arrive()
        elif faults and chance < 0.29 and self.made:
            self.desk.actor.post(RequestCancelled(self.draw.choice(self.made)))
        elif chance < 0.6:
            self.work()
        elif chance < 0.7:
            self.reply()
        elif chance < 0.72:
            self.cores.notice("aside", "all is well")
        if self.draw.random() < 0.7:
            self.flow(self.draw.randrange(6))
        self.desk.now += self.draw.choice([0.005, 0.005, 0.02, 0.2 if faults else 0.02])
        self.desk.actor.tick(self.desk.now)


@pytest.mark.parametrize("seed", range(40))
def test_every_request_is_answered_once_no_key_runs_twice_and_no_core_is_leaked(seed: int) -> None:
    asyncio.run(check(seed))  # an event loop is needed, as a link's end compares the current task


# Guards against a reply that reaches the run's next call after a move, with any notices still on their way.
@pytest.mark.parametrize("seed", range(1, 41))
def test_no_reply_reaches_another_call_where_the_agent_only_moves(seed: int) -> None:
    asyncio.run(check_moves(seed))


async def check_moves(seed: int) -> None:
    history, draw = History(2 * seed + 1), random.Random(seed)
    assert not history.prompt
    for _ in range(1500):
        if draw.random() < 0.04:
            history.move()
        if draw.random() < 0.15:
            history.arrive()
        history.step(faults=False)
    assert history.desk.actor.counters["agent.moves"] > 20
    assert history.cores.starts
    assert history.cores.wrong_deliveries == []


async def check(seed: int) -> None:
    history = History(seed)
    for _ in range(500):
        history.step(faults=True)
    for _ in range(1500):
        history.step(faults=False)
    cores, actor = history.cores, history.desk.actor
    assert cores.wrong_deliveries == [] or not history.prompt
    started = defaultdict(list)
    for made in history.made:
        verdicts = [answer.verdict for answer in SAID[made.trace]]
        assert len(verdicts) <= 1
        assert verdicts or made.cancelled, made.trace
        if made.klass:
            started[made.nonce or made.trace] += cores.starts[made.trace]
            assert not (cores.starts[made.trace] and verdicts == [Verdict.REFUSED])
    for starts in started.values():
        assert all(b - a > KEYED.idempotency_window_s for a, b in itertools.pairwise(sorted(starts)))
    assert (actor.table.by_id, actor.table.by_trace, actor.node.table.requests, actor.table.open) == (
        {},
        {},
        {},
        0,
    )
    assert (history.agent.runs.open, len(history.agent.runs.unconfirmed)) == ({}, 0)
    assert [line for line in actor.counters.lines() if line.startswith("trouble.")] == []
