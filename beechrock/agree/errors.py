"""Errors of the agreed log, for its callers and for operators."""

from typing import ClassVar

from beechrock.errors import OperatorError


class AgreeError(OperatorError):
    """Root of the agreed log's errors."""

    event: ClassVar[str] = "agree.error"


class NoQuorumError(AgreeError):
    """The proposal was not accepted, and will not be: no leader with a quorum was found in time."""

    event: ClassVar[str] = "agree.no_quorum"


class UnsureError(AgreeError):
    """The proposal was forwarded and may still be accepted; sent again with the same number it runs once."""

    event: ClassVar[str] = "agree.unsure"


class FullError(AgreeError):
    """A bound of the log is reached; the caller is to retry later."""

    event: ClassVar[str] = "agree.full"


class VotersError(AgreeError):
    """A change of voters was refused."""

    event: ClassVar[str] = "agree.voters"


class BadMessageError(AgreeError):
    """A message or a journal record cannot be read."""

    event: ClassVar[str] = "agree.bad_message"


class BrokenInvariantError(AgreeError):
    """An invariant is broken: the process takes no further part in the agreed log, and goes on serving."""

    event: ClassVar[str] = "agree.broken"
