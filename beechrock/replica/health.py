"""Order in which a node tries upstream servers: by its own observations, and before it has any, by the
advice of other nodes. Pure.

States of a server: WELL; EJECTED (after FAILS consecutive failures, or by advice): tried last, for a time
that doubles with each ejection; TRYING (that time is over): one request at a time probes it.
Events: ``good``, ``failed`` (own observations), ``advise`` (advice of other nodes), time.

Invariants: at most half of a service's servers are tried last, except by ejections of operators; ejections
by own observations come first among them. So neither a failure of all servers nor wrong advice leaves the
load to a few. An ejection by advice ends ADVISED_S after it began at the latest, whatever advice comes
meanwhile, and with the first good reply. Advice ejects no server that has replied well to this node, nor one
with DOUBT own observations. The result is only an order: a server that is tried last still gets the request
if no other accepts the connection.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from beechrock.replica.priors import DOUBT, Advice, Estimate

Address = tuple[str, int]
FAILS = 5  # Consecutive failures after which a server is ejected.
FIRST_S, MOST_S = 5.0, 60.0  # Length of the first ejection, and of the longest, in seconds.
ADVISED_S = 30.0  # Longest ejection by advice, in seconds; then the node probes the server itself.
LOOK_S = 10.0  # Seconds without an observation after which one request probes a server.
LAST = 1e9  # Cost of a server that is tried last.
MOST_SERVERS = 256  # Maximum number of servers remembered and reported.


class State(Enum):
    WELL = "well"
    EJECTED = "ejected"
    TRYING = "trying"


@dataclass(frozen=True, slots=True)
class Word:
    """One node's report on a server."""

    server: str  # HOST:PORT
    mean_s: float  # Mean time of a request, in seconds; 0 if unknown.
    seen: int  # Number of own observations.
    age_s: float  # Seconds since the last observation.
    ejected_s: float  # Seconds left of an ejection by own observations; 0 if not ejected.


@dataclass(slots=True)
class Server:
    """What this node knows of a server."""

    latency: Estimate = field(default_factory=lambda: Estimate(0.0))  # Time of a request, in seconds.
    seen: int = 0  # Number of own observations, failures included.
    at_s: float = 0.0  # Time of the last observation, in monotonic seconds.
    goods: int = 0  # Number of good replies.
    fails: int = 0  # Number of consecutive failures.
    until: float = 0.0  # End of the ejection, in monotonic seconds; 0 if not ejected.
    turns: int = 0  # Number of consecutive ejections.
    advised: bool = False  # Whether it is ejected by advice alone.

    def state(self, now: float) -> State:
        if not self.until:
            return State.WELL
        return State.EJECTED if now < self.until else State.TRYING


