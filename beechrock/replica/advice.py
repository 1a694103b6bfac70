"""Exchanges advice about upstream servers: observes the node's SCGI requests, publishes the results as a
record of the kind ``learned``, and weighs the records of other nodes. Enabled by ``[replica] advice =
true``."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.net.scgi_codec import ScgiError, reply_of
from beechrock.replica.errors import ReplicaError
from beechrock.replica.health import Address, Health, Word
from beechrock.replica.priors import Advice
from beechrock.replica.records import Own
from beechrock.replica.telling import TICK_S, Givers, Pace, Teller, pack

if TYPE_CHECKING:
    from beechrock.replica.part import Replica

BUSY = 503  # The server is overloaded, not broken: counts neither as success nor as failure.
MOST_EJECTIONS = 4096  # Maximum number of servers whose ejection by operators is remembered.
# Share of a request's time limit; a request that ends without a reply after it counts as a failed one.
LATE = 0.5


class Advising:
    def __init__(self, replica: "Replica", work: Any) -> None:
        self.replica, self.work, self.clock = replica, work, replica.clock
        self.health, self.pace, self.teller, self.givers = Health(), Pace(), Teller(), Givers()
        self.slowness = 1.0
        self.turned = False  # Whether a server's state changed by own observations since the last report.
        # Keys of all ``ejection`` records seen by this process; None until the table has been read.
        self.ejections: set[str] | None = None
        replica.on("ejection", self._ejection)
        work.watch = self._watch
        work.servers.cost = lambda address, load: self.health.cost(self.clock(), address, load)

    def _watch(self, address: Address, due_s: float) -> Callable[[bytes | None], None]:
        """Start timing a request to ``address``. Return the function to call with its reply, or with None if
        there was no reply. ``due_s`` is the request's time limit in seconds, 0 for a connection attempt."""
        began = self.clock()

        def over(reply: bytes | None) -> None:
            if "{}:{}".format(*address) not in self.health.listed:
                return  # The address is another node's or a mirror's, not one of a listed server.
            now = self.clock()
            if reply is None:
                if now - began >= LATE * due_s:
                    self.health.failed(now, address, now - began if due_s else 0.0)
                return
            try:
                status = reply_of(reply)[0]
            except ScgiError:
                status = 0
            if status == BUSY:
                return
            if 0 < status < 500:
                self.health.good(now, address, now - began)
            else:
                self.health.failed(now, address)

        return over

    async def run(self) -> None:
        while self.replica.broken is None:
            self.tick(self.clock())
            await asyncio.sleep(TICK_S)

    def tick(self, now: float) -> None:
        self.slowness = self.pace.tick(now)
        self.health.advise(now, self._told(now), self.work.servers.upstreams, self._by_hand())
        for address, why in self.health.turned:
            server = "{}:{}".format(*address)
            logs.event("replica.server", server=server, why=why)
            self.replica.counters.add(f"replica.servers_{why}")
            self.turned = self.turned or why != "advice"
        self.health.turned.clear()
        words = self.health.words(now)
        if self.teller.due(now, words, self.turned, self.slowness):
            self.turned = False
            try:
                self.replica.own("learned", self.replica.core.name, pack(self.slowness, words))
            except ReplicaError as error:
                self.replica.counters.add(f"replica.not_told.{type(error).__name__}")

    def _ejection(self, server: str) -> None:
        if self.ejections is not None and len(self.ejections) < MOST_EJECTIONS:
            self.ejections.add(server)

    def _by_hand(self) -> frozenset[Address]:
        """Return the servers that operators ejected. A value that begins with ``-`` marks a server as healthy
        (kinds.py)."""
        if self.ejections is None:  # The first call reads the records that were loaded from the disk.
            held = self.replica.core.table.of_kind("ejection")
            self.ejections = {record.key for record in held}
        listed, acting = self.health.listed, self.replica.core.table.acting
        return frozenset(
            listed[one]
            for one in self.ejections
            if one in listed and not (acting("ejection", one) or b"-").startswith(b"-")
        )

    def _told(self, now: float) -> list[tuple[Advice, Word]]:
        core, found = self.replica.core, list[tuple[Advice, Word]]()
        present = set(core.present(now))
        for giver in core.others:
            state = core.table.state(b"learned\0" + giver.encode())
            if not isinstance(state, Own):
                continue
            there = (
                giver in present
                and core.heard[giver].stage == "whole"
                and state.life == self.replica.talk.heard.last.get(giver, (0, 0))[0]
            )
            try:
                found += self.givers.advice(now, giver, state.life, state.n, state.value, there)
            except ReplicaError:
                self.replica.counters.add("replica.advice_unread")
        return found

    def view(self) -> dict[str, Any]:
        now, health = self.clock(), self.health
        by_hand = sorted("{}:{}".format(*one) for one in health.by_hand)
        return {
            "slowness": round(self.slowness, 2),
            "by_hand": by_hand,
            "servers": {
                "{}:{}".format(*address): {
                    "state": one.state(now).value,
                    "last": address in health.last,
                    "advised": one.advised,
                    "seen": one.seen,
                    "fails": one.fails,
                    "mean_ms": round(1000 * one.latency.mean, 2),
                    "prior_ms": round(1000 * one.latency.prior, 2),
                    "weight": round(one.latency.weight, 2),
                }
                for address, one in health.servers.items()
            },
        }
