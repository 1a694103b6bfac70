"""Histories of the simulated agreed log: faults and operations drawn from the seed. For tests and the
benchmark.
"""

from beechrock.agree.errors import VotersError
from beechrock.agree.log import Log, LogEnd
from beechrock.agree.messages import MemoryStatus
from beechrock.agree.rules import Rules
from beechrock.lab.agree_checks import Disk
from beechrock.lab.agree_sim import Process, Sim


def log_end(disk: Disk) -> LogEnd:
    """Return the end of the log that the disk's records give."""
    found = disk.found()
    return Log(found.snapshot, found.entries).end()


class History:
    """``forget``: disks that forget are among the faults, one member's at a time; ``change``: voters
    come and go.
    """

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 1,
        rules: Rules | None = None,
        forget: bool = True,
        change: bool = True,
    ) -> None:
        self.sim = Sim(seed, voters, learners, rules)
        self.random, self.forget, self.change = self.sim.random, forget, change
        self.forgot: Process | None = None
        self.copies: dict[str, Disk] = {}
        self.written = 0

    def run(self, seconds: float) -> None:
        """Violation where a claim breaks, also in the operations at the end."""
        sim, end = self.sim, self.sim.now + seconds
        while sim.now < end:
            sim.run(self.random.uniform(0.02, 0.25))
            self.operate()
            # Faults last for some leases: healed sooner than one could be elected, they proved little.
            if self.random.random() < 0.2:
                self.fault()
            if self.random.random() < 0.04:
                sim.cuts.clear()
            if self.random.random() < 0.06:
                self.wake()
        sim.check_history()

    def heal(self) -> None:
        """All run, all hear each other."""
        self.sim.cuts.clear()
        self.sim.drop = self.sim.double = 0.0
        self.sim.sync_s = 0.005
        self.wake()

    def wake(self) -> None:
        for name, process in list(self.sim.processes.items()):
            if process.dead:
                self.sim.start(name)
            elif process.paused:
                self.sim.go_on(name)

    def live(self) -> list[Process]:
        return [p for p in self.sim.processes.values() if not p.dead and not p.paused]

    def operate(self) -> None:
        for process in self.live():
            what = self.random.random()
            if what < 0.3:
                self.written += 1
                process.write(f"{process.identity}/{self.written}".encode())
            elif what < 0.6:
                process.read()

    def fault(self) -> None:
        sim, name = self.sim, self.random.choice(self.sim.names)
        process = sim.processes[name]
        match self.random.randrange(14):
            case 0 | 1:
                sim.cuts.add((name, self.random.choice(sim.names)))
            case 2:
                side = {n for n in sim.names if self.random.random() < 0.5}
                sim.cuts |= {(a, b) for a in sim.names for b in sim.names if (a in side) != (b in side)}
            case 3:
                if not process.dead:
                    process.paused = True
            case 4:
                self.crash(name)
            case 5:
                sim.sync_s = self.random.choice((0.001, 0.02, 0.3))
            case 6:
                for live in self.live():
                    live.compact()
            case 7:
                self.copies[name] = sim.disks[name].copy()
            case 8 | 9:
                if self.forget:
                    self.lose(name)
            case 10:
                if self.change and not process.dead and not process.paused:
                    self.change_voters(process)
            case 11 | 12:
                lead = sim.leader()
                if lead is not None:  # alone, or with some that do not vote or are too few
                    side = {lead.name, *(n for n in sim.names if self.random.random() < 0.25)}
                    ways = self.random.choice(((True, False), (True,), (False,)))
                    sim.cuts |= {
                        (a, b)
                        for a in sim.names
                        for b in sim.names
                        if (a in side) != (b in side) and (a in side) in ways
                    }
            case _:
                lead = sim.leader()
                if lead is not None:
                    self.random.choice(
                        (
                            lambda: self.crash(lead.name),
                            lambda: setattr(lead, "paused", True),
                            lambda: lead.guarded(lambda: lead.core.transfer_leadership(lead.clock())),
                        )
                    )()

    def crash(self, name: str) -> None:
        if not self.sim.processes[name].dead:
            self.sim.crash(name)

    def lose(self, name: str) -> None:
        """Only once the one before has its memory proved again: of two at a time no proof is claimed."""
        if self.forgot is not None:
            now = self.sim.processes[self.forgot.name]
            if now.dead or now.core.memory is not MemoryStatus.PROVEN:
                return
        lone = self.sim.processes[name].core.voters.names == (name,)
        self.crash(name)
        disk = self.sim.disks[name]
        left = self.forgetful_copy(name, disk)
        # No claim covers what a lone voter alone ever held (docs/agree.md, "Bounds").
        if not (lone and self.holds_most(name, left) and log_end(disk) > log_end(left)):
            self.sim.disks[name] = left
        self.forgot = self.sim.start(name)

    def forgetful_copy(self, name: str, disk: Disk) -> Disk:
        """Return what is left of the disk: nothing, an older copy, or a part of what was synced."""
        match self.random.randrange(3):
            case 0:
                return Disk()
            case 1:
                return self.copies[name].copy() if name in self.copies else Disk()
            case _:
                keep = self.random.randint(0, len(disk.tail))
                return Disk(disk.base, disk.position, disk.tail[:keep], keep)

    def holds_most(self, name: str, left: Disk) -> bool:
        """Return whether no other disk has synced a longer log than ``left``, so that no node can show it."""
        others = (disk.copy() for other, disk in self.sim.disks.items() if other != name)
        return all(log_end(other) <= log_end(left) for other in others)

    def may_have_leader(self) -> bool:
        """Return whether a voter may be elected under its own log's set, with all others there.

        A member that is barred, or lacks what another node holds, takes no part.
        """
        cores = {name: process.core for name, process in self.sim.processes.items()}
        able = {
            name
            for name, core in cores.items()
            if core.memory is not MemoryStatus.BARRED and not core.proof.lacks_entries
        }
        return any(
            cores[name].replicated.may_still_vote(name)
            and sum(voter in able for voter in cores[name].voters.names) >= cores[name].voters.quorum
            for name in able
        )

    def change_voters(self, process: Process) -> None:
        names = process.core.voters.names
        other = [name for name in self.sim.names if name not in names]
        try:
            if other and (len(names) < 4 or self.random.random() < 0.5):
                told = {"add": self.random.choice(other)}
            else:
                told = {"remove": self.random.choice(names)}
            process.guarded(lambda: process.core.change_voters(process.clock(), **told))
        except VotersError:
            pass