@dataclass(slots=True)
class Health:
    """The health of all servers as one node sees it; ``pools`` are the servers of each service in its
    inventory."""

    servers: dict[Address, Server] = field(default_factory=dict)
    pools: Mapping[str, tuple[Address, ...]] = field(default_factory=dict)
    listed: dict[str, Address] = field(default_factory=dict)  # Servers of all services, by HOST:PORT.
    by_hand: frozenset[Address] = frozenset()  # Servers ejected by operators, until they delete the record.
    last: frozenset[Address] = frozenset()  # Servers that are tried last.
    turned: list[tuple[Address, str]] = field(default_factory=list)  # State changes and causes, for the log.

    # --- own observations

    def good(self, now: float, address: Address, seconds: float) -> None:
        server = self._seen(now, address)
        server.latency.observe(max(1e-6, seconds))
        server.goods, server.fails = server.goods + 1, 0
        if server.until:
            server.until, server.turns, server.advised = 0.0, 0, False
            self._turned(now, address, "back")

    def failed(self, now: float, address: Address, seconds: float = 0.0) -> None:
        """Count a failure. ``seconds``: how long a request without a reply took; 0 leaves the latency as
        is."""
        server = self._seen(now, address)
        if seconds:
            server.latency.observe(seconds)
        server.fails += 1
        trying = server.state(now) is State.TRYING
        if trying or (not server.until and server.fails >= FAILS):
            server.until = now + min(MOST_S, FIRST_S * 2 ** min(10, server.turns))
            server.turns, server.advised = server.turns + 1, False
            self._turned(now, address, "own")

    def _seen(self, now: float, address: Address) -> Server:
        server = self._of(address)
        server.seen, server.at_s = server.seen + 1, now
        return server

    def _of(self, address: Address) -> Server:
        found = self.servers.get(address)
        if found is None:
            if len(self.servers) >= MOST_SERVERS:
                gone = (one for one in self.servers if "{}:{}".format(*one) not in self.listed)
                del self.servers[next(gone, next(iter(self.servers)))]
            found = self.servers[address] = Server()
        return found

    def _turned(self, now: float, address: Address, why: str) -> None:
        self.turned.append((address, why))
        del self.turned[:-MOST_SERVERS]
        self._rank(now)

    # --- advice of other nodes

    def advise(
        self,
        now: float,
        told: Iterable[tuple[Advice, Word]],
        pools: Mapping[str, tuple[Address, ...]],
        by_hand: frozenset[Address] = frozenset(),
    ) -> None:
        """Apply the present reports of all other nodes, weighted as in priors.py, and the operators'
        ejections."""
        self.by_hand = by_hand
        if pools is not self.pools:
            self.pools = pools
            self.listed = {"{}:{}".format(*one): one for places in pools.values() for one in places}
        by_server: dict[str, list[tuple[Advice, Word]]] = {}
        for advice, word in told:
            by_server.setdefault(word.server, []).append((advice, word))
        for name, words in by_server.items():
            address = self.listed.get(name)
            if address is not None and self._of(address).seen < DOUBT:
                self._advised(now, address, words)
        self._rank(now)

    def _advised(self, now: float, address: Address, words: list[tuple[Advice, Word]]) -> None:
        server = self.servers[address]
        server.latency.advise([advice for advice, word in words if word.mean_s > 0])
        weights = {True: 0.0, False: 0.0}
        for advice, word in words:
            weights[word.ejected_s > 0] += advice.weight
        left = max(
            (word.ejected_s for advice, word in words if word.ejected_s > 0 and advice.weight > 0),
            default=ADVISED_S,
        )
        if weights[True] <= weights[False] or server.goods or server.until:
            return
        server.until, server.advised = now + min(left, ADVISED_S), True
        self._turned(now, address, "advice")

    # --- the order

    def _rank(self, now: float) -> None:
        wanted = sorted(
            (one for one, server in self.servers.items() if server.until),
            key=lambda one: self.servers[one].advised,
        )
        last: set[Address] = set(self.by_hand)
        for address in wanted:
            of = [places for places in self.pools.values() if address in places]
            if all(len(last & set(places)) < len(places) // 2 for places in of):
                last.add(address)
        self.last = frozenset(last)

    def cost(self, now: float, address: Address, load: int) -> float:
        """Return the cost of sending a request to a server; the cheapest is tried first. ``load``: number of
        this node's open requests there."""
        server = self.servers.get(address)
        if address in self.by_hand:
            return LAST + load
        if server is not None and address in self.last:
            trying = server.state(now) is State.TRYING and not load
            return -1.0 if trying else LAST + load
        unknown = server is None or (server.seen < DOUBT and not server.latency.weight)
        if not load and (unknown or (server is not None and server.seen and now - server.at_s > LOOK_S)):
            # An idle server that is unknown or long unobserved goes first; unknown ones are tried in turn.
            return -1.0 + (0.1 * server.seen if server is not None and unknown else 0.0)
        return (load + 1) * self._latency(server)

    def _latency(self, server: Server | None) -> float:
        """Return the expected time of a request. An unknown server counts as fast as the fastest known one,
        so that it is soon tried."""
        if server is not None and (server.latency.samples or server.latency.weight):
            if not server.latency.weight and server.latency.samples < DOUBT:
                server.latency.cautious = self._least() or server.latency.mean
            return server.latency.value
        return self._least() or 1.0

    def _least(self) -> float:
        return min(
            (
                one.latency.mean if one.latency.samples >= DOUBT else one.latency.prior
                for one in self.servers.values()
                if one.latency.samples >= DOUBT or one.latency.weight
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
                server.seen,
                round(max(0.0, now - server.at_s), 3),
                0.0
                if server.advised
                else round(max(0.0, server.until - now), 3) or (FIRST_S if server.until else 0.0),
            )
            for address, server in self.servers.items()
            if server.seen
        ][:MOST_SERVERS]
