"""Order in which a node tries upstream servers: by its own observations, and before it has any, by the
advice of other nodes. Pure.

States of a server: WELL; EJECTED (after FAILURES_TO_EJECT consecutive failures, or by advice): tried last,
for a time that doubles with each ejection; TRYING (that time is over): one request at a time probes it.
Events: ``good``, ``failed`` (own observations), ``advise`` (advice of other nodes), time.

Invariants: at most half of a service's servers are tried last, except by ejections of operators; ejections
by own observations come first among them. So neither a failure of all servers nor wrong advice leaves the
load to a few. An ejection by advice ends MAX_ADVISED_S after it began at the latest, whatever advice comes
meanwhile, and with the first good reply. Advice ejects no server that has replied well to this node, nor one
with DOUBT own observations. The result is only an order: a server that is tried last still gets the request
if no other accepts the connection.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from beechrock.replica.priors import DOUBT, Advice, Estimate

Address = tuple[str, int]
FAILURES_TO_EJECT = 5  # Consecutive failures after which a server is ejected.
FIRST_S, MAX_EJECTION_S = 5.0, 60.0  # Length of the first ejection, and of the longest, in seconds.
MAX_ADVISED_S = 30.0  # Longest ejection by advice, in seconds; then the node probes the server itself.
PROBE_AFTER_S = 10.0  # Seconds without an observation after which one request probes a server.
LAST_COST = 1e9  # Cost of a server that is tried last.
MAX_SERVERS = 256  # Maximum number of servers remembered and reported.


class State(Enum):
    WELL = "well"
    EJECTED = "ejected"
    TRYING = "trying"


@dataclass(frozen=True, slots=True)
class Word:
    """One node's report on a server."""

    server: str  # HOST:PORT
    mean_s: float  # Mean time of a request, in seconds; 0 if unknown.
    observations: int  # Number of own observations.
    age_s: float  # Seconds since the last observation.
    ejected_s: float  # Seconds left of an ejection by own observations; 0 if not ejected.


@dataclass(slots=True)
class Server:
    """What this node knows of a server."""

    latency: Estimate = field(default_factory=lambda: Estimate(0.0))  # Time of a request, in seconds.
    observations: int = 0  # Number of own observations, failures included.
    observed_s: float = 0.0  # Time of the last observation, in monotonic seconds.
    successes: int = 0  # Number of good replies.
    consecutive_failures: int = 0
    ejected_until: float = 0.0  # End of the ejection, in monotonic seconds; 0 if not ejected.
    ejections: int = 0  # Number of consecutive ejections.
    advised: bool = False  # Whether it is ejected by advice alone.

    def state(self, now: float) -> State:
        if not self.ejected_until:
            return State.WELL
        return State.EJECTED if now < self.ejected_until else State.TRYING


