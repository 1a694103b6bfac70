"""Many members under a driven clock, a network with faults between them, and a watcher that takes no part.

What must never be is checked after each change, and on the whole view of each member time and again, so over
the whole history and not at its end. Ticks, messages and pauses are events of one queue.
"""

import heapq
import random
from collections.abc import Callable

from beechrock.members.detector import FailureDetector
from beechrock.members.messages import (
    MAX_UPDATES,
    Action,
    Displaced,
    HallChanged,
    MemberState,
    Message,
    Send,
    StartSync,
    Status,
    StatusChanged,
)

TICK_S = 0.1
STEP_S = 0.1  # between two looks of ``within``
Cut = Callable[[str, str], float]  # from, to: the part that is lost


class Fleet:
    """Members, the network between them, and a watcher that took no part.

    ``check_s``: between two looks at a member's whole view; ``sized``: bytes of a message, where counted.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss: float = 0.0,
        most_delay_s: float = 0.05,
        check_s: float = 0.1,
        sized: Callable[[Message], int] | None = None,
        halls: int = 0,
    ) -> None:
        self.random, self.now, self.order = random.Random(seed), 100.0, 0
        self.seed, self.loss, self.most_delay_s, self.check_s = seed, loss, most_delay_s, check_s
        self.sized, self.bytes, self.sent, self.halls = sized, 0, 0, halls
        self.cut: Cut = lambda source, target: 0.0
        self.members: dict[str, FailureDetector] = {}
        self.asleep: dict[str, float] = {}  # until when it stands still
        self.inboxes: dict[str, list[tuple[str, Message]]] = {}
        # (when, order, to whom, from whom, what); a tick is from a process to itself, and ends with it.
        self.events: list[tuple[float, int, str, str | FailureDetector, Message | None]] = []
        self.history: list[tuple[float, str, StatusChanged | HallChanged | Displaced]] = []
        self.seen: dict[str, dict[str, Status]] = {}
        self.check_at: dict[str, float] = {}
        for n in range(count):
            self.start(f"n{n}")

    def start(self, name: str, life: int = 1, seeds: tuple[str, ...] = ("n0", "n1")) -> None:
        member = FailureDetector(
            name, name, life, self.now, self.random.getrandbits(32), seeds, hall=self.hall(name)
        )
        self.members[name], self.seen[name] = member, {}
        self.check_at[name] = self.now
        self._at(self.random.uniform(0.0, TICK_S), name, member, None)
        self.carry(name, member.join())

    def hall(self, name: str) -> str:
        """n0, n3, n6 ... of three halls are in h0."""
        return f"h{int(name[1:]) % self.halls}" if self.halls and name[1:].isdigit() else ""

    def kill(self, name: str) -> None:
        del self.members[name]
        self.inboxes.pop(name, None)

    def pause(self, name: str, seconds: float) -> None:
        self.asleep[name] = self.now + seconds

    def carry(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartSync(address):
                    self.exchange(name, address)
                case Send(address, message):
                    assert len(message.updates) <= MAX_UPDATES
                    self._count(message)
                    if self.random.random() >= max(self.loss, self.cut(name, address)):
                        self.fly(name, address, message)
                case StatusChanged(update):
                    self.history.append((self.now, name, action))
                    self._check_status(name, update.name, self.members[name])
                case HallChanged() | Displaced():
                    self.history.append((self.now, name, action))

    def _count(self, message: Message) -> None:
        self.sent += 1
        if self.sized is not None:
            self.bytes += self.sized(message)

    def _at(self, in_s: float, target: str, source: str | FailureDetector, message: Message | None) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + in_s, self.order, target, source, message))

    def fly(self, source: str, target: str, message: Message) -> None:
        self._at(self.random.uniform(0.0, self.most_delay_s), target, source, message)

    def exchange(self, source: str, target: str) -> None:
        """A connection sends again what a link loses, and is none over one that lets nothing through."""
        there = target in self.members and self.asleep.get(target, 0.0) <= self.now
        if there and self.cut(source, target) < 1.0 and self.cut(target, source) < 1.0:
            caller, called = self.members[source], self.members[target]
            opening = caller.opening()
            answer, _ = called.answer(opening)
            for one, other, parts in (
                (source, target, [opening]),
                (target, source, answer),
                (source, target, caller.remainder(opening, answer[0])),
            ):
                for part in parts:
                    self._count(part)
                    self.fly(one, other, part)

    def run(self, seconds: float) -> "Fleet":
        end = self.now + seconds
        while self.events and self.events[0][0] < end:
            self.now, _, target, source, message = heapq.heappop(self.events)
            member = self.members.get(target)
            if member is None or (message is None and member is not source):
                continue
            wakes_at = self.asleep.get(target, 0.0)
            if message is not None:
                assert isinstance(source, str)
                if wakes_at > self.now:
                    self.inboxes.setdefault(target, []).append((source, message))
                else:
                    self.carry(target, member.receive(source, source, message, self.now))
                continue
            if wakes_at > self.now:
                self._at(wakes_at - self.now, target, source, None)
                continue
            # Judged before what waits is read: harder than the actor, which reads it first.
            if actions := member.tick(self.now):
                self.carry(target, actions)
            # Some are forgotten, and may be met anew. Seen with halves of 1,000: reckoned with the own name,
            # which stands there after a look at the whole view alone, one that was forgotten was not noticed.
            if len(self.seen[target]) - (target in self.seen[target]) > len(member.known):
                self.seen[target] = {n: w for n, w in self.seen[target].items() if n in member.known}
            if target in self.inboxes:
                for sender, waiting in self.inboxes.pop(target):
                    self.carry(target, member.receive(sender, sender, waiting, self.now))
            if self.now >= self.check_at[target]:
                self.check_at[target] = self.now + self.check_s
                self.check(target, member)
            self._at(TICK_S, target, source, None)
        self.now = end
        return self

    def check(self, name: str, member: FailureDetector) -> None:
        """No status ever falls, nobody raises another's incarnation, and the own status is of this life."""
        for other in member.statuses():
            self._check_status(name, other, member)
        assert member.me.status.state in (MemberState.ALIVE, MemberState.LEFT)
        for name, hall in member.halls.halls.items():
            states = [k.update.status.state for k in member.known.values() if k.update.hall == name]
            alive = states.count(MemberState.ALIVE) + (name == member.me.hall)
            assert (hall.alive, hall.suspect, hall.dead) == (
                alive,
                states.count(MemberState.SUSPECT),
                states.count(MemberState.DEAD),
            ), f"seed {self.seed}: {name}"
            assert not (hall.lost and alive)
            assert set(hall.living) == {n for n in member.living if member.known[n].update.hall == name}

    def _check_status(self, name: str, other: str, member: FailureDetector) -> None:
        known = member.known.get(other)
        status = known.update.status if known is not None else member.me.status
        previous = self.seen[name].get(other)
        assert previous is None or status >= previous, (
            f"seed {self.seed}: {name} on {other}: {previous}, {status}"
        )
        self.seen[name][other] = status
        if other in self.members and status.life == self.members[other].me.status.life:
            own = self.members[other].me.status
            assert status.incarnation <= own.incarnation, f"seed {self.seed}: {name} made up {other}'s"

    def deaths(self) -> list[tuple[str, str]]:
        """Who declared whom dead, or heard it, over the whole history."""
        return [
            (name, change.update.name)
            for _, name, change in self.history
            if isinstance(change, StatusChanged) and change.update.status.state is MemberState.DEAD
        ]

    def agree(self, alive: set[str] | None = None) -> bool:
        names = alive or set(self.members)
        if any(len(member.living) != len(names) - 1 for member in self.members.values()):  # quick
            return False
        return all(
            {other for other, status in member.statuses().items() if status.state is MemberState.ALIVE}
            == names
            for member in self.members.values()
        )

    def within(self, seconds: float, wanted: Callable[[], bool]) -> bool:
        """Whether it comes true, at the latest after ten times the stated bound."""
        end = self.now + 10 * seconds
        while self.now < end and not wanted():
            self.run(STEP_S)
        return wanted()
