"""Random histories of copies on a driven clock: the real core and journal over disks in memory, and faults.

Messages are lost, doubled, reordered and cut one way; nodes stop and crash, losing what was not synced;
one disk at a time is put back to an older copy or emptied, until its node is whole again. After the faults
all copies are to be equal, what a majority had acknowledged is there, and what was deleted stays so. One
seed, one history.
"""

import heapq
import random
from collections.abc import Callable

from beechrock.replica.catchup import Stage
from beechrock.replica.core import Core
from beechrock.replica.disk import Disk
from beechrock.replica.heard import Say
from beechrock.replica.journal import snapshot
from beechrock.replica.messages import decode, encode
from beechrock.replica.records import Causal, merge
from beechrock.replica.table import ident, spending_key
from beechrock.store.errors import StoreError
from beechrock.store.files import Files

TICK_S, SYNC_S = 0.1, 0.02


class Held(Files):
    """A folder in memory; a crash loses what was not synced, or a part of it."""

    def __init__(self) -> None:
        self.now: dict[str, bytearray] = {}
        self.safe: dict[str, bytes] = {}
        self.moved: list[tuple[str, str]] = []

    def names(self) -> list[str]:
        return sorted(self.now)

    def size(self, name: str) -> int:
        return len(self.now[name])

    def read(self, name: str, at: int = 0, most: int | None = None) -> bytes:
        return bytes(self.now[name][at : None if most is None else at + most])

    def write(self, name: str, at: int, data: bytes) -> None:
        file = self.now.setdefault(name, bytearray())
        file.extend(bytes(max(0, at - len(file))))
        file[at : at + len(data)] = data

    def sync(self, name: str) -> None:
        self.safe[name] = bytes(self.now[name])

    def sync_names(self) -> None:
        self.safe = {name: self.safe.get(name, b"") for name in self.now}

    def replace(self, old: str, new: str) -> None:
        self.now[new] = self.now.pop(old)
        self.safe[new] = self.safe.pop(old, b"")

    def truncate(self, name: str, size: int) -> None:
        del self.now[name][size:]

    def remove(self, name: str) -> None:
        self.now.pop(name, None)

    def close(self) -> None:
        """Nothing is open."""

    def crash(self) -> None:
        self.now = {name: bytearray(data) for name, data in self.safe.items()}


class Node:
    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name, self.files = world, name, Held()
        self.copy: dict[str, bytes] | None = None
        self.up, self.stopped_s, self.starts = True, 0.0, 0
        self.begin()

    def begin(self) -> None:
        world = self.world
        self.starts += 1
        self.disk = Disk(self.files, snapshot_each=8192)
        others = tuple(n for n in world.names if n != self.name)
        self.core: Core = self.disk.core(
            self.name,
            f"{self.name}/{world.random.getrandbits(64):016x}",
            others,
            world.random.getrandbits(32),
            repair_s=1.0,
            without=world.without,
        )
        self.waits: list[Say] = []
        self.synced, self.up = 0, True
        self.spent = 0.0

    def turn(self, said: list[Say]) -> None:
        """As the part does: append, then sync; what waits for the sync goes out after it."""
        some = self.disk.append(self.core)
        for one in said:
            if one.after <= self.synced:
                self.world.send(self, one)
            else:
                self.waits.append(one)
        if some or self.synced < self.core.table.seq:
            seq, starts = self.core.table.seq, self.starts
            self.world.at(SYNC_S, lambda: self.flush(seq, starts))

    def flush(self, seq: int, starts: int) -> None:
        if starts != self.starts or not self.up:
            return
        self.disk.sync()
        if self.disk.long:
            self.disk.save(self.disk.store.last, list(snapshot(self.core)))
        self.synced = max(self.synced, seq)
        out, self.waits = (
            [w for w in self.waits if w.after <= self.synced],
            [w for w in self.waits if w.after > self.synced],
        )
        for one in out:
            self.world.send(self, one)

    def crash(self) -> None:
        self.up = False
        self.files.crash()


