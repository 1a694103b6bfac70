"""Downstream servers as one node sees them: which are used, out, or reached again before their return."""

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.releases.permits import Kind
from beechrock.releases.words import MAX_SERVER_REPORTS, Reach, Told

if TYPE_CHECKING:
    from beechrock.releases.part import Releases

CONNECT_TIMEOUT_S = 1.0  # seconds until a silent server counts as not reached
MAX_CONCURRENT_CONNECTS = 256
CHECK_INTERVAL_S = 0.5  # from a successful check of a returning server to the next; as often as reports


def address_of(target: str) -> tuple[str, int]:
    """Return host and port of a server's name, which is ``host:port``."""
    host, _, port = target.rpartition(":")
    return host, int(port)


async def connect(target: str) -> None:
    """Connect to a server and close. Raises OSError or TimeoutError if it takes no connection."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, writer = await asyncio.open_connection(*address_of(target))
    writer.close()


async def unreachable(targets: Iterable[str]) -> frozenset[str]:
    """Return the servers that take no connection now.

    It takes at most CONNECT_TIMEOUT_S for each batch of MAX_CONCURRENT_CONNECTS servers.
    """
    slots, found = asyncio.Semaphore(MAX_CONCURRENT_CONNECTS), set[str]()

    async def check(target: str) -> None:
        async with slots:
            try:
                await connect(target)
            except (OSError, TimeoutError):
                found.add(target)

    await asyncio.gather(*map(check, targets))
    return frozenset(found)


class ServerChecks:
    """This node's checks of returning servers, which its reports pass on to the other nodes."""

    def __init__(self, part: "Releases") -> None:
        self.part = part
        self.results: dict[str, tuple[int, Reach]] = {}  # by returning server: fence, newest result

    def listed(self) -> list[list[Any]]:
        """Return name and services of each server in the inventory."""
        found: dict[str, set[str]] = {}
        meaning = getattr(self.part.program, "meaning", None)
        for service, addresses in (meaning.upstreams if meaning is not None else {}).items():
            for host, port in addresses:
                found.setdefault(f"{host}:{port}", set()).add(service)
        return sorted([name, sorted(services)] for name, services in found.items())

    def reports(self) -> tuple[Told, ...]:
        """Return whether this node reaches each returning server, the oldest fences first."""
        return tuple(
            (name, fence, reach)
            for name, (fence, reach) in sorted(self.results.items(), key=lambda result: result[1][0])[
                :MAX_SERVER_REPORTS
            ]
        )

    def update(self) -> None:
        """Send no new work to servers that are out, whose runs go on; check the returning ones."""
        machine, work = self.part.machine, self.part.program.servers
        held = sorted(
            name for name in machine.permits.held if machine.permits.targets[name].kind is Kind.SERVER
        )
        if work is not None and work.servers.taken_out != (out := frozenset(map(address_of, held))):
            work.exclude(out)
            logs.event("releases.servers", out=held)
        returning = {name: machine.returning[name] for name in held if name in machine.returning}
        self.results = {
            name: result for name, result in self.results.items() if returning.get(name) == result[0]
        }
        if not returning:
            return
        used = {name for name, _ in self.listed()}
        for name, fence in returning.items():
            if name not in used:
                self.results[name] = fence, Reach.UNUSED
            else:
                self.results.setdefault(name, (fence, Reach.NO))
                self.part.once(f"reach {name}", self._check(name, fence))

    async def _check(self, target: str, fence: int) -> None:
        found = Reach.NO
        try:
            await connect(target)
            found = Reach.YES
        finally:
            if self.results.get(target) == (fence, Reach.YES if found is Reach.NO else Reach.NO):
                self.results[target] = fence, found
                self.part.reported_at = float("-inf")  # so that the next tick of the part sends a report
                self.part.wake.set()
        await asyncio.sleep(CHECK_INTERVAL_S)
