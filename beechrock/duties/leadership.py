"""Leadership of this node: it makes one grantor per leadership and executes the grantor's actions.

States: another node leads (no grantor); this node leads, but its BEGIN is not in the log yet; this node leads
with a grantor. Events: ticks, members' requests, requests to move a duty.

Invariants: a grantor serves one leadership, and ticks only while this node has the leader's lease. A proposal
of an earlier grantor of this process may still arrive, and the log refuses it. The wait for old leases starts
no earlier than the last moment at which an earlier grantor could answer (quiet_period.py).
"""

from collections.abc import Callable
from functools import partial

from beechrock import logs
from beechrock.duties import grants as log
from beechrock.duties.grantor import Grantor
from beechrock.duties.grantor_data import Propose, Push, Rules
from beechrock.duties.grants import GrantTable
from beechrock.duties.messages import RenewalRequest, encode
from beechrock.duties.model import PAUSE
from beechrock.duties.ports import AgreedLogPort, TransportPort
from beechrock.duties.proposer import Proposer
from beechrock.duties.quiet_period import QuietPeriod

CHANNEL = "duties"  # transport channel for messages about duties


class Leadership:
    """Runs the grantor while this node leads.

    ``grantor`` is the grantor of the latest leadership if that belongs to this process, else None.
    """

    def __init__(
        self,
        agree: AgreedLogPort,
        transport: TransportPort,
        grants: GrantTable,
        rules: Rules,
        proposer: Proposer,
        clock: Callable[[], float],
    ) -> None:
        self._agree = agree
        self._transport = transport
        self._grants = grants
        self._rules = rules
        self._proposer = proposer
        self._clock = clock
        self._leader_epoch = 0  # epoch of the latest leadership seen in the log
        self._leading = False  # whether this node had the leader's lease at the last tick
        self._quiet = QuietPeriod()
        self.grantor: Grantor | None = None
        agree.on_lead(self._on_lead)

    def _on_lead(self, leading: bool) -> None:
        if leading and self.grantor is None:
            self._quiet.begin(self._clock())
        else:
            self._quiet.end()

    def tick(self, now_s: float) -> None:
        """Run the grantor, or propose a BEGIN if there is none; do neither without the leader's lease."""
        self._quiet.tick(now_s, PAUSE * self._grants.shortest_s(self._rules.lease_s))
        if self._grants.leader_epoch != self._leader_epoch:
            self._on_new_leader(now_s)
        leading = self._agree.leading()
        if leading is not self._leading:
            self._leading = leading
            logs.event("duties.leads", on=leading)
        if not leading:
            return
        if self.grantor is None:
            command = log.begin(self._transport.name, self._transport.life, self._agree.term)
            self._proposer.propose("begin", command)
            return
        self._execute(self.grantor, self.grantor.tick(now_s))

    def _on_new_leader(self, now_s: float) -> None:
        self._leader_epoch = self._grants.leader_epoch
        leader = (self._grants.leader, self._grants.leader_life)
        own = leader == (self._transport.name, self._transport.life)
        self.grantor = None
        if own and self._agree.leading():
            quiet_since_s = self._quiet.take(now_s)
            self.grantor = Grantor(now_s, self._grants, self._rules, quiet_since_s=quiet_since_s)
        logs.event("duties.reign", reign=self._leader_epoch, leader=self._grants.leader)

    def _execute(self, grantor: Grantor, actions: list[Propose | Push]) -> None:
        for action in actions:
            match action:
                case Propose(name, command, reason):
                    logs.event("duties.grant", name=name, why=reason)
                    # The key contains the epoch, because a proposal of an earlier grantor of this node may
                    # still be pending and must not block this one.
                    self._proposer.propose(
                        f"grant {name} {grantor.leader_epoch}",
                        command,
                        partial(grantor.on_proposal_settled, name),
                    )
                case Push(member, reply, name, reason):
                    logs.event("duties.ask_back", name=name, holder=member, why=reason)
                    self._transport.send(member, CHANNEL, encode(reply))

    def on_request(self, now_s: float, sender: str, request: RenewalRequest) -> None:
        """Answer a member's request if this node leads."""
        grantor = self.grantor
        if grantor is None or grantor.leader_epoch != self._grants.leader_epoch:
            return
        reply = grantor.on_request(now_s, sender, request, self._agree.leading())
        if reply is not None:
            self._transport.send(sender, CHANNEL, encode(reply))

    def on_move_request(self, now_s: float, sender: str, name: str) -> None:
        """Ask a holder to yield, as requested by an operator at the node ``sender``."""
        if self.grantor is not None:
            reason = self._move(self.grantor, now_s, name)
            logs.event("duties.move", name=name, by=sender, refused=reason)

    def next_expiry_s(self, now_s: float) -> float:
        """Return the clock time at which the next lease expires, or infinity without a grantor or lease."""
        return self.grantor.next_expiry_s(now_s) if self.grantor is not None else float("inf")

    def leads_with_grantor(self) -> bool:
        """Return whether this node has a grantor and the leader's lease now."""
        return self.grantor is not None and self._agree.leading()

    def move(self, name: str) -> str:
        """Ask a holder to yield; return the reason why that is not possible, or an empty string."""
        if self.grantor is None:
            return "this node does not lead"
        return self._move(self.grantor, self._clock(), name)

    def _move(self, grantor: Grantor, now_s: float, name: str) -> str:
        reason, actions = grantor.move(now_s, name)
        self._execute(grantor, actions)
        return reason
