"""Whole histories of one node under drawn settings, and the checker of every rule over them.

The world keeps the promises of the wire's page (table of keys, ends of runs and calls, timers) on plain
cores; ``Checker`` takes no part in it.
"""

import math
import random
from heapq import heappop, heappush
from typing import Any

from checker import Checker, Try
from drawn import Model, deployment, log_span

from beechrock import Node
from beechrock import interface as api
from beechrock.settings import settings_from

STALL_S = (0.05, 5.0)  # of the whole process: nothing is read, timers wait
HARD_STALL_S = (0.1, 30.0)
MOST_BATCHES = 4000


class History:
    """One node from its start to its kill, or until all is over."""

    def __init__(
        self,
        seed: int,
        told: dict[str, Any],
        model: Model,
        arrivals: int = 150,
        hard: bool = False,
    ) -> None:
        self.random, self.json, self.model, self.left = random.Random(seed), told, model, arrivals
        self.told, self.gauges = settings_from(told)
        self.now = self.last = 1000.0 + self.random.random()
        self.node = Node(self.told, seed, self.now)
        self.check = Checker(self.told, self.now)
        self.tries: dict[int, Try] = {}  # known to the node: not over
        self.entries: dict[int, tuple[Try, float]] = {}
        # Whose place another try took after the window: what arrived within it is still a repeat, late as it
        # is read (the wire's page).
        self.replaced: dict[int, list[tuple[Try, float]]] = {}
        self.keys: list[tuple[int, int]] = []  # drawn before, with their class
        self.lingers: list[float] = []
        self.timers: list[tuple[float, int]] = []
        self.events: list[api.Event] = []  # of the next batch
        self.batches: list[tuple[float, list[api.Event]]] = []
        self.said: list[list[api.Action]] = []
        self.next_id = self.timers_set = 0
        self.gone_now: set[int] = set()  # in the batch that comes
        self.fresh: dict[int, Try] = {}  # keyed, read for the batch that comes
        self.shares: list[tuple[Try, Try]] = []  # ended since the last batch
        self.started, self.drained = self.now, False
        self.gap_s = sum(model.works) / len(model.works) / (model.load * model.speed * self.told.cores)
        self.arrive_at = self.now + self.gap_s
        # Moments of a drawn history: a notice to leave, other settings, stalls.
        length = self.gap_s * arrivals
        draw = self.random
        self.leave_at = self.now + draw.uniform(0, length) if draw.random() < 0.5 else math.inf
        self.renew_at = self.now + draw.uniform(0, length) if draw.random() < 0.25 else math.inf
        self.stall_at = self.now + draw.uniform(0, length) if draw.random() < 0.3 else math.inf
        self.beside = draw.random() < 0.1
        self.speed, self.hung_share, self.quiet_at, self.slow_at = model.speed, 0.0, math.inf, math.inf
        self.again = random.Random(f"hard {seed}")  # its own, so that what was drawn before stays as it was
        self.hard = hard
        if hard:
            draw = self.again
            self.hung_share = draw.choice([0.0, 0.0, 0.03, 0.3])
            self.quiet_at = self.now + draw.uniform(0, length) if draw.random() < 0.4 else math.inf
            self.slow_at = self.now + draw.uniform(0, length) if draw.random() < 0.5 else math.inf
            self.stall_at = min(self.stall_at, self.now + draw.uniform(0, length))

    # --- what happens

    def arrival(self) -> None:
        draw, waited = self.random, self.random.choice([0.0, 0.0, self.random.uniform(0.0, 0.3)])
        live = [n for n, c in enumerate(self.told.classes) if not c.removed]
        klass, key = draw.choice(live), None
        if self.keys and draw.random() < self.model.repeats:
            klass, key = draw.choice(self.keys[-12:])
        c = self.told.classes[klass]
        if c.idempotency is api.Idempotency.KEYED and key is None:
            key = draw.getrandbits(40)
            self.keys.append((klass, key))
        elif c.idempotency is api.Idempotency.IDEMPOTENT:
            key = klass * 100 + draw.randrange(1, 6)
        self.next_id += 1
        arrived = self.now - waited
        left = draw.choice([0.001, c.deadline_s, c.deadline_s * draw.random()])
        left = left if self.told.propagates_deadline else None
        first = self.first(c, key, arrived)
        works = self.model.works[klass % len(self.model.works)] * draw.uniform(0.3, 2.0)
        calls = self.model.calls[klass % len(self.model.calls)]
        due = max(self.now, arrived + c.deadline_s) if left is None else self.now + left
        kb = self.model.request_kb * draw.choice([1.0, draw.uniform(0.2, 2.5)])
        parts = [works / (calls + 1)] * (calls + 1)
        if self.hung_share and self.again.random() < self.hung_share:
            parts[-1] = math.inf  # a run that never ends
        one = Try(self.next_id, klass, kb, arrived, due, c, key, first, parts)
        self.tries[one.id] = one
        if c.idempotency is api.Idempotency.KEYED and key is not None:
            self.fresh[key] = one
        self.check.read(one)
        self.events.append(
            api.Arrived(
                api.Request(
                    one.id,
                    klass,
                    one.kb,
                    waited,
                    left,
                    draw.choice([None, None, works]),
                    None if first is None else first.id,
                    key if c.idempotency is api.Idempotency.IDEMPOTENT else None,
                    draw.randrange(len(self.told.tenants)) if self.told.tenants else None,
                    draw.randrange(5),
                    draw.random(),
                    first is not None and draw.random() < 0.8,
                )
            )
        )

    def first(self, c: api.ClassSettings, key: int | None, arrived: float) -> Try | None:
        """Whom a try repeats, by the table."""
        found = [*self.replaced.get(key or 0, []), self.entries.get(key or 0, (None, 0.0))]
        first = next((one for one, until in reversed(found) if one is not None and arrived <= until), None)
        if first is None:
            return self.fresh.get(key or 0)  # also an unkept one of the same batch
        if c.idempotency is api.Idempotency.IDEMPOTENT and self.now > first.ended_at + (
            self.told.shared_read_ttl_s or 0.0
        ):
            return None
        return first

    def finish(self, one: Try, outcome: api.Outcome) -> None:
        if outcome in (api.Outcome.OK, api.Outcome.ERROR) and not one.answered:
            one.answered, one.served = True, outcome is api.Outcome.OK
            self.check.over(one)
        self.events.append(api.RunFinished(one.id, outcome, 0.1))
        self.end(one)

    def end(self, one: Try) -> None:
        if one.state == "in call":
            heappush(
                self.lingers, self.now + self.random.random() * (self.told.abandoned_call_linger_s or 0.0)
            )
        one.state, one.ended_at = "over", self.now
        self.tries.pop(one.id, None)
        waiters, one.waiters = one.waiters, []
        for waiter in waiters:
            self.shares.append((waiter, one))

    def share_out(self) -> None:
        """Those that waited for what is over get its result, heard of in the next batch."""
        while self.shares:
            waiter, first = self.shares.pop(0)
            if waiter.state == "sharing":
                self.finish(waiter, api.Outcome.OK if first.served else api.Outcome.ERROR)

    def in_state(self, state: str) -> list[Try]:
        return [one for one in self.tries.values() if one.state == state]

    def calls_until(self, at: float) -> float:
        """Calls in hand in the mean from now on; one ends at its moment, though that is heard of later."""
        ends = [one.call_end for one in self.in_state("in call")] + self.lingers
        return sum(max(0.0, min(end, at) - self.now) for end in ends) / max(at - self.now, 1e-9)

    def progress(self, seconds: float) -> None:
        """Work on the cores and below, for so long."""
        on = self.in_state("running")
        part = seconds * self.speed * min(1.0, self.told.cores / len(on)) if on else 0.0
        for one in on:
            one.parts[0] -= part
            if one.parts[0] <= 1e-9:
                one.parts.pop(0)
                if not one.parts:
                    self.finish(one, self.random.choice([api.Outcome.OK] * 9 + [api.Outcome.ERROR]))
                elif one.answered or one.gone:
                    self.finish(one, api.Outcome.STOPPED)
                else:
                    one.state = "at call"
                    self.events.append(api.CallNeeded(one.id))
        self.share_out()
        for one in [one for one in self.in_state("in call") if one.call_end <= self.now]:
            one.state = "running" if one.outcome is api.Outcome.OK else "at call"
            if one.outcome is api.Outcome.TIMED_OUT:
                heappush(
                    self.lingers, self.now + self.random.random() * (self.told.abandoned_call_linger_s or 0.0)
                )
            one.sure = one.outcome is api.Outcome.OK or one.outcome.never_ran
            self.events.append(api.CallEnded(one.id, one.outcome, self.model.call_s))
        for one in [one for one in self.in_state("at call") if one.answered or one.gone]:
            self.finish(one, api.Outcome.STOPPED)

    def next_moment(self) -> float:
        on = [one.parts[0] for one in self.in_state("running")]
        speed = self.speed * min(1.0, self.told.cores / max(1, len(on)))
        done = self.now + min(on) / speed if on else math.inf
        ends = [one.call_end for one in self.in_state("in call")]
        timer_at = self.timers[0][0] if self.timers else math.inf
        moments = [
            done,
            self.arrive_at if self.left else math.inf,
            timer_at,
            min(ends, default=math.inf),
            self.lingers[0] if self.lingers else math.inf,
            self.leave_at,
            self.renew_at,
            self.stall_at,
            self.check.kill_at,
        ]
        if any(one.answered or one.gone for one in self.in_state("at call")) or self.events:
            moments.append(self.now)
        return max(min(moments), self.last + self.model.batch_s)

    # --- what the node says

    def act(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(token, delay):
                assert 0 <= delay < 1e9
                self.timers_set += 1
                heappush(self.timers, (self.now + delay, token))
            case api.Advertise(value):
                assert self.told.load_report_kind is not api.LoadReportKind.NONE and 0 <= value < math.inf, (
                    f"fault: {action}"
                )
            case api.CloseIdleConnections(after):
                assert after == 0 or 0.01 <= after <= (self.told.idle_timeout_s or 0.0), f"fault: {action}"
            case api.Health() | api.Log():
                pass
            case _:
                assert 0 < action.id <= self.next_id, f"fault: {action} names no request"
                self.act_for(action, self.tries.get(action.id))

    def act_for(self, action: api.Action, one: Try | None) -> None:
        match action:
            case api.Forget(ident):
                self.entries = {key: entry for key, entry in self.entries.items() if entry[0].id != ident}
                return
            case _ if one is None:
                final = isinstance(action, (api.Reject, api.Fail, api.Run))
                assert action.id in self.gone_now or not final, f"{action}: it is over"
                return
            case api.Run():
                self.check.run(one)
                assert one.state == "held", f"{action}: {one.state}"
                one.state, one.ran = "running", True
            case api.Reject() | api.Fail():
                gone = one.gone and one.id not in self.gone_now
                assert not one.answered and not gone, f"{one.id} is answered twice"
                if isinstance(action, api.Reject):
                    self.check.refused(one, action)
                one.answered = True
                self.check.over(one)
                if one.state in ("held", "sharing"):
                    self.end(one)
            case api.Stop():
                assert self.told.stop_mode is not api.StopMode.NONE, f"fault: {action}"
                if one.state == "running" and one.answered:
                    self.finish(one, api.Outcome.STOPPED)
            case api.Call(_, wait):
                assert one.state == "at call" and 0 < wait < 1e9, f"{action}: {one.state}"
                sure = one.sure or one.c.idempotency is api.Idempotency.IDEMPOTENT
                assert sure, f"duplicate: {action} may have taken effect"
                self.begin_call(one, wait)
            case api.SkipCall():
                assert one.c.skip_value_share and one.state == "at call", f"fault: {action}, {one.state}"
                one.state, one.sure = "running", True
            case api.ShareResult():
                assert one.first is not None and one.state == "held", f"fault: {action}"
                one.state = "sharing"
                if one.first.state == "over":
                    self.shares.append((one, one.first))
                else:
                    one.first.waiters.append(one)
            case api.Remember(_, ttl):
                if one.key is not None and (
                    one.c.idempotency is api.Idempotency.KEYED or self.told.shared_read_ttl_s
                ):
                    before = self.entries.get(one.key)
                    if before is not None and before[0] is not one and before[1] < one.arrived:
                        self.replaced.setdefault(one.key, []).append(before)
                    self.entries[one.key] = (one, self.now + ttl)

    def begin_call(self, one: Try, wait: float) -> None:
        draw, took = self.random, self.model.call_s * self.random.uniform(0.3, 3.0)
        one.state, one.outcome = "in call", api.Outcome.OK
        if draw.random() < self.model.failing_calls:
            one.outcome, took = draw.choice(
                [
                    (api.Outcome.ERROR, took),
                    (api.Outcome.REJECTED, 0.0),
                    (api.Outcome.UNREACHABLE, 0.0),
                    (api.Outcome.CONNECTION_LOST, took),
                    (api.Outcome.TIMED_OUT, wait),
                ]
            )
        if took >= wait:
            one.outcome, took = api.Outcome.TIMED_OUT, wait
        one.call_end = self.now + took

    # --- time

    def memory_kb(self) -> float:
        factor = self.told.running_memory_factor or 1.0
        alive = sum(until > self.now for _, until in self.entries.values())
        return alive * (self.told.idempotency_entry_kb or 0.0) + sum(
            one.kb * (1.0 if one.state in ("held", "sharing") else factor) for one in self.tries.values()
        )

    def batch(self) -> None:
        events, self.events = self.events, []
        self.batches.append((self.now, events))
        said = self.node.decide(self.now, events)
        self.said.append(said)
        self.fresh = {}
        for action in said:
            self.act(action)
        self.gone_now = set()
        self.share_out()
        self.check.batch_done(self.now, self.memory_kb())

    def happen(self) -> None:
        """All that falls due by now, as events of the next batch."""
        draw = self.random
        while self.lingers and self.lingers[0] <= self.now:
            heappop(self.lingers)
        while self.left and self.arrive_at <= self.now:
            for _ in range(min(self.left, draw.choice([1, 1, 1, 2, 12]))):
                self.left -= 1
                self.arrival()
                self.arrive_at += self.gap_s * draw.expovariate(1.0)
        if self.told.reports_cancellation and self.tries and draw.random() < 0.03:
            one = draw.choice(list(self.tries.values()))
            if not one.answered and not one.gone:
                one.gone = True
                self.gone_now.add(one.id)
                self.check.over(one)
                self.events.append(api.CallerDisconnected(one.id))
                if one.state in ("held", "sharing"):
                    self.end(one)
        while self.timers and self.timers[0][0] <= self.now:
            gauges = api.Gauges(draw.choice([None, draw.random()]), draw.choice([None, 100 * draw.random()]))
            self.events.append(api.TimerFired(heappop(self.timers)[1], gauges))
        if self.beside and draw.random() < 0.1:
            kb = draw.random() * self.told.memory_kb / 2
            self.events.append(api.OtherProcessLoad(draw.randrange(9), kb, draw.randrange(4)))
        if self.now >= self.leave_at:
            self.leave()
        if self.now >= self.renew_at:
            self.renew()

    def leave(self) -> None:
        left = log_span(self.random, 0.3, 20.0)
        self.leave_at, self.check.grace_end = math.inf, self.now + (self.told.drain_grace_s or 0.0)
        self.check.kill_at = self.now + left
        self.events.append(api.ShutdownNotice(left, self.random.random() < 0.2))

    def renew(self) -> None:
        """Other figures for the same classes, one gone and one more: what was read goes on as it was."""
        self.renew_at = math.inf
        grades = [{**grade, "worth": self.random.choice([0.0, 1.0, 9.0])} for grade in self.json["grades"]]
        more = {
            **self.random.choice(grades),
            "name": "new",
            "promiseS": self.random.uniform(0.05, 9.0),
            "giveUpS": 9.0,
        }
        grades[self.random.randrange(len(grades))]["gone"] = True
        self.told, _ = settings_from({**self.json, "grades": [*grades, more]})
        self.events.append(api.SettingsChanged(self.told))

    def open(self) -> list[Try]:
        """Those that are not over, but for runs that never end and were answered."""
        return [
            one
            for one in self.tries.values()
            if math.inf not in one.parts or one.state != "running" or not (one.answered or one.gone)
        ]

    def trouble(self, at: float) -> float:
        """Cores a tenth as fast from a moment on; hours in which nothing comes, told of only after them."""
        if at >= self.slow_at:
            self.slow_at, self.speed = math.inf, self.model.speed / 10
        if at >= self.quiet_at and not self.tries and not self.events and self.check.kill_at == math.inf:
            self.quiet_at, at = math.inf, at + log_span(self.again, 600.0, 20_000.0)
            self.arrive_at = at  # and then many at once
            self.gap_s /= 10
        return at

    def play(self) -> "History":
        """To the kill, or until nothing is open."""
        while len(self.batches) < MOST_BATCHES:
            at = self.next_moment()
            if at == math.inf or (not self.left and not self.events and not self.open()):
                break
            at = self.trouble(at)
            if at >= self.stall_at:
                self.stall_at = math.inf
                stall = log_span(self.random, *STALL_S)
                if self.hard:
                    stall = log_span(self.again, *HARD_STALL_S)
                    self.stall_at = at + stall + self.gap_s * self.again.uniform(1.0, 80.0)
                if self.check.kill_at == math.inf:  # cores stand still, calls below do not
                    self.check.stalled(stall, self.calls_until(self.now + stall))
                    self.now += stall
                    at = max(at, self.now)
            running = len(self.in_state("running"))
            calls = self.calls_until(at)
            passed, self.now = at - self.now, at
            self.check.passed(passed, self.now, running, calls)
            self.progress(passed)
            if self.now >= self.check.kill_at:  # all that was read has its answer by now
                self.check.batch_done(self.now, 0.0)
                return self
            self.happen()
            self.batch()
            self.last = self.now
        if len(self.batches) == MOST_BATCHES:
            return self
        assert not self.open(), f"never over: {[(one.id, one.state) for one in self.open()][:5]}"
        if self.tries:  # what hangs is answered and stays on the cores
            return self
        assert (
            not self.node.table.requests
            and abs(self.node.memory.held_kb) < 1e-6
            and not any(self.node.table.count[1:])
        )
        return self

    def told_again(self) -> bool:
        """Whether a second node says the same to the same events."""
        node = Node(settings_from(self.json)[0], 0, self.started)
        return all(
            node.decide(now, events) == said
            for (now, events), said in zip(self.batches, self.said, strict=False)
        )


def drawn_history(seed: int, arrivals: int = 150, hard: bool = False) -> History:
    told, model = deployment(random.Random(seed))
    return History(seed, told, model, arrivals, hard)
