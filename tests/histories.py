"""Simulation of whole histories of one node under random settings, with every rule checked.

The simulated environment keeps the guarantees of the wire's page (table of keys, ends of runs and calls,
timers) on simple cores; ``Checker`` only observes it.
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

STALL_S = (0.05, 5.0)  # Range of stalls of the whole process, in which nothing is read and timers wait
HARD_STALL_S = (0.1, 30.0)  # Range of stalls in hard histories
MAX_BATCHES = 4000


class History:
    """One node from its start until it is killed, or until every request has ended."""

    def __init__(
        self,
        seed: int,
        document: dict[str, Any],
        model: Model,
        arrivals: int = 150,
        hard: bool = False,
    ) -> None:
        self.random, self.document, self.model, self.arrivals_left = (
            random.Random(seed),
            document,
            model,
            arrivals,
        )
        self.settings, self.gauges = settings_from(document)
        self.now = self.last = 1000.0 + self.random.random()
        self.node = Node(self.settings, seed, self.now)
        self.checker = Checker(self.settings, self.now)
        self.tries: dict[int, Try] = {}  # Attempts that have not ended, by request id
        self.entries: dict[int, tuple[Try, float]] = {}
        # Entries replaced by another attempt after their window: an attempt that arrived within the window is
        # still a repeat, even if it is read later (the wire's page).
        self.replaced: dict[int, list[tuple[Try, float]]] = {}
        self.keys: list[tuple[int, int]] = []  # Pairs of class index and key used so far
        self.lingers: list[float] = []
        self.timers: list[tuple[float, int]] = []
        self.events: list[api.Event] = []  # Events of the next batch
        self.batches: list[tuple[float, list[api.Event]]] = []
        self.decisions: list[list[api.Action]] = []
        self.next_id = self.timers_set = 0
        self.disconnected_now: set[int] = set()  # Callers that disconnect in the next batch
        self.new_keyed: dict[int, Try] = {}  # Keyed attempts read for the next batch, by key
        self.shares: list[tuple[Try, Try]] = []  # Waiting repeats whose first attempt has ended
        self.started, self.drained = self.now, False
        self.gap_s = sum(model.works) / len(model.works) / (model.load * model.speed * self.settings.cores)
        self.arrive_at = self.now + self.gap_s
        # Times of the history's events: a shutdown notice, changed settings, stalls.
        length = self.gap_s * arrivals
        draw = self.random
        self.shutdown_at = self.now + draw.uniform(0, length) if draw.random() < 0.5 else math.inf
        self.change_settings_at = self.now + draw.uniform(0, length) if draw.random() < 0.25 else math.inf
        self.stall_at = self.now + draw.uniform(0, length) if draw.random() < 0.3 else math.inf
        self.has_other_process = draw.random() < 0.1
        self.speed, self.hung_share, self.idle_at, self.slow_at = model.speed, 0.0, math.inf, math.inf
        # A separate generator, so that normal histories keep their draws.
        self.hard_random = random.Random(f"hard {seed}")
        self.hard = hard
        if hard:
            draw = self.hard_random
            self.hung_share = draw.choice([0.0, 0.0, 0.03, 0.3])
            self.idle_at = self.now + draw.uniform(0, length) if draw.random() < 0.4 else math.inf
            self.slow_at = self.now + draw.uniform(0, length) if draw.random() < 0.5 else math.inf
            self.stall_at = min(self.stall_at, self.now + draw.uniform(0, length))

    # --- environment

    def arrival(self) -> None:
        draw, waited = self.random, self.random.choice([0.0, 0.0, self.random.uniform(0.0, 0.3)])
        live = [n for n, c in enumerate(self.settings.classes) if not c.removed]
        class_index, key = draw.choice(live), None
        if self.keys and draw.random() < self.model.repeats:
            class_index, key = draw.choice(self.keys[-12:])
        c = self.settings.classes[class_index]
        if c.idempotency is api.Idempotency.KEYED and key is None:
            key = draw.getrandbits(40)
            self.keys.append((class_index, key))
        elif c.idempotency is api.Idempotency.IDEMPOTENT:
            key = class_index * 100 + draw.randrange(1, 6)
        self.next_id += 1
        arrived = self.now - waited
        left = draw.choice([0.001, c.deadline_s, c.deadline_s * draw.random()])
        left = left if self.settings.propagates_deadline else None
        first = self.first(c, key, arrived)
        works = self.model.works[class_index % len(self.model.works)] * draw.uniform(0.3, 2.0)
        calls = self.model.calls[class_index % len(self.model.calls)]
        due = max(self.now, arrived + c.deadline_s) if left is None else self.now + left
        kb = self.model.request_kb * draw.choice([1.0, draw.uniform(0.2, 2.5)])
        parts = [works / (calls + 1)] * (calls + 1)
        if self.hung_share and self.hard_random.random() < self.hung_share:
            parts[-1] = math.inf  # A run that never ends
        one = Try(self.next_id, class_index, kb, arrived, due, c, key, first, parts)
        self.tries[one.id] = one
        if c.idempotency is api.Idempotency.KEYED and key is not None:
            self.new_keyed[key] = one
        self.checker.read(one)
        self.events.append(
            api.Arrived(
                api.Request(
                    one.id,
                    class_index,
                    one.kb,
                    waited,
                    left,
                    draw.choice([None, None, works]),
                    None if first is None else first.id,
                    key if c.idempotency is api.Idempotency.IDEMPOTENT else None,
                    draw.randrange(len(self.settings.tenants)) if self.settings.tenants else None,
                    draw.randrange(5),
                    draw.random(),
                    first is not None and draw.random() < 0.8,
                )
            )
        )

    def first(self, c: api.ClassSettings, key: int | None, arrived: float) -> Try | None:
        """Return the attempt that a new one repeats, according to the table."""
        found = [*self.replaced.get(key or 0, []), self.entries.get(key or 0, (None, 0.0))]
        first = next((one for one, until in reversed(found) if one is not None and arrived <= until), None)
        if first is None:
            return self.new_keyed.get(key or 0)  # Also one of the same batch that has no entry
        if c.idempotency is api.Idempotency.IDEMPOTENT and self.now > first.ended_at + (
            self.settings.shared_read_ttl_s or 0.0
        ):
            return None
        return first

    def finish(self, one: Try, outcome: api.Outcome) -> None:
        if outcome in (api.Outcome.OK, api.Outcome.ERROR) and not one.answered:
            one.answered, one.served = True, outcome is api.Outcome.OK
            self.checker.over(one)
        self.events.append(api.RunFinished(one.id, outcome, 0.1))
        self.end(one)

    def end(self, one: Try) -> None:
        if one.state == "in call":
            heappush(
                self.lingers, self.now + self.random.random() * (self.settings.abandoned_call_linger_s or 0.0)
            )
        one.state, one.ended_at = "over", self.now
        self.tries.pop(one.id, None)
        waiters, one.waiters = one.waiters, []
        for waiter in waiters:
            self.shares.append((waiter, one))

    def share_out(self) -> None:
        """Give repeats the result of their ended first attempts; the node sees it in the next batch."""
        while self.shares:
            waiter, first = self.shares.pop(0)
            if waiter.state == "sharing":
                self.finish(waiter, api.Outcome.OK if first.served else api.Outcome.ERROR)

    def in_state(self, state: str) -> list[Try]:
        return [one for one in self.tries.values() if one.state == state]

    def calls_until(self, at: float) -> float:
        """Return the mean number of calls in flight until ``at``, by their real ends."""
        ends = [one.call_end for one in self.in_state("in call")] + self.lingers
        return sum(max(0.0, min(end, at) - self.now) for end in ends) / max(at - self.now, 1e-9)

    def progress(self, seconds: float) -> None:
        """Advance runs and calls by ``seconds``."""
        on = self.in_state("running")
        part = seconds * self.speed * min(1.0, self.settings.cores / len(on)) if on else 0.0
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
                    self.lingers,
                    self.now + self.random.random() * (self.settings.abandoned_call_linger_s or 0.0),
                )
            one.sure = one.outcome is api.Outcome.OK or one.outcome.never_ran
            self.events.append(api.CallEnded(one.id, one.outcome, self.model.call_s))
        for one in [one for one in self.in_state("at call") if one.answered or one.gone]:
            self.finish(one, api.Outcome.STOPPED)

    def next_moment(self) -> float:
        on = [one.parts[0] for one in self.in_state("running")]
        speed = self.speed * min(1.0, self.settings.cores / max(1, len(on)))
        done = self.now + min(on) / speed if on else math.inf
        ends = [one.call_end for one in self.in_state("in call")]
        timer_at = self.timers[0][0] if self.timers else math.inf
        moments = [
            done,
            self.arrive_at if self.arrivals_left else math.inf,
            timer_at,
            min(ends, default=math.inf),
            self.lingers[0] if self.lingers else math.inf,
            self.shutdown_at,
            self.change_settings_at,
            self.stall_at,
            self.checker.kill_at,
        ]
        if any(one.answered or one.gone for one in self.in_state("at call")) or self.events:
            moments.append(self.now)
        return max(min(moments), self.last + self.model.batch_s)

    # --- actions of the node

    def act(self, action: api.Action) -> None:
        match action:
            case api.SetTimer(token, delay):
                assert 0 <= delay < 1e9
                self.timers_set += 1
                heappush(self.timers, (self.now + delay, token))
            case api.Advertise(value):
                assert (
                    self.settings.load_report_kind is not api.LoadReportKind.NONE and 0 <= value < math.inf
                ), f"fault: {action}"
            case api.CloseIdleConnections(after):
                assert after == 0 or 0.01 <= after <= (self.settings.idle_timeout_s or 0.0), (
                    f"fault: {action}"
                )
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
                assert action.id in self.disconnected_now or not final, f"{action}: the request has ended"
                return
            case api.Run():
                self.checker.run(one)
                assert one.state == "held", f"{action}: {one.state}"
                one.state, one.ran = "running", True
            case api.Reject() | api.Fail():
                gone = one.gone and one.id not in self.disconnected_now
                assert not one.answered and not gone, f"{one.id} is answered twice"
                if isinstance(action, api.Reject):
                    self.checker.refused(one, action)
                one.answered = True
                self.checker.over(one)
                if one.state in ("held", "sharing"):
                    self.end(one)
            case api.Stop():
                assert self.settings.stop_mode is not api.StopMode.NONE, f"fault: {action}"
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
                    one.c.idempotency is api.Idempotency.KEYED or self.settings.shared_read_ttl_s
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
        factor = self.settings.running_memory_factor or 1.0
        alive = sum(until > self.now for _, until in self.entries.values())
        return alive * (self.settings.idempotency_entry_kb or 0.0) + sum(
            one.kb * (1.0 if one.state in ("held", "sharing") else factor) for one in self.tries.values()
        )

    def batch(self) -> None:
        events, self.events = self.events, []
        self.batches.append((self.now, events))
        actions = self.node.decide(self.now, events)
        self.decisions.append(actions)
        self.new_keyed = {}
        for action in actions:
            self.act(action)
        self.disconnected_now = set()
        self.share_out()
        self.checker.batch_done(self.now, self.memory_kb())

    def happen(self) -> None:
        """Turn everything that is due now into events of the next batch."""
        draw = self.random
        while self.lingers and self.lingers[0] <= self.now:
            heappop(self.lingers)
        while self.arrivals_left and self.arrive_at <= self.now:
            for _ in range(min(self.arrivals_left, draw.choice([1, 1, 1, 2, 12]))):
                self.arrivals_left -= 1
                self.arrival()
                self.arrive_at += self.gap_s * draw.expovariate(1.0)
        if self.settings.reports_cancellation and self.tries and draw.random() < 0.03:
            one = draw.choice(list(self.tries.values()))
            if not one.answered and not one.gone:
                one.gone = True
                self.disconnected_now.add(one.id)
                self.checker.over(one)
                self.events.append(api.CallerDisconnected(one.id))
                if one.state in ("held", "sharing"):
                    self.end(one)
        while self.timers and self.timers[0][0] <= self.now:
            gauges = api.Gauges(draw.choice([None, draw.random()]), draw.choice([None, 100 * draw.random()]))
            self.events.append(api.TimerFired(heappop(self.timers)[1], gauges))
        if self.has_other_process and draw.random() < 0.1:
            kb = draw.random() * self.settings.memory_kb / 2
            self.events.append(api.OtherProcessLoad(draw.randrange(9), kb, draw.randrange(4)))
        if self.now >= self.shutdown_at:
            self.announce_shutdown()
        if self.now >= self.change_settings_at:
            self.change_settings()

    def announce_shutdown(self) -> None:
        left = log_span(self.random, 0.3, 20.0)
        self.shutdown_at, self.checker.grace_end = math.inf, self.now + (self.settings.drain_grace_s or 0.0)
        self.checker.kill_at = self.now + left
        self.events.append(api.ShutdownNotice(left, self.random.random() < 0.2))

    def change_settings(self) -> None:
        """Change the classes' weights, remove a class and add one; open requests continue as before."""
        self.change_settings_at = math.inf
        grades = [
            {**grade, "worth": self.random.choice([0.0, 1.0, 9.0])} for grade in self.document["grades"]
        ]
        more = {
            **self.random.choice(grades),
            "name": "new",
            "promiseS": self.random.uniform(0.05, 9.0),
            "giveUpS": 9.0,
        }
        grades[self.random.randrange(len(grades))]["gone"] = True
        self.settings, _ = settings_from({**self.document, "grades": [*grades, more]})
        self.events.append(api.SettingsChanged(self.settings))

    def open(self) -> list[Try]:
        """Return the attempts that have not ended, except answered runs that never end."""
        return [
            one
            for one in self.tries.values()
            if math.inf not in one.parts or one.state != "running" or not (one.answered or one.gone)
        ]

    def apply_hard_events(self, at: float) -> float:
        """Apply hard events due at ``at`` (cores ten times slower, idle hours); return the next time."""
        if at >= self.slow_at:
            self.slow_at, self.speed = math.inf, self.model.speed / 10
        if at >= self.idle_at and not self.tries and not self.events and self.checker.kill_at == math.inf:
            self.idle_at, at = math.inf, at + log_span(self.hard_random, 600.0, 20_000.0)
            self.arrive_at = at  # Many requests arrive at once after the pause
            self.gap_s /= 10
        return at

    def play(self) -> "History":
        """Play until the kill, or until no request is open."""
        while len(self.batches) < MAX_BATCHES:
            at = self.next_moment()
            if at == math.inf or (not self.arrivals_left and not self.events and not self.open()):
                break
            at = self.apply_hard_events(at)
            if at >= self.stall_at:
                self.stall_at = math.inf
                stall = log_span(self.random, *STALL_S)
                if self.hard:
                    stall = log_span(self.hard_random, *HARD_STALL_S)
                    self.stall_at = at + stall + self.gap_s * self.hard_random.uniform(1.0, 80.0)
                if self.checker.kill_at == math.inf:  # Cores stall, but downstream calls continue
                    self.checker.stalled(stall, self.calls_until(self.now + stall))
                    self.now += stall
                    at = max(at, self.now)
            running = len(self.in_state("running"))
            calls = self.calls_until(at)
            passed, self.now = at - self.now, at
            self.checker.passed(passed, self.now, running, calls)
            self.progress(passed)
            if self.now >= self.checker.kill_at:  # Every request must have its answer by now
                self.checker.batch_done(self.now, 0.0)
                return self
            self.happen()
            self.batch()
            self.last = self.now
        if len(self.batches) == MAX_BATCHES:
            return self
        assert not self.open(), f"never ended: {[(one.id, one.state) for one in self.open()][:5]}"
        if self.tries:  # Hung runs are answered and stay on the cores
            return self
        assert (
            not self.node.table.requests
            and abs(self.node.memory.held_kb) < 1e-6
            and not any(self.node.table.count[1:])
        )
        return self

    def told_again(self) -> bool:
        """Tell whether a second node takes the same actions for the same events."""
        node = Node(settings_from(self.document)[0], 0, self.started)
        return all(
            node.decide(now, events) == actions
            for (now, events), actions in zip(self.batches, self.decisions, strict=False)
        )


def drawn_history(seed: int, arrivals: int = 150, hard: bool = False) -> History:
    document, model = deployment(random.Random(seed))
    return History(seed, document, model, arrivals, hard)
