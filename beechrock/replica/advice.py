"""The thin side of what is learned of servers below: watched at the node's SCGI side, told by the kind
``learned``, and taken from others by their start, presence and age. ``[replica] advice = true``."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from beechrock import logs
from beechrock.net.scgi_codec import ScgiError, parse_reply
from beechrock.replica.errors import ReplicaError
from beechrock.replica.health import Address, Health, Word
from beechrock.replica.priors import Advice
from beechrock.replica.records import Own
from beechrock.replica.telling import TICK_S, Givers, Pace, Teller, pack

if TYPE_CHECKING:
    from beechrock.replica.part import Replica

BUSY = 503  # says that it is full, not that it is broken
MOST_EJECTIONS = 4096
LATE = 0.5  # of a request's time, after which its end counts against the server


class Advising:
    def __init__(self, replica: "Replica", work: Any) -> None:
        self.replica, self.work, self.clock = replica, work, replica.clock
        self.health, self.pace, self.teller, self.givers = Health(), Pace(), Teller(), Givers()
        self.slowness = 1.0
        self.turned = False
        self.ejections: set[str] | None = None  # that were ever told of here; None: not read yet
        replica.on("ejection", self._ejection)
        work.watch = self._watch
        work.servers.cost = lambda address, load: self.health.cost(self.clock(), address, load)

    def _watch(self, address: Address, due_s: float) -> Callable[[bytes | None], None]:
        """A request goes there; what is given back is called with the reply, or None for no end of its own.
        ``due_s`` 0: it is connected to."""
        began = self.clock()

        def over(reply: bytes | None) -> None:
            if "{}:{}".format(*address) not in self.health.listed:
                return  # another node, or a mirror
            now = self.clock()
            if reply is None:
                if now - began >= LATE * due_s:
                    self.health.failed(now, address, now - began if due_s else 0.0)
                return
            try:
                status = parse_reply(reply)[0]
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
        """Ejected by operators; a value that begins with ``-`` says that it is well (kinds.py)."""
        if self.ejections is None:  # what the disk held
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
