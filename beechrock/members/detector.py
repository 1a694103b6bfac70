"""Failure detection by SWIM with local health (Lifeguard); pure.

``tick`` and ``receive`` return actions: messages to send and changes to report. States of another member:
ALIVE, SUSPECT, DEAD, LEFT, in this order; a status is (life, incarnation, state). Events: a tick with the
time, a message with its sender. Times are seconds of a monotonic clock.

Invariants, even if messages are lost, duplicated, delayed or reordered:
- the known status of a member never decreases in the order (life, incarnation, state) until the member is
  forgotten;
- only a process itself raises its incarnation, and only a process with a greater life replaces it;
- a member's own status is ALIVE, or LEFT once it has left; its life never changes;
- a message carries at most ``MAX_UPDATES`` updates; at most one regular probe is open;
- a member that was declared dead refutes this only after ``REFUTE_ANSWERS`` of its last ``REFUTE_PROBES``
  probes were answered by the probed member itself, and answers used for one refutation do not count for the
  next. So a member that most others cannot reach stays dead to all, and does not flap on what a few relay.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from beechrock.members.messages import (
    Ack,
    Action,
    FullState,
    MemberState,
    Message,
    Ping,
    PingRequest,
    PingRequestAck,
    StartSync,
    Status,
    Update,
)
from beechrock.members.state_sync import EARLY_SYNC_ROUNDS, StateSync
from beechrock.members.view import HELPERS, MAX_LOCAL_HEALTH

ISOLATED_PROBES = 3  # Consecutive probes without any message received, after which a member is isolated
MAX_TICK_GAP_PERIODS = 0.5  # A longer time between two ticks, in periods, counts as a pause of this process
DEAD_PROBE_ROUNDS = 5  # Rounds from one probe of a dead member, and of the seeds, to the next
SYNC_ROUNDS = 30  # Rounds from one exchange of full states to the next


@dataclass(slots=True)
class Probe:
    """The open probe of this round: sent directly first, then through helpers."""

    number: int
    target: str
    indirect_at_s: float  # Time at which helpers are asked, if no answer has come
    helpers: int = 0  # Number of helpers asked
    helper_acks: int = 0  # Number of helpers that acknowledged the request
    indirect: bool = False  # Whether helpers have been asked


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of another member; the answer is relayed under the requester's number."""

    requester_address: str
    requester_number: int
    ends_at_s: float  # Time after which an answer is no longer relayed


