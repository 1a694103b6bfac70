"""Errors of permits and releases that operators see."""

from beechrock.errors import OperatorError


class ReleaseError(OperatorError):
    """Root of the errors of ``releases``."""

    event = "release.error"


class PermitRefusedError(ReleaseError):
    """The permit would exceed a budget, or take out the last of a hall or service; nothing has changed."""

    event = "permit.refused"
    exit_code = 1


class UnknownTargetError(ReleaseError):
    """The agreed state has no such node, server, permit or release."""

    event = "release.unknown"


class ReleaseStateError(ReleaseError):
    """The release is in a state in which this cannot be done."""

    event = "release.state"
    exit_code = 1


class BrokenInvariantError(ReleaseError):
    """An invariant of the agreed permits is broken: this process takes no part in releases any more."""

    event = "releases.broken"
