"""The links between the processes of a fleet: a TCP proxy for each direction of each pair, and datagrams.

The proxies know where a frame of ``talk`` ends, so that a message can be lost or doubled and the connection
lives on. Each direction has its own faults, all drawn from the seed, and its own order: none for datagrams.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum
from functools import partial
from itertools import product

from beechrock.lab import links as datagrams
from beechrock.lab.fleet.errors import LabError
from beechrock.talk.frames import CHALLENGE_BYTES, HEAD_BYTES, MAX_BODY_BYTES, TAG_BYTES

Pair = tuple[str, str]
MOST_HELD = 1000  # frames under way in one connection; then its sender waits
LOOK_S = 0.02


class Cut(Enum):
    OPEN = "open"
    REFUSE = "refuse"  # connections are reset, and new ones refused
    SILENT = "silent"  # all is taken, and nothing arrives


WORSE = (Cut.OPEN, Cut.SILENT, Cut.REFUSE)


@dataclass(frozen=True, slots=True)
class Faults:
    """Of one direction. Parts are of the frames, or datagrams."""

    cut: Cut = Cut.OPEN
    stalled: bool = False  # takes and is silent; what was taken comes when it ends
    drop: float = 0.0
    double: float = 0.0
    short: float = 0.0  # cut at some byte: a connection ends there
    delay_s: float = 0.0  # the most; later frames wait behind earlier ones, datagrams overtake
    bytes_per_s: float = 0.0  # 0 for as fast as it goes


class Links:
    """All directions between the named ones; ``seed`` draws every fault."""

    def __init__(self, seed: int, names: Iterable[str]) -> None:
        self.names, self.seed = tuple(names), seed
        self.random = {(a, b): random.Random(f"{seed} {a} {b}") for a in self.names for b in self.names}
        self.told: dict[Pair, Faults] = {}
        self.laid: dict[Pair, dict[int, Faults]] = {}  # by number, over what is told
        self.number = 0
        self.real: dict[str, tuple[str, int]] = {}
        self.servers: dict[Pair, asyncio.Server] = {}
        self.open: dict[Pair, set[asyncio.StreamWriter]] = {}
        self.datagrams = datagrams.Links(seed)
        self.carried = self.lost = 0
        self.on_carried: Callable[[Pair, bytes], None] | None = None  # of each frame, once it is given

    async def begin(self) -> None:
        for pair in self.random:
            if pair[0] != pair[1]:
                self.open[pair] = set()
                self.servers[pair] = await asyncio.start_server(partial(self._serve, pair), "127.0.0.1", 0)

    def address(self, source: str, target: str) -> str:
        """Where the one reaches the other."""
        return "{}:{}".format(*self.servers[source, target].sockets[0].getsockname()[:2])

    def attach(self, name: str, address: str) -> None:
        """Its process listens here now."""
        host, _, port = address.rpartition(":")
        self.real[name] = host, int(port)

    def detach(self, name: str) -> None:
        """It listens nowhere: its port may come to be another's."""
        self.real.pop(name, None)

    def faults(self, source: str, target: str) -> Faults:
        """What is told, and whatever is laid over it; of each kind the worst."""
        all_ = [self.told.get((source, target), Faults()), *self.laid.get((source, target), {}).values()]
        if len(all_) == 1:
            return all_[0]
        return Faults(
            max((one.cut for one in all_), key=WORSE.index),
            any(one.stalled for one in all_),
            max(one.drop for one in all_),
            max(one.double for one in all_),
            max(one.short for one in all_),
            max(one.delay_s for one in all_),
            min((one.bytes_per_s for one in all_ if one.bytes_per_s > 0), default=0.0),
        )

    # --- what a test says; a name, or several

    def set(self, sources: str | Iterable[str], targets: str | Iterable[str], **faults: object) -> None:
        """Change these faults of the direction, and keep the others. LabError without links."""
        self._stand()
        for source in _names(sources):
            for target in _names(targets):
                if source == target:
                    continue
                told = self.told.get((source, target), Faults())
                self.told[source, target] = replace(told, **faults)  # type: ignore[arg-type]
                self._changed(source, target)

    def lay(self, sources: Iterable[str], targets: Iterable[str], faults: Faults) -> int:
        """Over whatever else these directions suffer, until it is lifted by its number. LabError without
        links."""
        self._stand()
        self.number += 1
        for pair in product(sources, targets):
            if pair[0] != pair[1]:
                self.laid.setdefault(pair, {})[self.number] = faults
                self._changed(*pair)
        return self.number

    def lift(self, number: int) -> None:
        """This fault alone; others of the same links go on."""
        for pair, laid in self.laid.items():
            if laid.pop(number, None) is not None:
                self._changed(*pair)
        self.datagrams.release()

    def _stand(self) -> None:
        if not self.servers and len(self.names) > 1:
            raise LabError("a fault of a link where processes are wired directly, or before links began")

    def _changed(self, source: str, target: str) -> None:
        now = self.faults(source, target)
        self.datagrams.faults[source, target] = datagrams.Faults(
            now.drop if now.cut is Cut.OPEN else 1.0, now.double, now.short, now.delay_s, now.stalled
        )
        if now.cut is Cut.REFUSE:
            for writer in self.open[source, target]:
                writer.transport.abort()

    def cut(self, source: str | Iterable[str], target: str | Iterable[str], how: Cut = Cut.REFUSE) -> None:
        """One way; what the other says goes on."""
        self.set(source, target, cut=how)

    def stall(self, source: str | Iterable[str], target: str | Iterable[str]) -> None:
        self.set(source, target, stalled=True)

    def slow(self, source: str | Iterable[str], target: str | Iterable[str], bytes_per_s: float) -> None:
        self.set(source, target, bytes_per_s=bytes_per_s)

    def drop(self, source: str | Iterable[str], target: str | Iterable[str], part: float) -> None:
        self.set(source, target, drop=part)

    def delay(self, source: str | Iterable[str], target: str | Iterable[str], most_s: float) -> None:
        self.set(source, target, delay_s=most_s)

    def split(self, *sides: Iterable[str], how: Cut = Cut.REFUSE) -> None:
        """No side hears another."""
        held = [list(side) for side in sides]
        for side in held:
            for other in held:
                if side is not other:
                    self.cut(side, other, how)

    def isolate(self, name: str, how: Cut = Cut.REFUSE) -> None:
        self.split([name], [other for other in self.names if other != name], how=how)

    def mend(self, sources: str | Iterable[str], targets: str | Iterable[str]) -> None:
        """All faults of these directions, whichever set them."""
        for source in _names(sources):
            for target in _names(targets):
                self.told.pop((source, target), None)
                self.laid.pop((source, target), None)
                self.datagrams.faults.pop((source, target), None)
        self.datagrams.release()

    def heal(self, *names: str) -> None:
        """All links, or those from and to these."""
        for pair in self.told.keys() | self.laid.keys():
            if not names or pair[0] in names or pair[1] in names:
                self.told.pop(pair, None)
                self.laid.pop(pair, None)
                self.datagrams.faults.pop(pair, None)
        self.datagrams.release()

    def close(self) -> None:
        for server in self.servers.values():
            server.close()
        for writers in self.open.values():
            for writer in writers:
                writer.transport.abort()
        self.datagrams.close()

    # --- the proxies

    async def _serve(self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.faults(*pair).cut is Cut.REFUSE or pair[1] not in self.real:
            writer.transport.abort()
            return
        onward: asyncio.StreamWriter | None = None
        self.open[pair].add(writer)
        tasks: list[asyncio.Task[None]] = []
        try:
            back, onward = await asyncio.open_connection(*self.real[pair[1]])
            held: asyncio.Queue[tuple[float, bytes, bool]] = asyncio.Queue(MOST_HELD)
            tasks = [
                asyncio.ensure_future(part)
                for part in (
                    self._take(pair, reader, held),
                    self._give(pair, held, onward),
                    self._greet(pair, back, writer),
                )
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open[pair].discard(writer)
            for task in tasks:
                task.cancel()
            for end in (writer, onward):
                if end is not None:
                    end.transport.abort()

    async def _greet(self, pair: Pair, back: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The greeting is a part of the direction's connection, and nothing else comes back."""
        with suppress(OSError, EOFError):
            greeting = await back.readexactly(CHALLENGE_BYTES)
            while (now := self.faults(*pair)).stalled or now.cut is not Cut.OPEN:
                await asyncio.sleep(LOOK_S)
            writer.write(greeting)
            await back.read(1)

    async def _take(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        held: "asyncio.Queue[tuple[float, bytes, bool]]",
    ) -> None:
        loop, draw, due = asyncio.get_running_loop(), self.random[pair].random, 0.0
        with suppress(OSError, EOFError):
            while True:
                head = await reader.readexactly(HEAD_BYTES)
                size = min(int.from_bytes(head, "big"), MAX_BODY_BYTES + TAG_BYTES)
                frame, now = head + await reader.readexactly(size), self.faults(*pair)
                if now.cut is not Cut.OPEN or draw() < now.drop:
                    self.lost += 1
                    continue
                ends = draw() < now.short
                if ends:
                    frame = frame[: int(draw() * len(frame))]
                for _ in range(1 + (draw() < now.double)):
                    due = max(due, loop.time() + draw() * now.delay_s)
                    await held.put((due, frame, ends))

    async def _give(
        self,
        pair: Pair,
        held: "asyncio.Queue[tuple[float, bytes, bool]]",
        onward: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while True:
                due, frame, ends = await held.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                while self.faults(*pair).stalled:
                    await asyncio.sleep(LOOK_S)
                if (rate := self.faults(*pair).bytes_per_s) > 0:
                    await asyncio.sleep(len(frame) / rate)
                if self.faults(*pair).cut is not Cut.OPEN:
                    self.lost += 1
                    continue
                self.carried += 1
                onward.write(frame)
                if self.on_carried is not None:
                    self.on_carried(pair, frame)
                await onward.drain()
                if ends:
                    return


def _names(told: str | Iterable[str]) -> tuple[str, ...]:
    return (told,) if isinstance(told, str) else tuple(told)
