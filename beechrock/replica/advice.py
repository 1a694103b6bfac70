"""Exchanges advice about upstream servers: observes the node's SCGI requests, publishes the results as a
record of the kind ``learned``, and weighs the records of other nodes. Enabled by ``[replica] advice =
true``."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.net.scgi_codec import ScgiError, parse_reply
from beechrock.replica.errors import ReplicaError
from beechrock.replica.health import Address, Health, Word
from beechrock.replica.priors import Advice
from beechrock.replica.records import Own
from beechrock.replica.telling import TICK_S, LoopPace, PeerReports, ReportSchedule, pack

if TYPE_CHECKING:
    from beechrock.replica.part import Replica

STATUS_BUSY = 503  # The server is overloaded, not broken: counts neither as success nor as failure.
MAX_EJECTIONS = 4096  # Maximum number of servers whose ejection by operators is remembered.
# Share of a request's time limit; a request that ends without a reply after it counts as a failed one.
LATE_SHARE = 0.5


class Advising:
    """Advice about upstream servers at one node."""

    def __init__(self, replica: "Replica", work: Any) -> None:
        self.replica, self.work, self.clock = replica, work, replica.clock
        self.health, self.pace, self.schedule, self.peer_reports = (
            Health(),
            LoopPace(),
            ReportSchedule(),
            PeerReports(),
        )
        self.slowness = 1.0  # Ratio of this node's loop interval to its usual one.
        # Whether a server's state has changed by own observations since the last report.
        self.state_changed = False
        # Keys of all ``ejection`` records seen by this process; None until the table has been read.
        self.ejections: set[str] | None = None
        replica.on("ejection", self._on_ejection)
        work.watch = self._observe_request
        work.servers.cost = lambda address, load: self.health.cost(self.clock(), address, load)

    def _observe_request(self, address: Address, due_s: float) -> Callable[[bytes | None], None]:
        """Start timing a request to ``address``. Return the function to call with its reply, or with None if
        there was no reply. ``due_s`` is the request's time limit in seconds, 0 for a connection attempt."""
        began = self.clock()

        def finished(reply: bytes | None) -> None:
            if "{}:{}".format(*address) not in self.health.listed:
                return  # The address is another node's or a mirror's, not one of a listed server.
            now = self.clock()
            if reply is None:
                if now - began >= LATE_SHARE * due_s:
                    self.health.failed(now, address, now - began if due_s else 0.0)
                return
            try:
                status = parse_reply(reply)[0]
            except ScgiError:
                status = 0
            if status == STATUS_BUSY:
                return
            if 0 < status < 500:
                self.health.good(now, address, now - began)
            else:
                self.health.failed(now, address)

        return finished

    async def run(self) -> None:
        while self.replica.broken is None:
            self.tick(self.clock())
            await asyncio.sleep(TICK_S)

    def tick(self, now: float) -> None:
        self.slowness = self.pace.tick(now)
        self.health.advise(
            now, self._peer_advice(now), self.work.servers.upstreams, self._ejected_by_operators()
        )
        for address, cause in self.health.transitions:
            server = "{}:{}".format(*address)
            logs.event("replica.server", server=server, why=cause)
            self.replica.counters.add(f"replica.servers_{cause}")
            self.state_changed = self.state_changed or cause != "advice"
        self.health.transitions.clear()
        words = self.health.words(now)
        if self.schedule.due(now, words, self.state_changed, self.slowness):
            self.state_changed = False
            try:
                self.replica.own("learned", self.replica.core.name, pack(self.slowness, words))
            except ReplicaError as error:
                self.replica.counters.add(f"replica.not_told.{type(error).__name__}")

    def _on_ejection(self, server: str) -> None:
        if self.ejections is not None and len(self.ejections) < MAX_EJECTIONS:
            self.ejections.add(server)

    def _ejected_by_operators(self) -> frozenset[Address]:
        """Return the servers that operators ejected. A value that begins with ``-`` marks a server as healthy
        (kinds.py)."""
        if self.ejections is None:  # The first call reads the records that were loaded from the disk.
            records = self.replica.core.table.of_kind("ejection")
            self.ejections = {record.key for record in records}
        listed, acting = self.health.listed, self.replica.core.table.acting
        return frozenset(
            listed[server]
            for server in self.ejections
            if server in listed and not (acting("ejection", server) or b"-").startswith(b"-")
        )

    def _peer_advice(self, now: float) -> list[tuple[Advice, Word]]:
        core, advice_found = self.replica.core, list[tuple[Advice, Word]]()
        present = set(core.present(now))
        for peer in core.others:
            state = core.table.state(b"learned\0" + peer.encode())
            if not isinstance(state, Own):
                continue
            trusted = (
                peer in present
                and core.peer_states[peer].stage == "whole"
                and state.life == self.replica.talk.heard.last.get(peer, (0, 0))[0]
            )
            try:
                advice_found += self.peer_reports.advice(now, peer, state.life, state.n, state.value, trusted)
            except ReplicaError:
                self.replica.counters.add("replica.advice_unread")
        return advice_found

    def view(self) -> dict[str, Any]:
        """Return the state of all observed servers, for operators."""
        now, health = self.clock(), self.health
        ejected_by_operators = sorted("{}:{}".format(*ejected) for ejected in health.ejected_by_operators)
        return {
            "slowness": round(self.slowness, 2),
            "by_hand": ejected_by_operators,
            "servers": {
                "{}:{}".format(*address): {
                    "state": server.state(now).value,
                    "last": address in health.tried_last,
                    "advised": server.advised,
                    "seen": server.observations,
                    "fails": server.consecutive_failures,
                    "mean_ms": round(1000 * server.latency.mean, 2),
                    "prior_ms": round(1000 * server.latency.prior, 2),
                    "weight": round(server.latency.weight, 2),
                }
                for address, server in health.servers.items()
            },
        }
