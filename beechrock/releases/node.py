"""A node's side of its permit: when it drains, changes its version, and serves again. Pure.

States: IN (in service); GOING (holds a permit and proposes ``go`` to the log); OUT (drained); CHANGING
(drained, another version is wanted); WARMING (drained, about to serve again); PROVING (in service, but the
log does not know it yet).
Events: ``decide(now, facts)``, some times a second, and ``settled(began)`` when a linearizable read that
started at ``began`` has ended. ``now`` is of a clock that also counts the time of a suspended machine.

Invariants
- The node drains only with its ``go`` in the log under the permit that it holds now, within ``for_s`` of
  first seeing that permit, and after a read that started since its last pause.
- Each life that is drained with its ``go`` in the log reports once that it is out, even if an earlier life
  drained it, before it changes its version or serves again.
- The node changes its version only while drained, with its ``go`` in the log, after ``quiet_s`` without an
  open or a new request, or after ``drain_s``.
- The node serves again, and reports that, only after it could serve and was connected for ``warm_s`` without
  a break.
- In doubt the node keeps its state: in service if it serves, drained if it does not.
"""

from dataclasses import dataclass, field
from enum import Enum

DRIFT = 0.05  # share of ``for_s`` by which the clocks of node and driver may differ
PAUSE_S = 1.0  # a longer gap between two decisions is a pause, after which the node first reads the log


class State(Enum):
    IN = "in"
    GOING = "going"
    OUT = "out"
    CHANGING = "changing"
    WARMING = "warming"
    PROVING = "proving"


class Act(Enum):
    """What the node does next."""

    HERE = "here"  # register this life in the log
    READ = "read"  # run a linearizable read
    GO = "go"  # write the marker, and propose to the log to go out under the fence
    DRAIN = "drain"  # take no new work, as the operators' call does
    OUT = "out"  # report that the node is out under the fence; it was drained before
    CHANGE = "change"  # change to ``version``: exit or wait for an operator, by the setting ``on_change``
    SERVE = "serve"  # take work again
    BACK = "back"  # end the permit in the log under the fence
    UNUSED = "unused"  # end the permit in the log without having gone out
    PROVED = "proved"  # report to the log that the node serves, without a permit


@dataclass(frozen=True, slots=True)
class Do:
    """One action of the node, with the permit's fence and the version that it concerns."""

    act: Act
    fence: int = 0
    version: str = ""


@dataclass(frozen=True, slots=True)
class Facts:
    """The input of one decision, read from the log as applied at this node and from its program."""

    fence: int = 0  # fence of the permit that this node holds; 0: none
    for_s: float = 0.0  # seconds from first seeing the permit until the right to go out ends
    may_go: bool = False  # the permit still allows this node to go out
    go_applied: bool = False  # this node's ``go`` is in the log
    to_return: bool = False  # the node is to serve with its present version
    wanted_version: str = ""  # version that this node is to run; empty: no change is wanted
    version: str = ""  # version that this node runs
    registered: bool = False  # the log knows this life
    proved: bool = False  # the log knows that this life serves
    can_serve: bool = True  # runs can be started, and no operator has drained the node by hand
    connected: bool = True  # the log has a leader, and at least half of the other nodes are heard
    open: int = 0  # requests in progress
    taken: int = 0  # requests taken since the process started


