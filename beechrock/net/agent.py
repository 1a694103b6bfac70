"""The render farm agent's link: commands out, notices in, and both again after a break."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from beechrock.core import link as life
from beechrock.core.module import ModuleActor
from beechrock.core.requests import CallWanted, Request, RunEnded, Sampled, WorkUp
from beechrock.interface import Outcome
from beechrock.net.linked import Linked
from beechrock.net.peer import BadInputError, LinesPeer
from beechrock.settings import gauges_from

ENDS = {"PASS": Outcome.OK, "FAIL": Outcome.ERROR, "KILLED": Outcome.STOPPED, "NOOP": Outcome.MOOT}
MOST_BLOB = 200_000      # an answer with it still is one frame
MOST_COMMANDS = 40_000
EXERCISE_S = 3.0    # a check's work that takes longer is a bad check: agents that hang are what it looks for
# A peer that is there answers in milliseconds. The first silence is noticed in under half a second; a
# greeting may wait for an agent that comes up late, so later ones get longer. On suspicion alone a node stays
# listed for no longer than the registry would keep it.
LIMITS = life.Limits(connect_s=0.4, greet_s=(0.4, 1.6), sync_s=0.4, quiet_s=0.1, answer_s=0.3, close_s=0.4,
                     again_s=(0.02, 0.2), broken_s=1.0, suspect_s=3.0)


@dataclass(slots=True, eq=False)
class Command:
    """One line to the agent. Those about a request are kept until the agent is known to have read them."""

    line: str
    body: bytes | None = None
    moves: bool = False     # makes the run go on, so that its next notice proves that this was read

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
        mine = self.agent.life
        if mine.state is life.State.ASKED:
            self.agent.tell(life.Heard(mine.link))
        else:
            mine.heard_at = self.agent.module.clock()
        self.agent.heard(words, body)

    def _crowded(self) -> bool:
        return False    # its notices make room: two ends that both stop reading would wait for ever

    def input_ended(self) -> None:
        self.broken = True      # half a link is none


class Agent(Linked):
    """Runs requests on the agent; keeps one link to it open and loses no command with a link."""

    where = "agent"

    def __init__(
        self, module: ModuleActor, gauges: tuple[str, ...], address: tuple[str, int]
    ) -> None:
        super().__init__(module, LIMITS, address)
        self.gauges = gauges
        self.link: AgentLink | None = None
        # Sent or to be sent, and not yet known to be read: by number in order, and the numbers by request.
        self.unproved: dict[int, tuple[Request, Command]] = {}
        self.unproved_of: dict[str, list[int]] = {}
        self.last_notice = self.dispatches = 0      # ``dispatches``: runs handed over since the start
        self.numbers = itertools.count(1)       # of commands, and the tags of samples and checks among them
        self.sync_tag = ""
        self.exercises: dict[str, Callable[[bool], None]] = {}

    def begin(self) -> None:
        """Hold a link open from now on, for as long as the process lives."""
        self.tell(life.Due())

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address: a new link takes up the notices and commands where this one ends."""
        if address != self.life.address:
            self.counters.add("agent.moves")
            self.tell(life.Moved(address))

    def able(self) -> bool:
        """Whether runs can be started: a link stands, or broke so lately that the next one is under way."""
        return self.life.able(self.module.clock())

    @property
    def synced(self) -> bool:
        """All missed notices are in; commands may go out."""
        return self.life.state in (life.State.UP, life.State.ASKED)

    async def converse(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = self.link = AgentLink(self)
        self.counters.add("agent.links")
        self.tell(life.Opened(number))
        try:
            await link.serve(reader, writer)
        finally:
            if self.link is link:
                self.link_over()

    def say(self, action: life.Action) -> None:
        if self.link is None:
            return
        match action:
            case life.Hail():
                self.link.post(Command(f"subscribe {self.last_notice}"))
            case life.Sync():
                # Notices that were missed come before the answer to this; until then nothing is sent again,
                # as a run that ended meanwhile must not be started a second time.
                self.sync_tag = f"s{next(self.numbers)}"
                self.link.post(Command(f"sample {self.sync_tag}"))
            case life.Ask():
                self.link.post(Command("sample quiet"))

    def link_over(self) -> None:
        if self.link is None:
            return
        link, self.link = self.link, None
        link.drop()
        # A check whose work was asked for on the broken link would wait for ever.
        broken, self.exercises = self.exercises, {}
        for report in broken.values():
            report(False)

    # --- commands

    def launch(self, request: Request) -> None:
        self.dispatches += self._send(
            request, Command(f"launch {request.trace} {request.route}", request.body, True))

    def stop(self, request: Request) -> None:
        self._send(request, Command(f"freeze {request.trace}"))

    def resume(self, request: Request) -> None:
        self._send(request, Command(f"thaw {request.trace}"))

    def deliver(self, request: Request, reply: bytes) -> None:
        self._send(request, Command(f"deliver {request.trace}", reply, True))

    def forgo(self, request: Request, mark: int) -> None:
        self._send(request, Command(f"forgo {request.trace} {mark}", None, True))

    def sample(self) -> None:
        if self.link is not None and self.synced:
            self.link.post(Command(f"sample g{next(self.numbers)}"))

    def exercise(self, report: Callable[[bool], None]) -> None:
        if self.link is None or not self.synced or len(self.exercises) >= 64:
            report(False)
            return
        tag = f"x{next(self.numbers)}"
        self.exercises[tag] = report
        self.link.post(Command(f"exercise {tag}"))
        self.module.wheel.at(self.module.clock() + EXERCISE_S, lambda: self._exercised(tag, False))

    def _exercised(self, tag: str, good: bool) -> None:
        report = self.exercises.pop(tag, None)
        if report is not None:
            report(good)

    def _send(self, request: Request, command: Command) -> bool:
        if len(self.unproved) >= MOST_COMMANDS:
            self.counters.add("trouble.agent_commands_full")
            return False
        number = next(self.numbers)
        self.unproved[number] = request, command
        self.unproved_of.setdefault(request.trace, []).append(number)
        if self.link is not None and self.synced:
            self.link.post(command)
        return True

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
                self.tell(life.Greeted(self.life.link))
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
        for number in list(self.unproved_of.get(trace, ())):
            if over or self.unproved[number][1].moves:
                self._settle(number)

    def _settle(self, number: int) -> None:
        trace = self.unproved.pop(number)[0].trace
        numbers = self.unproved_of[trace]
        numbers.remove(number)
        if not numbers:
            del self.unproved_of[trace]

    def _sampled(self, tag: str, values: list[float]) -> None:
        if tag == "quiet":
            return
        self.module.post(Sampled(gauges_from(self.gauges, values)))
        if tag == self.sync_tag and not self.synced:
            self.tell(life.Synced(self.life.link))
            self._send_again()
        elif tag[:1] == "g":    # all that went out before this sample was asked for has been read
            asked = int(tag[1:])
            for number in list(itertools.takewhile(lambda n: n < asked, self.unproved)):
                self._settle(number)

    def _send_again(self) -> None:
        """After a break: what may have been lost, less what the notices since then have overtaken."""
        for number, (request, command) in list(self.unproved.items()):
            if not request.running:
                self._settle(number)
            elif self.link is not None:
                self.counters.add("agent.commands_sent_again")
                self.link.post(command)
