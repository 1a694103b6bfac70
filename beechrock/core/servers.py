"""The servers of each service, their state, and the order in which they are tried. Pure.

A server is SERVING while a service lists it and it is not taken out, then DRAINING until its last run has
ended, then forgotten. For a service that is removed, the last servers are remembered for requests that were
read before. A server that is taken out stays out even if it is listed again.
"""

from collections.abc import Callable
from enum import Enum

from beechrock.core.link_lifecycle import Address

# Maximum number of removed services whose last servers are remembered; the oldest are dropped first.
MAX_REMOVED_SERVICES = 1_000

Upstreams = dict[str, tuple[Address, ...]]


class ServerState(Enum):
    """Whether a server gets new runs."""

    SERVING = "serving"
    DRAINING = "draining"


class Servers:
    """The servers by service, and the number of open runs at each server."""

    def __init__(self, upstreams: Upstreams) -> None:
        self.upstreams = upstreams
        self.taken_out: frozenset[Address] = frozenset()
        self.open_runs: dict[Address, int] = {}  # open runs by server; servers without any are left out
        self._removed: Upstreams = {}
        # Cost of a run at a server, from its address and open runs, while the replica part gives advice.
        self.cost: Callable[[Address, int], float] | None = None

    def state(self, address: Address) -> ServerState | None:
        """Return a server's state, or None if it gets no new runs and has none open."""
        if address not in self.taken_out and any(address in places for places in self.upstreams.values()):
            return ServerState.SERVING
        return ServerState.DRAINING if address in self.open_runs else None

    def draining(self) -> list[Address]:
        """Return the servers that get no new runs but have open ones."""
        serving = {address for places in self.upstreams.values() for address in places}
        return [address for address in self.open_runs if address in self.taken_out or address not in serving]

    def renew(self, upstreams: Upstreams) -> None:
        """Replace the lists of servers, for all runs that begin from now on."""
        for service, places in self.upstreams.items():
            if service not in upstreams and places:
                self._removed.pop(service, None)
                self._removed[service] = places
        for service in upstreams:
            self._removed.pop(service, None)
        while len(self._removed) > MAX_REMOVED_SERVICES:
            del self._removed[next(iter(self._removed))]
        self.upstreams = upstreams

    def choose(self, service: str) -> list[Address]:
        """Return the servers of a service that are not taken out of rotation, in order of rising weight."""
        return sorted(
            (address for address in self.listed(service) if address not in self.taken_out), key=self.weight
        )

    def weight(self, address: Address) -> float:
        """Return the weight by which servers are ordered: their cost if that is set, else their open runs."""
        load = self.open_runs.get(address, 0)
        return load if self.cost is None else self.cost(address, load)

    def listed(self, service: str) -> tuple[Address, ...]:
        """Return all servers of a service, including servers that are taken out of rotation."""
        places = self.upstreams.get(service)
        return self._removed.get(service, ()) if places is None else places

    def on_run_started(self, address: Address) -> None:
        """Count the start of a run at a server."""
        self.open_runs[address] = self.open_runs.get(address, 0) + 1

    def on_run_ended(self, address: Address) -> None:
        """Count the end of a run at a server."""
        self.open_runs[address] -= 1
        if not self.open_runs[address]:
            del self.open_runs[address]
