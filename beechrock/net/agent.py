"""The render farm agent's link: commands out, notices in, and both again after a break."""

import asyncio
import itertools
import logging
import math
from collections.abc import Callable

from beechrock.core import link_lifecycle as life
from beechrock.core.actor import ModuleActor
from beechrock.core.requests import CallRequested, GaugesSampled, Request, WorkersStarted
from beechrock.interface import Outcome
from beechrock.net import agent_codec as codec
from beechrock.net.agent_checks import PendingChecks
from beechrock.net.agent_commands import MAX_COMMANDS, Command
from beechrock.net.agent_notices import MAX_MISSED_NOTICES, NoticeSequence
from beechrock.net.agent_runs import AgentRuns
from beechrock.net.connection import BadInputError
from beechrock.net.line_connection import LineConnection
from beechrock.net.link_actor import LinkActor
from beechrock.settings import gauges_from

log = logging.getLogger("beechrock")

MAX_BLOB_BYTES = 200_000  # an answer with it still is one frame
RESTART_SLACK_S = 0.002  # an agent reports its age in whole milliseconds
HEAD_BYTES = 80  # bytes of a message that could not be read, enough for its number and request
MAX_CHECKS = 64  # that wait for their work at a time
EXERCISE_S = 3.0  # a check's work that takes longer is a bad check: agents that hang are what it looks for
# A peer that is there answers in milliseconds. The first silence is noticed in under half a second; a
# greeting may wait for an agent that comes up late, so later ones get longer. On suspicion alone a node stays
# listed for no longer than the registry would keep it.
LIMITS = life.Limits(
    connect_s=0.4,
    greet_s=(0.4, 1.6),
    sync_s=0.4,
    quiet_s=0.1,
    answer_s=0.3,
    close_s=0.4,
    reconnect_s=(0.02, 0.2),
    broken_s=1.0,
    suspect_s=3.0,
)


class AgentLink(LineConnection[Command]):
    """One link; ``Agent`` makes the next when it breaks."""

    where = "agent"
    max_body_bytes = MAX_BLOB_BYTES

    def __init__(self, agent: "Agent") -> None:
        super().__init__(agent.counters, 1 << 20, MAX_COMMANDS)
        self.agent = agent
        self.fields: list[str] = []  # of the message that is being read

    def encode(self, message: Command) -> bytes:
        """Return the bytes of a command."""
        return message.encode()

    def has_body(self, fields: list[str]) -> bool:
        """Return whether a body follows this line."""
        self.fields = fields
        return codec.has_body(fields)

    def receive_line(self, fields: list[str], body: bytes) -> None:
        """Note that the agent is there, and handle its notice. Raises BadInputError."""
        mine = self.agent.link_actor.life
        if mine.state is life.LinkState.PROBING:
            self.agent.link_actor.handle_event(life.MessageReceived(mine.link))
        else:
            mine.last_received_at = self.agent.module.clock()
        self.agent.receive_line(fields, body)
        self.fields = []

    def bad_input(self, problem: str) -> None:
        """Cut the link: what could not be read comes again on the next one."""
        fields = self.fields or self.inbox.peek(HEAD_BYTES).decode("utf-8", "replace").split(" ")
        self.agent.unreadable(fields, problem)
        self.drop()

    def _crowded(self) -> bool:
        return False  # its notices make room: two ends that both stop reading would wait for ever

    def input_ended(self) -> None:
        """Break the connection, as nothing more can come."""
        self.broken = True  # half a link is none


