"""Starts a node from its environment, and turns errors of the start into exit codes."""

import asyncio
import contextlib
import logging
import os
import signal
import sys
from typing import NoReturn

from beechrock import config, logs
from beechrock.configuration_file import ConfigurationFile
from beechrock.errors import OperatorError
from beechrock.program import Program

log = logging.getLogger("beechrock")
# Errors kept alive: their tracebacks hold asyncio's half-made loop, whose destructor would fail.
_held_errors: list[OSError] = []


class EventLoopError(OperatorError):
    """The system has no descriptor, memory or epoll watch left for an event loop."""

    exit_code = 1
    event = "loop.unavailable"

    def __init__(self, error: OSError) -> None:
        super().__init__(
            error.strerror or str(error),
            where="event loop",
            do="free memory and descriptors, or raise fs.epoll.max_user_watches, and start again",
        )


async def serve(configuration: config.Config, seen: tuple[int, ...]) -> None:
    """Run a node until its graceful shutdown is complete; if no fleet parts run, end the process then."""

    def read_anew(running: config.Config) -> config.Config:
        """Load the configuration, without reading the inventory that the running one already holds."""
        return config.load(os.environ, running=running.scgi.generation if running.scgi else None)

    file = ConfigurationFile(read_anew, lambda: config.stamp(os.environ), seen)
    program = Program(configuration, file=file)
    await program.run()
    if not program.has_tasks_to_end:
        end_process(0)


def serve_from_environment() -> int:
    """Run a node that the environment configures; return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # must not end the process before its handler is set
    seen = config.stamp(os.environ)
    try:
        configuration = config.load(os.environ)
        logs.set_up(configuration.scgi.log if configuration.scgi is not None else "")
        for note in configuration.scgi.notes if configuration.scgi is not None else ():
            log.warning("inventory: %s", note)
        run_event_loop(configuration, seen)
    except OperatorError as error:  # also raised for a valid address that cannot be opened
        return logs.stopped_by(error)
    except OSError as error:
        print(f"beechrock: {error}", file=sys.stderr)
        return 1
    return 0


def run_event_loop(configuration: config.Config, seen: tuple[int, ...]) -> None:
    """Run the node on a new event loop. Raises EventLoopError if the system cannot provide one."""
    runner = asyncio.Runner()
    try:
        runner.get_loop()
    except OSError as error:  # from epoll(7), or from the socket pair for signals
        _held_errors.append(error)
        raise EventLoopError(error) from error
    with runner:
        runner.run(serve(configuration, seen))


def end_process(code: int) -> NoReturn:
    """End the process with the exit code ``code``, without the interpreter's teardown.

    Everything that must outlive the process has been written by then. The teardown frees objects one by one,
    which the kernel does at once; on a busy machine it takes longer than the time left before the process is
    killed. So does closing the event loop, which cancels tasks that no longer own anything.
    """
    logging.shutdown()
    for stream in (sys.stdout, sys.stderr):
        if stream is not None:  # None if the process was started without this descriptor
            with contextlib.suppress(OSError, ValueError):  # the reader of the stream may be gone
                stream.flush()
    os._exit(code)