@dataclass(slots=True)
class Health:
    """The health of all servers as one node sees it; ``pools`` are the servers of each service in its
    inventory."""

    servers: dict[Address, Server] = field(default_factory=dict)
    pools: Mapping[str, tuple[Address, ...]] = field(default_factory=dict)
    listed: dict[str, Address] = field(default_factory=dict)  # Servers of all services, by HOST:PORT.
    ejected_by_operators: frozenset[Address] = frozenset()  # Until the operators delete the record.
    tried_last: frozenset[Address] = frozenset()  # Servers that are tried last.
    # Servers whose state has changed, each with the cause, for the log.
    transitions: list[tuple[Address, str]] = field(default_factory=list)

    # --- own observations

    def good(self, now: float, address: Address, seconds: float) -> None:
        server = self._observed(now, address)
        server.latency.observe(max(1e-6, seconds))
        server.successes, server.consecutive_failures = server.successes + 1, 0
        if server.ejected_until:
            server.ejected_until, server.ejections, server.advised = 0.0, 0, False
            self._record_transition(now, address, "back")

    def failed(self, now: float, address: Address, seconds: float = 0.0) -> None:
        """Count a failure. ``seconds``: how long a request without a reply took; 0 leaves the latency as
        is."""
        server = self._observed(now, address)
        if seconds:
            server.latency.observe(seconds)
        server.consecutive_failures += 1
        trying = server.state(now) is State.TRYING
        if trying or (not server.ejected_until and server.consecutive_failures >= FAILURES_TO_EJECT):
            server.ejected_until = now + min(MAX_EJECTION_S, FIRST_S * 2 ** min(10, server.ejections))
            server.ejections, server.advised = server.ejections + 1, False
            self._record_transition(now, address, "own")

    def _observed(self, now: float, address: Address) -> Server:
        server = self._server(address)
        server.observations, server.observed_s = server.observations + 1, now
        return server

    def _server(self, address: Address) -> Server:
        found = self.servers.get(address)
        if found is None:
            if len(self.servers) >= MAX_SERVERS:
                unlisted = (other for other in self.servers if "{}:{}".format(*other) not in self.listed)
                del self.servers[next(unlisted, next(iter(self.servers)))]
            found = self.servers[address] = Server()
        return found

    def _record_transition(self, now: float, address: Address, cause: str) -> None:
        self.transitions.append((address, cause))
        del self.transitions[:-MAX_SERVERS]
        self._update_order(now)

    # --- advice of other nodes

    def advise(
        self,
        now: float,
        reports: Iterable[tuple[Advice, Word]],
        pools: Mapping[str, tuple[Address, ...]],
        ejected_by_operators: frozenset[Address] = frozenset(),
    ) -> None:
        """Apply the present reports of all other nodes, weighted as in priors.py, and the operators'
        ejections."""
        self.ejected_by_operators = ejected_by_operators
        if pools is not self.pools:
            self.pools = pools
            self.listed = {"{}:{}".format(*server): server for pool in pools.values() for server in pool}
        reports_by_server: dict[str, list[tuple[Advice, Word]]] = {}
        for advice, word in reports:
            reports_by_server.setdefault(word.server, []).append((advice, word))
        for name, words in reports_by_server.items():
            address = self.listed.get(name)
            if address is not None and self._server(address).observations < DOUBT:
                self._apply_ejection_advice(now, address, words)
        self._update_order(now)

    def _apply_ejection_advice(self, now: float, address: Address, words: list[tuple[Advice, Word]]) -> None:
        server = self.servers[address]
        server.latency.advise([advice for advice, word in words if word.mean_s > 0])
        weights = {True: 0.0, False: 0.0}
        for advice, word in words:
            weights[word.ejected_s > 0] += advice.weight
        left = max(
            (word.ejected_s for advice, word in words if word.ejected_s > 0 and advice.weight > 0),
            default=MAX_ADVISED_S,
        )
        if weights[True] <= weights[False] or server.successes or server.ejected_until:
            return
        server.ejected_until, server.advised = now + min(left, MAX_ADVISED_S), True
        self._record_transition(now, address, "advice")

    # --- the order

    def _update_order(self, now: float) -> None:
        ejected = sorted(
            (candidate for candidate, server in self.servers.items() if server.ejected_until),
            key=lambda candidate: self.servers[candidate].advised,
        )
        last: set[Address] = set(self.ejected_by_operators)
        for address in ejected:
            pools_of_server = [pool for pool in self.pools.values() if address in pool]
            if all(len(last & set(pool)) < len(pool) // 2 for pool in pools_of_server):
                last.add(address)
        self.tried_last = frozenset(last)

    def cost(self, now: float, address: Address, load: int) -> float:
        """Return the cost of sending a request to a server; the cheapest is tried first. ``load``: number of
        this node's open requests there."""
        server = self.servers.get(address)
        if address in self.ejected_by_operators:
            return LAST_COST + load
        if server is not None and address in self.tried_last:
            trying = server.state(now) is State.TRYING and not load
            return -1.0 if trying else LAST_COST + load
        unknown = server is None or (server.observations < DOUBT and not server.latency.weight)
        if not load and (
            unknown
            or (server is not None and server.observations and now - server.observed_s > PROBE_AFTER_S)
        ):
            # An idle server that is unknown or long unobserved goes first; unknown ones are tried in turn.
            return -1.0 + (0.1 * server.observations if server is not None and unknown else 0.0)
        return (load + 1) * self._latency(server)

    def _latency(self, server: Server | None) -> float:
        """Return the expected time of a request. An unknown server counts as fast as the fastest known one,
        so that it is soon tried."""
        if server is not None and (server.latency.samples or server.latency.weight):
            if not server.latency.weight and server.latency.samples < DOUBT:
                server.latency.cautious = self._lowest_latency() or server.latency.mean
            return server.latency.value
        return self._lowest_latency() or 1.0

    def _lowest_latency(self) -> float:
        return min(
            (
                server.latency.mean if server.latency.samples >= DOUBT else server.latency.prior
                for server in self.servers.values()
                if server.latency.samples >= DOUBT or server.latency.weight
            ),
            default=0.0,
        )

    # --- reports to other nodes

    def words(self, now: float) -> list[Word]:
        """Return the reports on all observed servers. Only own observations count: advice is not passed
        on."""
        return [
            Word(
                "{}:{}".format(*address),
                round(server.latency.mean, 6),
                server.observations,
                round(max(0.0, now - server.observed_s), 3),
                0.0
                if server.advised
                else round(max(0.0, server.ejected_until - now), 3)
                or (FIRST_S if server.ejected_until else 0.0),
            )
            for address, server in self.servers.items()
            if server.observations
        ][:MAX_SERVERS]