@dataclass(slots=True)
class Node:
    """The node's state. ``drained``: as the marker on disk at the start, then by DRAIN and SERVE."""

    warm_s: float
    drain_s: float
    now: float
    drained: bool = False
    quiet_s: float = 0.0
    state: State = State.IN
    resumed_at: float = field(init=False)  # end of the last pause, or the start
    decided_at: float = field(init=False)  # time of the last decision
    read_began_at: float = -1.0  # start of the newest read that has ended
    seen: tuple[int, float] = (0, 0.0)  # fence of the permit, and when this node first saw it
    ready_since: float | None = None  # since when the node can serve and is connected; None: it is not
    out_since: float = 0.0  # when the node was drained
    idle: tuple[int, float] = (-1, 0.0)  # requests taken, and since when none is open and none was taken
    version_acted_on: str = ""  # wanted version on which this node has already acted
    reported_fence: int = 0  # fence under which this life has reported that it is out

    def __post_init__(self) -> None:
        self.resumed_at = self.decided_at = self.out_since = self.now
        self.state = State.WARMING if self.drained else self.state

    def settled(self, began: float) -> None:
        """Take note of a linearizable read that started at ``began`` and has ended."""
        self.read_began_at = max(self.read_began_at, began)

    def decide(self, now: float, facts: Facts) -> list[Do]:
        """Return the actions to take now."""
        if now - self.decided_at > PAUSE_S:
            self.resumed_at, self.ready_since = now, None
        self.decided_at = now
        ready = facts.can_serve and facts.connected
        self.ready_since = (self.ready_since if self.ready_since is not None else now) if ready else None
        if not facts.registered:
            return [Do(Act.HERE)]
        if not facts.fence:
            return self._without_permit(now, facts)
        if self.seen[0] != facts.fence:
            self.seen = facts.fence, now
        # On busy cores, a node was killed between its `go` and its report. It came up drained by its marker,
        # changed and came back without having reported that it was out, and a count of reports missed it.
        if self.drained and facts.go_applied and self.reported_fence != facts.fence:
            self.reported_fence = facts.fence
            return [Do(Act.OUT, facts.fence)]
        if facts.to_return or (facts.wanted_version and facts.wanted_version == facts.version):
            return self._come_back(now, facts)
        if not self.drained:
            return self._go(now, facts)
        if not facts.go_applied:
            # The node was killed between its marker and its `go`, or is still drained by an older permit.
            # Without this `go`, an operator's drain would expire, and the node would return unasked.
            self.state = State.OUT
            return [Do(Act.GO, facts.fence)] if facts.may_go else []
        if facts.wanted_version:
            return self._change(now, facts)
        self.state = State.OUT
        return []

    def _without_permit(self, now: float, facts: Facts) -> list[Do]:
        """Decide without a permit: serve again if drained by one that ended; else prove a new life."""
        self.version_acted_on = ""
        if self.drained:
            self.state = State.WARMING
            return self._serve(now)
        self.state = State.IN if facts.proved else State.PROVING
        return [Do(Act.PROVED)] if not facts.proved and self._is_warm(now) else []

    def _come_back(self, now: float, facts: Facts) -> list[Do]:
        """Serve again if drained, then end the permit."""
        if self.drained:
            self.state = State.WARMING
            return self._serve(now)
        self.state = State.PROVING
        # A node that never went out is still proved and need not warm up again.
        return [Do(Act.BACK, facts.fence)] if facts.proved or self._is_warm(now) else []

    def _go(self, now: float, facts: Facts) -> list[Do]:
        """Propose ``go``, then drain; give the permit back unused once its time has passed."""
        self.state = State.GOING
        if now - self.seen[1] > facts.for_s * (1 - DRIFT):
            return [Do(Act.UNUSED, facts.fence)]
        if not self._read_since_pause():
            return [Do(Act.READ)]
        if not facts.may_go:
            return []
        if not facts.go_applied:
            return [Do(Act.GO, facts.fence)]
        self.drained, self.state, self.out_since, self.ready_since = True, State.OUT, now, None
        self.reported_fence = facts.fence
        return [Do(Act.DRAIN, facts.fence)]

    def _change(self, now: float, facts: Facts) -> list[Do]:
        """Change the version once no request has been open or taken for ``quiet_s``, or after ``drain_s``."""
        self.state = State.CHANGING
        if not self._read_since_pause():
            return [Do(Act.READ)]
        # Front ends learn late that a node drains: in the benchmark, a process that exited at once turned
        # away 355 of 2,986 requests.
        if facts.open or self.idle[0] != facts.taken:
            self.idle = facts.taken, now
        must_wait = now - self.idle[1] < self.quiet_s or facts.open
        if self.version_acted_on == facts.wanted_version or (
            must_wait and now - self.out_since < self.drain_s
        ):
            return []
        self.version_acted_on = facts.wanted_version
        return [Do(Act.CHANGE, facts.fence, facts.wanted_version)]

    def _serve(self, now: float) -> list[Do]:
        if not self._is_warm(now):
            return []
        if not self._read_since_pause():
            return [Do(Act.READ)]
        self.drained, self.version_acted_on = False, ""
        return [Do(Act.SERVE)]

    def _is_warm(self, now: float) -> bool:
        return self.ready_since is not None and now - self.ready_since >= self.warm_s

    def _read_since_pause(self) -> bool:
        """Return whether the applied log is at least as new as this process's last pause."""
        return self.read_began_at >= self.resumed_at
