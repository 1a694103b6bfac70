"""All duties at one process, and the renewal requests that it sends to the leader.

One request asks to renew every lease that the process holds, and is its heartbeat as well.

Invariants: a renewal in a reply counts only if it answers a request that this process sent since the last
pause; the lease starts when that request was sent. At most ``MAX_OPEN_REQUESTS`` sent requests are
remembered; beyond that the oldest is dropped, and a reply to it renews nothing.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

from beechrock.duties.grants import GrantTable
from beechrock.duties.holder import Command, Holder, HolderAction, HolderState, PauseDetector
from beechrock.duties.messages import HeldFence, RenewalReply, RenewalRequest
from beechrock.duties.model import PAUSE, RENEW_EACH_LEASES, Duty, WithoutQuorum

MAX_OPEN_REQUESTS = 64  # maximum number of sent requests that are remembered


class Progress(NamedTuple):
    """Progress of a duty's worker."""

    done: int  # amount of work completed since the worker's start; it never decreases
    waiting: int  # amount of work that could be done now but is not


NO_PROGRESS = Progress(0, 1)  # reported for a worker that is taking over, or whose ``progress`` fails


class DutyAction(NamedTuple):
    """Action of the holder of one duty."""

    duty: str
    action: HolderAction


class OpenRequest(NamedTuple):
    """Clock time at which a request was sent, in seconds, and the count of pauses at that time."""

    sent_s: float
    pauses: int


