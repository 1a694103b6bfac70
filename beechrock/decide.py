"""All decisions of one node, sans I/O. Settings, events and actions: ``beechrock/interface.py``.

The Abacus Filter: taken is what fits its aim; a refusal names a slot with room, or asks not to try elsewhere.
"""

import math
from collections.abc import Sequence
from heapq import heappop, heappush

from beechrock import interface as api
from beechrock.interface import Downstream, Effect, Outcome, Request, Say, StopMode

FIRST_OFFSET_S = 3.0     # d0 of the design; the told longest retry-after replaces it where that is shorter,
OFFSET_AIMS = 0.6        # and this part of the mean aim: who stays away for longer comes back in a rush
OFFSET_SLOTS = 3         # d0 in slots, so that T0 = d0 / 3 and the doubling steps stay the paper's
MAX_BORROWS = 3          # N: later steps lie beyond what a caller can wait for
LAMBDA_SLOTS = 6.0       # lambda is averaged over this many slots
PEAK_KEPT = 0.995        # r_t kept from slot to slot, so that the peak of better days is unlearned
FEW = 16.0               # means forget over one mean aim, but on thin traffic not under so many samples
TENANT_KEPT = 0.995      # of a tenant's part of the traffic at each arrival: averages over 200 of them
GATE = 0.95              # share of the time to its aim that a request's predicted wait may fill
VALUE = 0.5              # root of worth for work: a class at a quarter of the mean fills half of its time
READ_PART = 0.05         # of a run: what reading may cost on one more node before a further try is a loss
CROWDING = 1.2           # runs a core: all are busy, and crowding begins at 1.5 at the least (1.8 elsewhere)
OWN = 0.35               # share of its expected time that a run, or its rest, must still have
AILING = 0.5             # completion rate / r_t under which this node, not the load, is the trouble
DROWNED = 0.5            # unread wait / mean aim at which an ailing node leaves the list
MOVE, SHED = (0.15, 0.55), (0.25, 0.75)     # predicted wait / mean aim: callers send less, and nothing
# Rules. Each ceiling leaves room for what the node learns a batch late.
MEMORY_HELD, MEMORY_RUN = 0.80, 0.93    # share of the memory that taking, and that starting, may fill
CROWD_MARGIN = 0.75      # share of the survivable crowd
OPEN_CALLS = (2.0, 8.0)  # a core, in hand where none are told; a tier refuses by itself; 2 left cores idle
CALLS_MARGIN = 0.8       # share of the told calls in hand
CALLS_FLOOR = 0.5        # part of those always used
CALLS_WINDOW = 0.9       # share of the told calls over the told time that may be used or promised
CALL_GATE = 0.5          # share of the time left that the predicted wait for a call may fill
SLOW_CALL = 2.0          # calls this many times slower than they were lately mean crowding below
DUE_MARGIN_TICKS = 3.0   # answers go out this many batches before they are due
SKIP_TICKS = 5.0         # a skip comes this many before its last moment, as its answer takes some to get out
DRAIN_MARGIN = 0.1       # share of the notice, and of the grace, kept free
DRAIN_OPEN = 0.8         # share of the grace in which callers are wanted: what is full at once only idles

OVER, HELD, SHARING, RUNNING, AT_CALL, IN_CALL = range(6)
AHEAD = (0, 1, 0, 0.5, 0.5, 0.5)     # a phase's part in the predicted waits: runs are half done in the mean
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MOOT)
Named = Sequence[api.ClassSettings | api.TenantSettings]
Queue = list[tuple[float, int]]     # a heap of (moment, request)


def _mean_aim(s: api.Settings) -> float:
    aims = [c.aim_s for c in s.classes if not c.gone] or [s.classes[0].aim_s]
    return sum(aims) / len(aims)


def _kept(values: list[float], old: Named, new: Named, fresh: float) -> list[float]:
    """By place: what was there goes on for who still stands there."""
    same = [a.name == b.name for a, b in zip(old, new, strict=False)]
    return [values[at] if at < len(same) and same[at] else fresh for at in range(len(new))]


