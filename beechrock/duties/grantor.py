"""Grantor: the leader's volatile logic, which renews leases, asks holders to yield and proposes grants.

Events: a member's request, a tick, an operator's request, the result of a proposal. The state is split over
``MemberTable`` (members), ``Renewals`` (grants) and ``HoldDown`` (unstable members); the grantor itself owns
the pending proposals and the order of the steps in a tick.

Invariants:
- A grant is replaced only if it is unclaimed, expired or given back.
- A grant that a proposal replaces is never renewed again in this leadership.
- A request is answered only while the leader's own lease is valid, checked at the time of the answer.
- After a pause of the leader or a jump of its clock, the gap does not count towards any lease.
"""

from beechrock.duties import grants as log
from beechrock.duties.candidates import Candidates, choose_holder, group_candidates
from beechrock.duties.grantor_data import HOLD_DOWN_PROPOSAL, Propose, Push, Rules, Vacancy
from beechrock.duties.grants import GrantTable
from beechrock.duties.guards import Guard
from beechrock.duties.member_table import MemberTable, alternatives
from beechrock.duties.messages import RenewalReply, RenewalRequest, RenewedLease
from beechrock.duties.model import PAUSE, Duty, Grant, Kind, Member, ineligibility_reason
from beechrock.duties.pace import HoldDown, MoveRateLimit
from beechrock.duties.placement import can_relieve, max_per_member
from beechrock.duties.renewals import Renewals

RECENT_LEASES = 0.5  # Maximum age of a member's last request, in leases, for it to be preferred as a holder
SETTLE_LEASES = 0.5  # Time, in leases, for which a new leader collects requests before it places duties
REPROPOSE_LEASES = 2.0  # Time, in leases, after which an unanswered proposal is made again
MAX_LOGGED_WAITS = 64  # Maximum number of changed hold-downs in one log entry; later entries contain the rest
TOO_MANY = "too many on one"  # reason for a yield: the member holds more duties than its limit
# Rank of a duty's kind when duties are placed: duties on which more work depends are placed first.
PLACEMENT_ORDER = {Kind.FLEET: 0, Kind.HALL: 1, Kind.SHARD: 2}

Action = Propose | Push


