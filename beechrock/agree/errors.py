"""Errors of the agreed log, for its callers and for operators."""

from typing import ClassVar

from beechrock.errors import OperatorError


class AgreeError(OperatorError):
    """Base class of the agreed log's errors."""

    event: ClassVar[str] = "agree.error"


class NoQuorumError(AgreeError):
    """No leader with a quorum was found in time: the proposal was not accepted, and will not be."""

    event: ClassVar[str] = "agree.no_quorum"


class UnsureError(AgreeError):
    """The proposal was forwarded and may still be accepted; resent with the same number, it runs once."""

    event: ClassVar[str] = "agree.unsure"


class FullError(AgreeError):
    """A bound of the agreed log is reached; the caller should retry later."""

    event: ClassVar[str] = "agree.full"


class VotersError(AgreeError):
    """A change of voters was refused."""

    event: ClassVar[str] = "agree.voters"


class BadMessageError(AgreeError):
    """A message or a journal record cannot be read."""

    event: ClassVar[str] = "agree.bad_message"


class BrokenInvariantError(AgreeError):
    """An invariant is broken: the process takes no further part in the agreed log, but keeps serving."""

    event: ClassVar[str] = "agree.broken"
