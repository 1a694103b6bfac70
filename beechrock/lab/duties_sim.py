"""Random histories of duties on a driven clock: members, a leader that changes, receivers, and faults between
them.

The pure parts of ``duties/`` run as they are; the log is one list, as agree/ promises it, and its leader has
a lease of its own. Each member has a clock with its own rate; it may leap, and in a pause may lose time,
though never all of it. After each event it is checked that in true time at most one may act for a duty, and
that no receiver takes an effect under a fence below one that it took, or below one under which somebody came
to hold. One seed, one history.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

from beechrock.duties import grants as log
from beechrock.duties.fences import Fences
from beechrock.duties.holder import Holder, HolderState
from beechrock.duties.model import DRIFT, Duty, Kind
from beechrock.lab.duties_member import (
    ACTING,
    HALLS,
    LEADER_LEASE_S,
    LEASE_S,
    RATES,
    Kept,
    SimMember,
)


class World:
    def __init__(
        self,
        seed: int,
        without: frozenset[str] = frozenset(),
        members: int = 4,
        duties: int = 2,
        faults: float = 1.0,
    ) -> None:
        self.random, self.without = random.Random(seed), without
        self.now, self.count = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.log: list[bytes] = []
        self.ids: set[int] = set()
        self.duties = [Duty(f"d{n}", Kind.SHARD, f"s{n}", lease_s=LEASE_S) for n in range(duties)]
        self.receivers = {f"r{n}": Kept() for n in range(2)}
        self.fences = {name: Fences(kept, without=without) for name, kept in self.receivers.items()}
        self.top: dict[tuple[str, str], int] = {}  # receiver, duty: highest that it took, over restarts
        self.came: dict[str, int] = {}  # duty: highest fence that somebody came to hold
        self.cuts: set[tuple[str, str]] = set()
        self.loss, self.slow, self.stops = 0.0, 0.0, 0.0
        self.quorum = True
        self.lead, self.may_elect_s = "", 0.0
        self.broken: list[str] = []
        self.takes = self.effects = self.refused = self.stopped_between = 0
        self.members = {f"n{n}": SimMember(self, f"n{n}", HALLS[n % 2]) for n in range(members)}
        for duty in self.duties:
            self.append(log.declare(duty))
        self.at(0.0, self.elect)
        if faults:
            self.at(1.0, self.fault)
        self.faults = faults

    # --- time

    def at(self, after_s: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + after_s, self.count, call))

    def run(self, seconds: float) -> None:
        """Up to the first broken invariant."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end and not self.broken:
            self.now, _, call = heapq.heappop(self.events)
            call()
            self.check()
        self.now = max(self.now, end) if not self.broken else self.now

    def check(self) -> None:
        # After each event of each history: plain loops, as two acting at once are few.
        members = self.members.values()
        for number, duty in enumerate(self.duties):
            held = 0
            for member in members:
                row = member.rows[number]
                if row.state in ACTING:
                    held += 1
                    if row.fence > self.came.get(duty.name, 0) and row.state is HolderState.HOLDING:
                        self.came[duty.name] = row.fence
                        self.takes += 1
            if held > 1:
                acting = [
                    f"{m.name} under {m.rows[number].fence}"
                    for m in members
                    if m.rows[number].state in ACTING and self.acts(m, m.rows[number])
                ]
                if len(acting) > 1:
                    self.broken.append(f"at {self.now:.3f}: {duty.name} held twice: {acting}")

    def acts(self, member: SimMember, holder: Holder) -> bool:
        """Whether it would be told that it may act, if it asked now; asking leaves no trace."""
        if not member.alive or member.paused:
            return False
        detector, clock = member.member_duties.pause_detector, member.clock()
        last_s, pauses = detector.last_s, detector.pauses
        may = holder.may(clock, detector.observe(clock))
        detector.last_s, detector.pauses = last_s, pauses
        return may is not None

    # --- the network

    def send(self, sender: str, to: str, data: Any) -> None:
        draw = self.random
        for _ in range(2 if draw.random() < 0.1 else 1):
            if (sender, to) in self.cuts or draw.random() < self.loss:
                continue
            late = draw.uniform(0.0, 3.0) if draw.random() < 0.03 + self.slow else draw.uniform(0.002, 0.04)
            self.at(late, lambda: self.deliver(sender, to, data))

    def deliver(self, sender: str, to: str, data: Any) -> None:
        if to in self.receivers:
            self.receive(to, data)
        elif self.members[to].alive:
            self.run_at(self.members[to], lambda: self.members[to].take(sender, data))

    def run_at(self, member: SimMember, call: Callable[[], None]) -> None:
        member.late.append(call) if member.paused else call()

    def receive(self, receiver: str, data: tuple[str, str, str, int]) -> None:
        kind, sender, name, fence = data
        if not self.fences[receiver].accept(name, fence):
            self.refused += kind == "effect"
            return
        if kind == "effect":
            self.effects += 1
            least = max(self.top.get((receiver, name), 0), self.came.get(name, 0))
            if fence < least:
                self.broken.append(
                    f"at {self.now:.3f}: {receiver} took {name} under {fence}, {least} was before"
                )
        self.top[receiver, name] = max(fence, self.top.get((receiver, name), 0))
        if kind == "seal":
            self.send(receiver, sender, ("sealed", receiver, name, fence))

    # --- the agreed log

    def append(self, command: bytes) -> None:
        self.log.append(command)
        index = len(self.log)
        for member in self.members.values():
            self.at(self.random.uniform(0.0, 0.05), lambda m=member: self.learn(m, index))  # type: ignore[misc]

    def learn(self, member: SimMember, index: int) -> None:
        if any((self.lead, member.name) == cut for cut in self.cuts) and member.name != self.lead:
            self.at(0.2, lambda: self.learn(member, index))
        else:
            member.known = max(member.known, index)

    def propose(self, member: SimMember, command: bytes, settled: Callable[[], None] | None) -> None:
        """Applied once, now or much later, or never: by whoever leads when it comes there."""
        self.count += 1
        number, draw = self.count, self.random

        def arrive() -> None:
            lead = self.members.get(self.lead)
            if not self.quorum or lead is None or not lead.alive or lead.paused or not lead.leading():
                if draw.random() < 0.5:
                    self.at(draw.uniform(0.1, 2.0), arrive)  # kept, and sent again
                return
            if (member.name, self.lead) in self.cuts or number in self.ids:
                return
            self.ids.add(number)
            self.append(command)
            if settled is not None and draw.random() < 0.9:
                self.at(draw.uniform(0.01, 0.1), settled)

        for _ in range(2 if draw.random() < 0.1 else 1):
            self.at(draw.uniform(0.1, 3.0) if draw.random() < 0.1 else draw.uniform(0.002, 0.03), arrive)

    def elect(self) -> None:
        """The leader's lease goes on while it has a quorum; a new one comes when no old lease can hold."""
        self.at(0.1, self.elect)
        lead = self.members.get(self.lead)
        cut = sum((self.lead, name) in self.cuts or (name, self.lead) in self.cuts for name in self.members)
        if (
            lead is not None
            and lead.alive
            and not lead.paused
            and self.quorum
            and 2 * cut < len(self.members)
            and lead.leader == self.lead
        ):
            lead.lead_until = lead.clock() + LEADER_LEASE_S * (1.0 - DRIFT)
            self.may_elect_s = self.now + LEADER_LEASE_S / RATES[1]
            return
        fit = [m for m in self.members.values() if m.alive and not m.paused]
        if self.now < self.may_elect_s or not self.quorum or not fit:
            return
        new = self.random.choice(fit)
        new.known = len(self.log)
        self.lead, new.leader = new.name, new.name
        new.elected()
        new.lead_until = new.clock() + LEADER_LEASE_S * (1.0 - DRIFT)
        self.may_elect_s = self.now + LEADER_LEASE_S / RATES[1]
        for member in self.members.values():
            self.at(self.random.uniform(0.0, 0.3), lambda m=member: self.hear_of(m))  # type: ignore[misc]

    def hear_of(self, member: SimMember) -> None:
        if (self.lead, member.name) in self.cuts and self.random.random() < 0.9:
            self.at(0.3, lambda: self.hear_of(member))
        else:
            member.leader = self.lead

    # --- faults

    def pause(self, member: SimMember, seconds: float) -> None:
        if member.paused or not member.alive:
            return
        member.paused, life = True, member.life
        if seconds > 0.5 and self.random.random() < 0.3:  # a clock that does not count all of it
            member.offset -= member.rate * self.random.uniform(0.0, seconds - 0.4)
            self.at(0.0, lambda: None)
        self.at(seconds, lambda: self.go_on(member, life))

    def go_on(self, member: SimMember, life: int) -> None:
        if not member.alive or member.life != life:
            return
        member.paused, member.lead_until = False, float("-inf")  # agree/ asks its voters again
        late, member.late = member.late, []
        for call in late:
            call()

    def kill(self, member: SimMember, back_s: float) -> None:
        if member.alive:
            member.alive, member.late = False, []
            self.at(back_s, member.start)

    def fault(self) -> None:
        if not self.faults:
            return
        self.at(self.random.expovariate(2.5 * self.faults), self.fault)
        draw, names = self.random, sorted(self.members)
        member = self.members[draw.choice(names)]
        holders = [
            m
            for m in self.members.values()
            if any(h.state is not HolderState.IDLE for h in m.member_duties.holders.values())
        ]
        if holders and draw.random() < 0.5:
            member = draw.choice(holders)
        match draw.randrange(12):
            case 0 | 1:
                self.pause(member, draw.uniform(0.1, 4.0))
            case 2:
                self.kill(member, draw.uniform(0.1, 2.0))
            case 3 | 4:
                other = self.lead if draw.random() < 0.6 and self.lead else draw.choice(names)
                cut = (member.name, other) if draw.random() < 0.5 else (other, member.name)
                self.cuts.add(cut)
                self.at(draw.uniform(0.3, 4.0), lambda: self.cuts.discard(cut))
            case 5 | 6:
                lead = self.lead
                for name in names:
                    if name != lead and draw.random() < 0.8:
                        cut = (lead, name)
                        self.cuts.add(cut)
                        self.at(draw.uniform(0.3, 3.0), lambda c=cut: self.cuts.discard(c))  # type: ignore[misc]
            case 7:
                if not member.paused:
                    member.offset += draw.choice((-1, 1)) * draw.uniform(0.4, 5.0)
                    member.lead_until = float("-inf")
            case 8:
                receiver = draw.choice(sorted(self.receivers))
                self.receivers[receiver].crash()
                self.fences[receiver] = Fences(self.receivers[receiver], without=self.without)
            case 9:
                self.quorum = False
                self.at(draw.uniform(0.3, 2.5), lambda: setattr(self, "quorum", True))
            case 10:
                member.drained = not member.drained
            case 11:
                self.loss, self.slow = draw.choice(((0.0, 0.0), (0.2, 0.0), (0.0, 0.4), (0.1, 0.1)))
                self.stops = draw.choice((0.0, 0.01, 0.03))

    def heal(self) -> None:
        """No new faults; what is cut is joined."""
        self.faults = self.loss = self.slow = self.stops = 0.0
        self.cuts.clear()
        self.quorum = True
        for member in self.members.values():
            member.drained = False

    def unheld(self) -> list[str]:
        """Duties for which nobody may act now."""
        return [
            duty.name
            for duty in self.duties
            if not any(
                m.alive and not m.paused and m.member_duties.holders[duty.name].state is HolderState.HOLDING
                for m in self.members.values()
            )
        ]


def history(
    seed: int, seconds: float = 12.0, without: frozenset[str] = frozenset(), liveness: bool = True
) -> World:
    """One history; ``broken`` tells what was seen, empty if all held."""
    world = World(seed, without)
    world.run(seconds)
    if liveness and not world.broken:
        world.heal()
        world.run(5.0 + 6.0 * LEASE_S)
        if not world.broken and (unheld := world.unheld()):
            world.broken.append(f"healed, and nobody holds {unheld}")
    return world
