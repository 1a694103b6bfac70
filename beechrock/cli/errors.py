"""Errors of commands that cannot be carried out."""

from typing import ClassVar

from beechrock.errors import OperatorError


class OptionError(OperatorError, ValueError):
    """An option or argument that can't be used as it was given."""

    event: ClassVar[str] = "command.bad_option"


class UnreadableError(OperatorError):
    """A file that a command was pointed at, and that can't be read."""

    event: ClassVar[str] = "command.unreadable"


class NoAnswerError(OperatorError):
    """A node that was asked gave no answer, or none to this."""

    event: ClassVar[str] = "command.no_answer"
