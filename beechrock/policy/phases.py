"""Phases of a request in a node."""

from enum import IntEnum


class Phase(IntEnum):
    """Phase of a request; from RUNNING on its run has started."""

    FINISHED = 0
    HELD = 1  # The request is admitted and queued, or being decided on
    SHARING = 2  # The request is a repeat that waits for the first attempt's result
    RUNNING = 3
    AWAITING_CALL = 4  # The run is off the cores and waits to issue a downstream call
    CALLING = 5  # The run waits for its downstream call to end


# Module names, because looking up a member on the enum class costs more.
FINISHED, HELD, SHARING, RUNNING, AWAITING_CALL, CALLING = Phase

# Part of a request's work that is still ahead, by phase; runs are half done in the mean.
SHARE_AHEAD = (0, 1, 0, 0.5, 0.5, 0.5)
