"""Edges with more than one node named upstream, under a driven clock: holders that die, stand still, lose
their disk or come back with an older one; links between them that are cut.

The right to act (``may``) is as the duties' part gives it: it ends before another has it, though who had it
does not know yet.
"""

from collections import deque
from typing import Any

from beechrock.duties.fences import Fences
from beechrock.edges.actions import Action, Run, Send
from beechrock.edges.kept import Kept, Stand, Stood
from beechrock.edges.lead import Lead, State
from beechrock.edges.standby import Standby
from beechrock.edges.upstream import Came, Upstream
from beechrock.edges.words import pack, unpack
from beechrock.lab.edges_check import History
from beechrock.lab.edges_disks import MemWitness, UpLog
from beechrock.lab.edges_sim import STEP_S, UP, Sim
from beechrock.store.codec import Mark

NAMED = ("u1", "u2", "u3")


class UpNode:
    """One process; ``disk`` is what a crash leaves."""

    def __init__(self, sim: "SimUps", name: str) -> None:
        self.sim, self.name = sim, name
        self.paused = False
        self.inbox: deque[tuple[str, bytes]] = deque()
        self.late: list[tuple[Upstream, Run, Came]] = []  # how runs came out while it stood still
        self.new_disk()
        self.start()

    def new_disk(self) -> None:
        rand = self.sim.random
        self.log, self.fences, self.witness = UpLog(rand), UpLog(rand), MemWitness()

    def start(self) -> None:
        sim = self.sim
        self.alive, self.paused = True, False
        self.pending: list[Action] = []
        self.inbox.clear()
        self.late.clear()
        self.standby = Standby(
            self.name,
            sim.named,
            self.log,
            Fences(self.fences, without=frozenset()),
            self.witness,
            lambda service: sim.rule,
            sim.without,
            snapshot_records=40,
        )

    def kill(self, disk: bool = False) -> None:
        self.alive = False
        if disk:
            self.new_disk()
        else:
            self.log.crash()
            self.fences.crash()

    def copy(self) -> tuple[UpLog, UpLog, dict[str, Mark]]:
        return self.log.copy(), self.fences.copy(), dict(self.witness.known)

    def restore(self, copy: tuple[UpLog, UpLog, dict[str, Mark]]) -> None:
        self.log, self.fences = copy[0], copy[1]
        self.witness.known = copy[2]
        self.log.crash()
        self.fences.crash()


