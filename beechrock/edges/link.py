"""State machine of an edge's link to upstream, as one member sees it. Pure: times are passed in (monotonic).

States: CONNECTED (writes go straight), DOUBTFUL (answers are late; new writes are queued), CUT (no answers),
PROBING (answers come again, but too few in a row yet), REPLAYING (the link is good but writes still wait: a
write that depends on one of them is queued, other writes go straight).
Events: ``heard`` (an answer of upstream), ``tick``; both are passed the number of waiting writes.
Hysteresis: CONNECTED ends only after DOUBT_PROBES without an answer, CUT only after ``good_needed`` answers
in a row; each return to CUT within FLAP_S doubles ``good_needed`` up to MAX_GOOD. Without this a link that
flaps each second would begin a replay, with its slow start and its retries, each second.
Invariants: no write goes straight in CUT, PROBING or DOUBTFUL; a good link leaves REPLAYING only with no
write waiting.
"""

from dataclasses import dataclass, field
from enum import Enum

DOUBT_PROBES, CUT_PROBES = 2.5, 5.0  # Probe intervals without an answer until DOUBTFUL, and until CUT
GOOD, MAX_GOOD = 2, 16
FLAP_S = 30.0


class LinkState(Enum):
    CONNECTED = "connected"
    DOUBTFUL = "doubtful"
    CUT = "cut"
    PROBING = "probing"
    REPLAYING = "replaying"


STRAIGHT = (LinkState.CONNECTED, LinkState.REPLAYING)


@dataclass(slots=True)
class Link:
    probe_s: float
    now: float
    state: LinkState = LinkState.CUT  # A new process has had no answer yet
    since: float = 0.0
    good_needed: int = GOOD
    without: frozenset[str] = frozenset()  # Guards that a test disables
    heard_at: float = field(init=False)
    good: int = 0
    cuts: int = 0
    came_back_at: float | None = None

    def __post_init__(self) -> None:
        self.heard_at, self.since = self.now - CUT_PROBES * self.probe_s, self.now

    @property
    def straight(self) -> bool:
        return self.state in STRAIGHT

    @property
    def replays(self) -> bool:
        return self.state is LinkState.REPLAYING

    def heard(self, now: float, waiting: int) -> None:
        """Handle an answer of upstream to a probe; ``waiting`` is the number of waiting writes."""
        self.heard_at = now
        match self.state:
            case LinkState.CUT:
                self._go(LinkState.PROBING, now)
                self.good = 1
            case LinkState.PROBING:
                self.good += 1
            case LinkState.DOUBTFUL:
                self._go(LinkState.REPLAYING if waiting else LinkState.CONNECTED, now)
        needed = self.good_needed if "hysteresis" not in self.without else 1
        if self.state is LinkState.PROBING and self.good >= needed:
            self.came_back_at = now
            self._go(LinkState.REPLAYING if waiting else LinkState.CONNECTED, now)
        self.settle(now, waiting)

    def settle(self, now: float, waiting: int) -> None:
        """Switch between CONNECTED and REPLAYING by whether any write waits."""
        if self.state is LinkState.REPLAYING and not waiting:
            self._go(LinkState.CONNECTED, now)
        elif self.state is LinkState.CONNECTED and waiting:
            self._go(LinkState.REPLAYING, now)

    def tick(self, now: float, waiting: int) -> None:
        silent_probes = (now - self.heard_at) / self.probe_s
        if self.state is LinkState.PROBING and silent_probes >= DOUBT_PROBES:
            self._cut(now)  # The link was not yet known to be good, so DOUBTFUL is skipped
        elif self.state is not LinkState.CUT and silent_probes >= CUT_PROBES:
            self._cut(now)
        elif self.straight and silent_probes >= DOUBT_PROBES:
            self._go(LinkState.DOUBTFUL, now)
        else:
            self.settle(now, waiting)
        if self.straight and self.came_back_at is not None and now - self.came_back_at > FLAP_S:
            self.good_needed, self.came_back_at = GOOD, None

    def _cut(self, now: float) -> None:
        if self.came_back_at is not None and now - self.came_back_at <= FLAP_S:
            self.good_needed = min(MAX_GOOD, 2 * self.good_needed)
        self.cuts += 1
        self._go(LinkState.CUT, now)

    def _go(self, state: LinkState, now: float) -> None:
        self.state, self.since, self.good = state, now, 0
