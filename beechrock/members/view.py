"""A member's view of itself and of all others, and how updates change it; pure.

Of two statuses the greater one wins. ``detector`` describes a member's states, the events and the invariants;
its class ``FailureDetector`` adds the probes.
"""

import math
import random
from collections import deque
from dataclasses import replace

from beechrock.members.halls import HallTable
from beechrock.members.known import DeadlineQueue, GossipQueue, KnownMember
from beechrock.members.messages import (
    MAX_UPDATES,
    Ack,
    Action,
    Displaced,
    MemberState,
    Message,
    Ping,
    PingRequest,
    PingRequestAck,
    Send,
    Status,
    StatusChanged,
    Update,
)
from beechrock.members.name_pool import NamePool

# An update is passed on this many times log2(n + 2) times, so that all members get it with high probability.
GOSSIP_FACTOR = 4.0
HELPERS = 3  # Number of members that are asked to probe a member that did not answer
MAX_LOCAL_HEALTH = 7  # Worst local health score; timeouts are at most 1 + this many times as long
MIN_SUSPICION_PERIODS = 4.0  # Length of the shortest suspicion, in periods: this times log10(members)
MAX_SUSPICION_FACTOR = 6.0  # Length of a suspicion with one accuser, as a multiple of the shortest
HEALING_PERIODS = 10  # Periods after a dead member's return in which each round probes several dead ones
FORGET_PERIODS = 300  # Periods for which dead and departed members are kept
REFUTE_ANSWERS = 4  # Direct answers to the last REFUTE_PROBES probes needed to refute a reported death
REFUTE_PROBES = 8  # Twice the answers needed, as with 30% loss each way 0.49 of the probes are answered
# Periods after a reported death in which a refutation needs direct answers: as long as others remember it.
PROVING_PERIODS = 300


