"""Open runs on the agent, and the commands about them that it may not have read."""

from collections.abc import Callable

from beechrock.core.actor import ModuleActor
from beechrock.core.requests import Request, RunEnded
from beechrock.interface import Outcome
from beechrock.net.agent_codec import LAUNCH
from beechrock.net.agent_commands import UnconfirmedCommands

# A run whose outcome may be lost is given up after this many times the longest deadline of any class.
LOST_RUN_DEADLINES = 2.0


class AgentRuns:
    """Reports the end of each run to the module exactly once, even if the agent's notice of it is lost."""

    def __init__(self, module: ModuleActor) -> None:
        self.module = module
        self.open: dict[str, Request] = {}  # launched requests without a reported end, by trace
        self.unconfirmed = UnconfirmedCommands()  # commands that the agent may not have read
        self.on_end: Callable[[str], None] = lambda trace: (
            None
        )  # called with the trace of a run that has ended

    def end(self, trace: str, outcome: Outcome, elapsed_s: float = 0.0, result: bytes = b"") -> None:
        """Report the end of a run, and settle its commands."""
        # Settle them now: a new link could launch the run again before the module handles the event.
        self.unconfirmed.settle_read(trace, run_ended=True)
        self.open.pop(trace, None)
        self.on_end(trace)
        self.module.post(RunEnded(trace, outcome, elapsed_s, result))

    def refuse(self, arguments: list[str]) -> None:
        """Handle the refusal of a command. Raises LookupError if the refusal is malformed."""
        self.module.counters.add("agent.refusals")
        if arguments[0] == LAUNCH:
            self.refuse_launch(arguments[1])

    def refuse_launch(self, trace: str) -> None:
        """End a run whose launch was refused: it never ran, so it must not count as work done.

        If the launch was sent on an earlier link too, the run may have happened there: then the refusal does
        not prove that it never ran, and the outcome is a lost connection.
        """
        launch = self.unconfirmed.launch_of(trace)
        once = launch is not None and launch.sends == 1
        self.end(trace, Outcome.REJECTED if once else Outcome.CONNECTION_LOST)

    def lose(self, runs: list[Request]) -> None:
        """End runs for which no notice can arrive any more; their effects may have happened."""
        for request in runs:
            if self.open.get(request.trace) is request:
                self.module.counters.add("agent.lost_runs")
                self.end(request.trace, Outcome.CONNECTION_LOST)

    def miss_notices(self, notices: int) -> None:
        """Handle the permanent loss of notices: any open run may have ended, or wait for another call.

        So commands that were sent are not sent again, as they might start a run a second time, or be taken
        for the reply to a later call. A run that stays without a notice is given up later, which frees its
        place on the cores.
        """
        self.module.counters.add("agent.missed_notices", notices)
        open_runs = list(self.open.values())
        for request in open_runs:
            self.unconfirmed.settle_sent_advances(request.trace)
        longest_s = max(settings.deadline_s for settings in self.module.settings.classes)
        due = self.module.clock() + LOST_RUN_DEADLINES * longest_s
        self.module.timers.at(due, lambda: self.lose(open_runs))
