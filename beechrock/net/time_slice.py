"""Reduces the risk that the scheduler pauses a process that is shutting down between two system calls."""

import time

NEW_SLICE_S = 0.0005  # length of a sleep after which the scheduler grants a whole time slice
SAFE_S = 0.001  # processor time used of a slice after which it is renewed; the shortest slices take 3 ms


class TimeSlice:
    """Time slice of this thread; on a busy machine, its end is followed by a wait of 50 ms or more."""

    def __init__(self) -> None:
        self._renewed_at_s = float("-inf")  # processor time of the thread

    def renew(self) -> None:
        """Sleep briefly, as a thread that wakes up gets a whole time slice."""
        time.sleep(NEW_SLICE_S)
        self._renewed_at_s = time.thread_time()

    def renew_if_used(self) -> None:
        """Renew the time slice if its end may be near."""
        if time.thread_time() > self._renewed_at_s + SAFE_S:
            self.renew()
