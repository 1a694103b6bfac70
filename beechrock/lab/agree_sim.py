"""Agreed logs on a driven clock, with faults from a seed: the real core, proposals and sessions, no process.

Faults: messages dropped, doubled, reordered, links cut one way, splits, pauses, clocks that differ within
``DRIFT``, crashes that lose what was not synced, and (one member at a time) a disk put back to an older
copy or emptied, or that loses what it had told as synced. After each step all claims are checked; the first
broken one ends it with ``Violation``. A counter is the machine: a write tells its number, a read tells how
many there were.
"""

import heapq
import random
from collections.abc import Callable

from beechrock.agree.core import ConsensusCore
from beechrock.agree.errors import BrokenInvariantError
from beechrock.agree.journal import to_records
from beechrock.agree.machines import StateMachines, wrap
from beechrock.agree.messages import (
    Action,
    Apply,
    Entry,
    ForwardedProposal,
    LeadershipChanged,
    Message,
    Persist,
    ReadIndexReady,
    Record,
    Restore,
    Send,
)
from beechrock.agree.proposals import Proposals
from beechrock.agree.rules import DRIFT, Guard, Rules
from beechrock.agree.term_state import Role
from beechrock.lab.agree_checks import Counter, Disk, Operation, Violation, linearizable

COMPACT_AFTER = 60  # applied entries, here: so that snapshots are sent in short histories


