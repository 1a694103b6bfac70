"""Connection to the render farm agent: sends commands, reads notices, and recovers both after a break."""

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
from beechrock.net.agent_move import AddressMove
from beechrock.net.agent_notices import MAX_MISSED_NOTICES, NoticeSequence
from beechrock.net.agent_resend import Resender
from beechrock.net.agent_runs import AgentRuns
from beechrock.net.connection import BadInputError
from beechrock.net.line_connection import LineConnection
from beechrock.net.link_actor import LinkActor
from beechrock.settings import gauges_from

log = logging.getLogger("beechrock")

MAX_BLOB_BYTES = 200_000  # an answer with a body of this size still fits into one frame
RESTART_SLACK_S = 0.002  # an agent reports its age in whole milliseconds
HEAD_BYTES = 80  # bytes of an unreadable message that are examined: enough for its number and its trace
MAX_CHECKS = 64  # maximum number of health checks that wait for the agent's work at a time
EXERCISE_S = 3.0  # time limit of a health check's work; an agent that exceeds it hangs, so the check fails
# A live agent answers within milliseconds, so the first silence is detected in under half a second. An agent
# that starts slowly may greet late, so the greeting timeout grows with each attempt. While the agent is only
# suspected to be down, the node stays listed for no longer than the registry keeps a node without reports.
LIMITS = life.Limits(
    connect_s=0.4,
    greet_s=(0.4, 1.6),
    sync_s=0.4,
    quiet_s=0.1,
    answer_s=0.3,
    close_s=0.4,
    reconnect_s=(0.02, 0.2),
    able_after_break_s=1.0,
    able_after_silence_s=3.0,
)


class AgentLink(LineConnection[Command]):
    """One connection to the agent; ``Agent`` opens the next one when it breaks."""

    where = "agent"
    max_body_bytes = MAX_BLOB_BYTES

    def __init__(self, agent: "Agent") -> None:
        super().__init__(agent.counters, 1 << 20, MAX_COMMANDS)
        self.agent = agent
        self.fields: list[str] = []  # fields of the message that is being read

    def encode(self, message: Command) -> bytes:
        """Return the wire format of a command."""
        return message.encode()

    def has_body(self, fields: list[str]) -> bool:
        """Return whether a body follows this line."""
        self.fields = fields
        return codec.has_body(fields)

    def receive_line(self, fields: list[str], body: bytes) -> None:
        """Record that the agent is alive, and handle its notice. Raises BadInputError."""
        mine = self.agent.link_actor.life
        if mine.state is life.LinkState.PROBING:
            self.agent.link_actor.handle_event(life.MessageReceived(mine.link))
        else:
            mine.last_received_at = self.agent.module.clock()
        self.agent.receive_line(fields, body)
        self.fields = []

    def bad_input(self, problem: str) -> None:
        """Cut the link; the agent repeats the unreadable notice on the next link."""
        fields = self.fields or self.inbox.peek(HEAD_BYTES).decode("utf-8", "replace").split(" ")
        self.agent.handle_unreadable(fields, problem)
        self.drop()

    def _is_congested(self) -> bool:
        return False  # reading notices confirms commands; if both ends stopped reading, they would deadlock

    def input_ended(self) -> None:
        """Break the connection, as the agent can send no more notices on it."""
        self.broken = True  # a half-closed link is of no use


