"""Errors of the duties that reach an operator."""

from beechrock.errors import OperatorError


class DutyError(OperatorError):
    """The root of the errors of ``duties``."""

    event = "duties"


class UnknownDutyError(DutyError):
    """No duty of this name was declared."""


class NotMovedError(DutyError):
    """A duty that was asked to move stays where it is, for now."""


class FenceUnkeptError(DutyError):
    """A higher fence could not be made durable, so nothing is accepted under it."""


class GrantsUnreadableError(DutyError):
    """A snapshot of the grants cannot be read by this program."""


class BrokenInvariantError(DutyError):
    """An invariant is broken: this process takes no part in duties any more."""
