"""Datagram links between real processes, with faults: one socket stands for each member towards all others.

A member advertises its socket here. What comes to the socket of B from A's real address goes on to B's real
address from the socket of A, so that both ends see each other as advertised, and each direction has its own
faults.
"""

import asyncio
import random
from dataclasses import dataclass, replace
from typing import Any

MOST_HELD = 4096  # datagrams on stalled directions; the oldest is lost


@dataclass(frozen=True, slots=True)
class Faults:
    """Of one direction: parts of the datagrams lost, doubled and cut short, and the most each is delayed.

    Stalled: what comes is held, and goes on when the direction is healed.
    """

    loss: float = 0.0
    double: float = 0.0
    short: float = 0.0
    delay_s: float = 0.0
    stalled: bool = False


class _End(asyncio.DatagramProtocol):
    def __init__(self, links: "Links", name: str) -> None:
        self.links, self.name = links, name

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self.links.carry(self.name, data, addr)


class Links:
    """All directions between the members; ``seed`` draws every fault."""

    def __init__(self, seed: int) -> None:
        self.random, self.every = random.Random(seed), Faults()
        self.faults: dict[tuple[str, str], Faults] = {}
        self.ends: dict[str, asyncio.DatagramTransport] = {}
        self.real: dict[str, tuple[str, int]] = {}
        self.carried = self.lost = 0
        self.held: list[tuple[str, str, bytes]] = []

    async def advertised(self, name: str) -> str:
        """The address at which the others reach this member."""
        if name not in self.ends:
            loop = asyncio.get_running_loop()
            self.ends[name], _ = await loop.create_datagram_endpoint(
                lambda: _End(self, name), local_addr=("127.0.0.1", 0)
            )
        return "{}:{}".format(*self.ends[name].get_extra_info("sockname")[:2])

    def attach(self, name: str, address: str) -> None:
        """Its process listens here now."""
        host, _, port = address.rpartition(":")
        self.real[name] = host, int(port)

    def cut(self, sources: set[str], targets: set[str]) -> None:
        """All that goes from some to some others is lost, until ``heal``."""
        for source in sources:
            for target in targets - {source}:
                self.faults[source, target] = replace(self.every, loss=1.0)

    def split(self, *sides: set[str]) -> None:
        for side in sides:
            for other in sides:
                if other is not side:
                    self.cut(side, other)

    def heal(self) -> None:
        self.faults.clear()
        self.release()

    def release(self) -> None:
        """What was held on directions that are stalled no more."""
        held, self.held = self.held, []
        for source, target, data in held:
            if self.faults.get((source, target), self.every).stalled:
                self.held.append((source, target, data))
            elif target in self.real:
                self._deliver(source, target, data)

    def carry(self, target: str, data: bytes, addr: tuple[Any, ...]) -> None:
        source = next((name for name, real in self.real.items() if real == addr[:2]), None)
        if source is None or target not in self.real:  # a process that ended, or one not yet attached
            return
        told, draw = self.faults.get((source, target), self.every), self.random.random
        if draw() < told.loss:
            self.lost += 1
            return
        if told.stalled:
            self.held = [*self.held[1 - MOST_HELD :], (source, target, data)]
            return
        if draw() < told.short:
            data = data[: self.random.randrange(len(data) + 1)]
        for _ in range(1 + (draw() < told.double)):
            self.carried += 1
            asyncio.get_running_loop().call_later(draw() * told.delay_s, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        if target in self.real and not self.ends[source].is_closing():  # it may have ended meanwhile
            self.ends[source].sendto(data, self.real[target])

    def close(self) -> None:
        for end in self.ends.values():
            end.close()