class Grantor:
    """Grantor of one leadership; a new object is made each time this member becomes the leader.

    ``now_s`` is a reading of the leader's own clock in all methods. ``quiet_since_s`` is the time since which
    no leader has renewed a grant, if it is earlier than ``now_s``.
    """

    def __init__(
        self,
        now_s: float,
        grants: GrantTable,
        rules: Rules,
        without: frozenset[str] = frozenset(),
        quiet_since_s: float | None = None,
    ) -> None:
        self.grants = grants
        self.rules = rules
        self.without = without
        self.leader_epoch = grants.leader_epoch
        self.began_s = now_s  # clock time of the start of this leadership
        self.last_tick_s = now_s  # clock time of the last tick
        self.proposed_s: dict[str, float] = {}  # clock time of the pending proposal, by duty
        self.unheld_reasons: dict[str, str] = {}  # reason why no member holds the duty, by duty
        self.moves = MoveRateLimit(rules.max_moves_per_s)
        self.hold_down = HoldDown(rules.hold_down_s)
        self.hold_down.restore(grants.waits, now_s)
        self.members = MemberTable(self.hold_down)
        self.renewals = Renewals(now_s if quiet_since_s is None else quiet_since_s, grants, without)

    # --- requests of members

    def on_request(
        self,
        now_s: float,
        sender: str,
        request: RenewalRequest,
        leading: bool,
    ) -> RenewalReply | None:
        """Return the reply to a member's request, or None if it is not answered.

        ``leading`` is whether the leader's own lease is valid at this moment.
        """
        if not leading and Guard.LEADER_LEASE not in self.without:
            return None  # another leader may exist already and grant the duties to other members
        if not self.members.update(now_s, sender, request):
            return None
        renewed: list[RenewedLease] = []
        yield_fences: list[int] = []
        for held in request.held:
            grant = self.grants.held.get(held.name)
            if grant is None or (grant.fence, grant.holder, grant.life) != (held.fence, sender, request.life):
                continue
            self.renewals.record_progress(now_s, held)
            if grant.fence in self.renewals.yield_requests:
                yield_fences.append(grant.fence)
            lease = self.renewals.renew(now_s, held.name, grant)
            if lease is not None:
                renewed.append(lease)
        send_supported = self.members.needs_supported(sender, request.supported_digest)
        return RenewalReply(request.seq, request.life, tuple(renewed), tuple(yield_fences), send_supported)

    # --- ticks

    def tick(self, now_s: float) -> list[Action]:
        """Return the proposals and messages that are due now."""
        self._discount_pause(now_s)
        self.last_tick_s = now_s
        fences = {grant.fence for grant in self.grants.held.values()}
        self.renewals.forget_ended(fences, self.grants.duties)
        self.members.mark_silent(now_s, self.rules.silence_s)
        load = self._load()
        limit = max_per_member(len(self.grants.duties), self.members.living_count())
        actions, vacancies = self._review(now_s, load, limit)
        if now_s >= self.began_s + SETTLE_LEASES * self.rules.lease_s:
            vacancies.sort(key=lambda vacancy: (PLACEMENT_ORDER[vacancy.duty.kind], vacancy.duty.name))
            actions += self._place(now_s, vacancies, load, limit)
        return actions + self._log_hold_downs(now_s)

    def next_expiry_s(self, now_s: float) -> float:
        """Return the clock time at which the next lease expires unless renewed, or infinity without one."""
        return self.renewals.next_expiry_s(now_s, self.grants.held.values())

    def _discount_pause(self, now_s: float) -> None:
        """Exclude a pause of the leader or a jump of its clock from the time of every lease.

        The real duration of such a gap is unknown. If it counted, a lease could expire here while its holder
        still relies on it.
        """
        gap_s = now_s - self.last_tick_s
        pause_s = PAUSE * self.grants.shortest_s(self.rules.lease_s)
        if 0.0 <= gap_s <= pause_s or Guard.LEADER_PAUSE in self.without:
            return
        # Recorded times are moved forward by the gap, but to ``now_s`` at most. After a clock that went back
        # the gap is unknown, so every recorded time becomes ``now_s``.
        shift_s = gap_s if gap_s > 0.0 else float("inf")
        self.renewals.discount_gap(now_s, shift_s)
        self.members.discount_gap(now_s, shift_s)

    def _load(self) -> dict[str, int]:
        """Return each member's number of duties, without duties that it was asked to give back."""
        load: dict[str, int] = {}
        for grant in self.grants.held.values():
            if grant.fence not in self.renewals.yield_requests:
                load[grant.holder] = load.get(grant.holder, 0) + 1
        return load

    def _review(
        self,
        now_s: float,
        load: dict[str, int],
        limit: int,
    ) -> tuple[list[Action], list[Vacancy]]:
        """Return the requests to yield, and the duties that need a holder."""
        actions: list[Action] = []
        vacancies: list[Vacancy] = []
        for name, duty in self.grants.duties.items():
            grant = self.grants.held.get(name)
            if now_s - self.proposed_s.get(name, float("-inf")) < REPROPOSE_LEASES * duty.lease_s:
                continue
            if grant is None or self._may_replace(now_s, duty, grant):
                vacancies.append(Vacancy(duty, grant))
            elif reason := self._yield_reason(now_s, duty, grant, load, limit):
                actions.append(self._request_yield(now_s, name, grant, reason))
                load[grant.holder] -= reason == TOO_MANY
        return actions, vacancies

    def _log_hold_downs(self, now_s: float) -> list[Action]:
        """Propose changed hold-downs for the log, one proposal at a time.

        If a proposal is lost, the log still differs from ``hold_down``, so the change is proposed again.
        """
        proposed_s = self.proposed_s.get(HOLD_DOWN_PROPOSAL, float("-inf"))
        if now_s - proposed_s < REPROPOSE_LEASES * self.rules.lease_s:
            return []
        changes = self.hold_down.changes(self.grants.waits, now_s, MAX_LOGGED_WAITS)
        if not changes:
            return []
        self.proposed_s[HOLD_DOWN_PROPOSAL] = now_s
        command = log.waits(changes, self.leader_epoch)
        return [Propose(HOLD_DOWN_PROPOSAL, command, f"hold-downs: {len(changes)} changed")]

    # --- grants in force

    def _yield_reason(
        self,
        now_s: float,
        duty: Duty,
        grant: Grant,
        load: dict[str, int],
        limit: int,
    ) -> str:
        """Return why the holder should yield the duty; empty if it should not, or was already asked."""
        holder = self.members.get(grant.holder)
        if holder is None or holder.life != grant.life or holder.silent:
            return ""  # the holder cannot receive a request; its lease expires instead
        if grant.fence in self.renewals.yield_requests:
            self.renewals.end_overdue_yield(now_s, duty, grant)
            return ""
        if reason := ineligibility_reason(duty, holder):
            return reason
        # The alternatives are computed only where they matter, because this iterates over all members.
        members = self.members.all()
        if self.renewals.is_stalled(now_s, duty, grant) and alternatives(duty, grant.holder, members):
            self.hold_down.record_failure(f"{holder.name}/{duty.name}", now_s)
            return "no progress while work waits"
        if load.get(grant.holder, 0) <= limit:
            return ""
        relievable = can_relieve(load, grant.holder, alternatives(duty, grant.holder, members), limit)
        return TOO_MANY if relievable and self.moves.try_move(now_s) else ""

    def _may_replace(self, now_s: float, duty: Duty, grant: Grant) -> bool:
        """Return whether the grant has expired, or is overdue to be claimed and has a recent alternative."""
        unrenewed_s = self.renewals.unrenewed_s(now_s, grant)
        if unrenewed_s >= grant.lease_s:
            return True
        overdue = self.renewals.unclaimed.is_overdue(duty.name, grant, unrenewed_s)
        return overdue and bool(alternatives(duty, grant.holder, self._recent_members(now_s)))

    def _recent_members(self, now_s: float) -> list[Member]:
        return self.members.recent(now_s, RECENT_LEASES * self.rules.lease_s)

    def _request_yield(self, now_s: float, name: str, grant: Grant, reason: str) -> Push:
        self.renewals.request_yield(now_s, grant, reason)
        reply = RenewalReply(0, grant.life, (), (grant.fence,), False)
        return Push(grant.holder, reply, name, reason)

    # --- placement

    def _place(
        self,
        now_s: float,
        vacancies: list[Vacancy],
        load: dict[str, int],
        limit: int,
    ) -> list[Action]:
        """Return a proposed holder for each vacancy that has one, and update ``load`` accordingly."""
        actions: list[Action] = []
        candidates = group_candidates(now_s, self.members.all(), self._recent_members(now_s), self.hold_down)
        for vacancy in vacancies:
            proposal = self._fill(now_s, vacancy, candidates, load, limit)
            if proposal is not None:
                actions.append(proposal)
        return actions

    def _fill(
        self,
        now_s: float,
        vacancy: Vacancy,
        candidates: Candidates,
        load: dict[str, int],
        limit: int,
    ) -> Propose | None:
        """Return the proposal of a holder, or None after recording the reason in ``unheld_reasons``."""
        duty, grant = vacancy
        passed_over = self.renewals.unclaimed.passed_over_with(duty.name, grant)
        holder = choose_holder(now_s, duty, candidates, passed_over, self.hold_down, load, limit)
        if holder is None:
            reasons = self.members.ineligibility_reasons(duty)
            self.unheld_reasons[duty.name] = f"no member that may: {reasons}"
            return None
        if not self.moves.try_move(now_s):
            self.unheld_reasons[duty.name] = f"waits: {self.rules.max_moves_per_s:g} moves a second"
            return None
        self.unheld_reasons.pop(duty.name, None)
        reason = "free"
        if grant is not None:
            reason = self.renewals.replace(duty, grant, passed_over)
            load[grant.holder] = load.get(grant.holder, 0) - 1
        load[holder.name] = load.get(holder.name, 0) + 1
        self.proposed_s[duty.name] = now_s
        replaces = grant.fence if grant is not None else 0
        command = log.grant(duty.name, holder.name, holder.life, replaces, self.leader_epoch)
        return Propose(duty.name, command, f"to {holder.name}: {reason}")

    def on_proposal_settled(self, name: str) -> None:
        """Record that the proposal has ended, whatever its result."""
        self.proposed_s.pop(name, None)

    # --- requests of an operator

    def move(self, now_s: float, name: str) -> tuple[str, list[Action]]:
        """Ask the holder to yield.

        Return the reason why that is not possible (empty if it is), and the actions to execute.
        """
        duty = self.grants.duties.get(name)
        grant = self.grants.held.get(name)
        if duty is None or grant is None:
            return self.unheld_reasons.get(name, "nobody holds it"), []
        if not alternatives(duty, grant.holder, self.members.all()):
            return "no other member may hold it", []
        self.hold_down.record_failure(f"{grant.holder}/{name}", now_s)
        return "", [self._request_yield(now_s, name, grant, "asked by an operator")]