class Process:
    """One start of a member."""

    def __init__(self, sim: "Sim", name: str, disk: Disk, number: int) -> None:
        self.sim, self.name, self.disk = sim, name, disk
        self.identity = f"{name}-{number}-{sim.random.getrandbits(24):x}"
        self.paused, self.dead = False, False
        self.inbox: list[Callable[[], None]] = []
        self.counter = Counter()
        self.hosts = StateMachines({"c": self.counter}, sim.rules.on(Guard.DEDUP))
        self.mirror = disk.found()
        self.proposals = Proposals(self.identity, number, 0.3)
        self.waiting: dict[int, Operation] = {}  # own proposals by number
        self.reading: dict[int, Operation] = {}  # own reads by token
        self.reads_at: list[tuple[int, Operation]] = []  # wait until an index is applied
        if self.mirror.snapshot is not None:
            self.hosts.restore(self.mirror.snapshot.data)
        self.core = ConsensusCore(
            name,
            sim.names,
            sim.told,
            sim.rules,
            f"{sim.seed}/{self.identity}",
            disk.found(),
            self.identity,
            self.clock(),
        )

    def clock(self) -> float:
        rate, offset = self.sim.clocks[self.name]
        return self.sim.now * rate + offset

    def guarded(self, what: Callable[[], list[Action]]) -> None:
        """An event, unless the process is dead; later, where it is paused."""
        if self.dead:
            return
        if self.paused:
            self.inbox.append(lambda: self.guarded(what))
            return
        try:
            self.carry(what())
        except BrokenInvariantError as error:
            raise Violation(f"{self.name} at {self.sim.now:.3f}: {error}") from error

    def tick(self) -> None:
        if self.dead:
            return
        self.guarded(lambda: self.core.tick(self.clock()))
        if not self.paused:
            self.hand_on()
        self.sim.at(self.sim.rules.tick_s, self.tick)

    def hear(self, sender: str, message: Message) -> None:
        if isinstance(message, ForwardedProposal):
            self.guarded(lambda: self.take(sender, message))
        else:
            self.guarded(lambda: self.core.receive(self.clock(), sender, message))

    # --- proposals and reads ---------------------------------------------------------------------------

    def take(self, proposer: str, message: ForwardedProposal) -> list[Action]:
        """The proposer's identity is told in place of the sender's name."""
        self.core.propose(
            self.clock(), message.command, message.proposer, message.life, message.seq, message.acked
        )
        return self.core.flush(self.clock())

    def hand_on(self) -> None:
        leader = self.core.leader
        if not leader:
            return
        for one in self.proposals.collect_due(self.clock()):
            one.forwarded = True
            message = ForwardedProposal(
                self.identity, self.proposals.life, one.seq, self.proposals.acked, one.command
            )
            if leader == self.name:
                self.guarded(lambda m=message: self.take(self.name, m))  # type: ignore[misc]
            else:
                self.sim.carry(self.name, leader, message)

    def write(self, command: bytes) -> None:
        one = self.proposals.add(wrap("c", command))
        self.waiting[one.seq] = operation = Operation(True, self.sim.now)
        self.sim.operations.append(operation)
        self.hand_on()

    def read(self) -> None:
        token = len(self.reading) + 1
        self.reading[token] = operation = Operation(False, self.sim.now)
        self.sim.operations.append(operation)
        self.guarded(lambda: self.core.read(self.clock(), token))

    # --- actions ---------------------------------------------------------------------------------------

    def carry(self, actions: list[Action]) -> None:
        sim = self.sim
        for action in actions:
            match action:
                case Persist():
                    sim.saw_written(self, action.records)
                    for record in action.records:
                        self.disk.tail.append(record)
                        self.mirror.apply(record)
                    size = len(self.disk.tail)
                    sim.at(
                        sim.random.expovariate(1 / sim.sync_s),
                        lambda n=action.number,
                        s=size,  # type: ignore[misc]
                        b=self.disk.base: self.wrote(n, s, b),
                    )
                case Send():
                    sim.carry(self.name, action.to, action.message)
                case Apply():
                    self.apply(action)
                case Restore():
                    self.hosts.restore(action.snapshot.data)
                    self.counter.twice.clear()
                case LeadershipChanged():
                    sim.saw_lead(self, action)
                case ReadIndexReady():
                    operation = self.reading.get(action.token)
                    if operation is not None and action.index:
                        self.reads_at.append((action.index, operation))
                case _:
                    sim.events.append((sim.now, self.name, action))
        for index, operation in list(self.reads_at):
            if self.core.applied >= index:
                self.reads_at.remove((index, operation))
                if operation.value is None:
                    operation.value, operation.ended_s = self.counter.count, sim.now
        sim.check(self)

    def wrote(self, number: int, size: int, base: list[Record]) -> None:
        if self.dead:
            return
        if base is self.disk.base:
            self.disk.synced = max(self.disk.synced, size)
        self.guarded(lambda: self.core.on_written(self.clock(), number))

    def apply(self, action: Apply) -> None:
        entry = action.entry
        self.sim.saw_applied(self, entry)
        result = self.hosts.apply(entry)
        if self.counter.twice:
            raise Violation(f"{self.name} ran {self.counter.twice} twice, at entry {entry.index}")
        if entry.proposer == self.identity and self.proposals.settle(entry.seq):
            operation = self.waiting.pop(entry.seq)
            if isinstance(result, int):
                operation.value, operation.ended_s = result, self.sim.now

    def compact(self) -> None:
        """The machines' state as a snapshot; the disk's whole state is replaced at once, and lasts."""
        if self.dead or self.paused or self.core.applied - self.core.log.start < COMPACT_AFTER:
            return
        core = self.core
        core.keep_entries = 20
        snapshot = core.snapshot(self.clock(), core.applied, core.replicated.digest, self.hosts.snapshot())
        self.mirror.compact(snapshot)
        self.disk.base, self.disk.position = to_records(self.mirror), self.mirror.position
        self.disk.tail, self.disk.synced = [], 0
        number = core.writer.last_write
        self.sim.at(0.0, lambda: self.guarded(lambda: core.on_written(self.clock(), number)))


