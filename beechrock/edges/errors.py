"""Errors of the edges that reach an operator or a caller."""

from beechrock.errors import OperatorError


class EdgeError(OperatorError):
    """Base class of this package's errors."""

    event = "edges.error"


class EdgeSettingError(EdgeError):
    """A key of the table ``edges`` has a value that is not valid."""

    event = "edges.setting"


class ForgedTokenError(EdgeError):
    """A token was not issued by an edge of this fleet, or was changed in transit."""

    event = "edges.forged"


class TooMuchSeenError(EdgeError):
    """A caller's tokens are too long, or depend on more writers than one request may."""

    event = "edges.too_much_seen"


class EdgeFullError(EdgeError):
    """The queue or a team's share is full, or copies cannot be made; ``after_s`` is the delay of a retry."""

    event = "edges.full"

    def __init__(self, what: str, after_s: float, *, where: str = "", wanted: str = "", do: str = "") -> None:
        super().__init__(what, where=where, wanted=wanted, do=do)
        self.after_s = after_s


class EdgeDiskWaitsError(EdgeFullError):
    """This node's disk is full or fails; requests that need it are refused until it works again."""

    event = "edges.disk_waits"


class UnknownReceiptError(EdgeError):
    """A receipt is unknown to this node, or the requested action on it is not possible."""

    event = "edges.unknown_receipt"


class EdgeInvariantError(EdgeError):
    """An invariant of the edges is broken; this part stops, and the service goes on."""

    event = "edges.invariant"


class EdgeRecordError(EdgeError):
    """A record or message of the edges cannot be read: written by a newer version, or damaged."""

    event = "edges.record"
