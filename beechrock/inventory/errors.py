"""What an operator hears of an inventory that can't be used, or of a part of one."""

from typing import TYPE_CHECKING, ClassVar

from beechrock.errors import OperatorError

if TYPE_CHECKING:
    from beechrock.inventory.problems import Problems

CHECK = "`beechrock inventory check` names each place; docs/inventory.md has the keys"


class InventoryError(OperatorError, ValueError):
    """An inventory that can't be used; ``problems`` has every fault of all files, each with its place."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.refused"

    def __init__(self, problems: "Problems") -> None:
        super().__init__("\n".join(problems.lines()), do=CHECK)
        self.problems = problems


class BadValueError(OperatorError, ValueError):
    """A value that its key can't have. Whoever reads the files knows where it stands, and says so."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.bad_value"


class BadRangeError(OperatorError, ValueError):
    """A name with a range in brackets that stands for no names, or for too many."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.bad_range"


class DamagedError(OperatorError, ValueError):
    """Bytes that are no generation, or not the one that they were written as."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "inventory.damaged"


class KeptUnreadableError(DamagedError):
    """The disk does not give the last good generation now; nothing is known of what it holds."""

    exit_code: ClassVar[int] = 2
    event: ClassVar[str] = "inventory.kept_unreadable"


class MissingError(OperatorError):
    """There is no snapshot: a first start, and no damage."""

    exit_code: ClassVar[int] = 2
    event: ClassVar[str] = "inventory.missing"


class ReadingError(OperatorError, ValueError):
    """The process that reads the files apart gave nothing to go by; the generation in force goes on."""

    exit_code: ClassVar[int] = 2
    event: ClassVar[str] = "inventory.not_read"
