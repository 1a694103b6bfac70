"""The stages of a replacement, as one process sees them. Pure.

Stages of the predecessor (``PredecessorStage``): SEARCHING, initially; CONNECTED, a channel is open and the
predecessor's hello is awaited; DEFERRED, the predecessor itself waits for its own predecessor; COPYING, its
claims are being received; SYNCED, all of its claims are known; INCOMPATIBLE, it exists but cannot be
understood or has sent nothing yet; ABSENT, it has ended or never existed. Stages of the successor
(``SuccessorStage``): NONE; JOINING; READY, it accepts connections. For both, this module also tracks whether
the process is leaving.

Events: events of the channel (``on_connected``, ``on_absent``, ``on_hello``, ...), ``on_able`` once runs can
be started here, ``on_leave``, ``on_end``, and time.

Invariants:
1. This process accepts connections only after it knew all claims of its predecessor, knew that there is no
   predecessor, or was in doubt (INCOMPATIBLE), in which it runs no keyed request. Beside another process, it
   must also have been able to start runs.
2. Once this process serves, it accepts connections until its end, with one exception: while it is leaving and
   the other process accepts them, reads its messages, and is not leaving too. After its end it accepts none,
   whatever happens to the channels that it closes itself.
3. This process vouches for keys to a successor only while it has no predecessor.
4. This process may serve HELLO_TIMEOUT_S + COPY_TIMEOUT_S after its first channel opened at the latest,
   except while it is deferred: then the process that defers it serves.
"""

import math
from enum import Enum

# Seconds within which the predecessor's hello must arrive; many times the longest pause of its event loop
# during an upgrade.
HELLO_TIMEOUT_S = 1.0
# Seconds within which the copy of all claims must arrive, enough for a thousand claims of 45 bytes. Both
# timeouts together are well below the 6 s that a start may take.
COPY_TIMEOUT_S = 2.0


class PredecessorStage(Enum):
    """Progress of joining the predecessor."""

    SEARCHING = "searching"
    CONNECTED = "connected"
    DEFERRED = "deferred"
    COPYING = "copying"
    SYNCED = "synced"
    INCOMPATIBLE = "incompatible"
    ABSENT = "absent"


class SuccessorStage(Enum):
    """Progress of the successor's start."""

    NONE = "none"
    JOINING = "joining"
    READY = "ready"


SETTLED_STAGES = (PredecessorStage.SYNCED, PredecessorStage.INCOMPATIBLE, PredecessorStage.ABSENT)


class Lifecycle:
    """The stages of one process; ``due_s`` is the deadline of the current stage, in steady seconds."""

    def __init__(self) -> None:
        self.predecessor = PredecessorStage.SEARCHING
        self.successor = SuccessorStage.NONE
        self.due_s = math.inf
        # Deadline of all attempts to join together, in steady seconds; it applies until this process serves.
        self.join_deadline_s = math.inf
        self.other_leaving = False
        self.other_silent = False  # Whether the other process reads nothing, so that it may be stopped
        self.able_to_run = False
        self.serving = False
        self.leaving = False
        self.ended = False

    @property
    def accepting(self) -> bool:
        """Return whether this process accepts connections from the shared socket."""
        return self.serving and not self.replaced and not self.ended

    @property
    def replaced(self) -> bool:
        """Return whether new connections are left to the other process, be it successor or predecessor."""
        other_serves = self.successor is SuccessorStage.READY or self.predecessor is PredecessorStage.SYNCED
        return self.leaving and other_serves and not self.other_leaving and not self.other_silent

    @property
    def authority(self) -> bool:
        """Return whether this process can vouch for keys to a successor."""
        return self.predecessor is PredecessorStage.ABSENT

    def _enter(self, stage: PredecessorStage, due_s: float = math.inf) -> None:
        """Enter a stage of the predecessor that must end by ``due_s``."""
        may_serve = stage in SETTLED_STAGES and self.able_to_run
        self.serving = self.serving or may_serve or stage is PredecessorStage.ABSENT
        self.predecessor = stage
        self.due_s = due_s if self.serving else min(due_s, self.join_deadline_s)

    def on_connected(self, now_s: float) -> None:
        """Note that a channel to a predecessor is open."""
        self.join_deadline_s = min(self.join_deadline_s, now_s + HELLO_TIMEOUT_S + COPY_TIMEOUT_S)
        self._enter(PredecessorStage.CONNECTED, now_s + HELLO_TIMEOUT_S)

    def on_absent(self) -> None:
        """Note that no predecessor exists, or that it has ended."""
        self._enter(PredecessorStage.ABSENT)

    def on_hello(self, now_s: float, understood: bool) -> None:
        """Record the predecessor's hello; ``understood`` is true if both processes' versions are equal."""
        if self.predecessor is PredecessorStage.CONNECTED:
            if understood:
                self._enter(PredecessorStage.COPYING, now_s + COPY_TIMEOUT_S)
            else:
                self._enter(PredecessorStage.INCOMPATIBLE)

    def on_deferred(self) -> None:
        """Note that the predecessor waits for its own predecessor, and suspend the deadline to serve.

        The deadline applies again as soon as the predecessor has ended, as nobody else may accept connections
        then.
        """
        if self.predecessor in (PredecessorStage.CONNECTED, PredecessorStage.COPYING):
            self._enter(PredecessorStage.DEFERRED)

    def on_synced(self) -> None:
        """Note that all claims of the predecessor are known.

        A predecessor that was stopped long enough to count as incompatible may have resumed.
        """
        copying = (PredecessorStage.COPYING, PredecessorStage.DEFERRED)
        if self.predecessor in copying or self.predecessor is PredecessorStage.INCOMPATIBLE:
            self._enter(PredecessorStage.SYNCED)

    def on_channel_ended(self) -> None:
        """Note that the channel ended; a new connection attempt must show whether the process ended too."""
        self.other_leaving = False
        self.other_silent = False
        self._enter(PredecessorStage.SEARCHING)

    def on_time(self, now_s: float) -> None:
        """Treat the predecessor as incompatible, and serve in doubt, if its deadline has passed."""
        unsettled = (PredecessorStage.SEARCHING, PredecessorStage.CONNECTED, PredecessorStage.COPYING)
        if now_s >= self.due_s and self.predecessor in unsettled:
            self._enter(PredecessorStage.INCOMPATIBLE)

    def on_able(self) -> None:
        """Note that runs can be started here."""
        self.able_to_run = True
        self._enter(self.predecessor, self.due_s)

    def on_successor_joined(self) -> None:
        """Note that a successor is receiving this process's claims."""
        if self.successor is SuccessorStage.NONE:
            self.successor = SuccessorStage.JOINING

    def on_successor_ready(self) -> None:
        """Note that the successor accepts connections."""
        self.successor = SuccessorStage.READY

    def on_successor_lost(self) -> None:
        """Note that the successor has ended."""
        self.other_leaving = False
        self.other_silent = False
        self.successor = SuccessorStage.NONE

    def on_leave(self) -> None:
        """Note that this process was asked to leave."""
        self.leaving = True

    def on_end(self) -> None:
        """Note that this process accepts no more connections because it ends."""
        self.ended = True
