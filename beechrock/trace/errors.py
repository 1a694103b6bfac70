"""What an operator hears of a record that can't be read, compared or played."""

from typing import ClassVar

from beechrock.errors import OperatorError


class FormatError(OperatorError, ValueError):
    """Bytes that are no trace, or a damaged part of one."""

    event: ClassVar[str] = "trace.damaged"


class RowError(OperatorError, ValueError):
    """A row that holds nothing of what its kind says."""

    event: ClassVar[str] = "trace.bad_row"


class UnfitError(OperatorError, ValueError):
    """A sound record, and not one that this can be done with."""

    event: ClassVar[str] = "trace.unfit"


class NothingToGoByError(OperatorError, ValueError):
    """Records that have too little in common to tell how far their clocks are apart."""

    event: ClassVar[str] = "trace.clocks_unknown"
