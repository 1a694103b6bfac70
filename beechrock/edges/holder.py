"""The replayer of an edge: the duty's holder offers queued writes to upstream under its fence. Pure.

Events: ``duty`` (a fence, or None), ``ends`` (upstream's results for offered writes), ``tick``.
States: without a fence it offers nothing; with a fence and a good link it offers as many writes as ``Pace``
allows; after STALE it has no fence until the duty gives a newer one.
Invariants: a write is offered only under a fence, and only once all its dependencies are known to have ended,
or once its ``keep_s`` is over, so that upstream expires it.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from beechrock.edges.causal import Dot
from beechrock.edges.replay import Pace, Picker
from beechrock.edges.words import (
    MAX_MESSAGE_BYTES,
    MIN_FENCE,
    NO_ROOM,
    Ends,
    Offer,
    Said,
    Settle,
    State,
    Told,
)

if TYPE_CHECKING:
    from beechrock.edges.edge import Edge

OFFER_TIMEOUT_S = 5.0  # Seconds after which an offer without an answer is sent again
ORDERS_INTERVAL_S = 1.0
MAX_OFFERED, MAX_EXAMINED = 64, 256  # Maximum number of writes in one offer, and examined to fill it
MAX_ORDERS_SENT = 64


@dataclass(slots=True)
class Holder:
    picker: Picker
    pace: Pace = field(default_factory=Pace)
    fence: int | None = None
    stale_fence: int = MIN_FENCE  # Highest fence that upstream called stale; up to it no fence is used again
    next_orders_at: float = 0.0
    applied: int = 0

    def duty(self, edge: "Edge", fence: int | None, now: float) -> None:
        """Set the fence under which this member replays; None means that it does not hold the duty."""
        if fence == self.fence or (fence is not None and fence <= self.stale_fence):
            return
        self.picker.requeue_all()
        self.fence = fence
        if fence is not None:
            edge.queue.rewind()
            self.pace.begin(edge.names.edge, now)

    def ends(self, edge: "Edge", now: float, word: Ends) -> None:
        """Handle upstream's results for writes that were offered, or settled without a run."""
        self.pace.credit = word.credit or self.pace.credit
        not_applied = []
        for writer, n, said_value, value, why, after_s, dots in word.ends:
            dot, said, state = Dot(writer, n), Said(said_value), State(value)
            in_flight = dot in self.picker.flights
            if said is Said.ENDED:
                edge.end(dot, state, why)
                if in_flight:
                    self.applied += state is State.APPLIED
                    self.pace.on_end()
                if state is not State.APPLIED:
                    not_applied.append((writer, n, value, why))
            elif said is Said.STALE:
                # A late answer to an offer under an earlier fence says nothing about the current one.
                if word.fence == self.fence:
                    self.picker.requeue_all()
                    self.stale_fence, self.fence = word.fence, None
            elif said is Said.LATER and in_flight:
                self.picker.requeue(dot)
                if why == NO_ROOM:
                    self.pace.pause(now)
                else:
                    self.pace.back_off(now, after_s)
            elif said is Said.BUSY and in_flight:
                self.picker.flights[dot].due_s = now + OFFER_TIMEOUT_S
            elif in_flight:
                entry = self.picker.flights[dot].entry
                self.picker.park(entry, said, tuple(Dot(w, k) for w, k in dots), now)
        if not_applied:
            for name in edge.copies.others():
                edge.send(name, Told(tuple(not_applied)))

    def ready_count(self) -> int:
        """Return the number of writes that wait and are not parked.

        Writes in flight count too, as upstream may not answer them.
        """
        return len(self.picker.queue) - len(self.picker.parked)

    def tick(self, edge: "Edge", now: float, now_s: float) -> None:
        if not edge.link.replays and self.picker.flights:
            self.picker.requeue_all()
        if now >= self.next_orders_at:
            self.next_orders_at = now + ORDERS_INTERVAL_S
            self._send_orders(edge)
        self.picker.progress(edge.ended, now)
        self._expire(edge, now, now_s)
        self._offer(edge, now, now_s)

    def _expire(self, edge: "Edge", now: float, now_s: float) -> None:
        """Offer parked writes again once their ``keep_s`` is over, so that upstream expires them."""
        for dot in [d for d, held in self.picker.parked.items() if held.until_s < now_s]:
            self.picker.parked[dot].until_s = float("inf")
            self.picker.unpark(dot, True)

    def _send_orders(self, edge: "Edge") -> None:
        """Send operators' orders to all members until they are carried out, and discards to upstream."""
        orders = tuple((dot.writer, dot.n, order) for dot, order in edge.orders.items())
        for name in edge.copies.others() if orders else ():
            edge.send(name, Told((), orders[:MAX_ORDERS_SENT]))
        ends = tuple(
            (dot.writer, dot.n, State.DISCARDED.value, "an operator discarded it")
            for dot, order in edge.orders.items()
            if order == "discard" and dot not in self.picker.flights
        )
        if ends and self.fence is not None and edge.link.straight:
            edge.send(
                edge.upstream_choice.current, Settle(edge.names.edge, self.fence, ends[:MAX_ORDERS_SENT])
            )

    def _offer(self, edge: "Edge", now: float, now_s: float) -> None:
        if self.fence is None or not edge.link.replays:
            return
        for flight in self.picker.overdue(now):
            self.pace.on_timeout(now)
            if self.pace.sent(again=True):
                self.picker.requeue(flight.entry.dot)
        available = self.pace.limit(now) - len(self.picker.flights)
        packed: list[bytes] = []
        released: list[bool] = []
        size, examined = 0, 0
        while (
            available > 0
            and len(packed) < MAX_OFFERED
            and size < MAX_MESSAGE_BYTES // 2
            and examined < MAX_EXAMINED
        ):
            examined += 1
            if (dot := self.picker.next(now)) is None:
                break
            entry = edge.entry(dot)
            if edge.orders.get(dot) == "discard":
                # Discards are sent only once per ORDERS_INTERVAL_S: in a run with real processes the write
                # was offered before its discard reached upstream.
                self.picker.park(entry, Said.HELD, (), now)
                continue
            is_released = edge.orders.get(dot) == "release"
            missing = entry.seen.missing(edge.ended) if "depends" not in edge.without else []
            if missing and now_s - entry.accepted_at <= entry.keep_s:
                self.picker.park(entry, Said.HELD, tuple(missing), now)
                continue
            self.picker.start_flight(entry, now + OFFER_TIMEOUT_S)
            self.pace.sent(again=False)
            packed.append(edge.log.entry(edge.queue.place(dot))[1:])
            released.append(is_released)
            size += len(packed[-1])
            available -= 1
        if packed:
            word = Offer(edge.names.edge, self.fence, tuple(packed), tuple(released))
            edge.send(edge.upstream_choice.current, word)
