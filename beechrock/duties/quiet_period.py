"""Quiet period of a new leader: the time since which no leader has renewed any grant. Pure code.

A leader's lease ends before another node can lead (agree/), and only a leader answers requests. So no lease
is extended between the moment at which a node becomes the leader and the first reply of its own grantor. That
grantor therefore counts the wait for old leases from that moment and not from its own creation, so that the
time until its BEGIN is in the log, and until the next tick, does not prolong the wait.

States: no period; a period with a start time. Events: the node becomes the leader, the node stops leading, a
tick, a grantor is created. Invariants: a period serves one grantor, because a later one does not know which
leases that one renewed; a gap of the clock does not count towards the period.
"""

from beechrock.duties.guards import Guard


class QuietPeriod:
    """Start of the current quiet period; all times are readings of this process's own clock."""

    def __init__(self, without: frozenset[str] = frozenset()) -> None:
        self._without = without
        self._since_s: float | None = None  # start of the period; None without one
        self._last_s = 0.0  # last reading of the clock within the period

    def begin(self, now_s: float) -> None:
        """Start a period: this node leads from now on and has no grantor."""
        self._since_s = self._last_s = now_s

    def end(self) -> None:
        """End the period: this node no longer leads, or a grantor of its own may have answered requests."""
        self._since_s = None

    def tick(self, now_s: float, pause_s: float) -> None:
        """Restart the period after a gap longer than ``pause_s`` or a clock that went back."""
        if self._since_s is None:
            return
        if not 0.0 <= now_s - self._last_s <= pause_s and Guard.QUIET_GAP not in self._without:
            self._since_s = now_s
        self._last_s = now_s

    def take(self, now_s: float) -> float:
        """Return the start of the period, for a grantor created now, and end the period."""
        since_s = now_s if self._since_s is None else self._since_s
        if Guard.QUIET_ONCE not in self._without:
            self._since_s = None
        return since_s
