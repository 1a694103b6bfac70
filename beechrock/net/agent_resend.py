"""Commands that are sent again on a new link, and the wait before a reply that may have been read already."""

from collections.abc import Callable

from beechrock.core.actor import ModuleActor
from beechrock.core.requests import Request
from beechrock.interface import Outcome
from beechrock.net.agent_commands import Command
from beechrock.net.agent_runs import AgentRuns

# Weights of a new sample in the moving mean and deviation, and deviations above the mean: as TCP computes its
# retransmission timeout (RFC 6298).
MEAN_WEIGHT, DEVIATION_WEIGHT, DEVIATIONS = 1 / 8, 1 / 4, 4
INITIAL_MEAN_S, INITIAL_DEVIATION_S = 0.05, 0.0125
MAX_WAIT_S = 0.3
RETRY_S = 0.02  # pause before another attempt to send held commands while the link takes none


class ResponseTime:
    """Moving estimate of the time from a reply to the next notice of its run."""

    def __init__(self) -> None:
        self._mean_s = INITIAL_MEAN_S
        self._deviation_s = INITIAL_DEVIATION_S

    def add(self, sample_s: float) -> None:
        """Include one measured time."""
        error_s = sample_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s

    @property
    def bound_s(self) -> float:
        """Return the time within which nearly all runs that have read their reply send their next notice."""
        return min(MAX_WAIT_S, self._mean_s + DEVIATIONS * self._deviation_s)


class Resender:
    """Sends unconfirmed commands again after a break.

    A reply names its run alone. If the agent has read it, and it is sent again, the run's next call may be
    given it. So a reply is sent again only once its run would have sent a notice if it had read the reply;
    until then the later commands about that run wait too, as their order matters.
    """

    def __init__(
        self,
        module: ModuleActor,
        runs: AgentRuns,
        post: Callable[[Command], None],
        can_post: Callable[[], bool],
    ) -> None:
        self._module = module
        self._runs = runs
        self._post = post  # writes a command on the current link, if there is one
        self._can_post = can_post  # whether the current link takes commands
        self._response_time = ResponseTime()
        self._delivered_at: dict[str, float] = {}  # by trace; time of the reply to a run's latest call
        self._held: set[str] = set()  # traces of the runs whose commands wait
        runs.on_end = self.on_notice

    def on_delivery(self, trace: str) -> None:
        """Note that a run's reply is written for the first time."""
        self._delivered_at[trace] = self._module.clock()

    def on_notice(self, trace: str) -> None:
        """Measure how long a run has worked since its reply; nothing about it has to wait any more."""
        delivered_at = self._delivered_at.pop(trace, None)
        if delivered_at is not None:
            self._response_time.add(self._module.clock() - delivered_at)
        if trace in self._held:
            self._release(trace)

    def holds(self, trace: str) -> bool:
        """Return whether the commands about a run wait."""
        return trace in self._held

    def resend_all(self) -> None:
        """Send again, after a break, the unconfirmed commands that are still needed."""
        self._held.clear()
        for number, request, command in self._runs.unconfirmed:
            command.held = False
            if not request.running:
                self._runs.unconfirmed.settle(number)
            elif (request.answered or request.cancelled) and self._runs.unconfirmed.never_sent(request.trace):
                self._runs.end(request.trace, Outcome.MOOT)  # nobody waits for the result
            elif request.trace in self._held or self._hold(request, command):
                command.held = True
            else:
                self._resend(command)

    def _hold(self, request: Request, command: Command) -> bool:
        """Hold a reply that may have been read; return False if it is due now, or is no such reply."""
        if not command.answers_call or not command.sends:
            return False
        delivered_at = self._delivered_at.get(request.trace, -float("inf"))
        due = delivered_at + self._response_time.bound_s
        if self._module.clock() >= due:
            return False
        self._held.add(request.trace)
        self._set_timer(due, request.trace)
        return True

    def _set_timer(self, due: float, trace: str) -> None:
        self._module.timers.at(due, lambda: self._release(trace))
        self._module.mailbox.wake()  # lets the module compute the time of its next timer again

    def _release(self, trace: str) -> None:
        """Send the commands that were held: the run has sent no notice in time, so it waits for its reply."""
        if trace not in self._held:
            return
        if not self._can_post():
            self._set_timer(self._module.clock() + RETRY_S, trace)
            return
        self._held.discard(trace)
        for command in self._runs.unconfirmed.commands_of(trace):
            if command.held:
                command.held = False
                self._resend(command)

    def _resend(self, command: Command) -> None:
        self._module.counters.add("agent.commands_sent_again")
        if command.answers_call and command.sends:
            self._module.counters.add("agent.deliveries_sent_again")
        self._post(command)
