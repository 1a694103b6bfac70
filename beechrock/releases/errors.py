"""Errors of permits and releases that operators see."""

from beechrock.errors import OperatorError


class ReleaseError(OperatorError):
    """The root of the errors of ``releases``."""

    event = "release.error"


class PermitRefusedError(ReleaseError):
    """One more out would be over a budget, or the last of its hall or service; nothing has changed."""

    event = "permit.refused"
    exit_code = 1


class UnknownTargetError(ReleaseError):
    """No such node, server, permit or release in the agreed state."""

    event = "release.unknown"


class ReleaseStateError(ReleaseError):
    """The release is in a state in which this cannot be done."""

    event = "release.state"
    exit_code = 1


class BrokenInvariantError(ReleaseError):
    """What can never be was found in the agreed permits; this process takes no part in them any more."""

    event = "releases.broken"
