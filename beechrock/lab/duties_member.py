"""One simulated member of a history of duties: the real pure parts, with a clock of its own."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock.duties import grants as log
from beechrock.duties.grantor import Grantor
from beechrock.duties.grantor_data import Propose, Push, Rules
from beechrock.duties.grants import GrantTable
from beechrock.duties.holder import Command, HolderState
from beechrock.duties.member_duties import DutyAction, MemberDuties
from beechrock.duties.messages import RenewalReply, RenewalRequest, decode, encode
from beechrock.duties.model import PAUSE
from beechrock.duties.quiet_period import QuietPeriod

if TYPE_CHECKING:
    from beechrock.lab.duties_sim import World

LEASE_S = 1.0
LEADER_LEASE_S = 0.6
TICK_S = 0.06
RATES = (0.977, 1.023)  # any two differ by less than DRIFT
HALLS = ("east", "west")
ACTING = (HolderState.HOLDING, HolderState.YIELDING)  # the second with a guard taken out only


class Kept:
    """The part of a Store that fences use; what was not synced is gone after a crash."""

    def __init__(self) -> None:
        self.first, self.synced = 1, 0
        self.data: list[bytes] = []

    @property
    def last(self) -> int:
        return len(self.data)

    def append(self, data: bytes) -> int:
        self.data.append(data)
        return len(self.data)

    def sync(self) -> None:
        self.synced = len(self.data)

    def entry(self, index: int) -> bytes:
        return self.data[index - 1]

    def snapshot(self) -> tuple[int, bytes] | None:
        return None

    def save_snapshot(self, index: int, data: bytes) -> None:
        raise AssertionError("no history is so long")

    def crash(self) -> None:
        del self.data[self.synced :]


class SimMember:
    def __init__(self, world: "World", name: str, hall: str) -> None:
        self.world, self.name, self.hall = world, name, hall
        self.rate, self.offset = world.random.uniform(*RATES), world.random.uniform(0.0, 1e4)
        self.life, self.alive, self.paused = 0, False, False
        self.late: list[Callable[[], None]] = []  # what came while it stood still
        self.start()

    def clock(self) -> float:
        return self.offset + self.rate * self.world.now

    def start(self) -> None:
        self.life += 1
        self.alive, self.paused, self.drained = True, False, False
        self.grants, self.known = GrantTable(self.world.without), 0
        self.member_duties = MemberDuties(
            self.name, self.life, self.hall, "big", LEASE_S, self.clock(), self.world.without
        )
        for duty in self.world.duties:
            self.member_duties.declare(duty)
        self.rows = list(self.member_duties.holders.values())
        self.grantor: Grantor | None = None
        self.quiet = QuietPeriod(self.world.without)
        self.reign, self.begin_s = 0, float("-inf")
        self.leader, self.lead_until = "", float("-inf")
        self.seals: dict[tuple[str, int], list[str]] = {}  # who has not said that it has the fence
        self.backs: dict[tuple[str, int], float] = {}
        self.done = 0
        self.world.at(self.world.random.uniform(0, TICK_S), self.loop(self.life))

    def elected(self) -> None:
        """As ``Leadership`` does when the agreed log says that this node leads."""
        if self.grantor is None:
            self.quiet.begin(self.clock())
        else:
            self.quiet.end()

    def leading(self) -> bool:
        return self.clock() < self.lead_until

    def loop(self, life: int) -> Callable[[], None]:
        def step() -> None:
            if not self.alive or self.life != life:
                return
            self.world.at(TICK_S * self.world.random.uniform(0.8, 1.2), step)
            if not self.paused:
                self.tick()

        return step

    def tick(self) -> None:
        world = self.world
        for index in range(self.grants.applied + 1, self.known + 1):
            self.grants.apply(index, world.log[index - 1])
        now = self.clock()
        self.quiet.tick(now, PAUSE * LEASE_S)
        if self.grants.leader_epoch > self.reign:
            self.reign, mine = self.grants.leader_epoch, (self.grants.leader, self.grants.leader_life)
            self.grantor = None
            if self.leading() and mine == (self.name, self.life):
                rules = Rules(LEASE_S, 1.0, 50.0)
                self.grantor = Grantor(now, self.grants, rules, world.without, self.quiet.take(now))
        if self.leading() and self.grantor is None and now >= self.begin_s:
            self.begin_s = now + 0.5
            world.propose(self, log.begin(self.name, self.life, 0), None)
        self.carry(self.member_duties.update_grants(self.grants, now))
        self.carry(self.member_duties.tick(now, "drained" if self.drained else ""))
        for (name, fence), missing in self.seals.items():
            for receiver in missing:
                world.send(self.name, receiver, ("seal", self.name, name, fence))
        for (name, fence), next_s in list(self.backs.items()):
            grant = self.grants.held.get(name)
            if grant is None or grant.fence != fence:
                del self.backs[name, fence]
            elif now >= next_s:
                self.backs[name, fence] = now + 0.4
                world.propose(self, log.back(name, fence), None)
        if now >= self.member_duties.next_request_s and self.leader:
            ask = self.member_duties.next_request(now, not self.drained, lambda _: (self.done, 1))
            world.send(self.name, self.leader, encode(ask))
        if self.grantor is not None and (self.leading() or "leading" in world.without):
            self.steer(self.grantor)
        self.act()

    def steer(self, grantor: Grantor) -> None:
        for action in grantor.tick(self.clock()):
            match action:
                case Propose(name, command):
                    self.world.propose(self, command, lambda n=name: grantor.on_proposal_settled(n))  # type: ignore[misc]
                case Push(member, answer, _, _):
                    self.world.send(self.name, member, encode(answer))

    def act(self) -> None:
        """Check, then the effect; between the two this process may stand still."""
        world = self.world
        for duty in world.duties:
            fence = self.member_duties.may(duty.name, self.clock())
            if fence is None:
                continue
            self.done += 1
            effect = ("effect", self.name, duty.name, fence)
            for receiver in world.receivers:
                if world.random.random() < world.stops:
                    world.stopped_between += 1
                    self.late.append(lambda r=receiver, e=effect: world.send(self.name, r, e))  # type: ignore[misc]
                    world.pause(self, world.random.uniform(0.3, 4.0))
                else:
                    world.send(self.name, receiver, effect)
            if self.paused:
                return

    def carry(self, actions: list[DutyAction]) -> None:
        for name, action in actions:
            match action.command:
                case Command.TAKE_OVER:
                    self.seals[name, action.fence] = list(self.world.receivers)
                case Command.STOP:
                    self.seals.pop((name, action.fence), None)
                case Command.GIVE_UP:
                    self.seals.pop((name, action.fence), None)
                    self.world.at(
                        self.world.random.uniform(0, 0.3), self.finished(name, action.fence, self.life)
                    )
                case Command.GIVE_BACK:
                    self.backs[name, action.fence] = 0.0

    def finished(self, name: str, fence: int, life: int) -> Callable[[], None]:
        def done() -> None:
            if self.alive and self.life == life:
                self.world.run_at(self, lambda: self.carry(self.member_duties.on_given_up(name, fence)))

        return done

    def take(self, sender: str, data: Any) -> None:
        now = self.clock()
        if isinstance(data, tuple):  # a receiver has the fence
            _, receiver, name, fence = data
            missing = self.seals.get((name, fence))
            if missing is not None and receiver in missing:
                missing.remove(receiver)
                if not missing:
                    del self.seals[name, fence]
                    self.member_duties.on_taken_over(now, name, fence)
            return
        match decode(data):
            case RenewalRequest() as ask:
                if self.grantor is not None:
                    answer = self.grantor.on_request(now, sender, ask, self.leading())
                    if answer is not None:
                        self.world.send(self.name, sender, encode(answer))
            case RenewalReply() as answer:
                self.carry(self.member_duties.on_reply(now, answer))
