"""Whether a store may still change its files, and which typed error a failed system call becomes.

States: WORKING (``reason`` is empty), FAILED. Events: ``fail`` (what is on disk is unknown from now on),
``clear`` (all that no sync had covered was written anew). Invariant: while FAILED, ``check`` raises, so that
nothing is written, synced or promised. A full disk that changed nothing is no failure.
"""

import errno
from typing import NoReturn

from beechrock.store.errors import REOPEN, RETRY, StoreFailedError, StoreFullError

NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class FailureState:
    """Why nothing more is promised; empty while the disk does what it is asked."""

    def __init__(self, where: str) -> None:
        self.reason = ""
        self._where = where

    def check(self) -> None:
        """Raise StoreFailedError if the store has failed."""
        if self.reason:
            raise StoreFailedError(self.reason, where=self._where, do=RETRY)

    def fail(self, error: Exception) -> NoReturn:
        """Note that what is on disk is unknown, and raise StoreFailedError."""
        self.reason = str(error)
        raise StoreFailedError(self.reason, where=self._where, do=RETRY) from None

    def clear(self) -> None:
        """Note that the files are known again."""
        self.reason = ""

    def classify(self, error: OSError) -> StoreFullError | StoreFailedError:
        """Return the typed error of a failed call; any but a lack of space is a failure of the store."""
        if error.errno in NO_SPACE_ERRNOS and not self.reason:
            return StoreFullError(
                str(error), where=self._where, wanted="room on the disk", do="make room on the disk"
            )
        self.reason = self.reason or str(error)
        return StoreFailedError(self.reason, where=self._where, do=RETRY)

    def classify_at_opening(self, error: OSError) -> StoreFullError | StoreFailedError:
        """Return the same; a store that could not be opened is not retried, so the operator has to act."""
        classified = self.classify(error)
        if isinstance(classified, StoreFailedError):
            classified.do = REOPEN
        return classified
