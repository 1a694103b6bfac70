"""Servers below, as this node has to do with them: which it uses, which are out, and whether it reaches those
that are to return. Thin, with a bound on all of it.
"""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.releases.permits import Kind
from beechrock.releases.words import MOST_TOLD, Reach, Told

if TYPE_CHECKING:
    from beechrock.releases.part import Releases

REACH_S = 1.0  # until one that is silent counts as not reached
AT_ONCE = 256  # connections that are tried side by side
EACH_S = 0.5  # from one good try of a server that is to return to the next; a word goes as often


def address_of(target: str) -> tuple[str, int]:
    host, _, port = target.rpartition(":")
    return host, int(port)


async def reach(target: str) -> None:
    """OSError, TimeoutError where it takes no connection."""
    async with asyncio.timeout(REACH_S):
        _, writer = await asyncio.open_connection(*address_of(target))
    writer.close()


async def unreached(targets: Iterable[str]) -> frozenset[str]:
    """Those that take no connection now; after ``REACH_S`` for each ``AT_ONCE`` of them at the latest."""
    turn, found = asyncio.Semaphore(AT_ONCE), set[str]()

    async def one(target: str) -> None:
        async with turn:
            try:
                await reach(target)
            except (OSError, TimeoutError):
                found.add(target)

    await asyncio.gather(*map(one, targets))
    return frozenset(found)


class Below:
    """Each node tries for itself those that are to return, and tells the others with its word."""

    def __init__(self, part: "Releases") -> None:
        self.part = part
        self.tried: dict[str, tuple[int, Reach]] = {}  # by server that is to return: fence, newest try

    def listed(self) -> list[list[Any]]:
        """Name and services of each server of the inventory."""
        found: dict[str, set[str]] = {}
        meaning = getattr(self.part.program, "meaning", None)
        for service, places in (meaning.upstreams if meaning is not None else {}).items():
            for host, port in places:
                found.setdefault(f"{host}:{port}", set()).add(service)
        return sorted([name, sorted(services)] for name, services in found.items())

    def told(self) -> tuple[Told, ...]:
        """Of those that are to return: whether this node reaches them."""
        return tuple(
            (name, fence, one)
            for name, (fence, one) in sorted(self.tried.items(), key=lambda tried: tried[1][0])[:MOST_TOLD]
        )

    def turn(self) -> None:
        """Those out by permit get nothing new here, what they run goes on to its end; and the tries."""
        machine, work = self.part.machine, self.part.program.servers
        held = sorted(
            name for name in machine.permits.held if machine.permits.targets[name].kind is Kind.SERVER
        )
        if work is not None and work.servers.taken_out != (out := frozenset(map(address_of, held))):
            work.exclude(out)
            logs.event("releases.servers", out=held)
        returning = {name: machine.returning[name] for name in held if name in machine.returning}
        self.tried = {name: one for name, one in self.tried.items() if returning.get(name) == one[0]}
        if not returning:
            return
        used = {name for name, _ in self.listed()}
        for name, fence in returning.items():
            if name not in used:
                self.tried[name] = fence, Reach.UNUSED
            else:
                self.tried.setdefault(name, (fence, Reach.NO))
                self.part.once(f"reach {name}", self._try(name, fence))

    async def _try(self, target: str, fence: int) -> None:
        found = Reach.NO
        try:
            await reach(target)
            found = Reach.YES
        finally:
            if self.tried.get(target) == (fence, Reach.YES if found is Reach.NO else Reach.NO):
                self.tried[target] = fence, found
                self.part.beat_at = float("-inf")  # told with the next turn
                self.part.wake.set()
        await asyncio.sleep(EACH_S)