class World:
    def __init__(self, seed: int, nodes: int = 4, without: frozenset[str] = frozenset()) -> None:
        self.random, self.without = random.Random(seed), without
        self.now, self.count = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.names = [f"n{n}" for n in range(nodes)]
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.double = self.slow = 0.0
        self.written: dict[bytes, list[Causal]] = {}
        self.kept: list[tuple[bytes, Causal]] = []
        self.asked = self.faults = self.copies = 0
        self.wanting = ""  # whose disk was changed, until it is whole again
        self.sent_bytes = 0
        self.nodes = {name: Node(self, name) for name in self.names}
        for node in self.nodes.values():
            self.at(self.random.uniform(0, TICK_S), lambda n=node: self.tick(n))  # type: ignore[misc]

    def at(self, after_s: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + after_s, self.count, call))

    def run(self, until_s: float) -> None:
        while self.events and self.events[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until_s

    def tick(self, node: Node) -> None:
        if node.up and self.now >= node.stopped_s:
            node.turn(node.core.tick(self.now))
        self.at(TICK_S, lambda: self.tick(node))

    def send(self, node: Node, one: Say) -> None:
        data = encode(one.message, node.disk.held())
        self.sent_bytes += len(data)
        if (node.name, one.to) in self.cuts or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < self.double)):
            self.at(
                0.002 + self.random.random() * (0.01 + self.slow),
                lambda: self.deliver(node.name, one.to, data),
            )

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        node = self.nodes[to]
        if not node.up:
            return
        if self.now < node.stopped_s:
            return self.at(node.stopped_s - self.now, lambda: self.deliver(sender, to, data))
        node.turn(node.core.take(self.now, sender, *decode(data)))

    # --- what operators and servers do

    def write(self, node: Node, key: str, value: bytes | None) -> None:
        if not node.up or self.now < node.stopped_s or node.core.catchup.stage is Stage.SNAPSHOT:
            return
        state = node.core.table.state(ident("note", key))
        if value is None and (not isinstance(state, Causal) or state.deleted):
            return
        name = node.core.write("note", key, value)
        made = node.core.table.state(name)
        assert isinstance(made, Causal)
        self.asked += 1
        self.written.setdefault(name, []).append(made)
        node.core.when_kept(name, lambda: self.kept.append((name, made)))
        node.turn([])

    def spend(self, node: Node, team: str, period: int) -> None:
        if node.up and self.now >= node.stopped_s:
            node.spent += 1.0
            if name := node.core.table.tally("spending", spending_key(team, period), node.spent, 0.0):
                node.core.own_change(name)
                node.turn([])

    # --- faults

    def fault(self) -> None:
        self.faults += 1
        draw, node = self.random, self.nodes[self.random.choice(self.names)]
        last_s = draw.uniform(0.3, 4.0)
        match draw.choice(["cut", "split", "loss", "stop", "crash", "slow", "crash all", *3 * ["copy"]]):
            case "cut":
                pair = node.name, draw.choice(self.names)
                self.cuts.add(pair)
                self.at(last_s, lambda: self.cuts.discard(pair))
            case "split":
                side = set(draw.sample(self.names, draw.randint(1, len(self.names) - 1)))
                pairs = {(a, b) for a in self.names for b in self.names if (a in side) != (b in side)}
                self.cuts |= pairs
                self.at(last_s, lambda: self.cuts.difference_update(pairs))
            case "loss":
                self.loss, self.double = draw.uniform(0, 0.3), draw.uniform(0, 0.3)
            case "slow":
                self.slow = draw.uniform(0, 0.5)
            case "stop":
                node.stopped_s = max(node.stopped_s, self.now + last_s)
            case "crash":
                self.crash(node, last_s)
            case "crash all":
                for one in self.nodes.values():
                    self.crash(one, last_s)
            case "copy":
                self.older(node, last_s)

    def crash(self, node: Node, last_s: float) -> None:
        if node.up:
            node.crash()
            self.at(last_s, lambda: self.begin(node))

    def begin(self, node: Node) -> None:
        if not node.up:
            node.begin()

    def older(self, node: Node, last_s: float) -> None:
        """Its folder goes back to what it was; one node at a time."""
        wanting = self.nodes.get(self.wanting)
        # Up, too: seen with 40 histories, the core from before the crash was WHOLE, and a second disk forgot.
        if wanting is not None and wanting.up and wanting.core.catchup.stage is Stage.WHOLE:
            self.wanting = ""
        if node.copy is None or self.random.random() < 0.3:
            node.copy = dict(node.files.safe)
        elif not self.wanting and node.up:
            self.wanting, self.copies = node.name, self.copies + 1
            node.crash()
            node.files.safe = {} if self.random.random() < 0.3 else dict(node.copy)
            node.files.crash()
            self.at(last_s, lambda: self.begin(node))

    def heal(self) -> None:
        self.cuts.clear()
        self.loss = self.double = self.slow = 0.0
        for node in self.nodes.values():
            node.stopped_s = 0.0
            self.begin(node)

    # --- what has to hold

    def judge(self) -> list[str]:
        """After it healed."""
        found = []
        tables = {name: node.core.table for name, node in self.nodes.items()}
        roots = {table.sums.root for table in tables.values()}
        if len(roots) > 1:
            found.append(f"copies differ: {[(n, t.sums.root[1]) for n, t in tables.items()]}")
        found += [
            f"{name} is {node.core.catchup.stage.value}"
            for name, node in self.nodes.items()
            if node.core.catchup.stage is not Stage.WHOLE
        ]
        for table in tables.values():
            for name, made in self.kept:
                state = table.state(name)
                if isinstance(state, Causal):
                    both = merge(state, made)
                    if not isinstance(both, Causal) or both.values != state.values:
                        found.append(f"{name!r}: {made} was kept, and {state} does not know it")
                elif not any(
                    one.deleted and merge(one, made).deleted  # type: ignore[union-attr]
                    for one in self.written[name]
                ):
                    found.append(f"{name!r}: {made} was kept, and is gone")
        return found


def play(
    seed: int, seconds: float = 20.0, nodes: int = 4, without: frozenset[str] = frozenset(), keys: int = 12
) -> World:
    """Faults and writes for so long, then healed until it is quiet. StoreError: a disk that should not."""
    world = World(seed, nodes, without)
    world.run(4.0)  # whole once, before the first fault
    draw, end_s = world.random, 4.0 + seconds
    try:
        while world.now < end_s:
            node = world.nodes[draw.choice(world.names)]
            key = f"k{draw.randrange(keys)}"
            world.write(node, key, None if draw.random() < 0.3 else f"{world.asked}".encode())
            world.spend(node, "t", int(world.now // 5))
            if draw.random() < 0.08:
                world.fault()
            world.run(world.now + draw.uniform(0.0, 0.2))
        world.heal()
        for _ in range(30):
            world.run(world.now + 2.0)
            if not world.judge():
                break
    except StoreError as error:
        raise AssertionError(f"seed {seed}: {error}") from error
    return world
