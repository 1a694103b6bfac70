"""The console script: nouns, then verbs. ``serve`` is what the program does without arguments."""

import errno
from typing import Any

import click

from beechrock import __version__, logs
from beechrock.cli.edges import edges
from beechrock.cli.errors import UnreadableError
from beechrock.cli.inventory import inventory
from beechrock.cli.lab import lab
from beechrock.cli.members import members
from beechrock.cli.policy import policy
from beechrock.cli.releases import drain, release
from beechrock.cli.replica import replica
from beechrock.cli.requests import ask
from beechrock.cli.settings import settings
from beechrock.cli.trace import trace
from beechrock.errors import OperatorError


class CommandGroup(click.Group):
    """Turns the errors that end a command into a message and an exit code, by the error's type."""

    def invoke(self, context: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(context)
        except OperatorError as error:
            reported = error
        except OSError as error:
            if error.errno == errno.EPIPE:  # the reader has read enough: click ends quietly
                raise
            reported = UnreadableError(error.strerror or str(error), where=str(error.filename or ""))
        context.exit(logs.stopped_by(reported, f"beechrock {context.invoked_subcommand or ''}".rstrip()))


@click.group(
    cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
@click.version_option(__version__, prog_name="beechrock")
def main() -> None:
    """A broker between services that keeps its promises under overload."""


@main.command()
def serve() -> None:
    """Run a node, as LB_CONFIG or LB_SCGI tell it; the same as no command at all."""
    from beechrock.start import end_process, serve_from_environment

    end_process(serve_from_environment())


for command in (drain, edges, inventory, ask, lab, members, policy, release, replica, settings, trace):
    main.add_command(command)
