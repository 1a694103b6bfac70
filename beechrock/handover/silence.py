"""Detection that the other process reads nothing, while connections are left to it. Pure.

A stopped process keeps its channel open and sends nothing, exactly like an idle one. The difference is that
messages to a stopped process stay unread in the kernel's buffer.

States: NEVER READ (no observation so far found all messages read), READING, UNREAD for some time, SILENT.
"""

# Seconds without any reading after which a process counts as stopped: several times the longest pause of an
# event loop during an upgrade, and much less than the time limit of a request.
SILENT_S = 0.3
PROBE_S = 0.05  # Seconds between two messages that are sent only to see whether they are read
# Maximum seconds that count between two observations, so that a pause of this process does not count as
# silence of the other one.
MAX_STEP_S = 0.05


class Silence:
    """Time for which the other process has left messages unread; all times are seconds of one clock."""

    def __init__(self) -> None:
        self.has_read_all = False  # Whether all messages were read at some observation
        self._unread_s = 0.0  # Seconds for which messages have been unread
        self._observed_at_s: float | None = None  # Time of the last observation
        self._probed_at_s: float | None = None  # Time of the last probe

    @property
    def silent(self) -> bool:
        """Return whether messages have been unread for so long that the other process counts as stopped."""
        return self._unread_s >= SILENT_S

    def observe(self, now_s: float, unread: bool) -> None:
        """Note whether any sent message is unread now."""
        step_s = 0.0 if self._observed_at_s is None else min(now_s - self._observed_at_s, MAX_STEP_S)
        self._observed_at_s = now_s
        self._unread_s = self._unread_s + step_s if unread else 0.0
        self.has_read_all = self.has_read_all or not unread

    def probe(self, now_s: float) -> bool:
        """Return whether to send a message now, so that later observations can show whether it is read."""
        due = self._probed_at_s is None or now_s - self._probed_at_s >= PROBE_S
        if due and not self._unread_s:
            self._probed_at_s = now_s
            return True
        return False
