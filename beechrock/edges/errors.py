"""What of the edges reaches an operator or a caller."""

from beechrock.errors import OperatorError


class EdgeError(OperatorError):
    """Root of this package's errors."""

    event = "edges.error"


class EdgeSettingError(EdgeError):
    """A key of the table ``edges`` that cannot be meant."""

    event = "edges.setting"


class ForgedTokenError(EdgeError):
    """A token that no edge of this fleet made, or that was changed on its way."""

    event = "edges.forged"


class TooMuchSeenError(EdgeError):
    """A caller's tokens name more than is kept for one request."""

    event = "edges.too_much_seen"


class EdgeFullError(EdgeError):
    """The queue, or a team's share of it, has no room; ``after_s`` says when to come back."""

    event = "edges.full"

    def __init__(self, what: str, after_s: float, *, where: str = "", wanted: str = "", do: str = "") -> None:
        super().__init__(what, where=where, wanted=wanted, do=do)
        self.after_s = after_s


class EdgeDiskWaitsError(EdgeFullError):
    """This node's disk is full, or fails for now; what would need it is refused until it works again."""

    event = "edges.disk_waits"


class UnknownReceiptError(EdgeError):
    """A receipt that this node knows nothing of, or cannot be acted on as asked."""

    event = "edges.unknown_receipt"


class EdgeInvariantError(EdgeError):
    """What can never be was seen; the part stops taking part, the service goes on."""

    event = "edges.invariant"


class EdgeRecordError(EdgeError):
    """A record of the edge's log that cannot be read: written by a newer version, or damaged."""

    event = "edges.record"