class Meter:
    """Completions per second of full use: light load is not slowness, but what hangs when full is."""

    def __init__(self, memory_s: float) -> None:
        self.memory_s, self.work, self.count, self.busy_s = memory_s, 0.0, 0.0, 0.0

    def advance(self, passed: float, fullness: float) -> None:
        busy = passed * min(1.0, fullness)
        kept = math.exp(-busy * min(1.0, self.count / FEW) / self.memory_s)
        self.work, self.count, self.busy_s = self.work * kept, self.count * kept, self.busy_s * kept + busy

    def add(self, work: float) -> None:
        self.work, self.count = self.work + work, self.count + 1

    def wait(self, work: float) -> float:
        """Seconds until this much work is through; none while nothing is known."""
        return work * self.busy_s / self.work if self.work > 0 else 0.0


class Job:
    """One request from its reading until its answer is out and its run is over."""

    def __init__(self, req: Request, c: api.ClassSettings, now: float, work: float, calls: float) -> None:
        self.req, self.c, self.work, self.arrived, self.calls_left = req, c, work, now - req.waited_s, calls
        self.moved, self.cores_s, self.must_call = now, 0.0, calls > 0 and not c.skip_worth
        told = req.remaining_s
        self.due = max(now, self.arrived + c.give_up_s) if told is None else now + told
        self.aim_at = min(self.arrived + c.aim_s + (c.aim_stretch or 0.0) * work, self.due)
        self.useful_until = self.due if c.late_share > 0 else self.aim_at
        self.phase, self.calls, self.ran, self.answered = OVER, 0, False, False
        self.spent_in: float | None = None  # the budget period that paid for it