class Agent:
    """Runs requests on the agent; keeps one link to it open and resends commands lost with a broken link."""

    def __init__(self, module: ModuleActor, gauges: tuple[str, ...], address: tuple[str, int]) -> None:
        self.module = module
        self.counters = module.counters
        self.link_actor = LinkActor(self, "agent", module, LIMITS, address)
        self.on_unreachable: Callable[[], None] = lambda: (
            None
        )  # called when no link could be opened for some time
        self.gauges = gauges
        self.link: AgentLink | None = None
        self.runs = AgentRuns(module)
        self.resender = Resender(module, self.runs, self._post_on_link, lambda: self.accepts_commands)
        self.notices = NoticeSequence(self.runs.miss_notices)
        self.checks = PendingChecks()
        self.dispatches = 0  # number of runs passed to the agent since the process started
        self.numbers = itertools.count(1)  # one sequence for commands and for the tags of samples and checks
        self.last_sample = 0  # number of the most recent sample request
        self.sync_tag = ""  # tag of the sample request that ends the synchronization of a new link
        self.address_move = AddressMove(module, lambda to: self.link_actor.handle_event(life.Moved(to)))
        # The times below are in seconds of the module's clock; inf where the event has not happened yet.
        self.alive_at = math.inf  # arrival of the agent's last message
        self.subscribed_at = 0.0  # when the last handshake was sent
        self.greeted_at = math.inf  # arrival of the last greeting
        self.problem_logged_at = -math.inf  # when an unreadable message was last logged

    def start(self) -> None:
        """Keep a link open from now on, for as long as the process runs."""
        self.link_actor.handle_event(life.Due())

    def move(self, address: tuple[str, int]) -> None:
        """Connect to another address: the new link continues the notices and commands of the current one.

        The current link is kept until the agent has confirmed what was written on it. A reply to a call
        names its run alone: if it is sent again after it was read, the run's next call may be given it.
        """
        current, pending = self.link_actor.life.address, self.address_move.pending
        if address == (pending.address if pending is not None else current):
            return
        self.counters.add("agent.moves")
        if pending is None:
            self._leave_address(address)
        elif address == current:
            self.address_move.cancel()
            self._post_unsent()
        else:
            pending.address = address

    def _leave_address(self, address: tuple[str, int]) -> None:
        """Move at once if nothing is unconfirmed, else once the agent has answered a last sample request."""
        if self.link is None or not self.synced or not len(self.runs.unconfirmed):
            self.link_actor.handle_event(life.Moved(address))
            return
        self.last_sample = next(self.numbers)
        self.address_move.begin(address, self.last_sample)
        self._post(self.link, Command(codec.sample_line(f"g{self.last_sample}")))

    def able(self) -> bool:
        """Return whether runs can start: a link is up, or broke so recently that it is being reopened."""
        return self.link_actor.life.able(self.module.clock())

    @property
    def synced(self) -> bool:
        """Return whether all missed notices have arrived, so that commands may be sent."""
        return self.link_actor.life.state in (life.LinkState.UP, life.LinkState.PROBING)

    @property
    def accepts_commands(self) -> bool:
        """Return whether a command may be written on the current link, which is not about to be left."""
        return self.link is not None and self.synced and self.address_move.pending is None

    async def serve_link(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one link until it ends."""
        link = self.link = AgentLink(self)
        self.counters.add("agent.links")
        self.link_actor.handle_event(life.Opened(number))
        try:
            await link.serve(reader, writer)
        finally:
            if self.link is link:
                self.discard_link()

    def send_control(self, action: life.Action) -> None:
        """Send the handshake, the sync request or the liveness request."""
        if self.link is None:
            return
        match action:
            case life.SendHandshake():
                self.subscribed_at = self.module.clock()
                self.link.post(Command(codec.subscribe_line(self.notices.last)))
            case life.SendSync():
                # The agent sends all missed notices before it answers this sample request. No command is
                # resent before that answer, as a run that has ended meanwhile must not be started twice.
                self.sync_tag = f"s{next(self.numbers)}"
                self.link.post(Command(codec.sample_line(self.sync_tag)))
            case life.SendProbe():
                self.link.post(Command(codec.sample_line(codec.LIVENESS_TAG)))

    def discard_link(self) -> None:
        """Drop the link, and fail the health checks that wait for a result on it."""
        if self.link is None:
            return
        link, self.link = self.link, None
        link.drop()
        self.checks.fail_all()
        self.address_move.complete()

    # --- commands

    def launch(self, request: Request) -> None:
        """Start a run."""
        launch = Command(
            codec.launch_line(request.trace, request.route), request.body, advances=True, starts_run=True
        )
        self.runs.open[request.trace] = request
        if self._send(request, launch):
            self.dispatches += 1
        else:  # the queue is full; without a reported end, the run would occupy a core forever
            self.runs.end(request.trace, Outcome.REJECTED)

    def stop(self, request: Request) -> None:
        """Pause a run."""
        self._send(request, Command(codec.pause_line(request.trace)))

    def resume(self, request: Request) -> None:
        """Resume a paused run."""
        self._send(request, Command(codec.resume_line(request.trace)))

    def deliver(self, request: Request, reply: bytes) -> None:
        """Give a run the reply to its call."""
        delivery = Command(codec.deliver_line(request.trace), reply, advances=True, answers_call=True)
        self._send(request, delivery)
        self.resender.on_delivery(request.trace)

    def forgo(self, request: Request, mark: int) -> None:
        """Let a run continue without the reply to the call with the number ``mark``."""
        self._send(request, Command(codec.forgo_line(request.trace, mark), None, advances=True))

    def sample(self) -> None:
        """Request the gauges."""
        if self.link is not None and self.accepts_commands:
            self.last_sample = next(self.numbers)
            self.link.post(Command(codec.sample_line(f"g{self.last_sample}")))

    def exercise(self, report: Callable[[bool], None]) -> None:
        """Run a health check's work on the agent, and call ``report`` with whether it passed."""
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
        if self.resender.holds(request.trace):
            command.held = True
        elif self.link is not None and self.accepts_commands:
            self._post(self.link, command)
        return True

    def _post_on_link(self, command: Command) -> None:
        if self.link is not None:
            self._post(self.link, command)

    def _post(self, link: AgentLink, command: Command) -> None:
        command.sends += 1
        if not link.post(command):  # the queue is full, as the agent does not read; the next link resends it
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
                    self.runs.unconfirmed.settle_read(trace, run_ended=False)
                    self.resender.on_notice(trace)
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
                self._handle_sample(tag, values)
            case codec.GreetingNotice(warming_up, age_s):
                self._handle_greeting(warming_up, age_s)
            case codec.ExerciseNotice(tag, passed):
                self.checks.end(tag, passed)
            case None:
                self.counters.add("agent.unknown_notices")

    def _handle_greeting(self, warming_up: bool, age_s: float) -> None:
        """Handle a greeting; if the agent has restarted, its runs and numbered notices are lost.

        The greeting holds the agent's age. The agent has restarted if it started after its last message was
        read. That comparison alone misses a restart where the last message was read late, after the restart,
        and the new notices would be taken for old ones. So the agent also counts as restarted if it started,
        at the earliest time that its age allows, after the previous greeting. Raises BadInputError for a
        greeting that answers no subscription of this link: it would count as a restart, and the next link is
        certain to get its own greeting.
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
                "agent %s:%d: restarted: %d runs are lost",
                *self.link_actor.life.address,
                len(self.runs.open),
            )
            self.notices.restart()
            sent = [run for run in self.runs.open.values() if not self.runs.unconfirmed.never_sent(run.trace)]
            self.runs.lose(sent)
            if self.link is not None:  # it subscribed with a notice number of the agent's earlier process
                self.link.drop()
            return
        self.module.post(WorkersStarted(warming_up, age_s))
        self.link_actor.handle_event(life.Greeted(self.link_actor.life.link))

    def handle_unreadable(self, fields: list[str], problem: str) -> None:
        """Handle a message that cannot be parsed.

        The agent repeats an unreadable notice on each new link, which would break every link. So a notice
        that is unreadable twice in a row is skipped.
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

    def _handle_sample(self, tag: str, values: list[float]) -> None:
        if tag == codec.LIVENESS_TAG:
            return
        self.module.post(GaugesSampled(gauges_from(self.gauges, values)))
        if tag == self.sync_tag and not self.synced:
            self.link_actor.handle_event(life.Synced(self.link_actor.life.link))
            self.resender.resend_all()
        elif tag[:1] == "g":  # the agent has read all commands that were sent before this sample request
            sample = int(tag[1:])
            if sample > self.last_sample:
                raise BadInputError("an answer to a sample request that was never sent")
            self.runs.unconfirmed.settle_before(sample)
            self.address_move.on_sample(sample)

    def link_ended(self) -> None:
        """Do nothing: this link is reopened after every break."""

    def _post_unsent(self) -> None:
        """Write the commands that were held back for a move which was taken back."""
        for _, _, command in self.runs.unconfirmed:
            if self.link is not None and not command.sends:
                self._post(self.link, command)