class Sim:
    """``names``: all nodes; the first ``voters`` of them vote at the start."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 0,
        rules: Rules | None = None,
        drop: float = 0.02,
        double: float = 0.02,
        delay_s: float = 0.01,
    ) -> None:
        self.seed, self.random, self.now, self.count = seed, random.Random(seed), 0.0, 0
        self.rules = rules or Rules(tick_s=0.1, strict=True)
        self.drop, self.double, self.delay_s, self.sync_s = drop, double, delay_s, 0.005
        self.names = tuple(f"n{n}" for n in range(voters + learners))
        self.told = self.names[:voters]
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.filter: Callable[[str, str, Message], bool] = lambda sender, to, message: True
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.committed_in: dict[int, int] = {}  # the term of who applied it first: committed in it or before
        self.written: dict[tuple[int, int], tuple[Entry, int | None]] = {}
        self.operations: list[Operation] = []
        self.events: list[tuple[float, str, Action]] = []
        half = DRIFT / 2 * 0.9
        self.clocks = {
            name: (1 + self.random.uniform(-half, half), self.random.uniform(0, 1e6)) for name in self.names
        }
        self.disks = {name: Disk() for name in self.names}
        self.starts = dict.fromkeys(self.names, 0)
        self.processes: dict[str, Process] = {}
        for name in self.names:
            self.start(name)

    # --- time ------------------------------------------------------------------------------------------

    def at(self, after_s: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + after_s, self.count, what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = end

    def within(self, seconds: float, true: Callable[[], bool]) -> bool:
        end = self.now + seconds
        while not true():
            if self.now >= end:
                return False
            self.run(0.05)
        return True

    # --- processes and links ---------------------------------------------------------------------------

    def start(self, name: str) -> Process:
        self.starts[name] += 1
        process = self.processes[name] = Process(self, name, self.disks[name], self.starts[name])
        process.carry(process.core.drain_actions())
        self.at(self.random.uniform(0, self.rules.tick_s), process.tick)
        return process

    def crash(self, name: str) -> None:
        """Some of what was not synced is lost."""
        process, disk = self.processes[name], self.disks[name]
        process.dead = True
        keep = (
            self.random.randint(disk.synced, len(disk.tail)) if len(disk.tail) > disk.synced else disk.synced
        )
        self.disks[name] = Disk(disk.base, disk.position, disk.tail[:keep], keep)

    def go_on(self, name: str) -> None:
        process = self.processes[name]
        process.paused, inbox = False, process.inbox
        process.inbox = []
        for what in inbox:
            what()

    def carry(self, sender: str, to: str, message: Message) -> None:
        if (sender, to) in self.cuts or to not in self.names or not self.filter(sender, to, message):
            return
        if self.random.random() < self.drop:
            return
        for _ in range(1 + (self.random.random() < self.double)):
            # The process of then: what is under way to one that crashed reaches its successor, too.
            self.at(
                self.random.expovariate(1 / self.delay_s), lambda: self.processes[to].hear(sender, message)
            )

    def leader(self) -> Process | None:
        return next(
            (p for p in self.processes.values() if not p.dead and not p.paused and p.core.leading(p.clock())),
            None,
        )

    # --- what is claimed -------------------------------------------------------------------------------

    def saw_written(self, process: Process, records: tuple[Record, ...]) -> None:
        for record in records:
            if isinstance(record, Entry):
                before = process.core.log.term_at(record.index - 1)
                known = self.written.setdefault((record.index, record.term), (record, before))
                if known[0] != record or (before is not None and known[1] is not None and known[1] != before):
                    raise Violation(f"{process.name} wrote {record} after term {before}, another {known}")

    def saw_lead(self, process: Process, action: LeadershipChanged) -> None:
        self.events.append((self.now, process.name, action))
        if not action.leads:
            return
        if self.leaders.setdefault(action.term, process.name) != process.name:
            raise Violation(f"term {action.term}: {self.leaders[action.term]} and {process.name} lead")
        # Of older terms only. Seen at seed 121523: late votes made one a leader of term 1, which term 2's
        # leader had passed; it cannot commit, and has no lease.
        last = max((index for index, term in self.committed_in.items() if term < action.term), default=0)
        log = process.core.log
        if last and (
            log.last < last or (last > log.start and log.term_at(last) != self.committed[last].term)
        ):
            raise Violation(
                f"{process.name} leads term {action.term} without entry {last}, which is committed"
            )

    def saw_applied(self, process: Process, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        self.committed_in.setdefault(entry.index, process.core.term)
        if known != entry:
            raise Violation(f"{process.name} applied {entry}, another {known}")

    def check(self, process: Process) -> None:
        """Two that lead in one instant of true time; also one that is paused, which would act as it wakes."""
        if process.core.role is not Role.LEADER:
            return
        leaders = [p for p in self.processes.values() if p.core.role is Role.LEADER and not p.dead]
        if len(leaders) > 1:
            led = [p.name for p in leaders if p.core.leading(p.clock())]
            if len(led) > 1:
                raise Violation(f"at {self.now:.3f} {led} both lead")

    def check_history(self) -> None:
        wrong = linearizable(self.operations)
        if wrong:
            raise Violation(wrong)
