"""What the store tells an operator."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from beechrock.errors import OperatorError

RETRY = "look at the disk and the kernel's log; it is tried again, and goes on by itself"
REOPEN = "look at the disk and the kernel's log, then start the node again; nothing is taken as empty"


class StoreError(OperatorError):
    """The root of the store's errors."""

    event = "store.error"


class StoreFullError(StoreError):
    """No room: by the bound, or on the disk. Nothing was written; what stands stays good."""

    event = "store.full"


class StoreDamagedError(StoreError):
    """What had been synced is gone or changed. A torn tail that nobody was promised is none."""

    event = "store.damaged"


class StoreTooNewError(StoreError):
    """Written by a later version of the program."""

    event = "store.too_new"


class StoreOldCopyError(StoreError):
    """The folder is older than what others have heard of it, or another one."""

    event = "store.old_copy"


class StoreFailedError(StoreError):
    """The disk failed to sync: what is durable is unknown until the store is opened again."""

    event = "store.failed"


class LifeError(StoreError):
    """The file of the life number holds none; the next life might fall behind one that others remember."""

    event = "store.life"


class StoreMisuseError(StoreError):
    """A call that would break the log's order; a fault of the program."""

    event = "store.misuse"


@contextmanager
def at_start(where: Path) -> Iterator[None]:
    """Turn an OSError while a node starts into a StoreFailedError that says what to do."""
    try:
        yield
    except OSError as error:
        raise StoreFailedError(str(error), where=str(where), do=REOPEN) from None