class SimUps(Sim):
    def __init__(self, seed: int, named: tuple[str, ...] = NAMED, **told: Any) -> None:
        self.up = self.named = named
        super().__init__(seed, **told)
        self.fence, self.holder = 0, ""
        self.auto = True  # the duty goes on to another while its holder can do nothing
        self.ids = 0
        self.came_of: dict[int, tuple[UpNode, Upstream]] = {}
        self.ups = {name: UpNode(self, name) for name in named}
        self.able_at = self.now
        self.kept: list[bytes] = []  # records that a majority held, in the eyes of a holder
        self.looked = 0  # the fence of the last one that was looked at
        self.takeovers = self.losses = self.stops = self.olds = 0
        self.grant()
        for _ in range(40):
            self.step()

    # --- the duty

    def may(self, name: str) -> int | None:
        return self.fence if name == self.holder or "may" in self.without else None

    def grant(self, name: str = "") -> None:
        """The earlier holder's lease is over, and it may not know."""
        ready = [node.name for node in self.ups.values() if node.alive and not node.paused]
        if ready:
            self.fence += 1
            self.holder = name or self.random.choice(ready)
            self.takeovers += 1
            node = self.ups[self.holder]
            self.turn_of(node, node.standby.take(self.now, self.fence, self.random.randbytes(16), False))

    @property
    def able(self) -> bool:
        node = self.ups.get(self.holder)
        return (
            node is not None
            and node.alive
            and not node.paused
            and node.standby.lead is not None
            and node.standby.lead.able(self.now)
        )

    # --- turns of a named node

    def send(self, source: str, to: str, data: bytes) -> None:
        ends = [UP if name in self.named else name for name in (source, to)]
        if ends != [UP, UP] and tuple(ends) in self.cut:
            return
        super().send(source, to, data)

    def turn_of(self, node: UpNode, actions: list[Action]) -> None:
        """Records go to the others while the disk syncs; at times a turn ends before it has."""
        node.pending += actions
        lead = node.standby.lead
        for action in lead.pump(self.now) if lead is not None else []:
            self._do_up(node, action)
        if self.faults and self.random.random() < 0.1:
            return
        node.log.sync()
        lead = node.standby.lead
        out, node.pending = node.pending, []
        for action in [*out, *(lead.release() if lead is not None else [])]:
            self._do_up(node, action)
        if lead is not None and lead.upstream is not None:
            self.look(node, lead)
            lead.upstream.spare = self.spare
            self.history.over_credit += lead.upstream.replaying > self.spare
            lead.upstream.compact()
        node.standby.compact()

    def look(self, node: UpNode, lead: Lead) -> None:
        """What went out by a majority's word has to be in the log of each later holder."""
        if lead.held < lead.start:
            return
        log, first = node.log, len(self.kept) + 1
        if lead.fence > self.looked:
            self.looked, first = lead.fence, 1
            if log.last < len(self.kept):
                self.history.marks.append(f"{node.name} leads with {log.last} of {len(self.kept)} records")
        for index in range(max(first, log.first), lead.held + 1):
            if index > len(self.kept):
                self.kept += [b""] * (index - len(self.kept) - 1) + [log.entry(index)]
            elif self.kept[index - 1] not in (b"", log.entry(index)):
                self.history.marks.append(f"{node.name} has another record {index}")

    def _do_up(self, node: UpNode, action: Action) -> None:
        match action:
            case Send(to, Stand() | Stood() | Kept() as word):
                self.send(
                    node.name,
                    to,
                    pack(
                        type(word)(
                            **{
                                **{name: getattr(word, name) for name in word.__dataclass_fields__},
                                "folder": node.log.mark().to_bytes(),
                            }
                        )
                    ),
                )
            case Run():
                lead = node.standby.lead
                if lead is None or lead.upstream is None:
                    return
                if self.may(node.name) is None:
                    node.pending += lead.hold(lead.upstream.ran(self.now, action.key, Came.NOT_RUN))
                    return
                self.ids += 1
                self.came_of[self.ids] = node, lead.upstream
                self.runs_life = self.ids
                self.run(action)
            case _:
                self._carry(node.name, action)

    def _carry(self, name: str, action: Action) -> None:
        self.history.at += 1
        if isinstance(action, Send):
            self.send(name, action.to, pack(action.word))
        else:
            self.do(UP, [action])

    def _came(self, life: int, run: Run, came: Came) -> None:
        node, upstream = self.came_of.pop(life)
        if node.paused:
            node.late.append((upstream, run, came))
        else:
            self._told(node, upstream, run, came)

    def _told(self, node: UpNode, upstream: Upstream, run: Run, came: Came) -> None:
        lead = node.standby.lead
        if node.alive and lead is not None and lead.upstream is upstream:
            self.turn_of(node, lead.hold(upstream.ran(self.now, run.key, came, b"", "", 0.1)))

    def _deliver(self, source: str, to: str, data: bytes) -> None:
        node = self.ups.get(to) if to in self.named else None
        if node is None:
            super()._deliver(source, to, data)
        elif node.paused:
            node.inbox.append((source, data))
        elif node.alive:
            word, standby = unpack(data), node.standby
            if source in self.named:
                self.turn_of(node, standby.hear(self.now, source, word))
            elif standby.lead is not None:
                self.turn_of(node, standby.lead.edge(self.now, self.now, source, word))

    def _tick_upstream(self) -> None:
        for node in self.ups.values():
            if node.alive and not node.paused:
                while node.inbox:
                    self._deliver(node.inbox[0][0], node.name, node.inbox.popleft()[1])
                late, node.late = node.late, []
                for told in late:
                    self._told(node, *told)
                self.turn_of(node, node.standby.tick(self.now))
        if self.able:
            self.able_at = self.now
        elif self.now - self.able_at > 2.0 and self.auto:
            self.able_at = self.now
            self.grant()

    # --- faults

    def disturb(self) -> None:
        """Half of the faults are the named nodes'."""
        if self.random.random() < 0.5:
            self.restart_upstream()
        else:
            super().disturb()

    def restart_upstream(self) -> None:
        draw, name = self.random.random(), self.random.choice(self.named)
        node, holder = self.ups[name], self.ups.get(self.holder)
        if draw < 0.2:
            self.grant()
        elif draw < 0.4 and node.alive:  # back at once, or after a while, or with another
            node.kill()
            if self.random.random() < 0.5:
                node.start()
        elif draw < 0.55 and holder is not None and holder.alive and not holder.paused:
            holder.paused, self.stops = True, self.stops + 1
            if self.random.random() < 0.7:
                self.holder = ""  # its lease is over before another has it
                self.grant()
        elif draw < 0.65:
            if self.random.random() < 0.6 and holder is not None:  # what it appends now, no other has
                self._alone(self.holder)
                return
            other = self.random.choice([one for one in self.named if one != name])
            self.cut |= {(name, other)} | ({(other, name)} if self.random.random() < 0.7 else set())
        elif draw < 0.73:
            self.mend()
            if self.settled():
                name = name if self.random.random() < 0.5 else self.holder
                others = [other for other in self.named if other != name]
                self.random.shuffle(others)
                if self.random.random() < 0.5 and others[1] != self.holder:  # it lags behind the two
                    self._alone(others[1])
                self.turn(self.random.randrange(30), 0.0)
                self.lose(name, others)
        elif draw < 0.85 and node.alive:
            copy = node.copy()
            self.mend()
            if self.settled():
                self.turn(self.random.randrange(30), 0.0)
                self.older(name, copy, [other for other in self.named if other != name])
        else:
            self.heal()

    def older(self, name: str, copy: tuple[UpLog, UpLog, dict[str, Mark]], others: list[str]) -> None:
        """A process that comes back with an earlier copy of its folder, as another takes over."""
        self.olds += 1
        node = self.ups[name]
        node.kill()
        node.restore(copy)
        node.start()
        self.third(name, others)
        self.mend()

    def _alone(self, name: str) -> None:
        self.cut |= {pair for other in self.named if other != name for pair in ((name, other), (other, name))}

    def third(self, name: str, others: list[str]) -> None:
        """One of the two takes over, or tries to, and hears of those with a good disk itself alone."""
        self.cut -= {(a, b) for a in self.named for b in self.named}
        if self.random.random() < 0.3:
            self.grant()
            return
        self._alone(others[0])
        self.grant(self.random.choice((name, others[1])))
        self.turn(60, 0.0)

    def lose(self, name: str, others: list[str]) -> None:
        """A process, with its disk; a new disk in its place. One at a time, as a majority of three bears."""
        self.losses += 1
        node = self.ups[name]
        node.kill(disk=True)
        if self.random.random() < 0.5:
            for _ in range(20):
                self.step()
        node.start()
        self.third(name, others)
        self.mend()

    def heal(self) -> None:
        for node in self.ups.values():
            node.paused = False
            if not node.alive:
                node.start()
        self.cut -= {(a, b) for a in self.named for b in self.named}

    def settled(self) -> bool:
        """All are whole, and known to be, by all."""
        node = self.ups.get(self.holder)
        lead = node.standby.lead if node is not None else None
        return (
            lead is not None
            and lead.state is State.LEADING
            and lead.held >= lead.last
            and all(one.standby.whole for one in self.ups.values())
            and all(peer.counts and peer.match >= lead.held for peer in lead.peers.values())
            and not any(a in self.named and b in self.named for a, b in self.cut)
        )

    def mend(self, most_s: float = 20.0) -> None:
        """Until all hold all again; the next loss comes after that."""
        self.heal()
        for _ in range(int(most_s / STEP_S)):
            self.step()
            if self.settled():
                break
        for _ in range(10):  # and have heard so of one another
            self.step()

    def finish(self, most_s: float = 300.0) -> History:
        self.heal()
        return super().finish(most_s)


def play(seed: int, steps: int = 400, faults: float = 0.02, **told: Any) -> History:
    sim = SimUps(seed, **told)
    sim.turn(steps, faults)
    return sim.finish()