class FailureDetector(StateSync):
    """One member's view of the fleet, and its probes.

    ``life`` is greater for each new process of the name.
    """

    def __init__(
        self,
        name: str,
        address: str,
        life: int,
        now_s: float,
        seed: int,
        seeds: Iterable[str] = (),
        period_s: float = 1.0,
        timeout_s: float = 0.3,
        hall: str = "",
    ) -> None:
        super().__init__(name, address, life, now_s, seed, period_s, hall)
        self.timeout_s = timeout_s
        self.seeds = [seed for seed in seeds if seed != address]
        self.rounds = 0
        self.syncs = 0  # Number of exchanges of full states that this member scheduled and began
        self.sync_at_round = EARLY_SYNC_ROUNDS
        self.large_syncs_in_row = 0
        self.silent_probes = 0  # Consecutive probes without any message received
        self.next_probe_at_s = now_s
        self.probe: Probe | None = None
        self.relayed: dict[int, RelayedProbe] = {}  # Keyed by this member's probe number
        self.probe_order: list[str] = []  # Members still to be probed in this pass, the next one last

    # --- events

    def tick(self, now_s: float) -> list[Action]:
        """Advance the time; must be called at least ten times per period."""
        if self.displaced:
            return []
        delay_s = now_s - self.last_tick_s - MAX_TICK_GAP_PERIODS * self.period_s
        if delay_s > 0 and self.last_tick_s < now_s:
            self._on_pause(now_s - self.last_tick_s)
        self.last_tick_s = now_s
        for name in self.deadlines.expired(now_s, self.known):
            self._on_deadline(name, now_s)
        if self.relayed:
            self.relayed = {
                number: relayed for number, relayed in self.relayed.items() if relayed.ends_at_s > now_s
            }
        self._start_indirect_probe(now_s)
        if now_s >= self.next_probe_at_s:
            self._end_probe(now_s)
            self._start_round(now_s)
        return self._take_actions()

    def receive(self, sender: str, address: str, message: Message, now_s: float) -> list[Action]:
        """Process a message received from ``address``; the codec has authenticated its ``sender``."""
        if self.displaced or sender == self.name:
            return []
        self.silent_probes = 0
        # This member has just joined, or a member unknown to it answered, such as a seed after a long
        # partition. An exchange of full states brings everything at once.
        unknown_answered = isinstance(message, Ack) and sender not in self.known
        if unknown_answered or (not self.known and not isinstance(message, FullState)):
            self._actions.append(StartSync(address))
        for update in message.updates:
            self._apply_received(sender, message, update, now_s)
        if not self.displaced:
            self._respond(sender, address, message, now_s)
        return self._take_actions()

    def leave(self, now_s: float) -> list[Action]:
        """Announce the departure to some members; they pass it on."""
        status = self.me.status
        self.me = replace(self.me, status=Status(status.life, status.incarnation, MemberState.LEFT))
        for name in self.living.sample(self.random, HELPERS):
            self._send(self.known[name].update.address, Ping(self._next_number()))
        return self._take_actions()

    def join(self) -> list[Action]:
        """Probe the seeds, all of which may be down; ``tick`` repeats this until a member is found alive."""
        self._probe_seeds()
        return self._take_actions()

    @property
    def isolated(self) -> bool:
        """Whether this member receives no messages; its view is then stale and proves nothing."""
        return self.silent_probes >= ISOLATED_PROBES

    # --- messages

    def _apply_received(self, sender: str, message: Message, update: Update, now_s: float) -> None:
        full_state = isinstance(message, FullState)
        # Members forget a dead member at different times. Without this check, the first member to forget it
        # would learn of it again from a full state, and so on without end.
        if full_state and update.status.state >= MemberState.DEAD and update.name not in self.known:
            return
        self._apply(update, now_s, f"reported by {sender}", gossip=not full_state)

    def _respond(self, sender: str, address: str, message: Message, now_s: float) -> None:
        match message:
            case Ping(number, target):
                self._send(address, Ack(number, target))
            case PingRequest(number, target, target_address):
                self._send(address, PingRequestAck(number))
                own_number = self._next_number()
                ends_at_s = now_s + self.period_s * (1 + self.local_health)
                self.relayed[own_number] = RelayedProbe(address, number, ends_at_s)
                self._send(target_address, Ping(own_number, indirect_target=target))
            case Ack(number, target):
                self._on_ack(sender, number, target)
            case PingRequestAck(number):
                if self.probe is not None and self.probe.number == number:
                    self.probe.helper_acks += 1

    def _on_ack(self, sender: str, number: int, indirect_target: str) -> None:
        if number in self.relayed:
            relayed = self.relayed.pop(number)
            self._send(relayed.requester_address, Ack(relayed.requester_number, indirect_target=sender))
        elif self.probe is not None and self.probe.number == number:
            self.probe = None
            self.local_health = max(0, self.local_health - 1)
            self._record_answer(direct=not indirect_target)

    # --- the probes of one round

    def _start_round(self, now_s: float) -> None:
        self.rounds += 1
        # A member with an accusation to refute accuses nobody, so its local health need not slow its probes.
        # Slowed down, a member that had been cut off from all needed 13 to 27 s to return.
        slowdown = self.local_health if self.accusation is None else 0
        self.next_probe_at_s = now_s + self.period_s * (1 + slowdown)
        # Halves of a fleet that are split for longer than the dead are kept forget each other; only probes of
        # the seeds bring them together again.
        if not self.living or self.rounds % DEAD_PROBE_ROUNDS == 0:
            self._probe_seeds()
        if self.rounds >= self.sync_at_round:
            self._start_sync()
        self._probe_dead(now_s)
        self._probe_next(now_s)

    def _start_sync(self) -> None:
        self.sync_at_round = self.rounds + SYNC_ROUNDS
        self.syncs += 1
        # Every second exchange is with a dead member: after a partition it knows the other side.
        with_dead = self.dead and self.syncs % 2 == 0
        for name in (self.dead if with_dead else self.living).sample(self.random, 1):
            self._actions.append(StartSync(self.known[name].update.address))

    def _probe_dead(self, now_s: float) -> None:
        """Probe one dead member every few rounds, and several per round while the fleet heals.

        After a partition these probes bring the two sides together, and when one dead member is back, others
        may be back too. In the benchmark 40 members heal in 7 s, and took 18 s with one probe at a
        time. Gossiping the deaths instead took 23 to 33 s, because the other side then received this side's
        claims about its own members.
        """
        healing = now_s < self.healing_until_s
        if healing or self.rounds % DEAD_PROBE_ROUNDS == 0:
            for name in self.dead.sample(self.random, HELPERS if healing else 1):
                update = self.known[name].update
                self._send(update.address, Ping(self._next_number(), updates=(update,)))

    def _probe_next(self, now_s: float) -> None:
        """Probe the next living member; all are probed once, in random order, before any is probed again."""
        while self.probe_order and self.probe_order[-1] not in self.living:
            self.probe_order.pop()
        if not self.probe_order:
            self.probe_order = list(self.living)
            self.random.shuffle(self.probe_order)
        if not self.probe_order:
            return
        target = self.probe_order.pop()
        indirect_at_s = now_s + self.timeout_s * (1 + self.local_health)
        self.probe = Probe(self._next_number(), target, indirect_at_s)
        update = self.known[target].update
        # The probe of a suspect carries the suspicion, so that the suspect can refute it at once.
        suspicion = (update,) if update.status.state is MemberState.SUSPECT else ()
        self._send(update.address, Ping(self.probe.number, updates=suspicion))

    def _probe_seeds(self) -> None:
        """Probe each seed whose address is not that of a member known to live."""
        living = {self.known[name].update.address for name in self.living}
        for address in self.seeds:
            if address not in living:
                self._send(address, Ping(self._next_number()))

    def _start_indirect_probe(self, now_s: float) -> None:
        """Ask helpers to probe the target, once, if it has not answered in time."""
        probe = self.probe
        if probe is None or probe.indirect or now_s < probe.indirect_at_s or probe.target not in self.known:
            return
        probe.indirect = True
        target_address = self.known[probe.target].update.address
        for name in self.halls.choose_helpers(self.random, self.living, probe.target, HELPERS):
            probe.helpers += 1
            request = PingRequest(probe.number, probe.target, target_address)
            self._send(self.known[name].update.address, request)

    def _end_probe(self, now_s: float) -> None:
        """Close the probe; suspect its target unless all helpers were silent or this member is accused."""
        probe, self.probe = self.probe, None
        if probe is None or probe.target not in self.known:
            return
        # Each silent helper is a sign that the fault may be this member's own.
        silent_helpers = probe.helpers - probe.helper_acks if probe.helpers else 1
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + silent_helpers)
        if probe.helpers and not probe.helper_acks:
            self.silent_probes += 1  # Probably this member's own link fails, so it accuses nobody
            if not self.isolated:  # An isolated member cannot learn whom it can reach
                self._record_answer(direct=False)
            return
        self._record_answer(direct=False)
        if self.accusation is None:
            self._suspect(probe, now_s)

    def _suspect(self, probe: Probe, now_s: float) -> None:
        known = self.known[probe.target]
        status = known.update.status
        if status.state is MemberState.ALIVE:
            suspect = Status(status.life, status.incarnation, MemberState.SUSPECT)
            update = replace(known.update, status=suspect, accuser=self.name)
            reason = f"no answer to {self.name}, nor through {probe.helper_acks} others"
            self._apply(update, now_s, reason)
        elif status.state is MemberState.SUSPECT:
            self._confirm_suspicion(known, self.name, now_s)

    # --- deadlines and pauses

    def _on_deadline(self, name: str, now_s: float) -> None:
        """Declare a suspect dead, or forget a member that was dead or had left."""
        known = self.known[name]
        status = known.update.status
        if status.state is not MemberState.SUSPECT:
            self._forget(name)
            return
        dead = Status(status.life, status.incarnation, MemberState.DEAD)
        reason = f"no answer, and no refutation; accused by {', '.join(sorted(known.accusers))}"
        self._apply(replace(known.update, status=dead, accuser=""), now_s, reason)

    def _on_pause(self, gap_s: float) -> None:
        """Drop the open probe and postpone all deadlines by the pause.

        Only this process was paused: deadlines that passed meanwhile prove nothing about the others. The next
        probe is sent at once. Postponing it by the pause as well changed no step of twelve random histories
        with pauses of up to 8 s, as the probe is due by then either way.
        """
        self.probe = None
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        self._postpone_deadlines(gap_s)

    def _on_status(self, update: Update) -> None:
        about_target = self.probe is not None and self.probe.target == update.name
        if about_target and update.status.state is not MemberState.SUSPECT:
            self.probe = None
