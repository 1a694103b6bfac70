"""Routes a request by the tables in force: to servers in order, to another node, or to none. Pure.

A request keeps the generation with which it began: all its attempts use the way that was decided once, and a
node to which it is steered uses the generation sent with it, or rejects the request. A steered request is
not steered a second time.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

import blake3

from beechrock.lowering.acts import Acts, Asked
from beechrock.lowering.policy import Affinity, Request
from beechrock.lowering.tables import REFUSE, RUN, Action, Table

Address = tuple[str, int]
ROUND = -1  # Instead of a generation: the request comes from a node that runs no table of the plan
UNREAD = -2  # Instead of a generation: this node has not read the agreed log since its start
KEPT = 2  # Number of generations whose tables a node keeps: the one in force and the previous one


@dataclass(frozen=True, slots=True)
class Way:
    """Routing decision: ``addresses`` in the order to try them, or the reason for a refusal.

    If ``steered``, the addresses are nodes and not servers.
    """

    generation: int
    addresses: tuple[Address, ...] = ()
    steered: bool = False
    refused: str = ""
    rule: int = -2  # Rank of the matching rule; -2 if none is known
    asked: Asked | None = None  # Input of ``acts.Tries``; set only if this node runs the rule


def hash_fraction(subject: str, salt: str) -> float:
    """Return a hash of the subject between 0 and 1 (both exclusive), the same at every node."""
    number = int.from_bytes(blake3.blake3(f"{salt}\0{subject}".encode()).digest()[:7])
    return (number + 0.5) / (1 << 56)


def rendezvous_order(subject: str, names: Sequence[tuple[str, int]]) -> list[int]:
    """Return the indices of ``names`` by weighted rendezvous hashing.

    If a name is removed, only the subjects that were assigned to it move.
    """
    return sorted(
        range(len(names)),
        key=lambda at: (-names[at][1] / math.log(hash_fraction(subject, names[at][0])), at),
        reverse=True,
    )


def pool_order(
    table: Table,
    action: Action,
    subject: str,
    turn: int,
    lost: Collection[str] = (),
    out: Collection[Address] = (),
) -> list[int]:
    """Return the pools in the order in which a request tries them.

    Pools in lost halls and pools whose servers are all excluded are skipped; the others keep their relative
    weights.
    """
    order: list[int] = []
    for tier in action.tiers:
        left = [
            (pool, slots)
            for pool, slots in tier
            if table.pools[pool][1] not in lost
            and not (out and all(address in out for address in table.servers[pool]))
        ]
        if not left:
            continue
        if action.affinity == Affinity.RENDEZVOUS:
            order += [
                left[at][0]
                for at in rendezvous_order(subject, [(table.pools[p][0], slots) for p, slots in left])
            ]
            continue
        total = sum(slots for _, slots in left)
        slot = (
            int(hash_fraction(subject, "slot") * total)
            if action.affinity == Affinity.MODULO
            else turn % total
        )
        first = 0
        while slot >= left[first][1]:
            slot -= left[first][1]
            first += 1
        order.append(left[first][0])
        order += [pool for at, (pool, _) in enumerate(left) if at != first]
    return order


@dataclass(slots=True)
class Held:
    """Table of one generation at this node; None if the node is steered around and runs no table.

    In that case all its requests go to other nodes.
    """

    table: Table | None
    state: str = ""
    # By class: addresses of the other nodes that have prepared the plan.
    peers: Mapping[str, tuple[Address, ...]] | None = None


class Router:
    """Routing of this node; owned by ``part.Lowering``."""

    def __init__(self, load: Callable[[Address], float] = lambda _: 0, unread: bool = False) -> None:
        """``unread``: the generation in force is unknown until ``read`` is called.

        UNREAD is below every generation that a request can carry, so that a request waiting for its
        generation also waits for the first ``read``.
        """
        self.load = load
        self.held: dict[int, Held] = {}
        self.generation = UNREAD if unread else 0
        self.turns: dict[int, int] = {}  # By rule: request counter for round-robin, without affinity
        self.acts = Acts()
        # Set only in the laboratory; called with a request's trace, body, carried generation and way.
        self.note: Callable[[str, bytes, int, Way], None] | None = None

    @property
    def unread(self) -> bool:
        return self.generation == UNREAD

    def read(self) -> None:
        self.generation = max(self.generation, 0)

    def put_in_force(self, generation: int, held: Held) -> None:
        """Put a generation into force for new requests; running requests keep their own."""
        if generation != self.generation:
            self.turns.clear()
        self.generation = max(self.generation, generation)
        self.held[generation] = held
        if held.table is not None and held.table.state != held.state:
            held.table.set_state(held.state)
        while len(self.held) > KEPT:
            del self.held[min(self.held)]

    def way(self, request: Request, repeatable: bool, generation: int = 0) -> Way | None:
        """Return the way of a request; None if no plan or no rule applies and it is routed without a policy.

        ``generation`` is that with which the request was steered here, or 0 if it begins here. ROUND also
        begins here, but was sent by a node that runs no plan; as that node could not know which class runs
        the rule, the request may be steered once more.
        """
        steered, from_planless = generation > 0, generation == ROUND
        generation = generation if steered else self.generation
        if generation == UNREAD:
            # Without this check a starting node used no plan, and then each old generation that it read.
            return Way(ROUND, refused="this node has not read the log since its start")
        if not generation:
            return None
        held = self.held.get(generation)
        if held is None:
            return Way(
                generation, refused="this node does not hold the generation that the request began with"
            )
        if held.table is None:
            if steered or from_planless:
                return Way(generation, refused="this node is steered round")
            return self._to_peers(ROUND, held, "", request)
        table = held.table
        entry = table.find(request.team, request.service, request.subject, request.size, request.attempt)
        if entry is None:
            return None
        action = table.action(entry, repeatable)
        if action.verdict == REFUSE:
            return Way(generation, refused="no class that can run its rule is left", rule=entry[0])
        if action.verdict != RUN:
            if steered:
                return Way(
                    generation, refused="steered here, and this class does not run its rule", rule=entry[0]
                )
            return self._to_peers(generation, held, action.target, request)
        turn = self.turns[entry[0]] = self.turns.get(entry[0], -1) + 1
        lost = (held.state.removeprefix("hall:"),) if held.state.startswith("hall:") else ()
        own = {pool for tier in action.tiers[: action.own or None] for pool, _ in tier}
        # Servers of the rule's own pools, and servers of its fall-backs; the keys keep their order.
        found: tuple[dict[Address, None], dict[Address, None]] = {}, {}
        for pool in pool_order(table, action, request.subject, turn, lost, self.acts.out):
            servers, part = self._not_excluded(table.servers[pool]), found[pool not in own]
            if action.affinity != Affinity.NONE:
                order = rendezvous_order(request.subject, [(f"{h}:{p}", 1) for h, p in servers])
                part.update(dict.fromkeys(servers[at] for at in order))
            else:
                part.update(dict.fromkeys(sorted(servers, key=self.load)))
        addresses = (*found[0], *found[1])
        if not addresses:
            # Also if all servers are excluded by permit: they get no new request, and the caller may retry.
            return Way(generation, refused="no server of its rule's pools is left", rule=entry[0])
        copied = (self._not_excluded(table.servers[pool]) for pool, _ in action.mirrors)
        mirrors = tuple(min(servers, key=self.load, default=None) for servers in copied)
        key = table.same.get(entry[0], entry[0]), request.team
        asked = Asked(key, action, addresses, len(found[0]), repeatable, mirrors)
        return Way(generation, addresses, rule=entry[0], asked=asked)

    def _not_excluded(self, servers: tuple[Address, ...]) -> tuple[Address, ...]:
        """Return the servers that are not excluded by permit."""
        out = self.acts.out
        return tuple([address for address in servers if address not in out]) if out else servers

    def _to_peers(self, generation: int, held: Held, hardware: str, request: Request) -> Way:
        peers = held.peers or {}
        nodes = peers.get(hardware, ()) if hardware else tuple(a for c in sorted(peers) for a in peers[c])
        if not nodes:
            return Way(generation, refused=f"no node of {hardware or 'any class'} is there to run it")
        order = rendezvous_order(request.subject, [(f"{h}:{p}", 1) for h, p in nodes])
        by_load = sorted(order, key=lambda at: self.load(nodes[at]))
        return Way(generation, tuple(nodes[at] for at in by_load), steered=True)