class MembershipView:
    """One member's own status and its records of the others.

    ``life`` is greater for each new process of the name. Times are seconds of a monotonic clock.
    """

    def __init__(
        self,
        name: str,
        address: str,
        life: int,
        now_s: float,
        seed: int,
        period_s: float,
        hall: str,
    ) -> None:
        self.name = name
        self.period_s = period_s
        self.me = Update(name, address, Status(life, 0, MemberState.ALIVE), hall=hall)
        self.known: dict[str, KnownMember] = {}
        self.local_health = 0  # 0 is best (Lifeguard's local health multiplier)
        self.generation = 0  # Grows with each change of the view
        self.displaced = False  # Whether a newer process has this member's name
        self.accusation: Status | None = None  # Suspicion or death of this member that it has not refuted yet
        self.healing_until_s = now_s  # End of the time in which several dead members are probed each round
        self.proving_until_s = now_s  # Until then a refutation needs enough direct answers
        # Whether each of the last probes was answered by the probed member itself, newest last.
        self.direct_answers: deque[bool] = deque(maxlen=REFUTE_PROBES)
        self.random = random.Random(seed)
        self.last_tick_s = now_s
        # Indexes of ``known``, so that a step need not scan all members of a large fleet.
        self.living = NamePool()  # Alive or suspected members
        self.dead = NamePool()
        self.halls = HallTable(hall)
        self.gossip_queue = GossipQueue()
        self.deadlines = DeadlineQueue()
        self._actions: list[Action] = []
        self._numbers = 0

    def statuses(self) -> dict[str, Status]:
        """Return the status of each known member, this one first."""
        others = {name: known.update.status for name, known in self.known.items()}
        return {self.name: self.me.status, **others}

    # --- updates

    def _apply(self, update: Update, now_s: float, reason: str, gossip: bool = True) -> None:
        """Apply an update. ``gossip``: pass it on even if the member was not known here before."""
        if update.name == self.name:
            self._apply_to_self(update)
            return
        known = self.known.get(update.name)
        if known is not None and update.status <= known.update.status:
            self._apply_not_newer(known, update, now_s)
        else:
            self._apply_newer(known, update, now_s, reason, gossip)

    def _apply_not_newer(self, known: KnownMember, update: Update, now_s: float) -> None:
        status, known_status = update.status, known.update.status
        if status == known_status and status.state is MemberState.SUSPECT and update.accuser:
            self._confirm_suspicion(known, update.accuser, now_s)
        if update.hall and not known.update.hall and status.life == known_status.life:
            # The first update came without the hall, through a member of an earlier version.
            known.update = replace(known.update, hall=update.hall)
            self._set_hall(update.name, update.hall, known_status.state)
        # The dead member still sends, but has not refuted its death. If it were forgotten after 300 periods
        # of a partition, its old status would make it a new living member at once.
        if known_status.state is MemberState.DEAD and status.state is MemberState.ALIVE:
            self.deadlines.set(known, now_s + FORGET_PERIODS * self.period_s)
        # Some members declared the member dead before its refutation reached them. Notify it, so that its
        # next refutation needs direct answers.
        died = status.state is MemberState.DEAD and known_status.state < MemberState.DEAD
        if died and status.life == known_status.life:
            self._notify_subject(known.update.address, update)

    def _apply_newer(
        self,
        known: KnownMember | None,
        update: Update,
        now_s: float,
        reason: str,
        gossip: bool,
    ) -> None:
        state = update.status.state
        previous = known.update.status.state if known is not None else None
        if known is None and state >= MemberState.DEAD:
            reason = f"{reason}, never met alive"
        if known is not None and not update.hall and update.status.life == known.update.status.life:
            update = replace(update, hall=known.update.hall)
        # A new member in a full state is known to the sender and to others, so it is not gossiped. Otherwise
        # 100 members that had met by full states gossiped about each other for half an hour, at three times
        # the cost of a calm fleet.
        self._store(known, update, now_s, gossip or known is not None)
        self.generation += 1
        self._on_status(update)
        self._actions.append(StatusChanged(update, previous, reason))
        self._set_hall(update.name, update.hall, state)
        if previous is MemberState.DEAD and state is MemberState.ALIVE:
            self.healing_until_s = now_s + HEALING_PERIODS * self.period_s
            self._on_return()
        # Some of the members that learn of a suspicion notify the suspect. With probes alone, at 10% loss and
        # with pauses, the suspect learnt of its suspicion, or the accuser of the refutation, too late.
        if state is MemberState.SUSPECT:
            self._notify_subject(update.address, update)

    def _store(self, known: KnownMember | None, update: Update, now_s: float, gossip: bool) -> None:
        """Replace the member's record, queue its gossip and set its deadline."""
        name, state = update.name, update.status.state
        fresh = KnownMember(update, now_s)
        times = self._gossip_times()
        self.known[name] = fresh
        self.living.set_member(name, state < MemberState.DEAD)
        self.dead.set_member(name, state is MemberState.DEAD)
        if known is not None:
            known.pending_gossip = None
        if gossip:
            self.gossip_queue.add(fresh, times, len(self.known))
        if state is MemberState.SUSPECT:
            fresh.accusers.add(update.accuser)
            self.deadlines.set(fresh, now_s + self._suspicion_s(1))
        elif state >= MemberState.DEAD:
            self.deadlines.set(fresh, now_s + FORGET_PERIODS * self.period_s)

    def _set_hall(self, name: str, hall: str, state: MemberState | None) -> None:
        changed = self.halls.update(name, hall, state)
        if changed is not None:
            self._actions.append(changed)

    def _on_return(self) -> None:
        """Do nothing; overridden to act when a dead member is alive again."""

    def _on_status(self, update: Update) -> None:
        """Do nothing; overridden to act on each new status, which may make an open probe pointless."""

    def _notify_subject(self, address: str, update: Update) -> None:
        """Send the update to its subject at random.

        Of all members that learn of the update, about ``HELPERS`` send it.
        """
        if self.random.random() < HELPERS / max(1, len(self.living)):
            self._send(address, Ping(self._next_number(), updates=(update,)))

    # --- suspicion of others

    def _confirm_suspicion(self, known: KnownMember, accuser: str, now_s: float) -> None:
        """Shorten the suspicion if the accuser is new to it; at most ``HELPERS`` further accusers count.

        Members that only pass a suspicion on are no accusers: when they counted, at 30% loss, each suspicion
        had the shortest length.
        """
        if accuser not in known.accusers and len(known.accusers) <= HELPERS:
            known.accusers.add(accuser)
            known.update = replace(known.update, accuser=accuser)
            self.gossip_queue.add(known, self._gossip_times(), len(self.known))
            confirmed_s = known.since_s + self._suspicion_s(len(known.accusers))
            self.deadlines.set(known, min(known.ends_at_s, confirmed_s))

    def _suspicion_s(self, accusers: int) -> float:
        """Return how long a suspicion lasts, in seconds.

        It is longest with one accuser and shortest once ``HELPERS`` others confirm it. It grows with the
        local health score, as this member may itself be too slow to receive answers in time.
        """
        fleet_factor = max(1.0, math.log10(len(self.known) + 1))
        shortest_s = MIN_SUSPICION_PERIODS * fleet_factor * self.period_s * (1 + self.local_health)
        confirmed = math.log(accusers) / math.log(HELPERS + 1)
        return max(
            shortest_s,
            MAX_SUSPICION_FACTOR * shortest_s - (MAX_SUSPICION_FACTOR - 1) * shortest_s * confirmed,
        )

    def _postpone_deadlines(self, gap_s: float) -> None:
        for known in self.known.values():
            known.ends_at_s += gap_s

    def _forget(self, name: str) -> None:
        self.known.pop(name).pending_gossip = None
        self.living.set_member(name, False)
        self.dead.set_member(name, False)
        self._set_hall(name, "", None)

    # --- accusations of this member

    def _apply_to_self(self, update: Update) -> None:
        own, theirs = self.me.status, update.status
        if theirs.life > own.life:
            self.displaced = True
            self._actions.append(Displaced(theirs.life, update.address))
            return
        if theirs.life < own.life or own.state is not MemberState.ALIVE:
            return
        # Also for the death of an earlier incarnation: that refutation reached some members too late.
        if theirs.state is MemberState.DEAD:
            self.proving_until_s = self.last_tick_s + PROVING_PERIODS * self.period_s
        if theirs > own:
            self.accusation = max(theirs, self.accusation or theirs)
            self._refute_if_reachable()

    def _record_answer(self, direct: bool) -> None:
        """Record whether the last probe was answered by the probed member itself."""
        self.direct_answers.append(direct)
        self._refute_if_reachable()

    def _refute_if_reachable(self) -> None:
        """Refute at once; after a reported death only if enough of the last probes were answered directly.

        Otherwise a member that can reach only one other member flaps, as that member relays the reports of
        its death to it and its refutations to the others. In the simulator, among nine members, the others
        saw it die and return 7 to 41 times in 300 s.
        """
        proving = self.last_tick_s < self.proving_until_s
        if self.accusation is None or (proving and sum(self.direct_answers) < REFUTE_ANSWERS):
            return
        refuted, self.accusation = self.accusation, None
        if refuted.state is MemberState.DEAD:
            self.direct_answers.clear()
        self._refute(refuted)

    def _refute(self, refuted: Status) -> None:
        """Raise the incarnation above the refuted one.

        The change is reported before the new status is sent, so that in a history the process itself is the
        first to report each of its incarnations.
        """
        status = Status(refuted.life, refuted.incarnation + 1, MemberState.ALIVE)
        self.me = replace(self.me, status=status)
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        self.generation += 1
        reason = f"alive, although {refuted.state.name.lower()} to others"
        self._actions.append(StatusChanged(self.me, MemberState.ALIVE, reason))

    # --- sending

    def _gossip_times(self) -> int:
        return math.ceil(GOSSIP_FACTOR * math.log2(len(self.known) + 2))

    def _updates_to_send(self, preferred: tuple[Update, ...]) -> tuple[Update, ...]:
        """Return the updates for one message.

        This member's own update is always the first, so that its restart is known at once. The ``preferred``
        ones follow, then those with the most gossip times left.
        """
        updates = [update for update in preferred if update.name != self.name]
        if self.gossip_queue.heap:  # Nearly always empty while no status changes
            self.gossip_queue.fill(updates, MAX_UPDATES - 1)
        return (self.me, *updates)

    def _send(self, address: str, message: Message) -> None:
        updates = self._updates_to_send(message.updates)
        match message:
            case Ping(number, target):
                message = Ping(number, target, updates)
            case PingRequest(number, target, target_address):
                message = PingRequest(number, target, target_address, updates)
            case Ack(number, target):
                message = Ack(number, target, updates)
            case PingRequestAck(number):
                message = PingRequestAck(number, updates)
        self._actions.append(Send(address, message))

    def _next_number(self) -> int:
        self._numbers += 1
        return self._numbers

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
