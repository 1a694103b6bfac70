"""Errors of the duties that are shown to operators."""

from beechrock.errors import OperatorError


class DutyError(OperatorError):
    """Base class of the errors of ``duties``."""

    event = "duties"


class UnknownDutyError(DutyError):
    """No duty with this name has been declared."""


class NotMovedError(DutyError):
    """A requested move or removal of a duty was refused; its grant is unchanged."""


class FenceUnkeptError(DutyError):
    """A higher fence could not be made durable, so effects under it are not accepted."""


class GrantsUnreadableError(DutyError):
    """A snapshot of the grants or of the agreed generation cannot be read by this program version."""


class BrokenInvariantError(DutyError):
    """An invariant is violated, so this process stops taking part in duties."""