class MemberDuties:
    """The duties for which this process has workers.

    ``lease_s`` is the shortest lease assumed until a duty is declared.
    """

    def __init__(
        self,
        member: str,
        life: int,
        hall: str,
        hardware: str,
        lease_s: float,
        now_s: float,
        without: frozenset[str] = frozenset(),
    ) -> None:
        self.member = member
        self.life = life
        self.hall = hall
        self.hardware = hardware
        self.without = without
        self.pause_detector = PauseDetector(PAUSE * lease_s, now_s, without)
        self.renew_each_s = RENEW_EACH_LEASES * lease_s  # seconds between two requests
        self.duties: dict[str, Duty] = {}  # declared duties by name
        self.holders: dict[str, Holder] = {}  # state of each declared duty, by name
        self.duty_by_fence: dict[int, str] = {}  # name of the duty, by fence of this process's grant
        self.open_requests: dict[int, OpenRequest] = {}  # sent requests by sequence number, the oldest first
        self.seq = 0  # sequence number of the last request
        self.next_request_s = now_s  # clock time at which the next request is due
        self.send_supported = True  # whether the next request lists the supported duties
        self.leaving = ""  # non-empty once this process gives all duties back in order to leave

    def declare(self, duty: Duty) -> None:
        """Add a duty or change its declaration."""
        self.duties[duty.name] = duty
        if duty.name not in self.holders:
            finish = duty.without_quorum is WithoutQuorum.FINISH
            self.holders[duty.name] = Holder(finish, self.without)
        shortest_s = min(duty.lease_s for duty in self.duties.values())
        self.pause_detector.max_gap_s = PAUSE * shortest_s
        self.renew_each_s = RENEW_EACH_LEASES * shortest_s
        self.send_supported = True

    def may(self, name: str, now_s: float) -> int | None:
        """Return the fence if this process may act for the duty now, else None."""
        pauses = self.pause_detector.observe(now_s)
        holder = self.holders.get(name)
        return holder.may(now_s, pauses) if holder is not None else None

    def update_grants(self, grants: GrantTable, now_s: float) -> list[DutyAction]:
        """Apply the grants in this member's copy of the log.

        A new grant for this process makes a renewal request due at once.
        """
        self.pause_detector.observe(now_s)
        actions: list[DutyAction] = []
        for name, holder in self.holders.items():
            grant = grants.held.get(name)
            own = grant is not None and grant.holder == self.member and grant.life == self.life
            fence = grant.fence if grant is not None and own else 0
            lease_s = grant.lease_s if grant is not None else 0.0
            new = holder.on_grant(now_s, fence, lease_s)
            actions += [DutyAction(name, action) for action in new]
            if any(action.command is Command.TAKE_OVER for action in new):
                self.next_request_s = now_s
        self.duty_by_fence = {holder.fence: name for name, holder in self.holders.items() if holder.fence}
        return actions

    def next_request(
        self,
        now_s: float,
        serving: bool,
        progress: Callable[[str], tuple[int, int]],
    ) -> RenewalRequest:
        """Return the next request; the caller must send it at once, because the lease starts now.

        ``progress`` returns the fields of ``Progress`` for a duty.
        """
        pauses = self.pause_detector.observe(now_s)
        self.seq += 1
        self.open_requests[self.seq] = OpenRequest(now_s, pauses)
        while len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        self.next_request_s = now_s + self.renew_each_s
        supported = tuple(sorted(self.duties))
        held = [
            HeldFence(name, fence, *self._progress(name, progress))
            for fence, name in self.duty_by_fence.items()
        ]
        sent = supported if self.send_supported else None
        self.send_supported = False
        return RenewalRequest(
            self.seq,
            self.life,
            self.hall,
            self.hardware,
            serving and not self.leaving,
            bool(self.leaving),
            digest(supported),
            sent,
            tuple(held),
        )

    def _progress(self, name: str, progress: Callable[[str], tuple[int, int]]) -> tuple[int, int]:
        # A worker in its take-over is reported as stalled, whatever its own progress, so that a take-over
        # that hangs is detected by the leader.
        return NO_PROGRESS if self.holders[name].state is HolderState.TAKING else progress(name)

    def on_reply(self, now_s: float, reply: RenewalReply) -> list[DutyAction]:
        """Process a reply of the leader: renewals and requests to yield."""
        pauses = self.pause_detector.observe(now_s)
        if reply.life != self.life:
            return []
        self.send_supported = self.send_supported or reply.send_supported
        actions: list[DutyAction] = []
        request = self.open_requests.get(reply.seq)
        if request is not None and request.pauses == pauses:
            for fence, lease_s in reply.renewed:
                if (name := self.duty_by_fence.get(fence)) is not None:
                    new = self.holders[name].on_renewed(now_s, pauses, request.sent_s, fence, lease_s)
                    actions += [DutyAction(name, action) for action in new]
        for fence in reply.yield_fences:
            if (name := self.duty_by_fence.get(fence)) is not None:
                new = self.holders[name].start_yield(now_s, fence, "asked by the leader")
                actions += [DutyAction(name, action) for action in new]
        return actions

    def on_taken_over(self, now_s: float, name: str, fence: int) -> None:
        """Record that the worker has taken over the predecessor's state."""
        self.holders[name].on_taken_over(now_s, self.pause_detector.observe(now_s), fence)

    def on_given_up(self, name: str, fence: int) -> list[DutyAction]:
        """Record that the worker has no work in progress any more."""
        return [DutyAction(name, action) for action in self.holders[name].on_given_up(fence)]

    def tick(self, now_s: float, yield_reason: str = "") -> list[DutyAction]:
        """Tick each holder.

        A non-empty ``yield_reason`` (drained, leaving) makes the process give all its duties back.
        """
        previous = self.pause_detector.pauses
        pauses = self.pause_detector.observe(now_s)
        if pauses != previous:
            self.next_request_s = now_s  # leases from before a pause do not count: request new ones at once
        actions: list[DutyAction] = []
        for name, holder in self.holders.items():
            new = holder.tick(now_s, pauses)
            if yield_reason and holder.state not in (HolderState.IDLE, HolderState.YIELDING):
                new += holder.start_yield(now_s, holder.fence, yield_reason)
            actions += [DutyAction(name, action) for action in new]
        return actions


def digest(names: tuple[str, ...]) -> int:
    """Return a digest of the sorted names, which is never 0."""
    return int.from_bytes(blake2b("\0".join(names).encode(), digest_size=6).digest(), "big") or 1
