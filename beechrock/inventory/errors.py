"""Errors for an inventory, or a part of one, that can't be used; operators see their messages."""

from typing import TYPE_CHECKING, ClassVar

from beechrock.errors import OperatorError

if TYPE_CHECKING:
    from beechrock.inventory.problems import Problems

CHECK = "`beechrock inventory check` names each place; docs/inventory.md has the keys"


class InventoryError(OperatorError, ValueError):
    """An inventory that can't be used; ``problems`` lists the faults of all files with file and line."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.refused"

    def __init__(self, problems: "Problems") -> None:
        super().__init__("\n".join(problems.lines()), do=CHECK)
        self.problems = problems


class BadValueError(OperatorError, ValueError):
    """A value that its key does not allow. The reader of the files adds the file, line, entry and key."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.bad_value"


class BadRangeError(OperatorError, ValueError):
    """A name with a range in brackets that is malformed, or that expands to too many names."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.bad_range"


class DamagedError(OperatorError, ValueError):
    """Bytes that are no valid generation, or whose digest or length does not match their header."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.damaged"


class KeptUnreadableError(DamagedError):
    """The disk fails to read the last good generation, so its content is unknown."""

    exit_code: ClassVar[int] = 2
    event: ClassVar[str] = "inventory.kept_unreadable"


class MissingError(OperatorError):
    """There is no snapshot, as at a first start; this is not damage."""

    exit_code: ClassVar[int] = 2
    event: ClassVar[str] = "inventory.missing"


class ReadingError(OperatorError, ValueError):
    """The reader process printed no usable result; the generation in force stays in force."""

    exit_code: ClassVar[int] = 2
    event: ClassVar[str] = "inventory.not_read"
