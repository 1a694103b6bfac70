"""Sequence numbers of the agent's notices. No I/O."""

from collections.abc import Callable

from beechrock.net.connection import BadInputError

# Maximum gap between two notice numbers. A number further ahead is treated as corrupt: once accepted, it
# would make all later notices look like repeats.
MAX_MISSED_NOTICES = 1_000_000


class NoticeSequence:
    """Tracks which numbered notices have been read, so that none is handled twice."""

    def __init__(self, on_missed: Callable[[int], None]) -> None:
        self.on_missed = on_missed  # called with the number of notices that are lost for good
        self.last = 0  # highest number accepted so far
        self.renumbered = False  # the agent has restarted, so its next notice may have any number
        self.unreadable = 0  # number of the last notice that could not be parsed

    def restart(self) -> None:
        """Reset the sequence after a restart of the agent."""
        self.last = 0
        self.unreadable = 0
        self.renumbered = True

    def accept(self, number: int) -> bool:
        """Mark a notice as read. Returns False if it was read before.

        Raises BadInputError if the number is too far ahead to be valid.
        """
        if number <= self.last:
            return False
        missed = 0 if self.renumbered else number - self.last - 1
        if missed > MAX_MISSED_NOTICES:
            raise BadInputError(f"{missed} notices are missing")
        self.last = number
        self.renumbered = False
        if missed:
            self.on_missed(missed)
        return True

    def repeats_unreadable(self, number: int) -> bool:
        """Record a notice that could not be parsed. Returns whether the previous such notice was the same."""
        if number != self.unreadable:
            self.unreadable = number
            return False
        return True
