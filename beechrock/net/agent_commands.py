"""Commands to the render farm agent, and the queue of commands that it has not confirmed as read."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from beechrock.core.requests import Request

MAX_COMMANDS = 40_000


@dataclass(slots=True, eq=False, repr=False)
class Command:
    """One command line to the agent. A command about a request is kept until the agent has confirmed it."""

    line: str
    body: bytes | None = None
    advances: bool = False  # the run advances by this command, so its next notice proves that it was read
    starts_run: bool = False  # the command starts the run
    answers_call: bool = False  # the command is the reply to the call that the run waits for; names no call
    sends: int = 0  # number of links on which the command was sent
    held: bool = False  # not written on the current link yet, as it waits for its turn
    settled: bool = False  # the agent has read the command, or it is no longer needed

    def encode(self) -> bytes:
        """Return the bytes to write now: none if the command was settled after it was queued.

        The run's next notice, read in the meantime, may have confirmed the command; then the agent must not
        get it again.
        """
        if self.settled:
            return b""
        if self.body is None:
            return self.line.encode() + b"\r\n"
        return f"{self.line} {len(self.body)}\r\n".encode() + self.body + b"\r\n"


class UnconfirmedCommands:
    """Commands not yet confirmed, in the order of their numbers and indexed by request.

    A command is removed by ``settle`` once the agent has read it, or once it is no longer needed.
    """

    def __init__(self) -> None:
        self._commands: dict[int, tuple[Request, Command]] = {}
        self._numbers: dict[str, list[int]] = {}  # numbers of the commands, by the request's trace

    def __len__(self) -> int:
        return len(self._commands)

    def add(self, number: int, request: Request, command: Command) -> bool:
        """Store a command. Returns False if the queue is full."""
        if len(self._commands) >= MAX_COMMANDS:
            return False
        self._commands[number] = request, command
        self._numbers.setdefault(request.trace, []).append(number)
        return True

    def __iter__(self) -> Iterator[tuple[int, Request, Command]]:
        """Yield all current commands in order; skip commands that are settled during the iteration."""
        for number, (request, command) in list(self._commands.items()):
            if number in self._commands:
                yield number, request, command

    def commands_of(self, trace: str) -> list[Command]:
        """Return the commands about a run, in order."""
        return [self._commands[number][1] for number in self._numbers.get(trace, ())]

    def launch_of(self, trace: str) -> Command | None:
        """Return the command that starts a run, or None once it is settled."""
        return next((command for command in self.commands_of(trace) if command.starts_run), None)

    def never_sent(self, trace: str) -> bool:
        """Return whether the run cannot have started, as its launch was sent on no link."""
        launch = self.launch_of(trace)
        return launch is not None and not launch.sends

    def settle(self, number: int) -> None:
        """Remove a command that the agent has read, or that is no longer needed."""
        request, command = self._commands.pop(number)
        command.settled, trace = True, request.trace
        numbers = self._numbers[trace]
        numbers.remove(number)
        if not numbers:
            del self._numbers[trace]

    def settle_before(self, sample: int) -> None:
        """Settle all commands before the sample request ``sample``: its answer proves that they were read.

        That holds for the commands that were written on the link of the sample request.
        """
        for number in list(itertools.takewhile(lambda number: number < sample, self._commands)):
            if not self._commands[number][1].held:
                self.settle(number)

    def settle_read(self, trace: str, run_ended: bool) -> None:
        """Settle the commands of a run that its notice confirms.

        If ``run_ended``, these are all its commands; otherwise those by which it advances.
        """
        for number in list(self._numbers.get(trace, ())):
            if run_ended or self._commands[number][1].advances:
                self.settle(number)

    def settle_sent_advances(self, trace: str) -> None:
        """Settle the sent commands by which a run advances, as they must not be sent again."""
        for number in list(self._numbers.get(trace, ())):
            command = self._commands[number][1]
            if command.advances and command.sends:
                self.settle(number)