class Agent:
    """Runs requests on the agent; keeps one link to it open and loses no command with a link."""

    def __init__(self, module: ModuleActor, gauges: tuple[str, ...], address: tuple[str, int]) -> None:
        self.module = module
        self.counters = module.counters
        self.link_actor = LinkActor(self, "agent", module, LIMITS, address)
        self.lost: Callable[[], None] = lambda: None  # called when no link can be had for a while
        self.gauges = gauges
        self.link: AgentLink | None = None
        self.runs = AgentRuns(module)
        self.notices = NoticeSequence(self.runs.miss_notices)
        self.checks = PendingChecks()
        self.dispatches = 0  # runs handed over since the start
        self.numbers = itertools.count(1)  # of commands, and the tags of samples and checks among them
        self.last_sample = 0
        self.sync_tag = ""
        self.alive_at = math.inf  # when the agent's last message came; inf: none yet
        self.subscribed_at = 0.0
        self.greeted_at = math.inf
        self.problem_logged_at = -math.inf

    def start(self) -> None:
        """Hold a link open from now on, for as long as the process lives."""
        self.link_actor.handle_event(life.Due())

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address: a new link takes up the notices and commands where this one ends."""
        if address != self.link_actor.life.address:
            self.counters.add("agent.moves")
            self.link_actor.handle_event(life.Moved(address))

    def able(self) -> bool:
        """Return whether runs can start: a link is up, or broke so lately that the next one is under way."""
        return self.link_actor.life.able(self.module.clock())

    @property
    def synced(self) -> bool:
        """Return whether all missed notices are in, so that commands may go out."""
        return self.link_actor.life.state in (life.LinkState.UP, life.LinkState.PROBING)

    async def converse(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link until it ends."""
        link = self.link = AgentLink(self)
        self.counters.add("agent.links")
        self.link_actor.handle_event(life.Opened(number))
        try:
            await link.serve(reader, writer)
        finally:
            if self.link is link:
                self.link_over()

    def send_control(self, action: life.Action) -> None:
        """Send the handshake, the sync request or the liveness request."""
        if self.link is None:
            return
        match action:
            case life.SendHandshake():
                self.subscribed_at = self.module.clock()
                self.link.post(Command(codec.subscribe_line(self.notices.last)))
            case life.SendSync():
                # Notices that were missed come before the answer to this; until then nothing is sent again,
                # as a run that ended meanwhile must not be started a second time.
                self.sync_tag = f"s{next(self.numbers)}"
                self.link.post(Command(codec.sample_line(self.sync_tag)))
            case life.SendProbe():
                self.link.post(Command(codec.sample_line(codec.LIVENESS_TAG)))

    def link_over(self) -> None:
        """Drop the link, and fail the checks that wait on it."""
        if self.link is None:
            return
        link, self.link = self.link, None
        link.drop()
        self.checks.fail_all()

    # --- commands

    def launch(self, request: Request) -> None:
        """Start a run."""
        launch = Command(
            codec.launch_line(request.trace, request.route), request.body, moves=True, starts=True
        )
        self.runs.open[request.trace] = request
        if self._send(request, launch):
            self.dispatches += 1
        else:  # dropped in silence it would hold a place on the cores for ever
            self.runs.end(request.trace, Outcome.REJECTED)

    def stop(self, request: Request) -> None:
        """Pause a run."""
        self._send(request, Command(codec.pause_line(request.trace)))

    def resume(self, request: Request) -> None:
        """Let a paused run go on."""
        self._send(request, Command(codec.resume_line(request.trace)))

    def deliver(self, request: Request, reply: bytes) -> None:
        """Give a run the reply to its call."""
        self._send(request, Command(codec.deliver_line(request.trace), reply, moves=True))

    def forgo(self, request: Request, mark: int) -> None:
        """Let a run go on without the reply to the call ``mark``."""
        self._send(request, Command(codec.forgo_line(request.trace, mark), None, moves=True))

    def sample(self) -> None:
        """Ask for the gauges."""
        if self.link is not None and self.synced:
            self.last_sample = next(self.numbers)
            self.link.post(Command(codec.sample_line(f"g{self.last_sample}")))

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Have a check's work done, and report whether it passed."""
        if self.link is None or not self.synced or len(self.checks) >= MAX_CHECKS:
            report(False)
            return
        tag = f"x{next(self.numbers)}"
        self.checks.add(tag, report)
        self.link.post(Command(codec.exercise_line(tag)))
        self.module.timers.at(self.module.clock() + EXERCISE_S, lambda: self.checks.end(tag, False))

    def _send(self, request: Request, command: Command) -> bool:
        if not self.runs.unconfirmed.add(next(self.numbers), request, command):
            self.counters.add("trouble.agent_commands_full")
            return False
        if self.link is not None and self.synced:
            self._post(self.link, command)
        return True

    def _post(self, link: AgentLink, command: Command) -> None:
        command.sends += 1
        if not link.post(command):  # full, as the agent does not read: the next link carries it
            link.drop()

    # --- notices

    def receive_line(self, fields: list[str], body: bytes) -> None:
        """Handle a line of the agent. Raises BadInputError."""
        try:
            self._handle_notice(codec.decode(fields, body))
        except (LookupError, ValueError):
            raise BadInputError(f"notice {' '.join(fields)[:HEAD_BYTES]!r}") from None
        self.alive_at = self.module.clock()

    def _handle_notice(self, notice: codec.Notice | None) -> None:
        match notice:
            case codec.RunNotice(number, trace, outcome, elapsed_s, result):
                if self.notices.accept(number):
                    self.runs.end(trace, outcome, elapsed_s, result)
            case codec.CallNotice(number, trace, body):
                if self.notices.accept(number):
                    self.runs.unconfirmed.settle_read(trace, over=False)
                    self.module.post(CallRequested(trace, number, body))
            case codec.SkippedNotice(number):
                self.notices.accept(number)
            case codec.RefusalNotice(arguments):
                self.runs.refuse(arguments)
            case _:
                self._handle_unnumbered(notice)

    def _handle_unnumbered(self, notice: codec.Notice | None) -> None:
        match notice:
            case codec.SampleNotice(tag, values):
                self._sampled(tag, values)
            case codec.GreetingNotice(warming_up, age_s):
                self._greeted(warming_up, age_s)
            case codec.ExerciseNotice(tag, passed):
                self.checks.end(tag, passed)
            case None:
                self.counters.add("agent.unknown_notices")

    def _greeted(self, warming_up: bool, age_s: float) -> None:
        """Note a greeting; the runs and notices of an agent that has started anew are lost.

        Its last message may have been read after that start, and the new one's notices would be taken for old
        ones. So it is anew as well if it started, at the earliest that its age allows, after an earlier one
        had greeted us. Raises BadInputError for a greeting that answers no subscription of this link: it
        would be taken for a start anew, and the next link is greeted for certain.
        """
        if self.link_actor.life.state is not life.LinkState.GREETING:
            raise BadInputError("a greeting that was not asked for")
        now, greeted_at = self.module.clock(), self.greeted_at
        self.greeted_at = now
        if (
            now - age_s > self.alive_at + RESTART_SLACK_S
            or self.subscribed_at - age_s > greeted_at + RESTART_SLACK_S
        ):
            self.counters.add("agent.restarts")
            log.warning(
                "agent %s:%d: started anew: %d runs are lost",
                *self.link_actor.life.address,
                len(self.runs.open),
            )
            self.notices.restart()
            sent = [run for run in self.runs.open.values() if not self.runs.unconfirmed.never_sent(run.trace)]
            self.runs.lose(sent)
            if self.link is not None:  # asked for what comes after a number that it never gave
                self.link.drop()
            return
        self.module.post(WorkersStarted(warming_up, age_s))
        self.link_actor.handle_event(life.Greeted(self.link_actor.life.link))

    def unreadable(self, fields: list[str], problem: str) -> None:
        """Note a message that is no notice.

        One that comes in that form a second time would end every link, and is passed over.
        """
        now = self.module.clock()
        if not 0 <= now - self.problem_logged_at < 1.0:
            self.problem_logged_at = now
            log.warning("agent %s:%d: link cut: it sent %s", *self.link_actor.life.address, problem)
        if fields[0] not in codec.NUMBERED or not "".join(fields[1:2]).isdecimal():
            return
        number = int(fields[1])
        if not self.notices.repeats_unreadable(number):
            return
        if number <= self.notices.last + MAX_MISSED_NOTICES and self.notices.accept(number):
            self.counters.add("agent.notices_passed_over")
            run = self.runs.open.get("".join(fields[2:3]))
            if run is not None and fields[0] == codec.RUN_OVER:
                self.runs.lose([run])

    def _sampled(self, tag: str, values: list[float]) -> None:
        if tag == codec.LIVENESS_TAG:
            return
        self.module.post(GaugesSampled(gauges_from(self.gauges, values)))
        if tag == self.sync_tag and not self.synced:
            self.link_actor.handle_event(life.Synced(self.link_actor.life.link))
            self._resend()
        elif tag[:1] == "g":  # all that went out before this sample was asked for has been read
            sample = int(tag[1:])
            if sample > self.last_sample:
                raise BadInputError("an answer to a question that was not asked")
            self.runs.unconfirmed.settle_before(sample)

    def over(self) -> None:
        """Nothing: a link that is always made again has no end."""

    def _resend(self) -> None:
        """After a break: what may have been lost, less what the notices since then have overtaken."""
        for number, request, command in self.runs.unconfirmed:
            if not request.running:
                self.runs.unconfirmed.settle(number)
            elif (request.answered or request.cancelled) and self.runs.unconfirmed.never_sent(request.trace):
                self.runs.end(request.trace, Outcome.MOOT)  # nobody waits for it: it need not run at all
            elif self.link is not None:
                self.counters.add("agent.commands_sent_again")
                self._post(self.link, command)