class Node:
    """Decides for one node; ``decide`` takes all that happened at ``now`` and gives what to do."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        s = self.s = settings
        self.now, self.started, self.rare_callers = now, now, False
        self.out: list[api.Action] = [api.Health(True)]
        self.jobs: dict[int, Job] = {}
        self.keys: set[int] = set()     # entries of the node's table, which outlive their jobs
        self.count, self.memory_kb, self.work_ahead, self.calls_ahead = [0] * 6, 0.0, 0.0, 0.0
        self.kb_factor = (0.0, 1.0, 1.0, *[s.run_factor or 1.0] * 3)
        # Heaps: answers due, runs of use, table entries, calls; the hold, apart for those that must call.
        self.dues, self.uses, self.ends, self.asks, *self.holds = (Queue() for _ in range(6))
        self.timer_at = self.leave_at = self.full_at = self.kill_at = math.inf
        self.mean_aim = _mean_aim(s)
        self.cores, self.limit, self.mean_work = Meter(self.mean_aim), CROWDING * s.cores, 0.0
        self.away_s = min(FIRST_OFFSET_S, s.max_retry_after_s or FIRST_OFFSET_S)
        self.d0 = min(self.away_s, OFFSET_AIMS * self.mean_aim)
        self.slot_s = self.d0 / OFFSET_SLOTS
        self.tokens, self.borrowed = [0] * self._slots(), [0] * self._slots()
        self.carry = self.arrivals = self.lam = self.peak_rate = self.run_s = self.read_s = 0.0
        self.tenants = [(t.share or 0.0) / (1 - TENANT_KEPT) for t in s.tenants]
        self.slot_end, self.said, self.unread_s, self.healthy = now + self.slot_s, -1.0, 0.0, True
        self.other = api.Elsewhere()    # what another process of this node has, on the same cores
        self.calls, self.worth = Meter(self.mean_aim), sum(c.worth for c in s.classes) / len(s.classes)
        self.calls_per, self.works = ([1.0] * len(s.classes) for _ in range(2))     # calls; work by the mean
        self.most_calls = CALLS_MARGIN * s.calls_share if s.calls_share is not None else (
            OPEN_CALLS[s.downstream is Downstream.TIER] * s.cores)
        self.call_limit, self.calls_from, self.call_fails, self.call_heard = self.most_calls, now, 0, now
        self.call_s = self.call_best = self.call_time_s = 0.0
        self.call_times = [0.0] * (int((s.calls_over_s or 0.0) / self.slot_s) + 2)
        self.lingering: list[float] = []
        self.spent, self.periods = ([0.0] * len(s.tenants) for _ in range(2))   # in which budget period

    def decide(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take in a whole batch, then do what it calls for."""
        self._advance(now)
        for event in events:
            self._take_in(event)
        self._settle()
        self._issue_calls()
        self._start_runs()
        self._advertise()
        self._set_timer()
        out, self.out = self.out, []
        return out

    def _take_in(self, event: api.Event) -> None:
        match event:
            case api.Arrived(req):
                self._arrived(req)
            case api.TimerFired(_, gauges):
                self._learn_limit(gauges)
            case api.Renewed(settings):
                self._renew(settings)
            case api.Elsewhere():
                self.other = event
            case api.Leaving(left, replaced):   # what comes before the grace ends may still run
                self.leave_at = min(self.leave_at, self.now)
                self.kill_at = self.now + left * (1 - DRAIN_MARGIN)
                full_at = min(self.leave_at + DRAIN_OPEN * (self.s.drain_grace_s or 0.0),
                              self.kill_at - self.mean_aim)
                self.full_at = math.inf if replaced else full_at    # callers are sent elsewhere in time
                self.out.append(api.Health(replaced and self.healthy))
            case _ if event.id in self.jobs:
                self._progress(self.jobs[event.id], event)

    def _renew(self, s: api.Settings) -> None:
        """Others on the old places, or behind: jobs, learnt rates, keys and what budgets have spent go on."""
        old, self.s = self.s, s
        self.calls_per = _kept(self.calls_per, old.classes, s.classes, 1.0)
        self.works = _kept(self.works, old.classes, s.classes, 1.0)
        self.tenants, self.spent, self.periods = (
            _kept(v, old.tenants, s.tenants, 0.0) for v in (self.tenants, self.spent, self.periods))
        self.mean_aim, self.limit = _mean_aim(s), self.limit * s.cores / old.cores
        more = [0] * (self._slots() - len(self.tokens))
        self.tokens, self.borrowed = self.tokens + more, self.borrowed + more

    def _slots(self) -> int:
        return int(max(c.give_up_s for c in self.s.classes) / self.slot_s) + 1

    def _progress(self, job: Job, event: api.Event) -> None:
        match event:
            case api.Finished(_, outcome, _):
                if job.phase >= RUNNING and outcome in (Outcome.OK, Outcome.ERROR):
                    self.cores.add(job.work)
                    took = max(0.001, job.cores_s + (self.now - job.moved) * (job.phase == RUNNING))
                    self.run_s += 0.05 * (took - self.run_s) if self.run_s else took
                    self.works[job.req.klass] += 0.05 * (took / self.run_s - self.works[job.req.klass])
                    self.calls_per[job.req.klass] += 0.05 * (job.calls - self.calls_per[job.req.klass])
                elif outcome is Outcome.REJECTED:   # it never ran: its entry would only take room
                    self.keys.discard(job.req.id)
                self._move(job, OVER)
            case api.CallNeeded() if job.phase == RUNNING:
                self._ask(job, max(1.0, job.calls_left))
            case api.CallEnded(_, outcome, elapsed) if job.phase == IN_CALL:
                self._call_ended(job, outcome, elapsed)
            case api.CallerGone() if not job.answered:
                self._answer(job, None)

    def _advance(self, now: float) -> None:
        passed, self.now = now - self.now, now
        self.cores.advance(passed, self.count[RUNNING] / self._rest(self.limit, self.other.runs))
        # Below one call at a time, the pause between calls is full use too while someone waits for it.
        self.calls.advance(passed, self.count[IN_CALL] / max(1.0, self.call_limit)
                           or self.count[AT_CALL] * (self.call_limit < 1))
        self.call_time_s += passed * (self.count[IN_CALL] + len(self.lingering) + self.other.calls)
        while now >= self.slot_end:
            self._shift()
        while self.lingering and self.lingering[0] <= now:
            heappop(self.lingering)
        while self.ends and self.ends[0][0] <= now:
            self.keys.discard(heappop(self.ends)[1])

    def _work(self, req: Request) -> float:
        if req.work_s:
            self.mean_work += 0.02 * (req.work_s - self.mean_work) if self.mean_work else req.work_s
        return req.work_s or self.works[req.klass]

    def _learn_limit(self, gauges: api.Gauges) -> None:
        """Runs wait for disks unseen: more are let in while cores idle, fewer once they queue for cores."""
        self.timer_at = math.inf
        cores, busy, queue = self.s.cores, gauges.cpu_busy, gauges.runnable
        if busy is not None and queue is not None:
            fewer = queue > CROWDING * cores and self.count[RUNNING] + self.other.runs >= self.limit - 1
            more = busy < 0.95 and queue < cores and self.count[HELD] > 0
            self.limit = min(max(self.limit + 0.5 * more - 0.5 * fewer, 1.0 * cores), 2.5 * cores)

    def _shift(self) -> None:
        """A slot ends: the front bucket leaves, a new one gets W_a = (r_t - lambda) T0; parts carry over."""
        self.slot_end += self.slot_s
        self.call_times = [*self.call_times[1:], self.call_time_s]
        self.lam += (self.arrivals / self.slot_s - self.lam) / LAMBDA_SLOTS
        self.arrivals, self.unread_s = 0.0, self.unread_s * 0.8
        seen = self.cores.count / self.cores.busy_s if self.cores.busy_s > 0.5 * self.mean_aim else 0.0
        self.peak_rate = max(PEAK_KEPT * self.peak_rate, seen)
        self.carry += max(0.0, self.peak_rate - self.lam) * self.slot_s
        self.carry, whole = math.modf(self.carry)
        self.tokens, self.borrowed = [*self.tokens[1:], int(whole)], [*self.borrowed[1:], 0]
        self._close_idle()
        self._judge_health()

    def _borrow(self, give_up_s: float) -> float | None:
        """Seconds until the slot whose token the refused request gets; None once they are spent."""
        if self.borrowed[0] > 0:
            self.borrowed[0] -= 1
            return self.d0
        steps = [OFFSET_SLOTS * ((1 << k) - 1) for k in range(1, MAX_BORROWS + 1)]
        inside = [i for i in steps if i < len(self.tokens) and i * self.slot_s <= give_up_s]
        for n, slot in enumerate(inside):
            if self.tokens[slot] > 0:
                self.tokens[slot] -= 1
                for passed in inside[:n]:
                    self.borrowed[passed] += 1
                return slot * self.slot_s
        return None

    def _turn_away(self, job: Job, elsewhere: bool = False) -> None:
        """Refuse in the words the abacus finds; ``elsewhere``: this node is the trouble, not the load."""
        if not elsewhere and self.peak_rate and self.cores.wait(self.work_ahead) < GATE * self.mean_aim:
            # Only this class is full: its caller may bring others. Trying on costs as much as reading does.
            room = 1 + READ_PART * self.run_s / (self.read_s or 1e-9)
            return self._answer(job, api.Refuse(job.req.id, None, self.lam > room * self.peak_rate))
        after = self.away_s if elsewhere else self._borrow(job.c.give_up_s) if self.peak_rate else self.slot_s
        self._answer(job, api.Refuse(job.req.id, after if self.s.retry_after else None, after is None))

    def _arrived(self, req: Request) -> None:
        c = self.s.classes[req.klass]
        if not req.retry and not req.repeats:
            self.arrivals += 1
            self.tenants = [n * TENANT_KEPT + (i == req.tenant) for i, n in enumerate(self.tenants)]
        self.worth += 0.01 * (c.worth - self.worth)
        self.read_s += 0.05 * (self.count[RUNNING] < self.s.cores) * (req.waited_s - self.read_s)
        self.unread_s += 0.2 * (min(req.waited_s, c.give_up_s) - self.unread_s)
        may_call = self.s.downstream is not Downstream.NONE and c.calls is not False
        job = self.jobs[req.id] = Job(req, c, self.now, self._work(req), may_call * self.calls_per[req.klass])
        self._move(job, HELD)
        heappush(self.dues, (job.due - DUE_MARGIN_TICKS * (self.s.tick_s or 0.0), req.id))
        if req.repeats is not None and self._repeat(job):
            return
        if (over_s := self._over_budget_s(job)) > 0:    # the same on every node: no use to try another
            return self._answer(job, api.Refuse(req.id, over_s if self.s.retry_after else None, True))
        full = self._memory_full(0.0, MEMORY_HELD) or self._past_grace(job)
        if full or not self._fits(job):
            self._turn_away(job, elsewhere=full)
        elif c.effect is Effect.KEYED and not self._keep(job, (c.window_s or c.give_up_s) - req.waited_s):
            self._turn_away(job, elsewhere=True)
        else:
            heappush(self.holds[job.must_call], (job.aim_at, req.id))
            if req.tenant is not None and req.tenant < len(self.spent):
                job.spent_in = self.periods[req.tenant]
                self.spent[req.tenant] += c.price

    def _over_budget_s(self, job: Job) -> float:
        """Seconds until the tenant's budget has room again, 0 if it has; each node has an equal part."""
        place, tenants = job.req.tenant, self.s.tenants
        if place is None or place >= len(tenants) or not (budget := tenants[place].budget):
            return 0.0
        period_s = tenants[place].budget_period_s or math.inf
        if (period := self.now // period_s) != self.periods[place]:
            self.periods[place], self.spent[place] = period, 0.0
        over = self.spent[place] + job.c.price > budget / (self.s.fleet_size or 1) + 1e-9
        return (period + 1) * period_s - self.now if over else 0.0

    def _fits(self, job: Job) -> bool:
        """The first stage: cores are free, or the predicted wait fits the time to the aim; so for calls."""
        work = 1.0 if self.s.worth_by_work else job.work / (self.mean_work or 1.0)
        value: float = min(1.0, job.c.worth / (work * self.worth or 1.0)) ** VALUE
        share = GATE * self._in_share(job.req.tenant) * value
        if job.must_call and self.calls.wait(self.calls_ahead) > share * (job.aim_at - self.now):
            return False
        if self.count[HELD] <= 1 and self.count[RUNNING] < self._run_limit():
            return True
        extra = self.cores.wait(max(0.0, job.work - self.mean_work) * self.s.cores)
        # Held work starts by its aims: who has a short one overtakes. So the whole line is held to the mean
        # aim, and each request to its own by what starts before it; else all refusals hit the shorter aims.
        wait, room = self.cores.wait(self.work_ahead) + extra, share * (job.aim_at - self.now)
        return (wait <= room + share * (self.mean_aim - job.c.aim_s)
                and (wait <= room or self.cores.wait(self._work_before(job)) + extra <= room))

    def _work_before(self, job: Job) -> float:
        """Held work that starts before this request, as its aims are earlier."""
        earlier = (self.jobs.get(ident) for queue in self.holds for at, ident in queue if at <= job.aim_at)
        return sum(other.work for other in earlier if other is not None and other.phase == HELD)

    def _in_share(self, tenant: int | None) -> float:
        """Worth of a tenant's next request, less beyond its share, compared with who is least beyond it."""
        s, total = self.s, sum(self.tenants)
        if s.over_share_worth is None or tenant is None or tenant >= len(self.tenants):
            return 1.0
        over = [n / (total or 1.0) * self.lam * (s.fleet_size or 1) / t.quota_per_s if t.quota_per_s else 1.0
                for n, t in zip(self.tenants, s.tenants, strict=True)]
        least = min((n for n, t in zip(over, s.tenants, strict=True) if not t.gone), default=1.0)
        inside = min(1.0, max(1.0, least) / max(1.0, over[tenant]))
        return inside + (1 - inside) * s.over_share_worth

    def _judge_health(self) -> None:
        """Off the list while requests wait unread on a node far slower than it was; not under mere load."""
        drowned = (self.unread_s > (DROWNED if self.healthy else DROWNED / 4) * self.mean_aim
                   and self.cores.count < AILING * self.peak_rate * self.cores.busy_s)
        if self.healthy == drowned and self.leave_at == math.inf:
            self.healthy = not drowned
            self.out.append(api.Health(self.healthy))

    def _advertise(self) -> None:
        """Callers hear of the predicted wait before they send, so that little is read in vain."""
        first, full = SHED if self.s.say is Say.FLOOR else MOVE
        strain = (self.cores.wait(self.work_ahead) + self.unread_s) / self.mean_aim
        strain = 1.0 if self.now >= self.full_at else min(max((strain - first) / (full - first), 0.0), 1.0)
        value = strain if self.s.say is Say.FLOOR else 1.0 - strain
        if self.s.say is Say.ALLOWANCE:
            value *= (self.limit + (self.peak_rate or self.s.cores) * self.mean_aim) / (self.s.callers or 1)
        if self.s.say is not Say.NONE and abs(value - self.said) > 0.02 * max(1.0, value):
            self.said = value
            self.out.append(api.Advertise(value))

    def _close_idle(self) -> None:
        """Against a full table: connections whose callers seldom return in time are kept for a retry only."""
        idle_s = self.s.idle_s or 0.0
        rare = self.lam * idle_s < (self.s.callers or 0)
        if rare != self.rare_callers and idle_s:
            self.rare_callers = rare
            self.out.append(api.CloseIdle(min(self.mean_aim, idle_s) if rare else 0.0))

    def _run_limit(self, crowding: bool = False) -> int:
        """Rule: runs on the cores stay under the crowd survived; as many are let in as keep these busy."""
        s, cold, share = self.s, self.s.cold_from or 0.0, 1.0
        if s.cold_start and s.ramp_s:
            share = min(1.0, cold + (1 - cold) * (self.now - self.started) / s.ramp_s)
        crowd = CROWD_MARGIN * s.cores * (1 + ((s.crowd_multiple or 1e9) - 1) * share)
        return max(1, int(self._rest(crowd if crowding else min(self.limit, crowd), self.other.runs)))

    def _rest(self, limit: float, taken: int) -> float:
        """Of a limit of the node, what the other process leaves; half of it if it takes more."""
        return max(limit / 2, limit - taken)

    def load(self) -> tuple[int, float, int]:
        """For the other process: runs on the cores, kilobytes held, calls in hand."""
        keys_kb = len(self.keys) * (self.s.key_kb or 0.0)
        return self.count[RUNNING], self.memory_kb + keys_kb, self.count[IN_CALL] + len(self.lingering)

    def _first(self, queue: Queue, phase: int) -> Job | None:
        while queue:
            job = self.jobs.get(queue[0][1])
            if job is not None and job.phase == phase and not job.answered:
                return job
            heappop(queue)
        return None

    def _start_runs(self) -> None:
        """Earliest aim first; not what is of no use, came too late in a drain, or would stall on a call."""
        for queue in sorted(self.holds, key=lambda queue: queue[:1]):
            while (job := self._first(queue, HELD)) is not None:
                if self.now + self._rest_s(job) > job.useful_until or self._past_grace(job):
                    self._turn_away(job)
                    continue
                if (self.count[RUNNING] >= self._run_limit()
                        or (job.must_call and self.count[AT_CALL] > self.call_limit)
                        or self._memory_full(job.req.kb * (self.kb_factor[RUNNING] - 1), MEMORY_RUN)):
                    break
                self.out.append(api.Run(job.req.id))
                self._move(job, RUNNING)
                job.ran = True
                if self.s.fresh_s and job.c.effect is Effect.SAFE and job.req.key and not job.req.write:
                    self._keep(job, job.c.give_up_s + self.s.fresh_s)

    def _rest_s(self, job: Job) -> float:
        """Time that a run, or what is left of it, must still have."""
        return OWN * self.cores.wait(job.work * self.s.cores) + job.must_call * job.calls_left * self.call_s

    def _move(self, job: Job, phase: int, calls_left: float | None = None) -> None:
        """The one place where running totals follow a job's phase and the calls it still needs."""
        if job.phase == IN_CALL and phase == OVER:      # a call left open may linger below
            heappush(self.lingering, self.now + (self.s.linger_s or 0.0))
        if phase == RUNNING and job.c.effect is Effect.SAFE and self.s.stop_mode is not StopMode.NONE:
            heappush(self.uses, (job.useful_until, job.req.id))
        left = job.calls_left if calls_left is None else max(0.0, calls_left)
        self.count[job.phase] -= 1
        self.count[phase] += 1
        self.memory_kb += job.req.kb * (self.kb_factor[phase] - self.kb_factor[job.phase])
        self.work_ahead += (AHEAD[phase] - AHEAD[job.phase]) * job.work
        self.calls_ahead += (AHEAD[phase] > 0) * left - (AHEAD[job.phase] > 0) * job.calls_left
        job.cores_s += (self.now - job.moved) * (job.phase == RUNNING)
        job.moved, job.phase, job.calls_left = self.now, phase, left
        if phase == OVER:
            del self.jobs[job.req.id]
        if not self.jobs:       # so that parts of numbers do not add up
            self.memory_kb = self.work_ahead = self.calls_ahead = 0.0

    def _ask(self, job: Job, calls_left: float) -> None:
        """Stop at a call; what can do without it goes on at once where the predicted wait is too long."""
        late = self.calls.wait(self.count[AT_CALL]) > CALL_GATE * (self._skip_at(job) - self.now)
        self._move(job, AT_CALL, calls_left)
        if late and not job.must_call and self.count[RUNNING] < self._run_limit(crowding=True):
            return self._go_without(job)
        return heappush(self.asks, (job.aim_at, job.req.id))

    def _skip_at(self, job: Job) -> float:
        """Until when a call is worth its wait where the run can do without."""
        return job.aim_at - self._rest_s(job) - SKIP_TICKS * (self.s.tick_s or 0.0)

    def _issue_calls(self) -> None:
        while (job := self._first(self.asks, AT_CALL)) is not None:
            end, room = job.useful_until if job.must_call else self._skip_at(job), self._call_room_s()
            # Where none is in hand one goes all the same: only a call can show that they are fast again.
            late = self.now + self.call_s > end and (self.now >= end or self.count[IN_CALL])
            if late and (job.must_call or self.count[RUNNING] < self._run_limit(crowding=True)):
                self._go_without(job)       # as far as there is room: else many come back in one moment
            elif (late or self.now < self.calls_from or room < self.call_s
                  or self.load()[2] + 1 > max(1.0, self._rest(self.call_limit, self.other.calls))):
                break
            else:
                self._move(job, IN_CALL)
                job.calls += 1
                self.out.append(api.Call(job.req.id, max(0.01, min(end - self.now, room))))

    def _go_without(self, job: Job) -> None:
        if job.must_call:
            return self._give_up(job)
        self.out.append(api.Skip(job.req.id))
        return self._move(job, RUNNING, job.calls_left - 1)

    def _call_room_s(self) -> float:
        """Rule: a share below one call is kept in the mean only if even a slow, abandoned call still fits."""
        if self.most_calls >= 1 or not self.s.calls_over_s:
            return math.inf
        used = self.call_time_s - self.call_times[0] + (1 + len(self.lingering)) * (self.s.linger_s or 0.0)
        return CALLS_WINDOW * (self.s.calls_share or 0.0) * self.s.calls_over_s - used

    def _call_ended(self, job: Job, outcome: Outcome, elapsed: float) -> None:
        """Fewer in hand when calls became slow; a pause after failures, longer each time, against a rush."""
        late = outcome is Outcome.TIMED_OUT     # its place below is taken until it has lingered: pause enough
        self.call_fails = 0 if outcome is Outcome.OK else self.call_fails + (not late)
        if outcome is Outcome.OK or (late and elapsed > self.call_s):
            step, self.call_heard = min(1 / FEW, (self.now - self.call_heard) / self.mean_aim), self.now
            self.call_s = self.call_s + step * (elapsed - self.call_s) if self.call_s else elapsed
        if outcome is Outcome.OK:
            self._move(job, RUNNING, job.calls_left - 1)
            self.calls.add(1.0)
            self.call_best = min(self.call_s, (1 + 0.03 * step) * self.call_best or elapsed)
            self.call_limit *= 1 + step if self.call_s < SLOW_CALL * self.call_best else 1 - step / 2
        else:
            self._ask(job, job.calls_left)
            if late:
                heappush(self.lingering, self.now + (self.s.linger_s or 0.0))
            if outcome not in NEVER_RAN and job.c.effect is not Effect.SAFE and not job.answered:
                self._go_without(job)
            self.call_limit *= 0.7
            self.calls_from = self.now + (not late) * min(1.0, 0.02 * 2 ** min(self.call_fails, 6))
        self.call_limit = min(max(self.call_limit, CALLS_FLOOR * self.most_calls), self.most_calls)
        if 0 < self.call_limit < 1:     # below one call: pause between calls, so that their mean fits it
            self.calls_from = max(self.calls_from, self.now + elapsed * (1 / self.call_limit - 1))

    # --- guards for the rules

    def _memory_full(self, more_kb: float, share: float) -> bool:
        return self.load()[1] + self.other.kb + more_kb > share * self.s.memory_kb

    def _keep(self, job: Job, ttl: float) -> bool:
        """Remember the request, so that its repeats are known, if memory has room for that."""
        if self._memory_full(self.s.key_kb or 0.0, MEMORY_HELD):
            return False
        self.out.append(api.Keep(job.req.id, max(0.01, ttl)))
        self.keys.add(job.req.id)
        heappush(self.ends, (self.now + ttl, job.req.id))
        return True

    def _repeat(self, job: Job) -> bool:
        """Rule: a repeat never runs beside its first; it is answered from it. What is over and kept, ran."""
        first = self.jobs.get(job.req.repeats or 0)
        never_ran = first is not None and first.answered and not first.ran     # then this one may
        if not self.s.fresh_s if job.c.effect is Effect.SAFE else never_ran:
            return False
        self.out.append(api.Share(job.req.id))
        self._move(job, SHARING)
        job.ran = job.c.effect is not Effect.SAFE
        return True

    def _settle(self) -> None:
        """Rule: everything read has its answer when it is due, running work and the kill included."""
        while self.dues and (self.dues[0][0] <= self.now or self.dues[0][1] not in self.jobs):
            self._give_up(self.jobs.get(heappop(self.dues)[1]))
        while self.uses and self.uses[0][1] not in self.jobs:   # or they pile up while nobody is held
            heappop(self.uses)
        while self.uses and self.count[HELD] and self.uses[0][0] < self.now:
            job = self.jobs.get(heappop(self.uses)[1])
            if job is not None and job.phase == RUNNING:    # it holds a core that someone waits for
                self._give_up(job)
                self.out.append(api.Stop(job.req.id))
        for job in list(self.jobs.values()) if self.now >= self.kill_at else ():
            self._give_up(job)

    def _give_up(self, job: Job | None) -> None:
        """The last answer; what may have had an effect is never said to be unrun."""
        if job is not None and not job.answered:
            hidden = job.ran and job.c.effect is not Effect.SAFE
            self._answer(job, api.Fail(job.req.id) if hidden else api.Refuse(job.req.id, None, no_retry=True))

    def _answer(self, job: Job, action: api.Action | None) -> None:
        self.out += [action] if action is not None else []
        job.answered = True
        if job.phase in (HELD, SHARING):
            self._move(job, OVER)
            if job.spent_in is not None and job.spent_in == self.periods[job.req.tenant or 0]:
                self.spent[job.req.tenant or 0] -= job.c.price      # it never ran
            if not job.ran and job.req.id in self.keys:
                self.keys.remove(job.req.id)
                self.out.append(api.Forget(job.req.id))

    def _past_grace(self, job: Job) -> bool:
        return job.arrived > self.leave_at + (1 - DRAIN_MARGIN) * (self.s.drain_grace_s or 0.0)

    def _set_timer(self) -> None:
        """One timer, for the earliest moment at which something falls due."""
        at = min(self.slot_end, self.dues[0][0] if self.dues else math.inf, self.kill_at,
                 self.calls_from if self.count[AT_CALL] and self.calls_from > self.now else math.inf)
        if at < self.timer_at:
            self.timer_at = at
            self.out.append(api.SetTimer(0, max(0.0, at - self.now)))
