"""The render farm agent's link: commands out, notices in, and both again after a break."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from beechrock.core.module import ModuleActor
from beechrock.core.requests import CallWanted, Request, RunEnded, Sampled, WorkUp
from beechrock.interface import Outcome
from beechrock.net.peer import BadInputError, LinesPeer
from beechrock.settings import gauges_from

ENDS = {"PASS": Outcome.OK, "FAIL": Outcome.ERROR, "KILLED": Outcome.STOPPED, "NOOP": Outcome.MOOT}
MOST_BLOB = 200_000      # an answer with it still is one frame
MOST_COMMANDS = 40_000
EXERCISE_S = 3.0    # a check's work that takes longer is a bad check: agents that hang are what it looks for
AGAIN_S = (0.02, 0.2)       # pause before a new link: the first, and the longest
CONNECT_S = 1.0     # an address that has been left may neither take nor refuse a link


@dataclass(slots=True, eq=False)
class Command:
    """One line to the agent. Those about a request are kept until the agent is known to have read them."""

    line: str
    body: bytes | None = None
    request: Request | None = None
    moves: bool = False     # makes the run go on, so that its next notice proves that this was read
    tag: str = ""       # of a sample: its answer proves that all before it was read

    def encode(self) -> bytes:
        if self.body is None:
            return self.line.encode() + b"\r\n"
        return f"{self.line} {len(self.body)}\r\n".encode() + self.body + b"\r\n"


class AgentLink(LinesPeer[Command]):
    """One link; ``Agent`` makes the next when it breaks."""

    where = "agent"
    most_body = MOST_BLOB

    def __init__(self, agent: "Agent") -> None:
        super().__init__(agent.counters, 1 << 20, MOST_COMMANDS)
        self.agent = agent

    def encode(self, message: Command) -> bytes:
        return message.encode()

    def has_body(self, words: list[str]) -> bool:
        return words[0] == "request" or (words[0] == "outcome" and len(words) > 5)

    def heard(self, words: list[str], body: bytes) -> None:
        self.agent.heard(words, body)

    def input_ended(self) -> None:
        self.broken = True      # half a link is none


class Agent:
    """Runs requests on the agent; keeps one link to it open and loses no command with a link."""

    def __init__(
        self, module: ModuleActor, gauges: tuple[str, ...], address: tuple[str, int]
    ) -> None:
        self.module, self.gauges, self.address = module, gauges, address
        self.counters = module.counters
        self.link: AgentLink | None = None
        self.synced = False                     # all missed notices are in; commands may go out
        self.unproved: list[Command] = []       # sent or to be sent, and not yet known to be read
        self.last_notice = 0
        self.tags = itertools.count(1)
        self.sync_tag = ""
        self.exercises: dict[str, Callable[[bool], None]] = {}

    async def run(self) -> None:
        """Hold a link open for as long as the process lives."""
        pause = AGAIN_S[0]
        while True:
            address = self.address
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_S)
            except (OSError, TimeoutError):
                self.counters.add("agent.refused_links")
                await asyncio.sleep(pause)
                pause = min(2 * pause, AGAIN_S[1])
                continue
            pause = AGAIN_S[0]
            self.counters.add("agent.links")
            link = self.link = AgentLink(self)
            self.synced = False
            link.post(Command(f"subscribe {self.last_notice}"))
            await link.serve(reader, writer)
            self.link, self.synced = None, False
            # A check whose work was asked for on the broken link would wait for ever.
            broken, self.exercises = self.exercises, {}
            for report in broken.values():
                report(False)
            if self.address == address:
                await asyncio.sleep(pause)

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address: a new link takes up the notices and commands where this one ends."""
        if address != self.address:
            self.address = address
            self.counters.add("agent.moves")
            if self.link is not None:
                self.link.drop()

    # --- commands

    def launch(self, request: Request) -> None:
        self._send(Command(f"launch {request.trace} {request.route}", request.body, request, True))

    def stop(self, request: Request) -> None:
        self._send(Command(f"freeze {request.trace}", None, request))

    def resume(self, request: Request) -> None:
        self._send(Command(f"thaw {request.trace}", None, request))

    def deliver(self, request: Request, reply: bytes) -> None:
        self._send(Command(f"deliver {request.trace}", reply, request, True))

    def forgo(self, request: Request, mark: int) -> None:
        self._send(Command(f"forgo {request.trace} {mark}", None, request, True))

    def sample(self) -> None:
        if self.link is not None and self.synced:
            tag = f"g{next(self.tags)}"
            self._send(Command(f"sample {tag}", tag=tag))

    def exercise(self, report: Callable[[bool], None]) -> None:
        if self.link is None or not self.synced or len(self.exercises) >= 64:
            report(False)
            return
        tag = f"x{next(self.tags)}"
        self.exercises[tag] = report
        self.link.post(Command(f"exercise {tag}"))
        self.module.wheel.at(self.module.clock() + EXERCISE_S, lambda: self._exercised(tag, False))

    def _exercised(self, tag: str, good: bool) -> None:
        report = self.exercises.pop(tag, None)
        if report is not None:
            report(good)

    def _send(self, command: Command) -> None:
        if len(self.unproved) >= MOST_COMMANDS:
            self.counters.add("trouble.agent_commands_full")
            return
        self.unproved.append(command)
        if self.link is not None and self.synced:
            self.link.post(command)

    # --- notices

    def heard(self, words: list[str], body: bytes) -> None:
        try:
            self._heard(words, body)
        except (IndexError, ValueError):
            raise BadInputError(f"notice {' '.join(words)[:80]!r}") from None

    def _heard(self, words: list[str], body: bytes) -> None:
        match words[0]:
            case "outcome":
                if self._fresh(words[1]):
                    self._proved(words[2], over=True)
                    self.module.post(RunEnded(words[2], ENDS[words[3]], float(words[4]) / 1000, body))
            case "request":
                if self._fresh(words[1]):
                    self._proved(words[2], over=False)
                    self.module.post(CallWanted(words[2], int(words[1]), body))
            case "sampled":
                self._sampled(words[1], [float(word) for word in words[2:]])
            case "greeting":
                self.module.post(WorkUp(words[1] == "EMPTY", float(words[2]) / 1000))
                # Notices that were missed come before the answer to this; until then nothing is sent again,
                # as a run that ended meanwhile must not be started a second time.
                self.sync_tag = f"s{next(self.tags)}"
                if self.link is not None:
                    self.link.post(Command(f"sample {self.sync_tag}"))
            case "exercised":
                self._exercised(words[1], words[2] == "PASS")
            case "refusal":
                self.counters.add("agent.refusals")
                if words[1] == "launch":
                    # It never ran. Told as an error of a run, it counted as work done, at no time at all.
                    self._proved(words[2], over=True)
                    self.module.post(RunEnded(words[2], Outcome.REJECTED, 0.0))
            case "aside":
                self._fresh(words[1])
            case _:
                self.counters.add("agent.unknown_notices")

    def _fresh(self, word: str) -> bool:
        number = int(word)
        if number <= self.last_notice:
            return False
        self.last_notice = number
        return True

    def _proved(self, trace: str, over: bool) -> None:
        """A run's notice settles the commands before it.

        Seen in an exchange: a run that ended while no link stood was launched again, as the actor had not
        yet worked off the notice when what may be lost was sent again. So it is settled here, on reading.
        """
        self.unproved = [c for c in self.unproved
                         if c.request is None or c.request.trace != trace or not (over or c.moves)]

    def _sampled(self, tag: str, values: list[float]) -> None:
        self.module.post(Sampled(gauges_from(self.gauges, values)))
        if tag == self.sync_tag and not self.synced:
            self.synced = True
            self._send_again()
        for place, command in enumerate(self.unproved):
            if command.tag == tag:
                del self.unproved[:place + 1]
                break

    def _send_again(self) -> None:
        """After a break: what may have been lost, less what the notices since then have overtaken."""
        again = [c for c in self.unproved if c.request is not None and c.request.running]
        self.unproved = again
        self.counters.add("agent.commands_sent_again", len(again))
        for command in again:
            if self.link is not None:
                self.link.post(command)
