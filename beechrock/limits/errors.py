"""Errors of contracts and budgets that reach the operator."""

from beechrock.errors import OperatorError


class LimitsError(OperatorError):
    """The root of the errors of ``limits``."""

    event = "limits.error"


class BrokenBooksError(LimitsError):
    """An impossible state was found: more ends than begins, or a weight outside the inventory's bounds."""

    event = "limits.broken"


class SpendingRecordError(LimitsError):
    """Bytes of the spending journal that cannot be read: damaged, or of a newer version."""

    event = "limits.record"


class SpendingFullError(LimitsError):
    """A bound of the spending journal is reached; nothing was written."""

    event = "limits.full"
