"""Errors of the links between nodes that reach an operator."""

from beechrock.errors import OperatorError


class TalkError(OperatorError):
    """The root of the errors of ``talk``."""

    event = "talk.error"


class TalkStateError(TalkError):
    """The folder named by ``fleet.state`` cannot be used."""


class TalkChannelError(TalkError):
    """Two parts registered a handler for one channel: a fault of the program."""
